package frontend

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"damsonscale/decide"
	"damsonscale/internal/auditevent"
	"damsonscale/internal/options"
	"damsonscale/internal/sidecar"
	"damsonscale/internal/takeover"
	"damsonscale/internal/upstream"
)

// resumeHeader marks a request that its client has asked of another member before.
const resumeHeader = "Req-Resume"

// RequestReplicator keeps work with an effect, so that it survives the loss of its sidecar.
type RequestReplicator interface {
	// Do brings a request under custody, has run send it if that is this member's to do, and tells its outcome. gone is
	// closed when its client leaves.
	Execute(w takeover.Request, gone <-chan struct{}, run func(takeover.SendPermit) takeover.Result) takeover.Outcome
	ReplicationPolicy(class string, e takeover.Idempotency) options.ReplicationPolicy
	MaxDuration() time.Duration    // that a request may be in custody
	RequiredLease() takeover.Lease // without which nothing at all is taken or sent; nil: none is
	MayReject() bool               // a request that was read just now had not waited, so that its client may have gone elsewhere
}

// SetReplicator has the work with an effect kept from the next request on.
func (f *Frontend) SetReplicator(k RequestReplicator) { f.replicator = k }

// serveReplicated serves a request under the fleet's custody; false: its class has none.
func (f *Frontend) serveReplicated(ctx *fasthttp.RequestCtx, c *clientConn, p *parsedRequest, b *requestBody) bool {
	h := &ctx.Request.Header
	class := &p.snapshot.settings.Classes[p.request.Class]
	effect := idempotencyOf(class.Semantics)
	policy := f.replicator.ReplicationPolicy(class.Name, effect)
	if policy == options.NoReplication {
		return false
	}
	p.timeLeft = min(p.timeLeft, f.replicator.MaxDuration())
	if b.source == nil {
		b.buffered = slices.Clone(b.buffered) // it outlasts its client, and is the server's memory; what came as a stream is our own
	}
	call := p.newCall(h, b, c.readAt)
	call.OnBodyComplete = c.watchDisconnect
	w := takeover.Request{
		ID: p.request.ID, Class: class.Name, Idempotency: effect, Resume: string(h.Peek(resumeHeader)) == "1", Strict: policy == options.StrictReplication,
		Timeout: min(call.TimeLeft(time.Now()), p.timeLeft), MaxDuration: call.TimeLeft(time.Now()), Digest: requestDigest(class.Name, h.Peek("Idempotency-Key"), p.request.Key, b.buffered),
	}
	var gone <-chan struct{}
	switch {
	case b.remainder != nil: // it can't be sent again: once begun, it is treated as work that must not be
		w.Idempotency = takeover.NotIdempotent
	case effect == takeover.IdempotentByKey && class.DedupScope == decide.ScopeAll:
		w.DedupWindow, w.Stored = time.Duration(class.DedupWindow)*time.Microsecond, p.storedRequest(call, b)
	}
	if b.remainder == nil {
		gone = c.watchDisconnect()
	}
	began := time.Now()
	o := f.replicator.Execute(w, gone, f.sendFunc(call))
	broken := b.finish()
	c.stopWatch()
	switch {
	case broken != nil && o.Kind != takeover.OutcomeResponse:
		bad := b.requestError(broken)
		ctx.Error(bad.text, bad.status)
		f.recordResponse(ctx, w.ID, f.sidecar.ConfigVersion())
	default:
		f.writeOutcome(ctx, c, call, &o, min(call.TimeLeft(time.Now()), p.timeLeft-time.Since(began))) // a body that is not held counts from its end
	}
	if broken != nil || o.Kind == takeover.OutcomeCallerGone {
		ctx.SetConnectionClose()
	}
	return true
}

func idempotencyOf(s decide.Semantics) takeover.Idempotency {
	switch s {
	case decide.Idempotent:
		return takeover.Idempotent
	case decide.IdempotencyKeyed:
		return takeover.IdempotentByKey
	}
	return takeover.NotIdempotent
}

// requestDigest tells requests of one id apart.
func requestDigest(class string, key []byte, about string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [][]byte{[]byte(class), key, []byte(about), body} {
		fmt.Fprintf(&d, "%d:", len(part))
		d.Write(part)
	}
	return d.Sum64()
}

// storedRequest makes what holders keep of a request.
func (p *parsedRequest) storedRequest(call *sidecar.Call, b *requestBody) takeover.StoredRequest {
	s := takeover.StoredRequest{Head: call.Message.Head, Body: b.buffered, Key: p.request.Key}
	if t := p.request.Tenant; t >= 0 {
		s.Tenant = p.snapshot.settings.Tenants[t].Name
	}
	return s
}

// sendFunc makes what sends a call, under a leave that it may lose.
func (f *Frontend) sendFunc(call *sidecar.Call) func(takeover.SendPermit) takeover.Result {
	return func(l takeover.SendPermit) takeover.Result {
		var over <-chan struct{}
		var leave func() bool
		if l.Lease != nil {
			over, leave = l.Lease.Done(), l.Lease.Valid
		}
		call.UseLease(leave, l.PriorSendAge)
		a, left := f.sidecar.Do(call, over)
		r := takeover.Result{LiveResponse: a}
		switch {
		case left:
			r.Response = takeover.Response{Status: takeover.Failed, Reason: "its member is out"}
		case a.Status == sidecar.Served && a.Stream != nil:
			r.Response.Status = takeover.ResponseTooLarge
		case a.Status == sidecar.Served:
			r.Response = takeover.Response{Status: takeover.Served, Body: a.Body, ContentType: a.ContentType}
		case a.Status == sidecar.Rejected:
			r.Response = takeover.Response{Status: takeover.Rejected, RetryAfter: a.RetryAfter.Microseconds()}
		default:
			r.Response = takeover.Response{Status: takeover.Failed, Reason: "no server answered"}
		}
		return r
	}
}

// ResumeOrphan makes what runs a recorded request that nobody has asked for again.
func (f *Frontend) ResumeOrphan(rec *takeover.Record, s *takeover.StoredRequest) (func(takeover.SendPermit) takeover.Result, error) {
	now := f.snapshot.Load()
	class, ok := now.classes[rec.Class]
	if !ok {
		return nil, fmt.Errorf("class %q is unknown here", rec.Class)
	}
	if e := idempotencyOf(now.settings.Classes[class].Semantics); e != rec.Idempotency { // Guards against work taken over across a reload
		return nil, fmt.Errorf("class %q has another effect here", rec.Class)
	}
	r := decide.Request{ID: rec.ID, Class: class, Tenant: -1, Key: s.Key}
	if t, ok := now.tenants[s.Tenant]; ok {
		r.Tenant = t
	}
	left := time.Duration(rec.DeadlineAge-rec.Age) * time.Microsecond
	m := upstream.Message{Head: s.Head, Body: s.Body}
	return f.sendFunc(sidecar.NewCall(now.settings, r, m, time.Now(), left)), nil
}

// DiscardAnswer ends a live answer that nobody is left to take.
func (f *Frontend) DiscardAnswer(live any) {
	if a, ok := live.(sidecar.Response); ok && a.Stream != nil {
		a.Stream.Close()
	}
}

// writeOutcome answers as custody has it, where so much of the request's time is left. A member that has lost its leave answers nothing: another one does.
func (f *Frontend) writeOutcome(ctx *fasthttp.RequestCtx, c *clientConn, call *sidecar.Call, o *takeover.Outcome, left time.Duration) {
	if o.Kind == takeover.OutcomeResponse && o.Lease != nil && !o.Lease.Valid() {
		f.DiscardAnswer(o.LiveResponse)
		o.Kind = takeover.OutcomeCloseConnection
	}
	under := f.sidecar.ConfigVersion()
	switch o.Kind {
	case takeover.OutcomeCloseConnection:
		f.closeUnanswered(ctx, c, call.Request.ID, left)
		return
	case takeover.OutcomeCallerGone:
		f.writeResponse(ctx, c, sidecar.Response{Status: sidecar.DeadlineExceeded})
		f.record(ctx, auditevent.ClientLeft, call.Request.ID, under)
		return
	case takeover.OutcomeInFlight:
		f.writeResponse(ctx, c, sidecar.Response{Status: sidecar.DuplicateID})
	case takeover.OutcomeIDConflict:
		ctx.Error("the id is that of another request", fasthttp.StatusConflict)
	default:
		if a, ok := o.LiveResponse.(sidecar.Response); ok {
			under = a.ConfigVersion
			f.writeResponse(ctx, c, a)
		} else {
			f.writeStoredResponse(ctx, c, &o.Response)
		}
	}
	f.recordResponse(ctx, call.Request.ID, under)
}

// closeUnanswered ends a connection without an answer: its client asks another member. In the last of its time the request fails, which
// promises nothing. Guards against one that nobody answers while no member has leave to.
func (f *Frontend) closeUnanswered(ctx *fasthttp.RequestCtx, c *clientConn, id string, left time.Duration) {
	if left > minTimeElsewhere {
		ctx.SetConnectionClose()
		c.Close()
		return
	}
	ctx.Error("takeover: this member may not say", fasthttp.StatusBadGateway)
	ctx.SetConnectionClose()
	f.recordResponse(ctx, id, f.sidecar.ConfigVersion())
}

// writeStoredResponse gives an answer that was kept.
func (f *Frontend) writeStoredResponse(ctx *fasthttp.RequestCtx, c *clientConn, a *takeover.Response) {
	switch a.Status {
	case takeover.Served:
		f.writeResponse(ctx, c, sidecar.Response{Status: sidecar.Served, Body: a.Body, ContentType: a.ContentType})
	case takeover.Rejected:
		writeRejection(ctx, sidecar.Response{RetryAfter: time.Duration(a.RetryAfter) * time.Microsecond})
	case takeover.ResponseTooLarge:
		ctx.Error("takeover: served, the answer was too long to keep", fasthttp.StatusBadGateway)
	default:
		ctx.Error("takeover: "+a.Reason, fasthttp.StatusBadGateway)
	}
}
