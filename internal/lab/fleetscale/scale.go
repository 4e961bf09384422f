// Package fleetscale measures what control costs by the number of members: real processes of the program beside hollow members, which
// run the program's own packages of control without a data path, several in a process. All figures are taken from outside: of
// /proc, of links between the members, of the list service's own counts and of when a version or a list was seen in force.
// It is no part of the sidecar. docs/scale.md is its page.
package fleetscale

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"syscall"
	"time"
)

// Bounds of a run.
const (
	MaxReal             = 200
	MaxHollow           = 20_000
	MaxFleet            = 1024 // members, as the program's options have it
	MinCell             = 3
	MaxCell             = MaxFleet
	MaxServers          = 20_000
	MaxChangesPerSecond = 100.0 // changes a second, of either kind
	MinDuration         = time.Second
	MaxDuration         = 10 * time.Minute
	MinMemory           = 64 // MB
)

// Faults that a run may have, once, after a third of its time.
const (
	NoFault          = "none"
	KillLeader       = "leader-killed"  // outright, and not started again
	StopLeader       = "leader-stopped" // for pauseDuration
	ListDown         = "list-down"      // the list service refuses for listDownDuration
	pauseDuration    = 2 * time.Second
	listDownDuration = 5 * time.Second
	faultAfterShare  = 3
	voterProcs       = 5 // members of the first fleet that have a process of their own, at most: those who vote
)

// FaultNames are those that may be asked for.
var FaultNames = []string{NoFault, KillLeader, StopLeader, ListDown}

// Config is a run.
type Config struct {
	Real, Hollow         int           // members
	CellSize             int           // of independent fleets, each with its own log; 0: all are one
	Duration             time.Duration // measured
	SettingsPerSecond    float64       // versions of the settings a second, through each fleet's log
	ListChangesPerSecond float64       // of the list, a second
	Servers              int           // on the list
	Lease                time.Duration
	Audit                bool   // members keep account; so they do with Changes
	Fault                string // by name
	MemoryMB             int    // resident, of all processes together: past it the run ends; 0: a quarter of the machine's
	PerProcess           int    // hollow members in a shared process, at most
	CountedCells         int    // the first fleets, whose links are counted
	Cores                int    // that a shared process may use at a time

	Binary string   // of the program, for real members
	Dir    string   // for state and logs, which exists
	Worker []string // command of a process that runs WorkerMain
}

// Defaults fills in what was not given.
func (c Config) Defaults() Config {
	set := func(p *int, n int) {
		if *p == 0 {
			*p = n
		}
	}
	set(&c.Servers, 6)
	set(&c.PerProcess, 250)
	set(&c.Cores, 2)
	if c.Lease == 0 {
		c.Lease = 600 * time.Millisecond
	}
	if c.Fault == "" {
		c.Fault = NoFault
	}
	if c.MemoryMB == 0 {
		c.MemoryMB = max(MinMemory, int(machineMemory()>>20)/4)
	}
	return c
}

// Validate refuses what is out of range, by the name of its argument.
func (c *Config) Validate() error {
	var all []error
	wrong := func(name, format string, args ...any) {
		all = append(all, fmt.Errorf("--%s: %s", name, fmt.Sprintf(format, args...)))
	}
	within := func(name string, n, least, most int) {
		if n < least || n > most {
			wrong(name, "%d is not within %d to %d", n, least, most)
		}
	}
	rate := func(name string, r float64) {
		if !(r >= 0 && r <= MaxChangesPerSecond) {
			wrong(name, "%v is not within 0 to %v a second", r, MaxChangesPerSecond)
		}
	}
	within("real", c.Real, 0, MaxReal)
	within("hollow", c.Hollow, 0, MaxHollow)
	within("servers", c.Servers, 1, MaxServers)
	within("per-process", c.PerProcess, 1, MaxFleet)
	within("counted-cells", c.CountedCells, 0, MaxHollow)
	within("cores", c.Cores, 1, 64)
	rate("changes", c.SettingsPerSecond)
	rate("list-changes", c.ListChangesPerSecond)
	n := c.Real + c.Hollow
	switch {
	case n == 0:
		wrong("hollow", "no members: neither real nor hollow ones")
	case c.CellSize == 0 && n > MaxFleet:
		wrong("hollow", "%d members in one fleet, the program's options allow %d: give --cell-size", n, MaxFleet)
	case c.CellSize != 0 && (c.CellSize < MinCell || c.CellSize > MaxCell):
		wrong("cell-size", "%d is not within %d to %d", c.CellSize, MinCell, MaxCell)
	case c.CellSize != 0 && n%c.CellSize != 0:
		wrong("cell-size", "%d members are no whole number of fleets of %d", n, c.CellSize)
	}
	if c.Duration < MinDuration || c.Duration > MaxDuration {
		wrong("for", "%v is not within %v to %v", c.Duration, MinDuration, MaxDuration)
	}
	if c.Lease < 100*time.Millisecond || c.Lease > 10*time.Second {
		wrong("lease", "%v is not within 100ms to 10s", c.Lease)
	}
	if !slices.Contains(FaultNames, c.Fault) {
		wrong("fault", "%q is none of %v", c.Fault, FaultNames)
	}
	if half := int(machineMemory()>>20) / 2; half > 0 && (c.MemoryMB < MinMemory || c.MemoryMB > half) {
		wrong("memory-mb", "%d is not within %d to half of this machine's, %d", c.MemoryMB, MinMemory, half)
	}
	return errors.Join(all...)
}

// ErrNoRoom tells that a run would not fit, before anything was started.
var ErrResourceEstimate = errors.New("does not fit")

// What a run is expected to take: from runs, and more rather than less. A connection holds a queue of 1,024 frames and two buffers of 64
// KiB; a member of a fleet opens one to each who votes, and has one from its leader, one in the tree of rosters and two for its account.
const (
	realMB       = 30.0
	processMB    = 15.0
	linkMB       = 0.14
	relayMB      = 0.03
	memberMB     = 0.10
	perNameMB    = 0.0006 // of a static list of names and a roster, for each member of each
	watchMB      = 0.05
	descriptors  = 64 // of a process, beside its members'
	memberFiles  = 4  // a listener, a log, a watch
	askedMost    = 40 // others that a member has asked for a version's bytes within a run, more or less
	perConnFiles = 2  // both ends in one process
)

// conns is how many connections a fleet of n holds.
func (c *Config) conns(n int) int {
	voters := votersOf(n)
	out := voters*(n-1) + (n - 1) + n
	if c.Audit {
		out += 2 * n
	}
	if c.SettingsPerSecond > 0 { // each asks one after the other for a version's bytes
		out += n * min(n-1, askedMost)
	}
	return out
}

// votersOf is how many of n members keep a fleet's log.
func votersOf(n int) int {
	n = min(n, voterProcs)
	return n - (n+1)%2
}

// Estimate tells what the run is expected to take: MB of all processes, and descriptors of the largest one.
func (c *Config) Estimate(l *layout) (mb float64, files int) {
	mb = processMB
	for _, f := range l.fleets {
		n := len(f.members)
		mb += float64(c.conns(n))*linkMB + float64(n)*(memberMB+watchMB+float64(n)*perNameMB)
		if f.counted {
			mb += float64(c.conns(n)) * relayMB
		}
	}
	mb += float64(c.Real)*realMB + float64(len(l.sharedProcesses)+len(l.ownProcesses)+len(l.linkProcesses))*processMB
	for _, p := range l.sharedProcesses {
		n := descriptors
		for _, i := range p.members {
			f := l.fleets[l.members[i].fleet]
			n += memberFiles + int(math.Ceil(float64(perConnFiles*c.conns(len(f.members)))/float64(len(f.members))))
		}
		files = max(files, n)
	}
	for _, p := range l.ownProcesses {
		f := l.fleets[l.members[p.members[0]].fleet]
		files = max(files, descriptors+memberFiles+3*len(f.members))
	}
	for _, p := range l.linkProcesses {
		n := descriptors
		for _, i := range p.members {
			f := l.fleets[l.members[i].fleet]
			n += 1 + int(math.Ceil(2*float64(c.conns(len(f.members)))/float64(len(f.members))))
			if i-f.first < voterProcs { // all dial those who vote
				n += 2 * len(f.members)
			}
		}
		files = max(files, n)
	}
	return mb, max(files, descriptors+c.Real+c.Hollow)
}

// fits refuses a run that would not fit.
func (c *Config) fits(l *layout) error {
	mb, files := c.Estimate(l)
	if mb > float64(c.MemoryMB) {
		return fmt.Errorf("%w: --hollow: some %.0f MB are expected, --memory-mb allows %d: each connection between members holds about %.2f MB", ErrResourceEstimate,
			mb, c.MemoryMB, linkMB)
	}
	var most syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &most); err != nil {
		return err
	}
	if uint64(files) > most.Cur {
		return fmt.Errorf("%w: --per-process: some %d descriptors are expected in one process, the system allows %d", ErrResourceEstimate, files, most.Cur)
	}
	return nil
}
