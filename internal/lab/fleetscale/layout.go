package fleetscale

import "fmt"

// seat is one member's place.
type seat struct {
	name  string
	fleet int
	real  bool
	own   bool   // a hollow one with a process of its own
	at    string // where it listens
	front string // where the others dial it: a link, or the same
	http  string // of a real one, for clients
}

// group is one fleet.
type group struct {
	first   int // index of its first member
	members []int
	counted bool
}

// bundle is the members, or the links, of one process.
type bundle struct{ members []int }

// layout says who is in which fleet and in which process.
type layout struct {
	members []seat
	fleets  []group
	own     []bundle // one member each
	shared  []bundle
	links   []bundle
}

// linksPerProcess bounds the links of one process.
const linksPerProcess = 1000

// lay makes the layout: the first members are real, those who vote in the first fleet have a process of their own, and a shared process
// has members of the first fleet alone, or whole other fleets as far as they fit.
func lay(c *Config) *layout {
	n := c.Real + c.Hollow
	size := c.CellSize
	if size == 0 {
		size = n
	}
	l := &layout{}
	for i := range n {
		at := i / size
		if at == len(l.fleets) {
			l.fleets = append(l.fleets, group{first: i, counted: at < c.CountedCells})
		}
		f := &l.fleets[at]
		f.members = append(f.members, i)
		l.members = append(l.members, seat{
			name: fmt.Sprintf("c%d-%04d", at+1, i-f.first+1), fleet: at, real: i < c.Real,
			own: i >= c.Real && at == 0 && i < votersOf(size),
		})
	}
	for at := range l.fleets {
		var rest []int
		for _, i := range l.fleets[at].members {
			switch m := &l.members[i]; {
			case m.real:
			case m.own:
				l.own = append(l.own, bundle{[]int{i}})
			default:
				rest = append(rest, i)
			}
		}
		last := len(l.shared) - 1
		if at > 1 && last >= 0 && len(l.shared[last].members)+len(rest) <= c.PerProcess {
			l.shared[last].members = append(l.shared[last].members, rest...)
			continue
		}
		for len(rest) > 0 { // evenly
			parts := (len(rest) + c.PerProcess - 1) / c.PerProcess
			k := (len(rest) + parts - 1) / parts
			l.shared = append(l.shared, bundle{rest[:k]})
			rest = rest[k:]
		}
	}
	for at := range l.fleets {
		if !l.fleets[at].counted {
			continue
		}
		for _, i := range l.fleets[at].members {
			if last := len(l.links) - 1; last >= 0 && len(l.links[last].members) < linksPerProcess {
				l.links[last].members = append(l.links[last].members, i)
			} else {
				l.links = append(l.links, bundle{[]int{i}})
			}
		}
	}
	return l
}
