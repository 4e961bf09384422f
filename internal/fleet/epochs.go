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
	votersMost    = 5    // of the members, the first by name: more would only make agreement slower
	compactAfter  = 1000 // entries
	ticksElection = 10
	ticksBeat     = 2
	epochsBox     = 256
)

// askLease is a member's ask for a lease. Sent is its own clock's, and comes back with the grant.
type askLease struct {
	_       struct{} `cbor:",toarray"`
	Member  takeover.Member
	Sent    int64
	Address string // where it listens, if not where the options say
	Report  rollout.Report
}

// granted answers it. Out: the member is out, and has to come back as another.
type granted struct {
	_      struct{} `cbor:",toarray"`
	Member takeover.Member
	Sent   int64
	Epoch  uint64
	Out    bool
	Shut   bool // it may not act by the plan of that epoch
}

// kept is what a snapshot of the log has.
type kept struct {
	_      struct{} `cbor:",toarray"`
	Roster *roster
	Texts  map[string][]byte // bytes of the versions, by digest
}

// epochs is the actor of the epoch log at one of those who vote.
type epochs struct {
	lease   time.Duration
	every   time.Duration // between ticks
	voters  []string
	store   *store
	node    *raft.RawNode
	conf    *raftpb.ConfState
	box     chan func()
	send    func(name string, kind byte, payload []byte)
	told    func(*roster, map[string][]byte)
	coder   *coder
	names   []string
	texts   map[string][]byte // of the plan's versions, by digest; one that was handed on is never changed
	driver  rollout.Controller
	heard   map[string]rollout.ReceivedReport // in this term
	orders  map[uint64]func(error)            // that wait for their entry, by id
	noFence bool                              // a fault on purpose

	roster  *roster
	applied uint64
	old     uint64 // index up to which the log was agreed before this process started
	leads   bool
	grants  grants
	waiting []askLease // for the next confirmation
	asked   []askLease // for the one under way
	read    uint64     // its number
	index   uint64     // of the log, which has to be applied before they are answered; 0: not known yet
	joining map[takeover.Member]time.Time
}

// quiet is the library's log: warnings and worse go into ours.
type quiet struct{}

func (quiet) Debug(...any)                {}
func (quiet) Debugf(string, ...any)       {}
func (quiet) Info(...any)                 {}
func (quiet) Infof(string, ...any)        {}
func (quiet) Warning(...any)              {}
func (quiet) Warningf(string, ...any)     {}
func (quiet) Error(v ...any)              { log.Printf("event=fleet_log_error err=%q", fmt.Sprint(v...)) }
func (q quiet) Errorf(f string, v ...any) { q.Error(fmt.Sprintf(f, v...)) }
func (quiet) Fatal(v ...any)              { panic(fmt.Sprint(v...)) }
func (quiet) Fatalf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
func (quiet) Panic(v ...any)              { panic(fmt.Sprint(v...)) }
func (quiet) Panicf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }

// votersOf are those of the names who vote, by name.
func votersOf(names []string) []string {
	all := slices.Sorted(slices.Values(names))
	n := min(len(all), votersMost)
	return all[:n-(n+1)%2] // an even number would survive no more losses than one fewer
}

// newEpochs opens the log. The caller has found that name is one of the voters.
func newEpochs(dir, name string, voters []string, lease time.Duration) (*epochs, error) {
	var ids []uint64
	for i := range voters {
		ids = append(ids, uint64(i+1))
	}
	s, err := openStore(dir, ids)
	if err != nil {
		return nil, err
	}
	e := &epochs{
		lease: lease, every: max(lease/20, 5*time.Millisecond), voters: voters, store: s, box: make(chan func(), epochsBox),
		roster: &roster{}, joining: map[takeover.Member]time.Time{}, grants: grants{lease: lease}, texts: map[string][]byte{},
		driver: rollout.Controller{Leader: name}, heard: map[string]rollout.ReceivedReport{}, orders: map[uint64]func(error){},
	}
	e.grants.reset(time.Now())
	if e.coder, err = newCoder(); err != nil {
		s.close()
		return nil, err
	}
	if hard, _, err := s.InitialState(); err == nil {
		e.old = hard.GetCommit()
	}
	snapshot, err := s.Snapshot()
	if err == nil {
		e.conf, e.applied = snapshot.GetMetadata().GetConfState(), snapshot.GetMetadata().GetIndex()
		err = e.restore(snapshot.GetData())
	}
	if err == nil {
		e.node, err = raft.NewRawNode(&raft.Config{
			ID: uint64(slices.Index(voters, name) + 1), ElectionTick: ticksElection, HeartbeatTick: ticksBeat, Storage: s, Applied: e.applied,
			MaxSizePerMsg: 64 << 10, MaxInflightMsgs: 64, CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, Logger: quiet{},
		})
	}
	if err != nil {
		s.close()
		return nil, fmt.Errorf("the fleet's log: %w", err)
	}
	return e, nil
}

func (e *epochs) restore(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	var k kept
	if err := e.coder.in.Unmarshal(data, &k); err != nil || k.Roster == nil {
		return fmt.Errorf("snapshot: %w", errors.Join(err, errRoster))
	}
	e.roster, e.texts = k.Roster, k.Texts
	return nil
}

// post hands the actor something to do, unless it is over or has too much to do.
func (e *epochs) post(f func()) {
	select {
	case e.box <- f:
	default:
	}
}

// run is the actor. It returns when ctx ends, or where the log is no more what it was.
func (e *epochs) run(ctx context.Context) (err error) {
	e.store.stop = ctx.Done()
	defer e.store.close()
	defer func() {
		if p := recover(); p != nil { // the library panics on what must not be; this member then votes no more
			err = fmt.Errorf("the fleet's log: %v", p)
		}
	}()
	tick := time.NewTicker(e.every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-e.box:
			f()
		case now := <-tick.C:
			e.node.Tick()
			e.turn(now)
		}
		if err := e.ready(); err != nil {
			return err
		}
	}
}

// turn puts out whose lease is over, where this member leads.
func (e *epochs) turn(now time.Time) {
	e.grants.tick(now, e.every)
	if !e.leads {
		return
	}
	for _, m := range e.grants.due(now, e.roster) {
		log.Printf("event=fleet_putting_out member=%s incarnation=%x", m.Name, m.Incarnation)
		e.propose(&entry{Out: true, Member: m})
	}
	if o := e.driver.Step(now, &e.roster.Plan, e.names, e.roster.living(), e.heard); o != nil {
		log.Printf("event=fleet_orders order=%v number=%d why=%q", o.Kind, o.Number, o.Reason)
		e.propose(&entry{Order: o})
	}
	e.confirm()
}

func (e *epochs) propose(one *entry) error {
	data, err := e.coder.out.Marshal(one)
	if err == nil {
		err = e.node.Propose(data)
	}
	if err != nil && one.Order == nil {
		delete(e.grants.outing, one.Member)
		delete(e.joining, one.Member)
	}
	return err
}

// ready carries out what the library wants: disk first, then messages, then what is agreed.
func (e *epochs) ready() error {
	for e.node.HasReady() {
		rd := e.node.Ready()
		if err := e.store.save(&rd); err != nil {
			return err
		}
		if rd.SoftState != nil {
			if leads := rd.SoftState.RaftState == raft.StateLeader; leads != e.leads {
				e.leads, e.waiting, e.asked = leads, nil, nil
				e.joining = map[takeover.Member]time.Time{}
				e.heard = map[string]rollout.ReceivedReport{}
				e.driver.Reset()
				for id, reply := range e.orders {
					delete(e.orders, id)
					reply(errNoLeader)
				}
				e.grants.reset(time.Now())
				if leads {
					log.Printf("event=fleet_leads")
				}
			}
		}
		for _, m := range rd.Messages {
			e.deliver(m)
		}
		if !raft.IsEmptySnap(rd.Snapshot) {
			if err := e.restore(rd.Snapshot.GetData()); err != nil {
				return err
			}
			e.applied = rd.Snapshot.GetMetadata().GetIndex()
			e.told(e.roster, e.texts)
		}
		before := e.roster
		for _, one := range rd.CommittedEntries {
			e.apply(one)
		}
		if e.roster != before {
			e.told(e.roster, e.texts)
		}
		for _, r := range rd.ReadStates {
			if len(r.RequestCtx) == 8 && binary.BigEndian.Uint64(r.RequestCtx) == e.read && len(e.asked) > 0 {
				e.index = r.Index
			}
		}
		e.node.Advance(rd)
		e.answer()
	}
	return e.compact()
}

func (e *epochs) apply(one *raftpb.Entry) {
	e.applied = one.GetIndex()
	if len(one.GetData()) == 0 || one.GetType() != raftpb.EntryNormal {
		return
	}
	var what entry
	if err := e.coder.in.Unmarshal(one.GetData(), &what); err != nil {
		log.Printf("event=fleet_entry_unreadable index=%d err=%q", one.GetIndex(), err) // of a newer build: it changes nothing here
		return
	}
	if what.Order != nil {
		e.ordered(what.Order, one.GetIndex() <= e.old)
		return
	}
	delete(e.joining, what.Member)
	if next := e.roster.apply(&what, e.names); next != e.roster {
		e.roster = next
		if one.GetIndex() <= e.old {
			return
		}
		log.Printf("event=fleet_epoch epoch=%d member=%s incarnation=%x out=%t", next.Epoch, what.Member.Name, what.Member.Incarnation, what.Out)
	}
}

func (e *epochs) deliver(m *raftpb.Message) {
	if m.GetTo() == 0 || m.GetTo() > uint64(len(e.voters)) {
		return
	}
	text, err := proto.Marshal(m)
	if err != nil {
		return
	}
	e.send(e.voters[m.GetTo()-1], kindRaft, text)
	if m.GetType() == raftpb.MsgSnap { // sent again where it is lost
		e.node.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
	}
}

// step takes a message of another voter.
func (e *epochs) step(from string, payload []byte) {
	m := new(raftpb.Message)
	if err := proto.Unmarshal(payload, m); err != nil {
		log.Printf("event=fleet_refused from=%q err=%q", from, err)
		return
	}
	if at := m.GetFrom(); at == 0 || at > uint64(len(e.voters)) || e.voters[at-1] != from || raft.IsLocalMsg(m.GetType()) {
		return
	}
	e.node.Step(m) // what it can't use it says by an error, which changes nothing
}

// ask takes a member's ask for a lease. Only who leads answers.
func (e *epochs) ask(a askLease) {
	if !e.leads {
		return
	}
	e.heard[a.Member.Name] = rollout.ReceivedReport{Report: a.Report, ReceivedAt: time.Now()}
	switch {
	case e.roster.gone(a.Member):
		e.give(a, granted{Out: true})
	case !e.may(&a):
		e.give(a, granted{Shut: true})
	case !e.roster.lives(a.Member):
		if now := time.Now(); now.Sub(e.joining[a.Member]) >= e.lease {
			e.joining[a.Member] = now
			e.propose(&entry{Member: a.Member, Address: a.Address})
		}
	case len(e.waiting) < 4*epochsBox:
		e.waiting = append(e.waiting, a)
	}
}

// confirm asks a quorum whether this member leads, for all that wait: a grant counts only if it did after the ask came. It is
// called at each tick, a twentieth of a lease, so that the asks of a tick share a round. Guards against a leader whose rounds
// are as many as its members' asks: they were most of what it sent, and of its processor time.
func (e *epochs) confirm() {
	if len(e.asked) > 0 || len(e.waiting) == 0 {
		return
	}
	e.asked, e.waiting, e.index = e.waiting, nil, 0
	e.read++
	e.node.ReadIndex(binary.BigEndian.AppendUint64(nil, e.read))
}

// answer grants what was confirmed.
func (e *epochs) answer() {
	if e.index == 0 || e.applied < e.index {
		return
	}
	asked := e.asked
	e.asked, e.index = nil, 0
	now := time.Now()
	for _, a := range asked {
		switch {
		case e.roster.gone(a.Member):
			e.give(a, granted{Out: true})
		case !e.may(&a): // by the log as of a moment after the ask came: guards against a lease that begins below the fence
			e.give(a, granted{Shut: true})
		case e.roster.lives(a.Member) && e.grants.grant(now, a.Member):
			e.give(a, granted{})
		}
	}
}

// may tells whether the plan lets a member act.
func (e *epochs) may(a *askLease) bool {
	return e.noFence || e.roster.Plan.MayLease(a.Member.Name, a.Report.Active)
}

func (e *epochs) give(a askLease, g granted) {
	g.Member, g.Sent, g.Epoch = a.Member, a.Sent, e.roster.Epoch
	text, err := e.coder.out.Marshal(g)
	if err == nil {
		e.send(a.Member.Name, kindGrant, text)
	}
}

// left puts a member out that says it has ended its work.
func (e *epochs) left(m takeover.Member) {
	if e.leads && e.roster.lives(m) {
		e.grants.outing[m] = time.Now()
		e.propose(&entry{Out: true, Member: m})
	}
}

// compact puts a snapshot in the place of old entries. Guards against a log that grows with every restart.
func (e *epochs) compact() error {
	first, err := e.store.FirstIndex()
	if err != nil || e.applied < first+compactAfter {
		return err
	}
	data, err := e.coder.out.Marshal(kept{Roster: e.roster, Texts: e.texts})
	if err != nil {
		return err
	}
	return e.store.compact(e.applied, e.conf, data)
}
