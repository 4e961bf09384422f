package callchain

import (
	"math"
	"testing"
)

func approxEqual(got, want, part float64) bool { return math.Abs(got-want) <= part*math.Abs(want) }

// A distribution has the requested quantiles, and invalid quantiles are rejected.
func TestDistributionHasRequestedQuantiles(t *testing.T) {
	for shape, newHistogram := range map[string]func(p50, p99, bin, limit float64) (Histogram, error){"log-normal": LogNormal, "pareto": Pareto} {
		h, err := newHistogram(100, 400, 2, 20_000)
		if err != nil {
			t.Fatal(err)
		}
		if !approxEqual(h.Quantile(0.5), 100, 0.02) || !approxEqual(h.Quantile(0.99), 400, 0.01) || !approxEqual(h.ShareOver(400), 0.01, 0.03) {
			t.Errorf("%s: p50 %v, p99 %v, share over 400: %v; want about 100, 400 and 0.01", shape, h.Quantile(0.5), h.Quantile(0.99), h.ShareOver(400))
		}
		if _, err := newHistogram(400, 100, 2, 20_000); err == nil {
			t.Errorf("%s: no error for a p99 below p50", shape)
		}
	}
}

// The sum of hops that take one of two values equals the values computed by hand.
func TestSumOfHopsWithTwoLatencies(t *testing.T) {
	hop := Histogram{BinMicros: 100, Shares: []float64{0.98, 0, 0, 0.02}, terms: 1} // 50 and 350 µs
	a := SumOverHops(hop, 3, 50, 350)
	if want := 3 * 0.02 * 0.02; !approxEqual(hop.Plus(hop).Plus(hop).ShareOver(500), 3*0.98*0.02*0.02+math.Pow(0.02, 3), 1e-9) {
		t.Errorf("share of calls with at least two slow hops of three: %v, want about %v", hop.Plus(hop).Plus(hop).ShareOver(500), want)
	}
	if a.IndependentP50 != 150 || a.IndependentP99 != 450 || a.DependentP99 != 1050 || !approxEqual(a.AnyHopOver, 0, 0) {
		t.Errorf("three hops: %+v, want independent p50 150 and p99 450, dependent p99 1050, and no hop over p99", a)
	}
	if one := SumOverHops(hop, 1, 50, 350); one.IndependentP99 != one.DependentP99 || one.IndependentOver != one.DependentOver {
		t.Errorf("one hop: independent and dependent figures differ: %+v", one)
	}
}

// The shares of a sum add up to 1, its mean is the sum of the means, and the tail of independent hops is shorter than that of dependent hops.
func TestSumOfSevenHops(t *testing.T) {
	for shape, newHistogram := range map[string]func(p50, p99, bin, limit float64) (Histogram, error){"log-normal": LogNormal, "pareto": Pareto} {
		h, err := newHistogram(100, 400, 10, 10_000)
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
		weighted := 0.0
		for i, p := range all.Shares {
			total, weighted = total+p, weighted+p*all.binMiddle(i)
		}
		if !approxEqual(total, 1, 1e-9) || !approxEqual(weighted, 7*mean, 1e-9) {
			t.Errorf("%s: shares add up to %v, want 1; mean %v, want %v", shape, total, weighted, 7*mean)
		}
		a := SumOverHops(h, 7, 100, 400)
		if a.IndependentP99 >= a.DependentP99 || a.IndependentOver >= a.DependentOver || !approxEqual(a.AnyHopOver, 1-math.Pow(0.99, 7), 0.05) {
			t.Errorf("%s: want a shorter tail for independent hops, and a share of about %.3f of calls with a hop over p99, got %v", shape, 1-math.Pow(0.99, 7), a)
		}
	}
}
