package scale

import (
	"errors"
	"fmt"
	"io"
	"strings"
)

// Target is the size that slopes are followed to.
const Target = 18_000

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
	{"frames/s in", 0, func(r *Role) float64 { return r.In }},
	{"frames/s out", 0, func(r *Role) float64 { return r.Out }},
	{"descriptors", 0, func(r *Role) float64 { return r.Descriptors }},
}

// Slope is how one quantity of one role goes with the number of members.
type Slope struct {
	Role, Quantity string
	Line
	AtTarget float64
	Budget   float64 // 0: none
}

// Slopes draws a line for each role and quantity that reports of two sizes at least have.
func Slopes(reports []*Report) (out []Slope, err error) {
	for _, role := range Roles {
		for _, q := range Quantities {
			var points []Point
			for _, r := range reports {
				for i := range r.Roles {
					if o := &r.Roles[i]; o.Name == role && (o.Counted > 0 || !strings.Contains(q.Name, "/s")) {
						points = append(points, Point{float64(r.Members), q.of(o)})
					}
				}
			}
			l, err := Fit(points)
			if errors.Is(err, ErrPoints) {
				continue
			}
			if err != nil {
				return nil, err
			}
			out = append(out, Slope{role, q.Name, *l, l.At(Target), q.Budget})
		}
	}
	if len(out) == 0 {
		return nil, ErrPoints
	}
	return out, nil
}

// PrintSlopes tells slopes.
func PrintSlopes(out io.Writer, all []Slope) {
	t := newTable(out, "role", "quantity", "points (members: figure)", "slope a member", "intercept", "residual", fmt.Sprintf("at %d", Target), "budget", "times")
	for _, s := range all {
		var points []string
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%.0f: %s", p.X, figure(p.Y)))
		}
		budget, times := "-", "-"
		if s.Budget > 0 {
			budget, times = figure(s.Budget), figure(s.AtTarget/s.Budget)
		}
		t.AppendRow([]any{s.Role, s.Quantity, strings.Join(points, ", "), figure(s.Slope), figure(s.Intercept), figure(s.Residual), figure(s.AtTarget), budget, times})
	}
	t.Render()
}
