package socket

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// TCPInfo returns what the system knows of a TCP connection. ok is false if the system doesn't tell it.
func TCPInfo(conn net.Conn) (info *unix.TCPInfo, ok bool) {
	raw := Raw(conn)
	if raw == nil {
		return nil, false
	}
	var err error
	failed := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, failed == nil && err == nil
}

// SinceLastReceive returns the time since bytes last arrived at a TCP connection, read or not. ok is false if the system doesn't tell
// it.
func SinceLastReceive(conn net.Conn) (age time.Duration, ok bool) {
	info, ok := TCPInfo(conn)
	if !ok {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}

// SinceLastAck returns the time since the peer's system last acknowledged anything on a TCP connection: bytes, or a keep-alive
// probe. It does so also while the peer's process hangs. ok is false if the system doesn't tell it.
func SinceLastAck(conn net.Conn) (age time.Duration, ok bool) {
	info, ok := TCPInfo(conn)
	if !ok {
		return 0, false
	}
	return time.Duration(info.Last_ack_recv) * time.Millisecond, true
}
