package operator

import (
	"crypto/rand"
	"encoding/binary"
	"os"
	"os/user"
	"time"

	"damsonscale/internal/fleet"
	"damsonscale/internal/rollout"
)

// sendCommand sends a command to the leader and prints the resulting status.
func (s *session) sendCommand(c rollout.Command) error {
	id, err := newCommandID()
	if err != nil {
		return err
	}
	c.ID, c.Author = id, s.flags.Who
	if u, err := user.Current(); c.Author == "" && err == nil {
		c.Author = u.Username
	}
	if err := c.Check(); err != nil {
		return exitError{ExitUsage, err}
	}
	r, err := s.askLeader(fleet.AdminRequest{Kind: fleet.RequestRolloutCommand, RolloutCommand: &c})
	if err != nil {
		return err
	}
	return s.printStatus(r.Status)
}

// newCommandID returns a random nonzero id. Its highest bit is clear, because this bit is set in the ids of the leader's own
// commands.
func newCommandID() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint64(b[:])>>1 | 1, nil
}

// rolloutCommand rolls out the settings in a file.
type rolloutCommand struct {
	File   string        `arg:"" type:"existingfile" help:"File with the settings: a platform's configuration file, or {\"settings\": {...}}. Each member keeps its own Me and Zone."`
	Share  float64       `help:"Share of the members that adopt the settings first, above 0 and up to 1." default:"0.1"`
	Settle time.Duration `help:"Time for which all of these members must have used the settings before the others adopt them." default:"30s"`
	Grace  time.Duration `help:"Time from the promotion of the settings to all members, after which members that have not adopted the settings lose their lease." default:"30s"`
	Why    string        `help:"Reason for the command, for the log."`
}

// Run runs the command.
func (c *rolloutCommand) Run(s *session) error {
	settings, err := os.ReadFile(c.File)
	if err != nil {
		return exitError{ExitUsage, err}
	}
	if !(c.Share > 0 && c.Share <= 1) { // also false for NaN
		return usageError("--share: %v is out of range, want above 0 and at most 1", c.Share)
	}
	return s.sendCommand(rollout.Command{
		Kind: rollout.RollOut, Settings: settings, SharePermille: max(1, int(c.Share*rollout.FullSharePermille)), SettleMs: c.Settle.Milliseconds(),
		GraceMs: c.Grace.Milliseconds(), Reason: c.Why,
	})
}

// holdCommand pauses the rollout.
type holdCommand struct {
	Why string `help:"Reason for the command, for the log."`
}

// Run runs the command.
func (c *holdCommand) Run(s *session) error {
	return s.sendCommand(rollout.Command{Kind: rollout.Pause, Reason: c.Why})
}

// backCommand rolls back to an earlier version.
type backCommand struct {
	Number uint64        `arg:"" help:"Number of the version to roll back to."`
	Grace  time.Duration `help:"Time after which members that have not adopted the version lose their lease." default:"30s"`
	Why    string        `help:"Reason for the command, for the log."`
}

// Run runs the command.
func (c *backCommand) Run(s *session) error {
	return s.sendCommand(rollout.Command{Kind: rollout.Rollback, Number: c.Number, GraceMs: c.Grace.Milliseconds(), Reason: c.Why})
}

// outCommand excludes a member.
type outCommand struct {
	Name string `arg:""`
	Why  string `help:"Reason for the command, for the log."`
}

// Run runs the command.
func (c *outCommand) Run(s *session) error {
	return s.sendCommand(rollout.Command{Kind: rollout.Exclude, Name: c.Name, Reason: c.Why})
}

// readmitCommand readmits an excluded member.
type readmitCommand struct {
	Name string `arg:""`
	Why  string `help:"Reason for the command, for the log."`
}

// Run runs the command.
func (c *readmitCommand) Run(s *session) error {
	return s.sendCommand(rollout.Command{Kind: rollout.Readmit, Name: c.Name, Reason: c.Why})
}
