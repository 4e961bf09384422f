package discovery

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// lastPollOfBurst is the latest start of the last poll of a burst, counted from lastSynced.
const lastPollOfBurst = StalenessBound - responseTimeReserve

// forEachDraw calls f with a schedule for each of 300 random sequences, including the lowest and the highest values.
func forEachDraw(balancers int, pushed bool, f func(s *pollSchedule)) {
	for seed := range uint64(300) {
		s := &pollSchedule{balancerCount: balancers, fromAgent: pushed, random: rand.New(rand.NewPCG(seed, 1)).Float64}
		if seed < 2 {
			s.random = func() float64 { return float64(seed) * 0.999999 }
		}
		f(s)
	}
}

// pollTimes returns when each poll of a schedule begins if all polls fail at once (fails) or get no response.
func pollTimes(s *pollSchedule, first time.Time, fails bool, calls int) (begins []time.Time) {
	at := first
	for range calls {
		begins = append(begins, at)
		next := at.Add(s.onPollStarted(at))
		if fails {
			if wait, changed := s.onPollFailed(at, false); changed {
				next = at.Add(wait)
			}
		}
		at = next
	}
	return begins
}

// However a watch is lost, three polls begin early enough for the staleness bound with up to 900 balancers, and two polls with
// any number.
func TestBurstFitsIntoStalenessBound(t *testing.T) {
	t0 := time.Now()
	for _, c := range []struct{ balancers, fit int }{{1, 3}, {30, 3}, {300, 3}, {900, 3}, {3000, 2}, {18_000, 2}, {1_000_000, 2}} {
		for _, pushed := range []bool{false, true} {
			for _, after := range []time.Duration{0, time.Second, 2 * time.Second, quietTimeout} {
				for _, fails := range []bool{false, true} {
					forEachDraw(c.balancers, pushed, func(s *pollSchedule) {
						s.onMessage(t0)
						lost := t0.Add(after)
						begins := pollTimes(s, lost.Add(s.onWatchLost(lost)), fails, c.fit)
						if last := begins[c.fit-1].Sub(t0); last > lastPollOfBurst+time.Millisecond {
							t.Fatalf("%+v, agent %v, lost after %v, fails %v: poll %d begins after %v, want at most %v", c, pushed, after, fails, c.fit, last, lastPollOfBurst)
						}
						if pause := begins[1].Sub(begins[0]); !pushed && pause < time.Duration((1-jitterShare)*float64(minBurstInterval)) {
							t.Fatalf("%+v: %v between two polls, want at least 90%% of %v", c, pause, minBurstInterval)
						}
					})
				}
			}
		}
	}
}

// A process that starts with a known list polls twice within the 2 s in which draining servers accept requests, with time for
// the response, and a third time within the bound.
func TestStartPollsTwiceWithinDrainGrace(t *testing.T) {
	t0 := time.Now()
	for _, balancers := range []int{1, 300, 18_000} {
		forEachDraw(balancers, false, func(s *pollSchedule) {
			begins := pollTimes(s, t0.Add(s.initialDelay(t0)), true, burstPolls)
			first, second, last := begins[0].Sub(t0), begins[1].Sub(t0), begins[2].Sub(t0)
			if first > maxInitialSpread || second > 1600*time.Millisecond || last > lastPollOfBurst-initialStaleness+time.Millisecond {
				t.Fatalf("%d balancers: polls after %v, %v and %v, want at most %v, 1.6 s and %v", balancers, first, second, last, maxInitialSpread, lastPollOfBurst-initialStaleness)
			}
		})
	}
}

// After a burst, two polls begin within any period of the bound's length, whether they fail or get no response.
func TestTwoPollsFitIntoBoundAfterBurst(t *testing.T) {
	t0 := time.Now()
	for _, fails := range []bool{false, true} {
		forEachDraw(300, false, func(s *pollSchedule) {
			s.onMessage(t0)
			begins := pollTimes(s, t0.Add(s.onWatchLost(t0)), fails, 30)
			for i := burstPolls; i < len(begins); i++ {
				pause := begins[i].Sub(begins[i-1])
				least := time.Duration((1 - jitterShare) * float64(steadyInterval))
				if i == burstPolls {
					least = minBurstInterval
				}
				if 2*pause > lastPollOfBurst+300*time.Millisecond || pause < least {
					t.Fatalf("poll %d begins %v after the previous poll, want %v to %v", i, pause, least, (lastPollOfBurst+300*time.Millisecond)/2)
				}
			}
		})
	}
}

// If connections were refused, the bound counts from the last refused poll: three polls begin within it, so two may fail.
func TestBoundCountsFromLastRefusedPoll(t *testing.T) {
	t0 := time.Now()
	forEachDraw(300, false, func(s *pollSchedule) {
		s.onMessage(t0)
		at := t0.Add(s.onWatchLost(t0))
		for range 20 {
			next := at.Add(s.onPollStarted(at))
			if _, changed := s.onPollFailed(at, true); changed {
				t.Fatal("a refused connection rescheduled the next poll")
			}
			at = next
		}
		refused := s.lastPollAt
		begins := pollTimes(s, at, true, 3)
		if last := begins[2].Sub(refused); last > lastPollOfBurst+time.Millisecond {
			t.Fatalf("the third poll begins %v after the last refused poll, want at most %v", last, lastPollOfBurst)
		}
	})
}

// If all watches of a fleet end or fall silent at the same moment, the polls are spread: the number in any tenth of a second is
// bounded (the limit adds four standard deviations), and after the burst it is at most the rate of steadyInterval.
func TestFleetPollsAreSpread(t *testing.T) {
	const balancers = 300
	t0 := time.Now()
	for _, c := range []struct {
		name   string
		silent bool
		most   float64 // polls per second
	}{{"ended", false, 330}, {"silent", true, 200}} {
		random := rand.New(rand.NewPCG(7, 7))
		calls := map[int]int{} // polls by tenth of a second
		for range balancers {
			s := &pollSchedule{balancerCount: balancers, random: random.Float64}
			s.onMessage(t0.Add(-time.Duration(random.Float64() * float64(2*time.Second)))) // time of the last message
			lost := t0
			if c.silent {
				lost = s.lastSynced.Add(quietTimeout)
			}
			for _, at := range pollTimes(s, lost.Add(s.onWatchLost(lost)), true, 12) {
				calls[int(at.Sub(t0)/(100*time.Millisecond))]++
			}
		}
		worst, late := 0, 0
		for tenth, n := range calls {
			worst = max(worst, n)
			if tenth > 80 && tenth < 200 {
				late = max(late, n)
			}
		}
		mean := c.most / 10
		if limit := mean + 4*math.Sqrt(mean); float64(worst) > limit {
			t.Errorf("%s: %d polls in a tenth of a second, want at most %.0f", c.name, worst, limit)
		}
		rate := balancers / ((1 - jitterShare) * steadyInterval.Seconds()) / 10
		if limit := rate + 4*math.Sqrt(rate); float64(late) > limit {
			t.Errorf("%s: %d polls in a tenth of a second after the burst, want at most %.0f", c.name, late, limit)
		}
		t.Logf("%s: at most %d polls in a tenth of a second, %d after the burst", c.name, worst, late)
	}
}
