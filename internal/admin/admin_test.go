package admin

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"damsonscale/internal/lifecycle"
)

// startServer serves the admin API of a new process and returns its lifecycle and the API's address.
func startServer(t *testing.T) (*lifecycle.Tracker, string) {
	t.Helper()
	life := &lifecycle.Tracker{}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go New(life).Serve(ln)
	return life, ln.Addr().String()
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// sendRequest sends raw bytes and returns the status, the body and the Allow header of the response. The server must close
// the connection after the response.
func sendRequest(t *testing.T, addr, raw string) (status int, body, allow string) {
	t.Helper()
	c := dial(t, addr)
	io.WriteString(c, raw)
	br := bufio.NewReader(c)
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatalf("%.40q: %v", raw, err)
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if n, _ := io.Copy(io.Discard, br); n > 0 {
		t.Fatalf("%.40q: got %d bytes after the response, want none", raw, n)
	}
	return resp.StatusCode, string(b), resp.Header.Get("Allow")
}

const (
	health        = "GET /healthcheck HTTP/1.1\r\nHost: h\r\n\r\n"
	startDraining = "POST /healthcheck/fail HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
	stopDraining  = "POST /healthcheck/ok HTTP/1.1\r\nHost: h\r\n\r\n"
)

// Each call is answered with the stage after it, also if it is repeated. No call undoes a termination.
func TestCallsAreAnsweredWithTheStage(t *testing.T) {
	life, addr := startServer(t)
	for _, s := range []struct {
		before func()
		raw    string
		status int
		body   string
	}{
		{nil, health, 503, "starting\n"},
		{func() { life.MarkReady() }, health, 200, "serving\n"},
		{nil, startDraining, 200, "drained\n"},
		{nil, startDraining, 200, "drained\n"},
		{nil, health, 200, "drained\n"},
		{nil, stopDraining, 200, "serving\n"},
		{nil, stopDraining, 200, "serving\n"},
		{func() { life.Terminate() }, startDraining, 200, "ending\n"},
		{nil, stopDraining, 409, "ending\n"},
		{nil, health, 503, "ending\n"},
	} {
		if s.before != nil {
			s.before()
		}
		if status, body, _ := sendRequest(t, addr, s.raw); status != s.status || body != s.body {
			t.Errorf("%.24q: got status %d and body %q, want %d and %q", s.raw, status, body, s.status, s.body)
		}
	}
}

// An invalid request is rejected without an effect on the stage, and its connection is closed.
func TestInvalidRequestsAreRejected(t *testing.T) {
	life, addr := startServer(t)
	life.MarkReady()
	for _, c := range []struct {
		raw    string
		status int
		allow  string
	}{
		{"POST /healthcheck HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", 405, "GET"},
		{"GET /healthcheck/fail HTTP/1.1\r\nHost: h\r\n\r\n", 405, "POST"},
		{"GET /healthcheck/ok HTTP/1.1\r\nHost: h\r\n\r\n", 405, "POST"},
		{"GET /stats HTTP/1.1\r\nHost: h\r\n\r\n", 404, ""},
		{"noise\r\n\r\n", 400, ""},
		{"GET /healthcheck HTTP/1.1\r\nX: " + strings.Repeat("x", maxHeadBytes) + "\r\n\r\n", 431, ""},
		{"POST /healthcheck/fail HTTP/1.1\r\nHost: h\r\nContent-Length: 99999\r\n\r\n", 413, ""},
	} {
		if status, _, allow := sendRequest(t, addr, c.raw); status != c.status || allow != c.allow {
			t.Errorf("%.40q: got status %d and Allow header %q, want %d and %q", c.raw, status, allow, c.status, c.allow)
		}
	}
	if s := life.Stage(); s != lifecycle.Serving {
		t.Fatalf("got stage %v after invalid requests, want %v", s, lifecycle.Serving)
	}
}

// Clients that send nothing or an incomplete request must not block the admin API for others.
func TestOldestConnectionIsClosedOverTheLimit(t *testing.T) {
	life, addr := startServer(t)
	life.MarkReady()
	var silent []net.Conn
	for i := range 4 * MaxConnections {
		c := dial(t, addr)
		if i%2 == 0 {
			io.WriteString(c, "POST /healthch")
		}
		silent = append(silent, c)
	}
	if status, _, _ := sendRequest(t, addr, health); status != 200 {
		t.Fatalf("got status %d with all connections in use, want 200", status)
	}
	if _, err := io.Copy(io.Discard, silent[0]); err != nil && !bytes.Contains([]byte(err.Error()), []byte("reset")) {
		t.Fatalf("read from the oldest connection: got error %v, want that it is closed", err)
	}
}

func TestRequestSentByteByByteIsAnswered(t *testing.T) {
	life, addr := startServer(t)
	life.MarkReady()
	c := dial(t, addr)
	for _, b := range []byte(startDraining) {
		if _, err := c.Write([]byte{b}); err != nil {
			t.Fatal(err)
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != 200 || life.Stage() != lifecycle.Draining {
		t.Fatalf("got response %v, error %v and stage %v, want status 200 and stage %v", resp, err, life.Stage(), lifecycle.Draining)
	}
}
