package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	maxInformational = 8                      // 1xx responses before the final one
	bufferFor        = 300 * time.Millisecond // how long a body of unknown length is buffered before it is streamed
	loadHeader       = "Srv-Load"             // a server's load report
)

var errNoResponse = errors.New("no final HTTP/1.1 response")

// read reads one response: buffered where it is short, otherwise as a stream. Without a complete response the request may
// have run. It reports whether the connection can be reused.
func (c *conn) read(a *Attempt, r *AttemptResult) (reuse bool) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	endsAtClose, err := readHead(c.br, resp)
	if err == nil {
		r.Reason = classify(resp)
		r.Load = parseLoad(resp.Header.Peek(loadHeader))
		if r.Reason == Succeeded {
			r.ContentType = append([]byte(nil), resp.Header.ContentType()...)
		}
		err = c.readBody(a, r, resp, endsAtClose)
	}
	if r.ObservedAt.IsZero() {
		r.ObservedAt = time.Now()
	}
	if err != nil {
		r.Body, r.Reason = nil, readFailure(a, err)
		return false
	}
	return !resp.ConnectionClose() && string(resp.Header.Protocol()) != "HTTP/1.0" && c.br.Buffered() == 0
}

// readFailure returns the reason of an attempt whose response could not be read to its end.
func readFailure(a *Attempt, err error) EndReason {
	switch {
	case a.ctx.Err() != nil:
		return a.interruptReason()
	case err == errRequestOver: // the reader of the stream gave up
		return Cancelled
	case isConnectionError(err):
		return Reset
	}
	return Malformed
}

// readBody reads the body of a response whose head was read.
func (c *conn) readBody(a *Attempt, r *AttemptResult, resp *fasthttp.Response, endsAtClose bool) error {
	if s := resp.StatusCode(); s == fasthttp.StatusNoContent || s == fasthttp.StatusNotModified {
		return nil
	}
	body, length, err := answerBody(c.br, resp, endsAtClose)
	if err != nil {
		return err
	}
	mayStream := r.Reason == Succeeded && a.OnStream != nil
	if length > MaxBufferedBytes && mayStream {
		if _, err := c.br.Peek(1); err != nil { // until the first byte the attempt's timeout counts
			return err
		}
		return c.startStream(a, r, nil, body)
	}
	buffered, complete, err := c.buffer(a, body, length, mayStream)
	if complete || err != nil {
		r.Body = buffered
		return err
	}
	if !mayStream {
		return errTooLong
	}
	return c.startStream(a, r, buffered, body)
}

// buffer reads a body up to MaxBuffered bytes, and where its length is not known for bufferFor at most. complete reports
// that this was all of it.
func (c *conn) buffer(a *Attempt, body io.Reader, length int64, mayStream bool) (buffered []byte, complete bool, err error) {
	buffered = make([]byte, 0, max(512, min(length, MaxBufferedBytes)+1))
	until := time.Time{}
	for {
		if len(buffered) == cap(buffered) {
			buffered = append(buffered, 0)[:len(buffered)]
		}
		n, err := body.Read(buffered[len(buffered):min(cap(buffered), MaxBufferedBytes+1)])
		buffered = buffered[:len(buffered)+n]
		switch {
		case len(buffered) > MaxBufferedBytes && (err == nil || err == io.EOF):
			return buffered, false, nil
		case err == io.EOF:
			return buffered, true, nil
		case until.IsZero() && length < 0 && mayStream && err == nil:
			until = time.Now().Add(bufferFor)
			c.SetReadDeadline(until)
			if a.ctx.Err() != nil { // its own deadline may have come before that one
				return nil, false, errRequestOver
			}
		case err != nil && !until.IsZero() && timedOut(a.ctx, err):
			return buffered, false, nil
		case err != nil:
			return nil, false, err
		}
	}
}

// startStream hands a response to the client as it comes, and waits for its end. The attempt's timeout counts no more.
func (c *conn) startStream(a *Attempt, r *AttemptResult, buffered []byte, body io.Reader) error {
	if !a.stopTimer() { // it has timed out
		return errRequestOver
	}
	r.ObservedAt = time.Now()
	s := &Stream{
		ContentType: r.ContentType, attempt: a, conn: c, buffered: buffered, body: body, forwarded: int64(len(buffered)), done: make(chan error, 1),
	}
	a.OnStream(a, s)
	if err := <-s.done; err != io.EOF {
		return err
	}
	return nil
}

// isConnectionError reports whether a read failed because the connection did.
func isConnectionError(err error) bool {
	var nothing fasthttp.ErrNothingRead
	var op *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &nothing) || errors.As(err, &op)
}

// readHead reads the head of the final response, after any 1xx. endsAtClose: it says that the connection ends with it.
func readHead(br *bufio.Reader, resp *fasthttp.Response) (endsAtClose bool, err error) {
	for n := 0; ; n++ {
		endsAtClose = announcesClose(br)
		if err := resp.Header.Read(br); err != nil {
			return false, err
		}
		if s := resp.StatusCode(); s >= 200 {
			return endsAtClose, nil
		} else if s == fasthttp.StatusSwitchingProtocols || n == maxInformational {
			return false, errNoResponse
		}
	}
}
