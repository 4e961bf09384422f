package decide

import (
	"fmt"
	"math/rand/v2"
)

// cluster hosts many balancers before one set of endpoints that answer everything after the same time. It is
// no model of endpoints: it counts what all balancers together send to each.
type cluster struct {
	now      int64
	bs       []*Balancer
	weights  []float64 // of each balancer's part of the traffic
	sum      float64
	rng      *rand.Rand
	due      []clusterAttempt
	sent     int
	requests int
	onSend   func(server string) // told of each send
	busy     map[string]int64    // when each server has done what it holds; nil: answers take 60 ms whatever is held
	keys     int                 // that requests ask for; 0: none
	served   map[bool]int        // answers of late: within the aim or not
	stuck    bool                // no answer comes
}

type clusterAttempt struct {
	from    *Balancer
	request string
	attempt int
	server  string
	at      int64
	done    int64
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
	c *cluster
	b *Balancer
	n map[string]int
}

func (m *clusterActions) SendAttempt(request, server string, _ int64) {
	done := m.c.now + 60_000
	if m.c.busy != nil { // one after the other, 30 ms each, and 30 ms on the way
		done = max(m.c.now, m.c.busy[server]) + 30_000
		m.c.busy[server] = done
		done += 30_000
	}
	m.c.due = append(m.c.due, clusterAttempt{m.b, request, m.n[request], server, m.c.now, done})
	m.n[request]++
	m.c.sent++
	if m.c.onSend != nil {
		m.c.onSend(server)
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
		c.bs = append(c.bs, c.join(seed, i, n, set, servers))
		w := 1.0
		if skew > 0 {
			w = 1 / (skew*float64(i) + 1)
		}
		c.weights = append(c.weights, w)
		c.sum += w
	}
	return c
}

// join starts one balancer.
func (c *cluster) join(seed uint64, me, n int, set Settings, servers []Endpoint) *Balancer {
	set.BalancerIndex, set.BalancerCount = me, n
	m := &clusterActions{c: c, n: map[string]int{}}
	m.b = New(set, seed<<16+uint64(me+1), m)
	m.b.Start(c.now)
	m.b.OnEndpoints(c.now, servers, true)
	return m.b
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
	var later []clusterAttempt
	ready := c.due
	c.due = nil
	for _, d := range ready {
		if c.now < d.done || c.stuck {
			later = append(later, d)
			continue
		}
		if c.served != nil {
			c.served[c.now-d.at <= 400_000]++
		}
		d.from.OnOutcome(c.now, Outcome{Request: d.request, Attempt: d.attempt, Server: d.server, Result: Succeeded,
			Latency: c.now - d.at, RequestAnswered: true})
	}
	c.due = append(later, c.due...)
	if c.now%second == 0 {
		for _, b := range c.bs {
			b.OnTimer(c.now, timerSecond)
		}
	}
	for range requests {
		x, i := c.rng.Float64()*c.sum, 0
		for i < len(c.bs)-1 && x >= c.weights[i] {
			x -= c.weights[i]
			i++
		}
		c.sendRequest(i)
	}
}

// sendRequest gives a request to balancer i.
func (c *cluster) sendRequest(i int) {
	c.requests++
	r := Request{ID: fmt.Sprint("r", c.requests), Tenant: -1, TimeLeft: 2 * second}
	if c.keys > 0 {
		r.Key = fmt.Sprint("k", c.rng.IntN(c.keys))
	}
	c.bs[i].OnRequest(c.now, r)
}

// sendsToStartingServer lists an endpoint that starts now, and returns the times of what is sent to it in
// some seconds.
func (c *cluster) sendsToStartingServer(seconds, perSecond int) (times []int64) {
	c.onSend = func(id string) {
		if id == "cold" {
			times = append(times, c.now)
		}
	}
	for _, b := range c.bs {
		b.OnEndpoints(c.now, []Endpoint{{ID: "cold", Capacity: 1, Zone: "z0", StartedAt: c.now}}, false)
	}
	c.run(seconds, perSecond)
	return times
}
