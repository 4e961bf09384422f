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

	bufferFor    = 300 * time.Millisecond // an answer of unknown length, before it begins at the client
	stallTimeout = 5 * time.Second        // without a byte of a body or an answer under way
	copyBuffer   = 16 << 10
	maxTrailers  = 64 // lines
)

var (
	errRequestOver = errors.New("the request is over")
	errTooLong     = errors.New("over the longest that is passed on")
	errChunk       = errors.New("unreadable chunk")
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// BodyRemainder is the part of a request's body that is not held. It is read as it comes from the client, once, by the attempt
// that has begun to send it. Its source must not block for good.
type BodyRemainder struct {
	BodyLength int64 // of the whole body; negative: not known

	mu        sync.Mutex
	src       io.Reader
	err       error // after which nothing more is read
	started   bool
	endedAt   time.Time
	done      chan struct{}
	interrupt func()
}

// NewBodyRemainder makes the rest of a body; interrupt makes a read of src under way end.
func NewBodyRemainder(src io.Reader, length int64, cutOff func()) *BodyRemainder {
	return &BodyRemainder{BodyLength: length, src: src, interrupt: cutOff, done: make(chan struct{})}
}

// Read reads on. Its error is io.EOF after the last byte alone.
func (r *BodyRemainder) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return 0, r.err
	}
	r.started = true
	n, err := r.src.Read(p)
	if err != nil {
		r.finish(err)
		if n > 0 {
			err = nil
		}
	}
	return n, err
}

func (r *BodyRemainder) finish(err error) {
	r.err, r.endedAt = err, time.Now()
	close(r.done)
}

// Close ends the reading, and waits for a read under way: the client's connection is the caller's again.
func (r *BodyRemainder) Close() {
	select {
	case <-r.done:
		return
	default:
		r.interrupt()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.finish(errRequestOver)
	}
}

// Done is closed once the last byte was read, or none will be.
func (r *BodyRemainder) Done() <-chan struct{} { return r.done }

// Complete tells, once it has ended, when its last byte came, or why it never did.
func (r *BodyRemainder) Complete() (at time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == io.EOF {
		return r.endedAt, nil
	}
	return r.endedAt, r.err
}

// Started tells whether any of it has been read: it can't be sent again.
func (r *BodyRemainder) Started() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.started
}

// Stream is an answer under way: its body is read from the server's connection as the client takes it. Its reader must
// close it.
type Stream struct {
	ContentType []byte

	attempt   *Attempt
	conn      *conn
	detached  atomic.Bool
	buffered  []byte // read already
	body      io.Reader
	forwarded int64
	err       error
	once      sync.Once
	done      chan error // io.EOF: read to its end
}

// Read reads on. Its error is io.EOF after the last byte of a whole answer alone.
func (s *Stream) Read(p []byte) (n int, err error) {
	if s.detached.Load() && s.err == nil {
		return 0, ErrDetached
	}
	if len(s.buffered) > 0 {
		n = copy(p, s.buffered)
		s.buffered = s.buffered[n:]
		return n, nil
	}
	if s.err != nil {
		return 0, s.err
	}
	s.conn.SetReadDeadline(time.Now().Add(stallTimeout))
	if s.attempt.ctx.Err() != nil { // the cut may have come before that deadline
		s.err = errRequestOver
		return 0, s.err
	}
	if s.detached.Load() {
		s.conn.SetReadDeadline(deadlinePast)
	}
	n, err = s.body.Read(p)
	if s.detached.Load() && timedOut(s.attempt.ctx, err) {
		s.forwarded += int64(n)
		if n > 0 {
			return n, nil
		}
		return 0, ErrDetached
	}
	if s.forwarded += int64(n); s.forwarded > MaxBodySize {
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
		if len(s.buffered) > 0 || s.err == nil {
			s.err = errRequestOver
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
		return &lengthReader{br, int64(n)}, int64(n), nil
	case n == -1:
		return &chunkedReader{br: br}, -1, nil
	case toTheEnd:
		return br, -1, nil
	}
	return nil, 0, errNoLength
}

// announcesClose tells of an answer whose head, which comes next, says itself that its connection's end is its own.
// fasthttp says so of every answer without a length. Guards against noise that only looks like an answer: a short one of
// those could not be told from a whole one.
func announcesClose(br *bufio.Reader) bool {
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

// lengthReader reads so many bytes: an earlier end is an error.
type lengthReader struct {
	r         io.Reader
	remaining int64
}

func (e *lengthReader) Read(p []byte) (n int, err error) {
	if e.remaining == 0 {
		return 0, io.EOF
	}
	n, err = e.r.Read(p[:min(int64(len(p)), e.remaining)])
	e.remaining -= int64(n)
	switch {
	case e.remaining == 0:
		err = io.EOF
	case err == io.EOF:
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedReader reads chunks with extensions and trailers, which it drops. A read that timed out can be repeated: nothing is
// taken off before it is whole.
type chunkedReader struct {
	br           *bufio.Reader
	remaining    int64
	atChunkEnd   bool // the line end of a chunk comes next
	inTrailers   bool
	trailerLines int
	complete     bool
}

func (c *chunkedReader) Read(p []byte) (n int, err error) {
	for c.remaining == 0 {
		if c.complete {
			return 0, io.EOF
		}
		if err := c.nextLine(); err != nil {
			return 0, err
		}
	}
	n, err = c.br.Read(p[:min(int64(len(p)), c.remaining)])
	if c.remaining -= int64(n); c.remaining == 0 && n > 0 {
		c.atChunkEnd = true
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// nextLine takes in the line before, between or after chunks.
func (c *chunkedReader) nextLine() error {
	line, size, err := peekLine(c.br)
	if err != nil {
		return err
	}
	switch {
	case c.atChunkEnd:
		if len(line) > 0 {
			return errChunk
		}
		c.atChunkEnd = false
	case c.inTrailers:
		c.complete = len(line) == 0
		if c.trailerLines++; c.trailerLines > maxTrailers {
			return errChunk
		}
	default:
		digits, _, _ := bytes.Cut(line, []byte{';'})
		left, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 40)
		if err != nil {
			return errChunk
		}
		c.remaining, c.inTrailers = int64(left), left == 0
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
