package fleet

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"log"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"damsonscale/internal/rollout"
	"damsonscale/internal/takeover"
)

const (
	maxVoters           = 5    // of the members, the first by name: more would only make agreement slower
	compactAfterEntries = 1000 // entries
	electionTicks       = 10
	heartbeatTicks      = 2
	logMailboxSize      = 256
)

// LeaseRequest is a member's ask for a lease. Sent is its own clock's, and comes back with the grant.
type LeaseRequest struct {
	_           struct{} `cbor:",toarray"`
	Member      takeover.Member
	RequestedAt int64
	Address     string // where it listens, if not where the options say
	Report      rollout.Report
}

// LeaseGrant answers it. Out: the member is out, and has to come back as another.
type LeaseGrant struct {
	_           struct{} `cbor:",toarray"`
	Member      takeover.Member
	RequestedAt int64
	Epoch       uint64
	Evicted     bool
	Excluded    bool // it may not act by the plan of that epoch
}

// snapshot is what a snapshot of the log has.
type snapshot struct {
	_          struct{} `cbor:",toarray"`
	Membership *Membership
	Settings   map[string][]byte // bytes of the versions, by digest
}

// Log is the actor of the epoch log at one of those who vote.
type Log struct {
	leaseDuration   time.Duration
	tickInterval    time.Duration // between ticks
	voters          []string
	store           *store
	raftNode        *raft.RawNode
	confState       *raftpb.ConfState
	mailbox         chan func()
	send            func(name string, kind byte, payload []byte)
	onChange        func(*Membership, map[string][]byte)
	codec           *Codec
	memberNames     []string
	settings        map[string][]byte // of the plan's versions, by digest; one that was handed on is never changed
	controller      rollout.Controller
	reports         map[string]rollout.ReceivedReport // in this term
	pendingCommands map[uint64]func(error)            // that wait for their entry, by id
	ignoreFence     bool                              // a fault on purpose

	membership         *Membership
	appliedIndex       uint64
	recoveredIndex     uint64 // index up to which the log was agreed before this process started
	isLeader           bool
	leases             leaseTable
	waitingRequests    []LeaseRequest // for the next confirmation
	confirmingRequests []LeaseRequest // for the one under way
	readID             uint64         // its number
	readIndex          uint64         // of the log, which has to be applied before they are answered; 0: not known yet
	joining            map[takeover.Member]time.Time
}

// raftLogger is the library's log: warnings and worse go into ours.
type raftLogger struct{}

func (raftLogger) Debug(...any)                {}
func (raftLogger) Debugf(string, ...any)       {}
func (raftLogger) Info(...any)                 {}
func (raftLogger) Infof(string, ...any)        {}
func (raftLogger) Warning(...any)              {}
func (raftLogger) Warningf(string, ...any)     {}
func (raftLogger) Error(v ...any)              { log.Printf("event=fleet_log_error err=%q", fmt.Sprint(v...)) }
func (q raftLogger) Errorf(f string, v ...any) { q.Error(fmt.Sprintf(f, v...)) }
func (raftLogger) Fatal(v ...any)              { panic(fmt.Sprint(v...)) }
func (raftLogger) Fatalf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
func (raftLogger) Panic(v ...any)              { panic(fmt.Sprint(v...)) }
func (raftLogger) Panicf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }

// Voters are those of the names who vote, by name.
func Voters(names []string) []string {
	all := slices.Sorted(slices.Values(names))
	n := min(len(all), maxVoters)
	return all[:n-(n+1)%2] // an even number would survive no more losses than one fewer
}

// OpenLog opens the log. The caller has found that name is one of the voters.
func OpenLog(dir, name string, voters []string, lease time.Duration) (*Log, error) {
	var ids []uint64
	for i := range voters {
		ids = append(ids, uint64(i+1))
	}
	s, err := openStore(dir, ids)
	if err != nil {
		return nil, err
	}
	e := &Log{
		leaseDuration: lease, tickInterval: max(lease/20, 5*time.Millisecond), voters: voters, store: s, mailbox: make(chan func(), logMailboxSize),
		membership: &Membership{}, joining: map[takeover.Member]time.Time{}, leases: leaseTable{duration: lease}, settings: map[string][]byte{},
		controller: rollout.Controller{Leader: name}, reports: map[string]rollout.ReceivedReport{}, pendingCommands: map[uint64]func(error){},
	}
	e.leases.reset(time.Now())
	if e.codec, err = newCodec(); err != nil {
		s.close()
		return nil, err
	}
	if hard, _, err := s.InitialState(); err == nil {
		e.recoveredIndex = hard.GetCommit()
	}
	snapshot, err := s.Snapshot()
	if err == nil {
		e.confState, e.appliedIndex = snapshot.GetMetadata().GetConfState(), snapshot.GetMetadata().GetIndex()
		err = e.restore(snapshot.GetData())
	}
	if err == nil {
		e.raftNode, err = raft.NewRawNode(&raft.Config{
			ID: uint64(slices.Index(voters, name) + 1), ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: s, Applied: e.appliedIndex,
			MaxSizePerMsg: 64 << 10, MaxInflightMsgs: 64, CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, Logger: raftLogger{},
		})
	}
	if err != nil {
		s.close()
		return nil, fmt.Errorf("the fleet's log: %w", err)
	}
	return e, nil
}

func (e *Log) restore(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	var k snapshot
	if err := e.codec.in.Unmarshal(data, &k); err != nil || k.Membership == nil {
		return fmt.Errorf("snapshot: %w", errors.Join(err, ErrInvalid))
	}
	e.membership, e.settings = k.Membership, k.Settings
	return nil
}

// post hands the actor something to do, unless it is over or has too much to do.
func (e *Log) post(f func()) {
	select {
	case e.mailbox <- f:
	default:
	}
}

// Run is the actor. It returns when ctx ends, or where the log is no more what it was.
func (e *Log) Run(ctx context.Context) (err error) {
	e.store.stop = ctx.Done()
	defer e.store.close()
	defer func() {
		if p := recover(); p != nil { // the library panics on what must not be; this member then votes no more
			err = fmt.Errorf("the fleet's log: %v", p)
		}
	}()
	tick := time.NewTicker(e.tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-e.mailbox:
			f()
		case now := <-tick.C:
			e.raftNode.Tick()
			e.tick(now)
		}
		if err := e.processReady(); err != nil {
			return err
		}
	}
}

// tick puts out whose lease is over, where this member leads.
func (e *Log) tick(now time.Time) {
	e.leases.noteTick(now, e.tickInterval)
	if !e.isLeader {
		return
	}
	for _, m := range e.leases.expired(now, e.membership) {
		log.Printf("event=fleet_putting_out member=%s incarnation=%x", m.Name, m.Incarnation)
		e.propose(&Change{Evict: true, Member: m})
	}
	if o := e.controller.Step(now, &e.membership.Plan, e.memberNames, e.membership.MemberNames(), e.reports); o != nil {
		log.Printf("event=fleet_orders order=%v number=%d why=%q", o.Kind, o.Number, o.Reason)
		e.propose(&Change{Command: o})
	}
	e.confirmLeadership()
}

func (e *Log) propose(one *Change) error {
	data, err := e.codec.out.Marshal(one)
	if err == nil {
		err = e.raftNode.Propose(data)
	}
	if err != nil && one.Command == nil {
		delete(e.leases.evicting, one.Member)
		delete(e.joining, one.Member)
	}
	return err
}

// processReady carries out what the library wants: disk first, then messages, then what is agreed.
func (e *Log) processReady() error {
	for e.raftNode.HasReady() {
		rd := e.raftNode.Ready()
		if err := e.store.save(&rd); err != nil {
			return err
		}
		if rd.SoftState != nil {
			if leads := rd.SoftState.RaftState == raft.StateLeader; leads != e.isLeader {
				e.isLeader, e.waitingRequests, e.confirmingRequests = leads, nil, nil
				e.joining = map[takeover.Member]time.Time{}
				e.reports = map[string]rollout.ReceivedReport{}
				e.controller.Reset()
				for id, reply := range e.pendingCommands {
					delete(e.pendingCommands, id)
					reply(ErrLeaderChanged)
				}
				e.leases.reset(time.Now())
				if leads {
					log.Printf("event=fleet_leads")
				}
			}
		}
		for _, m := range rd.Messages {
			e.sendRaft(m)
		}
		if !raft.IsEmptySnap(rd.Snapshot) {
			if err := e.restore(rd.Snapshot.GetData()); err != nil {
				return err
			}
			e.appliedIndex = rd.Snapshot.GetMetadata().GetIndex()
			e.onChange(e.membership, e.settings)
		}
		before := e.membership
		for _, one := range rd.CommittedEntries {
			e.applyEntry(one)
		}
		if e.membership != before {
			e.onChange(e.membership, e.settings)
		}
		for _, r := range rd.ReadStates {
			if len(r.RequestCtx) == 8 && binary.BigEndian.Uint64(r.RequestCtx) == e.readID && len(e.confirmingRequests) > 0 {
				e.readIndex = r.Index
			}
		}
		e.raftNode.Advance(rd)
		e.answerLeaseRequests()
	}
	return e.compact()
}

func (e *Log) applyEntry(one *raftpb.Entry) {
	e.appliedIndex = one.GetIndex()
	if len(one.GetData()) == 0 || one.GetType() != raftpb.EntryNormal {
		return
	}
	var what Change
	if err := e.codec.in.Unmarshal(one.GetData(), &what); err != nil {
		log.Printf("event=fleet_entry_unreadable index=%d err=%q", one.GetIndex(), err) // of a newer build: it changes nothing here
		return
	}
	if what.Command != nil {
		e.applyCommand(what.Command, one.GetIndex() <= e.recoveredIndex)
		return
	}
	delete(e.joining, what.Member)
	if next := e.membership.Apply(&what, e.memberNames); next != e.membership {
		e.membership = next
		if one.GetIndex() <= e.recoveredIndex {
			return
		}
		log.Printf("event=fleet_epoch epoch=%d member=%s incarnation=%x out=%t", next.Epoch, what.Member.Name, what.Member.Incarnation, what.Evict)
	}
}

func (e *Log) sendRaft(m *raftpb.Message) {
	if m.GetTo() == 0 || m.GetTo() > uint64(len(e.voters)) {
		return
	}
	text, err := proto.Marshal(m)
	if err != nil {
		return
	}
	e.send(e.voters[m.GetTo()-1], KindRaft, text)
	if m.GetType() == raftpb.MsgSnap { // sent again where it is lost
		e.raftNode.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
	}
}

// stepRaft takes a message of another voter.
func (e *Log) stepRaft(from string, payload []byte) {
	m := new(raftpb.Message)
	if err := proto.Unmarshal(payload, m); err != nil {
		log.Printf("event=fleet_refused from=%q err=%q", from, err)
		return
	}
	if at := m.GetFrom(); at == 0 || at > uint64(len(e.voters)) || e.voters[at-1] != from || raft.IsLocalMsg(m.GetType()) {
		return
	}
	e.raftNode.Step(m) // what it can't use it says by an error, which changes nothing
}

// handleLeaseRequest takes a member's ask for a lease. Only who leads answers.
func (e *Log) handleLeaseRequest(a LeaseRequest) {
	if !e.isLeader {
		return
	}
	e.reports[a.Member.Name] = rollout.ReceivedReport{Report: a.Report, ReceivedAt: time.Now()}
	switch {
	case e.membership.IsEvicted(a.Member):
		e.sendGrant(a, LeaseGrant{Evicted: true})
	case !e.mayLease(&a):
		e.sendGrant(a, LeaseGrant{Excluded: true})
	case !e.membership.Contains(a.Member):
		if now := time.Now(); now.Sub(e.joining[a.Member]) >= e.leaseDuration {
			e.joining[a.Member] = now
			e.propose(&Change{Member: a.Member, Address: a.Address})
		}
	case len(e.waitingRequests) < 4*logMailboxSize:
		e.waitingRequests = append(e.waitingRequests, a)
	}
}

// confirmLeadership asks a quorum whether this member leads, for all that wait: a grant counts only if it did after the ask came. It is
// called at each tick, a twentieth of a lease, so that the asks of a tick share a round. Guards against a leader whose rounds
// are as many as its members' asks: they were most of what it sent, and of its processor time.
func (e *Log) confirmLeadership() {
	if len(e.confirmingRequests) > 0 || len(e.waitingRequests) == 0 {
		return
	}
	e.confirmingRequests, e.waitingRequests, e.readIndex = e.waitingRequests, nil, 0
	e.readID++
	e.raftNode.ReadIndex(binary.BigEndian.AppendUint64(nil, e.readID))
}

// answerLeaseRequests grants what was confirmed.
func (e *Log) answerLeaseRequests() {
	if e.readIndex == 0 || e.appliedIndex < e.readIndex {
		return
	}
	asked := e.confirmingRequests
	e.confirmingRequests, e.readIndex = nil, 0
	now := time.Now()
	for _, a := range asked {
		switch {
		case e.membership.IsEvicted(a.Member):
			e.sendGrant(a, LeaseGrant{Evicted: true})
		case !e.mayLease(&a): // by the log as of a moment after the ask came: guards against a lease that begins below the fence
			e.sendGrant(a, LeaseGrant{Excluded: true})
		case e.membership.Contains(a.Member) && e.leases.grant(now, a.Member):
			e.sendGrant(a, LeaseGrant{})
		}
	}
}

// mayLease tells whether the plan lets a member act.
func (e *Log) mayLease(a *LeaseRequest) bool {
	return e.ignoreFence || e.membership.Plan.MayLease(a.Member.Name, a.Report.Active)
}

func (e *Log) sendGrant(a LeaseRequest, g LeaseGrant) {
	g.Member, g.RequestedAt, g.Epoch = a.Member, a.RequestedAt, e.membership.Epoch
	text, err := e.codec.out.Marshal(g)
	if err == nil {
		e.send(a.Member.Name, KindLeaseGrant, text)
	}
}

// handleLeave puts a member out that says it has ended its work.
func (e *Log) handleLeave(m takeover.Member) {
	if e.isLeader && e.membership.Contains(m) {
		e.leases.evicting[m] = time.Now()
		e.propose(&Change{Evict: true, Member: m})
	}
}

// compact puts a snapshot in the place of old entries. Guards against a log that grows with every restart.
func (e *Log) compact() error {
	first, err := e.store.FirstIndex()
	if err != nil || e.appliedIndex < first+compactAfterEntries {
		return err
	}
	data, err := e.codec.out.Marshal(snapshot{Membership: e.membership, Settings: e.settings})
	if err != nil {
		return err
	}
	return e.store.compact(e.appliedIndex, e.confState, data)
}
