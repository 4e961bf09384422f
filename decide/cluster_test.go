package decide

import (
	"fmt"
	"math/rand/v2"
)

// cluster hosts many balancers before one set of endpoints that answer everything after the same time. It is
// no model of endpoints: it counts what all balancers together send to each.
type cluster struct {
	now            int64
	balancers      []*Balancer
	trafficWeights []float64 // of each balancer's part of the traffic
	weightSum      float64
	rng            *rand.Rand
	pending        []clusterAttempt
	attemptsSent   int
	requestsSent   int
	onSend         func(server string) // told of each send
	busyUntil      map[string]int64    // when each server has done what it holds; nil: answers take 60 ms whatever is held
	keyCount       int                 // that requests ask for; 0: none
	answerCounts   map[bool]int        // answers of late: within the aim or not
	answersBlocked bool                // no answer comes
}

type clusterAttempt struct {
	balancer *Balancer
	request  string
	attempt  int
	server   string
	sentAt   int64
	answerAt int64
}

// noActions carries out nothing.
type noActions struct{}

func (noActions) SendAttempt(string, string, int64) {}

func (noActions) CancelAttempt(string, int) {}

func (noActions) Reject(string, int64) {}

func (noActions) Fail(string) {}

func (noActions) CheckHealth(string) {}

func (noActions) WatchEndpoints(bool) {}

func (noActions) SetTimer(int64, int64) {}

func (noActions) Log(string) {}

func (noActions) CloseIdleConnections(string) {}

func (noActions) SendGossip(int, []byte) {}

// clusterActions are one balancer's Actions: only its sends count.
type clusterActions struct {
	noActions
	cluster       *cluster
	balancer      *Balancer
	attemptCounts map[string]int
}

func (m *clusterActions) SendAttempt(request, server string, _ int64) {
	answerAt := m.cluster.now + 60_000
	if m.cluster.busyUntil != nil { // one after the other, 30 ms each, and 30 ms on the way
		answerAt = max(m.cluster.now, m.cluster.busyUntil[server]) + 30_000
		m.cluster.busyUntil[server] = answerAt
		answerAt += 30_000
	}
	m.cluster.pending = append(m.cluster.pending, clusterAttempt{m.balancer, request, m.attemptCounts[request], server, m.cluster.now, answerAt})
	m.attemptCounts[request]++
	m.cluster.attemptsSent++
	if m.cluster.onSend != nil {
		m.cluster.onSend(server)
	}
}

// newCluster makes n balancers; skew 0 spreads traffic evenly, more gives most of it to the first ones.
func newCluster(n int, set Settings, skew float64, servers []Endpoint) *cluster {
	return newSeededCluster(0, n, set, skew, servers)
}

// newSeededCluster does so with seeds of its own.
func newSeededCluster(seed uint64, n int, set Settings, skew float64, servers []Endpoint) *cluster {
	c := &cluster{now: 1000 * second, rng: rand.New(rand.NewPCG(3, 3+seed))}
	for i := range n {
		c.balancers = append(c.balancers, c.startBalancer(seed, i, n, set, servers))
		weight := 1.0
		if skew > 0 {
			weight = 1 / (skew*float64(i) + 1)
		}
		c.trafficWeights = append(c.trafficWeights, weight)
		c.weightSum += weight
	}
	return c
}

// join starts one balancer.
func (c *cluster) startBalancer(seed uint64, index, n int, set Settings, servers []Endpoint) *Balancer {
	set.BalancerIndex, set.BalancerCount = index, n
	m := &clusterActions{cluster: c, attemptCounts: map[string]int{}}
	m.balancer = New(set, seed<<16+uint64(index+1), m)
	m.balancer.Start(c.now)
	m.balancer.OnEndpoints(c.now, servers, true)
	return m.balancer
}

// run plays so many requests a second; each attempt is answered after 60 ms.
func (c *cluster) run(seconds, perSecond int) {
	for end := c.now + int64(seconds)*second; c.now < end; {
		c.step(perSecond * clusterTick / int(second))
	}
}

const clusterTick = 5000 // µs

// step lets a tick pass: answers come, unless they are held up, then so many requests.
func (c *cluster) step(requests int) {
	c.now += clusterTick
	var stillPending []clusterAttempt
	pending := c.pending
	c.pending = nil
	for _, a := range pending {
		if c.now < a.answerAt || c.answersBlocked {
			stillPending = append(stillPending, a)
			continue
		}
		if c.answerCounts != nil {
			c.answerCounts[c.now-a.sentAt <= 400_000]++
		}
		a.balancer.OnOutcome(c.now, Outcome{Request: a.request, Attempt: a.attempt, Server: a.server, Result: Succeeded,
			Latency: c.now - a.sentAt, RequestAnswered: true})
	}
	c.pending = append(stillPending, c.pending...)
	if c.now%second == 0 {
		for _, b := range c.balancers {
			b.OnTimer(c.now, timerSecond)
		}
	}
	for range requests {
		x, i := c.rng.Float64()*c.weightSum, 0
		for i < len(c.balancers)-1 && x >= c.trafficWeights[i] {
			x -= c.trafficWeights[i]
			i++
		}
		c.sendRequest(i)
	}
}

// sendRequest gives a request to balancer i.
func (c *cluster) sendRequest(i int) {
	c.requestsSent++
	r := Request{ID: fmt.Sprint("r", c.requestsSent), Tenant: -1, TimeLeft: 2 * second}
	if c.keyCount > 0 {
		r.Key = fmt.Sprint("k", c.rng.IntN(c.keyCount))
	}
	c.balancers[i].OnRequest(c.now, r)
}

// sendsToStartingServer lists an endpoint that starts now, and returns the times of what is sent to it in
// some seconds.
func (c *cluster) sendsToStartingEndpoint(seconds, perSecond int) (times []int64) {
	c.onSend = func(id string) {
		if id == "cold" {
			times = append(times, c.now)
		}
	}
	for _, b := range c.balancers {
		b.OnEndpoints(c.now, []Endpoint{{ID: "cold", Capacity: 1, Zone: "z0", StartedAt: c.now}}, false)
	}
	c.run(seconds, perSecond)
	return times
}
