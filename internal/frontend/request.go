package frontend

import (
	"bytes"
	"time"

	"github.com/valyala/fasthttp"

	"damsonscale/decide"
	"damsonscale/internal/auditevent"
	"damsonscale/internal/sidecar"
	"damsonscale/internal/takeover"
)

// readinessPath answers whether the sidecar wants traffic; every other path is a request for servers.
const readinessPath = "/health/ready"

// handle answers one request. fasthttp calls it on the goroutine of the request's connection.
func (f *Frontend) handle(ctx *fasthttp.RequestCtx) {
	c, ok := ctx.Conn().(*clientConn)
	if !ok {
		ctx.Error("not a connection of this server", fasthttp.StatusInternalServerError)
		return
	}
	c.beginRequest()
	defer c.endRequest()
	if path, _, _ := bytes.Cut(originForm(&ctx.Request.Header), []byte{'?'}); string(path) == readinessPath {
		f.answerReadiness(ctx)
	} else {
		f.serveRequest(ctx, c)
	}
	if c.closeAfterResponse || f.isDraining() {
		ctx.SetConnectionClose()
	}
}

// serveRequest parses a request, has a server answer it and writes the response.
func (f *Frontend) serveRequest(ctx *fasthttp.RequestCtx, c *clientConn) {
	h := &ctx.Request.Header
	body := f.newRequestBody(ctx, c)
	defer body.release()
	parsed, rejected := f.parseRequest(h)
	if rejected == nil {
		rejected = body.buffer()
	}
	if rejected != nil {
		rejected.write(ctx)
		ctx.SetConnectionClose() // what follows on it can't be trusted
		return
	}
	lease := f.requiredLease()
	if lease != nil && !lease.Valid() {
		f.answerWithoutLease(ctx, c, parsed)
		return
	}
	if f.replicator != nil && f.serveReplicated(ctx, c, parsed, body) {
		return
	}
	call := parsed.newCall(h, body, c.readAt)
	if lease != nil {
		call.RequireLease(lease.Valid)
	}
	call.OnBodyComplete = c.watchDisconnect
	call.SetDisconnectCheck(c.isDisconnected)
	response, clientLeft := f.sidecar.Do(call, c.watchDisconnect()) // a read of the body's remainder ends that watch
	bodyErr := body.finish()
	c.stopWatch()
	f.finishRequest(ctx, c, parsed.request.ID, body, response, clientLeft, bodyErr)
}

// finishRequest writes and records the response of a request. bodyErr says why the rest of its body couldn't be read.
func (f *Frontend) finishRequest(ctx *fasthttp.RequestCtx, c *clientConn, id string, body *requestBody, response sidecar.Response, clientLeft bool, bodyErr error) {
	switch {
	case clientLeft && bodyErr != nil:
		body.rejection(bodyErr).write(ctx)
		f.recordResponse(ctx, id, response.ConfigVersion)
	case clientLeft:
		f.writeResponse(ctx, c, response)
		f.record(ctx, auditevent.ClientLeft, id, response.ConfigVersion)
	default:
		f.writeResponse(ctx, c, response)
		f.recordResponse(ctx, id, response.ConfigVersion)
	}
	if clientLeft || bodyErr != nil {
		ctx.SetConnectionClose()
	}
}

// requiredLease returns the lease without which this process may serve nothing at all; nil: none is required.
func (f *Frontend) requiredLease() takeover.Lease {
	if f.replicator == nil {
		return nil
	}
	return f.replicator.RequiredLease()
}

// answerWithoutLease answers a request while this member has no lease. It is rejected, unless another member may have
// executed it already: then the connection is closed unanswered, and the client asks another member.
func (f *Frontend) answerWithoutLease(ctx *fasthttp.RequestCtx, c *clientConn, p *parsedRequest) {
	idempotent := p.snapshot.settings.Classes[p.request.Class].Semantics == decide.Idempotent
	if !idempotent && (isResumed(&ctx.Request.Header) || !f.replicator.MayReject()) {
		f.closeUnanswered(ctx, c, p.request.ID, p.timeLeft-time.Since(c.readAt))
		return
	}
	writeRejection(ctx, noLeaseRetryAfter)
	f.record(ctx, auditevent.RejectedNoLease, p.request.ID, f.sidecar.ConfigVersion())
	ctx.SetConnectionClose() // clients have other members to ask
}

// answerReadiness answers a request for readinessPath: 200 if the sidecar wants traffic, else 503.
func (f *Frontend) answerReadiness(ctx *fasthttp.RequestCtx) {
	if lease := f.requiredLease(); f.sidecar.HasEndpoints() && !f.isDraining() && (lease == nil || lease.Valid()) {
		ctx.SetStatusCode(fasthttp.StatusOK)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
}
