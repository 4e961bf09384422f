package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"damsonscale/internal/lab/fleetscale"
)

// scaleCmd measures the cost of the control plane by the number of members. See docs/scale.md.
type scaleCmd struct {
	Once   scaleOnce   `cmd:"" default:"withargs" help:"Measure one size (default)."`
	Sweep  scaleSweep  `cmd:"" help:"Measure several sizes and fit the slopes."`
	Slopes scaleSlopes `cmd:"" help:"Fit the slopes of existing reports."`
	Lists  scaleLists  `cmd:"" help:"Measure an idle sidecar without a fleet, by the length of its endpoint list."`
	Worker scaleWorker `cmd:"" hidden:"" help:"Run hollow members or relays; the other commands start this one."`
}

// scaleFlags are the flags of a run with one size.
type scaleFlags struct {
	Real         int           `help:"Number of real members, each a process of the program; the first members are real." default:"0"`
	CellSize     int           `help:"Number of members of each fleet; 0: one fleet of all members." default:"0"`
	For          time.Duration `help:"Duration of the measurement." default:"20s"`
	Changes      float64       `help:"Settings versions per second, rolled out in each fleet. Members then keep an audit log." default:"0"`
	ListChanges  float64       `help:"Changes of the endpoint list per second." default:"0"`
	Servers      int           `help:"Number of endpoints on the list." default:"6"`
	Lease        time.Duration `help:"Lease time of a member." default:"600ms"`
	Audit        bool          `help:"Members keep an audit log."`
	Fault        string        `help:"Fault after a third of the measurement: none, leader-killed, leader-stopped or list-down." default:"none"`
	MemoryMB     int           `help:"Limit in MB on the resident memory of all processes together, past which the run is stopped; 0: a quarter of the machine's memory." name:"memory-mb" default:"0"`
	PerProcess   int           `help:"Maximum number of hollow members in a shared process." default:"250"`
	CountedCells int           `help:"Number of fleets, from the first, whose frames are counted by relays; 0: none." default:"4"`
	Cores        int           `help:"Number of cores that a shared process may use." default:"2"`
	JSON         string        `help:"Write the results to this file." name:"json" placeholder:"FILE"`
}

// config returns the configuration of a run, and creates its directory.
func (f *scaleFlags) config(p *runner, dir string, hollow int) (fleetscale.Config, error) {
	executable, err := os.Executable()
	if err != nil {
		return fleetscale.Config{}, err
	}
	c := fleetscale.Config{
		Real: f.Real, Hollow: hollow, CellSize: f.CellSize, Duration: f.For, SettingsPerSecond: f.Changes, ListChangesPerSecond: f.ListChanges, Servers: f.Servers,
		Lease: f.Lease, Audit: f.Audit, Fault: f.Fault, MemoryMB: f.MemoryMB, PerProcess: f.PerProcess, CountedCells: f.CountedCells, Cores: f.Cores,
		Binary: p.binary, Dir: dir, Worker: []string{executable, "--binary", p.binary, "scale", "worker"},
	}.Defaults()
	return c, os.MkdirAll(dir, 0o755)
}

type scaleOnce struct {
	scaleFlags
	Hollow int `help:"Number of hollow members, which have no data path and share processes." default:"0"`
}

func (c *scaleOnce) Run(p *runner) error {
	defer p.removeOwnDir()
	conf, err := c.config(p, p.dir, c.Hollow)
	if err != nil {
		return err
	}
	r, err := fleetscale.Run(p.ctx, conf)
	if err != nil {
		return err
	}
	r.Print(os.Stdout)
	return c.writeJSON(r)
}

func (f *scaleFlags) writeJSON(v any) error {
	if f.JSON == "" {
		return nil
	}
	return fleetscale.WriteJSON(f.JSON, v)
}

type scaleSweep struct {
	scaleFlags
	Sizes []int `help:"Numbers of members to measure. The first --real members of each are real." default:"5,20,60,120"`
}

func (c *scaleSweep) Run(p *runner) error {
	defer p.removeOwnDir()
	var all []*fleetscale.Report
	for i, n := range c.Sizes {
		flags := c.scaleFlags
		flags.Real = min(flags.Real, n)
		conf, err := flags.config(p, filepath.Join(p.dir, fmt.Sprint(i)), n-flags.Real)
		if err != nil {
			return err
		}
		r, err := fleetscale.Run(p.ctx, conf)
		if err != nil {
			return fmt.Errorf("%d members: %w", n, err)
		}
		r.Print(os.Stdout)
		if all = append(all, r); c.JSON != "" { // written after each size, so that an error keeps the results so far
			if err := fleetscale.WriteJSON(c.JSON, all); err != nil {
				return err
			}
		}
		p.removeOwnDir()
	}
	slopes, excluded, err := fleetscale.FitSlopes(all)
	if err != nil {
		return err
	}
	fleetscale.PrintSlopes(os.Stdout, slopes, excluded)
	return nil
}

type scaleSlopes struct {
	Files []string `arg:"" type:"existingfile" help:"Files written with --json."`
}

func (c *scaleSlopes) Run(p *runner) error {
	defer p.removeOwnDir()
	all, err := fleetscale.ReadReports(c.Files)
	if err != nil {
		return err
	}
	slopes, excluded, err := fleetscale.FitSlopes(all)
	if err != nil {
		return err
	}
	fleetscale.PrintSlopes(os.Stdout, slopes, excluded)
	return nil
}

type scaleLists struct {
	Sizes   []int         `help:"Numbers of endpoints on the list." default:"6,200,2000,18000"`
	For     time.Duration `help:"Duration of the idle measurement, and of the measurement under changes." default:"20s"`
	Changes float64       `help:"Changes of the endpoint list per second; 0: measure idle only." default:"0"`
	JSON    string        `help:"Write the results to this file." name:"json" placeholder:"FILE"`
}

func (c *scaleLists) Run(p *runner) error {
	defer p.removeOwnDir()
	if err := os.MkdirAll(p.dir, 0o755); err != nil {
		return err
	}
	all, err := fleetscale.MeasureLists(p.ctx, fleetscale.ListsConfig{Sizes: c.Sizes, Duration: c.For, ChangesPerSecond: c.Changes, Binary: p.binary, Dir: p.dir})
	if err != nil {
		return err
	}
	fleetscale.PrintLists(os.Stdout, all)
	if c.JSON == "" {
		return nil
	}
	return fleetscale.WriteJSON(c.JSON, all)
}

type scaleWorker struct{}

func (*scaleWorker) Run(p *runner) error {
	p.removeOwnDir() // it is not used: the directories are in the worker specification
	return fleetscale.WorkerMain()
}
