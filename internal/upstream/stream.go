package upstream

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// stallTimeout is how long a body may go without a byte, in either direction.
const stallTimeout = 5 * time.Second

// ErrDetached is returned by Stream.Read after Detach, between two pieces of the response.
var ErrDetached = errors.New("stream is detached")

var errTooLong = errors.New("body over the maximum size")

// Stream is a response whose body is read from the server's connection as the client takes it. One goroutine reads it and
// must close it; Detach, Attach and Close may be called from any.
type Stream struct {
	ContentType []byte

	attempt   *Attempt
	conn      *conn
	detached  atomic.Bool
	buffered  []byte // read from body already, not yet passed on
	body      io.Reader
	forwarded int64 // bytes read from body
	err       error
	once      sync.Once
	done      chan error // receives the end once; io.EOF: read to its end
}

// Read implements io.Reader. The error is io.EOF only after the last byte of a complete response, and ErrDetached after
// Detach.
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
	if s.attempt.ctx.Err() != nil { // it may have set its own deadline before that one
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
	if s.forwarded += int64(n); s.forwarded > MaxBodyBytes {
		err = errTooLong
	}
	s.err = err
	if n > 0 && err == io.EOF {
		err = nil
	}
	return n, err
}

// Close ends the response and lets its attempt end. It always returns nil.
func (s *Stream) Close() error {
	s.once.Do(func() {
		if len(s.buffered) > 0 || s.err == nil {
			s.err = errRequestOver
		}
		s.done <- s.err
	})
	return nil
}

// Detach makes Read return ErrDetached as soon as possible.
func (s *Stream) Detach() {
	s.detached.Store(true)
	s.conn.SetReadDeadline(deadlinePast)
}

// Attach undoes a Detach.
func (s *Stream) Attach() { s.detached.Store(false) }

// timedOut reports whether a read ended at its deadline while the attempt goes on.
func timedOut(ctx context.Context, err error) bool {
	var timeout interface{ Timeout() bool }
	return ctx.Err() == nil && errors.As(err, &timeout) && timeout.Timeout()
}
