package rollout

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	minAnswers      = 50               // answers under each of two versions, below which their service is not compared
	maxServedDrop   = 0.10             // decrease of the share of served answers, above which the rollout is paused
	maxReportAge    = 10 * time.Second // older reports are ignored
	commandInterval = time.Second      // minimum time between two commands of the controller
	leaderIDBit     = 1 << 63          // set in the ids of the leader's commands, clear in those of operators
)

// Guard bounds how many members may be without a lease.
type Guard struct {
	MaxUnleasedPermille int  // share of all members, in thousandths
	OffByOne            bool // injected fault: allows one more member than the limit
}

// Allows reports whether unleased members out of all may be without a lease.
func (g Guard) Allows(unleased, all int) bool {
	limit := all * g.MaxUnleasedPermille / FullSharePermille
	if g.OffByOne {
		limit++
	}
	return unleased <= limit
}

// Controller proposes the commands that the leader adds to the log on its own. It is not safe for concurrent use.
type Controller struct {
	Guard      Guard
	Leader     string // name of the leader, for the author of commands
	WaitReason string // condition that the rollout waits for after the last Step, for operators; empty for none

	plan       *Plan     // plan at the last call of Step
	waitSince  time.Time // begin of the settle time or of the grace period; zero if neither runs
	proposedAt time.Time // time of the last command; zero for none since the target or its share changed
}

// Reset clears the state for a new term of the leader: times of an earlier term are discarded.
func (c *Controller) Reset() {
	c.plan, c.waitSince, c.proposedAt, c.WaitReason = nil, time.Time{}, time.Time{}, ""
}

// WithoutLease returns the names of the members that would be without a lease under a fence: members without a fresh report, excluded
// members, and members that use a version below the fence.
func WithoutLease(fence uint64, excluded, names []string, reports map[string]ReceivedReport, now time.Time) (unleased []string) {
	for _, name := range names {
		r, ok := reports[name]
		if !ok || !r.fresh(now) || r.ActiveVersion < fence || slices.Contains(excluded, name) {
			unleased = append(unleased, name)
		}
	}
	return unleased
}

// CheckExclude returns an error if the guard forbids the exclusion of a member at present.
func (c *Controller) CheckExclude(name string, p *Plan, names []string, reports map[string]ReceivedReport, now time.Time) error {
	excluded := append(slices.Clone(p.Excluded), name)
	unleased := WithoutLease(p.Fence, excluded, names, reports, now)
	if !c.Guard.Allows(len(unleased), len(names)) {
		return fmt.Errorf("guard: %s", c.guardReason(unleased, names))
	}
	return nil
}

// guardReason describes how the guard's limit would be exceeded.
func (c *Controller) guardReason(unleased, names []string) string {
	return fmt.Sprintf("without a lease would be %s, more than %d thousandths of %d members", strings.Join(unleased, ", "), c.Guard.MaxUnleasedPermille, len(names))
}

// Step returns the command that is due, or nil. If the rollout waits, it sets WaitReason. names are the names of all members, living the names
// of members with a running process, now the time by the leader's clock, and reports the reports received in this term, by member name.
func (c *Controller) Step(now time.Time, p *Plan, names, living []string, reports map[string]ReceivedReport) *Command {
	if c.plan == nil || c.plan.Target != p.Target || c.plan.SharePermille != p.SharePermille {
		c.waitSince, c.proposedAt = time.Time{}, time.Time{}
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

// stepCanaries promotes the target once all living canaries have used it for the settle time.
func (c *Controller) stepCanaries(now time.Time, p *Plan, living []string, reports map[string]ReceivedReport) *Command {
	canaries := slices.DeleteFunc(slices.Clone(p.Canaries), func(name string) bool { return !slices.Contains(living, name) })
	if len(canaries) == 0 {
		return c.propose(now, ReselectCanaries, p.Target, "no canary has a running process: "+strings.Join(p.Canaries, ", "))
	}
	if len(WithoutLease(p.Target, nil, canaries, reports, now)) > 0 {
		c.waitSince, c.WaitReason = time.Time{}, "for the canaries to adopt the target: "+strings.Join(p.Canaries, ", ")
		return nil
	}
	if c.waitSince.IsZero() {
		c.waitSince = now
	}
	if left := remaining(p.SettleMs, c.waitSince, now); left > 0 {
		c.WaitReason = fmt.Sprintf("for the settle time, %v left", left.Round(time.Millisecond))
		return nil
	}
	return c.propose(now, Promote, p.Target, fmt.Sprintf("%d canaries have used the target for the settle time", len(canaries)))
}

// stepAll raises the fence to the target once all members use the target, or after the grace period if the guard allows it.
func (c *Controller) stepAll(now time.Time, p *Plan, names []string, reports map[string]ReceivedReport) *Command {
	behind := WithoutLease(p.Target, nil, names, reports, now)
	if c.waitSince.IsZero() {
		c.waitSince = now
	}
	if left := remaining(p.GraceMs, c.waitSince, now); left > 0 && len(behind) > 0 {
		c.WaitReason = fmt.Sprintf("for %s to adopt the target, or for the end of the grace period, %v left", strings.Join(behind, ", "), left.Round(time.Millisecond))
		return nil
	}
	if unleased := WithoutLease(p.Target, p.Excluded, names, reports, now); !c.Guard.Allows(len(unleased), len(names)) {
		c.WaitReason = "guard: " + c.guardReason(unleased, names)
		return nil
	}
	reason := "all members use the target"
	if len(behind) > 0 {
		reason = "the grace period is over; not adopted by " + strings.Join(behind, ", ")
	}
	return c.propose(now, Fence, p.Target, reason)
}

// remaining returns the time left of a wait of waitMs that began at since.
func remaining(waitMs int64, since, now time.Time) time.Duration {
	return time.Duration(waitMs)*time.Millisecond - now.Sub(since)
}

// pauseReason returns the reason to pause the rollout: too many members reject the target, or the share of served requests fell under it. The
// result is empty if there is no reason.
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
		return fmt.Sprintf("service fell: %.1f%% of %d requests served, %.1f%% of %d before", 100*current.servedShare(), current.Answered,
			100*previous.servedShare(), previous.Answered)
	}
	return ""
}

// truncate truncates a reason to maxReasonBytes.
func truncate(s string) string { return s[:min(len(s), maxReasonBytes)] }

// propose returns a command of the leader. The id is derived from the command's effect, so that a command that two successive leaders propose
// is applied once.
func (c *Controller) propose(now time.Time, k Kind, number uint64, reason string) *Command {
	c.proposedAt = now
	id := uint64(k)<<48 | number&(1<<48-1)
	if k == ReselectCanaries { // may be due more than once for one target
		id ^= xxhash.Sum64String(strings.Join(c.plan.Canaries, "/"))
	}
	return &Command{Kind: k, ID: leaderIDBit | id, Author: "leader " + c.Leader, Reason: truncate(reason), Number: number}
}
