package membership

import (
	"testing"
	"time"
)

// No member is evicted whose lease may still be valid by its own clock, whoever granted it and whatever was stopped meanwhile.
func TestMemberIsNotEvictedWhileItsLeaseMayBeValid(t *testing.T) {
	const lease, interval = time.Second, 50 * time.Millisecond
	a := member("a", 1)
	m := (&Membership{}).Apply(&Change{Member: a}, nil)
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for name, c := range map[string]struct {
		granted []int // ms after the leader's term began
		stopped [2]int
		until   int // last ms at which it must be a member
		from    int // last ms at which it must be evicted
	}{
		"never granted": {nil, [2]int{}, 1015, 1100},
		"granted":       {[]int{300, 700}, [2]int{}, 1715, 1800},
		"the leader was stopped: requests may wait for it": {[]int{300}, [2]int{400, 5000}, 6015, 6100},
	} {
		table := &leaseTable{duration: lease}
		table.reset(start)
		evictedAt := 0
		for ms, next := 0, 0; ms <= 8000 && evictedAt == 0; ms += 5 {
			if ms > c.stopped[0] && ms < c.stopped[1] {
				continue
			}
			if ms%50 == 0 {
				table.recordTick(at(ms), interval)
			}
			if next < len(c.granted) && ms >= c.granted[next] {
				table.grant(at(ms), a)
				next++
			}
			if ms%50 == 0 && len(table.expired(at(ms), m)) > 0 {
				evictedAt = ms
			}
		}
		if evictedAt <= c.until || evictedAt > c.from {
			t.Errorf("%s: evicted after %d ms, not within %d to %d", name, evictedAt, c.until, c.from)
		}
		if table.grant(at(9000), a) {
			t.Errorf("%s: a lease for a member that is being evicted", name)
		}
	}
}
