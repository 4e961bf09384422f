//go:build review

package rig

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Host is a server's entry in the list of discovery.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
}

// Discovery is a discovery service. It tells each change at once.
type Discovery struct {
	Addr string

	mu      sync.Mutex
	seq     int
	hosts   []Host
	changed chan struct{}
}

// NewDiscovery starts a discovery service.
func (r *Rig) NewDiscovery(hosts []Host) (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: ln.Addr().String(), seq: 1, hosts: hosts, changed: make(chan struct{})}
	go http.Serve(ln, http.HandlerFunc(d.serve))
	return d, nil
}

// Set replaces the list.
func (d *Discovery) Set(hosts []Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	d.hosts = hosts
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Discovery) serve(w http.ResponseWriter, req *http.Request) {
	for told := 0; ; {
		d.mu.Lock()
		seq, hosts, changed := d.seq, d.hosts, d.changed
		d.mu.Unlock()
		if seq > told {
			told = seq
			json.NewEncoder(w).Encode(map[string]any{"seq": seq, "whole": true, "hosts": hosts})
		}
		if req.URL.Query().Get("watch") != "1" {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-req.Context().Done():
			return
		case <-changed:
		case <-time.After(2 * time.Second):
			io.WriteString(w, "\n")
		}
	}
}

// Request is a request that a server has got whole.
type Request struct {
	Server, ID, Key, Method, Path string
	Body                          []byte
	At                            time.Time // when its last byte came
}

// Answer is what a server does with a request. The zero value closes the connection.
type Answer struct {
	After    time.Duration
	Status   int
	Body     string
	Declined bool
}

// NewServer starts a server that calls handle for each request that it has got whole, and records them.
func (r *Rig) NewServer(name string, handle func(*Request) Answer) (addr string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serveConn(r, c, name, handle)
		}
	}()
	return ln.Addr().String(), nil
}

func serveConn(r *Rig, c net.Conn, name string, handle func(*Request) Answer) {
	defer c.Close()
	for in := bufio.NewReader(c); ; {
		h, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(h.Body)
		if err != nil {
			return // it has not come whole
		}
		if strings.HasPrefix(h.URL.Path, "/health/") || h.URL.Path == "/stats" {
			io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		q := &Request{
			Server: name, ID: h.Header.Get("Req-Id"), Key: h.Header.Get("Idempotency-Key"), Method: h.Method, Path: h.URL.Path, Body: body, At: time.Now(),
		}
		a := handle(q)
		time.Sleep(a.After)
		if a.Status == 0 {
			return
		}
		extra := ""
		if a.Declined {
			extra = "Srv-Declined: 1\r\n"
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", a.Status, extra, len(a.Body), a.Body); err != nil {
			return
		}
	}
}

// Ask is a request of a client, sent on a connection of its own.
type Ask struct {
	To, Method, Path, ID, Key string
	Deadline                  time.Duration // told to the sidecar
	GiveUp                    time.Duration // after which the client closes its connection; 0: half a second after Deadline
	Resume                    bool
	Body                      []byte
}

// Reply is what a client has got.
type Reply struct {
	Status int    // 0: no whole answer
	Body   string // of a whole answer
	Err    string // why there is no whole answer
	GaveUp bool   // the client has closed the connection
	Taken  bool   // the last byte of the request was written
	Took   time.Duration
}

// String returns the reply for the record.
func (p Reply) String() string {
	switch {
	case p.Status != 0:
		return fmt.Sprintf("%d after %d ms: %.60s", p.Status, p.Took.Milliseconds(), p.Body)
	case p.GaveUp:
		return fmt.Sprintf("gave up after %d ms", p.Took.Milliseconds())
	}
	return fmt.Sprintf("no answer after %d ms: %s", p.Took.Milliseconds(), p.Err)
}

// Do sends a request and waits for its answer.
func (a Ask) Do() (p Reply) {
	start := time.Now()
	defer func() { p.Took = time.Since(start) }()
	if a.GiveUp == 0 {
		a.GiveUp = a.Deadline + 500*time.Millisecond
	}
	c, err := net.DialTimeout("tcp", a.To, a.GiveUp)
	if err != nil {
		p.Err = err.Error()
		return p
	}
	defer c.Close()
	c.SetDeadline(start.Add(a.GiveUp))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: app.svc\r\nReq-Id: %s\r\nReq-Deadline-Ms: %d\r\n", a.Method, a.Path, a.ID, a.Deadline.Milliseconds())
	if a.Key != "" {
		fmt.Fprintf(&head, "Idempotency-Key: %s\r\n", a.Key)
	}
	if a.Resume {
		head.WriteString("Req-Resume: 1\r\n")
	}
	if a.Method == http.MethodPost {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(a.Body))
	}
	head.WriteString("\r\n")
	if _, err = c.Write(append([]byte(head.String()), a.Body...)); err == nil {
		p.Taken = true
		var resp *http.Response
		if resp, err = http.ReadResponse(bufio.NewReader(c), &http.Request{Method: a.Method}); err == nil {
			var body []byte
			if body, err = io.ReadAll(resp.Body); err == nil {
				p.Status, p.Body = resp.StatusCode, string(body)
				return p
			}
		}
	}
	var timeout net.Error
	p.GaveUp, p.Err = errors.As(err, &timeout) && timeout.Timeout(), err.Error()
	return p
}

// Link is the way from one member of a fleet to another.
type Link struct {
	Addr string

	mu  sync.Mutex
	cut bool
}

// NewLink starts a link to a member.
func (r *Rig) NewLink(to string) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{Addr: ln.Addr().String()}
	go func() {
		for {
			from, err := ln.Accept()
			if err != nil {
				return
			}
			go l.carry(from, to)
		}
	}()
	return l, nil
}

// Cut makes the link lose all messages, or ends that.
func (l *Link) Cut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *Link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// carry forwards the bytes of one connection. A connection that has lost bytes carries no more, and ends when the link is whole
// again.
func (l *Link) carry(from net.Conn, address string) {
	defer from.Close()
	var to net.Conn
	buf, lost := make([]byte, 64<<10), false
	for {
		from.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		n, err := from.Read(buf)
		cut := l.isCut()
		lost = lost || cut && n > 0
		if lost && !cut {
			break
		}
		if n > 0 && !lost {
			if to == nil {
				var dialErr error
				if to, dialErr = net.DialTimeout("tcp", address, time.Second); dialErr != nil {
					return
				}
				go func(to net.Conn) { // members send nothing back; a read ends with the connection
					io.Copy(io.Discard, to)
					from.Close()
				}(to)
			}
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		var timeout net.Error
		if err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
			break
		}
	}
	if to != nil {
		to.Close()
	}
}
