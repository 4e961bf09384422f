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

func open(t *testing.T) (*lifecycle.Tracker, string) {
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

// call writes raw bytes and returns the status, the body and the Allow header of the answer, after which the
// connection must have ended.
func call(t *testing.T, addr, raw string) (status int, body, allow string) {
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
		t.Fatalf("%.40q: %d bytes after the answer", raw, n)
	}
	return resp.StatusCode, string(b), resp.Header.Get("Allow")
}

const (
	get  = "GET /healthcheck HTTP/1.1\r\nHost: h\r\n\r\n"
	fail = "POST /healthcheck/fail HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
	ok   = "POST /healthcheck/ok HTTP/1.1\r\nHost: h\r\n\r\n"
)

// Each call answers the stage after it, repeated or not, and none undoes a termination.
func TestCalls(t *testing.T) {
	life, addr := open(t)
	for _, s := range []struct {
		before func()
		raw    string
		status int
		body   string
	}{
		{nil, get, 503, "starting\n"},
		{func() { life.MarkReady() }, get, 200, "serving\n"},
		{nil, fail, 200, "drained\n"},
		{nil, fail, 200, "drained\n"},
		{nil, get, 200, "drained\n"},
		{nil, ok, 200, "serving\n"},
		{nil, ok, 200, "serving\n"},
		{func() { life.Terminate() }, fail, 200, "ending\n"},
		{nil, ok, 409, "ending\n"},
		{nil, get, 503, "ending\n"},
	} {
		if s.before != nil {
			s.before()
		}
		if status, body, _ := call(t, addr, s.raw); status != s.status || body != s.body {
			t.Errorf("%.24q: %d %q, want %d %q", s.raw, status, body, s.status, s.body)
		}
	}
}

// What is no call is rejected, and its connection closed.
func TestMalformedCallsAreRejected(t *testing.T) {
	life, addr := open(t)
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
		if status, _, allow := call(t, addr, c.raw); status != c.status || allow != c.allow {
			t.Errorf("%.40q: %d Allow %q, want %d %q", c.raw, status, allow, c.status, c.allow)
		}
	}
	if s := life.Stage(); s != lifecycle.Serving {
		t.Fatal(s)
	}
}

// Callers that send nothing, or half a call, give way to a complete one.
func TestOldestConnectionGivesWay(t *testing.T) {
	life, addr := open(t)
	life.MarkReady()
	var silent []net.Conn
	for i := range 4 * MaxConnections {
		c := dial(t, addr)
		if i%2 == 0 {
			io.WriteString(c, "POST /healthch")
		}
		silent = append(silent, c)
	}
	if status, _, _ := call(t, addr, get); status != 200 {
		t.Fatal(status)
	}
	if _, err := io.Copy(io.Discard, silent[0]); err != nil && !bytes.Contains([]byte(err.Error()), []byte("reset")) {
		t.Fatalf("the oldest connection is still open: %v", err)
	}
}

// A call whose bytes come one by one is answered.
func TestCallInPieces(t *testing.T) {
	life, addr := open(t)
	life.MarkReady()
	c := dial(t, addr)
	for _, b := range []byte(fail) {
		if _, err := c.Write([]byte{b}); err != nil {
			t.Fatal(err)
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != 200 || life.Stage() != lifecycle.Draining {
		t.Fatal(resp, err, life.Stage())
	}
}
