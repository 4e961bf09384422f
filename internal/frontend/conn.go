package frontend

import (
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"damsonscale/internal/eventlog"
	"damsonscale/internal/memory"
	"damsonscale/internal/socket"
	"damsonscale/internal/stallwriter"
	"damsonscale/internal/upstream"
)

// clientConn is a connection of a client, accepted by this process or taken over with a stream of its predecessor. Its
// non-atomic fields belong to the goroutine that serves the connection, and to the background read of disconnect.go while
// that runs.
type clientConn struct {
	net.Conn
	frontend *Frontend
	writer   *stallwriter.Writer

	// idleSince is the state by which other goroutines decide whether the connection can be closed. It is connBusy,
	// connClosing, the time since which the connection has been idle, or, if less than connClosing, the negated time
	// at which bytes of an incomplete first request last arrived. Times are values of monotonicMicros.
	idleSince   atomic.Int64
	headSince   atomic.Int64 // when the first byte of the first request came, a value of monotonicMicros; 0 before
	headEvicted atomic.Bool  // whether the first request is given up though its head keeps coming
	served      atomic.Int64 // number of requests that have been served
	evicted     atomic.Bool  // whether the connection is closed with its next response

	// uploadWaitSince is the time, a value of monotonicMicros, since which the next bytes of a body have not come; 0 if none are
	// awaited.
	uploadWaitSince atomic.Int64

	closed    atomic.Bool
	stalled   bool // whether the present request was given up because its bytes did not come
	resetting bool // whether Close resets the connection

	streamMu        sync.Mutex
	stream          *upstream.Stream // streamed response that is being written; nil if none or if expedited; guarded by streamMu
	interruptWrites atomic.Bool      // whether writes keep bytes as unsent rather than wait for the client
	unsent          []byte           // encoded bytes of a streamed response that are handed over with it
	handedOver      bool             // whether the connection belongs to the successor

	queuedSince        int64     // since when the connection may have waited for its accept, a value of monotonicMicros; 0 if it has not
	lastReadAt         time.Time // when bytes were last read
	readDeadline       time.Time // deadline of the present read; an earlier end of the read is an interruption
	betweenRequests    bool      // whether the next byte begins a request
	closeAfterResponse bool      // set if the connection was marked closing after a request had arrived
	readErr            error     // error of the background read

	watchDone   chan struct{} // closed when the background read has ended; nil if there is none
	watchStop   chan struct{} // closed to end the background read while it looks without reading
	readAhead   []byte        // bytes that were read before the request they belong to is served
	readAheadAt time.Time     // when the last byte of readAhead arrived

	bodyLeft   atomic.Int64 // bytes of a body of known length that Read has not returned, or lengthUnknown
	aheadBytes atomic.Int64 // length of readAhead
	bytesRead  atomic.Int64 // bytes that were read from the connection for a request's body

	framer         requestFramer
	headErr        error               // error of a request that can't be read further
	headFields     int                 // lines of the present request's head
	requestMemory  *memory.Reservation // of the present request, beyond what every connection is counted for
	responseMemory *memory.Reservation // of the response that is being written; nil if there is none
}

// newClientConn returns the connection for nc. It is busy.
func (f *Frontend) newClientConn(nc net.Conn) *clientConn {
	c := &clientConn{Conn: nc, frontend: f, lastReadAt: time.Now(), requestMemory: f.memory.NewReservation()}
	c.writer = stallwriter.New(nc, stallwriter.MaxStallTimeout, c.interruptWrites.Load)
	return c
}

// States in idleSince that are not times.
const (
	connBusy    = 0  // a request is being read or served, or its response is being written
	connClosing = -1 // the connection's own goroutine closes it when a read finds no further request
)

// monotonicEpoch is earlier than any time that a connection records.
var monotonicEpoch = time.Now().Add(-24 * time.Hour)

// monotonicMicros converts a time to microseconds that are independent of changes of the wall clock.
func monotonicMicros(t time.Time) int64 { return t.Sub(monotonicEpoch).Microseconds() }

// timestampOf returns the time in a value of idleSince.
func timestampOf(state int64) int64 { return max(state, -state) }

// readBytes returns bytes that were read ahead and then reads from the client. The connection is idle only while it waits here
// for the first byte of a request. Marking the connection closing interrupts this wait; if a request has arrived nevertheless,
// it is served before the connection is closed.
func (c *clientConn) readBytes(p []byte) (n int, err error) {
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
		n, err = c.readNextRequest(p)
	} else {
		n, err = c.Conn.Read(p)
		c.bytesRead.Add(int64(n))
		runtime.Gosched() // a client that sends without a pause would keep its turn
	}
	timedOut := n == 0 && errors.Is(err, os.ErrDeadlineExceeded)
	if timedOut && c.headEvicted.Load() {
		return 0, err
	}
	closing := c.idleSince.Load() == connClosing
	atBoundary := closing || c.betweenRequests
	if timedOut && (atBoundary || c.deadlineHasPassed(err)) { // bytes may have come while this process was stopped
		n = c.readAvailable(p)
		if n == 0 && closing {
			c.Close() // otherwise fasthttp would answer 408
			return 0, net.ErrClosed
		}
		if n > 0 {
			err, timedOut = nil, false
		}
		if n > 0 && atBoundary {
			c.awaitRequestUntil(time.Now().Add(headTimeout)) // for the rest of the request
		}
	}
	if c.betweenRequests && c.idleSince.Swap(connBusy) == connClosing {
		c.closeAfterResponse = true
		c.awaitRequestUntil(time.Now().Add(headTimeout))
	}
	if c.betweenRequests && timedOut {
		return 0, io.EOF // fasthttp would answer 408, which a client would read as the response to its next request
	}
	c.recordRead(n)
	return n, err
}

// readNextRequest waits for the first bytes of a request until the connection has been idle for too long. It is not idle
// while the client still takes bytes of its last response: it is given the whole time after the last of them.
func (c *clientConn) readNextRequest(p []byte) (n int, err error) {
	for wasTaking := false; ; {
		n, err = c.Conn.Read(p)
		if n > 0 || !c.hasServed() || !c.deadlineHasPassed(err) {
			return n, err
		}
		taking := c.writer.PeerIsTaking()
		if !taking && !wasTaking {
			return n, err
		}
		wasTaking = taking
		c.SetReadDeadline(time.Now().Add(idleTimeout))
	}
}

// deadlineHasPassed reports whether a read ended at its deadline, and was not interrupted.
func (c *clientConn) deadlineHasPassed(err error) bool {
	interrupted := c.readDeadline.IsZero() || time.Now().Before(c.readDeadline)
	return !interrupted && errors.Is(err, os.ErrDeadlineExceeded)
}

// takeReadAhead copies bytes from the background read to p.
func (c *clientConn) takeReadAhead(p []byte) (n int) {
	n = copy(p, c.readAhead)
	if c.readAhead, c.betweenRequests = c.readAhead[n:], false; len(c.readAhead) == 0 {
		c.readAhead = nil
	}
	c.aheadBytes.Store(int64(len(c.readAhead)))
	return n
}

// recordRead records that n bytes have arrived.
func (c *clientConn) recordRead(n int) {
	now := time.Now()
	if n > 0 && !c.hasServed() {
		c.headSince.CompareAndSwap(0, monotonicMicros(now))
		if c.betweenRequests {
			c.idleSince.Store(-monotonicMicros(now))
		} else if state := c.idleSince.Load(); state < connClosing { // the connection may be marked closing concurrently
			c.idleSince.CompareAndSwap(state, -monotonicMicros(now))
		}
	}
	c.betweenRequests = c.betweenRequests && n == 0
	c.lastReadAt = now
}

// readAvailable reads bytes that have already arrived, without waiting: a request may arrive just before a read is
// interrupted.
func (c *clientConn) readAvailable(p []byte) (n int) {
	raw := socket.Raw(c.Conn)
	if raw == nil {
		return 0
	}
	var err error
	raw.Control(func(fd uintptr) { n, err = recv(int(fd), p, syscall.MSG_DONTWAIT) })
	if err != nil { // no bytes have arrived, or the connection has ended: the next read will show which
		return 0
	}
	return n
}

// SetReadDeadline sets the read deadline. Reads of a connection that is marked closing never wait, whatever the deadline.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.readDeadline = t
	err := c.Conn.SetReadDeadline(t)
	if c.idleSince.Load() == connClosing {
		return c.Conn.SetReadDeadline(socket.ExpiredDeadline)
	}
	return err
}

// awaitRequestUntil sets the read deadline for the rest of a request, also of a connection that is marked closing.
func (c *clientConn) awaitRequestUntil(t time.Time) {
	c.readDeadline = t
	c.Conn.SetReadDeadline(t)
}

// markClosing marks the connection closing if its idleSince still equals state. The connection's own goroutine closes it
// after serving any request that has arrived in the meantime.
func (c *clientConn) markClosing(state int64) bool {
	if !c.idleSince.CompareAndSwap(state, connClosing) {
		return false
	}
	c.Conn.SetReadDeadline(socket.ExpiredDeadline)
	return true
}

// markClosingIfIdle marks the connection closing if it has been idle since the given time or longer.
func (c *clientConn) markClosingIfIdle(before int64) bool {
	state := c.idleSince.Load()
	return state > connBusy && state <= before && c.markClosing(state)
}

// beginRequest marks the connection busy after the head of a request has been read.
func (c *clientConn) beginRequest() {
	c.headSince.Store(0)
	c.headEvicted.Store(false)
	if c.idleSince.Swap(connBusy) == connClosing {
		c.closeAfterResponse = true
	}
}

// hasServed reports whether a request has been served on the connection.
func (c *clientConn) hasServed() bool { return c.served.Load() > 0 }

// endRequest records that a request has been served.
func (c *clientConn) endRequest() {
	c.betweenRequests = true
	c.served.Add(1)
}

// Write writes to the client. It fails if the client stops reading. While a stream is handed over, Write keeps the bytes
// that it can't write at once as unsent, and reports them as written.
func (c *clientConn) Write(p []byte) (int, error) {
	if c.handedOver {
		return 0, errHandedOver
	}
	if len(c.unsent) > 0 {
		c.unsent = append(c.unsent, p...)
		return len(p), nil
	}
	n, err := c.writer.Write(p)
	var stall *stallwriter.StallError
	switch {
	case err == stallwriter.ErrInterrupted:
		c.unsent = append(c.unsent, p[n:]...)
		return len(p), nil
	case errors.As(err, &stall):
		eventlog.Warn(eventClientStalled, nil, "silent_ms", stall.Silence.Milliseconds(), "queued_bytes", stall.Progress.QueuedBytes)
	}
	return n, err
}

// Close closes the connection. The first call releases the connection's slot.
func (c *clientConn) Close() error {
	if !c.handedOver { // otherwise the unread bytes are the successor's
		if c.mayStillWrite() && !c.closed.Load() {
			c.linger()
		}
		c.protectUnacknowledged()
	}
	err := c.Conn.Close()
	if c.closed.CompareAndSwap(false, true) {
		c.requestMemory.Release()
		c.responseMemory.Release()
		c.frontend.releaseConn(c)
	}
	return err
}
