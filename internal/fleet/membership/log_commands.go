package membership

import (
	"context"
	"errors"
	"maps"
	"time"

	"damsonscale/internal/eventlog"
	"damsonscale/internal/rollout"
)

// Errors that Submit returns.
var (
	// ErrNotLeader means that the command has to be submitted to another member.
	ErrNotLeader = errors.New("this member is not the leader")
	// ErrLeaderChanged means that the command may still be committed.
	ErrLeaderChanged = errors.New("the leader changed: this member does not know whether the command was committed")
	// ErrTimeout means that the command may still be committed.
	ErrTimeout = errors.New("not committed in time: too few voters can be reached, or the command may still be committed; check the fleet's status")
	// ErrBusy means that the command was not submitted.
	ErrBusy = errors.New("this member is overloaded")
)

// Submit appends an operator's command to the log and waits until it is applied or ctx ends. It returns one of the errors above,
// or the reason why the plan does not allow the command.
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

// submit proposes a command. It calls reply once with the outcome; reply must not block.
func (l *Log) submit(c *rollout.Command, reply func(error)) {
	if !l.isLeader {
		reply(ErrNotLeader)
		return
	}
	if err := l.proposeCommand(c, reply); err != nil {
		reply(err)
	}
}

// proposeCommand validates a command against the current plan, so that the operator gets an error at once, and proposes it. If it
// returns no error, reply is called when the command is applied.
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

// applyCommand applies a committed command, and retains the settings of the versions in the resulting plan.
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
	l.settings = settingsOfPlan(l.settings, next, c)
	if !recovered {
		eventlog.Info(eventCommandApplied, "epoch", l.membership.Epoch, "command", c.Kind, "target", next.Target, "fence", next.Fence,
			"share_permille", next.SharePermille, "pause_reason", next.PauseReason, "name", c.Name, "author", c.Author, "reason", c.Reason)
	}
}

// settingsOfPlan returns the settings of a plan's versions, given the previous settings and the command that led to the plan.
func settingsOfPlan(previous map[string][]byte, plan *rollout.Plan, c *rollout.Command) map[string][]byte {
	after := map[string][]byte{}
	for _, v := range plan.Versions {
		digest := string(v.Digest[:])
		if settings, ok := previous[digest]; ok {
			after[digest] = settings
		}
	}
	if c.Kind == rollout.RollOut {
		digest := rollout.DigestOf(c.Settings)
		after[string(digest[:])] = c.Settings
	}
	return after
}

// Status is a voter's state as the leader; empty if the voter is not the leader.
type Status struct {
	IsLeader   bool
	Reports    map[string]rollout.ReceivedReport // by member name
	WaitReason string                            // why the rollout does not progress
}

// Status returns the status of this voter, or false if ctx ends before there is a reply.
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
