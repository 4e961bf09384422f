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

// failsOnce is a listener whose first accept fails.
type failsOnce struct {
	net.Listener
	err    error
	failed atomic.Bool
}

func (l *failsOnce) Accept() (net.Conn, error) {
	if !l.failed.Swap(true) {
		return nil, l.err
	}
	return l.Listener.Accept()
}

// A transient error of accept doesn't end the accept loop, and isn't taken for the last connection.
func TestTransientAcceptErrorEndsNothing(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN,
		syscall.EPROTO, syscall.ETIMEDOUT, syscall.ECONNABORTED, syscall.EINTR,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			f, first := serving(t, nil)
			first.Close()
			eventually(t, "the end of the first listener", f.acceptLoopDone.Load)
			f.acceptLoopDone.Store(false)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			fails := &failsOnce{Listener: ln, err: &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}}
			served := make(chan error, 1)
			go func() { served <- f.Serve(fails) }()
			c := dial(t, ln)
			c.SetDeadline(time.Now().Add(5 * time.Second))
			exchange(t, c, bufio.NewReader(c), look, 503)
			if f.acceptLoopDone.Load() {
				t.Error("taken for the last connection")
			}
			select {
			case err := <-served:
				t.Errorf("it serves no more: %v", err)
			default:
			}
		})
	}
}

// How long a connection is idle doesn't depend on the wall clock.
func TestIdleTimesAreMonotonic(t *testing.T) {
	f, ln := serving(t, nil)
	used := dial(t, ln)
	exchange(t, used, bufio.NewReader(used), look, 503)
	eventually(t, "an idle connection", func() bool { return f.idle() == 1 })
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if at := c.idleSince.Load(); at > monotonicMicros(time.Now()) || at > (48*time.Hour).Microseconds() {
			t.Errorf("idle since %d µs: not of this process's clock", at)
		}
	}
}

// Errors of a socket that mean that its connection has ended, and errors that don't.
func TestSocketErrorsOfADisconnect(t *testing.T) {
	for errno, left := range map[syscall.Errno]bool{
		syscall.ECONNRESET: true, syscall.EPIPE: true, syscall.ETIMEDOUT: true, syscall.EHOSTUNREACH: true, syscall.ENETUNREACH: true,
		syscall.ENETDOWN: true, syscall.EHOSTDOWN: true, syscall.ECONNABORTED: true, syscall.ECONNREFUSED: true, syscall.ENOTCONN: true,
		syscall.EAGAIN: false, syscall.EINTR: false, syscall.ENOBUFS: false, syscall.ENOMEM: false, syscall.EBADF: false,
	} {
		if isConnectionError(errno) != left {
			t.Errorf("%v: left %v", errno, !left)
		}
	}
}
