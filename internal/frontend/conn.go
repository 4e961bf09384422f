package frontend

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// clientConn is a client's connection. While a request is served it is read in the background, to see the
// client leave: a handler of fasthttp does not.
type clientConn struct {
	net.Conn
	front     *Frontend
	readAt    time.Time     // when the last bytes came
	idleSince atomic.Int64  // Unix µs; 0: busy
	served    atomic.Bool   // it has carried a request
	done      chan struct{} // closed when the background read has ended
	ahead     [1]byte       // what the background read got
	has       bool
	failed    error
	closed    atomic.Bool
}

// Read returns what the background read got first.
func (c *clientConn) Read(p []byte) (n int, err error) {
	if c.has && len(p) > 0 {
		p[0], c.has = c.ahead[0], false
		return 1, nil
	}
	if c.failed != nil {
		return 0, c.failed
	}
	n, err = c.Conn.Read(p)
	c.readAt = time.Now()
	return n, err
}

// watch begins the background read; the channel is closed when the client has left.
func (c *clientConn) watch() <-chan struct{} {
	c.idleSince.Store(0)
	c.served.Store(true)
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

// unwatch ends the background read.
func (c *clientConn) unwatch() {
	c.Conn.SetReadDeadline(time.Unix(1, 0))
	<-c.done
	c.Conn.SetReadDeadline(time.Time{})
	if c.has {
		c.readAt = time.Now()
	}
	c.idleSince.Store(time.Now().UnixMicro())
}

// Close closes the connection and gives its socket back, once.
func (c *clientConn) Close() error {
	err := c.Conn.Close()
	if c.closed.CompareAndSwap(false, true) {
		c.front.dropped(c)
	}
	return err
}
