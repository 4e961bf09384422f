package decide

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// tailSimulation runs some balancers in front of servers whose response times are drawn at random. A response
// time does not depend on the number of attempts in flight unless the servers limit their concurrency. The
// simulation counts the answers of requests.
type tailSimulation struct {
	now          int64
	rng          *rand.Rand
	balancers    []*Balancer
	serverIndex  map[string]int
	servers      []tailServer
	requests     map[string]*tailRequest
	events       []tailEvent // ordered by time
	requestCount int
	answerCounts map[string]int
	earnedValue  float64 // sum over requests: 1 for an answer within the latency objective, LateValueShare for a later one
}

// tailServer draws its response times from a list with equal probability. With concurrency 0 it processes any
// number of requests at once.
type tailServer struct {
	responseTimes      []int64 // µs
	concurrency        int
	slotFreeAt         []int64 // when each slot is free
	laterResponseTimes []int64 // response times from changeAtSeconds on; nil: no change
	laterConcurrency   int     // concurrency from changeAtSeconds on; 0: no change
	initialBacklog     int64   // work queued at the start, in µs per slot
}

const changeAtSeconds = 10

type tailRequest struct {
	request   Request
	arrivedAt int64
	attempts  int
	ended     bool
}

type tailEvent struct {
	at  int64
	run func()
}

// tailActions carries out the actions of one balancer.
type tailActions struct {
	noActions
	sim   *tailSimulation
	index int
}

func (t *tailSimulation) schedule(in int64, run func()) {
	e := tailEvent{t.now + in, run}
	at, _ := slices.BinarySearchFunc(t.events, e, func(a, b tailEvent) int { return cmp.Or(cmp.Compare(a.at, b.at), -1) })
	t.events = slices.Insert(t.events, at, e)
}

func (m *tailActions) SetTimer(in, token int64) {
	m.sim.schedule(max(in, 1), func() { m.sim.balancers[m.index].OnTimer(m.sim.now, token) })
}

func (m *tailActions) SendAttempt(id, server string, timeout int64) {
	t := m.sim
	r, s := t.requests[id], &t.servers[t.serverIndex[server]]
	n, sent := r.attempts, t.now
	r.attempts++
	responseTimes, concurrency := s.responseTimes, s.concurrency
	if t.now >= (1000+changeAtSeconds)*second {
		if s.laterResponseTimes != nil {
			responseTimes = s.laterResponseTimes
		}
		if s.laterConcurrency > 0 {
			concurrency = s.laterConcurrency
		}
	}
	responseTime := responseTimes[t.rng.IntN(len(responseTimes))]
	startsAt := t.now
	if concurrency > 0 {
		for len(s.slotFreeAt) < s.concurrency {
			s.slotFreeAt = append(s.slotFreeAt, 1000*second+s.initialBacklog)
		}
		slot := 0
		for i := range s.slotFreeAt[:concurrency] {
			if s.slotFreeAt[i] < s.slotFreeAt[slot] {
				slot = i
			}
		}
		startsAt = max(startsAt, s.slotFreeAt[slot])
		s.slotFreeAt[slot] = startsAt + responseTime
	}
	duration, result := startsAt+responseTime-sent, Succeeded
	if timeout > 0 && duration > timeout {
		duration, result = timeout, TimedOut
	}
	t.schedule(duration, func() {
		if result == Succeeded && !r.ended {
			t.endRequest(id, "served")
		}
		t.balancers[m.index].OnOutcome(t.now, Outcome{Request: id, Attempt: n, Server: server, Result: result, Latency: t.now - sent, RequestAnswered: r.ended})
	})
}

func (m *tailActions) Reject(id string, _ int64) { m.sim.endRequest(id, "refused") }

func (m *tailActions) Fail(id string) { m.sim.endRequest(id, "failed") }

func (t *tailSimulation) endRequest(id, answer string) {
	r := t.requests[id]
	if r.ended {
		return
	}
	r.ended = true
	t.answerCounts[answer]++
	class := t.balancers[0].settings.Classes[r.request.Class]
	switch late := t.now-r.arrivedAt > class.LatencyObjective; {
	case answer == "served" && late:
		t.earnedValue += class.LateValueShare
	case answer == "served":
		t.earnedValue++
	}
}

// tailSettings has two classes with latency objectives of 200 and 400 ms, deadlines of 2 s, and a value of
// 0.3 for late answers.
func tailSettings() Settings {
	set := testSettings()
	set.Classes = []Class{
		{Name: "quick", LatencyObjective: 200_000, Deadline: 2 * second, PriorityWeight: 1, LateValueShare: 0.3, Semantics: Idempotent},
		{Name: "slow", LatencyObjective: 400_000, Deadline: 2 * second, PriorityWeight: 1, LateValueShare: 0.3, Semantics: Idempotent},
	}
	return set
}

// runTailSimulation sends perSecond requests per second to n balancers together for some seconds.
func runTailSimulation(n int, perSecond, seconds float64, seed uint64, servers ...tailServer) *tailSimulation {
	t := &tailSimulation{now: 1000 * second, rng: rand.New(rand.NewPCG(seed, 5)), serverIndex: map[string]int{}, servers: servers, requests: map[string]*tailRequest{}, answerCounts: map[string]int{}}
	var list []Endpoint
	for i := range servers {
		id := fmt.Sprint("s", i)
		t.serverIndex[id] = i
		list = append(list, Endpoint{ID: id, Capacity: 1, Zone: "a"})
	}
	for i := range n {
		settings := tailSettings()
		settings.BalancerIndex, settings.BalancerCount = i, n
		b := New(settings, seed+uint64(i), &tailActions{sim: t, index: i})
		t.balancers = append(t.balancers, b)
		b.Start(t.now)
		b.OnEndpoints(t.now, list, true)
	}
	var next func()
	next = func() {
		t.requestCount++
		id, i := fmt.Sprint("r", t.requestCount), t.rng.IntN(n)
		r := &tailRequest{request: Request{ID: id, Class: t.requestCount % 2, Tenant: -1, TimeLeft: 2 * second}, arrivedAt: t.now}
		t.requests[id] = r
		t.balancers[i].OnRequest(t.now, r.request)
		t.schedule(1+int64(t.rng.ExpFloat64()*float64(second)/perSecond), next)
	}
	t.schedule(1, next)
	for end := t.now + int64(seconds*float64(second)); t.now < end; {
		e := t.events[0]
		t.events = t.events[1:]
		t.now = e.at
		e.run()
	}
	return t
}

func serversWithTimes(all ...[]int64) (servers []tailServer) {
	for _, times := range all {
		servers = append(servers, tailServer{responseTimes: times})
	}
	return servers
}

func identicalServers(times ...int64) []tailServer {
	return serversWithTimes(times, times, times, times)
}

// minEarned is the share of the value earned by limits that fell with each late answer, in the cases where
// capacity is short; 0 elsewhere.
var tailCases = []struct {
	name      string
	perSecond float64
	servers   func() []tailServer
	minEarned float64
}{
	{"20, 50, 100 or 100 ms", 200, func() []tailServer { return identicalServers(20_000, 50_000, 100_000, 100_000) }, 0},
	{"50 ms, one in ten 400 ms", 200, func() []tailServer {
		return identicalServers(50_000, 50_000, 50_000, 50_000, 50_000, 50_000, 50_000, 50_000, 50_000, 400_000)
	}, 0},
	{"50, 50, 250 or 250 ms", 200, func() []tailServer { return identicalServers(50_000, 50_000, 250_000, 250_000) }, 0},
	{"50 ms, one in five 400 ms", 200, func() []tailServer { return identicalServers(50_000, 50_000, 50_000, 50_000, 400_000) }, 0},
	{"always 250 ms", 200, func() []tailServer { return identicalServers(250_000) }, 0},
	{"20, 50, 100 or 400 ms", 200, func() []tailServer { return identicalServers(20_000, 50_000, 100_000, 400_000) }, 0},
	{"10, 50 or 600 ms", 200, func() []tailServer { return identicalServers(10_000, 50_000, 600_000) }, 0},
	{"one server of four 400 ms", 200, func() []tailServer {
		return serversWithTimes([]int64{50_000}, []int64{50_000}, []int64{50_000}, []int64{400_000})
	}, 0},
	{"tail latency appears", 200, func() []tailServer {
		return modifyServers(identicalServers(50_000), func(s *tailServer) { s.laterResponseTimes = []int64{50_000, 50_000, 400_000} })
	}, 0},
	{"tail latency disappears", 200, func() []tailServer {
		return modifyServers(identicalServers(50_000, 50_000, 400_000), func(s *tailServer) { s.laterResponseTimes = []int64{50_000} })
	}, 0},
	{"concurrency 2, 50 ms, 140 requests/s", 140, func() []tailServer { return limitedServers(2, 50_000) }, 0},
	{"concurrency 2, 50 ms, 200 requests/s", 200, func() []tailServer { return limitedServers(2, 50_000) }, 0.752},
	{"concurrency 2, 50 ms, 400 requests/s", 400, func() []tailServer { return limitedServers(2, 50_000) }, 0.381},
	{"concurrency 2, 50 ms, 200 requests/s, initial backlog", 200, func() []tailServer {
		return modifyServers(limitedServers(2, 50_000), func(s *tailServer) { s.initialBacklog = second })
	}, 0.702},
	{"concurrency 6, one in five 400 ms, 100 requests/s", 100, func() []tailServer { return limitedServers(6, 50_000, 50_000, 50_000, 50_000, 400_000) }, 0},
	{"concurrency 6, one in five 400 ms, 300 requests/s", 300, func() []tailServer { return limitedServers(6, 50_000, 50_000, 50_000, 50_000, 400_000) }, 0.582},
	{"concurrency drops from 6 to 2, one in five 400 ms", 120, func() []tailServer {
		return modifyServers(limitedServers(6, 50_000, 50_000, 50_000, 50_000, 400_000), func(s *tailServer) { s.laterConcurrency = 2 })
	}, 0.568},
}

// limitedServers returns four servers that process up to concurrency requests at once.
func limitedServers(concurrency int, times ...int64) []tailServer {
	servers := identicalServers(times...)
	for i := range servers {
		servers[i].concurrency = concurrency
	}
	return servers
}

func modifyServers(servers []tailServer, modify func(*tailServer)) []tailServer {
	for i := range servers {
		modify(&servers[i])
	}
	return servers
}

// Hardly any request is rejected if answers are slow for reasons other than load, and the limits still hold
// if capacity is short: the value earned may fall by chance alone. The simulation is deterministic.
func TestLimitsDistinguishTailFromCongestion(t *testing.T) {
	for _, c := range tailCases {
		got := runTailSimulation(3, c.perSecond, 30, 1, c.servers()...)
		total := float64(got.answerCounts["served"] + got.answerCounts["refused"] + got.answerCounts["failed"])
		if rejected := float64(got.answerCounts["refused"]) / total; c.minEarned == 0 && rejected > 0.01 {
			t.Errorf("%s: %.1f%% of the requests rejected, want at most 1%%", c.name, 100*rejected)
		}
		if earned := got.earnedValue / total; earned < c.minEarned-0.02 {
			t.Errorf("%s: %.1f%% of the value earned, want at least %.1f%% less 2 points", c.name, 100*earned, 100*c.minEarned)
		}
	}
}

// BenchmarkTails reports the shares of rejected requests and of earned value if answers are slow for reasons
// other than load and if capacity is short, for 3 and for 60 balancers with four servers over 30 s.
// docs/limits.md lists its figures.
func BenchmarkTails(b *testing.B) {
	for _, c := range tailCases {
		for _, n := range []int{3, 60} {
			benchmarkTails(b, fmt.Sprint(c.name, ", ", n), func() *tailSimulation { return runTailSimulation(n, c.perSecond, 30, 1, c.servers()...) })
		}
	}
}

func benchmarkTails(b *testing.B, name string, simulate func() *tailSimulation) {
	b.Run(name, func(b *testing.B) {
		var t *tailSimulation
		for b.Loop() {
			t = simulate()
		}
		total := float64(t.answerCounts["served"] + t.answerCounts["refused"] + t.answerCounts["failed"])
		b.ReportMetric(100*float64(t.answerCounts["refused"])/total, "%refused")
		b.ReportMetric(100*t.earnedValue/total, "%earned")
		b.ReportMetric(t.balancers[0].pool.limit, "density")
	})
}
