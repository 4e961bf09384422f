package upstream

import (
	"errors"
	"net"
	"time"

	"damsonscale/internal/eventlog"
	"damsonscale/internal/socket"
)

// eventServerSilent is the name of a log event.
const eventServerSilent = "server_silent"

const (
	// silenceNotice is the time without a byte of a streamed response body after which the server's host is watched.
	silenceNotice = 5 * time.Second

	// HostTimeout is the time without a sign of life of a server's host after which the host has gone.
	HostTimeout = 30 * time.Second

	silenceCheckInterval = time.Second // between two looks for a reason to give a silent server up

	keepAliveInterval = 5 * time.Second
	keepAliveProbes   = int(HostTimeout/keepAliveInterval) + 1 // later than HostTimeout, which has a log line of its own

	// lateReadTimeout bounds the read before a server is given up: bytes may have come while this process was stopped.
	lateReadTimeout = 50 * time.Millisecond
)

var (
	errHostGone = errors.New("the server's host gives no sign of life")
	errEvicted  = errors.New("a silent server's response was given up for want of room")
)

// ProbePeer makes the system ask the host of a connection's peer for a sign of life whenever nothing comes, and end the connection if
// there is none for longer than HostTimeout. It returns false if the system doesn't do that.
func ProbePeer(conn net.Conn) bool { return socket.KeepAlive(conn, keepAliveInterval, keepAliveProbes) }

// silence is a time in which the server sends no byte of a streamed response. A process that hangs may go on at any time, and its
// system answers meanwhile: it acknowledges the keep-alive probes on the connection and accepts new ones. So silence alone is no
// reason to give a server up. These are: its host has gone, the client has left, or another response needs the place.
type silence struct {
	stream     *Stream
	since      time.Time
	watchBegan time.Time // since when the server's host is watched; zero if it is not
	probed     bool      // whether the system probes the connection
	probe      *hostProbe
}

// isWatched reports whether the server's host is watched.
func (q *silence) isWatched() bool { return !q.watchBegan.IsZero() }

// end ends the watch of the host.
func (q *silence) end() {
	if !q.isWatched() {
		return
	}
	q.stream.silentSince.Store(0)
	q.probe.release()
}

// restart begins the silence anew after bytes have come that yield no byte of the body.
func (q *silence) restart() {
	q.end()
	*q = silence{stream: q.stream, since: time.Now()}
}

// timeToCheck returns the time until the next check.
func (q *silence) timeToCheck() time.Duration {
	if !q.isWatched() {
		return silenceNotice
	}
	return silenceCheckInterval
}

// check returns the reason to give the server up, or nil. The first check begins to watch the server's host.
func (q *silence) check() error {
	s := q.stream
	if !q.isWatched() {
		q.watchHost()
	}
	switch {
	case s.evicted.Load():
		return errEvicted
	case s.ClientLeft != nil && s.ClientLeft():
		return errRequestEnded
	case q.hostHasGone():
		return errHostGone
	}
	return nil
}

// watchHost begins to watch the server's host, by probes on the connection and by new connections.
func (q *silence) watchHost() {
	s := q.stream
	q.watchBegan = time.Now()
	s.evicted.Store(false) // of an eviction that came as an earlier silence ended
	s.silentSince.Store(q.since.UnixNano())
	q.probed = ProbePeer(s.conn.Conn)
	var isFirst bool
	if q.probe, isFirst = s.conn.hosts.watch(s.conn.RemoteAddr().String()); isFirst { // a line for each host: many responses may wait for it
		eventlog.Info(eventServerSilent, "server", s.server, "silent_ms", time.Since(q.since).Milliseconds(), "forwarded_bytes", s.forwarded)
	}
}

// hostHasGone reports whether the server's host has given no sign of life for HostTimeout. The time alone proves nothing: this process
// may have been stopped, and made no probes.
func (q *silence) hostHasGone() bool {
	if time.Since(q.since) < HostTimeout {
		return false
	}
	if q.probe.isUnreachable() {
		return true
	}
	sinceAck, known := socket.SinceLastAck(q.stream.conn.Conn)
	return known && q.probed && min(sinceAck, time.Since(q.watchBegan)) >= HostTimeout
}

// StalledSince returns the time since which the server has been silent, or false if it is not, or not for long, or if the response is
// being given up.
func (s *Stream) StalledSince() (since time.Time, silent bool) {
	at := s.silentSince.Load()
	return time.Unix(0, at), at != 0 && !s.evicted.Load()
}

// Evict gives the response up to make room for others. It returns false if the server is not silent or the response has been given
// up already.
func (s *Stream) Evict() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.silentSince.Load() == 0 { // the connection may carry another request
		return false
	}
	if !s.evicted.CompareAndSwap(false, true) {
		return false
	}
	s.conn.SetReadDeadline(socket.ExpiredDeadline)
	return true
}
