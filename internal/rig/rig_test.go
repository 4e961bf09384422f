package rig

import (
	"context"
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

// programs is where the program was built, once for all tests.
var programs string

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
	programs = dir
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

func played(t *testing.T, line *Timeline) *Report {
	t.Helper()
	set := Setup{Binary: filepath.Join(programs, "damsonscale"), Dir: t.TempDir()}
	r, err := Run(context.Background(), set, line)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func short(name string, faults ...Fault) *Timeline {
	line := Lost(7, true)
	line.Note, line.LengthMs, line.PerSecond, line.Faults = name, 5000, 60, faults
	return line
}

// Work in hand survives what these timelines break: nothing is lost, run twice, answered in two ways, or refused though it ran.
// The verdict is what happened, never how fast.
func TestTakeover(t *testing.T) {
	keep := short("a member stopped past its lease, its client still connected", Fault{AtMs: 1000, ForMs: 1500, Kind: Stop, Who: 1})
	keep.KeepOpen, keep.SilenceMs = true, 150
	bad := short("killed beside a member whose disk is full", Fault{AtMs: 1500, ForMs: 800, Kind: Kill, Who: 2})
	bad.Disks = []Disk{Full}
	lines := []*Timeline{
		short("killed, then another killed", Fault{AtMs: 1000, ForMs: 700, Kind: Kill, Who: 0}, Fault{AtMs: 2600, ForMs: 700, Kind: Kill, Who: 1}),
		keep, bad,
		short("cut from one other both ways, then killed", Fault{AtMs: 800, ForMs: 2500, Kind: Cut, Who: 0, To: 1, Both: true}, Fault{AtMs: 2000, ForMs: 900, Kind: Kill, Who: 0}),
		short("cut one way from all", Fault{AtMs: 1000, ForMs: 2000, Kind: Cut, Who: 0, To: 1}, Fault{AtMs: 1000, ForMs: 2000, Kind: Cut, Who: 0, To: 2}),
		short("frames lost, doubled and swapped; a rolling restart", Fault{AtMs: 300, ForMs: 4000, Kind: Frames, Who: 0, To: 1, Both: true, Lose: 0.2, Double: 0.2, Swap: 0.2},
			Fault{AtMs: 1000, Kind: Term, Who: 1}, Fault{AtMs: 2500, Kind: Upgrade, Who: 2}),
		short("a restart loop", Fault{AtMs: 500, ForMs: 3500, Kind: Loop, Who: 1, EveryMs: 400}),
	}
	kept, err := filepath.Glob("testdata/*.json") // each that ever failed
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range kept {
		line, err := Read(path)
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, line)
	}
	slots := make(chan bool, 3)
	for _, line := range lines {
		t.Run(line.Note, func(t *testing.T) {
			t.Parallel()
			slots <- true
			defer func() { <-slots }()
			r := played(t, line)
			if !r.Kept() || r.Served == 0 {
				t.Errorf("%s\n%s", r.Line(), strings.Join(r.Breaks, "\n"))
			}
		})
	}
}

// Without a fleet the same loss runs unsafe work twice. Guards against a rig that can find nothing.
func TestWithoutAFleetWorkRunsTwice(t *testing.T) {
	line := short("without a fleet", Fault{AtMs: 1000, ForMs: 700, Kind: Kill, Who: 0}, Fault{AtMs: 2500, ForMs: 1500, Kind: Stop, Who: 1})
	line.Fleet, line.PerSecond, line.Work = false, 100, []Work{{Class: "once", Share: 1}}
	if r := played(t, line); r.Twice == 0 {
		t.Errorf("nothing ran twice: %s", r.Line())
	}
}

// A recorded answer is given again, the same bytes; a request of another body under its id is refused by name.
func TestAskedAgainAfterTheAnswer(t *testing.T) {
	line := short("")
	line.LeaseMs = 2000 // a busy machine must not end a lease here
	p := &play{set: Setup{Binary: filepath.Join(programs, "damsonscale"), Dir: t.TempDir()}, line: line}
	defer p.close()
	if err := p.begin(context.Background()); err != nil {
		t.Fatal(err)
	}
	ask := func(member int, class, id, body string, resume bool) (int, string) {
		q, err := http.NewRequest("POST", "http://"+p.processes[member].listen+"/"+class+"/x?obj=1", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		q.Header["Req-Id"], q.Header["Req-Deadline-Ms"], q.Header["Idempotency-Key"] = []string{id}, []string{"2000"}, []string{"k" + id}
		if resume {
			q.Header[resumeHead] = []string{"1"}
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
		if runs := p.servers.tally()["id-"+class]; len(runs) != 1 {
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
	line := short("", Fault{AtMs: 300, ForMs: 4000, Kind: Stop, Who: 0})
	if _, err := Run(ctx, Setup{Binary: filepath.Join(programs, "damsonscale"), Dir: dir}, line); err == nil {
		t.Fatal("no error")
	}
	all, _ := filepath.Glob("/proc/[0-9]*/environ")
	for _, path := range all {
		if env, err := os.ReadFile(path); err == nil && strings.Contains(string(env), "TMPDIR="+dir) {
			t.Errorf("left: %s", path)
		}
	}
}
