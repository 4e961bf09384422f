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

// Roles of a process in a run.
const (
	Leader       = "leader"        // leader of the first fleet, a real member
	Voter        = "voter"         // other voter of the first fleet, a real member
	HollowLeader = "hollow leader" // leader of the first fleet, a hollow member in a process of its own
	HollowVoter  = "hollow voter"  // other voter of the first fleet, a hollow member in a process of its own
	RealMember   = "real member"   // real member of any fleet that is no voter of the first
	Member       = "member"        // hollow member of the first fleet in a shared process; none is a voter
	CellMember   = "cell member"   // hollow member of another fleet in a shared process; leaders and voters of that fleet are included
	Links        = "links"         // relays between the members, which belong to the measurement
)

// Roles are the roles that a report may have, in the order of its rows.
var Roles = []string{Leader, Voter, HollowLeader, HollowVoter, RealMember, Member, CellMember, Links}

// Role is the mean use of one member in a role. The use of a shared process, including that of the Go runtime, is divided by the number
// of its members.
type Role struct {
	Name            string
	Members         int
	Processes       int
	CPU             float64 // % of a core
	MemoryMB        float64
	Descriptors     float64
	CountedMembers  int                `json:"Counted"` // members whose links are counted; the rates below are means over them
	KBIn, KBOut     float64            // KB per second
	FramesIn        float64            `json:"In"`    // frames per second
	FramesOut       float64            `json:"Out"`   // frames per second
	FramesOutByKind map[string]float64 `json:"OutOf"` // frames per second
}

// ListServiceRates are the rates of the list service, per second. Its CPU and memory are not measured, because it runs in the
// measuring process.
type ListServiceRates struct {
	OpenWatches int64 `json:"Open"` // at the end
	Calls       float64
	Messages    float64 `json:"Words"` // lists, changes and heartbeats
	KBIn, KBOut float64
}

// Report is the result of a run.
type Report struct {
	Real, Hollow, CellSize, Fleets int
	Members                        int
	ForS, LeaseMs                  float64
	Audit                          bool
	Servers                        int
	StartS                         float64 // from the start until each member had a lease and each hollow member had a list
	Leases                         int     // members that have been granted a lease
	Evictions                      int     `json:"PutOut"` // evicted incarnations in the whole run
	MembershipChanges              int     `json:"Unrest"` // evictions, and elections in the first fleet, during the measurement
	Roles                          []Role
	ListService                    ListServiceRates
	Sent, Received, Lost           int64 // frames at the relays in the whole run; a frame is lost if the connection to its receiver has closed
	OpenLinks                      int64 // relay connections still open after the members have ended; frames on them may be missing from the counts
	Settings, List                 PropagationTimes
	Fault                          *FaultReport `json:",omitempty"`
	LoadBefore, LoadAfter          float64      // load average of the whole machine, including other users of it
	PeakMB                         float64      // maximum resident memory of all processes together
}

// role returns the role of a process.
func (r *run) role(process, leader *child) string {
	if process.isRelay {
		return Links
	}
	m := &r.layout.members[process.members[0]]
	voter := m.fleet == 0 && process.members[0] < votersOf(len(r.layout.fleets[0].members))
	switch {
	case process == leader && m.real:
		return Leader
	case process == leader:
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

// report summarises the time between two samples, from before to after.
func (r *run) report(before, after *sample) *Report {
	c := &r.conf
	seconds := after.at.Sub(before.at).Seconds()
	out := &Report{
		Real: c.Real, Hollow: c.Hollow, CellSize: c.CellSize, Fleets: len(r.layout.fleets), Members: c.Real + c.Hollow,
		ForS: seconds, LeaseMs: float64(c.Lease.Milliseconds()), Audit: c.Audit, Servers: c.Servers,
	}
	out.Roles = r.roles(before, after, seconds)
	out.ListService = listServiceRates(before.list, after.list, seconds)
	r.countMembershipChanges(out, before.at, after.at)
	return out
}

// roles returns the mean use of one member between two samples, by role.
func (r *run) roles(before, after *sample, seconds float64) (out []Role) {
	leader, _ := r.observations.lastElected(r.inFirstFleet)
	byName := map[string]*Role{}
	for _, p := range r.children.all {
		u, ok := after.usage[p]
		was, had := before.usage[p]
		if !ok || !had || p.killed {
			continue
		}
		name := r.role(p, leader)
		role := byName[name]
		if role == nil {
			role = &Role{Name: name, FramesOutByKind: map[string]float64{}}
			byName[name] = role
		}
		role.Members += len(p.members)
		role.Processes++
		role.CPU += 100 * (u.CPU - was.CPU).Seconds() / seconds
		role.MemoryMB += float64(u.RSS) / (1 << 20)
		role.Descriptors += float64(u.Descriptors)
		if name != Links {
			r.addTraffic(role, p, before, after, seconds)
		}
	}
	for _, name := range Roles {
		if role := byName[name]; role != nil {
			role.toMeans()
			out = append(out, *role)
		}
	}
	return out
}

// addTraffic adds the frames and bytes that the members of a process sent and received over relays.
func (r *run) addTraffic(role *Role, p *child, before, after *sample, seconds float64) {
	for _, i := range p.members {
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

// toMeans divides the sums over all members of a role by their number.
func (r *Role) toMeans() {
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

// listServiceRates returns the rates of the list service between two samples.
func listServiceRates(before, after ListServiceCounts, seconds float64) ListServiceRates {
	return ListServiceRates{
		OpenWatches: after.Open,
		Calls:       float64(after.Calls-before.Calls) / seconds, Messages: float64(after.Messages-before.Messages) / seconds,
		KBIn: float64(after.BytesIn-before.BytesIn) / 1000 / seconds, KBOut: float64(after.BytesOut-before.BytesOut) / 1000 / seconds,
	}
}

// countMembershipChanges counts the leases and evictions of the whole run, and the evictions and elections between two times.
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
		if r.inFirstFleet(l.process) && measured(l.at) {
			out.MembershipChanges++
		}
	}
}

// Stable reports whether no member was evicted and no leader was elected during the measurement. An unstable run had too little CPU or an
// injected fault.
func (r *Report) Stable() bool { return r.MembershipChanges == 0 }

// WriteJSON writes a report, or other results, to a file.
func WriteJSON(path string, v any) error {
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// ReadReports reads files that hold one report or an array of reports.
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

func formatFigure(x float64) string { return fmt.Sprintf("%.3g", x) }

// Print writes the report as text.
func (r *Report) Print(out io.Writer) {
	fmt.Fprintf(out, "%d members (%d real, %d hollow) in %d fleets, lease %.0f ms, audit log %t, %d endpoints on the list, measured for %.1f s; each member had a lease and a list after %.1f s\n",
		r.Members, r.Real, r.Hollow, r.Fleets, r.LeaseMs, r.Audit, r.Servers, r.ForS, r.StartS)
	t := newTable(out, "role", "members", "processes", "% of a core", "MB", "descriptors", "KB/s in", "KB/s out", "frames/s in", "frames/s out", "counted")
	for _, o := range r.Roles {
		row := table.Row{o.Name, o.Members, o.Processes, formatFigure(o.CPU), formatFigure(o.MemoryMB), formatFigure(o.Descriptors)}
		if o.CountedMembers > 0 {
			row = append(row, formatFigure(o.KBIn), formatFigure(o.KBOut), formatFigure(o.FramesIn), formatFigure(o.FramesOut), o.CountedMembers)
		} else {
			row = append(row, "-", "-", "-", "-", 0)
		}
		t.AppendRow(row)
	}
	t.Render()
	fmt.Fprintln(out, "figures are means of one member; the use of a shared process is divided by the number of its members")
	for _, o := range r.Roles {
		var parts []string
		for k, n := range o.FramesOutByKind {
			parts = append(parts, fmt.Sprintf("%s %s", k, formatFigure(n)))
		}
		if slices.Sort(parts); len(parts) > 0 {
			fmt.Fprintf(out, "frames sent per second by a %s: %s\n", o.Name, strings.Join(parts, ", "))
		}
	}
	l := r.ListService
	fmt.Fprintf(out, "list service: %d open watches, %s calls/s, %s lists and heartbeats/s, %s KB/s in, %s KB/s out\n", l.OpenWatches, formatFigure(l.Calls), formatFigure(l.Messages), formatFigure(l.KBIn), formatFigure(l.KBOut))
	r.Settings.print(out, "settings versions, of each fleet")
	r.List.print(out, "list changes, at hollow members")
	switch f := r.Fault; {
	case f == nil:
	case f.Name == ListDown:
		fmt.Fprintf(out, "fault %s: %d calls to the list service in the first second after its return\n", f.Name, f.CallsAfterReturn)
	default:
		fmt.Fprintf(out, "fault %s at %s: new leader after %.0f ms, %d members evicted, recovered after %.0f ms\n", f.Name, f.Process, f.NewLeaderMs, f.Evictions, f.RecoveryMs)
	}
	if !r.Stable() {
		fmt.Fprintf(out, "UNSTABLE: %d evictions and elections during the measurement; slopes exclude this run\n", r.MembershipChanges)
	}
	fmt.Fprintf(out, "frames at the relays: %d sent, %d received, %d lost; %d evictions in the whole run; load average %.1f before, %.1f after; at most %.0f MB resident in all processes\n",
		r.Sent, r.Received, r.Lost, r.Evictions, r.LoadBefore, r.LoadAfter, r.PeakMB)
}

func (f *PropagationTimes) print(out io.Writer, what string) {
	if f.Changes+f.Rejected > 0 {
		fmt.Fprintf(out, "%s: %d changes (%s/s), %d not committed; applied after %.0f ms (p50), %.0f ms (p99), %.0f ms (max); missing at the end: %d of %d\n",
			what, f.Changes, formatFigure(f.PerSecond), f.Rejected, f.P50Ms, f.P99Ms, f.MaxMs, f.Missing, f.Expected)
	}
}
