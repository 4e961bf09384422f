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

	workFiles = 2 // of a piece of work: the client's connection and the server's

	helloTimeout = 500 * time.Millisecond
	heirWait     = 10 * time.Second // for one that is there before to serve or to end
	heirStep     = 50 * time.Millisecond
)

// ID is which sidecar it is: both processes of an upgrade have the same.
type ID struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
}

// SocketPath is where the processes of a sidecar meet, in a directory they share.
func (id ID) SocketPath(dir string) string {
	sum := sha256.Sum256([]byte(id.Name + "\n" + id.Listen))
	return filepath.Join(dir, fmt.Sprintf("damsonscale-%x.sock", sum[:8]))
}

// hello is the first line of either side.
type hello struct {
	Version int `json:"version"`
	ID
	Busy  bool            `json:"busy,omitempty"`  // another is starting: ask again
	Takes bool            `json:"takes,omitempty"` // the new one goes on with pieces of work
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

// Predecessor is the process that was there when this one started.
type Predecessor struct {
	Listener net.Listener
	State    json.RawMessage

	conn *net.UnixConn
	gone chan struct{}
}

// Transfer is a piece of work that another process goes on with: what it is, and its two connections; or news, which have none.
type Transfer struct {
	Payload        json.RawMessage
	Client, Server net.Conn
}

// message is a line of the process that was there, after its hello.
type message struct {
	Work json.RawMessage `json:"work,omitempty"` // has two descriptors
	News json.RawMessage `json:"news,omitempty"` // has none
}

// files is how many descriptors come with a line.
func files(line []byte) int {
	var m message
	if json.Unmarshal(line, &m) == nil && m.Work != nil {
		return workFiles
	}
	return 0
}

// ErrNoPredecessor tells that no other process is there.
var ErrNoPredecessor = errors.New("no process is there")

var errHandoverInProgress = errors.New("another is starting")

// Acquire asks the process that is there for the listening socket. ErrNoPredecessor: there is none. Pieces of work that it hands over
// later are given to goOn, one call after another; nil: none are taken.
func Acquire(ctx context.Context, path string, id ID, goOn func(Transfer)) (*Predecessor, error) {
	for end := time.Now().Add(heirWait); ; {
		b, err := take(path, id, goOn)
		if !errors.Is(err, errHandoverInProgress) || time.Now().After(end) {
			return b, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(heirStep):
		}
	}
}

func take(path string, id ID, goOn func(Transfer)) (*Predecessor, error) {
	nc, err := net.DialTimeout("unix", path, helloTimeout)
	if err != nil {
		if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
			return nil, ErrNoPredecessor
		}
		return nil, fmt.Errorf("hand-over: %w", err)
	}
	conn := nc.(*net.UnixConn)
	b, err := ask(conn, id, goOn != nil)
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("hand-over: %w", err)
	}
	conn.SetDeadline(time.Time{})
	go func() {
		defer close(b.gone)
		if err := receiveWork(conn, goOn); err != nil {
			log.Printf("event=handover_of_work err=%q", err)
		}
		io.Copy(io.Discard, conn)
		conn.Close()
	}()
	return b, nil
}

func ask(conn *net.UnixConn, id ID, takes bool) (*Predecessor, error) {
	conn.SetDeadline(time.Now().Add(helloTimeout))
	if err := sameUser(conn); err != nil {
		return nil, err
	}
	if err := say(conn, hello{Version: version, ID: id, Takes: takes}); err != nil {
		return nil, err
	}
	line, files, err := (&receiver{conn: conn}).next(nil)
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
		return nil, errHandoverInProgress
	}
	ln, err := listenerOf(files, id.Listen)
	if err != nil {
		return nil, err
	}
	return &Predecessor{Listener: ln, State: h.State, conn: conn, gone: make(chan struct{})}, nil
}

// receiver reads lines and the descriptors that come with them. They come in order, those of a line with its first bytes;
// but the system puts the end of a long line and the beginning of the next together.
type receiver struct {
	conn  *net.UnixConn
	rest  []byte
	files []int
}

// next returns the next line and the first of the descriptors that have come, as many as belong to it; nil: all. Guards
// against descriptors of the next line that are taken for this one's.
func (r *receiver) next(belong func(line []byte) int) (line []byte, files []int, err error) {
	buf, oob := make([]byte, 16<<10), make([]byte, syscall.CmsgSpace(4*16))
	for {
		if i := bytes.IndexByte(r.rest, '\n'); i >= 0 {
			line, r.rest = r.rest[:i:i], r.rest[i+1:]
			n := len(r.files)
			if belong != nil {
				n = min(n, belong(line))
			}
			files, r.files = r.files[:n:n], r.files[n:]
			return line, files, nil
		}
		if len(r.rest) > maxState {
			err = fmt.Errorf("over %d bytes", maxState)
		}
		var n, on int
		if err == nil {
			n, on, _, _, err = r.conn.ReadMsgUnix(buf, oob)
			r.files = append(r.files, descriptors(oob[:on])...)
			r.rest = append(r.rest, buf[:n]...)
			if err == nil && n == 0 {
				err = io.ErrUnexpectedEOF
			}
		}
		if err != nil {
			files, r.files = r.files, nil
			return nil, files, fmt.Errorf("cut off: %w", err)
		}
	}
}

// receiveWork hands on what the process before hands over, until that ends.
func receiveWork(conn *net.UnixConn, goOn func(Transfer)) error {
	if goOn == nil {
		return nil
	}
	r := receiver{conn: conn}
	for {
		line, fds, err := r.next(files)
		if err != nil {
			closeAll(fds)
			if len(r.rest) == 0 && (errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF)) {
				return nil
			}
			return err
		}
		var m message
		if err := json.Unmarshal(line, &m); err != nil || len(fds) != files(line) {
			closeAll(fds)
			closeAll(r.files)
			return fmt.Errorf("unreadable, with %d connections: %v", len(fds), err)
		}
		if m.Work == nil {
			goOn(Transfer{Payload: m.News})
			continue
		}
		w := Transfer{Payload: m.Work}
		if w.Client, err = connOf(fds[0]); err == nil {
			w.Server, err = connOf(fds[1])
		} else {
			syscall.Close(fds[1])
		}
		if err != nil {
			if w.Client != nil {
				w.Client.Close()
			}
			return err
		}
		goOn(w)
	}
}

// connOf makes a connection of a descriptor.
func connOf(fd int) (net.Conn, error) {
	syscall.CloseOnExec(fd)
	f := os.NewFile(uintptr(fd), "handed over")
	defer f.Close()
	return net.FileConn(f)
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

// NotifyServing tells the process before that this one serves. A nil Before takes no word.
func (b *Predecessor) NotifyServing() {
	if b != nil {
		b.conn.SetWriteDeadline(time.Now().Add(helloTimeout))
		io.WriteString(b.conn, serving)
	}
}

// Done is closed once the process before has ended; of a nil Before it is closed already.
func (b *Predecessor) Done() <-chan struct{} {
	if b == nil {
		c := make(chan struct{})
		close(c)
		return c
	}
	return b.gone
}

// ---- The process that is there

// Server hands a listening socket to whoever starts beside this process.
type Server struct {
	id     ID
	path   string
	door   *net.UnixListener
	socket *net.TCPListener
	state  func() any
	heard  func(SuccessorState)

	mu    sync.Mutex
	heir  SuccessorState
	conn  *net.UnixConn // to the heir
	takes bool          // it goes on with pieces of work

	passing sync.Mutex // one piece of work is written at a time
}

// SuccessorState is how far a process beside this one has come.
type SuccessorState uint8

const (
	NoSuccessor       SuccessorState = iota
	SuccessorStarting                // it has the socket
	SuccessorServing                 // it accepts from it
)

// NewServer offers a socket at path from now on, in place of whoever did before. state gives what a new process is told;
// heard is called at each change of the heir, one call at a time.
func NewServer(path string, id ID, socket *net.TCPListener, state func() any, heard func(SuccessorState)) (*Server, error) {
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
	o := &Server{id: id, path: path, door: door, socket: socket, state: state, heard: heard}
	go o.serve()
	return o, nil
}

// Close offers no more. The file stays: a process that finds nobody there takes it for none.
func (o *Server) Close() {
	if o != nil {
		o.door.Close()
	}
}

// Successor tells how far a process beside this one has come; of a nil Offer there is none.
func (o *Server) Successor() SuccessorState {
	if o == nil {
		return NoSuccessor
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.heir
}

func (o *Server) serve() {
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
func (o *Server) meet(conn *net.UnixConn) {
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(helloTimeout))
	br := bufio.NewReader(io.LimitReader(conn, maxHello))
	if err := o.greet(conn, br); err != nil {
		if !errors.Is(err, errHandoverInProgress) {
			log.Printf("event=handover_refused err=%q", err)
		}
		return
	}
	defer o.set(NoSuccessor)
	log.Print("event=handover stage=starts")
	conn.SetDeadline(time.Time{})
	if line, err := br.ReadString('\n'); err != nil || line != serving {
		log.Print("event=handover stage=gone") // it died before it served
		return
	}
	o.set(SuccessorServing)
	log.Print("event=handover stage=serves")
	io.Copy(io.Discard, conn)
	log.Print("event=handover stage=gone")
}

// greet hands over what a process asks for, if it is of this sidecar and no other is starting.
func (o *Server) greet(conn *net.UnixConn, br *bufio.Reader) error {
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
	if !o.claim(conn, h.Takes) {
		answer.Busy = true
		say(conn, answer)
		return errHandoverInProgress
	}
	if answer.State, err = json.Marshal(o.state()); err == nil {
		err = say(conn, answer, o.socket)
	}
	if err != nil {
		o.set(NoSuccessor)
	}
	return err
}

// claim makes a process the heir unless there is one.
func (o *Server) claim(conn *net.UnixConn, takes bool) bool {
	o.mu.Lock()
	free := o.heir == NoSuccessor
	if free {
		o.heir, o.conn, o.takes = SuccessorStarting, conn, takes
	}
	o.mu.Unlock()
	if free {
		o.heard(SuccessorStarting)
	}
	return free
}

func (o *Server) set(h SuccessorState) {
	o.mu.Lock()
	o.heir = h
	o.mu.Unlock()
	o.heard(h)
}

// ErrNoSuccessor tells that no other process takes work.
var ErrNoSuccessor = errors.New("no process takes work")

// TransferStream hands a piece of work with its two connections to the process that follows. Once it has returned nil this process
// must close both without a word.
func (o *Server) TransferStream(about any, client, server syscall.Conn) error {
	body, err := json.Marshal(about)
	if err != nil {
		return err
	}
	return o.write(message{Work: body}, client, server)
}

// Notify tells the process that follows.
func (o *Server) Notify(news any) error {
	body, err := json.Marshal(news)
	if err != nil {
		return err
	}
	return o.write(message{News: body})
}

func (o *Server) write(m message, sockets ...syscall.Conn) error {
	if o == nil {
		return ErrNoSuccessor
	}
	o.mu.Lock()
	conn, ready := o.conn, o.heir == SuccessorServing && o.takes
	o.mu.Unlock()
	if !ready {
		return ErrNoSuccessor
	}
	line, err := json.Marshal(m)
	if err != nil {
		return err
	}
	if len(line) >= maxState {
		return fmt.Errorf("%d bytes, over %d", len(line), maxState)
	}
	o.passing.Lock()
	defer o.passing.Unlock()
	conn.SetWriteDeadline(time.Now().Add(helloTimeout))
	return send(conn, append(line, '\n'), sockets...)
}

// say writes a hello, with sockets attached.
func say(conn *net.UnixConn, h hello, sockets ...syscall.Conn) error {
	line, err := json.Marshal(h)
	if err != nil {
		return err
	}
	return send(conn, append(line, '\n'), sockets...)
}

// send writes a line with sockets attached: the descriptors themselves, not copies by File, since making such a copy would
// set the shared socket to blocking.
func send(conn *net.UnixConn, line []byte, sockets ...syscall.Conn) (err error) {
	var fds []int
	var within func(rest []syscall.Conn) error
	within = func(rest []syscall.Conn) error { // all are held open until the line has gone
		if len(rest) == 0 {
			var oob []byte
			if len(fds) > 0 {
				oob = syscall.UnixRights(fds...)
			}
			n, _, err := conn.WriteMsgUnix(line, oob, nil)
			if err == nil && n < len(line) {
				_, err = conn.Write(line[n:])
			}
			return err
		}
		raw, err := rest[0].SyscallConn()
		if err != nil {
			return err
		}
		var failed error
		if err := raw.Control(func(fd uintptr) {
			fds = append(fds, int(fd))
			failed = within(rest[1:])
		}); err != nil {
			return err
		}
		return failed
	}
	return within(sockets)
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
