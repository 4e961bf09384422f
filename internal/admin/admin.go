// Package admin serves the operators' API on a listener of its own: the health of the process, and draining. It answers
// from the lifecycle alone, so that no load on the clients' side delays it.
package admin

import (
	"errors"
	"net"

	"github.com/valyala/fasthttp"

	"damsonscale/internal/eventlog"
	"damsonscale/internal/lifecycle"
)

// eventCall is logged for each call that changes the lifecycle.
const eventCall = "admin_call"

// Paths of the API.
const (
	pathHealth        = "/healthcheck"
	pathStartDraining = "/healthcheck/fail"
	pathStopDraining  = "/healthcheck/ok"
)

// Server answers operators. Its only state is its open connections.
type Server struct {
	lifecycle   *lifecycle.Tracker
	http        *fasthttp.Server
	connections connections
}

// New makes a server that reads and changes the lifecycle.
func New(life *lifecycle.Tracker) *Server {
	s := &Server{lifecycle: life}
	s.http = &fasthttp.Server{
		Handler: s.handle, ErrorHandler: rejectMalformed, Logger: discardLogger{},
		ReadBufferSize: maxHeadBytes, MaxRequestBodySize: maxBodyBytes,
		ReadTimeout: callTimeout, WriteTimeout: writeTimeout,
		DisableKeepalive: true, Concurrency: 1 << 20, // connections are bounded in the listener
		NoDefaultServerHeader: true, NoDefaultDate: true, DisablePreParseMultipartForm: true,
	}
	return s
}

// Serve serves ln until it is closed.
func (s *Server) Serve(ln net.Listener) error {
	return s.http.Serve(&listener{Listener: ln, connections: &s.connections})
}

// discardLogger drops the line that fasthttp would log for each malformed call.
type discardLogger struct{}

// Printf drops a line.
func (discardLogger) Printf(string, ...any) {}

// rejectMalformed answers what is no call of HTTP.
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

// handle answers one call. Both posts are idempotent; each answer's body is the stage after the call.
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
			answer(ctx, "fail", s.lifecycle.StartDraining(), true)
		}
	case pathStopDraining:
		if requireMethod(ctx, fasthttp.MethodPost) {
			stage := s.lifecycle.StopDraining()
			answer(ctx, "ok", stage, stage != lifecycle.Terminating)
		}
	default:
		ctx.Error("unknown call", fasthttp.StatusNotFound)
	}
}

// answer reports the stage after a call; applied: the call did what it asks for.
func answer(ctx *fasthttp.RequestCtx, call string, stage lifecycle.Stage, applied bool) {
	eventlog.Info(eventCall, "call", call, "stage", stage.String(), "applied", applied)
	if !applied {
		ctx.SetStatusCode(fasthttp.StatusConflict)
	}
	ctx.SetBodyString(stage.String() + "\n")
}

// requireMethod answers 405 to any other method.
func requireMethod(ctx *fasthttp.RequestCtx, method string) bool {
	if string(ctx.Method()) == method {
		return true
	}
	ctx.Error("expected "+method, fasthttp.StatusMethodNotAllowed)
	ctx.Response.Header.Set(fasthttp.HeaderAllow, method)
	return false
}
