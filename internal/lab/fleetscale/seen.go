package fleetscale

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// book is what was seen of the members, by when it happened.
type book struct {
	mu      sync.Mutex
	serves  int
	failed  string
	leased  map[string]int // first leases of incarnations
	leads   []lead
	out     map[string]time.Time // incarnations that were put out
	last    time.Time            // of a lease that began
	adopted map[string][]mark
	listed  map[string][]mark
	change  chan struct{} // closed and replaced with each word
}

type lead struct {
	by *child
	at time.Time
}

// mark is a number in force from a moment on.
type mark struct {
	number int64
	at     time.Time
}

func newBook() *book {
	return &book{leased: map[string]int{}, out: map[string]time.Time{}, adopted: map[string][]mark{}, listed: map[string][]mark{}, change: make(chan struct{})}
}

func (b *book) take(by *child, e Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e.Member == "" {
		e.Member = by.name
	}
	switch e.Kind {
	case Serves:
		b.serves++
	case Failed:
		b.failed = by.name + ": " + e.Why
	case Leased:
		b.leased[e.Member]++
		b.last = e.At
	case Leads:
		b.leads = append(b.leads, lead{by, e.At})
	case Evicted:
		if key := e.Member + "/" + e.Which; b.out[key].IsZero() {
			b.out[key] = e.At
		}
	case Adopted:
		b.adopted[e.Member] = append(b.adopted[e.Member], mark{e.Number, e.At})
	case Listed:
		b.listed[e.Member] = append(b.listed[e.Member], mark{e.Number, e.At})
	}
	close(b.change)
	b.change = make(chan struct{})
}

// leader is the process whose member began to lead last, of those asked about.
func (b *book) leader(of func(*child) bool) (*child, time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best lead
	for _, l := range b.leads {
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
func inForce(made []mark, members []string, marks map[string][]mark) (ms []float64, f InForce) {
	for _, name := range members {
		own := slices.Clone(marks[name])
		slices.SortFunc(own, func(a, b mark) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
		for _, m := range made {
			f.Expected++
			at := slices.IndexFunc(own, func(o mark) bool { return o.number >= m.number && !o.at.Before(m.at) })
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
