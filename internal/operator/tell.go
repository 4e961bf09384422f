package operator

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"damsonscale/internal/audit"
	"damsonscale/internal/fleet"
)

func (s *session) table(head ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(s.out)
	t.SetStyle(table.StyleLight)
	t.Style().Options.DrawBorder = false
	t.AppendHeader(head)
	return t
}

// tell tells how the fleet stands.
func (s *session) tell(st *fleet.ClusterStatus) error {
	if s.line.JSON {
		return s.asJSON(st)
	}
	p := &st.Plan
	fmt.Fprintf(s.out, "as of %s (leads: %t), epoch %d, leader %s\n", st.Name, st.IsLeader, st.Epoch, st.Leader)
	fmt.Fprintf(s.out, "target %d for %.1f%% of the members, others on %d; fence %d; barred %v\n", p.Target, float64(p.Share)/10, p.Base, p.Fence, p.Excluded)
	if p.PauseReason != "" {
		fmt.Fprintf(s.out, "held: %s\n", p.PauseReason)
	}
	if st.WaitingFor != "" {
		fmt.Fprintf(s.out, "waits: %s\n", st.WaitingFor)
	}
	versions := s.table("number", "digest", "bytes", "back to", "who", "why")
	for _, v := range p.Versions {
		versions.AppendRow(table.Row{v.Number, fmt.Sprintf("%x", v.Digest[:8]), v.SizeBytes, v.RollbackOf, v.Author, v.Reason})
	}
	if len(p.Versions) > 0 {
		versions.Render()
	}
	members := s.table("member", "processes", "acts on", "wants", "behind", "refused", "why", "build", "answers", "served", "heard")
	for _, name := range st.MemberNames {
		living := 0
		for _, m := range st.Members {
			if m.Name == name {
				living++
			}
		}
		want := p.TargetFor(name)
		t, ok := st.Reports[name]
		if !ok {
			members.AppendRow(table.Row{name, living, "?", want, "?", "", "", "", "", "", "never"})
			continue
		}
		r := &t.Report
		members.AppendRow(table.Row{
			name, living, r.Active, want, r.Active < want, r.Rejected, r.RejectReason, r.Build, r.Current.Answered, r.Current.Served, (time.Duration(t.AgeMs) * time.Millisecond).String() + " ago",
		})
	}
	members.Render()
	return nil
}

type auditCmd struct {
	ID      string        `help:"Of a request." name:"id"`
	Member  string        `help:"That acted."`
	Version *uint64       `help:"Number of the settings."`
	Since   time.Duration `help:"Nothing older, by the clock of the member that acted."`
}

// found is what an inquiry tells.
type found struct {
	Accounts []audit.Trail                 `json:"Accounts"`
	Gaps     map[string][]audit.EventRange `json:"Gaps"`    // by member and incarnation
	Unheard  map[string]string             `json:"Unheard"` // members that could not be asked, and why
}

func (c *auditCmd) Run(s *session) error {
	if err := s.load(); err != nil {
		return err
	}
	if c.Member != "" && !slices.Contains(s.names(), c.Member) {
		return misused("--member: %q is no member of this fleet", c.Member)
	}
	codec, err := audit.NewCodec()
	if err != nil {
		return err
	}
	all, unheard := s.segments(c.Member)
	if len(unheard) == len(s.opts.Fleet.Members) {
		for name, why := range unheard {
			return fault{Unheard, fmt.Errorf("no member has answered; %s: %s", name, why)}
		}
	}
	q := audit.Query{ID: c.ID, Member: c.Member, Version: c.Version}
	if c.Since > 0 {
		q.SinceUnixMillis = time.Now().Add(-c.Since).UnixMilli()
	}
	return s.told(codec.AssembleTrails(fleet.ID(s.names()), all, &q), unheard, c.ID != "" || c.Version != nil)
}

// segments asks all members for what they hold, at the same time.
func (s *session) segments(name string) (all []audit.SealedSegment, unheard map[string]string) {
	unheard = map[string]string{}
	var mu sync.Mutex
	var work sync.WaitGroup
	for _, m := range s.opts.Fleet.Members {
		work.Go(func() {
			r, err := fleet.Call(s.ctx, m.Address, s.names(), fleet.AdminRequest{Command: fleet.CommandSegments, Member: name})
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				unheard[m.Name] = err.Error()
			case r.Err != "":
				unheard[m.Name] = r.Err
			default:
				all = append(all, r.Segments...)
			}
		})
	}
	work.Wait()
	return all, unheard
}

// told tells accounts. chosen: of each only those that have acts that were asked for.
func (s *session) told(accounts []audit.Trail, unheard map[string]string, chosen bool) error {
	f := found{Gaps: map[string][]audit.EventRange{}, Unheard: unheard}
	faults := 0
	for _, a := range accounts {
		faults += len(a.Faults)
		if chosen && len(a.Events) == 0 && len(a.Faults) == 0 {
			continue
		}
		f.Accounts = append(f.Accounts, a)
		f.Gaps[fmt.Sprintf("%s/%x", a.Member.Name, a.Member.Incarnation)] = a.Gaps()
	}
	if s.line.JSON {
		if err := s.asJSON(f); err != nil {
			return err
		}
	} else {
		s.accounts(&f)
	}
	if faults > 0 {
		return fault{NotWhole, fmt.Errorf("%d faults in the account", faults)}
	}
	return nil
}

func (s *session) accounts(f *found) {
	for i := range f.Accounts {
		a := &f.Accounts[i]
		for _, why := range a.Faults {
			fmt.Fprintln(s.out, "fault:", why)
		}
		if a.Member.Name == "" {
			continue
		}
		end := "then nothing is known"
		if a.Ended {
			end = "then it ended in good order"
		}
		fmt.Fprintf(s.out, "%s/%x: acts 1 to %d, %s; gaps %v\n", a.Member.Name, a.Member.Incarnation, a.Last, end, a.Gaps())
		counts := s.table("settings", "digest", "list", "build", "took", "took over", "sent", "unsent", "served", "refused", "failed", "turned away", "doubled", "left")
		for _, c := range a.Counts {
			row := table.Row{c.Version.Settings, fmt.Sprintf("%016x", c.Version.Digest), c.Version.ListSeq, c.Version.Build}
			for _, n := range c.ByKind {
				row = append(row, n)
			}
			counts.AppendRow(row)
		}
		counts.Render()
		if len(a.Events) == 0 {
			continue
		}
		acts := s.table("act", "at", "what", "request", "", "settings", "list")
		for _, act := range a.Events {
			acts.AppendRow(table.Row{act.Number, time.Duration(act.AtMicros) * time.Microsecond, act.Kind, act.ID, act.Note, act.Version.Settings, act.Version.ListSeq})
		}
		acts.Render()
	}
	for name, why := range f.Unheard {
		fmt.Fprintf(s.out, "not asked: %s: %s\n", name, why)
	}
}

// noID is that of no request.
const noID = "\x00"

type verifyCmd struct {
	Dir string `arg:"" type:"existingdir"`
}

func (c *verifyCmd) Run(s *session) error {
	if err := s.load(); err != nil {
		return err
	}
	files, err := filepath.Glob(filepath.Join(c.Dir, "*.segments"))
	if err != nil {
		return fault{Misused, err}
	}
	if len(files) == 0 {
		return misused("%s: no segments", c.Dir)
	}
	codec, err := audit.NewCodec()
	if err != nil {
		return err
	}
	var all []audit.SealedSegment
	cutOff := 0
	for _, path := range files {
		part, good, err := fleet.ReadSegments(path)
		if err != nil {
			size := int64(0)
			if info, bad := os.Stat(path); bad == nil {
				size = info.Size()
			}
			fmt.Fprintf(s.out, "fault: %s: %d of %d bytes are good: %v\n", path, good, size, err)
			cutOff++
		}
		all = append(all, part...)
	}
	accounts := codec.AssembleTrails(fleet.ID(s.names()), all, &audit.Query{ID: noID}) // whether all fits is what is asked
	if err := s.told(accounts, nil, false); err != nil {
		return err
	}
	if cutOff > 0 {
		return fault{NotWhole, fmt.Errorf("%d files are not whole", cutOff)}
	}
	return nil
}
