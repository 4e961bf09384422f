package stallwriter

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"damsonscale/internal/socket"
)

const (
	// StallTimeout is the time without an acknowledged byte after which a peer has stalled, if its system would have
	// announced every byte that it takes.
	StallTimeout = 5 * time.Second

	// MaxStallTimeout is the longest time without an acknowledged byte: that of a peer that hangs, or reads unheard. With a receive
	// buffer of 32 MiB, the largest that Linux grows by itself, a peer that reads at minPeerRate is silent for 33 s.
	MaxStallTimeout = 60 * time.Second

	// minPeerRate is the slowest reading, in bytes a second, that must not be taken for a stall.
	minPeerRate = 64_000

	// announcedShare is the share of its window, as a divisor, within which a peer announces freed space. Linux announces
	// sixteenths; the sender's probes, whose interval doubles, may find one after twice the time.
	announcedShare = 8

	// hiddenBufferBytes is a sixteenth of a receive buffer of 6 MiB, the usual limit of Linux. The buffer may have grown
	// to that while the window that was seen is smaller.
	hiddenBufferBytes = 384 << 10

	firstLookInterval = 50 * time.Millisecond  // time until the first look at the progress of a blocked write
	progressInterval  = 500 * time.Millisecond // time between later looks
	windowSampleBytes = 64 << 10               // bytes written between looks at the peer's window
)

// ErrInterrupted is returned by a write that ended because the writer's owner wants it to.
var ErrInterrupted = errors.New("write interrupted")

// StallError is returned by a write whose peer has stopped reading.
type StallError struct {
	Silence  time.Duration // time without an acknowledged byte
	Progress Progress      // progress at the end of the write
}

// Error implements error.
func (e *StallError) Error() string {
	return fmt.Sprintf("peer took no byte for %v, %d bytes are queued for it", e.Silence.Round(time.Millisecond), e.Progress.QueuedBytes)
}

// Writer writes to one connection, whose write deadline it owns. One goroutine at a time may use it.
type Writer struct {
	conn        net.Conn
	maxSilence  time.Duration
	interrupted func() bool

	ackedBytes uint64    // as of the last look
	peakWindow uint32    // largest window that the peer was seen to announce, in bytes
	unsampled  int64     // bytes written since the last look at the window
	progressAt time.Time // when the present write began or the peer was last seen to take bytes

	stalledSince atomic.Int64 // progressAt, as Unix time in ns, if the peer has stalled in the present write; else 0
	evicted      atomic.Bool  // whether the peer is given up as soon as it has stalled
}

// New returns a writer to conn, which gives a peer up after a silence of maxSilence: StallTimeout, or up to MaxStallTimeout for a peer
// that must not be given up while it hangs or reads unheard. Evict does so sooner. Writes return ErrInterrupted while
// interrupted returns true; to end a pending write, make it return true and then set a write deadline of conn in the past.
// interrupted may be nil.
func New(conn net.Conn, maxSilence time.Duration, interrupted func() bool) *Writer {
	return &Writer{conn: conn, maxSilence: maxSilence, interrupted: interrupted}
}

// Write writes p. It returns a *StallError if the peer stops reading.
func (w *Writer) Write(p []byte) (n int, err error) {
	err = w.untilStalled(func() (int64, error) {
		written, err := w.conn.Write(p[n:])
		n += written
		return int64(written), err
	})
	return n, err
}

// WriteBuffers writes and consumes parts, with one system call where the connection can. It returns a *StallError if the
// peer stops reading.
func (w *Writer) WriteBuffers(parts *net.Buffers) (n int64, err error) {
	err = w.untilStalled(func() (int64, error) {
		written, err := parts.WriteTo(w.conn)
		n += written
		return written, err
	})
	return n, err
}

// WaitWritable waits until a short write would not block. It returns a *StallError if the peer stops reading.
func (w *Writer) WaitWritable() error {
	raw := socket.Raw(w.conn)
	if raw == nil {
		return nil
	}
	return w.untilStalled(func() (int64, error) {
		return 0, raw.Write(func(fd uintptr) bool { return isWritable(int(fd)) })
	})
}

// PeerIsTaking reports whether the peer still takes bytes that were written: some are not acknowledged, and it has not
// stalled.
func (w *Writer) PeerIsTaking() bool {
	p, ok := w.look()
	return ok && p.QueuedBytes > 0 && (w.recordProgress(0, p) || time.Since(w.progressAt) < w.stallTimeout())
}

// StalledSince returns the time since which the peer of a pending write has taken nothing, or false if it has not stalled: a peer that
// reads at minPeerRate would have been heard by now. It may be called from any goroutine.
func (w *Writer) StalledSince() (since time.Time, stalled bool) {
	at := w.stalledSince.Load()
	return time.Unix(0, at), at != 0 && !w.evicted.Load()
}

// Evict gives up the peer of a pending write if it has stalled, and returns false if it has not. It may be called from any goroutine.
func (w *Writer) Evict() bool {
	if w.stalledSince.Load() == 0 || !w.evicted.CompareAndSwap(false, true) {
		return false
	}
	w.conn.SetWriteDeadline(socket.ExpiredDeadline)
	return true
}

// isWritable reports whether the system calls a socket writable. An error counts as writable: the next write will show it.
func isWritable(fd int) bool {
	poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLOUT}}
	n, err := unix.Poll(poll, 0)
	return n > 0 || err != nil && err != unix.EINTR
}

// untilStalled repeats write, which continues where it ended, until it succeeds, fails or is interrupted, or the peer stalls.
func (w *Writer) untilStalled(write func() (int64, error)) error {
	w.progressAt = time.Now()
	w.evicted.Store(false)
	defer w.endStall()
	for interval := firstLookInterval; ; interval = w.nextInterval() {
		w.conn.SetWriteDeadline(time.Now().Add(interval))
		if w.isInterrupted() { // the deadline set above may have replaced the one that interrupts
			return ErrInterrupted
		}
		n, err := write()
		w.sampleWindow(n)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		p, _ := w.look()
		if stalled := w.checkProgress(n, p); stalled != nil && !w.isInterrupted() {
			return stalled
		}
	}
}

// endStall records that the peer has not stalled, or that it is not written to.
func (w *Writer) endStall() {
	if w.stalledSince.Load() != 0 {
		w.stalledSince.Store(0)
		w.evicted.Store(false)
	}
}

// isInterrupted reports whether the writer's owner wants writes to end.
func (w *Writer) isInterrupted() bool { return w.interrupted != nil && w.interrupted() }

// look reads the progress of the connection and records the peer's window.
func (w *Writer) look() (Progress, bool) {
	p, ok := ReadProgress(w.conn)
	w.peakWindow = max(w.peakWindow, p.WindowBytes)
	return p, ok
}

// nextInterval returns the time until the next look at the progress: at the latest when the peer has stalled, or is given up.
func (w *Writer) nextInterval() time.Duration {
	if left := time.Until(w.progressAt.Add(w.stallTimeout())); left > 0 {
		return min(progressInterval, left)
	}
	return min(progressInterval, max(0, time.Until(w.progressAt.Add(w.maxSilence))))
}

// sampleWindow looks at the peer's window after every windowSampleBytes. A blocked write shows a closed one.
func (w *Writer) sampleWindow(written int64) {
	if w.unsampled += written; w.unsampled < windowSampleBytes {
		return
	}
	w.unsampled = 0
	w.look()
}

// checkProgress returns a *StallError if the peer has been silent for too long, or has stalled and is evicted. written is the number of
// bytes that the system accepted since the last look, p the present progress.
func (w *Writer) checkProgress(written int64, p Progress) error {
	if w.recordProgress(written, p) {
		w.endStall()
		return nil
	}
	silence := time.Since(w.progressAt)
	if silence < w.stallTimeout() {
		return nil
	}
	w.stalledSince.Store(w.progressAt.UnixNano())
	if silence >= w.maxSilence || w.evicted.Load() {
		return &StallError{Silence: silence, Progress: p}
	}
	return nil
}

// recordProgress records whether the peer has taken bytes since the last look, and returns that.
func (w *Writer) recordProgress(written int64, p Progress) bool {
	if written == 0 && p.AckedBytes == w.ackedBytes {
		return false
	}
	w.ackedBytes, w.progressAt = p.AckedBytes, time.Now()
	return true
}

// stallTimeout returns the time without an acknowledged byte after which the peer has stalled: one that reads at minPeerRate would have
// been heard. It grows with the largest
// window that the peer announced.
func (w *Writer) stallTimeout() time.Duration {
	unannounced := max(w.peakWindow/announcedShare, min(w.peakWindow, hiddenBufferBytes))
	return min(StallTimeout+time.Duration(unannounced)*time.Second/minPeerRate, w.maxSilence)
}
