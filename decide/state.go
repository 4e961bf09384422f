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
	logMost     = 30.0        // log-weights stay within this of zero: beyond it a sum of floats loses the small ones
	logEvery    = 5 * second  // between two summary lines
	keepGone    = 60 * second // a list may be stale by tens of seconds
	keepService = 0.98        // of taken and served, kept each second: a judgement over most of a minute
	keepBad     = 0.9         // of the answers of a key and the bad ones among them, kept each second
	thinEase    = 1.03        // of a key's requests that pass, each second
	idlePart    = 0.8         // of the idle time after which an attempt got no answer is held for safe
	nearBoost   = 400.0 / 3   // of the price of crossing zones that a server of the own zone weighs more
	nearFirst   = 3.4         // times that a server of the own zone may weigh more and still not come first
	markShare   = 0.95        // of the answers come before the latency mark: time-outs stand on it
	markStep    = 0.2         // log step of the mark for an answer past it: trouble shows in a few answers
	halfStep    = 0.04        // of the median
	calmShare   = 0.9         // of the answers come before the calm mark, whose lowest value is kept as uncrowded
	calmStep    = 0.05        // of the calm mark: one burst of late answers must not move it far
	baseRise    = 1.01        // of the uncrowded mark each second: doubled in 70 s, longer than a jam should last
	rateStep    = 0.3         // of the rate of answers, each second
	quickShare  = 0.15        // of the answers are quicker than the quick mark
	quickLeast  = 0.03        // of its steps
	quickMost   = 0.6         // the same
	quickOne    = 0.3         // of the steps of one server
	quickSecond = 5.0         // steps of all answers of a second together
	easeFactor  = 1.5         // of its lowest, up to which the quick mark tells of no crowd
	tailAnswers = 4.0         // of a class each second, from which on its quickest tell of a crowd in time
	crowdedBase = 1.6         // uncrowded calm marks: servers that slow down when crowded lose work before the aim
	workStep    = 0.02        // of the mean work hinted, for each request
	workPart    = 0.5         // of a request's time, that goes by its work
	toldOver    = 20.0        // reports, about, that the mean of what servers hold is taken over
	oddsOver    = 20.0        // further attempts, about, that the odds of one are taken over
	paceStep    = 0.25        // of what a server tells of its pace: one word of few requests is rough
	speedMost   = 8.0         // times faster or slower than the mean that a server counts as
	sizeMost    = 1e9         // of a listed size: a sum of a fleet of them stays exact enough
)

// Balancer decides for one sidecar. It knows only what its events told it.
type Balancer struct {
	set       Settings
	act       Actions
	rng       *rand.Rand
	servers   []*server // as listed, in a stable order
	arms      []*server // those that it draws from
	salt      uint64    // of its order of the servers
	taken     int       // requests this second
	rate      float64   // requests a second of late
	known     map[string]*server
	classes   []*classState // of the settings in force, then those that only open requests still have
	open      map[string]*request
	queue     []*request                  // waiting for room, worthiest first
	out       int                         // own attempts out now
	density   float64                     // own attempts that may be out for each server of mean size
	jammed    bool                        // an answer was late
	keys      [512]keyBooks               // of late by key, in as many slots
	heats     float64                     // sum of their requests
	retries   float64                     // retry budget
	helped    [InvalidRequest + 1]float64 // that a further attempt is served, by how the one before ended
	meanValue float64                     // of the requests of late
	further   ration                      // attempts beyond a request's first
	asks      int                         // failed asks for the list in a row
	tenants   []float64                   // requests of each tenant of late
	answers   int                         // this second
	drain     float64                     // answers per µs
	perSize   [2]float64                  // answers that a warm server of size one gives this balancer, per µs: no arm, arm
	seconds   float64                     // since its start
	told      float64                     // requests that servers hold, as they tell, on average
	judged    keyBooks                    // answers of all keys
	askedAt   int64                       // when servers were probed last
	heard     bool                        // servers tell of their load
	beside    bool                        // another process of this sidecar serves too
	aloneFrom int64                       // when the last such has left the books of the budget of attempts

	voices    []voice // by balancer, as far as heard of
	byTag     map[[2]byte]*server
	toldAt    int64     // when all were told what this one draws from
	tellAt    int64     // when they are to be told next
	heardOf   int64     // when any word came
	said      byte      // messages sent
	buf       []byte    // scratch of a message
	idleSafe  float64   // µs that connections have been idle and still good
	idleDoubt float64   // what one attempt without an answer would make of it
	idleTold  float64   // the same, as another told last
	idleFrom  int       // who, from 1 on
	learnRate float64   // of EXP3
	cand      []*server // scratch of a draw
	tally     tally
}

// tally counts what the next summary line tells.
type tally struct {
	since                             int64
	draws, redrawn, tries, shed, late int
}

// server is what this balancer knows of one server.
type server struct {
	Endpoint            // Size is scaled to a mean of one
	listed     float64  // size as listed
	peak       float64  // the largest so far
	hash       uint64   // of its ID
	rank       uint64   // place in this balancer's order
	arm, held  bool     // drawn from; in the list of servers
	log        float64  // EXP3's log-weight
	weight     float64  // exp(log)
	inFlight   int      // own attempts out
	heardAt    int64    // of its latest answer, or when the first attempt after that was sent
	limit      float64  // own attempts it may hold
	idleAt     int64    // when the connection to it fell idle; 0: none is open
	lost       bool     // an attempt got no answer and none came since: its connection may be dead
	sharers    []sharer // other balancers that draw from it
	early      bool     // its latest answer was
	cutAt      int64    // when the limit was last cut; 0 before its first late answer
	health     []health // by class
	suspended  bool     // for every class
	lastServed int64
	leftAt     int64   // when it left the list, where it is not held
	coldSince  int64   // start of its latest warm-up; 0: warm
	ramp       bucket  // while cold: sends that it may get
	answered   int     // own answers this second
	base       float64 // its size before its pace counts
	told       float64 // requests that it holds, as it tells
	pace       float64 // ms that work takes it without waiting, as it tells; 0: not told
	quick      float64 // one answer in 7 is quicker, as a part of its class's ease
}

// keyBooks are the requests of the keys of one slot, of late.
type keyBooks struct {
	heat         float64 // where homes go by it
	answers, bad float64
	thinned      float64 // share of them that is refused at the door
}

// health is what a server's answers tell of it for one class.
type health struct {
	bad       int    // failures in a row
	cause     Result // of the last one
	trips     int    // suspensions in a row
	suspended bool   // out of the draw until the time below, then on trial: one attempt at a time
	until     int64
	out       int // own attempts out
}

// classState is a class with the latencies seen of it, in µs.
type classState struct {
	Class
	mark          float64 // one answer in 20 takes longer
	half          float64 // median
	value         float64 // what an answer adds to the goal, for the time it takes
	firstLeft     int64   // the longest time that a first try came with
	taken, served float64 // of late: requests, and those answered within the aim
	work          float64 // hinted, on average; 0: no hints
	calm          float64 // one answer in 10 takes longer
	quick, ease   float64 // one answer in 7 is quicker, and the lowest that this was: with nothing before them
	samples       float64
	rate, fresh   float64 // answers a second, and in this one
	base          float64 // the same when servers are not crowded
}

// request is one request taken, kept until it is answered and none of its attempts is out.
type request struct {
	Request
	class    *classState
	rules    Class // as they were when it was taken
	most     int   // attempts that it may have
	taken    int64
	deadline int64
	aim      int64   // the class's, stretched by the work hinted
	spent    int64   // time that its client has waited on earlier tries, where that shows
	until    int64   // when waiting unsent ends
	value    float64 // worth for the time it takes: who waits first and who is refused last
	tries    []attempt
	out      int
	heavy    float64   // times longer than a mean request of its class that it takes, by the work hinted
	books    *keyBooks // of its key; nil: it has none
	home     uint64    // hash of the replica of its key; 0: none
	ended    bool
	started  bool     // its stream has begun
	former   *attempt // that another balancer may have sent; nil: none
	followed int      // tries that were really sent, where another balancer is watched
}

// attempt is one send. Its server's group is kept as it was when sent.
type attempt struct {
	server   *server
	zone     string
	cell     int64
	sentAt   int64
	idle     int64   // how long its connection had been idle; 0: in use or new
	p        float64 // probability of the draw that chose the server
	done     bool
	released bool   // it holds no place any more
	result   Result // once done; that of one that is out is Served, which may have run
}

// adopt takes settings over; classes and tenants known by name keep what was learned of them.
func (b *Balancer) adopt(set Settings) {
	if set.Limits.MaxAttempts == 0 {
		set.Limits.MaxAttempts = triesMost
	}
	classes, tenants := make([]*classState, len(set.Classes)), make([]float64, len(set.Tenants))
	for i, c := range set.Classes {
		classes[i] = newClass(c)
		for _, k := range b.classes {
			if k.Name == c.Name {
				if k.Deadline != classes[i].Deadline {
					k.firstLeft = 0
				}
				k.Class, classes[i] = classes[i].Class, k
			}
		}
	}
	for i, t := range set.Tenants {
		if at := slices.IndexFunc(b.set.Tenants, func(o Tenant) bool { return o.Name == t.Name }); at >= 0 {
			tenants[i] = b.tenants[at]
		}
	}
	b.set, b.classes, b.tenants = set, classes, tenants
	b.further.keep(set.Rules.AttemptBudgetWindow)
}

// newClass starts the memory of a class.
func newClass(c Class) *classState {
	if c.Deadline == 0 {
		c.Deadline = 60 * second // a class that sets none: longer than a call between services takes
	}
	if c.LatencyObjective == 0 {
		c.LatencyObjective = c.Deadline
	}
	aim := float64(c.LatencyObjective)
	return &classState{Class: c, mark: aim / 2, calm: aim / 2, base: aim / 2, half: aim / 4, value: c.PriorityWeight}
}

// UpdateSettings takes other settings in force from now on. Open requests keep the rules they were taken under, and their place
// among the classes as long as they are open, also where their class is none any more. Guards against a request that
// changes its effect between two attempts, and against a balancer that learns anew.
func (b *Balancer) UpdateSettings(now int64, set Settings) {
	old := b.classes
	b.adopt(set)
	servers := map[*server]bool{}
	for _, s := range b.known {
		servers[s] = true
	}
	used := map[*classState]bool{}
	for _, r := range b.open {
		used[r.class] = true
		for i := range r.tries {
			servers[r.tries[i].server] = true // it may be forgotten by now
		}
	}
	for _, c := range old {
		if used[c] && !slices.Contains(b.classes, c) {
			b.classes = append(b.classes, c)
		}
	}
	for _, r := range b.open {
		r.Class = slices.Index(b.classes, r.class)
	}
	for s := range servers {
		was := s.health
		s.health = make([]health, len(b.classes))
		for i, c := range b.classes {
			if at := slices.Index(old, c); at >= 0 {
				s.health[i] = was[at]
			} else if s.suspended { // one that serves no class is not tried anew for another
				s.health[i] = was[0]
				s.health[i].out = 0
			}
		}
	}
	b.valueClasses()
	b.takeArms(now)
}

// forgetClasses drops classes that no request has any more.
func (b *Balancer) forgetClasses() {
	n := len(b.set.Classes)
	if len(b.classes) == n {
		return
	}
	for _, r := range b.open {
		if r.Class >= n {
			return
		}
	}
	b.classes = b.classes[:n:n]
	for _, s := range b.known {
		s.health = s.health[:n:n]
		s.suspended = !slices.ContainsFunc(s.health, func(h health) bool { return !h.suspended })
	}
}

// meet returns what is known of a listed server; a new one starts at the mean log-weight, not yet silent.
func (b *Balancer) meet(now int64, in Endpoint) *server {
	s, met := b.known[in.ID]
	if !met {
		s = &server{hash: hash(in.ID), lastServed: now, health: make([]health, len(b.classes)), told: b.told}
		s.rank = mix(s.hash ^ b.salt)
		s.rank = uint64(float64(s.rank) / max(1, b.near(in.Zone)/nearFirst))
		s.setLog(b.meanLog())
		b.known[in.ID] = s
	}
	return s
}

// role tells an arm from a server that is met as a key's home alone.
func (s *server) role() int {
	if s.arm {
		return 1
	}
	return 0
}

// heal forgets failures.
func (s *server) heal() {
	s.suspended = false
	for i := range s.health {
		s.health[i] = health{out: s.health[i].out}
	}
}

// list takes over an entry; a size that says nothing, or is past all measure, counts as one.
func (s *server) list(in Endpoint, sized bool) {
	if !sized || !(in.Capacity > 0 && in.Capacity <= sizeMost) {
		in.Capacity = 1
	} else {
		s.peak = max(s.peak, in.Capacity)
	}
	s.Endpoint, s.listed = in, in.Capacity
}

// meanLog is the mean log-weight, where a new server starts.
func (b *Balancer) meanLog() (mean float64) {
	for _, s := range b.arms {
		mean += s.log / float64(len(b.arms))
	}
	return mean
}

// scaleSizes makes the mean size one, so that sizes read as shares of a mean server. A size that moves with load is
// taken at its largest, at the median of the machine's kind: guards against herds that follow it, and wild figures.
func (b *Balancer) scaleSizes() {
	sum := 0.0
	peaks := map[string][]float64{}
	if b.set.CapacityLive {
		for _, s := range b.servers {
			peaks[s.MachineKind] = append(peaks[s.MachineKind], s.peak)
		}
		delete(peaks, "")
		for _, p := range peaks {
			slices.Sort(p)
		}
	}
	for _, s := range b.servers {
		s.Capacity = s.listed
		if b.set.CapacityLive && s.peak > 0 {
			s.Capacity = s.peak
		}
		if p := peaks[s.MachineKind]; len(p) > 0 && p[len(p)/2] > 0 {
			s.Capacity = p[len(p)/2]
		}
		sum += s.Capacity
	}
	for _, s := range b.servers {
		s.base = s.Capacity * float64(len(b.servers)) / sum
	}
	b.speeds()
}

// OnHealthCheck takes in what a server tells to a probe.
func (b *Balancer) OnHealthCheck(now int64, p HealthCheck) {
	if s := b.known[p.Server]; s != nil && p.Result == Succeeded {
		b.hearLoad(s, p.Load)
	}
}

// evenOdds are those of further attempts before any was tried.
func evenOdds() (odds [InvalidRequest + 1]float64) {
	for i := range odds {
		odds[i] = 0.5
	}
	return odds
}

// countOdds counts how an attempt went, by how the one before it ended.
func (b *Balancer) countOdds(r *request, o Outcome) {
	if o.Attempt == 0 {
		return
	}
	served, odds := 0.0, &b.helped[r.tries[o.Attempt-1].result]
	if o.Result == Succeeded {
		served = 1
	}
	*odds += (served - *odds) / oddsOver
}

// hearLoad takes in what a server tells of itself, with an answer or to a probe.
func (b *Balancer) hearLoad(s *server, l *LoadReport) {
	if l == nil {
		return
	}
	b.heard = true
	n := l.InFlight
	if n < 0 && l.Queue >= 0 {
		n = math.Sqrt(1+l.Queue) - 1 // what waits says less than what is held: half of its power
	}
	if n >= 0 && n < 1e6 {
		s.told = n
		b.told += (n - b.told) / toldOver
	}
	if !(l.Latency > 0 && l.Latency < 1e6) {
		return
	}
	if s.pace == 0 {
		s.pace = l.Latency
	}
	s.pace += (l.Latency - s.pace) * paceStep
}

// ease is how much more a server weighs for holding less than the mean, as told: by the square, since reports are old.
func (b *Balancer) ease(s *server) float64 {
	part := (b.told + 1) / (s.told/s.Capacity + 1)
	return part * part
}

// speeds makes the sizes those of scaleSizes by how fast servers work, as they tell, beside the mean of those that do. One
// that does not tell counts as its kind, else as the mean. Guards against machines that are listed alike and are not.
func (b *Balancer) speeds() {
	type mean struct{ sum, n float64 }
	kinds, all := map[string]mean{}, mean{}
	for _, s := range b.servers {
		if s.pace > 0 {
			k := kinds[s.MachineKind]
			kinds[s.MachineKind], all = mean{k.sum + s.pace, k.n + 1}, mean{all.sum + s.pace, all.n + 1}
		}
	}
	sum := 0.0
	for _, s := range b.servers {
		speed := 1.0
		if all.n > 0 {
			pace := s.pace
			if k := kinds[s.MachineKind]; pace == 0 && k.n > 0 {
				pace = k.sum / k.n
			} else if pace == 0 {
				pace = all.sum / all.n
			}
			speed = min(max(all.sum/all.n/pace, 1/speedMost), speedMost)
		}
		s.Capacity = s.base * speed
		sum += s.Capacity
	}
	for _, s := range b.servers {
		s.Capacity *= float64(len(b.servers)) / sum
	}
}

// drop forgets the place of servers that left the list.
func (b *Balancer) drop(now int64) {
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool {
		if s.Phase == Removed {
			s.held, s.leftAt = false, now
		}
		return !s.held
	})
}

// forgetGone forgets servers that left the list long ago; one that a stale list brings back is remembered till then.
// Guards against a fleet whose servers are replaced all day: each new id stayed for good.
func (b *Balancer) forgetGone(now int64) {
	for id, s := range b.known {
		if !s.held && now-s.leftAt > keepGone {
			delete(b.known, id)
		}
	}
}

// order sorts the servers for this balancer and finds them by their tags.
func (b *Balancer) order() {
	slices.SortFunc(b.servers, func(a, c *server) int { return cmp.Compare(a.rank, c.rank) })
	clear(b.byTag)
	for _, s := range b.servers {
		b.byTag[s.tag()] = s
	}
}

// setLog keeps the weight beside its logarithm.
func (s *server) setLog(l float64) {
	s.log = min(max(l, -logMost), logMost)
	s.weight = math.Exp(s.log)
}

// step moves an estimate of a quantile towards a sample: far up when passed, a little down when not.
func step(mark, sample, share, size float64) float64 {
	if sample > mark {
		return mark * math.Exp(size*share)
	}
	return max(1, mark*math.Exp(-size*(1-share)))
}

// sample moves the latency marks; a time-out counts as an answer at least that late.
func (c *classState) sample(latency float64) {
	c.mark = step(c.mark, latency, markShare, markStep)
	c.half = step(c.half, latency, 0.5, halfStep)
	c.calm = step(c.calm, latency, calmShare, calmStep)
	c.base = min(c.base, c.calm)
	c.sampleQuick(latency)
}

// sampleQuick moves the mark of the quickest answers: within about a second where there are many, by each one where there are few.
func (c *classState) sampleQuick(latency float64) {
	if c.samples++; c.samples == 1 {
		c.quick, c.ease = latency, float64(c.LatencyObjective)
	}
	c.fresh++
	c.quick = towards(c.quick, latency, min(quickMost, max(quickLeast, quickSecond/max(1, c.rate), quickSecond/c.samples)))
	c.ease = min(c.ease, c.quick)
}

// towards moves a mark of quickest answers by a sample, and never past it: guards against an ease that no answer had.
func towards(mark, sample, size float64) float64 {
	if sample > mark {
		return min(sample, mark*math.Exp(size*quickShare))
	}
	return max(sample, mark*math.Exp(-size*(1-quickShare)))
}

// load is what s holds for its size; where balancers tell one another, as it would be with one attempt more.
func (b *Balancer) load(now int64, s *server) float64 {
	if b.talks() {
		return (b.held(now, s) + 1) / s.Capacity
	}
	return float64(s.inFlight) / s.Capacity
}

// crowd is the mean load of the arms: a server with more is drawn again. Attempts that pile up show a paused or
// slow server before its first answer does.
func (b *Balancer) crowd(now int64) float64 {
	size, n, load := 0.0, 0.0, 0.0
	for _, s := range b.arms {
		size += s.Capacity
		if !s.suspended {
			n, load = n+1, load+b.load(now, s)
		}
	}
	if b.talks() {
		return load / n
	}
	return float64(b.out) / size
}

// silent tells whether attempts at s have gone without an answer for longer than answers take.
func (b *Balancer) silent(now int64, s *server) bool {
	if s.inFlight == 0 { // most, where each request asks it of all
		return false
	}
	patience := 0.0
	for _, c := range b.classes {
		patience = max(patience, c.mark)
	}
	return float64(now-s.heardAt) > patience
}

// weigh sums the weights and sizes of servers, as the odds of a draw among them need.
func (b *Balancer) weigh(servers []*server, home *server) (sum, size float64) {
	for _, s := range servers {
		sum, size = sum+b.armWeight(s, home), size+s.Capacity
	}
	return sum, size
}

// formerly is what is known of an attempt that another balancer may have sent some time ago: not where, so that no server
// of a zone or a cell is known to drop a repeat.
func formerly(now, ago int64) *attempt {
	if ago <= 0 {
		return nil
	}
	return &attempt{sentAt: now - ago, zone: "?", cell: -2, done: true, result: Reset}
}

// sentBefore tells whether a send would be one beyond the request's first, also where another balancer may have sent that.
// Guards against a takeover that mints attempts.
func (r *request) sentBefore() bool { return len(r.tries) > 0 || r.former != nil }

// effect returns the first attempt that may have run, or nil.
func (r *request) effect() *attempt {
	if r.former != nil {
		return r.former
	}
	for i := range r.tries {
		if !r.tries[i].result.NeverRan() {
			return &r.tries[i]
		}
	}
	return nil
}

// blamed tells whether requests of its key are thinned.
func (r *request) blamed() bool { return r.books != nil && r.books.thinned > 0 }

// early tells whether an outcome warns of no crowd: it takes a part of the aim at the most, less where servers tell of their
// load, so that the draw evens them out and a late answer tells of the whole, and no more than crowdedBase of the uncrowded
// mark. Guards against refusals for single slow servers where they do not tell.
func (b *Balancer) early(c *classState, o Outcome) bool {
	share := earlyTold
	if b.heard {
		share = earlyShare
	}
	late := min(share*float64(c.LatencyObjective), crowdedBase*c.base)
	return o.Result != Errored && o.Result != TimedOut && float64(o.Latency) <= late
}

// atEase takes in how quick an answer of s was, and tells whether a late one is slow by nature: calm, as the quickest of its class
// are as quick as ever; well, as those of s are too. Guards against refusals for a slow tail, which no refusal makes quicker.
// Where servers or balancers tell what is held, that tells of a crowd, and where answers are few they tell of one too late.
func (b *Balancer) atEase(c *classState, s *server, o Outcome) (calm, well bool) {
	if o.Result != Succeeded {
		return false, false
	}
	part := float64(o.Latency) / max(1, c.ease)
	if s.quick == 0 {
		s.quick = part
	}
	s.quick = towards(s.quick, part, quickOne)
	calm = !b.heard && !b.talks() && max(c.rate, c.fresh) >= tailAnswers && c.quick <= easeFactor*c.ease
	return calm, calm && s.quick <= easeFactor
}

func (r *request) tried(s *server) bool {
	return slices.ContainsFunc(r.tries, func(a attempt) bool { return a.server == s })
}

// tell logs what befell a server.
func (b *Balancer) tell(event string, s *server, class int, format string, args ...any) {
	b.act.Log(fmt.Sprintf("%s server=%s class=%s "+format, append([]any{event, s.ID, b.classes[class].Name}, args...)...))
}

// forgetService lets old counts of requests fade, and the uncrowded mark rise.
func (b *Balancer) forgetService() {
	b.forgetClasses()
	for _, c := range b.classes {
		c.taken, c.served, c.base, c.ease = c.taken*keepService, c.served*keepService, c.base*baseRise, c.ease*baseRise
		c.rate, c.fresh = c.rate+rateStep*(c.fresh-c.rate), 0
	}
	b.judged.answers, b.judged.bad = b.judged.answers*keepBad, b.judged.bad*keepBad
	for i := range b.keys {
		k := &b.keys[i]
		k.heat, k.answers, k.bad = k.heat*keepService, k.answers*keepBad, k.bad*keepBad
		if k.thinned > 0 {
			k.thinned = 1 - min(1, (1-k.thinned)*thinEase)
		}
	}
	b.heats *= keepService
	for i := range b.tenants {
		b.tenants[i] *= keepService
	}
}

// booksOf returns the books of a key's slot.
func (b *Balancer) booksOf(key string) *keyBooks {
	if key == "" {
		return nil
	}
	return &b.keys[hash(key)%uint64(len(b.keys))]
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

// unit makes a hash a number over 0 and up to 1.
func unit(h uint64) float64 { return float64(mix(h)>>11+1) / (1 << 53) }

// summary logs the last seconds in figures when something was refused in them.
func (b *Balancer) summary(now int64) {
	t := &b.tally
	if now-t.since < logEvery {
		return
	}
	ill, limit := 0, 0.0
	for _, s := range b.arms {
		limit += s.limit
		if s.suspended {
			ill++
		}
	}
	if t.shed > 0 || ill > 0 {
		b.act.Log(fmt.Sprintf("summary tries=%d shed=%d late=%d out=%d limit=%.1f waiting=%d suspended=%d/%d listed=%d "+
			"draws=%d redrawn=%d", t.tries, t.shed, t.late, b.out, limit, len(b.queue), ill,
			len(b.arms), len(b.servers), t.draws, t.redrawn))
	}
	*t = tally{since: now}
}

// valueClasses sets what an answer of each class adds to the goal, for the time it takes. Where the goal
// weighs the worst served class, that class earns its part besides its worth; else it would get nothing.
func (b *Balancer) valueClasses() {
	worth, taken, worst := 1e-9, 1e-9, b.classes[0]
	for _, c := range b.classes[:len(b.set.Classes)] {
		worth, taken = worth+c.PriorityWeight*c.taken, taken+c.taken
		if c.served*worst.taken < worst.served*c.taken {
			worst = c
		}
	}
	for _, c := range b.classes[:len(b.set.Classes)] {
		c.value = (b.set.Objective.Overall + b.set.Objective.WorstWindow) * c.PriorityWeight * taken / worth
		if c == worst {
			c.value += b.set.Objective.WorstClass * taken / max(c.taken, 1)
		}
		c.value /= c.half
	}
	b.meanValue = 0
	for _, c := range b.classes[:len(b.set.Classes)] {
		b.meanValue += c.value * c.taken / taken
	}
}

// near is how much more a server of the own zone weighs, where attempts to other zones have a price.
func (b *Balancer) near(zone string) float64 {
	if zone == b.set.Zone {
		return 1 + b.set.CrossZonePrice*nearBoost
	}
	return 1
}

// room is what this balancer may have out at all servers that answer: its density times what they can do by
// now; held is what it has. All answers move the one density. Guards against quiet balancers of a large
// fleet whose limits, each moved by an answer in seconds, let all of them together fill the servers for as
// long as a loss of capacity lasts; and against attempts at lost servers that take the place of all others.
func (b *Balancer) room(now int64) (held, room float64) {
	usable := 0.0
	for _, s := range b.servers {
		if s.Phase == InService && !s.suspended && !b.silent(now, s) && (s.arm || !b.talks()) {
			held += b.held(now, s)
			usable += s.Capacity * b.warmth(now, s)
		}
	}
	return held, b.density * usable
}

// heavy is how much longer than a mean request one of that work takes: half of the time goes by the work. Guards
// against a crowd that is seen where requests are large: one in five was late at servers at ease.
func (c *classState) heavy(work int64) float64 {
	if work <= 0 {
		return 1
	}
	if c.work == 0 {
		c.work = float64(work)
	}
	c.work += (float64(work) - c.work) * workStep
	return 1 - workPart + workPart*float64(work)/c.work
}

// probeIdle learns from an end how long a connection may be idle: a little less than one that got no answer.
func (b *Balancer) probeIdle(now int64, a *attempt, o Outcome) {
	s := a.server
	if s.inFlight == 0 {
		s.idleAt = now
	}
	if o.Result == ConnectFailed {
		s.idleAt = 0
	}
	silent := o.Result == TimedOut || o.Result == Cancelled && now-a.sentAt > second/4
	if silent && s.lastServed < a.sentAt {
		s.lost = true
		if a.idle > 0 {
			safe := idlePart * float64(a.idle)
			b.idleSafe, b.idleDoubt = min(b.idleSafe, max(safe, b.idleDoubt)), safe // one may be slow, two are not
		}
	} else if !silent {
		s.lost = false
	}
}
