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
	_            struct{}      `cbor:",toarray"`
	Active       uint64        `json:"Acts"`    // number of the settings that it acts on
	Rejected     uint64        `json:"Refused"` // number that it could not adopt; 0: none
	RejectReason string        `json:"Why"`     // it could not
	Digest       uint64        `json:"Digest"`  // of the settings it acts on
	Build        string        `json:"Build"`
	Current      ServiceCounts `json:"Now"`    // since it adopted what it acts on
	Previous     ServiceCounts `json:"Before"` // under what it acted on before
}

// ServiceCounts counts requests.
type ServiceCounts struct {
	_        struct{} `cbor:",toarray"`
	Answered uint64   `json:"Ended"`
	Served   uint64   `json:"Served"`
}

func (s *ServiceCounts) add(o ServiceCounts) {
	s.Answered, s.Served = s.Answered+o.Answered, s.Served+o.Served
}

func (s ServiceCounts) share() float64 { return float64(s.Served) / float64(max(1, s.Answered)) }

// ReceivedReport is a report with when it came.
type ReceivedReport struct {
	Report
	ReceivedAt time.Time
}

// Guard bounds how many members may be without a lease.
type Guard struct {
	MaxUnleasedPermille int  // thousandths of all members
	OffByOne            bool // a fault on purpose: one more than that
}

// Allows tells whether so many of all may be without a lease.
func (g Guard) Allows(out, all int) bool {
	most := all * g.MaxUnleasedPermille / FullShare
	if g.OffByOne {
		most++
	}
	return out <= most
}

// Controller is what a leader does by itself. It starts anew with each term: no time is counted twice.
type Controller struct {
	Guard  Guard
	Leader string // of who leads

	plan       *Plan     // that its times are of
	since      time.Time // from when all of the share have acted on the target, or the widening was seen
	asked      time.Time
	WaitReason string // why it does not go on, for operators
}

// Reset begins a term.
func (d *Controller) Reset() {
	d.plan, d.since, d.asked, d.WaitReason = nil, time.Time{}, time.Time{}, ""
}

// WithoutLease lists the names that would be without a lease at a fence: those nobody can tell about, those that are barred
// and those that act below it.
func WithoutLease(fence uint64, barred, names []string, heard map[string]ReceivedReport, now time.Time) (out []string) {
	for _, n := range names {
		h, ok := heard[n]
		if !ok || now.Sub(h.ReceivedAt) > stale || h.Active < fence || slices.Contains(barred, n) {
			out = append(out, n)
		}
	}
	return out
}

// CheckExclude tells whether a name may be shut out now.
func (d *Controller) CheckExclude(name string, p *Plan, names []string, heard map[string]ReceivedReport, now time.Time) error {
	barred := append(slices.Clone(p.Excluded), name)
	out := WithoutLease(p.Fence, barred, names, heard, now)
	if !d.Guard.Allows(len(out), len(names)) {
		return fmt.Errorf("without a lease would be %s: more than %d thousandths of %d members", strings.Join(out, ", "), d.Guard.MaxUnleasedPermille, len(names))
	}
	return nil
}

// Step returns the order that is due, or nil. living are the names that have a member; now is the leader's own clock, heard the reports of this term.
func (d *Controller) Step(now time.Time, p *Plan, names, living []string, heard map[string]ReceivedReport) *Command {
	if d.plan == nil || d.plan.Target != p.Target || d.plan.Share != p.Share {
		d.since, d.asked = time.Time{}, time.Time{}
	}
	d.plan, d.WaitReason = p, ""
	if p.Target == 0 || p.Fence == p.Target || p.PauseReason != "" || !d.asked.IsZero() && now.Sub(d.asked) < time.Second {
		return nil
	}
	if why := d.trouble(now, p, names, heard); why != "" {
		return d.order(now, Pause, p.Target, why)
	}
	cohort := names
	if p.Share < FullShare {
		cohort = slices.DeleteFunc(slices.Clone(p.Canaries), func(n string) bool { return !slices.Contains(living, n) })
	}
	behind := WithoutLease(p.Target, nil, cohort, heard, now)
	if p.Share < FullShare {
		if len(cohort) == 0 { // guards against a rollout that waits for members which are down
			return d.order(now, ReselectCanaries, p.Target, "none lives of "+strings.Join(p.Canaries, ", "))
		}
		if len(behind) > 0 {
			d.since, d.WaitReason = time.Time{}, "for the first members: "+strings.Join(p.Canaries, ", ")
			return nil
		}
		if d.since.IsZero() {
			d.since = now
		}
		if left := time.Duration(p.SettleMs)*time.Millisecond - now.Sub(d.since); left > 0 {
			d.WaitReason = fmt.Sprintf("for %v, the settling time", left.Round(time.Millisecond))
			return nil
		}
		return d.order(now, Promote, p.Target, fmt.Sprintf("%d members have settled", len(cohort)))
	}
	if d.since.IsZero() {
		d.since = now
	}
	if left := time.Duration(p.GraceMs)*time.Millisecond - now.Sub(d.since); left > 0 && len(behind) > 0 {
		d.WaitReason = fmt.Sprintf("for %s, or %v, the grace", strings.Join(behind, ", "), left.Round(time.Millisecond))
		return nil
	}
	if out := WithoutLease(p.Target, p.Excluded, names, heard, now); !d.Guard.Allows(len(out), len(names)) {
		d.WaitReason = fmt.Sprintf("guard: without a lease would be %s, more than %d thousandths of %d members", strings.Join(out, ", "),
			d.Guard.MaxUnleasedPermille, len(names))
		return nil
	}
	why := "all act on it"
	if len(behind) > 0 {
		why = "the grace is over; behind: " + strings.Join(behind, ", ")
	}
	return d.order(now, Fence, p.Target, why)
}

// trouble tells why the target should go no further.
func (d *Controller) trouble(now time.Time, p *Plan, names []string, heard map[string]ReceivedReport) string {
	var refused []string
	why := ""
	var under, before ServiceCounts
	for _, n := range names {
		h, ok := heard[n]
		if !ok || now.Sub(h.ReceivedAt) > stale {
			continue
		}
		if h.Rejected == p.Target {
			refused, why = append(refused, n), h.RejectReason
		}
		if h.Active == p.Target {
			under.add(h.Current)
			before.add(h.Previous)
		}
	}
	switch {
	case len(refused) > 0 && (!d.Guard.Allows(len(refused), len(names)) || p.Share < FullShare && len(refused) == len(p.Canaries)):
		return cut("refused by " + strings.Join(refused, ", ") + ": " + why)
	case under.Answered >= fewest && before.Answered >= fewest && before.share()-under.share() > fallShare:
		return fmt.Sprintf("service fell: %.1f%% of %d served, %.1f%% of %d before", 100*under.share(), under.Answered, 100*before.share(), before.Answered)
	}
	return ""
}

func cut(s string) string { return s[:min(len(s), mostWhy)] }

// order makes an order of the leader. Its id is that of what it does: two leaders in a row do it once.
func (d *Controller) order(now time.Time, k Kind, number uint64, why string) *Command {
	d.asked = now
	id := uint64(k)<<48 | number&(1<<48-1)
	if k == ReselectCanaries { // it may be due again
		id ^= xxhash.Sum64String(strings.Join(d.plan.Canaries, "/"))
	}
	return &Command{Kind: k, ID: 1<<63 | id, Author: "leader " + d.Leader, Reason: cut(why), Number: number}
}
