package accept

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
)

// failingListener is a listener whose Accept returns each of errs once before it accepts connections.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		return nil, err
	}
	return l.Listener.Accept()
}

// Transient errors of accept are reported and retried. A closed listener ends accepting.
func TestTransientAcceptErrorsAreRetried(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	l := &failingListener{Listener: ln}
	for _, errno := range []syscall.Errno{
		syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
		syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN, syscall.EPROTO, syscall.ETIMEDOUT, syscall.EPERM,
	} {
		l.errs = append(l.errs, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)})
	}
	want, reported := len(l.errs), 0
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	conn, err := Next(l, func(error) { reported++ })
	if err != nil || reported != want {
		t.Fatalf("got error %v and %d reported errors, want no error and %d reported errors", err, reported, want)
	}
	conn.Close()
	ln.Close()
	if _, err := Next(l, func(error) { t.Error("the error of a closed listener was reported as transient") }); !errors.Is(err, net.ErrClosed) {
		t.Fatalf("closed listener: got error %v, want %v", err, net.ErrClosed)
	}
}
