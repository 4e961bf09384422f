package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"damsonscale/internal/memory"
	"damsonscale/internal/socket"
)

const (
	// readBufferBytes is the size of a connection's read buffer, and so of the longest response head.
	readBufferBytes = 16 << 10

	// AttemptBytes is the memory of an attempt, or of a streamed response: the read buffer, goroutines and fasthttp's buffers.
	AttemptBytes = readBufferBytes + 12<<10
)

// readBuffers are read buffers that no exchange uses. An idle connection has none.
var readBuffers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

// conn is a connection to a server. It is owned either by one attempt or by the endpoint's list of idle connections.
type conn struct {
	net.Conn
	br        *bufio.Reader // nil unless an exchange uses the connection
	account   *memory.Account
	received  int64 // bytes read from the connection
	addr      string
	idleSince time.Time
	sockets   *SocketBudget
	hosts     *HostMonitor
}

// Read implements io.Reader and counts the bytes.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received += int64(n)
	return n, err
}

// closeAndRelease closes the connection and returns its socket to the budget.
func (c *conn) closeAndRelease() {
	c.Close()
	c.sockets.release()
}

// isOpenAndEmpty reports whether an idle connection is open and has no unread bytes. A request written to a connection
// that the server has closed ends as Reset, after which it may have been executed.
func (c *conn) isOpenAndEmpty() bool {
	raw := socket.Raw(c.Conn)
	if raw == nil {
		return false
	}
	empty := false
	err := raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = e == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}

// exchange writes the request of an attempt and reads the response. mayWrite is checked right before the first byte.
// reuse reports whether the connection can be reused.
func (c *conn) exchange(a *Attempt, mayWrite func() bool) (r AttemptResult, reuse bool) {
	if a.CountsMemory {
		own := c.account.NewReservation()
		own.GrowAlways(AttemptBytes)
		defer own.Release()
	}
	c.br = readBuffers.Get().(*bufio.Reader)
	c.br.Reset(c)
	defer func() {
		c.br.Reset(nil)
		readBuffers.Put(c.br)
		c.br = nil
	}()
	stop := context.AfterFunc(a.ctx, func() { c.SetDeadline(socket.ExpiredDeadline) })
	defer func() {
		if !stop() { // the deadline is, or is about to be, in the past: the next read would fail
			reuse = false
		} else if reuse {
			c.SetDeadline(time.Time{})
		}
	}()
	r.Reason = c.write(a, mayWrite)
	if r.Reason == stepDone && a.Message.Remainder != nil {
		if r.Reason = c.writeRemainder(a); r.Reason == stepDone {
			r.BodySentAt = time.Now()
		}
	}
	if r.Reason != stepDone {
		return r, false
	}
	reuse = c.read(a, &r)
	return r, reuse
}
