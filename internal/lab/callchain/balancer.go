package callchain

import (
	"strconv"

	"damsonscale/decide"
)

// balancer is a balancer of one level, and carries out its actions: it implements decide.Actions.
type balancer struct {
	sim     *simulation
	level   int // 1 is the clients'
	core    *decide.Balancer
	pending map[string]*pendingRequest

	// Times within the attempt budget's window, µs.
	acceptedAt []int64
	retriedAt  []int64
}

// pendingRequest is a request that a balancer has accepted and not finished.
type pendingRequest struct {
	id       string
	deadline int64 // µs
	attempts int
	inFlight int // attempts without a result
	answered bool
	answer   func(decide.Result) // Succeeded, Saturated if rejected, Errored if failed
}

// sentAttempt is an attempt that a balancer has sent.
type sentAttempt struct {
	request *pendingRequest
	number  int
	server  string
	sentAt  int64 // µs
	ended   bool
}

// accept hands a request with some time left, in µs, to the balancer.
func (b *balancer) accept(id string, left int64, answer func(decide.Result)) {
	s := b.sim
	b.counts().Accepted++
	b.acceptedAt = append(b.acceptedAt, s.now)
	b.pending[id] = &pendingRequest{id: id, deadline: s.now + left, answer: answer}
	b.core.OnRequest(s.now, decide.Request{ID: id, Tenant: -1, TimeLeft: max(0, left)})
}

// counts returns the counts of the balancer's level.
func (b *balancer) counts() *Level { return &b.sim.report.Levels[b.level-1] }

// finish answers a request, once: a second answer is a fault of the balancer.
func (b *balancer) finish(id string, result decide.Result) {
	r := b.pending[id]
	if r == nil || r.answered {
		b.sim.report.DuplicateAnswers++
		return
	}
	r.answered = true
	b.dropIfDone(r)
	switch result {
	case decide.Succeeded:
		b.counts().Served++
	case decide.Saturated:
		b.counts().Rejected++
	default:
		b.counts().Failed++
	}
	if r.attempts == 0 {
		b.counts().NeverSent++
	}
	r.answer(result)
}

// dropIfDone drops a request that has its answer and no attempt in flight.
func (b *balancer) dropIfDone(r *pendingRequest) {
	if r.answered && r.inFlight == 0 {
		delete(b.pending, r.id)
	}
}

// SendAttempt sends an attempt to a server, with a timeout in µs; 0: the request's deadline.
func (b *balancer) SendAttempt(id, server string, timeout int64) {
	s, r := b.sim, b.pending[id]
	if r == nil || r.answered {
		s.report.SentAfterAnswer++
		return
	}
	a := &sentAttempt{request: r, number: r.attempts, server: server, sentAt: s.now}
	r.attempts++
	r.inFlight++
	b.counts().Attempts++
	if a.number > 0 {
		b.counts().Retries++
		b.checkBudget()
	}
	if b.level == s.conf.Depth {
		s.deepestAttemptsBySlot[s.slot()]++
	}
	if timeout <= 0 {
		timeout = r.deadline - s.now
	}
	s.schedule(timeout, func() { b.end(a, decide.TimedOut) })
	s.schedule(transitMicros, func() { b.deliver(a, timeout-transitMicros) })
}

// deliver has an attempt reach its server, with some time left in µs, unless it has timed out.
func (b *balancer) deliver(a *sentAttempt, left int64) {
	if a.ended {
		b.counts().NotDelivered++
		return
	}
	server, _ := strconv.Atoi(a.server) // endpoints are named by their number
	b.sim.serve(b.level, server, a.request.id+"."+strconv.Itoa(a.number), left, func(result decide.Result) {
		b.sim.schedule(transitMicros, func() { b.end(a, result) })
	})
}

// end ends an attempt, unless it has ended, and reports its result to the balancer.
func (b *balancer) end(a *sentAttempt, result decide.Result) {
	if a.ended {
		return
	}
	a.ended = true
	r, now := a.request, b.sim.now
	r.inFlight--
	defer b.dropIfDone(r)
	if result == decide.Succeeded && !r.answered {
		b.finish(r.id, decide.Succeeded)
	}
	b.core.OnOutcome(now, decide.Outcome{
		Request: r.id, Attempt: a.number, Server: a.server, Result: result, Latency: now - a.sentAt, RequestAnswered: r.answered,
	})
}

// checkBudget counts a retry that exceeds the attempt budget in the window that ends with it.
func (b *balancer) checkBudget() {
	c := &b.sim.conf
	if c.BudgetWindow == 0 {
		return
	}
	inWindow := func(times []int64) []int64 {
		for len(times) > 0 && b.sim.now-times[0] >= c.BudgetWindow.Microseconds() {
			times = times[1:]
		}
		return times
	}
	b.acceptedAt, b.retriedAt = inWindow(b.acceptedAt), inWindow(append(b.retriedAt, b.sim.now))
	if float64(len(b.retriedAt)) > c.BudgetMin+c.BudgetRatio*float64(len(b.acceptedAt)) {
		b.sim.report.OverBudget++
	}
}

// Reject answers a request as rejected.
func (b *balancer) Reject(id string, _ int64) { b.finish(id, decide.Saturated) }

// Fail answers a request as failed.
func (b *balancer) Fail(id string) { b.finish(id, decide.Errored) }

// SetTimer calls the balancer back after a time in µs.
func (b *balancer) SetTimer(in, token int64) {
	b.sim.schedule(max(in, 1), func() { b.core.OnTimer(b.sim.now, token) })
}

// CancelAttempt does nothing: servers finish what they have begun.
func (b *balancer) CancelAttempt(string, int) {}

// CheckHealth does nothing: health checks are off.
func (b *balancer) CheckHealth(string) {}

// SendGossip does nothing: balancers of a level do not gossip.
func (b *balancer) SendGossip(int, []byte) {}

// CloseIdleConnections does nothing: there are no connections.
func (b *balancer) CloseIdleConnections(string) {}

// WatchEndpoints does nothing: the endpoint list does not change.
func (b *balancer) WatchEndpoints(bool) {}

// Log does nothing.
func (b *balancer) Log(string) {}
