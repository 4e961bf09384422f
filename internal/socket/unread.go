package socket

import (
	"net"
	"sync"

	"golang.org/x/sys/unix"
)

// peekPieceBytes is the size of the buffer into which unread bytes are copied in order to get at those behind them.
const peekPieceBytes = 64 << 10

var peekPieces = sync.Pool{New: func() any { return new([peekPieceBytes]byte) }}

// UnreadBytes returns the number of bytes that have arrived at conn and were not read, or 0 if the system doesn't tell it.
func UnreadBytes(conn net.Conn) (unread int) {
	raw := Raw(conn)
	if raw == nil {
		return 0
	}
	raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ); err == nil {
			unread = n
		}
	})
	return unread
}

// PeekTail returns the last of the given number of unread bytes, up to tailBytes of them, without consuming any. It returns nil if
// there are fewer unread bytes or the system call fails.
func PeekTail(conn net.Conn, unread, tailBytes int) []byte {
	raw := Raw(conn)
	if raw == nil {
		return nil
	}
	piece := peekPieces.Get().(*[peekPieceBytes]byte)
	defer peekPieces.Put(piece)
	tail := make([]byte, min(unread, tailBytes))
	var buffers [][]byte // all but the last are the same memory
	for skipped := unread - len(tail); skipped > 0; {
		n := min(skipped, peekPieceBytes)
		buffers = append(buffers, piece[:n])
		skipped -= n
	}
	buffers = append(buffers, tail)
	var n int
	err := raw.Control(func(fd uintptr) {
		n, _, _, _, _ = unix.RecvmsgBuffers(int(fd), buffers, nil, unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil || n != unread {
		return nil
	}
	return tail
}

// UpdateWindow makes the system tell the peer of a TCP connection that there is room in the receive buffer, if bytes are unread: it
// does so when bytes are read or peeked at, and a peer that found no room would ask ever more seldom.
func UpdateWindow(conn net.Conn) {
	raw := Raw(conn)
	if raw == nil {
		return
	}
	raw.Control(func(fd uintptr) {
		var b [1]byte
		unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
}

// GrowReceiveBuffer lets up to the given number of bytes, or half of the system's largest buffer if that is less, wait unread at a
// TCP connection. The system would otherwise grow the buffer only as fast as bytes are read.
func GrowReceiveBuffer(conn net.Conn, bytes int) {
	raw := Raw(conn)
	if raw == nil {
		return
	}
	raw.Control(func(fd uintptr) {
		// Linux makes room for the low-water mark, and keeps the room when the mark is lowered.
		unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVLOWAT, bytes)
		unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVLOWAT, 1)
	})
}
