package callchain

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"damsonscale/decide"
)

// event is a function that the simulation calls at a simulated time.
type event struct {
	at, seq int64 // time in µs, and sequence number that orders events of equal time
	do      func()
}

// events is a heap of events ordered by time.
type events []event

// Len implements heap.Interface.
func (q events) Len() int { return len(q) }

// Less implements heap.Interface.
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

// Swap implements heap.Interface.
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *events) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation is the state of a simulated chain.
type simulation struct {
	conf      Config
	now       int64 // µs
	seq       int64 // number of scheduled events
	queue     events
	random    *rand.Rand
	balancers [][]*balancer // by level, from the clients' to the deepest
	report    *Report

	// Counters by slot of a tenth of a second.
	requestsBySlot        []int // client requests
	servedBySlot          []int // served client requests, by the slot in which they were sent
	deepestAttemptsBySlot []int // attempts at the deepest level
}

// Run simulates a chain. Equal configurations give equal reports. It returns the error of Validate for an invalid configuration.
func Run(conf Config) (*Report, error) {
	if err := conf.Validate(); err != nil {
		return nil, err
	}
	slots := int((conf.Duration + drainTime) / time.Second * slotsPerSecond)
	s := &simulation{
		conf: conf, now: startMicros, random: rand.New(rand.NewPCG(conf.Seed, 7)), report: &Report{Config: conf, Levels: make([]Level, conf.Depth)},
		requestsBySlot: make([]int, slots), servedBySlot: make([]int, slots), deepestAttemptsBySlot: make([]int, slots),
	}
	s.startBalancers()
	lastRequest := startMicros + conf.Duration.Microseconds()
	s.scheduleRequest(0, lastRequest)
	for end := lastRequest + deadlineMicros + answerSlackMicros + sec; s.queue.Len() > 0 && s.queue[0].at <= end; {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.summarize()
	return s.report, nil
}

// startBalancers starts the balancers of all levels. All have the same endpoint list, as all services have equally many servers.
func (s *simulation) startBalancers() {
	var endpoints []decide.Endpoint
	for i := range s.conf.Servers {
		endpoints = append(endpoints, decide.Endpoint{ID: strconv.Itoa(i), Capacity: 1})
	}
	for level := 1; level <= s.conf.Depth; level++ {
		var balancers []*balancer
		for i := range s.conf.Width {
			b := &balancer{sim: s, level: level, pending: map[string]*pendingRequest{}}
			settings := s.conf.settings(level)
			settings.BalancerIndex = i
			b.core = decide.New(settings, s.conf.Seed<<16+uint64(level*1000+i), b)
			b.core.Start(s.now)
			b.core.OnEndpoints(s.now, endpoints, true)
			balancers = append(balancers, b)
		}
		s.balancers = append(s.balancers, balancers)
	}
}

// schedule calls a function after a simulated time in µs.
func (s *simulation) schedule(in int64, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + max(0, in), s.seq, do})
}

// slot returns the current slot.
func (s *simulation) slot() int {
	return min(int((s.now-startMicros)*slotsPerSecond/sec), len(s.requestsBySlot)-1)
}

// scheduleRequest schedules client requests at equal intervals, from request i up to a time in µs.
func (s *simulation) scheduleRequest(i int, until int64) {
	if at := startMicros + int64((float64(i)+0.5)*float64(sec)/s.conf.RequestsPerSecond); at < until {
		s.schedule(at-s.now, func() {
			s.scheduleRequest(i+1, until)
			s.sendRequest(i)
		})
	}
}

// sendRequest sends a client request to a random balancer and counts its result.
func (s *simulation) sendRequest(i int) {
	slot, answered := s.slot(), false
	s.requestsBySlot[slot]++
	s.report.Requests++
	s.schedule(deadlineMicros+answerSlackMicros, func() {
		if !answered {
			s.report.Unanswered++
		}
	})
	s.balancers[0][s.random.IntN(s.conf.Width)].accept(strconv.Itoa(i), deadlineMicros, func(result decide.Result) {
		answered = true
		if result == decide.Succeeded {
			s.servedBySlot[slot]++
		}
	})
}

// serve simulates a server that processes an attempt. left is the time in µs until the timeout of the attempt.
func (s *simulation) serve(level, server int, id string, left int64, answer func(decide.Result)) {
	if level == s.conf.Depth {
		s.serveDeepest(server, answer)
		return
	}
	work := msec/2 + s.random.Int64N(msec) // processing time before the call to the next service
	s.schedule(work, func() {
		s.balancers[level][server%s.conf.Width].accept(id, left-work-transitMicros, func(result decide.Result) {
			answer(s.conf.Pass.answer(result))
		})
	})
}

// answer returns the answer of a service to its caller, given the result of the service's own call.
func (p PassPolicy) answer(result decide.Result) decide.Result {
	switch {
	case result == decide.Succeeded || p == PassRejections:
		return result
	case p == PassInvalidRequest:
		return decide.InvalidRequest
	}
	return decide.Errored
}

// serveDeepest simulates a server of the deepest service that processes an attempt, with the configured fault.
func (s *simulation) serveDeepest(server int, answer func(decide.Result)) {
	work, faulty := 5*msec+s.random.Int64N(10*msec), s.random.Float64() < s.conf.FaultShare
	result := decide.Succeeded
	switch {
	case !s.faultActive():
	case s.conf.Fault == Crash:
		if float64(server) < math.Ceil(s.conf.FaultShare*float64(s.conf.Servers)) {
			work, result = 0, decide.ConnectFailed
		}
	case !faulty:
	case s.conf.Fault == Rejected:
		work, result = 0, decide.Saturated
	case s.conf.Fault == Slow:
		work = slowAnswerMicros
	default:
		result = decide.Errored
	}
	s.schedule(work, func() { answer(result) })
}

// faultActive reports whether the fault is active at the current time.
func (s *simulation) faultActive() bool {
	from := startMicros + s.conf.FaultStart.Microseconds()
	return s.now >= from && (s.conf.FaultDuration == 0 || s.now < from+s.conf.FaultDuration.Microseconds())
}
