package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	maxBody    = 64 << 10 // of an answer
	readBuffer = 16 << 10 // holds the longest head of an answer
	maxInterim = 8        // answers of the 100 kind before the real one
)

var (
	errNoAnswer = errors.New("no answer of HTTP/1.1")
	errNoLength = errors.New("answer of no stated length")
	past        = time.Unix(1, 0)
)

// conn is a connection that one attempt, or its peer's idle list, owns.
type conn struct {
	net.Conn
	br        *bufio.Reader
	addr      string
	idleSince time.Time
	budget    *Budget
}

// shut closes the connection and gives its socket back. Closing by a reset (no linger) was tried and
// gained nothing: see the results.
func (c *conn) shut() {
	c.Close()
	c.budget.give()
}

// quiet tells whether an idle connection is still open with nothing on it. Guards against a request written
// to a connection that the server has closed: it would end as a reset, which may have run.
func (c *conn) quiet() bool {
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
func (c *conn) exchange(a *Attempt, mayWrite func() bool) (r Report, reuse bool) {
	stop := context.AfterFunc(a.ctx, func() { c.SetDeadline(past) })
	defer func() {
		if !stop() { // the deadline was, or is about to be, cut: what is read next would fail
			reuse = false
		}
	}()
	r.End = c.write(a, mayWrite)
	if r.End != Answered {
		return r, false
	}
	reuse = c.read(a, &r)
	return r, reuse
}

// write sends the attempt's bytes; Answered means that all of them are written.
func (c *conn) write(a *Attempt, mayWrite func() bool) (end End) {
	end = Unwritten
	a.Gate.pass(func() {
		now := time.Now()
		if a.ctx.Err() != nil || !mayWrite() || !a.WriteBy.IsZero() && !now.Before(a.WriteBy) {
			return
		}
		parts, size := a.Message.render(a.Deadline.Sub(now))
		switch n, err := parts.WriteTo(c.Conn); {
		case n == size:
			end = Answered
		case err != nil && a.ctx.Err() == context.Canceled:
			end = Unwritten
		default:
			end = Unreachable // the last byte was not written: it never ran
		}
	})
	return end
}

// read reads one whole answer; anything short of one may have run.
func (c *conn) read(a *Attempt, r *Report) (reuse bool) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	err := readAnswer(c.br, resp)
	r.At = time.Now()
	if err != nil {
		r.End = Spoilt
		if a.ctx.Err() != nil {
			r.End = a.interrupted()
		} else if brokeOff(err) {
			r.End = Broken
		}
		return false
	}
	r.End = end(resp)
	r.Load = parseLoad(resp.Header.Peek("Srv-Load"))
	if r.End == Answered {
		r.Body = append([]byte(nil), resp.Body()...)
		r.ContentType = append([]byte(nil), resp.Header.ContentType()...)
	}
	return !resp.ConnectionClose() && c.br.Buffered() == 0
}

// brokeOff tells whether a read ended because the connection did.
func brokeOff(err error) bool {
	var nothing fasthttp.ErrNothingRead
	var op *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &nothing) || errors.As(err, &op)
}

// end tells what a whole answer means.
func end(resp *fasthttp.Response) End {
	switch status := resp.StatusCode(); {
	case status == fasthttp.StatusOK:
		return Answered
	case (status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusGatewayTimeout) &&
		string(resp.Header.Peek("Srv-Declined")) == "1":
		return Declined
	case status == fasthttp.StatusRequestTimeout || status == fasthttp.StatusTooManyRequests:
		return Failed // of the server's state, not of the request
	case status >= 400 && status < 500:
		return Rejected
	}
	return Failed
}

// readAnswer reads head and body. An answer whose end only the connection's end would mark is refused: a
// short one could not be told from a whole one.
func readAnswer(br *bufio.Reader, resp *fasthttp.Response) error {
	for n := 0; ; n++ {
		if err := resp.Header.Read(br); err != nil {
			return err
		}
		if s := resp.StatusCode(); s >= 200 {
			break
		} else if s == fasthttp.StatusSwitchingProtocols || n == maxInterim {
			return errNoAnswer
		}
	}
	if s := resp.StatusCode(); s == fasthttp.StatusNoContent || s == fasthttp.StatusNotModified {
		return nil
	}
	if resp.Header.ContentLength() < -1 {
		return errNoLength
	}
	if err := resp.ReadBody(br, maxBody); err != nil {
		return err
	}
	if resp.Header.ContentLength() == -1 {
		return resp.Header.ReadTrailer(br)
	}
	return nil
}
