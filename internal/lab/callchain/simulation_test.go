package callchain

import (
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"
)

func testConfig(depth int) Config {
	return Config{Depth: depth, Width: 3, Servers: 4, Fault: Errors, FaultStart: 2 * time.Second, RequestsPerSecond: 100, Duration: 12 * time.Second, Seed: 1,
		Pass: PassErrors, MaxAttempts: 4, BudgetRatio: 0.1, BudgetMin: 3, BudgetWindow: 5 * time.Second}
}

func mustRun(t *testing.T, c Config) *Report {
	t.Helper()
	r, err := Run(c)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// faultConfigs are runs of all kinds, few enough for a test.
func faultConfigs() (all []Config) {
	for _, depth := range []int{1, 3, 7} {
		for _, fault := range []Fault{Errors, Slow, Rejected, Crash} {
			for _, share := range []float64{0.1, 0.5, 1} {
				for _, stated := range []bool{true, false} {
					c := testConfig(depth)
					c.Fault, c.FaultShare, c.Seed = fault, share, uint64(len(all))
					if !stated {
						c.BudgetRatio, c.BudgetMin, c.BudgetWindow = 0, 0, 0
					}
					all = append(all, c)
				}
			}
		}
	}
	return all
}

func configName(c Config) string {
	return fmt.Sprintf("%s %g depth %d budget %t", c.Fault, c.FaultShare, c.Depth, c.BudgetWindow > 0)
}

// The same seed gives the same report: no order of a map and no clock has an effect.
func TestSameSeedGivesTheSameCounts(t *testing.T) {
	c := testConfig(5)
	c.FaultShare = 0.3
	first := mustRun(t, c)
	for range 3 {
		if again := mustRun(t, c); !reflect.DeepEqual(first, again) {
			t.Fatalf("%v\nthen %v", first, again)
		}
	}
	c.Seed++
	if other := mustRun(t, c); reflect.DeepEqual(first.Levels, other.Levels) {
		t.Fatalf("another seed gave the same counts: %v", other)
	}
}

// Without faults the simulation itself adds no attempts.
func TestWithoutFaultsNothingIsRetried(t *testing.T) {
	for _, depth := range []int{1, 7} {
		r := mustRun(t, testConfig(depth))
		if r.Requests != 1200 || r.Amplification != 1 || r.SteadyAmplification != 1 || r.WorstAmplification != 1 || r.SteadyServedShare != 1 {
			t.Errorf("depth %d: %v", depth, r)
		}
		for _, l := range r.Levels {
			if l != (Level{Accepted: 1200, Attempts: 1200, Served: 1200}) {
				t.Errorf("depth %d: %+v", depth, l)
			}
		}
	}
}

// No request or attempt is lost, or counted twice.
func TestEveryAcceptedRequestIsAnswered(t *testing.T) {
	for _, c := range faultConfigs() {
		r := mustRun(t, c)
		if !r.GuaranteesMet() || r.Levels[0].Accepted != r.Requests || r.Requests != 1200 {
			t.Errorf("%s: %v", configName(c), r)
		}
		for i, l := range r.Levels {
			if l.Served+l.Rejected+l.Failed != l.Accepted {
				t.Errorf("%s: level %d: not one answer each: %+v", configName(c), i+1, l)
			}
			if l.Attempts != l.Accepted-l.NeverSent+l.Retries || l.Attempts < l.Accepted-l.Rejected-l.Failed {
				t.Errorf("%s: level %d: attempts: %+v", configName(c), i+1, l)
			}
			if i > 0 && l.Accepted != r.Levels[i-1].Attempts-r.Levels[i-1].NotDelivered {
				t.Errorf("%s: level %d took %d of %+v", configName(c), i+1, l.Accepted, r.Levels[i-1])
			}
		}
	}
}

// Balancers stay within their attempt budgets, while some retries are sent.
func TestAttemptsStayWithinTheBudgets(t *testing.T) {
	further := 0
	for _, c := range faultConfigs() {
		if c.BudgetWindow == 0 {
			continue
		}
		r := mustRun(t, c)
		if r.OverBudget > 0 || r.Amplification > r.AmplificationBound || r.WorstAmplification > r.WorstBound {
			t.Errorf("%s: %v", configName(c), r)
		}
		for i, l := range r.Levels {
			windows := math.Ceil(float64(c.Duration+5*time.Second) / float64(c.BudgetWindow))
			if most := c.BudgetRatio*float64(l.Accepted) + windows*c.BudgetMin*float64(c.Width); float64(l.Retries) > most {
				t.Errorf("%s: level %d sent %d retries, %.1f allowed", configName(c), i+1, l.Retries, most)
			}
			further += l.Retries
		}
	}
	if further == 0 {
		t.Error("no retry in any run")
	}
}

// The bound counts each level, its minimum budget and the limit on attempts.
func TestAmplificationBound(t *testing.T) {
	c := testConfig(2) // 1200 requests, 4 windows of 9 further ones
	for _, row := range []struct {
		change func(*Config)
		want   float64
	}{
		{func(*Config) {}, ((1200*1.1+36)*1.1 + 36) / 1200},
		{func(c *Config) { c.BudgetMin = 0 }, 1.1 * 1.1},
		{func(c *Config) { c.MaxAttemptsAbove = 1 }, (1200*1.1 + 36) / 1200},
		{func(c *Config) { c.BudgetRatio, c.BudgetMin, c.BudgetWindow = 0, 0, 0 }, 16},
	} {
		c := c
		row.change(&c)
		if got := c.amplificationBound(1200); math.Abs(got-row.want) > 1e-9 {
			t.Errorf("%+v: %v, want %v", c, got, row.want)
		}
	}
	if got, want := c.worstBound(), (100+(50+9)+(0.1*559+9))/100; math.Abs(got-want) > 1e-9 {
		t.Errorf("worst second: %v, want %v", got, want)
	}
}

// A fault that ends settles, counted from its end.
func TestAFaultThatEndsSettles(t *testing.T) {
	c := testConfig(3)
	c.FaultShare, c.FaultDuration = 1, 3*time.Second
	r := mustRun(t, c)
	if r.SteadyServedShare > 0 || r.SettledMs < 0 || r.ServingMs < 0 || r.ServingMs > 6000 || r.WorstAmplification <= 1.05 {
		t.Error(r)
	}
	c.FaultDuration = 0
	if r := mustRun(t, c); r.SettledMs != -1 || r.ServingMs != -1 {
		t.Error(r)
	}
}

// A failure marked as an invalid request is retried at the deepest level alone.
func TestInvalidRequestIsNotRetriedAbove(t *testing.T) {
	for _, change := range []func(*Config){func(c *Config) { c.Pass = PassInvalidRequest }, func(c *Config) { c.MaxAttemptsAbove = 1 }} {
		c := testConfig(5)
		c.FaultShare = 0.5
		change(&c)
		r := mustRun(t, c)
		for i, l := range r.Levels {
			if deepest := i == c.Depth-1; deepest != (l.Retries > 0) {
				t.Errorf("pass %s, above %d: level %d: %+v", c.Pass, c.MaxAttemptsAbove, i+1, l)
			}
		}
	}
}

// Values out of range are rejected.
func TestOutOfRangeIsRejected(t *testing.T) {
	for i, change := range []func(*Config){
		func(c *Config) { c.Depth = 0 }, func(c *Config) { c.Width = 101 }, func(c *Config) { c.Servers = 0 },
		func(c *Config) { c.FaultShare = 1.1 }, func(c *Config) { c.FaultShare = math.NaN() }, func(c *Config) { c.Fault = "x" },
		func(c *Config) { c.Pass = "" }, func(c *Config) { c.RequestsPerSecond = 0 }, func(c *Config) { c.Duration = time.Second },
		func(c *Config) { c.FaultStart = c.Duration }, func(c *Config) { c.FaultDuration = c.Duration }, func(c *Config) { c.MaxAttempts = 11 },
		func(c *Config) { c.MaxAttemptsAbove = -1 }, func(c *Config) { c.BudgetWindow = 0 }, func(c *Config) { c.RequestsPerSecond, c.Duration = 100_000, time.Hour },
	} {
		c := testConfig(1)
		change(&c)
		if r, err := Run(c); err == nil {
			t.Errorf("change %d passed: %v", i, r)
		}
	}
}
