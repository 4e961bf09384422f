// Package operator implements the command line `damsonscale fleet`: the status of a fleet, rollouts of settings, the exclusion of members, and
// the audit trail. docs/fleet.md is its manual.
//
// Commands connect to the members' fleet ports, whose addresses they read from the options file of any member. Only the leader executes
// commands that change the rollout plan; any member can answer the other commands.
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
	ExitRejected   = 1 // the fleet rejected the command, which has had no effect
	ExitUsage      = 2 // invalid arguments, options or files: no request was sent; also other local errors, such as a failure to write the output
	ExitNoAnswer   = 3 // no member that can execute the command answered, or the outcome of the command is unknown
	ExitAuditFault = 4 // an audit trail has faults
)

// exitError is an error with the exit code with which the program ends.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e exitError) Error() string { return e.err.Error() }

// Unwrap returns the underlying error.
func (e exitError) Unwrap() error { return e.err }

// usageError returns an error with ExitUsage.
func usageError(format string, args ...any) error {
	return exitError{ExitUsage, fmt.Errorf(format, args...)}
}

// commandLine is the syntax of the command line. Names of flags and commands are derived from the field names, so these must not change.
type commandLine struct {
	Options string        `help:"Path of the options file of any member." env:"DAMSONSCALE_OPTIONS" placeholder:"FILE"`
	JSON    bool          `help:"Print JSON." name:"json"`
	Who     string        `help:"Author of the command, for the log. Default: the user's name."`
	Within  time.Duration `help:"Time limit for the command." default:"15s"`

	Status  statusCommand  `cmd:"" help:"Show the rollout, and the version of the settings that each member uses."`
	Rollout rolloutCommand `cmd:"" help:"Roll out settings, at first to a share of the members."`
	Hold    holdCommand    `cmd:"" help:"Pause the rollout."`
	Back    backCommand    `cmd:"" help:"Roll back to the settings of an earlier version, as a new version."`
	Out     outCommand     `cmd:"" help:"Exclude a member: once its lease has expired, it accepts and sends no requests."`
	Readmit readmitCommand `cmd:"" help:"Readmit an excluded member."`
	Audit   auditCommand   `cmd:"" help:"Show the audit trails: what each member did under which version of the settings."`
	Verify  verifyCommand  `cmd:"" help:"Verify the audit segments in a directory: hashes, order and gaps."`
}

// Main runs a command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var parsed commandLine
	helpCode := -1
	parser, err := kong.New(&parsed, kong.Name("damsonscale fleet"), kong.Description("Inspect and control a fleet of sidecars."), kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { helpCode = code }))
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	command, err := parser.Parse(args)
	if helpCode >= 0 {
		return helpCode
	}
	if err != nil {
		fmt.Fprintln(stderr, "damsonscale fleet:", err)
		return ExitUsage
	}
	ctx, cancel := context.WithTimeout(context.Background(), parsed.Within)
	defer cancel()
	err = command.Run(&session{ctx: ctx, flags: &parsed, out: stdout})
	if err == nil {
		return ExitDone
	}
	fmt.Fprintln(stderr, "damsonscale fleet:", err)
	var exit exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return ExitUsage
}
