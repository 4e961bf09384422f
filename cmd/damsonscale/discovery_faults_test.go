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
	settleTime       = updateDeadline + stopSendingGrace // from the last event to the end of a timeline
	faultSpacing     = 7 * time.Second                   // minimum time between faults that make calls fail
	pauseDuration    = 150 * time.Millisecond            // time for which the process is stopped by SIGSTOP
)

// faultTimeline is a sidecar under load, discovery faults drawn from a seed, and the state that checkRequest needs.
type faultTimeline struct {
	*loadedSidecar
	random  *rand.Rand
	other   *standin.Registry // the address to which discovery moves next, with the same lists
	seq     int64
	removed bool // the list is without the second server, or has it as Terminating
	events  []string

	mu             sync.Mutex
	began          time.Time
	absent         []absence
	started        time.Time // start of the process
	reachableAt    time.Time // since when discovery has been reachable; zero: it is not reachable
	noFaultsBefore time.Time // no fault that makes calls fail is injected before this time
}

// absence is a period in which the second server is not listed, or is listed as Terminating.
type absence struct{ from, to time.Time }

func (d *faultTimeline) logEvent(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, fmt.Sprintf("%.2f ", time.Since(d.began).Seconds())+fmt.Sprintf(format, args...))
}

// toggleSecondServer removes the second server from the list, or adds it again.
func (d *faultTimeline) toggleSecondServer() {
	d.seq++
	l := &list{Seq: int(d.seq), Whole: true, Hosts: []host{hostAt("s1", d.remaining, "Ready")}}
	now := time.Now()
	d.mu.Lock()
	if d.removed {
		d.absent[len(d.absent)-1].to = now
		l.Hosts = append(l.Hosts, hostAt("s2", d.leaving.addr, "Ready"))
	} else {
		d.absent = append(d.absent, absence{from: now})
		if d.random.IntN(2) == 0 {
			l.Hosts = append(l.Hosts, hostAt("s2", d.leaving.addr, "Terminating"))
		}
	}
	d.removed = !d.removed
	d.mu.Unlock()
	d.registry.SetList(d.seq, encodeList(l))
	d.other.SetList(d.seq, encodeList(l))
	d.logEvent("list version %d, second server removed %v", d.seq, d.removed)
}

// checkRequest records a request at the second server, and adds a violation if the server was removed too long ago. A removed
// server must get no request later than updateDeadline after discovery has the removal and is reachable. A process that has just started has
// at least stopSendingGrace from its start.
func (d *faultTimeline) checkRequest(at time.Time) {
	d.leaving.last.Store(at.UnixNano())
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.removed || d.reachableAt.IsZero() {
		return
	}
	since := d.absent[len(d.absent)-1].from // discovery has the removal ...
	if d.reachableAt.After(since) {
		since = d.reachableAt // ... and is reachable
	}
	deadline := since.Add(updateDeadline)
	if first := d.started.Add(stopSendingGrace); deadline.Before(first) {
		deadline = first // the process started with an old list
	}
	if at.After(deadline) {
		d.events = append(d.events, fmt.Sprintf(
			"%.2f VIOLATION: a request to the removed server %.2f s after discovery had the removal and was reachable",
			at.Sub(d.began).Seconds(), at.Sub(since).Seconds()))
	}
}

// playEvent plays one randomly drawn event.
func (d *faultTimeline) playEvent(t *testing.T, _ bool) {
	callFaults := []standin.Fault{standin.RespondUnavailable, standin.ResetConnections, standin.NeverRespond, standin.StallAfterHeaders, standin.StallWithinList, standin.SendInvalidList, standin.TrickleHeaders, standin.EndAfterHeaders}
	mayFail := time.Now().After(d.noFaultsBefore)
	switch event := d.random.IntN(11); {
	case event < 4:
		d.toggleSecondServer()
	case event < 7 && mayFail:
		how, fault, calls := standin.WatchBreak(d.random.IntN(4)), callFaults[d.random.IntN(len(callFaults))], d.random.IntN(3)
		d.logEvent("open watches break in way %d, then %d calls get fault %d", how, calls, fault)
		d.noFaultsBefore = time.Now().Add(faultSpacing)
		d.registry.BreakWatches(how, fault, calls)
		if d.random.IntN(2) == 0 {
			d.toggleSecondServer()
		}
	case event == 7 && mayFail:
		fault := []standin.Fault{standin.RefuseConnections, standin.NeverRespond, standin.RespondUnavailable, standin.TrickleHeaders, standin.ResetConnections}[d.random.IntN(5)]
		d.runOutage(t, fault, time.Duration(1+d.random.IntN(7))*time.Second)
	case event == 8 && mayFail && d.seq > 41:
		d.logEvent("open watches end, then one call gets an older list")
		d.noFaultsBefore = time.Now().Add(faultSpacing)
		d.registry.BreakWatches(standin.WatchEnded, standin.SendPreviousList, 1)
	case event == 9 && mayFail:
		d.restartProcess(t)
	case event == 10 && mayFail:
		d.moveDiscovery(t, callFaults[d.random.IntN(len(callFaults))], d.random.IntN(3))
	default:
		d.logEvent("process paused")
		d.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(pauseDuration)
		d.cmd.Process.Signal(syscall.SIGCONT)
	}
}

// runOutage makes discovery fail for a while, with a change of the list halfway.
func (d *faultTimeline) runOutage(t *testing.T, fault standin.Fault, lasts time.Duration) {
	d.logEvent("discovery fails, fault %d, for %v", fault, lasts)
	d.mu.Lock()
	d.reachableAt = time.Time{}
	d.mu.Unlock()
	d.registry.InjectFault(fault)
	time.Sleep(lasts / 2)
	d.toggleSecondServer()
	time.Sleep(lasts / 2)
	restored := d.registry.Recover(t)
	d.mu.Lock()
	d.reachableAt = restored
	d.mu.Unlock()
	d.noFaultsBefore = restored.Add(faultSpacing)
	d.logEvent("discovery is back")
}

// moveDiscovery reloads the sidecar with discovery's other address, where the first calls may fail.
func (d *faultTimeline) moveDiscovery(t *testing.T, fault standin.Fault, calls int) {
	d.logEvent("discovery moves, then %d calls get fault %d", calls, fault)
	d.registry, d.other = d.other, d.registry
	d.registry.BreakWatches(standin.WatchSilent, fault, calls)
	d.reload(t, d.registry.Addr)
	now := time.Now()
	d.mu.Lock()
	d.reachableAt = now
	d.mu.Unlock()
	d.noFaultsBefore = now.Add(faultSpacing)
	if d.random.IntN(2) == 0 {
		d.toggleSecondServer()
	}
}

// restartProcess kills the process and starts it again with its initial list.
func (d *faultTimeline) restartProcess(t *testing.T) {
	d.logEvent("process killed and restarted")
	d.cmd.Process.Kill()
	<-d.done
	d.mu.Lock()
	d.started = time.Now()
	d.mu.Unlock()
	d.noFaultsBefore = d.started.Add(faultSpacing)
	d.run(t, "1")
}

// playRandomTimeline plays the timeline of one seed and returns the violations found.
func playRandomTimeline(t *testing.T, seed uint64) (violations []string) {
	random := rand.New(rand.NewPCG(seed, 45))
	balancers, pushed := []int{1, 30, 300, 900}[random.IntN(4)], random.IntN(4) == 0
	d := &faultTimeline{random: random, seq: 41, loadedSidecar: newLoadedSidecar(t, standin.NoFault, balancers, pushed)}
	d.leaving.onRequest = d.checkRequest
	d.other = standin.NewRegistry(t, standin.NoFault)
	for _, r := range []*standin.Registry{d.registry, d.other} {
		r.SetList(41, encodeList(d.initialList()))
	}
	d.began = time.Now()
	d.started, d.reachableAt = d.began, d.began
	d.startUnderLoad(t, balancers, pushed)
	d.logEvent("%s, seed %d", d.name, seed)
	for end := d.began.Add(timelineDuration); time.Now().Before(end); {
		time.Sleep(time.Duration(300+random.IntN(3500)) * time.Millisecond)
		d.playEvent(t, pushed)
	}
	time.Sleep(settleTime)
	close(d.stop)
	d.cmd.Process.Kill()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, line := range d.events {
		if strings.Contains(line, "VIOLATION") {
			violations = append(violations, line)
		}
	}
	if n := d.leaving.strayRequests.Load(); n > 0 {
		violations = append(violations, fmt.Sprintf("%d requests from the clients of another timeline", n))
	}
	if len(violations) > 0 {
		t.Logf("seed %d:\n%s\n%s", seed, strings.Join(d.events, "\n"), d.log.String())
	}
	return violations
}

// Plays random timelines of discovery faults: watches that break in four ways, calls that fail in eight ways, outages of five kinds,
// older lists, restarts with an old list, moves to another address whose first calls may fail, and pauses of 0.15 s, with changes of
// the list in between. A removed server must get no request later than 6 s after discovery has the removal and is reachable. DRAWN
// sets the number of timelines (300, for example, instead of 4) and DRAWN_SEED the first seed.
func TestRandomDiscoveryFaults(t *testing.T) {
	t.Parallel()
	timelines, first := 4, 1
	if n, err := strconv.Atoi(os.Getenv("DRAWN")); err == nil && n > 0 {
		timelines = n
	}
	if n, err := strconv.Atoi(os.Getenv("DRAWN_SEED")); err == nil {
		first = n
	}
	const parallel = 50
	for n := 0; n < timelines; n += parallel {
		var done sync.WaitGroup
		for i := n; i < min(n+parallel, timelines); i++ {
			done.Go(func() {
				if violations := playRandomTimeline(t, uint64(first+i)); len(violations) > 0 {
					t.Errorf("seed %d: %s and %d more violations", first+i, violations[0], len(violations)-1)
				}
			})
		}
		done.Wait()
	}
}
