package modelcheck

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"damsonscale/internal/rollout"
)

// LeaseFault is a fault in the granting of leases under the fence, injected to check that the search detects it.
type LeaseFault uint8

// Faults of leases.
const (
	NoLeaseFault     LeaseFault = iota
	FenceIgnored                // the leader grants leases regardless of the fence
	StaleLog                    // the leader grants a lease by its current log, without confirmation that it is the leader
	CountedFromGrant            // a lease starts when its grant arrives, not when it was requested
	VersionForgotten            // a member reverts to the settings of its own file and keeps its lease
)

// FenceConfig configures the model of fences: members request leases from two leaders, of which only one is current, and act under them.
type FenceConfig struct {
	Members       int            // number of members
	Commands      []rollout.Kind // commands to commit, in this order
	LeaderChanges int            // maximum number of leader changes
	Restarts      int            // maximum number of restarts of members, which lose their state
	Ticks         int            // maximum number of ticks
	LeaseRequests int            // maximum number of lease requests of all members
	Fault         LeaseFault
}

// String describes the configuration on one line.
func (c FenceConfig) String() string {
	var commands []string
	for _, k := range c.Commands {
		commands = append(commands, k.String())
	}
	return fmt.Sprintf("members=%d commands=%s leader_changes=%d restarts=%d ticks=%d lease_requests=%d", c.Members, strings.Join(commands, ","),
		c.LeaderChanges, c.Restarts, c.Ticks, c.LeaseRequests)
}

const (
	fenceLease   = 2 // duration of a lease in ticks
	fenceLeaders = 2 // number of leaders, current and deposed
)

// fenceRequest is a lease request in flight.
type fenceRequest struct {
	member, leader, incarnation int
	sent                        int    // in ticks
	active                      uint64 // number of the settings that the member acts on
	index                       int    // length of the log when the leader was confirmed; -1: not confirmed
	granted                     bool
}

// fenceMember is the state of a member.
type fenceMember struct {
	incarnation int
	active      uint64 // number of the settings on which the member acts
	leaseEnd    int    // in ticks; 0: no lease
	applied     int    // number of applied entries of the log
}

// fenceWorld is a state of the model of fences.
type fenceWorld struct {
	conf          *FenceConfig
	now           int             // in ticks
	log           []*rollout.Plan // the plan after each entry
	committedAt   []int           // in ticks, by entry
	leader        int             // index of the current leader
	leaderChanges int
	restarts      int
	requested     int               // number of leases requested
	applied       [fenceLeaders]int // number of applied entries of the log, by leader
	members       []fenceMember
	requests      []fenceRequest
	violation     string // empty: none
}

// clone returns a copy that shares no mutable state.
func (w *fenceWorld) clone() *fenceWorld {
	c := *w
	c.log, c.committedAt = slices.Clone(w.log), slices.Clone(w.committedAt)
	c.members, c.requests = slices.Clone(w.members), slices.Clone(w.requests)
	return &c
}

// key returns a text that identifies a state: states with equal keys have equal successors.
func (w *fenceWorld) key() string {
	return fmt.Sprint(w.now, len(w.log), w.committedAt, w.leader, w.leaderChanges, w.restarts, w.requested, w.applied, w.members, w.requests)
}

// plan returns the plan after a number of entries of the log.
func (w *fenceWorld) plan(entries int) *rollout.Plan {
	if entries == 0 {
		return &rollout.Plan{}
	}
	return w.log[entries-1]
}

// memberName returns the name of a member.
func memberName(i int) string { return fmt.Sprint("m", i) }

// checkFence checks, for a member that acts, that no fence above the number of its settings was committed more than one lease duration ago.
func (w *fenceWorld) checkFence(m *fenceMember) {
	for i, p := range w.log {
		if p.Fence > m.active && w.now > w.committedAt[i]+fenceLease {
			w.violation = fmt.Sprintf("a member acts on settings %d at tick %d, fence %d was committed at tick %d", m.active, w.now, p.Fence, w.committedAt[i])
			return
		}
	}
}

// commit appends the next command to the log and applies it at the current leader.
func (w *fenceWorld) commit() {
	names := make([]string, len(w.members))
	for i := range names {
		names[i] = memberName(i)
	}
	n := len(w.log)
	p := w.plan(n)
	c := &rollout.Command{Kind: w.conf.Commands[n], ID: uint64(n + 1), Author: "x", Number: p.Target}
	if c.Kind == rollout.RollOut {
		c.Settings, c.SharePermille = []byte{byte(n)}, rollout.FullSharePermille
	}
	next, err := p.Apply(c, names, names)
	if err != nil {
		w.violation = err.Error()
	}
	w.log, w.committedAt = append(w.log, next), append(w.committedAt, w.now)
	w.applied[w.leader] = len(w.log)
}

// fenceStep is a possible next transition of the model.
type fenceStep struct {
	name string
	do   func(*fenceWorld)
}

// fenceSteps collects possible next steps.
type fenceSteps struct{ steps []fenceStep }

// add adds a step.
func (s *fenceSteps) add(name string, do func(*fenceWorld)) {
	s.steps = append(s.steps, fenceStep{name, do})
}

// steps returns all possible next steps in a fixed order.
func (w *fenceWorld) steps() []fenceStep {
	s := &fenceSteps{}
	if w.now < w.conf.Ticks {
		s.add("tick", func(w *fenceWorld) { w.now++ })
	}
	if len(w.log) < len(w.conf.Commands) {
		s.add("agree", (*fenceWorld).commit)
	}
	if w.leaderChanges < w.conf.LeaderChanges {
		s.add("change the leader", func(w *fenceWorld) { w.leader, w.leaderChanges = 1-w.leader, w.leaderChanges+1 })
	}
	for l := range w.applied {
		if w.applied[l] < len(w.log) {
			s.add(fmt.Sprintf("apply at leader %d", l), func(w *fenceWorld) { w.applied[l]++ })
		}
	}
	for i := range w.members {
		w.memberSteps(s, i)
	}
	for i := range w.requests {
		w.requestSteps(s, i)
	}
	return s.steps
}

// memberSteps adds the steps of a member.
func (w *fenceWorld) memberSteps(s *fenceSteps, i int) {
	add := func(what string, do func(*fenceWorld)) { s.add(memberName(i)+" "+what, do) }
	m := w.members[i]
	if w.requested < w.conf.LeaseRequests {
		for l := range w.applied {
			add(fmt.Sprintf("requests a lease from leader %d", l), func(w *fenceWorld) {
				w.requested++
				w.requests = append(w.requests, fenceRequest{member: i, leader: l, incarnation: m.incarnation, sent: w.now, active: m.active, index: -1})
			})
		}
	}
	if m.leaseEnd > w.now {
		add("acts", func(w *fenceWorld) { w.checkFence(&w.members[i]) })
	}
	if m.applied < len(w.log) {
		add("applies an entry", func(w *fenceWorld) { w.members[i].applied++ })
	}
	if target := w.plan(m.applied).TargetFor(memberName(i)); target > m.active {
		add("adopts the target", func(w *fenceWorld) { w.members[i].active = target })
	}
	if w.restarts < w.conf.Restarts {
		add("restarts", func(w *fenceWorld) {
			w.restarts++
			w.members[i] = fenceMember{incarnation: m.incarnation + 1}
		})
	}
	if w.conf.Fault == VersionForgotten && m.active > 0 {
		add("reverts to its own settings", func(w *fenceWorld) { w.members[i].active = 0 })
	}
}

// requestSteps adds the possible next steps of a lease request.
func (w *fenceWorld) requestSteps(s *fenceSteps, i int) {
	r := w.requests[i]
	if r.granted {
		s.add(fmt.Sprintf("grant %d arrives", i), func(w *fenceWorld) { w.deliverGrant(i) })
		return
	}
	if r.index < 0 && w.leader == r.leader {
		s.add(fmt.Sprintf("request %d is confirmed", i), func(w *fenceWorld) { w.requests[i].index = len(w.log) })
	}
	confirmed := r.index >= 0 && w.applied[r.leader] >= r.index
	if confirmed || w.conf.Fault == StaleLog {
		s.add(fmt.Sprintf("request %d is answered", i), func(w *fenceWorld) { w.answerRequest(i) })
	}
}

// deliverGrant extends the lease of a member, unless the member has restarted since its request.
func (w *fenceWorld) deliverGrant(i int) {
	r := w.requests[i]
	w.requests = slices.Delete(w.requests, i, i+1)
	m := &w.members[r.member]
	if m.incarnation != r.incarnation {
		return
	}
	from := r.sent
	if w.conf.Fault == CountedFromGrant {
		from = w.now
	}
	m.leaseEnd = max(m.leaseEnd, from+fenceLease)
}

// answerRequest lets a leader grant or drop a request.
func (w *fenceWorld) answerRequest(i int) {
	r := w.requests[i]
	if w.conf.Fault == FenceIgnored || w.plan(w.applied[r.leader]).MayLease(memberName(r.member), r.active) {
		w.requests[i].granted = true
		return
	}
	w.requests = slices.Delete(w.requests, i, i+1)
}

// ExhaustiveFenceSearch explores all sequences of events, each state once, until a member acts below a fence more than one lease duration after the
// fence was committed. It returns the error of ctx if ctx is done first.
func ExhaustiveFenceSearch(ctx context.Context, conf FenceConfig) (Result, error) {
	type node struct {
		world *fenceWorld
		trace []string
	}
	start := &fenceWorld{conf: &conf, members: make([]fenceMember, conf.Members)}
	seen := map[string]bool{start.key(): true}
	result := Result{}
	for open := []node{{world: start}}; len(open) > 0; {
		if err := ctx.Err(); err != nil {
			return result, err
		}
		at := open[len(open)-1]
		open = open[:len(open)-1]
		result.States++
		for _, s := range at.world.steps() {
			next := at.world.clone()
			s.do(next)
			trace := append(slices.Clip(at.trace), s.name)
			if next.violation != "" {
				result.Violation, result.Trace = next.violation, trace
				return result, nil
			}
			if k := next.key(); !seen[k] {
				seen[k] = true
				open = append(open, node{next, trace})
			}
		}
	}
	return result, nil
}
