package frontend

import (
	"net"
	"time"

	"damsonscale/internal/accept"
	"damsonscale/internal/eventlog"
	"damsonscale/internal/upstream"
)

const (
	// softLimitShare is the share of the connections above which a new one evicts an idle one: clients that open a
	// connection for each request and keep it would reach their own limit first otherwise.
	softLimitShare = 0.5

	// unusedIdleTime is how long a connection that has carried no request is spared: its first one is likely on its way.
	unusedIdleTime = 300 * time.Millisecond

	acceptErrorLogInterval = time.Second

	// pollInterval is how often connections to close are looked for.
	pollInterval = 10 * time.Millisecond
)

// listener accepts connections within the frontend's limit.
type listener struct {
	net.Listener
	frontend *Frontend
}

// Accept returns the next connection. It fails only once the listener is closed: fasthttp's Serve would end on a
// transient error.
func (l *listener) Accept() (net.Conn, error) {
	f := l.frontend
	f.acquireSlot()
	nc, err := accept.Next(l.Listener, f.onAcceptError)
	if err != nil {
		<-f.slots
		f.acceptLoopDone.Store(true)
		return nil, err
	}
	now := time.Now()
	c := &clientConn{Conn: nc, frontend: f, readAt: now, betweenRequests: true}
	c.idleSince.Store(monotonicMicros(now))
	f.mu.Lock()
	f.conns[c] = true
	f.lastAccept = now
	over := int64(len(f.conns)) > f.softLimit.Load()
	f.mu.Unlock()
	if over {
		f.evictConn()
	}
	return c, nil
}

// onAcceptError frees a descriptor where accept found none, and logs errors at intervals.
func (f *Frontend) onAcceptError(err error) {
	if upstream.IsSocketShortage(err) {
		f.evictConn()
	}
	if now := time.Now(); now.Sub(f.acceptErrorLoggedAt) >= acceptErrorLogInterval {
		f.acceptErrorLoggedAt = now
		eventlog.Warn(eventAcceptFailed, err)
	}
}

// acquireSlot waits for a slot, evicting connections meanwhile.
func (f *Frontend) acquireSlot() {
	select {
	case f.slots <- struct{}{}:
		return
	default:
	}
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case f.slots <- struct{}{}:
			return
		case <-tick.C:
			f.evictConn()
		}
	}
}

// releaseConn forgets a closed connection and gives its slot back.
func (f *Frontend) releaseConn(c *clientConn) {
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
	<-f.slots
}

// SetConnectionLimit bounds the connections from now on, to at most what New was given. Connections above the limit
// are evicted as new ones come.
func (f *Frontend) SetConnectionLimit(limit int) {
	f.softLimit.Store(int64(softLimitShare * float64(limit)))
	f.mu.Lock()
	defer f.mu.Unlock()
	for ; f.withheldSlots > cap(f.slots)-limit; f.withheldSlots-- {
		<-f.slots
	}
	for ; f.withheldSlots < cap(f.slots)-limit; f.withheldSlots++ {
		select {
		case f.slots <- struct{}{}:
		default: // all are in use
			return
		}
	}
}

// connCount returns the number of open connections, and the time since the last one was accepted.
func (f *Frontend) connCount() (conns int, sinceAccept time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns), time.Since(f.lastAccept)
}

// evictConn closes one connection, if any can be spared: first one that has sent nothing at all, then one that is idle
// between requests, last one whose first request stalls halfway; of each kind the one that has been so longest. Unless
// it is between requests, a connection that has sent something within unusedIdleTime is spared.
func (f *Frontend) evictConn() {
	const (
		unused = iota
		idle
		halfReceived
		kinds
	)
	var candidates [kinds]*clientConn
	var states [kinds]int64 // of the candidates, in their idleSince
	fresh := monotonicMicros(time.Now().Add(-unusedIdleTime))
	f.mu.Lock()
	for c := range f.conns {
		state, kind := c.idleSince.Load(), idle
		switch {
		case state == connBusy || state == connClosing:
			continue
		case state < connClosing:
			kind = halfReceived
		case !c.hasServed.Load():
			kind = unused
		}
		evictable := kind == idle || timestampOf(state) < fresh
		if evictable && (candidates[kind] == nil || timestampOf(state) < timestampOf(states[kind])) {
			candidates[kind], states[kind] = c, state
		}
	}
	f.mu.Unlock()
	for kind, c := range candidates {
		if c != nil && c.markClosing(states[kind]) {
			return
		}
	}
}

// CloseIdleConnections closes connections of clients that are idle.
func (f *Frontend) CloseIdleConnections() { f.closeIdleConns(minIdleTime, true) }

// closeIdleConns closes connections that have been idle for so long, unused ones only if includeUnused.
func (f *Frontend) closeIdleConns(idle time.Duration, includeUnused bool) {
	before := monotonicMicros(time.Now().Add(-idle))
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if includeUnused || c.hasServed.Load() {
			c.markClosingIfIdle(before)
		}
	}
}
