// Messages between balancers, which report the attempts that each balancer has in flight at the endpoints
// of its subset. gossip_message.go describes their encoding.
//
// Gossip runs only if Settings.Limits.Gossip is set, which happens only in the simulator: the sidecar has
// no transport for the messages, and internal/config rejects the setting.
//
// A message about one endpoint goes to the balancers that share it, at each start and end of an attempt
// there. A message about the whole subset goes to all balancers from time to time, so that they learn who
// shares which endpoint.

package decide

import "slices"

const (
	// peerLoadTTL is how long a reported count is valid. The message that ends it may be lost.
	peerLoadTTL = second
	// peerLoadIntervals is the number of gossip intervals without a message after which a balancer no
	// longer counts as sharing an endpoint. Up to two messages to all may be lost before that.
	peerLoadIntervals = 3
	// gossipLossTimeout is the time without a message from any balancer after which messages are assumed to
	// be lost.
	gossipLossTimeout = second / 4

	maxGossipFanout   = 24.0     // receivers of a message about one endpoint
	gossipCPUPerPeer  = 400.0    // µs of CPU per second for each receiver
	fleetGossipFanout = 16_000.0 // sum over all balancers, since the messages of a large fleet fill the links

	// The time between two messages to all is between one and two intervals. It grows with the fleet, since
	// every balancer has to process each of these messages.
	minGossipInterval         = 20 * second
	gossipIntervalPerBalancer = 100 * millisecond

	// Shortest time between two messages to all after the subset has changed.
	minGossipChangeInterval     = 4 * second
	gossipChangeIntervalPerPair = millisecond / 10 // per pair of balancers

	// expectedDispatchers is how many of the balancers that hear of free capacity dispatch their queue, on
	// average. It is above 1 because messages may be lost.
	expectedDispatchers = 2.0
)

// gossipState is what a balancer knows about its peers.
type gossipState struct {
	peers          []peerState // by balancer index
	endpointsByTag map[[2]byte]*endpointState
	lastSentAt     int64  // time of the last message to all
	nextSendAt     int64  // time of the next message to all
	lastReceivedAt int64  // time of the last message from any balancer
	seq            byte   // sequence number of the last message sent
	buffer         []byte // scratch space of encodeGossip
}

// peerState is the content of a balancer's messages so far.
type peerState struct {
	seq        byte             // sequence number of the last message received
	receivedAt int64            // 0: never
	endpoints  []*endpointState // those of its subset
}

// peerLoad is the number of attempts that a balancer has in flight at an endpoint, by its last message.
type peerLoad struct {
	peer       int // index of the balancer
	inFlight   int
	receivedAt int64
}

// gossipEnabled reports whether balancers may send each other messages.
func (b *Balancer) gossipEnabled() bool { return b.settings.Limits.Gossip }

// gossipLost reports whether messages are assumed to be lost.
func (b *Balancer) gossipLost(now int64) bool {
	return b.gossipEnabled() && now-b.gossip.lastReceivedAt > gossipLossTimeout
}

// gossipEndpoint sends the attempts in flight at s to the balancers that share s.
func (b *Balancer) gossipEndpoint(s *endpointState) {
	if !b.gossipEnabled() || !s.inSubset || len(s.peerLoads) == 0 {
		return
	}
	message := b.encodeGossip(s)
	for _, load := range s.peerLoads[:min(len(s.peerLoads), b.gossipFanout())] {
		b.actions.SendGossip(load.peer, message)
	}
}

// gossipSubset sends the attempts in flight at the whole subset to all balancers, if that is due.
func (b *Balancer) gossipSubset(now int64) {
	if !b.gossipEnabled() || now < b.gossip.nextSendAt {
		return
	}
	b.gossip.lastSentAt = now
	b.gossip.nextSendAt = now + b.gossipInterval() + b.rng.Int64N(b.gossipInterval())
	b.actions.SendGossip(-1, b.encodeGossip(b.subset...))
}

// advanceNextSend moves the next message to all forward, to at most interval after the last one.
func (g *gossipState) advanceNextSend(interval int64) {
	g.nextSendAt = min(g.nextSendAt, g.lastSentAt+interval)
}

// OnGossip handles another balancer's message. It ignores messages that are damaged, out of date, or of an
// unknown version or sender.
func (b *Balancer) OnGossip(now int64, from int, message []byte) {
	if !b.gossipEnabled() {
		return
	}
	accepted, newSharer := b.handleGossip(now, from, message)
	if newSharer { // the sender may have restarted, or have missed the last message to all
		b.actions.SendGossip(from, b.encodeGossip(b.subset...))
	}
	if !accepted {
		return
	}
	b.gossip.lastReceivedAt = now
	if len(b.queue) > 0 && b.rng.Float64()*b.balancersPerEndpoint() < expectedDispatchers {
		b.dispatchQueued(now)
	}
}

// handleGossip applies a message if it is valid. newSharer reports whether the sender is new to an endpoint
// of the subset.
func (b *Balancer) handleGossip(now int64, from int, message []byte) (accepted, newSharer bool) {
	fromPeer := from != b.settings.BalancerIndex && from >= 0 && from < b.settings.BalancerCount
	if !fromPeer || !validGossip(message) {
		return false, false
	}
	for len(b.gossip.peers) <= from {
		b.gossip.peers = append(b.gossip.peers, peerState{})
	}
	peer, seq := &b.gossip.peers[from], gossipSeq(message)
	if peer.receivedAt > 0 && now-peer.receivedAt < second && !newerGossip(seq, peer.seq) {
		return false, false
	}
	peer.seq, peer.receivedAt = seq, now
	if idle, known := gossipIdleTime(message); known {
		b.idle.observeGossiped(from, idle)
	}
	if describesSubset(message) {
		b.removeUnlistedPeerLoads(peer, from, message)
	}
	for tag, inFlight := range gossipEntries(message) {
		if s := b.gossip.endpointsByTag[tag]; s != nil {
			newSharer = b.recordPeerLoad(now, s, from, inFlight) || newSharer
		}
	}
	return true, newSharer
}

// removeUnlistedPeerLoads removes a balancer from the endpoints that are missing in its message, which
// describes its whole subset.
func (b *Balancer) removeUnlistedPeerLoads(peer *peerState, from int, message []byte) {
	peer.endpoints = slices.DeleteFunc(peer.endpoints, func(s *endpointState) bool {
		if hasGossipEntry(message, s) {
			return false
		}
		s.peerLoads = slices.DeleteFunc(s.peerLoads, func(load peerLoad) bool { return load.peer == from })
		return true
	})
}

// recordPeerLoad records the attempts that a balancer has in flight at s, and reports whether that balancer
// is new to s and s is in the subset.
func (b *Balancer) recordPeerLoad(now int64, s *endpointState, from, inFlight int) bool {
	at := slices.IndexFunc(s.peerLoads, func(load peerLoad) bool { return load.peer == from })
	added := at < 0
	if added {
		at = b.insertPeerLoad(s, from)
		if peer := &b.gossip.peers[from]; !slices.Contains(peer.endpoints, s) {
			peer.endpoints = append(peer.endpoints, s)
		}
	}
	s.peerLoads[at].inFlight, s.peerLoads[at].receivedAt = inFlight, now
	return added && s.inSubset
}

// insertPeerLoad adds a balancer to those that share s and returns its position. They are sorted by index,
// beginning after this balancer's own index. If there are more sharers than a message goes to, each
// balancer then sends to different ones.
func (b *Balancer) insertPeerLoad(s *endpointState, from int) int {
	count := b.settings.BalancerCount
	distance := func(peer int) int { return (peer - b.settings.BalancerIndex + count) % count }
	at := 0
	for at < len(s.peerLoads) && distance(s.peerLoads[at].peer) < distance(from) {
		at++
	}
	s.peerLoads = slices.Insert(s.peerLoads, at, peerLoad{peer: from})
	return at
}

// expirePeerLoads removes balancers that have sent no message for peerLoadIntervals.
func (b *Balancer) expirePeerLoads(now int64) {
	expired := func(load peerLoad) bool { return now-load.receivedAt > peerLoadIntervals*b.gossipInterval() }
	for _, s := range b.endpoints {
		s.peerLoads = slices.DeleteFunc(s.peerLoads, expired)
	}
}

// totalInFlight returns the attempts of all balancers in flight at s, as far as they are known. If messages
// are lost, the other balancers are assumed to have as many as this one.
func (b *Balancer) totalInFlight(now int64, s *endpointState) float64 {
	if len(s.peerLoads) == 0 && !b.gossipEnabled() {
		return float64(s.inFlight)
	}
	if b.gossipLost(now) {
		return float64(s.inFlight) * b.balancersPerEndpoint()
	}
	others := 0
	for i := range s.peerLoads {
		if load := &s.peerLoads[i]; now-load.receivedAt < peerLoadTTL {
			others += load.inFlight
		}
	}
	// If more balancers share s than a message goes to, the known counts are extrapolated to all of them.
	return float64(s.inFlight) + float64(others)*max(1, float64(len(s.peerLoads))/float64(b.gossipFanout()))
}

// gossipInterval returns the minimum time between two messages to all.
func (b *Balancer) gossipInterval() int64 {
	return max(minGossipInterval, int64(b.settings.BalancerCount)*gossipIntervalPerBalancer)
}

// gossipChangeInterval returns the minimum time between two messages to all after the subset has changed.
func (b *Balancer) gossipChangeInterval() int64 {
	count := int64(b.settings.BalancerCount)
	return max(minGossipChangeInterval, gossipChangeIntervalPerPair*count*count)
}

// gossipFanout returns how many balancers receive a message about one endpoint.
func (b *Balancer) gossipFanout() int {
	fanout := min(maxGossipFanout, fleetGossipFanout/float64(max(1, b.settings.BalancerCount)))
	if b.settings.Limits.DecisionCPU > 0 {
		fanout = min(fanout, float64(b.settings.Limits.DecisionCPU)/gossipCPUPerPeer)
	}
	return int(max(1, fanout))
}
