package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"damsonscale/internal/lab/standin"
)

// A duplicate response that arrives some milliseconds after the first is not read as the response to the next request: a
// connection is not reused within ReuseDelay, and is closed if bytes arrive while it is idle.
func TestLateSecondResponseIsDiscarded(t *testing.T) {
	s := startServer(t, func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		io.WriteString(c, okResponse)
		br.Peek(1) // the duplicate follows the next request, if that is sent on this connection
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
	})
	endpoint, config := startEndpoint(t, resolveTo(s.Addr().String()))
	config.ReuseDelay = time.Hour
	first := sendAttempt(t, endpoint, nil)
	if r := sendAttempt(t, endpoint, nil); r.Reason != Succeeded || string(r.Body) != string(first.Body) || !r.NewConnection {
		t.Fatalf("second attempt ended with %v, body %q, new connection %v; want %v, body %q, a new connection",
			r.Reason, r.Body, r.NewConnection, Succeeded, first.Body)
	}
}

// A connection that the server closes, or writes to, after takeIdle has checked it and before the attempt does, is not used.
func TestConnectionClosedBeforeWriteIsNotUsed(t *testing.T) {
	for _, unsolicited := range []string{"", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"} {
		s := startServer(t, respondAlways(okResponse, false))
		endpoint, config := startEndpoint(t, resolveTo(s.Addr().String()))
		serverSide, clientSide := net.Conn(nil), net.Conn(nil)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		if clientSide, err = net.Dial("tcp", ln.Addr().String()); err != nil {
			t.Fatal(err)
		}
		if serverSide, err = ln.Accept(); err != nil {
			t.Fatal(err)
		}
		ln.Close()
		config.Sockets.tryAcquire()
		idle := &conn{Conn: clientSide, br: bufio.NewReader(clientSide), addr: s.Addr().String(), sockets: config.Sockets, idleSince: time.Now()}
		if !idle.isOpenAndEmpty() {
			t.Fatal("new connection is closed or has unread bytes")
		}
		io.WriteString(serverSide, unsolicited)
		serverSide.Close()
		for idle.isOpenAndEmpty() {
			time.Sleep(time.Millisecond)
		}
		a, done := newAttempt(nil)
		a.startTimer()
		endpoint.runAttempt(a, idle)
		if r := <-done; r.Reason != Succeeded || string(r.Body) == "wrong" || config.Sockets.inUse.Load() != 1 {
			t.Fatalf("after the server sent %q and closed: attempt ended with %v, body %q, %d sockets in use; want %v, another body, 1 socket",
				unsolicited, r.Reason, r.Body, config.Sockets.inUse.Load(), Succeeded)
		}
	}
}

// A connection reset before the last byte is written proves that the request was not executed. A reset after all bytes
// were passed to the kernel does not.
func TestResetDuringWrite(t *testing.T) {
	for _, c := range []struct {
		body int
		want EndReason
	}{{64 << 20, ConnectFailed}, {2, Reset}} {
		s := startServer(t, func(c net.Conn, br *bufio.Reader) {
			br.ReadString('\n')
			c.(*net.TCPConn).SetLinger(0)
		})
		endpoint, _ := startEndpoint(t, resolveTo(s.Addr().String()))
		r := sendAttempt(t, endpoint, func(a *Attempt) { a.Message.Body = make([]byte, c.body) })
		if r.Reason != c.want {
			t.Errorf("body of %d bytes: attempt ended with %v, want %v", c.body, r.Reason, c.want)
		}
	}
}

// If the process has no free descriptor, an attempt calls OnSocketShortage and waits, as it does when the budget is used up.
// Otherwise all attempts of a request would fail at once while descriptors are being freed.
func TestDialWaitsForDescriptor(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0") // Accept needs a descriptor itself, so it is called only when there are some again
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	endpoint, config := startEndpoint(t, resolveTo(ln.Addr().String()))
	config.SetTimeouts(time.Minute, time.Hour)
	var usual syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &usual); err != nil {
		t.Fatal(err)
	}
	set := func(l syscall.Rlimit) {
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
			t.Error(err)
		}
	}
	defer set(usual)
	shortages := 0
	config.OnSocketShortage = func() {
		shortages++
		set(usual)
		go func() {
			if c, err := ln.Accept(); err == nil {
				defer c.Close()
				respondAlways(okResponse, false)(c, bufio.NewReader(c))
			}
		}()
	}
	set(syscall.Rlimit{Cur: 0, Max: usual.Max})
	if r := sendAttempt(t, endpoint, nil); r.Reason != Succeeded || shortages != 1 || config.Sockets.inUse.Load() != 1 {
		t.Fatalf("attempt ended with %v after %d calls of OnSocketShortage, %d sockets in use; want %v, 1 call, 1 socket",
			r.Reason, shortages, config.Sockets.inUse.Load(), Succeeded)
	}
	for range 2 { // no descriptor becomes free: this is not counted against the server
		config.SetTimeouts(50*time.Millisecond, time.Hour) // long enough that the dial begins within it
		config.OnSocketShortage = func() { shortages++ }
		endpoint.CloseIdleConnections()
		set(syscall.Rlimit{Cur: 0, Max: usual.Max})
		r := sendAttempt(t, endpoint, nil)
		set(usual)
		if r.Reason != NotSent || config.Sockets.inUse.Load() != 0 {
			t.Fatalf("without descriptors: attempt ended with %v, %d sockets in use; want %v, 0 sockets",
				r.Reason, config.Sockets.inUse.Load(), NotSent)
		}
	}
}

// A dial that fails because of a resource shortage on this machine or a missing route is repeated until its timeout. A lasting
// shortage does not count against the server; a route that stays missing, or an error from the server's side, does. Without
// the repetition, a momentary loss of the route would eject all servers at once.
func TestTransientDialErrorIsRetried(t *testing.T) {
	s := standin.NewServer(t, standin.EchoRequestID)
	type ends struct{ once, always EndReason }
	for errno, want := range map[syscall.Errno]ends{
		syscall.ENFILE: {Succeeded, NotSent}, syscall.ENOBUFS: {Succeeded, NotSent}, syscall.EADDRNOTAVAIL: {Succeeded, NotSent},
		syscall.ENETUNREACH: {Succeeded, ConnectFailed}, syscall.ENETDOWN: {Succeeded, ConnectFailed},
		syscall.ECONNREFUSED: {ConnectFailed, ConnectFailed}, syscall.EHOSTUNREACH: {ConnectFailed, ConnectFailed},
	} {
		for _, fails := range []int{1, 1 << 30} {
			endpoint, config := startEndpoint(t, resolveTo(s.Addr))
			config.SetTimeouts(50*time.Millisecond, time.Hour)
			if fails == 1 {
				config.SetTimeouts(time.Minute, time.Hour)
			}
			dials := 0
			config.OnSocketShortage = func() {}
			config.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
				if dials++; dials <= fails {
					return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
				}
				var d net.Dialer
				return d.DialContext(ctx, "tcp", addr)
			}
			end := want.always
			if fails == 1 {
				end = want.once
			}
			if r := sendAttempt(t, endpoint, nil); r.Reason != end {
				t.Errorf("dial error %v, repeated %d times: attempt ended with %v, want %v", errno, fails, r.Reason, end)
			}
		}
	}
}

// A dial that times out after a resource shortage on this machine does not count against the server, even if the dialer
// returns before its context has ended. Without a shortage the timeout counts against the server.
func TestDialTimeoutAfterShortage(t *testing.T) {
	s := standin.NewServer(t, standin.EchoRequestID)
	for _, c := range []struct {
		name   string
		errors []error
		want   EndReason
	}{
		{"after a shortage", []error{syscall.EMFILE, os.ErrDeadlineExceeded}, NotSent},
		{"after a shortage, by the context's error", []error{syscall.EMFILE, context.DeadlineExceeded}, NotSent},
		{"after a shortage, refused", []error{syscall.EMFILE, syscall.ECONNREFUSED}, ConnectFailed},
		{"without a shortage", []error{os.ErrDeadlineExceeded}, ConnectFailed},
	} {
		t.Run(c.name, func(t *testing.T) {
			endpoint, config := startEndpoint(t, resolveTo(s.Addr))
			config.SetTimeouts(time.Minute, time.Hour)
			config.OnSocketShortage = func() {}
			dials := 0
			config.Dial = func(context.Context, string) (net.Conn, error) {
				err := c.errors[min(dials, len(c.errors)-1)]
				dials++
				return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
			}
			if r := sendAttempt(t, endpoint, nil); r.Reason != c.want || dials != len(c.errors) || config.Sockets.inUse.Load() != 0 {
				t.Errorf("attempt ended with %v after %d dials, %d sockets in use; want %v after %d dials, 0 sockets",
					r.Reason, dials, config.Sockets.inUse.Load(), c.want, len(c.errors))
			}
		})
	}
}
