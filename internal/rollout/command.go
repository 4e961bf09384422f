package rollout

import (
	"cmp"
	"errors"
	"fmt"
)

// Bounds of commands.
const (
	MaxSettingsBytes = 256 << 10  // bytes of a version's settings
	maxReasonBytes   = 300        // bytes of a reason, or of an author's name
	maxWaitMs        = 86_400_000 // settle time and grace period: a day

	FullSharePermille = 1000 // a share of all members, in thousandths
)

// Kind is the kind of a command. The fleet's log stores the numbers, so they must not change.
type Kind uint8

// Kinds of commands. Operators send those up to Readmit; the leader proposes the others, and Pause.
const (
	RollOut          Kind = 1 // make Settings the target, at first for a share of the members
	Pause            Kind = 2 // keep the target from being promoted or fenced
	Rollback         Kind = 3 // make the settings of an earlier version the target for all members
	Exclude          Kind = 4 // exclude a member from leases
	Readmit          Kind = 5 // let an excluded member get leases again
	Promote          Kind = 6 // extend the target to all members
	Fence            Kind = 7 // deny leases to members that use a version below the target
	ReselectCanaries Kind = 8 // choose other canaries for the target, because none has a running process
)

// kindNames are the names of the operators' commands, and of the leader's commands in the event log. Operators type and search for them, so
// they must not change.
var kindNames = map[Kind]string{
	RollOut: "rollout", Pause: "hold", Rollback: "back", Exclude: "out", Readmit: "readmit", Promote: "widen", Fence: "fence", ReselectCanaries: "choose",
}

// String returns the name that operators type and logs print.
func (k Kind) String() string { return cmp.Or(kindNames[k], "unknown") }

// Command is an entry of the fleet's log that changes the plan. It is encoded as a CBOR array: the order and types of its fields must not
// change.
type Command struct {
	_             struct{} `cbor:",toarray"`
	Kind          Kind
	ID            uint64 // chosen by the sender; a command that is sent twice is applied once
	Author        string
	Reason        string
	Settings      []byte // with RollOut: contents of a settings file
	Number        uint64 // with Rollback, Promote, Fence and ReselectCanaries: the version; with Pause: the target, 0 for any target
	Name          string // with Exclude and Readmit: the member
	SharePermille int    // with RollOut: share of the members that are canaries, in thousandths
	SettleMs      int64  // with RollOut: time for which all canaries must have used the version before it is promoted
	GraceMs       int64  // with RollOut and Rollback: time from the promotion to the fence while members have not adopted the version
}

// Check returns an error if the command is invalid for every plan.
func (c *Command) Check() error {
	switch {
	case kindNames[c.Kind] == "":
		return fmt.Errorf("unknown kind of command: %d", c.Kind)
	case len(c.Author) == 0 || len(c.Author) > maxReasonBytes:
		return errors.New("who: expected 1 to 300 bytes")
	case len(c.Reason) > maxReasonBytes:
		return errors.New("why: expected at most 300 bytes")
	case c.ID == 0:
		return errors.New("command has no id")
	case c.Kind == RollOut && (len(c.Settings) == 0 || len(c.Settings) > MaxSettingsBytes):
		return fmt.Errorf("settings have %d bytes, expected 1 to %d", len(c.Settings), MaxSettingsBytes)
	case c.Kind == RollOut && (c.SharePermille < 1 || c.SharePermille > FullSharePermille):
		return fmt.Errorf("share: %d is not within 1 to %d thousandths", c.SharePermille, FullSharePermille)
	case c.SettleMs < 0 || c.GraceMs < 0 || c.SettleMs > maxWaitMs || c.GraceMs > maxWaitMs:
		return errors.New("settle and grace: expected 0 to 24h")
	case (c.Kind == Exclude || c.Kind == Readmit) && c.Name == "":
		return errors.New("command has no member name")
	case c.Kind != RollOut && len(c.Settings) > 0:
		return errors.New("command has settings, but its kind takes none")
	}
	return nil
}
