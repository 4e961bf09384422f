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
	readBuffer  = 8 << 10                 // holds the longest head taken
	readTimeout = 2500 * time.Millisecond // for a request's head, from its connection's start or its first byte
	bodyTimeout = 1500 * time.Millisecond // for the first 8 KiB of a body
	bodyStall   = 1200 * time.Millisecond // without a byte of a body
	idleTimeout = 2200 * time.Millisecond // clients may count on 2 s; past that a kept socket is one that another lacks
	writeStall  = 5 * time.Second         // a client that takes nothing of its answer for so long has left
	softPart    = 0.5                     // of the sockets; past it a new connection takes the place of one that is idle. Guards against
	// clients that reach their own limit first, with connections that have asked once, and then ask no more

	acceptAfterTerm = 700 * time.Millisecond  // clients go on coming for a while after SIGTERM
	acceptMost      = 1000 * time.Millisecond // whatever comes
	acceptLeft      = 200 * time.Millisecond  // of the drain, before the last answers, for what came last
	quietBefore     = 300 * time.Millisecond  // without a new connection, before the listener is closed
	drainStep       = 10 * time.Millisecond
	acceptLogEvery  = time.Second
	lastAnswers     = 150 * time.Millisecond // before the end of the time for it, what is still open is answered
	unusedAfter     = 300 * time.Millisecond // a new connection that has sent nothing for so long counts as idle
	graceIdle       = 50 * time.Millisecond  // a connection idle for this long has no request on its way
	idleSoft        = 300 * time.Millisecond // the same, where there is time to wait for its next request

	lastWord  = 300 * time.Millisecond // of a request's time: nobody else would answer it in less
	shutRetry = 500 * time.Millisecond // after which a member without a leave may have it again

	// The operators' drain: after 4 s nothing may be left that is idle.
	drainSoft = 1000 * time.Millisecond
	drainHard = 2500 * time.Millisecond
)

// Frontend is the sidecar's side towards its client.
type Frontend struct {
	side    *sidecar.Sidecar
	now     atomic.Pointer[snapshot]
	held    budget               // of bodies under way
	pass    atomic.Pointer[Pass] // to the process that follows, while this one ends
	resumed atomic.Int64         // answers that the process before began
	server  *fasthttp.Server
	sockets atomic.Int64 // connections past which a new one takes an idle one's place
	life    *lifecycle.Owner
	keeper  Keeper              // nil: none
	ledger  auditevent.Recorder // nil: no account is kept
	room    chan struct{}       // a token for each connection that may still be accepted

	deaf atomic.Bool // the listener has taken its last connection, and that is among conns

	mu         sync.Mutex
	conns      map[*clientConn]bool
	withheld   int // tokens of room that nobody may have
	lastAccept time.Time

	acceptLogged time.Time // when an error of accept was logged last; of the accept loop alone
}

// snapshot is a set of settings with the places of its names. It is never changed.
type snapshot struct {
	settings *decide.Settings
	classes  map[string]int
	tenants  map[string]int
}

// Retune takes settings in force for requests that are read from now on. They must not be changed any more.
func (f *Frontend) Retune(settings *decide.Settings) {
	s := &snapshot{settings: settings, classes: map[string]int{}, tenants: map[string]int{}}
	for i, c := range settings.Classes {
		s.classes[c.Name] = i
	}
	for i, t := range settings.Tenants {
		s.tenants[t.Name] = i
	}
	f.now.Store(s)
}

// New makes a frontend that holds at most so many client connections, and so many bytes of bodies that are coming.
func New(side *sidecar.Sidecar, life *lifecycle.Owner, settings *decide.Settings, sockets int, held int64) *Frontend {
	f := &Frontend{
		side: side, life: life, conns: map[*clientConn]bool{}, room: make(chan struct{}, sockets),
	}
	f.Hold(sockets)
	f.Retune(settings)
	f.held.give(held)
	f.server = &fasthttp.Server{
		Handler:            f.handle,
		ErrorHandler:       badInput,
		StreamRequestBody:  true,
		MaxRequestBodySize: upstream.MaxBuffered, // past it fasthttp reads nothing ahead
		ReadBufferSize:     readBuffer,
		ReadTimeout:        readTimeout,
		IdleTimeout:        idleTimeout,
		HeaderReceived: func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
			return fasthttp.RequestConfig{ReadTimeout: bodyTimeout}
		},
		Concurrency:                  1 << 20, // never reached: its 503 would count as a refusal of ours
		DisablePreParseMultipartForm: true,    // the body goes on as it came
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		Logger:                       quiet{},
	}
	return f
}

// Hold keeps to so many connections from now on, at most as many as New was told. Of those open, as many as can be
// spared close when new ones come.
func (f *Frontend) Hold(sockets int) {
	f.sockets.Store(int64(softPart * float64(sockets)))
	f.mu.Lock()
	defer f.mu.Unlock()
	for ; f.withheld > cap(f.room)-sockets; f.withheld-- {
		<-f.room
	}
	for ; f.withheld < cap(f.room)-sockets; f.withheld++ {
		select {
		case f.room <- struct{}{}:
		default: // all are in use
			return
		}
	}
}

// quiet drops what fasthttp would log a line a connection for.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

// badInput answers what is no request that can be served.
func badInput(ctx *fasthttp.RequestCtx, err error) {
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
	return f.server.Serve(&listener{Listener: ln, front: f})
}

// listener counts connections and closes the longest idle one where sockets are short.
type listener struct {
	net.Listener
	front *Frontend
}

// Accept takes the next connection.
func (l *listener) Accept() (net.Conn, error) {
	f := l.front
	f.takeRoom()
	nc, err := accept.Next(l.Listener, f.acceptFailed) // fasthttp's Serve would end on an error that passes
	if err != nil {
		<-f.room
		f.deaf.Store(true)
		return nil, err
	}
	now := time.Now()
	c := &clientConn{Conn: nc, front: f, readAt: now, between: true}
	c.idleSince.Store(micros(now))
	f.mu.Lock()
	f.conns[c] = true
	f.lastAccept = now
	over := int64(len(f.conns)) > f.sockets.Load()
	f.mu.Unlock()
	if over {
		f.closeIdlest()
	}
	return c, nil
}

// acceptFailed makes room where accept found no descriptor, and logs an error now and then.
func (f *Frontend) acceptFailed(err error) {
	if upstream.IsSocketShortage(err) {
		f.closeIdlest()
	}
	if now := time.Now(); now.Sub(f.acceptLogged) >= acceptLogEvery {
		f.acceptLogged = now
		log.Printf("event=accept_failed err=%q", err)
	}
}

// takeRoom takes a token for a connection. Guards against silent clients that hold all while usual ones wait.
func (f *Frontend) takeRoom() {
	select {
	case f.room <- struct{}{}:
		return
	default:
	}
	tick := time.NewTicker(drainStep)
	defer tick.Stop()
	for {
		select {
		case f.room <- struct{}{}:
			return
		case <-tick.C:
			f.closeIdlest()
		}
	}
}

func (f *Frontend) dropped(c *clientConn) {
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
	<-f.room
}

// closeIdlest closes one connection that is of least use, if any is: a silent one first, one that has carried nothing;
// then an idle one; last one whose first request has come in pieces and stalls. Of each kind it is the one that has been
// so longest. A new connection is spared for a while: its first request is likely on its way; and so is one that writes
// slowly: guards against a crowd of silent ones that costs those who write their request.
func (f *Frontend) closeIdlest() {
	const silent, idle, halfway = 0, 1, 2
	var of [3]*clientConn
	var held [3]int64 // in its idleSince
	fresh := micros(time.Now().Add(-unusedAfter))
	f.mu.Lock()
	for c := range f.conns {
		at, kind := c.idleSince.Load(), idle
		switch {
		case at == busy || at == taken:
			continue
		case at < taken:
			kind = halfway
		case !c.served.Load():
			kind = silent
		}
		if (kind == idle || since(at) < fresh) && (of[kind] == nil || since(at) < since(held[kind])) {
			of[kind], held[kind] = c, at
		}
	}
	f.mu.Unlock()
	for kind, c := range of {
		if c != nil && c.take(held[kind]) {
			return
		}
	}
}

// closeIdle closes connections idle for at least that long; unused ones only where all is true.
func (f *Frontend) closeIdle(idle time.Duration, all bool) {
	before := micros(time.Now().Add(-idle))
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if all || c.served.Load() {
			c.takeIdle(before)
		}
	}
}

func (f *Frontend) open() (conns int, sinceAccept time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns), time.Since(f.lastAccept)
}

// Tend empties connections while the operators want the sidecar drained, until ctx ends. New connections are taken
// all the while: it takes the clients' front a moment to see the no.
func (f *Frontend) Tend(ctx context.Context) {
	for {
		stage, changed := f.life.Watch()
		if stage == lifecycle.Drained {
			f.empty(ctx, changed)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// empty closes what is idle until the stage changes.
func (f *Frontend) empty(ctx context.Context, changed <-chan struct{}) {
	tick := time.NewTicker(drainStep)
	defer tick.Stop()
	for began := time.Now(); ; {
		used, unused := spared(time.Since(began))
		f.closeIdle(used, false)
		f.closeIdle(unused, true)
		select {
		case <-ctx.Done():
			return
		case <-changed:
			return
		case <-tick.C:
		}
	}
}

// spared is how long a connection may have been idle, one that has carried a request and any other, so long after a
// drain began. One in use ends with its next answer, which no request can cross. Guards against requests that cross
// the closing of a connection which was only between two of them.
func spared(since time.Duration) (used, unused time.Duration) {
	switch {
	case since < drainSoft:
		return drainSoft, drainSoft
	case since < drainHard:
		return idleSoft, drainSoft
	}
	return graceIdle, unusedAfter
}

// Drain answers all that is taken and returns when nothing is left or ctx ends. It takes what still comes for a while,
// unless it is followed by another process that does: then pass is not nil. ln is nil where it has not served yet.
// fasthttp's Shutdown would close the listener at once, while clients still come.
func (f *Frontend) Drain(ctx context.Context, ln net.Listener, pass Pass) {
	began, listening, followed := time.Now(), ln != nil, pass != nil
	if followed {
		f.pass.Store(&pass)
	}
	if listening && followed {
		ln.Close()
		listening = false
	}
	end, bounded := ctx.Deadline()
	accepting := acceptMost
	if bounded {
		accepting = min(accepting, max(0, time.Until(end)-lastAnswers-acceptLeft))
	}
	for ctx.Err() == nil {
		if bounded && time.Until(end) < lastAnswers {
			f.side.AbortAll()
			f.stopReading()
		}
		f.hurry(followed)
		conns, quiet := f.open()
		switch {
		case listening && stopsAccepting(time.Since(began), quiet, accepting):
			ln.Close()
			listening = false
		case listening:
			f.closeIdle(graceIdle, false)
		case conns == 0 && f.resumed.Load() == 0 && (ln == nil || f.deaf.Load()):
			log.Printf("event=drained after_ms=%d", time.Since(began).Milliseconds())
			return
		case followed: // clients have another to come to
			used, unused := spared(time.Since(began))
			f.closeIdle(used, false)
			f.closeIdle(unused, true)
		default:
			f.closeIdle(graceIdle, true)
		}
		time.Sleep(drainStep)
	}
	f.side.AbortAll()
	f.stopReading()
}

// stopReading answers requests that are not whole yet, too late. Guards against one whose last bytes come while this process
// ends: it would have been taken and never answered.
func (f *Frontend) stopReading() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.Conn.SetReadDeadline(past)
	}
}

// hurry makes the long answers under way end soon.
func (f *Frontend) hurry(followed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.hurry(followed)
	}
}

// stopsAccepting tells when the listener is closed: after a while, once clients have stopped coming, and soon
// after in any case. Guards against one that polls and so keeps the program until it is killed, and, by most, against a
// drain so short, as deadlines are, that it ends with the listener open.
func stopsAccepting(sinceTerm, quiet, most time.Duration) bool {
	return sinceTerm > acceptAfterTerm && quiet > quietBefore || sinceTerm > most
}

// handle answers one request.
func (f *Frontend) handle(ctx *fasthttp.RequestCtx) {
	c, ok := ctx.Conn().(*clientConn)
	if !ok {
		ctx.Error("not a connection of this server", fasthttp.StatusInternalServerError)
		return
	}
	c.begin()
	defer c.finished()
	if path, _, _ := bytes.Cut(target(&ctx.Request.Header), []byte{'?'}); string(path) == "/health/ready" {
		f.ready(ctx)
	} else {
		f.serve(ctx, c)
	}
	if c.last || f.emptying() {
		ctx.SetConnectionClose()
	}
}

// serve answers one request for servers.
func (f *Frontend) serve(ctx *fasthttp.RequestCtx, c *clientConn) {
	h := &ctx.Request.Header
	body := f.body(ctx, c)
	defer body.release()
	parsed, bad := f.parse(h)
	if bad == nil {
		bad = body.hold()
	}
	if bad != nil {
		ctx.Error(bad.text, bad.status)
		ctx.SetConnectionClose() // one that sends this is of no more use, and its socket is
		return
	}
	leave := f.leave()
	if leave != nil && !leave.Valid() {
		f.shut(ctx, c, parsed)
		return
	}
	if f.keeper != nil && f.keep(ctx, c, parsed, body) {
		return
	}
	call := parsed.call(h, body, c.readAt)
	if leave != nil {
		call.RequireLease(leave.Valid)
	}
	call.OnBodyComplete = c.watch
	call.SetDisconnectCheck(c.hungUp)
	a, left := f.side.Do(call, c.watch()) // reading a body on ends that watch
	broken := body.close()
	c.unwatch()
	if left && broken != nil {
		bad := body.fault(broken)
		ctx.Error(bad.text, bad.status)
	} else {
		f.answer(ctx, c, a)
	}
	if left && broken == nil {
		f.noted(ctx, auditevent.ClientLeft, parsed.request.ID, a.ConfigVersion)
	} else {
		f.account(ctx, parsed.request.ID, a.ConfigVersion)
	}
	if left || broken != nil {
		ctx.SetConnectionClose()
	}
}

// shut refuses a request that this member has no leave to take. Work with an effect that another member may have begun is
// not answered: its client asks on. Guards against a refusal of what ran.
func (f *Frontend) shut(ctx *fasthttp.RequestCtx, c *clientConn, p *parsed) {
	resumed := string(ctx.Request.Header.Peek(resumeHead)) == "1"
	if p.now.settings.Classes[p.request.Class].Semantics != decide.Idempotent && (resumed || !f.keeper.MayRefuse()) {
		f.silent(ctx, c, p.request.ID, p.left-time.Since(c.readAt))
		return
	}
	refuse(ctx, sidecar.Response{RetryAfter: shutRetry})
	f.noted(ctx, auditevent.RejectedNoLease, p.request.ID, f.side.ConfigVersion())
	ctx.SetConnectionClose() // clients have others to go to
}

// leave is what this process needs to act at all; nil: nothing.
func (f *Frontend) leave() takeover.Lease {
	if f.keeper == nil {
		return nil
	}
	return f.keeper.Needed()
}

// Audit has an account kept of the answers.
func (f *Frontend) Audit(l auditevent.Recorder) { f.ledger = l }

// account notes the answer to a request, and names it to the client. under is the version that it was decided by.
func (f *Frontend) account(ctx *fasthttp.RequestCtx, id string, under auditevent.ConfigVersionID) {
	switch ctx.Response.StatusCode() {
	case fasthttp.StatusOK:
		f.noted(ctx, auditevent.Served, id, under)
	case fasthttp.StatusServiceUnavailable:
		f.noted(ctx, auditevent.Rejected, id, under)
	case fasthttp.StatusConflict:
		f.noted(ctx, auditevent.DuplicateID, id, under)
	default:
		f.noted(ctx, auditevent.Failed, id, under)
	}
}

func (f *Frontend) noted(ctx *fasthttp.RequestCtx, kind auditevent.Kind, id string, under auditevent.ConfigVersionID) {
	if f.ledger == nil {
		return
	}
	ref := f.ledger.Record(kind, under, id, strconv.Itoa(ctx.Response.StatusCode()))
	ctx.Response.Header.SetBytesV(auditevent.RefHeader, ref.Append(nil))
}

// Rest closes connections of clients that are idle.
func (f *Frontend) Rest() { f.closeIdle(graceIdle, true) }

// emptying tells whether each connection is to carry no further request.
func (f *Frontend) emptying() bool {
	stage := f.life.Stage()
	return stage == lifecycle.Drained || stage == lifecycle.Ending
}

func (f *Frontend) ready(ctx *fasthttp.RequestCtx) {
	if leave := f.leave(); f.side.Ready() && !f.emptying() && (leave == nil || leave.Valid()) {
		ctx.SetStatusCode(fasthttp.StatusOK)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

// answer writes the final answer.
func (f *Frontend) answer(ctx *fasthttp.RequestCtx, c *clientConn, a sidecar.Response) {
	switch a.Status {
	case sidecar.Served:
		ctx.SetStatusCode(fasthttp.StatusOK)
		if len(a.ContentType) > 0 {
			ctx.Response.Header.SetContentTypeBytes(a.ContentType)
		}
		if a.Stream != nil {
			f.stream(ctx, c, a)
		} else {
			ctx.Response.SetBodyRaw(a.Body)
		}
	case sidecar.Rejected:
		refuse(ctx, a)
	case sidecar.DuplicateID:
		ctx.Error("a request of this id is under way", fasthttp.StatusConflict)
	case sidecar.DeadlineExceeded:
		ctx.Error("time is up", fasthttp.StatusGatewayTimeout)
	default:
		ctx.Error("no server answered", fasthttp.StatusBadGateway)
	}
}

func refuse(ctx *fasthttp.RequestCtx, a sidecar.Response) {
	ctx.Error("refused, trying again is harmless", fasthttp.StatusServiceUnavailable)
	if a.RetryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
	}
}
