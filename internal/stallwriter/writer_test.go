package stallwriter

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"damsonscale/internal/lab/standin"
	"damsonscale/internal/socket"
)

// expectWhole writes to a peer and checks that it gets every byte. begin reads the first bytes, in its own time, and returns them.
func expectWhole(t *testing.T, begin func(sender, peer *net.TCPConn) []byte) {
	t.Helper()
	sender, peer := standin.ConnectedPair(t)
	sent := bytes.Repeat([]byte("0123456789abcdef"), 4*standin.SendBufferBytes(t, sender)/16)
	failed := make(chan error, 1)
	go func() {
		_, err := New(sender, MaxStallTimeout, nil).Write(sent)
		sender.Close()
		failed <- err
	}()
	first := begin(sender, peer)
	rest, err := io.ReadAll(peer)
	if got := append(first, rest...); err != nil || !bytes.Equal(got, sent) {
		t.Errorf("peer got %d bytes, error %v, want the %d bytes written", len(got), err, len(sent))
	}
	if err := <-failed; err != nil {
		t.Errorf("write ended with %v, want no error", err)
	}
}

// A peer that reads slowly gets every byte, although the system reports the socket writable only after a longer time than
// StallTimeout.
func TestSlowPeerIsNotGivenUp(t *testing.T) {
	t.Parallel()
	expectWhole(t, func(sender, peer *net.TCPConn) []byte {
		return standin.ReadSlowly(t, peer, standin.SlowRate(t, sender), 12*time.Second)
	})
}

// A peer that takes nothing for a while, as a process that hangs does, gets every byte.
func TestHungPeerIsNotGivenUp(t *testing.T) {
	t.Parallel()
	expectWhole(t, func(*net.TCPConn, *net.TCPConn) []byte {
		time.Sleep(25 * time.Second)
		return nil
	})
}

// A peer that stops reading is given up, in each kind of write.
func TestStoppedPeerIsGivenUp(t *testing.T) {
	t.Parallel()
	fill := bytes.Repeat([]byte{'x'}, 1<<20)
	for name, write := range map[string]func(*Writer) error{
		"Write": func(w *Writer) error { _, err := w.Write(fill); return err },
		"WriteBuffers": func(w *Writer) error {
			_, err := w.WriteBuffers(&net.Buffers{fill[:5], fill})
			return err
		},
		"WaitWritable": func(w *Writer) error {
			w.conn.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
			for {
				if _, err := w.conn.Write(fill); err != nil {
					return w.WaitWritable()
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sender, _ := standin.ConnectedPair(t)
			w := New(sender, MaxStallTimeout, nil)
			var err error
			for err == nil {
				err = write(w)
			}
			var stall *StallError
			if !errors.As(err, &stall) {
				t.Fatalf("write to a peer that reads nothing ended with %v, want a *StallError", err)
			}
			if stall.Silence < StallTimeout || stall.Progress.QueuedBytes == 0 {
				t.Errorf("peer was given up after %v with %d bytes queued, want at least %v and some bytes", stall.Silence, stall.Progress.QueuedBytes, StallTimeout)
			}
		})
	}
}

// A peer that has stalled is given up at once where its place is needed, and one that has not is kept.
func TestStalledPeerIsEvicted(t *testing.T) {
	t.Parallel()
	sender, _ := standin.ConnectedPair(t)
	w := New(sender, MaxStallTimeout, nil)
	ended := make(chan error, 1)
	go func() {
		_, err := w.Write(make([]byte, 64<<20))
		ended <- err
	}()
	time.Sleep(time.Second)
	if w.Evict() {
		t.Error("eviction of a peer that has not stalled: got true, want false")
	}
	standin.Eventually(t, "the peer stalls", func() bool { _, stalled := w.StalledSince(); return stalled })
	if !w.Evict() {
		t.Error("eviction of a stalled peer: got false, want true")
	}
	select {
	case err := <-ended:
		var stall *StallError
		if !errors.As(err, &stall) || stall.Silence < StallTimeout {
			t.Errorf("write to an evicted peer ended with %v, want a *StallError of at least %v", err, StallTimeout)
		}
	case <-time.After(time.Second):
		t.Error("write to an evicted peer has not ended within 1 s")
	}
}

// A pending write ends when its owner interrupts it, and a later one doesn't begin.
func TestWriteIsInterrupted(t *testing.T) {
	t.Parallel()
	sender, peer := standin.ConnectedPair(t)
	var interrupted atomic.Bool
	w := New(sender, MaxStallTimeout, interrupted.Load)
	time.AfterFunc(100*time.Millisecond, func() {
		interrupted.Store(true)
		sender.SetWriteDeadline(socket.ExpiredDeadline)
	})
	accepted, err := w.Write(make([]byte, 64<<20))
	if err != ErrInterrupted {
		t.Fatalf("interrupted write ended with %v, want %v", err, ErrInterrupted)
	}
	if n, err := w.Write([]byte("x")); n != 0 || err != ErrInterrupted {
		t.Errorf("write of an interrupted writer returned %d bytes and %v, want 0 and %v", n, err, ErrInterrupted)
	}
	sender.Close()
	if got, err := io.Copy(io.Discard, peer); got != int64(accepted) || err != nil {
		t.Errorf("peer got %d bytes, error %v, want the %d bytes that the write reported", got, err, accepted)
	}
}

// The time for a silent peer grows with the receive buffer that it may have, up to a limit.
func TestStallTimeoutFollowsTheWindow(t *testing.T) {
	for _, c := range []struct {
		window uint32
		want   time.Duration
	}{
		{0, StallTimeout}, {64_000, StallTimeout + time.Second}, {393_216, StallTimeout + 6144*time.Millisecond},
		{1 << 20, StallTimeout + 6144*time.Millisecond}, {5_120_000, StallTimeout + 10*time.Second}, {1 << 30, MaxStallTimeout},
	} {
		w := New(nil, MaxStallTimeout, nil)
		w.peakWindow = c.window
		if got := w.stallTimeout(); got != c.want {
			t.Errorf("window of %d bytes: got a stall timeout of %v, want %v", c.window, got, c.want)
		}
	}
}
