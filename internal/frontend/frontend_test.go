package frontend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"damsonscale/decide"
	"damsonscale/internal/config"
	"damsonscale/internal/lifecycle"
	"damsonscale/internal/sidecar"
)

// serving starts a frontend whose sidecar knows no server.
func serving(t *testing.T, change func(*Frontend)) (*Frontend, net.Listener) {
	t.Helper()
	conf := &config.Config{Discovery: "127.0.0.1:1", Settings: decide.Settings{
		Classes: []decide.Class{{Name: "look", PriorityWeight: 1}, {Name: "make", PriorityWeight: 1, Semantics: decide.IdempotencyKeyed}},
	}}
	side := sidecar.New(conf, 8)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go side.Run(ctx)
	f := New(side, &lifecycle.Tracker{}, &conf.Settings, 8, 1<<20)
	if change != nil {
		change(f)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go f.Serve(ln)
	return f, ln
}

func dial(t testing.TB, ln net.Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// An unused connection is closed without a response: a client would take fasthttp's 408 for the response to its next
// request.
func TestUnusedConnectionIsClosedSilently(t *testing.T) {
	_, ln := serving(t, func(f *Frontend) { f.httpServer.ReadTimeout = 20 * time.Millisecond })
	if b, err := io.ReadAll(dial(t, ln)); err != nil || len(b) != 0 {
		t.Fatalf("%q %v", b, err)
	}
}

const look = "GET /look HTTP/1.1\r\nHost: h\r\nReq-Id: a1\r\nReq-Deadline-Ms: 5000\r\n\r\n"

// exchange writes text and reads the whole answer, which has that status.
func exchange(t *testing.T, c net.Conn, br *bufio.Reader, text string, status int) {
	t.Helper()
	io.WriteString(c, text)
	resp, err := http.ReadResponse(br, nil)
	if err != nil || resp.StatusCode != status {
		t.Fatalf("%v %v", resp, err)
	}
	io.Copy(io.Discard, resp.Body)
}

// With no server known a request is rejected, and the connection stays open.
func TestRejectedWithoutServers(t *testing.T) {
	_, ln := serving(t, nil)
	c := dial(t, ln)
	br := bufio.NewReader(c)
	for range 3 {
		exchange(t, c, br, look, 503)
	}
}

// A connection isn't idle while a request is half read, nor while it is served.
func TestBusyConnectionIsNotClosedAsIdle(t *testing.T) {
	f, ln := serving(t, nil)
	c := dial(t, ln)
	io.WriteString(c, look[:20])
	eventually(t, "first bytes read", func() bool { return f.count() == 1 && f.idle() == 0 })
	f.closeIdleConns(-time.Hour, true)
	br := bufio.NewReader(c)
	exchange(t, c, br, look[20:], 503)
	eventually(t, "an idle connection", func() bool { return f.idle() == 1 })
	f.closeIdleConns(-time.Hour, true)
	if _, err := br.ReadByte(); err != io.EOF {
		t.Fatalf("an idle one is still open: %v", err)
	}
}

// Where silent clients hold all connections they are evicted, and another client is answered.
func TestSilentClientsAreEvicted(t *testing.T) {
	_, ln := serving(t, func(f *Frontend) { f.httpServer.ReadTimeout, f.httpServer.IdleTimeout = time.Hour, time.Hour })
	for range 20 {
		dial(t, ln)
	}
	c := dial(t, ln)
	exchange(t, c, bufio.NewReader(c), look, 503)
}

// From half of the connections on a new one evicts an idle one.
func TestIdleConnectionsAreEvictedAboveTheSoftLimit(t *testing.T) {
	f, ln := serving(t, func(f *Frontend) { f.httpServer.IdleTimeout = time.Hour })
	for range 7 { // of 8 sockets
		c := dial(t, ln)
		exchange(t, c, bufio.NewReader(c), look, 503)
		eventually(t, "all idle", func() bool { return f.idle() == f.count() })
	}
	if n := f.count(); n > 4 {
		t.Errorf("%d connections kept, want 4 at most", n)
	}
}

// An unused connection is evicted before one that has served, however long that one has been idle.
func TestUnusedConnectionsAreEvictedFirst(t *testing.T) {
	f, ln := serving(t, nil)
	used, silent := dial(t, ln), dial(t, ln)
	exchange(t, used, bufio.NewReader(used), look, 503)
	eventually(t, "two idle connections", func() bool { return f.idle() == 2 })
	f.mu.Lock()
	for c := range f.conns {
		if at := c.idleSince.Load(); at > connBusy { // both idle for long, the used one longer
			since := at - time.Minute.Microseconds()
			if c.hasServed.Load() {
				since -= time.Minute.Microseconds()
			}
			c.idleSince.Store(since)
		}
	}
	f.mu.Unlock()
	f.evictConn()
	if _, err := silent.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("the silent one is open: %v", err)
	}
	eventually(t, "one connection fewer", func() bool { return f.count() < 2 }) // its own goroutine counts it out after the close
	if n := f.count(); n != 1 {
		t.Fatalf("%d connections left, want the used one", n)
	}
	exchange(t, used, bufio.NewReader(used), look, 503)
}

// An incomplete request is answered 408 within 3 s, on a new connection and on one that has served.
func TestIncompleteRequestTimesOut(t *testing.T) {
	if headTimeout > 2800*time.Millisecond || idleTimeout < 2*time.Second {
		t.Error("an error or a close is owed within 3 s; an idle connection may be closed after 2 s")
	}
	_, ln := serving(t, func(f *Frontend) { f.httpServer.ReadTimeout = 300 * time.Millisecond })
	for _, first := range []string{"", look} {
		c := dial(t, ln)
		br := bufio.NewReader(c)
		if first != "" {
			exchange(t, c, br, first, 503)
		}
		exchange(t, c, br, look[:30], 408)
	}
}

// A malformed request is answered and its connection closed.
func TestMalformedRequestClosesTheConnection(t *testing.T) {
	_, ln := serving(t, nil)
	c := dial(t, ln)
	br := bufio.NewReader(c)
	exchange(t, c, br, "GET /nope HTTP/1.1\r\nHost: h\r\n\r\n", 404)
	if _, err := br.ReadByte(); err != io.EOF {
		t.Fatalf("still open: %v", err)
	}
}

func (f *Frontend) count() int {
	n, _ := f.connCount()
	return n
}

// idle counts the connections that could be closed.
func (f *Frontend) idle() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if c.idleSince.Load() > connBusy {
			n++
		}
	}
	return n
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never came: %s", what)
		}
	}
}

// Of two incomplete requests the one that stalls is evicted, and the one that goes on isn't, however long it has taken.
func TestSlowWriterIsNotEvicted(t *testing.T) {
	f, ln := serving(t, nil)
	slow, stalls := dial(t, ln), dial(t, ln)
	io.WriteString(slow, look[:1])
	io.WriteString(stalls, look[:1])
	halfway := func() (n int) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for c := range f.conns {
			if c.idleSince.Load() < connClosing {
				n++
			}
		}
		return n
	}
	eventually(t, "two on their way", func() bool { return halfway() == 2 })
	time.Sleep(2 * unusedIdleTime)
	before := monotonicMicros(time.Now())
	io.WriteString(slow, look[1:2])
	eventually(t, "its second byte read", func() bool { // by the server
		f.mu.Lock()
		defer f.mu.Unlock()
		for c := range f.conns {
			if timestampOf(c.idleSince.Load()) >= before {
				return true
			}
		}
		return false
	})
	f.evictConn()
	if _, err := stalls.Read(make([]byte, 1)); err == nil {
		t.Fatal("the one that stalls was answered")
	}
	f.evictConn()
	if n := halfway(); n != 1 {
		t.Fatalf("%d requests on their way, want that of the slow writer", n)
	}
}

// A request that is incomplete at the end of a shutdown is answered before its connection is closed.
func TestIncompleteRequestIsAnsweredAtShutdown(t *testing.T) {
	f, ln := serving(t, func(f *Frontend) { f.httpServer.ReadTimeout = time.Minute })
	c := dial(t, ln)
	io.WriteString(c, look[:20])
	eventually(t, "a connection", func() bool { n, _ := f.connCount(); return n == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), 2*abortMargin)
	defer cancel()
	go f.Shutdown(ctx, ln, nil)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusRequestTimeout {
		t.Fatal(resp, err)
	}
}
