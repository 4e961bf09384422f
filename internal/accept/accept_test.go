package accept

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
)

// failing is a listener whose accept fails with each of its errors before it works.
type failing struct {
	net.Listener
	errs []error
}

func (l *failing) Accept() (net.Conn, error) {
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		return nil, err
	}
	return l.Listener.Accept()
}

// Errors of accept are reported and retried; a closed listener is final.
func TestErrorsOfAcceptPass(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	l := &failing{Listener: ln}
	for _, errno := range []syscall.Errno{
		syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
		syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN, syscall.EPROTO, syscall.ETIMEDOUT, syscall.EPERM,
	} {
		l.errs = append(l.errs, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)})
	}
	want, told := len(l.errs), 0
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	conn, err := Next(l, func(error) { told++ })
	if err != nil || told != want {
		t.Fatalf("%v, told of %d errors of %d", err, told, want)
	}
	conn.Close()
	ln.Close()
	if _, err := Next(l, func(error) { t.Error("told of the end") }); !errors.Is(err, net.ErrClosed) {
		t.Fatal(err)
	}
}
