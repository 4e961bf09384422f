package upstream

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"damsonscale/internal/memory"
)

const (
	mailboxSize    = 256
	sweepInterval  = time.Second
	idleLimitShare = 0.6 // share of the servers' idle timeout; a connection that is idle for longer is not reused
)

// EndpointConfig is shared by all endpoints. Its fields must not change once an endpoint runs.
type EndpointConfig struct {
	Sockets *SocketBudget

	// Hosts finds out whether the hosts of servers that fall silent in a streamed response are still there. It may be nil.
	Hosts *HostMonitor

	// Memory counts what attempts hold. It may be nil.
	Memory *memory.Account

	// Resolve looks a host up in the current endpoint list. It must be safe for concurrent use.
	Resolve func(host string) (addr string, ready bool)

	// OnSocketShortage is called when no socket is available, to close idle connections of all endpoints. It may block.
	OnSocketShortage func()

	// ReuseDelay is the time for which a connection is not reused after a response: a late duplicate response would be
	// read as the response to the next request.
	ReuseDelay time.Duration

	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	dialTimeout atomic.Int64 // ns
	connIdle    atomic.Int64 // idle timeout of the servers, ns
}

// SetTimeouts sets how long a dial may take, and how long servers keep idle connections. It is safe for concurrent use.
func (c *EndpointConfig) SetTimeouts(dialTimeout, connIdle time.Duration) {
	c.dialTimeout.Store(int64(dialTimeout))
	c.connIdle.Store(int64(connIdle))
}

// Endpoint is the actor for one server. Its goroutine owns the idle connections and starts the attempts. It blocks only
// if an OnDone callback blocks.
type Endpoint struct {
	Host string // the server's name in the endpoint list

	config  *EndpointConfig
	mailbox chan endpointMessage
	idle    []*conn // the connection that has been idle longest comes first
}

// endpointMessage is a message in an endpoint's mailbox. handle runs on the endpoint's goroutine.
type endpointMessage interface{ handle(*Endpoint) }

// attemptOffered starts an attempt.
type attemptOffered struct{ attempt *Attempt }

func (m attemptOffered) handle(e *Endpoint) { go e.runAttempt(m.attempt, e.takeIdle()) }

// attemptEnded reports that an attempt has ended.
type attemptEnded struct {
	attempt *Attempt
	conn    *conn // reusable connection; nil if there is none
	result  AttemptResult
}

func (m attemptEnded) handle(e *Endpoint) {
	switch {
	case m.conn == nil:
	case e.config.Sockets.waiting.Load() > 0: // closeOldestIdle may have been handled before this connection was idle
		m.conn.closeAndRelease()
	default:
		m.conn.idleSince = time.Now()
		e.idle = append(e.idle, m.conn)
	}
	m.attempt.release()
	m.attempt.OnDone(m.attempt, m.result)
}

// closeOldestIdle closes the connection that has been idle longest.
type closeOldestIdle struct{}

func (closeOldestIdle) handle(e *Endpoint) { e.closeOldest(min(1, len(e.idle))) }

// closeAllIdle closes all idle connections.
type closeAllIdle struct{}

func (closeAllIdle) handle(e *Endpoint) { e.closeOldest(len(e.idle)) }

// NewEndpoint starts the actor for a server.
func NewEndpoint(host string, config *EndpointConfig) *Endpoint {
	e := &Endpoint{Host: host, config: config, mailbox: make(chan endpointMessage, mailboxSize)}
	go e.run()
	return e
}

// Offer submits an attempt to the endpoint. It returns false if the mailbox is full; nothing is sent then. It never
// blocks.
func (e *Endpoint) Offer(a *Attempt) bool {
	a.startTimer()
	select {
	case e.mailbox <- attemptOffered{a}:
		return true
	default:
		a.release()
		return false
	}
}

// CloseOldestIdle asks the endpoint to close the connection that has been idle longest. It never blocks; the call has no
// effect if the mailbox is full.
func (e *Endpoint) CloseOldestIdle() {
	select {
	case e.mailbox <- closeOldestIdle{}:
	default:
	}
}

// CloseIdleConnections asks the endpoint to close all idle connections before it starts any attempt that is offered after
// this call. It never blocks; the call has no effect if the mailbox is full.
func (e *Endpoint) CloseIdleConnections() {
	select {
	case e.mailbox <- closeAllIdle{}:
	default:
	}
}

// Stop stops the actor. No attempt may be in flight, and none may be offered afterwards.
func (e *Endpoint) Stop() { close(e.mailbox) }

func (e *Endpoint) run() {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case m, ok := <-e.mailbox:
			if !ok {
				e.closeOldest(len(e.idle))
				return
			}
			m.handle(e)
		case <-tick.C:
			e.sweep()
		}
	}
}

// takeIdle removes and returns the usable connection that has been idle longest, or nil. The most recently used
// connection is the worst choice: if the server closes it right after the response, the close may not have arrived yet.
func (e *Endpoint) takeIdle() *conn {
	addr, _ := e.config.Resolve(e.Host)
	for len(e.idle) > 0 {
		c := e.idle[0]
		if time.Since(c.idleSince) < e.config.ReuseDelay {
			return nil
		}
		e.idle = slices.Delete(e.idle, 0, 1)
		if c.addr == addr && e.isWithinIdleLimit(c) && c.isOpenAndEmpty() {
			return c
		}
		c.closeAndRelease()
	}
	return nil
}

// isWithinIdleLimit reports whether the server is certain to keep an idle connection open a while longer.
func (e *Endpoint) isWithinIdleLimit(c *conn) bool {
	return time.Since(c.idleSince) < time.Duration(idleLimitShare*float64(e.config.connIdle.Load()))
}

// sweep closes idle connections that have been idle for too long, that the server has closed, or whose address takes no
// new requests.
func (e *Endpoint) sweep() {
	addr, ready := e.config.Resolve(e.Host)
	e.idle = slices.DeleteFunc(e.idle, func(c *conn) bool {
		stale := !ready || c.addr != addr || !e.isWithinIdleLimit(c) || !c.isOpenAndEmpty()
		if stale {
			c.closeAndRelease()
		}
		return stale
	})
}

// closeOldest closes the n connections that have been idle longest.
func (e *Endpoint) closeOldest(n int) {
	for _, c := range e.idle[:n] {
		c.closeAndRelease()
	}
	e.idle = slices.Delete(e.idle, 0, n)
}

// runAttempt executes one attempt on its own goroutine and posts the result to the actor.
func (e *Endpoint) runAttempt(a *Attempt, c *conn) {
	r := AttemptResult{}
	if c != nil && !c.isOpenAndEmpty() { // bytes or a close may have arrived since takeIdle checked
		c.closeAndRelease()
		c = nil
	}
	isNew := c == nil
	if isNew {
		c, r.Reason = e.dial(a)
	}
	if c != nil {
		var reuse bool
		r, reuse = c.exchange(a, func() bool {
			addr, ready := e.config.Resolve(e.Host)
			return ready && addr == c.addr
		})
		if !reuse {
			c.closeAndRelease()
			c = nil
		}
	}
	r.NewConnection = isNew
	r.BodyConsumed = a.Message.Remainder != nil && a.Message.Remainder.Started()
	if r.ObservedAt.IsZero() {
		r.ObservedAt = time.Now()
	}
	e.mailbox <- attemptEnded{attempt: a, conn: c, result: r}
}
