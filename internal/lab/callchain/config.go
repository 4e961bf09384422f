package callchain

import (
	"fmt"
	"time"

	"damsonscale/decide"
)

// Fault is the kind of fault at the deepest service.
type Fault string

// Kinds of faults. FaultShare is a share of responses, with Crash a share of servers.
const (
	Errors   Fault = "errors"   // the server responds with an error after it has done the work
	Slow     Fault = "slow"     // the server responds after any deadline
	Rejected Fault = "declined" // the server rejects the attempt immediately as saturated, without running it
	Crash    Fault = "crash"    // servers refuse connections and remain in the endpoint list
)

// PassPolicy determines how a service answers its caller if its own call failed or was rejected.
type PassPolicy string

// Policies for passing on failures.
const (
	PassErrors         PassPolicy = "errors"   // answers with an error
	PassRejections     PassPolicy = "refusals" // passes on a rejection as a rejection, and a failure as an error
	PassInvalidRequest PassPolicy = "marked"   // answers that the request is invalid, which no caller retries; no real service marks failures this way
)

// Units of time and fixed times of a run, in µs.
const (
	msec                   = int64(1000)
	sec                    = 1000 * msec
	startMicros            = 1000 * sec // start of the simulated clock
	transitMicros          = 300        // network delay between a balancer and a server, in each direction
	deadlineMicros         = 2 * sec    // deadline of a client request
	latencyObjectiveMicros = 400 * msec // at each level
	answerSlackMicros      = 20 * msec  // time after the deadline within which a balancer must answer
	slowAnswerMicros       = 10 * sec   // delay of a slow response, longer than any deadline
)

// maxRequests is the maximum number of client requests in a run.
const maxRequests = 1e7

// Config configures a run. The zero value is invalid.
type Config struct {
	Depth             int           `json:"Depth"`    // number of services in the chain, each called through its own level of balancers, 1 to 20
	Width             int           `json:"Width"`    // number of balancers in each level, 1 to 100
	Servers           int           `json:"Servers"`  // number of servers of each service, 1 to 100
	Fault             Fault         `json:"Fault"`    // kind of fault at the deepest service
	FaultShare        float64       `json:"Share"`    // share of faulty responses, or of crashed servers with Crash, 0 to 1
	FaultStart        time.Duration `json:"From"`     // time from the start of the run to the start of the fault
	FaultDuration     time.Duration `json:"FaultFor"` // 0: until the end of the run
	RequestsPerSecond float64       `json:"Rate"`     // rate of client requests, evenly spaced, at most 100,000, and at most 10 million requests in a run
	Duration          time.Duration `json:"For"`      // time during which clients send requests, 2 s to 1 h in whole seconds
	Seed              uint64        `json:"Seed"`
	Pass              PassPolicy    `json:"Pass"`
	MaxAttempts       int           `json:"Tries"` // maximum number of attempts per request at each level, 1 to 10
	MaxAttemptsAbove  int           `json:"Above"` // maximum number of attempts per request at all levels but the deepest, up to 10; 0: MaxAttempts

	BudgetRatio  float64       `json:"Ratio"` // attempt budget: retries allowed per accepted request in a window
	BudgetMin    float64       `json:"Floor"` // attempt budget: additional retries allowed per balancer and window
	BudgetWindow time.Duration `json:"Span"`  // attempt budget: length of the sliding window; 0: no budget
}

// Validate returns an error for the first invalid value.
func (c *Config) Validate() error {
	switch {
	case c.Depth < 1 || c.Depth > 20:
		return fmt.Errorf("chain: depth %d is out of range: want 1 to 20", c.Depth)
	case c.Width < 1 || c.Width > 100:
		return fmt.Errorf("chain: width %d is out of range: want 1 to 100", c.Width)
	case c.Servers < 1 || c.Servers > 100:
		return fmt.Errorf("chain: number of servers %d is out of range: want 1 to 100", c.Servers)
	case !(c.FaultShare >= 0 && c.FaultShare <= 1):
		return fmt.Errorf("chain: fault share %v is out of range: want 0 to 1", c.FaultShare)
	case c.Fault != Errors && c.Fault != Slow && c.Fault != Rejected && c.Fault != Crash:
		return fmt.Errorf("chain: unknown fault %q", c.Fault)
	case c.Pass != PassErrors && c.Pass != PassRejections && c.Pass != PassInvalidRequest:
		return fmt.Errorf("chain: unknown policy %q for passing on failures", c.Pass)
	case !(c.RequestsPerSecond > 0 && c.RequestsPerSecond <= 100_000):
		return fmt.Errorf("chain: request rate %v is out of range: want more than 0 and at most 100000 per second", c.RequestsPerSecond)
	case c.RequestsPerSecond*c.Duration.Seconds() > maxRequests:
		return fmt.Errorf("chain: %v requests per second for %v exceed the limit of %d requests", c.RequestsPerSecond, c.Duration, int(maxRequests))
	case c.Duration < 2*time.Second || c.Duration > time.Hour || c.Duration%time.Second != 0:
		return fmt.Errorf("chain: duration %v is invalid: want whole seconds from 2s to 1h", c.Duration)
	case c.FaultStart < 0 || c.FaultStart >= c.Duration || c.FaultDuration < 0 || c.FaultStart+c.FaultDuration >= c.Duration && c.FaultDuration > 0:
		return fmt.Errorf("chain: fault with start %v and duration %v does not lie within the run of %v", c.FaultStart, c.FaultDuration, c.Duration)
	case c.MaxAttempts < 1 || c.MaxAttempts > 10 || c.MaxAttemptsAbove < 0 || c.MaxAttemptsAbove > 10:
		return fmt.Errorf("chain: maximum attempts %d, or %d above the deepest level, are out of range: want 1 to 10", c.MaxAttempts, c.MaxAttemptsAbove)
	}
	settings := c.settings(1)
	return settings.Validate()
}

// maxAttempts returns the maximum number of attempts per request at a level.
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
