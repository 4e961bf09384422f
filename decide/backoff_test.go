package decide

import (
	"fmt"
	"math"
	"testing"
)

// After a failed, refused or given-up call the next begins a turn after it at most, however large the fleet and however often
// it failed: 4.5 of the 6 s after which a change counts as told, which leaves 1.5 s for the connection and the answer.
func TestTheNextAskIsATurnAfterTheCallAtMost(t *testing.T) {
	for _, balancers := range []int{1, 30, 300, 18_000} {
		for _, waited := range []int64{0, 1000, second, 2_500_000, 4_400_000, 30 * second} {
			for seed := range uint64(50) {
				set := testSettings()
				set.BalancerCount = balancers
				b := New(set, seed, silent{})
				for b.pollFailures = range 20 {
					wait := b.pollBackoff(waited)
					if wait < minPollSpan/10 || wait > max(minPollSpan, 4_500_000-waited) {
						t.Fatalf("%d balancers, failure %d after %d us: asks in %d us", balancers, b.pollFailures, waited, wait)
					}
				}
			}
		}
	}
}

// What a service gets at its return from a fleet whose watches all ended at once: n/(0.9 x turn) calls a second at most, or those
// of its slots, in each window but for chance, so that one which takes as many is overbooked at no time. Guards against asking
// sooner by asking together, at the failure or in step later.
func TestAFleetThatFailsTogetherIsSpread(t *testing.T) {
	const window, span = second / 2, 60 * second
	for _, n := range []int{80, 300, 3000} {
		for _, hangs := range []int64{0, 2_500_000} {
			t.Run(fmt.Sprintf("%d hang %d us", n, hangs), func(t *testing.T) {
				set := testSettings()
				set.BalancerCount = n
				var calls [(span + 10*second) / window]int
				for seed := range uint64(n) {
					b := New(set, seed, silent{})
					for now := b.pollBackoff(0); now < span; {
						calls[now/window]++
						b.pollFailures++
						now += hangs + b.pollBackoff(hangs)
					}
				}
				expected := float64(window) / 0.9 * max(float64(n)/maxPollDelay, 1.0/pollSlotPerBalancer)
				most := expected + 4*math.Sqrt(expected)
				for i, got := range calls[:span/window] {
					if float64(got) > most {
						t.Errorf("%d calls in half a second, at %.1f s; at most %.0f", got, float64(i)/2, most)
					}
				}
			})
		}
	}
}
