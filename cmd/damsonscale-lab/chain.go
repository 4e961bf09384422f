package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"damsonscale/internal/lab/callchain"
)

// chainCmd is a simulated chain of calls; it needs no processes.
type chainCmd struct {
	Depth     int           `help:"Services below each other." default:"7"`
	Width     int           `help:"Balancers a level." default:"6"`
	Servers   int           `help:"A service." default:"6"`
	Fault     string        `help:"At the deepest service: errors, slow, declined (shares of answers), crash (of servers)." enum:"errors,slow,declined,crash" default:"errors"`
	Fail      float64       `help:"Share that fails, 0 to 1." default:"0.1"`
	FaultFrom time.Duration `help:"When the fault begins." default:"10s"`
	FaultFor  time.Duration `help:"How long it lasts; 0: to the end." default:"0s"`
	Rate      float64       `help:"Clients' requests a second." default:"200"`
	For       time.Duration `help:"Simulated time that clients send for, whole seconds." default:"60s"`
	Seed      uint64        `help:"Of all that is drawn." default:"1"`
	Pass      string        `help:"How a service tells its caller of a call that came to nothing: errors, refusals, marked." enum:"errors,refusals,marked" default:"errors"`
	Tries     int           `help:"Attempts a request at most at each level." default:"4"`
	Above     int           `help:"The same at all levels but the deepest; 0: as there."`
	Budget    bool          `help:"State a budget of attempts." default:"true" negatable:""`
	Ratio     float64       `help:"Of it: further attempts for each request taken." default:"0.1"`
	Floor     float64       `help:"Of it: further attempts besides, for each balancer." default:"3"`
	Span      time.Duration `help:"Of it: the window." default:"10s"`
	AddedP50  time.Duration `name:"added-p50" help:"That a hop adds at p50." default:"100us"`
	AddedP99  time.Duration `name:"added-p99" help:"That a hop adds at p99." default:"400us"`
	Added     bool          `help:"Reckon the added latency instead of playing the chain."`
	JSON      string        `help:"File for the report." type:"path"`
}

func (c *chainCmd) Run(*player) error {
	if c.Added {
		return c.added()
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
	if err := c.write(r); err != nil {
		return err
	}
	if !r.GuaranteesMet() {
		return errBroken
	}
	return nil
}

// added reckons what the hops add, for two shapes of a hop's latency.
func (c *chainCmd) added() error {
	if c.Depth < 1 || c.Depth > 20 {
		return fmt.Errorf("--depth %d is not within 1 to 20", c.Depth)
	}
	p50, p99 := float64(c.AddedP50.Nanoseconds())/1e3, float64(c.AddedP99.Nanoseconds())/1e3
	bin, most := p99/200, 40*p99
	normal, err := callchain.LogNormal(p50, p99, bin, most)
	heavy, err2 := callchain.Pareto(p50, p99, bin, most)
	if err = errors.Join(err, err2); err != nil {
		return err
	}
	sums := map[string]callchain.AddedLatency{"log-normal": callchain.SumOverHops(normal, c.Depth, p50, p99), "pareto": callchain.SumOverHops(heavy, c.Depth, p50, p99)}
	for _, shape := range []string{"log-normal", "pareto"} {
		fmt.Println(shape, sums[shape])
	}
	return c.write(sums)
}

func (c *chainCmd) write(report any) error {
	if c.JSON == "" {
		return nil
	}
	line, err := json.Marshal(report)
	if err != nil {
		return err
	}
	return os.WriteFile(c.JSON, append(line, '\n'), 0o644)
}
