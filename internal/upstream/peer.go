package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	mailboxSize    = 256
	sweepInterval  = time.Second
	redialDelay    = 5 * time.Millisecond // after a dial that met a lack on this side
	idleLimitShare = 0.6                  // of the servers' idle limit: a connection older than this is not written to
)

// SocketBudget counts the sockets that all peers may hold.
type SocketBudget struct {
	limit   atomic.Int64
	inUse   atomic.Int64
	waiting atomic.Int64 // attempts that have found none
}

// NewSocketBudget makes a budget of that many sockets.
func NewSocketBudget(limit int) *SocketBudget {
	b := &SocketBudget{}
	b.SetLimit(limit)
	return b
}

// SetLimit keeps to so many sockets from now on; of those open none is closed for it.
func (b *SocketBudget) SetLimit(limit int) { b.limit.Store(int64(limit)) }

func (b *SocketBudget) tryAcquire() bool {
	if b.inUse.Add(1) > b.limit.Load() {
		b.inUse.Add(-1)
		return false
	}
	return true
}

func (b *SocketBudget) release() { b.inUse.Add(-1) }

// acquire takes a socket as soon as there is one, asking by short for idle ones to be closed; false: ctx ended
// first. Guards against attempts that use up a request's tries within microseconds while none is free yet.
func (b *SocketBudget) acquire(ctx context.Context, short func()) bool {
	for n := 0; !b.tryAcquire(); n++ {
		if n == 0 {
			b.waiting.Add(1)
			defer b.waiting.Add(-1)
			short()
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(time.Millisecond):
		}
	}
	if ctx.Err() != nil {
		b.release()
		return false
	}
	return true
}

// PeerShared is what all peers have in common.
type PeerShared struct {
	Sockets          *SocketBudget
	Resolve          func(host string) (dial string, ready bool)              // as listed at this moment
	OnSocketShortage func()                                                   // asks all peers to shed; it may block
	ReuseDelay       time.Duration                                            // that a connection rests after an answer, before its next request
	Dial             func(ctx context.Context, addr string) (net.Conn, error) // nil: the system's

	dialTimeout atomic.Int64
	connIdle    atomic.Int64 // the servers' idle limit
}

// SetTimeouts sets how long a dial may take, and how long servers keep idle connections.
func (s *PeerShared) SetTimeouts(dialTimeout, connIdle time.Duration) {
	s.dialTimeout.Store(int64(dialTimeout))
	s.connIdle.Store(int64(connIdle))
}

// Peer is a server's actor: it owns the idle connections and starts attempts on them.
//
// The module posts attempts with Offer, which never blocks: a full mailbox turns the attempt down. Attempts
// post their ends and wait for room; the actor itself waits only on what Done waits on.
type Peer struct {
	Host string

	shared  *PeerShared
	mailbox chan any
	idle    []*conn // the latest used last
}

type attemptEnded struct {
	attempt *Attempt
	conn    *conn // fit to serve again; nil: none
	result  AttemptResult
}

type closeOldestIdle struct{}

type closeAllIdle struct{}

// NewPeer starts a server's actor.
func NewPeer(host string, shared *PeerShared) *Peer {
	p := &Peer{Host: host, shared: shared, mailbox: make(chan any, mailboxSize)}
	go p.run()
	return p
}

// Offer hands the peer an attempt; false: its mailbox is full and nothing was or will be sent.
func (p *Peer) Offer(a *Attempt) bool {
	a.startTimer()
	select {
	case p.mailbox <- a:
		return true
	default:
		a.release()
		return false
	}
}

// CloseOldestIdle asks the peer to close the connection that has been idle longest. It never blocks.
func (p *Peer) CloseOldestIdle() {
	select {
	case p.mailbox <- closeOldestIdle{}:
	default:
	}
}

// CloseIdleConnections asks the peer to close all idle connections before it serves the attempts offered after this. It
// never blocks: a peer whose mailbox is full turns those attempts down.
func (p *Peer) CloseIdleConnections() {
	select {
	case p.mailbox <- closeAllIdle{}:
	default:
	}
}

// Stop ends the actor. No attempt may be out or be offered from then on.
func (p *Peer) Stop() { close(p.mailbox) }

func (p *Peer) run() {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case m, ok := <-p.mailbox:
			if !ok {
				p.closeOldest(len(p.idle))
				return
			}
			p.serve(m)
		case <-tick.C:
			p.sweep()
		}
	}
}

func (p *Peer) serve(m any) {
	switch m := m.(type) {
	case *Attempt:
		go p.runAttempt(m, p.takeIdle())
	case attemptEnded:
		switch {
		case m.conn == nil:
		case p.shared.Sockets.waiting.Load() > 0: // Guards against one that falls idle after the ask for idle ones, and is kept
			m.conn.closeAndRelease()
		default:
			m.conn.idleSince = time.Now()
			p.idle = append(p.idle, m.conn)
		}
		m.attempt.release()
		m.attempt.OnDone(m.attempt, m.result)
	case closeOldestIdle:
		p.closeOldest(min(1, len(p.idle)))
	case closeAllIdle:
		p.closeOldest(len(p.idle))
	}
}

// takeIdle returns the idle connection that is fit to be written to and has been idle longest, or nil. Guards
// against writing to one that its server closes right after an answer: the latest used may not show it yet.
func (p *Peer) takeIdle() *conn {
	addr, _ := p.shared.Resolve(p.Host)
	for len(p.idle) > 0 {
		c := p.idle[0]
		if time.Since(c.idleSince) < p.shared.ReuseDelay { // Guards against a second answer some ms late: it would be read as the next one's
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

func (p *Peer) isWithinIdleLimit(c *conn) bool {
	return time.Since(c.idleSince) < time.Duration(idleLimitShare*float64(p.shared.connIdle.Load()))
}

// sweep closes idle connections that are old, closed by the server, or to one that wants nothing new.
func (p *Peer) sweep() {
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
func (p *Peer) closeOldest(n int) {
	for _, c := range p.idle[:n] {
		c.closeAndRelease()
	}
	p.idle = slices.Delete(p.idle, 0, n)
}

// runAttempt runs one attempt to its end and reports it to the actor.
func (p *Peer) runAttempt(a *Attempt, c *conn) {
	r := AttemptResult{}
	if c != nil && !c.isOpenAndEmpty() { // Guards against what came since the peer looked
		c.closeAndRelease()
		c = nil
	}
	fresh := c == nil
	if fresh {
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
	r.NewConnection = fresh
	r.BodyConsumed = a.Message.Remainder != nil && a.Message.Remainder.Started()
	if r.ObservedAt.IsZero() {
		r.ObservedAt = time.Now()
	}
	p.mailbox <- attemptEnded{attempt: a, conn: c, result: r}
}

// IsSocketShortage tells of a lack on this side that passes. Guards against servers suspended for it.
func IsSocketShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL) ||
		errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// isTransient tells of an error of socket or connect that may be over within a moment: a lack on this side, or no way to that server.
func isTransient(err error) bool {
	return IsSocketShortage(err) || errors.Is(err, syscall.ENETUNREACH) || errors.Is(err, syscall.ENETDOWN)
}

// connect dials.
func (s *PeerShared) connect(ctx context.Context, addr string) (net.Conn, error) {
	if s.Dial != nil {
		return s.Dial(ctx, addr)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// dial opens a connection for an attempt.
func (p *Peer) dial(a *Attempt) (*conn, EndReason) {
	addr, ready := p.shared.Resolve(p.Host)
	ctx, cancel := context.WithTimeout(a.ctx, time.Duration(p.shared.dialTimeout.Load()))
	defer cancel()
	if !ready || !p.shared.Sockets.acquire(ctx, p.shared.OnSocketShortage) {
		return nil, NotSent
	}
	nc, err := p.shared.connect(ctx, addr)
	short := IsSocketShortage(err)
	if short {
		p.shared.OnSocketShortage()
	}
	for isTransient(err) && ctx.Err() == nil { // Guards against tries that are used up within microseconds while it passes
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
			nc, err = p.shared.connect(ctx, addr)
		}
	}
	if err != nil {
		p.shared.Sockets.release()
		if a.isCancelled() || IsSocketShortage(err) || short && ctx.Err() != nil {
			return nil, NotSent
		}
		return nil, ConnectFailed
	}
	return &conn{Conn: nc, br: bufio.NewReaderSize(nc, readBuffer), addr: addr, sockets: p.shared.Sockets}, Answered
}
