package frontend

import (
	"context"
	"net"
	"time"

	"damsonscale/internal/eventlog"
	"damsonscale/internal/lifecycle"
)

// The longer a drain lasts the sooner an idle connection is closed, so that few requests cross its close; after 4 s no
// idle one is left.
const (
	softDrainPeriod = 1000 * time.Millisecond // in which a connection is closed after that time without a request
	hardDrainStart  = 2500 * time.Millisecond // from which minIdleTime is enough
	softIdleTime    = 300 * time.Millisecond  // enough between the two
	minIdleTime     = 50 * time.Millisecond   // a connection idle for so long has no request on its way
)

// How long new connections are accepted after SIGTERM, since clients learn of it late.
const (
	minAcceptTime         = 700 * time.Millisecond
	maxAcceptTime         = 1000 * time.Millisecond
	acceptQuietPeriod     = 300 * time.Millisecond // without a new connection, after minAcceptTime
	answerTimeAfterAccept = 200 * time.Millisecond // left for the last connections, before abortMargin
)

// abortMargin is how long before the end of a shutdown open requests are answered with 504.
const abortMargin = 150 * time.Millisecond

// isDraining returns whether each connection is to be closed after its next response.
func (f *Frontend) isDraining() bool {
	stage := f.lifecycle.Stage()
	return stage == lifecycle.Draining || stage == lifecycle.Terminating
}

// RunOperatorDrain closes connections while operators drain the sidecar, until ctx ends. New ones are accepted all the
// while: clients' balancers need a moment to see that it isn't ready.
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

// closeIdleUntil closes idle connections until the stage changes.
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

// closeIdleAfter closes what is idle so long after a drain began.
func (f *Frontend) closeIdleAfter(sinceStart time.Duration) {
	used, unused := idleThresholds(sinceStart)
	f.closeIdleConns(used, false)
	f.closeIdleConns(unused, true)
}

// idleThresholds returns how long a connection may have been idle, so long after a drain began: one that has carried a
// request, and one that hasn't. One in use is closed with its next response, which no request can cross.
func idleThresholds(sinceStart time.Duration) (used, unused time.Duration) {
	switch {
	case sinceStart < softDrainPeriod:
		return softDrainPeriod, softDrainPeriod
	case sinceStart < hardDrainStart:
		return softIdleTime, softDrainPeriod
	}
	return minIdleTime, unusedIdleTime
}

// Shutdown answers all open requests and returns once no connection is left, or ctx ends. It goes on accepting for a
// while, unless a successor accepts from the same socket: then handOver is not nil, and streams are handed over by it.
// ln is nil where Serve hasn't been called. fasthttp's own Shutdown would close the listener at once, while clients
// still connect.
func (f *Frontend) Shutdown(ctx context.Context, ln net.Listener, handOver StreamHandover) {
	start, accepting, hasSuccessor := time.Now(), ln != nil, handOver != nil
	if hasSuccessor {
		f.streamHandover.Store(&handOver)
	}
	if accepting && hasSuccessor {
		ln.Close()
		accepting = false
	}
	end, bounded := ctx.Deadline()
	acceptTime := maxAcceptTime
	if bounded {
		acceptTime = min(acceptTime, max(0, time.Until(end)-abortMargin-answerTimeAfterAccept))
	}
	for ctx.Err() == nil {
		if bounded && time.Until(end) < abortMargin {
			f.abortRequests()
		}
		f.expediteStreams(hasSuccessor)
		conns, sinceAccept := f.connCount()
		switch {
		case accepting && shouldStopAccepting(time.Since(start), sinceAccept, acceptTime):
			ln.Close()
			accepting = false
		case accepting:
			f.closeIdleConns(minIdleTime, false)
		case conns == 0 && f.resumedStreams.Load() == 0 && (ln == nil || f.acceptLoopDone.Load()):
			eventlog.Info(eventDrained, "after_ms", time.Since(start).Milliseconds())
			return
		case hasSuccessor:
			f.closeIdleAfter(time.Since(start))
		default:
			f.closeIdleConns(minIdleTime, true)
		}
		time.Sleep(pollInterval)
	}
	f.abortRequests()
}

// shouldStopAccepting returns whether to close the listener: once no client has connected for a while, and in any case
// after acceptTime, which a short shutdown makes shorter.
func shouldStopAccepting(sinceStart, sinceAccept, acceptTime time.Duration) bool {
	return sinceStart > minAcceptTime && sinceAccept > acceptQuietPeriod || sinceStart > acceptTime
}

// abortRequests answers open requests with 504. Those that aren't complete yet are rejected, so that no request whose
// last bytes come while this process exits is accepted and never answered.
func (f *Frontend) abortRequests() {
	f.sidecar.AbortAll()
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.Conn.SetReadDeadline(expiredDeadline)
	}
}

// expediteStreams makes long responses end soon, or go on in the successor.
func (f *Frontend) expediteStreams(hasSuccessor bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.expediteStream(hasSuccessor)
	}
}
