// Package operator is the operators' side of a fleet: what the fleet acts on, rollouts, who is shut out, and the account of what was
// done under which version. docs/fleet.md is its page.
package operator

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"time"

	"github.com/alecthomas/kong"

	"damsonscale/internal/fleet"
	"damsonscale/internal/options"
	"damsonscale/internal/rollout"
)

// Exit codes.
const (
	Done     = 0
	Refused  = 1 // the fleet said no, and why; nothing has changed
	Misused  = 2 // of arguments, options or files; nobody was asked
	Unheard  = 3 // nobody could be asked, or it is not known whether it was agreed
	NotWhole = 4 // an account has faults
)

// fault is an error with its exit code.
type fault struct {
	code int
	err  error
}

func (f fault) Error() string { return f.err.Error() }
func (f fault) Unwrap() error { return f.err }

func misused(format string, args ...any) error { return fault{Misused, fmt.Errorf(format, args...)} }

// line is the command line.
type line struct {
	Options string        `help:"The options file of any member." env:"DAMSONSCALE_OPTIONS" placeholder:"FILE"`
	JSON    bool          `help:"Answers as JSON." name:"json"`
	Who     string        `help:"Who orders; the user's name if not given."`
	Within  time.Duration `help:"For everything." default:"15s"`

	Status  statusCmd  `cmd:"" help:"What each member acts on, and the plan."`
	Rollout rolloutCmd `cmd:"" help:"Give the fleet other settings, a share of the members first."`
	Hold    holdCmd    `cmd:"" help:"The target goes no further."`
	Back    backCmd    `cmd:"" help:"Go back to the settings of an earlier number; they get a new one."`
	Out     outCmd     `cmd:"" help:"Shut a member out: it takes and sends nothing once its lease has ended."`
	Readmit readmitCmd `cmd:"" help:"Let a member act again that was shut out."`
	Audit   auditCmd   `cmd:"" help:"Who did what under which version."`
	Verify  verifyCmd  `cmd:"" help:"Check the account in a directory: hashes, order, gaps."`
}

// session is one run.
type session struct {
	ctx  context.Context
	line *line
	out  io.Writer
	opts *options.Options
}

// Main runs the program with its arguments and returns its exit code.
func Main(args []string, out, errs io.Writer) int {
	var l line
	code := -1
	k, err := kong.New(&l, kong.Name("damsonscale fleet"), kong.Description("Speaks with the members of a fleet."), kong.Writers(out, errs),
		kong.Exit(func(c int) { code = c }))
	if err != nil {
		fmt.Fprintln(errs, err)
		return Misused
	}
	at, err := k.Parse(args)
	if code >= 0 { // help was asked for
		return code
	}
	if err != nil {
		fmt.Fprintln(errs, "damsonscale fleet:", err)
		return Misused
	}
	ctx, cancel := context.WithTimeout(context.Background(), l.Within)
	defer cancel()
	err = at.Run(&session{ctx: ctx, line: &l, out: out})
	if err == nil {
		return Done
	}
	fmt.Fprintln(errs, "damsonscale fleet:", err)
	var f fault
	if errors.As(err, &f) {
		return f.code
	}
	return Misused
}

// load reads the options: who the members are.
func (s *session) load() error {
	if s.line.Options == "" {
		return misused("--options: which file names the fleet's members?")
	}
	o, err := options.Load(func(string) string { return s.line.Options }, "")
	if err != nil {
		return fault{Misused, err}
	}
	if len(o.Fleet.Members) == 0 {
		return misused("%s: fleet.members: none", s.line.Options)
	}
	s.opts = o
	return nil
}

func (s *session) names() (out []string) {
	for _, m := range s.opts.Fleet.Members {
		out = append(out, m.Name)
	}
	return out
}

// leader asks one member after the other, who leads as soon as that is told, until one that leads has answered. An order
// that was passed on bears its id, so that it is carried out once whoever is asked.
func (s *session) leader(a fleet.AdminRequest) (*fleet.AdminResponse, error) {
	if err := s.load(); err != nil {
		return nil, err
	}
	addrs, asked := map[string]string{}, map[string]bool{}
	for _, m := range s.opts.Fleet.Members {
		addrs[m.Name] = m.Address
	}
	var last *fleet.AdminResponse
	var why error
	for todo := s.names(); len(todo) > 0 && s.ctx.Err() == nil; {
		name := todo[0]
		if todo = todo[1:]; asked[name] || addrs[name] == "" {
			continue
		}
		asked[name] = true
		r, err := fleet.Call(s.ctx, addrs[name], s.names(), a)
		switch {
		case err != nil:
			why = errors.Join(why, fmt.Errorf("%s: %w", name, err))
		case r.Err == "" && (a.Order != nil || r.Status.IsLeader):
			return r, nil
		case r.Err == "":
			last, todo = r, append([]string{r.Status.Leader}, todo...)
		case r.NotLeader:
			why, todo = errors.Join(why, fmt.Errorf("%s: %s", name, r.Err)), append([]string{r.Leader}, todo...)
		case r.OutcomeUnknown:
			return nil, fault{Unheard, fmt.Errorf("%s: %s", name, r.Err)}
		default:
			return nil, fault{Refused, fmt.Errorf("%s: %s", name, r.Err)}
		}
	}
	if last != nil && a.Order == nil {
		return last, nil
	}
	return nil, fault{Unheard, fmt.Errorf("no member that leads has answered: %w", errors.Join(why, s.ctx.Err()))}
}

// orders gives an order.
func (s *session) orders(o rollout.Command) error {
	var id [8]byte
	if _, err := rand.Read(id[:]); err != nil {
		return err
	}
	o.ID, o.Author = binary.BigEndian.Uint64(id[:])>>1|1, s.line.Who
	if u, err := user.Current(); o.Author == "" && err == nil {
		o.Author = u.Username
	}
	if err := o.Check(); err != nil {
		return fault{Misused, err}
	}
	r, err := s.leader(fleet.AdminRequest{Command: fleet.CommandOrder, Order: &o})
	if err != nil {
		return err
	}
	return s.tell(r.Status)
}

// asJSON writes a value.
func (s *session) asJSON(v any) error {
	out := json.NewEncoder(s.out)
	out.SetIndent("", " ")
	return out.Encode(v)
}

type statusCmd struct{}

func (statusCmd) Run(s *session) error {
	r, err := s.leader(fleet.AdminRequest{Command: fleet.CommandStatus})
	if err != nil {
		return err
	}
	return s.tell(r.Status)
}

type rolloutCmd struct {
	File   string        `arg:"" type:"existingfile" help:"Settings: a platform's file, or {\"settings\": {...}}; Me and Zone stay each member's own."`
	Share  float64       `help:"Of the members that adopt it first." default:"0.1"`
	Settle time.Duration `help:"For so long all of these act on it before the rest follows." default:"30s"`
	Grace  time.Duration `help:"From then on, after which a member that is behind is shut out." default:"30s"`
	Why    string        `help:"The reason, for the log."`
}

func (c *rolloutCmd) Run(s *session) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return fault{Misused, err}
	}
	if !(c.Share > 0 && c.Share <= 1) {
		return misused("--share: %v is not within 0 to 1", c.Share)
	}
	return s.orders(rollout.Command{
		Kind: rollout.RollOut, Settings: text, Share: max(1, int(c.Share*rollout.FullShare)), SettleMs: c.Settle.Milliseconds(), GraceMs: c.Grace.Milliseconds(), Reason: c.Why,
	})
}

type holdCmd struct {
	Why string `help:"The reason, for the log."`
}

func (c *holdCmd) Run(s *session) error {
	return s.orders(rollout.Command{Kind: rollout.Pause, Reason: c.Why})
}

type backCmd struct {
	Number uint64        `arg:"" help:"Of the settings to go back to."`
	Grace  time.Duration `help:"After which a member that is behind is shut out." default:"30s"`
	Why    string        `help:"The reason, for the log."`
}

func (c *backCmd) Run(s *session) error {
	return s.orders(rollout.Command{Kind: rollout.Rollback, Number: c.Number, GraceMs: c.Grace.Milliseconds(), Reason: c.Why})
}

type outCmd struct {
	Name string `arg:""`
	Why  string `help:"The reason, for the log."`
}

func (c *outCmd) Run(s *session) error {
	return s.orders(rollout.Command{Kind: rollout.Exclude, Name: c.Name, Reason: c.Why})
}

type readmitCmd struct {
	Name string `arg:""`
	Why  string `help:"The reason, for the log."`
}

func (c *readmitCmd) Run(s *session) error {
	return s.orders(rollout.Command{Kind: rollout.Readmit, Name: c.Name, Reason: c.Why})
}
