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
	learnMost    = 3.0  // times the paper's rate, where an arm gives few answers: what is learned fades
	learnAnswers = 5.0  // of an arm a second, from which on the paper's rate holds
	payoffShare  = 0.6  // of the uncrowded calm mark, about its median: faster answers earn all
	keepLog      = 0.9  // of a log-weight's distance from the mean, kept each second at least (the design's)
	keepAnswer   = 0.98 // the same for each answer a server gives: quiet balancers forget more slowly
	redraws      = 8    // per draw: past that many crowded servers all are crowded, and the draw stands
	homesPerPart = 2.0  // homes of a key for each mean server's part of the requests that ask for it
	heatsLeast   = 20.0 // requests that a key's part is taken of at the least
	warmBoost    = 2.0  // times all arms together weighs a key's home: with more, slow homes keep their keys

	armsLeast     = 3    // servers to draw from at the least: enough to spread losses and retries
	armsLeastTold = 2    // the same where balancers tell one another
	armEach       = 4.0  // requests a second that an arm wants, as evidence: more traffic, more arms
	armPriced     = 16.0 // the same where open connections have a price
	armsCover     = 8.0  // balancers that have a server as an arm, on average: fewer leave servers unused
	armsTold      = 14.0 // the same where balancers tell one another
	armsHeard     = 8.0  // there at the most: each draw counts what all hold at each
	armsMost      = 3    // times the arms wanted, with ill ones: past that the cause is shared

	timeoutMark = 2.0    // marks that an attempt may take: slow answers seldom come after that
	idleRise    = 1.02   // of the idle time held for safe, each second: what dropped connections may end
	minTimeout  = 20_000 // µs; below it ticks and network jitter would pass for silence
	triesMost   = 4      // attempts for a request where the settings name no limit

	limitStart  = 8.0   // attempts that all balancers together may hold at a server of mean size at first
	limitLeast  = 0.1   // limits add up to what may be out: below one, a server gets its part in turn
	limitUp     = 1.02  // a limit's factor for an early answer while it was used; with limitDown it holds ...
	poolUp      = 0.05  // that the density grows for an early answer while used; with poolDown it holds
	poolDown    = 0.15  // where one in four is past 3/4 of the aim
	poolUpTold  = 0.015 // of it where balancers tell one another what they hold: one in eleven is late
	poolAnswers = 4.0   // out: where more are, each moves it by less, and all together by as much
	limitFirst  = 1.10  // the same before a server's first late answer: the start is a guess
	limitDown   = 0.92  // ... where one answer in five is late: fewer waste room, more end in a jam
	failCut     = 0.6   // of the limit, kept when a server is full or its client gave up: one is plain enough
	earlyShare  = 0.6   // of the aim: later answers warn of a crowd while there is time to act
	earlyTold   = 0.75  // the same where balancers tell one another what they hold, and where no server tells
	queueShare  = 0.35  // of the aim that a request may wait unsent: the rest is for its answer
	roomTakers  = 2.0   // of those who hear that a server has room send what waits: words may be lost
	queueLeast  = 4.0   // requests that may wait whatever the drain: a start knows none yet

	coldPart = 0.5 // of what would push a cold server over is its most: its warm-up as stated is the slowest

	sickAfter    = 2          // failures in a row that suspend: one may be chance, a quiet balancer sees few
	suspendFirst = 0.5e6      // µs of a first suspension, doubled each time a trial fails
	suspendMost  = 8e6        // µs: a server that is back is found within this and its jitter
	silentIsCold = 2 * second // a server silent this long may have started anew: it counts as cold
	healthyLeast = 0.25       // of the servers in service stay in the draw: more ill ones share a cause

	blameSure = 2.0  // standard deviations, and one, past which bad answers of a key are its own fault
	heldPart  = 0.5  // of the aim that an answer to a blamed key may take where answers are held for clients
	thinMore  = 0.5  // of a key's requests that pass, kept for a bad answer; with thinLess it rests ...
	thinLess  = 1.1  // where one in eight is bad
	thinLeast = 0.05 // of them pass whatever comes, to see whether it is over

	retryPerServed = 0.15 // retries earned by an answer: a storm of retries adds under a sixth more work
	scarceWorth    = 0.5  // of a mean request's value by odds by further attempts left: less is not sent
	scarceMost     = 8.0  // left, with which any is: they would go unused
	retryBurst     = 10.0 // retries that may be saved up, for the first moments of trouble

	askSpend = 0.002   // points for probes, of what a day may earn
	askFirst = 200_000 // µs within which the list is asked for at the least, twice that after a failure
	askSlot  = 50_000  // µs of that time for each balancer: a list service takes them in turn
	askTurn  = 4.5e6   // µs from a failed call to the next at most: in force 6 s after it could be had
	askPart  = 0.7     // of Rules.PollInterval bounds both, past which the list counts as told
)

const (
	tokenSecond = iota // rates and forgetting
	tokenQueue         // a request has waited long enough
	tokenAsk           // the list is to be asked for
	tokenFirst         // the first ask is to be planned: what was known before is listed by now
)

// New makes a balancer that has seen nothing yet.
func New(set Settings, seed uint64, act Actions) *Balancer {
	b := &Balancer{
		act: act, rng: rand.New(rand.NewPCG(seed, 0)), retries: retryBurst, salt: mix(seed),
		known: map[string]*server{}, open: map[string]*request{},
		learnRate: gamma, density: limitStart / float64(max(1, set.BalancerCount)),
		helped: evenOdds(), idleSafe: 1e16, idleDoubt: 1e16, idleTold: 1e16,
		byTag: map[[2]byte]*server{},
	}
	b.adopt(set)
	if b.talks() { // a start anew draws from the same servers, as the others know
		b.salt = mix(uint64(set.BalancerIndex) + 1)
		b.density = limitStart / 2
	}
	return b
}

// Start plans the first ask for the list where it does not come by itself.
func (b *Balancer) Start(now int64) {
	b.tally.since = now
	b.act.SetTimer(second, tokenSecond)
	if !b.set.EndpointsPushed {
		b.act.SetTimer(0, tokenFirst)
	}
}

// ---- A request, from taking it to its one final answer

// OnRequest takes a request; it is sent, waits, or is refused at once.
func (b *Balancer) OnRequest(now int64, in Request) {
	class := b.classes[in.Class]
	r := &request{Request: in, class: class, rules: class.Class, most: b.set.Limits.MaxAttempts, taken: now,
		value: class.value, home: b.replica(in.Key), former: formerly(now, in.PriorAttemptAge)}
	r.aim = int64(min(float64(class.LatencyObjective)+class.ObjectivePerWork*float64(max(0, in.WorkHint)), float64(class.Deadline)))
	if r.TimeLeft < 0 {
		r.TimeLeft = class.Deadline
	}
	if !in.IsRetry {
		class.firstLeft = max(class.firstLeft, r.TimeLeft)
	} else if r.TimeLeft < class.firstLeft-b.set.Rules.AnswerSlack { // cut by what its client has waited
		r.spent = max(0, class.Deadline-r.TimeLeft)
	}
	r.heavy = class.heavy(in.WorkHint)
	r.deadline = now + r.TimeLeft
	r.until = min(now+int64(queueShare*float64(max(0, r.aim-r.spent))), r.deadline)
	if b.overShare(in.Tenant) {
		r.value *= b.set.OverQuotaWeight
	}
	class.taken++
	b.taken++
	b.further.slot(now).taken++
	b.open[in.ID] = r
	if r.books = b.booksOf(in.Key); r.blamed() && b.rng.Float64() < r.books.thinned {
		b.giveUp(now, r) // at fault of late: see blame
		return
	}
	if class.LateValueShare == 0 && float64(r.aim-r.spent) < class.half {
		b.giveUp(now, r) // worth nothing any more: guards against repeats that keep a jam going
		return
	}
	b.try(now, r, len(b.queue) > 0)
}

// overShare tells whether a request counts as over its tenant's share: that part of them, drawn at random, by
// which the tenant's part of the traffic seen here is more than its part of the allowances.
func (b *Balancer) overShare(tenant int) bool {
	if tenant < 0 || tenant >= len(b.tenants) {
		return false
	}
	b.tenants[tenant]++
	taken, allowed := 0.0, 0.0
	for i, t := range b.set.Tenants {
		taken, allowed = taken+b.tenants[i], allowed+t.Allowance
	}
	fair := b.set.Tenants[tenant].Allowance / max(allowed, 1e-9) * taken / b.tenants[tenant]
	return b.rng.Float64() > fair
}

// try sends an attempt for r, lets it wait for room behind others, or answers it.
func (b *Balancer) try(now int64, r *request, behind bool) {
	if !behind && b.trySend(now, r) {
		return
	}
	if now < r.until && b.mayTry(now, r) && b.roomMayCome(now, r) {
		b.wait(now, r)
	} else {
		b.giveUp(now, r)
	}
}

func (b *Balancer) trySend(now int64, r *request) bool {
	if b.mayTry(now, r) && !b.full(now) {
		if s, p := b.draw(now, r); s != nil {
			b.send(now, r, s, p)
			return true
		}
	}
	return false
}

// mayTry tells whether a further attempt is allowed at all, whatever the server.
func (b *Balancer) mayTry(now int64, r *request) bool {
	return !r.ended && !r.started && now < r.deadline && r.out == 0 &&
		len(r.tries) < r.most && (!r.sentBefore() || b.furtherLeft(now) >= 1)
}

// furtherLeft is how many attempts beyond a request's first the budget of attempts allows now, however the
// earlier ones ended. Every send asks for it. Guards against retries of what servers turn away, which cost
// the retry budget nothing: 27 in 10 s where 26.7 were allowed.
func (b *Balancer) furtherLeft(now int64) float64 {
	if b.set.Rules.AttemptBudgetWindow == 0 {
		return math.Inf(1)
	}
	taken, further := b.further.count(now)
	return b.floor(now) + b.set.Rules.AttemptBudgetRatio*float64(taken) - float64(further)
}

// roomMayCome tells whether r lacks only room: some arm could take it without harm.
func (b *Balancer) roomMayCome(now int64, r *request) bool {
	return slices.ContainsFunc(b.arms, func(s *server) bool { return r.mayRepeat(now, s) })
}

// wait queues r by worth, and refuses the least worthy of those whose wait would not end in an answer.
func (b *Balancer) wait(now int64, r *request) {
	at := len(b.queue)
	for at > 0 && b.queue[at-1].value <= r.value {
		at--
	}
	b.queue = slices.Insert(b.queue, at, r)
	b.act.SetTimer(r.until-now, tokenQueue)
	for float64(len(b.queue)) > max(queueLeast, b.drain*queueShare*float64(r.aim)) {
		last := b.queue[len(b.queue)-1]
		b.queue = b.queue[:len(b.queue)-1]
		b.giveUp(now, last)
	}
}

// pump sends what waits, worthiest first, and answers what has waited too long.
func (b *Balancer) pump(now int64) {
	waiting := b.queue
	b.queue = b.queue[:0]
	for _, r := range waiting {
		switch {
		case r.ended || now < r.until && b.trySend(now, r):
		case now < r.until && b.roomMayCome(now, r):
			b.queue = append(b.queue, r)
		default:
			b.giveUp(now, r)
		}
	}
}

// send starts one attempt.
func (b *Balancer) send(now int64, r *request, s *server, p float64) {
	a := attempt{server: s, zone: s.Zone, cell: s.Cell, sentAt: now, p: p}
	if s.inFlight == 0 {
		s.heardAt = now
		a.idle = b.reuse(now, s)
	}
	if r.sentBefore() {
		b.further.slot(now).further++
	}
	r.tries = append(r.tries, a)
	s.inFlight++
	b.tellSharers(now, s)
	s.health[r.Class].out++
	r.out++
	b.out++
	b.tally.tries++
	s.ramp.tokens--
	b.act.SendAttempt(r.ID, s.ID, b.timeout(now, r))
}

// reuse tells how long the connection to s has been idle, 0 where there is none or it closes one that may be
// dead. Guards against connections dropped unseen: what is sent on one gets no answer.
func (b *Balancer) reuse(now int64, s *server) int64 {
	if s.idleAt == 0 {
		return 0
	}
	if idle := now - s.idleAt; !s.lost && float64(idle) < b.idleSafe {
		return idle
	}
	b.act.CloseIdleConnections(s.ID)
	return 0
}

// timeout is how long an attempt may take: a multiple of the latency mark while a next try could still be
// answered within the aim, else all the time that is left. Guards against time-outs that feed a jam: late
// work goes on at many servers, and its retry only adds to it.
func (b *Balancer) timeout(now int64, r *request) int64 {
	left := r.deadline - now
	if r.blamed() && b.set.Limits.MaxBufferedResponses > 0 { // a client that reads on would hold all other answers up
		left = min(left, max(minTimeout, int64(heldPart*float64(r.aim))))
	}
	t := max(int64(timeoutMark*r.class.mark), minTimeout)
	last := len(r.tries) >= r.most || r.rules.Stream || r.BodyUnbuffered || r.rules.Semantics == AtMostOnce
	if last || t >= left || now-r.taken+t+int64(r.class.half) > r.aim {
		return left
	}
	return t
}

// OnOutcome settles an attempt: its server learns, and its request is answered or tried again.
func (b *Balancer) OnOutcome(now int64, o Outcome) {
	r := b.open[o.Request]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.tries) || r.tries[o.Attempt].done {
		return
	}
	a := &r.tries[o.Attempt]
	a.done, a.result = true, o.Result
	b.countOdds(r, o)
	b.release(now, r, a)
	r.out--
	b.probeIdle(now, a, o)
	o.Latency = int64(float64(o.Latency) / r.heavy)
	blamed := b.blame(r, o)
	if !blamed {
		b.observe(now, r, a, o)
	}
	switch {
	case r.ended && r.out == 0:
		delete(b.open, r.ID)
	case r.ended:
	case o.RequestAnswered:
		b.end(r)
	case r.out > 0:
	case o.Result == InvalidRequest: // others would too: guards against bad requests that use up the retries
		b.act.Fail(r.ID)
		b.end(r)
	case !o.BodyConsumed && !blamed && now < r.deadline && b.affordRetry(now, r, a):
		b.try(now, r, false)
	default:
		b.giveUp(now, r)
	}
	b.pump(now)
}

// affordRetry pays for a further attempt; one that never ran cost the servers next to nothing. Where they are
// rationed it must be worth one: by its value, and by the odds that an attempt after such an end has had of
// late. Guards against the last ones spent on what fails everywhere.
func (b *Balancer) affordRetry(now int64, r *request, a *attempt) bool {
	left := b.furtherLeft(now)
	if b.helped[a.result]*r.value*left < scarceWorth*b.meanValue && left < scarceMost {
		return false
	}
	if a.result.NeverRan() || b.retries < 1 {
		return a.result.NeverRan()
	}
	b.retries--
	return true
}

// OnStreamStarted hands an attempt to the client: its stream has no deadline and gets no further attempt. Its server
// has done its work. Guards against slow clients whose long answers take the place of requests.
func (b *Balancer) OnStreamStarted(now int64, id string, n int) {
	if r := b.open[id]; r != nil && !r.ended && n < len(r.tries) {
		r.started, r.tries[n].server.heardAt = true, now
		b.release(now, r, &r.tries[n])
		b.pump(now)
	}
}

// release gives back the place that an attempt holds, once.
func (b *Balancer) release(now int64, r *request, a *attempt) {
	if !a.released {
		a.released = true
		a.server.inFlight--
		b.tellSharers(now, a.server)
		a.server.health[r.Class].out--
		b.out--
	}
}

// OnClientDisconnected ends a request whose client left.
func (b *Balancer) OnClientDisconnected(now int64, id string) {
	if r := b.open[id]; r != nil && !r.ended {
		b.end(r)
	}
}

// giveUp answers at once: refused where that is true, else failed.
func (b *Balancer) giveUp(now int64, r *request) {
	if r.ended {
		return
	}
	b.tally.shed++
	if r.mayRefuse(now) {
		b.act.Reject(r.ID, b.retryAfter(r))
	} else {
		b.act.Fail(r.ID)
	}
	b.end(r)
}

// retryAfter is when a refused client may find room: after about one answer's time, where clients are told.
func (b *Balancer) retryAfter(r *request) int64 {
	if !b.set.Limits.RetryAfter {
		return 0
	}
	return min(int64(r.class.half), b.set.Limits.MaxRetryAfter)
}

// end closes r and calls back what is still out for it.
func (b *Balancer) end(r *request) {
	r.ended = true
	if r.out == 0 {
		delete(b.open, r.ID)
		return
	}
	for i := range r.tries {
		if !r.tries[i].done && b.set.Limits.Cancel {
			b.act.CancelAttempt(r.ID, i)
		}
	}
}

// ---- Rule 2: no effect twice

// mayRepeat is rule 2 for a send: it tells whether s cannot cause the effect a second time.
func (r *request) mayRepeat(now int64, s *server) bool {
	first := r.effect()
	if first == nil || r.rules.Semantics == Idempotent {
		return true
	}
	if r.rules.Semantics == AtMostOnce || now-first.sentAt >= r.rules.DedupWindow {
		return false
	}
	switch r.rules.DedupScope {
	case ScopeZone:
		return s.Zone == first.zone
	case ScopeCell:
		return s.Cell == first.cell
	}
	return true
}

// mayRefuse is rule 2 for a refusal: it tells whether a new try of the client is harmless.
func (r *request) mayRefuse(now int64) bool {
	first := r.effect()
	return first == nil || r.rules.Semantics == Idempotent ||
		r.rules.Semantics == IdempotencyKeyed && r.rules.DedupScope == ScopeAll && now-first.sentAt < r.rules.DedupWindow
}

// ---- EXP3

// draw picks a server for r by EXP3 and returns it with its probability, or nil when none has room.
func (b *Balancer) draw(now int64, r *request) (*server, float64) {
	home := b.home(r)
	if !b.candidates(now, r, home) {
		return nil, 0
	}
	sum, size := b.weigh(b.cand, home)
	b.tally.draws++
	for n, crowd := 0, b.crowd(now); ; n++ {
		s, p := b.pick(sum, size, home)
		bound := crowd
		if s == home || b.near(s.Zone) > 1 && !b.talks() {
			bound = 1/s.Capacity + 2*crowd // the design's bound: a home or a near one may hold more
		}
		if n == redraws || b.load(now, s) <= bound {
			return s, p
		}
		if n == 0 {
			b.tally.redrawn++
		}
	}
}

// candidates gathers the servers that an attempt of r may go to: without replacement while others remain.
func (b *Balancer) candidates(now int64, r *request, home *server) bool {
	for _, again := range []bool{false, true} {
		b.cand = b.cand[:0]
		for _, s := range b.arms {
			if s != home && b.eligible(now, r, s) && r.tried(s) == again {
				b.cand = append(b.cand, s)
			}
		}
		if home != nil && b.eligible(now, r, home) && r.tried(home) == again {
			b.cand = append(b.cand, home)
		}
		if len(b.cand) > 0 {
			return true
		}
	}
	return false
}

// eligible tells whether an attempt of r may go to s now.
func (b *Balancer) eligible(now int64, r *request, s *server) bool {
	h := &s.health[r.Class]
	if s.Phase != InService || b.held(now, s) >= b.bound(s) || b.talks() && b.silent(now, s) ||
		h.suspended && (now < h.until || h.out > 0 || s.suspended && s.inFlight > 0) {
		return false
	}
	return b.allowance(now, s) && r.mayRepeat(now, s)
}

// pick draws one of the candidates at random. A server of listed size z counts as z equal arms, so the
// design's p = (1-gamma)*w/sum + gamma/M becomes p = (1-gamma)*z*w/sum + gamma*z/size.
func (b *Balancer) pick(sum, size float64, home *server) (*server, float64) {
	x, p := b.rng.Float64(), 0.0
	for _, s := range b.cand {
		p = b.odds(s, home, sum, size)
		if x -= p; x < 0 {
			return s, p
		}
	}
	return b.cand[len(b.cand)-1], p
}

// odds is how likely a draw among servers of that weight and size in all picks s.
func (b *Balancer) odds(s, home *server, sum, size float64) float64 {
	return (1-gamma)*b.armWeight(s, home)/sum + gamma*s.Capacity/size
}

// armWeight is the server's weight over all its arms, raised where the request's key is at home. A limit
// under one counts as that part of it. Guards against many balancers that take turns at a jammed server and
// keep it so: work they gave up on still goes on there.
func (b *Balancer) armWeight(s, home *server) float64 {
	w := s.Capacity * s.weight * min(1, b.bound(s)) * b.near(s.Zone) * b.ease(s) * s.ramp.turn(len(b.arms))
	if s == home {
		return warmBoost * float64(len(b.arms)) * w
	}
	return w
}

// replica counts a request for a key and picks one of its homes, more for a key that is a large part of the
// requests seen here; 0: none. Guards against hot keys that flood one server from every balancer.
func (b *Balancer) replica(name string) uint64 {
	if !b.set.KeyAffinity || name == "" {
		return 0
	}
	key := hash(name)
	books := b.booksOf(name)
	books.heat++
	b.heats++
	more := int(homesPerPart * float64(len(b.servers)) * books.heat / (b.heats + heatsLeast))
	return mix(key+uint64(b.rng.IntN(1+more))) | 1
}

// home is the server that all balancers with this list pick for a replica of a key, by rendezvous hashing
// over sizes: where servers do known keys faster, a key that all send to one server is warm for all.
func (b *Balancer) home(r *request) (best *server) {
	if r.home == 0 {
		return nil
	}
	least := math.Inf(1)
	for _, s := range b.servers {
		if s.Phase == InService && !s.health[r.Class].suspended {
			if far := -math.Log(unit(r.home^s.hash)) / s.Capacity; far < least {
				best, least = s, far
			}
		}
	}
	return best
}

// armsWanted is how many servers this balancer's own traffic can learn of, within those limits.
func (b *Balancer) armsWanted() int {
	least, each, sharers, most := float64(armsLeast), armEach, armsCover, math.Inf(1)
	if b.talks() {
		least, sharers, most = armsLeastTold, armsTold, armsHeard
	}
	if b.set.ConnectionPrice > 0 {
		each = armPriced
	}
	servers := float64(len(b.servers))
	cover := min(sharers*(servers/float64(max(1, b.set.BalancerCount))), most)
	return int(min(max(least, b.rate/each, cover), servers))
}

// takeArms makes the arms the first in service of this balancer's own order (rendezvous hashing by its seed).
// Ill ones stay for their trials and are not counted; a cold one counts for its part. Guards against quiet
// balancers of a large fleet that meet each server once a minute, learn nothing and keep connections to all.
func (b *Balancer) takeArms(now int64) {
	want, well := b.armsWanted(), 0.0
	b.arms = b.arms[:0]
	for _, s := range b.servers {
		was := s.arm
		s.arm = s.Phase == InService && well < float64(want) && len(b.arms) < armsMost*want
		if s.arm {
			if !was { // those who share it are to know soon
				b.tellAt = min(b.tellAt, b.toldAt+b.tellSoon())
			}
			b.arms = append(b.arms, s)
			if !s.suspended {
				well += b.warmth(now, s)
			}
		}
	}
}

// blame tells whether a bad outcome is the request's fault, not the server's: answers of its key are bad
// more often than those of all others, past chance. It gets no further attempt, and such requests are
// thinned at the door until those that pass are answered well. Guards against locks behind all servers,
// clients that read slowly and requests found in error anywhere, which held the places of others and had
// all servers suspended. It does harm where one key alone jams its home.
func (b *Balancer) blame(r *request, o Outcome) bool {
	bad, k := !b.early(r.class, o), r.books
	if k == nil || !bad && o.Result != Succeeded {
		return false
	}
	k.answers, b.judged.answers = k.answers+1, b.judged.answers+1
	if !bad {
		k.thinned = 1 - min(1, (1-k.thinned)*thinLess)
		return false
	}
	k.bad, b.judged.bad = k.bad+1, b.judged.bad+1
	others := (b.judged.bad - k.bad + 1) / (b.judged.answers - k.answers + 2) // share of bad ones among them
	if k.bad-k.answers*others <= blameSure*math.Sqrt(k.answers*others*(1-others))+1 {
		return false
	}
	k.thinned = 1 - max(thinLeast, (1-k.thinned)*thinMore)
	return true
}

// observe takes in what an outcome tells of its server: a cancelled, unsent or rejected one tells nothing.
func (b *Balancer) observe(now int64, r *request, a *attempt, o Outcome) {
	if o.Result == Succeeded || o.Result == Errored || o.Result == Saturated || o.Result == InvalidRequest {
		a.server.heardAt = now
	}
	b.hearLoad(a.server, o.Load)
	if o.Result == Cancelled || o.Result == NotSent || o.Result == InvalidRequest {
		return
	}
	if o.Result == Succeeded {
		b.answers++
		if a.sentAt+o.Latency-r.taken+r.spent <= r.aim { // a stream ends later
			r.class.served++
		}
		a.server.answered++
		b.retries = min(b.retries+retryPerServed, retryBurst)
	}
	if o.Result == Succeeded || o.Result == TimedOut {
		r.class.sample(float64(o.Latency))
	}
	b.judge(now, r.Class, a.server, o.Result)
	b.adapt(now, r.class, a, o)
	b.learn(a, r.payoff(o))
}

// learn is EXP3's update of the drawn server: w*exp(gamma*r/(p*M)), faster at a quiet balancer.
func (b *Balancer) learn(a *attempt, payoff float64) {
	a.server.setLog(a.server.log + b.learnRate*payoff/(a.p*float64(max(1, len(b.arms)))))
}

// payoff is 1 for an answer as fast as from a server at ease, falls with the latency after that, and is 0 for
// a failure. Guards against slow machines that keep their part at every balancer until they are late.
func (r *request) payoff(o Outcome) float64 {
	if o.Result != Succeeded {
		return 0
	}
	return min(1, payoffShare*r.class.base*float64(r.aim)/float64(r.rules.LatencyObjective*max(1, o.Latency)))
}

// ---- Limits of what is out

// adapt moves the limit of the server that answered.
func (b *Balancer) adapt(now int64, c *classState, a *attempt, o Outcome) {
	s, early := a.server, o.Result == Succeeded && b.early(c, o)
	if !early {
		b.tally.late++
	}
	s.early = early || o.Result != Succeeded && s.early
	if b.talks() { // the density is of what all hold there, and moves by little
		early = o.Result == Succeeded && float64(o.Latency) <= earlyTold*float64(c.LatencyObjective)
	}
	calm, well := b.atEase(c, s, o)
	b.crowding(now, s, early || calm, o.Result)
	switch {
	case b.talks() || o.Result != Succeeded && o.Result != TimedOut && o.Result != Saturated:
	case s.early && (o.Result == TimedOut || o.Result == Saturated && b.set.Rules.AttemptBudgetWindow == 0):
		// Lost by itself, or turned away early: guards against cuts where nothing is crowded. Where further
		// attempts are rationed a full server costs one, and the cut keeps others away from it.
	case (early || well) && float64(s.inFlight+2) > s.limit && s.cutAt == 0:
		s.limit *= limitFirst
	case (early || well) && float64(s.inFlight+2) > s.limit:
		s.limit *= limitUp
	case early || well:
	default:
		if (o.Result == TimedOut && o.Latency >= c.LatencyObjective || o.Result == Saturated) && a.sentAt > s.cutAt {
			s.limit, s.cutAt = min(s.limit, float64(s.inFlight+1))*failCut, now
		}
		s.limit = max(limitLeast, s.limit*limitDown)
		s.cutAt = max(s.cutAt, 1)
	}
}

// crowding moves the density by an answer: up where it is early and the room was used, down where it is late,
// less for each where much is out. Guards against a burst of late answers that leaves a busy one no room.
func (b *Balancer) crowding(now int64, s *server, early bool, result Result) {
	held, room, part, up, least := b.held(now, s), b.density*s.Capacity, 1.0, poolUpTold, 1.0
	if !b.talks() { // else one server's answer tells of what all hold there
		held, room = b.room(now)
		part, up, least = min(1, poolAnswers/float64(b.out+1)), poolUp, 1/float64(max(1, len(b.servers)))
	}
	switch {
	case early && held+2 <= room:
	case !early && result == Succeeded: // a full server tells of itself
		b.density, b.jammed = max(least, b.density*(1-poolDown*part)), true
	case early && !b.jammed:
		b.density *= limitFirst
	case early:
		b.density *= 1 + up*part
	}
}

// startLimit allows this balancer's part of a guess for all: what came before tells nothing.
func (b *Balancer) startLimit(s *server) {
	s.limit, s.cutAt = max(limitLeast, limitStart*s.Capacity/b.sharersOf()), 0
}

// full tells whether as much is out as the limits of arms and of homes in use add up to, or as this
// balancer's part of what the servers in use can hold. Guards against many balancers that each keep one
// attempt at every server, and against busy ones held to a quiet one's part.
func (b *Balancer) full(now int64) bool {
	if b.talks() {
		if !b.deaf(now) {
			return false // the bounds are of what all hold: their sum counts where that is guessed
		}
	} else {
		sum := 0.0
		for _, s := range b.servers {
			if s.arm || s.answered+s.inFlight > 0 {
				sum += s.limit
			}
		}
		if busy := b.perSize[1]*float64(second) >= learnAnswers; busy {
			return float64(b.out) >= max(1, sum) // limits of a busy balancer learn by themselves
		}
	}
	held, room := b.room(now)
	return held >= max(1, room)
}

// ---- What balancers tell one another

// bound is how much all may hold at s.
func (b *Balancer) bound(s *server) float64 {
	if b.talks() {
		return max(1, b.density*s.Capacity)
	}
	return s.limit
}

// tellSharers tells those who draw from s what this balancer has out there.
func (b *Balancer) tellSharers(now int64, s *server) {
	if b.talks() && s.arm && len(s.sharers) > 0 {
		w := b.word(s)
		for _, p := range s.sharers[:min(len(s.sharers), b.tellMost())] {
			b.act.SendGossip(p.from, w)
		}
	}
}

// tellAll tells all what this balancer draws from when it is time: soon after that has changed.
func (b *Balancer) tellAll(now int64) {
	if b.talks() && now >= b.tellAt {
		b.toldAt, b.tellAt = now, now+b.tellEvery()+b.rng.Int64N(b.tellEvery())
		b.act.SendGossip(-1, b.word(b.arms...))
	}
}

// OnGossip takes in another balancer's message.
func (b *Balancer) OnGossip(now int64, from int, word []byte) {
	if !b.talks() {
		return
	}
	ok, met := b.hear(now, from, word)
	if met { // it may not know of this one: it started anew, or a word to all was lost
		b.act.SendGossip(from, b.word(b.arms...))
	}
	if ok {
		b.heardOf = now
		if len(b.queue) > 0 && b.rng.Float64()*b.sharersOf() < roomTakers {
			b.pump(now)
		}
	}
}

// ---- Health, from own outcomes

// judge suspends a server after failures in a row and brings it back after a good trial. Guards against
// the black hole: a dead process turns attempts away at once, holds nothing, and always has room. An error
// tells of its class alone: a server can fail one and serve the others.
func (b *Balancer) judge(now int64, class int, s *server, result Result) {
	if result == Saturated {
		return
	}
	for i := range s.health {
		h := &s.health[i]
		switch {
		case i != class && (result == Errored || result == Succeeded && h.cause == Errored):
		case result == Succeeded:
			if h.suspended {
				b.bringBack(now, s, i)
			}
			h.bad = 0
		default:
			h.bad, h.cause = h.bad+1, result
			if h.bad >= sickAfter && !(h.suspended && now < h.until) {
				b.suspend(now, s, i)
			}
		}
	}
	if result == Succeeded {
		s.lastServed = now
	}
}

// suspend takes s out of the draw of a class for a while, longer each time a trial fails.
func (b *Balancer) suspend(now int64, s *server, class int) {
	h := &s.health[class]
	if !h.suspended && !b.maySuspend(now, s, class) {
		return
	}
	pause := min(suspendFirst*math.Exp2(float64(h.trips)), suspendMost) * (0.75 + unit(s.rank^uint64(now))/2)
	h.suspended, h.until = true, now+int64(pause)
	s.suspended = !slices.ContainsFunc(s.health, func(h health) bool { return !h.suspended })
	b.takeArms(now)
	if h.trips++; h.trips == 1 {
		b.tell("suspend", s, class, "cause=%s held=%d", h.cause, s.inFlight)
	}
}

func (b *Balancer) bringBack(now int64, s *server, class int) {
	h, quiet := &s.health[class], now-s.lastServed
	if s.suspended && quiet >= silentIsCold { // it may have started anew, which the list tells seconds late
		b.chill(now, s, now)
		b.startLimit(s)
	}
	b.tell("return", s, class, "quiet_ms=%d trials=%d", quiet/1000, h.trips)
	h.suspended, h.trips, s.suspended = false, 0, false
	b.takeArms(now)
}

// maySuspend keeps a part of the arms in the draw: when most look ill the cause is shared. It is not while
// another answers well: a lost zone can be most of a fleet, and a dead server in the draw takes all retries.
func (b *Balancer) maySuspend(now int64, s *server, class int) bool {
	well := 0
	for _, o := range b.arms {
		if h := &o.health[class]; o != s && !h.suspended {
			well++
			if o.answered > 0 && h.bad == 0 && now-o.lastServed < second/2 {
				return true
			}
		}
	}
	return float64(well) >= healthyLeast*float64(len(b.arms))
}

// ask probes the arms where servers tell of themselves to probes alone, as often as their price leaves little
// to notice. Guards against slow machines that get as much as fast ones until they choke: in two seconds.
func (b *Balancer) ask(now int64) {
	wait := float64(second*int64(len(b.arms))) * b.set.HealthCheckPrice / (askSpend * max(1, b.rate))
	if b.set.LoadFromHealthChecks && b.set.Limits.HealthChecks && float64(now-b.askedAt) >= wait {
		b.askedAt = now
		for _, s := range b.arms {
			b.act.CheckHealth(s.ID)
		}
	}
}

// ---- Rule 4: cold servers

// allowance keeps rule 4 alone, for all balancers together: a cold server gets its warm-up's part of the
// answers (not sends: they pile up in a jam) that a warm one of its size gives this balancer, or more where
// that is half of what would push it over: guards against cold ones at ease while warm ones are late. What is
// not used runs out: see bucket.
func (b *Balancer) allowance(now int64, s *server) bool {
	w := b.warmth(now, s)
	if w >= 1 {
		s.ramp.part = 1
		return true
	}
	w *= max(1, b.set.Rules.OverloadFactor*coldPart)
	return s.ramp.take(now, w*b.perSize[s.role()]*s.Capacity, b.burst())
}

// ---- Time and the list of servers

// OnTimer serves the timers set by Wake.
func (b *Balancer) OnTimer(now, token int64) {
	switch token {
	case tokenSecond:
		b.everySecond(now)
	case tokenQueue:
		b.pump(now)
	case tokenAsk:
		b.act.WatchEndpoints(true)
	case tokenFirst:
		if len(b.servers) == 0 { // nothing can be served before
			b.act.WatchEndpoints(true)
		} else {
			b.act.SetTimer(b.firstAsk(), tokenAsk)
		}
	}
}

// everySecond forgets, log-weights shrinking to their mean, and takes the second's rates.
func (b *Balancer) everySecond(now int64) {
	b.act.SetTimer(second, tokenSecond)
	b.drain += (float64(b.answers)/float64(second) - b.drain) / 2
	b.idleSafe, b.idleDoubt = b.idleSafe*idleRise, b.idleDoubt*idleRise
	b.forgetService()
	b.forgetGone(now)
	b.forgetSharers(now)
	b.valueClasses()
	mean, answered, size := b.meanLog(), [2]int{}, [2]float64{}
	keep := max(keepLog, math.Pow(keepAnswer, float64(b.answers)/float64(max(1, len(b.arms)))))
	b.speeds()
	b.rate += (float64(b.taken) - b.rate) / 4
	b.taken = 0
	b.takeArms(now)
	b.ask(now)
	b.tellAll(now)
	for _, s := range b.servers {
		s.setLog((s.log - mean) * keep)
		if s.Phase == InService && !s.suspended && b.warmth(now, s) >= 1 {
			answered[s.role()], size[s.role()] = answered[s.role()]+s.answered, size[s.role()]+s.Capacity
		}
		s.answered = 0
	}
	b.answers = 0
	b.seconds++
	for i := range size {
		if size[i] > 0 {
			rate := float64(answered[i]) / size[i] / float64(second)
			b.perSize[i] += (rate - b.perSize[i]) * max(0.25, 1/b.seconds) // the first second counts in full
		}
	}
	b.learnRate = gamma * min(max(1, learnAnswers/(b.perSize[1]*float64(second))), learnMost)
	b.summary(now)
}

// OnEndpoints takes the list, whole or its changes.
func (b *Balancer) OnEndpoints(now int64, list []Endpoint, whole bool) {
	b.asks = 0
	if whole {
		for _, s := range b.servers {
			s.Phase = Removed
		}
	}
	var fresh []*server
	for _, in := range list {
		s := b.meet(now, in)
		if s.listed == 0 || in.StartedAt > s.StartedAt { // a new process: cold, and no old failure counts
			s.heal()
			b.chill(now, s, max(in.StartedAt, 0))
			fresh = append(fresh, s)
		}
		s.list(in, b.set.CapacityListed)
		if in.Phase != Removed && !s.held {
			s.held, b.servers = true, append(b.servers, s)
		}
	}
	b.drop(now)
	b.order()
	b.scaleSizes()
	b.takeArms(now)
	for _, s := range fresh {
		b.startLimit(s)
	}
	b.ask(now)
	b.tellAll(now)
	b.pump(now)
}

// OnPollFailed asks again, later each time, and at most a turn after the failed call began; waited is for how
// long it had no answer.
func (b *Balancer) OnPollFailed(now, waited int64) {
	wait := b.backoff(waited)
	if b.asks++; b.asks == 1 {
		b.act.Log("list failed, asking again")
	}
	b.act.SetTimer(wait, tokenAsk)
}
