package handover

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"damsonscale/internal/eventlog"
)

// Names of events. The state of a successor is starting, serving or exited.
const (
	eventSuccessor     = "handover_successor"
	eventRejected      = "handover_rejected"
	eventReceiveFailed = "handover_receive_failed"
)

// SuccessorState is how far the process that replaces this one has come.
type SuccessorState uint8

// States of a successor.
const (
	NoSuccessor       SuccessorState = iota
	SuccessorStarting                // it has the listening socket and doesn't accept from it yet
	SuccessorServing                 // it accepts connections from the socket
)

// Server offers the listening socket to a successor, and transfers streams to it. Its methods may be called on a nil
// Server, which has no successor.
type Server struct {
	id       ID
	listener *net.UnixListener // where successors connect
	socket   *net.TCPListener  // where clients connect
	state    func() any
	onChange func(SuccessorState)

	mu               sync.Mutex
	successor        SuccessorState
	conn             *net.UnixConn // to the successor
	acceptsTransfers bool

	sending sync.Mutex // one transfer is written at a time
}

// NewServer offers socket at path from now on, in place of the process that did before. state returns what a successor
// is told of this process; onChange is called at each change of the successor's state, one call at a time.
func NewServer(path string, id ID, socket *net.TCPListener, state func() any, onChange func(SuccessorState)) (*Server, error) {
	fresh := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(fresh)
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: fresh, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	ln.SetUnlinkOnClose(false) // by then the path may be another process's
	os.Chmod(fresh, 0o600)
	if err := os.Rename(fresh, path); err != nil {
		ln.Close()
		os.Remove(fresh)
		return nil, fmt.Errorf("handover: %w", err)
	}
	s := &Server{id: id, listener: ln, socket: socket, state: state, onChange: onChange}
	go s.acceptLoop()
	return s, nil
}

// Close accepts no further successor. The file stays: a process that gets no connection there finds no predecessor.
func (s *Server) Close() {
	if s != nil {
		s.listener.Close()
	}
}

// Successor returns how far the successor has come.
func (s *Server) Successor() SuccessorState {
	if s == nil {
		return NoSuccessor
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.successor
}

// TransferStream hands a stream with its two connections to the successor; payload is marshalled as JSON. Once it has
// returned nil the caller must close both connections without writing to them. The error is ErrNoSuccessor where no
// successor serves and accepts transfers.
func (s *Server) TransferStream(payload any, client, server syscall.Conn) error {
	body, err := json.Marshal(payload)
	if err != nil {
		return err
	}
	return s.transfer(transferMessage{Stream: body}, client, server)
}

// Notify sends the successor a notice, which is marshalled as JSON. Errors are those of TransferStream.
func (s *Server) Notify(notice any) error {
	body, err := json.Marshal(notice)
	if err != nil {
		return err
	}
	return s.transfer(transferMessage{Notice: body})
}

func (s *Server) transfer(m transferMessage, sockets ...syscall.Conn) error {
	if s == nil {
		return ErrNoSuccessor
	}
	s.mu.Lock()
	conn, ready := s.conn, s.successor == SuccessorServing && s.acceptsTransfers
	s.mu.Unlock()
	if !ready {
		return ErrNoSuccessor
	}
	line, err := json.Marshal(m)
	if err != nil {
		return err
	}
	if len(line) >= maxMessageBytes {
		return fmt.Errorf("%d bytes, over %d", len(line), maxMessageBytes)
	}
	s.sending.Lock()
	defer s.sending.Unlock()
	conn.SetWriteDeadline(time.Now().Add(helloTimeout))
	return sendLine(conn, line, sockets...)
}

// acceptLoop accepts successors until Close.
func (s *Server) acceptLoop() {
	for {
		conn, err := s.listener.AcceptUnix()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			time.Sleep(busyBackoff)
		default:
			go s.serveSuccessor(conn)
		}
	}
}

// serveSuccessor follows one successor until it exits.
func (s *Server) serveSuccessor(conn *net.UnixConn) {
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(helloTimeout))
	br := bufio.NewReader(io.LimitReader(conn, maxHelloBytes))
	if err := s.answerHello(conn, br); err != nil {
		if !errors.Is(err, errHandoverInProgress) {
			eventlog.Warn(eventRejected, err)
		}
		return
	}
	defer s.setSuccessor(NoSuccessor)
	eventlog.Info(eventSuccessor, "state", "starting")
	defer eventlog.Info(eventSuccessor, "state", "exited")
	conn.SetDeadline(time.Time{})
	if line, err := br.ReadString('\n'); err != nil || line != servingLine {
		return // it exited before it served
	}
	s.setSuccessor(SuccessorServing)
	eventlog.Info(eventSuccessor, "state", "serving")
	io.Copy(io.Discard, conn)
}

// answerHello sends a successor the listening socket, if it is of this sidecar and no other is connected.
func (s *Server) answerHello(conn *net.UnixConn, br *bufio.Reader) error {
	if err := checkSameUser(conn); err != nil {
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
	if err := h.check(s.id); err != nil {
		return err
	}
	answer := hello{Version: protocolVersion, ID: s.id}
	if !s.claim(conn, h.AcceptsTransfers) {
		answer.Busy = true
		sendHello(conn, answer)
		return errHandoverInProgress
	}
	if answer.State, err = json.Marshal(s.state()); err == nil {
		err = sendHello(conn, answer, s.socket)
	}
	if err != nil {
		s.setSuccessor(NoSuccessor)
	}
	return err
}

// claim makes the process at conn the successor, unless there is one.
func (s *Server) claim(conn *net.UnixConn, acceptsTransfers bool) bool {
	s.mu.Lock()
	free := s.successor == NoSuccessor
	if free {
		s.successor, s.conn, s.acceptsTransfers = SuccessorStarting, conn, acceptsTransfers
	}
	s.mu.Unlock()
	if free {
		s.onChange(SuccessorStarting)
	}
	return free
}

func (s *Server) setSuccessor(state SuccessorState) {
	s.mu.Lock()
	s.successor = state
	s.mu.Unlock()
	s.onChange(state)
}
