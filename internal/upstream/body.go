package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// MaxBuffered is how much of a body or an answer is held; a longer one goes on as it comes.
	MaxBuffered = 64 << 10
	// MaxBodySize is the longest body or answer that is passed on.
	MaxBodySize = 40 << 20

	holdFor     = 300 * time.Millisecond // an answer of unknown length, before it begins at the client
	stalled     = 5 * time.Second        // without a byte of a body or an answer under way
	copyBuffer  = 16 << 10
	maxTrailers = 64 // lines
)

var (
	errStopped = errors.New("the request is over")
	errTooLong = errors.New("over the longest that is passed on")
	errChunk   = errors.New("unreadable chunk")
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// BodyRemainder is the part of a request's body that is not held. It is read as it comes from the client, once, by the attempt
// that has begun to send it. Its source must not block for good.
type BodyRemainder struct {
	BodyLength int64 // of the whole body; negative: not known

	mu     sync.Mutex
	src    io.Reader
	err    error // after which nothing more is read
	taken  bool
	endAt  time.Time
	ended  chan struct{}
	cutOff func()
}

// NewBodyRemainder makes the rest of a body; cutOff makes a read of src under way end.
func NewBodyRemainder(src io.Reader, length int64, cutOff func()) *BodyRemainder {
	return &BodyRemainder{BodyLength: length, src: src, cutOff: cutOff, ended: make(chan struct{})}
}

// Read reads on. Its error is io.EOF after the last byte alone.
func (r *BodyRemainder) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return 0, r.err
	}
	r.taken = true
	n, err := r.src.Read(p)
	if err != nil {
		r.end(err)
		if n > 0 {
			err = nil
		}
	}
	return n, err
}

func (r *BodyRemainder) end(err error) {
	r.err, r.endAt = err, time.Now()
	close(r.ended)
}

// Close ends the reading, and waits for a read under way: the client's connection is the caller's again.
func (r *BodyRemainder) Close() {
	select {
	case <-r.ended:
		return
	default:
		r.cutOff()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.end(errStopped)
	}
}

// Done is closed once the last byte was read, or none will be.
func (r *BodyRemainder) Done() <-chan struct{} { return r.ended }

// Complete tells, once it has ended, when its last byte came, or why it never did.
func (r *BodyRemainder) Complete() (at time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == io.EOF {
		return r.endAt, nil
	}
	return r.endAt, r.err
}

// Started tells whether any of it has been read: it can't be sent again.
func (r *BodyRemainder) Started() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.taken
}

// Stream is an answer under way: its body is read from the server's connection as the client takes it. Its reader must
// close it.
type Stream struct {
	ContentType []byte

	a      *Attempt
	c      *conn
	detach atomic.Bool
	head   []byte // read already
	body   io.Reader
	sum    int64
	err    error
	once   sync.Once
	done   chan error // io.EOF: read to its end
}

// Read reads on. Its error is io.EOF after the last byte of a whole answer alone.
func (s *Stream) Read(p []byte) (n int, err error) {
	if s.detach.Load() && s.err == nil {
		return 0, ErrDetached
	}
	if len(s.head) > 0 {
		n = copy(p, s.head)
		s.head = s.head[n:]
		return n, nil
	}
	if s.err != nil {
		return 0, s.err
	}
	s.c.SetReadDeadline(time.Now().Add(stalled))
	if s.a.ctx.Err() != nil { // the cut may have come before that deadline
		s.err = errStopped
		return 0, s.err
	}
	if s.detach.Load() {
		s.c.SetReadDeadline(past)
	}
	n, err = s.body.Read(p)
	if s.detach.Load() && timedOut(s.a.ctx, err) {
		s.sum += int64(n)
		if n > 0 {
			return n, nil
		}
		return 0, ErrDetached
	}
	if s.sum += int64(n); s.sum > MaxBodySize {
		err = errTooLong
	}
	s.err = err
	if n > 0 && err == io.EOF {
		err = nil
	}
	return n, err
}

// Close ends the answer. The attempt reports what it came to.
func (s *Stream) Close() error {
	s.once.Do(func() {
		if len(s.head) > 0 || s.err == nil {
			s.err = errStopped
		}
		s.done <- s.err
	})
	return nil
}

// answerBody is the body of an answer whose head was read; toTheEnd: that of its connection ends one of no length.
func answerBody(br *bufio.Reader, resp *fasthttp.Response, toTheEnd bool) (body io.Reader, length int64, err error) {
	switch n := resp.Header.ContentLength(); {
	case n > MaxBodySize:
		return nil, 0, errTooLong
	case n >= 0:
		return &exactly{br, int64(n)}, int64(n), nil
	case n == -1:
		return &chunked{br: br}, -1, nil
	case toTheEnd:
		return br, -1, nil
	}
	return nil, 0, errNoLength
}

// endsWithConnection tells of an answer whose head, which comes next, says itself that its connection's end is its own.
// fasthttp says so of every answer without a length. Guards against noise that only looks like an answer: a short one of
// those could not be told from a whole one.
func endsWithConnection(br *bufio.Reader) bool {
	head := peekHead(br)
	if bytes.HasPrefix(head, []byte("HTTP/1.0 ")) {
		return true
	}
	for line := range bytes.SplitSeq(head, []byte{'\n'}) {
		name, value, _ := bytes.Cut(line, []byte{':'})
		if !bytes.EqualFold(name, []byte("Connection")) {
			continue
		}
		for token := range bytes.SplitSeq(value, []byte{','}) {
			if bytes.EqualFold(bytes.TrimSpace(token), []byte("close")) {
				return true
			}
		}
	}
	return false
}

// peekHead returns the bytes up to the next empty line, or nothing, and takes nothing off.
func peekHead(br *bufio.Reader) []byte {
	for from := 0; ; {
		b, _ := br.Peek(br.Buffered())
		for i := from; i < len(b); i++ {
			if b[i] == '\n' && (bytes.HasPrefix(b[i+1:], []byte("\n")) || bytes.HasPrefix(b[i+1:], []byte("\r\n"))) {
				return b[:i+1]
			}
		}
		from = max(0, len(b)-2)
		if len(b) == br.Size() {
			return nil
		}
		if _, err := br.Peek(len(b) + 1); err != nil {
			return nil
		}
	}
}

// exactly reads so many bytes: an earlier end is an error.
type exactly struct {
	r    io.Reader
	left int64
}

func (e *exactly) Read(p []byte) (n int, err error) {
	if e.left == 0 {
		return 0, io.EOF
	}
	n, err = e.r.Read(p[:min(int64(len(p)), e.left)])
	e.left -= int64(n)
	switch {
	case e.left == 0:
		err = io.EOF
	case err == io.EOF:
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunked reads chunks with extensions and trailers, which it drops. A read that timed out can be repeated: nothing is
// taken off before it is whole.
type chunked struct {
	br       *bufio.Reader
	left     int64
	after    bool // the line end of a chunk comes next
	trailing bool
	trailers int
	over     bool
}

func (c *chunked) Read(p []byte) (n int, err error) {
	for c.left == 0 {
		if c.over {
			return 0, io.EOF
		}
		if err := c.next(); err != nil {
			return 0, err
		}
	}
	n, err = c.br.Read(p[:min(int64(len(p)), c.left)])
	if c.left -= int64(n); c.left == 0 && n > 0 {
		c.after = true
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// next takes in the line before, between or after chunks.
func (c *chunked) next() error {
	line, size, err := peekLine(c.br)
	if err != nil {
		return err
	}
	switch {
	case c.after:
		if len(line) > 0 {
			return errChunk
		}
		c.after = false
	case c.trailing:
		c.over = len(line) == 0
		if c.trailers++; c.trailers > maxTrailers {
			return errChunk
		}
	default:
		digits, _, _ := bytes.Cut(line, []byte{';'})
		left, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 40)
		if err != nil {
			return errChunk
		}
		c.left, c.trailing = int64(left), left == 0
	}
	c.br.Discard(size)
	return nil
}

// peekLine returns the next line without its end, and its size with it, and takes nothing off.
func peekLine(br *bufio.Reader) (line []byte, size int, err error) {
	for {
		b, _ := br.Peek(br.Buffered())
		if i := bytes.IndexByte(b, '\n'); i >= 0 {
			return bytes.TrimSuffix(b[:i], []byte{'\r'}), i + 1, nil
		}
		if len(b) == br.Size() {
			return nil, 0, errChunk
		}
		if _, err := br.Peek(len(b) + 1); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, 0, err
		}
	}
}

// timedOut tells whether a read ended at its deadline while the attempt goes on.
func timedOut(ctx context.Context, err error) bool {
	var late interface{ Timeout() bool }
	return ctx.Err() == nil && errors.As(err, &late) && late.Timeout()
}
