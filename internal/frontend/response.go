package frontend

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"damsonscale/internal/auditevent"
	"damsonscale/internal/sidecar"
	"damsonscale/internal/takeover"
)

// Responses that the sidecar gives by itself, all with a line of text:
//
//	400  the request is malformed: head, framing, body, a missing or invalid header
//	404  its path names no class
//	405  its class wants another method
//	408  the head, or the next byte of the body, took too long
//	409  a request with this ID is in flight, or the ID is that of another request
//	413  the body is over 40 MB
//	431  the head is over 8 KiB
//	502  failed: no attempt succeeded, or a server found the request invalid; it may or may not have been executed
//	503  rejected: it was not executed and can be retried; Retry-After in seconds, with three decimals, where the sidecar
//	     advises a backoff
//	504  its deadline passed, or the process exits, before there was a response; it may have been executed
//
// All of 400 to 431 but 409 close the connection.

// noLeaseRetryAfter is the Retry-After of a request that a member without a lease rejects.
const noLeaseRetryAfter = 500 * time.Millisecond

// rejection is the response to a request that isn't forwarded, since it is malformed or too large.
type rejection struct {
	status int
	text   string
}

func reject(status int, format string, args ...any) *rejection {
	return &rejection{status, fmt.Sprintf(format, args...)}
}

func (r *rejection) write(ctx *fasthttp.RequestCtx) { ctx.Error(r.text, r.status) }

// rejectMalformed answers what fasthttp can't read as a request.
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

// writeResponse writes the final response of a request.
func (f *Frontend) writeResponse(ctx *fasthttp.RequestCtx, c *clientConn, r sidecar.Response) {
	switch r.Status {
	case sidecar.Served:
		ctx.SetStatusCode(fasthttp.StatusOK)
		if len(r.ContentType) > 0 {
			ctx.Response.Header.SetContentTypeBytes(r.ContentType)
		}
		if r.Stream != nil {
			f.writeStream(ctx, c, r)
		} else {
			ctx.Response.SetBodyRaw(r.Body)
		}
	case sidecar.Rejected:
		writeRejection(ctx, r.RetryAfter)
	case sidecar.DuplicateID:
		ctx.Error("a request of this id is under way", fasthttp.StatusConflict)
	case sidecar.DeadlineExceeded:
		ctx.Error("time is up", fasthttp.StatusGatewayTimeout)
	default:
		ctx.Error("no server answered", fasthttp.StatusBadGateway)
	}
}

// writeStoredResponse writes a response that replicas kept.
func (f *Frontend) writeStoredResponse(ctx *fasthttp.RequestCtx, c *clientConn, r *takeover.Response) {
	switch r.Status {
	case takeover.Served:
		f.writeResponse(ctx, c, sidecar.Response{Status: sidecar.Served, Body: r.Body, ContentType: r.ContentType})
	case takeover.Rejected:
		writeRejection(ctx, time.Duration(r.RetryAfter)*time.Microsecond)
	case takeover.ResponseTooLarge:
		ctx.Error("takeover: served, the answer was too long to keep", fasthttp.StatusBadGateway)
	default:
		ctx.Error("takeover: "+r.Reason, fasthttp.StatusBadGateway)
	}
}

// writeRejection answers a request that was not executed, and that the client may retry after so long; 0: no advice.
func writeRejection(ctx *fasthttp.RequestCtx, retryAfter time.Duration) {
	ctx.Error("refused, trying again is harmless", fasthttp.StatusServiceUnavailable)
	if retryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
}

// recordResponse records the response to a request, by its status, under the version of the settings that decided it.
func (f *Frontend) recordResponse(ctx *fasthttp.RequestCtx, id string, version auditevent.ConfigVersionID) {
	switch ctx.Response.StatusCode() {
	case fasthttp.StatusOK:
		f.record(ctx, auditevent.Served, id, version)
	case fasthttp.StatusServiceUnavailable:
		f.record(ctx, auditevent.Rejected, id, version)
	case fasthttp.StatusConflict:
		f.record(ctx, auditevent.DuplicateID, id, version)
	default:
		f.record(ctx, auditevent.Failed, id, version)
	}
}

// record adds an event to the audit log, if there is one, and names it in the response.
func (f *Frontend) record(ctx *fasthttp.RequestCtx, kind auditevent.Kind, id string, version auditevent.ConfigVersionID) {
	if f.recorder == nil {
		return
	}
	ref := f.recorder.Record(kind, version, id, strconv.Itoa(ctx.Response.StatusCode()))
	ctx.Response.Header.SetBytesV(auditevent.RefHeader, ref.Append(nil))
}
