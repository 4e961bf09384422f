// Package callchain simulates a deep chain of calls: services one below the other, each called through real balancers
// (decide.Balancer, by its interface), in simulated time and without sockets. It counts from outside what the balancers
// do: how many attempts reach the deepest service for each client's request. Docs: docs/chain.md.
package callchain

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"damsonscale/decide"
)

// Fault is what goes wrong at the deepest service.
type Fault string

// Faults. The share is one of answers, but for Crash: there it is one of servers.
const (
	Errors   Fault = "errors"   // answered as failed, after the work
	Slow     Fault = "slow"     // no answer while anybody waits for one
	Declined Fault = "declined" // turned away at once: full, never ran
	Crash    Fault = "crash"    // servers that refuse connections, and stay in the list
)

// Pass is how a service answers its caller when its own call further down came to nothing.
type Pass string

// Ways to pass it on.
const (
	PassErrors   Pass = "errors"   // as an error, whatever the balancer said
	PassRefusals Pass = "refusals" // a refusal as declined, a failure as an error
	PassMarked   Pass = "marked"   // as the request's own fault, which no caller tries again: stands for a mark that does not exist
)

const (
	msec       = int64(1000) // µs
	sec        = 1000 * msec
	start      = 1000 * sec // of the clock
	transit    = 300        // µs from a balancer to a server, and as much back
	deadline   = 2 * sec    // of a client
	aim        = 400 * msec // at each level
	slack      = 20 * msec
	slowFor    = 10 * sec // that a slow answer takes: past any deadline
	most       = 1e7      // requests of clients in a run
	slots      = 10       // counted in a second
	settledAmp = 1.05     // amplification under which a chain counts as settled
	settledOK  = 0.99     // share served from which on it counts as serving again
)

// Config is one run. The zero value is none: see Validate.
type Config struct {
	Depth    int           // services below each other, 1 to 20; each is called through a level of balancers
	Width    int           // balancers a level, 1 to 100
	Servers  int           // a service, 1 to 100
	Fault    Fault         // at the deepest service
	Share    float64       // of answers (Crash: of servers) that fail, 0 to 1
	From     time.Duration // when the fault begins
	FaultFor time.Duration // how long it lasts; 0: to the end
	Rate     float64       // clients' requests a second, evenly spaced, up to 100,000 and 10 million in all
	For      time.Duration // that clients send, 2 s to 1 h, whole seconds
	Seed     uint64
	Pass     Pass
	Tries    int // attempts a request at most, at each level, 1 to 10
	Above    int // the same at all levels but the deepest; 0: Tries

	Ratio float64       // stated budget of attempts: further ones for each request taken ...
	Floor float64       // ... and besides, for each balancer
	Span  time.Duration // in any window so long; 0: no budget is stated
}

// Validate names the first figure that is out of range.
func (c *Config) Validate() error {
	switch {
	case c.Depth < 1 || c.Depth > 20:
		return fmt.Errorf("chain: depth %d is not within 1 to 20", c.Depth)
	case c.Width < 1 || c.Width > 100:
		return fmt.Errorf("chain: width %d is not within 1 to 100", c.Width)
	case c.Servers < 1 || c.Servers > 100:
		return fmt.Errorf("chain: %d servers are not within 1 to 100", c.Servers)
	case !(c.Share >= 0 && c.Share <= 1):
		return fmt.Errorf("chain: share %v is not within 0 to 1", c.Share)
	case c.Fault != Errors && c.Fault != Slow && c.Fault != Declined && c.Fault != Crash:
		return fmt.Errorf("chain: unknown fault %q", c.Fault)
	case c.Pass != PassErrors && c.Pass != PassRefusals && c.Pass != PassMarked:
		return fmt.Errorf("chain: unknown way %q to pass a failure on", c.Pass)
	case !(c.Rate > 0 && c.Rate <= 100_000):
		return fmt.Errorf("chain: rate %v is not within 0 to 100000", c.Rate)
	case c.Rate*c.For.Seconds() > most:
		return fmt.Errorf("chain: %v requests a second for %v are more than %d in all", c.Rate, c.For, int(most))
	case c.For < 2*time.Second || c.For > time.Hour || c.For%time.Second != 0:
		return fmt.Errorf("chain: %v is not whole seconds within 2s to 1h", c.For)
	case c.From < 0 || c.From >= c.For || c.FaultFor < 0 || c.From+c.FaultFor >= c.For && c.FaultFor > 0:
		return fmt.Errorf("chain: a fault from %v for %v is not within %v", c.From, c.FaultFor, c.For)
	case c.Tries < 1 || c.Tries > 10 || c.Above < 0 || c.Above > 10:
		return fmt.Errorf("chain: %d and %d attempts are not within 1 to 10", c.Tries, c.Above)
	}
	set := c.settings(1)
	return set.Validate()
}

// tries is how many attempts a balancer of a level may make for a request.
func (c *Config) tries(level int) int {
	if level < c.Depth && c.Above > 0 {
		return c.Above
	}
	return c.Tries
}

func (c *Config) settings(level int) decide.Settings {
	return decide.Settings{
		Classes: []decide.Class{{Name: "call", LatencyObjective: aim, Deadline: deadline, PriorityWeight: 1, LateValueShare: 0.3, Semantics: decide.Idempotent}},
		Rules: decide.Rules{AnswerSlack: slack, PollInterval: 10 * sec, DrainGrace: sec, SlowStartMinShare: 1, OverloadFactor: 3, OverloadWindow: 2 * sec,
			AttemptBudgetMin: c.Floor, AttemptBudgetRatio: c.Ratio, AttemptBudgetWindow: c.Span.Microseconds()},
		Objective:       decide.ServiceObjective{Overall: 1},
		Limits:          decide.Limits{MaxAttempts: c.tries(level)},
		BalancerCount:   c.Width,
		EndpointsPushed: true,
	}
}

// Level is what was counted at one level of balancers, over the whole run.
type Level struct {
	Taken    int // requests
	Unsent   int // of them, answered without an attempt
	Attempts int
	Further  int // of them, beyond a request's first
	Lost     int // of them, over before they reached the service
	Served   int // requests, by their one answer
	Refused  int
	Failed   int
}

// Report is what a run came to. Shares are 0 to 1, amplifications are attempts at the deepest level for each client's request.
type Report struct {
	Config     Config
	Requests   int // of clients
	Twice      int // answers to requests that had one, at any level
	After      int // sends for requests that had their answer, at any level
	Unanswered int // clients' requests that got none by the deadline and its slack
	OverBudget int // further attempts past the stated budget of their balancer, in any window that ends with one
	Levels     []Level

	Amplification float64 // over the whole run
	Steady        float64 // over the latter half of the fault
	Worst         float64 // in the worst window of a second
	Served        float64 // share of clients' requests, over the latter half of the fault
	Product       float64 // bound of Amplification by the levels' own budgets, each times the one above
	WorstBound    float64 // about the same for Worst: a window of a second may hold the further attempts of a whole span
	SettledMs     int64   // from the fault's end until each window of a second is under 1.05; -1: never, or the fault did not end
	ServingMs     int64   // the same until the share served is 0.99 and more
}

// Kept tells whether the balancers kept what they promise: one answer in time, attempts within the budget.
func (r *Report) Kept() bool {
	return r.Twice == 0 && r.After == 0 && r.Unanswered == 0 && r.OverBudget == 0
}

// String is the report on one line.
func (r *Report) String() string {
	further := make([]int, len(r.Levels))
	for i, l := range r.Levels {
		further[i] = l.Further
	}
	return fmt.Sprintf("simulated depth=%d fault=%s share=%g budget=%t pass=%s requests=%d steady=%.3f worst=%.2f worst_bound=%.2f whole=%.3f product=%.2f served=%.3f "+
		"settled_ms=%d serving_ms=%d further=%v twice=%d after=%d unanswered=%d over_budget=%d", r.Config.Depth, r.Config.Fault, r.Config.Share, r.Config.Span > 0,
		r.Config.Pass, r.Requests, r.Steady, r.Worst, r.WorstBound, r.Amplification, r.Product, r.Served, r.SettledMs, r.ServingMs, further, r.Twice, r.After, r.Unanswered, r.OverBudget)
}

// call is a request as one balancer holds it.
type call struct {
	id       string
	deadline int64
	tries    int
	out      int // attempts without an end
	answered bool
	done     func(how decide.Result) // its answer: Served, Full where refused, Errored where failed
}

type event struct {
	at, seq int64
	do      func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// world is the whole chain.
type world struct {
	conf   Config
	now    int64
	seq    int64
	queue  events
	rng    *rand.Rand
	nodes  [][]*node // by level, the clients' first
	report *Report
	asked  []int // clients' requests by slot
	deep   []int // attempts at the deepest level by slot
	served []int // clients' requests served, by the slot in which they came
}

// node is a balancer and what carries out its actions.
type node struct {
	w       *world
	level   int // 1 is the clients'
	b       *decide.Balancer
	open    map[string]*call
	taken   []int64 // times within the budget's span
	further []int64
}

// Run plays one chain. It gives the same report for the same configuration.
func Run(conf Config) (*Report, error) {
	if err := conf.Validate(); err != nil {
		return nil, err
	}
	n := int(conf.For/time.Second)*slots + 5*slots // clients' seconds, and what is in hand after them
	w := &world{conf: conf, now: start, rng: rand.New(rand.NewPCG(conf.Seed, 7)),
		report: &Report{Config: conf, Levels: make([]Level, conf.Depth)}, asked: make([]int, n), deep: make([]int, n), served: make([]int, n)}
	var list []decide.Endpoint
	for i := range conf.Servers {
		list = append(list, decide.Endpoint{ID: strconv.Itoa(i), Capacity: 1})
	}
	for level := 1; level <= conf.Depth; level++ {
		var nodes []*node
		for i := range conf.Width {
			d := &node{w: w, level: level, open: map[string]*call{}}
			set := conf.settings(level)
			set.BalancerIndex = i
			d.b = decide.New(set, conf.Seed<<16+uint64(level*1000+i), d)
			d.b.Start(w.now)
			d.b.OnEndpoints(w.now, list, true)
			nodes = append(nodes, d)
		}
		w.nodes = append(w.nodes, nodes)
	}
	end := start + conf.For.Microseconds()
	w.clients(0, end)
	for last := end + deadline + slack + sec; w.queue.Len() > 0 && w.queue[0].at <= last; {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.sum()
	return w.report, nil
}

func (w *world) after(in int64, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + max(0, in), w.seq, do})
}

func (w *world) slot() int { return min(int((w.now-start)*slots/sec), len(w.asked)-1) }

// clients sends the requests from number i on until the end, evenly spaced.
func (w *world) clients(i int, end int64) {
	if at := start + int64((float64(i)+0.5)*float64(sec)/w.conf.Rate); at < end {
		w.after(at-w.now, func() {
			w.clients(i+1, end)
			w.client(i)
		})
	}
}

// client sends one request and judges its answers.
func (w *world) client(i int) {
	slot, answered := w.slot(), false
	w.asked[slot]++
	w.report.Requests++
	w.after(deadline+slack, func() {
		if !answered {
			w.report.Unanswered++
		}
	})
	w.nodes[0][w.rng.IntN(w.conf.Width)].take(strconv.Itoa(i), deadline, func(how decide.Result) {
		answered = true
		if how == decide.Succeeded {
			w.served[slot]++
		}
	})
}

// faulty tells whether the fault is there now.
func (w *world) faulty() bool {
	from := start + w.conf.From.Microseconds()
	return w.now >= from && (w.conf.FaultFor == 0 || w.now < from+w.conf.FaultFor.Microseconds())
}

// serve is what a server does with an attempt that reached it with that much time left. The answer may never come.
func (w *world) serve(level, server int, id string, left int64, answer func(decide.Result)) {
	if level == w.conf.Depth {
		w.work(server, answer)
		return
	}
	own := msec/2 + w.rng.Int64N(msec) // before its call
	w.after(own, func() {
		w.nodes[level][server%w.conf.Width].take(id, left-own-transit, func(how decide.Result) {
			switch {
			case how == decide.Succeeded || w.conf.Pass == PassRefusals:
				answer(how)
			case w.conf.Pass == PassMarked:
				answer(decide.InvalidRequest)
			default:
				answer(decide.Errored)
			}
		})
	})
}

// work is the deepest service's, and its faults.
func (w *world) work(server int, answer func(decide.Result)) {
	takes, bad := 5*msec+w.rng.Int64N(10*msec), w.rng.Float64() < w.conf.Share
	result := decide.Succeeded
	switch {
	case !w.faulty():
	case w.conf.Fault == Crash:
		if float64(server) < math.Ceil(w.conf.Share*float64(w.conf.Servers)) {
			takes, result = 0, decide.ConnectFailed
		}
	case !bad:
	case w.conf.Fault == Declined:
		takes, result = 0, decide.Saturated
	case w.conf.Fault == Slow:
		takes = slowFor
	default:
		result = decide.Errored
	}
	w.after(takes, func() { answer(result) })
}

// take hands a request to the balancer.
func (d *node) take(id string, left int64, done func(decide.Result)) {
	w, l := d.w, &d.w.report.Levels[d.level-1]
	l.Taken++
	d.taken = append(d.taken, w.now)
	d.open[id] = &call{id: id, deadline: w.now + left, done: done}
	d.b.OnRequest(w.now, decide.Request{ID: id, Tenant: -1, TimeLeft: max(0, left)})
}

// end is the one answer; where a balancer gives a second the client sees it.
func (d *node) end(id string, how decide.Result) {
	r, l := d.open[id], &d.w.report.Levels[d.level-1]
	if r == nil || r.answered {
		d.w.report.Twice++
		return
	}
	r.answered = true
	d.forget(r)
	switch how {
	case decide.Succeeded:
		l.Served++
	case decide.Saturated:
		l.Refused++
	default:
		l.Failed++
	}
	if r.tries == 0 {
		l.Unsent++
	}
	r.done(how)
}

// forget drops a request that has its answer and nothing out.
func (d *node) forget(r *call) {
	if r.answered && r.out == 0 {
		delete(d.open, r.id)
	}
}

// SendAttempt carries an attempt to a server, and its end back.
func (d *node) SendAttempt(id, server string, timeout int64) {
	w, r, l := d.w, d.open[id], &d.w.report.Levels[d.level-1]
	if r == nil || r.answered {
		w.report.After++
		return
	}
	n, sent := r.tries, w.now
	r.tries, r.out = r.tries+1, r.out+1
	l.Attempts++
	if n > 0 {
		l.Further++
		d.budget()
	}
	if d.level == w.conf.Depth {
		w.deep[w.slot()]++
	}
	if timeout <= 0 {
		timeout = r.deadline - w.now
	}
	over := false
	ends := func(result decide.Result) {
		if over {
			return
		}
		over = true
		r.out--
		defer d.forget(r)
		if result == decide.Succeeded && !r.answered {
			d.end(id, decide.Succeeded)
		}
		closed := r.answered
		d.b.OnOutcome(w.now, decide.Outcome{Request: id, Attempt: n, Server: server, Result: result, Latency: w.now - sent, RequestAnswered: closed})
	}
	w.after(timeout, func() { ends(decide.TimedOut) })
	w.after(transit, func() {
		if over {
			l.Lost++
			return
		}
		s, _ := strconv.Atoi(server)
		w.serve(d.level, s, id+"."+strconv.Itoa(n), timeout-transit, func(result decide.Result) {
			w.after(transit, func() { ends(result) })
		})
	})
}

// budget is the stated one, counted exactly: of the window that ends with this further attempt.
func (d *node) budget() {
	c := &d.w.conf
	if c.Span == 0 {
		return
	}
	within := func(times []int64) []int64 {
		for len(times) > 0 && d.w.now-times[0] >= c.Span.Microseconds() {
			times = times[1:]
		}
		return times
	}
	d.taken, d.further = within(d.taken), within(append(d.further, d.w.now))
	if float64(len(d.further)) > c.Floor+c.Ratio*float64(len(d.taken)) {
		d.w.report.OverBudget++
	}
}

// The other actions of a balancer: it may refuse, fail and wake; there is nothing else here to act on.

func (d *node) Reject(id string, _ int64) { d.end(id, decide.Saturated) }
func (d *node) Fail(id string)            { d.end(id, decide.Errored) }
func (d *node) SetTimer(in, token int64) {
	d.w.after(max(in, 1), func() { d.b.OnTimer(d.w.now, token) })
}
func (d *node) CancelAttempt(string, int)   {}
func (d *node) CheckHealth(string)          {}
func (d *node) SendGossip(int, []byte)      {}
func (d *node) CloseIdleConnections(string) {}
func (d *node) WatchEndpoints(bool)         {}
func (d *node) Log(string)                  {}

// sum makes the figures of the report from the counts.
func (w *world) sum() {
	c, r := &w.conf, w.report
	whole := int(c.For/time.Second) * slots
	from := int(c.From * slots / time.Second)
	until := whole
	if c.FaultFor > 0 {
		until = int((c.From + c.FaultFor) * slots / time.Second)
	}
	r.Amplification = ratio(sum(w.deep), sum(w.asked))
	half := (from + until) / 2
	r.Steady = ratio(sum(w.deep[half:until]), sum(w.asked[half:until]))
	r.Served = ratio(sum(w.served[half:until]), sum(w.asked[half:until]))
	r.SettledMs, r.ServingMs = -1, -1
	settled, serving := whole, whole // first slot from which on all is well
	for at := whole - slots; at >= 0; at-- {
		amp := ratio(sum(w.deep[at:at+slots]), sum(w.asked[at:at+slots]))
		r.Worst = max(r.Worst, amp)
		if settled == at+1 || at == whole-slots {
			if amp < settledAmp {
				settled = at
			}
		}
		if serving == at+1 || at == whole-slots {
			if ratio(sum(w.served[at:at+slots]), sum(w.asked[at:at+slots])) >= settledOK {
				serving = at
			}
		}
	}
	since := func(slot int) int64 {
		if c.FaultFor == 0 || slot > whole-slots {
			return -1
		}
		return int64(max(0, slot-until)) * 1000 / slots
	}
	r.SettledMs, r.ServingMs = since(settled), since(serving)
	r.Product, r.WorstBound = c.product(r.Requests), c.worstBound()
}

// worstBound is what the budgets let reach the deepest level in one second, for each client's request of that second: at each
// level what the one above sends in it, and the further attempts of a whole span at once. That a second at one level is
// not quite the same second at the next is left out.
func (c *Config) worstBound() float64 {
	within, spanned := c.Rate, c.Rate*c.Span.Seconds() // taken in the second, and in a span that ends with it
	for level := 1; level <= c.Depth; level++ {
		most := within * float64(c.tries(level))
		if c.Span > 0 {
			further := c.Ratio*spanned + c.Floor*float64(c.Width)
			most, spanned = min(most, within+further), spanned+further
		}
		within = most
	}
	return within / c.Rate
}

// product is the most attempts at the deepest level for each client's request that the levels' budgets allow over the run:
// what one level may send is what the next takes.
func (c *Config) product(requests int) float64 {
	attempts, windows := float64(requests), 0.0
	if c.Span > 0 {
		windows = math.Ceil(float64(c.For+5*time.Second) / float64(c.Span))
	}
	for level := 1; level <= c.Depth; level++ {
		most := attempts * float64(c.tries(level))
		if c.Span > 0 {
			most = min(most, attempts*(1+c.Ratio)+windows*c.Floor*float64(c.Width))
		}
		attempts = most
	}
	return attempts / float64(requests)
}

func sum(counts []int) (n int) {
	for _, c := range counts {
		n += c
	}
	return n
}

func ratio(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}
