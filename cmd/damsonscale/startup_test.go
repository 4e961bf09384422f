package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"damsonscale/internal/lab/standin"
)

// Roles of the test binary other than the program.
const (
	runPlain  = "plain"
	runBurner = "burner"
)

// runPlainServer answers every request and does nothing else. Its start shows how long the machine takes to start any process.
func runPlainServer() {
	ok := http.HandlerFunc(func(_ http.ResponseWriter, _ *http.Request) {})
	if err := http.ListenAndServe(os.Getenv("PROXY_LISTEN"), ok); err != nil {
		os.Exit(1)
	}
}

const maxBurnTime = time.Minute

// burnCPU keeps all cores busy until standard input ends, for maxBurnTime at most.
func burnCPU() {
	for range runtime.NumCPU() {
		go func() {
			for spins := 0; ; {
				spins++
			}
		}()
	}
	go func() {
		time.Sleep(maxBurnTime)
		os.Exit(0)
	}()
	io.Copy(io.Discard, os.Stdin)
}

// keepBusy starts another process that keeps all cores busy until the test ends.
func keepBusy(t *testing.T) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "DAMSONSCALE_RUN_MAIN="+runBurner)
	in, err := cmd.StdinPipe() // closes when this process exits, which ends the other process
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		in.Close()
		cmd.Wait()
	})
}

// startRegistry starts a registry that handles one call at a time, each for the given duration, and returns its address. If each is
// 0, it handles all calls at once.
func startRegistry(t *testing.T, each time.Duration, l list) string {
	r := standin.NewRegistry(t, standin.NoFault)
	r.SetList(int64(l.Seq), encodeList(&l))
	if each > 0 {
		r.ServeSequentially(each)
	}
	return r.Addr
}

const (
	sidecarCount      = 30                // sidecars that are restarted
	plainCount        = 6                 // plain processes that are restarted among them
	readyDeadline     = 10 * time.Second  // time from the start within which nine in ten restarted sidecars must be ready
	plainReadyLimit   = readyDeadline / 3 // a plain process that takes longer shows that the machine is too slow
	maxRounds         = 3                 // rounds of a case before the test fails
	readyPollInterval = 20 * time.Millisecond
)

// processStart is one start of a process.
type processStart struct {
	p     *program
	plain bool
	took  time.Duration // time until the process was ready; 0: it never was
	cpu   time.Duration // CPU time used by then
}

// pollReady polls /health/ready until it returns 200, and records the time since the start.
func (b *processStart) pollReady(since time.Time) {
	for time.Since(since) < testTimeout {
		c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testTimeout}
		if resp, err := c.Get("http://" + b.p.addr + "/health/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				b.took, b.cpu = time.Since(since), cpuTime(b.p.cmd.Process.Pid)
				return
			}
		}
		time.Sleep(readyPollInterval)
	}
}

// cpuTime returns the CPU time that a process has used.
func cpuTime(pid int) (sum time.Duration) {
	tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, task := range tasks {
		text, _ := os.ReadFile(task)
		if f := strings.Fields(string(text)); len(f) > 0 {
			ns, _ := strconv.ParseInt(f[0], 10, 64)
			sum += time.Duration(ns)
		}
	}
	return sum
}

// restartAll ends processes with a signal and restarts each one as soon as it has exited. The new processes run until t ends. started is
// called once all of them have been started.
func restartAll(t *testing.T, all []*program, by syscall.Signal, started func()) []*processStart {
	t.Helper()
	for _, p := range all {
		if err := p.cmd.Process.Signal(by); err != nil {
			t.Errorf("process had exited before signal %v: %v\n%s", by, err, p.log.String())
		}
	}
	out, done := make([]*processStart, len(all)), make(chan bool)
	for i, p := range all {
		select {
		case <-p.done:
		case <-time.After(testTimeout):
			t.Fatalf("process did not exit within %v of the signal\n%s", testTimeout, p.log.String())
		}
		out[i] = &processStart{p: p, plain: p.path == ""}
		role := "1"
		if out[i].plain {
			role = runPlain
		}
		since := time.Now()
		p.run(t, role)
		go func() {
			out[i].pollReady(since)
			done <- true
		}()
	}
	started()
	for range all {
		<-done
	}
	return out
}

// quantile returns the value below which the given part of sorted lies.
func quantile(sorted []time.Duration, part float64) time.Duration {
	return sorted[min(len(sorted)-1, int(part*float64(len(sorted))))].Round(time.Millisecond)
}

// On a busy machine, nine in ten restarted sidecars are ready within 10 s and all of them become ready, whatever state discovery is
// in. If more are late, and a plain process restarted among them takes longer than plainReadyLimit, the machine is too slow for a
// result: the round is void and repeated. After three void rounds the test fails.
func TestRestartedProcessesBecomeReadyInTime(t *testing.T) {
	server := standin.NewServer(t, standin.EchoRequestID)
	l := list{Seq: 41, Whole: true, Hosts: []host{hostAt("s1", server.Addr, "Ready")}}
	const quickCall, slowCall = 0, 110 * time.Millisecond // work per call; thirty calls in turn exceed the timeout of a call
	var all []*program
	for i := range sidecarCount {
		p := start(t, refusingAddr(t), &l, func(c map[string]any) {
			c["name"], c["seed"] = fmt.Sprint("n", i), fmt.Sprintf("%016x", 0x2c1f30d27a5be964+i*0x100003)
			c["limits"] = map[string]any{"cores": 0.5, "memory_mb": 64, "sockets": 128}
		})
		all = append(all, p)
		if i%(sidecarCount/plainCount) == 0 {
			c := &program{addr: freeAddr(t), maxDescriptors: "256", conf: map[string]any{}}
			c.conf["environment"] = "PROXY_LISTEN=" + c.addr
			c.run(t, runPlain)
			all = append(all, c)
		}
	}
	for _, p := range all {
		p.waitReady(t)
	}
	keepBusy(t)
	idle := func() {}
	overloaded := func(t *testing.T) (string, func()) { return startRegistry(t, slowCall, l), idle }
	down := func(t *testing.T) (string, func()) { return refusingAddr(t), idle }
	for _, c := range []struct {
		name      string
		discovery func(t *testing.T) (addr string, started func())
		known     bool // the configuration has a known list
		pushed    bool
		rolling   bool // restarts by SIGTERM in twelve waves of three processes; false: SIGKILL to all at once
	}{
		{"at once, down", down, true, false, false},
		{"at once, overloaded", overloaded, true, false, false},
		{"at once, overloaded, no known list", overloaded, false, false, false},
		{"at once, pushed, hangs", func(t *testing.T) (string, func()) { return newDiscoveryOutage(t, hangs).addr, idle }, true, true, false},
		{"at once, down for 1 s, no known list", func(t *testing.T) (string, func()) {
			o := newDiscoveryOutage(t, refuses)
			return o.addr, func() {
				time.Sleep(time.Second) // the processes keep starting in this time
				o.restore(t, l)
			}
		}, false, false, false},
		{"rolling, up, no known list", func(t *testing.T) (string, func()) { return startRegistry(t, quickCall, l), idle }, false, false, true},
		{"rolling, overloaded", overloaded, true, false, true},
	} {
		parent := t
		t.Run(c.name, func(t *testing.T) {
			for round := 1; ; round++ {
				addr, started := c.discovery(t)
				mode := strings.Replace(settings, `"Balancers":1,`, fmt.Sprintf(`"Balancers":%d,`, sidecarCount), 1)
				if c.pushed {
					mode = strings.Replace(mode, `"on_request"`, `"pushed"`, 1)
				}
				for _, p := range all {
					if p.path == "" {
						continue
					}
					p.conf["discovery"], p.conf["settings"] = addr, json.RawMessage(mode)
					if delete(p.conf, "known"); c.known {
						p.conf["known"] = &l
					}
					p.configure(t)
				}
				var starts []*processStart
				if c.rolling {
					var mu sync.Mutex
					var wg sync.WaitGroup
					for wave := range slices.Chunk(all, len(all)/10) {
						wg.Add(1)
						go func() {
							defer wg.Done()
							got := restartAll(parent, wave, syscall.SIGTERM, idle)
							mu.Lock()
							defer mu.Unlock()
							starts = append(starts, got...)
						}()
						time.Sleep(200 * time.Millisecond)
					}
					wg.Wait()
				} else {
					starts = restartAll(parent, all, syscall.SIGKILL, started)
				}
				if readyInTime(t, starts) {
					return
				}
				if !plainWereLate(t, starts) {
					t.Fatal("more than one in ten sidecars were late, but no plain process was")
				}
				if round == maxRounds {
					t.Fatalf("%d void rounds: plain processes were late too, so this machine is too slow for the test", maxRounds)
				}
			}
		})
	}
}

// plainWereLate reports whether a plain process took longer than plainReadyLimit.
func plainWereLate(t *testing.T, starts []*processStart) bool {
	var plain []time.Duration
	for _, b := range starts {
		if b.plain {
			if b.took == 0 {
				b.took = testTimeout
			}
			plain = append(plain, b.took)
		}
	}
	slices.Sort(plain)
	t.Logf("plain processes ready after: p50 %v, max %v", quantile(plain, 0.5), quantile(plain, 1))
	return quantile(plain, 1) > plainReadyLimit
}

// readyInTime reports whether nine in ten sidecars were ready within readyDeadline. A sidecar that never gets ready fails the test.
func readyInTime(t *testing.T, starts []*processStart) bool {
	t.Helper()
	var times, cpus []time.Duration
	late := 0
	for _, b := range starts {
		switch {
		case b.plain:
			continue
		case b.took == 0:
			t.Fatalf("sidecar was never ready\n%s", b.p.log.String())
		case b.took > readyDeadline:
			late++
		}
		times, cpus = append(times, b.took), append(cpus, b.cpu)
	}
	if len(times) != sidecarCount {
		t.Fatalf("got %d sidecar starts, want %d", len(times), sidecarCount)
	}
	slices.Sort(times)
	slices.Sort(cpus)
	t.Logf("sidecars ready after: p50 %v, p90 %v, max %v, %d late; CPU time until ready: p50 %v, max %v", quantile(times, 0.5),
		quantile(times, 0.9), quantile(times, 1), late, quantile(cpus, 0.5), quantile(cpus, 1))
	return late*10 <= sidecarCount
}
