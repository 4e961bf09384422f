// Package standin provides stand-in servers and discovery services on loopback for tests. A test decides by calls, not by timing,
// when they block and when they go on.
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

// WaitTimeout is how long a test waits for an expected event before it fails.
const WaitTimeout = 30 * time.Second

// Eventually polls ok until it returns true. After WaitTimeout the test fails; what describes the expected event in the message.
func Eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(WaitTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("did not happen within %v: %s", WaitTimeout, what)
		}
	}
}

// Listen accepts connections on loopback. It calls serve for each connection, with its index from 0, in a goroutine of its own, and closes
// the connection when serve returns.
func Listen(t testing.TB, serve func(c *net.TCPConn, index int)) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen on loopback: %v", err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for index := 0; ; index++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c.(*net.TCPConn), index)
			}()
		}
	}()
	return ln.Addr().String()
}

// Server is an HTTP server that counts the requests it has received completely, by request ID.
type Server struct {
	Addr string

	mu            sync.Mutex
	requestCounts map[string]int
}

// NewServer starts a server that calls answer for each request received completely. If answer returns false, the server closes the
// connection.
func NewServer(t testing.TB, answer func(c *net.TCPConn, r *http.Request) bool) *Server {
	s := &Server{requestCounts: map[string]int{}}
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
			s.requestCounts[r.Header.Get("Req-Id")]++
			s.mu.Unlock()
			if !answer(c, r) {
				return
			}
		}
	})
	return s
}

// RequestCount returns how many requests with that ID the server has received completely.
func (s *Server) RequestCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requestCounts[id]
}

// WriteResponse writes a response. The header holds complete lines, each with its line break.
func WriteResponse(c net.Conn, status int, header, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d S\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
	return err == nil
}

// EchoRequestID answers with status 200 and the request ID as the body.
func EchoRequestID(c *net.TCPConn, r *http.Request) bool {
	return WriteResponse(c, 200, "", r.Header.Get("Req-Id"))
}

// DeclinedHeader is the header line by which a server states that it has not executed the request.
const DeclinedHeader = "Srv-Declined: 1\r\n"

// Watch is one call to a discovery service.
type Watch struct {
	*net.TCPConn
	Query string
	Index int // from 0, in order of arrival
}

// WriteHeaders writes the headers of a response with chunked encoding.
func (w *Watch) WriteHeaders() {
	io.WriteString(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
}

// WriteChunk writes one chunk.
func (w *Watch) WriteChunk(text string) error {
	_, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(text), text)
	return err
}

// WaitForClose returns when the client has closed the connection.
func (w *Watch) WaitForClose() { io.Copy(io.Discard, w) }

// ListenDiscovery accepts calls to a discovery service and calls serve for each call whose request headers have been read.
func ListenDiscovery(t testing.TB, serve func(w *Watch)) (addr string) {
	return Listen(t, func(c *net.TCPConn, index int) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		serve(&Watch{c, r.URL.RawQuery, index})
	})
}

// ReadInterceptor is a listener whose connections read by ReadConn, so that a test can delay reads.
type ReadInterceptor struct {
	net.Listener
	ReadConn func(c *net.TCPConn, p []byte) (int, error)
}

// Accept returns the next connection, with its reads intercepted.
func (l *ReadInterceptor) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &interceptedConn{c.(*net.TCPConn), l}, nil
}

type interceptedConn struct {
	*net.TCPConn
	interceptor *ReadInterceptor
}

func (c *interceptedConn) Read(p []byte) (int, error) { return c.interceptor.ReadConn(c.TCPConn, p) }

// FullBacklogProxy returns an address whose accept backlog is full, so that dialed connections are not established until accept is called.
// From then on connections are forwarded to target.
func FullBacklogProxy(t testing.TB, target string) (addr string, accept func()) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatalf("create a socket: %v", err)
	}
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatalf("listen on loopback without a backlog: %v", err)
	}
	file := os.NewFile(uintptr(fd), "crowded")
	ln, err := net.FileListener(file)
	file.Close()
	if err != nil {
		t.Fatalf("listener without a backlog: %v", err)
	}
	t.Cleanup(func() { ln.Close() })
	filler, err := net.Dial("tcp", ln.Addr().String()) // the one connection that the kernel establishes with a backlog of 0
	if err != nil {
		t.Fatalf("fill the backlog: %v", err)
	}
	return ln.Addr().String(), func() {
		filler.Close()
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				s, err := net.Dial("tcp", target)
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
