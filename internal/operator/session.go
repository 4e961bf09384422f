package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"

	"damsonscale/internal/fleet"
	"damsonscale/internal/options"
)

// session is the state of one run of a command. It belongs to one goroutine.
type session struct {
	ctx     context.Context
	flags   *commandLine
	out     io.Writer
	members []options.Member // set by loadMembers
}

// loadMembers reads the list of members from the options file.
func (s *session) loadMembers() error {
	if s.flags.Options == "" {
		return usageError("--options is required: expected the options file of a member")
	}
	o, err := options.Load(func(string) string { return s.flags.Options }, "")
	if err != nil {
		return exitError{ExitUsage, err}
	}
	if len(o.Fleet.Members) == 0 {
		return usageError("%s: fleet.members is empty", s.flags.Options)
	}
	s.members = o.Fleet.Members
	return nil
}

// names returns the names of all members.
func (s *session) names() (names []string) {
	for _, m := range s.members {
		names = append(names, m.Name)
	}
	return names
}

// addressOf returns the address of a member, or an empty string if there is no such member.
func (s *session) addressOf(name string) string {
	for _, m := range s.members {
		if m.Name == name {
			return m.Address
		}
	}
	return ""
}

// askLeader sends a request to one member after the other until the leader answers. Once a member has named the leader, the leader is next. If
// the leader can't be reached, the answer of another member to a status request is returned. Members that forward a command keep its id, so
// that a command which several members receive is applied once.
func (s *session) askLeader(request fleet.AdminRequest) (*fleet.AdminResponse, error) {
	if err := s.loadMembers(); err != nil {
		return nil, err
	}
	tried := map[string]bool{}
	var follower *fleet.AdminResponse
	var failures error
	for next := s.names(); len(next) > 0 && s.ctx.Err() == nil; {
		name := next[0]
		if next = next[1:]; tried[name] || s.addressOf(name) == "" {
			continue
		}
		tried[name] = true
		r, err := fleet.SendAdminRequest(s.ctx, s.addressOf(name), s.names(), request)
		switch {
		case err != nil:
			failures = errors.Join(failures, fmt.Errorf("%s: %w", name, err))
		case r.Err == "" && (request.RolloutCommand != nil || r.Status.IsLeader):
			return r, nil
		case r.Err == "":
			follower, next = r, append([]string{r.Status.Leader}, next...)
		case r.NotLeader:
			failures, next = errors.Join(failures, fmt.Errorf("%s: %s", name, r.Err)), append([]string{r.Leader}, next...)
		case r.OutcomeUnknown:
			return nil, exitError{ExitNoAnswer, fmt.Errorf("%s: %s", name, r.Err)}
		default:
			return nil, exitError{ExitRejected, fmt.Errorf("%s: %s", name, r.Err)}
		}
	}
	if follower != nil && request.RolloutCommand == nil {
		return follower, nil
	}
	return nil, exitError{ExitNoAnswer, fmt.Errorf("no answer from the leader: %w", errors.Join(failures, s.ctx.Err()))}
}

// printJSON prints a value as indented JSON.
func (s *session) printJSON(v any) error {
	encoder := json.NewEncoder(s.out)
	encoder.SetIndent("", " ")
	return encoder.Encode(v)
}

// table returns a table with a header, which renders to the session's output.
func (s *session) table(header ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(s.out)
	t.SetStyle(table.StyleLight)
	t.Style().Options.DrawBorder = false
	t.AppendHeader(header)
	return t
}
