package operator

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"damsonscale/internal/audit"
	"damsonscale/internal/fleet"
)

// auditCommand prints audit trails, assembled from the segments that all members store.
type auditCommand struct {
	ID      string        `help:"Only events of the request with this id." name:"id"`
	Member  string        `help:"Only events that this member recorded."`
	Version *uint64       `help:"Only events under the settings with this number."`
	Since   time.Duration `help:"Only events that are at most this old, by the clock of the member that recorded them."`
}

// Run runs the command.
func (c *auditCommand) Run(s *session) error {
	if err := s.loadMembers(); err != nil {
		return err
	}
	if c.Member != "" && !slices.Contains(s.names(), c.Member) {
		return usageError("--member: %q is no member of this fleet", c.Member)
	}
	codec, err := audit.NewCodec()
	if err != nil {
		return err
	}
	segments, failed := s.collectSegments(c.Member)
	if len(failed) == len(s.members) {
		for name, reason := range failed {
			return exitError{ExitNoAnswer, fmt.Errorf("no member returned audit segments; %s: %s", name, reason)}
		}
	}
	q := audit.Query{ID: c.ID, Member: c.Member, Version: c.Version}
	if c.Since > 0 {
		q.SinceUnixMillis = time.Now().Add(-c.Since).UnixMilli()
	}
	trails := codec.AssembleTrails(fleet.ID(s.names()), segments, &q)
	if c.ID != "" || c.Version != nil {
		trails = slices.DeleteFunc(trails, func(t audit.Trail) bool { return len(t.Events) == 0 && len(t.Faults) == 0 })
	}
	return s.printTrails(trails, failed)
}

// collectSegments requests the stored segments from all members concurrently: segments of the named member, or of all members if name is
// empty. failed holds the error of each member that returned no segments.
func (s *session) collectSegments(name string) (segments []audit.SealedSegment, failed map[string]string) {
	failed = map[string]string{}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, m := range s.members {
		calls.Go(func() {
			r, err := fleet.SendAdminRequest(s.ctx, m.Address, s.names(), fleet.AdminRequest{Kind: fleet.RequestSegments, Member: name})
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				failed[m.Name] = err.Error()
			case r.Err != "":
				failed[m.Name] = r.Err
			default:
				segments = append(segments, r.Segments...)
			}
		})
	}
	calls.Wait()
	return segments, failed
}

// trailsOutput is the JSON output of audit trails.
type trailsOutput struct {
	Trails []audit.Trail                 `json:"Accounts"`
	Gaps   map[string][]audit.EventRange `json:"Gaps"`    // by member name and incarnation (hex), separated by a slash
	Failed map[string]string             `json:"Unheard"` // error by name of each member that returned no segments
}

// printTrails prints audit trails, and returns an error with ExitAuditFault if any trail has faults.
func (s *session) printTrails(trails []audit.Trail, failed map[string]string) error {
	output := trailsOutput{Gaps: map[string][]audit.EventRange{}, Failed: failed}
	faults := 0
	for _, t := range trails {
		faults += len(t.Faults)
		output.Trails = append(output.Trails, t)
		output.Gaps[fmt.Sprintf("%s/%x", t.Member.Name, t.Member.Incarnation)] = t.Gaps()
	}
	if s.flags.JSON {
		if err := s.printJSON(output); err != nil {
			return err
		}
	} else {
		for i := range trails {
			s.printTrail(&trails[i])
		}
		for name, reason := range failed {
			fmt.Fprintf(s.out, "no segments from %s: %s\n", name, reason)
		}
	}
	if faults > 0 {
		return exitError{ExitAuditFault, fmt.Errorf("%d faults in the audit trails", faults)}
	}
	return nil
}

// printTrail prints the faults, counts and events of a trail.
func (s *session) printTrail(t *audit.Trail) {
	for _, fault := range t.Faults {
		fmt.Fprintln(s.out, "fault:", fault)
	}
	if t.Member.Name == "" {
		return
	}
	end := "end of the incarnation not recorded"
	if t.Ended {
		end = "incarnation ended cleanly"
	}
	fmt.Fprintf(s.out, "%s/%x: events 1 to %d, %s; gaps %v\n", t.Member.Name, t.Member.Incarnation, t.LastEvent, end, t.Gaps())
	counts := s.table("settings", "digest", "list", "build", "took", "took over", "sent", "unsent", "served", "refused", "failed", "turned away", "doubled", "left")
	for _, c := range t.Counts {
		row := table.Row{c.Version.Settings, fmt.Sprintf("%016x", c.Version.Digest), c.Version.ListSeq, c.Version.Build}
		for _, n := range c.ByKind {
			row = append(row, n)
		}
		counts.AppendRow(row)
	}
	counts.Render()
	if len(t.Events) == 0 {
		return
	}
	events := s.table("event", "at", "kind", "request", "note", "settings", "list")
	for _, e := range t.Events {
		events.AppendRow(table.Row{e.Number, time.Duration(e.AtMicros) * time.Microsecond, e.Kind, e.ID, e.Note, e.Version.Settings, e.Version.ListSeq})
	}
	events.Render()
}
