package upstream

import (
	"errors"
	"io"
	"sync"
	"time"
)

const (
	// MaxBufferedBytes is how many bytes of a request or response body are buffered; a longer one is forwarded as it comes.
	MaxBufferedBytes = 64 << 10
	// MaxBodyBytes is the longest request or response body that is forwarded, in bytes.
	MaxBodyBytes = 40 << 20
)

// errRequestOver says that a body was not read to its end because its request had ended.
var errRequestOver = errors.New("request has ended")

// BodyRemainder is the part of a request's body that is not buffered. The attempt that sends it reads it from the client,
// once. Its source must not block for good. It is safe for concurrent use.
type BodyRemainder struct {
	BodyLength int64 // of the whole body, in bytes; negative: not known

	mu        sync.Mutex
	src       io.Reader
	err       error // after which nothing more is read; io.EOF after the last byte
	started   bool
	endedAt   time.Time
	done      chan struct{}
	interrupt func()
}

// NewBodyRemainder returns the remainder of a body of a length, read from src. interrupt must make a read of src under way
// return.
func NewBodyRemainder(src io.Reader, length int64, interrupt func()) *BodyRemainder {
	return &BodyRemainder{BodyLength: length, src: src, interrupt: interrupt, done: make(chan struct{})}
}

// Read implements io.Reader. The error is io.EOF only after the last byte.
func (b *BodyRemainder) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return 0, b.err
	}
	b.started = true
	n, err := b.src.Read(p)
	if err != nil {
		b.finish(err)
		if n > 0 {
			err = nil
		}
	}
	return n, err
}

func (b *BodyRemainder) finish(err error) {
	b.err, b.endedAt = err, time.Now()
	close(b.done)
}

// Close ends the reading and waits for a read under way: then the client's connection is the caller's again.
func (b *BodyRemainder) Close() {
	select {
	case <-b.done:
		return
	default:
		b.interrupt()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		b.finish(errRequestOver)
	}
}

// Done returns a channel that is closed once the last byte was read, or none will be.
func (b *BodyRemainder) Done() <-chan struct{} { return b.done }

// CompletedAt returns, once Done is closed, when the last byte was read, or the error that came before it.
func (b *BodyRemainder) CompletedAt() (at time.Time, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == io.EOF {
		return b.endedAt, nil
	}
	return b.endedAt, b.err
}

// Started reports whether any of it was read: then it can't be sent again.
func (b *BodyRemainder) Started() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.started
}
