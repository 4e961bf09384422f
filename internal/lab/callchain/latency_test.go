package callchain

import (
	"math"
	"testing"
)

func approxEqual(got, want, part float64) bool { return math.Abs(got-want) <= part*math.Abs(want) }

// A hop has the quantiles that were asked for.
func TestHopHasItsQuantiles(t *testing.T) {
	for shape, make := range map[string]func(p50, p99, bin, most float64) (Histogram, error){"log-normal": LogNormal, "pareto": Pareto} {
		h, err := make(100, 400, 2, 20_000)
		if err != nil {
			t.Fatal(err)
		}
		if !approxEqual(h.Quantile(0.5), 100, 0.02) || !approxEqual(h.Quantile(0.99), 400, 0.01) || !approxEqual(h.ShareOver(400), 0.01, 0.03) {
			t.Errorf("%s: p50 %v p99 %v over 400: %v", shape, h.Quantile(0.5), h.Quantile(0.99), h.ShareOver(400))
		}
		if _, err := make(400, 100, 2, 20_000); err == nil {
			t.Errorf("%s: p99 below p50 passed", shape)
		}
	}
}

// The sum of hops of two values each is as computed by hand.
func TestSumOfTwoValues(t *testing.T) {
	hop := Histogram{BinMicros: 100, Shares: []float64{0.98, 0, 0, 0.02}, terms: 1} // 50 and 350 µs
	a := SumOverHops(hop, 3, 50, 350)
	if want := 3 * 0.02 * 0.02; !approxEqual(hop.Plus(hop).Plus(hop).ShareOver(500), 3*0.98*0.02*0.02+math.Pow(0.02, 3), 1e-9) {
		t.Errorf("two slow of three: %v, about %v", hop.Plus(hop).Plus(hop).ShareOver(500), want)
	}
	if a.IndependentP50 != 150 || a.IndependentP99 != 450 || a.DependentP99 != 1050 || !approxEqual(a.AnyHopOver, 0, 0) {
		t.Errorf("%+v", a)
	}
	if one := SumOverHops(hop, 1, 50, 350); one.IndependentP99 != one.DependentP99 || one.IndependentOver != one.DependentOver {
		t.Errorf("one hop: %+v", one)
	}
}

// A sum loses no shares, and independent hops add up to less in the tail than hops that are slow together.
func TestSumOfSeven(t *testing.T) {
	for shape, make := range map[string]func(p50, p99, bin, most float64) (Histogram, error){"log-normal": LogNormal, "pareto": Pareto} {
		h, err := make(100, 400, 10, 10_000)
		if err != nil {
			t.Fatal(err)
		}
		all, mean, total := h, 0.0, 0.0
		for range 6 {
			all = all.Plus(h)
		}
		for i, p := range h.Shares {
			mean += p * h.binMiddle(i)
		}
		of := 0.0
		for i, p := range all.Shares {
			total, of = total+p, of+p*all.binMiddle(i)
		}
		if !approxEqual(total, 1, 1e-9) || !approxEqual(of, 7*mean, 1e-9) {
			t.Errorf("%s: shares add up to %v, mean %v, want %v", shape, total, of, 7*mean)
		}
		a := SumOverHops(h, 7, 100, 400)
		if a.IndependentP99 >= a.DependentP99 || a.IndependentOver >= a.DependentOver || !approxEqual(a.AnyHopOver, 1-math.Pow(0.99, 7), 0.05) {
			t.Errorf("%s: %v", shape, a)
		}
	}
}
