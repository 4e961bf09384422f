// Package frontend serves the sidecar's client with fasthttp.
package frontend

import (
	"bytes"
	"context"
	"errors"
	"log"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"damsonscale/decide"
	"damsonscale/internal/accept"
	"damsonscale/internal/auditevent"
	"damsonscale/internal/lifecycle"
	"damsonscale/internal/sidecar"
	"damsonscale/internal/takeover"
	"damsonscale/internal/upstream"
)

const (
	maxHeadBytes      = 8 << 10                 // holds the longest head taken
	headTimeout       = 2500 * time.Millisecond // for a request's head, from its connection's start or its first byte
	bodyStartTimeout  = 1500 * time.Millisecond // for the first 8 KiB of a body
	bodyStallTimeout  = 1200 * time.Millisecond // without a byte of a body
	idleTimeout       = 2200 * time.Millisecond // clients may count on 2 s; past that a kept socket is one that another lacks
	writeStallTimeout = 5 * time.Second         // a client that takes nothing of its answer for so long has left
	softLimitShare    = 0.5                     // of the sockets; past it a new connection takes the place of one that is idle. Guards against
	// clients that reach their own limit first, with connections that have asked once, and then ask no more

	minAcceptTime          = 700 * time.Millisecond  // clients go on coming for a while after SIGTERM
	maxAcceptTime          = 1000 * time.Millisecond // whatever comes
	answerTimeAfterAccept  = 200 * time.Millisecond  // of the drain, before the last answers, for what came last
	acceptQuietPeriod      = 300 * time.Millisecond  // without a new connection, before the listener is closed
	pollInterval           = 10 * time.Millisecond
	acceptErrorLogInterval = time.Second
	abortMargin            = 150 * time.Millisecond // before the end of the time for it, what is still open is answered
	unusedIdleTime         = 300 * time.Millisecond // a new connection that has sent nothing for so long counts as idle
	minIdleTime            = 50 * time.Millisecond  // a connection idle for this long has no request on its way
	softIdleTime           = 300 * time.Millisecond // the same, where there is time to wait for its next request

	minTimeElsewhere  = 300 * time.Millisecond // of a request's time: nobody else would answer it in less
	noLeaseRetryAfter = 500 * time.Millisecond // after which a member without a leave may have it again

	// The operators' drain: after 4 s nothing may be left that is idle.
	softDrainPeriod = 1000 * time.Millisecond
	hardDrainStart  = 2500 * time.Millisecond
)

// Frontend is the sidecar's side towards its client.
type Frontend struct {
	sidecar        *sidecar.Sidecar
	snapshot       atomic.Pointer[settingsSnapshot]
	bodyBudget     byteBudget                     // of bodies under way
	streamHandover atomic.Pointer[StreamHandover] // to the process that follows, while this one ends
	resumedStreams atomic.Int64                   // answers that the process before began
	httpServer     *fasthttp.Server
	softLimit      atomic.Int64 // connections past which a new one takes an idle one's place
	lifecycle      *lifecycle.Tracker
	replicator     RequestReplicator   // nil: none
	recorder       auditevent.Recorder // nil: no account is kept
	slots          chan struct{}       // a token for each connection that may still be accepted

	acceptLoopDone atomic.Bool // the listener has taken its last connection, and that is among conns

	mu            sync.Mutex
	conns         map[*clientConn]bool
	withheldSlots int // tokens of room that nobody may have
	lastAccept    time.Time

	acceptErrorLoggedAt time.Time // when an error of accept was logged last; of the accept loop alone
}

// settingsSnapshot is a set of settings with the places of its names. It is never changed.
type settingsSnapshot struct {
	settings *decide.Settings
	classes  map[string]int
	tenants  map[string]int
}

// ApplySettings takes settings in force for requests that are read from now on. They must not be changed any more.
func (f *Frontend) ApplySettings(settings *decide.Settings) {
	s := &settingsSnapshot{settings: settings, classes: map[string]int{}, tenants: map[string]int{}}
	for i, c := range settings.Classes {
		s.classes[c.Name] = i
	}
	for i, t := range settings.Tenants {
		s.tenants[t.Name] = i
	}
	f.snapshot.Store(s)
}

// New makes a frontend that holds at most so many client connections, and so many bytes of bodies that are coming.
func New(side *sidecar.Sidecar, life *lifecycle.Tracker, settings *decide.Settings, sockets int, held int64) *Frontend {
	f := &Frontend{
		sidecar: side, lifecycle: life, conns: map[*clientConn]bool{}, slots: make(chan struct{}, sockets),
	}
	f.SetConnectionLimit(sockets)
	f.ApplySettings(settings)
	f.bodyBudget.release(held)
	f.httpServer = &fasthttp.Server{
		Handler:            f.handle,
		ErrorHandler:       rejectMalformed,
		StreamRequestBody:  true,
		MaxRequestBodySize: upstream.MaxBuffered, // past it fasthttp reads nothing ahead
		ReadBufferSize:     maxHeadBytes,
		ReadTimeout:        headTimeout,
		IdleTimeout:        idleTimeout,
		HeaderReceived: func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
			return fasthttp.RequestConfig{ReadTimeout: bodyStartTimeout}
		},
		Concurrency:                  1 << 20, // never reached: its 503 would count as a refusal of ours
		DisablePreParseMultipartForm: true,    // the body goes on as it came
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		Logger:                       discardLogger{},
	}
	return f
}

// SetConnectionLimit keeps to so many connections from now on, at most as many as New was told. Of those open, as many as can be
// spared close when new ones come.
func (f *Frontend) SetConnectionLimit(sockets int) {
	f.softLimit.Store(int64(softLimitShare * float64(sockets)))
	f.mu.Lock()
	defer f.mu.Unlock()
	for ; f.withheldSlots > cap(f.slots)-sockets; f.withheldSlots-- {
		<-f.slots
	}
	for ; f.withheldSlots < cap(f.slots)-sockets; f.withheldSlots++ {
		select {
		case f.slots <- struct{}{}:
		default: // all are in use
			return
		}
	}
}

// discardLogger drops what fasthttp would log a line a connection for.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// rejectMalformed answers what is no request that can be served.
func rejectMalformed(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &small):
		ctx.Error("request head too large", fasthttp.StatusRequestHeaderFieldsTooLarge)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		ctx.Error("request body too large", fasthttp.StatusRequestEntityTooLarge)
	case errors.As(err, &timeout) && timeout.Timeout():
		ctx.Error("request took too long to come", fasthttp.StatusRequestTimeout)
	default:
		ctx.Error("malformed request", fasthttp.StatusBadRequest)
	}
}

// Serve serves ln until Drain closes it.
func (f *Frontend) Serve(ln net.Listener) error {
	return f.httpServer.Serve(&listener{Listener: ln, front: f})
}

// listener counts connections and closes the longest idle one where sockets are short.
type listener struct {
	net.Listener
	front *Frontend
}

// Accept takes the next connection.
func (l *listener) Accept() (net.Conn, error) {
	f := l.front
	f.acquireSlot()
	nc, err := accept.Next(l.Listener, f.acceptFailed) // fasthttp's Serve would end on an error that passes
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

// acceptFailed makes room where accept found no descriptor, and logs an error now and then.
func (f *Frontend) acceptFailed(err error) {
	if upstream.IsSocketShortage(err) {
		f.evictConn()
	}
	if now := time.Now(); now.Sub(f.acceptErrorLoggedAt) >= acceptErrorLogInterval {
		f.acceptErrorLoggedAt = now
		log.Printf("event=accept_failed err=%q", err)
	}
}

// acquireSlot takes a token for a connection. Guards against silent clients that hold all while usual ones wait.
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

func (f *Frontend) releaseConn(c *clientConn) {
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
	<-f.slots
}

// evictConn closes one connection that is of least use, if any is: a silent one first, one that has carried nothing;
// then an idle one; last one whose first request has come in pieces and stalls. Of each kind it is the one that has been
// so longest. A new connection is spared for a while: its first request is likely on its way; and so is one that writes
// slowly: guards against a crowd of silent ones that costs those who write their request.
func (f *Frontend) evictConn() {
	const silent, idle, halfway = 0, 1, 2
	var of [3]*clientConn
	var held [3]int64 // in its idleSince
	fresh := monotonicMicros(time.Now().Add(-unusedIdleTime))
	f.mu.Lock()
	for c := range f.conns {
		at, kind := c.idleSince.Load(), idle
		switch {
		case at == connBusy || at == connClosing:
			continue
		case at < connClosing:
			kind = halfway
		case !c.hasServed.Load():
			kind = silent
		}
		if (kind == idle || timestampOf(at) < fresh) && (of[kind] == nil || timestampOf(at) < timestampOf(held[kind])) {
			of[kind], held[kind] = c, at
		}
	}
	f.mu.Unlock()
	for kind, c := range of {
		if c != nil && c.markClosing(held[kind]) {
			return
		}
	}
}

// closeIdleConns closes connections idle for at least that long; unused ones only where all is true.
func (f *Frontend) closeIdleConns(idle time.Duration, all bool) {
	before := monotonicMicros(time.Now().Add(-idle))
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if all || c.hasServed.Load() {
			c.markClosingIfIdle(before)
		}
	}
}

func (f *Frontend) connCount() (conns int, sinceAccept time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns), time.Since(f.lastAccept)
}

// RunOperatorDrain empties connections while the operators want the sidecar drained, until ctx ends. New connections are taken
// all the while: it takes the clients' front a moment to see the no.
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

// closeIdleUntil closes what is idle until the stage changes.
func (f *Frontend) closeIdleUntil(ctx context.Context, changed <-chan struct{}) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for began := time.Now(); ; {
		used, unused := idleThresholds(time.Since(began))
		f.closeIdleConns(used, false)
		f.closeIdleConns(unused, true)
		select {
		case <-ctx.Done():
			return
		case <-changed:
			return
		case <-tick.C:
		}
	}
}

// idleThresholds is how long a connection may have been idle, one that has carried a request and any other, so long after a
// drain began. One in use ends with its next answer, which no request can cross. Guards against requests that cross
// the closing of a connection which was only between two of them.
func idleThresholds(since time.Duration) (used, unused time.Duration) {
	switch {
	case since < softDrainPeriod:
		return softDrainPeriod, softDrainPeriod
	case since < hardDrainStart:
		return softIdleTime, softDrainPeriod
	}
	return minIdleTime, unusedIdleTime
}

// Shutdown answers all that is taken and returns when nothing is left or ctx ends. It takes what still comes for a while,
// unless it is followed by another process that does: then pass is not nil. ln is nil where it has not served yet.
// fasthttp's Shutdown would close the listener at once, while clients still come.
func (f *Frontend) Shutdown(ctx context.Context, ln net.Listener, pass StreamHandover) {
	began, listening, followed := time.Now(), ln != nil, pass != nil
	if followed {
		f.streamHandover.Store(&pass)
	}
	if listening && followed {
		ln.Close()
		listening = false
	}
	end, bounded := ctx.Deadline()
	accepting := maxAcceptTime
	if bounded {
		accepting = min(accepting, max(0, time.Until(end)-abortMargin-answerTimeAfterAccept))
	}
	for ctx.Err() == nil {
		if bounded && time.Until(end) < abortMargin {
			f.sidecar.AbortAll()
			f.stopReading()
		}
		f.expediteStreams(followed)
		conns, quiet := f.connCount()
		switch {
		case listening && shouldStopAccepting(time.Since(began), quiet, accepting):
			ln.Close()
			listening = false
		case listening:
			f.closeIdleConns(minIdleTime, false)
		case conns == 0 && f.resumedStreams.Load() == 0 && (ln == nil || f.acceptLoopDone.Load()):
			log.Printf("event=drained after_ms=%d", time.Since(began).Milliseconds())
			return
		case followed: // clients have another to come to
			used, unused := idleThresholds(time.Since(began))
			f.closeIdleConns(used, false)
			f.closeIdleConns(unused, true)
		default:
			f.closeIdleConns(minIdleTime, true)
		}
		time.Sleep(pollInterval)
	}
	f.sidecar.AbortAll()
	f.stopReading()
}

// stopReading answers requests that are not whole yet, too late. Guards against one whose last bytes come while this process
// ends: it would have been taken and never answered.
func (f *Frontend) stopReading() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.Conn.SetReadDeadline(expiredDeadline)
	}
}

// expediteStreams makes the long answers under way end soon.
func (f *Frontend) expediteStreams(followed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.expediteStream(followed)
	}
}

// shouldStopAccepting tells when the listener is closed: after a while, once clients have stopped coming, and soon
// after in any case. Guards against one that polls and so keeps the program until it is killed, and, by most, against a
// drain so short, as deadlines are, that it ends with the listener open.
func shouldStopAccepting(sinceTerm, quiet, most time.Duration) bool {
	return sinceTerm > minAcceptTime && quiet > acceptQuietPeriod || sinceTerm > most
}

// handle answers one request.
func (f *Frontend) handle(ctx *fasthttp.RequestCtx) {
	c, ok := ctx.Conn().(*clientConn)
	if !ok {
		ctx.Error("not a connection of this server", fasthttp.StatusInternalServerError)
		return
	}
	c.beginRequest()
	defer c.endRequest()
	if path, _, _ := bytes.Cut(target(&ctx.Request.Header), []byte{'?'}); string(path) == "/health/ready" {
		f.answerReadiness(ctx)
	} else {
		f.serveRequest(ctx, c)
	}
	if c.closeAfterResponse || f.isDraining() {
		ctx.SetConnectionClose()
	}
}

// serveRequest answers one request for servers.
func (f *Frontend) serveRequest(ctx *fasthttp.RequestCtx, c *clientConn) {
	h := &ctx.Request.Header
	body := f.newRequestBody(ctx, c)
	defer body.release()
	parsed, bad := f.parseRequest(h)
	if bad == nil {
		bad = body.buffer()
	}
	if bad != nil {
		ctx.Error(bad.text, bad.status)
		ctx.SetConnectionClose() // one that sends this is of no more use, and its socket is
		return
	}
	leave := f.requiredLease()
	if leave != nil && !leave.Valid() {
		f.answerWithoutLease(ctx, c, parsed)
		return
	}
	if f.replicator != nil && f.serveReplicated(ctx, c, parsed, body) {
		return
	}
	call := parsed.newCall(h, body, c.readAt)
	if leave != nil {
		call.RequireLease(leave.Valid)
	}
	call.OnBodyComplete = c.watchDisconnect
	call.SetDisconnectCheck(c.isDisconnected)
	a, left := f.sidecar.Do(call, c.watchDisconnect()) // reading a body on ends that watch
	broken := body.finish()
	c.stopWatch()
	if left && broken != nil {
		bad := body.requestError(broken)
		ctx.Error(bad.text, bad.status)
	} else {
		f.writeResponse(ctx, c, a)
	}
	if left && broken == nil {
		f.record(ctx, auditevent.ClientLeft, parsed.request.ID, a.ConfigVersion)
	} else {
		f.recordResponse(ctx, parsed.request.ID, a.ConfigVersion)
	}
	if left || broken != nil {
		ctx.SetConnectionClose()
	}
}

// answerWithoutLease refuses a request that this member has no leave to take. Work with an effect that another member may have begun is
// not answered: its client asks on. Guards against a refusal of what ran.
func (f *Frontend) answerWithoutLease(ctx *fasthttp.RequestCtx, c *clientConn, p *parsedRequest) {
	resumed := string(ctx.Request.Header.Peek(resumeHeader)) == "1"
	if p.snapshot.settings.Classes[p.request.Class].Semantics != decide.Idempotent && (resumed || !f.replicator.MayReject()) {
		f.closeUnanswered(ctx, c, p.request.ID, p.timeLeft-time.Since(c.readAt))
		return
	}
	writeRejection(ctx, sidecar.Response{RetryAfter: noLeaseRetryAfter})
	f.record(ctx, auditevent.RejectedNoLease, p.request.ID, f.sidecar.ConfigVersion())
	ctx.SetConnectionClose() // clients have others to go to
}

// requiredLease is what this process needs to act at all; nil: nothing.
func (f *Frontend) requiredLease() takeover.Lease {
	if f.replicator == nil {
		return nil
	}
	return f.replicator.RequiredLease()
}

// SetRecorder has an account kept of the answers.
func (f *Frontend) SetRecorder(l auditevent.Recorder) { f.recorder = l }

// recordResponse notes the answer to a request, and names it to the client. under is the version that it was decided by.
func (f *Frontend) recordResponse(ctx *fasthttp.RequestCtx, id string, under auditevent.ConfigVersionID) {
	switch ctx.Response.StatusCode() {
	case fasthttp.StatusOK:
		f.record(ctx, auditevent.Served, id, under)
	case fasthttp.StatusServiceUnavailable:
		f.record(ctx, auditevent.Rejected, id, under)
	case fasthttp.StatusConflict:
		f.record(ctx, auditevent.DuplicateID, id, under)
	default:
		f.record(ctx, auditevent.Failed, id, under)
	}
}

func (f *Frontend) record(ctx *fasthttp.RequestCtx, kind auditevent.Kind, id string, under auditevent.ConfigVersionID) {
	if f.recorder == nil {
		return
	}
	ref := f.recorder.Record(kind, under, id, strconv.Itoa(ctx.Response.StatusCode()))
	ctx.Response.Header.SetBytesV(auditevent.RefHeader, ref.Append(nil))
}

// CloseIdleConnections closes connections of clients that are idle.
func (f *Frontend) CloseIdleConnections() { f.closeIdleConns(minIdleTime, true) }

// isDraining tells whether each connection is to carry no further request.
func (f *Frontend) isDraining() bool {
	stage := f.lifecycle.Stage()
	return stage == lifecycle.Draining || stage == lifecycle.Terminating
}

func (f *Frontend) answerReadiness(ctx *fasthttp.RequestCtx) {
	if leave := f.requiredLease(); f.sidecar.Ready() && !f.isDraining() && (leave == nil || leave.Valid()) {
		ctx.SetStatusCode(fasthttp.StatusOK)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

// writeResponse writes the final answer.
func (f *Frontend) writeResponse(ctx *fasthttp.RequestCtx, c *clientConn, a sidecar.Response) {
	switch a.Status {
	case sidecar.Served:
		ctx.SetStatusCode(fasthttp.StatusOK)
		if len(a.ContentType) > 0 {
			ctx.Response.Header.SetContentTypeBytes(a.ContentType)
		}
		if a.Stream != nil {
			f.writeStream(ctx, c, a)
		} else {
			ctx.Response.SetBodyRaw(a.Body)
		}
	case sidecar.Rejected:
		writeRejection(ctx, a)
	case sidecar.DuplicateID:
		ctx.Error("a request of this id is under way", fasthttp.StatusConflict)
	case sidecar.DeadlineExceeded:
		ctx.Error("time is up", fasthttp.StatusGatewayTimeout)
	default:
		ctx.Error("no server answered", fasthttp.StatusBadGateway)
	}
}

func writeRejection(ctx *fasthttp.RequestCtx, a sidecar.Response) {
	ctx.Error("refused, trying again is harmless", fasthttp.StatusServiceUnavailable)
	if a.RetryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
	}
}
