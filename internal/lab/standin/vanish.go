package standin

import (
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// Vanish makes the system drop all that comes for a connection from now on, as if its host had gone: nothing is acknowledged any more,
// not even a keep-alive probe.
func Vanish(t testing.TB, conn *net.TCPConn) {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	dropAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0} // the number of bytes of a segment to keep
	failed := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll})
	})
	if failed != nil || err != nil {
		t.Fatalf("attach a filter to a connection: %v, %v", failed, err)
	}
}
