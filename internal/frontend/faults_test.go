package frontend

import (
	"bufio"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// failOnceListener is a listener whose first Accept fails.
type failOnceListener struct {
	net.Listener
	err    error
	failed atomic.Bool
}

func (l *failOnceListener) Accept() (net.Conn, error) {
	if !l.failed.Swap(true) {
		return nil, l.err
	}
	return l.Listener.Accept()
}

// A transient error of accept neither ends the accept loop nor sets acceptLoopDone.
func TestTransientAcceptErrorDoesNotStopServing(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN,
		syscall.EPROTO, syscall.ETIMEDOUT, syscall.ECONNABORTED, syscall.EINTR,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			f, first := startWithoutServers(t, nil)
			first.Close()
			eventually(t, "the end of the first accept loop", f.acceptLoopDone.Load)
			f.acceptLoopDone.Store(false)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			failing := &failOnceListener{Listener: ln, err: &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}}
			served := make(chan error, 1)
			go func() { served <- f.Serve(failing) }()
			c := dial(t, ln)
			c.SetDeadline(time.Now().Add(5 * time.Second))
			expectStatus(t, c, bufio.NewReader(c), lookRequest, 503)
			if f.acceptLoopDone.Load() {
				t.Error("acceptLoopDone is set after a transient error")
			}
			select {
			case err := <-served:
				t.Errorf("Serve returned after a transient error: %v", err)
			default:
			}
		})
	}
}

// Idle times are measured with the monotonic clock, so they don't depend on changes of the wall clock.
func TestIdleTimesAreMonotonic(t *testing.T) {
	f, ln := startWithoutServers(t, nil)
	used := dial(t, ln)
	expectStatus(t, used, bufio.NewReader(used), lookRequest, 503)
	eventually(t, "an idle connection", func() bool { return f.idleConns() == 1 })
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if at := c.idleSince.Load(); at > monotonicMicros(time.Now()) || at > (48*time.Hour).Microseconds() {
			t.Errorf("idleSince is %d µs, want a time of the monotonic clock of this process", at)
		}
	}
}

// isConnectionError is true only for socket errors that mean that the connection has ended.
func TestIsConnectionError(t *testing.T) {
	for errno, want := range map[syscall.Errno]bool{
		syscall.ECONNRESET: true, syscall.EPIPE: true, syscall.ETIMEDOUT: true, syscall.EHOSTUNREACH: true, syscall.ENETUNREACH: true,
		syscall.ENETDOWN: true, syscall.EHOSTDOWN: true, syscall.ECONNABORTED: true, syscall.ECONNREFUSED: true, syscall.ENOTCONN: true,
		syscall.EAGAIN: false, syscall.EINTR: false, syscall.ENOBUFS: false, syscall.ENOMEM: false, syscall.EBADF: false,
	} {
		if isConnectionError(errno) != want {
			t.Errorf("isConnectionError(%v) = %v, want %v", errno, !want, want)
		}
	}
}
