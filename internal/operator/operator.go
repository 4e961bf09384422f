// Package operator is the command line `damsonscale fleet`: the status of a fleet, rollouts of settings, the exclusion of members, and the
// audit trail. docs/fleet.md is its manual.
//
// Commands talk to the members over the fleet's own port, named by the options file of any member. A command that changes something goes to
// the leader; the others may be answered by any member.
package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kong"
)

// Exit codes.
const (
	ExitDone       = 0
	ExitRejected   = 1 // the fleet rejected the command: nothing has changed
	ExitUsage      = 2 // of arguments, options or files: no member was asked
	ExitNoAnswer   = 3 // no member could be asked, or the outcome is unknown
	ExitAuditFault = 4 // an audit trail has faults
)

// exitError is an error with its exit code.
type exitError struct {
	code int
	err  error
}

// Error returns the cause's text.
func (e exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e exitError) Unwrap() error { return e.err }

// usageError returns an error of arguments, options or files.
func usageError(format string, args ...any) error {
	return exitError{ExitUsage, fmt.Errorf(format, args...)}
}

// commandLine is the syntax of the command line.
type commandLine struct {
	Options string        `help:"The options file of any member." env:"DAMSONSCALE_OPTIONS" placeholder:"FILE"`
	JSON    bool          `help:"Print JSON." name:"json"`
	Who     string        `help:"Author of the command, for the log; default: the user's name."`
	Within  time.Duration `help:"Time limit." default:"15s"`

	Status  statusCommand  `cmd:"" help:"What each member acts on, and the rollout."`
	Rollout rolloutCommand `cmd:"" help:"Roll out settings, to a share of the members first."`
	Hold    holdCommand    `cmd:"" help:"Pause the rollout."`
	Back    backCommand    `cmd:"" help:"Roll back to the settings of an earlier version, as a new version."`
	Out     outCommand     `cmd:"" help:"Exclude a member: it accepts and sends nothing once its lease has ended."`
	Readmit readmitCommand `cmd:"" help:"Let an excluded member act again."`
	Audit   auditCommand   `cmd:"" help:"Who did what under which version."`
	Verify  verifyCommand  `cmd:"" help:"Check the audit segments in a directory: hashes, order, gaps."`
}

// Main runs a command line, writes to out and errs, and returns the exit code.
func Main(args []string, out, errs io.Writer) int {
	var parsed commandLine
	helpCode := -1
	parser, err := kong.New(&parsed, kong.Name("damsonscale fleet"), kong.Description("Commands for the members of a fleet."), kong.Writers(out, errs),
		kong.Exit(func(code int) { helpCode = code }))
	if err != nil {
		fmt.Fprintln(errs, err)
		return ExitUsage
	}
	command, err := parser.Parse(args)
	if helpCode >= 0 {
		return helpCode
	}
	if err != nil {
		fmt.Fprintln(errs, "damsonscale fleet:", err)
		return ExitUsage
	}
	ctx, cancel := context.WithTimeout(context.Background(), parsed.Within)
	defer cancel()
	err = command.Run(&session{ctx: ctx, flags: &parsed, out: out})
	if err == nil {
		return ExitDone
	}
	fmt.Fprintln(errs, "damsonscale fleet:", err)
	var exit exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return ExitUsage
}
