package membership

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"damsonscale/internal/eventlog"
	"damsonscale/internal/fleet/protocol"
	"damsonscale/internal/rollout"
	"damsonscale/internal/takeover"
)

const (
	compactAfterEntries = 1000 // entries after a snapshot before the next one is taken
	mailboxSize         = 256
	electionTicks       = 10
	heartbeatTicks      = 2
	ticksPerLease       = 20
	minTickInterval     = 5 * time.Millisecond
	maxMessageBytes     = 64 << 10 // bytes of entries in a raft message
	maxInflightMessages = 64       // unacknowledged raft messages to a voter
)

// Config is the configuration of a log.
type Config struct {
	Directory     string // that contains the stored log
	Name          string // of this member, one of Voters
	Voters        []string
	MemberNames   []string // of all configured members
	LeaseDuration time.Duration
	Guard         rollout.Guard
	IgnoreFence   bool // injected fault: leases are granted to members that the plan excludes

	// Send sends a frame to a member, or drops it. It must not block.
	Send func(name string, kind protocol.Kind, payload []byte)
	// OnChange is called with each new membership and the settings of its plan by digest. It must not modify either.
	OnChange func(m *Membership, settings map[string][]byte)
}

// Log is the replicated log at one voter.
type Log struct {
	config       Config
	codec        *protocol.Codec
	tickInterval time.Duration
	mailbox      chan logMessage // received by Run's goroutine, which owns all fields below

	store          *store
	raftNode       *raft.RawNode
	confState      *raftpb.ConfState
	membership     *Membership
	settings       map[string][]byte // of the plan's versions, by digest; replaced, never modified
	appliedIndex   uint64
	recoveredIndex uint64 // entries up to this one were committed before this process started
	isLeader       bool

	// State of a leader since the start of its term.
	leases             leaseTable
	joining            map[takeover.Member]time.Time // when the member's join was last proposed
	waitingRequests    []LeaseRequest                // waiting for the next confirmation of leadership
	confirmingRequests []LeaseRequest                // waiting for the confirmation in flight
	readID             uint64                        // id of the confirmation in flight
	readIndex          uint64                        // index to be applied before the requests are granted; 0: not confirmed yet
	controller         rollout.Controller
	reports            map[string]rollout.ReceivedReport // by member name
	pendingCommands    map[uint64]func(error)            // replies to submitted commands, by command id
}

// OpenLog opens the stored log, or creates it if there is none. It returns ErrLogLocked while another process has the log open.
func OpenLog(config Config) (*Log, error) {
	var ids []uint64
	for i := range config.Voters {
		ids = append(ids, uint64(i+1))
	}
	s, err := openStore(config.Directory, ids)
	if err != nil {
		return nil, err
	}
	l := &Log{
		config: config, tickInterval: max(config.LeaseDuration/ticksPerLease, minTickInterval), mailbox: make(chan logMessage, mailboxSize),
		store: s, membership: &Membership{}, settings: map[string][]byte{}, leases: leaseTable{duration: config.LeaseDuration},
		joining: map[takeover.Member]time.Time{}, controller: rollout.Controller{Leader: config.Name, Guard: config.Guard},
		reports: map[string]rollout.ReceivedReport{}, pendingCommands: map[uint64]func(error){},
	}
	l.leases.reset(time.Now())
	if l.codec, err = protocol.NewCodec(); err != nil {
		s.close()
		return nil, err
	}
	if err := l.recover(); err != nil {
		s.close()
		return nil, fmt.Errorf("membership log: %w", err)
	}
	return l, nil
}

// recover restores the stored state, and starts the raft node from it.
func (l *Log) recover() error {
	if hard, _, err := l.store.InitialState(); err == nil {
		l.recoveredIndex = hard.GetCommit()
	}
	stored, err := l.store.Snapshot()
	if err != nil {
		return err
	}
	l.confState, l.appliedIndex = stored.GetMetadata().GetConfState(), stored.GetMetadata().GetIndex()
	if err := l.restore(stored.GetData()); err != nil {
		return err
	}
	l.raftNode, err = raft.NewRawNode(&raft.Config{
		ID: uint64(slices.Index(l.config.Voters, l.config.Name) + 1), ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks,
		Storage: l.store, Applied: l.appliedIndex, MaxSizePerMsg: maxMessageBytes, MaxInflightMsgs: maxInflightMessages, CheckQuorum: true,
		PreVote: true, DisableProposalForwarding: true, Logger: raftLogger{},
	})
	return err
}

// restore replaces the membership and settings by those of a snapshot.
func (l *Log) restore(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	var s snapshot
	if err := l.codec.UnmarshalStored(data, &s); err != nil || s.Membership == nil {
		return fmt.Errorf("snapshot: %w", errors.Join(err, ErrInvalid))
	}
	l.membership, l.settings = s.Membership, s.Settings
	return nil
}

// post sends a message to Run's goroutine, or drops it if the mailbox is full: members and raft repeat their messages.
func (l *Log) post(m logMessage) {
	select {
	case l.mailbox <- m:
	default:
	}
}

// Run runs the log until ctx ends, and closes its store. It returns an error if the log can't continue.
func (l *Log) Run(ctx context.Context) (err error) {
	l.store.stop = ctx.Done()
	defer l.store.close()
	defer func() {
		if p := recover(); p != nil { // raft panics on a broken invariant; this member then stops voting
			err = fmt.Errorf("membership log: %v", p)
		}
	}()
	ticker := time.NewTicker(l.tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-l.mailbox:
			m.handle(l)
		case now := <-ticker.C:
			l.raftNode.Tick()
			l.tick(now)
		}
		if err := l.processReady(); err != nil {
			return err
		}
	}
}

// tick proposes evictions and the rollout controller's commands, and confirms leadership, if this member is the leader.
func (l *Log) tick(now time.Time) {
	l.leases.recordTick(now, l.tickInterval)
	if !l.isLeader {
		return
	}
	for _, m := range l.leases.expired(now, l.membership) {
		eventlog.Info(eventEvicting, "member", m.Name, "incarnation", m.IncarnationHex())
		l.propose(&Change{Evict: true, Member: m})
	}
	if c := l.controller.Step(now, &l.membership.Plan, l.config.MemberNames, l.membership.Names(), l.reports); c != nil {
		eventlog.Info(eventCommandProposed, "command", c.Kind, "number", c.Number, "reason", c.Reason)
		l.propose(&Change{Command: c})
	}
	l.confirmLeadership()
}

// propose proposes a change as a log entry, which only the leader can do.
func (l *Log) propose(c *Change) error {
	data, err := l.codec.Marshal(c)
	if err == nil {
		err = l.raftNode.Propose(data)
	}
	if err != nil && c.Command == nil {
		delete(l.leases.evicting, c.Member)
		delete(l.joining, c.Member)
	}
	return err
}

// processReady processes raft's Ready in the required order: store the state, then send messages, then apply committed entries.
func (l *Log) processReady() error {
	for l.raftNode.HasReady() {
		ready := l.raftNode.Ready()
		if err := l.store.save(&ready); err != nil {
			return err
		}
		if ready.SoftState != nil {
			l.setLeader(ready.SoftState.RaftState == raft.StateLeader)
		}
		for _, m := range ready.Messages {
			l.sendRaft(m)
		}
		if !raft.IsEmptySnap(ready.Snapshot) {
			if err := l.restore(ready.Snapshot.GetData()); err != nil {
				return err
			}
			l.appliedIndex = ready.Snapshot.GetMetadata().GetIndex()
			l.config.OnChange(l.membership, l.settings)
		}
		before := l.membership
		for _, e := range ready.CommittedEntries {
			l.applyEntry(e)
		}
		if l.membership != before {
			l.config.OnChange(l.membership, l.settings)
		}
		l.recordReadIndex(ready.ReadStates)
		l.raftNode.Advance(ready)
		l.answerLeaseRequests()
	}
	return l.compact()
}

// setLeader starts or ends this member's term as the leader.
func (l *Log) setLeader(leads bool) {
	if leads == l.isLeader {
		return
	}
	l.isLeader, l.waitingRequests, l.confirmingRequests = leads, nil, nil
	l.joining = map[takeover.Member]time.Time{}
	l.reports = map[string]rollout.ReceivedReport{}
	l.controller.Reset()
	for id, reply := range l.pendingCommands {
		delete(l.pendingCommands, id)
		reply(ErrLeaderChanged)
	}
	l.leases.reset(time.Now())
	if leads {
		eventlog.Info(eventLeaderElected)
	}
}

// applyEntry applies a committed entry. Entries that were committed before this process started are not logged again.
func (l *Log) applyEntry(e *raftpb.Entry) {
	l.appliedIndex = e.GetIndex()
	if len(e.GetData()) == 0 || e.GetType() != raftpb.EntryNormal {
		return
	}
	recovered := e.GetIndex() <= l.recoveredIndex
	var c Change
	if err := l.codec.Unmarshal(e.GetData(), &c); err != nil { // written by a newer build: the entry has no effect here
		eventlog.Error(eventEntryUnreadable, err, "index", e.GetIndex())
		return
	}
	if c.Command != nil {
		l.applyCommand(c.Command, recovered)
		return
	}
	delete(l.joining, c.Member)
	next := l.membership.Apply(&c, l.config.MemberNames)
	if next == l.membership {
		return
	}
	l.membership = next
	if !recovered {
		eventlog.Info(eventMembershipChanged, "epoch", next.Epoch, "member", c.Member.Name, "incarnation", c.Member.IncarnationHex(), "evicted", c.Evict)
	}
}

// sendRaft sends a raft message to the voter that it is addressed to.
func (l *Log) sendRaft(m *raftpb.Message) {
	if m.GetTo() == 0 || m.GetTo() > uint64(len(l.config.Voters)) {
		return
	}
	payload, err := proto.Marshal(m)
	if err != nil {
		return
	}
	l.config.Send(l.config.Voters[m.GetTo()-1], protocol.KindRaft, payload)
	if m.GetType() == raftpb.MsgSnap { // raft sends it again if it is lost
		l.raftNode.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
	}
}

// HandleRaft accepts an encoded raft message from another voter.
func (l *Log) HandleRaft(from string, payload []byte) {
	l.post(raftMessage{from, payload})
}

func (l *Log) stepRaft(from string, payload []byte) {
	m := new(raftpb.Message)
	if err := proto.Unmarshal(payload, m); err != nil {
		eventlog.Warn(eventRaftMessageRejected, err, "from", from)
		return
	}
	if id := m.GetFrom(); id == 0 || id > uint64(len(l.config.Voters)) || l.config.Voters[id-1] != from || raft.IsLocalMsg(m.GetType()) {
		return
	}
	l.raftNode.Step(m) // an error means that the message has no effect
}

// recordReadIndex records the index at which the leadership confirmation in flight has succeeded.
func (l *Log) recordReadIndex(states []raft.ReadState) {
	for _, s := range states {
		if len(s.RequestCtx) == 8 && binary.BigEndian.Uint64(s.RequestCtx) == l.readID && len(l.confirmingRequests) > 0 {
			l.readIndex = s.Index
		}
	}
}

// compact replaces the applied entries by a snapshot once there are compactAfterEntries, to bound the log.
func (l *Log) compact() error {
	first, err := l.store.FirstIndex()
	if err != nil || l.appliedIndex < first+compactAfterEntries {
		return err
	}
	data, err := l.codec.Marshal(snapshot{Membership: l.membership, Settings: l.settings})
	if err != nil {
		return err
	}
	return l.store.compact(l.appliedIndex, l.confState, data)
}
