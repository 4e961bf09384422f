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
	maxBodyBytes = upstream.MaxBodySize
	minBuffered  = 8 << 10 // of a body, which is held whatever the budget has left
)

// byteBudget counts the bytes that bodies under way may hold in this process.
type byteBudget struct {
	left atomic.Int64
}

func (b *byteBudget) reserve(n int64) bool {
	if b.left.Add(-n) >= 0 {
		return true
	}
	b.left.Add(n)
	return false
}

func (b *byteBudget) release(n int64) { b.left.Add(n) }

// requestBody is a request's body while the request is served: the part that is held, and the rest, if that is longer.
type requestBody struct {
	conn      *clientConn
	budget    *byteBudget
	source    io.Reader // nil: there is none
	length    int64     // negative: not told
	reserved  int64     // of the budget
	readBytes int64     // of src so far
	buffered  []byte
	remainder *upstream.BodyRemainder // nil: held is all of it
	stopped   atomic.Bool             // nothing more is to be read
}

// newRequestBody makes the body of a request whose head was read.
func (f *Frontend) newRequestBody(ctx *fasthttp.RequestCtx, c *clientConn) *requestBody {
	b := &requestBody{conn: c, budget: &f.bodyBudget, source: ctx.RequestBodyStream(), length: int64(ctx.Request.Header.ContentLength())}
	if b.source == nil {
		b.buffered, b.length = ctx.Request.Body(), 0
		b.length = int64(len(b.buffered))
	}
	return b
}

// buffer reads as much as is held. A body that is longer, or for which the budget has no room, goes on as it comes.
func (b *requestBody) buffer() *requestError {
	if b.source == nil {
		return nil
	}
	if b.length > maxBodyBytes {
		return newRequestError(fasthttp.StatusRequestEntityTooLarge, "request body too large")
	}
	most := int64(upstream.MaxBuffered)
	if b.length >= 0 {
		most = min(most, b.length)
	}
	if most > minBuffered {
		if b.budget.reserve(most) {
			b.reserved = most
		} else {
			most = minBuffered
		}
	}
	b.buffered = make([]byte, 0, min(most, minBuffered)+1)
	for int64(len(b.buffered)) < most || b.length < 0 && int64(len(b.buffered)) <= most {
		if len(b.buffered) == cap(b.buffered) {
			b.buffered = append(b.buffered, 0)[:len(b.buffered)]
		}
		n, err := b.Read(b.buffered[len(b.buffered):min(int64(cap(b.buffered)), most+1)])
		b.buffered = b.buffered[:len(b.buffered)+n]
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return b.requestError(err)
		}
	}
	if int64(len(b.buffered)) == b.length {
		return nil
	}
	b.remainder = upstream.NewBodyRemainder(b, b.length, b.stop)
	return nil
}

// stop ends a read under way, and any later one.
func (b *requestBody) stop() {
	b.stopped.Store(true)
	b.conn.Conn.SetReadDeadline(expiredDeadline)
}

var errBodyTooLong = errors.New("the body is too long")

// Read reads on as the body comes; a client that sends nothing for a while has left.
func (b *requestBody) Read(p []byte) (n int, err error) {
	b.conn.stopWatch()
	b.conn.Conn.SetReadDeadline(time.Now().Add(bodyStallTimeout))
	if b.stopped.Load() { // the cut may have come before that deadline
		b.conn.Conn.SetReadDeadline(expiredDeadline)
	}
	n, err = b.source.Read(p)
	b.readBytes += int64(n)
	switch {
	case b.readBytes > maxBodyBytes:
		err = errBodyTooLong
	case err == io.EOF && b.length >= 0 && b.readBytes < b.length: // fasthttp takes a connection's end for the body's
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (b *requestBody) requestError(err error) *requestError {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return newRequestError(fasthttp.StatusRequestTimeout, "request took too long to come")
	case err == errBodyTooLong:
		return newRequestError(fasthttp.StatusRequestEntityTooLarge, "request body too large")
	}
	return newRequestError(fasthttp.StatusBadRequest, "malformed body")
}

// finish ends the reading, and tells why not all of the body has come: the connection is of no more use then.
func (b *requestBody) finish() error {
	if b.remainder == nil {
		return nil
	}
	b.remainder.Close()
	_, err := b.remainder.Complete()
	return err
}

// release gives the budget back.
func (b *requestBody) release() {
	b.budget.release(b.reserved)
	b.reserved = 0
}
