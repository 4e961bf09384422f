package frontend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"damsonscale/internal/lab/standin"
)

// ends returns both ends of a connection.
func ends(t testing.TB) (ours *clientConn, theirs *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(); s.Close() })
	return &clientConn{Conn: s}, c.(*net.TCPConn)
}

// peerClosed tells a disconnected client from a connected one, whatever bytes it has sent ahead, and reads nothing.
func TestPeerClosed(t *testing.T) {
	for _, c := range []struct {
		name  string
		bytes string
		leave func(*net.TCPConn)
		left  bool
	}{
		{"there", "", func(*net.TCPConn) {}, false},
		{"there, with bytes in advance", "GET ", func(*net.TCPConn) {}, false},
		{"closed", "", func(c *net.TCPConn) { c.Close() }, true},
		{"closed behind bytes", "GET ", func(c *net.TCPConn) { c.Close() }, true},
		{"ended its sending", "", func(c *net.TCPConn) { c.CloseWrite() }, true},
		{"ended its sending behind bytes", "GET ", func(c *net.TCPConn) { c.CloseWrite() }, true},
		{"reset", "", func(c *net.TCPConn) { leaves(c, true) }, true},
		{"reset behind bytes", "GET ", func(c *net.TCPConn) { leaves(c, true) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			ours, theirs := ends(t)
			io.WriteString(theirs, c.bytes)
			c.leave(theirs)
			if c.left {
				eventually(t, "the leaving", ours.isDisconnected)
			}
			for range 3 {
				if got := ours.isDisconnected(); got != c.left {
					t.Fatalf("%v, want %v", got, c.left)
				}
			}
			if b := make([]byte, len(c.bytes)); c.bytes != "" {
				if _, err := io.ReadFull(ours.Conn, b); err != nil || string(b) != c.bytes {
					t.Fatalf("%q %v", b, err)
				}
			}
		})
	}
	if peerClosed(-1) {
		t.Error("a look that the system refuses tells of an end")
	}
	ours, theirs := net.Pipe()
	defer ours.Close()
	theirs.Close()
	if (&clientConn{Conn: ours}).isDisconnected() {
		t.Error("a connection that is no socket has ended")
	}
}

// One check of a client that has sent nothing since its request, and of one that has sent bytes ahead.
func BenchmarkLook(b *testing.B) {
	for _, bytes := range []string{"", "GET "} {
		b.Run(fmt.Sprint(len(bytes), " bytes in advance"), func(b *testing.B) {
			ours, theirs := ends(b)
			io.WriteString(theirs, bytes)
			for b.Loop() {
				if ours.isDisconnected() {
					b.Fatal("left")
				}
			}
		})
	}
}

// One request through frontend, sidecar and a connection of its own to a server, and back.
func BenchmarkRequest(b *testing.B) {
	s := standin.NewServer(b, standin.Yes)
	_, _, ln := before(b, s.Addr, 256, nil) // as many as a second of them takes: each rests a while
	c := dial(b, ln)
	br, n := bufio.NewReader(c), 0
	for b.Loop() {
		n++
		io.WriteString(c, text("look", fmt.Sprint(n), 0))
		resp, err := http.ReadResponse(br, nil)
		if err != nil || resp.StatusCode != 200 {
			b.Fatal(resp, err)
		}
		io.Copy(io.Discard, resp.Body)
	}
}
