package faultinjection

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// timelineSlots bounds how many timelines are played at a time.
var timelineSlots = make(chan bool, 3)

// binaryDir is where the program was built, once for all tests.
var binaryDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "rig-test-")
	if err == nil {
		var out []byte
		if out, err = exec.Command("go", "build", "-o", dir+"/", "damsonscale/cmd/damsonscale", "damsonscale/cmd/damsonscale-fleet").CombinedOutput(); err != nil {
			err = fmt.Errorf("%w: %s", err, out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaryDir = dir
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

func runTimeline(t *testing.T, line *Timeline) *Report {
	t.Helper()
	set := Setup{Binary: filepath.Join(binaryDir, "damsonscale"), Dir: t.TempDir()}
	r, err := Run(context.Background(), set, line)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func shortTimeline(name string, faults ...Fault) *Timeline {
	line := KillsAndPause(7, true)
	line.Note, line.LengthMs, line.PerSecond, line.Faults = name, 5000, 60, faults
	return line
}

// Work in hand survives what these timelines break: nothing is lost, run twice, answered in two ways, or refused though it ran.
// The verdict is what happened, never how fast.
func TestTakeover(t *testing.T) {
	keep := shortTimeline("a member stopped past its lease, its client still connected", Fault{AtMs: 1000, DurationMs: 1500, Kind: Stop, Process: 1})
	keep.KeepOpen, keep.SilenceMs = true, 150
	bad := shortTimeline("killed beside a member whose disk is full", Fault{AtMs: 1500, DurationMs: 800, Kind: Kill, Process: 2})
	bad.Disks = []Disk{FullDisk}
	lines := []*Timeline{
		shortTimeline("killed, then another killed", Fault{AtMs: 1000, DurationMs: 700, Kind: Kill, Process: 0}, Fault{AtMs: 2600, DurationMs: 700, Kind: Kill, Process: 1}),
		keep, bad,
		shortTimeline("cut from one other both ways, then killed", Fault{AtMs: 800, DurationMs: 2500, Kind: Partition, Process: 0, Peer: 1, BothWays: true}, Fault{AtMs: 2000, DurationMs: 900, Kind: Kill, Process: 0}),
		shortTimeline("cut one way from all", Fault{AtMs: 1000, DurationMs: 2000, Kind: Partition, Process: 0, Peer: 1}, Fault{AtMs: 1000, DurationMs: 2000, Kind: Partition, Process: 0, Peer: 2}),
		shortTimeline("frames lost, doubled and swapped; a rolling restart", Fault{AtMs: 300, DurationMs: 4000, Kind: FrameFaults, Process: 0, Peer: 1, BothWays: true, LossShare: 0.2, DuplicateShare: 0.2, ReorderShare: 0.2},
			Fault{AtMs: 1000, Kind: Terminate, Process: 1}, Fault{AtMs: 2500, Kind: Upgrade, Process: 2}),
		shortTimeline("a restart loop", Fault{AtMs: 500, DurationMs: 3500, Kind: RestartLoop, Process: 1, IntervalMs: 400}),
	}
	kept, err := filepath.Glob("testdata/*.json") // each that ever failed
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range kept {
		line, err := ReadTimeline(path)
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, line)
	}
	for _, line := range lines {
		t.Run(line.Note, func(t *testing.T) {
			t.Parallel()
			timelineSlots <- true
			defer func() { <-timelineSlots }()
			r := runTimeline(t, line)
			if !r.Passed() || r.Served == 0 {
				t.Errorf("%s\n%s", r.Line(), strings.Join(r.Violations, "\n"))
			}
		})
	}
}

// The fleet's account tells what servers and clients saw, act by act, and nobody acts below the fence, whatever breaks meanwhile.
func TestAudit(t *testing.T) {
	good := Step{AtMs: 600, Action: "rollout", Share: 340, SettleMs: 200, GraceMs: 600}
	with := func(name string, steps []Step, faults ...Fault) *Timeline {
		line := shortTimeline(name, faults...)
		line.Audit, line.Steps = true, steps
		return line
	}
	via := func(s Step, at int64, member int) Step { s.AtMs, s.Via = at, member; return s }
	refused, falls := good, good
	refused.RejectingMembers, falls.Settings = []int{1}, DegradingSettings
	falls.SettleMs = 4000
	slow := with("a version that all accept, under which service falls", []Step{falls})
	slow.PerSecond = 150
	for _, c := range []struct {
		line *Timeline
		want func(*Report) bool
	}{
		{with("a rollout, the leader or another killed", []Step{good}, Fault{AtMs: 900, DurationMs: 700, Kind: Kill, Process: 0}, Fault{AtMs: 2500, DurationMs: 700, Kind: Kill, Process: 1}), nil},
		{with("a straggler, stopped before the change and across the fence", []Step{via(good, 800, 1)}, Fault{AtMs: 600, DurationMs: 3000, Kind: Stop, Process: 2}), nil},
		{with("a straggler, cut off from all after the change", []Step{good}, Fault{AtMs: 650, DurationMs: 2500, Kind: Partition, Process: 2, Peer: 0, BothWays: true}, Fault{AtMs: 650, DurationMs: 2500, Kind: Partition, Process: 2, Peer: 1, BothWays: true}), nil},
		{with("a straggler that hears, and nobody hears it", []Step{good}, Fault{AtMs: 500, DurationMs: 3000, Kind: Partition, Process: 1, Peer: 0}, Fault{AtMs: 500, DurationMs: 3000, Kind: Partition, Process: 1, Peer: 2}), nil},
		{with("a straggler that is heard, and hears nobody", []Step{good}, Fault{AtMs: 500, DurationMs: 3000, Kind: Partition, Process: 0, Peer: 1}, Fault{AtMs: 500, DurationMs: 3000, Kind: Partition, Process: 2, Peer: 1}), nil},
		{with("two targets at once on either side of a cut", []Step{good, via(good, 601, 2)}, Fault{AtMs: 500, DurationMs: 2500, Kind: Partition, Process: 2, Peer: 0, BothWays: true}, Fault{AtMs: 500, DurationMs: 2500, Kind: Partition, Process: 2, Peer: 1, BothWays: true}),
			func(r *Report) bool { return r.NotConverged == 0 }},
		{with("two targets at once through two members, then back, then another", []Step{good, via(good, 601, 1), {AtMs: 900, Action: "back", Number: 1}, via(good, 1000, 2)}),
			func(r *Report) bool { return r.NotConverged == 0 }},
		{with("a version that one of three refuses", []Step{refused}),
			func(r *Report) bool { return r.NotConverged == 1 || strings.Contains(r.Steps[0], "Aside is missing") }}, // it may lead, and then says no at once
		{slow, func(r *Report) bool { return strings.HasPrefix(r.PauseReason, "service fell") }},
		{with("a version with a key that no build knows", []Step{{AtMs: 600, Action: "rollout", Share: 1000, Settings: UnknownKeySettings}}),
			func(r *Report) bool {
				return r.NotConverged == 0 && len(r.Steps) == 1 && strings.Contains(r.Steps[0], "Sideways: unknown key")
			}},
		{with("shut out and readmitted, and a second one at once", []Step{{AtMs: 600, Action: "out", Member: 1}, {AtMs: 700, Action: "out", Member: 2}, {AtMs: 2500, Action: "readmit", Member: 1}}),
			func(r *Report) bool { return strings.Contains(r.Steps[1], "without a lease would be") }},
		{with("an upgrade beside the running process in a rollout; a restart loop", []Step{good, via(good, 2500, 1)}, Fault{AtMs: 700, Kind: Upgrade, Process: 1}, Fault{AtMs: 2200, DurationMs: 1500, Kind: RestartLoop, Process: 2, IntervalMs: 500}), nil},
	} {
		t.Run(c.line.Note, func(t *testing.T) {
			t.Parallel()
			timelineSlots <- true
			defer func() { <-timelineSlots }()
			r := runTimeline(t, c.line)
			if !r.Passed() || r.Served == 0 || r.AuditMatches == 0 || c.want != nil && !c.want(r) {
				t.Errorf("%s\n%s\n%s\n%s", r.Line(), strings.Join(r.Violations, "\n"), strings.Join(r.Steps, "\n"), r.WaitingFor)
			}
		})
	}
}

// Operators are told in words and by the exit code; what is refused changes nothing.
func TestOperators(t *testing.T) {
	line := shortTimeline("")
	line.Audit, line.LeaseMs = true, 2000
	dir := t.TempDir()
	p := newExperiment(Setup{Binary: filepath.Join(binaryDir, "damsonscale"), Dir: dir}, line)
	defer p.close()
	if err := p.start(context.Background()); err != nil {
		t.Fatal(err)
	}
	file := func(name string, v any) string {
		text, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good, bad := file("good.json", map[string]any{"settings": p.settings(0, ValidSettings)}), file("bad.json", map[string]any{"settings": p.settings(0, UnknownKeySettings)})
	opts, other := filepath.Join(dir, "n2", "options.toml"), filepath.Join(dir, "other.toml")
	text, err := os.ReadFile(opts)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(other, []byte(strings.Replace(string(text), `"n1"`, `"m1"`, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	run := func(opts string, args ...string) (int, string) {
		cmd := exec.Command(filepath.Join(binaryDir, "damsonscale"), append([]string{"fleet", "--options", opts}, args...)...)
		out, err := cmd.CombinedOutput()
		var exit *exec.ExitError
		if err != nil && !errors.As(err, &exit) {
			t.Fatal(err)
		}
		return cmd.ProcessState.ExitCode(), string(out)
	}
	for _, c := range []struct {
		opts string
		args []string
		code int
		want string
	}{
		{opts, []string{"status"}, 0, "target 0"},
		{opts, []string{"hold"}, 1, "nothing to do"},
		{opts, []string{"back", "3"}, 1, "no such version"},
		{opts, []string{"rollout", bad}, 1, "settings.Sideways: unknown key"},
		{opts, []string{"rollout", good, "--share", "2"}, 2, "--share"},
		{opts, []string{"rollout", filepath.Join(dir, "none")}, 2, "none"},
		{opts, []string{"rollout", good, "--share", "1", "--grace", "0s", "--why", "a test"}, 0, "a test"},
		{opts, []string{"out", "n7"}, 1, "no member of this fleet"},
		{opts, []string{"audit", "--member", "n7"}, 2, "no member of this fleet"},
		{opts, []string{"audit", "--id", "nothing"}, 0, ""},
		{opts, []string{"verify", dir}, 2, "no segments"},
		{opts, []string{"dance"}, 2, "dance"},
		{other, []string{"status"}, 1, "of another fleet"},
		{other, []string{"audit"}, 3, "of another fleet"},
		{filepath.Join(dir, "none"), []string{"status"}, 2, "none"},
	} {
		if code, out := run(c.opts, c.args...); code != c.code || !strings.Contains(out, c.want) {
			t.Errorf("%v: exit %d, not %d, and %q not in %s", c.args, code, c.code, c.want, out)
		}
	}
}

// Without a fleet the same loss runs unsafe work twice. Guards against a rig that can find nothing.
func TestWithoutAFleetWorkRunsTwice(t *testing.T) {
	line := shortTimeline("without a fleet", Fault{AtMs: 1000, DurationMs: 700, Kind: Kill, Process: 0}, Fault{AtMs: 2500, DurationMs: 1500, Kind: Stop, Process: 1})
	line.Fleet, line.PerSecond, line.Workload = false, 100, []ClassShare{{Class: "once", Share: 1}}
	if r := runTimeline(t, line); r.DuplicateEffects == 0 {
		t.Errorf("nothing ran twice: %s", r.Line())
	}
}

// A recorded answer is given again, the same bytes; a request of another body under its id is refused by name.
func TestAskedAgainAfterTheAnswer(t *testing.T) {
	line := shortTimeline("")
	line.LeaseMs = 2000 // a busy machine must not end a lease here
	p := newExperiment(Setup{Binary: filepath.Join(binaryDir, "damsonscale"), Dir: t.TempDir()}, line)
	defer p.close()
	if err := p.start(context.Background()); err != nil {
		t.Fatal(err)
	}
	ask := func(member int, class, id, body string, resume bool) (int, string) {
		q, err := http.NewRequest("POST", "http://"+p.processes[member].listen+"/"+class+"/x?obj=1", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		q.Header["Req-Id"], q.Header["Req-Deadline-Ms"], q.Header["Idempotency-Key"] = []string{id}, []string{"2000"}, []string{"k" + id}
		if resume {
			q.Header[resumeHeader] = []string{"1"}
		}
		c := newClients(line, nil)
		resp, err := c.http.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		return resp.StatusCode, string(text)
	}
	for _, class := range []string{"make", "once"} {
		status, first := ask(0, class, "id-"+class, "body", false)
		if status != 200 {
			t.Fatalf("%s: %d %s", class, status, first)
		}
		time.Sleep(100 * time.Millisecond) // the answer is recorded beside: it may not be at a quorum yet
		for member := range 3 {
			if status, again := ask(member, class, "id-"+class, "body", true); status != 200 || again != first {
				t.Errorf("%s at member %d: %d %q, was %q", class, member, status, again, first)
			}
			if status, other := ask(member, class, "id-"+class, "another", true); status != 409 || strings.Contains(other, "run") {
				t.Errorf("%s at member %d with another body: %d %q", class, member, status, other)
			}
			if status, other := ask(member, class, "id-"+class, "body", false); status != 409 {
				t.Errorf("%s at member %d as if new: %d %q", class, member, status, other)
			}
		}
		if runs := p.servers.executionsByRequest()["id-"+class]; len(runs) != 1 {
			t.Errorf("%s: %d runs", class, len(runs))
		}
		if status, _ := ask(1, class, "new-"+class, "body", true); status != 200 {
			t.Errorf("%s: an id never seen, asked for again: %d", class, status)
		}
	}
}

// An interrupt leaves no process behind.
func TestInterruptLeavesNothing(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(2500*time.Millisecond, cancel)
	dir := t.TempDir()
	line := shortTimeline("", Fault{AtMs: 300, DurationMs: 4000, Kind: Stop, Process: 0})
	if _, err := Run(ctx, Setup{Binary: filepath.Join(binaryDir, "damsonscale"), Dir: dir}, line); err == nil {
		t.Fatal("no error")
	}
	all, _ := filepath.Glob("/proc/[0-9]*/environ")
	for _, path := range all {
		if env, err := os.ReadFile(path); err == nil && strings.Contains(string(env), "TMPDIR="+dir) {
			t.Errorf("left: %s", path)
		}
	}
}
