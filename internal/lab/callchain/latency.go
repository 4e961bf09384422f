package callchain

import (
	"fmt"
	"math"
)

// Histogram is a distribution of a latency: the part of all in each bin, the first from 0. The last one holds the rest too.
type Histogram struct {
	BinUs float64
	Parts []float64
	terms int // latencies that were added up: each counts as the middle of its bin
}

// LogNormal is the log-normal distribution that has these two quantiles, in bins up to the most (all in µs).
func LogNormal(p50, p99, bin, most float64) (Histogram, error) {
	sigma := math.Log(p99/p50) / 2.3263478740408408
	return fromCDF(p50, p99, bin, most, func(x float64) float64 { return 0.5 * math.Erfc(-math.Log(x/p50)/sigma/math.Sqrt2) })
}

// Pareto has these two quantiles and a heavier tail: above p50 it falls as a power, below it is even.
func Pareto(p50, p99, bin, most float64) (Histogram, error) {
	power := math.Log(50) / math.Log(p99/p50)
	return fromCDF(p50, p99, bin, most, func(x float64) float64 {
		if x <= p50 {
			return 0.5 * x / p50
		}
		return 1 - 0.5*math.Pow(x/p50, -power)
	})
}

func fromCDF(p50, p99, bin, most float64, cdf func(x float64) float64) (Histogram, error) {
	n := int(most / bin)
	if !(p50 > 0 && p99 > p50 && bin > 0 && most > p99) || n > 20_000 {
		return Histogram{}, fmt.Errorf("chain: p50 %v, p99 %v, bins of %v up to %v µs: want 0 < p50 < p99 < most, and 20000 bins at most", p50, p99, bin, most)
	}
	h := Histogram{BinUs: bin, Parts: make([]float64, n), terms: 1}
	below := 0.0
	for i := range h.Parts {
		upTo := cdf(float64(i+1) * bin)
		h.Parts[i], below = upTo-below, upTo
	}
	h.Parts[n-1] += 1 - below
	return h, nil
}

// Plus is the distribution of the sum of two independent latencies in bins of one size.
func (h Histogram) Plus(o Histogram) Histogram {
	sum := Histogram{BinUs: h.BinUs, Parts: make([]float64, len(h.Parts)+len(o.Parts)-1), terms: h.terms + o.terms}
	for i, p := range h.Parts {
		for j, q := range o.Parts {
			sum.Parts[i+j] += p * q
		}
	}
	return sum
}

// value of a bin: each term lies in the middle of its own.
func (h Histogram) value(i int) float64 { return (float64(i) + float64(h.terms)/2) * h.BinUs }

// Over is the share of latencies over that many µs, off by a bin.
func (h Histogram) Over(us float64) (share float64) {
	for i := len(h.Parts) - 1; i >= 0 && h.value(i) > us; i-- {
		share += h.Parts[i]
	}
	return share
}

// Quantile is the latency that a share of q stay within, in µs, off by a bin.
func (h Histogram) Quantile(q float64) float64 {
	below := 0.0
	for i, p := range h.Parts {
		if below += p; below >= q {
			return h.value(i)
		}
	}
	return h.value(len(h.Parts) - 1)
}

// Added is what the hops of a chain add to a call together. Times are µs, shares 0 to 1.
type Added struct {
	Hops                   int
	HopP50, HopP99         float64
	IndependentP50         float64
	IndependentP99         float64
	IndependentOver        float64 // share of calls with more than Hops times HopP99
	DependentP50           float64 // all hops of a call are slow together: each quantile is Hops times one hop's
	DependentP99           float64
	DependentOver          float64
	AnyHopOver             float64 // share of calls with a hop over HopP99, where hops are independent
	IndependentOverOneSlow float64 // share of calls with more than (Hops-1) times HopP50 and one HopP99
}

// Sum adds a hop's latency up over a chain.
func Sum(hop Histogram, hops int, p50, p99 float64) Added {
	all := hop
	for range hops - 1 {
		all = all.Plus(hop)
	}
	n := float64(hops)
	return Added{
		Hops: hops, HopP50: p50, HopP99: p99,
		IndependentP50: all.Quantile(0.5), IndependentP99: all.Quantile(0.99), IndependentOver: all.Over(n * p99),
		DependentP50: n * p50, DependentP99: n * p99, DependentOver: hop.Over(p99),
		AnyHopOver: 1 - math.Pow(1-hop.Over(p99), n), IndependentOverOneSlow: all.Over((n-1)*p50 + p99),
	}
}

// String is the sum on one line.
func (a Added) String() string {
	return fmt.Sprintf("reckoned hops=%d hop_p50=%.0fus hop_p99=%.0fus independent: p50=%.0fus p99=%.0fus over_%.0fus=%.2g dependent: p50=%.0fus p99=%.0fus over=%.2g "+
		"any_hop_over_p99=%.3f over_one_slow=%.3f", a.Hops, a.HopP50, a.HopP99, a.IndependentP50, a.IndependentP99, float64(a.Hops)*a.HopP99, a.IndependentOver,
		a.DependentP50, a.DependentP99, a.DependentOver, a.AnyHopOver, a.IndependentOverOneSlow)
}
