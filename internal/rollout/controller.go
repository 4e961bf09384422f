package rollout

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	minAnswers      = 50               // under either version, below which service is not compared
	maxServedDrop   = 0.10             // of the share of answers that servers gave; a larger drop pauses the target
	maxReportAge    = 10 * time.Second // an older report is ignored
	commandInterval = time.Second      // at least, between two commands of the controller
	leaderIDBit     = 1 << 63          // set in ids of the leader's commands; operators' ids leave it clear
)

// Guard bounds how many members may be without a lease.
type Guard struct {
	MaxUnleasedPermille int  // thousandths of all members
	OffByOne            bool // injected fault: allows one more
}

// Allows reports whether so many of all members may be without a lease.
func (g Guard) Allows(unleased, all int) bool {
	limit := all * g.MaxUnleasedPermille / FullSharePermille
	if g.OffByOne {
		limit++
	}
	return unleased <= limit
}

// Controller proposes the commands that the leader adds to the log by itself. It is not safe for concurrent use.
type Controller struct {
	Guard      Guard
	Leader     string // its name, for the commands' author
	WaitReason string // why Step returned nothing, for operators

	plan        *Plan     // of the last step
	stableSince time.Time // all canaries have acted on the target since then, or it was promoted then; zero: neither
	proposedAt  time.Time // of the last command
}

// Reset begins a term: times of another one do not count.
func (c *Controller) Reset() {
	c.plan, c.stableSince, c.proposedAt, c.WaitReason = nil, time.Time{}, time.Time{}, ""
}

// WithoutLease returns the names that would be without a lease at a fence: those without a fresh report, those excluded, and those that act
// on a version below it.
func WithoutLease(fence uint64, excluded, names []string, reports map[string]ReceivedReport, now time.Time) (unleased []string) {
	for _, name := range names {
		r, ok := reports[name]
		if !ok || !r.fresh(now) || r.ActiveVersion < fence || slices.Contains(excluded, name) {
			unleased = append(unleased, name)
		}
	}
	return unleased
}

// CheckExclude returns an error if the guard forbids excluding a member now.
func (c *Controller) CheckExclude(name string, p *Plan, names []string, reports map[string]ReceivedReport, now time.Time) error {
	excluded := append(slices.Clone(p.Excluded), name)
	unleased := WithoutLease(p.Fence, excluded, names, reports, now)
	if !c.Guard.Allows(len(unleased), len(names)) {
		return fmt.Errorf("guard: %s", c.guardReason(unleased, names))
	}
	return nil
}

// guardReason says which limit of the guard is exceeded.
func (c *Controller) guardReason(unleased, names []string) string {
	return fmt.Sprintf("without a lease would be %s, more than %d thousandths of %d members", strings.Join(unleased, ", "), c.Guard.MaxUnleasedPermille, len(names))
}

// Step returns the command that is due, or nil, with WaitReason if the rollout waits. names are all members, living those with a process; now
// is the leader's clock, and reports are those received in this term.
func (c *Controller) Step(now time.Time, p *Plan, names, living []string, reports map[string]ReceivedReport) *Command {
	if c.plan == nil || c.plan.Target != p.Target || c.plan.SharePermille != p.SharePermille {
		c.stableSince, c.proposedAt = time.Time{}, time.Time{}
	}
	c.plan, c.WaitReason = p, ""
	if p.Target == 0 || p.Fence == p.Target || p.PauseReason != "" || !c.proposedAt.IsZero() && now.Sub(c.proposedAt) < commandInterval {
		return nil
	}
	if reason := c.pauseReason(p, names, reports, now); reason != "" {
		return c.propose(now, Pause, p.Target, reason)
	}
	if p.SharePermille < FullSharePermille {
		return c.stepCanaries(now, p, living, reports)
	}
	return c.stepAll(now, p, names, reports)
}

// stepCanaries promotes the target once all living canaries have acted on it for the settle time.
func (c *Controller) stepCanaries(now time.Time, p *Plan, living []string, reports map[string]ReceivedReport) *Command {
	canaries := slices.DeleteFunc(slices.Clone(p.Canaries), func(name string) bool { return !slices.Contains(living, name) })
	if len(canaries) == 0 {
		return c.propose(now, ReselectCanaries, p.Target, "no canary is living: "+strings.Join(p.Canaries, ", "))
	}
	if len(WithoutLease(p.Target, nil, canaries, reports, now)) > 0 {
		c.stableSince, c.WaitReason = time.Time{}, "for the canaries to adopt it: "+strings.Join(p.Canaries, ", ")
		return nil
	}
	if c.stableSince.IsZero() {
		c.stableSince = now
	}
	if left := remaining(p.SettleMs, c.stableSince, now); left > 0 {
		c.WaitReason = fmt.Sprintf("for the settle time, %v", left.Round(time.Millisecond))
		return nil
	}
	return c.propose(now, Promote, p.Target, fmt.Sprintf("%d canaries have settled", len(canaries)))
}

// stepAll raises the fence to the target once all members act on it, or after the grace period if the guard allows it.
func (c *Controller) stepAll(now time.Time, p *Plan, names []string, reports map[string]ReceivedReport) *Command {
	behind := WithoutLease(p.Target, nil, names, reports, now)
	if c.stableSince.IsZero() {
		c.stableSince = now
	}
	if left := remaining(p.GraceMs, c.stableSince, now); left > 0 && len(behind) > 0 {
		c.WaitReason = fmt.Sprintf("for %s to adopt it, or the grace period, %v", strings.Join(behind, ", "), left.Round(time.Millisecond))
		return nil
	}
	if unleased := WithoutLease(p.Target, p.Excluded, names, reports, now); !c.Guard.Allows(len(unleased), len(names)) {
		c.WaitReason = "guard: " + c.guardReason(unleased, names)
		return nil
	}
	reason := "all members act on it"
	if len(behind) > 0 {
		reason = "the grace period is over; behind: " + strings.Join(behind, ", ")
	}
	return c.propose(now, Fence, p.Target, reason)
}

// remaining returns what is left of a wait in milliseconds that began at a time.
func remaining(waitMs int64, since, now time.Time) time.Duration {
	return time.Duration(waitMs)*time.Millisecond - now.Sub(since)
}

// pauseReason returns why the target should go no further: too many members reject it, or service fell under it. Empty: it may go on.
func (c *Controller) pauseReason(p *Plan, names []string, reports map[string]ReceivedReport, now time.Time) string {
	var rejecting []string
	reason := ""
	var current, previous ServiceCounts
	for _, name := range names {
		r, ok := reports[name]
		if !ok || !r.fresh(now) {
			continue
		}
		if r.RejectedVersion == p.Target {
			rejecting, reason = append(rejecting, name), r.RejectReason
		}
		if r.ActiveVersion == p.Target {
			current.add(r.Current)
			previous.add(r.Previous)
		}
	}
	allCanariesReject := p.SharePermille < FullSharePermille && len(rejecting) == len(p.Canaries)
	switch {
	case len(rejecting) > 0 && (!c.Guard.Allows(len(rejecting), len(names)) || allCanariesReject):
		return truncate("rejected by " + strings.Join(rejecting, ", ") + ": " + reason)
	case current.Answered >= minAnswers && previous.Answered >= minAnswers && previous.servedShare()-current.servedShare() > maxServedDrop:
		return fmt.Sprintf("service fell: %.1f%% of %d served, %.1f%% of %d before", 100*current.servedShare(), current.Answered,
			100*previous.servedShare(), previous.Answered)
	}
	return ""
}

// truncate cuts a reason to its bound.
func truncate(s string) string { return s[:min(len(s), maxReasonBytes)] }

// propose returns a command of the leader. Its id follows from what it does, so that two leaders in succession do it once.
func (c *Controller) propose(now time.Time, k Kind, number uint64, reason string) *Command {
	c.proposedAt = now
	id := uint64(k)<<48 | number&(1<<48-1)
	if k == ReselectCanaries { // may be due again for the same target
		id ^= xxhash.Sum64String(strings.Join(c.plan.Canaries, "/"))
	}
	return &Command{Kind: k, ID: leaderIDBit | id, Author: "leader " + c.Leader, Reason: truncate(reason), Number: number}
}
