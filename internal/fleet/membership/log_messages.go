package membership

import (
	"damsonscale/internal/rollout"
	"damsonscale/internal/takeover"
)

// logMessage is work for the log's goroutine.
type logMessage interface {
	handle(l *Log)
}

// raftMessage carries an encoded raft message from another voter.
type raftMessage struct {
	from    string
	payload []byte
}

func (m raftMessage) handle(l *Log) { l.stepRaft(m.from, m.payload) }

// leaseRequested carries a member's request for a lease.
type leaseRequested struct{ request LeaseRequest }

func (m leaseRequested) handle(l *Log) { l.handleLeaseRequest(m.request) }

// memberLeft reports that a member has announced its shutdown.
type memberLeft struct{ member takeover.Member }

func (m memberLeft) handle(l *Log) { l.handleLeave(m.member) }

// commandSubmitted carries an operator's command. done is buffered for the outcome.
type commandSubmitted struct {
	command *rollout.Command
	done    chan error
}

func (m commandSubmitted) handle(l *Log) { l.submit(m.command, func(err error) { m.done <- err }) }

// statusQuery asks for this voter's status. answer is buffered for it.
type statusQuery struct{ answer chan Status }

func (m statusQuery) handle(l *Log) { m.answer <- l.status() }
