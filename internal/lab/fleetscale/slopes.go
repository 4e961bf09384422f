package fleetscale

import (
	"errors"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measured figure at a size.
type Point struct{ X, Y float64 }

// Line is a line through points, by least squares.
type Line struct {
	Points    []Point
	Slope     float64 // of Y for one more of X
	Intercept float64
	Residual  float64 // root of the mean square of what the points are off the line
	Error     float64 // standard error of Slope; 0 with two points, of which it can't be told
}

// At is the line's height.
func (l *Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// ErrPoints tells that there is no line through what was given.
var ErrTooFewSizes = errors.New("a slope needs points of two sizes at least")

// Fit draws a line through points of two sizes at least.
func Fit(points []Point) (*Line, error) {
	x, y := make([]float64, len(points)), make([]float64, len(points))
	apart := false
	for i, p := range points {
		x[i], y[i] = p.X, p.Y
		apart = apart || p.X != points[0].X
	}
	if !apart {
		return nil, ErrTooFewSizes
	}
	l := &Line{Points: points}
	l.Intercept, l.Slope = stat.LinearRegression(x, y, nil, false)
	sum := 0.0
	for _, p := range points {
		sum += (p.Y - l.At(p.X)) * (p.Y - l.At(p.X))
	}
	l.Residual = math.Sqrt(sum / float64(len(points)))
	if free := float64(len(points) - 2); free > 0 {
		l.Error = math.Sqrt(sum / free / (stat.Variance(x, nil) * float64(len(points)-1)))
	}
	return l, nil
}
