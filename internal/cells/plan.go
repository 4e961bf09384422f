package cells

import (
	"cmp"
	"slices"
)

// SizeLimits bound the number of members of a cell.
type SizeLimits struct{ Min, Target, Max int }

// DefaultSizeLimits keep the load of a cell's leader under 3.7% of a core; see docs/cells.md.
var DefaultSizeLimits = SizeLimits{Min: 10, Target: 24, Max: 30}

// minZonesToSpread is the number of zones from which the members and voters of a cell are spread over zones.
const minZonesToSpread = 3

// PlannedCell is the input of the planner for one cell.
type PlannedCell struct {
	ID    ID
	Slots []MemberSlot
}

// Action is one step of a plan: a Move, a Split or a Merge. The caller turns it into directory commands.
type Action struct {
	Kind     CommandKind
	Name     string // with Move: the member to move
	SwapName string // with Move: a member that moves in the opposite direction if the size limits require a swap; else empty
	From     ID
	To       ID       // with Move and Merge
	Names    []string // with Split: the members of the first half
}

// PlaceMember returns the cell for a new member of a zone: the cell with the fewest members of that zone, and the smallest among equals. It
// returns 0 if no cell is below its maximum size.
func PlaceMember(groups []PlannedCell, zone string, l SizeLimits) ID {
	best := -1
	for i := range groups {
		if len(groups[i].Slots) >= l.Max {
			continue
		}
		if best < 0 || cmp.Or(cmp.Compare(groups[i].countIn(zone), groups[best].countIn(zone)),
			cmp.Compare(len(groups[i].Slots), len(groups[best].Slots)), cmp.Compare(groups[i].ID, groups[best].ID)) < 0 {
			best = i
		}
	}
	if best < 0 {
		return 0
	}
	return groups[best].ID
}

// NextAction returns the next action that brings the cells of a region within the size limits and spreads them over the zones, or false if no
// action is needed. It changes as few assignments as possible.
func NextAction(groups []PlannedCell, l SizeLimits) (Action, bool) {
	if len(groups) == 0 {
		return Action{}, false
	}
	sorted := slices.Clone(groups)
	slices.SortFunc(sorted, func(a, b PlannedCell) int {
		return cmp.Or(cmp.Compare(len(a.Slots), len(b.Slots)), cmp.Compare(a.ID, b.ID))
	})
	small, large := &sorted[0], &sorted[len(sorted)-1]
	switch {
	case len(large.Slots) >= l.Max && len(large.Slots) >= 2*l.Min:
		return Action{Kind: Split, From: large.ID, Names: splitHalf(large)}, true
	case len(small.Slots) == 0 || len(small.Slots) >= l.Min || len(sorted) < 2:
	case len(small.Slots)+len(sorted[1].Slots) < l.Max:
		return Action{Kind: Merge, From: small.ID, To: sorted[1].ID}, true
	case len(large.Slots) > l.Min:
		return Action{Kind: Move, Name: memberToGive(large, small), From: large.ID, To: small.ID}, true
	}
	return spreadZones(sorted, l)
}

// splitHalf returns the names of half the members, such that both halves have about the same number of each zone.
func splitHalf(g *PlannedCell) (names []string) {
	slots := slices.Clone(g.Slots)
	slices.SortFunc(slots, func(a, b MemberSlot) int { return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name)) })
	for i := 0; i < len(slots); i += 2 {
		names = append(names, slots[i].Name)
	}
	return names
}

// memberToGive returns the member to move from one cell to another: a member of the zone in which the first cell has the largest surplus.
func memberToGive(from, to *PlannedCell) string {
	bestZone, most := "", 0
	for _, zone := range zonesOf([]PlannedCell{*from}) {
		if n := 2*from.countIn(zone) - to.countIn(zone); from.countIn(zone) > 0 && n > most {
			bestZone, most = zone, n
		}
	}
	return firstOfZone(from, bestZone)
}

// spreadZones returns a move that gives a cell without members of some zone a member of that zone, from the cell that has the most of them. If
// the size limits do not allow a plain move, the action swaps two members.
func spreadZones(groups []PlannedCell, l SizeLimits) (Action, bool) {
	zones := zonesOf(groups)
	if len(zones) < minZonesToSpread {
		return Action{}, false
	}
	for i := range groups {
		g := &groups[i]
		if len(g.Slots) == 0 {
			continue
		}
		for _, zone := range zones {
			if g.countIn(zone) > 0 {
				continue
			}
			donor := donorOf(groups, zone)
			if donor == nil {
				continue
			}
			move := Action{Kind: Move, Name: firstOfZone(donor, zone), From: donor.ID, To: g.ID}
			if len(donor.Slots) > l.Min && len(g.Slots)+1 < l.Max {
				return move, true
			}
			if move.SwapName = memberToSwap(g, zones); move.SwapName != "" {
				return move, true
			}
		}
	}
	return Action{}, false
}

// donorOf returns the cell with the most members of a zone, or nil if no cell has two or more.
func donorOf(groups []PlannedCell, zone string) (donor *PlannedCell) {
	for i := range groups {
		if n := groups[i].countIn(zone); n > 1 && (donor == nil || n > donor.countIn(zone)) {
			donor = &groups[i]
		}
	}
	return donor
}

// memberToSwap returns a member of the zone that has the most members in a cell, or an empty name if no zone has two or more.
func memberToSwap(g *PlannedCell, zones []string) string {
	name, most := "", 1
	for _, zone := range zones {
		if n := g.countIn(zone); n > most {
			name, most = firstOfZone(g, zone), n
		}
	}
	return name
}

// countIn returns the number of the cell's members in a zone.
func (g *PlannedCell) countIn(zone string) (n int) {
	for _, s := range g.Slots {
		if s.Zone == zone {
			n++
		}
	}
	return n
}

// zonesOf returns the zones of all members of some cells, sorted.
func zonesOf(groups []PlannedCell) (zones []string) {
	for _, g := range groups {
		for _, s := range g.Slots {
			zones = append(zones, s.Zone)
		}
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// firstOfZone returns the first member of a zone by name, or an empty name if the cell has none.
func firstOfZone(g *PlannedCell, zone string) string {
	name := ""
	for _, s := range g.Slots {
		if s.Zone == zone && (name == "" || s.Name < name) {
			name = s.Name
		}
	}
	return name
}
