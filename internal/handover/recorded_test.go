package handover

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// recordedID is the sidecar in testdata/2029d41.
var recordedID = ID{Name: "n1", Listen: "127.0.0.1:18080"}

// recorded returns the bytes of a file that the build of commit 2029d41 wrote.
func recorded(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "2029d41", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// fdOf returns the descriptor of a socket, which stays its owner's.
func fdOf(t *testing.T, c syscall.Conn) (fd int) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(x uintptr) { fd = int(x) })
	return fd
}

// The old process of today writes byte for byte what the build of 2029d41 wrote.
func TestOldProcessWritesRecordedMessages(t *testing.T) {
	ln := listen(t)
	path := recordedID.SocketPath(t.TempDir())
	states := make(chan SuccessorState, 16)
	o, err := NewServer(path, recordedID, ln, func() any { return json.RawMessage(strings.TrimSpace(recorded(t, "state.json"))) }, func(h SuccessorState) { states <- h })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(o.Close)
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(20 * time.Second))
		hello, _, _ := strings.Cut(recorded(t, "new_process.txt"), "\n")
		if _, err := c.Write([]byte(hello + "\n")); err != nil {
			t.Fatal(err)
		}
		return c, bufio.NewReader(c)
	}
	var got strings.Builder
	read := func(br *bufio.Reader) {
		t.Helper()
		line, err := br.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		got.WriteString(line)
	}
	c, br := dial()
	read(br)
	_, other := dial() // while the first starts
	read(other)
	<-states
	if _, err := c.Write([]byte(servingLine)); err != nil {
		t.Fatal(err)
	}
	if h := <-states; h != SuccessorServing {
		t.Fatal(h)
	}
	a, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	for _, name := range []string{"stream.json", "stream_of_known_length.json"} {
		if err := o.TransferStream(json.RawMessage(strings.TrimSpace(recorded(t, name))), a.(*net.TCPConn), a.(*net.TCPConn)); err != nil {
			t.Fatal(err)
		}
		read(br)
	}
	if err := o.Notify(json.RawMessage(strings.TrimSpace(recorded(t, "open_requests.json")))); err != nil {
		t.Fatal(err)
	}
	read(br)
	if want := recorded(t, "old_process.txt"); got.String() != want {
		t.Fatalf("wrote\n%s\nthe build of 2029d41 wrote\n%s", got.String(), want)
	}
}

// The new process of today reads what the build of 2029d41 wrote, and writes byte for byte what that one wrote.
func TestNewProcessReadsRecordedMessages(t *testing.T) {
	ln := listen(t)
	id := ID{Name: recordedID.Name, Listen: ln.Addr().String()}
	here := strings.NewReplacer(recordedID.Listen, id.Listen) // the descriptor's address is checked
	back := strings.NewReplacer(id.Listen, recordedID.Listen)
	lines := strings.SplitAfter(here.Replace(recorded(t, "old_process.txt")), "\n")
	path := id.SocketPath(t.TempDir())
	unixListener, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer unixListener.Close()
	pair, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer pair.Close()
	wrote := make(chan string, 1)
	go func() { // the old process
		busy, err := unixListener.AcceptUnix()
		if err != nil {
			wrote <- err.Error()
			return
		}
		bufio.NewReader(busy).ReadString('\n')
		busy.Write([]byte(lines[1]))
		busy.Close()
		c, err := unixListener.AcceptUnix()
		if err != nil {
			wrote <- err.Error()
			return
		}
		defer c.Close()
		br := bufio.NewReader(c)
		hello, _ := br.ReadString('\n')
		c.WriteMsgUnix([]byte(lines[0]), syscall.UnixRights(fdOf(t, ln)), nil)
		served, _ := br.ReadString('\n')
		fd := fdOf(t, pair.(*net.TCPConn))
		for _, line := range lines[2:4] {
			c.WriteMsgUnix([]byte(line), syscall.UnixRights(fd, fd), nil)
		}
		c.Write([]byte(lines[4]))
		wrote <- hello + served
	}()
	transfers := make(chan Transfer, 16)
	b, err := Acquire(context.Background(), path, id, func(w Transfer) { transfers <- w })
	if err != nil {
		t.Fatal(err)
	}
	defer b.Listener.Close()
	if want := strings.TrimSpace(recorded(t, "state.json")); string(b.State) != want {
		t.Errorf("state %s, expected %s", b.State, want)
	}
	b.NotifyServing()
	if got, want := back.Replace(<-wrote), recorded(t, "new_process.txt"); got != want {
		t.Errorf("wrote\n%s\nthe build of 2029d41 wrote\n%s", got, want)
	}
	for _, c := range []struct {
		name    string
		sockets bool
	}{{"stream.json", true}, {"stream_of_known_length.json", true}, {"open_requests.json", false}} {
		w := <-transfers
		if want := strings.TrimSpace(recorded(t, c.name)); string(w.Payload) != want {
			t.Errorf("%s: read %s, expected %s", c.name, w.Payload, want)
		}
		if (w.Client != nil) != c.sockets || (w.Server != nil) != c.sockets {
			t.Errorf("%s: connections %v and %v", c.name, w.Client, w.Server)
		}
		if w.Client != nil {
			w.Client.Close()
			w.Server.Close()
		}
	}
}
