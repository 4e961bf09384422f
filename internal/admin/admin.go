// Package admin is the operators' door: a listener of its own that answers from state which nothing else can hold up.
package admin

import (
	"errors"
	"log"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"damsonscale/internal/accept"
	"damsonscale/internal/lifecycle"
)

const (
	// MaxConnections is how many callers are held at once; each holds a descriptor.
	MaxConnections = 8

	callTimeout  = 4 * time.Second // for a whole call, from its connection's start
	writeTimeout = time.Second
	maxHead      = 4 << 10
	maxBody      = 4 << 10
)

// Server answers operators. It keeps no state of its own but its connections.
type Server struct {
	life   *lifecycle.Tracker
	server *fasthttp.Server

	mu    sync.Mutex
	conns []*conn // oldest first
}

// New makes a door to the lifecycle.
func New(life *lifecycle.Tracker) *Server {
	d := &Server{life: life}
	d.server = &fasthttp.Server{
		Handler: d.handle, ErrorHandler: unreadable, Logger: quiet{},
		ReadBufferSize: maxHead, MaxRequestBodySize: maxBody,
		ReadTimeout: callTimeout, WriteTimeout: writeTimeout,
		DisableKeepalive: true, Concurrency: 1 << 20, // connections are bounded in the listener
		NoDefaultServerHeader: true, NoDefaultDate: true, DisablePreParseMultipartForm: true,
	}
	return d
}

// Serve serves ln until it is closed.
func (d *Server) Serve(ln net.Listener) error {
	return d.server.Serve(&listener{Listener: ln, door: d})
}

type quiet struct{}

func (quiet) Printf(string, ...any) {}

// unreadable answers what is no call.
func unreadable(ctx *fasthttp.RequestCtx, err error) {
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

// handle answers one call. Each post may be repeated; the answer tells what is so.
func (d *Server) handle(ctx *fasthttp.RequestCtx) {
	ctx.SetConnectionClose()
	switch path := string(ctx.Path()); path {
	case "/healthcheck":
		if !only(ctx, fasthttp.MethodGet) {
			return
		}
		if !d.life.CanServe() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
		ctx.SetBodyString(d.life.Stage().String() + "\n")
	case "/healthcheck/fail":
		if only(ctx, fasthttp.MethodPost) {
			d.tell(ctx, "fail", d.life.StartDraining(), true)
		}
	case "/healthcheck/ok":
		if only(ctx, fasthttp.MethodPost) {
			stage := d.life.StopDraining()
			d.tell(ctx, "ok", stage, stage != lifecycle.Terminating)
		}
	default:
		ctx.Error("unknown call", fasthttp.StatusNotFound)
	}
}

func (d *Server) tell(ctx *fasthttp.RequestCtx, word string, stage lifecycle.Stage, done bool) {
	log.Printf("event=operator call=%s stage=%s done=%t", word, stage, done)
	if !done {
		ctx.SetStatusCode(fasthttp.StatusConflict)
	}
	ctx.SetBodyString(stage.String() + "\n")
}

// only answers 405 to another method.
func only(ctx *fasthttp.RequestCtx, method string) bool {
	if string(ctx.Method()) == method {
		return true
	}
	ctx.Error("expected "+method, fasthttp.StatusMethodNotAllowed)
	ctx.Response.Header.Set(fasthttp.HeaderAllow, method)
	return false
}

// listener bounds the connections: one more takes the place of the one held longest, since a true call is over within
// moments. Guards against callers who connect and say nothing while a true one waits.
type listener struct {
	net.Listener
	door *Server
}

// conn is a caller's connection.
type conn struct {
	net.Conn
	door *Server
}

// Accept takes the next connection. It fails only once the listener is closed.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := accept.Next(l.Listener, func(error) {}) // out of descriptors, or a caller who left: Serve would end on it
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, door: l.door}
	l.door.mu.Lock()
	l.door.conns = append(l.door.conns, c)
	var oldest *conn
	if len(l.door.conns) > MaxConnections {
		oldest = l.door.conns[0]
	}
	l.door.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	return c, nil
}

// Close closes the connection and gives its place back.
func (c *conn) Close() error {
	c.door.mu.Lock()
	c.door.conns = slices.DeleteFunc(c.door.conns, func(o *conn) bool { return o == c })
	c.door.mu.Unlock()
	return c.Conn.Close()
}
