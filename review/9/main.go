//go:build review

// Command 9 shows that long answers are cut where a server hangs for six seconds in their midst and then goes on.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"damsonscale/review/rig"
)

const (
	servers    = 6
	answerSize = 1 << 20
	pieceSize  = 32 << 10
	pieceEvery = 50 * time.Millisecond // so an answer takes 1.6 s
	hangAt     = 2 * time.Second       // after the first request
	hangFor    = 6 * time.Second
	requests   = 80
	pause      = 50 * time.Millisecond
	deadline   = 600 * time.Millisecond
)

func settings() map[string]any {
	return map[string]any{
		"Balancers": 1, "Me": 0, "Zone": "a", "RegistryMode": "pushed", "WeightSource": "silent", "TickUs": 5000,
		"Services": []any{map[string]any{
			"Name": "view", "Semantics": "idempotent", "Group": "all", "WindowUs": 1_200_000, "AimUs": 200_000,
			"DeadlineUs": deadline.Microseconds(), "LateShare": 0, "Worth": 2,
		}},
		"Realms": []any{map[string]any{"Name": "acme", "AllowancePerS": 100, "Share": 1.0}},
		"Limits": map[string]any{
			"Cancel": true, "RetryAfter": true, "MaxAttempts": 4, "MaxRetryAfterUs": 1_000_000, "ConnIdleUs": 10_000_000, "DialTimeoutUs": 250_000,
		},
		"ScoringMix": map[string]any{"Whole": 1},
		"Guarantees": map[string]any{
			"AnswerSlackUs": 20_000, "AskEveryUs": 10_000_000, "StopSendingWithinUs": 2_000_000, "ColdFrom": 0.12, "ColdUs": 22_000_000,
			"OverloadFactor": 4, "FallUs": 1_000_000,
		},
	}
}

// server gives long answers in pieces. While it hangs it gives nothing; then it goes on with all of them.
type server struct {
	rig  *rig.Rig
	name string

	mu        sync.Mutex
	hungUntil time.Time
	cut       map[string]int // bytes that were given of answers whose connection the sidecar has ended, by the request's id
}

func (s *server) hang(d time.Duration) {
	s.rig.Logf("%s hangs for %v", s.name, d)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hungUntil = time.Now().Add(d)
}

func (s *server) awaitRunning() {
	for {
		s.mu.Lock()
		left := time.Until(s.hungUntil)
		s.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	for in := bufio.NewReader(c); ; {
		h, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := h.Header.Get("Req-Id")
		s.rig.Logf("%s runs %s", s.name, id)
		time.Sleep(40 * time.Millisecond)
		s.awaitRunning()
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", answerSize); err != nil {
			return
		}
		piece := make([]byte, pieceSize)
		for given := 0; given < answerSize; given += pieceSize {
			s.awaitRunning()
			if _, err := c.Write(piece); err != nil {
				s.mu.Lock()
				s.cut[id] = given
				s.mu.Unlock()
				s.rig.Logf("%s has given %d bytes to %s and finds the connection ended: %v", s.name, given, id, err)
				return
			}
			time.Sleep(pieceEvery)
		}
		s.rig.Logf("%s has given all to %s", s.name, id)
	}
}

func main() { rig.Main(run) }

func run(r *rig.Rig) (v rig.Verdict, err error) {
	var all []*server
	var hosts []rig.Host
	for i := range servers {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return v, err
		}
		s := &server{rig: r, name: fmt.Sprintf("s-%d", i+1), cut: map[string]int{}}
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go s.serve(c)
			}
		}()
		all = append(all, s)
		hosts = append(hosts, rig.Host{Host: s.name, Dial: ln.Addr().String(), Site: "a", Block: i, Health: "Ready", Share: 1})
	}
	discovery, err := r.NewDiscovery(hosts)
	if err != nil {
		return v, err
	}
	p, err := r.Start(rig.Sidecar{Name: "n1", Listen: rig.FreeAddr(), Discovery: discovery.Addr, Settings: settings()})
	if err != nil {
		return v, err
	}
	if err := p.AwaitReady(); err != nil {
		return v, err
	}
	if r.Trouble {
		time.AfterFunc(hangAt, func() { all[0].hang(hangFor) })
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	whole, other := 0, 0
	cut := map[string]bool{} // by the request's id
	for i := range requests {
		clients.Go(func() {
			id := fmt.Sprintf("view-%03d", i)
			status, got, err := download(p.Listen, id)
			r.Logf("client %s: status %d, %d bytes, %v", id, status, got, err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case status == http.StatusOK && err == nil && got == answerSize:
				whole++
			case status == http.StatusOK:
				cut[id] = true
			default:
				other++
			}
		})
		time.Sleep(pause)
	}
	clients.Wait()
	time.Sleep(2 * time.Second) // the server finds the ends of its connections
	stillGiven := 0             // cut answers of which the server went on to give more
	for _, s := range all {
		s.mu.Lock()
		for id, given := range s.cut {
			if cut[id] && given > 0 {
				stillGiven++
			}
		}
		s.mu.Unlock()
	}
	return rig.Verdict{
		Broken: stillGiven > 0,
		Summary: fmt.Sprintf("%d answers whole, %d refused or failed, %d cut; of these the servers went on to give %d",
			whole, other, len(cut), stillGiven),
	}, nil
}

// download reads a long answer as fast as it comes, for up to a minute.
func download(to, id string) (status int, got int64, err error) {
	c, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return 0, 0, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Minute))
	if _, err := fmt.Fprintf(c, "GET /view?obj=%s HTTP/1.1\r\nHost: app.svc\r\nReq-Id: %s\r\nReq-Deadline-Ms: %d\r\n\r\n", id, id, deadline.Milliseconds()); err != nil {
		return 0, 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0, err
	}
	got, err = io.Copy(io.Discard, resp.Body)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return resp.StatusCode, got, err
}
