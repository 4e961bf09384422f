package upstream

import "time"

// NewHealthCheck makes a probe of a host: its state, or its load report where load is true.
func NewHealthCheck(host string, load bool, timeout time.Duration, done func(*Attempt, AttemptResult)) *Attempt {
	head := "GET /health/live HTTP/1.1\r\nHost: " + host + "\r\n"
	if load {
		head = "GET /stats HTTP/1.1\r\nHost: " + host + "\r\n"
	}
	now := time.Now()
	return &Attempt{
		Host: host, Message: &Message{Head: []byte(head)}, Gate: &Gate{}, DecidedAt: now, Deadline: now.Add(timeout),
		OnDone: func(a *Attempt, r AttemptResult) {
			if r.Load == nil && load && r.Reason == Answered {
				r.Load = parseLoad(r.Body)
			}
			done(a, r)
		},
	}
}
