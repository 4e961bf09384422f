package modelcheck

import (
	"fmt"
	"slices"

	"damsonscale/internal/takeover"
)

// takeoverWorld is a state of the model of takeover.
type takeoverWorld struct {
	conf         *TakeoverConfig
	budget       TakeoverBudget // events that may still happen
	log          []logEntry
	incarnations map[string]uint64 // latest incarnation, by member name
	processes    []*process        // the latest process of each member
	net          []message
	requests     []*request
	violation    string // the first violated invariant; empty: none
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
	lease          bool // lasts until the model expires it
	now            int64
	epoch          int // number of applied entries of the log
	node           *takeover.Node
	attempts       map[int]*attempt // by request index
	waitingClients map[int]bool     // requests whose clients wait for an answer of this process, by index
	sentAt         map[int]int      // step of the latest attempt, by request index
}

// attempt is a request that a process may send to a server.
type attempt struct {
	owned        bool // a quorum has the record of the request: the attempt needs a lease
	leaseChecked bool
	sent         bool
	run          int // number of the run at the server; 0: none
}

// logEntry is an entry of the log: a member joins or is evicted.
type logEntry struct {
	member  takeover.Member
	evicted bool
}

// request is a request with its history.
type request struct {
	idempotency takeover.Idempotency
	attempts    int  // attempts of its client
	runs        int  // executions at a server that had an effect
	ownedRuns   int  // executions for a process that owned the request; if there is one, the request must not be rejected
	servedRun   int  // number of the run whose answer the client received; 0: none
	replicated  bool // a quorum has that answer
	answers     []string
}

// Response is the response of one member to an attempt of a client.
type Response struct {
	Request            int
	StartStep, EndStep int // steps at which the attempt was sent and answered
	Answer             string
	Indeterminate      bool // rejected, outcome unknown, or idempotent without a key: not part of the checked history
}

// newWorld returns the initial state, in which all members have joined and hold leases.
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

// newProcess returns a newly started process that holds a lease.
func (w *takeoverWorld) newProcess(name string, incarnation uint64) *process {
	self := takeover.Member{Name: name, Incarnation: incarnation}
	return &process{
		up: true, self: self, lease: true, attempts: map[int]*attempt{}, waitingClients: map[int]bool{}, sentAt: map[int]int{},
		node: takeover.New(takeover.Config{
			Self: self, MemberNames: memberNames, ReplicationFactor: 3, MaxRecords: 100, MaxBytes: 1 << 20, Retention: maxAge, MaxRequestAge: maxAge,
			QuorumTimeout: quorumTimeout, ResendInterval: resendInterval, TakeoverStagger: resendInterval, Fault: w.conf.Fault,
		}),
	}
}

// restart starts a new incarnation of a member if the previous one has been evicted.
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

// membershipAt returns the membership after a number of entries of the log.
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

// applyLog lets a process apply all entries of the log.
func (w *takeoverWorld) applyLog(p *process) {
	p.epoch = len(w.log)
	p.node.ApplyView(p.now, w.membershipAt(p.epoch))
	w.processOutput(p)
}

// tick advances a process's clock.
func (w *takeoverWorld) tick(n int, by int64) {
	p := w.processes[n]
	p.now += by
	p.node.Tick(p.now)
	w.processOutput(p)
}

// deliver delivers a message, and removes it from the network unless it is duplicated.
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
		if body.Epoch > uint64(p.epoch) { // the sidecar also fetches the log before it handles such a message
			w.applyLog(p)
		}
		p.node.Handle(p.now, m.from, &body)
		w.processOutput(p)
	}
}

// processOutput sends a node's messages and handles its events, until there are none.
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

// recordViolation records the first violation of an invariant and ignores later ones.
func (w *takeoverWorld) recordViolation(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}
