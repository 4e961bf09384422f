// Command damsonscale-lab starts several processes of the program, breaks things between them and judges what became of
// the requests. It exits with 0 where no rule was broken, 1 where one was, 2 where it could not tell.
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

// errBroken is a rule that was broken: told, and the exit is 1.
var errBroken = errors.New("a rule was broken")

type line struct {
	Binary string `help:"The program." default:"bin/damsonscale" type:"existingfile"`
	Dir    string `help:"For configurations, state and logs; a fresh one under the temporary directory if not given." type:"path"`

	Lost     lostCmd     `cmd:"" help:"Two processes killed outright and one stopped: what becomes of work in hand."`
	Rollouts rolloutsCmd `cmd:"" help:"Two versions one after the other, with a member that is stopped or cut off, or with none."`
	Replay   replayCmd   `cmd:"" help:"Play a timeline from a file."`
	Draw     drawCmd     `cmd:"" help:"Draw a timeline from a seed and write it."`
	Search   searchCmd   `cmd:"" help:"Play drawn timelines, and keep those that break a rule."`
	Shrink   shrinkCmd   `cmd:"" help:"Look for a smaller timeline that still breaks a rule."`

	Overhead overheadCmd `cmd:"" help:"What the sidecar adds to a call: the same calls direct and through it, in turn."`
	Scale    scaleCmd    `cmd:"" help:"What control costs by the number of members, real and hollow."`

	Chain chainCmd `cmd:"" help:"A simulated chain of calls, deep, with a fault at its end: how many attempts come of a request."`

	Explore exploreCmd `cmd:"" help:"Look for orders of events that break a promise of custody, without processes."`
}

// shape is what timelines are drawn with.
type shape struct {
	Seed      uint64 `help:"Of the first one." default:"1"`
	Processes int    `help:"Of the program." default:"3"`
	LengthMs  int64  `help:"Of a timeline, ms." default:"10000"`
	PerSecond int    `help:"Requests." default:"100"`
	Fleet     bool   `help:"The processes take work over from each other." default:"true" negatable:""`
	Audit     bool   `help:"They keep account, and operators roll versions out."`
}

func (s *shape) draw(seed uint64) *faultinjection.Timeline {
	t := faultinjection.RandomTimeline(seed, s.Processes, s.LengthMs, s.PerSecond, s.Fleet)
	if s.Audit {
		t = faultinjection.WithOperatorSteps(t)
	}
	return t
}

type lostCmd struct {
	Seed  uint64 `help:"Of the requests and the servers' times." default:"1"`
	Fleet bool   `help:"The processes take work over from each other." default:"true" negatable:""`
}

func (c *lostCmd) Run(p *player) error {
	return p.one(faultinjection.KillsAndPause(c.Seed, c.Fleet), p.dir)
}

type rolloutsCmd struct {
	Seed uint64 `help:"Of the requests and the servers' times." default:"1"`
	With string `help:"What is broken: none, stopped, cut, refused, barred." enum:"none,stopped,cut,refused,barred" default:"none"`
}

func (c *rolloutsCmd) Run(p *player) error {
	return p.one(faultinjection.Rollouts(c.Seed, c.With), p.dir)
}

type replayCmd struct {
	File  string `arg:"" type:"existingfile"`
	Times int    `help:"How often." default:"1"`
}

func (c *replayCmd) Run(p *player) error {
	t, err := faultinjection.ReadTimeline(c.File)
	if err != nil {
		return err
	}
	broken := error(nil)
	for i := range c.Times {
		if err := p.one(t, filepath.Join(p.dir, fmt.Sprint(i))); errors.Is(err, errBroken) {
			broken = err
		} else if err != nil {
			return err
		}
	}
	return broken
}

type drawCmd struct {
	shape
	Out string `help:"File." required:""`
}

func (c *drawCmd) Run(*player) error { return c.draw(c.Seed).Write(c.Out) }

type searchCmd struct {
	shape
	Count int    `help:"Timelines." default:"20"`
	Side  int    `help:"Played side by side." default:"1"`
	Keep  string `help:"Directory for those that break a rule." default:"broken" type:"path"`
}

func (c *searchCmd) Run(p *player) error {
	seeds := make(chan uint64)
	var mu sync.Mutex
	var all faultinjection.Report
	var kept []string
	var fault error
	void := 0
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
					fault = errors.Join(fault, fmt.Errorf("seed %d: %w", seed, err))
				case !r.Passed() && r.Inconclusive():
					void++
					fmt.Printf("seed %d: void: the machine stood still for %d ms; %s\n", seed, r.StallMs, r.Summary())
					r = nil
				case !r.Passed():
					to := filepath.Join(c.Keep, fmt.Sprintf("%d-%d", c.Processes, seed))
					kept = append(kept, to)
					fault = errors.Join(fault, faultinjection.Save(to, t, r))
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
	fmt.Printf("%s void=%d\n", all.Line(), void)
	if fault != nil {
		return fault
	}
	if len(kept) > 0 {
		return errBroken
	}
	return p.ctx.Err()
}

type shrinkCmd struct {
	File  string `arg:"" type:"existingfile"`
	Out   string `help:"File." required:""`
	Tries int    `help:"Runs in which a smaller one has to hold before it counts as whole." default:"3"`
}

func (c *shrinkCmd) Run(p *player) error {
	t, err := faultinjection.ReadTimeline(c.File)
	if err != nil {
		return err
	}
	n := 0
	small, err := faultinjection.Shrink(p.ctx, t, c.Tries, func(t *faultinjection.Timeline) (bool, error) {
		n++
		r, err := faultinjection.Run(p.ctx, p.setup(filepath.Join(p.dir, fmt.Sprint(n))), t)
		return err == nil && !r.Passed(), err
	}, func(step string) { fmt.Println(step) })
	return errors.Join(err, small.Write(c.Out))
}

type overheadCmd struct {
	PerSecond int           `help:"Calls through the sidecar, and as many direct ones." default:"167"`
	For       time.Duration `help:"That counts, after 2s that don't." default:"20s"`
	Servers   int           `help:"That the list names." default:"6"`
	Balancers int           `help:"That the settings tell of; 0: as many as there are members." default:"0"`
	Members   int           `help:"Of a fleet with takeover on, one of which is called; 0: no fleet." default:"0"`
	Class     string        `help:"look (safe), make (keyed) or once (unsafe)." default:"look"`
	ServerMs  int           `help:"That a server needs for an answer." default:"2"`
	Seed      uint64        `help:"Of ids." default:"1"`
	Times     int           `help:"How often." default:"1"`
	JSON      string        `help:"File for the reports, a line each." type:"path"`
}

func (c *overheadCmd) Run(p *player) error {
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
	Depth int    `help:"Of all orders of events of one request." default:"5"`
	Seed  uint64 `help:"Of the first way at random." default:"1"`
	Count int    `help:"Ways at random, of two requests." default:"10000"`
	Steps int    `help:"Of each at most." default:"300"`
	Fence bool   `help:"Look at leases and the fence in a larger world instead: two minutes, 6.5 million states."`
	Cells bool   `help:"Look at cells instead: moves, splits, merges, directories that are late, down, cut off or two; --count ways at random."`
}

// cells goes ways at random through a world of cells.
func (c *exploreCmd) cells(p *player) error {
	steps, met := 0, modelcheck.Coverage{}
	for i := 0; i < c.Count && p.ctx.Err() == nil; i++ {
		seed := c.Seed + uint64(i)
		f := modelcheck.WalkCells(modelcheck.CellsConfigFor(seed), seed, c.Steps)
		steps, met = steps+f.States, met.Add(f.Coverage)
		if f.Violation != "" {
			fmt.Printf("%s\n%s\nseed=%d\n", f.Violation, strings.Join(f.Trace, "\n"), seed)
			return errBroken
		}
	}
	fmt.Printf("ways=%d steps=%d met=%+v\n", c.Count, steps, met)
	return p.ctx.Err()
}

// fences looks at every order of events of leases and versions.
func (c *exploreCmd) fences(p *player) error {
	conf := modelcheck.FenceConfig{
		Members: 1, Commands: []rollout.Kind{rollout.RollOut, rollout.Fence}, LeaderChanges: 1, Restarts: 1, Ticks: 4, LeaseRequests: 2,
	}
	f, err := modelcheck.ExhaustFence(p.ctx, conf)
	if err != nil {
		return err
	}
	fmt.Printf("%v states=%d\n", conf, f.States)
	if f.Violation != "" {
		fmt.Printf("%s\n%s\n", f.Violation, strings.Join(f.Trace, "\n"))
		return errBroken
	}
	return nil
}

func (c *exploreCmd) Run(p *player) error {
	switch {
	case c.Fence && c.Cells:
		return errors.New("--fence and --cells are two searches: give one")
	case c.Fence:
		return c.fences(p)
	case c.Cells:
		return c.cells(p)
	}
	broken := func(f modelcheck.Result) bool {
		if f.Violation == "" {
			return false
		}
		fmt.Printf("%s\n%s\n", f.Violation, strings.Join(f.Trace, "\n"))
		return true
	}
	for _, strict := range []bool{false, true} {
		conf := modelcheck.Config{Idempotency: []takeover.Idempotency{takeover.NotIdempotent}, Strict: strict, Budget: modelcheck.SmallBudget}
		f, err := modelcheck.Exhaust(p.ctx, conf, c.Depth)
		if err != nil {
			return err
		}
		fmt.Printf("depth=%d strict=%t states=%d\n", c.Depth, strict, f.States)
		if broken(f) {
			return errBroken
		}
	}
	steps := 0
	for i := 0; i < c.Count && p.ctx.Err() == nil; i++ {
		seed := c.Seed + uint64(i)
		f := modelcheck.Walk(modelcheck.Config{
			Idempotency: []takeover.Idempotency{takeover.NotIdempotent, takeover.IdempotentByKey}, Strict: seed%2 == 0, Budget: modelcheck.LargeBudget,
		}, seed, c.Steps)
		steps += f.States
		if broken(f) {
			fmt.Printf("seed=%d\n", seed)
			return errBroken
		}
	}
	fmt.Printf("ways=%d steps=%d\n", c.Count, steps)
	return p.ctx.Err()
}

// player plays timelines.
type player struct {
	ctx         context.Context
	binary, dir string
	own         bool // the directory is this run's own
}

// forget removes the run's own directory, also after an error or an interrupt.
func (p *player) forget() {
	if p.own {
		os.RemoveAll(p.dir)
	}
}

func (p *player) setup(dir string) faultinjection.Setup {
	return faultinjection.Setup{Binary: p.binary, Dir: dir}
}

// one plays a timeline and tells what came of it.
func (p *player) one(t *faultinjection.Timeline, dir string) error {
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
		fmt.Printf("version %d: %d ms from its order to the last run under an older one\n", number, ms)
	}
	if r.PauseReason != "" {
		fmt.Println("held:", r.PauseReason)
	}
	if r.WaitingFor != "" {
		fmt.Println("waits:", r.WaitingFor)
	}
	fmt.Println(r.Line())
	if !r.Passed() {
		return errBroken
	}
	return nil
}

func main() {
	var c line
	k := kong.Parse(&c, kong.Name("damsonscale-lab"), kong.UsageOnError(), kong.Description("Plays faults on several sidecars and judges what became of the requests."))
	os.Exit(run(&c, k))
}

func run(c *line, k *kong.Context) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	binary, err := filepath.Abs(c.Binary)
	dir := c.Dir
	if err == nil && dir == "" {
		dir, err = os.MkdirTemp("", "rig-")
	}
	if err == nil {
		err = k.Run(&player{ctx: ctx, binary: binary, dir: dir, own: c.Dir == ""})
	}
	if err == nil && c.Dir == "" {
		err = os.RemoveAll(dir)
	}
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errBroken):
		fmt.Fprintf(os.Stderr, "%v; logs are in %s\n", err, dir)
		return 1
	default:
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
}
