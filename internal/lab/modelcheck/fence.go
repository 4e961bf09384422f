package modelcheck

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"damsonscale/internal/rollout"
)

// Slip is a mistake in how leases follow the fence, to show that the search finds it.
type Slip uint8

const (
	NoSlip        Slip = iota
	FenceIgnored       // the leader does not look at the fence
	StaleLog           // it goes by the log as it has it when the ask comes, unconfirmed
	FromTheGrant       // a lease counts from when its grant comes, not from when it was asked for
	NumberForgets      // a member goes back to its own file and keeps its lease
)

// FenceConfig is a small world of leases and versions: members ask leaders, of whom one is the real one, and act.
type FenceConfig struct {
	Members int
	Orders  []rollout.Kind // that are agreed, in this order; a target that is not whole first is widened by Widen
	Turns   int            // changes of the leader
	Starts  int            // restarts of members, which forget all
	Ticks   int            // of time
	Asks    int            // for a lease, of all members together
	Slip    Slip
}

const (
	fenceLease   = 2 // ticks
	fenceLeaders = 2
)

// fenceAsk is an ask for a lease on its way through one leader.
type fenceAsk struct {
	member, leader, life int
	sent                 int
	acts                 uint64
	index                int // of the log at the confirmation; -1: not confirmed
	granted              bool
}

type fenceMember struct {
	life  int // restarts
	acts  uint64
	until int // of its lease, in ticks; 0: none
	seen  int // of the log
}

// fenceWorld is one state.
type fenceWorld struct {
	conf    *FenceConfig
	now     int
	log     []*rollout.Plan // after each entry
	at      []int           // when each was agreed
	leader  int             // the real one
	turns   int
	starts  int
	asked   int
	applied [fenceLeaders]int
	members []fenceMember
	asks    []fenceAsk
	broken  string
}

func (w *fenceWorld) clone() *fenceWorld {
	c := *w
	c.log, c.at = slices.Clone(w.log), slices.Clone(w.at)
	c.members, c.asks = slices.Clone(w.members), slices.Clone(w.asks)
	return &c
}

func (w *fenceWorld) key() string {
	return fmt.Sprint(w.now, len(w.log), w.at, w.leader, w.turns, w.starts, w.asked, w.applied, w.members, w.asks)
}

func (w *fenceWorld) plan(n int) *rollout.Plan {
	if n == 0 {
		return &rollout.Plan{}
	}
	return w.log[n-1]
}

// act has a member act, and tells whether it may still.
func (w *fenceWorld) act(m *fenceMember) {
	for i, p := range w.log {
		if p.Fence > m.acts && w.now > w.at[i]+fenceLease {
			w.broken = fmt.Sprintf("acts on %d at %d, fence %d was agreed at %d", m.acts, w.now, p.Fence, w.at[i])
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
	if n := len(w.log); n < len(w.conf.Orders) {
		add("agree", func(w *fenceWorld) {
			p := w.plan(n)
			o := &rollout.Command{Kind: w.conf.Orders[n], ID: uint64(n + 1), Author: "x", Number: p.Target}
			if o.Kind == rollout.RollOut {
				o.Settings, o.Share = []byte{byte(n)}, rollout.FullShare
			}
			next, err := p.Apply(o, names, names)
			if err != nil {
				w.broken = err.Error()
			}
			w.log, w.at = append(w.log, next), append(w.at, w.now)
			w.applied[w.leader] = len(w.log) // a leader has what it had agreed
		})
	}
	if w.turns < w.conf.Turns {
		add("turn", func(w *fenceWorld) { w.leader, w.turns = 1-w.leader, w.turns+1 })
	}
	for l := range w.applied {
		if w.applied[l] < len(w.log) {
			add(fmt.Sprintf("apply at %d", l), func(w *fenceWorld) { w.applied[l]++ })
		}
	}
	for i := range w.members {
		out = append(out, w.ofMember(i)...)
	}
	for i := range w.asks {
		out = append(out, w.ofAsk(i)...)
	}
	return out
}

func (w *fenceWorld) ofMember(i int) (out []fenceStep) {
	add := func(name string, do func(*fenceWorld)) {
		out = append(out, fenceStep{fmt.Sprintf("m%d %s", i, name), do})
	}
	m := w.members[i]
	if w.asked < w.conf.Asks {
		for l := range w.applied {
			add(fmt.Sprintf("asks %d", l), func(w *fenceWorld) {
				w.asked++
				w.asks = append(w.asks, fenceAsk{member: i, leader: l, life: m.life, sent: w.now, acts: m.acts, index: -1})
			})
		}
	}
	if m.until > w.now {
		add("acts", func(w *fenceWorld) { w.act(&w.members[i]) })
	}
	if m.seen < len(w.log) {
		add("learns", func(w *fenceWorld) { w.members[i].seen++ })
	}
	if want := w.plan(m.seen).TargetFor(fmt.Sprint("m", i)); want > m.acts {
		add("adopts", func(w *fenceWorld) { w.members[i].acts = want })
	}
	if w.starts < w.conf.Starts {
		add("restarts", func(w *fenceWorld) {
			w.starts++
			w.members[i] = fenceMember{life: m.life + 1}
		})
	}
	if w.conf.Slip == NumberForgets && m.acts > 0 {
		add("forgets", func(w *fenceWorld) { w.members[i].acts = 0 })
	}
	return out
}

func (w *fenceWorld) ofAsk(i int) (out []fenceStep) {
	a := w.asks[i]
	switch {
	case a.granted:
		out = append(out, fenceStep{fmt.Sprintf("grant %d comes", i), func(w *fenceWorld) {
			m := &w.members[a.member]
			w.asks = slices.Delete(w.asks, i, i+1)
			if m.life != a.life {
				return // of another incarnation
			}
			from := a.sent
			if w.conf.Slip == FromTheGrant {
				from = w.now
			}
			m.until = max(m.until, from+fenceLease)
		}})
	case a.index < 0 && w.leader == a.leader:
		out = append(out, fenceStep{fmt.Sprintf("ask %d is confirmed", i), func(w *fenceWorld) { w.asks[i].index = len(w.log) }})
	}
	if a.index >= 0 && !a.granted && w.applied[a.leader] >= a.index || w.conf.Slip == StaleLog && !a.granted {
		out = append(out, fenceStep{fmt.Sprintf("ask %d is answered", i), func(w *fenceWorld) {
			if w.conf.Slip == FenceIgnored || w.plan(w.applied[a.leader]).MayLease(fmt.Sprint("m", a.member), a.acts) {
				w.asks[i].granted = true
				return
			}
			w.asks = slices.Delete(w.asks, i, i+1)
		}})
	}
	return out
}

// ExhaustFence looks at every order of events of a world of leases and versions, and tells the first in which a member acts
// below the fence later than a lease after it was agreed.
func ExhaustFence(ctx context.Context, conf FenceConfig) (Found, error) {
	start := &fenceWorld{conf: &conf, members: make([]fenceMember, conf.Members)}
	met := map[string]bool{start.key(): true}
	type node struct {
		w     *fenceWorld
		trace []string
	}
	f := Found{}
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
			if next.broken != "" {
				f.Broken, f.Trace = next.broken, trace
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
	for _, o := range c.Orders {
		orders = append(orders, o.String())
	}
	return fmt.Sprintf("members=%d orders=%s turns=%d starts=%d ticks=%d asks=%d", c.Members, strings.Join(orders, ","), c.Turns, c.Starts, c.Ticks, c.Asks)
}
