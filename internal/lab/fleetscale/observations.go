package fleetscale

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// observations is what was seen of the members, by when it happened. Its methods may be called from any goroutine.
type observations struct {
	mu               sync.Mutex
	servingProcesses int
	failure          string
	leased           map[string]int // first leases of incarnations
	leaderships      []leadership
	evictedAt        map[string]time.Time // evicted incarnations
	lastLease        time.Time            // of a lease that began
	adopted          map[string][]appliedNumber
	listed           map[string][]appliedNumber
	changed          chan struct{} // closed and replaced with each event
}

type leadership struct {
	by *child
	at time.Time
}

// appliedNumber is a version's or a list's number, in force from a time on.
type appliedNumber struct {
	number int64
	at     time.Time
}

func newObservations() *observations {
	return &observations{leased: map[string]int{}, evictedAt: map[string]time.Time{}, adopted: map[string][]appliedNumber{}, listed: map[string][]appliedNumber{}, changed: make(chan struct{})}
}

func (b *observations) record(by *child, e Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e.Member == "" {
		e.Member = by.name
	}
	switch e.Kind {
	case Serves:
		b.servingProcesses++
	case Failed:
		b.failure = by.name + ": " + e.Why
	case Leased:
		b.leased[e.Member]++
		b.lastLease = e.At
	case Leads:
		b.leaderships = append(b.leaderships, leadership{by, e.At})
	case Evicted:
		if key := e.Member + "/" + e.Which; b.evictedAt[key].IsZero() {
			b.evictedAt[key] = e.At
		}
	case Adopted:
		b.adopted[e.Member] = append(b.adopted[e.Member], appliedNumber{e.Number, e.At})
	case Listed:
		b.listed[e.Member] = append(b.listed[e.Member], appliedNumber{e.Number, e.At})
	}
	close(b.changed)
	b.changed = make(chan struct{})
}

// leader is the process whose member began to lead last, of those asked about.
func (b *observations) leader(of func(*child) bool) (*child, time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best leadership
	for _, l := range b.leaderships {
		if of(l.by) && l.at.After(best.at) {
			best = l
		}
	}
	return best.by, best.at
}

// InForce tells how long changes took to be in force, in ms, over all members and changes.
type InForce struct {
	Changes     int // that were agreed, or listed
	Refused     int // that were not
	Expected    int // changes times members
	Missing     int // of these, not in force at the end
	P50, P99    float64
	Most        float64
	PerSecond   float64 // changes made
	WorstMember string  `json:",omitempty"`
}

// inForce compares when changes were made with when members had them, or later ones, in force.
func inForce(made []appliedNumber, members []string, marks map[string][]appliedNumber) (ms []float64, f InForce) {
	for _, name := range members {
		own := slices.Clone(marks[name])
		slices.SortFunc(own, func(a, b appliedNumber) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
		for _, m := range made {
			f.Expected++
			at := slices.IndexFunc(own, func(o appliedNumber) bool { return o.number >= m.number && !o.at.Before(m.at) })
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

// ranks fills in the figures of all times.
func (f *InForce) ranks(ms []float64) {
	if len(ms) == 0 {
		return
	}
	slices.Sort(ms)
	rank := func(p float64) float64 { return ms[min(len(ms)-1, int(p*float64(len(ms))))] }
	f.P50, f.P99, f.Most = rank(0.5), rank(0.99), ms[len(ms)-1]
}
