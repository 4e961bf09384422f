package cells

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// simulatedRegion applies joins, leaves and the planned actions to the cells of a region.
type simulatedRegion struct {
	groups []PlannedCell
	last   ID
	limits SizeLimits
	moves  int
	splits int
	merges int
}

func (g *simulatedRegion) cell(id ID) *PlannedCell {
	i := slices.IndexFunc(g.groups, func(x PlannedCell) bool { return x.ID == id })
	return &g.groups[i]
}

func (g *simulatedRegion) join(s MemberSlot) {
	id := PlaceMember(g.groups, s.Zone, g.limits)
	if id == 0 {
		g.last++
		id = g.last
		g.groups = append(g.groups, PlannedCell{ID: id})
	}
	g.cell(id).Slots = append(g.cell(id).Slots, s)
}

func (g *simulatedRegion) move(name string, from, to *PlannedCell) {
	i := slices.IndexFunc(from.Slots, func(s MemberSlot) bool { return s.Name == name })
	s := from.Slots[i]
	from.Slots = slices.Delete(slices.Clone(from.Slots), i, i+1)
	to.Slots = append(slices.Clone(to.Slots), s)
	g.moves++
}

// settle carries out planned actions until none is left. It fails after 200 actions.
func (g *simulatedRegion) settle() error {
	for range 200 {
		a, ok := NextAction(g.groups, g.limits)
		if !ok {
			return nil
		}
		from := g.cell(a.From)
		switch a.Kind {
		case Move:
			g.move(a.Name, from, g.cell(a.To))
			if a.SwapName != "" {
				g.move(a.SwapName, g.cell(a.To), from)
			}
		case Split:
			one, two := PlannedCell{ID: g.last + 1}, PlannedCell{ID: g.last + 2}
			g.last += 2
			for _, s := range from.Slots {
				if slices.Contains(a.Names, s.Name) {
					one.Slots = append(one.Slots, s)
				} else {
					two.Slots = append(two.Slots, s)
				}
			}
			g.groups = append(slices.DeleteFunc(g.groups, func(x PlannedCell) bool { return x.ID == a.From }), one, two)
			g.splits++
		case Merge:
			g.last++
			one := PlannedCell{ID: g.last, Slots: append(slices.Clone(from.Slots), g.cell(a.To).Slots...)}
			g.groups = append(slices.DeleteFunc(g.groups, func(x PlannedCell) bool { return x.ID == a.From || x.ID == a.To }), one)
			g.merges++
		}
	}
	return fmt.Errorf("plan is not finished after 200 actions: %+v", g.groups)
}

// After random joins and leaves the sizes of cells are within the limits, each cell has members of every zone if the region has at least three
// zones and enough members of each, no zone has a majority of a cell's voters, and one change moves few members.
func TestPlanKeepsSizesAndZones(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		zones := rapid.IntRange(1, 4).Draw(r, "zones")
		g := &simulatedRegion{limits: SizeLimits{Min: 5, Target: 9, Max: 14}}
		next := 0
		join := func() {
			z := rapid.IntRange(0, 2*zones-1).Draw(r, "zone") % zones
			g.join(MemberSlot{Name: fmt.Sprintf("n%05d", next), Zone: fmt.Sprint("z", z)})
			next++
		}
		for range rapid.IntRange(1, 150).Draw(r, "changes") {
			moves, splits, merges := g.moves, g.splits, g.merges
			if rapid.IntRange(0, 9).Draw(r, "join") < 6 || len(g.groups) == 0 {
				join()
			} else {
				c := &g.groups[rapid.IntRange(0, len(g.groups)-1).Draw(r, "cell")]
				if len(c.Slots) > 0 {
					i := rapid.IntRange(0, len(c.Slots)-1).Draw(r, "who")
					c.Slots = slices.Delete(slices.Clone(c.Slots), i, i+1)
				}
			}
			if err := g.settle(); err != nil {
				r.Fatal(err)
			}
			if g.moves-moves > zones+2 || g.splits-splits+g.merges-merges > 1 {
				r.Fatalf("one change caused %d moves, %d splits, %d merges; want at most %d moves and one split or merge", g.moves-moves, g.splits-splits, g.merges-merges, zones+2)
			}
			total, by := 0, map[string]int{}
			for _, c := range g.groups {
				total += len(c.Slots)
				for _, s := range c.Slots {
					by[s.Zone]++
				}
			}
			for _, c := range g.groups {
				if n := len(c.Slots); n >= g.limits.Max || n < g.limits.Min && total > g.limits.Min && n != total {
					r.Fatalf("a cell has %d of the region's %d members, outside the limits: %+v", n, total, g.groups)
				}
				for z, n := range by {
					if len(by) >= 3 && n >= len(g.groups) && c.countIn(z) == 0 && len(c.Slots) > 0 {
						r.Fatalf("cell %d has no member of zone %s, which has %d members in %d cells", c.ID, z, n, len(g.groups))
					}
				}
				v := Voters(c.Slots)
				count := map[string]int{}
				for _, s := range c.Slots {
					if slices.Contains(v, s.Name) {
						count[s.Zone]++
					}
				}
				if len(c.Slots) > 0 && len(v)%2 != 1 {
					r.Fatalf("cell has %d voters, want an odd number", len(v))
				}
				for z, n := range count {
					if len(zonesOf([]PlannedCell{c})) >= 3 && n > len(v)/2 {
						r.Fatalf("zone %s has a majority: %d of %d voters", z, n, len(v))
					}
				}
			}
		}
	})
}

// In a region of 1800 members in three zones of equal size every cell spans all zones and has five voters, so that it survives the loss of any
// zone. The largest of eleven regions has 1800 members.
func TestPlanForLargestRegion(t *testing.T) {
	g := &simulatedRegion{limits: DefaultSizeLimits}
	for _, s := range makeSlots("r", 0, 1800, 3) {
		g.join(s)
		if err := g.settle(); err != nil {
			t.Fatal(err)
		}
	}
	least, most := 1800, 0
	for _, c := range g.groups {
		least, most = min(least, len(c.Slots)), max(most, len(c.Slots))
		if v := Voters(c.Slots); len(v) != maxVoters || len(zonesOf([]PlannedCell{c})) != 3 {
			t.Errorf("cell %d has voters %v in %d zones, want %d voters in 3 zones", c.ID, v, len(zonesOf([]PlannedCell{c})), maxVoters)
		}
	}
	t.Logf("%d cells of %d to %d members; %d splits, %d merges, %d moves for 1800 joins", len(g.groups), least, most, g.splits, g.merges, g.moves)
	if least < g.limits.Min || most > g.limits.Max {
		t.Errorf("cells have %d to %d members, want %d to %d", least, most, g.limits.Min, g.limits.Max)
	}
}
