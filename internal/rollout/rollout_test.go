package rollout

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var id uint64

func command(k Kind, o Command) *Command {
	id++
	o.Kind, o.ID, o.Author = k, id, "me"
	return &o
}

func applied(t *testing.T, p *Plan, all ...*Command) *Plan {
	t.Helper()
	for _, o := range all {
		next, err := p.Apply(o, names(10), names(10))
		if err != nil {
			t.Fatalf("%v: %v", o.Kind, err)
		}
		p = next
	}
	return p
}

func text(s string, share int) Command {
	return Command{Settings: []byte(s), SharePermille: share, GraceMs: 1000, SettleMs: 500}
}

func names(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprintf("n%d", i+1))
	}
	return out
}

// Numbers are given once; members outside the share stay; a rollback is a new number with old settings.
func TestCommands(t *testing.T) {
	all := names(10)
	first := command(RollOut, text("one", FullSharePermille))
	p := applied(t, &Plan{}, first, command(RollOut, text("two", 200)))
	if n := p.Canaries; len(n) != 2 || p.TargetFor(n[0]) != 2 || p.Base != 1 {
		t.Fatalf("%v %+v", n, p)
	}
	if one, err := p.Apply(command(RollOut, text("three", 900)), all, all[:1]); err != nil || len(one.Canaries) != 1 || one.Canaries[0] != all[0] || one.Base != 1 {
		t.Errorf("%+v %v", one, err)
	}
	adopt := 0
	for _, n := range all {
		if p.TargetFor(n) == 2 {
			adopt++
		}
	}
	if adopt != 2 {
		t.Error(adopt)
	}
	if _, err := p.Apply(first, all, all); !errors.Is(err, ErrAlreadyApplied) {
		t.Error(err)
	}
	paused := applied(t, p, command(Pause, Command{Reason: "wait"}))
	for name, o := range map[string]*Command{
		"promoted while paused": command(Promote, Command{Number: 2}), "fenced while paused": command(Fence, Command{Number: 2}), "paused twice": command(Pause, Command{}),
		"of another target": command(Pause, Command{Number: 1}), "rolled back to nothing": command(Rollback, Command{Number: 7}), "readmitted": command(Readmit, Command{Name: "x"}),
		"nobody": {Kind: Pause, ID: 1e6}, "no id": {Kind: Pause, Author: "me"}, "unknown": command(99, Command{}), "no text": command(RollOut, Command{SharePermille: 1}),
		"no share": command(RollOut, text("x", 0)), "fenced before it is promoted": command(Fence, Command{Number: 2}),
	} {
		if next, err := paused.Apply(o, all, all); err == nil || next != paused {
			t.Errorf("%s: %v", name, err)
		}
	}
	if p := applied(t, p, command(Pause, Command{})); p.PauseReason != "held by me" {
		t.Errorf("paused for %q, and not as members of other builds compute it", p.PauseReason)
	}
	back := applied(t, paused, command(Rollback, Command{Number: 1}))
	v, _ := back.Find(3)
	if back.Target != 3 || v.RollbackOf != 1 || v.Digest != DigestOf([]byte("one")) || back.SharePermille != FullSharePermille || back.PauseReason != "" {
		t.Errorf("%+v", back)
	}
	fenced := applied(t, back, command(Fence, Command{Number: 3}), command(Exclude, Command{Name: "n4"}))
	if fenced.MayLease("n1", 2) || !fenced.MayLease("n1", 3) || fenced.MayLease("n4", 3) {
		t.Errorf("%+v", fenced)
	}
	if open := applied(t, fenced, command(Readmit, Command{Name: "n4"})); !open.MayLease("n4", 3) || open.Validate() != nil {
		t.Errorf("%+v", open)
	}
	for i := range 30 {
		fenced = applied(t, fenced, command(RollOut, text(fmt.Sprint(i), 100)))
	}
	if len(fenced.Versions) != maxVersions || fenced.TargetFor("nobody") != 3 || fenced.Validate() != nil {
		t.Errorf("%+v", fenced)
	}
	if (&Plan{LastNumber: 1, Target: 2}).Validate() == nil || (&Plan{Target: 1, LastNumber: 1}).Validate() == nil {
		t.Error("an invalid plan is valid")
	}
}

// reports has all names act on a version, with some exceptions.
func reports(now time.Time, all []string, acts uint64, but map[string]Report) map[string]ReceivedReport {
	out := map[string]ReceivedReport{}
	for _, n := range all {
		out[n] = ReceivedReport{Report{ActiveVersion: acts}, now}
	}
	for n, r := range but {
		out[n] = ReceivedReport{r, now}
	}
	return out
}

// The controller promotes what has settled, raises the fence after the grace period, and pauses by itself.
func TestController(t *testing.T) {
	all := names(9)
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	base := applied(t, &Plan{}, command(RollOut, text("one", FullSharePermille)))
	canary := applied(t, base, command(RollOut, text("two", 300)))
	cohort := canary.Canaries
	onTwo := map[string]Report{}
	for _, n := range cohort {
		onTwo[n] = Report{ActiveVersion: 2}
	}
	promoted := applied(t, canary, command(Promote, Command{Number: 2}))
	rejects := func(n int) map[string]Report {
		out := map[string]Report{}
		for _, name := range all[:n] {
			out[name] = Report{ActiveVersion: 1, RejectedVersion: 2, RejectReason: "Limits: odd"}
		}
		return out
	}
	falls := func(now uint64) map[string]Report {
		return map[string]Report{all[0]: {ActiveVersion: 2, Current: ServiceCounts{Answered: 100, Served: now}, Previous: ServiceCounts{Answered: 100, Served: 95}}}
	}
	guard := Guard{MaxUnleasedPermille: 340} // 3 of 9
	for name, c := range map[string]struct {
		plan    *Plan
		reports func(ms int) map[string]ReceivedReport
		want    Kind // 0: none within 5 s
		ms      int  // no sooner
	}{
		"not adopted yet":     {canary, func(ms int) map[string]ReceivedReport { return reports(at(ms), all, 1, nil) }, 0, 0},
		"no canary is living": {canary, func(ms int) map[string]ReceivedReport { return reports(at(ms), all, 1, nil) }, ReselectCanaries, 0},
		"settled":             {canary, func(ms int) map[string]ReceivedReport { return reports(at(ms), all, 1, onTwo) }, Promote, 500},
		"all act on it":       {promoted, func(ms int) map[string]ReceivedReport { return reports(at(ms), all, 2, nil) }, Fence, 0},
		"three behind": {promoted, func(ms int) map[string]ReceivedReport {
			return reports(at(ms), all, 2, map[string]Report{"n1": {ActiveVersion: 1}, "n2": {ActiveVersion: 1}, "n3": {ActiveVersion: 1}})
		}, Fence, 1000},
		"four behind": {promoted, func(ms int) map[string]ReceivedReport {
			return reports(at(ms), all, 2, map[string]Report{"n1": {ActiveVersion: 1}, "n2": {ActiveVersion: 1}, "n3": {ActiveVersion: 1}, "n4": {ActiveVersion: 1}})
		}, 0, 0},
		"all behind": {promoted, func(ms int) map[string]ReceivedReport { return reports(at(ms), all, 1, nil) }, 0, 0},
		"no reports": {promoted, func(int) map[string]ReceivedReport { return nil }, 0, 0},
		"four excluded": {func() *Plan {
			p := *promoted
			p.Excluded = all[:4]
			return &p
		}(), func(ms int) map[string]ReceivedReport { return reports(at(ms), all, 2, nil) }, 0, 0},
		"three reject":        {promoted, func(ms int) map[string]ReceivedReport { return reports(at(ms), all, 2, rejects(3)) }, Fence, 1000},
		"four reject":         {promoted, func(ms int) map[string]ReceivedReport { return reports(at(ms), all, 2, rejects(4)) }, Pause, 0},
		"all canaries reject": {applied(t, base, command(RollOut, text("three", 1))), func(ms int) map[string]ReceivedReport { return reports(at(ms), all, 1, rejects(9)) }, Pause, 0},
		"service falls":       {canary, func(ms int) map[string]ReceivedReport { return reports(at(ms), all, 1, falls(80)) }, Pause, 0},
		"it hardly falls":     {promoted, func(ms int) map[string]ReceivedReport { return reports(at(ms), all, 2, falls(90)) }, Fence, 0},
		"paused":              {applied(t, promoted, command(Pause, Command{})), func(ms int) map[string]ReceivedReport { return reports(at(ms), all, 2, nil) }, 0, 0},
	} {
		living := all
		if c.want == ReselectCanaries {
			living = slices.DeleteFunc(slices.Clone(all), func(n string) bool { return slices.Contains(c.plan.Canaries, n) })
		}
		d := &Controller{Guard: guard, Leader: "n1"}
		var o *Command
		ms := 0
		for ; ms <= 5000 && o == nil; ms += 10 {
			o = d.Step(at(ms), c.plan, all, living, c.reports(ms))
		}
		switch {
		case o == nil && c.want != 0, o != nil && (o.Kind != c.want || ms-10 < c.ms):
			t.Errorf("%s: %+v after %d ms", name, o, ms-10)
		case o != nil:
			if next, err := c.plan.Apply(o, all, living); err != nil || next == c.plan {
				t.Errorf("%s: %v", name, err)
			}
			if again := d.Step(at(ms), c.plan, all, living, c.reports(ms)); again != nil {
				t.Errorf("%s: proposed again at once", name)
			}
		}
	}
	d := &Controller{Guard: guard}
	if err := d.CheckExclude("n1", promoted, all, reports(at(0), all, 2, nil), at(0)); err != nil {
		t.Error(err)
	}
	if err := d.CheckExclude("n1", promoted, all, reports(at(0), all[3:], 2, nil), at(0)); err != nil {
		t.Error(err) // n1 is one of the three without a report
	}
	if err := d.CheckExclude("n9", promoted, all, reports(at(0), all[3:], 2, nil), at(0)); err == nil {
		t.Error("a fourth may be excluded")
	}
}

// Whatever commands come in whatever order, numbers only grow, the fence never passes the target, and each name has a version to act on.
func TestPlansStayValid(t *testing.T) {
	all := names(7)
	rapid.Check(t, func(r *rapid.T) {
		p := &Plan{}
		for range rapid.IntRange(1, 40).Draw(r, "commands") {
			o := command(rapid.SampledFrom([]Kind{RollOut, Pause, Rollback, Exclude, Readmit, Promote, Fence, ReselectCanaries}).Draw(r, "kind"), Command{
				Number: rapid.Uint64Range(0, 12).Draw(r, "number"), Name: rapid.SampledFrom(all).Draw(r, "name"),
			})
			if o.Kind == RollOut {
				o.Settings, o.SharePermille = []byte{byte(o.ID)}, rapid.IntRange(1, FullSharePermille).Draw(r, "share")
			}
			next, err := p.Apply(o, all, all)
			if err != nil && next != p {
				t.Fatal("a command with an error changed the plan")
			}
			if next.Validate() != nil || next.Fence < p.Fence || next.LastNumber < p.LastNumber || next.Target < p.Target || len(next.AppliedIDs) > maxAppliedIDs {
				t.Fatalf("%+v after %+v by %+v", next, p, o)
			}
			for _, n := range all {
				w := next.TargetFor(n)
				if _, kept := next.Find(w); w > 0 && !kept || w < next.Fence {
					t.Fatalf("%s wants %d of %+v", n, w, next)
				}
			}
			if slices.Contains(next.Excluded, "") {
				t.Fatal("an empty name is excluded")
			}
			p = next
		}
	})
}
