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
type Budget struct{ Crashes, Losses, Duplicates, Ticks, QuorumTimeouts, Attempts, Restarts, LeaseExpiries int }

// Budgets for looking at every order, and for going one way at random.
var (
	SmallBudget = Budget{Crashes: 1, Losses: 1, Duplicates: 1, Ticks: 1, QuorumTimeouts: 1, Attempts: 2, Restarts: 1, LeaseExpiries: 1}
	LargeBudget = Budget{Crashes: 4, Losses: 8, Duplicates: 8, Ticks: 20, QuorumTimeouts: 4, Attempts: 6, Restarts: 4, LeaseExpiries: 5}
)

// Config is what is explored.
type Config struct {
	Idempotency []takeover.Idempotency // of the requests
	Strict      bool                   // keyed work too goes out under custody alone
	Fault       takeover.InjectedFault
	Budget      Budget
}

const (
	unknown        = "unknown" // why a request fails of which nobody that can be reached can say what became of it
	resendInterval = 10
	quorumTimeout  = 100
	maxAge         = 1000
)

var names = []string{"a", "b", "c"}

// message is one on its way.
type message struct {
	from takeover.Member
	to   string
	m    takeover.Message
}

// process is one name's process.
type process struct {
	up             bool
	self           takeover.Member
	lease          bool // until the world ends it
	now            int64
	epoch          int // of the log, as it has learned it
	node           *takeover.Node
	attempts       map[int]*attempt // by request
	waitingClients map[int]bool     // requests whose clients wait here
	askedAt        map[int]int      // the step at which they asked
}

// attempt is a request that this process may send.
type attempt struct {
	owned        bool // under custody: the lease counts
	leaseChecked bool // the lease was looked at, the write comes next
	sent         bool
	run          int // run at the server; 0: none
}

// logEntry is one of the log.
type logEntry struct {
	member  takeover.Member
	evicted bool
}

// request is what the world knows of one.
type request struct {
	idempotency takeover.Idempotency
	attempts    int
	runs        int  // with an effect
	ownedRuns   int  // runs under custody: no refusal goes with one. A key's other runs are dropped by servers, so that it may
	servedRun   int  // the run whose answer a client was given; 0: none
	replicated  bool // a quorum had that answer
	answers     []string
}

// world is a state.
type world struct {
	conf         *Config
	budget       Budget
	log          []logEntry
	incarnations map[string]uint64
	processes    []*process
	net          []message
	requests     []*request
	violation    string
	step         int
	responses    []Response
}

// Response is what a client was told by one member, between two steps of a history.
type Response struct {
	Request   int
	From, To  int
	Answer    string
	Undecided bool // nobody could say, or it was refused: this says nothing of the request
}

func newWorld(c *Config) *world {
	w := &world{conf: c, budget: c.Budget, incarnations: map[string]uint64{}}
	for _, e := range c.Idempotency {
		w.requests = append(w.requests, &request{idempotency: e})
	}
	for _, name := range names {
		w.incarnations[name] = 1
		w.log = append(w.log, logEntry{member: takeover.Member{Name: name, Incarnation: 1}})
	}
	for _, name := range names {
		p := w.newProcess(name, 1)
		w.processes = append(w.processes, p)
		w.learn(p)
	}
	return w
}

func (w *world) newProcess(name string, inc uint64) *process {
	me := takeover.Member{Name: name, Incarnation: inc}
	return &process{
		up: true, self: me, lease: true, attempts: map[int]*attempt{}, waitingClients: map[int]bool{}, askedAt: map[int]int{},
		node: takeover.New(takeover.Config{
			Self: me, MemberNames: names, ReplicationFactor: 3, MaxRecords: 100, MaxBytes: 1 << 20, Retention: maxAge, MaxRequestAge: maxAge, QuorumTimeout: quorumTimeout, ResendInterval: resendInterval,
			TakeoverStagger: resendInterval, Fault: w.conf.Fault,
		}),
	}
}

// view is the log's meaning up to an epoch.
func (w *world) view(epoch int) *takeover.View {
	v := &takeover.View{Epoch: uint64(epoch), Members: map[takeover.Member]takeover.MemberInfo{}}
	met := map[string]bool{}
	for i, e := range w.log[:epoch] {
		if e.evicted {
			delete(v.Members, e.member)
			continue
		}
		v.Members[e.member] = takeover.MemberInfo{JoinedEpoch: uint64(i + 1), FirstIncarnation: !met[e.member.Name]}
		met[e.member.Name] = true
	}
	return v
}

func (w *world) learn(p *process) {
	p.epoch = len(w.log)
	p.node.ApplyView(p.now, w.view(p.epoch))
	w.settle(p)
}

func id(i int) string { return fmt.Sprint("r", i) }

func index(id string) (i int) { fmt.Sscanf(id, "r%d", &i); return i }

func (w *world) record(i int) takeover.Record {
	r := takeover.Record{ID: id(i), Digest: 1, Idempotency: w.requests[i].idempotency, DeadlineAge: maxAge}
	if r.Idempotency == takeover.IdempotentByKey {
		r.Request = []byte("x")
	}
	return r
}

// settle carries out what a node has said.
func (w *world) settle(p *process) {
	for {
		for _, t := range p.node.TakeMessages() {
			w.net = append(w.net, message{p.self, t.To, t.Message})
		}
		events := p.node.TakeEvents()
		if len(events) == 0 {
			return
		}
		for _, e := range events {
			w.handleEvent(p, e)
		}
	}
}

// handleEvent is what the program does on a node's word.
func (w *world) handleEvent(p *process, e takeover.Event) {
	i := index(e.ID)
	if e.TakenOver && (e.Decision == takeover.Execute || e.Decision == takeover.ReturnStored && e.ConcludedHere) &&
		e.PreviousOwner != p.self && w.view(len(w.log)).Contains(e.PreviousOwner) {
		w.violate("%s takes %s from %s, which lives", p.self.Name, e.ID, e.PreviousOwner.Name)
	}
	switch e.Decision {
	case takeover.Execute:
		p.attempts[i] = &attempt{owned: true}
	case takeover.ReturnStored:
		w.answerClient(p, i, e.Record.Response)
	case takeover.QuorumUnavailable:
		switch e.Fallback(w.conf.Strict || w.requests[i].idempotency == takeover.NotIdempotent) { // without records unsafe work may run twice
		case takeover.RejectRequest:
			w.answerClient(p, i, takeover.Response{Status: takeover.Rejected})
		case takeover.FailRequest:
			p.node.Drop(e.ID)
			w.answerClient(p, i, takeover.Response{Status: takeover.Failed, Reason: unknown})
		default:
			p.node.Drop(e.ID)
			p.attempts[i] = &attempt{}
		}
	case takeover.DuplicateID, takeover.OwnershipLost:
		delete(p.waitingClients, i)
		delete(p.attempts, i)
	case takeover.OwnerEvicted:
		if p.attempts[i] == nil {
			p.node.Resume(p.now, e.Record)
		}
	case takeover.Replicated:
		w.requests[i].replicated = w.requests[i].replicated || w.requests[i].servedRun != 0
	}
}

// answerClient gives a client that waits here its answer, and looks whether it agrees with what was told before.
func (w *world) answerClient(p *process, i int, a takeover.Response) {
	if !p.waitingClients[i] {
		return
	}
	delete(p.waitingClients, i)
	r := w.requests[i]
	w.responses = append(w.responses, Response{
		i, p.askedAt[i], w.step, fmt.Sprint(a.Status, a.Body), a.Status == takeover.Rejected || a.Reason == unknown || r.idempotency == takeover.Idempotent,
	})
	r.answers = append(r.answers, fmt.Sprint(a.Status, string(a.Body)))
	switch a.Status {
	case takeover.Served:
		run := int(a.Body[0])
		if r.idempotency != takeover.Idempotent && r.servedRun != 0 && r.servedRun != run {
			w.violate("two answers to %s", id(i))
		}
		r.servedRun = run
	case takeover.Rejected:
		if r.ownedRuns > 0 {
			w.violate("%s is refused though it ran", id(i))
		}
		for _, o := range w.processes { // a client that takes a refusal ends its other asks
			if delete(o.waitingClients, i); o.up && o.node.IsPreparing(id(i)) {
				o.node.Drop(id(i))
			}
		}
	case takeover.Failed:
		if r.replicated && a.Reason != unknown {
			w.violate("%s fails though a quorum had its answer", id(i))
		}
	}
}

func (w *world) violate(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
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
		can(w.budget.Duplicates, "deliver and keep "+what, func(w *world) { w.budget.Duplicates--; w.deliver(i, false) })
		can(w.budget.Losses, "lose "+what, func(w *world) { w.budget.Losses--; w.net = slices.Delete(w.net, i, i+1) })
	}
	for n, p := range w.processes {
		name := p.self.Name
		if p.up {
			for i, r := range w.requests {
				if r.attempts == 0 {
					can(w.budget.Attempts, "ask "+name+" for "+id(i), func(w *world) { w.sendAttempt(n, i, false) })
				} else if !p.waitingClients[i] && len(r.answers) == 0 {
					can(w.budget.Attempts, "ask "+name+" again for "+id(i), func(w *world) { w.sendAttempt(n, i, true) })
				}
				if k := p.attempts[i]; k != nil {
					w.attemptMoves(&out, n, i, k)
				}
			}
			can(w.budget.Crashes, "crash "+name, func(w *world) { w.budget.Crashes--; w.processes[n].up = false; w.processes[n].node = nil })
			can(w.budget.Ticks, "turn of "+name, func(w *world) { w.budget.Ticks--; w.tick(n, resendInterval) })
			can(w.budget.QuorumTimeouts, "wait of "+name, func(w *world) { w.budget.QuorumTimeouts--; w.tick(n, quorumTimeout) })
			if p.epoch < len(w.log) {
				can(1, "log to "+name, func(w *world) { w.learn(w.processes[n]) })
			}
		} else {
			can(w.budget.Restarts, "restart "+name, func(w *world) { w.budget.Restarts--; w.restart(n) })
		}
		if p.lease {
			can(w.budget.LeaseExpiries, "lease of "+name+" ends", func(w *world) { w.budget.LeaseExpiries--; w.processes[n].lease = false })
		} else if w.view(len(w.log)).Contains(p.self) {
			can(1, "out with "+name, func(w *world) { w.log = append(w.log, logEntry{w.processes[n].self, true}) })
		}
	}
	return out
}

var kinds = [...]string{"write", "ask", "accepted", "promised", "lives", "outbid", "out", "behind", "young", "full", "other", "expired"}

func same(a, b message) bool {
	return a.from == b.from && a.to == b.to && a.m.Kind == b.m.Kind && a.m.ID == b.m.ID && a.m.Ballot == b.m.Ballot && reflect.DeepEqual(a.m, b.m)
}

// attemptMoves lists the steps of a request that this process may send: look at the lease, write, take the answer.
func (w *world) attemptMoves(out *[]move, n, i int, k *attempt) {
	name := w.processes[n].self.Name + " " + id(i)
	switch {
	case !k.leaseChecked:
		*out = append(*out, move{"check " + name, func(w *world) {
			p := w.processes[n]
			if k := p.attempts[i]; !k.owned || p.lease || w.conf.Fault == takeover.IgnoreLease {
				k.leaseChecked = true
				if k.owned && !p.lease {
					w.violate("%s sends %s after its lease", p.self.Name, id(i))
				}
			} else {
				delete(p.attempts, i)
				delete(p.waitingClients, i)
			}
		}})
	case !k.sent:
		*out = append(*out, move{"write " + name, func(w *world) {
			k, r := w.processes[n].attempts[i], w.requests[i]
			k.sent = true
			if r.idempotency != takeover.IdempotentByKey || r.runs == 0 { // a key that is known has no second effect
				r.runs++
			}
			k.run = r.runs
			if k.owned {
				r.ownedRuns++
			}
			if r.idempotency == takeover.NotIdempotent && r.runs > 1 {
				w.violate("%s runs twice", id(i))
			}
			if k.owned && slices.ContainsFunc(r.answers, func(t string) bool { return strings.HasPrefix(t, fmt.Sprint(takeover.Rejected)) }) {
				w.violate("%s runs though it was refused", id(i))
			}
		}})
	default:
		*out = append(*out, move{"answer " + name, func(w *world) {
			p := w.processes[n]
			k := p.attempts[i]
			delete(p.attempts, i)
			if k.owned && !p.lease {
				delete(p.waitingClients, i)
				return
			}
			a := takeover.Response{Status: takeover.Served, Body: []byte{byte(k.run)}}
			if k.owned {
				p.node.Complete(p.now, id(i), a)
			}
			w.answerClient(p, i, a)
			w.settle(p)
		}})
	}
}

func (w *world) sendAttempt(n, i int, resume bool) {
	p := w.processes[n]
	w.budget.Attempts--
	w.requests[i].attempts++
	p.waitingClients[i], p.askedAt[i] = true, w.step
	if p.attempts[i] != nil {
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
	p := w.processes[n]
	p.now += by
	p.node.Tick(p.now)
	w.settle(p)
}

// restart starts a process of a name again: the log lists it once the one before is out.
func (w *world) restart(n int) {
	old := w.processes[n]
	if old.lease || w.view(len(w.log)).Contains(old.self) {
		return
	}
	w.incarnations[old.self.Name]++
	p := w.newProcess(old.self.Name, w.incarnations[old.self.Name])
	w.log = append(w.log, logEntry{member: p.self})
	w.processes[n] = p
	w.learn(p)
}

func (w *world) deliver(i int, remove bool) {
	m := w.net[i]
	if remove {
		w.net = slices.Delete(w.net, i, i+1)
	}
	for _, p := range w.processes {
		if p.self.Name != m.to || !p.up {
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
	c.log, c.net, c.responses = slices.Clone(w.log), slices.Clone(w.net), slices.Clone(w.responses)
	c.incarnations = map[string]uint64{}
	for k, v := range w.incarnations {
		c.incarnations[k] = v
	}
	c.processes, c.requests = nil, nil
	for _, p := range w.processes {
		q := *p
		if p.node != nil {
			q.node = p.node.Clone()
		}
		q.attempts, q.waitingClients, q.askedAt = map[int]*attempt{}, map[int]bool{}, map[int]int{}
		for i, k := range p.attempts {
			one := *k
			q.attempts[i] = &one
		}
		for i, v := range p.waitingClients {
			q.waitingClients[i] = v
		}
		for i, v := range p.askedAt {
			q.askedAt[i] = v
		}
		c.processes = append(c.processes, &q)
	}
	for _, r := range w.requests {
		one := *r
		one.answers = slices.Clone(r.answers)
		c.requests = append(c.requests, &one)
	}
	return &c
}

// fingerprint is a fingerprint: states that print alike have the same future.
func (w *world) fingerprint() [16]byte {
	h := fnv.New128a()
	fmt.Fprint(h, w.budget, w.log)
	for _, p := range w.processes {
		fmt.Fprint(h, p.up, p.lease, p.epoch, p.now, p.waitingClients)
		for i := range w.requests {
			if k := p.attempts[i]; k != nil {
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

// Result is what an exploration came to.
type Result struct {
	States    int
	Violation string     // empty: nothing
	Trace     []string   // the moves that led there
	Responses []Response // by clients, with Walk
	Coverage  Coverage   // with WalkCells
}

// Exhaust looks at every order of moves up to a depth, each state once, shallow ones first.
func Exhaust(ctx context.Context, c Config, depth int) (Result, error) {
	type node struct {
		w    *world
		up   *node
		move string
	}
	first := &node{w: newWorld(&c)}
	seen, level := map[[16]byte]bool{first.w.fingerprint(): true}, []*node{first}
	for ; depth > 0 && len(level) > 0; depth-- {
		var next []*node
		for _, at := range level {
			if err := ctx.Err(); err != nil {
				return Result{States: len(seen)}, err
			}
			for _, m := range at.w.moves() {
				w := at.w.clone()
				m.do(w)
				one := &node{w, at, m.name}
				if w.violation != "" {
					f := Result{States: len(seen), Violation: w.violation}
					for ; one.up != nil; one = one.up {
						f.Trace = append(f.Trace, one.move)
					}
					slices.Reverse(f.Trace)
					return f, nil
				}
				if p := w.fingerprint(); !seen[p] {
					seen[p] = true
					next = append(next, one)
				}
			}
			at.w = nil // its moves are made
		}
		level = next
	}
	return Result{States: len(seen)}, nil
}

// Walk goes one way at random from a seed, for at most so many steps.
func Walk(c Config, seed uint64, steps int) Result {
	random := rand.New(rand.NewPCG(seed, 4))
	w := newWorld(&c)
	f := Result{}
	for range steps {
		moves := w.moves()
		if len(moves) == 0 {
			break
		}
		m := moves[random.IntN(len(moves))]
		w.step++
		m.do(w)
		f.States++
		f.Responses = w.responses
		f.Trace = append(f.Trace, m.name)
		if w.violation != "" {
			f.Violation = w.violation
			return f
		}
	}
	f.Trace = nil
	return f
}
