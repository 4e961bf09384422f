package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"damsonscale/internal/lab/standin"
)

const (
	timelineDuration = 25 * time.Second
	settleTime       = updateDeadline + grace // after the last event, for what it leaves behind
	afterCalls       = 7 * time.Second
	heldUp           = 150 * time.Millisecond
)

// faultTimeline is a sidecar under requests, its discovery under faults drawn from a seed, and what the judge needs to know.
type faultTimeline struct {
	*discoveryClient
	random *rand.Rand
	other  *standin.Registry // discovery's next address, with the same list
	seq    int64
	gone   bool
	script []string

	mu      sync.Mutex
	began   time.Time
	absent  []absence
	started time.Time // of the process
	reached time.Time // since then discovery could be reached; zero: it can't be
	calm    time.Time // before that no further calls are made to fail
}

// absence is a time in which the second server is not listed.
type absence struct{ from, to time.Time }

func (d *faultTimeline) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.script = append(d.script, fmt.Sprintf("%.2f ", time.Since(d.began).Seconds())+fmt.Sprintf(format, args...))
}

// toggle takes the second server off the list, or back.
func (d *faultTimeline) toggle() {
	d.seq++
	l := &list{Seq: int(d.seq), Whole: true, Hosts: []host{hostAt("s1", d.stays, "Ready")}}
	now := time.Now()
	d.mu.Lock()
	if d.gone {
		d.absent[len(d.absent)-1].to = now
		l.Hosts = append(l.Hosts, hostAt("s2", d.goes.addr, "Ready"))
	} else {
		d.absent = append(d.absent, absence{from: now})
		if d.random.IntN(2) == 0 {
			l.Hosts = append(l.Hosts, hostAt("s2", d.goes.addr, "Terminating"))
		}
	}
	d.gone = !d.gone
	d.mu.Unlock()
	d.registry.List(d.seq, text(l))
	d.other.List(d.seq, text(l))
	d.note("version %d, gone %v", d.seq, d.gone)
}

// arrives judges a request at the second server: by the page's sentences, how late it is.
func (d *faultTimeline) arrives(at time.Time) {
	d.goes.last.Store(at.UnixNano())
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.gone || d.reached.IsZero() {
		return
	}
	since := d.absent[len(d.absent)-1].from // discovery has it ...
	if d.reached.After(since) {
		since = d.reached // ... and can be reached
	}
	binds := since.Add(updateDeadline)
	if first := d.started.Add(grace); binds.Before(first) {
		binds = first // it started by an old list
	}
	if at.After(binds) {
		d.script = append(d.script, fmt.Sprintf("%.2f BROKEN: a request %.2f s after discovery had it and could be reached",
			at.Sub(d.began).Seconds(), at.Sub(since).Seconds()))
	}
}

// step plays one event.
func (d *faultTimeline) step(t *testing.T, _ bool) {
	callFaults := []standin.Fault{standin.Busy, standin.Resets, standin.Hangs, standin.Heads, standin.Halves, standin.Garbles, standin.Trickles, standin.Ends}
	mayFail := time.Now().After(d.calm)
	switch event := d.random.IntN(11); {
	case event < 4:
		d.toggle()
	case event < 7 && mayFail:
		how, fault, calls := standin.Break(d.random.IntN(4)), callFaults[d.random.IntN(len(callFaults))], d.random.IntN(3)
		d.note("watches break, kind %d, then %d calls meet fault %d", how, calls, fault)
		d.calm = time.Now().Add(afterCalls)
		d.registry.BreakWatches(how, fault, calls)
		if d.random.IntN(2) == 0 {
			d.toggle()
		}
	case event == 7 && mayFail:
		fault := []standin.Fault{standin.Refuses, standin.Hangs, standin.Busy, standin.Trickles, standin.Resets}[d.random.IntN(5)]
		d.outage(t, fault, time.Duration(1+d.random.IntN(7))*time.Second)
	case event == 8 && mayFail && d.seq > 41:
		d.note("watches end, and a call gets an older list")
		d.calm = time.Now().Add(afterCalls)
		d.registry.BreakWatches(standin.Ended, standin.Older, 1)
	case event == 9 && mayFail:
		d.restart(t)
	case event == 10 && mayFail:
		d.moves(t, callFaults[d.random.IntN(len(callFaults))], d.random.IntN(3))
	default:
		d.note("held up")
		d.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(heldUp)
		d.cmd.Process.Signal(syscall.SIGCONT)
	}
}

// outage has discovery fail for a while, with a change in the middle of it.
func (d *faultTimeline) outage(t *testing.T, fault standin.Fault, lasts time.Duration) {
	d.note("discovery fails, fault %d, for %v", fault, lasts)
	d.mu.Lock()
	d.reached = time.Time{}
	d.mu.Unlock()
	d.registry.Fail(fault)
	time.Sleep(lasts / 2)
	d.toggle()
	time.Sleep(lasts / 2)
	back := d.registry.Return(t)
	d.mu.Lock()
	d.reached = back
	d.mu.Unlock()
	d.calm = back.Add(afterCalls)
	d.note("discovery is back")
}

// moves names discovery's other address in a new configuration; the first calls there may fail.
func (d *faultTimeline) moves(t *testing.T, fault standin.Fault, calls int) {
	d.note("discovery moves, then %d calls meet fault %d", calls, fault)
	d.registry, d.other = d.other, d.registry
	d.registry.BreakWatches(standin.Silent, fault, calls)
	d.reload(t, d.registry.Addr)
	now := time.Now()
	d.mu.Lock()
	d.reached = now
	d.mu.Unlock()
	d.calm = now.Add(afterCalls)
	if d.random.IntN(2) == 0 {
		d.toggle()
	}
}

// restart kills the process and starts it anew by the list that it knew at first.
func (d *faultTimeline) restart(t *testing.T) {
	d.note("killed and started anew")
	d.cmd.Process.Kill()
	<-d.done
	d.mu.Lock()
	d.started = time.Now()
	d.mu.Unlock()
	d.calm = d.started.Add(afterCalls)
	d.run(t, "1")
}

// play draws one timeline, and tells what it found broken.
func playDrawn(t *testing.T, seed uint64) (broken []string) {
	random := rand.New(rand.NewPCG(seed, 45))
	balancers, pushed := []int{1, 30, 300, 900}[random.IntN(4)], random.IntN(4) == 0
	d := &faultTimeline{random: random, seq: 41, discoveryClient: newDiscoveryClient(t, standin.Good, balancers, pushed)}
	d.goes.asked = d.arrives
	d.other = standin.NewRegistry(t, standin.Good)
	for _, r := range []*standin.Registry{d.registry, d.other} {
		r.List(41, text(d.known()))
	}
	d.began = time.Now()
	d.started, d.reached = d.began, d.began
	d.begin(t, balancers, pushed)
	d.note("%s, seed %d", d.name, seed)
	for end := d.began.Add(timelineDuration); time.Now().Before(end); {
		time.Sleep(time.Duration(300+random.IntN(3500)) * time.Millisecond)
		d.step(t, pushed)
	}
	time.Sleep(settleTime)
	close(d.stop)
	d.cmd.Process.Kill()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, line := range d.script {
		if strings.Contains(line, "BROKEN") {
			broken = append(broken, line)
		}
	}
	if n := d.goes.strays.Load(); n > 0 {
		broken = append(broken, fmt.Sprintf("%d requests of another timeline", n))
	}
	if len(broken) > 0 {
		t.Logf("seed %d:\n%s\n%s", seed, strings.Join(d.script, "\n"), d.log.String())
	}
	return broken
}

// Timelines of faults of discovery, drawn: watches that end in four ways, calls that fail in eight, outages of five kinds, older lists,
// restarts by an old list, moves to another address whose first calls may fail, hold-ups of 0.15 s, with changes of the list among them. Nothing goes to a server that has left 6 s after
// discovery had it and could be reached. DRAWN=300 plays so many instead of a few, DRAWN_SEED tells the first.
func TestRandomDiscoveryFaults(t *testing.T) {
	t.Parallel()
	timelines, first := 4, 1
	if n, err := strconv.Atoi(os.Getenv("DRAWN")); err == nil && n > 0 {
		timelines = n
	}
	if n, err := strconv.Atoi(os.Getenv("DRAWN_SEED")); err == nil {
		first = n
	}
	const beside = 50
	for n := 0; n < timelines; n += beside {
		var done sync.WaitGroup
		for i := n; i < min(n+beside, timelines); i++ {
			done.Go(func() {
				if broken := playDrawn(t, uint64(first+i)); len(broken) > 0 {
					t.Errorf("seed %d: %s and %d more", first+i, broken[0], len(broken)-1)
				}
			})
		}
		done.Wait()
	}
}
