package rollout

import (
	"cmp"
	"errors"
	"fmt"
)

// Bounds of commands.
const (
	MaxSettingsBytes = 256 << 10 // of a version
	maxReasonBytes   = 300       // of a reason, or an author's name
	maxWaitMs        = 86_400_000

	FullSharePermille = 1000 // share of all members, in thousandths
)

// Kind says what a command does. Kinds are stored in the fleet's log by number.
type Kind uint8

// Kinds of commands. Those up to Readmit are an operator's, the others the leader's own.
const (
	RollOut          Kind = 1 // Settings become the target, for a share of the members first
	Pause            Kind = 2 // the target is neither promoted nor fenced
	Rollback         Kind = 3 // the settings of an earlier version become the target, for all members
	Exclude          Kind = 4 // a member gets no lease
	Readmit          Kind = 5 // an excluded member may get a lease again
	Promote          Kind = 6 // the target is for all members
	Fence            Kind = 7 // no lease below the target
	ReselectCanaries Kind = 8 // other members adopt the target first, since no canary is living
)

// kindNames are the names of the operators' commands, and of the leader's own in the log.
var kindNames = map[Kind]string{
	RollOut: "rollout", Pause: "hold", Rollback: "back", Exclude: "out", Readmit: "readmit", Promote: "widen", Fence: "fence", ReselectCanaries: "choose",
}

// String returns the name that operators know.
func (k Kind) String() string { return cmp.Or(kindNames[k], "unknown") }

// Command is an entry of the fleet's log that changes the plan: order and types of its fields stay.
type Command struct {
	_             struct{} `cbor:",toarray"`
	Kind          Kind
	ID            uint64 // chosen by the sender, so that a command that is sent twice is applied once
	Author        string
	Reason        string
	Settings      []byte // with RollOut
	Number        uint64 // with Rollback, Promote, Fence, ReselectCanaries: the version; with Pause: the target, 0 for any
	Name          string // with Exclude, Readmit
	SharePermille int    // with RollOut: thousandths of the members that adopt it first
	SettleMs      int64  // with RollOut: how long all canaries must have acted on it before it is promoted
	GraceMs       int64  // with RollOut and Rollback: from the promotion to the fence, for members that have not adopted it
}

// Check reports what is wrong with a command by itself, whatever the plan.
func (c *Command) Check() error {
	switch {
	case kindNames[c.Kind] == "":
		return fmt.Errorf("unknown kind of command, %d", c.Kind)
	case len(c.Author) == 0 || len(c.Author) > maxReasonBytes:
		return errors.New("who: expected 1 to 300 bytes")
	case len(c.Reason) > maxReasonBytes:
		return errors.New("why: expected at most 300 bytes")
	case c.ID == 0:
		return errors.New("a command without an id")
	case c.Kind == RollOut && (len(c.Settings) == 0 || len(c.Settings) > MaxSettingsBytes):
		return fmt.Errorf("settings of %d bytes, expected 1 to %d", len(c.Settings), MaxSettingsBytes)
	case c.Kind == RollOut && (c.SharePermille < 1 || c.SharePermille > FullSharePermille):
		return fmt.Errorf("share: %d is not within 1 to %d thousandths", c.SharePermille, FullSharePermille)
	case c.SettleMs < 0 || c.GraceMs < 0 || c.SettleMs > maxWaitMs || c.GraceMs > maxWaitMs:
		return errors.New("settle and grace: expected 0 to a day")
	case (c.Kind == Exclude || c.Kind == Readmit) && c.Name == "":
		return errors.New("a command without a member's name")
	case c.Kind != RollOut && len(c.Settings) > 0:
		return errors.New("settings with a command that takes none")
	}
	return nil
}
