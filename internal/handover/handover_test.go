package handover

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

func listen(t testing.TB) *net.TCPListener {
	t.Helper()
	ln, err := Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

func startServer(t *testing.T) (id ID, path string, ln *net.TCPListener, o *Server, states chan SuccessorState) {
	t.Helper()
	ln = listen(t)
	id = ID{Name: "n1", Listen: ln.Addr().String()}
	path, states = id.SocketPath(t.TempDir()), make(chan SuccessorState, 16)
	o, err := NewServer(path, id, ln, func() any { return map[string]int{"x": 7} }, func(h SuccessorState) { states <- h })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(o.Close)
	return
}

// The successor accepts connections that wait in the shared queue after the old process has closed its socket.
func TestQueuedConnectionsSurviveTheOldProcess(t *testing.T) {
	id, path, ln, o, states := startServer(t)
	b, err := Acquire(context.Background(), path, id, nil)
	if err != nil {
		t.Fatal(err)
	}
	if string(b.State) != `{"x":7}` {
		t.Fatalf("%s", b.State)
	}
	if h := <-states; h != SuccessorStarting {
		t.Fatal(h)
	}
	c, err := net.Dial("tcp", id.Listen) // waits in the queue
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write([]byte("hello"))
	b.NotifyServing()
	if h := <-states; h != SuccessorServing || o.Successor() != SuccessorServing {
		t.Fatal(h)
	}
	ln.Close()
	got, err := b.Listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer got.Close()
	text := make([]byte, 5)
	if _, err := got.Read(text); err != nil || string(text) != "hello" {
		t.Fatalf("%q %v", text, err)
	}
	b.conn.Close() // it dies
	if h := <-states; h != NoSuccessor {
		t.Fatal(h)
	}
}

// Handing the socket over leaves it non-blocking in the old process: closing it ends Accept.
func TestOldSocketStaysUsable(t *testing.T) {
	id, path, ln, _, _ := startServer(t)
	b, err := Acquire(context.Background(), path, id, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer b.Listener.Close()
	done := make(chan error, 1)
	go func() {
		_, err := ln.Accept()
		done <- err
	}()
	ln.Close()
	if err := <-done; !errors.Is(err, net.ErrClosed) {
		t.Fatal(err)
	}
}

// A second successor is told to wait; once the first has exited it is served.
func TestOneSuccessorAtATime(t *testing.T) {
	id, path, _, _, states := startServer(t)
	first, err := acquireOnce(path, id, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := acquireOnce(path, id, nil); !errors.Is(err, errHandoverInProgress) {
		t.Fatal(err)
	}
	<-states
	first.conn.Close()
	if h := <-states; h != NoSuccessor {
		t.Fatal(h)
	}
	second, err := Acquire(context.Background(), path, id, nil)
	if err != nil {
		t.Fatal(err)
	}
	second.conn.Close()
}

// The successor learns of its predecessor's exit, and serves the next successor at the same path meanwhile.
func TestPredecessorExit(t *testing.T) {
	id, path, _, o, _ := startServer(t)
	b, err := Acquire(context.Background(), path, id, nil)
	if err != nil {
		t.Fatal(err)
	}
	next, err := NewServer(path, id, b.Listener.(*net.TCPListener), func() any { return nil }, func(SuccessorState) {})
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	select {
	case <-b.Done():
		t.Fatal("Done is closed while the predecessor runs")
	default:
	}
	o.Close()
	b.conn.CloseRead() // as its end does
	<-b.Done()
	if after, err := Acquire(context.Background(), path, id, nil); err != nil {
		t.Fatal(err)
	} else {
		after.conn.Close()
	}
}

// No socket file, and one that a dead process left, both mean that there is no predecessor.
func TestNoPredecessor(t *testing.T) {
	id := ID{Name: "n1", Listen: "127.0.0.1:1"}
	path := id.SocketPath(t.TempDir())
	if _, err := Acquire(context.Background(), path, id, nil); err != ErrNoPredecessor {
		t.Fatal(err)
	}
	left, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	left.SetUnlinkOnClose(false)
	left.Close()
	if _, err := Acquire(context.Background(), path, id, nil); err != ErrNoPredecessor {
		t.Fatal(err)
	}
	(*Predecessor)(nil).NotifyServing()
	<-(*Predecessor)(nil).Done()
	if h := (*Server)(nil).Successor(); h != NoSuccessor {
		t.Fatal(h)
	}
	if _, err := NewServer(strings.Repeat("/x", 100), id, listen(t), nil, nil); err == nil {
		t.Fatal("a path that is too long is accepted")
	}
}

// An invalid answer of the predecessor is an error.
func TestInvalidAnswersAreRejected(t *testing.T) {
	ln, other := listen(t), listen(t)
	id := ID{Name: "n1", Listen: ln.Addr().String()}
	good, _ := json.Marshal(hello{Version: protocolVersion, ID: id})
	line := string(good) + "\n"
	fd := func(l *net.TCPListener) (fd int) {
		raw, _ := l.SyscallConn()
		raw.Control(func(x uintptr) { fd = int(x) })
		return
	}
	plain, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	defer plain.Close()
	for name, c := range map[string]struct {
		text string
		fds  []int
	}{
		"newer":          {strings.Replace(line, `"version":1`, `"version":2`, 1), []int{fd(ln)}},
		"of another":     {strings.Replace(line, `"n1"`, `"n2"`, 1), []int{fd(ln)}},
		"noise":          {"noise\n", []int{fd(ln)}},
		"cut off":        {line[:10], []int{fd(ln)}},
		"nothing":        {"", nil},
		"no socket":      {line, nil},
		"two sockets":    {line, []int{fd(ln), fd(ln)}},
		"other address":  {line, []int{fd(other)}},
		"no listener":    {line, []int{int(plain.Fd())}},
		"without an end": {strings.Repeat("x", maxMessageBytes+64<<10), []int{fd(ln)}},
	} {
		path := id.SocketPath(t.TempDir())
		unixListener, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			conn, err := unixListener.AcceptUnix()
			if err != nil {
				return
			}
			defer conn.Close()
			conn.Read(make([]byte, maxHelloBytes))
			var oob []byte
			if len(c.fds) > 0 {
				oob = syscall.UnixRights(c.fds...)
			}
			n, _, _ := conn.WriteMsgUnix([]byte(c.text), oob, nil)
			conn.Write([]byte(c.text)[n:])
		}()
		if b, err := acquireOnce(path, id, nil); err == nil || errors.Is(err, ErrNoPredecessor) {
			t.Errorf("%s: accepted: %v %v", name, b, err)
		}
		unixListener.Close()
	}
	if _, err := ln.SyscallConn(); err != nil {
		t.Fatal(err)
	}
}

// A successor with an invalid hello gets no answer, and the next one is served.
func TestInvalidHellosAreRejected(t *testing.T) {
	id, path, _, o, _ := startServer(t)
	hi := func(v int, id ID) string {
		b, _ := json.Marshal(hello{Version: v, ID: id})
		return string(b) + "\n"
	}
	for name, text := range map[string]string{
		"newer": hi(protocolVersion+1, id), "of another": hi(protocolVersion, ID{"n2", id.Listen}), "noise": "\x00\xff\n",
		"overlong": strings.Repeat("x", 2*maxHelloBytes), "empty": "\n",
	} {
		c, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(20 * time.Second))
		c.Write([]byte(text))
		var got bytes.Buffer
		got.ReadFrom(c)
		if got.Len() > 0 {
			t.Errorf("%s: answered %q", name, got.Bytes())
		}
		c.Close()
	}
	if o.Successor() != NoSuccessor {
		t.Fatal(o.Successor())
	}
	b, err := Acquire(context.Background(), path, id, nil)
	if err != nil {
		t.Fatal(err)
	}
	b.conn.Close()
}

// Two processes that use Listen share an address; AddressInUse sees both.
func TestSharedAddress(t *testing.T) {
	ln := listen(t)
	addr := ln.Addr().String()
	if !AddressInUse(addr) {
		t.Fatal("free while it is held")
	}
	second, err := Listen(context.Background(), addr)
	if err != nil {
		t.Fatal(err)
	}
	second.Close()
	ln.Close()
	if AddressInUse(addr) {
		t.Fatal("held while it is free")
	}
}

// FuzzAnswer looks for bytes of a predecessor that break the reader.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(`{"version":1,"name":"n1","listen":"127.0.0.1:1","state":{"drained":true}}` + "\n"))
	f.Add([]byte("{}\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
		if err != nil {
			t.Skip(err)
		}
		ends := [2]*net.UnixConn{}
		for i, fd := range fds {
			file := os.NewFile(uintptr(fd), "pair")
			c, err := net.FileConn(file)
			file.Close()
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			ends[i] = c.(*net.UnixConn)
		}
		ends[0].Write(text)
		ends[0].CloseWrite()
		if b, err := exchangeHellos(ends[1], ID{Name: "n1", Listen: "127.0.0.1:1"}, true); err == nil {
			t.Fatalf("accepted without a socket: %v", b)
		}
	})
}

// A transferred stream's two connections arrive, and stay open when the old process closes its own. A notice has none.
func TestStreamsAreTransferred(t *testing.T) {
	id, path, ln, o, states := startServer(t)
	transfers := make(chan Transfer, 16)
	b, err := Acquire(context.Background(), path, id, func(w Transfer) { transfers <- w })
	if err != nil {
		t.Fatal(err)
	}
	<-states
	pair := func() (here, there net.Conn) {
		there, err := net.Dial("tcp", id.Listen)
		if err != nil {
			t.Fatal(err)
		}
		if here, err = ln.Accept(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { here.Close(); there.Close() })
		return
	}
	client, atClient := pair()
	server, atServer := pair()
	if err := o.TransferStream("early", client.(*net.TCPConn), server.(*net.TCPConn)); err != ErrNoSuccessor {
		t.Fatalf("transferred to a successor that does not serve: %v", err)
	}
	b.NotifyServing()
	<-states
	// Long messages in parallel: one read returns the end of one and the beginning of the next.
	var senders sync.WaitGroup
	for range cap(transfers) {
		senders.Go(func() {
			if err := o.TransferStream(strings.Repeat("x", 100_000), client.(*net.TCPConn), server.(*net.TCPConn)); err != nil {
				t.Error(err)
			}
		})
	}
	var w, again Transfer
	for range cap(transfers) {
		w, again = again, <-transfers
		if len(again.Payload) != 100_002 {
			t.Fatalf("%d bytes", len(again.Payload))
		}
	}
	senders.Wait()
	if err := o.Notify([]string{"news"}); err != nil {
		t.Fatal(err)
	}
	if n := <-transfers; string(n.Payload) != `["news"]` || n.Client != nil || n.Server != nil {
		t.Fatalf("%s %v", n.Payload, n.Client)
	}
	client.Close()
	server.Close()
	for there, here := range map[net.Conn]net.Conn{atClient: w.Client, atServer: again.Server} {
		there.Write([]byte("hello"))
		text := make([]byte, 5)
		if _, err := here.Read(text); err != nil || string(text) != "hello" {
			t.Fatalf("%q %v", text, err)
		}
	}
	if err := (*Server)(nil).TransferStream("x", nil, nil); err != ErrNoSuccessor {
		t.Fatal(err)
	}
}
