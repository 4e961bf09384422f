package frontend

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"damsonscale/internal/upstream"
)

// clientConn is a client's connection. While a request is served it is read in the background, to see the
// client leave: a handler of fasthttp does not.
type clientConn struct {
	net.Conn
	front     *Frontend
	readAt    time.Time     // when the last bytes came
	idleSince atomic.Int64  // Unix µs; negative while its first request comes in pieces, the last one then; or busy or taken
	between   bool          // the next byte begins a request
	served    atomic.Bool   // it has carried a request
	done      chan struct{} // closed when the background read has ended
	ahead     [1]byte       // what the background read got
	has       bool
	failed    error
	closed    atomic.Bool
	stream    atomic.Pointer[upstream.Stream] // the long answer that is being written to it, until it is to end soon
}

// past is a deadline that ends a read under way.
var past = time.Unix(1, 0)

// What idleSince holds besides a time.
const (
	busy  = 0  // a request is being read or served, or its answer is not written yet
	taken = -1 // chosen to be closed
)

// since is the time in what idleSince holds.
func since(held int64) int64 { return max(held, -held) }

// Read returns what the background read got first. A connection is idle only while it waits here for the
// first byte of a request. Guards against closing one that carries a request which has been read.
func (c *clientConn) Read(p []byte) (n int, err error) {
	if c.has && len(p) > 0 {
		p[0], c.has, c.between = c.ahead[0], false, false
		return 1, nil
	}
	if c.failed != nil {
		return 0, c.failed
	}
	if c.between {
		c.idleSince.Store(time.Now().UnixMicro())
	}
	n, err = c.Conn.Read(p)
	if c.between && c.idleSince.Swap(busy) == taken {
		return 0, net.ErrClosed
	}
	if c.between && n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, io.EOF // Guards against the 408 of fasthttp on a new connection: the next request would read it
	}
	now := time.Now()
	if n > 0 && !c.served.Load() {
		if c.between {
			c.idleSince.Store(-now.UnixMicro())
		} else if at := c.idleSince.Load(); at < taken { // it may be chosen to be closed meanwhile
			c.idleSince.CompareAndSwap(at, -now.UnixMicro())
		}
	}
	c.between = c.between && n == 0
	c.readAt = now
	return n, err
}

// takeIdle claims an idle connection that has been so since before, to be closed.
func (c *clientConn) takeIdle(before int64) bool {
	at := c.idleSince.Load()
	return at > busy && at <= before && c.idleSince.CompareAndSwap(at, taken)
}

// begin tells that a whole request has come; false: the connection has been chosen to be closed before.
func (c *clientConn) begin() bool { return c.idleSince.Swap(busy) != taken }

// finished tells that the request read last has been handled.
func (c *clientConn) finished() {
	c.between = true
	c.served.Store(true)
}

// watch begins the background read; the channel is closed when the client has left.
func (c *clientConn) watch() <-chan struct{} {
	gone, done := make(chan struct{}), make(chan struct{})
	c.done = done
	if c.has || c.failed != nil {
		close(done)
		return gone
	}
	c.Conn.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		n, err := c.Conn.Read(c.ahead[:])
		c.has = n > 0
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.failed = err
			close(gone)
		}
	}()
	return gone
}

// unwatch ends the background read, if there is one.
func (c *clientConn) unwatch() {
	if c.done == nil {
		return
	}
	c.Conn.SetReadDeadline(past)
	<-c.done
	c.done = nil
	c.Conn.SetReadDeadline(time.Time{})
	if c.has {
		c.readAt = time.Now()
	}
}

// Write writes as long as the client takes something now and then.
func (c *clientConn) Write(p []byte) (int, error) {
	c.Conn.SetWriteDeadline(time.Now().Add(writeStall))
	return c.Conn.Write(p)
}

// hurry makes a long answer go on in the process that follows, where there is one, and lets the system hold as much of it
// as it may. Guards against an answer that is cut because its client reads slowly while this process has to end: the
// system delivers what it holds all the same.
func (c *clientConn) hurry(followed bool) {
	s := c.stream.Swap(nil)
	if s == nil {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetWriteBuffer(upstream.LongestBody)
	}
	if followed {
		s.Detach()
	}
}

// Close closes the connection and gives its socket back, once.
func (c *clientConn) Close() error {
	err := c.Conn.Close()
	if c.closed.CompareAndSwap(false, true) {
		c.front.dropped(c)
	}
	return err
}
