package decide

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// gossipLink delivers the messages of a balancer to the others at once, unless lost is set.
type gossipLink struct {
	noActions
	sender    int
	balancers []*Balancer
	now       *int64
	lost      *bool
	sent      *int
}

func (p gossipLink) SendGossip(peer int, message []byte) {
	*p.sent++
	for i, b := range p.balancers {
		if b != nil && i != p.sender && (peer < 0 || peer == i) && !*p.lost {
			b.OnGossip(*p.now, p.sender, slices.Clone(message))
		}
	}
}

// newGossipingBalancers starts n balancers that know the endpoints and have gossiped their subsets.
func newGossipingBalancers(t *testing.T, n, servers int) (balancers []*Balancer, now *int64, lost *bool, sent *int) {
	t.Helper()
	balancers, now, lost, sent = make([]*Balancer, n), new(int64), new(bool), new(int)
	*now = 1000 * second
	for i := range balancers {
		set := testSettings()
		set.EndpointsPushed, set.Limits.Gossip, set.BalancerCount, set.BalancerIndex = true, true, n, i
		balancers[i] = New(set, uint64(i+1), gossipLink{sender: i, balancers: balancers, now: now, lost: lost, sent: sent})
	}
	for range 2 { // in the second round all balancers know each other
		for _, b := range balancers {
			b.gossip.nextSendAt = 0
			b.OnEndpoints(*now, testEndpoints(servers), true)
		}
	}
	return balancers, now, lost, sent
}

// An attempt of one balancer counts as in flight at the balancers that share the endpoint until the attempt
// ends.
func TestGossipSharesAttemptsInFlight(t *testing.T) {
	balancers, now, _, _ := newGossipingBalancers(t, 3, 3)
	balancers[0].OnRequest(*now, Request{ID: "a", Tenant: -1, TimeLeft: second})
	busy := -1
	for i, s := range balancers[0].endpoints {
		if s.inFlight == 1 {
			busy = i
		}
	}
	id := balancers[0].endpoints[busy].ID
	for i, b := range balancers[1:] {
		if got := b.totalInFlight(*now, b.knownEndpoints[id]); got != 1 {
			t.Errorf("balancer %d counts %v attempts in flight at %s, want 1", i+1, got, id)
		}
	}
	balancers[0].OnOutcome(*now, Outcome{Request: "a", Server: id, Result: Succeeded, Latency: 1000, RequestAnswered: true})
	if got := balancers[1].totalInFlight(*now, balancers[1].knownEndpoints[id]); got != 0 {
		t.Errorf("after the end of the attempt %v attempts in flight, want 0", got)
	}
}

// A count is dropped after a second if the message that ends it is lost. If no messages arrive at all, a
// balancer assumes that the others have as many attempts in flight as itself.
func TestInFlightEstimateWhenGossipIsLost(t *testing.T) {
	balancers, now, lost, _ := newGossipingBalancers(t, 4, 2)
	balancers[0].OnRequest(*now, Request{ID: "a", Tenant: -1, TimeLeft: 3 * second})
	*lost = true
	s := balancers[1].endpoints[0]
	*now += gossipLossTimeout + 1
	if s.inFlight = 1; balancers[1].totalInFlight(*now, s) != balancers[1].balancersPerEndpoint() || balancers[1].balancersPerEndpoint() != 4 {
		t.Errorf("estimate with 1 own attempt in flight and no messages: %v attempts in flight, want 4", balancers[1].totalInFlight(*now, s))
	}
	s.inFlight = 0
	*lost, *now = false, *now+second
	balancers[2].OnRequest(*now, Request{ID: "b", Tenant: -1, TimeLeft: second})
	sum := 0.0
	for _, s := range balancers[1].endpoints {
		sum += balancers[1].totalInFlight(*now, s)
	}
	if sum != 1 {
		t.Errorf("%v attempts in flight after an expired and a new message, want 1", sum)
	}
}

// Messages that are empty, damaged, of another version, old or repeated, that come from the balancer itself
// or an unknown sender, or that name unlisted endpoints change nothing.
func TestInvalidGossipIsIgnored(t *testing.T) {
	balancers, now, _, _ := newGossipingBalancers(t, 3, 3)
	b := balancers[0]
	balancers[1].endpoints[0].inFlight = 9
	valid := slices.Clone(balancers[1].encodeGossip(balancers[1].endpoints[0]))
	invalid := map[string][]byte{"empty": {}, "cut short": valid[:len(valid)-1], "over-long": append(slices.Clone(valid), make([]byte, 300)...),
		"head alone": valid[:1]}
	for bit := range 8 * len(valid) { // one flipped bit in an entry or the version
		message := slices.Clone(valid)
		message[bit/8] ^= 1 << (bit % 8)
		if bit/8 == 0 && bit%8 < 6 || bit/8 == 1 { // the check bits of an entry cover the sequence number and the idle time
			continue
		}
		invalid[fmt.Sprint("bit ", bit)] = message
	}
	state := func() string {
		out := ""
		for _, s := range b.endpoints {
			out += fmt.Sprint(s.ID, b.totalInFlight(*now, s), len(s.peerLoads), " ")
		}
		return out + fmt.Sprint(b.idle.safeTime)
	}
	accepted := 0
	for name, message := range invalid {
		before := state()
		if ok, _ := b.handleGossip(*now, 1, message); !ok {
			if state() != before {
				t.Errorf("%s message: state changed to %s, want no change", name, state())
			}
		} else if accepted++; !strings.HasPrefix(name, "bit") {
			t.Errorf("%s message was accepted, want it ignored", name)
		}
	}
	if accepted > len(invalid)/8 { // four check bits accept one of sixteen
		t.Errorf("%d of %d damaged messages were accepted, want at most an eighth", accepted, len(invalid))
	}
	before := state()
	for _, from := range []int{0, -1, 3, math.MaxInt} {
		if b.OnGossip(*now, from, valid); state() != before {
			t.Errorf("message from balancer %d changed the state, want it ignored", from)
		}
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for range 20_000 {
		message := make([]byte, rng.IntN(80))
		for i := range message {
			message[i] = byte(rng.Uint32())
		}
		b.OnGossip(*now, rng.IntN(5)-1, message)
	}
	for _, s := range b.endpoints {
		if inFlight := b.totalInFlight(*now, s); inFlight > 2*maxGossipInFlight || len(s.peerLoads) > 2 {
			t.Errorf("after random messages: %v attempts in flight and %d sharing balancers, want at most the limits of two peers", inFlight, len(s.peerLoads))
		}
	}
}

// A message counts once, and not after a newer one.
func TestOutdatedGossipIsIgnored(t *testing.T) {
	balancers, now, _, _ := newGossipingBalancers(t, 2, 1)
	s := balancers[1].endpoints[0]
	s.inFlight = 5
	old := slices.Clone(balancers[1].encodeGossip(s))
	s.inFlight = 2
	newest := slices.Clone(balancers[1].encodeGossip(s))
	b := balancers[0]
	b.OnGossip(*now, 1, newest)
	b.OnGossip(*now, 1, old)
	b.OnGossip(*now, 1, newest)
	if got := b.totalInFlight(*now, b.endpoints[0]); got != 2 {
		t.Errorf("%v attempts in flight, want the 2 of the newest message", got)
	}
}

// Without Limits.Gossip a balancer neither sends nor handles messages.
func TestNoGossipUnlessEnabled(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(3)...)
	w.sendTraffic(50, func(*trackedAttempt) (Result, bool) { return Succeeded, true })
	w.b.OnGossip(w.now, 1, []byte{gossipVersion | 1, 0, 0, 0, 0})
	if slices.ContainsFunc(w.actions, func(a string) bool { return strings.Contains(a, " gossip ") }) || len(w.b.gossip.peers) > 0 {
		t.Error("gossip messages were sent or handled, want none without Limits.Gossip")
	}
}

// A message goes to as many balancers as the CPU limit of the receivers allows, 8 ms / 0.4 ms = 20, and to at
// most 24. The fan-out of all balancers together is at most 16,000, so each of 2,000 balancers sends to 8.
func TestGossipFanoutIsBounded(t *testing.T) {
	for cpu, want := range map[int64]int{0: 24, 8000: 20, 500_000: 24, 1: 1} {
		set := testSettings()
		set.Limits.DecisionCPU = cpu
		if got := New(set, 1, noActions{}).gossipFanout(); got != want {
			t.Errorf("CPU limit %d us/s: fan-out %d, want %d", cpu, got, want)
		}
	}
	set := testSettings()
	set.BalancerCount = 2000
	if got := New(set, 1, noActions{}).gossipFanout(); got != 8 {
		t.Errorf("2,000 balancers: fan-out %d, want 8", got)
	}
}

// An endpoint that has not answered for the p95 latency gets no new attempts.
func TestUnresponsiveEndpointGetsNoAttemptWithGossip(t *testing.T) {
	set := testSettings()
	set.Limits.Gossip = true
	w := newWorkload(t, set, testEndpoints(1)...)
	w.sendRequest("a", 0, 2*second)
	w.advance(250_000)
	if r := w.sendRequest("b", 0, 2*second); len(r.attempts) > 0 {
		t.Error("attempt sent to an endpoint without an answer for 250 ms at a p95 latency of 200 ms, want none")
	}
}

// Of eight balancers that share an endpoint and hear of its free capacity, about two dispatch their queue.
func TestFewBalancersDispatchOnGossipedCapacity(t *testing.T) {
	dispatched := 0
	for seed := range uint64(200) {
		set := testSettings()
		set.EndpointsPushed, set.Limits.Gossip, set.BalancerCount, set.BalancerIndex = true, true, 8, 0
		b := New(set, seed, noActions{})
		set.BalancerIndex = 1
		peer := New(set, 1, noActions{})
		now := 1000 * second
		b.OnEndpoints(now, testEndpoints(1), true)
		peer.OnEndpoints(now, testEndpoints(1), true)
		s := peer.endpoints[0]
		b.pool.limit, s.inFlight = 0.5, 1
		b.OnGossip(now, 1, peer.encodeGossip(s))
		b.OnRequest(now, Request{ID: "a", Tenant: -1, TimeLeft: second})
		if len(b.queue) != 1 {
			t.Fatal("the request is not queued")
		}
		s.inFlight = 0
		b.OnGossip(now+1000, 1, peer.encodeGossip(s))
		dispatched += b.endpoints[0].inFlight
	}
	if dispatched < 25 || dispatched > 85 { // a quarter of 200
		t.Errorf("%d of 200 balancers dispatched a request, want about 50", dispatched)
	}
}
