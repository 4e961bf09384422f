package rollout

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// Errors of commands that change nothing.
var (
	ErrAlreadyApplied = errors.New("this command was applied before")
	ErrUnknownVersion = errors.New("no such version is kept")
	ErrStaleTarget    = errors.New("the target has changed or is paused")
	ErrNoChange       = errors.New("nothing to do")
)

// Apply returns the plan after a command, or the same plan and an error if the command changes nothing. names are all members, living those
// with a process: only these are chosen as canaries, since the rollout waits for them.
func (p *Plan) Apply(c *Command, names, living []string) (*Plan, error) {
	if err := c.Check(); err != nil {
		return p, err
	}
	if slices.Contains(p.AppliedIDs, c.ID) {
		return p, ErrAlreadyApplied
	}
	next := p.copyFor(c)
	var err error
	switch c.Kind {
	case RollOut:
		next.rollOut(c, names, living)
	case Rollback:
		err = next.rollback(c)
	case Pause:
		err = next.pause(c)
	case Exclude:
		err = next.exclude(c.Name)
	case Readmit:
		err = next.readmit(c.Name)
	case ReselectCanaries:
		err = next.reselectCanaries(c, names, living)
	case Promote:
		err = next.promote(c)
	case Fence:
		err = next.raiseFence(c)
	}
	if err != nil {
		return p, err
	}
	return next, nil
}

// copyFor returns a copy that may be changed by a command, whose id it has.
func (p *Plan) copyFor(c *Command) *Plan {
	next := *p
	next.Versions, next.Excluded, next.AppliedIDs = slices.Clone(p.Versions), slices.Clone(p.Excluded), append(slices.Clone(p.AppliedIDs), c.ID)
	if len(next.AppliedIDs) > maxAppliedIDs {
		next.AppliedIDs = next.AppliedIDs[len(next.AppliedIDs)-maxAppliedIDs:]
	}
	return &next
}

// rollOut makes new settings the target, for a share of the members first.
func (p *Plan) rollOut(c *Command, names, living []string) {
	p.Canaries = canaries(p.LastNumber+1, living, max(1, len(names)*c.SharePermille/FullSharePermille))
	p.setTarget(Version{Digest: DigestOf(c.Settings), SizeBytes: len(c.Settings), Author: c.Author, Reason: c.Reason}, c, c.SharePermille)
}

// rollback makes the settings of an earlier version the target for all members, as a new version: numbers only grow.
func (p *Plan) rollback(c *Command) error {
	old, ok := p.Find(c.Number)
	if !ok {
		return fmt.Errorf("%d: %w", c.Number, ErrUnknownVersion)
	}
	origin := old.Number
	if old.RollbackOf > 0 {
		origin = old.RollbackOf
	}
	p.setTarget(Version{Digest: old.Digest, SizeBytes: old.SizeBytes, Author: c.Author, Reason: c.Reason, RollbackOf: origin}, c, FullSharePermille)
	return nil
}

// setTarget gives a version the next number and makes it the target.
func (p *Plan) setTarget(v Version, c *Command, share int) {
	if p.SharePermille == FullSharePermille { // members outside the new share stay on what all members had
		p.Base = p.Target
	}
	p.LastNumber++
	v.Number = p.LastNumber
	p.Target, p.SharePermille, p.SettleMs, p.GraceMs, p.PauseReason = v.Number, share, c.SettleMs, c.GraceMs, ""
	if share == FullSharePermille {
		p.Base, p.Canaries = v.Number, nil
	}
	p.Versions = append(p.Versions, v)
	p.dropVersions()
}

// dropVersions drops the oldest versions over the bound, but for those in use.
func (p *Plan) dropVersions() {
	for i := 0; len(p.Versions) > maxVersions && i < len(p.Versions); {
		if n := p.Versions[i].Number; n == p.Base || n == p.Target || n == p.Fence {
			i++
			continue
		}
		p.Versions = slices.Delete(p.Versions, i, i+1)
	}
}

// pause keeps the target from being promoted or fenced.
func (p *Plan) pause(c *Command) error {
	switch {
	case c.Number > 0 && c.Number != p.Target:
		return ErrStaleTarget
	case p.Target == 0 || p.PauseReason != "" || p.Fence == p.Target:
		return ErrNoChange
	}
	p.PauseReason = cmp.Or(c.Reason, "held by "+c.Author) // members of all builds must compute the same plan: the text stays
	return nil
}

// exclude keeps a member from getting leases.
func (p *Plan) exclude(name string) error {
	if slices.Contains(p.Excluded, name) {
		return ErrNoChange
	}
	p.Excluded = append(p.Excluded, name)
	slices.Sort(p.Excluded)
	return nil
}

// readmit lets an excluded member get leases again.
func (p *Plan) readmit(name string) error {
	if !slices.Contains(p.Excluded, name) {
		return ErrNoChange
	}
	p.Excluded = slices.DeleteFunc(p.Excluded, func(s string) bool { return s == name })
	return nil
}

// reselectCanaries chooses other canaries for the target.
func (p *Plan) reselectCanaries(c *Command, names, living []string) error {
	if err := p.checkTarget(c); err != nil {
		return err
	}
	chosen := canaries(p.Target, living, max(1, len(names)*p.SharePermille/FullSharePermille))
	if p.SharePermille == FullSharePermille || slices.Equal(chosen, p.Canaries) {
		return ErrNoChange
	}
	p.Canaries = chosen
	return nil
}

// promote makes the target that of all members.
func (p *Plan) promote(c *Command) error {
	if err := p.checkTarget(c); err != nil {
		return err
	}
	if p.SharePermille == FullSharePermille {
		return ErrNoChange
	}
	p.SharePermille, p.Canaries = FullSharePermille, nil
	return nil
}

// raiseFence keeps members that act on a version below the target from getting leases.
func (p *Plan) raiseFence(c *Command) error {
	if err := p.checkTarget(c); err != nil {
		return err
	}
	if p.Fence >= c.Number || p.SharePermille < FullSharePermille {
		return ErrNoChange
	}
	p.Fence, p.SharePermille, p.Canaries = c.Number, FullSharePermille, nil
	return nil
}

// checkTarget reports whether a leader's command still is about the present target, and that is not paused.
func (p *Plan) checkTarget(c *Command) error {
	if c.Number != p.Target || p.PauseReason != "" {
		return ErrStaleTarget
	}
	return nil
}
