// Package handover passes a sidecar's listening socket from the process that is there to the one that starts beside it.
//
// The process that is there listens on a Unix socket and answers a hello with its own, to which the listening socket is
// attached. Either side sees the other's end as the end of that connection. Nothing here tells a process to end.
package handover

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	version  = 1
	maxHello = 4 << 10
	maxState = 1 << 20

	helloTimeout = 500 * time.Millisecond
	heirWait     = 10 * time.Second // for one that is there before to serve or to end
	heirStep     = 50 * time.Millisecond
)

// ID is which sidecar it is: both processes of an upgrade have the same.
type ID struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
}

// Path is where the processes of a sidecar meet, in a directory they share.
func (id ID) Path(dir string) string {
	sum := sha256.Sum256([]byte(id.Name + "\n" + id.Listen))
	return filepath.Join(dir, fmt.Sprintf("damsonscale-%x.sock", sum[:8]))
}

// hello is the first line of either side.
type hello struct {
	Version int `json:"version"`
	ID
	Busy  bool            `json:"busy,omitempty"`  // another is starting: ask again
	State json.RawMessage `json:"state,omitempty"` // what the one that is there tells
}

// serving is the line by which the new process says that it serves.
const serving = "serving\n"

// check tells why a hello is not of this sidecar.
func (h *hello) check(id ID) error {
	switch {
	case h.Version != version:
		return fmt.Errorf("version %d, expected %d", h.Version, version)
	case h.ID != id:
		return fmt.Errorf("of sidecar %s at %s", h.Name, h.Listen)
	}
	return nil
}

// ---- The new process

// Before is the process that was there when this one started.
type Before struct {
	Listener net.Listener
	State    json.RawMessage

	conn *net.UnixConn
	gone chan struct{}
}

// ErrNone tells that no other process is there.
var ErrNone = errors.New("no process is there")

var errBusy = errors.New("another is starting")

// Take asks the process that is there for the listening socket. ErrNone: there is none.
func Take(ctx context.Context, path string, id ID) (*Before, error) {
	for end := time.Now().Add(heirWait); ; {
		b, err := take(path, id)
		if !errors.Is(err, errBusy) || time.Now().After(end) {
			return b, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(heirStep):
		}
	}
}

func take(path string, id ID) (*Before, error) {
	nc, err := net.DialTimeout("unix", path, helloTimeout)
	if err != nil {
		if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
			return nil, ErrNone
		}
		return nil, fmt.Errorf("hand-over: %w", err)
	}
	conn := nc.(*net.UnixConn)
	b, err := ask(conn, id)
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("hand-over: %w", err)
	}
	conn.SetDeadline(time.Time{})
	go func() {
		defer close(b.gone)
		io.Copy(io.Discard, conn) // it says nothing more
		conn.Close()
	}()
	return b, nil
}

func ask(conn *net.UnixConn, id ID) (*Before, error) {
	conn.SetDeadline(time.Now().Add(helloTimeout))
	if err := sameUser(conn); err != nil {
		return nil, err
	}
	if err := say(conn, hello{Version: version, ID: id}, nil); err != nil {
		return nil, err
	}
	line, files, err := receive(conn)
	if err != nil {
		closeAll(files)
		return nil, err
	}
	var h hello
	if err := json.Unmarshal(line, &h); err != nil {
		closeAll(files)
		return nil, fmt.Errorf("unreadable: %w", err)
	}
	if err := h.check(id); err != nil {
		closeAll(files)
		return nil, err
	}
	if h.Busy {
		closeAll(files)
		return nil, errBusy
	}
	ln, err := listenerOf(files, id.Listen)
	if err != nil {
		return nil, err
	}
	return &Before{Listener: ln, State: h.State, conn: conn, gone: make(chan struct{})}, nil
}

// receive reads one line and the descriptors that came with it.
func receive(conn *net.UnixConn) (line []byte, files []int, err error) {
	buf, oob := make([]byte, 16<<10), make([]byte, syscall.CmsgSpace(4*16))
	for {
		n, on, _, _, err := conn.ReadMsgUnix(buf, oob)
		files = append(files, descriptors(oob[:on])...)
		line = append(line, buf[:n]...)
		if i := bytes.IndexByte(line, '\n'); i >= 0 {
			return line[:i], files, nil
		}
		switch {
		case err != nil:
			return nil, files, fmt.Errorf("cut off: %w", err)
		case n == 0:
			return nil, files, fmt.Errorf("cut off: %w", io.ErrUnexpectedEOF)
		case len(line) > maxState:
			return nil, files, fmt.Errorf("over %d bytes", maxState)
		}
	}
}

// descriptors are those in control messages, each to be closed by the caller.
func descriptors(oob []byte) (all []int) {
	messages, err := syscall.ParseSocketControlMessage(oob)
	if err != nil {
		return nil
	}
	for _, m := range messages {
		if fds, err := syscall.ParseUnixRights(&m); err == nil {
			all = append(all, fds...)
		}
	}
	return all
}

func closeAll(files []int) {
	for _, fd := range files {
		syscall.Close(fd)
	}
}

// listenerOf makes a listener of the one descriptor that came. Guards against one that is no listening socket, or one
// of another address.
func listenerOf(files []int, addr string) (net.Listener, error) {
	if len(files) != 1 {
		closeAll(files)
		return nil, fmt.Errorf("%d sockets came, expected one", len(files))
	}
	syscall.CloseOnExec(files[0])
	if on, err := syscall.GetsockoptInt(files[0], syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil || on == 0 {
		closeAll(files)
		return nil, fmt.Errorf("what came does not listen")
	}
	f := os.NewFile(uintptr(files[0]), "handed over")
	defer f.Close()
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	if ln.Addr().Network() != "tcp" || ln.Addr().String() != addr {
		ln.Close()
		return nil, fmt.Errorf("a socket at %s came, expected %s", ln.Addr(), addr)
	}
	return ln, nil
}

// Serving tells the process before that this one serves. A nil Before takes no word.
func (b *Before) Serving() {
	if b != nil {
		b.conn.SetWriteDeadline(time.Now().Add(helloTimeout))
		io.WriteString(b.conn, serving)
	}
}

// Gone is closed once the process before has ended; of a nil Before it is closed already.
func (b *Before) Gone() <-chan struct{} {
	if b == nil {
		c := make(chan struct{})
		close(c)
		return c
	}
	return b.gone
}

// ---- The process that is there

// Offer hands a listening socket to whoever starts beside this process.
type Offer struct {
	id     ID
	path   string
	door   *net.UnixListener
	socket *net.TCPListener
	state  func() any
	heard  func(Heir)

	mu   sync.Mutex
	heir Heir
}

// Heir is how far a process beside this one has come.
type Heir uint8

const (
	NoHeir Heir = iota
	Starts      // it has the socket
	Serves      // it accepts from it
)

// NewOffer offers a socket at path from now on, in place of whoever did before. state gives what a new process is told;
// heard is called at each change of the heir, one call at a time.
func NewOffer(path string, id ID, socket *net.TCPListener, state func() any, heard func(Heir)) (*Offer, error) {
	fresh := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(fresh)
	door, err := net.ListenUnix("unix", &net.UnixAddr{Name: fresh, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("hand-over: %w", err)
	}
	door.SetUnlinkOnClose(false) // the path may be another's by then
	os.Chmod(fresh, 0o600)
	if err := os.Rename(fresh, path); err != nil {
		door.Close()
		os.Remove(fresh)
		return nil, fmt.Errorf("hand-over: %w", err)
	}
	o := &Offer{id: id, path: path, door: door, socket: socket, state: state, heard: heard}
	go o.serve()
	return o, nil
}

// Close offers no more. The file stays: a process that finds nobody there takes it for none.
func (o *Offer) Close() {
	if o != nil {
		o.door.Close()
	}
}

// Heir tells how far a process beside this one has come; of a nil Offer there is none.
func (o *Offer) Heir() Heir {
	if o == nil {
		return NoHeir
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.heir
}

func (o *Offer) serve() {
	for {
		conn, err := o.door.AcceptUnix()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			time.Sleep(heirStep)
		default:
			go o.meet(conn)
		}
	}
}

// meet serves one process to its end.
func (o *Offer) meet(conn *net.UnixConn) {
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(helloTimeout))
	br := bufio.NewReader(io.LimitReader(conn, maxHello))
	if err := o.greet(conn, br); err != nil {
		if !errors.Is(err, errBusy) {
			log.Printf("event=handover_refused err=%q", err)
		}
		return
	}
	defer o.set(NoHeir)
	log.Print("event=handover stage=starts")
	conn.SetDeadline(time.Time{})
	if line, err := br.ReadString('\n'); err != nil || line != serving {
		log.Print("event=handover stage=gone") // it died before it served
		return
	}
	o.set(Serves)
	log.Print("event=handover stage=serves")
	io.Copy(io.Discard, conn)
	log.Print("event=handover stage=gone")
}

// greet hands over what a process asks for, if it is of this sidecar and no other is starting.
func (o *Offer) greet(conn *net.UnixConn, br *bufio.Reader) error {
	if err := sameUser(conn); err != nil {
		return err
	}
	line, err := br.ReadBytes('\n')
	if err != nil {
		return err
	}
	var h hello
	if err := json.Unmarshal(line, &h); err != nil {
		return err
	}
	if err := h.check(o.id); err != nil {
		return err
	}
	answer := hello{Version: version, ID: o.id}
	if !o.claim() {
		answer.Busy = true
		say(conn, answer, nil)
		return errBusy
	}
	if answer.State, err = json.Marshal(o.state()); err == nil {
		err = say(conn, answer, o.socket)
	}
	if err != nil {
		o.set(NoHeir)
	}
	return err
}

// claim makes a process the heir unless there is one.
func (o *Offer) claim() bool {
	o.mu.Lock()
	free := o.heir == NoHeir
	if free {
		o.heir = Starts
	}
	o.mu.Unlock()
	if free {
		o.heard(Starts)
	}
	return free
}

func (o *Offer) set(h Heir) {
	o.mu.Lock()
	o.heir = h
	o.mu.Unlock()
	o.heard(h)
}

// say writes a line, with a socket attached unless that is nil.
func say(conn *net.UnixConn, h hello, socket *net.TCPListener) error {
	line, err := json.Marshal(h)
	if err != nil {
		return err
	}
	line = append(line, '\n')
	if socket == nil {
		_, err = conn.Write(line)
		return err
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var sent int
	var failed error
	// The descriptor itself, not a copy by File: making that copy would set the shared socket to blocking.
	if err := raw.Control(func(fd uintptr) {
		sent, _, failed = conn.WriteMsgUnix(line, syscall.UnixRights(int(fd)), nil)
	}); err != nil {
		return err
	}
	if failed == nil && sent < len(line) {
		_, failed = conn.Write(line[sent:])
	}
	return failed
}

// sameUser tells whether the other side is this program's user.
func sameUser(conn *net.UnixConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var who *syscall.Ucred
	var failed error
	if err := raw.Control(func(fd uintptr) {
		who, failed = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	}); err != nil {
		return err
	}
	if failed != nil {
		return failed
	}
	if int(who.Uid) != os.Geteuid() {
		return fmt.Errorf("peer is of user %d", who.Uid)
	}
	return nil
}
