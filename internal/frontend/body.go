package frontend

import (
	"errors"
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"damsonscale/internal/socket"
	"damsonscale/internal/upstream"
)

const (
	maxBodyBytes = upstream.MaxBodyBytes

	// uncountedBodyBytes is the size of a body that a connection's own share of memory covers.
	uncountedBodyBytes = 2 << 10

	// arrivalWait is how long a short body is waited for, if it would take the last of the memory for slow bodies.
	arrivalWait = 20 * time.Millisecond

	// memoryWait is how long a request waits for the memory of others before it is refused.
	memoryWait = 20 * time.Millisecond

	// initialBufferBytes is the size of the first buffer for a body of unknown length.
	initialBufferBytes = 8 << 10

	// streamedBodyBytes is what a body that is not buffered takes, beyond its first piece: fasthttp's copy of that, the buffer that
	// it is forwarded with, and the goroutine that forwards it.
	streamedBodyBytes = 28 << 10
)

// requestBody is the body of a request that is being served. It consists of a buffered part, which can be sent more than
// once, and for a long body a remainder, which only one attempt can read from the client.
type requestBody struct {
	conn      *clientConn
	source    io.Reader // nil if fasthttp has buffered the complete body
	length    int64     // bytes; negative if unknown
	readBytes int64     // bytes read from source so far
	buffered  []byte
	remainder *upstream.BodyRemainder // nil if buffered is the complete body
	stopped   atomic.Bool             // set by stop; if true, reads fail
}

// newRequestBody returns the body of a request whose head was read.
func newRequestBody(ctx *fasthttp.RequestCtx, c *clientConn) *requestBody {
	b := &requestBody{conn: c, source: ctx.RequestBodyStream(), length: int64(ctx.Request.Header.ContentLength())}
	if b.source == nil {
		b.buffered = ctx.Request.Body()
		b.length = int64(len(b.buffered))
	}
	return b
}

// buffer reads the first bytes of the body from the client: up to upstream.MaxBufferedBytes, or up to initialBufferBytes if too
// little memory is left. The rest of the body becomes the remainder. buffer returns a rejection if the body is too long or can't
// be read, or if no memory is left for the body.
func (b *requestBody) buffer() *rejection {
	if b.source == nil {
		return nil
	}
	if b.length > maxBodyBytes {
		return reject(fasthttp.StatusRequestEntityTooLarge, "request body too large")
	}
	limit := upstream.MaxBufferedBytes
	if b.length >= 0 {
		limit = int(min(int64(limit), b.length))
	}
	if !b.allocate(limit) {
		return rejectForMemory()
	}
	for len(b.buffered) < limit || b.length < 0 && len(b.buffered) <= limit {
		if len(b.buffered) == cap(b.buffered) && !b.enlarge(limit) {
			break
		}
		n, err := b.Read(b.buffered[len(b.buffered):min(cap(b.buffered), limit+1)])
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
	if !b.conn.reserveBody(streamedBodyBytes) {
		return rejectForMemory()
	}
	b.remainder = upstream.NewBodyRemainder(b, b.length, b.stop)
	go b.conn.watchBodyArrival(b.remainder)
	return nil
}

// allocate makes the first buffer: of the whole limit for a short body, of the limit or initialBufferBytes for a longer one, and of
// initialBufferBytes if the length is unknown. It returns false if there is no memory for that. A short body is never streamed for
// want of memory: while the rest of it does not come, it would take a place at a server.
func (b *requestBody) allocate(limit int) bool {
	size := limit + 1
	switch isShort := b.length >= 0 && b.length <= int64(limit); {
	case isShort && limit <= uncountedBodyBytes:
	case isShort:
		if !b.reserveArrived(limit) && !b.conn.reserveBody(int64(limit)) {
			return false
		}
	case b.length >= 0 && b.conn.requestMemory.GrowSpare(int64(limit)):
	default:
		size = initialBufferBytes
		if !b.conn.reserveBody(int64(size)) {
			return false
		}
	}
	b.buffered = make([]byte, 0, size)
	return true
}

// reserveArrived reserves memory for a short body: as for slow ones while that lasts, and otherwise from the rest of the account, once
// the whole body has come. It waits arrivalWait for that, at most.
func (b *requestBody) reserveArrived(limit int) bool {
	if b.conn.requestMemory.GrowBulk(int64(limit)) {
		return true
	}
	for end := time.Now().Add(arrivalWait); !b.conn.bodyHasCome(); time.Sleep(arrivalWait / 10) {
		if time.Now().After(end) {
			return false
		}
	}
	return b.conn.requestMemory.Grow(int64(limit))
}

// reserveBody reserves memory for a body. If there is too little it evicts stalled uploads and responses, and gives up after memoryWait.
func (c *clientConn) reserveBody(bytes int64) bool {
	if c.requestMemory.GrowBulk(bytes) {
		return true
	}
	for end := time.Now().Add(memoryWait); time.Now().Before(end); {
		c.frontend.evictStalled()
		time.Sleep(memoryWait / 5)
		if c.requestMemory.GrowBulk(bytes) {
			return true
		}
	}
	return false
}

// bodyHasCome reports whether all unread bytes of a body of known length are in the system's receive buffer or were read ahead.
func (c *clientConn) bodyHasCome() bool {
	return c.bodyLeft.Load() <= int64(socket.UnreadBytes(c.Conn))+c.aheadBytes.Load()
}

// enlarge doubles the buffer of a body of unknown length, up to one byte more than limit, which shows that the body is longer. It
// returns false if there is no memory for that.
func (b *requestBody) enlarge(limit int) bool {
	size := min(2*cap(b.buffered), limit+1)
	if b.length >= 0 || !b.conn.requestMemory.GrowSpare(int64(size-cap(b.buffered))) {
		return false
	}
	b.buffered = append(make([]byte, 0, size), b.buffered...)
	return true
}

// stop makes the pending read and all later reads fail.
func (b *requestBody) stop() {
	b.stopped.Store(true)
	b.conn.Conn.SetReadDeadline(socket.ExpiredDeadline)
}

// errBodyTooLong is returned by Read for a body of unknown length that exceeds maxBodyBytes.
var errBodyTooLong = errors.New("request body exceeds the maximum size")

// Read reads the body from the client. It fails if no byte arrives within bodyStallTimeout.
func (b *requestBody) Read(p []byte) (n int, err error) {
	b.conn.stopWatch()
	b.conn.awaitRequestUntil(time.Now().Add(bodyStallTimeout))
	if b.stopped.Load() { // the deadline set above may have replaced the socket.ExpiredDeadline of stop
		b.conn.Conn.SetReadDeadline(socket.ExpiredDeadline)
	}
	b.conn.uploadWaitSince.Store(monotonicMicros(time.Now()))
	n, err = b.source.Read(p)
	b.conn.uploadWaitSince.Store(0)
	b.readBytes += int64(n)
	if err == nil {
		var more int
		more, err = b.readArrived(p[n:])
		n += more
	}
	switch {
	case b.readBytes > maxBodyBytes:
		err = errBodyTooLong
	case err == io.EOF && b.length >= 0 && b.readBytes < b.length: // fasthttp reports the end of the connection as the end of the body
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// readArrived reads what fasthttp holds already of further chunks, without waiting: fasthttp returns one chunk at a time, however
// small. It leaves the last byte, after which fasthttp waits for the end of its chunk.
func (b *requestBody) readArrived(p []byte) (n int, err error) {
	for err == nil && n < len(p) {
		arrived := b.conn.framer.dataBytes - b.readBytes - 1
		if arrived <= 0 {
			break
		}
		var piece int
		piece, err = b.source.Read(p[n : n+int(min(arrived, int64(len(p)-n)))])
		n += piece
		b.readBytes += int64(piece)
	}
	return n, err
}

// rejection returns the response to a request whose body can't be read because of err.
func (b *requestBody) rejection(err error) *rejection {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.conn.stalled = true
		return reject(fasthttp.StatusRequestTimeout, "request took too long to come")
	case errors.Is(err, errMemoryExhausted):
		return rejectForMemory()
	case err == errBodyTooLong:
		return reject(fasthttp.StatusRequestEntityTooLarge, "request body too large")
	}
	return reject(fasthttp.StatusBadRequest, "malformed body")
}

// finish ends the reading of the remainder. It returns an error if the remainder was not read completely; the client's
// connection can't be used for further requests then.
func (b *requestBody) finish() error {
	if b.remainder == nil {
		return nil
	}
	b.remainder.Close()
	_, err := b.remainder.CompletedAt()
	return err
}
