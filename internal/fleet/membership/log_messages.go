package membership

import (
	"damsonscale/internal/rollout"
	"damsonscale/internal/takeover"
)

// logMessage is work for the log's goroutine.
type logMessage interface {
	handle(l *Log)
}

// raftMessage brings an encoded message of another voter.
type raftMessage struct {
	from    string
	payload []byte
}

func (m raftMessage) handle(l *Log) { l.stepRaft(m.from, m.payload) }

// leaseRequested brings a member's request for a lease.
type leaseRequested struct{ request LeaseRequest }

func (m leaseRequested) handle(l *Log) { l.handleLeaseRequest(m.request) }

// memberLeft tells that a member has ended its work.
type memberLeft struct{ member takeover.Member }

func (m memberLeft) handle(l *Log) { l.handleLeave(m.member) }

// commandSubmitted brings an operator's command. done has space for its outcome.
type commandSubmitted struct {
	command *rollout.Command
	done    chan error
}

func (m commandSubmitted) handle(l *Log) { l.submit(m.command, func(err error) { m.done <- err }) }

// statusQuery asks what this voter knows. answer has space for it.
type statusQuery struct{ answer chan Status }

func (m statusQuery) handle(l *Log) { m.answer <- l.status() }
