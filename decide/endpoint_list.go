package decide

import (
	"slices"
)

const (
	removedRetention = 60 * second // a list may be stale by tens of seconds
)

// OnEndpoints takes the list, whole or its changes.
func (b *Balancer) OnEndpoints(now int64, list []Endpoint, whole bool) {
	b.pollFailures = 0
	if whole {
		for _, s := range b.endpoints {
			s.Phase = Removed
		}
	}
	var fresh []*endpointState
	for _, in := range list {
		s := b.endpointFor(now, in)
		if s.listedCapacity == 0 || in.StartedAt > s.StartedAt { // a new process: cold, and no old failure counts
			s.clearFailures()
			b.beginSlowStart(now, s, max(in.StartedAt, 0))
			fresh = append(fresh, s)
		}
		s.applyListing(in, b.settings.CapacityListed)
		if in.Phase != Removed && !s.inList {
			s.inList, b.endpoints = true, append(b.endpoints, s)
		}
	}
	b.removeUnlisted(now)
	b.sortEndpoints()
	b.scaleCapacities()
	b.updateSubset(now)
	for _, s := range fresh {
		b.resetLimit(s)
	}
	b.checkHealth(now)
	b.gossipSubset(now)
	b.dispatchQueued(now)
}

// endpointState is what this balancer knows of one server.
type endpointState struct {
	Endpoint                            // Size is scaled to a mean of one
	listedCapacity      float64         // size as listed
	peakCapacity        float64         // the largest so far
	idHash              uint64          // of its ID
	subsetRank          uint64          // place in this balancer's order
	inSubset, inList    bool            // drawn from; in the list of servers
	logWeight           float64         // EXP3's log-weight
	weight              float64         // exp(log)
	inFlight            int             // own attempts out
	silentSince         int64           // of its latest answer, or when the first attempt after that was sent
	concurrencyLimit    float64         // own attempts it may hold
	idleSince           int64           // when the connection to it fell idle; 0: none is open
	connectionSuspect   bool            // an attempt got no answer and none came since: its connection may be dead
	peerLoads           []peerLoad      // other balancers that draw from it
	lastAnswerEarly     bool            // its latest answer was
	limitCutAt          int64           // when the limit was last cut; 0 before its first late answer
	ejections           []ejectionState // by class
	ejectedForAll       bool            // for every class
	lastSuccessAt       int64
	removedAt           int64               // when it left the list, where it is not held
	slowStartSince      int64               // start of its latest warm-up; 0: warm
	slowStartTokens     expiringTokenBucket // while cold: sends that it may get
	successesThisSecond int                 // own answers this second
	baseCapacity        float64             // its size before its pace counts
	reportedInFlight    float64             // requests that it holds, as it tells
	reportedLatencyMs   float64             // ms that work takes it without waiting, as it tells; 0: not told
	latencyP15Ratio     float64             // one answer in 7 is quicker, as a part of its class's ease
}

// endpointFor returns what is known of a listed server; a new one starts at the mean log-weight, not yet silent.
func (b *Balancer) endpointFor(now int64, in Endpoint) *endpointState {
	s, met := b.knownEndpoints[in.ID]
	if !met {
		s = &endpointState{idHash: hash(in.ID), lastSuccessAt: now, ejections: make([]ejectionState, len(b.classes)), reportedInFlight: b.meanReportedInFlight}
		s.subsetRank = mixBits(s.idHash ^ b.subsetSeed)
		s.subsetRank = uint64(float64(s.subsetRank) / max(1, b.zoneWeight(in.Zone)/zoneRankFactor))
		s.setLogWeight(b.meanLogWeight())
		b.knownEndpoints[in.ID] = s
	}
	return s
}

// applyListing takes over an entry; a size that says nothing, or is past all measure, counts as one.
func (s *endpointState) applyListing(in Endpoint, sized bool) {
	if !sized || !(in.Capacity > 0 && in.Capacity <= maxListedCapacity) {
		in.Capacity = 1
	} else {
		s.peakCapacity = max(s.peakCapacity, in.Capacity)
	}
	s.Endpoint, s.listedCapacity = in, in.Capacity
}

// removeUnlisted forgets the place of servers that left the list.
func (b *Balancer) removeUnlisted(now int64) {
	b.endpoints = slices.DeleteFunc(b.endpoints, func(s *endpointState) bool {
		if s.Phase == Removed {
			s.inList, s.removedAt = false, now
		}
		return !s.inList
	})
}

// forgetRemoved forgets servers that left the list long ago; one that a stale list brings back is remembered till then.
// Guards against a fleet whose servers are replaced all day: each new id stayed for good.
func (b *Balancer) forgetRemoved(now int64) {
	for id, s := range b.knownEndpoints {
		if !s.inList && now-s.removedAt > removedRetention {
			delete(b.knownEndpoints, id)
		}
	}
}
