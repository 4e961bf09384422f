// What a balancer remembers, and the helpers that decide nothing: estimates, hashing, the summary line.

package decide

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	maxLogWeight     = 30.0        // log-weights stay within this of zero: beyond it a sum of floats loses the small ones
	summaryInterval    = 5 * second  // between two summary lines
	removedRetention    = 60 * second // a list may be stale by tens of seconds
	requestRetention = 0.98        // of taken and served, kept each second: a judgement over most of a minute
	keyAnswerRetention     = 0.9         // of the answers of a key and the bad ones among them, kept each second
	passRecovery    = 1.03        // of a key's requests that pass, each second
	safeIdleShare    = 0.8         // of the idle time after which an attempt got no answer is held for safe
	zoneBoostPerPrice   = 400.0 / 3   // of the price of crossing zones that a server of the own zone weighs more
	zoneRankFactor   = 3.4         // times that a server of the own zone may weigh more and still not come first
	p95Quantile   = 0.95        // of the answers come before the latency mark: time-outs stand on it
	p95Step    = 0.2         // log step of the mark for an answer past it: trouble shows in a few answers
	medianStep    = 0.04        // of the median
	p90Quantile   = 0.9         // of the answers come before the calm mark, whose lowest value is kept as uncrowded
	p90Step    = 0.05        // of the calm mark: one burst of late answers must not move it far
	baselineGrowth    = 1.01        // of the uncrowded mark each second: doubled in 70 s, longer than a jam should last
	answerRateStep    = 0.3         // of the rate of answers, each second
	p15Quantile  = 0.15        // of the answers are quicker than the quick mark
	minP15Step  = 0.03        // of its steps
	maxP15Step   = 0.6         // the same
	endpointP15Step    = 0.3         // of the steps of one server
	p15StepsPerSecond = 5.0         // steps of all answers of a second together
	unloadedFactor  = 1.5         // of its lowest, up to which the quick mark tells of no crowd
	minTailAnswerRate = 4.0         // of a class each second, from which on its quickest tell of a crowd in time
	congestedP90Factor = 1.6         // uncrowded calm marks: servers that slow down when crowded lose work before the aim
	meanWorkStep    = 0.02        // of the mean work hinted, for each request
	workShare    = 0.5         // of a request's time, that goes by its work
	reportedInFlightReports    = 20.0        // reports, about, that the mean of what servers hold is taken over
	retrySuccessRetries    = 20.0        // further attempts, about, that the odds of one are taken over
	reportedLatencyStep    = 0.25        // of what a server tells of its pace: one word of few requests is rough
	maxSpeedRatio   = 8.0         // times faster or slower than the mean that a server counts as
	maxListedCapacity    = 1e9         // of a listed size: a sum of a fleet of them stays exact enough
)

// Balancer decides for one sidecar. It knows only what its events told it.
type Balancer struct {
	settings       Settings
	actions       Actions
	rng       *rand.Rand
	endpoints   []*endpointState // as listed, in a stable order
	subset      []*endpointState // those that it draws from
	subsetSeed      uint64    // of its order of the servers
	requestsThisSecond     int       // requests this second
	requestRate      float64   // requests a second of late
	knownEndpoints     map[string]*endpointState
	classes   []*classState // of the settings in force, then those that only open requests still have
	openRequests      map[string]*request
	queue     []*request                  // waiting for room, worthiest first
	inFlight       int                         // own attempts out now
	poolLimit   float64                     // own attempts that may be out for each server of mean size
	congestionSeen    bool                        // an answer was late
	keyStats      [512]keyStats               // of late by key, in as many slots
	keyRequests     float64                     // sum of their requests
	retryTokens   float64                     // retry budget
	retrySuccessRates    [InvalidRequest + 1]float64 // that a further attempt is served, by how the one before ended
	meanPriority float64                     // of the requests of late
	attemptBudget   attemptBudget                      // attempts beyond a request's first
	pollFailures      int                         // failed asks for the list in a row
	tenantRequests   []float64                   // requests of each tenant of late
	successesThisSecond   int                         // this second
	throughput     float64                     // answers per µs
	throughputPerCapacity   [2]float64                  // answers that a warm server of size one gives this balancer, per µs: no arm, arm
	secondsRunning   float64                     // since its start
	meanReportedInFlight      float64                     // requests that servers hold, as they tell, on average
	totalKeyStats    keyStats                    // answers of all keys
	lastHealthCheckAt   int64                       // when servers were probed last
	loadReportsSeen     bool                        // servers tell of their load
	peerProcessActive    bool                        // another process of this sidecar serves too
	peerAttemptsExpireAt int64                       // when the last such has left the books of the budget of attempts

	peers    []peerState // by balancer, as far as heard of
	endpointsByTag     map[[2]byte]*endpointState
	lastGossipAt    int64     // when all were told what this one draws from
	nextGossipAt    int64     // when they are to be told next
	lastGossipReceivedAt   int64     // when any word came
	gossipSeq      byte      // messages sent
	gossipBuffer       []byte    // scratch of a message
	safeIdleTime  float64   // µs that connections have been idle and still good
	observedIdleBound float64   // what one attempt without an answer would make of it
	gossipedIdleBound  float64   // the same, as another told last
	gossipedIdlePeer  int       // who, from 1 on
	learningRate float64   // of EXP3
	candidates      []*endpointState // scratch of a draw
	counters     summaryCounters
}

// summaryCounters counts what the next summary line tells.
type summaryCounters struct {
	since                             int64
	draws, redrawn, attempts, shed, late int
}

// endpointState is what this balancer knows of one server.
type endpointState struct {
	Endpoint            // Size is scaled to a mean of one
	listedCapacity     float64  // size as listed
	peakCapacity       float64  // the largest so far
	idHash       uint64   // of its ID
	subsetRank       uint64   // place in this balancer's order
	inSubset, inList  bool     // drawn from; in the list of servers
	logWeight        float64  // EXP3's log-weight
	weight     float64  // exp(log)
	inFlight   int      // own attempts out
	silentSince    int64    // of its latest answer, or when the first attempt after that was sent
	concurrencyLimit      float64  // own attempts it may hold
	idleSince     int64    // when the connection to it fell idle; 0: none is open
	connectionSuspect       bool     // an attempt got no answer and none came since: its connection may be dead
	peerLoads    []peerLoad // other balancers that draw from it
	lastAnswerEarly      bool     // its latest answer was
	limitCutAt      int64    // when the limit was last cut; 0 before its first late answer
	ejections     []ejectionState // by class
	ejectedForAll  bool     // for every class
	lastSuccessAt int64
	removedAt     int64   // when it left the list, where it is not held
	slowStartSince  int64   // start of its latest warm-up; 0: warm
	slowStartTokens       expiringTokenBucket  // while cold: sends that it may get
	successesThisSecond   int     // own answers this second
	baseCapacity       float64 // its size before its pace counts
	reportedInFlight       float64 // requests that it holds, as it tells
	reportedLatencyMs       float64 // ms that work takes it without waiting, as it tells; 0: not told
	latencyP15Ratio      float64 // one answer in 7 is quicker, as a part of its class's ease
}

// keyStats are the requests of the keys of one slot, of late.
type keyStats struct {
	requests         float64 // where homes go by it
	answers, badAnswers float64
	rejectRatio      float64 // share of them that is refused at the door
}

// ejectionState is what a server's answers tell of it for one class.
type ejectionState struct {
	consecutiveFailures       int    // failures in a row
	lastFailure     Result // of the last one
	ejectionCount     int    // suspensions in a row
	ejected bool   // out of the draw until the time below, then on trial: one attempt at a time
	ejectedUntil     int64
	inFlight       int // own attempts out
}

// classState is a class with the latencies seen of it, in µs.
type classState struct {
	Class
	latencyP95          float64 // one answer in 20 takes longer
	latencyMedian          float64 // median
	priority         float64 // what an answer adds to the goal, for the time it takes
	maxFirstTimeLeft     int64   // the longest time that a first try came with
	requests, onTimeAnswers float64 // of late: requests, and those answered within the aim
	meanWork          float64 // hinted, on average; 0: no hints
	latencyP90          float64 // one answer in 10 takes longer
	latencyP15, baselineP15   float64 // one answer in 7 is quicker, and the lowest that this was: with nothing before them
	samples       float64
	answerRate, answersThisSecond   float64 // answers a second, and in this one
	baselineP90          float64 // the same when servers are not crowded
}

// request is one request taken, kept until it is answered and none of its attempts is out.
type request struct {
	Request
	class    *classState
	classRules    Class // as they were when it was taken
	maxAttempts     int   // attempts that it may have
	arrivedAt    int64
	deadline int64
	latencyObjective      int64   // the class's, stretched by the work hinted
	elapsedBeforeArrival    int64   // time that its client has waited on earlier tries, where that shows
	queueDeadline    int64   // when waiting unsent ends
	priority    float64 // worth for the time it takes: who waits first and who is refused last
	attempts    []attempt
	inFlight      int
	workFactor    float64   // times longer than a mean request of its class that it takes, by the work hinted
	keyStats    *keyStats // of its key; nil: it has none
	affinityHash     uint64    // hash of the replica of its key; 0: none
	ended    bool
	streamStarted  bool     // its stream has begun
	priorAttempt   *attempt // that another balancer may have sent; nil: none
	followedAttempts int      // tries that were really sent, where another balancer is watched
}

// attempt is one send. Its server's group is kept as it was when sent.
type attempt struct {
	endpoint   *endpointState
	zone     string
	cell     int64
	sentAt   int64
	connectionIdle     int64   // how long its connection had been idle; 0: in use or new
	probability        float64 // probability of the draw that chose the server
	done     bool
	released bool   // it holds no place any more
	result   Result // once done; that of one that is out is Served, which may have run
}

// applySettings takes settings over; classes and tenants known by name keep what was learned of them.
func (b *Balancer) applySettings(set Settings) {
	if set.Limits.MaxAttempts == 0 {
		set.Limits.MaxAttempts = defaultMaxAttempts
	}
	classes, tenants := make([]*classState, len(set.Classes)), make([]float64, len(set.Tenants))
	for i, c := range set.Classes {
		classes[i] = newClassState(c)
		for _, k := range b.classes {
			if k.Name == c.Name {
				if k.Deadline != classes[i].Deadline {
					k.maxFirstTimeLeft = 0
				}
				k.Class, classes[i] = classes[i].Class, k
			}
		}
	}
	for i, t := range set.Tenants {
		if at := slices.IndexFunc(b.settings.Tenants, func(o Tenant) bool { return o.Name == t.Name }); at >= 0 {
			tenants[i] = b.tenantRequests[at]
		}
	}
	b.settings, b.classes, b.tenantRequests = set, classes, tenants
	b.attemptBudget.setWindow(set.Rules.AttemptBudgetWindow)
}

// newClassState starts the memory of a class.
func newClassState(c Class) *classState {
	if c.Deadline == 0 {
		c.Deadline = 60 * second // a class that sets none: longer than a call between services takes
	}
	if c.LatencyObjective == 0 {
		c.LatencyObjective = c.Deadline
	}
	aim := float64(c.LatencyObjective)
	return &classState{Class: c, latencyP95: aim / 2, latencyP90: aim / 2, baselineP90: aim / 2, latencyMedian: aim / 4, priority: c.PriorityWeight}
}

// UpdateSettings takes other settings in force from now on. Open requests keep the rules they were taken under, and their place
// among the classes as long as they are open, also where their class is none any more. Guards against a request that
// changes its effect between two attempts, and against a balancer that learns anew.
func (b *Balancer) UpdateSettings(now int64, set Settings) {
	old := b.classes
	b.applySettings(set)
	servers := map[*endpointState]bool{}
	for _, s := range b.knownEndpoints {
		servers[s] = true
	}
	used := map[*classState]bool{}
	for _, r := range b.openRequests {
		used[r.class] = true
		for i := range r.attempts {
			servers[r.attempts[i].endpoint] = true // it may be forgotten by now
		}
	}
	for _, c := range old {
		if used[c] && !slices.Contains(b.classes, c) {
			b.classes = append(b.classes, c)
		}
	}
	for _, r := range b.openRequests {
		r.Class = slices.Index(b.classes, r.class)
	}
	for s := range servers {
		was := s.ejections
		s.ejections = make([]ejectionState, len(b.classes))
		for i, c := range b.classes {
			if at := slices.Index(old, c); at >= 0 {
				s.ejections[i] = was[at]
			} else if s.ejectedForAll { // one that serves no class is not tried anew for another
				s.ejections[i] = was[0]
				s.ejections[i].inFlight = 0
			}
		}
	}
	b.updatePriorities()
	b.updateSubset(now)
}

// forgetUnusedClasses drops classes that no request has any more.
func (b *Balancer) forgetUnusedClasses() {
	n := len(b.settings.Classes)
	if len(b.classes) == n {
		return
	}
	for _, r := range b.openRequests {
		if r.Class >= n {
			return
		}
	}
	b.classes = b.classes[:n:n]
	for _, s := range b.knownEndpoints {
		s.ejections = s.ejections[:n:n]
		s.ejectedForAll = !slices.ContainsFunc(s.ejections, func(h ejectionState) bool { return !h.ejected })
	}
}

// endpointFor returns what is known of a listed server; a new one starts at the mean log-weight, not yet silent.
func (b *Balancer) endpointFor(now int64, in Endpoint) *endpointState {
	s, met := b.knownEndpoints[in.ID]
	if !met {
		s = &endpointState{idHash: hash(in.ID), lastSuccessAt: now, ejections: make([]ejectionState, len(b.classes)), reportedInFlight: b.meanReportedInFlight}
		s.subsetRank = mixBits(s.idHash ^ b.subsetSeed)
		s.subsetRank = uint64(float64(s.subsetRank) / max(1, b.zoneWeight(in.Zone)/zoneRankFactor))
		s.setLogWeight(b.meanLogWeight())
		b.knownEndpoints[in.ID] = s
	}
	return s
}

// throughputGroup tells an arm from a server that is met as a key's home alone.
func (s *endpointState) throughputGroup() int {
	if s.inSubset {
		return 1
	}
	return 0
}

// clearFailures forgets failures.
func (s *endpointState) clearFailures() {
	s.ejectedForAll = false
	for i := range s.ejections {
		s.ejections[i] = ejectionState{inFlight: s.ejections[i].inFlight}
	}
}

// applyListing takes over an entry; a size that says nothing, or is past all measure, counts as one.
func (s *endpointState) applyListing(in Endpoint, sized bool) {
	if !sized || !(in.Capacity > 0 && in.Capacity <= maxListedCapacity) {
		in.Capacity = 1
	} else {
		s.peakCapacity = max(s.peakCapacity, in.Capacity)
	}
	s.Endpoint, s.listedCapacity = in, in.Capacity
}

// meanLogWeight is the mean log-weight, where a new server starts.
func (b *Balancer) meanLogWeight() (mean float64) {
	for _, s := range b.subset {
		mean += s.logWeight / float64(len(b.subset))
	}
	return mean
}

// scaleCapacities makes the mean size one, so that sizes read as shares of a mean server. A size that moves with load is
// taken at its largest, at the median of the machine's kind: guards against herds that follow it, and wild figures.
func (b *Balancer) scaleCapacities() {
	sum := 0.0
	peaks := map[string][]float64{}
	if b.settings.CapacityLive {
		for _, s := range b.endpoints {
			peaks[s.MachineKind] = append(peaks[s.MachineKind], s.peakCapacity)
		}
		delete(peaks, "")
		for _, p := range peaks {
			slices.Sort(p)
		}
	}
	for _, s := range b.endpoints {
		s.Capacity = s.listedCapacity
		if b.settings.CapacityLive && s.peakCapacity > 0 {
			s.Capacity = s.peakCapacity
		}
		if p := peaks[s.MachineKind]; len(p) > 0 && p[len(p)/2] > 0 {
			s.Capacity = p[len(p)/2]
		}
		sum += s.Capacity
	}
	for _, s := range b.endpoints {
		s.baseCapacity = s.Capacity * float64(len(b.endpoints)) / sum
	}
	b.scaleBySpeed()
}

// OnHealthCheck takes in what a server tells to a probe.
func (b *Balancer) OnHealthCheck(now int64, p HealthCheck) {
	if s := b.knownEndpoints[p.Server]; s != nil && p.Result == Succeeded {
		b.recordLoadReport(s, p.Load)
	}
}

// initialRetrySuccessRates are those of further attempts before any was tried.
func initialRetrySuccessRates() (odds [InvalidRequest + 1]float64) {
	for i := range odds {
		odds[i] = 0.5
	}
	return odds
}

// recordRetryResult counts how an attempt went, by how the one before it ended.
func (b *Balancer) recordRetryResult(r *request, o Outcome) {
	if o.Attempt == 0 {
		return
	}
	served, odds := 0.0, &b.retrySuccessRates[r.attempts[o.Attempt-1].result]
	if o.Result == Succeeded {
		served = 1
	}
	*odds += (served - *odds) / retrySuccessRetries
}

// recordLoadReport takes in what a server tells of itself, with an answer or to a probe.
func (b *Balancer) recordLoadReport(s *endpointState, l *LoadReport) {
	if l == nil {
		return
	}
	b.loadReportsSeen = true
	n := l.InFlight
	if n < 0 && l.Queue >= 0 {
		n = math.Sqrt(1+l.Queue) - 1 // what waits says less than what is held: half of its power
	}
	if n >= 0 && n < 1e6 {
		s.reportedInFlight = n
		b.meanReportedInFlight += (n - b.meanReportedInFlight) / reportedInFlightReports
	}
	if !(l.Latency > 0 && l.Latency < 1e6) {
		return
	}
	if s.reportedLatencyMs == 0 {
		s.reportedLatencyMs = l.Latency
	}
	s.reportedLatencyMs += (l.Latency - s.reportedLatencyMs) * reportedLatencyStep
}

// loadWeight is how much more a server weighs for holding less than the mean, as told: by the square, since reports are old.
func (b *Balancer) loadWeight(s *endpointState) float64 {
	part := (b.meanReportedInFlight + 1) / (s.reportedInFlight/s.Capacity + 1)
	return part * part
}

// scaleBySpeed makes the sizes those of scaleCapacities by how fast servers work, as they tell, beside the mean of those that do. One
// that does not tell counts as its kind, else as the mean. Guards against machines that are listed alike and are not.
func (b *Balancer) scaleBySpeed() {
	type mean struct{ sum, n float64 }
	kinds, all := map[string]mean{}, mean{}
	for _, s := range b.endpoints {
		if s.reportedLatencyMs > 0 {
			k := kinds[s.MachineKind]
			kinds[s.MachineKind], all = mean{k.sum + s.reportedLatencyMs, k.n + 1}, mean{all.sum + s.reportedLatencyMs, all.n + 1}
		}
	}
	sum := 0.0
	for _, s := range b.endpoints {
		speed := 1.0
		if all.n > 0 {
			pace := s.reportedLatencyMs
			if k := kinds[s.MachineKind]; pace == 0 && k.n > 0 {
				pace = k.sum / k.n
			} else if pace == 0 {
				pace = all.sum / all.n
			}
			speed = min(max(all.sum/all.n/pace, 1/maxSpeedRatio), maxSpeedRatio)
		}
		s.Capacity = s.baseCapacity * speed
		sum += s.Capacity
	}
	for _, s := range b.endpoints {
		s.Capacity *= float64(len(b.endpoints)) / sum
	}
}

// removeUnlisted forgets the place of servers that left the list.
func (b *Balancer) removeUnlisted(now int64) {
	b.endpoints = slices.DeleteFunc(b.endpoints, func(s *endpointState) bool {
		if s.Phase == Removed {
			s.inList, s.removedAt = false, now
		}
		return !s.inList
	})
}

// forgetRemoved forgets servers that left the list long ago; one that a stale list brings back is remembered till then.
// Guards against a fleet whose servers are replaced all day: each new id stayed for good.
func (b *Balancer) forgetRemoved(now int64) {
	for id, s := range b.knownEndpoints {
		if !s.inList && now-s.removedAt > removedRetention {
			delete(b.knownEndpoints, id)
		}
	}
}

// sortEndpoints sorts the servers for this balancer and finds them by their tags.
func (b *Balancer) sortEndpoints() {
	slices.SortFunc(b.endpoints, func(a, c *endpointState) int { return cmp.Compare(a.subsetRank, c.subsetRank) })
	clear(b.endpointsByTag)
	for _, s := range b.endpoints {
		b.endpointsByTag[s.gossipTag()] = s
	}
}

// setLogWeight keeps the weight beside its logarithm.
func (s *endpointState) setLogWeight(l float64) {
	s.logWeight = min(max(l, -maxLogWeight), maxLogWeight)
	s.weight = math.Exp(s.logWeight)
}

// stepQuantile moves an estimate of a quantile towards a sample: far up when passed, a little down when not.
func stepQuantile(mark, sample, share, size float64) float64 {
	if sample > mark {
		return mark * math.Exp(size*share)
	}
	return max(1, mark*math.Exp(-size*(1-share)))
}

// observeLatency moves the latency marks; a time-out counts as an answer at least that late.
func (c *classState) observeLatency(latency float64) {
	c.latencyP95 = stepQuantile(c.latencyP95, latency, p95Quantile, p95Step)
	c.latencyMedian = stepQuantile(c.latencyMedian, latency, 0.5, medianStep)
	c.latencyP90 = stepQuantile(c.latencyP90, latency, p90Quantile, p90Step)
	c.baselineP90 = min(c.baselineP90, c.latencyP90)
	c.observeP15(latency)
}

// observeP15 moves the mark of the quickest answers: within about a second where there are many, by each one where there are few.
func (c *classState) observeP15(latency float64) {
	if c.samples++; c.samples == 1 {
		c.latencyP15, c.baselineP15 = latency, float64(c.LatencyObjective)
	}
	c.answersThisSecond++
	c.latencyP15 = stepP15(c.latencyP15, latency, min(maxP15Step, max(minP15Step, p15StepsPerSecond/max(1, c.answerRate), p15StepsPerSecond/c.samples)))
	c.baselineP15 = min(c.baselineP15, c.latencyP15)
}

// stepP15 moves a mark of quickest answers by a sample, and never past it: guards against an ease that no answer had.
func stepP15(mark, sample, size float64) float64 {
	if sample > mark {
		return min(sample, mark*math.Exp(size*p15Quantile))
	}
	return max(sample, mark*math.Exp(-size*(1-p15Quantile)))
}

// utilization is what s holds for its size; where balancers tell one another, as it would be with one attempt more.
func (b *Balancer) utilization(now int64, s *endpointState) float64 {
	if b.gossipEnabled() {
		return (b.totalInFlight(now, s) + 1) / s.Capacity
	}
	return float64(s.inFlight) / s.Capacity
}

// meanUtilization is the mean load of the arms: a server with more is drawn again. Attempts that pile up show a paused or
// slow server before its first answer does.
func (b *Balancer) meanUtilization(now int64) float64 {
	size, n, load := 0.0, 0.0, 0.0
	for _, s := range b.subset {
		size += s.Capacity
		if !s.ejectedForAll {
			n, load = n+1, load+b.utilization(now, s)
		}
	}
	if b.gossipEnabled() {
		return load / n
	}
	return float64(b.inFlight) / size
}

// unresponsive tells whether attempts at s have gone without an answer for longer than answers take.
func (b *Balancer) unresponsive(now int64, s *endpointState) bool {
	if s.inFlight == 0 { // most, where each request asks it of all
		return false
	}
	patience := 0.0
	for _, c := range b.classes {
		patience = max(patience, c.latencyP95)
	}
	return float64(now-s.silentSince) > patience
}

// totalWeight sums the weights and sizes of servers, as the odds of a draw among them need.
func (b *Balancer) totalWeight(servers []*endpointState, home *endpointState) (sum, size float64) {
	for _, s := range servers {
		sum, size = sum+b.drawWeight(s, home), size+s.Capacity
	}
	return sum, size
}

// newPriorAttempt is what is known of an attempt that another balancer may have sent some time ago: not where, so that no server
// of a zone or a cell is known to drop a repeat.
func newPriorAttempt(now, ago int64) *attempt {
	if ago <= 0 {
		return nil
	}
	return &attempt{sentAt: now - ago, zone: "?", cell: -2, done: true, result: Reset}
}

// hasPriorAttempt tells whether a send would be one beyond the request's first, also where another balancer may have sent that.
// Guards against a takeover that mints attempts.
func (r *request) hasPriorAttempt() bool { return len(r.attempts) > 0 || r.priorAttempt != nil }

// firstPossiblyExecuted returns the first attempt that may have run, or nil.
func (r *request) firstPossiblyExecuted() *attempt {
	if r.priorAttempt != nil {
		return r.priorAttempt
	}
	for i := range r.attempts {
		if !r.attempts[i].result.NeverRan() {
			return &r.attempts[i]
		}
	}
	return nil
}

// isKeyOutlier tells whether requests of its key are thinned.
func (r *request) isKeyOutlier() bool { return r.keyStats != nil && r.keyStats.rejectRatio > 0 }

// isEarly tells whether an outcome warns of no crowd: it takes a part of the aim at the most, less where servers tell of their
// load, so that the draw evens them out and a late answer tells of the whole, and no more than congestedP90Factor of the uncrowded
// mark. Guards against refusals for single slow servers where they do not tell.
func (b *Balancer) isEarly(c *classState, o Outcome) bool {
	share := earlyShare
	if b.loadReportsSeen {
		share = earlyShareWithReports
	}
	late := min(share*float64(c.LatencyObjective), congestedP90Factor*c.baselineP90)
	return o.Result != Errored && o.Result != TimedOut && float64(o.Latency) <= late
}

// unloadedLatency takes in how quick an answer of s was, and tells whether a late one is slow by nature: calm, as the quickest of its class
// are as quick as ever; well, as those of s are too. Guards against refusals for a slow tail, which no refusal makes quicker.
// Where servers or balancers tell what is held, that tells of a crowd, and where answers are few they tell of one too late.
func (b *Balancer) unloadedLatency(c *classState, s *endpointState, o Outcome) (calm, well bool) {
	if o.Result != Succeeded {
		return false, false
	}
	part := float64(o.Latency) / max(1, c.baselineP15)
	if s.latencyP15Ratio == 0 {
		s.latencyP15Ratio = part
	}
	s.latencyP15Ratio = stepP15(s.latencyP15Ratio, part, endpointP15Step)
	calm = !b.loadReportsSeen && !b.gossipEnabled() && max(c.answerRate, c.answersThisSecond) >= minTailAnswerRate && c.latencyP15 <= unloadedFactor*c.baselineP15
	return calm, calm && s.latencyP15Ratio <= unloadedFactor
}

func (r *request) attempted(s *endpointState) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == s })
}

// logEndpointEvent logs what befell a server.
func (b *Balancer) logEndpointEvent(event string, s *endpointState, class int, format string, args ...any) {
	b.actions.Log(fmt.Sprintf("%s server=%s class=%s "+format, append([]any{event, s.ID, b.classes[class].Name}, args...)...))
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

// keyStatsFor returns the books of a key's slot.
func (b *Balancer) keyStatsFor(key string) *keyStats {
	if key == "" {
		return nil
	}
	return &b.keyStats[hash(key)%uint64(len(b.keyStats))]
}

// hash is FNV-1a; mix spreads it over all bits.
func hash(text string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * 1099511628211
	}
	return h
}

func mixBits(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// unitInterval makes a hash a number over 0 and up to 1.
func unitInterval(h uint64) float64 { return float64(mixBits(h)>>11+1) / (1 << 53) }

// logSummary logs the last seconds in figures when something was refused in them.
func (b *Balancer) logSummary(now int64) {
	t := &b.counters
	if now-t.since < summaryInterval {
		return
	}
	ill, limit := 0, 0.0
	for _, s := range b.subset {
		limit += s.concurrencyLimit
		if s.ejectedForAll {
			ill++
		}
	}
	if t.shed > 0 || ill > 0 {
		b.actions.Log(fmt.Sprintf("summary tries=%d shed=%d late=%d out=%d limit=%.1f waiting=%d suspended=%d/%d listed=%d "+
			"draws=%d redrawn=%d", t.attempts, t.shed, t.late, b.inFlight, limit, len(b.queue), ill,
			len(b.subset), len(b.endpoints), t.draws, t.redrawn))
	}
	*t = summaryCounters{since: now}
}

// updatePriorities sets what an answer of each class adds to the goal, for the time it takes. Where the goal
// weighs the worst served class, that class earns its part besides its worth; else it would get nothing.
func (b *Balancer) updatePriorities() {
	worth, taken, worst := 1e-9, 1e-9, b.classes[0]
	for _, c := range b.classes[:len(b.settings.Classes)] {
		worth, taken = worth+c.PriorityWeight*c.requests, taken+c.requests
		if c.onTimeAnswers*worst.requests < worst.onTimeAnswers*c.requests {
			worst = c
		}
	}
	for _, c := range b.classes[:len(b.settings.Classes)] {
		c.priority = (b.settings.Objective.Overall + b.settings.Objective.WorstWindow) * c.PriorityWeight * taken / worth
		if c == worst {
			c.priority += b.settings.Objective.WorstClass * taken / max(c.requests, 1)
		}
		c.priority /= c.latencyMedian
	}
	b.meanPriority = 0
	for _, c := range b.classes[:len(b.settings.Classes)] {
		b.meanPriority += c.priority * c.requests / taken
	}
}

// zoneWeight is how much more a server of the own zone weighs, where attempts to other zones have a price.
func (b *Balancer) zoneWeight(zone string) float64 {
	if zone == b.settings.Zone {
		return 1 + b.settings.CrossZonePrice*zoneBoostPerPrice
	}
	return 1
}

// poolCapacity is what this balancer may have out at all servers that answer: its density times what they can do by
// now; held is what it has. All answers move the one density. Guards against quiet balancers of a large
// fleet whose limits, each moved by an answer in seconds, let all of them together fill the servers for as
// long as a loss of capacity lasts; and against attempts at lost servers that take the place of all others.
func (b *Balancer) poolCapacity(now int64) (held, room float64) {
	usable := 0.0
	for _, s := range b.endpoints {
		if s.Phase == InService && !s.ejectedForAll && !b.unresponsive(now, s) && (s.inSubset || !b.gossipEnabled()) {
			held += b.totalInFlight(now, s)
			usable += s.Capacity * b.warmupFraction(now, s)
		}
	}
	return held, b.poolLimit * usable
}

// workFactor is how much longer than a mean request one of that work takes: half of the time goes by the work. Guards
// against a crowd that is seen where requests are large: one in five was late at servers at ease.
func (c *classState) workFactor(work int64) float64 {
	if work <= 0 {
		return 1
	}
	if c.meanWork == 0 {
		c.meanWork = float64(work)
	}
	c.meanWork += (float64(work) - c.meanWork) * meanWorkStep
	return 1 - workShare + workShare*float64(work)/c.meanWork
}

// observeIdleTime learns from an end how long a connection may be idle: a little less than one that got no answer.
func (b *Balancer) observeIdleTime(now int64, a *attempt, o Outcome) {
	s := a.endpoint
	if s.inFlight == 0 {
		s.idleSince = now
	}
	if o.Result == ConnectFailed {
		s.idleSince = 0
	}
	silent := o.Result == TimedOut || o.Result == Cancelled && now-a.sentAt > second/4
	if silent && s.lastSuccessAt < a.sentAt {
		s.connectionSuspect = true
		if a.connectionIdle > 0 {
			safe := safeIdleShare * float64(a.connectionIdle)
			b.safeIdleTime, b.observedIdleBound = min(b.safeIdleTime, max(safe, b.observedIdleBound)), safe // one may be slow, two are not
		}
	} else if !silent {
		s.connectionSuspect = false
	}
}
