// Command damsonscale-lab tests and measures the program with several processes, simulations and model checks. It exits with 0 if no
// rule was violated, with 1 if a rule was violated, and with 2 if the command failed or was interrupted.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"damsonscale/internal/lab/faultinjection"
	"damsonscale/internal/lab/modelcheck"
	"damsonscale/internal/rollout"
	"damsonscale/internal/takeover"
)

// errRuleViolated is returned after the violation of a rule has been printed. The exit code is 1.
var errRuleViolated = errors.New("a rule was violated")

type commandLine struct {
	Binary string `help:"Path of the damsonscale program." default:"bin/damsonscale" type:"existingfile"`
	Dir    string `help:"Directory for configurations, state and logs. Default: a new directory below the temporary directory." type:"path"`

	Lost     lostCmd     `cmd:"" help:"Kill two processes, pause one, and check the requests in flight."`
	Rollouts rolloutsCmd `cmd:"" help:"Roll out two settings versions one after the other, optionally with a fault."`
	Replay   replayCmd   `cmd:"" help:"Run a timeline from a file."`
	Draw     drawCmd     `cmd:"" help:"Generate a random timeline from a seed and write it to a file."`
	Search   searchCmd   `cmd:"" help:"Run random timelines and keep those that violate a rule."`
	Shrink   shrinkCmd   `cmd:"" help:"Reduce a timeline to a smaller one that still violates a rule."`

	Overhead overheadCmd `cmd:"" help:"Measure the latency that the sidecar adds, by alternating direct calls and calls through it."`
	Scale    scaleCmd    `cmd:"" help:"Measure the cost of the control plane by the number of real and hollow members."`

	Chain chainCmd `cmd:"" help:"Simulate a deep chain of service calls with a fault at its end, and count the attempts per request."`

	Explore exploreCmd `cmd:"" help:"Model-check the custody protocol: search for orders of events that violate a guarantee."`
}

// drawFlags are the flags for random timelines.
type drawFlags struct {
	Seed      uint64 `help:"Seed of the first timeline." default:"1"`
	Processes int    `help:"Number of processes of the program." default:"3"`
	LengthMs  int64  `help:"Length of a timeline in ms." default:"10000"`
	PerSecond int    `help:"Requests per second." default:"100"`
	Fleet     bool   `help:"The processes form a fleet and take over requests from each other." default:"true" negatable:""`
	Audit     bool   `help:"The processes keep an audit log, and operators roll out settings versions."`
}

func (s *drawFlags) draw(seed uint64) *faultinjection.Timeline {
	t := faultinjection.RandomTimeline(seed, s.Processes, s.LengthMs, s.PerSecond, s.Fleet)
	if s.Audit {
		t = faultinjection.WithOperatorSteps(t)
	}
	return t
}

type lostCmd struct {
	Seed  uint64 `help:"Seed of the requests and the response times." default:"1"`
	Fleet bool   `help:"The processes form a fleet and take over requests from each other." default:"true" negatable:""`
}

func (c *lostCmd) Run(p *runner) error {
	return p.playTimeline(faultinjection.KillsAndPause(c.Seed, c.Fleet), p.dir)
}

type rolloutsCmd struct {
	Seed uint64 `help:"Seed of the requests and the response times." default:"1"`
	With string `help:"Fault during the rollouts: none, stopped (a member is paused), cut (a member is cut off), refused (a member rejects a version) or barred (operators exclude two members)." enum:"none,stopped,cut,refused,barred" default:"none"`
}

func (c *rolloutsCmd) Run(p *runner) error {
	return p.playTimeline(faultinjection.Rollouts(c.Seed, c.With), p.dir)
}

type replayCmd struct {
	File  string `arg:"" type:"existingfile"`
	Times int    `help:"Number of runs." default:"1"`
}

func (c *replayCmd) Run(p *runner) error {
	t, err := faultinjection.ReadTimeline(c.File)
	if err != nil {
		return err
	}
	violation := error(nil)
	for i := range c.Times {
		if err := p.playTimeline(t, filepath.Join(p.dir, fmt.Sprint(i))); errors.Is(err, errRuleViolated) {
			violation = err
		} else if err != nil {
			return err
		}
	}
	return violation
}

type drawCmd struct {
	drawFlags
	Out string `help:"Write the timeline to this file." required:""`
}

func (c *drawCmd) Run(*runner) error { return c.draw(c.Seed).Write(c.Out) }

type searchCmd struct {
	drawFlags
	Count int    `help:"Number of timelines." default:"20"`
	Side  int    `help:"Number of timelines that run in parallel." default:"1"`
	Keep  string `help:"Directory for timelines that violate a rule." default:"broken" type:"path"`
}

func (c *searchCmd) Run(p *runner) error {
	seeds := make(chan uint64)
	var mu sync.Mutex
	var all faultinjection.Report
	var kept []string
	var failure error
	inconclusive := 0
	var work sync.WaitGroup
	for range max(1, c.Side) {
		work.Go(func() {
			for seed := range seeds {
				t := c.draw(seed)
				dir := filepath.Join(p.dir, fmt.Sprint(seed))
				r, err := faultinjection.Run(p.ctx, p.setup(dir), t)
				mu.Lock()
				switch {
				case err != nil:
					failure = errors.Join(failure, fmt.Errorf("seed %d: %w", seed, err))
				case !r.Passed() && r.Inconclusive():
					inconclusive++
					fmt.Printf("seed %d: inconclusive: the machine stalled for %d ms; %s\n", seed, max(r.StallMs, r.LateMs), r.Summary())
					r = nil
				case !r.Passed():
					keepDir := filepath.Join(c.Keep, fmt.Sprintf("%d-%d", c.Processes, seed))
					kept = append(kept, keepDir)
					failure = errors.Join(failure, faultinjection.Save(keepDir, t, r))
					fmt.Printf("seed %d: %s\n", seed, r.Summary())
				default:
					os.RemoveAll(dir)
				}
				if r != nil {
					all.Add(r)
				}
				mu.Unlock()
			}
		})
	}
	for i := 0; i < c.Count && p.ctx.Err() == nil; i++ {
		seeds <- c.Seed + uint64(i)
	}
	close(seeds)
	work.Wait()
	fmt.Printf("%s void=%d\n", all.Line(), inconclusive)
	if failure != nil {
		return failure
	}
	if len(kept) > 0 {
		return errRuleViolated
	}
	return p.ctx.Err()
}

type shrinkCmd struct {
	File  string `arg:"" type:"existingfile"`
	Out   string `help:"Write the smaller timeline to this file." required:""`
	Tries int    `help:"Number of runs that a smaller timeline must pass before it counts as free of violations." default:"3"`
}

func (c *shrinkCmd) Run(p *runner) error {
	t, err := faultinjection.ReadTimeline(c.File)
	if err != nil {
		return err
	}
	runs := 0
	smaller, err := faultinjection.Shrink(p.ctx, t, c.Tries, func(t *faultinjection.Timeline) (bool, error) {
		runs++
		r, err := faultinjection.Run(p.ctx, p.setup(filepath.Join(p.dir, fmt.Sprint(runs))), t)
		return err == nil && !r.Passed(), err
	}, func(step string) { fmt.Println(step) })
	return errors.Join(err, smaller.Write(c.Out))
}

type overheadCmd struct {
	PerSecond int           `help:"Calls per second through the sidecar, and direct calls per second." default:"167"`
	For       time.Duration `help:"Duration of the measurement, after a warm-up of 2s." default:"20s"`
	Servers   int           `help:"Number of endpoints on the list." default:"6"`
	Balancers int           `help:"Number of balancers stated in the settings; 0: the number of members." default:"0"`
	Members   int           `help:"Number of members of a fleet with takeover enabled, one of which is called; 0: no fleet." default:"0"`
	Class     string        `help:"Request class: look (safe), make (with an idempotency key) or once (unsafe)." default:"look"`
	ServerMs  int           `help:"Response time of a server in ms." default:"2"`
	Seed      uint64        `help:"Seed of the request IDs." default:"1"`
	Times     int           `help:"Number of runs." default:"1"`
	JSON      string        `help:"Write the reports to this file, one per line." type:"path"`
}

func (c *overheadCmd) Run(p *runner) error {
	var lines []byte
	for i := range c.Times {
		r, err := faultinjection.MeasureOverhead(p.ctx, p.setup(filepath.Join(p.dir, fmt.Sprint(i))), &faultinjection.OverheadConfig{
			PerSecond: c.PerSecond, Duration: c.For, Servers: c.Servers, Balancers: c.Balancers, Members: c.Members, Class: c.Class, ServerMs: c.ServerMs, Seed: c.Seed + uint64(i),
		})
		if err != nil {
			return err
		}
		fmt.Println(r)
		line, err := json.Marshal(r)
		if err != nil {
			return err
		}
		lines = append(append(lines, line...), '\n')
	}
	if c.JSON == "" {
		return nil
	}
	return os.WriteFile(c.JSON, lines, 0o644)
}

type exploreCmd struct {
	Depth int    `help:"Depth of the exhaustive search over the events of one request." default:"5"`
	Seed  uint64 `help:"Seed of the first random walk." default:"1"`
	Count int    `help:"Number of random walks with two requests." default:"10000"`
	Steps int    `help:"Maximum number of steps of a random walk." default:"300"`
	Fence bool   `help:"Search all orders of events of leases and the fence instead; takes about two minutes for 6.5 million states."`
	Cells bool   `help:"Search cells instead, by --count random walks with moves, splits, merges, and directories that are late, down, cut off or duplicated."`
}

// walkCells performs random walks through the model of cells.
func (c *exploreCmd) walkCells(p *runner) error {
	steps, coverage := 0, modelcheck.Coverage{}
	for i := 0; i < c.Count && p.ctx.Err() == nil; i++ {
		seed := c.Seed + uint64(i)
		f := modelcheck.RandomWalkCells(modelcheck.CellsConfigFor(seed), seed, c.Steps)
		steps, coverage = steps+f.States, coverage.Add(f.Coverage)
		if f.Violation != "" {
			fmt.Printf("%s\n%s\nseed=%d\n", f.Violation, strings.Join(f.Trace, "\n"), seed)
			return errRuleViolated
		}
	}
	fmt.Printf("ways=%d steps=%d met=%+v\n", c.Count, steps, coverage)
	return p.ctx.Err()
}

// exhaustFence searches every order of events in the model of leases and the fence.
func (c *exploreCmd) exhaustFence(p *runner) error {
	conf := modelcheck.FenceConfig{
		Members: 1, Commands: []rollout.Kind{rollout.RollOut, rollout.Fence}, LeaderChanges: 1, Restarts: 1, Ticks: 4, LeaseRequests: 2,
	}
	f, err := modelcheck.ExhaustiveFenceSearch(p.ctx, conf)
	if err != nil {
		return err
	}
	fmt.Printf("%v states=%d\n", conf, f.States)
	if f.Violation != "" {
		fmt.Printf("%s\n%s\n", f.Violation, strings.Join(f.Trace, "\n"))
		return errRuleViolated
	}
	return nil
}

func (c *exploreCmd) Run(p *runner) error {
	switch {
	case c.Fence && c.Cells:
		return errors.New("--fence and --cells are mutually exclusive")
	case c.Fence:
		return c.exhaustFence(p)
	case c.Cells:
		return c.walkCells(p)
	}
	printViolation := func(f modelcheck.Result) bool {
		if f.Violation == "" {
			return false
		}
		fmt.Printf("%s\n%s\n", f.Violation, strings.Join(f.Trace, "\n"))
		return true
	}
	for _, strict := range []bool{false, true} {
		conf := modelcheck.TakeoverConfig{Idempotency: []takeover.Idempotency{takeover.NotIdempotent}, Strict: strict, Budget: modelcheck.SmallBudget}
		f, err := modelcheck.ExhaustiveSearch(p.ctx, conf, c.Depth)
		if err != nil {
			return err
		}
		fmt.Printf("depth=%d strict=%t states=%d\n", c.Depth, strict, f.States)
		if printViolation(f) {
			return errRuleViolated
		}
	}
	steps := 0
	for i := 0; i < c.Count && p.ctx.Err() == nil; i++ {
		seed := c.Seed + uint64(i)
		f := modelcheck.RandomWalk(modelcheck.TakeoverConfig{
			Idempotency: []takeover.Idempotency{takeover.NotIdempotent, takeover.IdempotentByKey}, Strict: seed%2 == 0, Budget: modelcheck.LargeBudget,
		}, seed, c.Steps)
		steps += f.States
		if printViolation(f) {
			fmt.Printf("seed=%d\n", seed)
			return errRuleViolated
		}
	}
	fmt.Printf("ways=%d steps=%d\n", c.Count, steps)
	return p.ctx.Err()
}

// runner runs timelines with the common flags.
type runner struct {
	ctx         context.Context
	binary, dir string
	ownsDir     bool // dir was created by this command
}

// removeOwnDir removes the directory if this command has created it, also after an error or an interrupt.
func (p *runner) removeOwnDir() {
	if p.ownsDir {
		os.RemoveAll(p.dir)
	}
}

func (p *runner) setup(dir string) faultinjection.Setup {
	return faultinjection.Setup{Binary: p.binary, Dir: dir}
}

// playTimeline runs a timeline and prints its result.
func (p *runner) playTimeline(t *faultinjection.Timeline, dir string) error {
	r, err := faultinjection.Run(p.ctx, p.setup(dir), t)
	if err != nil {
		return err
	}
	for _, b := range r.Violations {
		fmt.Println(b)
	}
	for _, s := range r.Steps {
		fmt.Println("step:", s)
	}
	for number, ms := range r.RolloutMs {
		fmt.Printf("version %d: %d ms from its rollout to the last request under an older version\n", number, ms)
	}
	if r.PauseReason != "" {
		fmt.Println("held:", r.PauseReason)
	}
	if r.WaitingFor != "" {
		fmt.Println("waits:", r.WaitingFor)
	}
	fmt.Println(r.Line())
	if !r.Passed() {
		return errRuleViolated
	}
	return nil
}

func main() {
	var c commandLine
	k := kong.Parse(&c, kong.Name("damsonscale-lab"), kong.UsageOnError(), kong.Description("Tests and measures sidecars under faults, and checks what became of their requests."))
	os.Exit(run(&c, k))
}

func run(c *commandLine, k *kong.Context) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	binary, err := filepath.Abs(c.Binary)
	dir := c.Dir
	if err == nil && dir == "" {
		dir, err = os.MkdirTemp("", "rig-")
	}
	if err == nil {
		err = k.Run(&runner{ctx: ctx, binary: binary, dir: dir, ownsDir: c.Dir == ""})
	}
	if err == nil && c.Dir == "" {
		err = os.RemoveAll(dir)
	}
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errRuleViolated):
		fmt.Fprintf(os.Stderr, "%v; logs are in %s\n", err, dir)
		return 1
	default:
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
}
