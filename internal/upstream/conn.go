package upstream

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"
)

// readBuffer holds the longest head of a response, in bytes.
const readBuffer = 16 << 10

// deadlinePast makes reads and writes under way return at once.
var deadlinePast = time.Unix(1, 0)

// conn is a connection to a server. One attempt, or its peer's idle list, owns it.
type conn struct {
	net.Conn
	br        *bufio.Reader
	addr      string
	idleSince time.Time
	sockets   *SocketBudget
}

// closeAndRelease closes the connection and returns its socket to the budget.
func (c *conn) closeAndRelease() {
	c.Close()
	c.sockets.release()
}

// isOpenAndEmpty reports whether an idle connection is still open with nothing to read on it. A request written to one
// that the server has closed would end as a reset, which may have run.
func (c *conn) isOpenAndEmpty() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = e == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}

// exchange writes the attempt and reads its response. mayWrite is asked right before the first byte. It reports whether the
// connection can be reused.
func (c *conn) exchange(a *Attempt, mayWrite func() bool) (r AttemptResult, reuse bool) {
	stop := context.AfterFunc(a.ctx, func() { c.SetDeadline(deadlinePast) })
	defer func() {
		if !stop() { // the deadline was, or is about to be, set to the past: the next read would fail
			reuse = false
		} else if reuse {
			c.SetDeadline(time.Time{})
		}
	}()
	r.Reason = c.write(a, mayWrite)
	if r.Reason == Succeeded && a.Message.Remainder != nil {
		if r.Reason = c.writeRemainder(a); r.Reason == Succeeded {
			r.BodySentAt = time.Now()
		}
	}
	if r.Reason != Succeeded {
		return r, false
	}
	reuse = c.read(a, &r)
	return r, reuse
}
