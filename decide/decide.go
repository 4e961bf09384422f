// The decisions of one balancer. Its interface is in api.go, what it remembers in state.go.
//
// Every attempt goes to a server drawn by EXP3; the rest keeps the rules, and bounds: see docs/design.md.

package decide

import (
	"math"
	"math/rand/v2"
	"slices"
)

const (
	second = int64(1_000_000)

	gamma        = 0.07 // share of draws spread evenly: the paper's value
	maxLearningBoost    = 3.0  // times the paper's rate, where an arm gives few answers: what is learned fades
	busyThroughput = 5.0  // of an arm a second, from which on the paper's rate holds
	fullPayoffShare  = 0.6  // of the uncrowded calm mark, about its median: faster answers earn all
	minWeightRetention      = 0.9  // of a log-weight's distance from the mean, kept each second at least (the design's)
	retentionPerAnswer   = 0.98 // the same for each answer a server gives: quiet balancers forget more slowly
	maxRedraws      = 8    // per draw: past that many crowded servers all are crowded, and the draw stands
	replicasPerShare = 2.0  // homes of a key for each mean server's part of the requests that ask for it
	minKeyRequests   = 20.0 // requests that a key's part is taken of at the least
	affinityBoost    = 2.0  // times all arms together weighs a key's home: with more, slow homes keep their keys

	minSubset     = 3    // servers to draw from at the least: enough to spread losses and retries
	minSubsetWithGossip = 2    // the same where balancers tell one another
	requestRatePerEndpoint       = 4.0  // requests a second that an arm wants, as evidence: more traffic, more arms
	requestRatePerPricedEndpoint     = 16.0 // the same where open connections have a price
	coverage     = 8.0  // balancers that have a server as an arm, on average: fewer leave servers unused
	coverageWithGossip      = 14.0 // the same where balancers tell one another
	maxCoverageWithGossip     = 8.0  // there at the most: each draw counts what all hold at each
	maxSubsetFactor      = 3    // times the arms wanted, with ill ones: past that the cause is shared

	timeoutP95Factor = 2.0    // marks that an attempt may take: slow answers seldom come after that
	safeIdleGrowth    = 1.02   // of the idle time held for safe, each second: what dropped connections may end
	minAttemptTimeout  = 20_000 // µs; below it ticks and network jitter would pass for silence
	defaultMaxAttempts   = 4      // attempts for a request where the settings name no limit

	initialLimit  = 8.0   // attempts that all balancers together may hold at a server of mean size at first
	minLimit  = 0.1   // limits add up to what may be out: below one, a server gets its part in turn
	limitIncrease     = 1.02  // a limit's factor for an early answer while it was used; with limitDecrease it holds ...
	poolIncrease      = 0.05  // that the density grows for an early answer while used; with poolDecrease it holds
	poolDecrease    = 0.15  // where one in four is past 3/4 of the aim
	poolIncreaseWithGossip  = 0.015 // of it where balancers tell one another what they hold: one in eleven is late
	fullStepInFlight = 4.0   // out: where more are, each moves it by less, and all together by as much
	initialLimitIncrease  = 1.10  // the same before a server's first late answer: the start is a guess
	limitDecrease   = 0.92  // ... where one answer in five is late: fewer waste room, more end in a jam
	saturationCut     = 0.6   // of the limit, kept when a server is full or its client gave up: one is plain enough
	earlyShareWithReports  = 0.6   // of the aim: later answers warn of a crowd while there is time to act
	earlyShare   = 0.75  // the same where balancers tell one another what they hold, and where no server tells
	maxQueueShare  = 0.35  // of the aim that a request may wait unsent: the rest is for its answer
	expectedDispatchers  = 2.0   // of those who hear that a server has room send what waits: words may be lost
	minQueueLength  = 4.0   // requests that may wait whatever the drain: a start knows none yet

	overloadShare = 0.5 // of what would push a cold server over is its most: its warm-up as stated is the slowest

	ejectAfterFailures    = 2          // failures in a row that suspend: one may be chance, a quiet balancer sees few
	baseEjectionTime = 0.5e6      // µs of a first suspension, doubled each time a trial fails
	maxEjectionTime  = 8e6        // µs: a server that is back is found within this and its jitter
	restartAssumedAfter = 2 * second // a server silent this long may have started anew: it counts as cold
	minHealthyShare = 0.25       // of the servers in service stay in the draw: more ill ones share a cause

	outlierDeviations = 2.0  // standard deviations, and one, past which bad answers of a key are its own fault
	outlierTimeoutShare  = 0.5  // of the aim that an answer to a blamed key may take where answers are held for clients
	passDecrease  = 0.5  // of a key's requests that pass, kept for a bad answer; with passIncrease it rests ...
	passIncrease  = 1.1  // where one in eight is bad
	minPassRatio = 0.05 // of them pass whatever comes, to see whether it is over

	retryTokensPerSuccess = 0.15 // retries earned by an answer: a storm of retries adds under a sixth more work
	scarceRetryValue    = 0.5  // of a mean request's value by odds by further attempts left: less is not sent
	scarceRetries     = 8.0  // left, with which any is: they would go unused
	maxRetryTokens     = 10.0 // retries that may be saved up, for the first moments of trouble

	healthCheckSpend = 0.002   // points for probes, of what a day may earn
	minPollSpan = 200_000 // µs within which the list is asked for at the least, twice that after a failure
	pollSlotPerBalancer  = 50_000  // µs of that time for each balancer: a list service takes them in turn
	maxPollDelay  = 4.5e6   // µs from a failed call to the next at most: in force 6 s after it could be had
	pollIntervalShare  = 0.7     // of Rules.PollInterval bounds both, past which the list counts as told
)

const (
	timerSecond = iota // rates and forgetting
	timerQueue         // a request has waited long enough
	timerPoll           // the list is to be asked for
	timerInitialPoll         // the first ask is to be planned: what was known before is listed by now
)

// New makes a balancer that has seen nothing yet.
func New(set Settings, seed uint64, act Actions) *Balancer {
	b := &Balancer{
		actions: act, rng: rand.New(rand.NewPCG(seed, 0)), retryTokens: maxRetryTokens, subsetSeed: mixBits(seed),
		knownEndpoints: map[string]*endpointState{}, openRequests: map[string]*request{},
		learningRate: gamma, poolLimit: initialLimit / float64(max(1, set.BalancerCount)),
		retrySuccessRates: initialRetrySuccessRates(), safeIdleTime: 1e16, observedIdleBound: 1e16, gossipedIdleBound: 1e16,
		endpointsByTag: map[[2]byte]*endpointState{},
	}
	b.applySettings(set)
	if b.gossipEnabled() { // a start anew draws from the same servers, as the others know
		b.subsetSeed = mixBits(uint64(set.BalancerIndex) + 1)
		b.poolLimit = initialLimit / 2
	}
	return b
}

// Start plans the first ask for the list where it does not come by itself.
func (b *Balancer) Start(now int64) {
	b.counters.since = now
	b.actions.SetTimer(second, timerSecond)
	if !b.settings.EndpointsPushed {
		b.actions.SetTimer(0, timerInitialPoll)
	}
}

// ---- A request, from taking it to its one final answer

// OnRequest takes a request; it is sent, waits, or is refused at once.
func (b *Balancer) OnRequest(now int64, in Request) {
	class := b.classes[in.Class]
	r := &request{Request: in, class: class, classRules: class.Class, maxAttempts: b.settings.Limits.MaxAttempts, arrivedAt: now,
		priority: class.priority, affinityHash: b.affinityReplica(in.Key), priorAttempt: newPriorAttempt(now, in.PriorAttemptAge)}
	r.latencyObjective = int64(min(float64(class.LatencyObjective)+class.ObjectivePerWork*float64(max(0, in.WorkHint)), float64(class.Deadline)))
	if r.TimeLeft < 0 {
		r.TimeLeft = class.Deadline
	}
	if !in.IsRetry {
		class.maxFirstTimeLeft = max(class.maxFirstTimeLeft, r.TimeLeft)
	} else if r.TimeLeft < class.maxFirstTimeLeft-b.settings.Rules.AnswerSlack { // cut by what its client has waited
		r.elapsedBeforeArrival = max(0, class.Deadline-r.TimeLeft)
	}
	r.workFactor = class.workFactor(in.WorkHint)
	r.deadline = now + r.TimeLeft
	r.queueDeadline = min(now+int64(maxQueueShare*float64(max(0, r.latencyObjective-r.elapsedBeforeArrival))), r.deadline)
	if b.overQuota(in.Tenant) {
		r.priority *= b.settings.OverQuotaWeight
	}
	class.requests++
	b.requestsThisSecond++
	b.attemptBudget.slot(now).requests++
	b.openRequests[in.ID] = r
	if r.keyStats = b.keyStatsFor(in.Key); r.isKeyOutlier() && b.rng.Float64() < r.keyStats.rejectRatio {
		b.rejectOrFail(now, r) // at fault of late: see blame
		return
	}
	if class.LateValueShare == 0 && float64(r.latencyObjective-r.elapsedBeforeArrival) < class.latencyMedian {
		b.rejectOrFail(now, r) // worth nothing any more: guards against repeats that keep a jam going
		return
	}
	b.sendOrEnqueue(now, r, len(b.queue) > 0)
}

// overQuota tells whether a request counts as over its tenant's share: that part of them, drawn at random, by
// which the tenant's part of the traffic seen here is more than its part of the allowances.
func (b *Balancer) overQuota(tenant int) bool {
	if tenant < 0 || tenant >= len(b.tenantRequests) {
		return false
	}
	b.tenantRequests[tenant]++
	taken, allowed := 0.0, 0.0
	for i, t := range b.settings.Tenants {
		taken, allowed = taken+b.tenantRequests[i], allowed+t.Allowance
	}
	fairShare := b.settings.Tenants[tenant].Allowance / max(allowed, 1e-9) * taken / b.tenantRequests[tenant]
	return b.rng.Float64() > fairShare
}

// sendOrEnqueue sends an attempt for r, lets it wait for room behind others, or answers it.
func (b *Balancer) sendOrEnqueue(now int64, r *request, othersQueued bool) {
	if !othersQueued && b.trySend(now, r) {
		return
	}
	if now < r.queueDeadline && b.canAttempt(now, r) && b.hasPermittedEndpoint(now, r) {
		b.enqueue(now, r)
	} else {
		b.rejectOrFail(now, r)
	}
}

func (b *Balancer) trySend(now int64, r *request) bool {
	if b.canAttempt(now, r) && !b.saturated(now) {
		if s, p := b.drawEndpoint(now, r); s != nil {
			b.send(now, r, s, p)
			return true
		}
	}
	return false
}

// canAttempt tells whether a further attempt is allowed at all, whatever the server.
func (b *Balancer) canAttempt(now int64, r *request) bool {
	return !r.ended && !r.streamStarted && now < r.deadline && r.inFlight == 0 &&
		len(r.attempts) < r.maxAttempts && (!r.hasPriorAttempt() || b.attemptBudgetRemaining(now) >= 1)
}

// attemptBudgetRemaining is how many attempts beyond a request's first the budget of attempts allows now, however the
// earlier ones ended. Every send asks for it. Guards against retries of what servers turn away, which cost
// the retry budget nothing: 27 in 10 s where 26.7 were allowed.
func (b *Balancer) attemptBudgetRemaining(now int64) float64 {
	if b.settings.Rules.AttemptBudgetWindow == 0 {
		return math.Inf(1)
	}
	taken, further := b.attemptBudget.counts(now)
	return b.attemptBudgetFloor(now) + b.settings.Rules.AttemptBudgetRatio*float64(taken) - float64(further)
}

// hasPermittedEndpoint tells whether r lacks only room: some arm could take it without harm.
func (b *Balancer) hasPermittedEndpoint(now int64, r *request) bool {
	return slices.ContainsFunc(b.subset, func(s *endpointState) bool { return r.repeatIsSafe(now, s) })
}

// enqueue queues r by worth, and refuses the least worthy of those whose wait would not end in an answer.
func (b *Balancer) enqueue(now int64, r *request) {
	at := len(b.queue)
	for at > 0 && b.queue[at-1].priority <= r.priority {
		at--
	}
	b.queue = slices.Insert(b.queue, at, r)
	b.actions.SetTimer(r.queueDeadline-now, timerQueue)
	for float64(len(b.queue)) > max(minQueueLength, b.throughput*maxQueueShare*float64(r.latencyObjective)) {
		last := b.queue[len(b.queue)-1]
		b.queue = b.queue[:len(b.queue)-1]
		b.rejectOrFail(now, last)
	}
}

// dispatchQueued sends what waits, worthiest first, and answers what has waited too long.
func (b *Balancer) dispatchQueued(now int64) {
	waiting := b.queue
	b.queue = b.queue[:0]
	for _, r := range waiting {
		switch {
		case r.ended || now < r.queueDeadline && b.trySend(now, r):
		case now < r.queueDeadline && b.hasPermittedEndpoint(now, r):
			b.queue = append(b.queue, r)
		default:
			b.rejectOrFail(now, r)
		}
	}
}

// send starts one attempt.
func (b *Balancer) send(now int64, r *request, s *endpointState, p float64) {
	a := attempt{endpoint: s, zone: s.Zone, cell: s.Cell, sentAt: now, probability: p}
	if s.inFlight == 0 {
		s.silentSince = now
		a.connectionIdle = b.reuseConnection(now, s)
	}
	if r.hasPriorAttempt() {
		b.attemptBudget.slot(now).retries++
	}
	r.attempts = append(r.attempts, a)
	s.inFlight++
	b.gossipEndpoint(now, s)
	s.ejections[r.Class].inFlight++
	r.inFlight++
	b.inFlight++
	b.counters.attempts++
	s.slowStartTokens.tokens--
	b.actions.SendAttempt(r.ID, s.ID, b.attemptTimeout(now, r))
}

// reuseConnection tells how long the connection to s has been idle, 0 where there is none or it closes one that may be
// dead. Guards against connections dropped unseen: what is sent on one gets no answer.
func (b *Balancer) reuseConnection(now int64, s *endpointState) int64 {
	if s.idleSince == 0 {
		return 0
	}
	if idle := now - s.idleSince; !s.connectionSuspect && float64(idle) < b.safeIdleTime {
		return idle
	}
	b.actions.CloseIdleConnections(s.ID)
	return 0
}

// attemptTimeout is how long an attempt may take: a multiple of the latency mark while a next try could still be
// answered within the aim, else all the time that is left. Guards against time-outs that feed a jam: late
// work goes on at many servers, and its retry only adds to it.
func (b *Balancer) attemptTimeout(now int64, r *request) int64 {
	left := r.deadline - now
	if r.isKeyOutlier() && b.settings.Limits.MaxBufferedResponses > 0 { // a client that reads on would hold all other answers up
		left = min(left, max(minAttemptTimeout, int64(outlierTimeoutShare*float64(r.latencyObjective))))
	}
	t := max(int64(timeoutP95Factor*r.class.latencyP95), minAttemptTimeout)
	last := len(r.attempts) >= r.maxAttempts || r.classRules.Stream || r.BodyUnbuffered || r.classRules.Semantics == AtMostOnce
	if last || t >= left || now-r.arrivedAt+t+int64(r.class.latencyMedian) > r.latencyObjective {
		return left
	}
	return t
}

// OnOutcome settles an attempt: its server learns, and its request is answered or tried again.
func (b *Balancer) OnOutcome(now int64, o Outcome) {
	r := b.openRequests[o.Request]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].done {
		return
	}
	a := &r.attempts[o.Attempt]
	a.done, a.result = true, o.Result
	b.recordRetryResult(r, o)
	b.releaseCapacity(now, r, a)
	r.inFlight--
	b.observeIdleTime(now, a, o)
	o.Latency = int64(float64(o.Latency) / r.workFactor)
	blamed := b.recordKeyResult(r, o)
	if !blamed {
		b.observeOutcome(now, r, a, o)
	}
	switch {
	case r.ended && r.inFlight == 0:
		delete(b.openRequests, r.ID)
	case r.ended:
	case o.RequestAnswered:
		b.finish(r)
	case r.inFlight > 0:
	case o.Result == InvalidRequest: // others would too: guards against bad requests that use up the retries
		b.actions.Fail(r.ID)
		b.finish(r)
	case !o.BodyConsumed && !blamed && now < r.deadline && b.acquireRetry(now, r, a):
		b.sendOrEnqueue(now, r, false)
	default:
		b.rejectOrFail(now, r)
	}
	b.dispatchQueued(now)
}

// acquireRetry pays for a further attempt; one that never ran cost the servers next to nothing. Where they are
// rationed it must be worth one: by its value, and by the odds that an attempt after such an end has had of
// late. Guards against the last ones spent on what fails everywhere.
func (b *Balancer) acquireRetry(now int64, r *request, a *attempt) bool {
	left := b.attemptBudgetRemaining(now)
	if b.retrySuccessRates[a.result]*r.priority*left < scarceRetryValue*b.meanPriority && left < scarceRetries {
		return false
	}
	if a.result.NeverRan() || b.retryTokens < 1 {
		return a.result.NeverRan()
	}
	b.retryTokens--
	return true
}

// OnStreamStarted hands an attempt to the client: its stream has no deadline and gets no further attempt. Its server
// has done its work. Guards against slow clients whose long answers take the place of requests.
func (b *Balancer) OnStreamStarted(now int64, id string, n int) {
	if r := b.openRequests[id]; r != nil && !r.ended && n < len(r.attempts) {
		r.streamStarted, r.attempts[n].endpoint.silentSince = true, now
		b.releaseCapacity(now, r, &r.attempts[n])
		b.dispatchQueued(now)
	}
}

// releaseCapacity gives back the place that an attempt holds, once.
func (b *Balancer) releaseCapacity(now int64, r *request, a *attempt) {
	if !a.released {
		a.released = true
		a.endpoint.inFlight--
		b.gossipEndpoint(now, a.endpoint)
		a.endpoint.ejections[r.Class].inFlight--
		b.inFlight--
	}
}

// OnClientDisconnected ends a request whose client left.
func (b *Balancer) OnClientDisconnected(now int64, id string) {
	if r := b.openRequests[id]; r != nil && !r.ended {
		b.finish(r)
	}
}

// rejectOrFail answers at once: refused where that is true, else failed.
func (b *Balancer) rejectOrFail(now int64, r *request) {
	if r.ended {
		return
	}
	b.counters.shed++
	if r.rejectIsSafe(now) {
		b.actions.Reject(r.ID, b.retryAfter(r))
	} else {
		b.actions.Fail(r.ID)
	}
	b.finish(r)
}

// retryAfter is when a refused client may find room: after about one answer's time, where clients are told.
func (b *Balancer) retryAfter(r *request) int64 {
	if !b.settings.Limits.RetryAfter {
		return 0
	}
	return min(int64(r.class.latencyMedian), b.settings.Limits.MaxRetryAfter)
}

// finish closes r and calls back what is still out for it.
func (b *Balancer) finish(r *request) {
	r.ended = true
	if r.inFlight == 0 {
		delete(b.openRequests, r.ID)
		return
	}
	for i := range r.attempts {
		if !r.attempts[i].done && b.settings.Limits.Cancel {
			b.actions.CancelAttempt(r.ID, i)
		}
	}
}

// ---- Rule 2: no effect twice

// repeatIsSafe is rule 2 for a send: it tells whether s cannot cause the effect a second time.
func (r *request) repeatIsSafe(now int64, s *endpointState) bool {
	first := r.firstPossiblyExecuted()
	if first == nil || r.classRules.Semantics == Idempotent {
		return true
	}
	if r.classRules.Semantics == AtMostOnce || now-first.sentAt >= r.classRules.DedupWindow {
		return false
	}
	switch r.classRules.DedupScope {
	case ScopeZone:
		return s.Zone == first.zone
	case ScopeCell:
		return s.Cell == first.cell
	}
	return true
}

// rejectIsSafe is rule 2 for a refusal: it tells whether a new try of the client is harmless.
func (r *request) rejectIsSafe(now int64) bool {
	first := r.firstPossiblyExecuted()
	return first == nil || r.classRules.Semantics == Idempotent ||
		r.classRules.Semantics == IdempotencyKeyed && r.classRules.DedupScope == ScopeAll && now-first.sentAt < r.classRules.DedupWindow
}

// ---- EXP3

// drawEndpoint picks a server for r by EXP3 and returns it with its probability, or nil when none has room.
func (b *Balancer) drawEndpoint(now int64, r *request) (*endpointState, float64) {
	home := b.preferredReplica(r)
	if !b.collectCandidates(now, r, home) {
		return nil, 0
	}
	sum, size := b.totalWeight(b.candidates, home)
	b.counters.draws++
	for n, crowd := 0, b.meanUtilization(now); ; n++ {
		s, p := b.sampleCandidate(sum, size, home)
		bound := crowd
		if s == home || b.zoneWeight(s.Zone) > 1 && !b.gossipEnabled() {
			bound = 1/s.Capacity + 2*crowd // the design's bound: a home or a near one may hold more
		}
		if n == maxRedraws || b.utilization(now, s) <= bound {
			return s, p
		}
		if n == 0 {
			b.counters.redrawn++
		}
	}
}

// collectCandidates gathers the servers that an attempt of r may go to: without replacement while others remain.
func (b *Balancer) collectCandidates(now int64, r *request, home *endpointState) bool {
	for _, again := range []bool{false, true} {
		b.candidates = b.candidates[:0]
		for _, s := range b.subset {
			if s != home && b.eligible(now, r, s) && r.attempted(s) == again {
				b.candidates = append(b.candidates, s)
			}
		}
		if home != nil && b.eligible(now, r, home) && r.attempted(home) == again {
			b.candidates = append(b.candidates, home)
		}
		if len(b.candidates) > 0 {
			return true
		}
	}
	return false
}

// eligible tells whether an attempt of r may go to s now.
func (b *Balancer) eligible(now int64, r *request, s *endpointState) bool {
	h := &s.ejections[r.Class]
	if s.Phase != InService || b.totalInFlight(now, s) >= b.concurrencyBound(s) || b.gossipEnabled() && b.unresponsive(now, s) ||
		h.ejected && (now < h.ejectedUntil || h.inFlight > 0 || s.ejectedForAll && s.inFlight > 0) {
		return false
	}
	return b.slowStartAdmits(now, s) && r.repeatIsSafe(now, s)
}

// sampleCandidate draws one of the candidates at random. A server of listed size z counts as z equal arms, so the
// design's p = (1-gamma)*w/sum + gamma/M becomes p = (1-gamma)*z*w/sum + gamma*z/size.
func (b *Balancer) sampleCandidate(sum, size float64, home *endpointState) (*endpointState, float64) {
	x, p := b.rng.Float64(), 0.0
	for _, s := range b.candidates {
		p = b.drawProbability(s, home, sum, size)
		if x -= p; x < 0 {
			return s, p
		}
	}
	return b.candidates[len(b.candidates)-1], p
}

// drawProbability is how likely a draw among servers of that weight and size in all picks s.
func (b *Balancer) drawProbability(s, home *endpointState, sum, size float64) float64 {
	return (1-gamma)*b.drawWeight(s, home)/sum + gamma*s.Capacity/size
}

// drawWeight is the server's weight over all its arms, raised where the request's key is at home. A limit
// under one counts as that part of it. Guards against many balancers that take turns at a jammed server and
// keep it so: work they gave up on still goes on there.
func (b *Balancer) drawWeight(s, home *endpointState) float64 {
	w := s.Capacity * s.weight * min(1, b.concurrencyBound(s)) * b.zoneWeight(s.Zone) * b.loadWeight(s) * s.slowStartTokens.weightFactor(len(b.subset))
	if s == home {
		return affinityBoost * float64(len(b.subset)) * w
	}
	return w
}

// affinityReplica counts a request for a key and picks one of its homes, more for a key that is a large part of the
// requests seen here; 0: none. Guards against hot keys that flood one server from every balancer.
func (b *Balancer) affinityReplica(name string) uint64 {
	if !b.settings.KeyAffinity || name == "" {
		return 0
	}
	key := hash(name)
	books := b.keyStatsFor(name)
	books.requests++
	b.keyRequests++
	more := int(replicasPerShare * float64(len(b.endpoints)) * books.requests / (b.keyRequests + minKeyRequests))
	return mixBits(key+uint64(b.rng.IntN(1+more))) | 1
}

// preferredReplica is the server that all balancers with this list pick for a replica of a key, by rendezvous hashing
// over sizes: where servers do known keys faster, a key that all send to one server is warm for all.
func (b *Balancer) preferredReplica(r *request) (best *endpointState) {
	if r.affinityHash == 0 {
		return nil
	}
	least := math.Inf(1)
	for _, s := range b.endpoints {
		if s.Phase == InService && !s.ejections[r.Class].ejected {
			if far := -math.Log(unitInterval(r.affinityHash^s.idHash)) / s.Capacity; far < least {
				best, least = s, far
			}
		}
	}
	return best
}

// subsetSize is how many servers this balancer's own traffic can learn of, within those limits.
func (b *Balancer) subsetSize() int {
	least, each, sharers, most := float64(minSubset), requestRatePerEndpoint, coverage, math.Inf(1)
	if b.gossipEnabled() {
		least, sharers, most = minSubsetWithGossip, coverageWithGossip, maxCoverageWithGossip
	}
	if b.settings.ConnectionPrice > 0 {
		each = requestRatePerPricedEndpoint
	}
	servers := float64(len(b.endpoints))
	cover := min(sharers*(servers/float64(max(1, b.settings.BalancerCount))), most)
	return int(min(max(least, b.requestRate/each, cover), servers))
}

// updateSubset makes the arms the first in service of this balancer's own order (rendezvous hashing by its seed).
// Ill ones stay for their trials and are not counted; a cold one counts for its part. Guards against quiet
// balancers of a large fleet that meet each server once a minute, learn nothing and keep connections to all.
func (b *Balancer) updateSubset(now int64) {
	want, well := b.subsetSize(), 0.0
	b.subset = b.subset[:0]
	for _, s := range b.endpoints {
		was := s.inSubset
		s.inSubset = s.Phase == InService && well < float64(want) && len(b.subset) < maxSubsetFactor*want
		if s.inSubset {
			if !was { // those who share it are to know soon
				b.nextGossipAt = min(b.nextGossipAt, b.lastGossipAt+b.gossipChangeInterval())
			}
			b.subset = append(b.subset, s)
			if !s.ejectedForAll {
				well += b.warmupFraction(now, s)
			}
		}
	}
}

// recordKeyResult tells whether a bad outcome is the request's fault, not the server's: answers of its key are bad
// more often than those of all others, past chance. It gets no further attempt, and such requests are
// thinned at the door until those that pass are answered well. Guards against locks behind all servers,
// clients that read slowly and requests found in error anywhere, which held the places of others and had
// all servers suspended. It does harm where one key alone jams its home.
func (b *Balancer) recordKeyResult(r *request, o Outcome) bool {
	bad, k := !b.isEarly(r.class, o), r.keyStats
	if k == nil || !bad && o.Result != Succeeded {
		return false
	}
	k.answers, b.totalKeyStats.answers = k.answers+1, b.totalKeyStats.answers+1
	if !bad {
		k.rejectRatio = 1 - min(1, (1-k.rejectRatio)*passIncrease)
		return false
	}
	k.badAnswers, b.totalKeyStats.badAnswers = k.badAnswers+1, b.totalKeyStats.badAnswers+1
	others := (b.totalKeyStats.badAnswers - k.badAnswers + 1) / (b.totalKeyStats.answers - k.answers + 2) // share of bad ones among them
	if k.badAnswers-k.answers*others <= outlierDeviations*math.Sqrt(k.answers*others*(1-others))+1 {
		return false
	}
	k.rejectRatio = 1 - max(minPassRatio, (1-k.rejectRatio)*passDecrease)
	return true
}

// observeOutcome takes in what an outcome tells of its server: a cancelled, unsent or rejected one tells nothing.
func (b *Balancer) observeOutcome(now int64, r *request, a *attempt, o Outcome) {
	if o.Result == Succeeded || o.Result == Errored || o.Result == Saturated || o.Result == InvalidRequest {
		a.endpoint.silentSince = now
	}
	b.recordLoadReport(a.endpoint, o.Load)
	if o.Result == Cancelled || o.Result == NotSent || o.Result == InvalidRequest {
		return
	}
	if o.Result == Succeeded {
		b.successesThisSecond++
		if a.sentAt+o.Latency-r.arrivedAt+r.elapsedBeforeArrival <= r.latencyObjective { // a stream ends later
			r.class.onTimeAnswers++
		}
		a.endpoint.successesThisSecond++
		b.retryTokens = min(b.retryTokens+retryTokensPerSuccess, maxRetryTokens)
	}
	if o.Result == Succeeded || o.Result == TimedOut {
		r.class.observeLatency(float64(o.Latency))
	}
	b.updateEjection(now, r.Class, a.endpoint, o.Result)
	b.adaptLimits(now, r.class, a, o)
	b.updateWeight(a, r.payoff(o))
}

// updateWeight is EXP3's update of the drawn server: w*exp(gamma*r/(p*M)), faster at a quiet balancer.
func (b *Balancer) updateWeight(a *attempt, payoff float64) {
	a.endpoint.setLogWeight(a.endpoint.logWeight + b.learningRate*payoff/(a.probability*float64(max(1, len(b.subset)))))
}

// payoff is 1 for an answer as fast as from a server at ease, falls with the latency after that, and is 0 for
// a failure. Guards against slow machines that keep their part at every balancer until they are late.
func (r *request) payoff(o Outcome) float64 {
	if o.Result != Succeeded {
		return 0
	}
	return min(1, fullPayoffShare*r.class.baselineP90*float64(r.latencyObjective)/float64(r.classRules.LatencyObjective*max(1, o.Latency)))
}

// ---- Limits of what is out

// adaptLimits moves the limit of the server that answered.
func (b *Balancer) adaptLimits(now int64, c *classState, a *attempt, o Outcome) {
	s, early := a.endpoint, o.Result == Succeeded && b.isEarly(c, o)
	if !early {
		b.counters.late++
	}
	s.lastAnswerEarly = early || o.Result != Succeeded && s.lastAnswerEarly
	if b.gossipEnabled() { // the density is of what all hold there, and moves by little
		early = o.Result == Succeeded && float64(o.Latency) <= earlyShare*float64(c.LatencyObjective)
	}
	calm, well := b.unloadedLatency(c, s, o)
	b.adaptPoolLimit(now, s, early || calm, o.Result)
	switch {
	case b.gossipEnabled() || o.Result != Succeeded && o.Result != TimedOut && o.Result != Saturated:
	case s.lastAnswerEarly && (o.Result == TimedOut || o.Result == Saturated && b.settings.Rules.AttemptBudgetWindow == 0):
		// Lost by itself, or turned away early: guards against cuts where nothing is crowded. Where further
		// attempts are rationed a full server costs one, and the cut keeps others away from it.
	case (early || well) && float64(s.inFlight+2) > s.concurrencyLimit && s.limitCutAt == 0:
		s.concurrencyLimit *= initialLimitIncrease
	case (early || well) && float64(s.inFlight+2) > s.concurrencyLimit:
		s.concurrencyLimit *= limitIncrease
	case early || well:
	default:
		if (o.Result == TimedOut && o.Latency >= c.LatencyObjective || o.Result == Saturated) && a.sentAt > s.limitCutAt {
			s.concurrencyLimit, s.limitCutAt = min(s.concurrencyLimit, float64(s.inFlight+1))*saturationCut, now
		}
		s.concurrencyLimit = max(minLimit, s.concurrencyLimit*limitDecrease)
		s.limitCutAt = max(s.limitCutAt, 1)
	}
}

// adaptPoolLimit moves the density by an answer: up where it is early and the room was used, down where it is late,
// less for each where much is out. Guards against a burst of late answers that leaves a busy one no room.
func (b *Balancer) adaptPoolLimit(now int64, s *endpointState, early bool, result Result) {
	held, room, part, up, least := b.totalInFlight(now, s), b.poolLimit*s.Capacity, 1.0, poolIncreaseWithGossip, 1.0
	if !b.gossipEnabled() { // else one server's answer tells of what all hold there
		held, room = b.poolCapacity(now)
		part, up, least = min(1, fullStepInFlight/float64(b.inFlight+1)), poolIncrease, 1/float64(max(1, len(b.endpoints)))
	}
	switch {
	case early && held+2 <= room:
	case !early && result == Succeeded: // a full server tells of itself
		b.poolLimit, b.congestionSeen = max(least, b.poolLimit*(1-poolDecrease*part)), true
	case early && !b.congestionSeen:
		b.poolLimit *= initialLimitIncrease
	case early:
		b.poolLimit *= 1 + up*part
	}
}

// resetLimit allows this balancer's part of a guess for all: what came before tells nothing.
func (b *Balancer) resetLimit(s *endpointState) {
	s.concurrencyLimit, s.limitCutAt = max(minLimit, initialLimit*s.Capacity/b.balancersPerEndpoint()), 0
}

// saturated tells whether as much is out as the limits of arms and of homes in use add up to, or as this
// balancer's part of what the servers in use can hold. Guards against many balancers that each keep one
// attempt at every server, and against busy ones held to a quiet one's part.
func (b *Balancer) saturated(now int64) bool {
	if b.gossipEnabled() {
		if !b.gossipLost(now) {
			return false // the bounds are of what all hold: their sum counts where that is guessed
		}
	} else {
		sum := 0.0
		for _, s := range b.endpoints {
			if s.inSubset || s.successesThisSecond+s.inFlight > 0 {
				sum += s.concurrencyLimit
			}
		}
		if busy := b.throughputPerCapacity[1]*float64(second) >= busyThroughput; busy {
			return float64(b.inFlight) >= max(1, sum) // limits of a busy balancer learn by themselves
		}
	}
	held, room := b.poolCapacity(now)
	return held >= max(1, room)
}

// ---- What balancers tell one another

// concurrencyBound is how much all may hold at s.
func (b *Balancer) concurrencyBound(s *endpointState) float64 {
	if b.gossipEnabled() {
		return max(1, b.poolLimit*s.Capacity)
	}
	return s.concurrencyLimit
}

// gossipEndpoint tells those who draw from s what this balancer has out there.
func (b *Balancer) gossipEndpoint(now int64, s *endpointState) {
	if b.gossipEnabled() && s.inSubset && len(s.peerLoads) > 0 {
		w := b.encodeGossip(s)
		for _, p := range s.peerLoads[:min(len(s.peerLoads), b.gossipFanout())] {
			b.actions.SendGossip(p.peer, w)
		}
	}
}

// gossipSubset tells all what this balancer draws from when it is time: soon after that has changed.
func (b *Balancer) gossipSubset(now int64) {
	if b.gossipEnabled() && now >= b.nextGossipAt {
		b.lastGossipAt, b.nextGossipAt = now, now+b.gossipInterval()+b.rng.Int64N(b.gossipInterval())
		b.actions.SendGossip(-1, b.encodeGossip(b.subset...))
	}
}

// OnGossip takes in another balancer's message.
func (b *Balancer) OnGossip(now int64, from int, word []byte) {
	if !b.gossipEnabled() {
		return
	}
	ok, met := b.handleGossip(now, from, word)
	if met { // it may not know of this one: it started anew, or a word to all was lost
		b.actions.SendGossip(from, b.encodeGossip(b.subset...))
	}
	if ok {
		b.lastGossipReceivedAt = now
		if len(b.queue) > 0 && b.rng.Float64()*b.balancersPerEndpoint() < expectedDispatchers {
			b.dispatchQueued(now)
		}
	}
}

// ---- Health, from own outcomes

// updateEjection suspends a server after failures in a row and brings it back after a good trial. Guards against
// the black hole: a dead process turns attempts away at once, holds nothing, and always has room. An error
// tells of its class alone: a server can fail one and serve the others.
func (b *Balancer) updateEjection(now int64, class int, s *endpointState, result Result) {
	if result == Saturated {
		return
	}
	for i := range s.ejections {
		h := &s.ejections[i]
		switch {
		case i != class && (result == Errored || result == Succeeded && h.lastFailure == Errored):
		case result == Succeeded:
			if h.ejected {
				b.restore(now, s, i)
			}
			h.consecutiveFailures = 0
		default:
			h.consecutiveFailures, h.lastFailure = h.consecutiveFailures+1, result
			if h.consecutiveFailures >= ejectAfterFailures && !(h.ejected && now < h.ejectedUntil) {
				b.eject(now, s, i)
			}
		}
	}
	if result == Succeeded {
		s.lastSuccessAt = now
	}
}

// eject takes s out of the draw of a class for a while, longer each time a trial fails.
func (b *Balancer) eject(now int64, s *endpointState, class int) {
	h := &s.ejections[class]
	if !h.ejected && !b.mayEject(now, s, class) {
		return
	}
	pause := min(baseEjectionTime*math.Exp2(float64(h.ejectionCount)), maxEjectionTime) * (0.75 + unitInterval(s.subsetRank^uint64(now))/2)
	h.ejected, h.ejectedUntil = true, now+int64(pause)
	s.ejectedForAll = !slices.ContainsFunc(s.ejections, func(h ejectionState) bool { return !h.ejected })
	b.updateSubset(now)
	if h.ejectionCount++; h.ejectionCount == 1 {
		b.logEndpointEvent("suspend", s, class, "cause=%s held=%d", h.lastFailure, s.inFlight)
	}
}

func (b *Balancer) restore(now int64, s *endpointState, class int) {
	h, quiet := &s.ejections[class], now-s.lastSuccessAt
	if s.ejectedForAll && quiet >= restartAssumedAfter { // it may have started anew, which the list tells seconds late
		b.beginSlowStart(now, s, now)
		b.resetLimit(s)
	}
	b.logEndpointEvent("return", s, class, "quiet_ms=%d trials=%d", quiet/1000, h.ejectionCount)
	h.ejected, h.ejectionCount, s.ejectedForAll = false, 0, false
	b.updateSubset(now)
}

// mayEject keeps a part of the arms in the draw: when most look ill the cause is shared. It is not while
// another answers well: a lost zone can be most of a fleet, and a dead server in the draw takes all retries.
func (b *Balancer) mayEject(now int64, s *endpointState, class int) bool {
	well := 0
	for _, o := range b.subset {
		if h := &o.ejections[class]; o != s && !h.ejected {
			well++
			if o.successesThisSecond > 0 && h.consecutiveFailures == 0 && now-o.lastSuccessAt < second/2 {
				return true
			}
		}
	}
	return float64(well) >= minHealthyShare*float64(len(b.subset))
}

// checkHealth probes the arms where servers tell of themselves to probes alone, as often as their price leaves little
// to notice. Guards against slow machines that get as much as fast ones until they choke: in two seconds.
func (b *Balancer) checkHealth(now int64) {
	wait := float64(second*int64(len(b.subset))) * b.settings.HealthCheckPrice / (healthCheckSpend * max(1, b.requestRate))
	if b.settings.LoadFromHealthChecks && b.settings.Limits.HealthChecks && float64(now-b.lastHealthCheckAt) >= wait {
		b.lastHealthCheckAt = now
		for _, s := range b.subset {
			b.actions.CheckHealth(s.ID)
		}
	}
}

// ---- Rule 4: cold servers

// slowStartAdmits keeps rule 4 alone, for all balancers together: a cold server gets its warm-up's part of the
// answers (not sends: they pile up in a jam) that a warm one of its size gives this balancer, or more where
// that is half of what would push it over: guards against cold ones at ease while warm ones are late. What is
// not used runs out: see bucket.
func (b *Balancer) slowStartAdmits(now int64, s *endpointState) bool {
	w := b.warmupFraction(now, s)
	if w >= 1 {
		s.slowStartTokens.availability = 1
		return true
	}
	w *= max(1, b.settings.Rules.OverloadFactor*overloadShare)
	return s.slowStartTokens.take(now, w*b.throughputPerCapacity[s.throughputGroup()]*s.Capacity, b.slowStartTokenLifetime())
}

// ---- Time and the list of servers

// OnTimer serves the timers set by Wake.
func (b *Balancer) OnTimer(now, token int64) {
	switch token {
	case timerSecond:
		b.onSecond(now)
	case timerQueue:
		b.dispatchQueued(now)
	case timerPoll:
		b.actions.WatchEndpoints(true)
	case timerInitialPoll:
		if len(b.endpoints) == 0 { // nothing can be served before
			b.actions.WatchEndpoints(true)
		} else {
			b.actions.SetTimer(b.initialPollDelay(), timerPoll)
		}
	}
}

// onSecond forgets, log-weights shrinking to their mean, and takes the second's rates.
func (b *Balancer) onSecond(now int64) {
	b.actions.SetTimer(second, timerSecond)
	b.throughput += (float64(b.successesThisSecond)/float64(second) - b.throughput) / 2
	b.safeIdleTime, b.observedIdleBound = b.safeIdleTime*safeIdleGrowth, b.observedIdleBound*safeIdleGrowth
	b.decayCounters()
	b.forgetRemoved(now)
	b.expirePeerLoads(now)
	b.updatePriorities()
	mean, answered, size := b.meanLogWeight(), [2]int{}, [2]float64{}
	keep := max(minWeightRetention, math.Pow(retentionPerAnswer, float64(b.successesThisSecond)/float64(max(1, len(b.subset)))))
	b.scaleBySpeed()
	b.requestRate += (float64(b.requestsThisSecond) - b.requestRate) / 4
	b.requestsThisSecond = 0
	b.updateSubset(now)
	b.checkHealth(now)
	b.gossipSubset(now)
	for _, s := range b.endpoints {
		s.setLogWeight((s.logWeight - mean) * keep)
		if s.Phase == InService && !s.ejectedForAll && b.warmupFraction(now, s) >= 1 {
			answered[s.throughputGroup()], size[s.throughputGroup()] = answered[s.throughputGroup()]+s.successesThisSecond, size[s.throughputGroup()]+s.Capacity
		}
		s.successesThisSecond = 0
	}
	b.successesThisSecond = 0
	b.secondsRunning++
	for i := range size {
		if size[i] > 0 {
			rate := float64(answered[i]) / size[i] / float64(second)
			b.throughputPerCapacity[i] += (rate - b.throughputPerCapacity[i]) * max(0.25, 1/b.secondsRunning) // the first second counts in full
		}
	}
	b.learningRate = gamma * min(max(1, busyThroughput/(b.throughputPerCapacity[1]*float64(second))), maxLearningBoost)
	b.logSummary(now)
}

// OnEndpoints takes the list, whole or its changes.
func (b *Balancer) OnEndpoints(now int64, list []Endpoint, whole bool) {
	b.pollFailures = 0
	if whole {
		for _, s := range b.endpoints {
			s.Phase = Removed
		}
	}
	var fresh []*endpointState
	for _, in := range list {
		s := b.endpointFor(now, in)
		if s.listedCapacity == 0 || in.StartedAt > s.StartedAt { // a new process: cold, and no old failure counts
			s.clearFailures()
			b.beginSlowStart(now, s, max(in.StartedAt, 0))
			fresh = append(fresh, s)
		}
		s.applyListing(in, b.settings.CapacityListed)
		if in.Phase != Removed && !s.inList {
			s.inList, b.endpoints = true, append(b.endpoints, s)
		}
	}
	b.removeUnlisted(now)
	b.sortEndpoints()
	b.scaleCapacities()
	b.updateSubset(now)
	for _, s := range fresh {
		b.resetLimit(s)
	}
	b.checkHealth(now)
	b.gossipSubset(now)
	b.dispatchQueued(now)
}

// OnPollFailed asks again, later each time, and at most a turn after the failed call began; waited is for how
// long it had no answer.
func (b *Balancer) OnPollFailed(now, waited int64) {
	wait := b.pollBackoff(waited)
	if b.pollFailures++; b.pollFailures == 1 {
		b.actions.Log("list failed, asking again")
	}
	b.actions.SetTimer(wait, timerPoll)
}
