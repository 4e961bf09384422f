package decide

import (
	"fmt"
	"slices"
	"testing"
)

// workload drives one balancer with valid sequences of events. It does not model endpoints: it keeps the
// records that a host has, and fails the test when an action breaks one of the five rules in the package
// comment.
type workload struct {
	t                     testing.TB
	set                   Settings
	b                     *Balancer
	now                   int64
	requests              map[string]*trackedRequest
	unanswered            []*trackedRequest
	inFlight              []*trackedAttempt
	timers                []pendingTimer
	endpoints             map[string]Endpoint
	warmAt                map[string]int64 // end of the slow start, by endpoint
	slowStartSends        map[string][]int64
	recentSuccesses       []int64 // times of the successes within the last second
	maxSuccessesPerSecond int     // most successes within any second
	actions               []string
	failed                bool
	requestsSent          int // by sendTraffic
	requestTimes          []int64
	retryTimes            []int64 // times of the attempts beyond the first of each request
}

type trackedRequest struct {
	Request
	deadline int64
	answer   string
	attempts []*trackedAttempt
}

type trackedAttempt struct {
	request           *trackedRequest
	index             int
	endpoint          Endpoint
	sentAt, expiresAt int64
	ended             bool
	result            Result
}

type pendingTimer struct{ at, token int64 }

func newWorkload(t testing.TB, set Settings, servers ...Endpoint) *workload {
	w := &workload{t: t, set: set, now: 1000 * second}
	w.restart()
	w.updateEndpoints(true, servers...)
	return w
}

// restart replaces the balancer as a killed and restarted process would. Requests that were open are dropped:
// their clients have to retry them.
func (w *workload) restart() {
	w.requests, w.unanswered, w.inFlight, w.timers = map[string]*trackedRequest{}, nil, nil, nil
	w.endpoints, w.warmAt, w.slowStartSends = map[string]Endpoint{}, map[string]int64{}, map[string][]int64{}
	w.requestTimes, w.retryTimes = nil, nil
	w.b = New(w.set, 7, w)
	w.b.Start(w.now)
}

func (w *workload) reportViolation(format string, args ...any) {
	w.failed = true
	w.t.Errorf("at %.3f s: %s", float64(w.now)/1e6, fmt.Sprintf(format, args...))
}

func (w *workload) record(format string, args ...any) {
	w.actions = append(w.actions, fmt.Sprintf("%d ", w.now)+fmt.Sprintf(format, args...))
}

func (w *workload) updateEndpoints(complete bool, servers ...Endpoint) {
	if complete {
		for id, s := range w.endpoints {
			s.Phase = Removed
			w.endpoints[id] = s
		}
	}
	for _, s := range servers {
		if old, ok := w.endpoints[s.ID]; !ok || s.StartedAt > old.StartedAt {
			if s.StartedAt > 0 {
				w.warmAt[s.ID] = s.StartedAt + w.set.Rules.SlowStartWindow
			}
		}
		w.endpoints[s.ID] = s
	}
	w.b.OnEndpoints(w.now, servers, complete)
}

func (w *workload) sendRequest(id string, class int, timeLeft int64) *trackedRequest {
	return w.submit(Request{ID: id, Class: class, Tenant: -1, TimeLeft: timeLeft, Key: "k" + id})
}

// submit records a request and passes it to the balancer.
func (w *workload) submit(in Request) *trackedRequest {
	r := &trackedRequest{Request: in, deadline: w.now + in.TimeLeft}
	w.requests[in.ID] = r
	w.unanswered = append(w.unanswered, r)
	w.requestTimes = append(w.requestTimes, w.now)
	w.b.OnRequest(w.now, in)
	return r
}

// sendTraffic sends n requests of the first class 10 ms apart, and ends each attempt for which outcome
// returns a result.
func (w *workload) sendTraffic(n int, outcome func(a *trackedAttempt) (Result, bool)) {
	for range n {
		w.requestsSent++
		w.sendRequest(fmt.Sprint("r", w.requestsSent), 0, 2*second)
		w.advance(10_000)
		for _, a := range slices.Clone(w.inFlight) {
			if result, ok := outcome(a); ok {
				w.endAttempt(a, result)
			}
		}
	}
}

// countRefusedConnections sends n requests and returns the number of refused connections. Endpoints for which
// refuses is true refuse connections at once; the others answer after answerAfter µs.
func (w *workload) countRefusedConnections(n int, answerAfter int64, refuses func(id string) bool) (refused int) {
	w.sendTraffic(n, func(a *trackedAttempt) (Result, bool) {
		if refuses(a.endpoint.ID) {
			refused++
			return ConnectFailed, true
		}
		return Succeeded, w.now-a.sentAt >= answerAfter
	})
	return refused
}

// endAttempt ends an attempt; a success answers its request.
func (w *workload) endAttempt(a *trackedAttempt, result Result) {
	if a.ended {
		return
	}
	a.ended, a.result = true, result
	w.inFlight = slices.DeleteFunc(w.inFlight, func(g *trackedAttempt) bool { return g == a })
	closed := a.request.answer != ""
	if result == Succeeded {
		w.recentSuccesses = append(w.recentSuccesses, w.now)
		for w.now-w.recentSuccesses[0] > second {
			w.recentSuccesses = w.recentSuccesses[1:]
		}
		w.maxSuccessesPerSecond = max(w.maxSuccessesPerSecond, len(w.recentSuccesses))
		if !closed {
			closed, a.request.answer = true, "served"
		}
	}
	w.b.OnOutcome(w.now, Outcome{Request: a.request.ID, Attempt: a.index, Server: a.endpoint.ID, Result: result,
		Latency: w.now - a.sentAt, RequestAnswered: closed})
}

func (w *workload) disconnectClient(r *trackedRequest) {
	if r.answer == "" {
		r.answer = "gone"
	}
	w.b.OnClientDisconnected(w.now, r.ID)
}

// advance moves the clock by d in ticks, times out the attempts that expire, and runs the timers that are
// due.
func (w *workload) advance(d int64) {
	const tick = 5000
	for end := w.now + d; w.now < end; {
		w.now = min(w.now+tick, end)
		for _, a := range slices.Clone(w.inFlight) {
			if a.expiresAt <= w.now {
				w.endAttempt(a, TimedOut)
			}
		}
		due := slices.Clone(w.timers)
		w.timers = slices.DeleteFunc(w.timers, func(a pendingTimer) bool { return a.at <= w.now })
		for _, a := range due {
			if a.at <= w.now {
				w.b.OnTimer(w.now, a.token)
			}
		}
		w.checkDeadlines()
	}
}

// checkDeadlines checks rule 1: every request is answered before its deadline plus the slack.
func (w *workload) checkDeadlines() {
	w.unanswered = slices.DeleteFunc(w.unanswered, func(r *trackedRequest) bool { return r.answer != "" })
	for _, r := range w.unanswered {
		if r.answer == "" && w.now > r.deadline+w.set.Rules.AnswerSlack {
			w.reportViolation("rule 1: request %s has no answer %d us after its deadline", r.ID, w.now-r.deadline)
			r.answer = "overdue"
		}
	}
}

// repeatIsSafe checks rule 2 by the recorded attempts: it reports whether endpoint server may run r, or, if
// server is nil, whether r may be rejected.
func (w *workload) repeatIsSafe(r *trackedRequest, server *Endpoint) bool {
	c := w.set.Classes[r.Class]
	for _, a := range r.attempts {
		if a.ended && a.result.NeverRan() {
			continue
		}
		switch c.Semantics {
		case AtMostOnce:
			return false
		case IdempotencyKeyed:
			if w.now-a.sentAt >= c.DedupWindow || server == nil && c.DedupScope != ScopeAll {
				return false
			}
			if server != nil && c.DedupScope == ScopeZone && server.Zone != a.endpoint.Zone {
				return false
			}
			if server != nil && c.DedupScope == ScopeCell && server.Cell != a.endpoint.Cell {
				return false
			}
		}
	}
	return true
}

func (w *workload) SendAttempt(id, server string, timeout int64) {
	w.record("send %s %s %d", id, server, timeout)
	r, s := w.requests[id], w.endpoints[server]
	if r == nil || r.answer != "" || w.now >= r.deadline {
		w.reportViolation("rule 1: attempt sent for request %s, which is unknown, answered or past its deadline", id)
		return
	}
	if s.ID == "" || s.Phase != InService {
		w.reportViolation("rule 3: attempt sent to endpoint %q in phase %d, want an endpoint in service", server, s.Phase)
	}
	if !w.repeatIsSafe(r, &s) {
		w.reportViolation("rule 2: request %s may take effect twice at endpoint %s", id, server)
	}
	for _, a := range r.attempts {
		if !a.ended && !w.set.Limits.Hedging {
			w.reportViolation("rule 2: two attempts in flight for request %s without hedging", id)
		}
	}
	w.checkSlowStart(server)
	if len(r.attempts) > 0 {
		w.checkAttemptBudget(id)
	}
	a := &trackedAttempt{request: r, index: len(r.attempts), endpoint: s, sentAt: w.now, expiresAt: min(w.now+timeout, r.deadline)}
	if timeout <= 0 {
		a.expiresAt = r.deadline
	}
	r.attempts = append(r.attempts, a)
	w.inFlight = append(w.inFlight, a)
}

// checkSlowStart checks this balancer's part of rule 4: in any overload window an endpoint in slow start gets
// at most one attempt, or as many attempts as all endpoints together answered, at the rate of their best
// second.
func (w *workload) checkSlowStart(server string) {
	if w.now >= w.warmAt[server] {
		return
	}
	window := w.set.Rules.OverloadWindow
	sends := append(w.slowStartSends[server], w.now)
	for len(sends) > 0 && w.now-sends[0] >= window {
		sends = sends[1:]
	}
	w.slowStartSends[server] = sends
	if allowed := max(1, float64(w.maxSuccessesPerSecond)*float64(window)/float64(second)); float64(len(sends)) > allowed {
		w.reportViolation("rule 4: %d attempts to endpoint %s in slow start within one window, want at most %.1f", len(sends), server, allowed)
	}
}

// checkAttemptBudget checks rule 5 with an exact count of requests and retries.
func (w *workload) checkAttemptBudget(id string) {
	w.retryTimes = append(w.retryTimes, w.now)
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
	sent, allowed := within(w.retryTimes), rules.AttemptBudgetMin+rules.AttemptBudgetRatio*within(w.requestTimes)
	if sent > allowed {
		w.reportViolation("rule 5: retry of request %s is number %.0f in the budget window, want at most %.1f", id, sent, allowed)
	}
}

func (w *workload) CancelAttempt(id string, n int) {
	w.record("cancel %s %d", id, n)
	if !w.set.Limits.Cancel || w.requests[id] == nil || n >= len(w.requests[id].attempts) {
		w.reportViolation("unexpected cancel of request %s, attempt %d", id, n)
	}
}

func (w *workload) recordAnswer(id, answer string) *trackedRequest {
	w.record("%s %s", answer, id)
	r := w.requests[id]
	if r == nil || r.answer != "" {
		w.reportViolation("rule 1: answer %s for request %s, which is unknown or already answered", answer, id)
		return nil
	}
	r.answer = answer
	return r
}

func (w *workload) Reject(id string, _ int64) {
	if r := w.recordAnswer(id, "reject"); r != nil && !w.repeatIsSafe(r, nil) {
		w.reportViolation("rule 2: request %s was rejected although it may have run", id)
	}
}

func (w *workload) Fail(id string) { w.recordAnswer(id, "fail") }

func (w *workload) CheckHealth(s string) { w.record("probe %s", s) }

func (w *workload) WatchEndpoints(on bool) { w.record("watch %v", on) }

func (w *workload) SendGossip(p int, message []byte) {
	if w.record("gossip %d %x", p, message); !w.set.Limits.Gossip || p >= w.set.BalancerCount || p == w.set.BalancerIndex || len(message) > 256 {
		w.reportViolation("invalid gossip message of %d bytes to balancer %d", len(message), p)
	}
}

func (w *workload) CloseIdleConnections(s string) { w.record("close %s", s) }

func (w *workload) Log(line string) { w.record("log %s", line) }

func (w *workload) SetTimer(in, tok int64) {
	w.timers = append(w.timers, pendingTimer{w.now + in, tok})
}

// countActions counts the recorded actions by name, or by name and first argument ("send a").
func (w *workload) countActions(prefix string) (n int) {
	for _, a := range w.actions {
		var at int64
		var message, rest string
		fmt.Sscanf(a, "%d %s %s", &at, &message, &rest)
		if message == prefix || message+" "+rest == prefix {
			n++
		}
	}
	return n
}

// testSettings has one class for each combination of semantics and deduplication scope, and one for streams.
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

func testEndpoints(n int) (list []Endpoint) {
	for i := range n {
		list = append(list, Endpoint{ID: fmt.Sprintf("s%d", i), Capacity: 1, Zone: fmt.Sprintf("z%d", i%2), Cell: int64(i % 3)})
	}
	return list
}
