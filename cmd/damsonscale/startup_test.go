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

// What the test's own binary may be besides the program.
const (
	runPlain  = "plain"
	runBurner = "burner"
)

// runPlainServer listens and answers, and does nothing else: what the machine asks of any process that starts.
func runPlainServer() {
	ok := http.HandlerFunc(func(_ http.ResponseWriter, _ *http.Request) {})
	if err := http.ListenAndServe(os.Getenv("PROXY_LISTEN"), ok); err != nil {
		os.Exit(1)
	}
}

const maxBurnTime = time.Minute

// burn keeps all cores busy until its input ends, a minute at most.
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

// keepBusy has another process use all cores.
func keepBusy(t *testing.T) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "DAMSONSCALE_RUN_MAIN="+runBurner)
	in, err := cmd.StdinPipe() // it ends with this process
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

// listing is the address of a list service that works through its calls in turn, so long each; 0: it serves all at once.
func startRegistry(t *testing.T, each time.Duration, l list) string {
	r := standin.NewRegistry(t, standin.Good)
	r.List(int64(l.Seq), encodeList(&l))
	if each > 0 {
		r.InTurn(each)
	}
	return r.Addr
}

const (
	sidecarCount      = 30                // processes
	plainCount        = 6                 // plain ones that start among them
	readyDeadline     = 10 * time.Second  // within which nine in ten of those restarted are ready
	plainReadyLimit   = readyDeadline / 3 // for a plain process: the machine is no measure then
	maxRounds         = 3                 // of a case at most
	readyPollInterval = 20 * time.Millisecond
)

// begun is one start.
type processStart struct {
	p     *program
	plain bool
	took  time.Duration // until it was ready; 0: never
	cpu   time.Duration // that it had used by then
}

// await asks until the process says that it is ready.
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

// cpuTime is the processor time of a process.
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

// restart ends processes by a signal and starts each anew once it has ended; of a plain one only the start counts. They live
// until t ends. started is called once all are started.
func restartAll(t *testing.T, all []*program, by syscall.Signal, started func()) []*processStart {
	t.Helper()
	for _, p := range all {
		if err := p.cmd.Process.Signal(by); err != nil {
			t.Errorf("it had ended before: %v\n%s", err, p.log.String())
		}
	}
	out, done := make([]*processStart, len(all)), make(chan bool)
	for i, p := range all {
		select {
		case <-p.done:
		case <-time.After(testTimeout):
			t.Fatalf("did not end\n%s", p.log.String())
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

// quantile is the smallest that so large a part does not exceed.
func quantile(sorted []time.Duration, part float64) time.Duration {
	return sorted[min(len(sorted)-1, int(part*float64(len(sorted))))].Round(time.Millisecond)
}

// Nine in ten restarted processes are ready within 10 s, all of them in the end, on a busy machine, whatever discovery does. Where
// more are late, and a plain process that started among them was too, the machine is no measure: such a play is void and played
// again; after three the test fails.
func TestRestartedProcessesBecomeReadyInTime(t *testing.T) {
	server := standin.NewServer(t, standin.Yes)
	l := list{Seq: 41, Whole: true, Hosts: []host{hostAt("s1", server.Addr, "Ready")}}
	const quick, overbooked = 0, 110 * time.Millisecond // of work for a call: thirty fill more than a call's patience
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
	overloaded := func(t *testing.T) (string, func()) { return startRegistry(t, overbooked, l), idle }
	down := func(t *testing.T) (string, func()) { return refusingAddr(t), idle }
	for _, c := range []struct {
		name      string
		discovery func(t *testing.T) (addr string, started func())
		known     bool // what was known before stands in the configuration
		pushed    bool
		rolling   bool // a tenth at a time, by SIGTERM; else all are killed at once
	}{
		{"at once, down", down, true, false, false},
		{"at once, overbooked", overloaded, true, false, false},
		{"at once, overbooked, nothing known", overloaded, false, false, false},
		{"at once, pushed, hangs", func(t *testing.T) (string, func()) { return newDiscoveryOutage(t, hangs).addr, idle }, true, true, false},
		{"at once, down for 1 s, nothing known", func(t *testing.T) (string, func()) {
			o := newDiscoveryOutage(t, refuses)
			return o.addr, func() {
				time.Sleep(time.Second) // the processes go on meanwhile
				o.restore(t, l)
			}
		}, false, false, false},
		{"rolling, up, nothing known", func(t *testing.T) (string, func()) { return startRegistry(t, quick, l), idle }, false, false, true},
		{"rolling, overbooked", overloaded, true, false, true},
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
					t.Fatal("plain processes were not late")
				}
				if round == maxRounds {
					t.Fatalf("void %d times: plain processes are late on this machine too", maxRounds)
				}
			}
		})
	}
}

// void tells whether plain processes were late.
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
	t.Logf("plain processes: p50 %v, most %v", quantile(plain, 0.5), quantile(plain, 1))
	return quantile(plain, 1) > plainReadyLimit
}

// inTime tells whether nine in ten were ready in time. One that is never ready is no matter of time.
func readyInTime(t *testing.T, starts []*processStart) bool {
	t.Helper()
	var times, cpus []time.Duration
	late := 0
	for _, b := range starts {
		switch {
		case b.plain:
			continue
		case b.took == 0:
			t.Fatalf("never ready\n%s", b.p.log.String())
		case b.took > readyDeadline:
			late++
		}
		times, cpus = append(times, b.took), append(cpus, b.cpu)
	}
	if len(times) != sidecarCount {
		t.Fatalf("%d starts of %d", len(times), sidecarCount)
	}
	slices.Sort(times)
	slices.Sort(cpus)
	t.Logf("ready: p50 %v, p90 %v, most %v, %d late; processor time until then: p50 %v, most %v", quantile(times, 0.5),
		quantile(times, 0.9), quantile(times, 1), late, quantile(cpus, 0.5), quantile(cpus, 1))
	return late*10 <= sidecarCount
}
