package upstream

import "time"

// NewHealthCheck returns a health check of a host or, if load is true, a request for its load report. The result passed
// to onDone contains the load report, or nil if there is none.
func NewHealthCheck(host string, load bool, timeout time.Duration, onDone func(*Attempt, AttemptResult)) *Attempt {
	head := "GET /health/live HTTP/1.1\r\nHost: " + host + "\r\n"
	if load {
		head = "GET /stats HTTP/1.1\r\nHost: " + host + "\r\n"
	}
	now := time.Now()
	return &Attempt{
		Host: host, Message: &Message{Head: []byte(head)}, Gate: &Gate{}, DecidedAt: now, Deadline: now.Add(timeout), CountsMemory: true,
		OnDone: func(a *Attempt, r AttemptResult) {
			if r.Load == nil && load && r.Reason == Succeeded {
				r.Load = parseLoad(r.Body)
			}
			onDone(a, r)
		},
	}
}
