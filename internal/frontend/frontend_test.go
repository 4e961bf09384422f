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
	"damsonscale/internal/sidecar"
)

// serving starts a frontend whose sidecar knows no server.
func serving(t *testing.T, change func(*Frontend)) (*Frontend, net.Listener) {
	t.Helper()
	conf := &config.Config{Discovery: "127.0.0.1:1", Settings: decide.Settings{
		Classes: []decide.Class{{Name: "look", Worth: 1}, {Name: "make", Worth: 1, Semantics: decide.Deduplicated}},
	}}
	side := sidecar.New(conf, 8)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go side.Run(ctx)
	f := New(side, &conf.Settings, 8)
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

func dial(t *testing.T, ln net.Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// A connection that is opened and not used is closed without a word: the 408 that fasthttp writes there would be
// read as the answer to the next request.
func TestUnusedConnectionIsClosedSilently(t *testing.T) {
	_, ln := serving(t, func(f *Frontend) { f.server.ReadTimeout = 20 * time.Millisecond })
	if b, err := io.ReadAll(dial(t, ln)); err != nil || len(b) != 0 {
		t.Fatalf("%q %v", b, err)
	}
}

const look = "GET /look HTTP/1.1\r\nHost: h\r\nReq-Id: a1\r\nReq-Deadline-Ms: 5000\r\n\r\n"

// With no server known a request is refused, and the connection goes on.
func TestRefusedWithoutServers(t *testing.T) {
	_, ln := serving(t, nil)
	c := dial(t, ln)
	br := bufio.NewReader(c)
	for range 3 {
		io.WriteString(c, look)
		resp, err := http.ReadResponse(br, nil)
		if err != nil || resp.StatusCode != 503 {
			t.Fatalf("%v %v", resp, err)
		}
		io.Copy(io.Discard, resp.Body)
	}
}

// A connection is idle between requests alone: not while one is half read, nor while it is served.
func TestBusyConnectionIsNotClosedAsIdle(t *testing.T) {
	f, ln := serving(t, nil)
	c := dial(t, ln)
	io.WriteString(c, look[:20])
	eventually(t, "first bytes read", func() bool { return f.idle() == 0 && f.count() == 1 })
	f.closeIdle(-time.Hour, true)
	io.WriteString(c, look[20:])
	br := bufio.NewReader(c)
	resp, err := http.ReadResponse(br, nil)
	if err != nil || resp.StatusCode != 503 {
		t.Fatalf("%v %v", resp, err)
	}
	io.Copy(io.Discard, resp.Body)
	eventually(t, "an idle connection", func() bool { return f.idle() == 1 })
	f.closeIdle(-time.Hour, true)
	if _, err := br.ReadByte(); err != io.EOF {
		t.Fatalf("an idle one is still open: %v", err)
	}
}

func (f *Frontend) count() int {
	n, _ := f.open()
	return n
}

// idle counts the connections that could be closed.
func (f *Frontend) idle() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if c.idleSince.Load() > busy {
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
