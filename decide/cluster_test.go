package decide

import (
	"fmt"
	"math/rand/v2"
)

// cluster runs many balancers in front of one list of endpoints and counts the attempts that all balancers
// send to each endpoint. It does not model endpoints: by default every attempt is answered after 60 ms.
type cluster struct {
	now            int64
	balancers      []*Balancer
	trafficWeights []float64 // share of the traffic by balancer, relative to weightSum
	weightSum      float64
	rng            *rand.Rand
	pending        []clusterAttempt
	attemptsSent   int
	requestsSent   int
	onSend         func(server string) // called for each attempt sent
	busyUntil      map[string]int64    // when each endpoint finishes its queue; nil: every answer takes 60 ms
	keyCount       int                 // number of distinct request keys; 0: requests have no key
	answerCounts   map[bool]int        // recent answers: true within the latency objective, false late
	answersBlocked bool                // endpoints send no answers
}

type clusterAttempt struct {
	balancer *Balancer
	request  string
	attempt  int
	server   string
	sentAt   int64
	answerAt int64
}

// noActions ignores all actions of a Balancer.
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

// clusterActions records the attempts that one balancer sends and ignores its other actions.
type clusterActions struct {
	noActions
	cluster       *cluster
	balancer      *Balancer
	attemptCounts map[string]int
}

func (m *clusterActions) SendAttempt(request, server string, _ int64) {
	answerAt := m.cluster.now + 60_000
	if m.cluster.busyUntil != nil { // one attempt at a time, 30 ms each, plus 30 ms of network time
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

// newCluster starts n balancers. With skew 0 all balancers get the same traffic; a larger skew gives most of
// it to the first balancers.
func newCluster(n int, set Settings, skew float64, servers []Endpoint) *cluster {
	return newSeededCluster(0, n, set, skew, servers)
}

// newSeededCluster is newCluster with seeds derived from seed.
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

// startBalancer starts balancer index of n with the given endpoint list.
func (c *cluster) startBalancer(seed uint64, index, n int, set Settings, servers []Endpoint) *Balancer {
	set.BalancerIndex, set.BalancerCount = index, n
	m := &clusterActions{cluster: c, attemptCounts: map[string]int{}}
	m.balancer = New(set, seed<<16+uint64(index+1), m)
	m.balancer.Start(c.now)
	m.balancer.OnEndpoints(c.now, servers, true)
	return m.balancer
}

// run sends perSecond requests per second for a number of seconds.
func (c *cluster) run(seconds, perSecond int) {
	for end := c.now + int64(seconds)*second; c.now < end; {
		c.step(perSecond * clusterTick / int(second))
	}
}

const clusterTick = 5000 // µs

// step advances time by one tick, delivers the answers that are due unless answersBlocked is set, and sends
// new requests.
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

// sendRequest sends a request to balancer i.
func (c *cluster) sendRequest(i int) {
	c.requestsSent++
	r := Request{ID: fmt.Sprint("r", c.requestsSent), Tenant: -1, TimeLeft: 2 * second}
	if c.keyCount > 0 {
		r.Key = fmt.Sprint("k", c.rng.IntN(c.keyCount))
	}
	c.balancers[i].OnRequest(c.now, r)
}

// sendsToStartingEndpoint adds an endpoint that starts now to the list, runs the traffic, and returns the
// times of the attempts sent to the new endpoint.
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
