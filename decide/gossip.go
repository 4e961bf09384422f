package decide

import (
	"math"
	"slices"
)

const (
	peerLoadIntervals         = 3           // words to all may fail to come before a sharer is forgotten
	peerLoadTTL               = second      // that a count told holds: its end may be lost
	gossipLossTimeout         = second / 4  // without a word from anybody, past which words are taken to be lost
	maxGossipFanout           = 24.0        // balancers that a word goes to
	gossipCPUPerPeer          = 400.0       // µs of CPU a second for each of them
	fleetGossipFanout         = 16_000.0    // of all balancers together: words of a large fleet fill the links
	minGossipInterval         = 20 * second // µs between two words to all, up to twice that
	gossipIntervalPerBalancer = 100_000     // µs of that time for each balancer: a word to all costs each of them
	minGossipChangeInterval   = 4 * second  // µs, sooner than that where what it draws from has changed
	gossipChangePerPair       = 100         // µs of this for each pair of balancers
)

// gossipEndpoint tells those who draw from s what this balancer has out there.
func (b *Balancer) gossipEndpoint(now int64, s *endpointState) {
	if b.gossipEnabled() && s.inSubset && len(s.peerLoads) > 0 {
		w := b.encodeGossip(s)
		for _, p := range s.peerLoads[:min(len(s.peerLoads), b.gossipFanout())] {
			b.actions.SendGossip(p.peer, w)
		}
	}
}

// gossipSubset tells all what this balancer draws from when it is time: soon after that has changed.
func (b *Balancer) gossipSubset(now int64) {
	if b.gossipEnabled() && now >= b.nextGossipAt {
		b.lastGossipAt, b.nextGossipAt = now, now+b.gossipInterval()+b.rng.Int64N(b.gossipInterval())
		b.actions.SendGossip(-1, b.encodeGossip(b.subset...))
	}
}

// OnGossip takes in another balancer's message.
func (b *Balancer) OnGossip(now int64, from int, word []byte) {
	if !b.gossipEnabled() {
		return
	}
	ok, met := b.handleGossip(now, from, word)
	if met { // it may not know of this one: it started anew, or a word to all was lost
		b.actions.SendGossip(from, b.encodeGossip(b.subset...))
	}
	if ok {
		b.lastGossipReceivedAt = now
		if len(b.queue) > 0 && b.rng.Float64()*b.balancersPerEndpoint() < expectedDispatchers {
			b.dispatchQueued(now)
		}
	}
}

// peerLoad is another balancer that draws from a server, as it last told.
type peerLoad struct {
	peer, inFlight int
	reportedAt     int64
}

// peerState is the last word heard of a balancer.
type peerState struct {
	seq        byte
	receivedAt int64            // 0: never
	endpoints  []*endpointState // where it is a sharer
}

// handleGossip takes in a message, unless it is none, damaged, of another version, old, or from itself. Of servers not
// listed here it keeps nothing. met: the sender is new as a sharer of an arm.
func (b *Balancer) handleGossip(now int64, from int, w []byte) (ok, met bool) {
	if len(w) < gossipHeaderBytes || len(w) > maxGossipBytes || (len(w)-gossipHeaderBytes)%gossipEntryBytes != 0 || w[0]&^gossipSeqMask != gossipVersion ||
		from == b.settings.BalancerIndex || from < 0 || from >= b.settings.BalancerCount {
		return false, false
	}
	for e := gossipHeaderBytes; e < len(w); e += gossipEntryBytes {
		if w[e+2]&15 != gossipChecksum(w[0], w[1], w[e], w[e+1], w[e+2]>>4) {
			return false, false
		}
	}
	for len(b.peers) <= from {
		b.peers = append(b.peers, peerState{})
	}
	v, seq := &b.peers[from], w[0]&gossipSeqMask
	if v.receivedAt > 0 && now-v.receivedAt < second && (seq-v.seq-1)&gossipSeqMask >= gossipSeqHalf {
		return false, false
	}
	v.seq, v.receivedAt = seq, now
	if w[1] < 255 && from+1 != b.gossipedIdlePeer { // it has evidence, and did not tell the last
		if idle := gossipIdleUnit * math.Exp(gossipIdleLogStep*float64(w[1])); idle < b.safeIdleTime {
			b.safeIdleTime = min(b.safeIdleTime, max(idle, b.gossipedIdleBound)) // the higher of what two have told
			b.gossipedIdleBound, b.gossipedIdlePeer = idle, from+1
		}
	}
	if len(w) != gossipHeaderBytes+gossipEntryBytes { // all its servers: it has left the others
		v.endpoints = slices.DeleteFunc(v.endpoints, func(s *endpointState) bool {
			left := !mentions(w, s)
			if left {
				s.peerLoads = slices.DeleteFunc(s.peerLoads, func(p peerLoad) bool { return p.peer == from })
			}
			return left
		})
	}
	for e := gossipHeaderBytes; e < len(w); e += gossipEntryBytes {
		if s := b.endpointsByTag[[2]byte{w[e], w[e+1]}]; s != nil {
			met = b.recordPeerLoad(now, s, from, int(w[e+2]>>4)) || met
		}
	}
	return true, met
}

// recordPeerLoad writes down what a sharer holds at s and tells whether it is new as a sharer of an arm.
func (b *Balancer) recordPeerLoad(now int64, s *endpointState, from, held int) bool {
	at := slices.IndexFunc(s.peerLoads, func(p peerLoad) bool { return p.peer == from })
	fresh := at < 0
	if fresh {
		at = b.insertPeerLoad(s, from)
		if v := &b.peers[from]; !slices.Contains(v.endpoints, s) {
			v.endpoints = append(v.endpoints, s)
		}
	}
	s.peerLoads[at].inFlight, s.peerLoads[at].reportedAt = held, now
	return fresh && s.inSubset
}

// insertPeerLoad adds a sharer to a server's: those that come next after this balancer's number are first.
func (b *Balancer) insertPeerLoad(s *endpointState, from int) int {
	far := func(n int) int {
		return (n - b.settings.BalancerIndex + b.settings.BalancerCount) % b.settings.BalancerCount
	}
	at := 0
	for at < len(s.peerLoads) && far(s.peerLoads[at].peer) < far(from) {
		at++
	}
	s.peerLoads = slices.Insert(s.peerLoads, at, peerLoad{peer: from})
	return at
}

// gossipInterval is the time between two words to all, at the most: longer where there are many to tell.
func (b *Balancer) gossipInterval() int64 {
	return max(minGossipInterval, int64(b.settings.BalancerCount)*gossipIntervalPerBalancer)
}

// gossipChangeInterval is the time between them where what this balancer draws from has changed.
func (b *Balancer) gossipChangeInterval() int64 {
	return max(minGossipChangeInterval, gossipChangePerPair*int64(b.settings.BalancerCount)*int64(b.settings.BalancerCount))
}

// expirePeerLoads drops those not heard for long.
func (b *Balancer) expirePeerLoads(now int64) {
	for _, s := range b.endpoints {
		s.peerLoads = slices.DeleteFunc(s.peerLoads, func(p peerLoad) bool { return now-p.reportedAt > peerLoadIntervals*b.gossipInterval() })
	}
}

// gossipEnabled tells whether balancers may tell one another what they have out.
func (b *Balancer) gossipEnabled() bool { return b.settings.Limits.Gossip }

// gossipLost tells whether the words of the others are lost.
func (b *Balancer) gossipLost(now int64) bool {
	return b.gossipEnabled() && now-b.lastGossipReceivedAt > gossipLossTimeout
}

// totalInFlight is what all balancers that draw from s have out there, as far as this one was told.
func (b *Balancer) totalInFlight(now int64, s *endpointState) float64 {
	if len(s.peerLoads) == 0 && !b.gossipEnabled() {
		return float64(s.inFlight)
	}
	n := 0
	if b.gossipLost(now) { // words are lost: the others are taken to do as this one does
		return float64(s.inFlight) * b.balancersPerEndpoint()
	}
	for i := range s.peerLoads {
		if p := &s.peerLoads[i]; now-p.reportedAt < peerLoadTTL {
			n += p.inFlight
		}
	}
	return float64(s.inFlight) + float64(n)*max(1, float64(len(s.peerLoads))/float64(b.gossipFanout()))
}

// gossipFanout is how many a word goes to: each that comes costs its receiver some of the CPU that it has.
func (b *Balancer) gossipFanout() int {
	most := min(maxGossipFanout, fleetGossipFanout/float64(max(1, b.settings.BalancerCount)))
	if b.settings.Limits.CPU > 0 {
		most = min(most, float64(b.settings.Limits.CPU)/gossipCPUPerPeer)
	}
	return int(max(1, most))
}
