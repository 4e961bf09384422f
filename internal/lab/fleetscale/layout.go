package fleetscale

import "fmt"

// member is the place of a member in the layout.
type member struct {
	name          string
	fleet         int
	real          bool
	ownProcess    bool   // of a hollow member
	address       string // at which the member listens
	linkAddress   string // which the other members dial: that of its relay, or address if there is none
	clientAddress string // at which a real member listens for clients
}

// fleetLayout is the members of one fleet.
type fleetLayout struct {
	first   int // index of its first member
	members []int
	counted bool // frames are counted by relays
}

// processLayout is the members of one process or, for a relay process, the members whose relays it runs.
type processLayout struct{ members []int }

// layout assigns members to fleets and to processes.
type layout struct {
	members         []member
	fleets          []fleetLayout
	ownProcesses    []processLayout // with one hollow member each
	sharedProcesses []processLayout
	linkProcesses   []processLayout
}

// linksPerProcess is the maximum number of members whose relays run in one process.
const linksPerProcess = 1000

// newLayout assigns the members of a run. The first members are real, and each voter of the first fleet has a process of its own. A shared
// process has either members of the first fleet or members of other fleets; a fleet is split only if it exceeds the limit of a process.
func newLayout(c *Config) *layout {
	n := c.Real + c.Hollow
	size := c.CellSize
	if size == 0 {
		size = n
	}
	l := &layout{}
	for i := range n {
		at := i / size
		if at == len(l.fleets) {
			l.fleets = append(l.fleets, fleetLayout{first: i, counted: at < c.CountedCells})
		}
		f := &l.fleets[at]
		f.members = append(f.members, i)
		l.members = append(l.members, member{
			name: fmt.Sprintf("c%d-%04d", at+1, i-f.first+1), fleet: at, real: i < c.Real,
			ownProcess: i >= c.Real && at == 0 && i < votersOf(size),
		})
	}
	for at := range l.fleets {
		var rest []int
		for _, i := range l.fleets[at].members {
			switch m := &l.members[i]; {
			case m.real:
			case m.ownProcess:
				l.ownProcesses = append(l.ownProcesses, processLayout{[]int{i}})
			default:
				rest = append(rest, i)
			}
		}
		last := len(l.sharedProcesses) - 1
		if at > 1 && last >= 0 && len(l.sharedProcesses[last].members)+len(rest) <= c.PerProcess {
			l.sharedProcesses[last].members = append(l.sharedProcesses[last].members, rest...)
			continue
		}
		for len(rest) > 0 { // split evenly
			parts := (len(rest) + c.PerProcess - 1) / c.PerProcess
			k := (len(rest) + parts - 1) / parts
			l.sharedProcesses = append(l.sharedProcesses, processLayout{rest[:k]})
			rest = rest[k:]
		}
	}
	for at := range l.fleets {
		if !l.fleets[at].counted {
			continue
		}
		for _, i := range l.fleets[at].members {
			if last := len(l.linkProcesses) - 1; last >= 0 && len(l.linkProcesses[last].members) < linksPerProcess {
				l.linkProcesses[last].members = append(l.linkProcesses[last].members, i)
			} else {
				l.linkProcesses = append(l.linkProcesses, processLayout{[]int{i}})
			}
		}
	}
	return l
}
