package modelcheck

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"damsonscale/internal/rollout"
)

// LeaseFault is a mistake in how leases follow the fence, to show that the search finds it.
type LeaseFault uint8

const (
	NoLeaseFault     LeaseFault = iota
	FenceIgnored                // the leader does not look at the fence
	StaleLog                    // it goes by the log as it has it when the ask comes, unconfirmed
	CountedFromGrant            // a lease counts from when its grant comes, not from when it was asked for
	VersionForgotten            // a member goes back to its own file and keeps its lease
)

// FenceConfig is a small world of leases and versions: members ask leaders, of whom one is the real one, and act.
type FenceConfig struct {
	Members       int
	Commands      []rollout.Kind // that are agreed, in this order; a target that is not whole first is widened by Widen
	LeaderChanges int            // changes of the leader
	Restarts      int            // restarts of members, which forget all
	Ticks         int            // of time
	LeaseRequests int            // for a lease, of all members together
	Fault         LeaseFault
}

const (
	fenceLease   = 2 // ticks
	fenceLeaders = 2
)

// fenceRequest is an ask for a lease on its way through one leader.
type fenceRequest struct {
	member, leader, incarnation int
	sent                        int
	active                      uint64
	index                       int // of the log at the confirmation; -1: not confirmed
	granted                     bool
}

type fenceMember struct {
	incarnation int // restarts
	active      uint64
	leaseEnd    int // of its lease, in ticks; 0: none
	applied     int // of the log
}

// fenceWorld is one state.
type fenceWorld struct {
	conf          *FenceConfig
	now           int
	log           []*rollout.Plan // after each entry
	agreedAt      []int           // when each was agreed
	leader        int             // the real one
	leaderChanges int
	restarts      int
	requested     int
	applied       [fenceLeaders]int
	members       []fenceMember
	requests      []fenceRequest
	violation     string
}

func (w *fenceWorld) clone() *fenceWorld {
	c := *w
	c.log, c.agreedAt = slices.Clone(w.log), slices.Clone(w.agreedAt)
	c.members, c.requests = slices.Clone(w.members), slices.Clone(w.requests)
	return &c
}

func (w *fenceWorld) key() string {
	return fmt.Sprint(w.now, len(w.log), w.agreedAt, w.leader, w.leaderChanges, w.restarts, w.requested, w.applied, w.members, w.requests)
}

func (w *fenceWorld) plan(n int) *rollout.Plan {
	if n == 0 {
		return &rollout.Plan{}
	}
	return w.log[n-1]
}

// checkFence has a member act, and tells whether it may still.
func (w *fenceWorld) checkFence(m *fenceMember) {
	for i, p := range w.log {
		if p.Fence > m.active && w.now > w.agreedAt[i]+fenceLease {
			w.violation = fmt.Sprintf("acts on %d at %d, fence %d was agreed at %d", m.active, w.now, p.Fence, w.agreedAt[i])
			return
		}
	}
}

type fenceStep struct {
	name string
	do   func(*fenceWorld)
}

// steps lists what may happen next.
func (w *fenceWorld) steps() (out []fenceStep) {
	add := func(name string, do func(*fenceWorld)) { out = append(out, fenceStep{name, do}) }
	names := make([]string, len(w.members))
	for i := range names {
		names[i] = fmt.Sprint("m", i)
	}
	if w.now < w.conf.Ticks {
		add("tick", func(w *fenceWorld) { w.now++ })
	}
	if n := len(w.log); n < len(w.conf.Commands) {
		add("agree", func(w *fenceWorld) {
			p := w.plan(n)
			o := &rollout.Command{Kind: w.conf.Commands[n], ID: uint64(n + 1), Author: "x", Number: p.Target}
			if o.Kind == rollout.RollOut {
				o.Settings, o.Share = []byte{byte(n)}, rollout.FullShare
			}
			next, err := p.Apply(o, names, names)
			if err != nil {
				w.violation = err.Error()
			}
			w.log, w.agreedAt = append(w.log, next), append(w.agreedAt, w.now)
			w.applied[w.leader] = len(w.log) // a leader has what it had agreed
		})
	}
	if w.leaderChanges < w.conf.LeaderChanges {
		add("turn", func(w *fenceWorld) { w.leader, w.leaderChanges = 1-w.leader, w.leaderChanges+1 })
	}
	for l := range w.applied {
		if w.applied[l] < len(w.log) {
			add(fmt.Sprintf("apply at %d", l), func(w *fenceWorld) { w.applied[l]++ })
		}
	}
	for i := range w.members {
		out = append(out, w.memberSteps(i)...)
	}
	for i := range w.requests {
		out = append(out, w.requestSteps(i)...)
	}
	return out
}

func (w *fenceWorld) memberSteps(i int) (out []fenceStep) {
	add := func(name string, do func(*fenceWorld)) {
		out = append(out, fenceStep{fmt.Sprintf("m%d %s", i, name), do})
	}
	m := w.members[i]
	if w.requested < w.conf.LeaseRequests {
		for l := range w.applied {
			add(fmt.Sprintf("asks %d", l), func(w *fenceWorld) {
				w.requested++
				w.requests = append(w.requests, fenceRequest{member: i, leader: l, incarnation: m.incarnation, sent: w.now, active: m.active, index: -1})
			})
		}
	}
	if m.leaseEnd > w.now {
		add("acts", func(w *fenceWorld) { w.checkFence(&w.members[i]) })
	}
	if m.applied < len(w.log) {
		add("learns", func(w *fenceWorld) { w.members[i].applied++ })
	}
	if want := w.plan(m.applied).TargetFor(fmt.Sprint("m", i)); want > m.active {
		add("adopts", func(w *fenceWorld) { w.members[i].active = want })
	}
	if w.restarts < w.conf.Restarts {
		add("restarts", func(w *fenceWorld) {
			w.restarts++
			w.members[i] = fenceMember{incarnation: m.incarnation + 1}
		})
	}
	if w.conf.Fault == VersionForgotten && m.active > 0 {
		add("forgets", func(w *fenceWorld) { w.members[i].active = 0 })
	}
	return out
}

func (w *fenceWorld) requestSteps(i int) (out []fenceStep) {
	a := w.requests[i]
	switch {
	case a.granted:
		out = append(out, fenceStep{fmt.Sprintf("grant %d comes", i), func(w *fenceWorld) {
			m := &w.members[a.member]
			w.requests = slices.Delete(w.requests, i, i+1)
			if m.incarnation != a.incarnation {
				return // of another incarnation
			}
			from := a.sent
			if w.conf.Fault == CountedFromGrant {
				from = w.now
			}
			m.leaseEnd = max(m.leaseEnd, from+fenceLease)
		}})
	case a.index < 0 && w.leader == a.leader:
		out = append(out, fenceStep{fmt.Sprintf("ask %d is confirmed", i), func(w *fenceWorld) { w.requests[i].index = len(w.log) }})
	}
	if a.index >= 0 && !a.granted && w.applied[a.leader] >= a.index || w.conf.Fault == StaleLog && !a.granted {
		out = append(out, fenceStep{fmt.Sprintf("ask %d is answered", i), func(w *fenceWorld) {
			if w.conf.Fault == FenceIgnored || w.plan(w.applied[a.leader]).MayLease(fmt.Sprint("m", a.member), a.active) {
				w.requests[i].granted = true
				return
			}
			w.requests = slices.Delete(w.requests, i, i+1)
		}})
	}
	return out
}

// ExhaustFence looks at every order of events of a world of leases and versions, and tells the first in which a member acts
// below the fence later than a lease after it was agreed.
func ExhaustFence(ctx context.Context, conf FenceConfig) (Result, error) {
	start := &fenceWorld{conf: &conf, members: make([]fenceMember, conf.Members)}
	met := map[string]bool{start.key(): true}
	type node struct {
		w     *fenceWorld
		trace []string
	}
	f := Result{}
	for todo := []node{{w: start}}; len(todo) > 0; {
		if err := ctx.Err(); err != nil {
			return f, err
		}
		n := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		f.States++
		for _, s := range n.w.steps() {
			next := n.w.clone()
			s.do(next)
			trace := append(slices.Clip(n.trace), s.name)
			if next.violation != "" {
				f.Violation, f.Trace = next.violation, trace
				return f, nil
			}
			if k := next.key(); !met[k] {
				met[k] = true
				todo = append(todo, node{next, trace})
			}
		}
	}
	return f, nil
}

// String tells a world of fences in a line.
func (c FenceConfig) String() string {
	var orders []string
	for _, o := range c.Commands {
		orders = append(orders, o.String())
	}
	return fmt.Sprintf("members=%d orders=%s turns=%d starts=%d ticks=%d asks=%d", c.Members, strings.Join(orders, ","), c.LeaderChanges, c.Restarts, c.Ticks, c.LeaseRequests)
}
