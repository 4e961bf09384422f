package upstream

import "time"

// Probe makes a probe of a host: its state, or its load report where load is true.
func Probe(host string, load bool, timeout time.Duration, done func(*Attempt, Report)) *Attempt {
	head := "GET /health/live HTTP/1.1\r\nHost: " + host + "\r\n"
	if load {
		head = "GET /stats HTTP/1.1\r\nHost: " + host + "\r\n"
	}
	now := time.Now()
	return &Attempt{
		Host: host, Message: &Message{Head: []byte(head)}, Gate: &Gate{}, Sent: now, Deadline: now.Add(timeout),
		Done: func(a *Attempt, r Report) {
			if r.Load == nil && load && r.End == Answered {
				r.Load = parseLoad(r.Body)
			}
			done(a, r)
		},
	}
}
