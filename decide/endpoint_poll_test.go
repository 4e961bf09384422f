package decide

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// After a failed poll the next one starts within 4.5 s of its start, whatever the fleet size and the number
// of failures. That leaves 1.5 s of the 6 s in which a change has to be in force.
func TestNextPollStartsWithinMaxDelay(t *testing.T) {
	for _, balancers := range []int{1, 30, 300, 18_000} {
		for _, waited := range []int64{0, 1000, second, 2_500_000, 4_400_000, 30 * second} {
			for seed := range uint64(50) {
				set := testSettings()
				set.BalancerCount = balancers
				b := New(set, seed, noActions{})
				for b.pollFailures = range 20 {
					delay := b.pollBackoff(waited)
					if delay < minPollSpanMicros/10 || delay > max(minPollSpanMicros, 4_500_000-waited) {
						t.Fatalf("%d balancers, failure %d after %d us: next poll in %d us, want it within 4.5 s of the start of the failed poll", balancers, b.pollFailures, waited, delay)
					}
				}
			}
		}
	}
}

// If all polls of a fleet of n fail at once, the list service gets at most n/(0.9 x delay) polls per second
// afterwards, or the rate of the poll slots, in each window, with an allowance for chance.
func TestRetriedPollsOfFleetAreSpread(t *testing.T) {
	const window, span = second / 2, 60 * second
	for _, n := range []int{80, 300, 3000} {
		for _, pollDuration := range []int64{0, 2_500_000} {
			t.Run(fmt.Sprintf("%d hang %d us", n, pollDuration), func(t *testing.T) {
				set := testSettings()
				set.BalancerCount = n
				var calls [(span + 10*second) / window]int
				for seed := range uint64(n) {
					b := New(set, seed, noActions{})
					for now := b.pollBackoff(0); now < span; {
						calls[now/window]++
						b.pollFailures++
						now += pollDuration + b.pollBackoff(pollDuration)
					}
				}
				expected := float64(window) / 0.9 * max(float64(n)/maxPollDelayMicros, 1.0/pollSlotPerBalancerMicros)
				maxCalls := expected + 4*math.Sqrt(expected)
				for i, got := range calls[:span/window] {
					if float64(got) > maxCalls {
						t.Errorf("%d polls in the half second from %.1f s, want at most %.0f", got, float64(i)/2, maxCalls)
					}
				}
			})
		}
	}
}

func TestFailedPollIsRetriedWithinPollInterval(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(1)...)
	polls := w.countActions("watch")
	for range 12 {
		w.timers = nil
		w.b.OnPollFailed(w.now, 0)
		if delay := w.timers[0].at - w.now; delay <= 0 || delay > w.set.Rules.PollInterval/2 {
			t.Errorf("next poll in %d us, want it within half the poll interval", delay)
		}
		w.advance(5 * second)
	}
	if got := w.countActions("watch") - polls; got != 12 {
		t.Errorf("%d polls after 12 failed polls, want 12", got)
	}
}

// listService answers polls in order, including polls that were abandoned, and rejects polls while its queue
// is full.
type listService struct {
	now      int64
	hosts    []*pollingHost
	pending  []*pollCall
	workDone float64 // share of the first pending poll that is done
}

type pollCall struct {
	host      *pollingHost
	startedAt int64
	abandoned bool
}

// pollingHost is the Actions of one balancer that polls a listService. It handles polls and timers only.
type pollingHost struct {
	noActions
	service   *listService
	balancer  *Balancer
	timers    []pendingTimer
	servedAt  int64 // time of its last answered poll; 0: none
	pollTimes []int64
}

func (c *pollingHost) SetTimer(in, token int64) {
	c.timers = append(c.timers, pendingTimer{c.service.now + in, token})
}

func (c *pollingHost) WatchEndpoints(bool) {
	c.pollTimes = append(c.pollTimes, c.service.now)
	c.service.pending = append(c.service.pending, &pollCall{host: c, startedAt: c.service.now})
}

// run advances time for a service that answers perSecond polls per second and queues up to queueLimit.
func (q *listService) run(seconds int64, perSecond float64, queueLimit int) {
	const tick, callTimeout = 10_000, 2 * second
	for end := q.now + seconds*second; q.now < end; q.now += tick {
		for _, host := range q.hosts {
			due := slices.Clone(host.timers)
			host.timers = slices.DeleteFunc(host.timers, func(a pendingTimer) bool { return a.at <= q.now })
			for _, a := range due {
				if a.at <= q.now {
					host.balancer.OnTimer(q.now, a.token)
				}
			}
		}
		for i, call := range q.pending {
			if !call.abandoned && (i >= queueLimit || q.now-call.startedAt >= callTimeout) {
				call.abandoned = true
				call.host.balancer.OnPollFailed(q.now, q.now-call.startedAt)
			}
		}
		q.pending = q.pending[:min(queueLimit, len(q.pending))]
		for q.workDone += perSecond * tick / float64(second); q.workDone >= 1 && len(q.pending) > 0; q.workDone-- {
			if call := q.pending[0]; !call.abandoned {
				call.host.servedAt = q.now
				call.host.balancer.OnEndpoints(q.now, nil, false)
			}
			q.pending = q.pending[1:]
		}
		q.workDone = min(q.workDone, 1)
	}
}

// 80 balancers that start at the same time all get the list. A service of 15 polls per second takes 5.3 s for
// them if it spends no time on abandoned polls.
func TestBalancersStartedTogetherAllGetEndpointList(t *testing.T) {
	for _, known := range [][]Endpoint{testEndpoints(60), nil} {
		service := &listService{now: 1000 * second}
		for i := range 80 {
			set := testSettings()
			set.BalancerCount = 80
			host := &pollingHost{service: service}
			host.balancer = New(set, uint64(i+1), host)
			host.balancer.Start(service.now)
			host.balancer.OnEndpoints(service.now, known, true)
			service.hosts = append(service.hosts, host)
		}
		start, late, deadlineSeconds := service.now, 0, int64(14)
		if len(known) == 0 { // these poll at once, and most polls fail
			deadlineSeconds = 18
		}
		service.run(20, 15, 80)
		for _, host := range service.hosts {
			if host.servedAt == 0 || host.servedAt-start > deadlineSeconds*second {
				late++
			}
			if len(known) == 0 && host.pollTimes[0]-start > second/10 {
				t.Errorf("first poll of a balancer without endpoints after %d us, want it within 0.1 s", host.pollTimes[0]-start)
			}
		}
		if late > 0 {
			t.Errorf("%d endpoints known at the start: %d of 80 balancers without a list after %d s, want 0", len(known), late, deadlineSeconds)
		}
	}
}
