// What a balancer remembers, and the helpers that decide nothing: estimates, hashing, the summary line.

package decide

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	logMost  = 30.0        // log-weights stay within this of zero: beyond it a sum of floats loses the small ones
	logEvery = 5 * second  // between two summary lines
	keepGone = 60 * second // a list may be stale by tens of seconds
	sizeMost = 1e9         // of a listed size: a sum of a fleet of them stays exact enough
)

// Balancer decides for one sidecar. It knows only what its events told it.
type Balancer struct {
	set     Settings
	act     Actions
	rng     *rand.Rand
	servers []*server // as listed, in a stable order
	arms    []*server // those that it draws from
	salt    uint64    // of its order of the servers
	taken   int       // requests this second
	rate    float64   // requests a second of late
	known   map[string]*server
	classes []classState
	open    map[string]*request
	queue   []*request   // waiting for room, worthiest first
	out     int          // own attempts out now
	density float64      // own attempts that may be out for each server of mean size
	jammed  bool         // an answer was late
	heat    [512]float64 // requests of late by key, in as many slots
	heats   float64      // their sum
	retries float64      // retry budget
	asks    int          // failed asks for the list in a row
	tenants []float64    // requests of each tenant of late
	answers int          // this second
	drain   float64      // answers per µs
	perSize [2]float64   // answers that a warm server of size one gives this balancer, per µs: no arm, arm
	seconds float64      // since its start

	voices    map[int]voice // balancers heard of
	toldAt    int64         // when all were told
	heardOf   int64         // when any word came
	said      byte          // messages sent
	buf       []byte        // scratch of a message
	idleTold  float64       // the same, as another told last
	idleFrom  int           // who
	idleSafe  float64       // µs that connections have been idle and still good
	learnRate float64       // of EXP3
	cand      []*server     // scratch of a draw
	tally     tally
}

// tally counts what the next summary line tells.
type tally struct {
	since                             int64
	draws, redrawn, tries, shed, late int
}

// server is what this balancer knows of one server.
type server struct {
	Server              // Size is scaled to a mean of one
	listed     float64  // size as listed
	peak       float64  // the largest so far
	hash       uint64   // of its ID
	rank       uint64   // place in this balancer's order
	told       bool     // it was an arm when those that share it were told
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
	credit     float64 // while cold: sends that it may get, as of the time below
	creditAt   int64
	answered   int // own answers this second
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
	calm          float64 // one answer in 10 takes longer
	base          float64 // the same when servers are not crowded
}

// request is one request taken, kept until it is answered and none of its attempts is out.
type request struct {
	Request
	class    *classState
	taken    int64
	deadline int64
	aim      int64   // the class's, stretched by the work hinted
	spent    int64   // time that its client has waited on earlier tries, where that shows
	until    int64   // when waiting unsent ends
	value    float64 // worth for the time it takes: who waits first and who is refused last
	tries    []attempt
	out      int
	home     uint64 // hash of the replica of its key; 0: none
	ended    bool
	started  bool // its stream has begun
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
	neverRan bool
}

// meet returns what is known of a listed server; a new one starts at the mean log-weight, not yet silent.
func (b *Balancer) meet(now int64, in Server) *server {
	s, met := b.known[in.ID]
	if !met {
		s = &server{hash: hash(in.ID), lastServed: now, health: make([]health, len(b.classes))}
		s.rank = mix(s.hash ^ b.salt)
		if b.talks() {
			s.rank = uint64(float64(s.rank) / math.Sqrt(b.near(in.Zone)))
		}
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
func (s *server) list(in Server, sized bool) {
	if !sized || !(in.Size > 0 && in.Size <= sizeMost) {
		in.Size = 1
	} else {
		s.peak = max(s.peak, in.Size)
	}
	s.Server, s.listed = in, in.Size
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
	if b.set.SizesLive {
		for _, s := range b.servers {
			peaks[s.Kind] = append(peaks[s.Kind], s.peak)
		}
		for _, p := range peaks {
			slices.Sort(p)
		}
	}
	for _, s := range b.servers {
		s.Size = s.listed
		if p := peaks[s.Kind]; len(p) > 0 && p[len(p)/2] > 0 {
			s.Size = p[len(p)/2]
		}
		sum += s.Size
	}
	for _, s := range b.servers {
		s.Size *= float64(len(b.servers)) / sum
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
}

// crowd is the mean number of own attempts per unit of size: a server that holds more is drawn again.
// Own attempts that pile up show a paused or slow server before its first answer does.
func (b *Balancer) crowd(now int64) float64 {
	size, out := 0.0, float64(b.out)
	if b.talks() {
		out = 0
	}
	for _, s := range b.arms {
		if !b.talks() {
			size += s.Size
		} else if !s.suspended {
			size, out = size+1, out+(b.held(now, s)+1)/s.Size
		}
	}
	return out / size
}

// silent tells whether attempts at s have gone without an answer for longer than answers take.
func (b *Balancer) silent(now int64, s *server) bool {
	patience := 0.0
	for i := range b.classes {
		patience = max(patience, b.classes[i].mark)
	}
	return s.inFlight > 0 && float64(now-s.heardAt) > patience
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

func (r *request) tried(s *server) bool {
	return slices.ContainsFunc(r.tries, func(a attempt) bool { return a.server == s })
}

// tell logs what befell a server.
func (b *Balancer) tell(event string, s *server, class int, format string, args ...any) {
	b.act.Log(fmt.Sprintf("%s server=%s class=%s "+format, append([]any{event, s.ID, b.classes[class].Name}, args...)...))
}

// forgetService lets old counts of requests fade, and the uncrowded mark rise.
func (b *Balancer) forgetService() {
	for i := range b.classes {
		c := &b.classes[i]
		c.taken, c.served, c.base = c.taken*keepService, c.served*keepService, c.base*baseRise
	}
	for i := range b.heat {
		b.heat[i] *= keepService
	}
	b.heats *= keepService
	for i := range b.tenants {
		b.tenants[i] *= keepService
	}
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
