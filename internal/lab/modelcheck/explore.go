// Package modelcheck looks for orders of events under which custody breaks a promise.
//
// Its world is abstract: an agreed log, leases that end only when the world says so, a network that loses, doubles
// and reorders, processes that crash, restart and pause between a check and the write that follows it.
// What is checked is what servers ran and what clients were told, never a node's own view.
package modelcheck

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"

	"damsonscale/internal/takeover"
)

// Budget bounds what may go wrong in one history.
type Budget struct{ Crashes, Losses, Doubles, Ticks, Waits, Asks, Restarts, Fences int }

// Budgets for looking at every order, and for going one way at random.
var (
	Little = Budget{Crashes: 1, Losses: 1, Doubles: 1, Ticks: 1, Waits: 1, Asks: 2, Restarts: 1, Fences: 1}
	Much   = Budget{Crashes: 4, Losses: 8, Doubles: 8, Ticks: 20, Waits: 4, Asks: 6, Restarts: 4, Fences: 5}
)

// Config is what is explored.
type Config struct {
	Effects []takeover.Idempotency // of the requests
	Strict  bool                   // keyed work too goes out under custody alone
	Plant   takeover.InjectedFault
	Budget  Budget
}

const (
	unknown = "unknown" // why a request fails of which nobody that can be reached can say what became of it
	again   = 10
	wait    = 100
	longest = 1000
)

var names = []string{"a", "b", "c"}

// message is one on its way.
type message struct {
	from takeover.Member
	to   string
	m    takeover.Message
}

// proc is one name's process.
type proc struct {
	up    bool
	me    takeover.Member
	lease bool // until the world ends it
	now   int64
	epoch int // of the log, as it has learned it
	node  *takeover.Node
	work  map[int]*work // by request
	waits map[int]bool  // requests whose clients wait here
	asked map[int]int   // the step at which they asked
}

// work is a request that this process may send.
type work struct {
	owned   bool // under custody: the lease counts
	checked bool // the lease was looked at, the write comes next
	sent    bool
	answer  int // run at the server; 0: none
}

// entry is one of the log.
type entry struct {
	m   takeover.Member
	out bool
}

// request is what the world knows of one.
type request struct {
	effect takeover.Idempotency
	asks   int
	runs   int  // with an effect
	owned  int  // runs under custody: no refusal goes with one. A key's other runs are dropped by servers, so that it may
	served int  // the run whose answer a client was given; 0: none
	kept   bool // a quorum had that answer
	told   []string
}

// world is a state.
type world struct {
	conf     *Config
	left     Budget
	log      []entry
	incs     map[string]uint64
	procs    []*proc
	net      []message
	requests []*request
	broken   string
	step     int
	history  []Heard
}

// Heard is what a client was told by one member, between two steps of a history.
type Heard struct {
	Request   int
	From, To  int
	Answer    string
	Undecided bool // nobody could say, or it was refused: this says nothing of the request
}

func start(c *Config) *world {
	w := &world{conf: c, left: c.Budget, incs: map[string]uint64{}}
	for _, e := range c.Effects {
		w.requests = append(w.requests, &request{effect: e})
	}
	for _, name := range names {
		w.incs[name] = 1
		w.log = append(w.log, entry{m: takeover.Member{Name: name, Incarnation: 1}})
	}
	for _, name := range names {
		p := w.process(name, 1)
		w.procs = append(w.procs, p)
		w.learn(p)
	}
	return w
}

func (w *world) process(name string, inc uint64) *proc {
	me := takeover.Member{Name: name, Incarnation: inc}
	return &proc{
		up: true, me: me, lease: true, work: map[int]*work{}, waits: map[int]bool{}, asked: map[int]int{},
		node: takeover.New(takeover.Config{
			Self: me, MemberNames: names, ReplicationFactor: 3, MaxRecords: 100, MaxBytes: 1 << 20, Retention: longest, MaxRequestAge: longest, QuorumTimeout: wait, ResendInterval: again,
			TakeoverStagger: again, Fault: w.conf.Plant,
		}),
	}
}

// view is the log's meaning up to an epoch.
func (w *world) view(epoch int) *takeover.View {
	v := &takeover.View{Epoch: uint64(epoch), Members: map[takeover.Member]takeover.MemberInfo{}}
	met := map[string]bool{}
	for i, e := range w.log[:epoch] {
		if e.out {
			delete(v.Members, e.m)
			continue
		}
		v.Members[e.m] = takeover.MemberInfo{JoinedEpoch: uint64(i + 1), FirstIncarnation: !met[e.m.Name]}
		met[e.m.Name] = true
	}
	return v
}

func (w *world) learn(p *proc) {
	p.epoch = len(w.log)
	p.node.ApplyView(p.now, w.view(p.epoch))
	w.settle(p)
}

func id(i int) string { return fmt.Sprint("r", i) }

func index(id string) (i int) { fmt.Sscanf(id, "r%d", &i); return i }

func (w *world) record(i int) takeover.Record {
	r := takeover.Record{ID: id(i), Digest: 1, Idempotency: w.requests[i].effect, DeadlineAge: longest}
	if r.Idempotency == takeover.IdempotentByKey {
		r.Request = []byte("x")
	}
	return r
}

// settle carries out what a node has said.
func (w *world) settle(p *proc) {
	for {
		for _, t := range p.node.TakeMessages() {
			w.net = append(w.net, message{p.me, t.To, t.Message})
		}
		events := p.node.TakeEvents()
		if len(events) == 0 {
			return
		}
		for _, e := range events {
			w.does(p, e)
		}
	}
}

// does is what the program does on a node's word.
func (w *world) does(p *proc, e takeover.Event) {
	i := index(e.ID)
	if e.TakenOver && (e.Decision == takeover.Execute || e.Decision == takeover.ReturnStored && e.ConcludedHere) &&
		e.PreviousOwner != p.me && w.view(len(w.log)).Contains(e.PreviousOwner) {
		w.breaks("%s takes %s from %s, which lives", p.me.Name, e.ID, e.PreviousOwner.Name)
	}
	switch e.Decision {
	case takeover.Execute:
		p.work[i] = &work{owned: true}
	case takeover.ReturnStored:
		w.tell(p, i, e.Record.Response)
	case takeover.QuorumUnavailable:
		switch e.Fallback(w.conf.Strict || w.requests[i].effect == takeover.NotIdempotent) { // without records unsafe work may run twice
		case takeover.RejectRequest:
			w.tell(p, i, takeover.Response{Status: takeover.Rejected})
		case takeover.FailRequest:
			p.node.Drop(e.ID)
			w.tell(p, i, takeover.Response{Status: takeover.Failed, Reason: unknown})
		default:
			p.node.Drop(e.ID)
			p.work[i] = &work{}
		}
	case takeover.DuplicateID, takeover.OwnershipLost:
		delete(p.waits, i)
		delete(p.work, i)
	case takeover.OwnerEvicted:
		if p.work[i] == nil {
			p.node.Resume(p.now, e.Record)
		}
	case takeover.Replicated:
		w.requests[i].kept = w.requests[i].kept || w.requests[i].served != 0
	}
}

// tell gives a client that waits here its answer, and looks whether it agrees with what was told before.
func (w *world) tell(p *proc, i int, a takeover.Response) {
	if !p.waits[i] {
		return
	}
	delete(p.waits, i)
	r := w.requests[i]
	w.history = append(w.history, Heard{
		i, p.asked[i], w.step, fmt.Sprint(a.Status, a.Body), a.Status == takeover.Rejected || a.Reason == unknown || r.effect == takeover.Idempotent,
	})
	r.told = append(r.told, fmt.Sprint(a.Status, string(a.Body)))
	switch a.Status {
	case takeover.Served:
		run := int(a.Body[0])
		if r.effect != takeover.Idempotent && r.served != 0 && r.served != run {
			w.breaks("two answers to %s", id(i))
		}
		r.served = run
	case takeover.Rejected:
		if r.owned > 0 {
			w.breaks("%s is refused though it ran", id(i))
		}
		for _, o := range w.procs { // a client that takes a refusal ends its other asks
			if delete(o.waits, i); o.up && o.node.IsPreparing(id(i)) {
				o.node.Drop(id(i))
			}
		}
	case takeover.Failed:
		if r.kept && a.Reason != unknown {
			w.breaks("%s fails though a quorum had its answer", id(i))
		}
	}
}

func (w *world) breaks(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf(format, args...)
	}
}

// move is one thing that may happen next.
type move struct {
	name string
	do   func(*world)
}

// moves lists what may happen, in a fixed order.
func (w *world) moves() (out []move) {
	can := func(left int, name string, do func(*world)) {
		if left > 0 {
			out = append(out, move{name, do})
		}
	}
	for i, m := range w.net {
		if slices.ContainsFunc(w.net[:i], func(o message) bool { return same(o, m) }) {
			continue
		}
		what := fmt.Sprintf("%s%d to %s: %s of %s at %d seq %d", m.from.Name, m.from.Incarnation, m.to, kinds[m.m.Kind], m.m.ID, m.m.Ballot.Round, m.m.Seq)
		can(1, "deliver "+what, func(w *world) { w.deliver(i, true) })
		can(w.left.Doubles, "deliver and keep "+what, func(w *world) { w.left.Doubles--; w.deliver(i, false) })
		can(w.left.Losses, "lose "+what, func(w *world) { w.left.Losses--; w.net = slices.Delete(w.net, i, i+1) })
	}
	for n, p := range w.procs {
		name := p.me.Name
		if p.up {
			for i, r := range w.requests {
				if r.asks == 0 {
					can(w.left.Asks, "ask "+name+" for "+id(i), func(w *world) { w.ask(n, i, false) })
				} else if !p.waits[i] && len(r.told) == 0 {
					can(w.left.Asks, "ask "+name+" again for "+id(i), func(w *world) { w.ask(n, i, true) })
				}
				if k := p.work[i]; k != nil {
					w.sends(&out, n, i, k)
				}
			}
			can(w.left.Crashes, "crash "+name, func(w *world) { w.left.Crashes--; w.procs[n].up = false; w.procs[n].node = nil })
			can(w.left.Ticks, "turn of "+name, func(w *world) { w.left.Ticks--; w.tick(n, again) })
			can(w.left.Waits, "wait of "+name, func(w *world) { w.left.Waits--; w.tick(n, wait) })
			if p.epoch < len(w.log) {
				can(1, "log to "+name, func(w *world) { w.learn(w.procs[n]) })
			}
		} else {
			can(w.left.Restarts, "restart "+name, func(w *world) { w.left.Restarts--; w.restart(n) })
		}
		if p.lease {
			can(w.left.Fences, "lease of "+name+" ends", func(w *world) { w.left.Fences--; w.procs[n].lease = false })
		} else if w.view(len(w.log)).Contains(p.me) {
			can(1, "out with "+name, func(w *world) { w.log = append(w.log, entry{w.procs[n].me, true}) })
		}
	}
	return out
}

var kinds = [...]string{"write", "ask", "accepted", "promised", "lives", "outbid", "out", "behind", "young", "full", "other", "expired"}

func same(a, b message) bool {
	return a.from == b.from && a.to == b.to && a.m.Kind == b.m.Kind && a.m.ID == b.m.ID && a.m.Ballot == b.m.Ballot && reflect.DeepEqual(a.m, b.m)
}

// sends lists the steps of a request that this process may send: look at the lease, write, take the answer.
func (w *world) sends(out *[]move, n, i int, k *work) {
	name := w.procs[n].me.Name + " " + id(i)
	switch {
	case !k.checked:
		*out = append(*out, move{"check " + name, func(w *world) {
			p := w.procs[n]
			if k := p.work[i]; !k.owned || p.lease || w.conf.Plant == takeover.IgnoreLease {
				k.checked = true
				if k.owned && !p.lease {
					w.breaks("%s sends %s after its lease", p.me.Name, id(i))
				}
			} else {
				delete(p.work, i)
				delete(p.waits, i)
			}
		}})
	case !k.sent:
		*out = append(*out, move{"write " + name, func(w *world) {
			k, r := w.procs[n].work[i], w.requests[i]
			k.sent = true
			if r.effect != takeover.IdempotentByKey || r.runs == 0 { // a key that is known has no second effect
				r.runs++
			}
			k.answer = r.runs
			if k.owned {
				r.owned++
			}
			if r.effect == takeover.NotIdempotent && r.runs > 1 {
				w.breaks("%s runs twice", id(i))
			}
			if k.owned && slices.ContainsFunc(r.told, func(t string) bool { return strings.HasPrefix(t, fmt.Sprint(takeover.Rejected)) }) {
				w.breaks("%s runs though it was refused", id(i))
			}
		}})
	default:
		*out = append(*out, move{"answer " + name, func(w *world) {
			p := w.procs[n]
			k := p.work[i]
			delete(p.work, i)
			if k.owned && !p.lease {
				delete(p.waits, i)
				return
			}
			a := takeover.Response{Status: takeover.Served, Body: []byte{byte(k.answer)}}
			if k.owned {
				p.node.Complete(p.now, id(i), a)
			}
			w.tell(p, i, a)
			w.settle(p)
		}})
	}
}

func (w *world) ask(n, i int, resume bool) {
	p := w.procs[n]
	w.left.Asks--
	w.requests[i].asks++
	p.waits[i], p.asked[i] = true, w.step
	if p.work[i] != nil {
		return // it waits for what is under way
	}
	if resume {
		p.node.Resume(p.now, w.record(i))
	} else {
		p.node.Begin(p.now, w.record(i))
	}
	w.settle(p)
}

func (w *world) tick(n int, by int64) {
	p := w.procs[n]
	p.now += by
	p.node.Tick(p.now)
	w.settle(p)
}

// restart starts a process of a name again: the log lists it once the one before is out.
func (w *world) restart(n int) {
	old := w.procs[n]
	if old.lease || w.view(len(w.log)).Contains(old.me) {
		return
	}
	w.incs[old.me.Name]++
	p := w.process(old.me.Name, w.incs[old.me.Name])
	w.log = append(w.log, entry{m: p.me})
	w.procs[n] = p
	w.learn(p)
}

func (w *world) deliver(i int, remove bool) {
	m := w.net[i]
	if remove {
		w.net = slices.Delete(w.net, i, i+1)
	}
	for _, p := range w.procs {
		if p.me.Name != m.to || !p.up {
			continue
		}
		one := m.m
		if one.Epoch > uint64(p.epoch) { // the program fetches the log first
			w.learn(p)
		}
		p.node.Handle(p.now, m.from, &one)
		w.settle(p)
	}
}

func (w *world) clone() *world {
	c := *w
	c.log, c.net, c.history = slices.Clone(w.log), slices.Clone(w.net), slices.Clone(w.history)
	c.incs = map[string]uint64{}
	for k, v := range w.incs {
		c.incs[k] = v
	}
	c.procs, c.requests = nil, nil
	for _, p := range w.procs {
		q := *p
		if p.node != nil {
			q.node = p.node.Clone()
		}
		q.work, q.waits, q.asked = map[int]*work{}, map[int]bool{}, map[int]int{}
		for i, k := range p.work {
			one := *k
			q.work[i] = &one
		}
		for i, v := range p.waits {
			q.waits[i] = v
		}
		for i, v := range p.asked {
			q.asked[i] = v
		}
		c.procs = append(c.procs, &q)
	}
	for _, r := range w.requests {
		one := *r
		one.told = slices.Clone(r.told)
		c.requests = append(c.requests, &one)
	}
	return &c
}

// print is a fingerprint: states that print alike have the same future.
func (w *world) print() [16]byte {
	h := fnv.New128a()
	fmt.Fprint(h, w.left, w.log)
	for _, p := range w.procs {
		fmt.Fprint(h, p.up, p.lease, p.epoch, p.now, p.waits)
		for i := range w.requests {
			if k := p.work[i]; k != nil {
				fmt.Fprint(h, i, *k)
			}
		}
		if p.node != nil {
			p.node.WriteState(h)
		}
	}
	var net []string
	for _, m := range w.net {
		one := m.m
		one.Record = nil
		text := fmt.Sprint(m.from, m.to, one)
		if m.m.Record != nil {
			text += fmt.Sprint(*m.m.Record)
		}
		net = append(net, text)
	}
	slices.Sort(net)
	fmt.Fprint(h, net)
	for _, r := range w.requests {
		fmt.Fprint(h, *r)
	}
	var out [16]byte
	h.Sum(out[:0])
	return out
}

// Found is what an exploration came to.
type Found struct {
	States int
	Broken string   // empty: nothing
	Trace  []string // the moves that led there
	Heard  []Heard  // by clients, with Walk
	Met    Met      // with WalkCells
}

// Exhaust looks at every order of moves up to a depth, each state once, shallow ones first.
func Exhaust(ctx context.Context, c Config, depth int) (Found, error) {
	type node struct {
		w    *world
		up   *node
		move string
	}
	first := &node{w: start(&c)}
	seen, level := map[[16]byte]bool{first.w.print(): true}, []*node{first}
	for ; depth > 0 && len(level) > 0; depth-- {
		var next []*node
		for _, at := range level {
			if err := ctx.Err(); err != nil {
				return Found{States: len(seen)}, err
			}
			for _, m := range at.w.moves() {
				w := at.w.clone()
				m.do(w)
				one := &node{w, at, m.name}
				if w.broken != "" {
					f := Found{States: len(seen), Broken: w.broken}
					for ; one.up != nil; one = one.up {
						f.Trace = append(f.Trace, one.move)
					}
					slices.Reverse(f.Trace)
					return f, nil
				}
				if p := w.print(); !seen[p] {
					seen[p] = true
					next = append(next, one)
				}
			}
			at.w = nil // its moves are made
		}
		level = next
	}
	return Found{States: len(seen)}, nil
}

// Walk goes one way at random from a seed, for at most so many steps.
func Walk(c Config, seed uint64, steps int) Found {
	random := rand.New(rand.NewPCG(seed, 4))
	w := start(&c)
	f := Found{}
	for range steps {
		moves := w.moves()
		if len(moves) == 0 {
			break
		}
		m := moves[random.IntN(len(moves))]
		w.step++
		m.do(w)
		f.States++
		f.Heard = w.history
		f.Trace = append(f.Trace, m.name)
		if w.broken != "" {
			f.Broken = w.broken
			return f
		}
	}
	f.Trace = nil
	return f
}
