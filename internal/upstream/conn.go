package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	readBuffer       = 16 << 10 // holds the longest head of an answer
	maxInformational = 8        // answers of the 100 kind before the real one
)

var (
	errNoAnswer  = errors.New("no answer of HTTP/1.1")
	errNoLength  = errors.New("answer of no stated length")
	deadlinePast = time.Unix(1, 0)
	crlf         = []byte("\r\n")
)

// conn is a connection that one attempt, or its peer's idle list, owns.
type conn struct {
	net.Conn
	br        *bufio.Reader
	addr      string
	idleSince time.Time
	sockets   *SocketBudget
}

// closeAndRelease closes the connection and gives its socket back. Closing by a reset (no linger) was tried and
// gained nothing: see the results.
func (c *conn) closeAndRelease() {
	c.Close()
	c.sockets.release()
}

// isOpenAndEmpty tells whether an idle connection is still open with nothing on it. Guards against a request written
// to a connection that the server has closed: it would end as a reset, which may have run.
func (c *conn) isOpenAndEmpty() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = e == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// exchange writes the attempt and reads its answer. It returns whether the connection may serve again.
func (c *conn) exchange(a *Attempt, mayWrite func() bool) (r AttemptResult, reuse bool) {
	stop := context.AfterFunc(a.ctx, func() { c.SetDeadline(deadlinePast) })
	defer func() {
		if !stop() { // the deadline was, or is about to be, cut: what is read next would fail
			reuse = false
		} else if reuse {
			c.SetDeadline(time.Time{})
		}
	}()
	r.Reason = c.write(a, mayWrite)
	if r.Reason == Answered && a.Message.Remainder != nil {
		if r.Reason = c.writeRemainder(a); r.Reason == Answered {
			r.BodySentAt = time.Now()
		}
	}
	if r.Reason != Answered {
		return r, false
	}
	reuse = c.read(a, &r)
	return r, reuse
}

// write sends the attempt's bytes, of its body those that are held; Answered means that all of them are written.
func (c *conn) write(a *Attempt, mayWrite func() bool) (end EndReason) {
	end = NotSent
	a.Gate.ifOpen(func() {
		now := time.Now()
		if a.ctx.Err() != nil || !mayWrite() || !a.LatestStart.IsZero() && !now.Before(a.LatestStart) {
			return
		}
		left := a.TimeoutAfterBody
		if !a.Deadline.IsZero() {
			left = a.Deadline.Sub(now)
		}
		parts, size := a.Message.render(left, a.AuditRef)
		if a.Gate.closeIfDisconnected() {
			return
		}
		switch n, err := parts.WriteTo(c.Conn); {
		case n == size:
			end = Answered
		case err != nil && a.isCancelled():
			end = NotSent
		default:
			end = ConnectFailed // the last byte was not written: it never ran
		}
	})
	return end
}

// writeRemainder sends the part of the body that is not held, as it comes, and starts the attempt's clock at its last byte.
// The gate is passed anew for each piece: the client's last answer may come meanwhile, and waits for none of it.
func (c *conn) writeRemainder(a *Attempt) (end EndReason) {
	buf := copyBuffers.Get().(*[copyBuffer]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := a.Message.Remainder.Read(buf[:])
		if err != nil && err != io.EOF {
			return NotSent // the client's fault
		}
		last := err == io.EOF
		end = NotSent
		a.Gate.ifOpen(func() {
			end = c.writePiece(a, buf[:n], last)
		})
		if end != Answered {
			return end
		}
		if last {
			c.SetWriteDeadline(time.Time{})
			a.expireIn(a.TimeoutAfterBody)
			return Answered
		}
	}
}

// EncodeBodyPiece makes the bytes of one piece of a body, as a chunk where it goes in chunks, with what ends those after the last.
func EncodeBodyPiece(piece []byte, chunks, last bool) (parts net.Buffers) {
	if !chunks {
		return net.Buffers{piece}
	}
	if len(piece) > 0 {
		parts = net.Buffers{strconv.AppendInt(nil, int64(len(piece)), 16), crlf, piece, crlf}
	}
	if last {
		parts = append(parts, []byte("0\r\n\r\n"))
	}
	return parts
}

// writePiece sends one piece of a body.
func (c *conn) writePiece(a *Attempt, piece []byte, last bool) EndReason {
	c.SetWriteDeadline(time.Now().Add(stallTimeout))
	if a.ctx.Err() != nil { // the cut may have come before that deadline
		return NotSent
	}
	parts := EncodeBodyPiece(piece, a.Message.isChunked(), last)
	if _, err := parts.WriteTo(c.Conn); err != nil {
		if a.isCancelled() {
			return NotSent
		}
		return ConnectFailed // the last byte was not written: it never ran
	}
	return Answered
}

// read reads one answer: held whole where it is short, else handed on as it comes. Anything short of a whole one may
// have run.
func (c *conn) read(a *Attempt, r *AttemptResult) (reuse bool) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	toTheEnd, err := readHead(c.br, resp)
	if err == nil {
		r.Reason = classify(resp)
		r.Load = parseLoad(resp.Header.Peek("Srv-Load"))
		if r.Reason == Answered {
			r.ContentType = append([]byte(nil), resp.Header.ContentType()...)
		}
		err = c.readBody(a, r, resp, toTheEnd)
	}
	if r.ObservedAt.IsZero() {
		r.ObservedAt = time.Now()
	}
	if err != nil {
		r.Body, r.Reason = nil, Malformed
		switch {
		case a.ctx.Err() != nil:
			r.Reason = a.interruptReason()
		case err == errRequestOver: // the client's end
			r.Reason = Cancelled
		case isConnectionError(err):
			r.Reason = Reset
		}
		return false
	}
	return !resp.ConnectionClose() && string(resp.Header.Protocol()) != "HTTP/1.0" && c.br.Buffered() == 0
}

// readBody reads the body of an answer whose head was read.
func (c *conn) readBody(a *Attempt, r *AttemptResult, resp *fasthttp.Response, toTheEnd bool) error {
	if s := resp.StatusCode(); s == fasthttp.StatusNoContent || s == fasthttp.StatusNotModified {
		return nil
	}
	body, length, err := answerBody(c.br, resp, toTheEnd)
	if err != nil {
		return err
	}
	mayBegin := r.Reason == Answered && a.OnStream != nil
	if length > MaxBuffered && mayBegin {
		if _, err := c.br.Peek(1); err != nil { // its first byte is timed
			return err
		}
		return c.startStream(a, r, nil, body)
	}
	held, whole, err := c.buffer(a, body, length, mayBegin)
	if whole || err != nil {
		r.Body = held
		return err
	}
	if !mayBegin {
		return errTooLong
	}
	return c.startStream(a, r, held, body)
}

// buffer reads a body as long as it is held: to its end, or, where its length is not known, for a while.
func (c *conn) buffer(a *Attempt, body io.Reader, length int64, mayBegin bool) (held []byte, whole bool, err error) {
	held = make([]byte, 0, max(512, min(length, MaxBuffered)+1))
	until := time.Time{}
	for {
		if len(held) == cap(held) {
			held = append(held, 0)[:len(held)]
		}
		n, err := body.Read(held[len(held):min(cap(held), MaxBuffered+1)])
		held = held[:len(held)+n]
		switch {
		case len(held) > MaxBuffered && (err == nil || err == io.EOF):
			return held, false, nil
		case err == io.EOF:
			return held, true, nil
		case until.IsZero() && length < 0 && mayBegin && err == nil:
			until = time.Now().Add(bufferFor)
			c.SetReadDeadline(until)
			if a.ctx.Err() != nil { // the cut may have come before that deadline
				return nil, false, errRequestOver
			}
		case err != nil && !until.IsZero() && timedOut(a.ctx, err):
			return held, false, nil
		case err != nil:
			return nil, false, err
		}
	}
}

// startStream hands an answer to the client as it comes, and waits for its end.
func (c *conn) startStream(a *Attempt, r *AttemptResult, held []byte, body io.Reader) error {
	if !a.stopTimer() { // the time was up
		return errRequestOver
	}
	r.ObservedAt = time.Now()
	s := &Stream{ContentType: r.ContentType, attempt: a, conn: c, buffered: held, body: body, forwarded: int64(len(held)), done: make(chan error, 1)}
	a.OnStream(a, s)
	if err := <-s.done; err != io.EOF {
		return err
	}
	return nil
}

// isConnectionError tells whether a read ended because the connection did.
func isConnectionError(err error) bool {
	var nothing fasthttp.ErrNothingRead
	var op *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &nothing) || errors.As(err, &op)
}

// classify tells what a whole answer means.
func classify(resp *fasthttp.Response) EndReason {
	switch status := resp.StatusCode(); {
	case status == fasthttp.StatusOK:
		return Answered
	case (status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusGatewayTimeout) &&
		string(resp.Header.Peek("Srv-Declined")) == "1":
		return Declined
	case status == fasthttp.StatusRequestTimeout || status == fasthttp.StatusTooManyRequests:
		return ErrorResponse // of the server's state, not of the request
	case status >= 400 && status < 500:
		return InvalidRequest
	}
	return ErrorResponse
}

// readHead reads the head of the answer, past those of the 100 kind; toTheEnd: it says that the answer ends with its
// connection.
func readHead(br *bufio.Reader, resp *fasthttp.Response) (toTheEnd bool, err error) {
	for n := 0; ; n++ {
		toTheEnd = announcesClose(br)
		if err := resp.Header.Read(br); err != nil {
			return false, err
		}
		if s := resp.StatusCode(); s >= 200 {
			return toTheEnd, nil
		} else if s == fasthttp.StatusSwitchingProtocols || n == maxInformational {
			return false, errNoAnswer
		}
	}
}
