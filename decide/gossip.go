// What balancers tell each other: the attempts that each has in flight at the endpoints of its subset. The
// bytes of a message are in gossip_message.go.
//
// It acts only where Settings.Limits.Gossip is set. That is in the simulator alone: the sidecar carries no
// messages, and internal/config refuses the setting.
//
// A message of one endpoint goes to the balancers that share it, at each send and each end of an attempt
// there. One of the whole subset goes to all balancers now and then, so that they learn who shares what.

package decide

import "slices"

const (
	// peerLoadTTL is how long a count holds: the message that ends it may be lost.
	peerLoadTTL = second
	// peerLoadIntervals of gossipInterval without a message, and a balancer no longer counts as sharing an
	// endpoint.
	peerLoadIntervals = 3
	// gossipLossTimeout without a message of any balancer: the messages are taken to be lost.
	gossipLossTimeout = second / 4

	maxGossipFanout   = 24.0
	gossipCPUPerPeer  = 400.0    // µs of CPU per second that each receiver needs for each sender
	fleetGossipFanout = 16_000.0 // of all balancers together, which the links can take

	// Between two messages to all: from this time up to twice that, longer in a large fleet.
	minGossipInterval         = 20 * second
	gossipIntervalPerBalancer = 100 * millisecond

	// The same after the subset has changed.
	minGossipChangeInterval     = 4 * second
	gossipChangeIntervalPerPair = millisecond / 10 // for each pair of balancers

	// expectedDispatchers of those that hear of free capacity dispatch their queue, since messages may be
	// lost.
	expectedDispatchers = 2.0
)

// gossipState is what a balancer knows of its peers.
type gossipState struct {
	peers          []peerState // by balancer index
	endpointsByTag map[[2]byte]*endpointState
	lastSentAt     int64 // of messages to all
	nextSendAt     int64
	lastReceivedAt int64  // of any message
	seq            byte   // of the messages sent
	buffer         []byte // scratch space of encodeGossip
}

// peerState is what the last message of a balancer said.
type peerState struct {
	seq        byte
	receivedAt int64            // 0: never
	endpoints  []*endpointState // in its subset
}

// peerLoad is what a balancer has in flight at an endpoint, by its last message.
type peerLoad struct {
	peer       int // index of the balancer
	inFlight   int
	receivedAt int64
}

// gossipEnabled reports whether balancers may send each other messages.
func (b *Balancer) gossipEnabled() bool { return b.settings.Limits.Gossip }

// gossipLost reports whether messages are taken to be lost.
func (b *Balancer) gossipLost(now int64) bool {
	return b.gossipEnabled() && now-b.gossip.lastReceivedAt > gossipLossTimeout
}

// gossipEndpoint sends what is in flight at s to those that share it.
func (b *Balancer) gossipEndpoint(s *endpointState) {
	if !b.gossipEnabled() || !s.inSubset || len(s.peerLoads) == 0 {
		return
	}
	message := b.encodeGossip(s)
	for _, load := range s.peerLoads[:min(len(s.peerLoads), b.gossipFanout())] {
		b.actions.SendGossip(load.peer, message)
	}
}

// gossipSubset sends the whole subset to all balancers when it is time.
func (b *Balancer) gossipSubset(now int64) {
	if !b.gossipEnabled() || now < b.gossip.nextSendAt {
		return
	}
	b.gossip.lastSentAt = now
	b.gossip.nextSendAt = now + b.gossipInterval() + b.rng.Int64N(b.gossipInterval())
	b.actions.SendGossip(-1, b.encodeGossip(b.subset...))
}

// advanceNextSend brings the next message to all forward, to that long after the last one.
func (g *gossipState) advanceNextSend(interval int64) {
	g.nextSendAt = min(g.nextSendAt, g.lastSentAt+interval)
}

// OnGossip takes another balancer's message. One that is damaged, old, or of an unknown version or sender is
// ignored.
func (b *Balancer) OnGossip(now int64, from int, message []byte) {
	if !b.gossipEnabled() {
		return
	}
	accepted, newSharer := b.handleGossip(now, from, message)
	if newSharer { // it may have been restarted, or have missed the last message to all
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

// handleGossip takes in a message if it is valid. newSharer: the sender is new to an endpoint of the subset.
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

// removeUnlistedPeerLoads forgets a balancer at the endpoints that its message, of its whole subset, doesn't mention.
func (b *Balancer) removeUnlistedPeerLoads(peer *peerState, from int, message []byte) {
	peer.endpoints = slices.DeleteFunc(peer.endpoints, func(s *endpointState) bool {
		if hasGossipEntry(message, s) {
			return false
		}
		s.peerLoads = slices.DeleteFunc(s.peerLoads, func(load peerLoad) bool { return load.peer == from })
		return true
	})
}

// recordPeerLoad sets what a balancer has in flight at s, and reports whether it is new to an endpoint of the
// subset.
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

// insertPeerLoad adds a balancer to those that share s. They are in the order of their indexes, from the one
// after this balancer's own, so that each sends to others where a message can't go to all.
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

// expirePeerLoads forgets balancers that have sent nothing for long.
func (b *Balancer) expirePeerLoads(now int64) {
	expired := func(load peerLoad) bool { return now-load.receivedAt > peerLoadIntervals*b.gossipInterval() }
	for _, s := range b.endpoints {
		s.peerLoads = slices.DeleteFunc(s.peerLoads, expired)
	}
}

// totalInFlight is what all balancers have in flight at s, as far as they told. Where messages are lost the
// others are taken to have as much as this one.
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
	// Where more balancers share s than a message goes to, those heard of stand for all.
	return float64(s.inFlight) + float64(others)*max(1, float64(len(s.peerLoads))/float64(b.gossipFanout()))
}

// gossipInterval is the least time between two messages to all.
func (b *Balancer) gossipInterval() int64 {
	return max(minGossipInterval, int64(b.settings.BalancerCount)*gossipIntervalPerBalancer)
}

// gossipChangeInterval is that time where the subset has changed.
func (b *Balancer) gossipChangeInterval() int64 {
	count := int64(b.settings.BalancerCount)
	return max(minGossipChangeInterval, gossipChangeIntervalPerPair*count*count)
}

// gossipFanout is how many balancers a message of one endpoint goes to.
func (b *Balancer) gossipFanout() int {
	fanout := min(maxGossipFanout, fleetGossipFanout/float64(max(1, b.settings.BalancerCount)))
	if b.settings.Limits.DecisionCPU > 0 {
		fanout = min(fanout, float64(b.settings.Limits.DecisionCPU)/gossipCPUPerPeer)
	}
	return int(max(1, fanout))
}
