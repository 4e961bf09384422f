package fleetscale

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
)

// Roles of members.
const (
	Leader       = "leader"        // of the first fleet, a real process
	Voter        = "voter"         // others of the first fleet that keep its log, real processes
	HollowLeader = "hollow leader" // the same, hollow, in a process of its own
	HollowVoter  = "hollow voter"
	RealMember   = "real member" // of any fleet, that does not keep the log of the first
	Member       = "member"      // hollow, in a shared process, of the first fleet: none of them votes
	CellMember   = "cell member" // hollow, in a shared process, of the other fleets: those who lead and vote among them
	Links        = "links"       // the run's own processes between the members
)

// Roles are those that a report may have, in their order.
var Roles = []string{Leader, Voter, HollowLeader, HollowVoter, RealMember, Member, CellMember, Links}

// Role is what one member of a role takes: the mean of all. Of a shared process it is the process's divided by its members, so that the
// runtime and the program are shared too.
type Role struct {
	Name            string
	Members         int
	Processes       int
	CPU             float64 // % of a core
	MemoryMB        float64
	Descriptors     float64
	CountedMembers  int                `json:"Counted"` // members whose links are counted; the rates below are means over them
	KBIn, KBOut     float64            // a second
	FramesIn        float64            `json:"In"`    // frames per second
	FramesOut       float64            `json:"Out"`   // frames per second
	FramesOutByKind map[string]float64 `json:"OutOf"` // frames per second
}

// ListFigures are the list service's, a second; its own CPU and memory are the run's and not measured.
type ListServiceRates struct {
	OpenWatches int64 `json:"Open"` // at the end
	Calls       float64
	Messages    float64 `json:"Words"` // lists, changes and heartbeats
	KBIn, KBOut float64
}

// Report is what a run came to.
type Report struct {
	Real, Hollow, CellSize, Fleets int
	Members                        int
	ForS, LeaseMs                  float64
	Audit                          bool
	Servers                        int
	StartS                         float64 // until each member had a lease and a list
	Leases                         int     // members that have had one
	Evictions                      int     `json:"PutOut"` // evicted incarnations in the whole run
	MembershipChanges              int     `json:"Unrest"` // evictions, and elections in the first fleet, during the measurement
	Roles                          []Role
	ListService                    ListServiceRates
	Sent, Received, Lost           int64 // frames on the counted links from the start to the members' end; lost: their receiver had gone
	OpenLinks                      int64 // connections there after that end: what they carried is not all counted
	Settings, List                 PropagationTimes
	Fault                          *FaultReport `json:",omitempty"`
	LoadBefore, LoadAfter          float64      // of the machine, all of it: others may have used it too
	PeakMB                         float64      // resident, of all processes together
}

// role finds a process's.
func (r *run) role(one, leader *child) string {
	if one.links {
		return Links
	}
	m := &r.layout.members[one.members[0]]
	voter := m.fleet == 0 && one.members[0] < votersOf(len(r.layout.fleets[0].members))
	switch {
	case one == leader && m.real:
		return Leader
	case one == leader:
		return HollowLeader
	case voter && m.real:
		return Voter
	case voter:
		return HollowVoter
	case m.real:
		return RealMember
	case m.fleet == 0:
		return Member
	}
	return CellMember
}

// report summarises the time between two samples.
func (r *run) report(before, after *sample) *Report {
	c := &r.conf
	seconds := after.at.Sub(before.at).Seconds()
	out := &Report{
		Real: c.Real, Hollow: c.Hollow, CellSize: c.CellSize, Fleets: len(r.layout.fleets), Members: c.Real + c.Hollow,
		ForS: seconds, LeaseMs: float64(c.Lease.Milliseconds()), Audit: c.Audit, Servers: c.Servers,
	}
	out.Roles = r.roles(before, after, seconds)
	out.ListService = listFigures(before.list, after.list, seconds)
	r.countMembershipChanges(out, before.at, after.at)
	return out
}

// roles returns the mean use of one member, by role.
func (r *run) roles(before, after *sample, seconds float64) (out []Role) {
	leader, _ := r.observations.leader(r.ofFirstFleet)
	byName := map[string]*Role{}
	for _, one := range r.children.all {
		u, ok := after.usage[one]
		was, had := before.usage[one]
		if !ok || !had || one.killed {
			continue
		}
		name := r.role(one, leader)
		role := byName[name]
		if role == nil {
			role = &Role{Name: name, FramesOutByKind: map[string]float64{}}
			byName[name] = role
		}
		role.Members += len(one.members)
		role.Processes++
		role.CPU += 100 * (u.CPU - was.CPU).Seconds() / seconds
		role.MemoryMB += float64(u.RSS) / (1 << 20)
		role.Descriptors += float64(u.Descriptors)
		if name != Links {
			r.addTraffic(role, one, before, after, seconds)
		}
	}
	for _, name := range Roles {
		if role := byName[name]; role != nil {
			role.divide()
			out = append(out, *role)
		}
	}
	return out
}

// addTraffic adds what the members of a process sent and received over counted links.
func (r *run) addTraffic(role *Role, one *child, before, after *sample, seconds float64) {
	for _, i := range one.members {
		m := &r.layout.members[i]
		if !r.layout.fleets[m.fleet].counted {
			continue
		}
		t := after.counts[m.name].since(before.counts[m.name])
		role.CountedMembers++
		role.KBIn += float64(t.InBytes) / 1000 / seconds
		role.KBOut += float64(t.OutBytes) / 1000 / seconds
		role.FramesIn += float64(t.InFrames) / seconds
		role.FramesOut += float64(t.OutFrames) / seconds
		for k, n := range t.Out {
			if n > 0 {
				role.FramesOutByKind[k] += float64(n) / seconds
			}
		}
	}
}

// divide turns sums over all members of a role into means.
func (r *Role) divide() {
	n := float64(r.Members)
	r.CPU, r.MemoryMB, r.Descriptors = r.CPU/n, r.MemoryMB/n, r.Descriptors/n
	k := float64(r.CountedMembers)
	if k == 0 {
		return
	}
	r.KBIn, r.KBOut, r.FramesIn, r.FramesOut = r.KBIn/k, r.KBOut/k, r.FramesIn/k, r.FramesOut/k
	for kind := range r.FramesOutByKind {
		r.FramesOutByKind[kind] /= k
	}
}

// listFigures returns the list service's rates.
func listFigures(before, after ListServiceCounts, seconds float64) ListServiceRates {
	return ListServiceRates{
		OpenWatches: after.Open,
		Calls:       float64(after.Calls-before.Calls) / seconds, Messages: float64(after.Messages-before.Messages) / seconds,
		KBIn: float64(after.BytesIn-before.BytesIn) / 1000 / seconds, KBOut: float64(after.BytesOut-before.BytesOut) / 1000 / seconds,
	}
}

// countMembershipChanges counts leases and evictions, and those evictions and elections that fall into the measured time.
func (r *run) countMembershipChanges(out *Report, from, to time.Time) {
	r.observations.mu.Lock()
	defer r.observations.mu.Unlock()
	out.Leases, out.Evictions = len(r.observations.leaseCounts), len(r.observations.evictions)
	measured := func(at time.Time) bool { return !at.Before(from) && !at.After(to) }
	for _, at := range r.observations.evictions {
		if measured(at) {
			out.MembershipChanges++
		}
	}
	for _, l := range r.observations.elections {
		if r.ofFirstFleet(l.process) && measured(l.at) {
			out.MembershipChanges++
		}
	}
}

// Calm tells whether a run was of members that live on: nobody was put out and no other led while it was measured. A run that is not was starved
// of CPU, or had a fault.
func (r *Report) Stable() bool { return r.MembershipChanges == 0 }

// Write puts a report, or any figures, into a file.
func WriteJSON(path string, v any) error {
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// Read reads files of one report or of several.
func ReadReports(paths []string) (out []*Report, err error) {
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		var all []*Report
		if err := json.Unmarshal(text, &all); err != nil {
			one := new(Report)
			if err := json.Unmarshal(text, one); err != nil {
				return nil, fmt.Errorf("%s: %w", path, err)
			}
			all = []*Report{one}
		}
		out = append(out, all...)
	}
	return out, nil
}

func newTable(out io.Writer, head ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(out)
	t.SetStyle(table.StyleLight)
	t.AppendHeader(head)
	return t
}

func figure(x float64) string { return fmt.Sprintf("%.3g", x) }

// Print tells a report.
func (r *Report) Print(out io.Writer) {
	fmt.Fprintf(out, "%d members (%d real, %d hollow) in %d fleets, lease %.0f ms, account %t, a list of %d, measured for %.1f s; all had a lease and a list after %.1f s\n",
		r.Members, r.Real, r.Hollow, r.Fleets, r.LeaseMs, r.Audit, r.Servers, r.ForS, r.StartS)
	t := newTable(out, "role", "members", "processes", "% of a core", "MB", "descriptors", "KB/s in", "KB/s out", "frames/s in", "frames/s out", "counted")
	for _, o := range r.Roles {
		row := table.Row{o.Name, o.Members, o.Processes, figure(o.CPU), figure(o.MemoryMB), figure(o.Descriptors)}
		if o.CountedMembers > 0 {
			row = append(row, figure(o.KBIn), figure(o.KBOut), figure(o.FramesIn), figure(o.FramesOut), o.CountedMembers)
		} else {
			row = append(row, "-", "-", "-", "-", 0)
		}
		t.AppendRow(row)
	}
	t.Render()
	fmt.Fprintln(out, "figures are of one member; where a process has several, the process's divided by them")
	for _, o := range r.Roles {
		var parts []string
		for k, n := range o.FramesOutByKind {
			parts = append(parts, fmt.Sprintf("%s %s", k, figure(n)))
		}
		if slices.Sort(parts); len(parts) > 0 {
			fmt.Fprintf(out, "%s sends, frames a second: %s\n", o.Name, strings.Join(parts, ", "))
		}
	}
	l := r.ListService
	fmt.Fprintf(out, "list service: %d watches, %s calls/s, %s lists and beats/s, %s KB/s in, %s KB/s out\n", l.OpenWatches, figure(l.Calls), figure(l.Messages), figure(l.KBIn), figure(l.KBOut))
	r.Settings.print(out, "versions of the settings, of each fleet")
	r.List.print(out, "changes of the list, at hollow members")
	switch f := r.Fault; {
	case f == nil:
	case f.Name == ListDown:
		fmt.Fprintf(out, "fault %s: %d calls on the list service in the second after its return\n", f.Name, f.CallsAfterReturn)
	default:
		fmt.Fprintf(out, "fault %s, %s: another leader after %.0f ms, %d put out, whole again after %.0f ms\n", f.Name, f.Process, f.NewLeaderMs, f.Evictions, f.RecoveryMs)
	}
	if !r.Stable() {
		fmt.Fprintf(out, "NOT CALM: %d members put out or new leaders while it was measured; slopes leave this run out\n", r.MembershipChanges)
	}
	fmt.Fprintf(out, "frames on counted links: %d sent, %d received, %d lost at the end; put out in all: %d; the machine's load before %.1f, after %.1f; %.0f MB at most, of all processes\n",
		r.Sent, r.Received, r.Lost, r.Evictions, r.LoadBefore, r.LoadAfter, r.PeakMB)
}

func (f *PropagationTimes) print(out io.Writer, what string) {
	if f.Changes+f.Rejected > 0 {
		fmt.Fprintf(out, "%s: %d changes (%s/s), %d not agreed; in force after %.0f ms (p50), %.0f ms (p99), %.0f ms (most); missing %d of %d\n",
			what, f.Changes, figure(f.PerSecond), f.Rejected, f.P50Ms, f.P99Ms, f.MaxMs, f.Missing, f.Expected)
	}
}
