package fleetscale

import (
	"fmt"
	"io"
	"strings"
)

// Target is the size that slopes are followed to.
const TargetSize = 18_000

// inForceMs is the time within which a change is to be in force everywhere, from the users' page.
const inForceMs = 10_000

// Quantity is one of what a member takes.
type Quantity struct {
	Name   string
	Budget float64 // of a sidecar's control, from the users' page; 0: none
	of     func(*Role) float64
}

// Quantities are those that slopes are drawn of.
var Quantities = []Quantity{
	{"% of a core", 3.7, func(r *Role) float64 { return r.CPU }},
	{"MB", 64, func(r *Role) float64 { return r.MemoryMB }},
	{"KB/s in and out", 25, func(r *Role) float64 { return r.KBIn + r.KBOut }},
	{"frames/s in", 0, func(r *Role) float64 { return r.FramesIn }},
	{"frames/s out", 0, func(r *Role) float64 { return r.FramesOut }},
	{"descriptors", 0, func(r *Role) float64 { return r.Descriptors }},
}

// Slope is how one quantity of one role goes with the number of members.
type Slope struct {
	Role, Quantity string
	Line
	AtTarget float64
	Budget   float64 // 0: none
}

// Slopes draws a line for each role and quantity that calm reports of two sizes at least have; left are the sizes of the others.
func FitSlopes(reports []*Report) (out []Slope, left []int, err error) {
	var calm []*Report
	for _, r := range reports {
		if r.Stable() {
			calm = append(calm, r)
		} else {
			left = append(left, r.Members)
		}
	}
	draw := func(role, quantity string, budget float64, of func(*Report) (float64, bool)) {
		var points []Point
		for _, r := range calm {
			if y, ok := of(r); ok {
				points = append(points, Point{float64(r.Members), y})
			}
		}
		if l, err := Fit(points); err == nil {
			out = append(out, Slope{role, quantity, *l, l.At(TargetSize), budget})
		}
	}
	for _, role := range Roles {
		for _, q := range Quantities {
			draw(role, q.Name, q.Budget, func(r *Report) (float64, bool) {
				for i := range r.Roles {
					if o := &r.Roles[i]; o.Name == role && role != Links && (o.CountedMembers > 0 || !strings.Contains(q.Name, "/s")) {
						return q.of(o), true
					}
				}
				return 0, false
			})
		}
	}
	draw("list service", "watches", 0, func(r *Report) (float64, bool) { return float64(r.ListService.OpenWatches), true })
	draw("list service", "lists and beats/s", 0, func(r *Report) (float64, bool) { return r.ListService.Messages, true })
	draw("list service", "KB/s out", 0, func(r *Report) (float64, bool) { return r.ListService.KBOut, true })
	for _, k := range []struct {
		name string
		of   func(*Report) *PropagationTimes
	}{{"versions", func(r *Report) *PropagationTimes { return &r.Settings }}, {"lists", func(r *Report) *PropagationTimes { return &r.List }}} {
		draw(k.name, "ms to in force, p50", inForceMs, func(r *Report) (float64, bool) { f := k.of(r); return f.P50Ms, f.Expected > f.Missing })
		draw(k.name, "ms to in force, p99", inForceMs, func(r *Report) (float64, bool) { f := k.of(r); return f.P99Ms, f.Expected > f.Missing })
	}
	if len(out) == 0 {
		return nil, left, fmt.Errorf("%w; not calm: %v", ErrTooFewSizes, left)
	}
	return out, left, nil
}

// PrintSlopes tells slopes.
func PrintSlopes(out io.Writer, all []Slope, left []int) {
	t := newTable(out, "role", "quantity", "points (members: figure)", "slope a member", "its error", "intercept", "residual", fmt.Sprintf("at %d", TargetSize), "budget", "times")
	for _, s := range all {
		var points []string
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%.0f: %s", p.X, figure(p.Y)))
		}
		budget, times := "-", "-"
		if s.Budget > 0 {
			budget, times = figure(s.Budget), figure(s.AtTarget/s.Budget)
		}
		t.AppendRow([]any{s.Role, s.Quantity, strings.Join(points, ", "), figure(s.Slope), figure(s.Error), figure(s.Intercept), figure(s.Residual), figure(s.AtTarget), budget, times})
	}
	t.Render()
	if len(left) > 0 {
		fmt.Fprintf(out, "left out, not calm: runs of %v members\n", left)
	}
}
