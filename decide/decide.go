// The decisions of one balancer. Its interface (settings, events, actions) is in api.go.
//
// Every attempt goes to a server drawn by EXP3: exponential weights grown by importance-weighted payoffs
// of this balancer's own attempts, mixed with a uniform floor. The rest keeps the four rules around it.

package decide

import (
	"math"
	"math/rand/v2"
	"slices"
)

const (
	second = int64(1_000_000)

	gamma        = 0.07  // share of draws spread evenly, and the learning rate: the paper's value
	keepLog      = 0.9   // of a log-weight's distance from the mean, kept each second: the design's start
	baselineRate = 0.02  // of the way to each payoff: a mean over some 50 attempts, slower than one server's trouble
	warmBoost    = 300.0 // times its weight, for the server where all balancers send a key: most land there, few pile up
	redraws      = 8     // per draw: past that many crowded servers all are crowded, and the draw stands

	markStep    = 0.2    // log step of the latency mark for a sample past it: trouble shows in a few answers
	halfStep    = 0.04   // of the median: calm, since its lowest value is kept as the uncrowded one
	markShare   = 0.95   // the latency mark that time-outs stand on: one honest answer in 20 is later
	timeoutMark = 1.5    // marks that an attempt may take: slow answers seldom come after that
	minTimeout  = 20_000 // µs; below it ticks and network jitter would pass for silence

	limitStart  = 4.0    // own attempts a server of mean size may hold at first: corrected within a few answers
	limitLeast  = 0.1    // limits of all servers add up to what may be out: below one, a server gets its part in turn
	limitMost   = 1e4    // attempts; keeps the figure finite on an idle fleet
	crowdedBase = 4.0    // uncrowded medians: servers that slow down when crowded lose work long before the aim
	baseRise    = 1.0005 // per answer: doubled in some 1400, slower than any jam should last
	limitUp     = 1.02   // a limit's factor for an early answer while it was used; with limitDown it holds ...
	limitDown   = 0.92   // ... where one answer in five is late: fewer waste room, more end in a jam
	failCut     = 0.6    // of the limit, kept when a server is full: one is plain enough
	earlyShare  = 0.75   // of the aim: later answers warn of a crowd while there is time to act
	queueShare  = 0.5    // of the aim that a request may wait unsent: the rest is for its answer
	queueLeast  = 4.0    // requests that may wait whatever the drain: a start knows none yet

	silentMarks  = 2.0        // latency marks without any answer from a server that holds an attempt: it is silent
	scanEvery    = 50_000     // µs between looks for silent servers: well under what a try may take
	sickAfter    = 2          // failures in a row that suspend a server: one may be chance, and a quiet balancer sees few
	suspendFor   = 0.5e6      // µs of a first suspension, doubled each time a trial fails
	suspendMost  = 8e6        // µs: a server that is back is found within this and its jitter
	silentIsCold = 2 * second // a server silent this long may have started anew: it counts as cold
	healthyLeast = 0.25       // of the servers in service stay in the draw: more ill ones share a cause

	retryPerServed = 0.15 // retries earned by an answer: keeps a storm of retries under a sixth more work
	retryBurst     = 10.0 // retries that may be saved up, for the first moments of trouble

	askBackoff    = 200_000 // µs before a broken list is asked again, doubled each time, jittered by half
	askBackoffMax = 4e6     // keeps the list asked well inside the time after which it counts as told
)

// Timer tokens below firstRequest name a purpose; the others name a request by its number.
const (
	tokenSecond = iota
	tokenAsk
	tokenQueue
	tokenScan
	firstRequest
)

// Balancer decides for one sidecar. It knows only what its events told it.
type Balancer struct {
	set       Settings
	act       Actions
	rng       *rand.Rand
	servers   []*server // as listed, in a stable order
	known     map[string]*server
	open      map[string]*request
	classes   []classState
	retries   float64    // retry budget
	asks      int        // failed asks for the list in a row
	warmPerUs float64    // answers a warm server of size 1 gives this balancer, per µs
	cand      []*server  // scratch of a draw
	queue     []*request // waiting for room, worthiest first
	drain     float64    // answers this balancer gets, per µs
	answers   int        // answers this second
	out       int        // own attempts out now
	baseline  float64    // mean payoff of late: what a payoff is worth against
}

// server is what this balancer knows of one server.
type server struct {
	Server
	log        float64 // EXP3's log-weight
	weight     float64 // exp(log)
	limit      float64 // own attempts it may hold
	cutAt      int64   // when the limit was last cut
	coldSince  int64   // start of its latest warm-up; 0: warm
	sends      []int64 // while cold: times of own sends within the rule's window
	answered   int     // own answers this second, while warm
	bad        int     // failures in a row
	trips      int     // suspensions in a row
	until      int64   // end of its suspension; past it one trial at a time decides
	suspended  bool
	lastServed int64
	listed     float64 // size as listed; Size is scaled to a mean of one
	held       []held  // own attempts out, oldest first
	hash       uint64  // of its ID
}

// classState is a class with the latencies seen of it.
type classState struct {
	Class
	mark float64 // µs: one answer in 20 takes longer
	half float64 // µs: median
	base float64 // µs: the median when servers are not crowded, forgotten slowly upwards
}

// request is one request taken, kept until it is answered and none of its attempts is out.
type request struct {
	Request
	class    *classState
	taken    int64
	deadline int64
	tries    []attempt
	out      int
	ended    bool
	value    float64 // worth for the time it takes: who waits first and who is refused last
	until    int64   // when waiting unsent ends
	started  bool    // its stream has begun
}

// attempt is one send. Its server's group is kept as it was when sent.
type attempt struct {
	server   *server
	zone     string
	cell     int64
	sentAt   int64
	p        float64 // probability of the draw that chose the server
	done     bool
	neverRan bool
}

// held names an attempt that is out.
type held struct {
	r *request
	n int
}

// New makes a balancer that has seen nothing yet.
func New(set Settings, seed uint64, act Actions) *Balancer {
	b := &Balancer{
		set: set, act: act, baseline: 1, rng: rand.New(rand.NewPCG(seed, 0)), retries: retryBurst,
		known: map[string]*server{}, open: map[string]*request{},
	}
	for _, c := range set.Classes {
		if c.Deadline == 0 {
			c.Deadline = 60 * second // a class without one: long enough for any call between services
		}
		if c.Aim == 0 {
			c.Aim = c.Deadline
		}
		b.classes = append(b.classes, classState{Class: c, mark: float64(c.Aim) / 2, half: float64(c.Aim) / 4, base: float64(c.Aim) / 4})
	}
	return b
}

// Begin asks for the list where it does not come by itself.
func (b *Balancer) Begin(now int64) {
	b.act.Wake(second, tokenSecond)
	b.act.Wake(scanEvery, tokenScan)
	if !b.set.ListPushed {
		b.act.Watch(true)
	}
}

// ---- Requests

// Request takes a request and sends its first attempt.
func (b *Balancer) Request(now int64, in Request) {
	r := &request{Request: in, class: &b.classes[in.Class], taken: now}
	if r.Left < 0 {
		r.Left = r.class.Deadline
	}
	r.deadline = now + r.Left
	r.value = r.class.Worth / r.class.half
	r.until = min(now+int64(queueShare*float64(r.class.Aim)), r.deadline)
	b.open[in.ID] = r
	if len(b.queue) > 0 {
		b.wait(now, r)
	} else {
		b.try(now, r)
	}
}

// wait queues r while an answer is likely, and refuses the least worthy of those that would wait too long.
func (b *Balancer) wait(now int64, r *request) {
	if now >= r.until {
		b.giveUp(now, r)
		return
	}
	at, _ := slices.BinarySearchFunc(b.queue, r, func(have, add *request) int {
		if have.value >= add.value {
			return -1
		}
		return 1
	})
	b.queue = slices.Insert(b.queue, at, r)
	b.act.Wake(r.until-now, tokenQueue)
	for float64(len(b.queue)) > max(queueLeast, b.drain*queueShare*float64(r.class.Aim)) {
		last := b.queue[len(b.queue)-1]
		b.queue = b.queue[:len(b.queue)-1]
		b.giveUp(now, last)
	}
}

// pump sends what waits, worthiest first, and answers what has waited too long.
func (b *Balancer) pump(now int64) {
	waiting := b.queue
	b.queue = nil
	for i, r := range waiting {
		if r.ended {
			continue
		}
		if now >= r.until {
			b.giveUp(now, r)
			continue
		}
		if s, p := b.draw(now, r); s != nil {
			b.send(now, r, s, p)
		} else {
			b.queue = append(b.queue, waiting[i])
		}
	}
}

// try sends an attempt for r, or answers it at once when none may be sent.
func (b *Balancer) try(now int64, r *request) {
	if !b.mayTry(now, r) {
		b.giveUp(now, r)
	} else if s, p := b.draw(now, r); s != nil {
		b.send(now, r, s, p)
	} else if b.roomMayCome(now, r) {
		b.wait(now, r)
	} else {
		b.giveUp(now, r)
	}
}

// mayTry tells whether a further attempt is allowed at all, whatever the server.
func (b *Balancer) mayTry(now int64, r *request) bool {
	return !r.ended && !r.started && now < r.deadline && (r.out == 0 || b.set.Limits.ParallelTries) &&
		(b.set.Limits.MaxAttempts == 0 || len(r.tries) < b.set.Limits.MaxAttempts)
}

// roomMayCome tells whether r lacks only room: at a server it could use, or in all.
func (b *Balancer) roomMayCome(now int64, r *request) bool {
	for _, s := range b.servers {
		if s.Phase == InService && r.mayRepeat(now, s) && (len(s.held) > 0 || b.full()) {
			return true
		}
	}
	return false
}

// effect returns the first attempt that may have run, or nil.
func (r *request) effect() *attempt {
	for i := range r.tries {
		if !r.tries[i].neverRan {
			return &r.tries[i]
		}
	}
	return nil
}

// mayRepeat is rule 2 for a send: would s run the request a second time?
func (r *request) mayRepeat(now int64, s *server) bool {
	first := r.effect()
	if first == nil || r.class.Semantics == Idempotent {
		return true
	}
	if r.class.Semantics == AtMostOnce || now-first.sentAt >= r.class.Window {
		return false
	}
	switch r.class.Group {
	case ScopeZone:
		return s.Zone == first.zone
	case ScopeCell:
		return s.Cell == first.cell
	}
	return true
}

// mayRefuse is rule 2 for a refusal: is a new try of the client harmless?
func (r *request) mayRefuse(now int64) bool {
	first := r.effect()
	return first == nil || r.class.Semantics == Idempotent ||
		r.class.Semantics == Deduplicated && r.class.Group == ScopeAll && now-first.sentAt < r.class.Window
}

// giveUp answers at once: refused where that is true, else failed.
func (b *Balancer) giveUp(now int64, r *request) {
	if r.mayRefuse(now) {
		b.act.Refuse(r.ID, 0)
	} else {
		b.act.Fail(r.ID)
	}
	b.end(r)
}

// end closes r and calls back what is still out for it.
func (b *Balancer) end(r *request) {
	r.ended = true
	if r.out == 0 {
		delete(b.open, r.ID)
		return
	}
	if b.set.Limits.Cancel {
		for i := range r.tries {
			if !r.tries[i].done {
				b.act.Cancel(r.ID, i)
			}
		}
	}
}

// send starts one attempt.
func (b *Balancer) send(now int64, r *request, s *server, p float64) {
	r.tries = append(r.tries, attempt{server: s, zone: s.Zone, cell: s.Cell, sentAt: now, p: p})
	r.out++
	s.held = append(s.held, held{r, len(r.tries) - 1})
	b.out++
	if b.warmth(now, s) < 1 {
		s.sends = append(s.sends, now)
	}
	b.act.Send(r.ID, s.ID, b.timeout(now, r))
}

// timeout is how long an attempt may take: a multiple of the latency mark while a next try could still be
// answered within the aim, else all the time that is left. Guards against time-outs that feed a jam: late
// work goes on at many servers, and its retry only adds to it.
func (b *Balancer) timeout(now int64, r *request) int64 {
	left := r.deadline - now
	t := max(int64(timeoutMark*r.class.mark), minTimeout)
	last := b.set.Limits.MaxAttempts > 0 && len(r.tries) >= b.set.Limits.MaxAttempts
	inAim := now-r.taken+t+int64(r.class.half) <= r.class.Aim
	if last || !inAim || t >= left || r.class.Stream || r.class.Semantics == AtMostOnce {
		return left
	}
	return t
}

// Outcome settles an attempt: its server learns, and its request is answered or tried again.
func (b *Balancer) Outcome(now int64, o Outcome) {
	b.settle(now, o)
	b.pump(now)
}

func (b *Balancer) settle(now int64, o Outcome) {
	r := b.open[o.Request]
	if r == nil || o.Attempt >= len(r.tries) || r.tries[o.Attempt].done {
		return
	}
	a := &r.tries[o.Attempt]
	a.done, a.neverRan = true, o.Result.NeverRan()
	a.server.release(r, o.Attempt)
	b.out--
	r.out--
	b.observe(now, r, a, o)
	if o.Closed && !r.ended {
		b.end(r)
	}
	if r.ended {
		if r.out == 0 {
			delete(b.open, r.ID)
		}
		return
	}
	if now >= r.deadline || r.out == 0 && !b.affordRetry(a) {
		b.giveUp(now, r)
	} else if r.out == 0 {
		b.try(now, r)
	}
}

// affordRetry pays for a further attempt; one that never ran cost the servers next to nothing.
func (b *Balancer) affordRetry(a *attempt) bool {
	if a.neverRan {
		return true
	}
	if b.retries < 1 {
		return false
	}
	b.retries--
	return true
}

// Started hands an attempt to the client: its stream has no deadline and gets no further attempt.
func (b *Balancer) Started(now int64, id string, n int) {
	r := b.open[id]
	if r == nil || r.ended || n >= len(r.tries) {
		return
	}
	r.started = true
	for i := range r.tries {
		if i != n && !r.tries[i].done && b.set.Limits.Cancel {
			b.act.Cancel(id, i)
		}
	}
}

// Gone ends a request whose client left.
func (b *Balancer) Gone(now int64, id string) {
	if r := b.open[id]; r != nil && !r.ended {
		b.end(r)
	}
}

// ---- EXP3

// draw picks a server for r by EXP3 and returns it with its probability, or nil when none may be used.
func (b *Balancer) draw(now int64, r *request) (*server, float64) {
	b.cand = b.cand[:0]
	if b.full() {
		return nil, 0
	}
	var tried []*server
	for _, s := range b.servers {
		if !b.eligible(now, r, s) {
			continue
		}
		if r.tried(s) {
			tried = append(tried, s)
		} else {
			b.cand = append(b.cand, s)
		}
	}
	if len(b.cand) == 0 { // without replacement, while others remain
		b.cand = append(b.cand, tried...)
	}
	if len(b.cand) == 0 {
		return nil, 0
	}
	home := b.home(now, r.Key)
	sum, size := 0.0, 0.0
	for _, s := range b.cand {
		sum, size = sum+s.drawWeight(home), size+s.Size
	}
	crowd := b.crowd()
	for n := 0; ; n++ {
		s, p := b.pick(sum, size, home)
		bound := crowd * s.Size
		if s == home {
			bound = 1 + 2*bound // the design's bound: a warm server may hold more
		}
		if n == redraws || float64(len(s.held)) <= bound {
			return s, p
		}
	}
}

// pick draws one of the candidates at random. A server of listed size z counts as z equal arms, so the
// design's p = (1-gamma)*w/sum + gamma/M becomes p = (1-gamma)*z*w/sum + gamma*z/size.
func (b *Balancer) pick(sum, size float64, home *server) (*server, float64) {
	x, p := b.rng.Float64(), 0.0
	for _, s := range b.cand {
		p = (1-gamma)*s.drawWeight(home)/sum + gamma*s.Size/size
		if x -= p; x < 0 {
			return s, p
		}
	}
	return b.cand[len(b.cand)-1], p
}

// drawWeight is the server's weight over all its arms, raised where the request's key is at home.
func (s *server) drawWeight(home *server) float64 {
	if s == home {
		return warmBoost * s.Size * s.weight
	}
	return s.Size * s.weight
}

// home is the server that every balancer with this list picks for a key, by rendezvous hashing over sizes:
// where servers do known keys faster, a key met by all at one server is warm for all.
func (b *Balancer) home(now int64, key string) (best *server) {
	if !b.set.WarmKeys || key == "" {
		return nil
	}
	h, least := hash(key), math.Inf(1)
	for _, s := range b.servers {
		if s.Phase != InService || s.suspended {
			continue
		}
		u := float64(mix(h^s.hash)>>11+1) / (1 << 53)
		if far := -math.Log(u) / s.Size; far < least {
			best, least = s, far
		}
	}
	return best
}

// hash is FNV-1a; mix spreads it over all bits.
func hash(text string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * 1099511628211
	}
	return h
}

func mix(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// crowd is the mean number of own attempts per unit of size: a server that holds more is drawn again.
func (b *Balancer) crowd() float64 {
	size := 0.0
	for _, s := range b.servers {
		size += s.Size
	}
	return float64(b.out) / size
}

// eligible tells whether an attempt of r may go to s now.
func (b *Balancer) eligible(now int64, r *request, s *server) bool {
	if s.suspended && (now < s.until || len(s.held) > 0) {
		return false
	}
	return s.Phase == InService && float64(len(s.held)) < s.limit && r.mayRepeat(now, s) && b.allowance(now, s)
}

func (r *request) tried(s *server) bool {
	for i := range r.tries {
		if r.tries[i].server == s {
			return true
		}
	}
	return false
}

// observe lets the drawn server learn from its attempt, and the class from its latency.
func (b *Balancer) observe(now int64, r *request, a *attempt, o Outcome) {
	if o.Result == Cancelled || o.Result == Moot {
		return
	}
	b.judge(now, a.server, o.Result)
	b.adapt(now, r, a, o)
	payoff := 0.0
	if o.Result == Served {
		a.server.answered++
		b.answers++
		payoff = r.class.payoff(o.Latency)
		b.retries = min(b.retries+retryPerServed, retryBurst)
	}
	if o.Result == Served || o.Result == TimedOut {
		r.class.sample(float64(o.Latency))
	}
	s := a.server
	b.baseline += (payoff - b.baseline) * baselineRate
	s.setLog(s.log + gamma*(payoff-b.baseline)/(a.p*float64(max(1, len(b.servers)))))
}

func (s *server) release(r *request, n int) {
	s.held = slices.DeleteFunc(s.held, func(h held) bool { return h.r == r && h.n == n })
}

// scan looks for servers that hold attempts and answer nothing, suspends them and calls back what they
// hold, so that it is tried elsewhere before its client gives up.
func (b *Balancer) scan(now int64) {
	for _, s := range b.servers {
		if len(s.held) == 0 || s.suspended && now < s.until {
			continue
		}
		r := s.held[0].r
		since := max(r.tries[s.held[0].n].sentAt, s.lastServed)
		if float64(now-since) > silentMarks*r.class.mark && (s.suspended || b.maySuspend()) && !r.started {
			s.bad = sickAfter
			b.suspend(now, s)
			b.callBack(now, s)
		}
	}
}

// callBack cancels what s holds, as far as the retry budget lets it be tried elsewhere.
func (b *Balancer) callBack(now int64, s *server) {
	left := b.retries
	for _, h := range s.held {
		if left < 1 || !b.set.Limits.Cancel {
			return
		}
		if r := h.r; !r.ended && !r.started && r.class.Semantics != AtMostOnce && r.deadline-now > int64(r.class.half) {
			b.act.Cancel(r.ID, h.n)
			left--
		}
	}
}

// judge suspends a server after failures in a row and brings it back after a good trial.
func (b *Balancer) judge(now int64, s *server, result Result) {
	switch result {
	case Served:
		if s.suspended {
			if now-s.lastServed >= silentIsCold {
				s.coldSince, s.sends = max(s.coldSince, now), nil
			}
			s.suspended, s.trips = false, 0
		}
		s.bad, s.lastServed = 0, now
		return
	case Full, Cancelled, Moot:
		return
	}
	s.bad++
	if s.suspended && now < s.until || s.bad < sickAfter || !s.suspended && !b.maySuspend() {
		return
	}
	b.suspend(now, s)
}

// suspend takes s out of the draw for a while, longer each time a trial fails.
func (b *Balancer) suspend(now int64, s *server) {
	pause := min(suspendFor*math.Exp2(float64(s.trips)), suspendMost)
	s.until = now + int64(pause*(0.75+b.rng.Float64()/2))
	s.suspended = true
	s.trips++
}

// maySuspend keeps enough servers in the draw: when most look ill the cause is shared.
func (b *Balancer) maySuspend() bool {
	well, all := 0, 0
	for _, s := range b.servers {
		if s.Phase == InService {
			all++
			if !s.suspended {
				well++
			}
		}
	}
	return float64(well-1) >= healthyLeast*float64(all)
}

// adapt moves the limit of the server that answered.
func (b *Balancer) adapt(now int64, r *request, a *attempt, o Outcome) {
	s, early := a.server, false
	switch {
	case o.Result == Served:
		early = float64(o.Latency) <= r.class.early()
	case o.Result == TimedOut && o.Latency < r.class.Aim:
	case o.Result == Full || o.Result == TimedOut:
		if a.sentAt > s.cutAt { // once for what was sent before the last cut
			s.limit, s.cutAt = max(limitLeast, min(s.limit, float64(len(s.held)+1))*failCut), now
		}
	default:
		return
	}
	s.limit = moved(s.limit, len(s.held)+1, early)
}

// full tells whether as much is out as the servers' limits add up to. Guards against many small balancers
// that each keep one attempt at every server and fill the fleet together: limits may fall below one.
func (b *Balancer) full() bool {
	sum := 0.0
	for _, s := range b.servers {
		if s.Phase == InService {
			sum += s.limit
		}
	}
	return float64(b.out) >= max(1, sum)
}

// moved raises a limit that was used after an early answer, and lowers it after a late one.
func moved(limit float64, used int, early bool) float64 {
	if early && float64(used)+1 > limit {
		return min(limit*limitUp, limitMost)
	}
	if early {
		return limit
	}
	return max(limitLeast, limit*limitDown)
}

// early is the latency past which an answer tells of a crowd.
func (c *classState) early() float64 {
	return min(earlyShare*float64(c.Aim), crowdedBase*c.base)
}

// payoff is 1 for an answer within the aim, and falls with the latency after it.
func (c *classState) payoff(latency int64) float64 {
	if latency <= c.Aim {
		return 1
	}
	return float64(c.Aim) / float64(latency)
}

// sample moves the latency marks; a time-out counts as an answer at least that late.
func (c *classState) sample(latency float64) {
	c.mark = step(c.mark, latency, markShare, markStep)
	c.half = step(c.half, latency, 0.5, halfStep)
	c.base = min(c.base*baseRise, c.half)
}

// step moves an estimate of a quantile towards a sample: far up when passed, a little down when not.
func step(mark, sample, share, rate float64) float64 {
	if sample > mark {
		return mark * math.Exp(rate*share)
	}
	return mark * math.Exp(-rate*(1-share))
}

// setLog keeps weights within what a float can divide by.
func (s *server) setLog(l float64) {
	s.log = min(max(l, -300), 300)
	s.weight = math.Exp(s.log)
}

func (b *Balancer) meanLog() float64 {
	sum, n := 0.0, 0
	for _, s := range b.servers {
		sum, n = sum+s.log, n+1
	}
	return sum / float64(max(n, 1))
}

// Timer serves the timers set by Wake.
func (b *Balancer) Timer(now, token int64) {
	switch token {
	case tokenSecond:
		b.everySecond(now)
	case tokenAsk:
		b.act.Watch(true)
	case tokenScan:
		b.act.Wake(scanEvery, tokenScan)
		b.scan(now)
	case tokenQueue:
		b.pump(now)
	}
}

// everySecond forgets: log-weights shrink towards their mean, which is then taken as zero.
func (b *Balancer) everySecond(now int64) {
	b.act.Wake(second, tokenSecond)
	mean := b.meanLog()
	b.drain += (float64(b.answers)/float64(second) - b.drain) / 2
	b.answers = 0
	answered, size := 0, 0.0
	for _, s := range b.servers {
		s.setLog((s.log - mean) * keepLog)
		if s.Phase == InService && b.warmth(now, s) >= 1 {
			answered, size = answered+s.answered, size+s.Size
		}
		s.answered = 0
	}
	if size > 0 {
		b.warmPerUs += (float64(answered)/size/float64(second) - b.warmPerUs) / 4
	}
}

// ---- Cold servers

// warmth is the least share of its capacity that s has by now: even growth over the stated time.
func (b *Balancer) warmth(now int64, s *server) float64 {
	age := now - s.coldSince
	if s.coldSince == 0 || age >= b.set.Rules.ColdFor {
		return 1
	}
	from := b.set.Rules.ColdFrom
	return from + (1-from)*float64(max(age, 0))/float64(b.set.Rules.ColdFor)
}

// allowance is rule 4: within any window of the rule a cold server gets no more than its warm-up's part
// of the answers that this balancer gets from a warm server of its size, and one send in any case.
// Answers, not sends: in a jam a warm server is sent far more than it can do, and a cold one that got
// its part of that fell over.
func (b *Balancer) allowance(now int64, s *server) bool {
	w := b.warmth(now, s)
	if w >= 1 {
		return true
	}
	for len(s.sends) > 0 && now-s.sends[0] >= b.set.Rules.FallFor {
		s.sends = s.sends[1:]
	}
	budget := w * b.warmPerUs * s.Size * float64(b.set.Rules.FallFor)
	return float64(len(s.sends)) < max(1, budget)
}

// ---- The list of servers

// Listed takes the list, whole or its changes.
func (b *Balancer) Listed(now int64, list []Server, whole bool) {
	b.asks = 0
	if whole {
		for _, s := range b.servers {
			s.Phase = Removed
		}
	}
	mean, started := b.meanLog(), []*server(nil)
	for _, in := range list {
		if !(in.Size > 0) || !b.set.SizesListed {
			in.Size = 1
		}
		s := b.known[in.ID]
		if s == nil {
			s = &server{hash: hash(in.ID)}
			s.setLog(mean)
			started = append(started, s)
			b.known[in.ID] = s
		}
		if in.UpSince > s.UpSince || s.ID == "" {
			s.coldSince, s.sends = in.UpSince, nil
		}
		s.Server, s.listed = in, in.Size
		if in.Phase != Removed && !slices.Contains(b.servers, s) {
			b.servers = append(b.servers, s)
		}
	}
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool { return s.Phase == Removed })
	b.scaleSizes()
	for _, s := range started {
		s.limit = limitStart * s.Size
	}
}

// scaleSizes makes the mean size one, so that sizes read as shares of a mean server.
func (b *Balancer) scaleSizes() {
	sum := 0.0
	for _, s := range b.servers {
		sum += s.listed
	}
	for _, s := range b.servers {
		s.Size = s.listed * float64(len(b.servers)) / sum
	}
}

// ListFailed asks again, later each time, so that a struggling list is not asked by all at once.
func (b *Balancer) ListFailed(now int64) {
	wait := min(float64(askBackoff)*math.Exp2(float64(b.asks)), askBackoffMax)
	if b.set.Rules.AskEvery > 0 {
		wait = min(wait, float64(b.set.Rules.AskEvery)/2)
	}
	b.asks++
	b.act.Wake(int64(wait*(0.5+b.rng.Float64()/2)), tokenAsk)
}

// Probed learns nothing: this balancer does not probe.
func (b *Balancer) Probed(now int64, p Probe) {}
