package callchain

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"damsonscale/decide"
)

// event is something that happens at a time.
type event struct {
	at, seq int64 // µs; order of scheduling, for events of one time
	do      func()
}

// events is a heap of events by time.
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

// simulation is the whole chain.
type simulation struct {
	conf      Config
	now       int64 // µs
	seq       int64 // events scheduled
	queue     events
	random    *rand.Rand
	balancers [][]*balancer // by level, the clients' first
	report    *Report

	// Counts by slot of a tenth of a second.
	requestsBySlot        []int // of clients
	servedBySlot          []int // of them, by the slot in which they were sent
	deepestAttemptsBySlot []int
}

// Run simulates a chain. It returns the same report for the same configuration. Its error is that of Validate.
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

// startBalancers starts the balancers of all levels, with the endpoint list of the service below.
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

// schedule has something happen after a time in µs.
func (s *simulation) schedule(in int64, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + max(0, in), s.seq, do})
}

// slot returns the present slot of counts.
func (s *simulation) slot() int {
	return min(int((s.now-startMicros)*slotsPerSecond/sec), len(s.requestsBySlot)-1)
}

// scheduleRequest schedules the clients' requests from number i on until a time, evenly spaced.
func (s *simulation) scheduleRequest(i int, until int64) {
	if at := startMicros + int64((float64(i)+0.5)*float64(sec)/s.conf.RequestsPerSecond); at < until {
		s.schedule(at-s.now, func() {
			s.scheduleRequest(i+1, until)
			s.sendRequest(i)
		})
	}
}

// sendRequest sends a client's request to a random balancer, and counts its answers.
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

// serve has a server work on an attempt that has reached it with some time left, in µs. The answer may never come.
func (s *simulation) serve(level, server int, id string, left int64, answer func(decide.Result)) {
	if level == s.conf.Depth {
		s.serveDeepest(server, answer)
		return
	}
	work := msec/2 + s.random.Int64N(msec) // before its own call
	s.schedule(work, func() {
		s.balancers[level][server%s.conf.Width].accept(id, left-work-transitMicros, func(result decide.Result) {
			answer(s.conf.Pass.answer(result))
		})
	})
}

// answer returns how a service answers when its own call had a result.
func (p PassPolicy) answer(result decide.Result) decide.Result {
	switch {
	case result == decide.Succeeded || p == PassRejections:
		return result
	case p == PassInvalidRequest:
		return decide.InvalidRequest
	}
	return decide.Errored
}

// serveDeepest has a server of the deepest service work on an attempt, with its faults.
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

// faultActive reports whether the fault lasts now.
func (s *simulation) faultActive() bool {
	from := startMicros + s.conf.FaultStart.Microseconds()
	return s.now >= from && (s.conf.FaultDuration == 0 || s.now < from+s.conf.FaultDuration.Microseconds())
}
