package faultinjection

import (
	"context"
	"fmt"
	"slices"

	"pgregory.net/rapid"
)

// KillsAndPause returns the standard takeover experiment: two processes are killed one after the other and restarted 1 s later, and the
// third is paused for 3 s.
func KillsAndPause(seed uint64, fleet bool) *Timeline {
	return &Timeline{
		Seed: seed, Note: "two processes are killed, one is stopped for 3 s", Processes: 3, Fleet: fleet, LengthMs: 14_000, PerSecond: 200,
		DeadlineMs: 2000, SilenceMs: 700, Servers: defaultServers(), Workload: defaultWorkload(),
		Faults: []Fault{
			{AtMs: 3000, DurationMs: 1000, Kind: Kill, Process: 0},
			{AtMs: 6500, DurationMs: 1000, Kind: Kill, Process: 1},
			{AtMs: 9500, DurationMs: 3000, Kind: Stop, Process: 2},
		},
	}
}

func defaultServers() []ServerConfig {
	return []ServerConfig{{MinMs: 20, MaxMs: 60}, {MinMs: 50, MaxMs: 150}, {MinMs: 100, MaxMs: 250}, {MinMs: 200, MaxMs: 400}}
}

func defaultWorkload() []ClassShare {
	return []ClassShare{{Class: "look", Share: 4}, {Class: "make", Share: 3}, {Class: "once", Share: 3}}
}

// Rollouts returns the standard rollout experiment: two versions are rolled out one after the other while a member is partitioned
// (condition "cut"), is paused ("stopped") or rejects both versions ("refused"). With the condition "barred", two members are excluded
// instead, without a rollout. Any other condition adds no fault.
func Rollouts(seed uint64, condition string) *Timeline {
	t := &Timeline{
		Seed: seed, Note: "rollouts, " + condition, Processes: 3, Fleet: true, Audit: true, LengthMs: 12_000, PerSecond: 200, DeadlineMs: 2000, SilenceMs: 700,
		Servers: defaultServers(), Workload: defaultWorkload(),
		Steps: []Step{
			{AtMs: 1500, Action: "rollout", Via: 0, Share: 340, SettleMs: 500, GraceMs: 1500},
			{AtMs: 7000, Action: "rollout", Via: 1, Share: 340, SettleMs: 500, GraceMs: 1500},
		},
	}
	switch condition {
	case "stopped":
		t.Faults = []Fault{{AtMs: 1400, DurationMs: 6000, Kind: Stop, Process: 2}}
	case "refused":
		t.Steps[0].RejectingMembers = []int{2}
	case "barred":
		t.Steps = []Step{{AtMs: 1000, Action: "out", Member: 1}, {AtMs: 2000, Action: "out", Via: 1, Member: 2}}
	case "cut":
		for to := range 2 {
			t.Faults = append(t.Faults, Fault{AtMs: 1400, DurationMs: 6000, Kind: Partition, Process: 2, Peer: to, BothWays: true})
		}
	}
	return t
}

// WithOperatorSteps adds commands of operators to a timeline, generated from the timeline's seed, and turns on its audit log. For a third
// of the seeds the audit log is kept in memory only.
func WithOperatorSteps(t *Timeline) *Timeline {
	steps := rapid.Custom(func(r *rapid.T) []Step {
		var generated []Step
		for n := rapid.IntRange(1, 4).Draw(r, "steps"); n > 0; n-- {
			s := Step{
				AtMs: t.LengthMs * rapid.SampledFrom([]int64{2, 5, 10, 15, 20, 25, 30, 35, 40, 45, 50, 60, 70}).Draw(r, "at") / 100, Via: rapid.IntRange(0, t.Processes-1).Draw(r, "via"),
				Action: rapid.SampledFrom([]string{"rollout", "rollout", "rollout", "rollout", "hold", "back", "out", "readmit"}).Draw(r, "do"),
			}
			switch s.Action {
			case "rollout":
				s.Share, s.SettleMs = rapid.IntRange(1, 1000).Draw(r, "share"), rapid.Int64Range(0, 1000).Draw(r, "settle")
				s.GraceMs = rapid.Int64Range(0, 2000).Draw(r, "grace")
				s.Settings = rapid.SampledFrom([]SettingsKind{ValidSettings, ValidSettings, ValidSettings, DegradingSettings, UnknownKeySettings}).Draw(r, "file")
				if rapid.IntRange(0, 3).Draw(r, "refuse") == 0 {
					s.RejectingMembers = []int{rapid.IntRange(0, t.Processes-1).Draw(r, "rejecting member")}
				}
			case "back":
				s.Number, s.GraceMs = rapid.Uint64Range(1, 2).Draw(r, "number"), 500
			case "out", "readmit":
				s.Member = rapid.IntRange(0, t.Processes-1).Draw(r, "who")
			}
			generated = append(generated, s)
		}
		slices.SortStableFunc(generated, func(a, b Step) int { return int(a.AtMs - b.AtMs) })
		return generated
	})
	t.Audit, t.InMemory, t.Steps = true, t.Seed%3 == 0, steps.Example(int(t.Seed&(1<<31-1)))
	return t
}

// RandomTimeline generates a timeline from a seed, with faults of processes and links that may overlap. Equal arguments give equal
// timelines.
func RandomTimeline(seed uint64, processes int, lengthMs int64, perSecond int, fleet bool) *Timeline {
	t := timelineGenerator(processes, lengthMs, perSecond, fleet).Example(int(seed & (1<<31 - 1)))
	t.Seed = seed
	return t
}

func timelineGenerator(processes int, lengthMs int64, perSecond int, fleet bool) *rapid.Generator[*Timeline] {
	return rapid.Custom(func(r *rapid.T) *Timeline {
		t := &Timeline{
			Processes: processes, Fleet: fleet, LengthMs: lengthMs, PerSecond: perSecond, DeadlineMs: 2000, Servers: defaultServers(), Workload: defaultWorkload(),
			SilenceMs: rapid.SampledFrom([]int64{150, 400, 700}).Draw(r, "silence"),
			KeepOpen:  rapid.Bool().Draw(r, "client keeps silent attempts open"),
		}
		if fleet {
			share := rapid.SampledFrom([]float64{0, 0, 0.1, 0.3})
			t.RepeatShare, t.DuplicateShare, t.LargeShare = share.Draw(r, "doubt"), share.Draw(r, "twins"), share.Draw(r, "big")
		}
		if rapid.IntRange(0, 9).Draw(r, "disk") == 0 {
			t.Disks = make([]Disk, processes)
			t.Disks[rapid.IntRange(0, processes-1).Draw(r, "process with the failing disk")] = rapid.SampledFrom([]Disk{ReadOnlyDisk, FullDisk}).Draw(r, "condition of the disk")
		}
		kinds := []FaultKind{Kill, Kill, Kill, Stop, Stop, Terminate, RestartLoop, Upgrade}
		if fleet && processes > 1 {
			kinds = append(kinds, Partition, Partition, Partition, Delay, Throttle, Reset, HalfOpen, FrameFaults)
		}
		for n := rapid.IntRange(1, 2+processes).Draw(r, "faults"); n > 0; n-- {
			t.Faults = append(t.Faults, generateFault(r, t, rapid.SampledFrom(kinds).Draw(r, "kind")))
		}
		slices.SortStableFunc(t.Faults, func(a, b Fault) int { return int(a.AtMs - b.AtMs) })
		return t
	})
}

func generateFault(r *rapid.T, t *Timeline, k FaultKind) Fault {
	f := Fault{
		Kind: k, Process: rapid.IntRange(0, t.Processes-1).Draw(r, "who"),
		AtMs: rapid.Int64Range(t.LengthMs/10, t.LengthMs*8/10).Draw(r, "at"), DurationMs: rapid.Int64Range(50, t.LengthMs/3).Draw(r, "for"),
	}
	if k.onLink() {
		f.Peer = (f.Process + rapid.IntRange(1, t.Processes-1).Draw(r, "to")) % t.Processes
		f.BothWays = rapid.Bool().Draw(r, "both")
	}
	switch k {
	case RestartLoop:
		f.IntervalMs = rapid.Int64Range(300, 2000).Draw(r, "every")
	case Delay:
		f.DelayMs = rapid.Int64Range(1, 300).Draw(r, "by")
	case Throttle:
		f.BytesPerSecond = rapid.Int64Range(500, 200_000).Draw(r, "rate")
	case FrameFaults:
		share := rapid.Float64Range(0, 0.3)
		f.LossShare, f.DuplicateShare, f.ReorderShare = share.Draw(r, "lose"), share.Draw(r, "double"), share.Draw(r, "swap")
	}
	return f
}

// Shrink looks for a smaller timeline that still fails. Runs are not deterministic, so a timeline counts as passing only if it
// passes as often as tries says, one run after the other. Shrink calls progress with a description of each smaller timeline that fails.
func Shrink(ctx context.Context, t *Timeline, tries int, fails func(*Timeline) (bool, error), progress func(string)) (*Timeline, error) {
	stillFails := func(c *Timeline) (bool, error) {
		for range tries {
			if err := ctx.Err(); err != nil {
				return false, err
			}
			if failed, err := fails(c); failed || err != nil {
				return failed, err
			}
		}
		return false, nil
	}
	for shrunk := true; shrunk; {
		shrunk = false
		for _, c := range t.smallerTimelines() {
			failed, err := stillFails(c)
			if err != nil {
				return t, err
			}
			if failed {
				progress(fmt.Sprintf("%d faults, %d ms", len(c.Faults), c.LengthMs))
				t, shrunk = c, true
				break
			}
		}
	}
	return t, nil
}

// smallerTimelines returns the timelines that result from a single reduction of t, the largest reductions first.
func (t *Timeline) smallerTimelines() (out []*Timeline) {
	reduce := func(change func(*Timeline)) {
		c := *t
		c.Faults = slices.Clone(t.Faults)
		change(&c)
		out = append(out, &c)
	}
	for i := range t.Faults {
		reduce(func(c *Timeline) { c.Faults = slices.Delete(c.Faults, i, i+1) })
	}
	if len(t.Disks) > 0 {
		reduce(func(c *Timeline) { c.Disks = nil })
	}
	for i := range t.Steps {
		reduce(func(c *Timeline) { c.Steps = slices.Delete(slices.Clone(t.Steps), i, i+1) })
	}
	if t.KeepOpen {
		reduce(func(c *Timeline) { c.KeepOpen = false })
	}
	lastEnd := int64(0)
	for _, f := range t.Faults {
		lastEnd = max(lastEnd, f.AtMs+f.DurationMs)
	}
	if end := lastEnd + t.DeadlineMs; end < t.LengthMs {
		reduce(func(c *Timeline) { c.LengthMs = end })
	}
	for i, f := range t.Faults {
		if f.DurationMs > 200 {
			reduce(func(c *Timeline) { c.Faults[i].DurationMs = f.DurationMs / 2 })
		}
		if f.BothWays {
			reduce(func(c *Timeline) { c.Faults[i].BothWays = false })
		}
	}
	return out
}
