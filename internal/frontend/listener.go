package frontend

import (
	"net"
	"time"

	"damsonscale/internal/accept"
	"damsonscale/internal/eventlog"
	"damsonscale/internal/upstream"
)

const (
	// softLimitShare is the share of the connection limit above which each new connection evicts an idle one. Otherwise
	// clients that open a connection for each request and leave it open would exhaust their own connection limits.
	softLimitShare = 0.5

	// ConnectionBytes is the memory that each connection is counted for, with one short request: its goroutines, fasthttp's state
	// and its buffers.
	ConnectionBytes = 26 << 10

	acceptErrorLogInterval = time.Second

	// pollInterval is the interval at which drains look for connections to close.
	pollInterval = 10 * time.Millisecond

	// slotPollInterval is the interval at which an accept that waits for a slot evicts connections. Clients behind it wait, too.
	slotPollInterval = 2 * time.Millisecond

	// streamShare is the share of the connection limit for streamed responses. Clients that read them slowly would otherwise keep
	// all others out.
	streamShare = 0.75
)

// listener accepts connections up to the frontend's connection limit. One goroutine uses it.
type listener struct {
	net.Listener
	frontend *Frontend

	slotsShortSince time.Time // since when accepts have had to wait for slots; zero if the last one did not
	queuedSince     time.Time // since when connections may have waited in the accept queue; zero if it was empty since
}

// Accept returns the next connection. It fails only when the listener is closed, because any error ends fasthttp's Serve,
// even a transient one.
func (l *listener) Accept() (net.Conn, error) {
	f := l.frontend
	l.acquireSlot()
	begin := time.Now()
	nc, err := accept.Next(l.Listener, f.onAcceptError)
	if time.Since(begin) > minAcceptWait {
		l.queuedSince = time.Time{}
	}
	if err != nil {
		<-f.slots
		f.acceptLoopDone.Store(true)
		return nil, err
	}
	c := f.newClientConn(nc)
	c.betweenRequests = true
	c.idleSince.Store(monotonicMicros(c.lastReadAt))
	if !l.queuedSince.IsZero() {
		c.queuedSince = monotonicMicros(l.queuedSince)
	}
	f.mu.Lock()
	f.conns[c] = true
	f.lastAccept = c.lastReadAt
	over := int64(len(f.conns)) > f.softLimit.Load()
	f.mu.Unlock()
	if over {
		f.evictConn()
	}
	return c, nil
}

// onAcceptError evicts a connection if accept lacks a descriptor, and logs at most one error per acceptErrorLogInterval.
func (f *Frontend) onAcceptError(err error) {
	if upstream.IsSocketShortage(err) {
		f.evictConn()
	}
	if now := time.Now(); now.Sub(f.acceptErrorLoggedAt) >= acceptErrorLogInterval {
		f.acceptErrorLoggedAt = now
		eventlog.Warn(eventAcceptFailed, err)
	}
}

// isOverSoftLimit reports whether so many connections are open that new ones evict others.
func (f *Frontend) isOverSoftLimit() bool {
	conns, _ := f.connCount()
	return int64(conns) > f.softLimit.Load()
}

// acquireSlot waits for a slot and evicts connections until there is one.
func (l *listener) acquireSlot() {
	f := l.frontend
	select {
	case f.slots <- struct{}{}:
		l.slotsShortSince = time.Time{}
		return
	default:
	}
	if l.slotsShortSince.IsZero() {
		l.slotsShortSince = time.Now()
	}
	if l.queuedSince.IsZero() {
		l.queuedSince = time.Now()
	}
	tick := time.NewTicker(slotPollInterval)
	defer tick.Stop()
	for {
		if !f.evictWaiting() && time.Since(l.slotsShortSince) > slowHeadGrace {
			f.evictSlowHead()
		}
		select {
		case f.slots <- struct{}{}:
			return
		case <-tick.C:
		}
	}
}

// adoptConn adds the connection of a stream that the predecessor has handed over. It takes a slot even if none is free; the
// next connections that are closed then release none.
func (f *Frontend) adoptConn(nc net.Conn) *clientConn {
	c := f.newClientConn(nc)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns[c] = true
	select {
	case f.slots <- struct{}{}:
	default:
		f.owedSlots++
	}
	return c
}

// releaseConn removes a closed connection and releases its slot.
func (f *Frontend) releaseConn(c *clientConn) {
	f.mu.Lock()
	delete(f.conns, c)
	keep := true // whether the slot is not free for another connection
	switch {
	case f.owedSlots > 0:
		f.owedSlots--
	case f.withheldSlots < f.slotsToWithhold:
		f.withheldSlots++
	default:
		keep = false
	}
	f.mu.Unlock()
	if !keep {
		<-f.slots
	}
}

// SetConnectionLimit sets the connection limit, which must not exceed the limit given to New. Connections above the new
// limit are evicted.
func (f *Frontend) SetConnectionLimit(limit int) {
	f.withholdSlots(limit)
	conns, _ := f.connCount()
	for range max(0, conns-limit) {
		f.evictWaiting()
	}
}

// withholdSlots limits connections to the given number of slots. What can't be withheld now, because it is in use, is withheld
// when it is released.
func (f *Frontend) withholdSlots(limit int) {
	f.softLimit.Store(int64(softLimitShare * float64(limit)))
	f.connectionLimit.Store(int64(limit))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slotsToWithhold = cap(f.slots) - limit
	for ; f.withheldSlots > f.slotsToWithhold; f.withheldSlots-- {
		<-f.slots
	}
	for ; f.withheldSlots < f.slotsToWithhold; f.withheldSlots++ {
		select {
		case f.slots <- struct{}{}:
		default: // all slots are in use
			return
		}
	}
}

// connCount returns the number of open connections and the time since the last accept.
func (f *Frontend) connCount() (conns int, sinceAccept time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns), time.Since(f.lastAccept)
}

// CloseIdleConnections closes idle client connections.
func (f *Frontend) CloseIdleConnections() { f.closeIdleConns(minIdleTime, true) }

// closeIdleConns closes connections that have been idle for at least the given time. Connections that have carried no
// request are closed only if includeUnused is true.
func (f *Frontend) closeIdleConns(idle time.Duration, includeUnused bool) {
	before := monotonicMicros(time.Now().Add(-idle))
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if includeUnused || c.hasServed() {
			c.markClosingIfIdle(before)
		}
	}
}
