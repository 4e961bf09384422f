package frontend

import (
	"errors"
	"sync"
	"syscall"

	"damsonscale/internal/eventlog"
	"damsonscale/internal/socket"
	"damsonscale/internal/upstream"
)

// Successor is the process that takes streams over during a shutdown. Its methods may be called from any goroutine.
type Successor interface {
	// TransferStream passes a stream and its two connections. payload is marshalled as JSON. After it returns nil, this
	// process must close its copies of both connections without writing to them.
	TransferStream(payload any, client, server syscall.Conn) error

	// AcceptsUnsent reports whether the successor writes the bytes in streamMessage.Unsent. Older builds ignore them.
	AcceptsUnsent() bool
}

var (
	errNoStreamSuccessor = errors.New("no successor process to hand the stream over to")
	errNoDescriptor      = errors.New("stream has a connection without a file descriptor")
	errHandedOver        = errors.New("connection was handed over to the successor process")
)

// streamMessage is the payload of a stream that is handed over.
type streamMessage struct {
	Stream  upstream.StreamState `json:"answer"`
	Chunked bool                 `json:"chunks"`           // whether the body is sent in chunks; otherwise it ends with the connection
	Unsent  []byte               `json:"unsent,omitempty"` // encoded bytes that the client's connection has not accepted; they come first
}

// handOver hands the stream over to the successor and returns upstream.ErrDetached. Afterwards this process closes its
// descriptors of both connections, which stay open in the successor. If that fails, the stream continues in this process,
// and handOver returns nil or the error of writing the bytes that were left unsent.
func (s *clientStream) handOver() error {
	if err := s.transfer(); err != nil {
		eventlog.Warn(eventStreamHandoverFailed, err)
		return s.continueHere()
	}
	s.conn.handedOver = true
	return upstream.ErrDetached
}

// transfer passes the state of the stream and its connections to the successor.
func (s *clientStream) transfer() error {
	successor := s.frontend.successor.Load()
	if successor == nil {
		return errNoStreamSuccessor
	}
	state, server := s.State()
	serverSocket, ok := server.(syscall.Conn)
	clientSocket, clientOK := s.conn.Conn.(syscall.Conn)
	if !ok || !clientOK {
		return errNoDescriptor
	}
	return (*successor).TransferStream(streamMessage{state, s.chunked, s.conn.unsent}, clientSocket, serverSocket)
}

// continueHere goes on with a stream that could not be handed over, for as long as this process runs. It writes the bytes
// that were left unsent.
func (s *clientStream) continueHere() error {
	s.Attach()
	s.conn.interruptWrites.Store(false)
	unsent := s.conn.unsent
	s.conn.unsent = nil
	_, err := s.conn.Write(unsent)
	return err
}

// beginStream makes a stream the one that expediteStream acts on.
func (c *clientConn) beginStream(s *upstream.Stream) {
	c.streamMu.Lock()
	defer c.streamMu.Unlock()
	c.stream = s
}

// currentStream returns the stream that expediteStream acts on, or nil.
func (c *clientConn) currentStream() *upstream.Stream {
	c.streamMu.Lock()
	defer c.streamMu.Unlock()
	return c.stream
}

// endStream ends the effect of expediteStream: later writes are not interrupted.
func (c *clientConn) endStream() {
	c.streamMu.Lock()
	defer c.streamMu.Unlock()
	c.stream = nil
	c.interruptWrites.Store(false)
}

// expediteStream detaches a streamed response for its handover to the successor. A write that waits for a slow client is
// interrupted, and the successor gets the rest of its bytes. Without a successor that can take these bytes, it enlarges the
// kernel's send buffer instead, because buffered bytes reach a slow client even after this process has exited. A stream
// without a successor stays known, since the successor may be found later.
func (c *clientConn) expediteStream(successor Successor) {
	c.streamMu.Lock()
	defer c.streamMu.Unlock()
	s := c.stream
	if s == nil {
		return
	}
	if successor != nil && successor.AcceptsUnsent() {
		c.interruptWrites.Store(true)
		c.Conn.SetWriteDeadline(socket.ExpiredDeadline)
	} else {
		c.enlargeSendBuffer()
	}
	if successor != nil {
		c.stream = nil
		s.Detach()
	}
}

// expediteStreams calls expediteStream for all connections.
func (f *Frontend) expediteStreams(successor Successor) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.expediteStream(successor)
	}
}

// maxSendBuffer returns the largest send buffer that the system grants on request, or 0 if that can't be found out.
var maxSendBuffer = sync.OnceValue(func() int {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0
	}
	defer syscall.Close(fd)
	if syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_SNDBUF, upstream.MaxBodyBytes) != nil {
		return 0
	}
	return sendBufferOf(fd)
})

// sendBufferOf returns the size of a socket's send buffer in bytes, or 0 if the system call fails.
func sendBufferOf(fd int) int {
	size, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_SNDBUF)
	if err != nil {
		return 0
	}
	return size
}

// enlargeSendBuffer gives the connection the largest send buffer, unless the system has grown it beyond that already.
func (c *clientConn) enlargeSendBuffer() {
	raw := socket.Raw(c.Conn)
	if raw == nil {
		return
	}
	raw.Control(func(fd uintptr) {
		if sendBufferOf(int(fd)) < maxSendBuffer() {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, upstream.MaxBodyBytes)
		}
	})
}
