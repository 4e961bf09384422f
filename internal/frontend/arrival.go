package frontend

import (
	"time"

	"damsonscale/internal/socket"
)

// minAcceptWait is the time that an accept waits for a connection from which on the queue counts as having been empty.
const minAcceptWait = time.Millisecond

// maxQueueTime is how long a connection may have waited when this process begins to accept.
const maxQueueTime = 5 * time.Second

// requestArrivedAt returns when the last bytes of the present request came, from when on its client's time counts. That is when they
// were read, unless they may have waited: in the accept queue, or while the process was paused.
func (c *clientConn) requestArrivedAt() time.Time {
	earliest := c.earliestArrival()
	if earliest == 0 {
		return c.lastReadAt
	}
	age, ok := socket.SinceLastReceive(c.Conn)
	if !ok {
		return c.lastReadAt
	}
	arrived := monotonicMicros(time.Now().Add(-age))
	return c.lastReadAt.Add(-time.Duration(max(0, monotonicMicros(c.lastReadAt)-max(arrived, earliest))) * time.Microsecond)
}

// earliestArrival returns since when the present request may have waited unread, a value of monotonicMicros, or 0 if it has not.
func (c *clientConn) earliestArrival() int64 {
	earliest := c.frontend.pauses.lastPauseStart(monotonicMicros(c.lastReadAt))
	if queued := c.queuedSince; queued > 0 && !c.hasServed() && (earliest == 0 || queued < earliest) {
		earliest = queued
	}
	return earliest
}
