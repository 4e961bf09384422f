package decide

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// gossipLink carries the messages of balancers to each other at once.
type gossipLink struct {
	noActions
	from int
	to   []*Balancer
	now  *int64
	lost *bool
	sent *int
}

func (p gossipLink) SendGossip(peer int, message []byte) {
	*p.sent++
	for i, b := range p.to {
		if b != nil && i != p.from && (peer < 0 || peer == i) && !*p.lost {
			b.OnGossip(*p.now, p.from, slices.Clone(message))
		}
	}
}

// gossipingBalancers know of each other and of the endpoints.
func gossipingBalancers(t *testing.T, n, servers int) (bs []*Balancer, now *int64, lost *bool, sent *int) {
	t.Helper()
	bs, now, lost, sent = make([]*Balancer, n), new(int64), new(bool), new(int)
	*now = 1000 * second
	for i := range bs {
		set := testSettings()
		set.EndpointsPushed, set.Limits.Gossip, set.BalancerCount, set.BalancerIndex = true, true, n, i
		bs[i] = New(set, uint64(i+1), gossipLink{from: i, to: bs, now: now, lost: lost, sent: sent})
	}
	for range 2 { // the second time all are known
		for _, b := range bs {
			b.gossip.nextSendAt = 0
			b.OnEndpoints(*now, testEndpoints(servers), true)
		}
	}
	return bs, now, lost, sent
}

// What one balancer sends counts at those that share the endpoint until it ends.
func TestGossipCountsAllInFlight(t *testing.T) {
	bs, now, _, _ := gossipingBalancers(t, 3, 3)
	bs[0].OnRequest(*now, Request{ID: "a", Tenant: -1, TimeLeft: second})
	busy := -1
	for i, s := range bs[0].endpoints {
		if s.inFlight == 1 {
			busy = i
		}
	}
	id := bs[0].endpoints[busy].ID
	for i, b := range bs[1:] {
		if got := b.totalInFlight(*now, b.knownEndpoints[id]); got != 1 {
			t.Errorf("balancer %d knows of %v held at %s, want 1", i+1, got, id)
		}
	}
	bs[0].OnOutcome(*now, Outcome{Request: "a", Server: id, Result: Succeeded, Latency: 1000, RequestAnswered: true})
	if got := bs[1].totalInFlight(*now, bs[1].knownEndpoints[id]); got != 0 {
		t.Errorf("after the end %v held, want 0", got)
	}
}

// A count whose end is lost is forgotten after a second. Where no message comes at all, each takes the others
// to have as much in flight as itself.
func TestLostGossip(t *testing.T) {
	bs, now, lost, _ := gossipingBalancers(t, 4, 2)
	bs[0].OnRequest(*now, Request{ID: "a", Tenant: -1, TimeLeft: 3 * second})
	*lost = true
	s := bs[1].endpoints[0]
	*now += gossipLossTimeout + 1
	if s.inFlight = 1; bs[1].totalInFlight(*now, s) != bs[1].balancersPerEndpoint() || bs[1].balancersPerEndpoint() != 4 {
		t.Errorf("messages lost with one out: %v held, want 4", bs[1].totalInFlight(*now, s))
	}
	s.inFlight = 0
	*lost, *now = false, *now+second
	bs[2].OnRequest(*now, Request{ID: "b", Tenant: -1, TimeLeft: second})
	sum := 0.0
	for _, s := range bs[1].endpoints {
		sum += bs[1].totalInFlight(*now, s)
	}
	if sum != 1 {
		t.Errorf("%v held after one old message and one new, want 1", sum)
	}
}

// Messages that are empty, damaged, of another version, old, repeated, from the balancer itself or from
// nobody, or about endpoints that aren't listed, change nothing.
func TestInvalidGossipIsIgnored(t *testing.T) {
	bs, now, _, _ := gossipingBalancers(t, 3, 3)
	b := bs[0]
	bs[1].endpoints[0].inFlight = 9
	good := slices.Clone(bs[1].encodeGossip(bs[1].endpoints[0]))
	bad := map[string][]byte{"empty": {}, "cut short": good[:len(good)-1], "over-long": append(slices.Clone(good), make([]byte, 300)...),
		"head alone": good[:1]}
	for bit := range 8 * len(good) { // any one bit turned over in an entry or the version
		w := slices.Clone(good)
		w[bit/8] ^= 1 << (bit % 8)
		if bit/8 == 0 && bit%8 < 6 || bit/8 == 1 { // the number and the idle time are covered by the entry's check
			continue
		}
		bad[fmt.Sprint("bit ", bit)] = w
	}
	state := func() string {
		out := ""
		for _, s := range b.endpoints {
			out += fmt.Sprint(s.ID, b.totalInFlight(*now, s), len(s.peerLoads), " ")
		}
		return out + fmt.Sprint(b.idle.safeTime)
	}
	taken := 0
	for name, w := range bad {
		before := state()
		if ok, _ := b.handleGossip(*now, 1, w); !ok {
			if state() != before {
				t.Errorf("%s: state changed to %s", name, state())
			}
		} else if taken++; !strings.HasPrefix(name, "bit") {
			t.Errorf("%s: taken for a message", name)
		}
	}
	if taken > len(bad)/8 { // four bits of check let one in sixteen through
		t.Errorf("%d of %d damaged messages were taken", taken, len(bad))
	}
	before := state()
	for _, from := range []int{0, -1, 3, math.MaxInt} {
		if b.OnGossip(*now, from, good); state() != before {
			t.Errorf("from %d: state changed", from)
		}
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for range 20_000 {
		w := make([]byte, rng.IntN(80))
		for i := range w {
			w[i] = byte(rng.Uint32())
		}
		b.OnGossip(*now, rng.IntN(5)-1, w)
	}
	for _, s := range b.endpoints {
		if h := b.totalInFlight(*now, s); h > 2*maxGossipInFlight || len(s.peerLoads) > 2 {
			t.Errorf("random messages: %v held, %d sharers", h, len(s.peerLoads))
		}
	}
}

// A message counts once, and not after a newer one.
func TestOldGossipIsIgnored(t *testing.T) {
	bs, now, _, _ := gossipingBalancers(t, 2, 1)
	s := bs[1].endpoints[0]
	s.inFlight = 5
	old := slices.Clone(bs[1].encodeGossip(s))
	s.inFlight = 2
	fresh := slices.Clone(bs[1].encodeGossip(s))
	b := bs[0]
	b.OnGossip(*now, 1, fresh)
	b.OnGossip(*now, 1, old)
	b.OnGossip(*now, 1, fresh)
	if got := b.totalInFlight(*now, b.endpoints[0]); got != 2 {
		t.Errorf("%v held, want the 2 of the newest message", got)
	}
}

// Without Limits.Gossip no balancer sends or handles a message.
func TestNoGossipUnlessEnabled(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(3)...)
	w.traffic(50, func(*trackedAttempt) (Result, bool) { return Succeeded, true })
	w.b.OnGossip(w.now, 1, []byte{gossipVersion | 1, 0, 0, 0, 0})
	if slices.ContainsFunc(w.actions, func(a string) bool { return strings.Contains(a, " tell ") }) || len(w.b.gossip.peers) > 0 {
		t.Error("messages were sent or heard where the settings permit none")
	}
}

// A message goes to no more balancers than the CPU of its receivers allows: 8 ms / 0.4 ms = 20, 24 at the
// most; and to no more than 16,000 for all balancers together: of 2,000 each to 8.
func TestGossipFanout(t *testing.T) {
	for cpu, want := range map[int64]int{0: 24, 8000: 20, 500_000: 24, 1: 1} {
		set := testSettings()
		set.Limits.DecisionCPU = cpu
		if got := New(set, 1, noActions{}).gossipFanout(); got != want {
			t.Errorf("CPU %d: to %d, want %d", cpu, got, want)
		}
	}
	set := testSettings()
	set.BalancerCount = 2000
	if got := New(set, 1, noActions{}).gossipFanout(); got != 8 {
		t.Errorf("2,000 balancers: to %d, want 8", got)
	}
}

// An endpoint that has not answered for the p95 latency gets nothing new.
func TestUnresponsiveEndpointsGetNothingWithGossip(t *testing.T) {
	set := testSettings()
	set.Limits.Gossip = true
	w := newWorkload(t, set, testEndpoints(1)...)
	w.request("a", 0, 2*second)
	w.advance(250_000)
	if r := w.request("b", 0, 2*second); len(r.attempts) > 0 {
		t.Error("sent to a server silent for 250 ms, where answers are taken to need 200 ms")
	}
}

// Of eight that share an endpoint and hear that it has capacity, about two dispatch their queue.
func TestFewDispatchOnGossip(t *testing.T) {
	sent := 0
	for seed := range uint64(200) {
		set := testSettings()
		set.EndpointsPushed, set.Limits.Gossip, set.BalancerCount, set.BalancerIndex = true, true, 8, 0
		b := New(set, seed, noActions{})
		set.BalancerIndex = 1
		other := New(set, 1, noActions{})
		now := 1000 * second
		b.OnEndpoints(now, testEndpoints(1), true)
		other.OnEndpoints(now, testEndpoints(1), true)
		s := other.endpoints[0]
		b.pool.limit, s.inFlight = 0.5, 1
		b.OnGossip(now, 1, other.encodeGossip(s))
		b.OnRequest(now, Request{ID: "a", Tenant: -1, TimeLeft: second})
		if len(b.queue) != 1 {
			t.Fatal("the request does not wait")
		}
		s.inFlight = 0
		b.OnGossip(now+1000, 1, other.encodeGossip(s))
		sent += b.endpoints[0].inFlight
	}
	if sent < 25 || sent > 85 { // a quarter of 200
		t.Errorf("%d of 200 took the capacity, want about 50", sent)
	}
}
