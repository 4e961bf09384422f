package discovery

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// lastPollOfBurst is when, after lastSynced, the last poll of a burst begins at the latest.
const lastPollOfBurst = StalenessBound - responseTimeReserve

// forEachDraw calls f with a schedule for each of many random sequences, the extremes among them.
func forEachDraw(balancers int, pushed bool, f func(s *pollSchedule)) {
	for seed := range uint64(300) {
		s := &pollSchedule{balancerCount: balancers, fromAgent: pushed, random: rand.New(rand.NewPCG(seed, 1)).Float64}
		if seed < 2 {
			s.random = func() float64 { return float64(seed) * 0.999999 }
		}
		f(s)
	}
}

// pollTimes has a schedule's polls fail or hang one after the other, and returns when each begins.
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

// Whenever and however a watch is lost, three polls begin early enough for the bound, in fleets of up to a thousand; two in any.
func TestABurstFitsIntoTheBound(t *testing.T) {
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
							t.Fatalf("%+v, pushed %v, lost after %v, fails %v: call %d begins after %v", c, pushed, after, fails, c.fit, last)
						}
						if pause := begins[1].Sub(begins[0]); !pushed && pause < time.Duration((1-jitterShare)*float64(minBurstInterval)) {
							t.Fatalf("%+v: %v between two calls", c, pause)
						}
					})
				}
			}
		}
	}
}

// A process that starts with a known list polls twice within the drain grace, with time for the response, and once more soon.
func TestAStartAsksAtOnce(t *testing.T) {
	t0 := time.Now()
	for _, balancers := range []int{1, 300, 18_000} {
		forEachDraw(balancers, false, func(s *pollSchedule) {
			begins := pollTimes(s, t0.Add(s.initialDelay(t0)), true, burstPolls)
			first, second, last := begins[0].Sub(t0), begins[1].Sub(t0), begins[2].Sub(t0)
			if first > maxInitialSpread || second > 1600*time.Millisecond || last > lastPollOfBurst-initialStaleness+time.Millisecond {
				t.Fatalf("%d balancers: calls after %v, %v and %v", balancers, first, second, last)
			}
		})
	}
}

// After a burst two polls begin within any bound, whether they hang or fail.
func TestAfterABurstTwoCallsFit(t *testing.T) {
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
					t.Fatalf("call %d begins %v after the one before", i, pause)
				}
			}
		})
	}
}

// Where connections were refused, the bound begins with the poll that was refused last: of those after it two may fail.
func TestTheBoundBeginsWithTheLastRefusal(t *testing.T) {
	t0 := time.Now()
	forEachDraw(300, false, func(s *pollSchedule) {
		s.onMessage(t0)
		at := t0.Add(s.onWatchLost(t0))
		for range 20 {
			next := at.Add(s.onPollStarted(at))
			if _, changed := s.onPollFailed(at, true); changed {
				t.Fatal("a refusal brings the next call forward")
			}
			at = next
		}
		refused := s.lastPollAt
		begins := pollTimes(s, at, true, 3)
		if last := begins[2].Sub(refused); last > lastPollOfBurst+time.Millisecond {
			t.Fatalf("the third call begins %v after the last refusal", last)
		}
	})
}

// The polls of a fleet whose watches all end or fall silent at one moment are spread: a bounded number in any tenth of a second,
// with four standard deviations added, and after the burst no more than steadyInterval allows.
func TestAFleetIsSpread(t *testing.T) {
	const balancers = 300
	t0 := time.Now()
	for _, c := range []struct {
		name   string
		silent bool
		most   float64 // calls a second
	}{{"ended", false, 330}, {"silent", true, 200}} {
		random := rand.New(rand.NewPCG(7, 7))
		calls := map[int]int{} // by tenth of a second
		for range balancers {
			s := &pollSchedule{balancerCount: balancers, random: random.Float64}
			s.onMessage(t0.Add(-time.Duration(random.Float64() * float64(2*time.Second)))) // its last line
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
			t.Errorf("%s: %d calls in a tenth of a second, %.0f allowed", c.name, worst, limit)
		}
		rate := balancers / ((1 - jitterShare) * steadyInterval.Seconds()) / 10
		if limit := rate + 4*math.Sqrt(rate); float64(late) > limit {
			t.Errorf("%s: %d calls in a tenth of a second after the burst, %.0f allowed", c.name, late, limit)
		}
		t.Logf("%s: at most %d calls in a tenth of a second, %d after the burst", c.name, worst, late)
	}
}
