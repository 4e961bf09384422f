package callchain

import (
	"strconv"

	"damsonscale/decide"
)

// balancer is a balancer of one level. It implements decide.Actions to execute the actions of its decide.Balancer.
type balancer struct {
	sim     *simulation
	level   int // 1: called by the clients
	core    *decide.Balancer
	pending map[string]*pendingRequest

	// Times of the accepted requests and the retries within the window of the attempt budget, µs.
	acceptedAt []int64
	retriedAt  []int64
}

// pendingRequest is an accepted request that is unanswered or has attempts in flight.
type pendingRequest struct {
	id       string
	deadline int64 // µs
	attempts int
	inFlight int // attempts without a result
	answered bool
	answer   func(decide.Result) // called with Succeeded, Saturated if rejected, or Errored if failed
}

// sentAttempt is an attempt that a balancer has sent to a server.
type sentAttempt struct {
	request *pendingRequest
	number  int // 0 for the first attempt
	server  string
	sentAt  int64 // µs
	ended   bool
}

// accept passes a request to the balancer. left is the time in µs until the deadline.
func (b *balancer) accept(id string, left int64, answer func(decide.Result)) {
	s := b.sim
	b.counts().Accepted++
	b.acceptedAt = append(b.acceptedAt, s.now)
	b.pending[id] = &pendingRequest{id: id, deadline: s.now + left, answer: answer}
	b.core.OnRequest(s.now, decide.Request{ID: id, Tenant: -1, TimeLeft: max(0, left)})
}

// counts returns the counters of the balancer's level.
func (b *balancer) counts() *Level { return &b.sim.report.Levels[b.level-1] }

// finish answers a request and counts the result. It counts a second answer to a request as a fault of the balancer.
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

// dropIfDone deletes a request that is answered and has no attempt in flight.
func (b *balancer) dropIfDone(r *pendingRequest) {
	if r.answered && r.inFlight == 0 {
		delete(b.pending, r.id)
	}
}

// SendAttempt sends an attempt to a server, with a timeout in µs; 0: the time until the request's deadline.
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

// deliver delivers an attempt to its server, unless the attempt has timed out. left is the time in µs until its timeout.
func (b *balancer) deliver(a *sentAttempt, left int64) {
	if a.ended {
		b.counts().NotDelivered++
		return
	}
	server, _ := strconv.Atoi(a.server) // the ID of an endpoint is the index of its server
	b.sim.serve(b.level, server, a.request.id+"."+strconv.Itoa(a.number), left, func(result decide.Result) {
		b.sim.schedule(transitMicros, func() { b.end(a, result) })
	})
}

// end ends an attempt and reports its result to the balancer, unless the attempt has already ended.
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

// checkBudget counts a retry that exceeds the attempt budget, over the window that ends with this retry.
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

// SetTimer calls OnTimer of the balancer after a time in µs.
func (b *balancer) SetTimer(in, token int64) {
	b.sim.schedule(max(in, 1), func() { b.core.OnTimer(b.sim.now, token) })
}

// CancelAttempt does nothing: servers finish the attempts that they have started.
func (b *balancer) CancelAttempt(string, int) {}

// CheckHealth does nothing: health checks are disabled.
func (b *balancer) CheckHealth(string) {}

// SendGossip does nothing: balancers of a level do not gossip.
func (b *balancer) SendGossip(int, []byte) {}

// CloseIdleConnections does nothing: connections are not simulated.
func (b *balancer) CloseIdleConnections(string) {}

// WatchEndpoints does nothing: the endpoint list does not change.
func (b *balancer) WatchEndpoints(bool) {}

// Log does nothing: log lines are discarded.
func (b *balancer) Log(string) {}
