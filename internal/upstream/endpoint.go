package upstream

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"time"
)

const (
	mailboxSize    = 256
	sweepInterval  = time.Second
	idleLimitShare = 0.6 // of the servers' idle timeout: an older connection is not written to
)

// EndpointConfig is what all peers have in common. Its fields must not change once a peer runs.
type EndpointConfig struct {
	Sockets          *SocketBudget
	Resolve          func(host string) (addr string, ready bool)              // by the endpoint list in force; safe for concurrent use
	OnSocketShortage func()                                                   // has all peers close idle connections; it may block
	ReuseDelay       time.Duration                                            // rest after a response: a late second response would be read as the next one
	Dial             func(ctx context.Context, addr string) (net.Conn, error) // nil: TCP

	dialTimeout atomic.Int64 // ns
	connIdle    atomic.Int64 // the servers' idle timeout, ns
}

// SetTimeouts sets how long a dial may take, and how long servers keep idle connections. It is safe for concurrent use.
func (s *EndpointConfig) SetTimeouts(dialTimeout, connIdle time.Duration) {
	s.dialTimeout.Store(int64(dialTimeout))
	s.connIdle.Store(int64(connIdle))
}

// Endpoint is a server's actor. Its goroutine owns the idle connections and starts the attempts. It waits for nothing but what
// OnDone waits for.
type Endpoint struct {
	Host string

	shared  *EndpointConfig
	mailbox chan peerMessage
	idle    []*conn // in the order in which they fell idle
}

// peerMessage is what the mailbox takes. handle runs on the peer's goroutine.
type peerMessage interface{ handle(*Endpoint) }

// attemptOffered is an attempt to be started.
type attemptOffered struct{ attempt *Attempt }

func (m attemptOffered) handle(p *Endpoint) { go p.runAttempt(m.attempt, p.takeIdle()) }

// attemptEnded is the end of an attempt.
type attemptEnded struct {
	attempt *Attempt
	conn    *conn // can be reused; nil: none
	result  AttemptResult
}

func (m attemptEnded) handle(p *Endpoint) {
	switch {
	case m.conn == nil:
	case p.shared.Sockets.waiting.Load() > 0: // the request to close idle ones may have come before this one was idle
		m.conn.closeAndRelease()
	default:
		m.conn.idleSince = time.Now()
		p.idle = append(p.idle, m.conn)
	}
	m.attempt.release()
	m.attempt.OnDone(m.attempt, m.result)
}

// closeOldestIdle closes the connection that has been idle longest.
type closeOldestIdle struct{}

func (closeOldestIdle) handle(p *Endpoint) { p.closeOldest(min(1, len(p.idle))) }

// closeAllIdle closes all idle connections.
type closeAllIdle struct{}

func (closeAllIdle) handle(p *Endpoint) { p.closeOldest(len(p.idle)) }

// NewEndpoint starts the actor of a server.
func NewEndpoint(host string, shared *EndpointConfig) *Endpoint {
	p := &Endpoint{Host: host, shared: shared, mailbox: make(chan peerMessage, mailboxSize)}
	go p.run()
	return p
}

// Offer hands the peer an attempt; false: its mailbox is full and nothing was or will be sent. It never blocks.
func (p *Endpoint) Offer(a *Attempt) bool {
	a.startTimer()
	select {
	case p.mailbox <- attemptOffered{a}:
		return true
	default:
		a.release()
		return false
	}
}

// CloseOldestIdle asks the peer to close the connection that has been idle longest. It never blocks: a full mailbox drops
// it.
func (p *Endpoint) CloseOldestIdle() {
	select {
	case p.mailbox <- closeOldestIdle{}:
	default:
	}
}

// CloseIdleConnections asks the peer to close all idle connections before it starts attempts that are offered after this.
// It never blocks: a full mailbox drops it, and refuses those attempts too.
func (p *Endpoint) CloseIdleConnections() {
	select {
	case p.mailbox <- closeAllIdle{}:
	default:
	}
}

// Stop ends the actor. No attempt may be in flight, or be offered after this.
func (p *Endpoint) Stop() { close(p.mailbox) }

func (p *Endpoint) run() {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case m, ok := <-p.mailbox:
			if !ok {
				p.closeOldest(len(p.idle))
				return
			}
			m.handle(p)
		case <-tick.C:
			p.sweep()
		}
	}
}

// takeIdle returns the connection that has been idle longest and can be written to, or nil. The latest used is the worst
// choice: a server that closes connections right after a response may not have shown it yet.
func (p *Endpoint) takeIdle() *conn {
	addr, _ := p.shared.Resolve(p.Host)
	for len(p.idle) > 0 {
		c := p.idle[0]
		if time.Since(c.idleSince) < p.shared.ReuseDelay {
			return nil
		}
		p.idle = slices.Delete(p.idle, 0, 1)
		if c.addr == addr && p.isWithinIdleLimit(c) && c.isOpenAndEmpty() {
			return c
		}
		c.closeAndRelease()
	}
	return nil
}

// isWithinIdleLimit reports whether a server is sure to keep an idle connection open for a while.
func (p *Endpoint) isWithinIdleLimit(c *conn) bool {
	return time.Since(c.idleSince) < time.Duration(idleLimitShare*float64(p.shared.connIdle.Load()))
}

// sweep closes idle connections that are too old, closed by the server, or to a server that takes no new work there.
func (p *Endpoint) sweep() {
	addr, ready := p.shared.Resolve(p.Host)
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		stale := !ready || c.addr != addr || !p.isWithinIdleLimit(c) || !c.isOpenAndEmpty()
		if stale {
			c.closeAndRelease()
		}
		return stale
	})
}

// closeOldest closes the n connections that have been idle longest.
func (p *Endpoint) closeOldest(n int) {
	for _, c := range p.idle[:n] {
		c.closeAndRelease()
	}
	p.idle = slices.Delete(p.idle, 0, n)
}

// runAttempt runs one attempt to its end, on a goroutine of its own, and reports the end to the actor.
func (p *Endpoint) runAttempt(a *Attempt, c *conn) {
	r := AttemptResult{}
	if c != nil && !c.isOpenAndEmpty() { // again: something may have come since the peer looked
		c.closeAndRelease()
		c = nil
	}
	isNew := c == nil
	if isNew {
		c, r.Reason = p.dial(a)
	}
	if c != nil {
		var reuse bool
		r, reuse = c.exchange(a, func() bool {
			addr, ready := p.shared.Resolve(p.Host)
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
	p.mailbox <- attemptEnded{attempt: a, conn: c, result: r}
}
