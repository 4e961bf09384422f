// The state of a Balancer, and the handling of each event. The rules are in the other files; doc.go lists
// them.

package decide

import "math/rand/v2"

// Tokens of the Balancer's timers. They are part of the simulator's protocol.
const (
	timerSecond      = 0 // once per second: rates are measured and old counts decay
	timerQueue       = 1 // a queued request has reached its queue deadline
	timerPoll        = 2 // the endpoint list is due to be polled
	timerInitialPoll = 3 // schedules the first poll, after the host has applied its cached endpoint list
)

// Balancer makes the decisions of one sidecar. It knows only what its events report. It is not safe for
// concurrent use.
type Balancer struct {
	settings Settings
	actions  Actions
	rng      *rand.Rand

	endpoints      []*endpointState          // in the endpoint list, sorted by subsetRank
	knownEndpoints map[string]*endpointState // by ID; includes recently removed ones
	subset         []*endpointState          // endpoints that it draws from, see subset.go
	subsetSeed     uint64                    // determines the order of endpoints
	candidates     []*endpointState          // scratch space of collectCandidates

	classes      []*classState       // those of the settings, then removed ones that open requests still use
	openRequests map[string]*request // by ID
	queue        []*request          // waiting for capacity, highest priority first
	inFlight     int                 // this balancer's attempts in flight

	rates        trafficRates
	pool         poolState
	learningRate float64 // of EXP3

	retryBudget          retryBudget
	attemptBudget        attemptBudget
	peerProcessActive    bool  // another process of this sidecar is also serving
	peerAttemptsExpireAt int64 // when the attempts of the last such process leave the budget window

	meanPriority   float64   // mean over recent requests
	tenantRequests []float64 // recent requests of each tenant
	keys           keyTable
	loadReports    loadReports
	idle           idleConnections
	gossip         gossipState

	lastHealthCheckAt int64
	pollFailures      int // consecutive failed polls of the endpoint list
	counters          summaryCounters
}

// New returns a Balancer that knows no endpoints yet. The settings must be valid, see Settings.Validate.
// The host must call Start before any other method.
func New(set Settings, seed uint64, act Actions) *Balancer {
	b := &Balancer{
		actions:        act,
		rng:            rand.New(rand.NewPCG(seed, 0)),
		knownEndpoints: map[string]*endpointState{},
		subsetSeed:     mixBits(seed),
		openRequests:   map[string]*request{},
		pool:           poolState{limit: initialLimit / float64(max(1, set.BalancerCount))},
		learningRate:   gamma,
		retryBudget:    newRetryBudget(),
		idle:           newIdleConnections(),
		gossip:         gossipState{endpointsByTag: map[[2]byte]*endpointState{}},
	}
	b.applySettings(set)
	if b.gossipEnabled() {
		// The seed depends on the index alone, so that after a restart the balancer has the same subset,
		// which its peers already know.
		b.subsetSeed = mixBits(uint64(set.BalancerIndex) + 1)
		b.pool.limit = initialLimit / 2
	}
	return b
}

// Start sets the once-per-second timer and, unless the endpoint list is pushed, the timer of the first
// poll.
func (b *Balancer) Start(now int64) {
	b.counters.since = now
	b.actions.SetTimer(second, timerSecond)
	if !b.settings.EndpointsPushed {
		b.actions.SetTimer(0, timerInitialPoll)
	}
}

// OnRequest handles a new request: it sends an attempt, queues the request, or answers it immediately.
func (b *Balancer) OnRequest(now int64, in Request) {
	r := b.newRequest(now, in)
	if b.overQuota(in.Tenant) {
		r.priority *= b.settings.OverQuotaWeight
	}
	r.class.requests++
	b.rates.requestsThisSecond++
	b.attemptBudget.slot(now).requests++
	b.openRequests[in.ID] = r
	if !b.admit(r) {
		b.rejectOrFail(now, r)
		return
	}
	b.sendOrEnqueue(now, r, len(b.queue) > 0)
}

// sendOrEnqueue sends an attempt of r, queues r if only capacity is missing, or answers it.
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

// trySend sends an attempt of r if an attempt is allowed now and some endpoint can take it.
func (b *Balancer) trySend(now int64, r *request) bool {
	if !b.canAttempt(now, r) || b.saturated(now) {
		return false
	}
	s, probability := b.drawEndpoint(now, r)
	if s == nil {
		return false
	}
	b.send(now, r, s, probability)
	return true
}

// send starts an attempt at s, which was drawn with the given probability.
func (b *Balancer) send(now int64, r *request, s *endpointState, probability float64) {
	a := attempt{endpoint: s, zone: s.Zone, cell: s.Cell, sentAt: now, probability: probability}
	if s.inFlight == 0 {
		s.silentSince = now
		a.connectionIdle = b.reuseConnection(now, s)
	}
	if r.hasPriorAttempt() {
		b.attemptBudget.slot(now).retries++
	}
	r.attempts = append(r.attempts, a)
	s.inFlight++
	b.gossipEndpoint(s)
	s.ejections[r.Class].inFlight++
	r.inFlight++
	b.inFlight++
	b.counters.attempts++
	s.slowStartTokens.tokens--
	b.actions.SendAttempt(r.ID, s.ID, b.attemptTimeout(now, r))
}

// OnOutcome handles the end of an attempt: it updates the estimates, and answers or retries the request. It
// ignores a second outcome of the same attempt and outcomes of unknown requests.
func (b *Balancer) OnOutcome(now int64, o Outcome) {
	r := b.openRequests[o.Request]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].done {
		return
	}
	a := &r.attempts[o.Attempt]
	a.done, a.result = true, o.Result
	b.recordRetryResult(r, o)
	b.releaseCapacity(r, a)
	r.inFlight--
	b.observeIdleTime(now, a, o)
	o.Latency = int64(float64(o.Latency) / r.workFactor)
	keyAtFault := b.recordKeyResult(r, o)
	if !keyAtFault {
		b.observeOutcome(now, r, a, o)
	}
	switch {
	case r.ended && r.inFlight == 0:
		delete(b.openRequests, r.ID)
	case r.ended:
	case o.RequestAnswered:
		b.finish(r)
	case r.inFlight > 0:
	case o.Result == InvalidRequest: // every endpoint would reject it, so a retry would be wasted
		b.actions.Fail(r.ID)
		b.finish(r)
	case !o.BodyConsumed && !keyAtFault && now < r.deadline && b.acquireRetry(now, r, a):
		b.sendOrEnqueue(now, r, false)
	default:
		b.rejectOrFail(now, r)
	}
	b.dispatchQueued(now)
}

// observeOutcome updates the state of the endpoint. An attempt that was cancelled or not sent, or whose
// request is invalid, updates only the load report and, if the endpoint responded, silentSince.
func (b *Balancer) observeOutcome(now int64, r *request, a *attempt, o Outcome) {
	if o.Result == Succeeded || o.Result == Errored || o.Result == Saturated || o.Result == InvalidRequest {
		a.endpoint.silentSince = now
	}
	b.recordLoadReport(a.endpoint, o.Load)
	if o.Result == Cancelled || o.Result == NotSent || o.Result == InvalidRequest {
		return
	}
	if o.Result == Succeeded {
		b.rates.successesThisSecond++
		// Latency is measured to the start of the response, since a stream may end much later.
		if a.sentAt+o.Latency-r.arrivedAt+r.elapsedBeforeArrival <= r.latencyObjective {
			r.class.onTimeResponses++
		}
		a.endpoint.successesThisSecond++
		b.retryBudget.deposit()
	}
	if o.Result == Succeeded || o.Result == TimedOut {
		r.class.observeLatency(float64(o.Latency))
	}
	b.updateEjection(now, r.Class, a.endpoint, o.Result)
	b.adaptLimits(now, r.class, a, o)
	b.updateWeight(a, r.payoff(o))
}

// OnStreamStarted handles the start of the streamed response to attempt n. The request gets no further
// attempt. The attempt stops counting as in flight, since the endpoint has done its work and a slow client
// must not block other requests.
func (b *Balancer) OnStreamStarted(now int64, id string, n int) {
	if r := b.openRequests[id]; r != nil && !r.ended && n < len(r.attempts) {
		r.streamStarted = true
		r.attempts[n].endpoint.silentSince = now
		b.releaseCapacity(r, &r.attempts[n])
		b.dispatchQueued(now)
	}
}

// OnClientDisconnected closes a request whose client has disconnected.
func (b *Balancer) OnClientDisconnected(_ int64, id string) {
	if r := b.openRequests[id]; r != nil && !r.ended {
		b.finish(r)
	}
}

// OnTimer handles a timer that was set by Actions.SetTimer; token identifies it.
func (b *Balancer) OnTimer(now, token int64) {
	switch token {
	case timerSecond:
		b.onSecond(now)
	case timerQueue:
		b.dispatchQueued(now)
	case timerPoll:
		b.actions.WatchEndpoints(true)
	case timerInitialPoll:
		if len(b.endpoints) == 0 { // no request can be served without a list
			b.actions.WatchEndpoints(true)
		} else {
			b.actions.SetTimer(b.initialPollDelay(), timerPoll)
		}
	}
}

// onSecond does the periodic work, once per second.
func (b *Balancer) onSecond(now int64) {
	b.actions.SetTimer(second, timerSecond)
	b.growSafeIdleTime()
	b.forgetUnusedClasses()
	b.decayClassStatistics()
	b.decayKeyStats()
	b.decayTenantRequests()
	b.forgetRemoved(now)
	b.expirePeerLoads(now)
	b.updatePriorities()
	b.decayWeights()
	b.scaleBySpeed()
	b.rates.measureRequests()
	b.updateSubset(now)
	b.checkHealth(now)
	b.gossipSubset(now)
	b.measureThroughput(now)
	b.updateLearningRate()
	b.logSummary(now)
}
