// Package admin serves the admin API, by which operators query the health of the process and drain it. The API has its own
// listener and depends only on the lifecycle, so that the load of clients does not delay it.
package admin

import (
	"errors"
	"net"

	"github.com/valyala/fasthttp"

	"damsonscale/internal/eventlog"
	"damsonscale/internal/lifecycle"
)

// eventCall is the log event of a call that starts or stops draining.
const eventCall = "admin_call"

// Paths of the API.
const (
	pathHealth        = "/healthcheck"
	pathStartDraining = "/healthcheck/fail"
	pathStopDraining  = "/healthcheck/ok"
)

// Server is the server of the admin API. Its only state is the set of open connections.
type Server struct {
	lifecycle   *lifecycle.Tracker
	http        *fasthttp.Server
	connections connections
}

// New returns a server for the stage of the process that life holds.
func New(life *lifecycle.Tracker) *Server {
	s := &Server{lifecycle: life}
	s.http = &fasthttp.Server{
		Handler: s.handle, ErrorHandler: rejectMalformed, Logger: discardLogger{},
		ReadBufferSize: maxHeadBytes, MaxRequestBodySize: maxBodyBytes,
		ReadTimeout: callTimeout, WriteTimeout: writeTimeout,
		DisableKeepalive: true, Concurrency: 1 << 20, // the listener limits the connections
		NoDefaultServerHeader: true, NoDefaultDate: true, DisablePreParseMultipartForm: true,
	}
	return s
}

// Serve accepts and serves connections until ln is closed.
func (s *Server) Serve(ln net.Listener) error {
	return s.http.Serve(&listener{Listener: ln, connections: &s.connections})
}

// discardLogger discards the line that fasthttp logs for each malformed request.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// rejectMalformed answers a request that fasthttp could not read.
func rejectMalformed(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &small):
		ctx.Error("head too large", fasthttp.StatusRequestHeaderFieldsTooLarge)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		ctx.Error("body too large", fasthttp.StatusRequestEntityTooLarge)
	case errors.As(err, &timeout) && timeout.Timeout():
		ctx.Error("call took too long to come", fasthttp.StatusRequestTimeout)
	default:
		ctx.Error("malformed call", fasthttp.StatusBadRequest)
	}
}

// handle answers a call. The calls that start and stop draining are idempotent. The body of a response is the stage after
// the call.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	ctx.SetConnectionClose()
	switch string(ctx.Path()) {
	case pathHealth:
		if !requireMethod(ctx, fasthttp.MethodGet) {
			return
		}
		if !s.lifecycle.CanServe() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
		ctx.SetBodyString(s.lifecycle.Stage().String() + "\n")
	case pathStartDraining:
		if requireMethod(ctx, fasthttp.MethodPost) {
			respond(ctx, "fail", s.lifecycle.StartDraining(), true)
		}
	case pathStopDraining:
		if requireMethod(ctx, fasthttp.MethodPost) {
			stage := s.lifecycle.StopDraining()
			respond(ctx, "ok", stage, stage != lifecycle.Terminating)
		}
	default:
		ctx.Error("unknown call", fasthttp.StatusNotFound)
	}
}

// respond logs a call and answers with the stage after it. applied is false if the call had no effect because the process
// is terminating.
func respond(ctx *fasthttp.RequestCtx, call string, stage lifecycle.Stage, applied bool) {
	eventlog.Info(eventCall, "call", call, "stage", stage.String(), "applied", applied)
	if !applied {
		ctx.SetStatusCode(fasthttp.StatusConflict)
	}
	ctx.SetBodyString(stage.String() + "\n")
}

// requireMethod returns whether the request has this method; if it has another, requireMethod answers with status 405.
func requireMethod(ctx *fasthttp.RequestCtx, method string) bool {
	if string(ctx.Method()) == method {
		return true
	}
	ctx.Error("expected "+method, fasthttp.StatusMethodNotAllowed)
	ctx.Response.Header.Set(fasthttp.HeaderAllow, method)
	return false
}
