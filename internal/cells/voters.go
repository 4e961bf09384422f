package cells

import (
	"cmp"
	"slices"
)

// maxVoters bounds the voters of a cell's log.
const maxVoters = 5

// Voters returns the members that replicate a cell's log: an odd number, up to maxVoters. Where the cell has three zones or more no zone has a
// quorum of them, so that a quorum is left when a zone is lost.
func Voters(slots []MemberSlot) (names []string) {
	sorted := slices.Clone(slots)
	slices.SortFunc(sorted, func(a, b MemberSlot) int { return cmp.Compare(a.Name, b.Name) })
	zones := zonesOf([]PlannedCell{{Slots: sorted}})
	for n := min(maxVoters, len(slots)-(len(slots)+1)%2); n > 0; n -= 2 {
		perZone := n
		if len(zones) >= minZonesToSpread {
			perZone = max(1, n/2)
		}
		if names = roundRobin(sorted, zones, n, perZone); len(names) == n {
			break
		}
	}
	slices.Sort(names)
	return names
}

// roundRobin returns up to n names, the first of each zone, then the second of each, and so on to perZone.
func roundRobin(sorted []MemberSlot, zones []string, n, perZone int) (names []string) {
	for round := range perZone {
		for _, zone := range zones {
			if name, ok := nthOfZone(sorted, zone, round); ok && len(names) < n {
				names = append(names, name)
			}
		}
	}
	return names
}

// nthOfZone returns the name of a zone's slot at an index; false: it has fewer.
func nthOfZone(slots []MemberSlot, zone string, index int) (string, bool) {
	for _, s := range slots {
		if s.Zone != zone {
			continue
		}
		if index == 0 {
			return s.Name, true
		}
		index--
	}
	return "", false
}
