package frontend

import (
	"bytes"
	"time"

	"github.com/valyala/fasthttp"

	"damsonscale/decide"
	"damsonscale/internal/auditevent"
	"damsonscale/internal/sidecar"
	"damsonscale/internal/takeover"
	"damsonscale/internal/upstream"
)

// readinessPath is the path at which the sidecar reports whether it is ready. All other requests are forwarded to servers.
const readinessPath = "/health/ready"

// handle serves one request. fasthttp calls it on the connection's goroutine.
func (f *Frontend) handle(ctx *fasthttp.RequestCtx) {
	c, ok := ctx.Conn().(*clientConn)
	if !ok {
		ctx.Error("not a connection of this server", fasthttp.StatusInternalServerError)
		return
	}
	c.beginRequest()
	defer c.endRequest()
	defer c.dropParsedRequest(ctx)
	if path, _, _ := bytes.Cut(originForm(&ctx.Request.Header), []byte{'?'}); string(path) == readinessPath {
		f.handleReadiness(ctx)
	} else {
		f.serveRequest(ctx, c)
	}
	if c.closeAfterResponse || c.evicted.Load() || f.isDraining() {
		ctx.SetConnectionClose()
	}
}

// serveRequest parses a request, forwards it to a server and writes the response.
func (f *Frontend) serveRequest(ctx *fasthttp.RequestCtx, c *clientConn) {
	h := &ctx.Request.Header
	body := newRequestBody(ctx, c)
	defer body.finish() // a request that is not forwarded leaves its remainder unread
	parsed, rejected := f.parseRequest(h)
	if rejected == nil {
		rejected = body.buffer()
	}
	if rejected != nil {
		rejected.write(ctx)
		ctx.SetConnectionClose() // bytes that follow an invalid request may not begin a new one
		return
	}
	if !c.requestMemory.Grow(upstream.AttemptBytes) {
		f.handleWithoutMemory(ctx, c, parsed)
		return
	}
	lease := f.requiredLease()
	if lease != nil && !lease.Valid() {
		f.handleWithoutLease(ctx, c, parsed)
		return
	}
	if f.replicator != nil && f.serveReplicated(ctx, c, parsed, body) {
		return
	}
	call := parsed.newCall(h, body, c.requestArrivedAt())
	c.dropForwardedFields(ctx)
	if lease != nil {
		call.RequireLease(lease.Valid)
	}
	call.OnBodyComplete = c.watchDisconnect
	call.SetDisconnectCheck(c.isDisconnected)
	response, clientDisconnected := f.sidecar.Do(call, c.watchDisconnect()) // reading the body's remainder stops this watch
	bodyErr := body.finish()
	c.stopWatch()
	f.finishRequest(ctx, c, parsed.request.ID, body, response, clientDisconnected, bodyErr)
}

// finishRequest writes the response of a request and records it in the audit log. bodyErr is the error that prevented the
// body from being read completely, or nil.
func (f *Frontend) finishRequest(ctx *fasthttp.RequestCtx, c *clientConn, id string, body *requestBody, response sidecar.Response, clientDisconnected bool, bodyErr error) {
	switch {
	case clientDisconnected && bodyErr != nil:
		body.rejection(bodyErr).write(ctx)
		f.recordResponse(ctx, id, response.ConfigVersion)
	case clientDisconnected:
		f.writeResponse(ctx, c, response)
		f.record(ctx, auditevent.ClientLeft, id, response.ConfigVersion)
	default:
		f.writeResponse(ctx, c, response)
		f.recordResponse(ctx, id, response.ConfigVersion)
	}
	if clientDisconnected || bodyErr != nil {
		ctx.SetConnectionClose()
	}
}

// requiredLease returns the lease without which this process may not serve any request, or nil if none is required.
func (f *Frontend) requiredLease() takeover.Lease {
	if f.replicator == nil {
		return nil
	}
	return f.replicator.RequiredLease()
}

// handleWithoutLease handles a request while this member has no lease. The request is rejected, unless another member may
// have executed it already; then the connection is closed without a response, and the client asks another member.
func (f *Frontend) handleWithoutLease(ctx *fasthttp.RequestCtx, c *clientConn, p *parsedRequest) {
	if !f.mayReject(ctx, p) {
		f.closeWithoutResponse(ctx, c, p.request.ID, p.timeLeft-time.Since(c.lastReadAt))
		return
	}
	writeRejection(ctx, noLeaseRetryAfter)
	f.record(ctx, auditevent.RejectedNoLease, p.request.ID, f.sidecar.ConfigVersion())
	ctx.SetConnectionClose() // the client can use another member
}

// handleWithoutMemory handles a request for whose attempts no memory is left, in the same way.
func (f *Frontend) handleWithoutMemory(ctx *fasthttp.RequestCtx, c *clientConn, p *parsedRequest) {
	f.evictStalledResponse() // makes room for the next request
	if f.replicator != nil && !f.mayReject(ctx, p) {
		f.closeWithoutResponse(ctx, c, p.request.ID, p.timeLeft-time.Since(c.lastReadAt))
		return
	}
	rejectForMemory().write(ctx)
	ctx.SetConnectionClose() // a client that sends without a pause would take the memory of others
}

// mayReject reports whether a request that reaches this member of a fleet may be rejected: no other member can have executed it,
// or executing it again does no harm.
func (f *Frontend) mayReject(ctx *fasthttp.RequestCtx, p *parsedRequest) bool {
	idempotent := p.snapshot.settings.Classes[p.request.Class].Semantics == decide.Idempotent
	return idempotent || !isResumed(&ctx.Request.Header) && f.replicator.MayReject()
}

// handleReadiness answers a request for readinessPath: 200 if the sidecar is ready for traffic, else 503.
func (f *Frontend) handleReadiness(ctx *fasthttp.RequestCtx) {
	if lease := f.requiredLease(); f.sidecar.HasEndpoints() && !f.isDraining() && (lease == nil || lease.Valid()) {
		ctx.SetStatusCode(fasthttp.StatusOK)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
}
