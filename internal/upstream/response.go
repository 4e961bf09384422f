package upstream

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"damsonscale/internal/memory"
)

const (
	maxBufferTime = 300 * time.Millisecond // time for which a body of unknown length is buffered before it is streamed

	initialResponseBytes   = 512     // size of the first buffer for a body of unknown length
	uncountedResponseBytes = 2 << 10 // size of a body that an attempt's own share of memory covers
)

// read reads the response of an attempt: a short response is buffered, a long response is streamed. reuse reports whether
// the connection can be reused.
func (c *conn) read(a *Attempt, r *AttemptResult) (reuse bool) {
	head, err := readHead(c.br, c.account)
	if err == nil {
		r.Reason, r.Load, r.ContentType = head.reason, head.load, head.contentType
		err = c.readBody(a, r, &head)
	}
	if r.ObservedAt.IsZero() {
		r.ObservedAt = time.Now()
	}
	if err != nil {
		r.Body, r.Reason = nil, reasonForReadError(a, err)
		return false
	}
	return head.keepsConnection && c.br.Buffered() == 0
}

// reasonForReadError returns the end reason of an attempt whose response could not be read completely.
func reasonForReadError(a *Attempt, err error) EndReason {
	switch {
	case a.ctx.Err() != nil:
		return a.interruptReason()
	case err == errRequestEnded: // the stream was closed before its end
		return Cancelled
	case isConnectionError(err) || err == errHostGone || err == errEvicted:
		return Reset
	}
	return Malformed
}

// readBody reads the body of a response whose head was read.
func (c *conn) readBody(a *Attempt, r *AttemptResult, head *responseHead) error {
	if head.hasNoBody() {
		return nil
	}
	body, length, err := head.body(c.br)
	if err != nil {
		return err
	}
	if r.Reason != Succeeded { // nobody needs the body, but the next response comes after it
		return discardBody(body)
	}
	mayStream := a.OnStream != nil
	if length > MaxBufferedBytes && mayStream {
		if _, err := c.br.Peek(1); err != nil { // the attempt's timeout applies until the first byte of the body
			return err
		}
		return c.startStream(a, r, nil, body)
	}
	buffer := &responseBuffer{memory: c.account.NewReservation(), mayStream: mayStream, lengthUnknown: length < 0}
	complete, err := c.fill(a, buffer, body, length)
	if complete && err == nil {
		r.Body, r.Memory = buffer.bytes, buffer.memory
		return nil
	}
	defer buffer.memory.Release()
	switch {
	case err != nil:
		return err
	case !mayStream:
		return errTooLong
	}
	return c.startStream(a, r, buffer.bytes, body)
}

// discardBody reads a body of at most MaxBufferedBytes to its end.
func discardBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, MaxBufferedBytes+1))
	if err == nil && n > MaxBufferedBytes {
		return errTooLong
	}
	return err
}

// responseBuffer holds the first bytes of a response's body, or all of them.
type responseBuffer struct {
	bytes         []byte
	memory        *memory.Reservation
	lengthUnknown bool
	mayStream     bool // whether the buffer may stay too small for want of memory
}

// enlarge gives the buffer the capacity size. It returns false, and changes nothing, if no memory is left for that.
func (b *responseBuffer) enlarge(size int) bool {
	more := int64(size - cap(b.bytes))
	if !b.mayStream || size <= uncountedResponseBytes {
		b.memory.GrowAlways(more) // attempts in flight are limited
	} else if grow := b.growFunc(); !grow(more) {
		return false
	}
	b.bytes = append(make([]byte, 0, size), b.bytes...)
	return true
}

// growFunc returns the function that reserves memory for the buffer: a body of unknown length may be a long one, which can be streamed
// as well from its first bytes on.
func (b *responseBuffer) growFunc() func(int64) bool {
	if b.lengthUnknown {
		return b.memory.GrowSpare
	}
	return b.memory.GrowBulk
}

// fill reads up to MaxBufferedBytes bytes of a body and, if its length is unknown, for at most maxBufferTime. complete reports
// whether that is the complete body.
func (c *conn) fill(a *Attempt, buffer *responseBuffer, body io.Reader, length int64) (complete bool, err error) {
	if !buffer.enlarge(int(max(initialResponseBytes, min(length, MaxBufferedBytes)+1))) {
		return false, nil
	}
	until := time.Time{}
	for {
		b := buffer.bytes
		if len(b) == cap(b) && !buffer.enlarge(2*cap(b)) {
			return false, nil
		}
		b = buffer.bytes
		n, err := body.Read(b[len(b):min(cap(b), MaxBufferedBytes+1)])
		buffer.bytes = b[:len(b)+n]
		switch {
		case len(buffer.bytes) > MaxBufferedBytes && (err == nil || err == io.EOF):
			return false, nil
		case err == io.EOF:
			return true, nil
		case until.IsZero() && length < 0 && buffer.mayStream && err == nil:
			until = time.Now().Add(maxBufferTime)
			c.SetReadDeadline(until)
			if a.ctx.Err() != nil { // the deadline set above may have replaced socket.ExpiredDeadline
				return false, errRequestEnded
			}
		case err != nil && !until.IsZero() && timedOut(a.ctx, err):
			return false, nil
		case err != nil:
			return false, err
		}
	}
}

// startStream passes the response to OnStream and waits until the stream is closed. The attempt's timeout no longer
// applies.
func (c *conn) startStream(a *Attempt, r *AttemptResult, buffered []byte, body io.Reader) error {
	if !a.stopTimer() { // the attempt has timed out
		return errRequestEnded
	}
	r.ObservedAt = time.Now()
	s := &Stream{
		ContentType: r.ContentType, ctx: a.ctx, conn: c, server: a.Host, buffered: buffered, body: body, forwarded: int64(len(buffered)),
		done: make(chan error, 1),
	}
	a.OnStream(a, s)
	if err := <-s.done; err != io.EOF {
		return err
	}
	return nil
}

// isConnectionError reports whether a read failed because the connection failed or ended.
func isConnectionError(err error) bool {
	var nothing fasthttp.ErrNothingRead
	var op *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &nothing) || errors.As(err, &op)
}
