package frontend

import (
	"errors"
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"damsonscale/internal/upstream"
)

const (
	longestBody = upstream.MaxBodySize
	ahead       = 8 << 10 // of a body, which is held whatever the budget has left
)

// budget counts the bytes that bodies under way may hold in this process.
type budget struct {
	left atomic.Int64
}

func (b *budget) take(n int64) bool {
	if b.left.Add(-n) >= 0 {
		return true
	}
	b.left.Add(n)
	return false
}

func (b *budget) give(n int64) { b.left.Add(n) }

// body is a request's body while the request is served: the part that is held, and the rest, if that is longer.
type body struct {
	c      *clientConn
	budget *budget
	src    io.Reader // nil: there is none
	length int64     // negative: not told
	took   int64     // of the budget
	read   int64     // of src so far
	held   []byte
	rest   *upstream.BodyRemainder // nil: held is all of it
	cut    atomic.Bool             // nothing more is to be read
}

// body makes the body of a request whose head was read.
func (f *Frontend) body(ctx *fasthttp.RequestCtx, c *clientConn) *body {
	b := &body{c: c, budget: &f.held, src: ctx.RequestBodyStream(), length: int64(ctx.Request.Header.ContentLength())}
	if b.src == nil {
		b.held, b.length = ctx.Request.Body(), 0
		b.length = int64(len(b.held))
	}
	return b
}

// hold reads as much as is held. A body that is longer, or for which the budget has no room, goes on as it comes.
func (b *body) hold() *fault {
	if b.src == nil {
		return nil
	}
	if b.length > longestBody {
		return bad(fasthttp.StatusRequestEntityTooLarge, "request body too large")
	}
	most := int64(upstream.MaxBuffered)
	if b.length >= 0 {
		most = min(most, b.length)
	}
	if most > ahead {
		if b.budget.take(most) {
			b.took = most
		} else {
			most = ahead
		}
	}
	b.held = make([]byte, 0, min(most, ahead)+1)
	for int64(len(b.held)) < most || b.length < 0 && int64(len(b.held)) <= most {
		if len(b.held) == cap(b.held) {
			b.held = append(b.held, 0)[:len(b.held)]
		}
		n, err := b.Read(b.held[len(b.held):min(int64(cap(b.held)), most+1)])
		b.held = b.held[:len(b.held)+n]
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return b.fault(err)
		}
	}
	if int64(len(b.held)) == b.length {
		return nil
	}
	b.rest = upstream.NewBodyRemainder(b, b.length, b.stop)
	return nil
}

// stop ends a read under way, and any later one.
func (b *body) stop() {
	b.cut.Store(true)
	b.c.Conn.SetReadDeadline(past)
}

var errLong = errors.New("the body is too long")

// Read reads on as the body comes; a client that sends nothing for a while has left.
func (b *body) Read(p []byte) (n int, err error) {
	b.c.unwatch()
	b.c.Conn.SetReadDeadline(time.Now().Add(bodyStall))
	if b.cut.Load() { // the cut may have come before that deadline
		b.c.Conn.SetReadDeadline(past)
	}
	n, err = b.src.Read(p)
	b.read += int64(n)
	switch {
	case b.read > longestBody:
		err = errLong
	case err == io.EOF && b.length >= 0 && b.read < b.length: // fasthttp takes a connection's end for the body's
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (b *body) fault(err error) *fault {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return bad(fasthttp.StatusRequestTimeout, "request took too long to come")
	case err == errLong:
		return bad(fasthttp.StatusRequestEntityTooLarge, "request body too large")
	}
	return bad(fasthttp.StatusBadRequest, "malformed body")
}

// close ends the reading, and tells why not all of the body has come: the connection is of no more use then.
func (b *body) close() error {
	if b.rest == nil {
		return nil
	}
	b.rest.Close()
	_, err := b.rest.Complete()
	return err
}

// release gives the budget back.
func (b *body) release() {
	b.budget.give(b.took)
	b.took = 0
}
