package upstream

import (
	"context"
	"errors"
	"io"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"damsonscale/internal/socket"
)

// ErrDetached is returned by Stream.Read after Detach.
var ErrDetached = errors.New("stream is detached")

var errTooLong = errors.New("response body exceeds the maximum size")

// Stream is a response whose body is read from the server's connection at the pace of the client. One goroutine reads
// the stream and must close it; Detach, Attach and Close may be called from any goroutine.
type Stream struct {
	ContentType []byte // value of the response's Content-Type header

	// ClientLeft reports whether the client has left. It is called by Read while the server is silent, and must not block. It may
	// be nil, and must not change once Read has been called.
	ClientLeft func() bool

	ctx       context.Context // ends with the attempt; never if another process made the attempt
	conn      *conn
	server    string // the server's name in the endpoint list or, if another process made the attempt, its address
	detached  atomic.Bool
	evicted   atomic.Bool // whether the response is given up at the next check of a silence
	mu        sync.Mutex  // guards closed, and conn against a Detach or Evict after the end of the stream
	closed    bool
	buffered  []byte // bytes that were read from body and that Read has not returned yet
	body      io.Reader
	forwarded int64      // number of bytes read from body
	err       error      // error that ended the reading; io.EOF after the last byte
	done      chan error // receives one value when the stream is closed: io.EOF if the stream was read completely

	silentSince atomic.Int64 // Unix time in ns since which the server has been silent; 0 if it is not, or not for silenceNotice
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
	n, err = s.readOrGiveUp(p)
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

// readOrGiveUp reads from the server until it returns a byte or there is a reason to give it up. Bytes that come may be part of a
// line between chunks and yield no byte of the body.
func (s *Stream) readOrGiveUp(p []byte) (n int, err error) {
	quiet := &silence{stream: s, since: time.Now()}
	defer quiet.end()
	for {
		received := s.conn.received
		n, err = s.readBody(p, quiet.timeToCheck())
		if n > 0 || !s.mayWait(err) {
			return n, err
		}
		if s.conn.received > received {
			quiet.restart()
			continue
		}
		if reason := quiet.check(); reason != nil {
			return s.lastRead(p, reason)
		}
	}
}

// mayWait reports whether a read ended at its deadline and can be repeated.
func (s *Stream) mayWait(err error) bool { return !s.detached.Load() && timedOut(s.ctx, err) }

// lastRead reads what may have come while this process was stopped. If that is nothing it returns the reason.
func (s *Stream) lastRead(p []byte, reason error) (n int, err error) {
	n, err = s.readBody(p, lateReadTimeout)
	if n > 0 || !s.mayWait(err) {
		return n, err
	}
	return 0, reason
}

// readBody reads from the server for at most the given time.
func (s *Stream) readBody(p []byte, timeout time.Duration) (int, error) {
	s.conn.SetReadDeadline(time.Now().Add(timeout))
	if s.ctx.Err() != nil { // the deadline set above may have replaced socket.ExpiredDeadline
		return 0, errRequestEnded
	}
	if s.detached.Load() {
		s.conn.SetReadDeadline(socket.ExpiredDeadline)
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
	s.conn.SetReadDeadline(socket.ExpiredDeadline)
}

// Attach reverses Detach, so that Read can be called again.
func (s *Stream) Attach() { s.detached.Store(false) }

// timedOut reports whether a read ended at its deadline although the attempt has not ended. The end of a connection whose peer
// acknowledges nothing is not meant.
func timedOut(ctx context.Context, err error) bool {
	return ctx.Err() == nil && errors.Is(err, os.ErrDeadlineExceeded)
}
