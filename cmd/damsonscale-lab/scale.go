package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"damsonscale/internal/lab/fleetscale"
)

// scaleCmd measures what control costs by size. docs/scale.md is its page.
type scaleCmd struct {
	Once   scaleOnce   `cmd:"" default:"withargs" help:"Measure one size (this is what scale does by itself)."`
	Sweep  scaleSweep  `cmd:"" help:"Measure several sizes, and draw the slopes."`
	Slopes scaleSlopes `cmd:"" help:"Draw the slopes of reports that were written before."`
	Lists  scaleLists  `cmd:"" help:"Measure one idle sidecar without a fleet, by the length of its list."`
	Worker scaleWorker `cmd:"" hidden:"" help:"A process of hollow members; the others start it."`
}

// scaleFlags are those of one size.
type scaleFlags struct {
	Real         int           `help:"Real processes of the program; the first members are real." default:"0"`
	CellSize     int           `help:"Members of each fleet, where there are to be several; 0: one of all." default:"0"`
	For          time.Duration `help:"Measured." default:"20s"`
	Changes      float64       `help:"Versions of the settings a second, through each fleet's log. Members then keep account." default:"0"`
	ListChanges  float64       `help:"Changes of the list a second." default:"0"`
	Servers      int           `help:"On the list." default:"6"`
	Lease        time.Duration `help:"Of a member." default:"600ms"`
	Audit        bool          `help:"Members keep account."`
	Fault        string        `help:"After a third of the time: none, leader-killed, leader-stopped, list-down." default:"none"`
	MemoryMB     int           `help:"Resident, of all processes together, past which the run ends; 0: a quarter of the machine's." name:"memory-mb" default:"0"`
	PerProcess   int           `help:"Hollow members in a shared process, at most." default:"250"`
	CountedCells int           `help:"Fleets whose links are counted, from the first; 0: none." default:"4"`
	Cores        int           `help:"That a shared process may use at a time." default:"2"`
	JSON         string        `help:"File for the figures." name:"json" placeholder:"FILE"`
}

// conf makes a run's configuration in a directory of its own.
func (f *scaleFlags) conf(p *player, dir string, hollow int) (fleetscale.Config, error) {
	here, err := os.Executable()
	if err != nil {
		return fleetscale.Config{}, err
	}
	c := fleetscale.Config{
		Real: f.Real, Hollow: hollow, CellSize: f.CellSize, Duration: f.For, SettingsPerSecond: f.Changes, ListChangesPerSecond: f.ListChanges, Servers: f.Servers,
		Lease: f.Lease, Audit: f.Audit, Fault: f.Fault, MemoryMB: f.MemoryMB, PerProcess: f.PerProcess, CountedCells: f.CountedCells, Cores: f.Cores,
		Binary: p.binary, Dir: dir, Worker: []string{here, "--binary", p.binary, "scale", "worker"},
	}.Defaults()
	return c, os.MkdirAll(dir, 0o755)
}

type scaleOnce struct {
	scaleFlags
	Hollow int `help:"Hollow members: control without a data path, several in a process." default:"0"`
}

func (c *scaleOnce) Run(p *player) error {
	defer p.forget()
	conf, err := c.conf(p, p.dir, c.Hollow)
	if err != nil {
		return err
	}
	r, err := fleetscale.Run(p.ctx, conf)
	if err != nil {
		return err
	}
	r.Print(os.Stdout)
	return c.write(r)
}

func (f *scaleFlags) write(v any) error {
	if f.JSON == "" {
		return nil
	}
	return fleetscale.WriteJSON(f.JSON, v)
}

type scaleSweep struct {
	scaleFlags
	Sizes []int `help:"Members; as many of them real as --real says, or fewer." default:"5,20,60,120"`
}

func (c *scaleSweep) Run(p *player) error {
	defer p.forget()
	var all []*fleetscale.Report
	for i, n := range c.Sizes {
		one := c.scaleFlags
		one.Real = min(one.Real, n)
		conf, err := one.conf(p, filepath.Join(p.dir, fmt.Sprint(i)), n-one.Real)
		if err != nil {
			return err
		}
		r, err := fleetscale.Run(p.ctx, conf)
		if err != nil {
			return fmt.Errorf("%d members: %w", n, err)
		}
		r.Print(os.Stdout)
		if all = append(all, r); c.JSON != "" { // what was measured is kept, whatever becomes of the rest
			if err := fleetscale.WriteJSON(c.JSON, all); err != nil {
				return err
			}
		}
		p.forget()
	}
	slopes, left, err := fleetscale.FitSlopes(all)
	if err != nil {
		return err
	}
	fleetscale.PrintSlopes(os.Stdout, slopes, left)
	return nil
}

type scaleSlopes struct {
	Files []string `arg:"" type:"existingfile" help:"Of --json."`
}

func (c *scaleSlopes) Run(p *player) error {
	defer p.forget()
	all, err := fleetscale.ReadReports(c.Files)
	if err != nil {
		return err
	}
	slopes, left, err := fleetscale.FitSlopes(all)
	if err != nil {
		return err
	}
	fleetscale.PrintSlopes(os.Stdout, slopes, left)
	return nil
}

type scaleLists struct {
	Sizes   []int         `help:"Servers on the list." default:"6,200,2000,18000"`
	For     time.Duration `help:"Measured, idle and once more under changes." default:"20s"`
	Changes float64       `help:"Of the list, a second." default:"0"`
	JSON    string        `help:"File for the figures." name:"json" placeholder:"FILE"`
}

func (c *scaleLists) Run(p *player) error {
	defer p.forget()
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

func (*scaleWorker) Run(p *player) error {
	p.forget() // it has been told its own
	return fleetscale.WorkerMain()
}
