package cells

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
)

const (
	secondMicros    = int64(1_000_000)
	relaysPerRegion = 2
	relayPageBytes  = 64 << 10
	settingsBytes   = 4 << 10 // assumed size of a change of the settings
)

// fleet is a simulated fleet: a directory, relaysPerRegion relays in each region, and the logs of all cells.
type fleet struct {
	commands    *commandLog
	relays      []*Relay
	logs        []*Log
	largestCell *Log // a cell with the most members
	sizes       []int
}

// newFleet returns a fleet of the given number of members in up to eleven regions: eight of three zones, the others of two.
func newFleet(t testing.TB, members int) *fleet {
	t.Helper()
	f := &fleet{commands: newCommandLog(t)}
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
			f.commands.mustApply(Command{Kind: Open, Region: region, Slots: mine})
			f.sizes = append(f.sizes, len(mine))
		}
		for range relaysPerRegion {
			f.relays = append(f.relays, NewRelay(region, NoFault))
		}
	}
	for _, id := range f.commands.directory.CellIDs() {
		l := NewLog(id, NoFault)
		mustApplyEntries(t, l, f.commands.updateEntry(l))
		for _, s := range f.commands.directory.Record(id).Slots {
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

// traffic counts calls and their bytes.
type traffic struct {
	calls, bytes int
}

func (t *traffic) add(bytes int) { t.calls, t.bytes = t.calls+1, t.bytes+bytes }

// syncRelay sends a relay's requests to the directory until the relay is up to date, and counts the calls.
func (f *fleet) syncRelay(r *Relay, t *traffic) {
	for range 1000 {
		p := r.NextRequest()
		if p.Since == f.commands.directory.Version() && !p.Complete {
			return
		}
		d := f.commands.directory.Delta(p.Region, p.Since, p.From, p.Complete, relayPageBytes)
		t.add(len(Encode(p)) + len(Encode(d)))
		r.ApplyDelta(d)
	}
}

// The state of a member and of a leader depends on the size of their cell, not on whether the fleet has 300 or 18,000 members. The state of a
// relay grows with its region and the state of the directory with the fleet; both stay within their bounds.
func TestStateSizeByRole(t *testing.T) {
	var first [2]int // bytes of a member's and a leader's state, per member of the cell, in the smallest fleet
	for _, n := range []int{300, 3_000, 18_000} {
		f := newFleet(t, n)
		for _, r := range f.relays {
			f.syncRelay(r, &traffic{})
		}
		leases := NewLeaseTable(leaseMicros, NoFault)
		for _, m := range f.largestCell.membersOf("") {
			leases.Grant(1, f.largestCell, m, 0)
		}
		memberBytes, leaderBytes, cellSize := f.largestCell.EncodedBytes(), f.largestCell.EncodedBytes()+leases.EncodedBytes(), len(f.largestCell.Members)
		relay := 0
		for _, r := range f.relays {
			relay = max(relay, r.EncodedBytes())
		}
		t.Logf("%d members: %d cells of %d to %d members; bytes: member %d, leader %d, relay %d, directory %d", n, len(f.logs), slices.Min(f.sizes),
			slices.Max(f.sizes), memberBytes, leaderBytes, relay, f.commands.directory.EncodedBytes())
		if first[0] == 0 {
			first = [2]int{memberBytes / cellSize, leaderBytes / cellSize}
		}
		if memberBytes/cellSize > first[0]*11/10 || leaderBytes/cellSize > first[1]*11/10 || memberBytes/cellSize > 120 || leaderBytes/cellSize > 160 || cellSize > DefaultSizeLimits.Max {
			t.Errorf("%d members, cell of %d: a member stores %d bytes, a leader %d; a fleet of 300 stores %v bytes per member of the cell", n, cellSize, memberBytes, leaderBytes, first)
		}
		if f.commands.directory.EncodedBytes() > 200*n || relay > f.commands.directory.EncodedBytes() {
			t.Errorf("%d members: the directory stores %d bytes, want at most %d; a relay stores %d, want at most the directory's size", n, f.commands.directory.EncodedBytes(), 200*n, relay)
		}
	}
}

// 100 changes within a minute reach every cell within 3 s, with a bounded number of calls of each relay and cell, if every hop polls once a
// second. Members get updates with their lease grants, five times per lease.
func TestBurstOfChangesReachesAllCells(t *testing.T) {
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
				f.commands.mustApply(Command{Kind: SetTarget, Number: uint64(changes)})
				given[f.commands.directory.Version()] = now
			}
			for i, r := range f.relays { // the relays poll in different tenths of a second
				if now/(secondMicros/10)%10 == int64(i)%10 {
					f.syncRelay(r, &up)
				}
			}
			for i, l := range f.logs {
				if now/(secondMicros/10)%10 != int64(i)%10 {
					continue
				}
				for _, r := range f.relays { // the first relay of the region that has an update
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
			if l.LastUpdate.Global != f.commands.directory.Global() {
				t.Fatalf("cell %d has global state %v, want that of the directory", l.ID, l.LastUpdate.Global)
			}
		}
		perCell, perRelay := float64(down.calls)/float64(len(f.logs)), float64(up.calls)/float64(len(f.relays))
		t.Logf("%d members, 100 changes in 60 s: %d calls to the directory (%.0f per relay, %d bytes each), %d updates from relays (%.0f per cell, %d bytes each), maximum delay %.1f s",
			n, up.calls, perRelay, up.bytes/up.calls, down.calls, perCell, down.bytes/down.calls, float64(lag)/1e6)
		if perCell > 70 || perRelay > 70 || lag > 3*secondMicros {
			t.Errorf("%d members: %.0f updates per cell, %.0f calls per relay, want at most 70; delay %d µs, want at most %d µs", n, perCell, perRelay, lag, 3*secondMicros)
		}
	}
}

// After a restart of all control machines or the return of a region, relays and cells reconnect at a limited rate: no server serves more calls
// per second than it admits, and all cells have the newest update within 10 s.
func TestReconnectionIsRateLimited(t *testing.T) {
	for _, n := range []int{3_000, 18_000} {
		f := newFleet(t, n)
		f.commands.mustApply(Command{Kind: SetTarget, Number: 1})
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
				if c := &relays[i]; c.due <= now && r.Version() != f.commands.directory.Version() {
					c.attempt++
					if !directoryLimiter.Allow(now) {
						refused++
						c.due = now + Backoff(fmt.Sprint("relay", i), c.attempt, secondMicros/4, 2*secondMicros)
						continue
					}
					serve("directory")
					p := r.NextRequest()
					d := f.commands.directory.Delta(p.Region, p.Since, p.From, p.Complete, relayPageBytes)
					up.add(len(Encode(p)) + len(Encode(d)))
					if c.due = now + secondMicros; r.ApplyDelta(d) {
						c.due = now + secondMicros/10
					}
				}
			}
			for i, l := range f.logs {
				c := &leaders[i]
				if c.due > now || l.LastUpdate.Global == f.commands.directory.Global() {
					continue
				}
				c.attempt++
				region := f.commands.directory.Record(l.ID).Region
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
		t.Logf("%d members: %d of %d cells are updated within %.1f s; %d calls to the directory of %d bytes in total, at most %d calls per second at one server, %d calls rejected",
			n, done, len(f.logs), float64(last)/1e6, up.calls, up.bytes, worst, refused)
		if done < len(f.logs) || last > 10*secondMicros || worst > 120 {
			t.Errorf("%d members: %d of %d cells updated after %d µs, want all within %d µs; %d calls per second at one server, want at most 120", n, done, len(f.logs), last, 10*secondMicros, worst)
		}
	}
}

// Calls above the rate are rejected, and callers that start at the same time do not retry at the same time.
func TestRateLimiterAndBackoff(t *testing.T) {
	a := RateLimiter{PerSecond: 10, Burst: 3}
	served := 0
	for now := int64(0); now < 2*secondMicros; now += 1000 {
		if a.Allow(now) {
			served++
		}
	}
	if served < 20 || served > 24 {
		t.Errorf("%d of 2000 calls in 2 s admitted, want 20 to 24", served)
	}
	tenths := map[int64]int{}
	for i := range 1000 {
		p := Backoff(fmt.Sprint("n", i), 3, secondMicros/4, 2*secondMicros)
		if p < secondMicros/2 || p > secondMicros {
			t.Fatalf("pause before attempt 3 is %d µs, want %d to %d µs", p, secondMicros/2, secondMicros)
		}
		tenths[p/(secondMicros/10)]++
	}
	for k, n := range tenths {
		if n > 300 {
			t.Errorf("%d of 1000 callers retry in tenth %d of a second, want at most 300", n, k)
		}
	}
	if p := Backoff("n", 60, secondMicros/4, 2*secondMicros); p < secondMicros || p > 2*secondMicros {
		t.Errorf("pause before attempt 60 is %d µs, want %d to %d µs", p, secondMicros, 2*secondMicros)
	}
}

// BenchmarkRoles measures, in a fleet of 18,000 members, the cost of a command and a delta at the directory, of an update at a relay, and of one
// round of grants and due entries at a cell's leader.
func BenchmarkRoles(b *testing.B) {
	f := newFleet(b, 18_000)
	for _, r := range f.relays {
		f.syncRelay(r, &traffic{})
	}
	b.Run("command", func(b *testing.B) {
		for i := range b.N {
			f.commands.mustApply(Command{Kind: SetTarget, Number: uint64(i) + f.commands.directory.Global().Settings + 1})
		}
	})
	since := f.commands.directory.Version()
	f.commands.mustApply(Command{Kind: SetTarget, Number: f.commands.directory.Global().Settings + 1})
	b.Run("delta", func(b *testing.B) {
		for range b.N {
			f.commands.directory.Delta("region00", since, Version{}, false, relayPageBytes)
		}
	})
	b.Run("complete", func(b *testing.B) {
		for range b.N {
			f.commands.directory.Delta("region00", Version{}, Version{}, true, 1<<20)
		}
	})
	b.Run("update", func(b *testing.B) {
		for range b.N {
			f.relays[0].UpdateFor(1, Version{}, false)
		}
	})
	leases := NewLeaseTable(leaseMicros, NoFault)
	b.Run("turn", func(b *testing.B) {
		for i := range b.N {
			for m := range f.largestCell.Members {
				leases.Grant(int64(i), f.largestCell, m, 1)
			}
			leases.DueEntries(int64(i), f.largestCell)
		}
	})
}
