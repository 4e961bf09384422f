package stallwriter

import (
	"net"

	"golang.org/x/sys/unix"

	"damsonscale/internal/socket"
)

// Progress is what the system knows of the bytes that were written to a connection.
type Progress struct {
	AckedBytes  uint64 // bytes that the peer's system has acknowledged since the connection began
	WindowBytes uint32 // bytes that the peer's system accepts at present
	QueuedBytes int    // bytes in the send buffer that the peer's system has not acknowledged
}

// ReadProgress returns the progress of a TCP connection. ok is false if the system doesn't tell it.
func ReadProgress(conn net.Conn) (p Progress, ok bool) {
	raw := socket.Raw(conn)
	if raw == nil {
		return Progress{}, false
	}
	info, ok := socket.TCPInfo(conn)
	if !ok {
		return Progress{}, false
	}
	var queued int
	var err error
	failed := raw.Control(func(fd uintptr) { queued, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if failed != nil || err != nil {
		return Progress{}, false
	}
	return Progress{AckedBytes: info.Bytes_acked, WindowBytes: info.Snd_wnd, QueuedBytes: queued}, true
}
