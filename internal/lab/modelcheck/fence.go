package modelcheck

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"damsonscale/internal/rollout"
)

// LeaseFault is a fault in how leases follow the fence, which the search must find.
type LeaseFault uint8

// Faults of leases.
const (
	NoLeaseFault     LeaseFault = iota
	FenceIgnored                // the leader does not look at the fence
	StaleLog                    // the leader grants by its log as it is when the request comes, unconfirmed
	CountedFromGrant            // a lease counts from when its grant arrives, not from when it was requested
	VersionForgotten            // a member goes back to its own file and keeps its lease
)

// FenceConfig configures a world in which members request leases of two leaders, of whom one is the real one, and act.
type FenceConfig struct {
	Members       int
	Commands      []rollout.Kind // that are agreed, in this order
	LeaderChanges int
	Restarts      int // of members, which forget everything
	Ticks         int
	LeaseRequests int // of all members together
	Fault         LeaseFault
}

// String describes a configuration in a line.
func (c FenceConfig) String() string {
	var commands []string
	for _, k := range c.Commands {
		commands = append(commands, k.String())
	}
	return fmt.Sprintf("members=%d commands=%s leader_changes=%d restarts=%d ticks=%d lease_requests=%d", c.Members, strings.Join(commands, ","),
		c.LeaderChanges, c.Restarts, c.Ticks, c.LeaseRequests)
}

const (
	fenceLease   = 2 // ticks
	fenceLeaders = 2
)

// fenceRequest is a lease request in flight.
type fenceRequest struct {
	member, leader, incarnation int
	sent                        int // tick
	active                      uint64
	index                       int // of the log when the leader was confirmed; -1: not yet
	granted                     bool
}

// fenceMember is a member.
type fenceMember struct {
	incarnation int
	active      uint64 // number of the settings that it acts on
	leaseEnd    int    // tick; 0: no lease
	applied     int    // entries of the log
}

// fenceWorld is one state.
type fenceWorld struct {
	conf          *FenceConfig
	now           int             // ticks
	log           []*rollout.Plan // after each entry
	agreedAt      []int           // tick, by entry
	leader        int             // the real one
	leaderChanges int
	restarts      int
	requested     int               // leases
	applied       [fenceLeaders]int // entries of the log
	members       []fenceMember
	requests      []fenceRequest
	violation     string // empty: none
}

// clone returns a copy that shares nothing that changes.
func (w *fenceWorld) clone() *fenceWorld {
	c := *w
	c.log, c.agreedAt = slices.Clone(w.log), slices.Clone(w.agreedAt)
	c.members, c.requests = slices.Clone(w.members), slices.Clone(w.requests)
	return &c
}

// key returns a text of a state: states with the same one have the same future.
func (w *fenceWorld) key() string {
	return fmt.Sprint(w.now, len(w.log), w.agreedAt, w.leader, w.leaderChanges, w.restarts, w.requested, w.applied, w.members, w.requests)
}

// plan returns the plan after so many entries of the log.
func (w *fenceWorld) plan(entries int) *rollout.Plan {
	if entries == 0 {
		return &rollout.Plan{}
	}
	return w.log[entries-1]
}

// memberName returns the name of a member.
func memberName(i int) string { return fmt.Sprint("m", i) }

// checkFence has a member act, and checks that no fence above its version was agreed longer than a lease ago.
func (w *fenceWorld) checkFence(m *fenceMember) {
	for i, p := range w.log {
		if p.Fence > m.active && w.now > w.agreedAt[i]+fenceLease {
			w.violation = fmt.Sprintf("acts on %d at %d, fence %d was agreed at %d", m.active, w.now, p.Fence, w.agreedAt[i])
			return
		}
	}
}

// agree appends the next command to the log. The leader has applied it.
func (w *fenceWorld) agree() {
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
	w.log, w.agreedAt = append(w.log, next), append(w.agreedAt, w.now)
	w.applied[w.leader] = len(w.log)
}

// fenceStep is one thing that may happen next.
type fenceStep struct {
	name string
	do   func(*fenceWorld)
}

// fenceSteps collects what may happen next.
type fenceSteps struct{ steps []fenceStep }

// add adds a step.
func (s *fenceSteps) add(name string, do func(*fenceWorld)) {
	s.steps = append(s.steps, fenceStep{name, do})
}

// steps returns what may happen next, in a fixed order.
func (w *fenceWorld) steps() []fenceStep {
	s := &fenceSteps{}
	if w.now < w.conf.Ticks {
		s.add("tick", func(w *fenceWorld) { w.now++ })
	}
	if len(w.log) < len(w.conf.Commands) {
		s.add("agree", (*fenceWorld).agree)
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

// memberSteps adds what a member may do.
func (w *fenceWorld) memberSteps(s *fenceSteps, i int) {
	add := func(what string, do func(*fenceWorld)) { s.add(memberName(i)+" "+what, do) }
	m := w.members[i]
	if w.requested < w.conf.LeaseRequests {
		for l := range w.applied {
			add(fmt.Sprintf("requests a lease of leader %d", l), func(w *fenceWorld) {
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
		add("forgets its version", func(w *fenceWorld) { w.members[i].active = 0 })
	}
}

// requestSteps adds the next step of a lease request.
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

// deliverGrant extends the lease of a member, unless it has restarted since.
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

// answerRequest has a leader grant or drop a request.
func (w *fenceWorld) answerRequest(i int) {
	r := w.requests[i]
	if w.conf.Fault == FenceIgnored || w.plan(w.applied[r.leader]).MayLease(memberName(r.member), r.active) {
		w.requests[i].granted = true
		return
	}
	w.requests = slices.Delete(w.requests, i, i+1)
}

// ExhaustiveFenceSearch explores all orders of events, each state once, up to the first in which a member acts below the fence later than a lease after it was
// agreed. Its error is that of ctx.
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
