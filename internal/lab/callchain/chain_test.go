package callchain

import (
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"
)

func conf(depth int) Config {
	return Config{Depth: depth, Width: 3, Servers: 4, Fault: Errors, From: 2 * time.Second, Rate: 100, For: 12 * time.Second, Seed: 1,
		Pass: PassErrors, Tries: 4, Ratio: 0.1, Floor: 3, Span: 5 * time.Second}
}

func play(t *testing.T, c Config) *Report {
	t.Helper()
	r, err := Run(c)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// faults are runs of all kinds, few enough for a test.
func faults() (all []Config) {
	for _, depth := range []int{1, 3, 7} {
		for _, fault := range []Fault{Errors, Slow, Declined, Crash} {
			for _, share := range []float64{0.1, 0.5, 1} {
				for _, stated := range []bool{true, false} {
					c := conf(depth)
					c.Fault, c.Share, c.Seed = fault, share, uint64(len(all))
					if !stated {
						c.Ratio, c.Floor, c.Span = 0, 0, 0
					}
					all = append(all, c)
				}
			}
		}
	}
	return all
}

func name(c Config) string {
	return fmt.Sprintf("%s %g depth %d budget %t", c.Fault, c.Share, c.Depth, c.Span > 0)
}

// Guards against figures that nobody can play again: an order of a map, a clock.
func TestSameSeedGivesTheSameCounts(t *testing.T) {
	c := conf(5)
	c.Share = 0.3
	first := play(t, c)
	for range 3 {
		if again := play(t, c); !reflect.DeepEqual(first, again) {
			t.Fatalf("%v\nthen %v", first, again)
		}
	}
	c.Seed++
	if other := play(t, c); reflect.DeepEqual(first.Levels, other.Levels) {
		t.Fatalf("another seed gave the same counts: %v", other)
	}
}

// Guards against attempts that the simulation itself adds.
func TestNothingFailsNothingIsSentTwice(t *testing.T) {
	for _, depth := range []int{1, 7} {
		r := play(t, conf(depth))
		if r.Requests != 1200 || r.Amplification != 1 || r.Steady != 1 || r.Worst != 1 || r.Served != 1 {
			t.Errorf("depth %d: %v", depth, r)
		}
		for _, l := range r.Levels {
			if l != (Level{Taken: 1200, Attempts: 1200, Served: 1200}) {
				t.Errorf("depth %d: %+v", depth, l)
			}
		}
	}
}

// Guards against requests and attempts that the books lose or count twice.
func TestWhatIsTakenIsSentAndAnswered(t *testing.T) {
	for _, c := range faults() {
		r := play(t, c)
		if !r.Kept() || r.Levels[0].Taken != r.Requests || r.Requests != 1200 {
			t.Errorf("%s: %v", name(c), r)
		}
		for i, l := range r.Levels {
			if l.Served+l.Refused+l.Failed != l.Taken {
				t.Errorf("%s: level %d: not one answer each: %+v", name(c), i+1, l)
			}
			if l.Attempts != l.Taken-l.Unsent+l.Further || l.Attempts < l.Taken-l.Refused-l.Failed {
				t.Errorf("%s: level %d: attempts: %+v", name(c), i+1, l)
			}
			if i > 0 && l.Taken != r.Levels[i-1].Attempts-r.Levels[i-1].Lost {
				t.Errorf("%s: level %d took %d of %+v", name(c), i+1, l.Taken, r.Levels[i-1])
			}
		}
	}
}

// Guards against balancers that send more than their budget, and against a bound that is none since nothing is sent at all.
func TestAttemptsStayWithinTheProductOfTheBudgets(t *testing.T) {
	further := 0
	for _, c := range faults() {
		if c.Span == 0 {
			continue
		}
		r := play(t, c)
		if r.OverBudget > 0 || r.Amplification > r.Product || r.Worst > r.WorstBound {
			t.Errorf("%s: %v", name(c), r)
		}
		for i, l := range r.Levels {
			windows := math.Ceil(float64(c.For+5*time.Second) / float64(c.Span))
			if most := c.Ratio*float64(l.Taken) + windows*c.Floor*float64(c.Width); float64(l.Further) > most {
				t.Errorf("%s: level %d sent %d further attempts, %.1f allowed", name(c), i+1, l.Further, most)
			}
			further += l.Further
		}
	}
	if further == 0 {
		t.Error("no further attempt in any run")
	}
}

// Guards against a bound that leaves out a level, its floor or the limit on attempts.
func TestProductOfTheBudgets(t *testing.T) {
	c := conf(2) // 1200 requests, 4 windows of 9 further ones
	for _, row := range []struct {
		change func(*Config)
		want   float64
	}{
		{func(*Config) {}, ((1200*1.1+36)*1.1 + 36) / 1200},
		{func(c *Config) { c.Floor = 0 }, 1.1 * 1.1},
		{func(c *Config) { c.Above = 1 }, (1200*1.1 + 36) / 1200},
		{func(c *Config) { c.Ratio, c.Floor, c.Span = 0, 0, 0 }, 16},
	} {
		c := c
		row.change(&c)
		if got := c.product(1200); math.Abs(got-row.want) > 1e-9 {
			t.Errorf("%+v: %v, want %v", c, got, row.want)
		}
	}
	if got, want := c.worstBound(), (100+(50+9)+(0.1*559+9))/100; math.Abs(got-want) > 1e-9 {
		t.Errorf("worst second: %v, want %v", got, want)
	}
}

// Guards against a fault that never ends, and a time to settle that is counted from elsewhere.
func TestAFaultThatEndsSettles(t *testing.T) {
	c := conf(3)
	c.Share, c.FaultFor = 1, 3*time.Second
	r := play(t, c)
	if r.Served > 0 || r.SettledMs < 0 || r.ServingMs < 0 || r.ServingMs > 6000 || r.Worst <= 1.05 {
		t.Error(r)
	}
	c.FaultFor = 0
	if r := play(t, c); r.SettledMs != -1 || r.ServingMs != -1 {
		t.Error(r)
	}
}

// Guards against marked failures that are tried again all the same: the deepest level alone may.
func TestAMarkedFailureIsNotTriedAgainAbove(t *testing.T) {
	for _, change := range []func(*Config){func(c *Config) { c.Pass = PassMarked }, func(c *Config) { c.Above = 1 }} {
		c := conf(5)
		c.Share = 0.5
		change(&c)
		r := play(t, c)
		for i, l := range r.Levels {
			if deepest := i == c.Depth-1; deepest != (l.Further > 0) {
				t.Errorf("pass %s, above %d: level %d: %+v", c.Pass, c.Above, i+1, l)
			}
		}
	}
}

// Guards against runs of nonsense.
func TestOutOfRangeIsRefused(t *testing.T) {
	for i, change := range []func(*Config){
		func(c *Config) { c.Depth = 0 }, func(c *Config) { c.Width = 101 }, func(c *Config) { c.Servers = 0 },
		func(c *Config) { c.Share = 1.1 }, func(c *Config) { c.Share = math.NaN() }, func(c *Config) { c.Fault = "x" },
		func(c *Config) { c.Pass = "" }, func(c *Config) { c.Rate = 0 }, func(c *Config) { c.For = time.Second },
		func(c *Config) { c.From = c.For }, func(c *Config) { c.FaultFor = c.For }, func(c *Config) { c.Tries = 11 },
		func(c *Config) { c.Above = -1 }, func(c *Config) { c.Span = 0 }, func(c *Config) { c.Rate, c.For = 100_000, time.Hour },
	} {
		c := conf(1)
		change(&c)
		if r, err := Run(c); err == nil {
			t.Errorf("change %d passed: %v", i, r)
		}
	}
}
