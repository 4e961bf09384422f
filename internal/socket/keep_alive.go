package socket

import (
	"net"
	"time"
)

// KeepAlive makes the system probe the peer of a TCP connection whenever nothing has come for the given interval, and end the connection
// with ETIMEDOUT after so many probes without an acknowledgement. It returns false if the system doesn't do that.
func KeepAlive(conn net.Conn, interval time.Duration, probes int) bool {
	tcp, ok := conn.(interface {
		SetKeepAliveConfig(net.KeepAliveConfig) error
	})
	if !ok {
		return false
	}
	return tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: probes}) == nil
}
