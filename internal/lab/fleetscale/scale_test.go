package fleetscale

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"damsonscale/internal/discovery"
	"damsonscale/internal/frame"
	"damsonscale/internal/lab/standin"
)

// program is where the program was built, once for all tests.
var program string

func TestMain(m *testing.M) {
	if len(os.Args) == 2 && os.Args[1] == "worker" {
		if err := WorkerMain(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	dir, err := os.MkdirTemp("", "scale-test-")
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
	program = filepath.Join(dir, "damsonscale")
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// small is a run for tests. The lease is long, so that a busy machine puts nobody out.
func small(t *testing.T, realMembers, hollow, cell int) Config {
	return Config{
		Real: realMembers, Hollow: hollow, CellSize: cell, Duration: time.Second, Lease: 1500 * time.Millisecond, CountedCells: 2, MemoryMB: 2000,
		Binary: program, Dir: t.TempDir(), Worker: []string{os.Args[0], "worker"},
	}.Defaults()
}

// left lists processes of a run: each of them has its directory in its environment.
func left(t *testing.T, dir string) (out []string) {
	t.Helper()
	all, err := filepath.Glob("/proc/[0-9]*/environ")
	if err != nil || len(all) == 0 {
		t.Fatal("no processes are told", err)
	}
	for _, path := range all {
		if text, err := os.ReadFile(path); err == nil && bytes.Contains(text, []byte("TMPDIR="+dir+"\x00")) {
			out = append(out, path)
		}
	}
	return out
}

func TestArguments(t *testing.T) {
	good := Config{Hollow: 3, Duration: time.Second, MemoryMB: 500}.Defaults()
	if err := good.Validate(); err != nil {
		t.Fatal(err)
	}
	for name, spoil := range map[string]func(c *Config){
		"--real": func(c *Config) { c.Real = MaxReal + 1 }, "--hollow": func(c *Config) { c.Hollow = -1 },
		"--hollow: no members":       func(c *Config) { c.Hollow = 0 },
		"--hollow: 1025 members":     func(c *Config) { c.Hollow = MaxFleet + 1 },
		"--cell-size: 2":             func(c *Config) { c.CellSize = 2 },
		"--cell-size: 3 members are": func(c *Config) { c.CellSize = 4 },
		"--for":                      func(c *Config) { c.Duration = time.Hour },
		"--changes":                  func(c *Config) { c.SettingsPerSecond = -1 },
		"--list-changes":             func(c *Config) { c.ListChangesPerSecond = MaxChangesPerSecond + 1 },
		"--servers":                  func(c *Config) { c.Servers = 0 },
		"--lease":                    func(c *Config) { c.Lease = time.Millisecond },
		"--fault":                    func(c *Config) { c.Fault = "flood" },
		"--memory-mb":                func(c *Config) { c.MemoryMB = 1 << 30 },
		"--per-process":              func(c *Config) { c.PerProcess = 0 },
		"--counted-cells":            func(c *Config) { c.CountedCells = -1 },
		"--cores":                    func(c *Config) { c.Cores = 0 },
	} {
		bad := good
		spoil(&bad)
		if err := bad.Validate(); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
	}
	for name, c := range map[string]ListsConfig{
		"--sizes: 0 of them": {Duration: time.Second}, "--sizes: 0 is": {Sizes: []int{0}, Duration: time.Second},
		"--for": {Sizes: []int{1}}, "--changes": {Sizes: []int{1}, Duration: time.Second, ChangesPerSecond: -1},
	} {
		if err := c.Validate(); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("lists: %s: %v", name, err)
		}
	}
}

// What would not fit is refused with the reason, and nothing is started.
func TestNoRoom(t *testing.T) {
	c := small(t, 0, 18_000, 30)
	if _, err := Run(context.Background(), c); !errors.Is(err, ErrResourceEstimate) || !strings.Contains(err.Error(), "--hollow") {
		t.Error(err)
	}
	for counted, per := range []int{1000, 10} { // a thousand members in a process, or a thousand links
		c = small(t, 0, 1000, 0)
		c.PerProcess, c.CountedCells = per, counted
		if _, files := c.Estimate(newLayout(&c)); files < 10_000 {
			t.Errorf("%d descriptors are expected with %d members in a process, %d fleets counted", files, per, counted)
		}
	}
	if used, err := os.ReadDir(c.Dir); err != nil || len(used) > 0 {
		t.Error("something was begun", used, err)
	}
}

func TestLayout(t *testing.T) {
	for _, c := range []struct {
		real, hollow, cell, per int
		own, shared, links      int
	}{
		{0, 5, 0, 10, 5, 0, 1}, {5, 20, 0, 10, 0, 2, 1}, {3, 6, 0, 10, 2, 1, 1}, {0, 30, 10, 100, 5, 2, 1}, {0, 40, 10, 20, 5, 3, 1}, {0, 2, 0, 9, 1, 1, 1},
	} {
		conf := Config{Real: c.real, Hollow: c.hollow, CellSize: c.cell, PerProcess: c.per, CountedCells: 2}.Defaults()
		l := newLayout(&conf)
		if len(l.ownProcesses) != c.own || len(l.sharedProcesses) != c.shared || len(l.linkProcesses) != c.links {
			t.Errorf("%+v: %d own, %d shared, %d links", c, len(l.ownProcesses), len(l.sharedProcesses), len(l.linkProcesses))
		}
		times := map[int]int{}
		for _, p := range append(l.ownProcesses, l.sharedProcesses...) {
			for _, i := range p.members {
				if times[i]++; l.members[i].real {
					t.Errorf("%+v: member %d is real and hollow", c, i)
				}
			}
			if c.cell > 0 && l.members[p.members[0]].fleet != l.members[p.members[len(p.members)-1]].fleet && l.members[p.members[0]].fleet == 0 {
				t.Errorf("%+v: a process has members of the first fleet and of others", c)
			}
		}
		if len(times) != c.hollow {
			t.Errorf("%+v: %d hollow members have a process", c, len(times))
		}
		for i, n := range times {
			if n != 1 {
				t.Errorf("%+v: member %d is in %d processes", c, i, n)
			}
		}
	}
}

// Slopes through made-up points are what was made up.
func TestSlopes(t *testing.T) {
	reports := []*Report{}
	for _, n := range []int{5, 20, 60, 120} {
		reports = append(reports, &Report{Members: n, Roles: []Role{
			{Name: Leader, Members: 1, CountedMembers: 1, CPU: 0.5 + 0.125*float64(n), MemoryMB: 20, KBIn: float64(n), KBOut: float64(2 * n)},
			{Name: Member, Members: n - 1, CPU: 0.25},
		}, ListService: ListServiceRates{OpenWatches: int64(n)}, Settings: PropagationTimes{Expected: n, P50Ms: 7, P99Ms: 100 + 2*float64(n)}})
	}
	reports = append(reports, &Report{Members: 500, MembershipChanges: 1, Roles: []Role{{Name: Leader, Members: 1, CPU: 1}}})
	all, out, err := FitSlopes(reports)
	if err != nil || len(out) != 1 || out[0] != 500 {
		t.Fatal(out, err)
	}
	want := map[string][3]float64{ // slope, intercept, at the target
		"leader/% of a core": {0.125, 0.5, 2250.5}, "leader/MB": {0, 20, 20}, "leader/KB/s in and out": {3, 0, 54_000}, "member/% of a core": {0, 0.25, 0.25},
		"list service/watches": {1, 0, 18_000}, "versions/ms to in force, p50": {0, 7, 7}, "versions/ms to in force, p99": {2, 100, 36_100},
	}
	const tolerance = 1e-9
	off := func(a, b float64) bool { return a-b > tolerance || b-a > tolerance }
	for _, s := range all {
		w, ok := want[s.Role+"/"+s.Quantity]
		if !ok {
			continue
		}
		delete(want, s.Role+"/"+s.Quantity)
		if off(s.Slope, w[0]) || off(s.Intercept, w[1]) || off(s.AtTarget/w[2], 1) || off(s.Residual, 0) || len(s.Points) != 4 {
			t.Errorf("%s, %s: %+v", s.Role, s.Quantity, s)
		}
	}
	if len(want) > 0 {
		t.Errorf("no slope for %v", want)
	}
	for _, s := range all {
		if s.Role == "lists" || s.Role == Member && strings.Contains(s.Quantity, "/s") {
			t.Errorf("a slope of what was not counted: %+v", s)
		}
	}
	l, err := Fit([]Point{{0, 1}, {0, -1}, {2, 1}, {2, -1}})
	if err != nil || off(l.Slope, 0) || off(l.Intercept, 0) || off(l.Residual, 1) || off(l.Error*l.Error, 0.5) {
		t.Errorf("%+v %v", l, err)
	}
	if _, err := Fit([]Point{{3, 1}, {3, 2}}); !errors.Is(err, ErrTooFewSizes) {
		t.Error("a line through one size:", err)
	}
	if _, _, err := FitSlopes(reports[4:]); !errors.Is(err, ErrTooFewSizes) {
		t.Error("slopes of a run that was not calm:", err)
	}
	var told strings.Builder
	PrintSlopes(&told, all, out)
	if !strings.Contains(told.String(), "5.4e+04") || !strings.Contains(told.String(), "left out, not calm: runs of [500]") {
		t.Error(told.String())
	}
}

// A change is in force where it, or a later one, was seen after it was made; the rest is missing.
func TestInForce(t *testing.T) {
	at := func(ms int) time.Time { return time.UnixMilli(1_000_000 + int64(ms)) }
	made := []versionTime{{1, at(0)}, {2, at(100)}}
	marks := map[string][]versionTime{"a": {{1, at(10)}, {2, at(130)}}, "b": {{2, at(150)}}, "c": {{1, at(40)}}}
	ms, f := compareInForce(made, []string{"a", "b", "c"}, marks)
	f.setQuantiles(ms)
	if f.Expected != 6 || f.Missing != 1 || f.WorstMember != "c" || f.P50Ms != 40 || f.MaxMs != 150 {
		t.Errorf("%+v of %v", f, ms)
	}
}

// The tallies of links are those of who sends and who receives.
func TestLinks(t *testing.T) {
	heard := make(chan int, 1)
	target := standin.Listen(t, func(c *net.TCPConn, _ int) {
		n, _ := io.Copy(io.Discard, c)
		heard <- int(n)
	})
	l := newLinks()
	defer l.close()
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := front.Addr().String()
	front.Close()
	if err := l.open("b", addr, target); err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	who, err := cbor.Marshal([]any{uint64(7), []any{"a", uint64(1)}})
	if err != nil {
		t.Fatal(err)
	}
	sentBytes := 0
	for i, kind := range []byte{frameHello, 1, 1, 3, 200} {
		payload := make([]byte, 100*i)
		if kind == frameHello {
			payload = who
		}
		one, err := frame.Append(nil, kind, payload)
		if err != nil {
			t.Fatal(err)
		}
		sentBytes += len(one)
		if _, err := c.Write(one); err != nil {
			t.Fatal(err)
		}
	}
	c.Close()
	if n := <-heard; n != sentBytes {
		t.Errorf("%d bytes heard of %d", n, sentBytes)
	}
	standin.Eventually(t, "all connections closed", func() bool { _, open := l.tallies(); return open == 0 })
	all, _ := l.tallies()
	a, b := all["a"], all["b"]
	if a.OutFrames != 5 || a.OutBytes != int64(sentBytes) || b.InFrames != 5 || b.InBytes != int64(sentBytes) || a.InFrames+b.OutFrames+b.LostFrames != 0 ||
		a.Out["raft"] != 2 || a.Out["ask"] != 1 || a.Out["other"] != 1 {
		t.Errorf("%+v", all)
	}
}

// The list service tells whole lists first, then what changes, to a watch that is not too far behind.
func TestListService(t *testing.T) {
	s, err := startList(5, "127.0.0.1:9")
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	told := make(chan *discovery.Update, 10)
	c := discovery.New(s.addr, nil, discovery.Source{BalancerCount: 1}, listener(told))
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go c.Run(ctx)
	next := func() *discovery.Update {
		t.Helper()
		select {
		case l := <-told:
			return l
		case <-time.After(standin.WaitTimeout):
			t.Fatal("never told")
			return nil
		}
	}
	if l := next(); !l.Full || len(l.Endpoints) != 5 || l.Seq != 1 {
		t.Fatalf("%+v", l)
	}
	if seq := s.changeOne(); seq != 2 {
		t.Fatal(seq)
	}
	if l := next(); l.Full || len(l.Endpoints) != 1 || l.Seq != 2 {
		t.Fatalf("%+v", l)
	}
	if s.calls.Load() != 1 || s.deltasSent.Load() != 1 || s.open.Load() != 1 || s.bytesOut.Load() == 0 || s.bytesIn.Load() == 0 {
		t.Error("counted wrongly")
	}
	for from, want := range map[int64]int{1: 1, 2: 0} {
		if l, _, _ := s.updatesSince(from); len(l) != want {
			t.Errorf("%d: told %+v", from, l)
		}
	}
	for _, from := range []int64{-1, 0, 3} {
		if l, _, _ := s.updatesSince(from); len(l) != 1 || !l[0].Full {
			t.Errorf("%d: told %+v", from, l)
		}
	}
}

type listener chan *discovery.Update

func (l listener) OnEndpoints(list *discovery.Update) { l <- list }

// Each member has a lease and the list, versions and lists come into force at all of them, what was sent is what was received, and
// nothing is left behind.
func TestSmall(t *testing.T) {
	for _, c := range []struct{ real, hollow, cell, fleets int }{{3, 6, 0, 1}, {0, 6, 3, 2}} {
		t.Run(fmt.Sprintf("%d real, %d hollow, fleets of %d", c.real, c.hollow, c.cell), func(t *testing.T) {
			t.Parallel()
			conf := small(t, c.real, c.hollow, c.cell)
			conf.SettingsPerSecond, conf.ListChangesPerSecond = 3, 3
			r, err := Run(context.Background(), conf)
			if err != nil {
				t.Fatal(err)
			}
			if r.Leases != c.real+c.hollow || r.Fleets != c.fleets {
				t.Errorf("%d leases in %d fleets", r.Leases, r.Fleets)
			}
			if least := int64(2 * (c.real + c.hollow - c.fleets)); r.Sent < least || r.Sent != r.Received+r.Lost || r.OpenLinks != 0 { // each but those who lead says hello and asks for a lease
				t.Errorf("%d frames sent, %d received, %d lost, %d links open at the end", r.Sent, r.Received, r.Lost, r.OpenLinks)
			}
			if s := r.Settings; s.Changes == 0 || s.Missing > 0 || s.Expected != s.Changes*(c.real+c.hollow)/c.fleets {
				t.Errorf("settings: %+v", s)
			}
			if s := r.List; s.Changes == 0 || s.Missing > 0 || s.Expected != s.Changes*c.hollow {
				t.Errorf("lists: %+v", s)
			}
			members, leaders := 0, 0
			for _, o := range r.Roles {
				if o.Name == Links {
					continue
				}
				if members += o.Members; o.Name == Leader || o.Name == HollowLeader {
					leaders += o.Members
				}
				if o.CountedMembers != o.Members || o.FramesIn < 0 || o.FramesOut < 0 || o.Descriptors <= 0 || o.MemoryMB <= 0 {
					t.Errorf("%+v", o)
				}
			}
			if members != c.real+c.hollow || leaders != 1 {
				t.Errorf("%d members, %d leaders in %+v", members, leaders, r.Roles)
			}
			if l := left(t, conf.Dir); len(l) > 0 {
				t.Error("left behind:", l)
			}
		})
	}
}

// A leader that is killed is put out and followed by another; nothing is expected of it.
func TestLeaderKilled(t *testing.T) {
	t.Parallel()
	conf := small(t, 0, 5, 0)
	conf.Fault, conf.SettingsPerSecond = KillLeader, 2
	r, err := Run(context.Background(), conf)
	if err != nil {
		t.Fatal(err)
	}
	f := r.Fault
	if f == nil || f.Member == "" || f.NewLeaderMs <= 0 || f.Evictions < 1 || r.Evictions < f.Evictions || r.Settings.Missing > 0 {
		t.Errorf("%+v, %+v", f, r.Settings)
	}
}

// An interrupt ends a run cleanly, whatever it is at.
func TestInterrupt(t *testing.T) {
	for _, what := range []string{"voter-1.log", "shared-1.log"} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			conf := small(t, 1, 8, 0)
			conf.Duration = time.Minute
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() { _, err := Run(ctx, conf); done <- err }()
			standin.Eventually(t, what, func() bool { _, err := os.Stat(filepath.Join(conf.Dir, what)); return err == nil })
			cancel()
			if err := <-done; !errors.Is(err, ErrInterrupted) {
				t.Error(err)
			}
			if l := left(t, conf.Dir); len(l) > 0 {
				t.Error("left behind:", l)
			}
		})
	}
}

// A run that takes more memory than it may ends itself.
func TestMemoryBound(t *testing.T) {
	t.Parallel()
	conf := small(t, 0, 6, 0)
	conf.MemoryMB, conf.Duration = 10, time.Minute
	if _, err := play(context.Background(), conf, newLayout(&conf)); !errors.Is(err, ErrMemoryLimit) {
		t.Error(err)
	}
	if l := left(t, conf.Dir); len(l) > 0 {
		t.Error("left behind:", l)
	}
}

// One idle sidecar for each length of the list is told each change.
func TestLists(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	all, err := MeasureLists(context.Background(), ListsConfig{Sizes: []int{3, 50}, Duration: MinDuration, ChangesPerSecond: 10, Binary: program, Dir: dir})
	if err != nil {
		t.Fatal(err)
	}
	if len(all) != 2 || all[1].Servers != 50 || all[0].Idle.MemoryMB <= 0 {
		t.Errorf("%+v", all)
	}
	for _, f := range all {
		if f.Changes == 0 || f.ChangesNotSent != 0 {
			t.Errorf("%d servers: not told of %d of %d changes", f.Servers, f.ChangesNotSent, f.Changes)
		}
	}
	if l := left(t, dir); len(l) > 0 {
		t.Error("left behind:", l)
	}
	var out strings.Builder
	PrintLists(&out, all)
	if !strings.Contains(out.String(), "a server") {
		t.Error(out.String())
	}
}
