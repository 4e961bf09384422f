package rollout

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	fewest    = 50               // requests on either side, below which nothing is said of service
	fallShare = 0.10             // of requests that are served less under the target: it is held
	stale     = 10 * time.Second // a report older than that tells nothing
)

// Report is what a member says of itself with each ask for a lease.
type Report struct {
	_       struct{} `cbor:",toarray"`
	Acts    uint64   `json:"Acts"`    // number of the settings that it acts on
	Refused uint64   `json:"Refused"` // number that it could not adopt; 0: none
	Why     string   `json:"Why"`     // it could not
	Digest  uint64   `json:"Digest"`  // of the settings it acts on
	Build   string   `json:"Build"`
	Now     Service  `json:"Now"`    // since it adopted what it acts on
	Before  Service  `json:"Before"` // under what it acted on before
}

// Service counts requests.
type Service struct {
	_      struct{} `cbor:",toarray"`
	Ended  uint64   `json:"Ended"`
	Served uint64   `json:"Served"`
}

func (s *Service) add(o Service) { s.Ended, s.Served = s.Ended+o.Ended, s.Served+o.Served }

func (s Service) share() float64 { return float64(s.Served) / float64(max(1, s.Ended)) }

// Heard is a report with when it came.
type Heard struct {
	Report
	At time.Time
}

// Guard bounds how many members may be without a lease.
type Guard struct {
	MostOut int  // thousandths of all members
	Loose   bool // a fault on purpose: one more than that
}

// Allows tells whether so many of all may be without a lease.
func (g Guard) Allows(out, all int) bool {
	most := all * g.MostOut / Whole
	if g.Loose {
		most++
	}
	return out <= most
}

// Driver is what a leader does by itself. It starts anew with each term: no time is counted twice.
type Driver struct {
	Guard Guard
	Name  string // of who leads

	plan  *Plan     // that its times are of
	since time.Time // from when all of the share have acted on the target, or the widening was seen
	asked time.Time
	Waits string // why it does not go on, for operators
}

// Reset begins a term.
func (d *Driver) Reset() { d.plan, d.since, d.asked, d.Waits = nil, time.Time{}, time.Time{}, "" }

// Lacking lists the names that would be without a lease at a fence: those nobody can tell about, those that are barred
// and those that act below it.
func Lacking(fence uint64, barred, names []string, heard map[string]Heard, now time.Time) (out []string) {
	for _, n := range names {
		h, ok := heard[n]
		if !ok || now.Sub(h.At) > stale || h.Acts < fence || slices.Contains(barred, n) {
			out = append(out, n)
		}
	}
	return out
}

// MayBar tells whether a name may be shut out now.
func (d *Driver) MayBar(name string, p *Plan, names []string, heard map[string]Heard, now time.Time) error {
	barred := append(slices.Clone(p.Barred), name)
	out := Lacking(p.Fence, barred, names, heard, now)
	if !d.Guard.Allows(len(out), len(names)) {
		return fmt.Errorf("without a lease would be %s: more than %d thousandths of %d members", strings.Join(out, ", "), d.Guard.MostOut, len(names))
	}
	return nil
}

// Step returns the order that is due, or nil. living are the names that have a member; now is the leader's own clock, heard the reports of this term.
func (d *Driver) Step(now time.Time, p *Plan, names, living []string, heard map[string]Heard) *Order {
	if d.plan == nil || d.plan.Target != p.Target || d.plan.Share != p.Share {
		d.since, d.asked = time.Time{}, time.Time{}
	}
	d.plan, d.Waits = p, ""
	if p.Target == 0 || p.Fence == p.Target || p.Held != "" || !d.asked.IsZero() && now.Sub(d.asked) < time.Second {
		return nil
	}
	if why := d.trouble(now, p, names, heard); why != "" {
		return d.order(now, Hold, p.Target, why)
	}
	cohort := names
	if p.Share < Whole {
		cohort = slices.DeleteFunc(slices.Clone(p.First), func(n string) bool { return !slices.Contains(living, n) })
	}
	behind := Lacking(p.Target, nil, cohort, heard, now)
	if p.Share < Whole {
		if len(cohort) == 0 { // guards against a rollout that waits for members which are down
			return d.order(now, Choose, p.Target, "none lives of "+strings.Join(p.First, ", "))
		}
		if len(behind) > 0 {
			d.since, d.Waits = time.Time{}, "for the first members: "+strings.Join(p.First, ", ")
			return nil
		}
		if d.since.IsZero() {
			d.since = now
		}
		if left := time.Duration(p.SettleMs)*time.Millisecond - now.Sub(d.since); left > 0 {
			d.Waits = fmt.Sprintf("for %v, the settling time", left.Round(time.Millisecond))
			return nil
		}
		return d.order(now, Widen, p.Target, fmt.Sprintf("%d members have settled", len(cohort)))
	}
	if d.since.IsZero() {
		d.since = now
	}
	if left := time.Duration(p.GraceMs)*time.Millisecond - now.Sub(d.since); left > 0 && len(behind) > 0 {
		d.Waits = fmt.Sprintf("for %s, or %v, the grace", strings.Join(behind, ", "), left.Round(time.Millisecond))
		return nil
	}
	if out := Lacking(p.Target, p.Barred, names, heard, now); !d.Guard.Allows(len(out), len(names)) {
		d.Waits = fmt.Sprintf("guard: without a lease would be %s, more than %d thousandths of %d members", strings.Join(out, ", "),
			d.Guard.MostOut, len(names))
		return nil
	}
	why := "all act on it"
	if len(behind) > 0 {
		why = "the grace is over; behind: " + strings.Join(behind, ", ")
	}
	return d.order(now, Fence, p.Target, why)
}

// trouble tells why the target should go no further.
func (d *Driver) trouble(now time.Time, p *Plan, names []string, heard map[string]Heard) string {
	var refused []string
	why := ""
	var under, before Service
	for _, n := range names {
		h, ok := heard[n]
		if !ok || now.Sub(h.At) > stale {
			continue
		}
		if h.Refused == p.Target {
			refused, why = append(refused, n), h.Why
		}
		if h.Acts == p.Target {
			under.add(h.Now)
			before.add(h.Before)
		}
	}
	switch {
	case len(refused) > 0 && (!d.Guard.Allows(len(refused), len(names)) || p.Share < Whole && len(refused) == len(p.First)):
		return cut("refused by " + strings.Join(refused, ", ") + ": " + why)
	case under.Ended >= fewest && before.Ended >= fewest && before.share()-under.share() > fallShare:
		return fmt.Sprintf("service fell: %.1f%% of %d served, %.1f%% of %d before", 100*under.share(), under.Ended, 100*before.share(), before.Ended)
	}
	return ""
}

func cut(s string) string { return s[:min(len(s), mostWhy)] }

// order makes an order of the leader. Its id is that of what it does: two leaders in a row do it once.
func (d *Driver) order(now time.Time, k Kind, number uint64, why string) *Order {
	d.asked = now
	id := uint64(k)<<48 | number&(1<<48-1)
	if k == Choose { // it may be due again
		id ^= xxhash.Sum64String(strings.Join(d.plan.First, "/"))
	}
	return &Order{Kind: k, ID: 1<<63 | id, Who: "leader " + d.Name, Why: cut(why), Number: number}
}
