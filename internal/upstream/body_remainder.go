package upstream

import (
	"errors"
	"io"
	"sync"
	"time"
)

const (
	// MaxBufferedBytes is the size up to which a request or response body is buffered; a longer body is streamed.
	MaxBufferedBytes = 64 << 10
	// MaxBodyBytes is the size of the longest request or response body that is forwarded.
	MaxBodyBytes = 40 << 20
)

// errRequestEnded is the error of a body that is not read to its end because its request has ended.
var errRequestEnded = errors.New("request ended before its body was read completely")

// BodyRemainder is the part of a request body that is not buffered. It can be read only once, from the client, by the
// attempt that sends it. Reads of its source must not block forever. It is safe for concurrent use.
type BodyRemainder struct {
	BodyLength int64 // length of the complete body in bytes, the buffered part included; negative if unknown

	mu        sync.Mutex
	src       io.Reader
	err       error // error that ended the reading; io.EOF after the last byte
	started   bool
	endedAt   time.Time
	done      chan struct{}
	interrupt func()

	arrived     chan struct{}
	arrivedOnce sync.Once
	arrivedAt   time.Time // valid once arrived is closed
}

// NewBodyRemainder returns the remainder, read from src, of a body of the given total length. interrupt must make a
// pending read of src return.
func NewBodyRemainder(src io.Reader, length int64, interrupt func()) *BodyRemainder {
	return &BodyRemainder{BodyLength: length, src: src, interrupt: interrupt, done: make(chan struct{}), arrived: make(chan struct{})}
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

// Close ends the reading and waits for a pending read to return. Afterwards the caller may use the client's connection
// again.
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
		b.finish(errRequestEnded)
	}
}

// MarkArrived records that the last byte has arrived at this machine at the given time, though it may not have been read: the
// reading goes no faster than the server takes the body. It never blocks.
func (b *BodyRemainder) MarkArrived(at time.Time) {
	b.arrivedOnce.Do(func() {
		b.arrivedAt = at
		close(b.arrived)
	})
}

// Arrived returns a channel that is closed by MarkArrived.
func (b *BodyRemainder) Arrived() <-chan struct{} { return b.arrived }

// ArrivedAt returns the time given to MarkArrived. It may be called once Arrived is closed.
func (b *BodyRemainder) ArrivedAt() time.Time { return b.arrivedAt }

// Done returns a channel that is closed when the reading has ended, with the last byte or with an error.
func (b *BodyRemainder) Done() <-chan struct{} { return b.done }

// CompletedAt returns the time at which the last byte arrived or, if that was not seen, was read, or the error that ended the
// reading early. It may be called once Done is closed.
func (b *BodyRemainder) CompletedAt() (at time.Time, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != io.EOF {
		return b.endedAt, b.err
	}
	select {
	case <-b.arrived:
		return b.arrivedAt, nil
	default:
		return b.endedAt, nil
	}
}

// Started reports whether reading has begun. If so, the body can't be sent again.
func (b *BodyRemainder) Started() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.started
}
