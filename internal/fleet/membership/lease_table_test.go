package membership

import (
	"testing"
	"time"
)

// A member is not evicted while its lease may be valid by its own clock, even if an earlier leader granted the lease or the leader
// was suspended in between; afterwards it is evicted soon.
func TestMemberIsNotEvictedWhileItsLeaseMayBeValid(t *testing.T) {
	const lease, interval = time.Second, 50 * time.Millisecond
	a := member("a", 1)
	m := (&Membership{}).Apply(&Change{Member: a}, nil)
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for name, c := range map[string]struct {
		granted   []int  // grants, in ms after the leader's term began
		suspended [2]int // start and end of a suspension of the leader, in ms
		until     int    // last ms at which it must still be a member
		from      int    // last ms at which the eviction may be proposed
	}{
		"never granted": {nil, [2]int{}, 1015, 1100},
		"granted":       {[]int{300, 700}, [2]int{}, 1715, 1800},
		"leader suspended, with lease requests unread": {[]int{300}, [2]int{400, 5000}, 6015, 6100},
	} {
		table := &leaseTable{duration: lease}
		table.reset(start)
		evictedAt := 0
		for ms, next := 0, 0; ms <= 8000 && evictedAt == 0; ms += 5 {
			if ms > c.suspended[0] && ms < c.suspended[1] {
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
			t.Errorf("%s: evicted after %d ms, want after %d and at most %d ms", name, evictedAt, c.until, c.from)
		}
		if table.grant(at(9000), a) {
			t.Errorf("%s: a lease was granted to a member that is being evicted", name)
		}
	}
}
