package upstream

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// redialDelay is the wait before a dial is repeated after a transient error.
const redialDelay = 5 * time.Millisecond

// dial opens a connection for an attempt. If the connection is nil, the reason says why the attempt ends.
func (e *Endpoint) dial(a *Attempt) (*conn, EndReason) {
	addr, ready := e.config.Resolve(e.Host)
	ctx, cancel := context.WithTimeout(a.ctx, time.Duration(e.config.dialTimeout.Load()))
	defer cancel()
	if !ready || !e.config.Sockets.acquire(ctx, e.config.OnSocketShortage) {
		return nil, NotSent
	}
	nc, err := e.config.connect(ctx, addr)
	shortage := IsSocketShortage(err)
	if shortage {
		e.config.OnSocketShortage()
	}
	for isTransient(err) && ctx.Err() == nil { // without this loop, retries at other servers would fail as fast and use up the request's attempts
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
			nc, err = e.config.connect(ctx, addr)
		}
	}
	if err != nil {
		e.config.Sockets.release()
		if a.isCancelled() || IsSocketShortage(err) || shortage && (ctx.Err() != nil || isDeadlineExceeded(err)) {
			return nil, NotSent
		}
		return nil, ConnectFailed
	}
	return &conn{Conn: nc, addr: addr, sockets: e.config.Sockets, hosts: e.config.Hosts, account: e.config.Memory}, stepDone
}

// connect dials an address.
func (c *EndpointConfig) connect(ctx context.Context, addr string) (net.Conn, error) {
	if c.Dial != nil {
		return c.Dial(ctx, addr)
	}
	return dialTCP(ctx, addr)
}

// dialTCP opens a TCP connection.
func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// isRefusal reports whether a dial failed because the other machine refused the connection.
func isRefusal(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// isTransient reports whether the cause of a dial error may pass soon: a shortage of sockets on this machine, or a
// network that is down or unreachable.
func isTransient(err error) bool {
	return IsSocketShortage(err) || errors.Is(err, syscall.ENETUNREACH) || errors.Is(err, syscall.ENETDOWN)
}

// isDeadlineExceeded reports whether a dial timed out. The dialer enforces its context's deadline with a timer of its own
// and may return before the context has ended.
func isDeadlineExceeded(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}
