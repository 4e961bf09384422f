package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// redialDelay is the wait after a dial that failed by a shortage on this machine.
const redialDelay = 5 * time.Millisecond

// dial opens a connection for an attempt. Where the connection is nil the reason says why.
func (p *Endpoint) dial(a *Attempt) (*conn, EndReason) {
	addr, ready := p.shared.Resolve(p.Host)
	ctx, cancel := context.WithTimeout(a.ctx, time.Duration(p.shared.dialTimeout.Load()))
	defer cancel()
	if !ready || !p.shared.Sockets.acquire(ctx, p.shared.OnSocketShortage) {
		return nil, NotSent
	}
	nc, err := p.shared.connect(ctx, addr)
	shortage := IsSocketShortage(err)
	if shortage {
		p.shared.OnSocketShortage()
	}
	for isTransient(err) && ctx.Err() == nil { // a retry elsewhere would fail as fast, and use up the request's attempts
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
			nc, err = p.shared.connect(ctx, addr)
		}
	}
	if err != nil {
		p.shared.Sockets.release()
		if a.isCancelled() || IsSocketShortage(err) || shortage && (ctx.Err() != nil || isDeadlineExceeded(err)) {
			return nil, NotSent
		}
		return nil, ConnectFailed
	}
	return &conn{Conn: nc, br: bufio.NewReaderSize(nc, readBuffer), addr: addr, sockets: p.shared.Sockets}, Succeeded
}

// connect dials an address.
func (s *EndpointConfig) connect(ctx context.Context, addr string) (net.Conn, error) {
	if s.Dial != nil {
		return s.Dial(ctx, addr)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// isTransient reports whether an error of a dial may be over within a moment: a shortage on this machine, or no route.
func isTransient(err error) bool {
	return IsSocketShortage(err) || errors.Is(err, syscall.ENETUNREACH) || errors.Is(err, syscall.ENETDOWN)
}

// isDeadlineExceeded reports whether a dial ended by its time limit. The dialer keeps the deadline of its context by itself, and may
// return before the context's own timer has fired.
func isDeadlineExceeded(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}
