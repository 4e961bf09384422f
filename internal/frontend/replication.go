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

// minTimeElsewhere is the least time to its deadline for which a client is left to ask another member: none would
// answer in less.
const minTimeElsewhere = 300 * time.Millisecond

// RequestReplicator is the frontend's view of the fleet: it replicates requests that aren't idempotent, so that another
// member can answer them after this one's exit. Its methods are called on the goroutines of connections.
type RequestReplicator interface {
	// Execute replicates a request, has send send it if this member is to do that, and returns what to answer.
	// clientGone is closed when the client disconnects; nil: it isn't watched.
	Execute(r takeover.Request, clientGone <-chan struct{}, send func(takeover.SendPermit) takeover.Result) takeover.Outcome
	// ReplicationPolicy returns how a class's requests are replicated.
	ReplicationPolicy(class string, idempotency takeover.Idempotency) options.ReplicationPolicy
	// MaxRequestAge is the longest time for which a request is replicated.
	MaxRequestAge() time.Duration
	// RequiredLease returns the lease without which no request at all is accepted or sent; nil: none is required.
	RequiredLease() takeover.Lease
	// MayReject returns whether a request that was read just now may be rejected: false while it may have waited unread,
	// so that its client may have asked another member.
	MayReject() bool
}

// isResumed returns whether the client has asked another member before.
func isResumed(h *fasthttp.RequestHeader) bool { return string(h.Peek(resumeHeader)) == headerTrue }

// serveReplicated serves a request whose class is replicated; false: it isn't, and nothing was done.
func (f *Frontend) serveReplicated(ctx *fasthttp.RequestCtx, c *clientConn, p *parsedRequest, b *requestBody) bool {
	class := &p.snapshot.settings.Classes[p.request.Class]
	idempotency := idempotencyOf(class.Semantics)
	policy := f.replicator.ReplicationPolicy(class.Name, idempotency)
	if policy == options.NoReplication {
		return false
	}
	p.timeLeft = min(p.timeLeft, f.replicator.MaxRequestAge())
	if b.source == nil {
		b.buffered = slices.Clone(b.buffered) // fasthttp reuses its buffer once the client has its response
	}
	h := &ctx.Request.Header
	call := p.newCall(h, b, c.readAt)
	call.OnBodyComplete = c.watchDisconnect
	r := takeover.Request{
		ID: p.request.ID, Class: class.Name, Idempotency: idempotency, Resume: isResumed(h), Strict: policy == options.StrictReplication,
		Timeout: min(call.TimeToResponseDeadline(time.Now()), p.timeLeft), MaxDuration: call.TimeToResponseDeadline(time.Now()),
		Digest: requestDigest(class.Name, h.Peek(idempotencyKeyHeader), p.request.Key, b.buffered),
	}
	switch {
	case b.remainder != nil: // the remainder can't be sent again
		r.Idempotency = takeover.NotIdempotent
	case idempotency == takeover.IdempotentByKey && class.DedupScope == decide.ScopeAll:
		r.DedupWindow, r.Stored = time.Duration(class.DedupWindow)*time.Microsecond, p.storedRequest(call, b)
	}
	var clientGone <-chan struct{}
	if b.remainder == nil {
		clientGone = c.watchDisconnect()
	}
	start := time.Now()
	outcome := f.replicator.Execute(r, clientGone, f.sendFunc(call))
	bodyErr := b.finish()
	c.stopWatch()
	if bodyErr != nil && outcome.Kind != takeover.OutcomeResponse {
		b.rejection(bodyErr).write(ctx)
		f.recordResponse(ctx, r.ID, f.sidecar.ConfigVersion())
	} else {
		timeLeft := min(call.TimeToResponseDeadline(time.Now()), p.timeLeft-time.Since(start)) // the former counts from the body's end
		f.writeOutcome(ctx, c, call, &outcome, timeLeft)
	}
	if bodyErr != nil || outcome.Kind == takeover.OutcomeCallerGone {
		ctx.SetConnectionClose()
	}
	return true
}

// idempotencyOf translates the semantics of a class.
func idempotencyOf(s decide.Semantics) takeover.Idempotency {
	switch s {
	case decide.Idempotent:
		return takeover.Idempotent
	case decide.IdempotencyKeyed:
		return takeover.IdempotentByKey
	}
	return takeover.NotIdempotent
}

// requestDigest tells different requests of one ID apart.
func requestDigest(class string, idempotencyKey []byte, objectKey string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [][]byte{[]byte(class), idempotencyKey, []byte(objectKey), body} {
		fmt.Fprintf(&d, "%d:", len(part))
		d.Write(part)
	}
	return d.Sum64()
}

// storedRequest returns what replicas keep of a request, to send it for a lost member.
func (p *parsedRequest) storedRequest(call *sidecar.Call, b *requestBody) takeover.StoredRequest {
	s := takeover.StoredRequest{Head: call.Message.Head, Body: b.buffered, Key: p.request.Key}
	if t := p.request.Tenant; t >= 0 {
		s.Tenant = p.snapshot.settings.Tenants[t].Name
	}
	return s
}

// sendFunc returns a function that sends a call while its permit is valid, and returns the result.
func (f *Frontend) sendFunc(call *sidecar.Call) func(takeover.SendPermit) takeover.Result {
	return func(permit takeover.SendPermit) takeover.Result {
		var leaseOver <-chan struct{}
		var leaseValid func() bool
		if permit.Lease != nil {
			leaseOver, leaseValid = permit.Lease.Done(), permit.Lease.Valid
		}
		call.UseLease(leaseValid, permit.PriorSendAge)
		response, leaseLost := f.sidecar.Do(call, leaseOver)
		return takeover.Result{Response: storedResponse(response, leaseLost), LiveResponse: response}
	}
}

// storedResponse returns what replicas keep of a response.
func storedResponse(r sidecar.Response, leaseLost bool) takeover.Response {
	switch {
	case leaseLost:
		return takeover.Response{Status: takeover.Failed, Reason: "its member is out"}
	case r.Status == sidecar.Served && r.Stream != nil:
		return takeover.Response{Status: takeover.ResponseTooLarge}
	case r.Status == sidecar.Served:
		return takeover.Response{Status: takeover.Served, Body: r.Body, ContentType: r.ContentType}
	case r.Status == sidecar.Rejected:
		return takeover.Response{Status: takeover.Rejected, RetryAfter: r.RetryAfter.Microseconds()}
	}
	return takeover.Response{Status: takeover.Failed, Reason: "no server answered"}
}

// ResumeOrphan returns a function that sends a recorded request whose client is unknown here, or an error where its
// class is unknown or has other semantics by now.
func (f *Frontend) ResumeOrphan(rec *takeover.Record, stored *takeover.StoredRequest) (func(takeover.SendPermit) takeover.Result, error) {
	snapshot := f.snapshot.Load()
	class, ok := snapshot.classes[rec.Class]
	if !ok {
		return nil, fmt.Errorf("class %q is unknown here", rec.Class)
	}
	if idempotencyOf(snapshot.settings.Classes[class].Semantics) != rec.Idempotency {
		return nil, fmt.Errorf("class %q has another effect here", rec.Class)
	}
	r := decide.Request{ID: rec.ID, Class: class, Tenant: -1, Key: stored.Key}
	if t, ok := snapshot.tenants[stored.Tenant]; ok {
		r.Tenant = t
	}
	timeLeft := time.Duration(rec.DeadlineAge-rec.Age) * time.Microsecond
	m := upstream.Message{Head: stored.Head, Body: stored.Body}
	return f.sendFunc(sidecar.NewCall(snapshot.settings, r, m, time.Now(), timeLeft)), nil
}

// DiscardResponse closes a live response that no client takes any more.
func (f *Frontend) DiscardResponse(live any) {
	if r, ok := live.(sidecar.Response); ok && r.Stream != nil {
		r.Stream.Close()
	}
}

// writeOutcome answers a replicated request with so much time to its deadline. A member that has lost its lease meanwhile
// answers nothing: another one does.
func (f *Frontend) writeOutcome(ctx *fasthttp.RequestCtx, c *clientConn, call *sidecar.Call, o *takeover.Outcome, timeLeft time.Duration) {
	if o.Kind == takeover.OutcomeResponse && o.Lease != nil && !o.Lease.Valid() {
		f.DiscardResponse(o.LiveResponse)
		o.Kind = takeover.OutcomeCloseConnection
	}
	version := f.sidecar.ConfigVersion()
	switch o.Kind {
	case takeover.OutcomeCloseConnection:
		f.closeUnanswered(ctx, c, call.Request.ID, timeLeft)
		return
	case takeover.OutcomeCallerGone:
		f.writeResponse(ctx, c, sidecar.Response{Status: sidecar.DeadlineExceeded})
		f.record(ctx, auditevent.ClientLeft, call.Request.ID, version)
		return
	case takeover.OutcomeInFlight:
		f.writeResponse(ctx, c, sidecar.Response{Status: sidecar.DuplicateID})
	case takeover.OutcomeIDConflict:
		ctx.Error("the id is that of another request", fasthttp.StatusConflict)
	default:
		if live, ok := o.LiveResponse.(sidecar.Response); ok {
			version = live.ConfigVersion
			f.writeResponse(ctx, c, live)
		} else {
			f.writeStoredResponse(ctx, c, &o.Response)
		}
	}
	f.recordResponse(ctx, call.Request.ID, version)
}

// closeUnanswered closes a connection without a response, so that its client asks another member. Shortly before the
// request's deadline it is answered as failed instead.
func (f *Frontend) closeUnanswered(ctx *fasthttp.RequestCtx, c *clientConn, id string, timeLeft time.Duration) {
	if timeLeft > minTimeElsewhere {
		ctx.SetConnectionClose()
		c.Close()
		return
	}
	ctx.Error("takeover: this member may not say", fasthttp.StatusBadGateway)
	ctx.SetConnectionClose()
	f.recordResponse(ctx, id, f.sidecar.ConfigVersion())
}
