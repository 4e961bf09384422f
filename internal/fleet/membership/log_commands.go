package membership

import (
	"context"
	"errors"
	"maps"
	"time"

	"damsonscale/internal/eventlog"
	"damsonscale/internal/rollout"
)

// Errors of a submitted command.
var (
	// ErrNotLeader: another member has to be asked.
	ErrNotLeader = errors.New("this member does not lead")
	// ErrLeaderChanged: the command may be agreed all the same.
	ErrLeaderChanged = errors.New("the fleet has changed its leader: whether this was agreed is not known here")
	// ErrTimeout: the command may be agreed all the same.
	ErrTimeout = errors.New("not agreed in time: too few members can be reached, or it may still be agreed; ask for the status")
	// ErrBusy: the command was not submitted.
	ErrBusy = errors.New("this member has too much to do")
)

// Submit appends an operator's command to the log and waits until it is applied or ctx ends. It returns one of the errors
// above, or why the plan does not allow the command.
func (l *Log) Submit(ctx context.Context, c *rollout.Command) error {
	done := make(chan error, 1)
	select {
	case l.mailbox <- commandSubmitted{c, done}:
	case <-ctx.Done():
		return ErrBusy
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ErrTimeout
	}
}

// submit proposes a command. reply is called once and must not block.
func (l *Log) submit(c *rollout.Command, reply func(error)) {
	if !l.isLeader {
		reply(ErrNotLeader)
		return
	}
	if err := l.proposeCommand(c, reply); err != nil {
		reply(err)
	}
}

// proposeCommand checks a command against the plan as of now, so that the operator is told at once what is wrong with it, and
// proposes it. Without an error reply follows when the command is applied.
func (l *Log) proposeCommand(c *rollout.Command, reply func(error)) error {
	if _, err := l.membership.Plan.Apply(c, l.config.MemberNames, l.membership.Names()); err != nil {
		return err
	}
	if c.Kind == rollout.Exclude {
		if err := l.controller.CheckExclude(c.Name, &l.membership.Plan, l.config.MemberNames, l.reports, time.Now()); err != nil {
			return err
		}
	}
	if l.pendingCommands[c.ID] != nil {
		return rollout.ErrAlreadyApplied
	}
	l.pendingCommands[c.ID] = reply
	if err := l.propose(&Change{Command: c}); err != nil {
		delete(l.pendingCommands, c.ID)
		return err
	}
	return nil
}

// applyCommand applies a committed command, and keeps the settings of the versions that the plan has then.
func (l *Log) applyCommand(c *rollout.Command, recovered bool) {
	next, err := l.membership.Plan.Apply(c, l.config.MemberNames, l.membership.Names())
	if reply := l.pendingCommands[c.ID]; reply != nil {
		delete(l.pendingCommands, c.ID)
		reply(err)
	}
	if err != nil {
		return
	}
	l.membership = l.membership.Apply(&Change{Command: c}, l.config.MemberNames)
	l.settings = settingsAfter(l.settings, next, c)
	if !recovered {
		eventlog.Info(eventCommandApplied, "epoch", l.membership.Epoch, "command", c.Kind, "target", next.Target, "fence", next.Fence,
			"share_permille", next.Share, "pause_reason", next.PauseReason, "name", c.Name, "author", c.Author, "reason", c.Reason)
	}
}

// settingsAfter returns the settings of the versions of a plan, after the command that led to it.
func settingsAfter(before map[string][]byte, plan *rollout.Plan, c *rollout.Command) map[string][]byte {
	after := map[string][]byte{}
	for _, v := range plan.Versions {
		digest := string(v.Digest[:])
		if settings, ok := before[digest]; ok {
			after[digest] = settings
		}
	}
	if c.Kind == rollout.RollOut {
		digest := rollout.DigestOf(c.Settings)
		after[string(digest[:])] = c.Settings
	}
	return after
}

// Status is what a voter knows as the leader, if it leads.
type Status struct {
	IsLeader   bool
	Reports    map[string]rollout.ReceivedReport // by member name
	WaitReason string                            // why the rollout does not progress
}

// Status returns the status of this voter; false: it had too much to do until ctx ended.
func (l *Log) Status(ctx context.Context) (Status, bool) {
	answer := make(chan Status, 1)
	select {
	case l.mailbox <- statusQuery{answer}:
	case <-ctx.Done():
		return Status{}, false
	}
	select {
	case s := <-answer:
		return s, true
	case <-ctx.Done():
		return Status{}, false
	}
}

func (l *Log) status() Status {
	if !l.isLeader {
		return Status{}
	}
	return Status{IsLeader: true, Reports: maps.Clone(l.reports), WaitReason: l.controller.WaitReason}
}
