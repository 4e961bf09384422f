package fleetscale

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// observations records the events of all members with their times.
type observations struct {
	mu              sync.Mutex
	serving         int            // processes that have reported EventServing
	failure         string         // of the last process that has reported EventFailed
	leaseCounts     map[string]int // number of incarnations that were granted a lease, by member
	elections       []election
	evictions       map[string]time.Time // time of the first report, by incarnation (member/incarnation)
	lastLease       time.Time            // time of the latest first lease of an incarnation
	appliedSettings map[string][]versionTime
	appliedLists    map[string][]versionTime
	changed         chan struct{} // closed and replaced at each event
}

type election struct {
	process *child
	at      time.Time
}

// versionTime is the time from which a version is committed, published or applied.
type versionTime struct {
	number int64
	at     time.Time
}

func newObservations() *observations {
	return &observations{leaseCounts: map[string]int{}, evictions: map[string]time.Time{}, appliedSettings: map[string][]versionTime{}, appliedLists: map[string][]versionTime{}, changed: make(chan struct{})}
}

func (b *observations) record(source *child, e Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e.Member == "" {
		e.Member = source.name
	}
	switch e.Kind {
	case EventServing:
		b.serving++
	case EventFailed:
		b.failure = source.name + ": " + e.Error
	case EventLeaseGranted:
		b.leaseCounts[e.Member]++
		b.lastLease = e.At
	case EventLeaderElected:
		b.elections = append(b.elections, election{source, e.At})
	case EventEvicted:
		if key := e.Member + "/" + e.Incarnation; b.evictions[key].IsZero() {
			b.evictions[key] = e.At
		}
	case EventSettingsApplied:
		b.appliedSettings[e.Member] = append(b.appliedSettings[e.Member], versionTime{e.Number, e.At})
	case EventListApplied:
		b.appliedLists[e.Member] = append(b.appliedLists[e.Member], versionTime{e.Number, e.At})
	}
	close(b.changed)
	b.changed = make(chan struct{})
}

// lastElected returns the process, among those for which eligible returns true, whose member was elected last, and the time of the
// election.
func (b *observations) lastElected(eligible func(*child) bool) (*child, time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var latest election
	for _, l := range b.elections {
		if eligible(l.process) && l.at.After(latest.at) {
			latest = l
		}
	}
	return latest.process, latest.at
}

// PropagationTimes summarises how long changes took until members had applied them, over all members and changes.
type PropagationTimes struct {
	Changes     int     // committed settings versions, or list changes
	Rejected    int     `json:"Refused"` // changes that were not committed
	Expected    int     // changes times members that must apply them
	Missing     int     // expected, but not applied at the end
	P50Ms       float64 `json:"P50"`
	P99Ms       float64 `json:"P99"`
	MaxMs       float64 `json:"Most"`
	PerSecond   float64 // rate of changes
	WorstMember string  `json:",omitempty"` // last member found with a change missing
}

// propagationDelays returns, for each change and member, the ms from the change until the member had applied it or a later one. The
// counts of expected and missing changes are returned too.
func propagationDelays(changes []versionTime, members []string, applied map[string][]versionTime) (ms []float64, f PropagationTimes) {
	for _, name := range members {
		versions := slices.Clone(applied[name])
		slices.SortFunc(versions, func(a, b versionTime) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
		for _, change := range changes {
			f.Expected++
			at := slices.IndexFunc(versions, func(v versionTime) bool { return v.number >= change.number && !v.at.Before(change.at) })
			if at < 0 {
				f.Missing++
				f.WorstMember = name
				continue
			}
			ms = append(ms, float64(versions[at].at.Sub(change.at).Microseconds())/1000)
		}
	}
	return ms, f
}

// setQuantiles sets the quantiles and the maximum of the delays.
func (f *PropagationTimes) setQuantiles(ms []float64) {
	if len(ms) == 0 {
		return
	}
	slices.Sort(ms)
	rank := func(p float64) float64 { return ms[min(len(ms)-1, int(p*float64(len(ms))))] }
	f.P50Ms, f.P99Ms, f.MaxMs = rank(0.5), rank(0.99), ms[len(ms)-1]
}
