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

func socket(t testing.TB) *net.TCPListener {
	t.Helper()
	ln, err := Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

func offered(t *testing.T) (id ID, path string, ln *net.TCPListener, o *Server, heirs chan SuccessorState) {
	t.Helper()
	ln = socket(t)
	id = ID{Name: "n1", Listen: ln.Addr().String()}
	path, heirs = id.SocketPath(t.TempDir()), make(chan SuccessorState, 16)
	o, err := NewServer(path, id, ln, func() any { return map[string]int{"x": 7} }, func(h SuccessorState) { heirs <- h })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(o.Close)
	return
}

// The new process accepts what waits in the old one's queue, also after the old one has closed its socket. Guards against
// connections that die with a queue.
func TestNothingInTheQueueIsLost(t *testing.T) {
	id, path, ln, o, heirs := offered(t)
	b, err := Acquire(context.Background(), path, id, nil)
	if err != nil {
		t.Fatal(err)
	}
	if string(b.State) != `{"x":7}` {
		t.Fatalf("%s", b.State)
	}
	if h := <-heirs; h != SuccessorStarting {
		t.Fatal(h)
	}
	c, err := net.Dial("tcp", id.Listen) // waits in the queue
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write([]byte("hello"))
	b.NotifyServing()
	if h := <-heirs; h != SuccessorServing || o.Successor() != SuccessorServing {
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
	if h := <-heirs; h != NoSuccessor {
		t.Fatal(h)
	}
}

// A handed socket does not make the accepting one block a thread: it stays non-blocking, and closing it ends Accept.
func TestOldSocketStaysUsable(t *testing.T) {
	id, path, ln, _, _ := offered(t)
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

// While one starts another must wait; once the first has died it is served.
func TestOneHeirAtATime(t *testing.T) {
	id, path, _, _, heirs := offered(t)
	first, err := take(path, id, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := take(path, id, nil); !errors.Is(err, errHandoverInProgress) {
		t.Fatal(err)
	}
	<-heirs
	first.conn.Close()
	if h := <-heirs; h != NoSuccessor {
		t.Fatal(h)
	}
	second, err := Acquire(context.Background(), path, id, nil)
	if err != nil {
		t.Fatal(err)
	}
	second.conn.Close()
}

// The new process sees the old one's end, and offers at the same path meanwhile.
func TestEndOfTheOldOne(t *testing.T) {
	id, path, _, o, _ := offered(t)
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
		t.Fatal("gone while it is there")
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

// No file, and a file that a dead process left, both mean that nobody is there.
func TestNobodyThere(t *testing.T) {
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
	if _, err := NewServer(strings.Repeat("/x", 100), id, socket(t), nil, nil); err == nil {
		t.Fatal("a path that can't be had is taken")
	}
}

// What a process that is there answers is checked: each of these is refused, and no descriptor stays.
func TestBadAnswers(t *testing.T) {
	ln, other := socket(t), socket(t)
	id := ID{Name: "n1", Listen: ln.Addr().String()}
	good, _ := json.Marshal(hello{Version: version, ID: id})
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
		"without an end": {strings.Repeat("x", maxState+64<<10), []int{fd(ln)}},
	} {
		path := id.SocketPath(t.TempDir())
		door, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			conn, err := door.AcceptUnix()
			if err != nil {
				return
			}
			defer conn.Close()
			conn.Read(make([]byte, maxHello))
			var oob []byte
			if len(c.fds) > 0 {
				oob = syscall.UnixRights(c.fds...)
			}
			n, _, _ := conn.WriteMsgUnix([]byte(c.text), oob, nil)
			conn.Write([]byte(c.text)[n:])
		}()
		if b, err := take(path, id, nil); err == nil || errors.Is(err, ErrNoPredecessor) {
			t.Errorf("%s: taken: %v %v", name, b, err)
		}
		door.Close()
	}
	if _, err := ln.SyscallConn(); err != nil {
		t.Fatal(err)
	}
}

// What a process that starts says is checked: it gets nothing, and the next is served.
func TestBadHellos(t *testing.T) {
	id, path, _, o, _ := offered(t)
	hi := func(v int, id ID) string {
		b, _ := json.Marshal(hello{Version: v, ID: id})
		return string(b) + "\n"
	}
	for name, text := range map[string]string{
		"newer": hi(version+1, id), "of another": hi(version, ID{"n2", id.Listen}), "noise": "\x00\xff\n",
		"overlong": strings.Repeat("x", 2*maxHello), "empty": "\n",
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

// Two processes that know of each other's option share an address; one that does not is seen.
func TestSharedAddress(t *testing.T) {
	ln := socket(t)
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

// FuzzAnswer looks for bytes of a process that is there which break the reader.
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
		if b, err := ask(ends[1], ID{Name: "n1", Listen: "127.0.0.1:1"}, true); err == nil {
			t.Fatalf("taken without a socket: %v", b)
		}
	})
}

// A piece of work goes on in the process that follows: both connections come, and stay open when the one before closes
// its own. What is no work ends the taking, and leaves no descriptor.
func TestWorkGoesOn(t *testing.T) {
	id, path, ln, o, heirs := offered(t)
	works := make(chan Transfer, 16)
	b, err := Acquire(context.Background(), path, id, func(w Transfer) { works <- w })
	if err != nil {
		t.Fatal(err)
	}
	<-heirs
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
		t.Fatalf("handed to one that does not serve: %v", err)
	}
	b.NotifyServing()
	<-heirs
	// Long ones, at once: the system puts the end of one and the beginning of the next together.
	var passing sync.WaitGroup
	for range cap(works) {
		passing.Go(func() {
			if err := o.TransferStream(strings.Repeat("x", 100_000), client.(*net.TCPConn), server.(*net.TCPConn)); err != nil {
				t.Error(err)
			}
		})
	}
	var w, again Transfer
	for range cap(works) {
		w, again = again, <-works
		if len(again.Payload) != 100_002 {
			t.Fatalf("%d bytes", len(again.Payload))
		}
	}
	passing.Wait()
	if err := o.Notify([]string{"news"}); err != nil {
		t.Fatal(err)
	}
	if n := <-works; string(n.Payload) != `["news"]` || n.Client != nil || n.Server != nil {
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
