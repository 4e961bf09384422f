package frontend

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"damsonscale/internal/upstream"
)

// clientConn is a client's connection. Its fields but for the atomic ones belong to the goroutine that serves it, and to
// the background read of disconnect.go while that runs.
type clientConn struct {
	net.Conn
	frontend *Frontend

	// idleSince tells others whether the connection can be closed: connBusy, connClosing, the time since which it has
	// been idle, or, below connClosing, the negative time at which the last part of its incomplete first request came.
	// Times are those of monotonicMicros.
	idleSince atomic.Int64
	hasServed atomic.Bool // it has carried a request
	closed    atomic.Bool
	stream    atomic.Pointer[upstream.Stream] // the long response that is being written; nil: none, or it is expedited

	readAt             time.Time // when the last bytes came
	betweenRequests    bool      // the next byte begins a request
	closeAfterResponse bool      // it was to be closed when a request had already come
	readErr            error     // that the background read found

	watchDone   chan struct{} // closed when the background read has ended; nil: there is none
	readAhead   []byte        // what the background read got, and Read hasn't returned yet
	readAheadAt time.Time     // when the last of it came
}

// States in idleSince besides times.
const (
	connBusy    = 0  // a request is being read or served, or its response isn't written yet
	connClosing = -1 // its own goroutine closes it once a read finds no further request
)

// monotonicEpoch is earlier than any time that a connection records.
var monotonicEpoch = time.Now().Add(-24 * time.Hour)

// monotonicMicros returns a time in µs that doesn't step with the wall clock.
func monotonicMicros(t time.Time) int64 { return t.Sub(monotonicEpoch).Microseconds() }

// timestampOf returns the time in a value of idleSince.
func timestampOf(state int64) int64 { return max(state, -state) }

// expiredDeadline is a deadline that ends a pending read.
var expiredDeadline = time.Unix(1, 0)

// Read reads what the client sends, what the background read got first. The connection is idle only while it waits here
// for the first byte of a request. Marking it closing ends this read; if that finds a request nevertheless, it is
// served first.
func (c *clientConn) Read(p []byte) (n int, err error) {
	if len(c.readAhead) > 0 && len(p) > 0 {
		return c.takeReadAhead(p), nil
	}
	if c.readErr != nil {
		return 0, c.readErr
	}
	if c.betweenRequests {
		if state := c.idleSince.Load(); state != connClosing {
			c.idleSince.CompareAndSwap(state, monotonicMicros(time.Now()))
		}
	}
	n, err = c.Conn.Read(p)
	timedOut := n == 0 && errors.Is(err, os.ErrDeadlineExceeded)
	if closing := c.idleSince.Load() == connClosing; timedOut && (closing || c.betweenRequests) {
		n = c.readAvailable(p)
		if n == 0 && closing {
			c.Close() // before fasthttp would answer 408
			return 0, net.ErrClosed
		}
		if n > 0 {
			err, timedOut = nil, false
			c.Conn.SetReadDeadline(time.Now().Add(headTimeout)) // for the rest of the request
		}
	}
	if c.betweenRequests && c.idleSince.Swap(connBusy) == connClosing {
		c.closeAfterResponse = true
		c.Conn.SetReadDeadline(time.Now().Add(headTimeout))
	}
	if c.betweenRequests && timedOut {
		return 0, io.EOF // fasthttp would answer 408, which a client would take for the response to its next request
	}
	c.recordRead(n)
	return n, err
}

// takeReadAhead returns what the background read got.
func (c *clientConn) takeReadAhead(p []byte) (n int) {
	n = copy(p, c.readAhead)
	if c.readAhead, c.betweenRequests = c.readAhead[n:], false; len(c.readAhead) == 0 {
		c.readAhead = nil
	}
	return n
}

// recordRead records that n bytes have come.
func (c *clientConn) recordRead(n int) {
	now := time.Now()
	if n > 0 && !c.hasServed.Load() {
		if c.betweenRequests {
			c.idleSince.Store(-monotonicMicros(now))
		} else if state := c.idleSince.Load(); state < connClosing { // it may be marked closing meanwhile
			c.idleSince.CompareAndSwap(state, -monotonicMicros(now))
		}
	}
	c.betweenRequests = c.betweenRequests && n == 0
	c.readAt = now
}

// readAvailable reads what has already come, without waiting: a request may have come before a read was ended.
func (c *clientConn) readAvailable(p []byte) (n int) {
	raw := c.rawConn()
	if raw == nil {
		return 0
	}
	var err error
	raw.Control(func(fd uintptr) { n, err = recv(int(fd), p, syscall.MSG_DONTWAIT) })
	if err != nil { // nothing has come, or the connection has ended: the next read says which
		return 0
	}
	return n
}

// rawConn returns the connection for system calls on its descriptor; nil: it has none.
func (c *clientConn) rawConn() syscall.RawConn {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// SetReadDeadline sets the deadline of reads, but for a connection that is marked closing, whose reads don't wait.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.idleSince.Load() == connClosing {
		return c.Conn.SetReadDeadline(expiredDeadline)
	}
	return err
}

// markClosing marks the connection closing if its idleSince still holds state. Its own goroutine closes it, after it has
// served what has come meanwhile.
func (c *clientConn) markClosing(state int64) bool {
	if !c.idleSince.CompareAndSwap(state, connClosing) {
		return false
	}
	c.Conn.SetReadDeadline(expiredDeadline)
	return true
}

// markClosingIfIdle marks the connection closing if it has been idle since before.
func (c *clientConn) markClosingIfIdle(before int64) bool {
	state := c.idleSince.Load()
	return state > connBusy && state <= before && c.markClosing(state)
}

// beginRequest records that the head of a request has been read.
func (c *clientConn) beginRequest() {
	if c.idleSince.Swap(connBusy) == connClosing {
		c.closeAfterResponse = true
	}
}

// endRequest records that a request has been served.
func (c *clientConn) endRequest() {
	c.betweenRequests = true
	c.hasServed.Store(true)
}

// Write writes as long as the client takes something within writeStallTimeout.
func (c *clientConn) Write(p []byte) (int, error) {
	c.Conn.SetWriteDeadline(time.Now().Add(writeStallTimeout))
	return c.Conn.Write(p)
}

// Close closes the connection and gives its slot back, once.
func (c *clientConn) Close() error {
	err := c.Conn.Close()
	if c.closed.CompareAndSwap(false, true) {
		c.frontend.releaseConn(c)
	}
	return err
}
