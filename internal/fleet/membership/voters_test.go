package membership

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// The voters are an odd number of members, up to a bound.
func TestVotersAreAnOddNumberUpToABound(t *testing.T) {
	for n, want := range map[int]int{1: 1, 2: 1, 3: 3, 4: 3, 5: 5, 9: 5, 300: 5} {
		var names []string
		for i := range n {
			names = append(names, string(rune('a'+i%26))+string(rune('a'+i/26)))
		}
		if got := Voters(names); len(got) != want {
			t.Errorf("%d members: %d vote, not %d", n, len(got), want)
		}
	}
}

// A membership reaches all members in rounds whose number grows with the logarithm of the members, and each forwards it to few.
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
					t.Fatalf("%d members: %s forwards to %d", n, name, len(to))
				}
				for _, o := range to {
					if knows[o] {
						t.Fatalf("%d members: %s gets it twice", n, o)
					}
					knows[o] = true
					after = append(after, o)
				}
			}
			if next = after; len(next) == 0 {
				t.Fatalf("%d members: %d knows after %d rounds", n, len(knows), round)
			}
		}
		t.Logf("%d members: %d rounds", n, round)
		if limit := 1 + int(math.Log(float64(n))/math.Log(treeFanout)); round > limit {
			t.Errorf("%d members: %d rounds, at most %d", n, round, limit)
		}
	}
	if TreeChildren([]string{"a"}, "b", 1) != nil {
		t.Error("a stranger forwards it")
	}
}
