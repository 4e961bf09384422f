package cells

import (
	"cmp"
	"slices"
)

// SizeLimits bound a cell's size.
type SizeLimits struct{ Min, Target, Max int }

// DefaultSizeLimits keep a leader under 3.7% of a core: docs/cells.md.
var DefaultSizeLimits = SizeLimits{Min: 10, Target: 24, Max: 30}

// Group is a cell as a plan sees it: its names by zone.
type Group struct {
	ID    ID
	Slots []MemberSlot
}

// Action is one step of a plan: a Move, a Split or a Merge, which become commands.
type Action struct {
	Kind     CommandKind
	Name     string // with Move
	SwapName string // with Move: goes the other way, since the sizes allow no more; empty: none does
	From     ID
	To       ID       // with Move and Merge
	Names    []string // with Split: those of the first half
}

func (g *Group) in(zone string) (n int) {
	for _, s := range g.Slots {
		if s.Zone == zone {
			n++
		}
	}
	return n
}

// zonesOf lists the zones of some groups.
func zonesOf(all []Group) (out []string) {
	for _, g := range all {
		for _, s := range g.Slots {
			out = append(out, s.Zone)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// PlaceMember finds the cell for a new name of a zone: the one with the fewest of that zone, of these the smallest. 0: none has room.
func PlaceMember(all []Group, zone string, l SizeLimits) ID {
	best := -1
	for i := range all {
		if len(all[i].Slots) >= l.Max {
			continue
		}
		if best < 0 || cmp.Or(cmp.Compare(all[i].in(zone), all[best].in(zone)), cmp.Compare(len(all[i].Slots), len(all[best].Slots)),
			cmp.Compare(all[i].ID, all[best].ID)) < 0 {
			best = i
		}
	}
	if best < 0 {
		return 0
	}
	return all[best].ID
}

// NextAction is the first thing to do to bring a region's cells within the limits and over its zones; false: nothing is. It changes as
// few assignments as it can: what fits stays where it is.
func NextAction(all []Group, l SizeLimits) (Action, bool) {
	if len(all) == 0 {
		return Action{}, false
	}
	sorted := slices.Clone(all)
	slices.SortFunc(sorted, func(a, b Group) int { return cmp.Or(cmp.Compare(len(a.Slots), len(b.Slots)), cmp.Compare(a.ID, b.ID)) })
	small, large := &sorted[0], &sorted[len(sorted)-1]
	switch {
	case len(large.Slots) >= l.Max && len(large.Slots) >= 2*l.Min:
		return Action{Kind: Split, From: large.ID, Names: half(large)}, true
	case len(small.Slots) == 0 || len(small.Slots) >= l.Min || len(sorted) < 2:
	case len(small.Slots)+len(sorted[1].Slots) < l.Max:
		return Action{Kind: Merge, From: small.ID, To: sorted[1].ID}, true
	case len(large.Slots) > l.Min:
		return Action{Kind: Move, Name: spare(large, small), From: large.ID, To: small.ID}, true
	}
	return spread(sorted, l)
}

// half are the names of one of two halves that have the same share of each zone.
func half(g *Group) (out []string) {
	seats := slices.Clone(g.Slots)
	slices.SortFunc(seats, func(a, b MemberSlot) int { return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name)) })
	for i := 0; i < len(seats); i += 2 {
		out = append(out, seats[i].Name)
	}
	return out
}

// spare is the name that a cell can best give to another: of the zone where it has most more than that one.
func spare(from, to *Group) string {
	best, most := "", 0
	for _, z := range zonesOf([]Group{*from}) {
		if n := 2*from.in(z) - to.in(z); from.in(z) > 0 && n > most {
			best, most = z, n
		}
	}
	return first(from, best)
}

func first(g *Group, zone string) string {
	name := ""
	for _, s := range g.Slots {
		if s.Zone == zone && (name == "" || s.Name < name) {
			name = s.Name
		}
	}
	return name
}

// spread gives a cell that lacks a zone one of it, from the cell that has most of them.
func spread(all []Group, l SizeLimits) (Action, bool) {
	zones := zonesOf(all)
	if len(zones) < 3 {
		return Action{}, false
	}
	for i := range all {
		g := &all[i]
		if len(g.Slots) == 0 {
			continue
		}
		for _, z := range zones {
			if g.in(z) > 0 {
				continue
			}
			var rich *Group
			for j := range all {
				if n := all[j].in(z); n > 1 && (rich == nil || n > rich.in(z)) {
					rich = &all[j]
				}
			}
			if rich == nil {
				continue
			}
			do := Action{Kind: Move, Name: first(rich, z), From: rich.ID, To: g.ID}
			if len(rich.Slots) > l.Min && len(g.Slots)+1 < l.Max {
				return do, true
			}
			for _, other := range zones {
				if n := g.in(other); n > 1 && (do.SwapName == "" || n > g.in(zoneOf(g, do.SwapName))) {
					do.SwapName = first(g, other)
				}
			}
			if do.SwapName != "" {
				return do, true
			}
		}
	}
	return Action{}, false
}

func zoneOf(g *Group, name string) string {
	for _, s := range g.Slots {
		if s.Name == name {
			return s.Zone
		}
	}
	return ""
}

// Voters are the names that carry a cell's log: an odd number, five at most. Where the cell has three zones or more no zone has
// a quorum of them, so that the loss of one leaves a quorum.
func Voters(seats []MemberSlot) (out []string) {
	sorted := slices.Clone(seats)
	slices.SortFunc(sorted, func(a, b MemberSlot) int { return cmp.Compare(a.Name, b.Name) })
	zones := zonesOf([]Group{{Slots: sorted}})
	for n := min(voters, len(seats)-(len(seats)+1)%2); n > 0; n -= 2 {
		each := n
		if len(zones) >= 3 {
			each = max(1, n/2)
		}
		out = nil
		for round := range each {
			for _, z := range zones {
				k := 0
				for _, s := range sorted {
					if s.Zone != z {
						continue
					}
					if k++; k == round+1 && len(out) < n {
						out = append(out, s.Name)
					}
				}
			}
		}
		if len(out) == n {
			break
		}
	}
	slices.Sort(out)
	return out
}
