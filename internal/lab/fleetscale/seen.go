package fleetscale

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// observations is what was seen of the members, by when it happened.
type observations struct {
	mu          sync.Mutex
	serving     int
	failure     string
	leaseCounts map[string]int // first leases of incarnations
	elections   []election
	evictions   map[string]time.Time // incarnations that were put out
	lastLease   time.Time            // of a lease that began
	adopted     map[string][]versionTime
	listed      map[string][]versionTime
	changed     chan struct{} // closed and replaced with each word
}

type election struct {
	process *child
	at      time.Time
}

// versionTime is a number in force from a moment on.
type versionTime struct {
	number int64
	at     time.Time
}

func newObservations() *observations {
	return &observations{leaseCounts: map[string]int{}, evictions: map[string]time.Time{}, adopted: map[string][]versionTime{}, listed: map[string][]versionTime{}, changed: make(chan struct{})}
}

func (b *observations) record(by *child, e Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e.Member == "" {
		e.Member = by.name
	}
	switch e.Kind {
	case EventServing:
		b.serving++
	case EventFailed:
		b.failure = by.name + ": " + e.Error
	case EventLeaseGranted:
		b.leaseCounts[e.Member]++
		b.lastLease = e.At
	case EventLeaderElected:
		b.elections = append(b.elections, election{by, e.At})
	case EventEvicted:
		if key := e.Member + "/" + e.Incarnation; b.evictions[key].IsZero() {
			b.evictions[key] = e.At
		}
	case EventSettingsApplied:
		b.adopted[e.Member] = append(b.adopted[e.Member], versionTime{e.Number, e.At})
	case EventListApplied:
		b.listed[e.Member] = append(b.listed[e.Member], versionTime{e.Number, e.At})
	}
	close(b.changed)
	b.changed = make(chan struct{})
}

// leader is the process whose member began to lead last, of those asked about.
func (b *observations) leader(of func(*child) bool) (*child, time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best election
	for _, l := range b.elections {
		if of(l.process) && l.at.After(best.at) {
			best = l
		}
	}
	return best.process, best.at
}

// InForce tells how long changes took to be in force, in ms, over all members and changes.
type PropagationTimes struct {
	Changes     int     // that were agreed, or listed
	Rejected    int     `json:"Refused"` // changes that were not committed
	Expected    int     // changes times members
	Missing     int     // of these, not in force at the end
	P50Ms       float64 `json:"P50"`
	P99Ms       float64 `json:"P99"`
	MaxMs       float64 `json:"Most"`
	PerSecond   float64 // changes made
	WorstMember string  `json:",omitempty"`
}

// compareInForce compares when changes were made with when members had them, or later ones, in force.
func compareInForce(made []versionTime, members []string, marks map[string][]versionTime) (ms []float64, f PropagationTimes) {
	for _, name := range members {
		own := slices.Clone(marks[name])
		slices.SortFunc(own, func(a, b versionTime) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
		for _, m := range made {
			f.Expected++
			at := slices.IndexFunc(own, func(o versionTime) bool { return o.number >= m.number && !o.at.Before(m.at) })
			if at < 0 {
				f.Missing++
				f.WorstMember = name
				continue
			}
			ms = append(ms, float64(own[at].at.Sub(m.at).Microseconds())/1000)
		}
	}
	return ms, f
}

// setQuantiles fills in the figures of all times.
func (f *PropagationTimes) setQuantiles(ms []float64) {
	if len(ms) == 0 {
		return
	}
	slices.Sort(ms)
	rank := func(p float64) float64 { return ms[min(len(ms)-1, int(p*float64(len(ms))))] }
	f.P50Ms, f.P99Ms, f.MaxMs = rank(0.5), rank(0.99), ms[len(ms)-1]
}
