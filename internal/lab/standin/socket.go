package standin

import (
	"fmt"
	"syscall"
	"testing"
)

// BindLoopback returns a socket that is bound to a loopback port, but not listening, and its address. Port 0 chooses a free port.
// As long as the socket is open, the system chooses this port for no other socket and refuses connections to it. The given SOL_SOCKET
// options are enabled before the bind: with SO_REUSEADDR on both, a second socket can be bound to the port by number. The caller closes
// the socket.
func BindLoopback(t testing.TB, port int, options ...int) (fd int, addr string) {
	t.Helper()
	fd = must(t, func() (int, error) {
		return syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	})
	for _, option := range options {
		must(t, func() (int, error) { return 0, syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, option, 1) })
	}
	must(t, func() (int, error) {
		return 0, syscall.Bind(fd, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}})
	})
	bound := must(t, func() (syscall.Sockaddr, error) { return syscall.Getsockname(fd) })
	return fd, fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
}
