package standin

import (
	"fmt"
	"syscall"
	"testing"
)

// Bound makes a socket that is bound on loopback, to that port or any for 0, and does not listen: nobody else is given the port, and
// connections to it are refused. The options are set first; who asks for it closes it.
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
	name := must(t, func() (syscall.Sockaddr, error) { return syscall.Getsockname(fd) })
	return fd, fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
}
