package cells

import (
	"cmp"
	"slices"
)

// maxVoters bounds the number of voters of a cell's log.
const maxVoters = 5

// Voters returns the members that replicate a cell's log: an odd number, at most maxVoters. If the cell spans at least minZonesToSpread zones, no
// zone has a majority of the voters, so that the loss of one zone leaves a quorum.
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

// roundRobin returns up to n names: the first member of each zone, then the second of each zone, and so on, with at most perZone of any zone.
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

// nthOfZone returns the name of the member at an index among a zone's members, or false if the zone has fewer.
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
