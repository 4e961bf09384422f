package sidecar

import (
	"fmt"
	"testing"
	"time"

	"damsonscale/decide"
	"damsonscale/internal/config"
	"damsonscale/internal/lab/standin"
)

// A discovery service that works through requests in turn, also through cancelled ones, hangs or is down and comes back
// overloaded: it needs 5 s for a fleet that has 6. It serves all of them by their first polls: a poll that is cancelled for the
// next loses its place in the queue, and the service works for nobody.
func TestAServiceThatWorksInTurnServesAll(t *testing.T) {
	const n, each = 30, 160 * time.Millisecond
	for name, fault := range map[string]standin.Fault{"stuck": standin.Hangs, "refuses": standin.Refuses} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := standin.NewRegistry(t, fault)
			r.InTurn(each)
			r.List(1, `{"seq":1,"whole":true,"hosts":[{"host":"s1","dial":"127.0.0.1:1","health":"Ready"}]}`)
			fleet := make([]*Sidecar, n)
			for i := range fleet {
				set := testSettings()
				set.BalancerCount = 18_000
				set.Rules = decide.Rules{PollInterval: 10_000_000}
				fleet[i] = New(&config.Config{
					Discovery: r.Addr, Settings: set, Seed: uint64(i + 1),
					Transport: config.Transport{ConnIdle: time.Minute, DialTimeout: time.Second},
				}, 8)
				runSidecar(t, fleet[i])
			}
			time.Sleep(5500 * time.Millisecond) // calls that were given up are long so by then, and the next have begun
			before := r.Calls()
			back := r.Return(t)
			known := func() (k int) {
				for _, s := range fleet {
					if s.HasEndpoints() {
						k++
					}
				}
				return k
			}
			standin.Eventually(t, fmt.Sprintf("a list for all %d", n), func() bool { return known() == n })
			took, worked, calls := time.Since(back), r.Worked(), r.Calls()
			t.Logf("all told after %.2f s and %d calls worked through; %d had come before, %d after", took.Seconds(), worked, before, calls-before)
			if worked > n+n/2 {
				t.Errorf("%d calls were worked through for %d sidecars: places were given away", worked, n)
			}
			if calls-before > 2*n {
				t.Errorf("%d calls in %v", calls-before, took)
			}
		})
	}
}
