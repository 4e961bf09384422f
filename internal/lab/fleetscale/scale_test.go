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

// programPath is the path of the program, which TestMain builds.
var programPath string

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
	programPath = filepath.Join(dir, "damsonscale")
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// testConfig returns a small, short run. The lease is long, so that no member is evicted on a busy machine.
func testConfig(t *testing.T, realMembers, hollow, cell int) Config {
	return Config{
		Real: realMembers, Hollow: hollow, CellSize: cell, Duration: time.Second, Lease: 1500 * time.Millisecond, CountedCells: 2, MemoryMB: 2000,
		Binary: programPath, Dir: t.TempDir(), Worker: []string{os.Args[0], "worker"},
	}.Defaults()
}

// leftoverProcesses lists the running processes whose environment names the directory of a run.
func leftoverProcesses(t *testing.T, dir string) (out []string) {
	t.Helper()
	all, err := filepath.Glob("/proc/[0-9]*/environ")
	if err != nil || len(all) == 0 {
		t.Fatalf("got %d processes in /proc, want at least 1; error: %v", len(all), err)
	}
	for _, path := range all {
		if text, err := os.ReadFile(path); err == nil && bytes.Contains(text, []byte("TMPDIR="+dir+"\x00")) {
			out = append(out, path)
		}
	}
	return out
}

func TestInvalidConfigNamesFlag(t *testing.T) {
	valid := Config{Hollow: 3, Duration: time.Second, MemoryMB: 500}.Defaults()
	if err := valid.Validate(); err != nil {
		t.Fatalf("valid config: %v", err)
	}
	for want, modify := range map[string]func(c *Config){
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
		invalid := valid
		modify(&invalid)
		if err := invalid.Validate(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want one that contains %q", err, want)
		}
	}
	for want, c := range map[string]ListsConfig{
		"--sizes: got 0 sizes": {Duration: time.Second}, "--sizes: 0 is": {Sizes: []int{0}, Duration: time.Second},
		"--for": {Sizes: []int{1}}, "--changes": {Sizes: []int{1}, Duration: time.Second, ChangesPerSecond: -1},
	} {
		if err := c.Validate(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("lists: got error %v, want one that contains %q", err, want)
		}
	}
}

// A run that needs more memory than allowed is rejected before anything is started. The estimate counts descriptors of shared processes and
// of relay processes.
func TestRunBeyondResourcesIsRejected(t *testing.T) {
	c := testConfig(t, 0, 18_000, 30)
	if _, err := Run(context.Background(), c); !errors.Is(err, ErrResourceEstimate) || !strings.Contains(err.Error(), "--hollow") {
		t.Errorf("18000 members: got error %v, want %v that names --hollow", err, ErrResourceEstimate)
	}
	for counted, perProcess := range []int{1000, 10} { // 1,000 members in a shared process, then 1,000 relays in a relay process
		c = testConfig(t, 0, 1000, 0)
		c.PerProcess, c.CountedCells = perProcess, counted
		if _, files := c.Estimate(newLayout(&c)); files < 10_000 {
			t.Errorf("%d members per process, %d fleets with relays: estimated %d descriptors, want at least 10000", perProcess, counted, files)
		}
	}
	if used, err := os.ReadDir(c.Dir); err != nil || len(used) > 0 {
		t.Errorf("directory of a rejected run: got entries %v, error %v, want none", used, err)
	}
}

func TestLayoutPlacesEachHollowMemberOnce(t *testing.T) {
	for _, c := range []struct {
		real, hollow, cell, per int
		own, shared, links      int
	}{
		{0, 5, 0, 10, 5, 0, 1}, {5, 20, 0, 10, 0, 2, 1}, {3, 6, 0, 10, 2, 1, 1}, {0, 30, 10, 100, 5, 2, 1}, {0, 40, 10, 20, 5, 3, 1}, {0, 2, 0, 9, 1, 1, 1},
	} {
		conf := Config{Real: c.real, Hollow: c.hollow, CellSize: c.cell, PerProcess: c.per, CountedCells: 2}.Defaults()
		l := newLayout(&conf)
		if len(l.ownProcesses) != c.own || len(l.sharedProcesses) != c.shared || len(l.linkProcesses) != c.links {
			t.Errorf("%+v: got %d own, %d shared and %d relay processes", c, len(l.ownProcesses), len(l.sharedProcesses), len(l.linkProcesses))
		}
		times := map[int]int{}
		for _, p := range append(l.ownProcesses, l.sharedProcesses...) {
			for _, i := range p.members {
				if times[i]++; l.members[i].real {
					t.Errorf("%+v: real member %d is in a worker process", c, i)
				}
			}
			if c.cell > 0 && l.members[p.members[0]].fleet != l.members[p.members[len(p.members)-1]].fleet && l.members[p.members[0]].fleet == 0 {
				t.Errorf("%+v: a process has members of the first fleet and of other fleets", c)
			}
		}
		if len(times) != c.hollow {
			t.Errorf("%+v: got %d hollow members with a process, want %d", c, len(times), c.hollow)
		}
		for i, n := range times {
			if n != 1 {
				t.Errorf("%+v: member %d is in %d processes, want 1", c, i, n)
			}
		}
	}
}

// Reports whose values lie on a line give that line. Unstable reports and uncounted frames are excluded.
func TestFitSlopes(t *testing.T) {
	reports := []*Report{}
	for _, n := range []int{5, 20, 60, 120} {
		reports = append(reports, &Report{Members: n, Roles: []Role{
			{Name: Leader, Members: 1, CountedMembers: 1, CPU: 0.5 + 0.125*float64(n), MemoryMB: 20, KBIn: float64(n), KBOut: float64(2 * n)},
			{Name: Member, Members: n - 1, CPU: 0.25},
		}, ListService: ListServiceRates{OpenWatches: int64(n)}, Settings: PropagationTimes{Expected: n, P50Ms: 7, P99Ms: 100 + 2*float64(n)}})
	}
	reports = append(reports, &Report{Members: 500, MembershipChanges: 1, Roles: []Role{{Name: Leader, Members: 1, CPU: 1}}})
	all, excluded, err := FitSlopes(reports)
	if err != nil || len(excluded) != 1 || excluded[0] != 500 {
		t.Fatalf("got excluded sizes %v, error %v, want [500] without an error", excluded, err)
	}
	want := map[string][3]float64{ // slope, intercept, value at the target size
		"leader/% of a core": {0.125, 0.5, 2250.5}, "leader/MB": {0, 20, 20}, "leader/KB/s in and out": {3, 0, 54_000}, "member/% of a core": {0, 0.25, 0.25},
		"list service/watches": {1, 0, 18_000}, "versions/ms to apply, p50": {0, 7, 7}, "versions/ms to apply, p99": {2, 100, 36_100},
	}
	const tolerance = 1e-9
	differ := func(a, b float64) bool { return a-b > tolerance || b-a > tolerance }
	for _, s := range all {
		w, ok := want[s.Role+"/"+s.Quantity]
		if !ok {
			continue
		}
		delete(want, s.Role+"/"+s.Quantity)
		if differ(s.Slope, w[0]) || differ(s.Intercept, w[1]) || differ(s.AtTarget/w[2], 1) || differ(s.Residual, 0) || len(s.Points) != 4 {
			t.Errorf("%s, %s: got %+v, want slope, intercept and value at the target %v through 4 points", s.Role, s.Quantity, s, w)
		}
	}
	if len(want) > 0 {
		t.Errorf("got no slopes for %v", want)
	}
	for _, s := range all {
		if s.Role == "lists" || s.Role == Member && strings.Contains(s.Quantity, "/s") {
			t.Errorf("got a slope of a quantity that was not measured: %+v", s)
		}
	}
	l, err := Fit([]Point{{0, 1}, {0, -1}, {2, 1}, {2, -1}})
	if err != nil || differ(l.Slope, 0) || differ(l.Intercept, 0) || differ(l.Residual, 1) || differ(l.Error*l.Error, 0.5) {
		t.Errorf("fit of (0, 1), (0, -1), (2, 1), (2, -1): got %+v, error %v", l, err)
	}
	if _, err := Fit([]Point{{3, 1}, {3, 2}}); !errors.Is(err, ErrTooFewSizes) {
		t.Errorf("fit of points of one size: got error %v, want %v", err, ErrTooFewSizes)
	}
	if _, _, err := FitSlopes(reports[4:]); !errors.Is(err, ErrTooFewSizes) {
		t.Errorf("slopes of an unstable run: got error %v, want %v", err, ErrTooFewSizes)
	}
	var printed strings.Builder
	PrintSlopes(&printed, all, excluded)
	if !strings.Contains(printed.String(), "5.4e+04") || !strings.Contains(printed.String(), "excluded as unstable: runs of [500] members") {
		t.Errorf("printed slopes lack the value 5.4e+04 or the excluded size 500:\n%s", printed.String())
	}
}

// A change counts as applied when a member applies it or a later one after it was made. Otherwise it is missing.
func TestPropagationDelays(t *testing.T) {
	at := func(ms int) time.Time { return time.UnixMilli(1_000_000 + int64(ms)) }
	changes := []versionTime{{1, at(0)}, {2, at(100)}}
	applied := map[string][]versionTime{"a": {{1, at(10)}, {2, at(130)}}, "b": {{2, at(150)}}, "c": {{1, at(40)}}}
	ms, f := propagationDelays(changes, []string{"a", "b", "c"}, applied)
	f.setQuantiles(ms)
	if f.Expected != 6 || f.Missing != 1 || f.WorstMember != "c" || f.P50Ms != 40 || f.MaxMs != 150 {
		t.Errorf("got %+v from delays %v, want 6 expected, 1 missing at c, p50 40 ms, max 150 ms", f, ms)
	}
}

// A relay counts frames by kind for the sender named in the hello, and in total for the receiver.
func TestRelayCountsFrames(t *testing.T) {
	received := make(chan int, 1)
	target := standin.Listen(t, func(c *net.TCPConn, _ int) {
		n, _ := io.Copy(io.Discard, c)
		received <- int(n)
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
	hello, err := cbor.Marshal([]any{uint64(7), []any{"a", uint64(1)}})
	if err != nil {
		t.Fatal(err)
	}
	sentBytes := 0
	for i, kind := range []byte{frameHello, 1, 1, 3, 200} {
		payload := make([]byte, 100*i)
		if kind == frameHello {
			payload = hello
		}
		data, err := frame.Append(nil, kind, payload)
		if err != nil {
			t.Fatal(err)
		}
		sentBytes += len(data)
		if _, err := c.Write(data); err != nil {
			t.Fatal(err)
		}
	}
	c.Close()
	if n := <-received; n != sentBytes {
		t.Errorf("target received %d bytes, want %d", n, sentBytes)
	}
	standin.Eventually(t, "the relay to close all connections", func() bool { _, open := l.snapshot(); return open == 0 })
	all, _ := l.snapshot()
	a, b := all["a"], all["b"]
	if a.OutFrames != 5 || a.OutBytes != int64(sentBytes) || b.InFrames != 5 || b.InBytes != int64(sentBytes) || a.InFrames+b.OutFrames+b.LostFrames != 0 ||
		a.Out["raft"] != 2 || a.Out["ask"] != 1 || a.Out["other"] != 1 {
		t.Errorf("got counts %+v, want 5 frames with %d bytes from a to b: 2 raft, 1 ask, 1 other", all, sentBytes)
	}
}

// A watch gets the full list first and then the changes. A watch that starts too far behind gets the full list.
func TestListServiceSendsFullListThenChanges(t *testing.T) {
	s, err := startList(5, "127.0.0.1:9")
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	updates := make(chan *discovery.Update, 10)
	c := discovery.New(s.addr, nil, discovery.Source{BalancerCount: 1}, updateListener(updates))
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go c.Run(ctx)
	next := func() *discovery.Update {
		t.Helper()
		select {
		case l := <-updates:
			return l
		case <-time.After(standin.WaitTimeout):
			t.Fatalf("no update within %v", standin.WaitTimeout)
			return nil
		}
	}
	if l := next(); !l.Full || len(l.Endpoints) != 5 || l.Seq != 1 {
		t.Fatalf("got update %+v, want the full list of 5 endpoints with version 1", l)
	}
	if seq := s.changeOneServer(); seq != 2 {
		t.Fatalf("got version %d after a change, want 2", seq)
	}
	if l := next(); l.Full || len(l.Endpoints) != 1 || l.Seq != 2 {
		t.Fatalf("got update %+v, want a change of 1 endpoint with version 2", l)
	}
	if s.calls.Load() != 1 || s.deltasSent.Load() != 1 || s.openWatches.Load() != 1 || s.bytesOut.Load() == 0 || s.bytesIn.Load() == 0 {
		t.Errorf("got %d calls, %d changes sent, %d open watches, %d bytes out, %d bytes in, want 1, 1, 1 and more than 0 bytes", s.calls.Load(), s.deltasSent.Load(), s.openWatches.Load(), s.bytesOut.Load(), s.bytesIn.Load())
	}
	for from, want := range map[int64]int{1: 1, 2: 0} {
		if l, _, _ := s.updatesSince(from); len(l) != want {
			t.Errorf("updates since %d: got %+v, want %d", from, l, want)
		}
	}
	for _, from := range []int64{-1, 0, 3} {
		if l, _, _ := s.updatesSince(from); len(l) != 1 || !l[0].Full {
			t.Errorf("updates since %d: got %+v, want the full list", from, l)
		}
	}
}

type updateListener chan *discovery.Update

func (l updateListener) OnEndpoints(list *discovery.Update) { l <- list }

// Each member gets a lease and the list and applies each settings version and list change. Each frame sent is received or lost, and no
// process is left over.
func TestRunMeasuresAllMembers(t *testing.T) {
	for _, c := range []struct{ real, hollow, cell, fleets int }{{3, 6, 0, 1}, {0, 6, 3, 2}} {
		t.Run(fmt.Sprintf("%d real, %d hollow, fleets of %d", c.real, c.hollow, c.cell), func(t *testing.T) {
			t.Parallel()
			conf := testConfig(t, c.real, c.hollow, c.cell)
			conf.SettingsPerSecond, conf.ListChangesPerSecond = 3, 3
			r, err := Run(context.Background(), conf)
			if err != nil {
				t.Fatal(err)
			}
			if r.Leases != c.real+c.hollow || r.Fleets != c.fleets {
				t.Errorf("got %d members with a lease in %d fleets, want %d in %d", r.Leases, r.Fleets, c.real+c.hollow, c.fleets)
			}
			if minSent := int64(2 * (c.real + c.hollow - c.fleets)); r.Sent < minSent || r.Sent != r.Received+r.Lost || r.OpenLinks != 0 { // each member but the leaders sends a hello and a lease request
				t.Errorf("got %d frames sent, %d received, %d lost, %d relay connections open at the end; want at least %d sent, all received or lost, none open", r.Sent, r.Received, r.Lost, r.OpenLinks, minSent)
			}
			if s := r.Settings; s.Changes == 0 || s.Missing > 0 || s.Expected != s.Changes*(c.real+c.hollow)/c.fleets {
				t.Errorf("settings: got %+v, want changes, all of them applied by all members of a fleet", s)
			}
			if s := r.List; s.Changes == 0 || s.Missing > 0 || s.Expected != s.Changes*c.hollow {
				t.Errorf("lists: got %+v, want changes, all of them applied by all hollow members", s)
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
					t.Errorf("role %s: got %+v, want frames counted for all members, and memory and descriptors above 0", o.Name, o)
				}
			}
			if members != c.real+c.hollow || leaders != 1 {
				t.Errorf("got %d members, %d leaders in %+v, want %d members and 1 leader", members, leaders, r.Roles, c.real+c.hollow)
			}
			if l := leftoverProcesses(t, conf.Dir); len(l) > 0 {
				t.Errorf("got processes left over by the run: %v", l)
			}
		})
	}
}

// A killed leader is evicted and another member is elected. Changes are not expected at the killed member.
func TestKilledLeaderIsReplaced(t *testing.T) {
	t.Parallel()
	conf := testConfig(t, 0, 5, 0)
	conf.Fault, conf.SettingsPerSecond = KillLeader, 2
	r, err := Run(context.Background(), conf)
	if err != nil {
		t.Fatal(err)
	}
	f := r.Fault
	if f == nil || f.Member == "" || f.NewLeaderMs <= 0 || f.Evictions < 1 || r.Evictions < f.Evictions || r.Settings.Missing > 0 {
		t.Errorf("got fault %+v, %d evictions in the run, settings %+v; want a new leader, at least 1 eviction, no change missing", f, r.Evictions, r.Settings)
	}
}

// An interrupt while processes are being started stops all of them.
func TestInterruptStopsAllProcesses(t *testing.T) {
	for _, logName := range []string{"voter-1.log", "shared-1.log"} {
		t.Run(logName, func(t *testing.T) {
			t.Parallel()
			conf := testConfig(t, 1, 8, 0)
			conf.Duration = time.Minute
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() { _, err := Run(ctx, conf); done <- err }()
			standin.Eventually(t, logName+" to be created", func() bool { _, err := os.Stat(filepath.Join(conf.Dir, logName)); return err == nil })
			cancel()
			if err := <-done; !errors.Is(err, ErrInterrupted) {
				t.Errorf("interrupted run: got error %v, want %v", err, ErrInterrupted)
			}
			if l := leftoverProcesses(t, conf.Dir); len(l) > 0 {
				t.Errorf("got processes left over by the run: %v", l)
			}
		})
	}
}

// A run that exceeds its memory limit stops all its processes.
func TestMemoryLimitStopsRun(t *testing.T) {
	t.Parallel()
	conf := testConfig(t, 0, 6, 0)
	conf.MemoryMB, conf.Duration = 10, time.Minute
	if _, err := runLayout(context.Background(), conf, newLayout(&conf)); !errors.Is(err, ErrMemoryLimit) {
		t.Errorf("run with a limit of 10 MB: got error %v, want %v", err, ErrMemoryLimit)
	}
	if l := leftoverProcesses(t, conf.Dir); len(l) > 0 {
		t.Errorf("got processes left over by the run: %v", l)
	}
}

// A sidecar is measured for each list size and gets each change.
func TestMeasureLists(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	all, err := MeasureLists(context.Background(), ListsConfig{Sizes: []int{3, 50}, Duration: MinDuration, ChangesPerSecond: 10, Binary: programPath, Dir: dir})
	if err != nil {
		t.Fatal(err)
	}
	if len(all) != 2 || all[1].Servers != 50 || all[0].Idle.MemoryMB <= 0 {
		t.Errorf("got %+v, want 2 results, the second with 50 endpoints, and memory above 0", all)
	}
	for _, f := range all {
		if f.Changes == 0 || f.ChangesNotSent != 0 {
			t.Errorf("%d endpoints: %d of %d changes were not sent, want more than 0 changes, all sent", f.Servers, f.ChangesNotSent, f.Changes)
		}
	}
	if l := leftoverProcesses(t, dir); len(l) > 0 {
		t.Errorf("got processes left over by the run: %v", l)
	}
	var out strings.Builder
	PrintLists(&out, all)
	if !strings.Contains(out.String(), "per endpoint") {
		t.Errorf("printed results lack slopes per endpoint:\n%s", out.String())
	}
}
