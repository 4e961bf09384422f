package handover

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// Transient errors of bind are retried at a start. An address that is invalid or not permitted is an error at once.
func TestTransientBindErrorsAreRetried(t *testing.T) {
	for errno, want := range map[syscall.Errno]bool{
		syscall.EADDRINUSE: true, syscall.EADDRNOTAVAIL: true, syscall.ENFILE: true, syscall.EMFILE: true, syscall.ENOBUFS: true,
		syscall.ENOMEM: true, syscall.EINTR: true, syscall.ENETDOWN: true, syscall.ENETUNREACH: true,
		syscall.EACCES: false, syscall.EINVAL: false, syscall.EAFNOSUPPORT: false,
	} {
		if got := isTransient(&net.OpError{Op: "listen", Err: os.NewSyscallError("bind", errno)}); got != want {
			t.Errorf("%v: got transient %v, want %v", errno, got, want)
		}
	}
	start := time.Now()
	if ln, err := Listen(context.Background(), "127.0.0.1:no-port"); err == nil || time.Since(start) > bindTimeout/2 {
		t.Errorf("Listen at an invalid port: got listener %v and error %v after %v, want an error within %v", ln, err, time.Since(start), bindTimeout/2)
	}
}
