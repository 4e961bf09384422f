package callchain

import (
	"fmt"
	"math"
)

// maxBins is the maximum number of bins in a histogram.
const maxBins = 20_000

// z99 is the 99th percentile of the standard normal distribution.
const z99 = 2.3263478740408408

// Histogram is the distribution of a latency, in bins of equal width that start at 0. The last bin also contains all higher latencies.
type Histogram struct {
	BinMicros float64   // width of a bin, µs
	Shares    []float64 // share of the latencies in each bin, 0 to 1
	terms     int       // number of latencies in the sum, each represented by the middle of its bin
}

// LogNormal returns the log-normal distribution with the given median and 99th percentile, in bins up to a limit. All values are in µs.
func LogNormal(p50, p99, bin, limit float64) (Histogram, error) {
	sigma := math.Log(p99/p50) / z99
	return fromCDF(p50, p99, bin, limit, func(x float64) float64 { return 0.5 * math.Erfc(-math.Log(x/p50)/sigma/math.Sqrt2) })
}

// Pareto returns a heavy-tailed distribution with the given median and 99th percentile: uniform below p50, a power law above. All values are in µs.
func Pareto(p50, p99, bin, limit float64) (Histogram, error) {
	power := math.Log(50) / math.Log(p99/p50)
	return fromCDF(p50, p99, bin, limit, func(x float64) float64 {
		if x <= p50 {
			return 0.5 * x / p50
		}
		return 1 - 0.5*math.Pow(x/p50, -power)
	})
}

// fromCDF returns the histogram of a cumulative distribution function.
func fromCDF(p50, p99, bin, limit float64, cdf func(x float64) float64) (Histogram, error) {
	n := int(limit / bin)
	if !(p50 > 0 && p99 > p50 && bin > 0 && limit > p99) || n > maxBins {
		return Histogram{}, fmt.Errorf("chain: p50 %v µs, p99 %v µs, bins of %v µs up to a limit of %v µs: want 0 < p50 < p99 < limit, and at most 20000 bins", p50, p99, bin, limit)
	}
	h := Histogram{BinMicros: bin, Shares: make([]float64, n), terms: 1}
	below := 0.0
	for i := range h.Shares {
		upTo := cdf(float64(i+1) * bin)
		h.Shares[i], below = upTo-below, upTo
	}
	h.Shares[n-1] += 1 - below
	return h, nil
}

// Plus returns the distribution of the sum of two independent latencies. Both histograms must have bins of equal width.
func (h Histogram) Plus(o Histogram) Histogram {
	sum := Histogram{BinMicros: h.BinMicros, Shares: make([]float64, len(h.Shares)+len(o.Shares)-1), terms: h.terms + o.terms}
	for i, p := range h.Shares {
		for j, q := range o.Shares {
			sum.Shares[i+j] += p * q
		}
	}
	return sum
}

// binMiddle returns the latency in µs that a bin represents: the sum of the middles of the bins of all terms.
func (h Histogram) binMiddle(i int) float64 { return (float64(i) + float64(h.terms)/2) * h.BinMicros }

// ShareOver returns the share of latencies above a limit in µs, to the precision of a bin.
func (h Histogram) ShareOver(micros float64) (share float64) {
	for i := len(h.Shares) - 1; i >= 0 && h.binMiddle(i) > micros; i-- {
		share += h.Shares[i]
	}
	return share
}

// Quantile returns the q-quantile of the latency in µs, to the precision of a bin.
func (h Histogram) Quantile(q float64) float64 {
	below := 0.0
	for i, p := range h.Shares {
		if below += p; below >= q {
			return h.binMiddle(i)
		}
	}
	return h.binMiddle(len(h.Shares) - 1)
}

// AddedLatency is the latency that all hops of a chain together add to a call. Latencies are in µs, shares 0 to 1.
type AddedLatency struct {
	Hops                   int     `json:"Hops"`
	HopP50                 float64 `json:"HopP50"`
	HopP99                 float64 `json:"HopP99"`
	IndependentP50         float64 `json:"IndependentP50"`
	IndependentP99         float64 `json:"IndependentP99"`
	IndependentOver        float64 `json:"IndependentOver"` // share of calls that take longer than Hops times HopP99
	DependentP50           float64 `json:"DependentP50"`    // all hops of a call are equally slow: each quantile is Hops times the quantile of a hop
	DependentP99           float64 `json:"DependentP99"`
	DependentOver          float64 `json:"DependentOver"`
	AnyHopOver             float64 `json:"AnyHopOver"`             // share of calls with at least one hop above HopP99, for independent hops
	IndependentOverOneSlow float64 `json:"IndependentOverOneSlow"` // share of calls that take longer than (Hops-1) times HopP50 plus HopP99, for independent hops
}

// SumOverHops returns the added latency of a chain of equal hops, each with the given distribution and its quantiles p50 and p99 in µs.
func SumOverHops(hop Histogram, hops int, p50, p99 float64) AddedLatency {
	all := hop
	for range hops - 1 {
		all = all.Plus(hop)
	}
	n := float64(hops)
	return AddedLatency{
		Hops: hops, HopP50: p50, HopP99: p99,
		IndependentP50: all.Quantile(0.5), IndependentP99: all.Quantile(0.99), IndependentOver: all.ShareOver(n * p99),
		DependentP50: n * p50, DependentP99: n * p99, DependentOver: hop.ShareOver(p99),
		AnyHopOver: 1 - math.Pow(1-hop.ShareOver(p99), n), IndependentOverOneSlow: all.ShareOver((n-1)*p50 + p99),
	}
}

// String returns the added latency on one line.
func (a AddedLatency) String() string {
	return fmt.Sprintf("reckoned hops=%d hop_p50=%.0fus hop_p99=%.0fus independent: p50=%.0fus p99=%.0fus over_%.0fus=%.2g "+
		"dependent: p50=%.0fus p99=%.0fus over=%.2g any_hop_over_p99=%.3f over_one_slow=%.3f",
		a.Hops, a.HopP50, a.HopP99, a.IndependentP50, a.IndependentP99, float64(a.Hops)*a.HopP99, a.IndependentOver,
		a.DependentP50, a.DependentP99, a.DependentOver, a.AnyHopOver, a.IndependentOverOneSlow)
}
