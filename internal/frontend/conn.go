package frontend

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"damsonscale/internal/upstream"
)

// clientConn is a client's connection. While a request is served it is read in the background, to see the
// client leave: a handler of fasthttp does not.
type clientConn struct {
	net.Conn
	frontend           *Frontend
	readAt             time.Time     // when the last bytes came
	idleSince          atomic.Int64  // micros; negative while its first request comes in pieces, the last one then; or busy or taken
	betweenRequests    bool          // the next byte begins a request
	hasServed          atomic.Bool   // it has carried a request
	watchDone          chan struct{} // closed when the background read has ended; nil: there is none
	readAhead          []byte        // what the background read got, that Read has not returned yet
	readAheadAt        time.Time     // when the last of it came
	closeAfterResponse bool          // chosen to be closed, with a request that had come: it ends with the answer
	readErr            error
	closed             atomic.Bool
	stream             atomic.Pointer[upstream.Stream] // the long answer that is being written to it, until it is to end soon
}

// clockStart is long before any time that a connection holds.
var clockStart = time.Now().Add(-24 * time.Hour)

// monotonicMicros is a time in µs of the monotonic clock. Guards against a wall clock that is stepped.
func monotonicMicros(t time.Time) int64 { return t.Sub(clockStart).Microseconds() }

// expiredDeadline is a deadline that ends a read under way.
var expiredDeadline = time.Unix(1, 0)

const (
	maxReadAhead   = 16 << 10 // bytes read in the background: past it isDisconnected alone sees a client leave
	readAheadPiece = 512      // of one background read
)

// What idleSince holds besides a time.
const (
	connBusy    = 0  // a request is being read or served, or its answer is not written yet
	connClosing = -1 // chosen to be closed: by its own goroutine, once a read has found nothing more
)

// timestampOf is the time in what idleSince holds.
func timestampOf(held int64) int64 { return max(held, -held) }

// Read returns what the background read got first. A connection is idle only while it waits here for the
// first byte of a request. Guards against closing one that carries a request which has been read: whoever chooses it ends
// this read, and what that finds is served.
func (c *clientConn) Read(p []byte) (n int, err error) {
	if len(c.readAhead) > 0 && len(p) > 0 {
		n = copy(p, c.readAhead)
		if c.readAhead, c.betweenRequests = c.readAhead[n:], false; len(c.readAhead) == 0 {
			c.readAhead = nil
		}
		return n, nil
	}
	if c.readErr != nil {
		return 0, c.readErr
	}
	if c.betweenRequests {
		if at := c.idleSince.Load(); at != connClosing {
			c.idleSince.CompareAndSwap(at, monotonicMicros(time.Now()))
		}
	}
	n, err = c.Conn.Read(p)
	late := n == 0 && errors.Is(err, os.ErrDeadlineExceeded)
	if chosen := c.idleSince.Load() == connClosing; late && (chosen || c.betweenRequests) {
		n = c.readAvailable(p)
		if n == 0 && chosen {
			c.Close() // without the 408 of fasthttp
			return 0, net.ErrClosed
		}
		if n > 0 {
			err, late = nil, false
			c.Conn.SetReadDeadline(time.Now().Add(headTimeout)) // for the rest of the request
		}
	}
	if c.betweenRequests && c.idleSince.Swap(connBusy) == connClosing {
		c.closeAfterResponse = true
		c.Conn.SetReadDeadline(time.Now().Add(headTimeout))
	}
	if c.betweenRequests && late {
		return 0, io.EOF // Guards against the 408 of fasthttp on a new connection: the next request would read it
	}
	now := time.Now()
	if n > 0 && !c.hasServed.Load() {
		if c.betweenRequests {
			c.idleSince.Store(-monotonicMicros(now))
		} else if at := c.idleSince.Load(); at < connClosing { // it may be chosen to be closed meanwhile
			c.idleSince.CompareAndSwap(at, -monotonicMicros(now))
		}
	}
	c.betweenRequests = c.betweenRequests && n == 0
	c.readAt = now
	return n, err
}

// readAvailable takes what lies in the system without waiting. Guards against a close that crosses a request which had come
// before the read was ended.
func (c *clientConn) readAvailable(p []byte) (n int) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) { n, err = recv(int(fd), p, syscall.MSG_DONTWAIT) })
	if err != nil { // nothing has come, or the connection has ended: the next read says which
		return 0
	}
	return n
}

// SetReadDeadline sets it, but for a connection that is chosen to be closed: that waits no more.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.idleSince.Load() == connClosing {
		return c.Conn.SetReadDeadline(expiredDeadline)
	}
	return err
}

// markClosing chooses the connection to be closed where it still holds that in its idleSince. Its own goroutine closes it, or
// serves what has come meanwhile first.
func (c *clientConn) markClosing(held int64) bool {
	if !c.idleSince.CompareAndSwap(held, connClosing) {
		return false
	}
	c.Conn.SetReadDeadline(expiredDeadline)
	return true
}

// markClosingIfIdle chooses an idle connection that has been so since before, to be closed.
func (c *clientConn) markClosingIfIdle(before int64) bool {
	at := c.idleSince.Load()
	return at > connBusy && at <= before && c.markClosing(at)
}

// beginRequest tells that a whole request has come.
func (c *clientConn) beginRequest() {
	if c.idleSince.Swap(connBusy) == connClosing {
		c.closeAfterResponse = true
	}
}

// endRequest tells that the request read last has been handled.
func (c *clientConn) endRequest() {
	c.betweenRequests = true
	c.hasServed.Store(true)
}

// watchDisconnect begins the background read; the channel is closed when the client has left. It reads past what a client sends in
// advance, up to maxReadAhead. Guards against one that leaves unseen behind that, whose request would be sent on.
func (c *clientConn) watchDisconnect() <-chan struct{} {
	gone, done := make(chan struct{}), make(chan struct{})
	c.watchDone = done
	if c.readErr != nil { // it has left already
		close(gone)
		close(done)
		return gone
	}
	c.Conn.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		var first [1]byte
		for to := first[:]; len(c.readAhead) < maxReadAhead; to = make([]byte, readAheadPiece) {
			n, err := c.Conn.Read(to)
			if n > 0 {
				c.readAhead, c.readAheadAt = append(c.readAhead, to[:n]...), time.Now()
			}
			if err != nil {
				if !errors.Is(err, os.ErrDeadlineExceeded) {
					c.readErr = err
					close(gone)
				}
				return
			}
		}
	}()
	return gone
}

// isDisconnected looks whether the client has left by now, without waiting and without taking anything that it has sent. It sees an
// end behind bytes that nobody has read, and before the background read's goroutine runs. Where the system refuses the
// look it says no.
func (c *clientConn) isDisconnected() (left bool) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) { left = peerClosed(int(fd)) })
	return left
}

// isDisconnected tells whether the other side of a socket has ended its sending, or reset it.
func peerClosed(fd int) bool {
	var b [1]byte
	n, err := recv(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err != nil:
		return isConnectionError(err)
	case n == 0:
		return true
	}
	poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}} // there are bytes: an end may stand behind them
	if n, err := retryInterrupted(func() (int, error) { return unix.Poll(poll, 0) }); err != nil || n <= 0 {
		return false
	}
	return poll[0].Revents&unix.POLLNVAL == 0 && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// recv takes, or looks at, what lies in a socket.
func recv(fd int, p []byte, flags int) (int, error) {
	return retryInterrupted(func() (int, error) {
		n, _, err := syscall.Recvfrom(fd, p, flags)
		return n, err
	})
}

// retryInterrupted makes a system call until no signal interrupts it.
func retryInterrupted(call func() (int, error)) (n int, err error) {
	for {
		if n, err = call(); err != syscall.EINTR {
			return n, err
		}
	}
}

// isConnectionError tells whether an error of a socket says that its connection is over, and not that something lacks on this side.
func isConnectionError(err error) bool {
	switch err {
	case syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.EHOSTDOWN, syscall.ENETUNREACH,
		syscall.ENETDOWN, syscall.ENETRESET, syscall.ECONNABORTED, syscall.ECONNREFUSED, syscall.ENOTCONN, syscall.ESHUTDOWN, syscall.EPROTO:
		return true
	}
	return false
}

// stopWatch ends the background read, if there is one.
func (c *clientConn) stopWatch() {
	if c.watchDone == nil {
		return
	}
	c.Conn.SetReadDeadline(expiredDeadline)
	<-c.watchDone
	c.watchDone = nil
	c.Conn.SetReadDeadline(time.Time{})
	if len(c.readAhead) > 0 {
		c.readAt = c.readAheadAt
	}
}

// Write writes as long as the client takes something now and then.
func (c *clientConn) Write(p []byte) (int, error) {
	c.Conn.SetWriteDeadline(time.Now().Add(writeStallTimeout))
	return c.Conn.Write(p)
}

// expediteStream makes a long answer go on in the process that follows, where there is one, and lets the system hold as much of it
// as it may. Guards against an answer that is cut because its client reads slowly while this process has to end: the
// system delivers what it holds all the same.
func (c *clientConn) expediteStream(followed bool) {
	s := c.stream.Swap(nil)
	if s == nil {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetWriteBuffer(upstream.MaxBodySize)
	}
	if followed {
		s.Detach()
	}
}

// Close closes the connection and gives its socket back, once.
func (c *clientConn) Close() error {
	err := c.Conn.Close()
	if c.closed.CompareAndSwap(false, true) {
		c.frontend.releaseConn(c)
	}
	return err
}
