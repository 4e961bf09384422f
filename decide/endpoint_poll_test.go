package decide

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// After a failed poll the next begins within 4.5 s of its start, however large the fleet and however often it
// failed. That leaves 1.5 s of the 6 s in which a change has to be in force.
func TestNextPollStartsWithinMaxDelay(t *testing.T) {
	for _, balancers := range []int{1, 30, 300, 18_000} {
		for _, waited := range []int64{0, 1000, second, 2_500_000, 4_400_000, 30 * second} {
			for seed := range uint64(50) {
				set := testSettings()
				set.BalancerCount = balancers
				b := New(set, seed, noActions{})
				for b.pollFailures = range 20 {
					wait := b.pollBackoff(waited)
					if wait < minPollSpanMicros/10 || wait > max(minPollSpanMicros, 4_500_000-waited) {
						t.Fatalf("%d balancers, failure %d after %d us: asks in %d us", balancers, b.pollFailures, waited, wait)
					}
				}
			}
		}
	}
}

// A list service that returns to a fleet whose polls all failed at once gets n/(0.9 x delay) calls a second
// at most, or those of its slots, in each window but for chance.
func TestFailedPollsOfAFleetAreSpread(t *testing.T) {
	const window, span = second / 2, 60 * second
	for _, n := range []int{80, 300, 3000} {
		for _, hangs := range []int64{0, 2_500_000} {
			t.Run(fmt.Sprintf("%d hang %d us", n, hangs), func(t *testing.T) {
				set := testSettings()
				set.BalancerCount = n
				var calls [(span + 10*second) / window]int
				for seed := range uint64(n) {
					b := New(set, seed, noActions{})
					for now := b.pollBackoff(0); now < span; {
						calls[now/window]++
						b.pollFailures++
						now += hangs + b.pollBackoff(hangs)
					}
				}
				expected := float64(window) / 0.9 * max(float64(n)/maxPollDelayMicros, 1.0/pollSlotPerBalancerMicros)
				most := expected + 4*math.Sqrt(expected)
				for i, got := range calls[:span/window] {
					if float64(got) > most {
						t.Errorf("%d calls in half a second, at %.1f s; at most %.0f", got, float64(i)/2, most)
					}
				}
			})
		}
	}
}

func TestFailedPollIsRepeatedInTime(t *testing.T) {
	w := newWorkload(t, testSettings(), testEndpoints(1)...)
	asked := w.countActions("watch")
	for range 12 {
		w.timers = nil
		w.b.OnPollFailed(w.now, 0)
		if in := w.timers[0].at - w.now; in <= 0 || in > w.set.Rules.PollInterval/2 {
			t.Errorf("asks again in %d us", in)
		}
		w.advance(5 * second)
	}
	if got := w.countActions("watch") - asked; got != 12 {
		t.Errorf("asked %d times after 12 failures", got)
	}
}

// listService works through polls in turn, also through those that were given up, and rejects polls while its
// queue is full.
type listService struct {
	now     int64
	callers []*pollingHost
	waiting []*pollCall
	worked  float64 // of the first one
}

type pollCall struct {
	from *pollingHost
	at   int64
	dead bool
}

// pollingHost is one balancer's Actions before a listService: only its polls and timers count.
type pollingHost struct {
	noActions
	q      *listService
	b      *Balancer
	timers []pendingTimer
	served int64 // when its call was; 0: not yet
	calls  []int64
}

func (c *pollingHost) SetTimer(in, token int64) {
	c.timers = append(c.timers, pendingTimer{c.q.now + in, token})
}

func (c *pollingHost) WatchEndpoints(bool) {
	c.calls = append(c.calls, c.q.now)
	c.q.waiting = append(c.q.waiting, &pollCall{from: c, at: c.q.now})
}

// run lets time pass before a service that takes so many polls a second and queues so many.
func (q *listService) run(seconds int64, perSecond float64, holds int) {
	const tick, patience = 10_000, 2 * second
	for end := q.now + seconds*second; q.now < end; q.now += tick {
		for _, c := range q.callers {
			due := slices.Clone(c.timers)
			c.timers = slices.DeleteFunc(c.timers, func(a pendingTimer) bool { return a.at <= q.now })
			for _, a := range due {
				if a.at <= q.now {
					c.b.OnTimer(q.now, a.token)
				}
			}
		}
		for i, w := range q.waiting {
			if !w.dead && (i >= holds || q.now-w.at >= patience) {
				w.dead = true
				w.from.b.OnPollFailed(q.now, q.now-w.at)
			}
		}
		q.waiting = q.waiting[:min(holds, len(q.waiting))]
		for q.worked += perSecond * tick / float64(second); q.worked >= 1 && len(q.waiting) > 0; q.worked-- {
			if w := q.waiting[0]; !w.dead {
				w.from.served = q.now
				w.from.b.OnEndpoints(q.now, nil, false)
			}
			q.waiting = q.waiting[1:]
		}
		q.worked = min(q.worked, 1)
	}
}

// 80 balancers that start together are all served: a service of 15 polls a second takes 5.3 s for them if
// none is wasted on a poll that was given up.
func TestFleetThatPollsTogetherIsServed(t *testing.T) {
	for _, known := range [][]Endpoint{testEndpoints(60), nil} {
		q := &listService{now: 1000 * second}
		for i := range 80 {
			set := testSettings()
			set.BalancerCount = 80
			c := &pollingHost{q: q}
			c.b = New(set, uint64(i+1), c)
			c.b.Start(q.now)
			c.b.OnEndpoints(q.now, known, true)
			q.callers = append(q.callers, c)
		}
		start, late, within := q.now, 0, int64(14)
		if len(known) == 0 { // those ask at once, and most in vain
			within = 18
		}
		q.run(20, 15, 80)
		for _, c := range q.callers {
			if c.served == 0 || c.served-start > within*second {
				late++
			}
			if len(known) == 0 && c.calls[0]-start > second/10 {
				t.Errorf("one that knows no server asks after %d us", c.calls[0]-start)
			}
		}
		if late > 0 {
			t.Errorf("%d servers known: %d of 80 balancers have no list after %d s", len(known), late, within)
		}
	}
}
