package standin

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

const (
	sendBufferBytes    = 1 << 20               // asked for; the system grants up to twice as much
	receiveBufferBytes = 32 << 10              // likewise
	slowReadPause      = 50 * time.Millisecond // between two reads of ReadSlowly
)

// TCPPair returns both ends of a TCP connection on loopback.
func TCPPair(t testing.TB) (accepted, dialled *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(); s.Close() })
	return s.(*net.TCPConn), c.(*net.TCPConn)
}

// ConnectedPair is TCPPair with other buffers. The sender has a large send buffer, as the system gives one to a connection
// that has sent much. The peer has a small receive buffer, so that the system hears soon what it reads.
func ConnectedPair(t testing.TB) (sender, peer *net.TCPConn) {
	t.Helper()
	sender, peer = TCPPair(t)
	if err := sender.SetWriteBuffer(sendBufferBytes); err != nil {
		t.Fatal(err)
	}
	if err := peer.SetReadBuffer(receiveBufferBytes); err != nil {
		t.Fatal(err)
	}
	return sender, peer
}

// SlowRate returns a rate in bytes a second. If a peer reads no faster, the system takes at least 10 s to report the sender
// writable again after its send buffer was full: that takes a third of the buffer, half of which may be overhead.
func SlowRate(t testing.TB, sender *net.TCPConn) int {
	t.Helper()
	return SendBufferBytes(t, sender) / 60
}

// SendBufferBytes returns the size of a connection's send buffer.
func SendBufferBytes(t testing.TB, conn *net.TCPConn) (size int) {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) { size, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF) })
	if err != nil {
		t.Fatal(err)
	}
	return size
}

// bytesPerPause returns the bytes of one read at a rate in bytes a second.
func bytesPerPause(rate int) int { return max(1, rate*int(slowReadPause.Milliseconds())/1000) }

// ReadSlowly reads rate bytes a second from r for the given time and returns them. It ends early at an error.
func ReadSlowly(t testing.TB, r io.Reader, rate int, duration time.Duration) (got []byte) {
	t.Helper()
	piece := make([]byte, bytesPerPause(rate))
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(slowReadPause) {
		n, err := io.ReadFull(r, piece)
		got = append(got, piece[:n]...)
		if err != nil {
			t.Logf("slow reader ends after %d bytes: %v", len(got), err)
			return got
		}
	}
	return got
}

// SlowReader gives at most Rate bytes a second of R.
type SlowReader struct {
	R    io.Reader
	Rate int
}

// Read implements io.Reader.
func (s *SlowReader) Read(p []byte) (int, error) {
	time.Sleep(slowReadPause)
	return s.R.Read(p[:min(len(p), bytesPerPause(s.Rate))])
}
