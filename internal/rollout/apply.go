package rollout

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// Errors of commands that have no effect.
var (
	ErrAlreadyApplied = errors.New("command was already applied")
	ErrUnknownVersion = errors.New("no such version is available for a rollback")
	ErrStaleTarget    = errors.New("command is for another target, or the rollout is paused")
	ErrNoChange       = errors.New("nothing to do: the command would not change the plan")
)

// Apply returns the plan after a command, or p and an error if the command has no effect. names are the names of all members, and living the
// names of members with a running process. Only living members become canaries, because the rollout waits for the canaries.
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

// copyFor returns a copy of the plan to which c is applied, with the id of c in AppliedIDs.
func (p *Plan) copyFor(c *Command) *Plan {
	next := *p
	next.Versions, next.Excluded, next.AppliedIDs = slices.Clone(p.Versions), slices.Clone(p.Excluded), append(slices.Clone(p.AppliedIDs), c.ID)
	if len(next.AppliedIDs) > maxAppliedIDs {
		next.AppliedIDs = next.AppliedIDs[len(next.AppliedIDs)-maxAppliedIDs:]
	}
	return &next
}

// rollOut makes new settings the target, at first for a share of the members.
func (p *Plan) rollOut(c *Command, names, living []string) {
	p.Canaries = canaries(p.LastNumber+1, living, max(1, len(names)*c.SharePermille/FullSharePermille))
	p.setTarget(Version{Digest: DigestOf(c.Settings), SizeBytes: len(c.Settings), Author: c.Author, Reason: c.Reason}, c, c.SharePermille)
}

// rollback makes the settings of an earlier version the target for all members, as a new version: version numbers only increase.
func (p *Plan) rollback(c *Command) error {
	old, ok := p.Find(c.Number)
	if !ok {
		return fmt.Errorf("version %d: %w", c.Number, ErrUnknownVersion)
	}
	origin := old.Number
	if old.RollbackOf > 0 {
		origin = old.RollbackOf
	}
	p.setTarget(Version{Digest: old.Digest, SizeBytes: old.SizeBytes, Author: c.Author, Reason: c.Reason, RollbackOf: origin}, c, FullSharePermille)
	return nil
}

// setTarget assigns the next number to a version and makes it the target.
func (p *Plan) setTarget(v Version, c *Command, share int) {
	if p.SharePermille == FullSharePermille { // members outside the new share keep the version that all members use
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

// dropVersions drops the oldest versions above maxVersions, except those in use.
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
	p.PauseReason = cmp.Or(c.Reason, "held by "+c.Author) // part of the state that members of all builds must compute alike: the text must not change
	return nil
}

// exclude denies leases to a member.
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

// reselectCanaries chooses canaries for the target among the living members.
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

// promote extends the target to all members.
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

// raiseFence denies leases to members that use a version below the target.
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

// checkTarget returns an error if a leader's command is not for the present target, or the rollout is paused.
func (p *Plan) checkTarget(c *Command) error {
	if c.Number != p.Target || p.PauseReason != "" {
		return ErrStaleTarget
	}
	return nil
}
