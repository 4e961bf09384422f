// The state that a balancer keeps about each endpoint, and how the endpoint list or a change to it is
// applied.

package decide

import "slices"

// removedRetention is how long the state of an endpoint is kept after it has left the list. A list can be
// stale by tens of seconds and bring the endpoint back.
const removedRetention = 60 * second

// endpointState is the state that a balancer keeps about one endpoint. Its Capacity is scaled, see
// capacity.go.
type endpointState struct {
	Endpoint
	idHash    uint64 // hash of its ID
	inList    bool   // in the current endpoint list
	removedAt int64  // when it left the list, µs

	listedCapacity float64 // 0: it has never been in the list
	peakCapacity   float64 // highest listed capacity
	baseCapacity   float64 // scaled to a mean of 1, before the correction for speed

	subsetRank uint64 // sort key in this balancer's order of endpoints
	inSubset   bool
	logWeight  float64 // EXP3 weight, as a logarithm
	weight     float64 // exp(logWeight)

	inFlight            int // this balancer's attempts in flight
	successesThisSecond int
	lastSuccessAt       int64
	silentSince         int64 // time of its latest response, or of the first send after it if that is later

	concurrencyLimit  float64 // limit on this balancer's attempts in flight
	limitCutAt        int64   // time of the last large cut; 0: no late response yet, 1: only small cuts
	lastResponseEarly bool    // the last successful response was early
	latencyP15Ratio   float64 // its p15 latency divided by the class's baselineP15; 0: no response yet

	ejections     []ejectionState // one per class
	ejectedForAll bool            // ejected from every class

	slowStartSince  int64 // 0: no slow start
	slowStartTokens expiringTokenBucket

	reportedInFlight      float64 // requests in flight that it last reported
	reportedServiceTimeMs float64 // smoothed, ms; 0: not reported

	idleSince         int64      // when the connection to it became idle; 0: no connection is open
	connectionSuspect bool       // an attempt got no response, and none has arrived since
	peerLoads         []peerLoad // attempts in flight of the other balancers, by their gossip
}

// OnEndpoints handles the endpoint list. If complete is set, list is the whole list, and otherwise only its
// changes.
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

// applyList applies list entries and returns the endpoints that are new or were restarted. These begin slow
// start, and their earlier failures are cleared.
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

// endpointFor returns the state of a listed endpoint. A new endpoint starts with the mean log-weight and
// the mean reported load.
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

// applyEntry copies a list entry. The capacity is 1 if capacities are not listed or if it is out of range.
func (s *endpointState) applyEntry(entry Endpoint, capacityListed bool) {
	if !capacityListed || !(entry.Capacity > 0 && entry.Capacity <= maxListedCapacity) {
		entry.Capacity = 1
	} else {
		s.peakCapacity = max(s.peakCapacity, entry.Capacity)
	}
	s.Endpoint = entry
	s.listedCapacity = entry.Capacity
}

// dropRemoved deletes endpoints that have left the list from b.endpoints.
func (b *Balancer) dropRemoved(now int64) {
	b.endpoints = slices.DeleteFunc(b.endpoints, func(s *endpointState) bool {
		if s.Phase == Removed {
			s.inList, s.removedAt = false, now
		}
		return !s.inList
	})
}

// forgetRemoved deletes the state of endpoints that left the list more than removedRetention ago.
func (b *Balancer) forgetRemoved(now int64) {
	for id, s := range b.knownEndpoints {
		if !s.inList && now-s.removedAt > removedRetention {
			delete(b.knownEndpoints, id)
		}
	}
}
