package decide

import (
	"math"
	"math/rand/v2"
)

const (
	second           = int64(1_000_000)
	requestRetention = 0.98 // of taken and served, kept each second: a judgement over most of a minute
)

const (
	timerSecond      = iota // rates and forgetting
	timerQueue              // a request has waited long enough
	timerPoll               // the list is to be asked for
	timerInitialPoll        // the first ask is to be planned: what was known before is listed by now
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

// Balancer decides for one sidecar. It knows only what its events told it.
type Balancer struct {
	settings              Settings
	actions               Actions
	rng                   *rand.Rand
	endpoints             []*endpointState // as listed, in a stable order
	subset                []*endpointState // those that it draws from
	subsetSeed            uint64           // of its order of the servers
	requestsThisSecond    int              // requests this second
	requestRate           float64          // requests a second of late
	knownEndpoints        map[string]*endpointState
	classes               []*classState // of the settings in force, then those that only open requests still have
	openRequests          map[string]*request
	queue                 []*request                  // waiting for room, worthiest first
	inFlight              int                         // own attempts out now
	poolLimit             float64                     // own attempts that may be out for each server of mean size
	congestionSeen        bool                        // an answer was late
	keyStats              [512]keyStats               // of late by key, in as many slots
	keyRequests           float64                     // sum of their requests
	retryTokens           float64                     // retry budget
	retrySuccessRates     [InvalidRequest + 1]float64 // that a further attempt is served, by how the one before ended
	meanPriority          float64                     // of the requests of late
	attemptBudget         attemptBudget               // attempts beyond a request's first
	pollFailures          int                         // failed asks for the list in a row
	tenantRequests        []float64                   // requests of each tenant of late
	successesThisSecond   int                         // this second
	throughput            float64                     // answers per µs
	throughputPerCapacity [2]float64                  // answers that a warm server of size one gives this balancer, per µs: no arm, arm
	secondsRunning        float64                     // since its start
	meanReportedInFlight  float64                     // requests that servers hold, as they tell, on average
	totalKeyStats         keyStats                    // answers of all keys
	lastHealthCheckAt     int64                       // when servers were probed last
	loadReportsSeen       bool                        // servers tell of their load
	peerProcessActive     bool                        // another process of this sidecar serves too
	peerAttemptsExpireAt  int64                       // when the last such has left the books of the budget of attempts

	peers                []peerState // by balancer, as far as heard of
	endpointsByTag       map[[2]byte]*endpointState
	lastGossipAt         int64            // when all were told what this one draws from
	nextGossipAt         int64            // when they are to be told next
	lastGossipReceivedAt int64            // when any word came
	gossipSeq            byte             // messages sent
	gossipBuffer         []byte           // scratch of a message
	safeIdleTime         float64          // µs that connections have been idle and still good
	observedIdleBound    float64          // what one attempt without an answer would make of it
	gossipedIdleBound    float64          // the same, as another told last
	gossipedIdlePeer     int              // who, from 1 on
	learningRate         float64          // of EXP3
	candidates           []*endpointState // scratch of a draw
	counters             summaryCounters
}

// decayCounters lets old counts of requests fade, and the uncrowded mark rise.
func (b *Balancer) decayCounters() {
	b.forgetUnusedClasses()
	for _, c := range b.classes {
		c.requests, c.onTimeAnswers, c.baselineP90, c.baselineP15 = c.requests*requestRetention, c.onTimeAnswers*requestRetention, c.baselineP90*baselineGrowth, c.baselineP15*baselineGrowth
		c.answerRate, c.answersThisSecond = c.answerRate+answerRateStep*(c.answersThisSecond-c.answerRate), 0
	}
	b.totalKeyStats.answers, b.totalKeyStats.badAnswers = b.totalKeyStats.answers*keyAnswerRetention, b.totalKeyStats.badAnswers*keyAnswerRetention
	for i := range b.keyStats {
		k := &b.keyStats[i]
		k.requests, k.answers, k.badAnswers = k.requests*requestRetention, k.answers*keyAnswerRetention, k.badAnswers*keyAnswerRetention
		if k.rejectRatio > 0 {
			k.rejectRatio = 1 - min(1, (1-k.rejectRatio)*passRecovery)
		}
	}
	b.keyRequests *= requestRetention
	for i := range b.tenantRequests {
		b.tenantRequests[i] *= requestRetention
	}
}
