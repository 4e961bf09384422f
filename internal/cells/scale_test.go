package cells

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
)

const (
	secondMicros    = int64(1_000_000)
	relaysPerRegion = 2 // of a region
	relayPageBytes  = 64 << 10
	settingsBytes   = 4 << 10 // bytes of a change of the settings, assumed
)

// fleet is a simulated fleet: a directory, two relays a region, the logs of all cells.
type fleet struct {
	directory   *commandLog
	relays      []*Relay
	logs        []*Log
	largestCell *Log // one cell of the middle size
	sizes       []int
}

// newFleet returns a fleet of so many members: eight regions of three zones, three of two.
func newFleet(t testing.TB, members int) *fleet {
	t.Helper()
	f := &fleet{directory: newCommandLog(t)}
	regions := min(11, members/100)
	for r := range regions {
		region, zones := fmt.Sprintf("region%02d", r), 3
		if r >= 8 {
			zones = 2
		}
		n := members / regions
		if r < members%regions {
			n++
		}
		all := makeSlots(region, 0, n, zones)
		count := (n + DefaultSizeLimits.Target - 1) / DefaultSizeLimits.Target
		for c := range count {
			var mine []MemberSlot
			for i := c * n / count; i < (c+1)*n/count; i++ {
				mine = append(mine, all[i])
			}
			f.directory.mustApply(Command{Kind: Open, Region: region, Slots: mine})
			f.sizes = append(f.sizes, len(mine))
		}
		for range relaysPerRegion {
			f.relays = append(f.relays, NewRelay(region, NoFault))
		}
	}
	for _, id := range f.directory.d.CellIDs() {
		l := NewLog(id, NoFault)
		mustApplyEntries(t, l, f.directory.updateEntry(l))
		for _, s := range f.directory.d.Record(id).Slots {
			mustApplyEntries(t, l, &Entry{Kind: Join, Member: member(s.Name, 1)})
		}
		f.logs = append(f.logs, l)
	}
	sorted := slices.SortedFunc(slices.Values(f.logs), func(a, b *Log) int {
		return cmp.Or(cmp.Compare(len(a.Members), len(b.Members)), cmp.Compare(a.ID, b.ID))
	})
	f.largestCell = sorted[len(sorted)-1]
	return f
}

// traffic counts calls and bytes.
type traffic struct {
	calls, bytes int
}

func (t *traffic) add(bytes int) { t.calls, t.bytes = t.calls+1, t.bytes+bytes }

// syncRelay has a relay ask until it is up to date, and counts its calls.
func (f *fleet) syncRelay(r *Relay, t *traffic) {
	for range 1000 {
		p := r.NextRequest()
		if p.Since == f.directory.d.Version() && !p.Complete {
			return
		}
		d := f.directory.d.Delta(p.Region, p.Since, p.From, p.Complete, relayPageBytes)
		t.add(len(Encode(p)) + len(Encode(d)))
		r.ApplyDelta(d)
	}
}

// The state of a member and of a leader is the same in a fleet of 300 and of 18,000: that of their cell. A relay's grows with its region, the
// directory's with the fleet, and both stay far below their bounds.
func TestStateByRole(t *testing.T) {
	var first [2]int // bytes for each member of the cell
	for _, n := range []int{300, 3_000, 18_000} {
		f := newFleet(t, n)
		for _, r := range f.relays {
			f.syncRelay(r, &traffic{})
		}
		g := NewLeaseTable(leaseMicros, NoFault)
		for _, m := range f.largestCell.membersOf("") {
			g.Grant(1, f.largestCell, m, 0)
		}
		own, lead, size := f.largestCell.EncodedBytes(), f.largestCell.EncodedBytes()+g.EncodedBytes(), len(f.largestCell.Members)
		relay := 0
		for _, r := range f.relays {
			relay = max(relay, r.EncodedBytes())
		}
		t.Logf("%d members: %d cells of %d to %d; bytes: member %d, leader %d, relay %d, directory %d", n, len(f.logs), slices.Min(f.sizes),
			slices.Max(f.sizes), own, lead, relay, f.directory.d.EncodedBytes())
		if first[0] == 0 {
			first = [2]int{own / size, lead / size}
		}
		if own/size > first[0]*11/10 || lead/size > first[1]*11/10 || own/size > 120 || lead/size > 160 || size > DefaultSizeLimits.Max {
			t.Errorf("%d members, a cell of %d: a member has %d bytes, a leader %d; of 300, for each of the cell: %v", n, size, own, lead, first)
		}
		if f.directory.d.EncodedBytes() > 200*n || relay > f.directory.d.EncodedBytes() {
			t.Errorf("%d members: the directory has %d bytes, a relay %d", n, f.directory.d.EncodedBytes(), relay)
		}
	}
}

// A burst of 100 changes in a minute, each hop polling once a second: calls and bytes of each hop, and how late the last cell is updated. A
// member is updated with its lease grants, five times a lease.
func TestBurstOfChanges(t *testing.T) {
	for _, n := range []int{300, 18_000} {
		f := newFleet(t, n)
		for _, r := range f.relays {
			f.syncRelay(r, &traffic{})
		}
		var up, down traffic
		given, lag := map[Version]int64{}, int64(0)
		changes := 0
		for now := int64(0); now < 70*secondMicros; now += secondMicros / 10 {
			for changes < 100 && int64(changes)*60*secondMicros/100 <= now {
				changes++
				f.directory.mustApply(Command{Kind: SetTarget, Number: uint64(changes)})
				given[f.directory.d.Version()] = now
			}
			for i, r := range f.relays { // each at its own tenth of a second
				if now/(secondMicros/10)%10 == int64(i)%10 {
					f.syncRelay(r, &up)
				}
			}
			for i, l := range f.logs {
				if now/(secondMicros/10)%10 != int64(i)%10 {
					continue
				}
				for _, r := range f.relays { // one of its region
					if update := r.UpdateFor(l.ID, l.LastUpdate.Version, false); update != nil {
						before := l.LastUpdate.Version
						mustApplyEntries(t, l, &Entry{Kind: UpdateDirectory, Update: update})
						down.add(len(Encode(update)))
						for v, at := range given {
							if v.Newer(before) && !v.Newer(update.Version) {
								lag = max(lag, now-at)
							}
						}
						break
					}
				}
			}
		}
		for _, l := range f.logs {
			if l.LastUpdate.Global != f.directory.d.Global() {
				t.Fatalf("cell %d is at %v", l.ID, l.LastUpdate.Global)
			}
		}
		perCell, perRelay := float64(down.calls)/float64(len(f.logs)), float64(up.calls)/float64(len(f.relays))
		t.Logf("%d members, 100 changes in 60 s: %d calls to the directory that brought something (%.0f a relay, %d bytes each), %d to relays (%.0f a cell, %d bytes each), the last cell %.1f s late",
			n, up.calls, perRelay, up.bytes/up.calls, down.calls, perCell, down.bytes/down.calls, float64(lag)/1e6)
		if perCell > 70 || perRelay > 70 || lag > 3*secondMicros {
			t.Errorf("%d members: %.0f calls a cell, %.0f a relay, %d µs late", n, perCell, perRelay, lag)
		}
	}
}

// All control machines have restarted, or a region has returned: relays and cells come back paced, no callee serves more calls a second
// than it admits, and all have the newest update within 10 s.
func TestReturnIsPaced(t *testing.T) {
	for _, n := range []int{3_000, 18_000} {
		f := newFleet(t, n)
		f.directory.mustApply(Command{Kind: SetTarget, Number: 1})
		type caller struct {
			attempt int
			due     int64
		}
		directoryLimiter := &RateLimiter{PerSecond: 20, Burst: 5}
		relayLimiters := make([]RateLimiter, len(f.relays))
		relays, leaders := make([]caller, len(f.relays)), make([]caller, len(f.logs))
		for i := range relayLimiters {
			relayLimiters[i] = RateLimiter{PerSecond: 100, Burst: 10}
			relays[i].due = Backoff(fmt.Sprint("relay", i), 1, secondMicros, secondMicros)
		}
		for i := range leaders {
			leaders[i].due = Backoff(fmt.Sprint("cell", i), 1, secondMicros, secondMicros)
		}
		var up traffic
		worst, served, refused, last := 0, map[string]int{}, 0, int64(0)
		done := 0
		for now := int64(0); now < 30*secondMicros && done < len(f.logs); now += secondMicros / 100 {
			serve := func(who string) {
				k := fmt.Sprint(who, "/", now/secondMicros)
				served[k]++
				worst = max(worst, served[k])
			}
			for i, r := range f.relays {
				if c := &relays[i]; c.due <= now && r.Version() != f.directory.d.Version() {
					c.attempt++
					if !directoryLimiter.Allow(now) {
						refused++
						c.due = now + Backoff(fmt.Sprint("relay", i), c.attempt, secondMicros/4, 2*secondMicros)
						continue
					}
					serve("directory")
					p := r.NextRequest()
					d := f.directory.d.Delta(p.Region, p.Since, p.From, p.Complete, relayPageBytes)
					up.add(len(Encode(p)) + len(Encode(d)))
					if c.due = now + secondMicros; r.ApplyDelta(d) {
						c.due = now + secondMicros/10
					}
				}
			}
			for i, l := range f.logs {
				c := &leaders[i]
				if c.due > now || l.LastUpdate.Global == f.directory.d.Global() {
					continue
				}
				c.attempt++
				region := f.directory.d.Record(l.ID).Region
				for k, r := range f.relays {
					if r.region != region || k%relaysPerRegion != (i+c.attempt)%relaysPerRegion {
						continue
					}
					if c.due = now + Backoff(fmt.Sprint("cell", i), c.attempt, secondMicros/4, 2*secondMicros); !relayLimiters[k].Allow(now) {
						refused++
						break
					}
					serve(fmt.Sprint("relay", k))
					if update := r.UpdateFor(l.ID, l.LastUpdate.Version, false); update != nil {
						mustApplyEntries(t, l, &Entry{Kind: UpdateDirectory, Update: update})
						done, last = done+1, now
					}
				}
			}
		}
		t.Logf("%d members: %d of %d cells are updated within %.1f s; %d calls to the directory of %d bytes in all, at most %d calls a second at one callee, %d update to come again",
			n, done, len(f.logs), float64(last)/1e6, up.calls, up.bytes, worst, refused)
		if done < len(f.logs) || last > 10*secondMicros || worst > 120 {
			t.Errorf("%d members: %d cells, %d µs, %d calls a second", n, done, last, worst)
		}
	}
}

// Calls over the rate are update to come again, and callers that begin together do not come back together.
func TestRateLimiterAndBackoff(t *testing.T) {
	a := RateLimiter{PerSecond: 10, Burst: 3}
	served := 0
	for now := int64(0); now < 2*secondMicros; now += 1000 {
		if a.Allow(now) {
			served++
		}
	}
	if served < 20 || served > 24 {
		t.Errorf("%d of 2000 calls in 2 s served", served)
	}
	tenths := map[int64]int{}
	for i := range 1000 {
		p := Backoff(fmt.Sprint("n", i), 3, secondMicros/4, 2*secondMicros)
		if p < secondMicros/2 || p > secondMicros {
			t.Fatalf("third wait: %d µs", p)
		}
		tenths[p/(secondMicros/10)]++
	}
	for k, n := range tenths {
		if n > 300 {
			t.Errorf("%d of 1000 come back in tenth %d", n, k)
		}
	}
	if p := Backoff("n", 60, secondMicros/4, 2*secondMicros); p < secondMicros || p > 2*secondMicros {
		t.Errorf("a late wait: %d µs", p)
	}
}

// What a command costs a control machine, a delta the one that answers, an update a relay, and a round a cell's leader, in a fleet of 18,000.
func BenchmarkRoles(b *testing.B) {
	f := newFleet(b, 18_000)
	for _, r := range f.relays {
		f.syncRelay(r, &traffic{})
	}
	b.Run("command", func(b *testing.B) {
		for i := range b.N {
			f.directory.mustApply(Command{Kind: SetTarget, Number: uint64(i) + f.directory.d.Global().Settings + 1})
		}
	})
	since := f.directory.d.Version()
	f.directory.mustApply(Command{Kind: SetTarget, Number: f.directory.d.Global().Settings + 1})
	b.Run("delta", func(b *testing.B) {
		for range b.N {
			f.directory.d.Delta("region00", since, Version{}, false, relayPageBytes)
		}
	})
	b.Run("complete", func(b *testing.B) {
		for range b.N {
			f.directory.d.Delta("region00", Version{}, Version{}, true, 1<<20)
		}
	})
	b.Run("update", func(b *testing.B) {
		for range b.N {
			f.relays[0].UpdateFor(1, Version{}, false)
		}
	})
	g := NewLeaseTable(leaseMicros, NoFault)
	b.Run("turn", func(b *testing.B) {
		for i := range b.N {
			for m := range f.largestCell.Members {
				g.Grant(int64(i), f.largestCell, m, 1)
			}
			g.DueEntries(int64(i), f.largestCell)
		}
	})
}
