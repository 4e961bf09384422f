package faultinjection

import (
	"context"
	"fmt"
	"slices"

	"pgregory.net/rapid"
)

// Lost is the experiment of issue 32's figures: two processes killed outright, one stopped for 3 s.
func Lost(seed uint64, fleet bool) *Timeline {
	return &Timeline{
		Seed: seed, Note: "two processes killed outright, one stopped for 3 s", Processes: 3, Fleet: fleet, LengthMs: 14_000, PerSecond: 200,
		DeadlineMs: 2000, SilenceMs: 700, Servers: usual(), Work: mixed(),
		Faults: []Fault{
			{AtMs: 3000, ForMs: 1000, Kind: Kill, Who: 0},
			{AtMs: 6500, ForMs: 1000, Kind: Kill, Who: 1},
			{AtMs: 9500, ForMs: 3000, Kind: Stop, Who: 2},
		},
	}
}

func usual() []Server {
	return []Server{{LeastMs: 20, MostMs: 60}, {LeastMs: 50, MostMs: 150}, {LeastMs: 100, MostMs: 250}, {LeastMs: 200, MostMs: 400}}
}

func mixed() []Work {
	return []Work{{Class: "look", Share: 4}, {Class: "make", Share: 3}, {Class: "once", Share: 3}}
}

// Rollouts is the experiment of issue 33's figures: one version after the other, with a member that is cut off, stopped, refuses or is shut out meanwhile.
func Rollouts(seed uint64, broken string) *Timeline {
	t := &Timeline{
		Seed: seed, Note: "rollouts, " + broken, Processes: 3, Fleet: true, Audit: true, LengthMs: 12_000, PerSecond: 200, DeadlineMs: 2000, SilenceMs: 700,
		Servers: usual(), Work: mixed(),
		Steps: []Step{
			{AtMs: 1500, Do: "rollout", Via: 0, Share: 340, SettleMs: 500, GraceMs: 1500},
			{AtMs: 7000, Do: "rollout", Via: 1, Share: 340, SettleMs: 500, GraceMs: 1500},
		},
	}
	switch broken {
	case "stopped":
		t.Faults = []Fault{{AtMs: 1400, ForMs: 6000, Kind: Stop, Who: 2}}
	case "refused":
		t.Steps[0].Refusers = []int{2}
	case "barred":
		t.Steps = []Step{{AtMs: 1000, Do: "out", Who: 1}, {AtMs: 2000, Do: "out", Via: 1, Who: 2}}
	case "cut":
		for to := range 2 {
			t.Faults = append(t.Faults, Fault{AtMs: 1400, ForMs: 6000, Kind: Cut, Who: 2, To: to, Both: true})
		}
	}
	return t
}

// Audited adds to a timeline what operators do, drawn from its seed.
func Audited(t *Timeline) *Timeline {
	steps := rapid.Custom(func(r *rapid.T) []Step {
		var out []Step
		for n := rapid.IntRange(1, 4).Draw(r, "steps"); n > 0; n-- {
			s := Step{
				AtMs: t.LengthMs * rapid.SampledFrom([]int64{2, 5, 10, 15, 20, 25, 30, 35, 40, 45, 50, 60, 70}).Draw(r, "at") / 100, Via: rapid.IntRange(0, t.Processes-1).Draw(r, "via"),
				Do: rapid.SampledFrom([]string{"rollout", "rollout", "rollout", "rollout", "hold", "back", "out", "readmit"}).Draw(r, "do"),
			}
			switch s.Do {
			case "rollout":
				s.Share, s.SettleMs = rapid.IntRange(1, 1000).Draw(r, "share"), rapid.Int64Range(0, 1000).Draw(r, "settle")
				s.GraceMs = rapid.Int64Range(0, 2000).Draw(r, "grace")
				s.File = rapid.SampledFrom([]File{Good, Good, Good, Falls, Unknown}).Draw(r, "file")
				if rapid.IntRange(0, 3).Draw(r, "refuse") == 0 {
					s.Refusers = []int{rapid.IntRange(0, t.Processes-1).Draw(r, "who refuses")}
				}
			case "back":
				s.Number, s.GraceMs = rapid.Uint64Range(1, 2).Draw(r, "number"), 500
			case "out", "readmit":
				s.Who = rapid.IntRange(0, t.Processes-1).Draw(r, "who")
			}
			out = append(out, s)
		}
		slices.SortStableFunc(out, func(a, b Step) int { return int(a.AtMs - b.AtMs) })
		return out
	})
	t.Audit, t.InMemory, t.Steps = true, t.Seed%3 == 0, steps.Example(int(t.Seed&(1<<31-1)))
	return t
}

// Draw draws a timeline from a seed: faults of processes and links that may overlap. The same seed draws the same.
func Draw(seed uint64, processes int, lengthMs int64, perSecond int, fleet bool) *Timeline {
	t := drawn(processes, lengthMs, perSecond, fleet).Example(int(seed & (1<<31 - 1)))
	t.Seed = seed
	return t
}

func drawn(processes int, lengthMs int64, perSecond int, fleet bool) *rapid.Generator[*Timeline] {
	return rapid.Custom(func(r *rapid.T) *Timeline {
		t := &Timeline{
			Processes: processes, Fleet: fleet, LengthMs: lengthMs, PerSecond: perSecond, DeadlineMs: 2000, Servers: usual(), Work: mixed(),
			SilenceMs: rapid.SampledFrom([]int64{150, 400, 700}).Draw(r, "silence"),
			KeepOpen:  rapid.Bool().Draw(r, "keep open"),
		}
		if fleet {
			part := rapid.SampledFrom([]float64{0, 0, 0.1, 0.3})
			t.Doubt, t.Twins, t.Big = part.Draw(r, "doubt"), part.Draw(r, "twins"), part.Draw(r, "big")
		}
		if rapid.IntRange(0, 9).Draw(r, "disk") == 0 {
			t.Disks = make([]Disk, processes)
			t.Disks[rapid.IntRange(0, processes-1).Draw(r, "bad disk")] = rapid.SampledFrom([]Disk{ReadOnly, Full}).Draw(r, "disk is")
		}
		kinds := []Kind{Kill, Kill, Kill, Stop, Stop, Term, Loop, Upgrade}
		if fleet && processes > 1 {
			kinds = append(kinds, Cut, Cut, Cut, Delay, Throttle, Reset, HalfOpen, Frames)
		}
		for n := rapid.IntRange(1, 2+processes).Draw(r, "faults"); n > 0; n-- {
			t.Faults = append(t.Faults, drawFault(r, t, rapid.SampledFrom(kinds).Draw(r, "kind")))
		}
		slices.SortStableFunc(t.Faults, func(a, b Fault) int { return int(a.AtMs - b.AtMs) })
		return t
	})
}

func drawFault(r *rapid.T, t *Timeline, k Kind) Fault {
	f := Fault{
		Kind: k, Who: rapid.IntRange(0, t.Processes-1).Draw(r, "who"),
		AtMs: rapid.Int64Range(t.LengthMs/10, t.LengthMs*8/10).Draw(r, "at"), ForMs: rapid.Int64Range(50, t.LengthMs/3).Draw(r, "for"),
	}
	if k.ofLink() {
		f.To = (f.Who + rapid.IntRange(1, t.Processes-1).Draw(r, "to")) % t.Processes
		f.Both = rapid.Bool().Draw(r, "both")
	}
	switch k {
	case Loop:
		f.EveryMs = rapid.Int64Range(300, 2000).Draw(r, "every")
	case Delay:
		f.ByMs = rapid.Int64Range(1, 300).Draw(r, "by")
	case Throttle:
		f.Rate = rapid.Int64Range(500, 200_000).Draw(r, "rate")
	case Frames:
		part := rapid.Float64Range(0, 0.3)
		f.Lose, f.Double, f.Swap = part.Draw(r, "lose"), part.Draw(r, "double"), part.Draw(r, "swap")
	}
	return f
}

// Shrink looks for a smaller timeline that is still broken. Processes are not deterministic, so a smaller one counts as
// whole only after it was kept tries times. It tells each step.
func Shrink(ctx context.Context, t *Timeline, tries int, broken func(*Timeline) (bool, error), tell func(string)) (*Timeline, error) {
	still := func(c *Timeline) (bool, error) {
		for range tries {
			if err := ctx.Err(); err != nil {
				return false, err
			}
			if b, err := broken(c); b || err != nil {
				return b, err
			}
		}
		return false, nil
	}
	for smaller := true; smaller; {
		smaller = false
		for _, c := range t.smaller() {
			b, err := still(c)
			if err != nil {
				return t, err
			}
			if b {
				tell(fmt.Sprintf("%d faults, %d ms", len(c.Faults), c.LengthMs))
				t, smaller = c, true
				break
			}
		}
	}
	return t, nil
}

// smaller lists timelines that are less than this one in one thing, those that are least first.
func (t *Timeline) smaller() (out []*Timeline) {
	with := func(change func(*Timeline)) {
		c := *t
		c.Faults = slices.Clone(t.Faults)
		change(&c)
		out = append(out, &c)
	}
	for i := range t.Faults {
		with(func(c *Timeline) { c.Faults = slices.Delete(c.Faults, i, i+1) })
	}
	if len(t.Disks) > 0 {
		with(func(c *Timeline) { c.Disks = nil })
	}
	for i := range t.Steps {
		with(func(c *Timeline) { c.Steps = slices.Delete(slices.Clone(t.Steps), i, i+1) })
	}
	if t.KeepOpen {
		with(func(c *Timeline) { c.KeepOpen = false })
	}
	last := int64(0)
	for _, f := range t.Faults {
		last = max(last, f.AtMs+f.ForMs)
	}
	if end := last + t.DeadlineMs; end < t.LengthMs {
		with(func(c *Timeline) { c.LengthMs = end })
	}
	for i, f := range t.Faults {
		if f.ForMs > 200 {
			with(func(c *Timeline) { c.Faults[i].ForMs = f.ForMs / 2 })
		}
		if f.Both {
			with(func(c *Timeline) { c.Faults[i].Both = false })
		}
	}
	return out
}
