package handover

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// A lack that passes is waited out at a start; an address that can't be had, or makes no sense, is an error at once.
func TestErrorsOfBindThatPass(t *testing.T) {
	for errno, want := range map[syscall.Errno]bool{
		syscall.EADDRINUSE: true, syscall.EADDRNOTAVAIL: true, syscall.ENFILE: true, syscall.EMFILE: true, syscall.ENOBUFS: true,
		syscall.ENOMEM: true, syscall.EINTR: true, syscall.ENETDOWN: true, syscall.ENETUNREACH: true,
		syscall.EACCES: false, syscall.EINVAL: false, syscall.EAFNOSUPPORT: false,
	} {
		if got := isTransient(&net.OpError{Op: "listen", Err: os.NewSyscallError("bind", errno)}); got != want {
			t.Errorf("%v passes: %v", errno, got)
		}
	}
	began := time.Now()
	if ln, err := Listen(context.Background(), "127.0.0.1:no-port"); err == nil || time.Since(began) > bindTimeout/2 {
		t.Errorf("%v %v after %v", ln, err, time.Since(began))
	}
}
