package fleetscale

import (
	"fmt"
	"io"
	"strings"
)

// TargetSize is the number of members, or of endpoints on the list, to which slopes are extrapolated.
const TargetSize = 18_000

// propagationBudgetMs is the documented limit on the time until all members have applied a change.
const propagationBudgetMs = 10_000

// Quantity is a measured resource of one member.
type Quantity struct {
	Name   string
	Budget float64 // documented limit for the control plane of a sidecar; 0: none
	value  func(*Role) float64
}

// Quantities are the resources for which slopes are fitted.
var Quantities = []Quantity{
	{"% of a core", 3.7, func(r *Role) float64 { return r.CPU }},
	{"MB", 64, func(r *Role) float64 { return r.MemoryMB }},
	{"KB/s in and out", 25, func(r *Role) float64 { return r.KBIn + r.KBOut }},
	{"frames/s in", 0, func(r *Role) float64 { return r.FramesIn }},
	{"frames/s out", 0, func(r *Role) float64 { return r.FramesOut }},
	{"descriptors", 0, func(r *Role) float64 { return r.Descriptors }},
}

// Slope is the fit of one quantity of one role over the number of members.
type Slope struct {
	Role, Quantity string
	Line
	AtTarget float64
	Budget   float64 // 0: none
}

// FitSlopes fits a line for each role and quantity that stable reports of at least two sizes contain. It also returns the sizes of the
// unstable reports, which it excludes.
func FitSlopes(reports []*Report) (out []Slope, excluded []int, err error) {
	var stable []*Report
	for _, r := range reports {
		if r.Stable() {
			stable = append(stable, r)
		} else {
			excluded = append(excluded, r.Members)
		}
	}
	fit := func(role, quantity string, budget float64, of func(*Report) (float64, bool)) {
		var points []Point
		for _, r := range stable {
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
			fit(role, q.Name, q.Budget, func(r *Report) (float64, bool) {
				for i := range r.Roles {
					if o := &r.Roles[i]; o.Name == role && role != Links && (o.CountedMembers > 0 || !strings.Contains(q.Name, "/s")) {
						return q.value(o), true
					}
				}
				return 0, false
			})
		}
	}
	fit("list service", "watches", 0, func(r *Report) (float64, bool) { return float64(r.ListService.OpenWatches), true })
	fit("list service", "lists and heartbeats/s", 0, func(r *Report) (float64, bool) { return r.ListService.Messages, true })
	fit("list service", "KB/s out", 0, func(r *Report) (float64, bool) { return r.ListService.KBOut, true })
	for _, k := range []struct {
		name string
		of   func(*Report) *PropagationTimes
	}{{"versions", func(r *Report) *PropagationTimes { return &r.Settings }}, {"lists", func(r *Report) *PropagationTimes { return &r.List }}} {
		fit(k.name, "ms to apply, p50", propagationBudgetMs, func(r *Report) (float64, bool) { f := k.of(r); return f.P50Ms, f.Expected > f.Missing })
		fit(k.name, "ms to apply, p99", propagationBudgetMs, func(r *Report) (float64, bool) { f := k.of(r); return f.P99Ms, f.Expected > f.Missing })
	}
	if len(out) == 0 {
		return nil, excluded, fmt.Errorf("%w; excluded as unstable: runs of %v members", ErrTooFewSizes, excluded)
	}
	return out, excluded, nil
}

// PrintSlopes writes slopes as a table.
func PrintSlopes(out io.Writer, all []Slope, excluded []int) {
	t := newTable(out, "role", "quantity", "points (members: figure)", "slope per member", "standard error", "intercept", "residual", fmt.Sprintf("at %d", TargetSize), "budget", "times")
	for _, s := range all {
		var points []string
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%.0f: %s", p.X, formatFigure(p.Y)))
		}
		budget, times := "-", "-"
		if s.Budget > 0 {
			budget, times = formatFigure(s.Budget), formatFigure(s.AtTarget/s.Budget)
		}
		t.AppendRow([]any{s.Role, s.Quantity, strings.Join(points, ", "), formatFigure(s.Slope), formatFigure(s.Error), formatFigure(s.Intercept), formatFigure(s.Residual), formatFigure(s.AtTarget), budget, times})
	}
	t.Render()
	if len(excluded) > 0 {
		fmt.Fprintf(out, "excluded as unstable: runs of %v members\n", excluded)
	}
}
