// Package fleetscale measures how the cost of the control plane depends on the number of fleet members. Real members are processes of
// the program. Hollow members run the program's control packages without a data path, several in one process. The figures come from
// /proc, from relays between the members, from the list service that publishes the endpoint list, and from the events that the members
// report or log, such as the settings versions that they applied. Only hollow members report the endpoint lists that they applied. The
// sidecar does not use this package. docs/scale.md describes the measurements.
package fleetscale

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"syscall"
	"time"
)

// Limits of a run's configuration.
const (
	MaxReal             = 200
	MaxHollow           = 20_000
	MaxFleet            = 1024 // members of one fleet, the limit of the program's options
	MinCell             = 3    // members, for a CellSize other than 0
	MaxCell             = MaxFleet
	MaxServers          = 20_000 // endpoints on the list
	MaxChangesPerSecond = 100.0  // settings versions or list changes per second
	MinDuration         = time.Second
	MaxDuration         = 10 * time.Minute
	MinMemory           = 64 // MB
)

// Faults. A run injects at most one fault, after a third of the measurement.
const (
	NoFault             = "none"
	KillLeader          = "leader-killed"  // the leader of the first fleet is killed by SIGKILL and not restarted
	StopLeader          = "leader-stopped" // the leader of the first fleet is paused by SIGSTOP for leaderPauseDuration
	ListDown            = "list-down"      // the list service refuses connections for listDownDuration
	leaderPauseDuration = 2 * time.Second
	listDownDuration    = 5 * time.Second
	faultTimeDivisor    = 3 // a fault starts after Duration/faultTimeDivisor; a temporary fault lasts at most that long
	maxVoters           = 5 // maximum number of voters in a fleet; each voter of the first fleet has a process of its own
)

// FaultNames are the valid values of Config.Fault.
var FaultNames = []string{NoFault, KillLeader, StopLeader, ListDown}

// Config is the configuration of a run.
type Config struct {
	Real, Hollow         int           // number of members
	CellSize             int           // members of each independent fleet with its own log; 0: one fleet of all members
	Duration             time.Duration // length of the measurement
	SettingsPerSecond    float64       // settings versions that each fleet commits
	ListChangesPerSecond float64       // changes of the endpoint list
	Servers              int           // endpoints on the list
	Lease                time.Duration
	Audit                bool   // members keep an audit log; implied by SettingsPerSecond above 0
	Fault                string // one of FaultNames
	MemoryMB             int    // limit on the resident memory of all processes together, past which the run ends; 0: a quarter of the machine's memory
	PerProcess           int    // limit on the hollow members of a shared process
	CountedCells         int    // the first CountedCells fleets have relays between their members that count frames
	Cores                int    // GOMAXPROCS of a shared process

	Binary string   // path of the program, for real members
	Dir    string   // existing directory for state and logs
	Worker []string // command line of a process that runs WorkerMain
}

// Defaults returns the configuration with the zero fields that have a default set to it: Servers, PerProcess, Cores, Lease, Fault and
// MemoryMB.
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

// Validate returns an error that names the flag of each value out of range.
func (c *Config) Validate() error {
	var all []error
	invalid := func(name, format string, args ...any) {
		all = append(all, fmt.Errorf("--%s: %s", name, fmt.Sprintf(format, args...)))
	}
	checkRange := func(name string, n, low, high int) {
		if n < low || n > high {
			invalid(name, "%d is out of range: want %d to %d", n, low, high)
		}
	}
	checkRate := func(name string, r float64) {
		if !(r >= 0 && r <= MaxChangesPerSecond) {
			invalid(name, "%v is out of range: want 0 to %v per second", r, MaxChangesPerSecond)
		}
	}
	checkRange("real", c.Real, 0, MaxReal)
	checkRange("hollow", c.Hollow, 0, MaxHollow)
	checkRange("servers", c.Servers, 1, MaxServers)
	checkRange("per-process", c.PerProcess, 1, MaxFleet)
	checkRange("counted-cells", c.CountedCells, 0, MaxHollow)
	checkRange("cores", c.Cores, 1, 64)
	checkRate("changes", c.SettingsPerSecond)
	checkRate("list-changes", c.ListChangesPerSecond)
	n := c.Real + c.Hollow
	switch {
	case n == 0:
		invalid("hollow", "no members: both --real and --hollow are 0")
	case c.CellSize == 0 && n > MaxFleet:
		invalid("hollow", "%d members in one fleet, but the program's options allow %d: set --cell-size", n, MaxFleet)
	case c.CellSize != 0 && (c.CellSize < MinCell || c.CellSize > MaxCell):
		invalid("cell-size", "%d is out of range: want %d to %d", c.CellSize, MinCell, MaxCell)
	case c.CellSize != 0 && n%c.CellSize != 0:
		invalid("cell-size", "%d members are not divisible into fleets of %d", n, c.CellSize)
	}
	if c.Duration < MinDuration || c.Duration > MaxDuration {
		invalid("for", "%v is out of range: want %v to %v", c.Duration, MinDuration, MaxDuration)
	}
	if c.Lease < 100*time.Millisecond || c.Lease > 10*time.Second {
		invalid("lease", "%v is out of range: want 100ms to 10s", c.Lease)
	}
	if !slices.Contains(FaultNames, c.Fault) {
		invalid("fault", "%q is unknown: want one of %v", c.Fault, FaultNames)
	}
	if half := int(machineMemory()>>20) / 2; half > 0 && (c.MemoryMB < MinMemory || c.MemoryMB > half) {
		invalid("memory-mb", "%d MB is out of range: want %d to %d MB, half of this machine's memory", c.MemoryMB, MinMemory, half)
	}
	return errors.Join(all...)
}

// ErrResourceEstimate is returned, before any process is started, if a run is expected to need more memory or descriptors than
// allowed.
var ErrResourceEstimate = errors.New("the run needs more resources than allowed")

// Resources that a run is expected to need, rounded up. A connection holds a queue of 1,024 frames and two buffers of 64 KiB. Each
// member of a fleet opens a connection to each voter and has one from the leader, one in the tree that distributes the membership and
// two for the audit log.
const (
	realMB            = 30.0   // per real member
	processMB         = 15.0   // per worker process, and for the measuring process
	connMB            = 0.14   // per connection
	relayedConnMB     = 0.03   // more per connection that passes through a relay
	memberMB          = 0.10   // per member
	memberPairMB      = 0.0006 // per pair of members of a fleet: each member stores the name of each other member in its options and in its membership
	watchMB           = 0.05   // per member, for its watch of the endpoint list
	baseDescriptors   = 64     // per process, without those of its members
	memberDescriptors = 4      // per member, for its listener, its log and its watch among others
	maxTransferPeers  = 40     // approximate number of peers from which a member requests settings content in a run
	connDescriptors   = 2      // per connection, as both ends may be in one process
)

// connections estimates the open connections within a fleet of n members.
func (c *Config) connections(n int) int {
	voters := votersOf(n)
	out := voters*(n-1) + (n - 1) + n
	if c.Audit {
		out += 2 * n
	}
	if c.SettingsPerSecond > 0 { // members request the content of a version from one peer after another
		out += n * min(n-1, maxTransferPeers)
	}
	return out
}

// votersOf returns the number of voters in a fleet of n members: the largest odd number up to n and maxVoters.
func votersOf(n int) int {
	n = min(n, maxVoters)
	return n - (n+1)%2
}

// Estimate returns the expected memory of all processes, in MB, and the expected number of descriptors of the process
// that needs the most.
func (c *Config) Estimate(l *layout) (mb float64, files int) {
	mb = processMB
	for _, f := range l.fleets {
		n := len(f.members)
		mb += float64(c.connections(n))*connMB + float64(n)*(memberMB+watchMB+float64(n)*memberPairMB)
		if f.counted {
			mb += float64(c.connections(n)) * relayedConnMB
		}
	}
	mb += float64(c.Real)*realMB + float64(len(l.sharedProcesses)+len(l.ownProcesses)+len(l.linkProcesses))*processMB
	for _, p := range l.sharedProcesses {
		n := baseDescriptors
		for _, i := range p.members {
			f := l.fleets[l.members[i].fleet]
			n += memberDescriptors + int(math.Ceil(float64(connDescriptors*c.connections(len(f.members)))/float64(len(f.members))))
		}
		files = max(files, n)
	}
	for _, p := range l.ownProcesses {
		f := l.fleets[l.members[p.members[0]].fleet]
		files = max(files, baseDescriptors+memberDescriptors+3*len(f.members))
	}
	for _, p := range l.linkProcesses {
		n := baseDescriptors
		for _, i := range p.members {
			f := l.fleets[l.members[i].fleet]
			n += 1 + int(math.Ceil(2*float64(c.connections(len(f.members)))/float64(len(f.members))))
			if i-f.first < maxVoters { // all members dial the voters
				n += 2 * len(f.members)
			}
		}
		files = max(files, n)
	}
	return mb, max(files, baseDescriptors+c.Real+c.Hollow)
}

// checkResources returns an error if the run is expected to exceed the memory limit or the descriptor limit.
func (c *Config) checkResources(l *layout) error {
	mb, files := c.Estimate(l)
	if mb > float64(c.MemoryMB) {
		return fmt.Errorf("%w: --hollow: about %.0f MB are expected, but --memory-mb allows %d; each connection between members takes about %.2f MB", ErrResourceEstimate,
			mb, c.MemoryMB, connMB)
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if uint64(files) > limit.Cur {
		return fmt.Errorf("%w: --per-process: about %d descriptors are expected in one process, but the system allows %d", ErrResourceEstimate, files, limit.Cur)
	}
	return nil
}
