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
	maxBodyBytes = upstream.MaxBodyBytes

	// minBuffered is how much of a body is buffered whatever the budget has left.
	minBuffered = 8 << 10
)

// byteBudget bounds the bytes of all buffered bodies in this process.
type byteBudget struct {
	remaining atomic.Int64
}

// reserve takes n bytes if so many remain.
func (b *byteBudget) reserve(n int64) bool {
	if b.remaining.Add(-n) >= 0 {
		return true
	}
	b.remaining.Add(n)
	return false
}

// release gives n bytes back.
func (b *byteBudget) release(n int64) { b.remaining.Add(n) }

// requestBody is the body of a request while that is served: a buffered part, which can be sent more than once, and the
// remainder of a longer body, which one attempt alone reads from the client.
type requestBody struct {
	conn      *clientConn
	budget    *byteBudget
	source    io.Reader // nil: fasthttp has buffered all of it
	length    int64     // negative: unknown
	reserved  int64     // of the budget
	readBytes int64     // of source so far
	buffered  []byte
	remainder *upstream.BodyRemainder // nil: buffered is all of it
	stopped   atomic.Bool             // nothing more is to be read
}

// newRequestBody makes the body of a request whose head was read.
func (f *Frontend) newRequestBody(ctx *fasthttp.RequestCtx, c *clientConn) *requestBody {
	b := &requestBody{conn: c, budget: &f.bodyBudget, source: ctx.RequestBodyStream(), length: int64(ctx.Request.Header.ContentLength())}
	if b.source == nil {
		b.buffered = ctx.Request.Body()
		b.length = int64(len(b.buffered))
	}
	return b
}

// buffer reads up to upstream.MaxBufferedBytes bytes, or minBuffered where the budget has no more. What exceeds that becomes
// the remainder.
func (b *requestBody) buffer() *rejection {
	if b.source == nil {
		return nil
	}
	if b.length > maxBodyBytes {
		return reject(fasthttp.StatusRequestEntityTooLarge, "request body too large")
	}
	limit := int64(upstream.MaxBufferedBytes)
	if b.length >= 0 {
		limit = min(limit, b.length)
	}
	if limit > minBuffered {
		if b.budget.reserve(limit) {
			b.reserved = limit
		} else {
			limit = minBuffered
		}
	}
	b.buffered = make([]byte, 0, min(limit, minBuffered)+1)
	for int64(len(b.buffered)) < limit || b.length < 0 && int64(len(b.buffered)) <= limit {
		if len(b.buffered) == cap(b.buffered) {
			b.buffered = append(b.buffered, 0)[:len(b.buffered)]
		}
		n, err := b.Read(b.buffered[len(b.buffered):min(int64(cap(b.buffered)), limit+1)])
		b.buffered = b.buffered[:len(b.buffered)+n]
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return b.rejection(err)
		}
	}
	if int64(len(b.buffered)) == b.length {
		return nil
	}
	b.remainder = upstream.NewBodyRemainder(b, b.length, b.stop)
	return nil
}

// stop ends a pending read, and any later one.
func (b *requestBody) stop() {
	b.stopped.Store(true)
	b.conn.Conn.SetReadDeadline(expiredDeadline)
}

// errBodyTooLong is returned by Read for a body of unknown length that exceeds maxBodyBytes.
var errBodyTooLong = errors.New("the body is too long")

// Read reads on from the client, which has bodyStallTimeout to send something.
func (b *requestBody) Read(p []byte) (n int, err error) {
	b.conn.stopWatch()
	b.conn.Conn.SetReadDeadline(time.Now().Add(bodyStallTimeout))
	if b.stopped.Load() { // stop may have set its deadline before that one
		b.conn.Conn.SetReadDeadline(expiredDeadline)
	}
	n, err = b.source.Read(p)
	b.readBytes += int64(n)
	switch {
	case b.readBytes > maxBodyBytes:
		err = errBodyTooLong
	case err == io.EOF && b.length >= 0 && b.readBytes < b.length: // fasthttp takes the connection's end for the body's
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// rejection returns the response to a request whose body can't be read.
func (b *requestBody) rejection(err error) *rejection {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return reject(fasthttp.StatusRequestTimeout, "request took too long to come")
	case err == errBodyTooLong:
		return reject(fasthttp.StatusRequestEntityTooLarge, "request body too large")
	}
	return reject(fasthttp.StatusBadRequest, "malformed body")
}

// finish ends the reading, and returns why the remainder couldn't be read: then the connection can't be used further.
func (b *requestBody) finish() error {
	if b.remainder == nil {
		return nil
	}
	b.remainder.Close()
	_, err := b.remainder.CompletedAt()
	return err
}

// release gives the reserved bytes back to the budget.
func (b *requestBody) release() {
	b.budget.release(b.reserved)
	b.reserved = 0
}
