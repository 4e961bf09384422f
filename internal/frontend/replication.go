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

// resumeHeader marks a request that the client has sent to another member before.
const resumeHeader = "Req-Resume"

// minTimeForOtherMember is the minimum time to a request's deadline for which the client is left to ask another member.
// In less time no other member would answer.
const minTimeForOtherMember = 300 * time.Millisecond

// RequestReplicator is the frontend's interface to the fleet. It replicates requests that are not idempotent, so that
// another member can answer them after this member has failed. The goroutines of connections call its methods.
type RequestReplicator interface {
	// Execute replicates a request, calls send if this member is to send it, and returns the outcome. clientGone is
	// closed when the client disconnects; it is nil if the client is not watched.
	Execute(r takeover.Request, clientGone <-chan struct{}, send func(takeover.SendPermit) takeover.Result) takeover.Outcome
	// ReplicationPolicy returns how a class's requests are replicated.
	ReplicationPolicy(class string, idempotency takeover.Idempotency) options.ReplicationPolicy
	// MaxRequestAge returns the maximum time for which a request is replicated.
	MaxRequestAge() time.Duration
	// RequiredLease returns the lease without which no request may be accepted or sent, or nil if none is required.
	RequiredLease() takeover.Lease
	// MayReject reports whether a request that was read just now may be rejected. It is false while the request may have
	// waited unread for so long that its client may have asked another member.
	MayReject() bool
}

// isResumed reports whether the client has sent the request to another member before.
func isResumed(h *fasthttp.RequestHeader) bool { return string(h.Peek(resumeHeader)) == headerTrue }

// serveReplicated serves a request whose class is replicated. It returns false, without any effect, if the class is not
// replicated.
func (f *Frontend) serveReplicated(ctx *fasthttp.RequestCtx, c *clientConn, p *parsedRequest, b *requestBody) bool {
	class := &p.snapshot.settings.Classes[p.request.Class]
	idempotency := idempotencyOf(class.Semantics)
	policy := f.replicator.ReplicationPolicy(class.Name, idempotency)
	if policy == options.NoReplication {
		return false
	}
	p.timeLeft = min(p.timeLeft, f.replicator.MaxRequestAge())
	if b.source == nil {
		b.buffered = slices.Clone(b.buffered) // fasthttp reuses its buffer after the response
	}
	h := &ctx.Request.Header
	call := p.newCall(h, b, c.requestArrivedAt())
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
		timeLeft := min(call.TimeToResponseDeadline(time.Now()), p.timeLeft-time.Since(start)) // the call's time is counted from the end of the body
		f.writeOutcome(ctx, c, call, &outcome, timeLeft)
	}
	if bodyErr != nil || outcome.Kind == takeover.OutcomeClientGone {
		ctx.SetConnectionClose()
	}
	return true
}

// idempotencyOf converts the semantics of a class.
func idempotencyOf(s decide.Semantics) takeover.Idempotency {
	switch s {
	case decide.Idempotent:
		return takeover.Idempotent
	case decide.IdempotencyKeyed:
		return takeover.IdempotentByKey
	}
	return takeover.NotIdempotent
}

// requestDigest returns a hash that distinguishes different requests with the same ID.
func requestDigest(class string, idempotencyKey []byte, objectKey string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [][]byte{[]byte(class), idempotencyKey, []byte(objectKey), body} {
		fmt.Fprintf(&d, "%d:", len(part))
		d.Write(part)
	}
	return d.Sum64()
}

// storedRequest returns the part of a request that replicas store, so that they can send it if this member fails.
func (p *parsedRequest) storedRequest(call *sidecar.Call, b *requestBody) takeover.StoredRequest {
	s := takeover.StoredRequest{Head: call.Message.Head, Body: b.buffered, Key: p.request.Key}
	if t := p.request.Tenant; t >= 0 {
		s.Tenant = p.snapshot.settings.Tenants[t].Name
	}
	return s
}

// sendFunc returns a function that sends a call as long as the permit's lease is valid.
func (f *Frontend) sendFunc(call *sidecar.Call) func(takeover.SendPermit) takeover.Result {
	return func(permit takeover.SendPermit) takeover.Result {
		var leaseOver <-chan struct{}
		var leaseValid func() bool
		if permit.Lease != nil {
			leaseOver, leaseValid = permit.Lease.Done(), permit.Lease.Valid
		}
		call.UseLease(leaseValid, permit.PriorSendAge)
		response, leaseLost := f.sidecar.Do(call, leaseOver)
		response.Memory.Release() // the fleet keeps the body, at most of its own size, until the replicas have stored it
		response.Memory = nil
		return takeover.Result{Response: storedResponse(response, leaseLost), LiveResponse: response}
	}
}

// storedResponse returns the part of a response that replicas store.
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

// ResumeOrphan returns a function that sends a recorded request that no client of this member waits for. It returns an
// error if the class is unknown or its semantics differ from those recorded.
func (f *Frontend) ResumeOrphan(rec *takeover.Record, stored *takeover.StoredRequest) (func(takeover.SendPermit) takeover.Result, error) {
	snapshot := f.snapshot.Load()
	class, ok := snapshot.classes[rec.Class]
	if !ok {
		return nil, fmt.Errorf("cannot resume request: class %q is not in the settings", rec.Class)
	}
	if idempotencyOf(snapshot.settings.Classes[class].Semantics) != rec.Idempotency {
		return nil, fmt.Errorf("cannot resume request: semantics of class %q differ from those recorded", rec.Class)
	}
	r := decide.Request{ID: rec.ID, Class: class, Tenant: -1, Key: stored.Key}
	if t, ok := snapshot.tenants[stored.Tenant]; ok {
		r.Tenant = t
	}
	timeLeft := time.Duration(rec.DeadlineAge-rec.Age) * time.Microsecond
	m := upstream.Message{Head: stored.Head, Body: stored.Body}
	return f.sendFunc(sidecar.NewCall(snapshot.settings, r, m, time.Now(), timeLeft)), nil
}

// DiscardResponse closes a live response that no client will read.
func (f *Frontend) DiscardResponse(live any) {
	if r, ok := live.(sidecar.Response); ok && r.Stream != nil {
		r.Stream.Close()
	}
}

// writeOutcome answers a replicated request. timeLeft is the time to its deadline. If this member has lost its lease, it
// closes the connection instead, because another member answers the request.
func (f *Frontend) writeOutcome(ctx *fasthttp.RequestCtx, c *clientConn, call *sidecar.Call, o *takeover.Outcome, timeLeft time.Duration) {
	if o.Kind == takeover.OutcomeResponse && o.Lease != nil && !o.Lease.Valid() {
		f.DiscardResponse(o.LiveResponse)
		o.Kind = takeover.OutcomeCloseConnection
	}
	version := f.sidecar.ConfigVersion()
	switch o.Kind {
	case takeover.OutcomeCloseConnection:
		f.closeWithoutResponse(ctx, c, call.Request.ID, timeLeft)
		return
	case takeover.OutcomeClientGone:
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

// closeWithoutResponse closes a connection without a response, so that the client asks another member. Shortly before
// the deadline it answers that the request failed instead.
func (f *Frontend) closeWithoutResponse(ctx *fasthttp.RequestCtx, c *clientConn, id string, timeLeft time.Duration) {
	if timeLeft > minTimeForOtherMember {
		ctx.SetConnectionClose()
		c.Close()
		return
	}
	ctx.Error("takeover: this member may not say", fasthttp.StatusBadGateway)
	ctx.SetConnectionClose()
	f.recordResponse(ctx, id, f.sidecar.ConfigVersion())
}
