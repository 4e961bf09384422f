package decide

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// post carries the words of balancers to one another, at once.
type post struct {
	silent
	from int
	to   []*Balancer
	now  *int64
	lost *bool
	sent *int
}

func (p post) SendGossip(peer int, word []byte) {
	*p.sent++
	for i, b := range p.to {
		if b != nil && i != p.from && (peer < 0 || peer == i) && !*p.lost {
			b.OnGossip(*p.now, p.from, slices.Clone(word))
		}
	}
}

func talkers(t *testing.T, n, servers int) (bs []*Balancer, now *int64, lost *bool, sent *int) {
	bs, now, lost, sent = make([]*Balancer, n), new(int64), new(bool), new(int)
	*now = 1000 * second
	for i := range bs {
		set := testSettings()
		set.EndpointsPushed, set.Limits.Gossip, set.BalancerCount, set.BalancerIndex = true, true, n, i
		bs[i] = New(set, uint64(i+1), post{from: i, to: bs, now: now, lost: lost, sent: sent})
	}
	for range 2 { // the second time all are known
		for _, b := range bs {
			b.nextGossipAt = 0
			b.OnEndpoints(*now, fleet(servers), true)
		}
	}
	return bs, now, lost, sent
}

// What one sends, those that share the server count, until it ends. Guards against a pool in which each sees its own
// few attempts and all choose the same server.
func TestSharersCountWhatAllHold(t *testing.T) {
	bs, now, _, _ := talkers(t, 3, 3)
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

// A count whose end is lost is forgotten after a second; where no word comes at all, each takes the others to hold
// what it holds itself. Guards against a collapse while all messages are lost.
func TestLostWords(t *testing.T) {
	bs, now, lost, _ := talkers(t, 4, 2)
	bs[0].OnRequest(*now, Request{ID: "a", Tenant: -1, TimeLeft: 3 * second})
	*lost = true
	s := bs[1].endpoints[0]
	*now += gossipLossTimeout + 1
	if s.inFlight = 1; bs[1].totalInFlight(*now, s) != bs[1].balancersPerEndpoint() || bs[1].balancersPerEndpoint() != 4 {
		t.Errorf("deaf with one out: %v held, want 4", bs[1].totalInFlight(*now, s))
	}
	s.inFlight = 0
	*lost, *now = false, *now+second
	bs[2].OnRequest(*now, Request{ID: "b", Tenant: -1, TimeLeft: second})
	sum := 0.0
	for _, s := range bs[1].endpoints {
		sum += bs[1].totalInFlight(*now, s)
	}
	if sum != 1 {
		t.Errorf("%v held after one old word and one new, want 1", sum)
	}
}

// Words that are none, damaged, of another version, stale, doubled, from oneself or nobody, or about servers that are
// not listed change nothing.
func TestBadWordsAreIgnored(t *testing.T) {
	bs, now, _, _ := talkers(t, 3, 3)
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
		return out + fmt.Sprint(b.safeIdleTime)
	}
	taken := 0
	for name, w := range bad {
		before := state()
		if ok, _ := b.handleGossip(*now, 1, w); !ok {
			if state() != before {
				t.Errorf("%s: state changed to %s", name, state())
			}
		} else if taken++; !strings.HasPrefix(name, "bit") {
			t.Errorf("%s: taken for a word", name)
		}
	}
	if taken > len(bad)/8 { // four bits of check let one in sixteen through
		t.Errorf("%d of %d damaged words were taken", taken, len(bad))
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
			t.Errorf("random words: %v held, %d sharers", h, len(s.peerLoads))
		}
	}
}

// A word is heard once, and not after a newer one.
func TestOldWordsAreIgnored(t *testing.T) {
	bs, now, _, _ := talkers(t, 2, 1)
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
		t.Errorf("%v held, want the 2 of the newest word", got)
	}
}

// No balancer without leave sends or hears a word.
func TestNoWordsWithoutLeave(t *testing.T) {
	w := newWorld(t, testSettings(), fleet(3)...)
	w.traffic(50, func(*flight) (Result, bool) { return Succeeded, true })
	w.b.OnGossip(w.now, 1, []byte{gossipVersion | 1, 0, 0, 0, 0})
	if slices.ContainsFunc(w.acts, func(a string) bool { return strings.Contains(a, " tell ") }) || len(w.b.peers) > 0 {
		t.Error("words were sent or heard where the settings permit none")
	}
}

// A word goes to no more balancers than the CPU of its receivers bears: by hand 8 ms / 0.4 ms = 20, 24 at the most; and
// to no more than 16,000 for all balancers together: of 2,000 each to 8.
func TestWordsGoToFew(t *testing.T) {
	for cpu, want := range map[int64]int{0: 24, 8000: 20, 500_000: 24, 1: 1} {
		set := testSettings()
		set.Limits.CPU = cpu
		if got := New(set, 1, silent{}).gossipFanout(); got != want {
			t.Errorf("CPU %d: to %d, want %d", cpu, got, want)
		}
	}
	set := testSettings()
	set.BalancerCount = 2000
	if got := New(set, 1, silent{}).gossipFanout(); got != 8 {
		t.Errorf("2,000 balancers: to %d, want 8", got)
	}
}

// Live weights give the size by their largest, at the median of a kind; wild ones change nothing.
func TestSizesFromLiveWeights(t *testing.T) {
	set := testSettings()
	set.CapacityListed, set.CapacityLive = true, true
	list := []Endpoint{{ID: "a", MachineKind: "big", Capacity: 3}, {ID: "b", MachineKind: "big", Capacity: 1.1}, {ID: "c", MachineKind: "big", Capacity: 3},
		{ID: "d", MachineKind: "small", Capacity: 1}}
	w := newWorld(t, set, list...)
	for _, wild := range []float64{0, -1, math.NaN(), math.Inf(1), 1e300, 0.4, 1e8} {
		list[0].Capacity, list[3].Capacity = 0.5, min(wild, 1) // loads swing
		list[1].Capacity = wild
		w.list(false, list...)
		near(t, fmt.Sprint("big against small after ", wild), w.b.knownEndpoints["a"].Capacity/w.b.knownEndpoints["d"].Capacity, 3, 1e-9)
	}
}

// What got no answer on an idle connection closes it; after two of them others as long idle are closed before a send.
// Guards against connections dropped unseen, a payout sent on one is lost, and against handshakes for slow answers.
func TestDeadConnectionsAreClosed(t *testing.T) {
	w := newWorld(t, testSettings(), fleet(1)...)
	served := func(id string) { w.settle(w.request(id, 0, 2*second).tries[0], Succeeded) }
	closes := func() (n int) {
		for _, a := range w.acts {
			if strings.Contains(a, " close ") {
				n++
			}
		}
		return n
	}
	served("a")
	w.advance(second)
	served("b") // idle for a second and still good
	if closes() != 0 {
		t.Fatal("a connection was closed without cause")
	}
	want := func(n int, when string) {
		if t.Helper(); closes() != n {
			t.Errorf("%d closes %s, want %d", closes(), when, n)
		}
	}
	lose := func(id string) { // and one more, on a new connection
		w.advance(second)
		if lost := w.request(id, 0, 300_000); len(lost.tries) != 1 {
			t.Fatal("not sent")
		}
		w.advance(400_000)
		served(id + " again")
	}
	lose("c")
	want(1, "after a lost attempt")
	w.advance(900_000)
	served("d")
	want(1, "as long idle again: the server may have been slow")
	lose("e")
	want(2, "after another lost attempt")
	w.advance(700_000) // under 0.8 of the second
	served("f")
	want(2, "under the time that two have lost")
	w.advance(900_000)
	served("g")
	want(3, "after longer idling")
}

// A repeat whose client has waited past the aim is answered at once where late is worth nothing.
// Guards against repeats that keep a jam going.
func TestRepeatsPastTheAimAreAnsweredAtOnce(t *testing.T) {
	w := newWorld(t, testSettings(), fleet(3)...)
	w.request("first", 0, 1_200_000)
	repeat := func(id string, left int64) *booked {
		return w.take(Request{ID: id, Tenant: -1, TimeLeft: left, IsRetry: true})
	}
	if r := repeat("late", 800_000); r.answered == "" || len(r.tries) > 0 {
		t.Error("a repeat 1.2 s after its start was sent with an aim of 0.4 s")
	}
	if r := repeat("soon", 1_200_000); len(r.tries) != 1 {
		t.Error("a repeat that may be in time was not sent")
	}
}

// A server that has been silent for a latency mark gets nothing new. Guards against attempts that follow one lost on a
// dead connection, and against hung servers.
func TestSilentServersWait(t *testing.T) {
	set := testSettings()
	set.Limits.Gossip = true
	w := newWorld(t, set, fleet(1)...)
	w.request("a", 0, 2*second)
	w.advance(250_000)
	if r := w.request("b", 0, 2*second); len(r.tries) > 0 {
		t.Error("sent to a server silent for 250 ms, where answers are taken to need 200 ms")
	}
}

// However the list grows, few arms are drawn from where balancers talk. Guards against a draw that counts what all hold
// at dozens of servers: a fleet of 400 that grew to 436 servers took more CPU than there was.
func TestArmsStayFewWhereBalancersTalk(t *testing.T) {
	set := testSettings()
	set.EndpointsPushed, set.Limits.Gossip, set.BalancerCount = true, true, 400
	b := New(set, 1, silent{})
	for servers, want := range map[int]int{57: 2, 119: 4, 436: 8} {
		b.OnEndpoints(1000*second, fleet(servers), true)
		if got := b.subsetSize(); got != want {
			t.Errorf("%d servers: %d arms, want %d", servers, got, want)
		}
	}
}

// Of eight who share a server and hear that it has room, about two send what waits. Guards against a herd: at an
// overloaded fleet each freed place was taken by all who waited, and a third of what was sent came late.
func TestFewTakeTheRoomThatAWordTellsOf(t *testing.T) {
	sent := 0
	for seed := range uint64(200) {
		set := testSettings()
		set.EndpointsPushed, set.Limits.Gossip, set.BalancerCount, set.BalancerIndex = true, true, 8, 0
		b := New(set, seed, silent{})
		set.BalancerIndex = 1
		other := New(set, 1, silent{})
		now := 1000 * second
		b.OnEndpoints(now, fleet(1), true)
		other.OnEndpoints(now, fleet(1), true)
		s := other.endpoints[0]
		b.poolLimit, s.inFlight = 0.5, 1
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
		t.Errorf("%d of 200 took the room, want about 50", sent)
	}
}
