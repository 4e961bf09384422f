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

// faultConfigs returns configurations with all combinations of depth, fault and share, with and without an attempt budget.
func faultConfigs() (all []Config) {
	for _, depth := range []int{1, 3, 7} {
		for _, fault := range []Fault{Errors, Slow, Rejected, Crash} {
			for _, share := range []float64{0.1, 0.5, 1} {
				for _, withBudget := range []bool{true, false} {
					c := testConfig(depth)
					c.Fault, c.FaultShare, c.Seed = fault, share, uint64(len(all))
					if !withBudget {
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

// Equal seeds give equal reports: neither the order of a map nor a real clock has an effect.
func TestReportDependsOnlyOnConfigAndSeed(t *testing.T) {
	c := testConfig(5)
	c.FaultShare = 0.3
	first := mustRun(t, c)
	for range 3 {
		if again := mustRun(t, c); !reflect.DeepEqual(first, again) {
			t.Fatalf("two runs with equal configurations gave different reports: %v\nand %v", first, again)
		}
	}
	c.Seed++
	if other := mustRun(t, c); reflect.DeepEqual(first.Levels, other.Levels) {
		t.Fatalf("runs with different seeds gave equal counts: %v", other)
	}
}

// Without faults no request is retried: the simulation itself adds no attempts.
func TestNoRetriesWithoutFaults(t *testing.T) {
	for _, depth := range []int{1, 7} {
		r := mustRun(t, testConfig(depth))
		if r.Requests != 1200 || r.Amplification != 1 || r.SteadyAmplification != 1 || r.WorstAmplification != 1 || r.SteadyServedShare != 1 {
			t.Errorf("depth %d: want 1200 requests, all served, and amplification 1, got %v", depth, r)
		}
		for _, l := range r.Levels {
			if l != (Level{Accepted: 1200, Attempts: 1200, Served: 1200}) {
				t.Errorf("depth %d: want 1200 requests accepted, sent once and served at each level, got %+v", depth, l)
			}
		}
	}
}

// No request or attempt is lost or counted twice.
func TestEveryAcceptedRequestIsAnswered(t *testing.T) {
	for _, c := range faultConfigs() {
		r := mustRun(t, c)
		if !r.GuaranteesMet() || r.Levels[0].Accepted != r.Requests || r.Requests != 1200 {
			t.Errorf("%s: want 1200 requests, all accepted, with all guarantees met, got %v", configName(c), r)
		}
		for i, l := range r.Levels {
			if l.Served+l.Rejected+l.Failed != l.Accepted {
				t.Errorf("%s: level %d: served, rejected and failed do not add up to the accepted requests: %+v", configName(c), i+1, l)
			}
			if l.Attempts != l.Accepted-l.NeverSent+l.Retries || l.Attempts < l.Accepted-l.Rejected-l.Failed {
				t.Errorf("%s: level %d: the number of attempts contradicts the other counts: %+v", configName(c), i+1, l)
			}
			if i > 0 && l.Accepted != r.Levels[i-1].Attempts-r.Levels[i-1].NotDelivered {
				t.Errorf("%s: level %d accepted %d requests, want all delivered attempts of the level above: %+v", configName(c), i+1, l.Accepted, r.Levels[i-1])
			}
		}
	}
}

// Balancers send retries, but stay within their attempt budgets.
func TestRetriesStayWithinAttemptBudgets(t *testing.T) {
	retries := 0
	for _, c := range faultConfigs() {
		if c.BudgetWindow == 0 {
			continue
		}
		r := mustRun(t, c)
		if r.OverBudget > 0 || r.Amplification > r.AmplificationBound || r.WorstAmplification > r.WorstBound {
			t.Errorf("%s: attempts exceed the budget or a bound: %v", configName(c), r)
		}
		for i, l := range r.Levels {
			windows := math.Ceil(float64(c.Duration+5*time.Second) / float64(c.BudgetWindow))
			if limit := c.BudgetRatio*float64(l.Accepted) + windows*c.BudgetMin*float64(c.Width); float64(l.Retries) > limit {
				t.Errorf("%s: level %d sent %d retries, want at most %.1f", configName(c), i+1, l.Retries, limit)
			}
			retries += l.Retries
		}
	}
	if retries == 0 {
		t.Error("no run sent a retry, want at least one")
	}
}

// The bounds include the budget ratio and minimum of each level, and the limit on attempts.
func TestAmplificationBound(t *testing.T) {
	c := testConfig(2) // 1200 requests; 4 windows with 9 retries each from the minimum budget
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
			t.Errorf("%+v: bound %v, want %v", c, got, row.want)
		}
	}
	if got, want := c.worstBound(), (100+(50+9)+(0.1*559+9))/100; math.Abs(got-want) > 1e-9 {
		t.Errorf("bound for the worst second: %v, want %v", got, want)
	}
}

// The chain recovers after the end of a fault. Without an end, no recovery time is reported.
func TestChainRecoversAfterFaultEnds(t *testing.T) {
	c := testConfig(3)
	c.FaultShare, c.FaultDuration = 1, 3*time.Second
	r := mustRun(t, c)
	if r.SteadyServedShare > 0 || r.SettledMs < 0 || r.ServingMs < 0 || r.ServingMs > 6000 || r.WorstAmplification <= 1.05 {
		t.Errorf("want no request served during the fault, amplification over 1.05, and recovery within 6000 ms, got %v", r)
	}
	c.FaultDuration = 0
	if r := mustRun(t, c); r.SettledMs != -1 || r.ServingMs != -1 {
		t.Errorf("want settled_ms and serving_ms of -1 for a fault without an end, got %v", r)
	}
}

// Only the deepest level retries a failure that is passed on as an invalid request, or if the levels above may make only one attempt.
func TestOnlyDeepestLevelRetries(t *testing.T) {
	for _, change := range []func(*Config){func(c *Config) { c.Pass = PassInvalidRequest }, func(c *Config) { c.MaxAttemptsAbove = 1 }} {
		c := testConfig(5)
		c.FaultShare = 0.5
		change(&c)
		r := mustRun(t, c)
		for i, l := range r.Levels {
			if deepest := i == c.Depth-1; deepest != (l.Retries > 0) {
				t.Errorf("pass %s, max attempts above %d: want retries only at the deepest level, got at level %d: %+v", c.Pass, c.MaxAttemptsAbove, i+1, l)
			}
		}
	}
}

// Run rejects configurations with a value out of range.
func TestInvalidConfigIsRejected(t *testing.T) {
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
			t.Errorf("change %d: no error for an invalid configuration, got %v", i, r)
		}
	}
}
