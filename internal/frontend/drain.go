package frontend

import (
	"context"
	"net"
	"time"

	"damsonscale/internal/eventlog"
	"damsonscale/internal/lifecycle"
	"damsonscale/internal/socket"
)

// During a drain, idle connections are closed in three phases with ever shorter idle times, so that few requests are sent
// on a connection that is being closed. No idle connection may be left after 4 s.
const (
	softDrainPeriod = 1000 * time.Millisecond // first phase, and the idle time after which it closes a connection
	hardDrainStart  = 2500 * time.Millisecond // start of the last phase, which closes connections after minIdleTime
	softIdleTime    = 300 * time.Millisecond  // idle time in the phase between; leaves time for the next request
	minIdleTime     = 50 * time.Millisecond   // a connection that is idle for this long has no request in transit
)

// Time for which new connections are accepted after SIGTERM. Clients keep connecting until they notice the shutdown.
const (
	minAcceptTime         = 700 * time.Millisecond
	maxAcceptTime         = 1000 * time.Millisecond
	acceptQuietPeriod     = 300 * time.Millisecond // once minAcceptTime has passed, time without a new connection that ends accepting
	answerTimeAfterAccept = 200 * time.Millisecond // time for answering the last connections, before abortMargin begins
)

// abortMargin is the time before the end of a shutdown at which open requests are answered with 504.
const abortMargin = 150 * time.Millisecond

// isDraining reports whether each connection must be closed after its next response.
func (f *Frontend) isDraining() bool {
	stage := f.lifecycle.Stage()
	return stage == lifecycle.Draining || stage == lifecycle.Terminating
}

// RunOperatorDrain closes idle connections whenever an operator drains the sidecar, until ctx ends. New connections are
// still accepted, because the clients' balancers notice late that the sidecar is not ready.
func (f *Frontend) RunOperatorDrain(ctx context.Context) {
	for {
		stage, changed := f.lifecycle.Watch()
		if stage == lifecycle.Draining {
			f.closeIdleUntil(ctx, changed)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// closeIdleUntil closes idle connections until changed is closed or ctx ends.
func (f *Frontend) closeIdleUntil(ctx context.Context, changed <-chan struct{}) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for start := time.Now(); ; {
		f.closeIdleAfter(time.Since(start))
		select {
		case <-ctx.Done():
			return
		case <-changed:
			return
		case <-tick.C:
		}
	}
}

// closeIdleAfter closes the connections that exceed the idle thresholds at the given time after the start of a drain.
func (f *Frontend) closeIdleAfter(sinceStart time.Duration) {
	used, unused := idleThresholds(sinceStart)
	f.closeIdleConns(used, false)
	f.closeIdleConns(unused, true)
}

// idleThresholds returns the idle times after which a drain closes connections that have carried a request (used) and
// connections that have not (unused), at the given time after its start. A connection in use is closed with its next
// response, which no request can cross.
func idleThresholds(sinceStart time.Duration) (used, unused time.Duration) {
	switch {
	case sinceStart < softDrainPeriod:
		return softDrainPeriod, softDrainPeriod
	case sinceStart < hardDrainStart:
		return softIdleTime, softDrainPeriod
	}
	return minIdleTime, unusedIdleTime
}

// Shutdown answers all open requests and returns when no connection is left or ctx ends. ln is nil if Serve has not been
// called. findSuccessor returns the successor process once one accepts connections from the same socket, before that nil;
// it may be nil. From then on ln is closed and streams are handed over to the successor. Without a successor Shutdown keeps
// accepting connections for a while, unlike fasthttp's Shutdown, which would close the listener while clients still connect.
func (f *Frontend) Shutdown(ctx context.Context, ln net.Listener, findSuccessor func() Successor) {
	start, accepting := time.Now(), ln != nil
	var successor Successor
	end, bounded := ctx.Deadline()
	acceptTime := maxAcceptTime
	if bounded {
		acceptTime = min(acceptTime, max(0, time.Until(end)-abortMargin-answerTimeAfterAccept))
	}
	for ctx.Err() == nil {
		if successor == nil && findSuccessor != nil { // its word may come after SIGTERM if this process gets little CPU
			if successor = findSuccessor(); successor != nil {
				f.successor.Store(&successor)
			}
		}
		if bounded && time.Until(end) < abortMargin {
			f.abortRequests()
		}
		f.expediteStreams(successor)
		conns, sinceAccept := f.connCount()
		switch {
		case accepting && (successor != nil || shouldStopAccepting(time.Since(start), sinceAccept, acceptTime)):
			ln.Close()
			accepting = false
			continue // connections that were accepted meanwhile count
		case accepting:
			f.closeIdleConns(minIdleTime, false)
		case conns == 0 && !f.expectsStreams.Load() && (ln == nil || f.acceptLoopDone.Load()):
			eventlog.Info(eventDrained, "after_ms", time.Since(start).Milliseconds())
			return
		case successor != nil:
			f.closeIdleAfter(time.Since(start))
		default:
			f.closeIdleConns(minIdleTime, true)
		}
		time.Sleep(pollInterval)
	}
	f.abortRequests()
}

// shouldStopAccepting reports whether to close the listener: after acceptTime, or after minAcceptTime if no client has
// connected for acceptQuietPeriod.
func shouldStopAccepting(sinceStart, sinceAccept, acceptTime time.Duration) bool {
	return sinceStart > minAcceptTime && sinceAccept > acceptQuietPeriod || sinceStart > acceptTime
}

// abortRequests answers open requests with 504. It rejects requests that have not been read completely; otherwise a
// request whose last bytes arrive while this process exits could be accepted and never answered.
func (f *Frontend) abortRequests() {
	f.sidecar.AbortAll()
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.Conn.SetReadDeadline(socket.ExpiredDeadline)
	}
}
