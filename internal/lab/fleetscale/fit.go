package fleetscale

import (
	"errors"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is a measured figure Y at size X.
type Point struct{ X, Y float64 }

// Line is a linear least squares fit.
type Line struct {
	Points    []Point
	Slope     float64 // increase of Y per unit of X
	Intercept float64
	Residual  float64 // root mean square distance of the points from the line, in Y
	Error     float64 // standard error of Slope; 0 with two points, which do not determine it
}

// At returns the value of the line at x.
func (l *Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// ErrTooFewSizes is returned if all points have the same size, so that they determine no slope.
var ErrTooFewSizes = errors.New("a slope needs points of at least two sizes")

// Fit fits a line to points of at least two sizes.
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
