package decide

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// tailSimulation plays some balancers before servers whose times are drawn: how slow an answer is has nothing
// to do with what is in flight, unless the servers have places. It counts what becomes of requests.
type tailSimulation struct {
	now    int64
	rng    *rand.Rand
	bs     []*Balancer
	names  map[string]int
	set    []tailServer
	open   map[string]*tailRequest
	queue  []tailEvent // by time
	asked  int
	how    map[string]int
	points float64 // earned of worth 1 each: whole within the aim, LateValueShare after
}

// tailServer draws its times from a list, each as likely; places 0: any number at once.
type tailServer struct {
	times  []int64 // µs
	places int
	busy   []int64 // when each place is free
	then   []int64 // the times from changeAt on; nil: the same
	fewer  int     // places from then on; 0: as many
	jam    int64   // of work that it holds at the start, µs for each place
}

const changeAt = 10 // s

type tailRequest struct {
	in    Request
	at    int64
	tries int
	over  bool
}

type tailEvent struct {
	at int64
	do func()
}

// tailActions carries out what one balancer does.
type tailActions struct {
	noActions
	t *tailSimulation
	i int
}

func (t *tailSimulation) after(in int64, do func()) {
	e := tailEvent{t.now + in, do}
	at, _ := slices.BinarySearchFunc(t.queue, e, func(a, b tailEvent) int { return cmp.Or(cmp.Compare(a.at, b.at), -1) })
	t.queue = slices.Insert(t.queue, at, e)
}

func (m *tailActions) SetTimer(in, token int64) {
	m.t.after(max(in, 1), func() { m.t.bs[m.i].OnTimer(m.t.now, token) })
}

func (m *tailActions) SendAttempt(id, server string, timeout int64) {
	t := m.t
	r, s := t.open[id], &t.set[t.names[server]]
	n, sent := r.tries, t.now
	r.tries++
	times, places := s.times, s.places
	if t.now >= (1000+changeAt)*second {
		if s.then != nil {
			times = s.then
		}
		if s.fewer > 0 {
			places = s.fewer
		}
	}
	takes := times[t.rng.IntN(len(times))]
	begins := t.now
	if places > 0 {
		for len(s.busy) < s.places {
			s.busy = append(s.busy, 1000*second+s.jam)
		}
		at := 0
		for i := range s.busy[:places] {
			if s.busy[i] < s.busy[at] {
				at = i
			}
		}
		begins = max(begins, s.busy[at])
		s.busy[at] = begins + takes
	}
	done, result := begins+takes-sent, Succeeded
	if timeout > 0 && done > timeout {
		done, result = timeout, TimedOut
	}
	t.after(done, func() {
		if result == Succeeded && !r.over {
			t.ends(id, "served")
		}
		t.bs[m.i].OnOutcome(t.now, Outcome{Request: id, Attempt: n, Server: server, Result: result, Latency: t.now - sent, RequestAnswered: r.over})
	})
}

func (m *tailActions) Reject(id string, _ int64) { m.t.ends(id, "refused") }

func (m *tailActions) Fail(id string) { m.t.ends(id, "failed") }

func (t *tailSimulation) ends(id, how string) {
	r := t.open[id]
	if r.over {
		return
	}
	r.over = true
	t.how[how]++
	class := t.bs[0].settings.Classes[r.in.Class]
	switch late := t.now-r.at > class.LatencyObjective; {
	case how == "served" && late:
		t.points += class.LateValueShare
	case how == "served":
		t.points++
	}
}

// tailSettings are two classes with objectives of 200 and 400 ms, deadlines of 2 s, and 0.3 for late answers.
func tailSettings() Settings {
	set := testSettings()
	set.Classes = []Class{
		{Name: "quick", LatencyObjective: 200_000, Deadline: 2 * second, PriorityWeight: 1, LateValueShare: 0.3, Semantics: Idempotent},
		{Name: "slow", LatencyObjective: 400_000, Deadline: 2 * second, PriorityWeight: 1, LateValueShare: 0.3, Semantics: Idempotent},
	}
	return set
}

// playTails has n balancers take so many requests a second together, for some seconds.
func playTails(n int, perSecond, seconds float64, seed uint64, set ...tailServer) *tailSimulation {
	t := &tailSimulation{now: 1000 * second, rng: rand.New(rand.NewPCG(seed, 5)), names: map[string]int{}, set: set, open: map[string]*tailRequest{}, how: map[string]int{}}
	var list []Endpoint
	for i := range set {
		id := fmt.Sprint("s", i)
		t.names[id] = i
		list = append(list, Endpoint{ID: id, Capacity: 1, Zone: "a"})
	}
	for i := range n {
		s := tailSettings()
		s.BalancerIndex, s.BalancerCount = i, n
		b := New(s, seed+uint64(i), &tailActions{t: t, i: i})
		t.bs = append(t.bs, b)
		b.Start(t.now)
		b.OnEndpoints(t.now, list, true)
	}
	var next func()
	next = func() {
		t.asked++
		id, i := fmt.Sprint("r", t.asked), t.rng.IntN(n)
		r := &tailRequest{in: Request{ID: id, Class: t.asked % 2, Tenant: -1, TimeLeft: 2 * second}, at: t.now}
		t.open[id] = r
		t.bs[i].OnRequest(t.now, r.in)
		t.after(1+int64(t.rng.ExpFloat64()*float64(second)/perSecond), next)
	}
	t.after(1, next)
	for end := t.now + int64(seconds*float64(second)); t.now < end; {
		e := t.queue[0]
		t.queue = t.queue[1:]
		t.now = e.at
		e.do()
	}
	return t
}

func slowTimes(all ...[]int64) (out []tailServer) {
	for _, times := range all {
		out = append(out, tailServer{times: times})
	}
	return out
}

func alikeServers(times ...int64) []tailServer { return slowTimes(times, times, times, times) }

var tailRows = []struct {
	name      string
	perSecond float64
	set       func() []tailServer
	earns     float64 // where room is short: what was earned by limits that fell with each late answer
}{
	{"20 50 100 100", 200, func() []tailServer { return alikeServers(20_000, 50_000, 100_000, 100_000) }, 0},
	{"50 nine in ten, 400", 200, func() []tailServer {
		return alikeServers(50_000, 50_000, 50_000, 50_000, 50_000, 50_000, 50_000, 50_000, 50_000, 400_000)
	}, 0},
	{"50 50 250 250", 200, func() []tailServer { return alikeServers(50_000, 50_000, 250_000, 250_000) }, 0},
	{"50 four in five, 400", 200, func() []tailServer { return alikeServers(50_000, 50_000, 50_000, 50_000, 400_000) }, 0},
	{"250 always", 200, func() []tailServer { return alikeServers(250_000) }, 0},
	{"20 50 100 400", 200, func() []tailServer { return alikeServers(20_000, 50_000, 100_000, 400_000) }, 0},
	{"10 50 600", 200, func() []tailServer { return alikeServers(10_000, 50_000, 600_000) }, 0},
	{"one server of four 400", 200, func() []tailServer {
		return slowTimes([]int64{50_000}, []int64{50_000}, []int64{50_000}, []int64{400_000})
	}, 0},
	{"a tail that comes", 200, func() []tailServer {
		return alterServers(alikeServers(50_000), func(s *tailServer) { s.then = []int64{50_000, 50_000, 400_000} })
	}, 0},
	{"a tail that goes", 200, func() []tailServer {
		return alterServers(alikeServers(50_000, 50_000, 400_000), func(s *tailServer) { s.then = []int64{50_000} })
	}, 0},
	{"two places of 50, offered 140", 140, func() []tailServer { return limitedServers(2, 50_000) }, 0},
	{"two places of 50, offered 200", 200, func() []tailServer { return limitedServers(2, 50_000) }, 0.752},
	{"two places of 50, offered 400", 400, func() []tailServer { return limitedServers(2, 50_000) }, 0.381},
	{"the same, a jam at the start", 200, func() []tailServer {
		return alterServers(limitedServers(2, 50_000), func(s *tailServer) { s.jam = second })
	}, 0.702},
	{"six of 50 and 400, offered 100", 100, func() []tailServer { return limitedServers(6, 50_000, 50_000, 50_000, 50_000, 400_000) }, 0},
	{"six of 50 and 400, offered 300", 300, func() []tailServer { return limitedServers(6, 50_000, 50_000, 50_000, 50_000, 400_000) }, 0.582},
	{"six, then two of 50 and 400", 120, func() []tailServer {
		return alterServers(limitedServers(6, 50_000, 50_000, 50_000, 50_000, 400_000), func(s *tailServer) { s.fewer = 2 })
	}, 0.568},
}

// limitedServers are four servers that take so many at once.
func limitedServers(places int, times ...int64) []tailServer {
	out := alikeServers(times...)
	for i := range out {
		out[i].places = places
	}
	return out
}

func alterServers(set []tailServer, how func(*tailServer)) []tailServer {
	for i := range set {
		how(&set[i])
	}
	return set
}

// Where answers are slow by nature hardly anything is rejected, and where capacity is short the limits hold:
// what is earned may fall by chance alone. Figures are of the simulation, and the same at each run.
func TestLimitsTellTailFromCongestion(t *testing.T) {
	for _, row := range tailRows {
		got := playTails(3, row.perSecond, 30, 1, row.set()...)
		all := float64(got.how["served"] + got.how["refused"] + got.how["failed"])
		if rejected := float64(got.how["refused"]) / all; row.earns == 0 && rejected > 0.01 {
			t.Errorf("%s: %.1f%% rejected", row.name, 100*rejected)
		}
		if earned := got.points / all; earned < row.earns-0.02 {
			t.Errorf("%s: %.1f%% earned, %.1f%% before", row.name, 100*earned, 100*row.earns)
		}
	}
}

// BenchmarkTails measures how much is rejected, and earned, where answers are slow by nature and where
// capacity is short: three balancers and sixty, four servers, 30 s. docs/limits.md has its figures.
func BenchmarkTails(b *testing.B) {
	for _, row := range tailRows {
		for _, n := range []int{3, 60} {
			benchmarkTails(b, fmt.Sprint(row.name, ", ", n), func() *tailSimulation { return playTails(n, row.perSecond, 30, 1, row.set()...) })
		}
	}
}

func benchmarkTails(b *testing.B, name string, play func() *tailSimulation) {
	b.Run(name, func(b *testing.B) {
		var t *tailSimulation
		for b.Loop() {
			t = play()
		}
		all := float64(t.how["served"] + t.how["refused"] + t.how["failed"])
		b.ReportMetric(100*float64(t.how["refused"])/all, "%refused")
		b.ReportMetric(100*t.points/all, "%earned")
		b.ReportMetric(t.bs[0].pool.limit, "density")
	})
}
