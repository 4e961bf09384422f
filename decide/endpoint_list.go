// What a balancer knows of each endpoint, and how a new list or a change of it is applied.

package decide

import "slices"

// removedRetention is how long an endpoint that left the list is remembered: a list may be stale for tens of
// seconds, and bring it back.
const removedRetention = 60 * second

// endpointState is what a balancer knows of one endpoint. Its Capacity is scaled, see capacity.go.
type endpointState struct {
	Endpoint
	idHash    uint64
	inList    bool
	removedAt int64 // when it left the list

	listedCapacity float64 // 0: never listed
	peakCapacity   float64 // highest listed
	baseCapacity   float64 // scaled, before the correction by speed

	subsetRank uint64 // place in this balancer's order
	inSubset   bool
	logWeight  float64 // of EXP3
	weight     float64 // exp(logWeight)

	inFlight            int // own attempts
	successesThisSecond int
	lastSuccessAt       int64
	silentSince         int64 // its latest answer, or the first send after it if that is later

	concurrencyLimit  float64 // own attempts that may be in flight
	limitCutAt        int64   // 0: no late answer yet
	lastResponseEarly bool
	latencyP15Ratio   float64 // the quickest answers, in parts of the class's baselineP15; 0: none yet

	ejections     []ejectionState // by class
	ejectedForAll bool            // from every class

	slowStartSince  int64 // 0: never
	slowStartTokens expiringTokenBucket

	reportedInFlight      float64 // requests
	reportedServiceTimeMs float64 // of work there, without waiting; 0: not reported

	idleSince         int64 // when the connection to it fell idle; 0: none is open
	connectionSuspect bool  // an attempt got no answer and none came since
	peerLoads         []peerLoad
}

// OnEndpoints takes the endpoint list: all of it, or its changes.
func (b *Balancer) OnEndpoints(now int64, list []Endpoint, complete bool) {
	b.pollFailures = 0
	if complete {
		for _, s := range b.endpoints {
			s.Phase = Removed
		}
	}
	started := b.applyList(now, list)
	b.dropRemoved(now)
	b.sortEndpoints()
	b.indexGossipTags()
	b.scaleCapacities()
	b.updateSubset(now)
	for _, s := range started {
		b.resetLimit(s)
	}
	b.checkHealth(now)
	b.gossipSubset(now)
	b.dispatchQueued(now)
}

// applyList takes over entries and returns the endpoints that are new or were restarted. These are in slow
// start, and no earlier failure counts.
func (b *Balancer) applyList(now int64, list []Endpoint) (started []*endpointState) {
	for _, entry := range list {
		s := b.endpointFor(now, entry)
		if s.listedCapacity == 0 || entry.StartedAt > s.StartedAt {
			s.clearFailures()
			b.beginSlowStart(now, s, max(entry.StartedAt, 0))
			started = append(started, s)
		}
		s.applyEntry(entry, b.settings.CapacityListed)
		if entry.Phase != Removed && !s.inList {
			s.inList = true
			b.endpoints = append(b.endpoints, s)
		}
	}
	return started
}

// endpointFor returns what is known of a listed endpoint. A new one starts with the mean log-weight and load.
func (b *Balancer) endpointFor(now int64, entry Endpoint) *endpointState {
	s, known := b.knownEndpoints[entry.ID]
	if known {
		return s
	}
	s = &endpointState{
		idHash:           hash(entry.ID),
		lastSuccessAt:    now,
		ejections:        make([]ejectionState, len(b.classes)),
		reportedInFlight: b.loadReports.meanInFlight,
	}
	s.subsetRank = b.subsetRank(s, entry.Zone)
	s.setLogWeight(b.meanLogWeight())
	b.knownEndpoints[entry.ID] = s
	return s
}

// applyEntry takes over an entry. A capacity that isn't listed, or is absurd, counts as one.
func (s *endpointState) applyEntry(entry Endpoint, capacityListed bool) {
	if !capacityListed || !(entry.Capacity > 0 && entry.Capacity <= maxListedCapacity) {
		entry.Capacity = 1
	} else {
		s.peakCapacity = max(s.peakCapacity, entry.Capacity)
	}
	s.Endpoint = entry
	s.listedCapacity = entry.Capacity
}

// dropRemoved takes endpoints that have left out of the list.
func (b *Balancer) dropRemoved(now int64) {
	b.endpoints = slices.DeleteFunc(b.endpoints, func(s *endpointState) bool {
		if s.Phase == Removed {
			s.inList, s.removedAt = false, now
		}
		return !s.inList
	})
}

// forgetRemoved forgets endpoints that left the list long ago.
func (b *Balancer) forgetRemoved(now int64) {
	for id, s := range b.knownEndpoints {
		if !s.inList && now-s.removedAt > removedRetention {
			delete(b.knownEndpoints, id)
		}
	}
}
