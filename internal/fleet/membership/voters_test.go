package membership

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// The number of voters is odd and at most 5.
func TestVotersAreAnOddNumberUpToABound(t *testing.T) {
	for n, want := range map[int]int{1: 1, 2: 1, 3: 3, 4: 3, 5: 5, 9: 5, 300: 5} {
		var names []string
		for i := range n {
			names = append(names, string(rune('a'+i%26))+string(rune('a'+i/26)))
		}
		if got := Voters(names); len(got) != want {
			t.Errorf("%d members: got %d voters, want %d", n, len(got), want)
		}
	}
}

// A new membership reaches each member exactly once, in a number of rounds that is logarithmic in the number of members, and each
// member forwards it to at most treeFanout others.
func TestForwardingTreeDepthIsLogarithmic(t *testing.T) {
	for _, n := range []int{1, 2, 3, 9, 300, 1000} {
		var names []string
		for i := range n {
			names = append(names, fmt.Sprintf("n%04d", i))
		}
		voters := Voters(names)
		knows, round := map[string]bool{}, 0
		for _, v := range voters {
			knows[v] = true
		}
		for next := slices.Clone(voters); len(knows) < n; round++ {
			var after []string
			for _, name := range next {
				to := TreeChildren(names, name, len(voters))
				if len(to) > treeFanout {
					t.Fatalf("%d members: %s forwards the membership to %d others, want at most treeFanout", n, name, len(to))
				}
				for _, o := range to {
					if knows[o] {
						t.Fatalf("%d members: %s gets the membership twice", n, o)
					}
					knows[o] = true
					after = append(after, o)
				}
			}
			if next = after; len(next) == 0 {
				t.Fatalf("%d members: only %d have the membership after %d rounds", n, len(knows), round)
			}
		}
		t.Logf("%d members: %d rounds", n, round)
		if limit := 1 + int(math.Log(float64(n))/math.Log(treeFanout)); round > limit {
			t.Errorf("%d members: %d rounds, want at most %d", n, round, limit)
		}
	}
	if TreeChildren([]string{"a"}, "b", 1) != nil {
		t.Error("a name that is not configured has children in the tree")
	}
}
