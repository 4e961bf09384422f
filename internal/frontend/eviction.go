package frontend

import (
	"sync/atomic"
	"time"

	"damsonscale/internal/socket"
	"damsonscale/internal/stallwriter"
	"damsonscale/internal/upstream"
)

const (
	// unusedIdleTime is the time for which a new connection without a request is not evicted: its first request is
	// probably in transit.
	unusedIdleTime = 300 * time.Millisecond

	// slowHeadGrace is how long connections must have been short before heads are evicted whose bytes keep coming, and how old
	// such a head must be.
	slowHeadGrace = 400 * time.Millisecond
)

// evictWaiting evicts a connection over the hard limit that waits for its client or its server: an idle one, else one whose body has
// stalled, else one whose response stands still. If there is none, it makes a busy one close with its response and returns false.
func (f *Frontend) evictWaiting() bool {
	if f.evictConn() || f.evictStalled() {
		return true
	}
	f.evictBusyConn()
	return false
}

// evictConn marks one connection closing and returns true, or returns false if none can be evicted. It prefers connections that have
// sent nothing, then connections that are idle between requests, then connections with an incomplete first request; within each kind, the
// connection that has been in that state longest. A connection without a complete request is not evicted within
// unusedIdleTime of its accept or its last byte.
func (f *Frontend) evictConn() bool {
	const (
		unused = iota
		idle
		incomplete
		kinds
	)
	var candidates [kinds]*clientConn
	var states [kinds]int64 // values of idleSince of the candidates
	cutoff := monotonicMicros(time.Now().Add(-unusedIdleTime))
	f.mu.Lock()
	for c := range f.conns {
		state, kind := c.idleSince.Load(), idle
		switch {
		case state == connBusy || state == connClosing:
			continue
		case state < connClosing:
			kind = incomplete
		case !c.hasServed():
			kind = unused
		}
		evictable := kind == idle || timestampOf(state) < cutoff
		if evictable && (candidates[kind] == nil || timestampOf(state) < timestampOf(states[kind])) {
			candidates[kind], states[kind] = c, state
		}
	}
	f.mu.Unlock()
	for kind, c := range candidates {
		if c != nil && c.markClosing(states[kind]) {
			f.shed.idle.Add(1)
			return true
		}
	}
	return false
}

// evictStalledUpload ends the request whose body has stalled longest, for at least unusedIdleTime, with 408. It returns false if
// there is none.
func (f *Frontend) evictStalledUpload() bool {
	stalled := f.takeOldest(unusedIdleTime, func(c *clientConn) *atomic.Int64 { return &c.uploadWaitSince })
	if stalled == nil {
		return false
	}
	f.shed.stalledUploads.Add(1)
	stalled.Conn.SetReadDeadline(socket.ExpiredDeadline)
	return true
}

// evictStalled ends a request whose body has stalled, else a response that stands still. It returns false if there is neither.
func (f *Frontend) evictStalled() bool { return f.evictStalledUpload() || f.evictStalledResponse() }

// evictStalledResponse gives up a response that stands still: one whose client takes nothing for longer than a client that reads slowly
// may be unheard, else one whose server is silent for as long as a host that has gone would be waited for. It returns false if there is
// none.
func (f *Frontend) evictStalledResponse() bool {
	if evictLongest(f, 0, func(c *clientConn) *stallwriter.Writer { return c.writer }) {
		f.shed.stalledReaders.Add(1)
		return true
	}
	if evictLongest(f, upstream.HostTimeout, (*clientConn).currentStream) {
		f.shed.silentStreams.Add(1)
		return true
	}
	return false
}

// stallable is one side of a response: the writer to its client, or the stream from its server.
type stallable interface {
	comparable
	StalledSince() (since time.Time, stalled bool)
	Evict() bool
}

// evictLongest evicts the side of a response that has stalled longest, for at least minAge. sideOf may return nil. It returns false if
// there is none.
func evictLongest[S stallable](f *Frontend, minAge time.Duration, sideOf func(*clientConn) S) bool {
	var none, longest S
	earliest := time.Now().Add(-minAge)
	f.mu.Lock()
	for c := range f.conns {
		side := sideOf(c)
		if side == none {
			continue
		}
		if since, stalled := side.StalledSince(); stalled && since.Before(earliest) {
			longest, earliest = side, since
		}
	}
	f.mu.Unlock()
	return longest != none && longest.Evict()
}

// evictSlowHead ends the first request whose head has been incomplete for longest, for at least slowHeadGrace, though its bytes keep
// coming, with 408.
func (f *Frontend) evictSlowHead() {
	slowest := f.takeOldest(slowHeadGrace, func(c *clientConn) *atomic.Int64 {
		if c.idleSince.Load() >= connClosing { // its head is complete, or it is being closed
			return nil
		}
		return &c.headSince
	})
	if slowest != nil {
		f.shed.slowHeads.Add(1)
		slowest.headEvicted.Store(true)
		slowest.Conn.SetReadDeadline(socket.ExpiredDeadline)
	}
}

// takeOldest returns the connection whose time is earliest, if that is at least minAge ago, and sets that time to 0. It returns nil if
// there is none. Times are values of monotonicMicros; nil and 0 mean none.
func (f *Frontend) takeOldest(minAge time.Duration, timeOf func(*clientConn) *atomic.Int64) *clientConn {
	var oldest *clientConn
	var oldestTime *atomic.Int64
	earliest := monotonicMicros(time.Now().Add(-minAge))
	f.mu.Lock()
	for c := range f.conns {
		at := timeOf(c)
		if at == nil {
			continue
		}
		if since := at.Load(); since > 0 && since < earliest {
			oldest, oldestTime, earliest = c, at, since
		}
	}
	f.mu.Unlock()
	if oldest == nil || !oldestTime.CompareAndSwap(earliest, 0) {
		return nil
	}
	return oldest
}

// evictBusyConn makes the connection that has served most requests close with its next response. Otherwise clients that send
// requests without a pause would keep all others out.
func (f *Frontend) evictBusyConn() {
	var busiest *clientConn
	f.mu.Lock()
	for c := range f.conns {
		if !c.evicted.Load() && c.served.Load() > 0 && (busiest == nil || c.served.Load() > busiest.served.Load()) {
			busiest = c
		}
	}
	f.mu.Unlock()
	if busiest != nil {
		f.shed.busy.Add(1)
		busiest.evicted.Store(true)
	}
}
