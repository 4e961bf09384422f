package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"damsonscale/internal/lab/callchain"
)

// chainCmd simulates a chain of service calls without starting processes.
type chainCmd struct {
	Depth     int           `help:"Number of services in the chain." default:"7"`
	Width     int           `help:"Number of balancers at each level." default:"6"`
	Servers   int           `help:"Number of servers of each service." default:"6"`
	Fault     string        `help:"Fault at the deepest service: a share of its responses is an error, slow or declined, or a share of its servers crashes." enum:"errors,slow,declined,crash" default:"errors"`
	Fail      float64       `help:"Share of responses or servers that the fault affects, 0 to 1." default:"0.1"`
	FaultFrom time.Duration `help:"Simulated time at which the fault starts." default:"10s"`
	FaultFor  time.Duration `help:"Duration of the fault; 0: until the end." default:"0s"`
	Rate      float64       `help:"Client requests per second." default:"200"`
	For       time.Duration `help:"Simulated time during which clients send requests, in whole seconds." default:"60s"`
	Seed      uint64        `help:"Seed of all random choices." default:"1"`
	Pass      string        `help:"How a service answers its caller after its own call has failed: errors (as an error), refusals (a rejection as a rejection) or marked (as an invalid request, which is not retried)." enum:"errors,refusals,marked" default:"errors"`
	Tries     int           `help:"Maximum number of attempts per request at each level." default:"4"`
	Above     int           `help:"Maximum number of attempts per request at all levels but the deepest; 0: the value of --tries."`
	Budget    bool          `help:"Limit retries by an attempt budget." default:"true" negatable:""`
	Ratio     float64       `help:"Attempt budget: retries allowed per accepted request." default:"0.1"`
	Floor     float64       `help:"Attempt budget: retries allowed per balancer in addition to the ratio." default:"3"`
	Span      time.Duration `help:"Attempt budget: length of the window." default:"10s"`
	AddedP50  time.Duration `name:"added-p50" help:"Latency added by one hop, p50." default:"100us"`
	AddedP99  time.Duration `name:"added-p99" help:"Latency added by one hop, p99." default:"400us"`
	Added     bool          `help:"Compute the latency added by all hops instead of simulating the chain."`
	JSON      string        `help:"Write the report to this file." type:"path"`
}

func (c *chainCmd) Run(*runner) error {
	if c.Added {
		return c.printAddedLatency()
	}
	conf := callchain.Config{
		Depth: c.Depth, Width: c.Width, Servers: c.Servers, Fault: callchain.Fault(c.Fault), FaultShare: c.Fail, FaultStart: c.FaultFrom, FaultDuration: c.FaultFor,
		RequestsPerSecond: c.Rate, Duration: c.For, Seed: c.Seed, Pass: callchain.PassPolicy(c.Pass), MaxAttempts: c.Tries, MaxAttemptsAbove: c.Above,
	}
	if c.Budget {
		conf.BudgetRatio, conf.BudgetMin, conf.BudgetWindow = c.Ratio, c.Floor, c.Span
	}
	r, err := callchain.Run(conf)
	if err != nil {
		return err
	}
	fmt.Println(r)
	if err := c.writeReport(r); err != nil {
		return err
	}
	if !r.GuaranteesMet() {
		return errRuleViolated
	}
	return nil
}

// printAddedLatency computes the latency added by all hops, for two distributions of the latency of one hop.
func (c *chainCmd) printAddedLatency() error {
	if c.Depth < 1 || c.Depth > 20 {
		return fmt.Errorf("--depth: %d is out of range: want 1 to 20", c.Depth)
	}
	p50, p99 := float64(c.AddedP50.Nanoseconds())/1e3, float64(c.AddedP99.Nanoseconds())/1e3
	binWidth, limit := p99/200, 40*p99
	logNormal, err := callchain.LogNormal(p50, p99, binWidth, limit)
	pareto, paretoErr := callchain.Pareto(p50, p99, binWidth, limit)
	if err = errors.Join(err, paretoErr); err != nil {
		return err
	}
	sums := map[string]callchain.AddedLatency{"log-normal": callchain.SumOverHops(logNormal, c.Depth, p50, p99), "pareto": callchain.SumOverHops(pareto, c.Depth, p50, p99)}
	for _, distribution := range []string{"log-normal", "pareto"} {
		fmt.Println(distribution, sums[distribution])
	}
	return c.writeReport(sums)
}

func (c *chainCmd) writeReport(report any) error {
	if c.JSON == "" {
		return nil
	}
	line, err := json.Marshal(report)
	if err != nil {
		return err
	}
	return os.WriteFile(c.JSON, append(line, '\n'), 0o644)
}
