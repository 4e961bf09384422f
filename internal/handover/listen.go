package handover

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	soReusePort = 0xf // SO_REUSEPORT on Linux; package syscall doesn't define it

	bindTimeout  = 10 * time.Second // time for a process that does not share the address to close its socket
	bindInterval = 20 * time.Millisecond
)

// Listen listens at addr, which another process may share by SO_REUSEPORT. While the address is in use or the system is out
// of resources, it retries for up to bindTimeout or until ctx ends: after a restart, the previous process may still be
// serving its last requests.
func Listen(ctx context.Context, addr string) (*net.TCPListener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		if e := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, 1)
		}); e != nil {
			return e
		}
		return err
	}}
	for end := time.Now().Add(bindTimeout); ; time.Sleep(bindInterval) {
		ln, err := config.Listen(context.Background(), "tcp", addr)
		if err == nil {
			return ln.(*net.TCPListener), nil
		}
		if !isTransient(err) || time.Now().After(end) || ctx.Err() != nil {
			return nil, err
		}
	}
}

// isTransient returns whether a retry of socket, bind or listen may succeed after this error.
func isTransient(err error) bool {
	for _, errno := range []syscall.Errno{
		syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR,
		syscall.ENETDOWN, syscall.ENETUNREACH,
	} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// AddressInUse returns whether another process listens at addr.
func AddressInUse(addr string) bool {
	ln, err := net.Listen("tcp", addr)
	if err == nil {
		ln.Close()
	}
	return errors.Is(err, syscall.EADDRINUSE)
}
