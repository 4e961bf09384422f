package membership

import "slices"

// maxVoters bounds the number of voters. More voters would slow down commits, and five already survive the loss of two.
const maxVoters = 5

// Voters returns the names of the members that replicate the log: the first in sorted order. Their number is odd, since an even
// number of voters survives no more losses than the odd number below it.
func Voters(memberNames []string) []string {
	sorted := slices.Sorted(slices.Values(memberNames))
	n := min(len(sorted), maxVoters)
	return sorted[:n-(n+1)%2]
}

// treeFanout is the number of members to which each member forwards a new membership.
const treeFanout = 4

// TreeChildren returns the members to which a member forwards a new membership: its children in a tree over the sorted names,
// without the voters, which get the membership from the log. If a member is down, its descendants see the later epoch in their
// next lease grant, and request the membership.
func TreeChildren(sortedNames []string, name string, voters int) []string {
	index := slices.Index(sortedNames, name)
	if index < 0 {
		return nil
	}
	from := max(treeFanout*index+1, voters)
	to := min(treeFanout*index+treeFanout+1, len(sortedNames))
	if from >= to {
		return nil
	}
	return sortedNames[from:to]
}
