package rollout

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// lastCommandID is the id of the last command that newCommand returned.
var lastCommandID uint64

// newCommand returns a copy of c with the given kind, a new id and an author.
func newCommand(k Kind, c Command) *Command {
	lastCommandID++
	c.Kind, c.ID, c.Author = k, lastCommandID, "me"
	return &c
}

// applyAll applies commands to the plan of a fleet of ten living members, and returns the resulting plan.
func applyAll(t *testing.T, p *Plan, commands ...*Command) *Plan {
	t.Helper()
	for _, c := range commands {
		next, err := p.Apply(c, memberNames(10), memberNames(10))
		if err != nil {
			t.Fatalf("applying %v: %v", c.Kind, err)
		}
		p = next
	}
	return p
}

// rollOutOf returns a rollout command, still without its kind, with a settle time of 500 ms and a grace period of 1 s. sharePermille is the share of
// the canaries, in thousandths of the members.
func rollOutOf(settings string, sharePermille int) Command {
	return Command{Settings: []byte(settings), SharePermille: sharePermille, GraceMs: 1000, SettleMs: 500}
}

// memberNames returns n names: n1, n2 and so on.
func memberNames(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprintf("n%d", i+1))
	}
	return names
}

// Version numbers are never reused, members outside the share keep their version, a rollback gets a new number with the settings of the earlier
// version, and invalid commands return an error and the same plan.
func TestCommandsChangeThePlan(t *testing.T) {
	all := memberNames(10)
	first := newCommand(RollOut, rollOutOf("one", FullSharePermille))
	p := applyAll(t, &Plan{}, first, newCommand(RollOut, rollOutOf("two", 200)))
	if n := p.Canaries; len(n) != 2 || p.TargetFor(n[0]) != 2 || p.Base != 1 {
		t.Fatalf("canaries %v of plan %+v, want 2 canaries with target version 2, and base 1", n, p)
	}
	if next, err := p.Apply(newCommand(RollOut, rollOutOf("three", 900)), all, all[:1]); err != nil || len(next.Canaries) != 1 || next.Canaries[0] != all[0] || next.Base != 1 {
		t.Errorf("plan with one living member %+v, error %v, want that member as the only canary, and base 1", next, err)
	}
	targeted := 0
	for _, n := range all {
		if p.TargetFor(n) == 2 {
			targeted++
		}
	}
	if targeted != 2 {
		t.Errorf("%d members have target version 2, want 2", targeted)
	}
	if _, err := p.Apply(first, all, all); !errors.Is(err, ErrAlreadyApplied) {
		t.Errorf("second application of a command: error %v, want %v", err, ErrAlreadyApplied)
	}
	paused := applyAll(t, p, newCommand(Pause, Command{Reason: "wait"}))
	for name, c := range map[string]*Command{
		"promoted while paused": newCommand(Promote, Command{Number: 2}), "fenced while paused": newCommand(Fence, Command{Number: 2}), "paused twice": newCommand(Pause, Command{}),
		"pause of another target": newCommand(Pause, Command{Number: 1}), "rollback to an unknown version": newCommand(Rollback, Command{Number: 7}), "readmission of a member that is not excluded": newCommand(Readmit, Command{Name: "x"}),
		"no author": {Kind: Pause, ID: 1e6}, "no id": {Kind: Pause, Author: "me"}, "unknown kind": newCommand(99, Command{}), "no settings": newCommand(RollOut, Command{SharePermille: 1}),
		"no share": newCommand(RollOut, rollOutOf("x", 0)), "fenced before promotion": newCommand(Fence, Command{Number: 2}),
	} {
		if next, err := paused.Apply(c, all, all); err == nil || next != paused {
			t.Errorf("%s: error %v, plan changed: %t, want an error and the same plan", name, err, next != paused)
		}
	}
	if p := applyAll(t, p, newCommand(Pause, Command{})); p.PauseReason != "held by me" {
		t.Errorf("pause reason is %q, want \"held by me\", as members of other builds compute it", p.PauseReason)
	}
	rolledBack := applyAll(t, paused, newCommand(Rollback, Command{Number: 1}))
	v, _ := rolledBack.Find(3)
	if rolledBack.Target != 3 || v.RollbackOf != 1 || v.Digest != DigestOf([]byte("one")) || rolledBack.SharePermille != FullSharePermille || rolledBack.PauseReason != "" {
		t.Errorf("plan after a rollback %+v, want version 3 with the settings of version 1 as the target for all members, not paused", rolledBack)
	}
	fenced := applyAll(t, rolledBack, newCommand(Fence, Command{Number: 3}), newCommand(Exclude, Command{Name: "n4"}))
	if fenced.MayLease("n1", 2) || !fenced.MayLease("n1", 3) || fenced.MayLease("n4", 3) {
		t.Errorf("plan %+v, want a lease for n1 at version 3, none at version 2, and none for the excluded n4", fenced)
	}
	if readmitted := applyAll(t, fenced, newCommand(Readmit, Command{Name: "n4"})); !readmitted.MayLease("n4", 3) || readmitted.Validate() != nil {
		t.Errorf("plan %+v, want a valid plan and a lease for the readmitted n4 at version 3", readmitted)
	}
	for i := range 30 {
		fenced = applyAll(t, fenced, newCommand(RollOut, rollOutOf(fmt.Sprint(i), 100)))
	}
	if len(fenced.Versions) != maxVersions || fenced.TargetFor("unlisted") != 3 || fenced.Validate() != nil {
		t.Errorf("plan after 30 rollouts %+v, want a valid plan with %d versions that keeps the fence at version 3", fenced, maxVersions)
	}
	if (&Plan{LastNumber: 1, Target: 2}).Validate() == nil || (&Plan{Target: 1, LastNumber: 1}).Validate() == nil {
		t.Error("Validate accepted a plan whose target has no version")
	}
}

// reportsUsing returns reports received at now: members in exceptions have the report given there, all other named members use a version.
func reportsUsing(now time.Time, names []string, version uint64, exceptions map[string]Report) map[string]ReceivedReport {
	reports := map[string]ReceivedReport{}
	for _, n := range names {
		reports[n] = ReceivedReport{Report{ActiveVersion: version}, now}
	}
	for n, r := range exceptions {
		reports[n] = ReceivedReport{r, now}
	}
	return reports
}

// The controller promotes a version after the settle time, raises the fence after the grace period, and pauses a rollout if members reject its
// settings or if a smaller share of requests is served under them. The guard limits how many members the fence may leave without a lease.
func TestControllerPromotesFencesAndPauses(t *testing.T) {
	all := memberNames(9)
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	base := applyAll(t, &Plan{}, newCommand(RollOut, rollOutOf("one", FullSharePermille)))
	onCanaries := applyAll(t, base, newCommand(RollOut, rollOutOf("two", 300)))
	canaryNames := onCanaries.Canaries
	canaryReports := map[string]Report{}
	for _, n := range canaryNames {
		canaryReports[n] = Report{ActiveVersion: 2}
	}
	promoted := applyAll(t, onCanaries, newCommand(Promote, Command{Number: 2}))
	rejectedBy := func(n int) map[string]Report {
		reports := map[string]Report{}
		for _, name := range all[:n] {
			reports[name] = Report{ActiveVersion: 1, RejectedVersion: 2, RejectReason: "Limits: odd"}
		}
		return reports
	}
	servedPercent := func(served uint64) map[string]Report { // first member: this percentage is served under version 2, 95 % under the version before
		return map[string]Report{all[0]: {ActiveVersion: 2, Current: ServiceCounts{Answered: 100, Served: served}, Previous: ServiceCounts{Answered: 100, Served: 95}}}
	}
	guard := Guard{MaxUnleasedPermille: 340} // 3 of 9 members
	for name, c := range map[string]struct {
		plan    *Plan
		reports func(ms int) map[string]ReceivedReport
		want    Kind // 0: no command within 5 s
		ms      int  // earliest time of the command
	}{
		"not adopted yet":         {onCanaries, func(ms int) map[string]ReceivedReport { return reportsUsing(at(ms), all, 1, nil) }, 0, 0},
		"no canary has a process": {onCanaries, func(ms int) map[string]ReceivedReport { return reportsUsing(at(ms), all, 1, nil) }, ReselectCanaries, 0},
		"settled":                 {onCanaries, func(ms int) map[string]ReceivedReport { return reportsUsing(at(ms), all, 1, canaryReports) }, Promote, 500},
		"all have adopted":        {promoted, func(ms int) map[string]ReceivedReport { return reportsUsing(at(ms), all, 2, nil) }, Fence, 0},
		"three behind": {promoted, func(ms int) map[string]ReceivedReport {
			return reportsUsing(at(ms), all, 2, map[string]Report{"n1": {ActiveVersion: 1}, "n2": {ActiveVersion: 1}, "n3": {ActiveVersion: 1}})
		}, Fence, 1000},
		"four behind": {promoted, func(ms int) map[string]ReceivedReport {
			return reportsUsing(at(ms), all, 2, map[string]Report{"n1": {ActiveVersion: 1}, "n2": {ActiveVersion: 1}, "n3": {ActiveVersion: 1}, "n4": {ActiveVersion: 1}})
		}, 0, 0},
		"all behind": {promoted, func(ms int) map[string]ReceivedReport { return reportsUsing(at(ms), all, 1, nil) }, 0, 0},
		"no reports": {promoted, func(int) map[string]ReceivedReport { return nil }, 0, 0},
		"four excluded": {func() *Plan {
			p := *promoted
			p.Excluded = all[:4]
			return &p
		}(), func(ms int) map[string]ReceivedReport { return reportsUsing(at(ms), all, 2, nil) }, 0, 0},
		"three reject":                    {promoted, func(ms int) map[string]ReceivedReport { return reportsUsing(at(ms), all, 2, rejectedBy(3)) }, Fence, 1000},
		"four reject":                     {promoted, func(ms int) map[string]ReceivedReport { return reportsUsing(at(ms), all, 2, rejectedBy(4)) }, Pause, 0},
		"all canaries reject":             {applyAll(t, base, newCommand(RollOut, rollOutOf("three", 1))), func(ms int) map[string]ReceivedReport { return reportsUsing(at(ms), all, 1, rejectedBy(9)) }, Pause, 0},
		"served share falls by 15 points": {onCanaries, func(ms int) map[string]ReceivedReport { return reportsUsing(at(ms), all, 1, servedPercent(80)) }, Pause, 0},
		"served share falls by 5 points":  {promoted, func(ms int) map[string]ReceivedReport { return reportsUsing(at(ms), all, 2, servedPercent(90)) }, Fence, 0},
		"paused":                          {applyAll(t, promoted, newCommand(Pause, Command{})), func(ms int) map[string]ReceivedReport { return reportsUsing(at(ms), all, 2, nil) }, 0, 0},
	} {
		living := all
		if c.want == ReselectCanaries {
			living = slices.DeleteFunc(slices.Clone(all), func(n string) bool { return slices.Contains(c.plan.Canaries, n) })
		}
		controller := &Controller{Guard: guard, Leader: "n1"}
		var proposed *Command
		ms := 0
		for ; ms <= 5000 && proposed == nil; ms += 10 {
			proposed = controller.Step(at(ms), c.plan, all, living, c.reports(ms))
		}
		switch {
		case proposed == nil && c.want != 0, proposed != nil && (proposed.Kind != c.want || ms-10 < c.ms):
			t.Errorf("%s: command %+v after %d ms, want %v after at least %d ms", name, proposed, ms-10, c.want, c.ms)
		case proposed != nil:
			if next, err := c.plan.Apply(proposed, all, living); err != nil || next == c.plan {
				t.Errorf("%s: proposed command has error %v, plan changed: %t, want a changed plan", name, err, next != c.plan)
			}
			if again := controller.Step(at(ms), c.plan, all, living, c.reports(ms)); again != nil {
				t.Errorf("%s: proposed %+v before the command interval had passed", name, again)
			}
		}
	}
	controller := &Controller{Guard: guard}
	if err := controller.CheckExclude("n1", promoted, all, reportsUsing(at(0), all, 2, nil), at(0)); err != nil {
		t.Errorf("exclusion of the first of 9 members: %v", err)
	}
	if err := controller.CheckExclude("n1", promoted, all, reportsUsing(at(0), all[3:], 2, nil), at(0)); err != nil {
		t.Errorf("exclusion of n1, one of three members without a report: %v", err)
	}
	if err := controller.CheckExclude("n9", promoted, all, reportsUsing(at(0), all[3:], 2, nil), at(0)); err == nil {
		t.Error("exclusion of n9 accepted: 4 of 9 members would be without a lease, want at most 3")
	}
}

// Under random commands the plan stays valid, its version numbers never decrease, and the target of each member is a known version that is not below the
// fence.
func TestPlanStaysValidUnderRandomCommands(t *testing.T) {
	all := memberNames(7)
	rapid.Check(t, func(r *rapid.T) {
		p := &Plan{}
		for range rapid.IntRange(1, 40).Draw(r, "commands") {
			c := newCommand(rapid.SampledFrom([]Kind{RollOut, Pause, Rollback, Exclude, Readmit, Promote, Fence, ReselectCanaries}).Draw(r, "kind"), Command{
				Number: rapid.Uint64Range(0, 12).Draw(r, "number"), Name: rapid.SampledFrom(all).Draw(r, "name"),
			})
			if c.Kind == RollOut {
				c.Settings, c.SharePermille = []byte{byte(c.ID)}, rapid.IntRange(1, FullSharePermille).Draw(r, "share")
			}
			next, err := p.Apply(c, all, all)
			if err != nil && next != p {
				t.Fatalf("command %+v with error %v changed the plan", c, err)
			}
			if next.Validate() != nil || next.Fence < p.Fence || next.LastNumber < p.LastNumber || next.Target < p.Target || len(next.AppliedIDs) > maxAppliedIDs {
				t.Fatalf("plan %+v follows %+v by command %+v, want a valid plan without lower numbers", next, p, c)
			}
			for _, n := range all {
				target := next.TargetFor(n)
				if _, known := next.Find(target); target > 0 && !known || target < next.Fence {
					t.Fatalf("target of %s is version %d of plan %+v, want a known version not below the fence", n, target, next)
				}
			}
			if slices.Contains(next.Excluded, "") {
				t.Fatalf("plan %+v excludes an empty name", next)
			}
			p = next
		}
	})
}
