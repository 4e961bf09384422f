package decide

import (
	"fmt"
	"slices"
	"testing"
)

// world is an order generator with a checker, not a model of servers: it keeps the books of what a host
// would know and fails the test at the first action that breaks one of the four rules.
type world struct {
	t       testing.TB
	set     Settings
	b       *Balancer
	now     int64
	reqs    map[string]*booked
	owed    []*booked
	pending []*flight
	timers  []alarm
	phase   map[string]Endpoint
	warmBy  map[string]int64 // when a server is warm
	sends   map[string][]int64
	served  []int64 // times of the last second's answers
	best    int     // answers in the best second
	acts    []string
	failed  bool
	sent    int // requests of traffic
	taken   []int64
	further []int64 // times of attempts beyond a request's first
}

type booked struct {
	Request
	deadline int64
	answered string
	tries    []*flight
}

type flight struct {
	r             *booked
	n             int
	server        Endpoint
	sent, expires int64
	over          bool
	result        Result
}

type alarm struct{ at, token int64 }

func newWorld(t testing.TB, set Settings, servers ...Endpoint) *world {
	w := &world{t: t, set: set, now: 1000 * second}
	w.restart()
	w.list(true, servers...)
	return w
}

// restart is a kill and a new start: what was held is the clients' to retry.
func (w *world) restart() {
	w.reqs, w.owed, w.pending, w.timers = map[string]*booked{}, nil, nil, nil
	w.phase, w.warmBy, w.sends = map[string]Endpoint{}, map[string]int64{}, map[string][]int64{}
	w.taken, w.further = nil, nil
	w.b = New(w.set, 7, w)
	w.b.Start(w.now)
}

func (w *world) broken(format string, args ...any) {
	w.failed = true
	w.t.Errorf("at %.3f s: %s", float64(w.now)/1e6, fmt.Sprintf(format, args...))
}

func (w *world) note(format string, args ...any) {
	w.acts = append(w.acts, fmt.Sprintf("%d ", w.now)+fmt.Sprintf(format, args...))
}

func (w *world) list(whole bool, servers ...Endpoint) {
	if whole {
		for id, s := range w.phase {
			s.Phase = Removed
			w.phase[id] = s
		}
	}
	for _, s := range servers {
		if old, ok := w.phase[s.ID]; !ok || s.StartedAt > old.StartedAt {
			if s.StartedAt > 0 {
				w.warmBy[s.ID] = s.StartedAt + w.set.Rules.SlowStartWindow
			}
		}
		w.phase[s.ID] = s
	}
	w.b.OnEndpoints(w.now, servers, whole)
}

func (w *world) request(id string, class int, left int64) *booked {
	return w.take(Request{ID: id, Class: class, Tenant: -1, TimeLeft: left, Key: "k" + id})
}

// take books a request and hands it to the balancer.
func (w *world) take(in Request) *booked {
	r := &booked{Request: in, deadline: w.now + in.TimeLeft}
	w.reqs[in.ID] = r
	w.owed = append(w.owed, r)
	w.taken = append(w.taken, w.now)
	w.b.OnRequest(w.now, in)
	return r
}

// traffic sends n requests of the first class 10 ms apart and ends the flights that answer gives a result.
func (w *world) traffic(n int, answer func(f *flight) (Result, bool)) {
	for range n {
		w.sent++
		w.request(fmt.Sprint("r", w.sent), 0, 2*second)
		w.advance(10_000)
		for _, f := range slices.Clone(w.pending) {
			if result, ok := answer(f); ok {
				w.settle(f, result)
			}
		}
	}
}

// refusals plays traffic of n requests before servers of which the dead turn connections away at once and the others
// answer after some time; it counts what the dead turned away.
func (w *world) refusals(n int, answerAfter int64, dead func(id string) bool) (refused int) {
	w.traffic(n, func(f *flight) (Result, bool) {
		if dead(f.server.ID) {
			refused++
			return ConnectFailed, true
		}
		return Succeeded, w.now-f.sent >= answerAfter
	})
	return refused
}

// settle ends a flight; a served one closes its request.
func (w *world) settle(f *flight, result Result) {
	if f.over {
		return
	}
	f.over, f.result = true, result
	w.pending = slices.DeleteFunc(w.pending, func(g *flight) bool { return g == f })
	closed := f.r.answered != ""
	if result == Succeeded {
		w.served = append(w.served, w.now)
		for w.now-w.served[0] > second {
			w.served = w.served[1:]
		}
		w.best = max(w.best, len(w.served))
		if !closed {
			closed, f.r.answered = true, "served"
		}
	}
	w.b.OnOutcome(w.now, Outcome{Request: f.r.ID, Attempt: f.n, Server: f.server.ID, Result: result,
		Latency: w.now - f.sent, RequestAnswered: closed})
}

func (w *world) gone(r *booked) {
	if r.answered == "" {
		r.answered = "gone"
	}
	w.b.OnClientDisconnected(w.now, r.ID)
}

// advance lets time pass in ticks; attempts expire and timers come due in it.
func (w *world) advance(d int64) {
	const tick = 5000
	for end := w.now + d; w.now < end; {
		w.now = min(w.now+tick, end)
		for _, f := range slices.Clone(w.pending) {
			if f.expires <= w.now {
				w.settle(f, TimedOut)
			}
		}
		due := slices.Clone(w.timers)
		w.timers = slices.DeleteFunc(w.timers, func(a alarm) bool { return a.at <= w.now })
		for _, a := range due {
			if a.at <= w.now {
				w.b.OnTimer(w.now, a.token)
			}
		}
		w.overdue()
	}
}

// overdue is rule 1: one answer before the deadline and its slack.
func (w *world) overdue() {
	w.owed = slices.DeleteFunc(w.owed, func(r *booked) bool { return r.answered != "" })
	for _, r := range w.owed {
		if r.answered == "" && w.now > r.deadline+w.set.Rules.AnswerSlack {
			w.broken("rule 1: %s has no answer %d us after its deadline", r.ID, w.now-r.deadline)
			r.answered = "overdue"
		}
	}
}

// harmless is rule 2, worked out from the books: may server run r again, or may r be refused ("")?
func (w *world) harmless(r *booked, server *Endpoint) bool {
	c := w.set.Classes[r.Class]
	for _, f := range r.tries {
		if f.over && f.result.NeverRan() {
			continue
		}
		switch c.Semantics {
		case AtMostOnce:
			return false
		case IdempotencyKeyed:
			if w.now-f.sent >= c.DedupWindow || server == nil && c.DedupScope != ScopeAll {
				return false
			}
			if server != nil && c.DedupScope == ScopeZone && server.Zone != f.server.Zone {
				return false
			}
			if server != nil && c.DedupScope == ScopeCell && server.Cell != f.server.Cell {
				return false
			}
		}
	}
	return true
}

func (w *world) SendAttempt(id, server string, timeout int64) {
	w.note("send %s %s %d", id, server, timeout)
	r, s := w.reqs[id], w.phase[server]
	if r == nil || r.answered != "" || w.now >= r.deadline {
		w.broken("rule 1: send for a request that is over: %s", id)
		return
	}
	if s.ID == "" || s.Phase != InService {
		w.broken("rule 3: send to %q in phase %d", server, s.Phase)
	}
	if !w.harmless(r, &s) {
		w.broken("rule 2: %s may run twice at %s", id, server)
	}
	for _, f := range r.tries {
		if !f.over && !w.set.Limits.Hedging {
			w.broken("rule 2: two attempts out for %s", id)
		}
	}
	w.coldBudget(server)
	if len(r.tries) > 0 {
		w.furtherBudget(id)
	}
	f := &flight{r: r, n: len(r.tries), server: s, sent: w.now, expires: min(w.now+timeout, r.deadline)}
	if timeout <= 0 {
		f.expires = r.deadline
	}
	r.tries = append(r.tries, f)
	w.pending = append(w.pending, f)
}

// coldBudget is this balancer's part of rule 4: in any window no more than one send, or than the answers
// that it got from the whole fleet in its best second would make in that time.
func (w *world) coldBudget(server string) {
	if w.now >= w.warmBy[server] {
		return
	}
	window := w.set.Rules.OverloadWindow
	sends := append(w.sends[server], w.now)
	for len(sends) > 0 && w.now-sends[0] >= window {
		sends = sends[1:]
	}
	w.sends[server] = sends
	if allowed := max(1, float64(w.best)*float64(window)/float64(second)); float64(len(sends)) > allowed {
		w.broken("rule 4: %d sends to cold %s within its window, %.1f allowed", len(sends), server, allowed)
	}
}

// furtherBudget is rule 5, counted exactly.
func (w *world) furtherBudget(id string) {
	w.further = append(w.further, w.now)
	rules := w.set.Rules
	if rules.AttemptBudgetWindow == 0 {
		return
	}
	within := func(times []int64) (n float64) {
		for _, at := range times {
			if w.now-at < rules.AttemptBudgetWindow {
				n++
			}
		}
		return n
	}
	sent, allowed := within(w.further), rules.AttemptBudgetMin+rules.AttemptBudgetRatio*within(w.taken)
	if sent > allowed {
		w.broken("rule 5: %s got the %.0fth further attempt, %.1f allowed", id, sent, allowed)
	}
}

func (w *world) CancelAttempt(id string, n int) {
	w.note("cancel %s %d", id, n)
	if !w.set.Limits.Cancel || w.reqs[id] == nil || n >= len(w.reqs[id].tries) {
		w.broken("cancel of %s %d", id, n)
	}
}

func (w *world) answer(id, how string) *booked {
	w.note("%s %s", how, id)
	r := w.reqs[id]
	if r == nil || r.answered != "" {
		w.broken("rule 1: %s for %s, which is over", how, id)
		return nil
	}
	r.answered = how
	return r
}

func (w *world) Reject(id string, _ int64) {
	if r := w.answer(id, "refuse"); r != nil && !w.harmless(r, nil) {
		w.broken("rule 2: %s refused, but it may have run", id)
	}
}

func (w *world) Fail(id string)         { w.answer(id, "fail") }
func (w *world) CheckHealth(s string)   { w.note("probe %s", s) }
func (w *world) WatchEndpoints(on bool) { w.note("watch %v", on) }
func (w *world) SendGossip(p int, word []byte) {
	if w.note("tell %d %x", p, word); !w.set.Limits.Gossip || p >= w.set.BalancerCount || p == w.set.BalancerIndex || len(word) > 256 {
		w.broken("message of %d bytes to %d", len(word), p)
	}
}

func (w *world) CloseIdleConnections(s string) { w.note("close %s", s) }
func (w *world) Log(line string)               { w.note("log %s", line) }
func (w *world) SetTimer(in, tok int64)        { w.timers = append(w.timers, alarm{w.now + in, tok}) }

func (w *world) count(prefix string) (n int) {
	for _, a := range w.acts {
		var at int64
		var word, rest string
		fmt.Sscanf(a, "%d %s %s", &at, &word, &rest)
		if word == prefix || word+" "+rest == prefix {
			n++
		}
	}
	return n
}

// testSettings has a class of each kind that the wire knows.
func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{Name: "safe", LatencyObjective: 400_000, Deadline: 2 * second, PriorityWeight: 3, Semantics: Idempotent},
			{Name: "keyed-all", LatencyObjective: 400_000, Deadline: 2 * second, PriorityWeight: 8, Semantics: IdempotencyKeyed, DedupWindow: second},
			{Name: "keyed-zone", LatencyObjective: 400_000, Deadline: 2 * second, PriorityWeight: 8, Semantics: IdempotencyKeyed,
				DedupScope: ScopeZone, DedupWindow: second},
			{Name: "keyed-cell", LatencyObjective: 400_000, Deadline: 2 * second, PriorityWeight: 8, Semantics: IdempotencyKeyed,
				DedupScope: ScopeCell, DedupWindow: second},
			{Name: "unsafe", LatencyObjective: 400_000, Deadline: 2 * second, PriorityWeight: 5, Semantics: AtMostOnce},
			{Name: "stream", LatencyObjective: 400_000, Deadline: 2 * second, PriorityWeight: 5, Semantics: Idempotent, Stream: true},
		},
		Rules: Rules{AnswerSlack: 20_000, PollInterval: 10 * second, DrainGrace: second, SlowStartMinShare: 0.3,
			SlowStartWindow: 8 * second, OverloadFactor: 3, OverloadWindow: 2 * second},
		Limits:        Limits{Cancel: true, HealthChecks: true, RetryAfter: true, MaxAttempts: 4, MinEventInterval: 5000},
		BalancerCount: 2,
	}
}

func fleet(n int) (list []Endpoint) {
	for i := range n {
		list = append(list, Endpoint{ID: fmt.Sprintf("s%d", i), Capacity: 1, Zone: fmt.Sprintf("z%d", i%2), Cell: int64(i % 3)})
	}
	return list
}
