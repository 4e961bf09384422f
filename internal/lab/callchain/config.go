package callchain

import (
	"fmt"
	"time"

	"damsonscale/decide"
)

// Fault is what goes wrong at the deepest service.
type Fault string

// Faults. Their share is one of answers, with Crash one of servers.
const (
	Errors   Fault = "errors"   // answered as failed, after the work
	Slow     Fault = "slow"     // no answer within any deadline
	Rejected Fault = "declined" // rejected at once, saturated
	Crash    Fault = "crash"    // servers refuse connections, and stay in the endpoint list
)

// PassPolicy is how a service answers its caller when its own call failed or was rejected.
type PassPolicy string

// Policies.
const (
	PassErrors         PassPolicy = "errors"   // as an error
	PassRejections     PassPolicy = "refusals" // a rejection as a rejection, a failure as an error
	PassInvalidRequest PassPolicy = "marked"   // as an invalid request, which no caller retries; no real service marks failures so
)

// Units and fixed times of a run, in µs.
const (
	msec                   = int64(1000)
	sec                    = 1000 * msec
	startMicros            = 1000 * sec // of the simulated clock
	transitMicros          = 300        // from a balancer to a server, and as much back
	deadlineMicros         = 2 * sec    // of a client
	latencyObjectiveMicros = 400 * msec // at each level
	answerSlackMicros      = 20 * msec
	slowAnswerMicros       = 10 * sec // past any deadline
)

// maxRequests bounds the clients' requests of a run.
const maxRequests = 1e7

// Config configures a run. Its zero value is not valid.
type Config struct {
	Depth             int           `json:"Depth"`    // services below each other, 1 to 20; each is called through a level of balancers
	Width             int           `json:"Width"`    // balancers of a level, 1 to 100
	Servers           int           `json:"Servers"`  // of a service, 1 to 100
	Fault             Fault         `json:"Fault"`    // at the deepest service
	FaultShare        float64       `json:"Share"`    // of answers, or of servers with Crash, 0 to 1
	FaultStart        time.Duration `json:"From"`     // since the first request
	FaultDuration     time.Duration `json:"FaultFor"` // 0: to the end
	RequestsPerSecond float64       `json:"Rate"`     // of clients, evenly spaced, up to 100,000, and 10 million in all
	Duration          time.Duration `json:"For"`      // that clients send, 2 s to 1 h, whole seconds
	Seed              uint64        `json:"Seed"`
	Pass              PassPolicy    `json:"Pass"`
	MaxAttempts       int           `json:"Tries"` // of a request, at each level, 1 to 10
	MaxAttemptsAbove  int           `json:"Above"` // the same at all levels but the deepest; 0: MaxAttempts

	BudgetRatio  float64       `json:"Ratio"` // attempt budget: retries for each accepted request
	BudgetMin    float64       `json:"Floor"` // and besides, for each balancer
	BudgetWindow time.Duration `json:"Span"`  // in any window of this length; 0: there is no budget
}

// Validate returns an error that names the first value that is out of range.
func (c *Config) Validate() error {
	switch {
	case c.Depth < 1 || c.Depth > 20:
		return fmt.Errorf("chain: depth %d is not within 1 to 20", c.Depth)
	case c.Width < 1 || c.Width > 100:
		return fmt.Errorf("chain: width %d is not within 1 to 100", c.Width)
	case c.Servers < 1 || c.Servers > 100:
		return fmt.Errorf("chain: %d servers are not within 1 to 100", c.Servers)
	case !(c.FaultShare >= 0 && c.FaultShare <= 1):
		return fmt.Errorf("chain: share %v is not within 0 to 1", c.FaultShare)
	case c.Fault != Errors && c.Fault != Slow && c.Fault != Rejected && c.Fault != Crash:
		return fmt.Errorf("chain: unknown fault %q", c.Fault)
	case c.Pass != PassErrors && c.Pass != PassRejections && c.Pass != PassInvalidRequest:
		return fmt.Errorf("chain: unknown way %q to pass a failure on", c.Pass)
	case !(c.RequestsPerSecond > 0 && c.RequestsPerSecond <= 100_000):
		return fmt.Errorf("chain: rate %v is not within 0 to 100000", c.RequestsPerSecond)
	case c.RequestsPerSecond*c.Duration.Seconds() > maxRequests:
		return fmt.Errorf("chain: %v requests a second for %v are more than %d in all", c.RequestsPerSecond, c.Duration, int(maxRequests))
	case c.Duration < 2*time.Second || c.Duration > time.Hour || c.Duration%time.Second != 0:
		return fmt.Errorf("chain: %v is not whole seconds within 2s to 1h", c.Duration)
	case c.FaultStart < 0 || c.FaultStart >= c.Duration || c.FaultDuration < 0 || c.FaultStart+c.FaultDuration >= c.Duration && c.FaultDuration > 0:
		return fmt.Errorf("chain: a fault from %v for %v is not within %v", c.FaultStart, c.FaultDuration, c.Duration)
	case c.MaxAttempts < 1 || c.MaxAttempts > 10 || c.MaxAttemptsAbove < 0 || c.MaxAttemptsAbove > 10:
		return fmt.Errorf("chain: %d and %d attempts are not within 1 to 10", c.MaxAttempts, c.MaxAttemptsAbove)
	}
	settings := c.settings(1)
	return settings.Validate()
}

// maxAttempts returns how many attempts a balancer of a level may make for a request.
func (c *Config) maxAttempts(level int) int {
	if level < c.Depth && c.MaxAttemptsAbove > 0 {
		return c.MaxAttemptsAbove
	}
	return c.MaxAttempts
}

// settings returns the settings of the balancers of a level.
func (c *Config) settings(level int) decide.Settings {
	return decide.Settings{
		Classes: []decide.Class{{
			Name: "call", LatencyObjective: latencyObjectiveMicros, Deadline: deadlineMicros, PriorityWeight: 1, LateValueShare: 0.3,
			Semantics: decide.Idempotent,
		}},
		Rules: decide.Rules{
			AnswerSlack: answerSlackMicros, PollInterval: 10 * sec, DrainGrace: sec, SlowStartMinShare: 1, OverloadFactor: 3, OverloadWindow: 2 * sec,
			AttemptBudgetMin: c.BudgetMin, AttemptBudgetRatio: c.BudgetRatio, AttemptBudgetWindow: c.BudgetWindow.Microseconds(),
		},
		Objective:       decide.ServiceObjective{Overall: 1},
		Limits:          decide.Limits{MaxAttempts: c.maxAttempts(level)},
		BalancerCount:   c.Width,
		EndpointsPushed: true,
	}
}
