package operator

import (
	"fmt"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"damsonscale/internal/fleet"
)

// statusCommand prints the status of the fleet.
type statusCommand struct{}

// Run runs the command.
func (statusCommand) Run(s *session) error {
	r, err := s.askLeader(fleet.AdminRequest{Kind: fleet.RequestStatus})
	if err != nil {
		return err
	}
	return s.printStatus(r.Status)
}

// printStatus prints the status of the fleet as known to one member. Only the leader has the members' reports.
func (s *session) printStatus(st *fleet.ClusterStatus) error {
	if s.flags.JSON {
		return s.printJSON(st)
	}
	p := &st.Plan
	fmt.Fprintf(s.out, "reported by %s (leader: %t), epoch %d, leader %s\n", st.Name, st.IsLeader, st.Epoch, st.Leader)
	fmt.Fprintf(s.out, "target %d for %.1f%% of the members, others on %d; fence %d; excluded %v\n", p.Target, float64(p.SharePermille)/10, p.Base, p.Fence, p.Excluded)
	if p.PauseReason != "" {
		fmt.Fprintf(s.out, "paused: %s\n", p.PauseReason)
	}
	if st.WaitReason != "" {
		fmt.Fprintf(s.out, "waits: %s\n", st.WaitReason)
	}
	s.printVersions(st)
	s.printMembers(st)
	return nil
}

// printVersions prints the versions that are available for a rollback.
func (s *session) printVersions(st *fleet.ClusterStatus) {
	if len(st.Plan.Versions) == 0 {
		return
	}
	versions := s.table("number", "digest", "bytes", "rollback of", "who", "why")
	for _, v := range st.Plan.Versions {
		versions.AppendRow(table.Row{v.Number, fmt.Sprintf("%x", v.Digest[:8]), v.SizeBytes, v.RollbackOf, v.Author, v.Reason})
	}
	versions.Render()
}

// printMembers prints the version in use and the counts of each member, by its last report.
func (s *session) printMembers(st *fleet.ClusterStatus) {
	members := s.table("member", "processes", "acts on", "target", "behind", "rejected", "why", "build", "answers", "served", "reported")
	for _, name := range st.MemberNames {
		processes := 0
		for _, m := range st.Members {
			if m.Name == name {
				processes++
			}
		}
		target := st.Plan.TargetFor(name)
		last, ok := st.Reports[name]
		if !ok {
			members.AppendRow(table.Row{name, processes, "?", target, "?", "", "", "", "", "", "never"})
			continue
		}
		r := &last.Report
		age := (time.Duration(last.AgeMs) * time.Millisecond).String() + " ago"
		members.AppendRow(table.Row{
			name, processes, r.ActiveVersion, target, r.ActiveVersion < target, r.RejectedVersion, r.RejectReason, r.Build, r.Current.Answered, r.Current.Served, age,
		})
	}
	members.Render()
}
