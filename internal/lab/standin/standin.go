// Package standin has the servers and the discovery that tests speak to on loopback. They stop where a test wants them to:
// what happens next is the test's, never a matter of time.
package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Patience is how long a test waits for what has to come before it gives up.
const WaitTimeout = 30 * time.Second

// Eventually waits until ok; what names it.
func Eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(WaitTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never came: %s", what)
		}
	}
}

// Listen hands each connection to serve with its number, and closes it afterwards.
func Listen(t testing.TB, serve func(c *net.TCPConn, n int)) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c.(*net.TCPConn), n)
			}()
		}
	}()
	return ln.Addr().String()
}

// Server counts the requests that reached it whole, by id.
type Server struct {
	Addr string

	mu  sync.Mutex
	got map[string]int
}

// NewServer answers each request that has come whole by what answer writes; false: the connection ends with that.
func NewServer(t testing.TB, answer func(c *net.TCPConn, r *http.Request) bool) *Server {
	s := &Server{got: map[string]int{}}
	s.Addr = Listen(t, func(c *net.TCPConn, _ int) {
		for br := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			s.mu.Lock()
			s.got[r.Header.Get("Req-Id")]++
			s.mu.Unlock()
			if !answer(c, r) {
				return
			}
		}
	})
	return s
}

// Got is how many requests of that id came whole.
func (s *Server) RequestCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got[id]
}

// Say writes an answer of that status and body.
func WriteResponse(c net.Conn, status int, header, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d S\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
	return err == nil
}

// Yes answers 200 with the request's id.
func EchoRequestID(c *net.TCPConn, r *http.Request) bool {
	return WriteResponse(c, 200, "", r.Header.Get("Req-Id"))
}

// Declined says that the request never ran.
const DeclinedHeader = "Srv-Declined: 1\r\n"

// Watch is one call to the list.
type Watch struct {
	*net.TCPConn
	Query string
	Index int // of the calls, from 0
}

// Begin answers that the list comes in chunks.
func (w *Watch) WriteHeaders() {
	io.WriteString(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
}

// Tell writes one chunk.
func (w *Watch) WriteChunk(text string) error {
	_, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(text), text)
	return err
}

// Left returns once the other side has ended the call.
func (w *Watch) WaitForClose() { io.Copy(io.Discard, w) }

// NewDiscovery hands each call to serve once its head was read.
func ListenDiscovery(t testing.TB, serve func(w *Watch)) (addr string) {
	return Listen(t, func(c *net.TCPConn, n int) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		serve(&Watch{c, r.URL.RawQuery, n})
	})
}

// Hook is a listener whose connections' reads are the test's to hold back.
type ReadInterceptor struct {
	net.Listener
	ReadConn func(c *net.TCPConn, p []byte) (int, error)
}

// Accept takes the next connection.
func (h *ReadInterceptor) Accept() (net.Conn, error) {
	c, err := h.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &hooked{c.(*net.TCPConn), h}, nil
}

type hooked struct {
	*net.TCPConn
	hook *ReadInterceptor
}

func (c *hooked) Read(p []byte) (int, error) { return c.hook.ReadConn(c.TCPConn, p) }

// Crowded is an address at which connections come up only once accept was called; they lead to another.
func FullBacklogProxy(t testing.TB, to string) (addr string, accept func()) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "crowded")
	ln, err := net.FileListener(file)
	file.Close()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	fill, err := net.Dial("tcp", ln.Addr().String()) // the one that the system takes of its own accord
	if err != nil {
		t.Fatal(err)
	}
	return ln.Addr().String(), func() {
		fill.Close()
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				s, err := net.Dial("tcp", to)
				if err != nil {
					c.Close()
					continue
				}
				go func() { io.Copy(s, c); s.Close() }()
				go func() { io.Copy(c, s); c.Close() }()
			}
		}()
	}
}
