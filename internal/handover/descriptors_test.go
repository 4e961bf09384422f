package handover

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// A process that accepts the connection and sends nothing, because it hangs or is stopped, must not block the handover.
func TestSilentProcessTimesOut(t *testing.T) {
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: filepath.Join(t.TempDir(), "socket"), Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	conn, err := net.DialUnix("unix", nil, ln.Addr().(*net.UnixAddr))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	r := receiver{conn: conn}
	if line, descriptors, err := r.next(nil); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got line %q, descriptors %v and error %v, want %v", line, descriptors, err, os.ErrDeadlineExceeded)
	}
}
