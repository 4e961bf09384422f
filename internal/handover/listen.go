package handover

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	soReusePort = 0xf // SO_REUSEPORT of Linux, which package syscall lacks

	bindFor   = 10 * time.Second // a process that does not share the address may still hold it
	bindEvery = 20 * time.Millisecond
)

// Listen binds an address that the process before may hold as well, or still holds: it tries for a while, also where the system
// lacks something that comes back. Guards against a restart that ends in a crash because the one before it is still answering.
func Listen(ctx context.Context, addr string) (*net.TCPListener, error) {
	shared := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		if e := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, 1)
		}); e != nil {
			return e
		}
		return err
	}}
	for end := time.Now().Add(bindFor); ; time.Sleep(bindEvery) {
		ln, err := shared.Listen(context.Background(), "tcp", addr)
		if err == nil {
			return ln.(*net.TCPListener), nil
		}
		if !passes(err) || time.Now().After(end) || ctx.Err() != nil {
			return nil, err
		}
	}
}

// passes tells whether an error of socket, bind or listen may be over within moments.
func passes(err error) bool {
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

// AddressInUse tells whether another process listens at an address.
func AddressInUse(addr string) bool {
	ln, err := net.Listen("tcp", addr)
	if err == nil {
		ln.Close()
	}
	return errors.Is(err, syscall.EADDRINUSE)
}
