package handover

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"damsonscale/internal/eventlog"
)

// Names of log events. The key state of eventSuccessor is starting, serving or exited.
const (
	eventSuccessor     = "handover_successor"
	eventRejected      = "handover_rejected"
	eventReceiveFailed = "handover_receive_failed"
)

// SuccessorState is the state of the process that replaces this one.
type SuccessorState uint8

// States of a successor.
const (
	NoSuccessor       SuccessorState = iota
	SuccessorStarting                // the successor has the listening socket but does not accept from it yet
	SuccessorServing                 // the successor accepts connections from the socket
)

// Server offers the listening socket to a successor and transfers streams to it. A nil Server is valid and has no
// successor.
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
	capabilities     capabilities
	answerClaim      func(requestID string) Claim // nil: claims are not answered

	sending sync.Mutex // held while a transfer is written
}

// NewServer offers socket to successors that connect to path, in place of any process that did so before. state returns the
// state of this process for the hello, as a value to marshal as JSON. onChange is called at each change of the successor's
// state, one call at a time.
func NewServer(path string, id ID, socket *net.TCPListener, state func() any, onChange func(SuccessorState)) (*Server, error) {
	fresh := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(fresh)
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: fresh, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	ln.SetUnlinkOnClose(false) // when it is closed, the path may belong to another process
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

// Close stops accepting successors. The socket's file stays; a process whose connection to it is refused has no predecessor.
func (s *Server) Close() {
	if s != nil {
		s.listener.Close()
	}
}

// Successor returns the state of the successor.
func (s *Server) Successor() SuccessorState {
	if s == nil {
		return NoSuccessor
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.successor
}

// TransferStream hands a stream with its two connections over to the successor; payload is marshalled as JSON. After a nil
// error the caller must close both connections without writing to them. TransferStream returns ErrNoSuccessor unless a
// successor is serving and accepts transfers.
func (s *Server) TransferStream(payload any, client, server syscall.Conn) error {
	body, err := json.Marshal(payload)
	if err != nil {
		return err
	}
	return s.transfer(transferMessage{Stream: body}, client, server)
}

// Notify sends the successor a notice, which is marshalled as JSON. It returns ErrNoSuccessor in the same cases as
// TransferStream.
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
	line, err := json.Marshal(m)
	if err != nil {
		return err
	}
	if len(line) >= maxMessageBytes {
		return fmt.Errorf("message has %d bytes, expected less than %d", len(line), maxMessageBytes)
	}
	s.sending.Lock()
	defer s.sending.Unlock()
	conn := s.transferConn()
	if conn == nil {
		return ErrNoSuccessor
	}
	err = sendLine(conn, line, transferStallTimeout, sockets...)
	if err != nil {
		s.stopTransfers(conn)
	}
	return err
}

// transferConn returns the connection to a successor that is serving and accepts transfers, or nil if there is none.
func (s *Server) transferConn() *net.UnixConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.successor != SuccessorServing || !s.acceptsTransfers {
		return nil
	}
	return s.conn
}

// stopTransfers ends the transfers to a successor after one has failed: part of its line may have been written, and the
// successor could not tell where the next one begins.
func (s *Server) stopTransfers(conn *net.UnixConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == conn {
		s.acceptsTransfers = false
	}
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

// serveSuccessor exchanges hellos with one successor and tracks its state until it exits.
func (s *Server) serveSuccessor(conn *net.UnixConn) {
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(helloTimeout))
	limited := &io.LimitedReader{R: conn, N: maxHelloBytes}
	br := bufio.NewReaderSize(limited, maxHelloBytes)
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
		return // the successor exited before it served
	}
	withCapabilities := br.Buffered() > 0 // they have come with the same write
	if withCapabilities {
		s.readCapabilities(br)
	}
	s.setSuccessor(SuccessorServing)
	eventlog.Info(eventSuccessor, "state", "serving")
	if !withCapabilities {
		s.readCapabilities(br)
	}
	limited.N = math.MaxInt64
	s.answerClaims(br)
	io.Copy(io.Discard, br)
}

// SetClaimHandler makes the server answer claims of successors with what answer returns. It concerns successors that connect later.
func (s *Server) SetClaimHandler(answer func(requestID string) Claim) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answerClaim = answer
}

// claimHandler returns the function given to SetClaimHandler, or nil.
func (s *Server) claimHandler() func(requestID string) Claim {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answerClaim
}

// answerClaims answers the claims of a successor until it exits or sends something else.
func (s *Server) answerClaims(br *bufio.Reader) {
	answer := s.claimHandler()
	for answer != nil {
		line, err := br.ReadSlice('\n')
		var m claimMessage
		if err != nil || json.Unmarshal(line, &m) != nil {
			return
		}
		if s.transfer(transferMessage{Claim: &claimAnswer{m.RequestID, answer(m.RequestID)}}) != nil {
			return
		}
	}
}

// readCapabilities reads the successor's capabilities if it sends them. It waits for them or for the successor's exit.
func (s *Server) readCapabilities(br *bufio.Reader) {
	line, err := br.ReadBytes('\n')
	var offered capabilities
	if err != nil || json.Unmarshal(line, &offered) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capabilities = offered
}

// AcceptsUnsent reports whether the successor writes the unsent bytes of a transferred stream.
func (s *Server) AcceptsUnsent() bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.capabilities.AcceptsUnsent
}

// answerHello reads a successor's hello and sends it the listening socket, unless the successor belongs to another sidecar
// or another successor is connected.
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
	answer.AnswersClaims = s.claimHandler() != nil
	if answer.State, err = json.Marshal(s.state()); err == nil {
		err = sendHello(conn, answer, s.socket)
	}
	if err != nil {
		s.setSuccessor(NoSuccessor)
	}
	return err
}

// claim makes the process at the other end of conn the successor and returns true, unless there is a successor already.
func (s *Server) claim(conn *net.UnixConn, acceptsTransfers bool) bool {
	s.mu.Lock()
	free := s.successor == NoSuccessor
	if free {
		s.successor, s.conn, s.acceptsTransfers, s.capabilities = SuccessorStarting, conn, acceptsTransfers, capabilities{}
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
