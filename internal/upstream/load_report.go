package upstream

import (
	"bytes"
	"strconv"

	"damsonscale/decide"
)

// parseLoad parses a load report of the form "TEXT name=value, name=value" from a header or the body of a health check.
// It returns nil if there is no report. Unknown names and values that are not non-negative numbers are skipped; fields
// that are not reported are -1.
func parseLoad(text []byte) *decide.LoadReport {
	rest := bytes.TrimPrefix(bytes.TrimSpace(text), []byte("TEXT "))
	if !bytes.Contains(rest, []byte{'='}) {
		return nil
	}
	l := &decide.LoadReport{InFlight: -1, QueueLength: -1, Utilization: -1, ServiceTimeMs: -1, RequestRate: -1, ErrorRate: -1}
	fields := map[string]*float64{
		"inflight": &l.InFlight, "queue": &l.QueueLength, "util": &l.Utilization, "latency_ms": &l.ServiceTimeMs, "qps": &l.RequestRate,
		"eps": &l.ErrorRate,
	}
	for pair := range bytes.SplitSeq(rest, []byte{','}) {
		name, value, _ := bytes.Cut(bytes.TrimSpace(pair), []byte{'='})
		to, known := fields[string(name)]
		if v, err := strconv.ParseFloat(string(value), 64); err == nil && known && v >= 0 {
			*to = v
		}
	}
	return l
}
