package upstream

import (
	"context"
	"errors"
	"io"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

// stallTimeout bounds the time without a byte of a streamed response body.
const stallTimeout = 5 * time.Second

// lateReadTimeout bounds the second read after stallTimeout.
const lateReadTimeout = 50 * time.Millisecond

// ErrDetached is returned by Stream.Read after Detach.
var ErrDetached = errors.New("stream is detached")

var errTooLong = errors.New("response body exceeds the maximum size")

// Stream is a response whose body is read from the server's connection at the pace of the client. One goroutine reads
// the stream and must close it; Detach, Attach and Close may be called from any goroutine.
type Stream struct {
	ContentType []byte // value of the response's Content-Type header

	ctx       context.Context // ends with the attempt; never if another process made the attempt
	conn      *conn
	server    string // the server's name in the endpoint list or, if another process made the attempt, its address
	detached  atomic.Bool
	mu        sync.Mutex // guards closed, and conn against a Detach after the end of the stream
	closed    bool
	buffered  []byte // bytes that were read from body and that Read has not returned yet
	body      io.Reader
	forwarded int64      // number of bytes read from body
	err       error      // error that ended the reading; io.EOF after the last byte
	done      chan error // receives one value when the stream is closed: io.EOF if the stream was read completely
}

// Read implements io.Reader. The error is io.EOF only after the last byte of a complete response, and ErrDetached while
// the stream is detached.
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
	runtime.Gosched() // neither the last read nor the write of its bytes may have waited
	n, err = s.readUntilStalled(p)
	if s.detached.Load() && timedOut(s.ctx, err) {
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
	s.logCut()
	if n > 0 && err == io.EOF {
		err = nil
	}
	return n, err
}

// readUntilStalled reads from the server until it returns a byte or the server has sent none for stallTimeout. Bytes that come
// may be part of a line between chunks and yield no byte of the body.
func (s *Stream) readUntilStalled(p []byte) (n int, err error) {
	for came := true; came; {
		received := s.conn.received
		n, err = s.readBody(p, stallTimeout)
		if n == 0 && !s.detached.Load() && timedOut(s.ctx, err) { // bytes may have come while this process was stopped
			n, err = s.readBody(p, lateReadTimeout)
		}
		came = n == 0 && !s.detached.Load() && timedOut(s.ctx, err) && s.conn.received > received
	}
	return n, err
}

// readBody reads from the server for at most the given time.
func (s *Stream) readBody(p []byte, timeout time.Duration) (int, error) {
	s.conn.SetReadDeadline(time.Now().Add(timeout))
	if s.ctx.Err() != nil { // the deadline set above may have replaced expiredDeadline
		return 0, errRequestEnded
	}
	if s.detached.Load() {
		s.conn.SetReadDeadline(expiredDeadline)
	}
	return s.body.Read(p)
}

// Close ends the stream and its attempt. It always returns nil.
func (s *Stream) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	s.closed = true
	if len(s.buffered) > 0 || s.err == nil {
		s.err = errRequestEnded
	}
	s.done <- s.err
	return nil
}

// Detach interrupts a pending Read and makes Read return ErrDetached, so that State can be called. It has no effect on a
// closed stream, whose connection may carry another request.
func (s *Stream) Detach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.detached.Store(true)
	s.conn.SetReadDeadline(expiredDeadline)
}

// Attach reverses Detach, so that Read can be called again.
func (s *Stream) Attach() { s.detached.Store(false) }

// timedOut reports whether a read ended at its deadline although the attempt has not ended.
func timedOut(ctx context.Context, err error) bool { return ctx.Err() == nil && isTimeout(err) }

// isTimeout reports whether an error says that a time has passed.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
