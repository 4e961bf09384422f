package membership

import "slices"

// maxVoters bounds the voters: more would make agreement slower without surviving losses that matter.
const maxVoters = 5

// Voters are the members that keep the log: the first names in order, an odd number of them, since an even number survives no
// more losses than one fewer.
func Voters(memberNames []string) []string {
	sorted := slices.Sorted(slices.Values(memberNames))
	n := min(len(sorted), maxVoters)
	return sorted[:n-(n+1)%2]
}

// treeFanout is to how many others each member forwards a new membership.
const treeFanout = 4

// TreeChildren lists to whom a member forwards a new membership: its children in a tree over all names in order, without the
// voters, who have it from the log. Where a member is down, those below it learn from their lease's grant that there is a
// later epoch, and ask for it.
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
