package handover

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// A process that accepts the connection and then says nothing, as one that hangs or is stopped, ends the handover by an
// error.
func TestSilentPeerTimesOut(t *testing.T) {
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
		t.Errorf("line %q, descriptors %v, error %v", line, descriptors, err)
	}
}
