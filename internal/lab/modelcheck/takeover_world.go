package modelcheck

import (
	"fmt"
	"slices"

	"damsonscale/internal/takeover"
)

// takeoverWorld is one state of a takeoverWorld of takeover.
type takeoverWorld struct {
	conf         *TakeoverConfig
	budget       TakeoverBudget // what is left
	log          []logEntry
	incarnations map[string]uint64 // the last one, by name
	processes    []*process        // the last one of each name
	net          []message
	requests     []*request
	violation    string // the first one; empty: none
	step         int
	responses    []Response
}

// message is a message in flight.
type message struct {
	from takeover.Member
	to   string
	body takeover.Message
}

// process is a process of a member.
type process struct {
	up             bool
	self           takeover.Member
	lease          bool // until the world says that it has expired
	now            int64
	epoch          int // of the log, as far as it has learned it
	node           *takeover.Node
	attempts       map[int]*attempt // by request
	waitingClients map[int]bool     // requests whose clients wait here
	askedAt        map[int]int      // the step at which they asked
}

// attempt is a request that a process may send to a server.
type attempt struct {
	owned        bool // a quorum has its record: the lease counts
	leaseChecked bool
	sent         bool
	run          int // at the server; 0: none
}

// logEntry is an entry of the log: a member joins or is evicted.
type logEntry struct {
	member  takeover.Member
	evicted bool
}

// request is what the world knows of a request.
type request struct {
	idempotency takeover.Idempotency
	attempts    int  // of its client
	runs        int  // with an effect
	ownedRuns   int  // of processes that owned it; after one the request must not be rejected
	servedRun   int  // the run whose answer its client was given; 0: none
	replicated  bool // a quorum has that answer
	answers     []string
}

// Response is what a client was told by one member, between two steps.
type Response struct {
	Request            int
	StartStep, EndStep int // steps: asked, answered
	Answer             string
	Indeterminate      bool // rejected, or the outcome is unknown: this says nothing about the request
}

// newWorld returns a world in which all members have joined and hold leases.
func newWorld(c *TakeoverConfig) *takeoverWorld {
	w := &takeoverWorld{conf: c, budget: c.Budget, incarnations: map[string]uint64{}}
	for _, idempotency := range c.Idempotency {
		w.requests = append(w.requests, &request{idempotency: idempotency})
	}
	for _, name := range memberNames {
		w.incarnations[name] = 1
		w.log = append(w.log, logEntry{member: takeover.Member{Name: name, Incarnation: 1}})
	}
	for _, name := range memberNames {
		p := w.newProcess(name, 1)
		w.processes = append(w.processes, p)
		w.applyLog(p)
	}
	return w
}

// newProcess returns a process that has just started and holds a lease.
func (w *takeoverWorld) newProcess(name string, incarnation uint64) *process {
	self := takeover.Member{Name: name, Incarnation: incarnation}
	return &process{
		up: true, self: self, lease: true, attempts: map[int]*attempt{}, waitingClients: map[int]bool{}, askedAt: map[int]int{},
		node: takeover.New(takeover.Config{
			Self: self, MemberNames: memberNames, ReplicationFactor: 3, MaxRecords: 100, MaxBytes: 1 << 20, Retention: maxAge, MaxRequestAge: maxAge,
			QuorumTimeout: quorumTimeout, ResendInterval: resendInterval, TakeoverStagger: resendInterval, Fault: w.conf.Fault,
		}),
	}
}

// restart starts another process of a name, once the one before is evicted.
func (w *takeoverWorld) restart(n int) {
	old := w.processes[n]
	if old.lease || w.membershipAt(len(w.log)).Contains(old.self) {
		return
	}
	w.incarnations[old.self.Name]++
	p := w.newProcess(old.self.Name, w.incarnations[old.self.Name])
	w.log = append(w.log, logEntry{member: p.self})
	w.processes[n] = p
	w.applyLog(p)
}

// membershipAt returns the membership after so many entries of the log.
func (w *takeoverWorld) membershipAt(epoch int) *takeover.View {
	v := &takeover.View{Epoch: uint64(epoch), Members: map[takeover.Member]takeover.MemberInfo{}}
	seen := map[string]bool{}
	for i, e := range w.log[:epoch] {
		if e.evicted {
			delete(v.Members, e.member)
			continue
		}
		v.Members[e.member] = takeover.MemberInfo{JoinedEpoch: uint64(i + 1), FirstIncarnation: !seen[e.member.Name]}
		seen[e.member.Name] = true
	}
	return v
}

// applyLog has a process apply the whole log.
func (w *takeoverWorld) applyLog(p *process) {
	p.epoch = len(w.log)
	p.node.ApplyView(p.now, w.membershipAt(p.epoch))
	w.processOutput(p)
}

// tick lets time pass for a process.
func (w *takeoverWorld) tick(n int, by int64) {
	p := w.processes[n]
	p.now += by
	p.node.Tick(p.now)
	w.processOutput(p)
}

// deliver delivers a message, and removes it from the network unless it is to be delivered again.
func (w *takeoverWorld) deliver(i int, remove bool) {
	m := w.net[i]
	if remove {
		w.net = slices.Delete(w.net, i, i+1)
	}
	for _, p := range w.processes {
		if p.self.Name != m.to || !p.up {
			continue
		}
		body := m.body
		if body.Epoch > uint64(p.epoch) { // the program fetches the log first
			w.applyLog(p)
		}
		p.node.Handle(p.now, m.from, &body)
		w.processOutput(p)
	}
}

// processOutput sends a node's messages and handles its events.
func (w *takeoverWorld) processOutput(p *process) {
	for {
		for _, out := range p.node.TakeMessages() {
			w.net = append(w.net, message{p.self, out.To, out.Message})
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

// recordViolation notes that an invariant is violated, unless another one was before.
func (w *takeoverWorld) recordViolation(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}
