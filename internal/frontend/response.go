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

// The sidecar itself generates these responses, each with a line of text:
//
//	400  the head, the framing or the body is malformed, or a header is missing or invalid
//	404  the path does not name a class
//	405  the class requires another method
//	408  the head, or the next byte of the body, did not arrive in time
//	409  a request with this ID is in flight, or the ID belongs to a different request
//	413  the body is over 40 MiB
//	431  the head is over 8 KiB
//	502  failed: no attempt succeeded, or a server found the request invalid; it may or may not have been executed
//	503  rejected: the request was not executed and can be retried, for want of memory too; Retry-After, in seconds with three decimals, is set
//	     if the sidecar advises a backoff
//	504  the deadline passed, or the process exits, before there was a response; the request may have been executed
//
// The connection is closed after all of 400 to 431 except 409.

// noLeaseRetryAfter is the Retry-After of a rejection by a member without a lease. The member may have regained its lease
// by then.
const noLeaseRetryAfter = 500 * time.Millisecond

// rejection is the response to a request that is not forwarded because it is malformed or too large.
type rejection struct {
	status int
	text   string
}

func reject(status int, format string, args ...any) *rejection {
	return &rejection{status, fmt.Sprintf(format, args...)}
}

// rejectForMemory returns the response to a request that would need more memory than is left. It was not executed.
func rejectForMemory() *rejection {
	return reject(fasthttp.StatusServiceUnavailable, "no memory left for the request, trying again is harmless")
}

func (r *rejection) write(ctx *fasthttp.RequestCtx) { ctx.Error(r.text, r.status) }

// rejectMalformed answers a request that fasthttp can't parse.
func rejectMalformed(ctx *fasthttp.RequestCtx, err error) {
	var headTooLarge *fasthttp.ErrSmallBuffer
	var timeout net.Error
	if c, ok := ctx.Conn().(*clientConn); ok {
		c.dropParsedRequest(ctx)
		c.headErr = err
	}
	switch {
	case errors.Is(err, errMemoryExhausted):
		rejectForMemory().write(ctx)
	case errors.As(err, &headTooLarge):
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
	c.responseMemory = r.Memory // fasthttp writes the body after the handler has returned
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

// writeStoredResponse writes a response that replicas have stored.
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

// writeRejection answers a request that was not executed and that the client may retry. If retryAfter is 0, the response
// advises no backoff.
func writeRejection(ctx *fasthttp.RequestCtx, retryAfter time.Duration) {
	ctx.Error("refused, trying again is harmless", fasthttp.StatusServiceUnavailable)
	if retryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
}

// recordResponse adds the response to the audit log, by its status. version is that of the settings that it was decided
// with.
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

// record adds an event to the audit log, if there is one, and sets a reference to the event in the response.
func (f *Frontend) record(ctx *fasthttp.RequestCtx, kind auditevent.Kind, id string, version auditevent.ConfigVersionID) {
	if f.recorder == nil {
		return
	}
	ref := f.recorder.Record(kind, version, id, strconv.Itoa(ctx.Response.StatusCode()))
	ctx.Response.Header.SetBytesV(auditevent.RefHeader, ref.Append(nil))
}
