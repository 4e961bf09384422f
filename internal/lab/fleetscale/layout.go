package fleetscale

import "fmt"

// member is one member's place.
type member struct {
	name          string
	fleet         int
	real          bool
	ownProcess    bool   // a hollow one with a process of its own
	address       string // where it listens
	linkAddress   string // where the others dial it: a link, or the same
	clientAddress string // of a real one, for clients
}

// fleetLayout is one fleet.
type fleetLayout struct {
	first   int // index of its first member
	members []int
	counted bool
}

// processLayout is the members, or the links, of one process.
type processLayout struct{ members []int }

// layout says who is in which fleet and in which process.
type layout struct {
	members         []member
	fleets          []fleetLayout
	ownProcesses    []processLayout // one member each
	sharedProcesses []processLayout
	linkProcesses   []processLayout
}

// linksPerProcess bounds the links of one process.
const linksPerProcess = 1000

// newLayout makes the layout: the first members are real, those who vote in the first fleet have a process of their own, and a shared process
// has members of the first fleet alone, or whole other fleets as far as they fit.
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
		for len(rest) > 0 { // evenly
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
