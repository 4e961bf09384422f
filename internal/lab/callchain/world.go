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

// world is the whole chain.
type world struct {
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
	w := &world{
		conf: conf, now: startMicros, random: rand.New(rand.NewPCG(conf.Seed, 7)), report: &Report{Config: conf, Levels: make([]Level, conf.Depth)},
		requestsBySlot: make([]int, slots), servedBySlot: make([]int, slots), deepestAttemptsBySlot: make([]int, slots),
	}
	w.startBalancers()
	lastRequest := startMicros + conf.Duration.Microseconds()
	w.scheduleRequest(0, lastRequest)
	for end := lastRequest + deadlineMicros + answerSlackMicros + sec; w.queue.Len() > 0 && w.queue[0].at <= end; {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.summarize()
	return w.report, nil
}

// startBalancers starts the balancers of all levels, with the endpoint list of the service below.
func (w *world) startBalancers() {
	var endpoints []decide.Endpoint
	for i := range w.conf.Servers {
		endpoints = append(endpoints, decide.Endpoint{ID: strconv.Itoa(i), Capacity: 1})
	}
	for level := 1; level <= w.conf.Depth; level++ {
		var balancers []*balancer
		for i := range w.conf.Width {
			b := &balancer{world: w, level: level, pending: map[string]*pendingRequest{}}
			settings := w.conf.settings(level)
			settings.BalancerIndex = i
			b.core = decide.New(settings, w.conf.Seed<<16+uint64(level*1000+i), b)
			b.core.Start(w.now)
			b.core.OnEndpoints(w.now, endpoints, true)
			balancers = append(balancers, b)
		}
		w.balancers = append(w.balancers, balancers)
	}
}

// schedule has something happen after a time in µs.
func (w *world) schedule(in int64, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + max(0, in), w.seq, do})
}

// slot returns the present slot of counts.
func (w *world) slot() int {
	return min(int((w.now-startMicros)*slotsPerSecond/sec), len(w.requestsBySlot)-1)
}

// scheduleRequest schedules the clients' requests from number i on until a time, evenly spaced.
func (w *world) scheduleRequest(i int, until int64) {
	if at := startMicros + int64((float64(i)+0.5)*float64(sec)/w.conf.RequestsPerSecond); at < until {
		w.schedule(at-w.now, func() {
			w.scheduleRequest(i+1, until)
			w.sendRequest(i)
		})
	}
}

// sendRequest sends a client's request to a random balancer, and counts its answers.
func (w *world) sendRequest(i int) {
	slot, answered := w.slot(), false
	w.requestsBySlot[slot]++
	w.report.Requests++
	w.schedule(deadlineMicros+answerSlackMicros, func() {
		if !answered {
			w.report.Unanswered++
		}
	})
	w.balancers[0][w.random.IntN(w.conf.Width)].accept(strconv.Itoa(i), deadlineMicros, func(result decide.Result) {
		answered = true
		if result == decide.Succeeded {
			w.servedBySlot[slot]++
		}
	})
}

// serve has a server work on an attempt that has reached it with some time left, in µs. The answer may never come.
func (w *world) serve(level, server int, id string, left int64, answer func(decide.Result)) {
	if level == w.conf.Depth {
		w.serveDeepest(server, answer)
		return
	}
	work := msec/2 + w.random.Int64N(msec) // before its own call
	w.schedule(work, func() {
		w.balancers[level][server%w.conf.Width].accept(id, left-work-transitMicros, func(result decide.Result) {
			answer(w.conf.Pass.answer(result))
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
func (w *world) serveDeepest(server int, answer func(decide.Result)) {
	work, faulty := 5*msec+w.random.Int64N(10*msec), w.random.Float64() < w.conf.FaultShare
	result := decide.Succeeded
	switch {
	case !w.faultActive():
	case w.conf.Fault == Crash:
		if float64(server) < math.Ceil(w.conf.FaultShare*float64(w.conf.Servers)) {
			work, result = 0, decide.ConnectFailed
		}
	case !faulty:
	case w.conf.Fault == Rejected:
		work, result = 0, decide.Saturated
	case w.conf.Fault == Slow:
		work = slowAnswerMicros
	default:
		result = decide.Errored
	}
	w.schedule(work, func() { answer(result) })
}

// faultActive reports whether the fault lasts now.
func (w *world) faultActive() bool {
	from := startMicros + w.conf.FaultStart.Microseconds()
	return w.now >= from && (w.conf.FaultDuration == 0 || w.now < from+w.conf.FaultDuration.Microseconds())
}
