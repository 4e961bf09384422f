package frontend

import (
	"errors"
	"io"
	"os"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"damsonscale/internal/socket"
)

const (
	// maxReadAheadBytes limits the bytes that the background read accepts while a request is served. If a client sends
	// more, only isDisconnected detects that it disconnects.
	maxReadAheadBytes = 4 << 10

	readAheadPieceBytes = 512 // size of one background read

	disconnectPollInterval = 20 * time.Millisecond // between looks for the end of a connection that is not read
)

// watchDisconnect starts the background read and returns a channel that is closed when the client disconnects. The
// background read consumes bytes that the client sends ahead, up to maxReadAheadBytes and as long as there is memory for them,
// because the end of the connection can only be read after them. Then, and while a body has not been read, it looks for the end
// without reading.
func (c *clientConn) watchDisconnect() <-chan struct{} {
	disconnected, done, stop := make(chan struct{}), make(chan struct{}), make(chan struct{})
	c.watchDone, c.watchStop = done, stop
	if c.readErr != nil { // the client has disconnected already
		close(disconnected)
		close(done)
		return disconnected
	}
	c.Conn.SetReadDeadline(time.Time{})
	inBody := c.framer.state != beforeHead
	go func() {
		defer close(done)
		var err error
		if !inBody {
			err = c.readAheadUntilFull()
		}
		if err == nil {
			err = c.awaitDisconnect(stop)
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.readErr = err
			close(disconnected)
		}
	}()
	return disconnected
}

// readAheadUntilFull reads ahead until an error. It returns nil when no more bytes may be read.
func (c *clientConn) readAheadUntilFull() error {
	var first [1]byte // most clients send nothing ahead
	n, err := c.Conn.Read(first[:])
	c.appendReadAhead(first[:n])
	for err == nil && len(c.readAhead) < maxReadAheadBytes {
		if !c.requestMemory.GrowBulk(readAheadPieceBytes) {
			return nil
		}
		ahead := slices.Grow(c.readAhead, readAheadPieceBytes)
		n, err = c.Conn.Read(ahead[len(ahead) : len(ahead)+readAheadPieceBytes])
		c.appendReadAhead(ahead[len(ahead) : len(ahead)+n])
	}
	return err
}

// appendReadAhead adds bytes to those that were read ahead.
func (c *clientConn) appendReadAhead(piece []byte) {
	if len(piece) > 0 {
		c.readAhead, c.readAheadAt = append(c.readAhead, piece...), time.Now()
		c.aheadBytes.Store(int64(len(c.readAhead)))
	}
}

// awaitDisconnect looks for the end of the connection behind unread bytes until stop is closed. It returns io.EOF when the client
// has disconnected: what it left unread is not served.
func (c *clientConn) awaitDisconnect(stop <-chan struct{}) error {
	socket.GrowReceiveBuffer(c.Conn, maxWaitingBytes) // the end comes only after all bytes before it
	tick := time.NewTicker(disconnectPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return nil
		case <-tick.C:
		}
		if c.isDisconnected() {
			return io.EOF
		}
	}
}

// stopWatch stops the background read, if there is one, and waits until it has ended.
func (c *clientConn) stopWatch() {
	if c.watchDone == nil {
		return
	}
	close(c.watchStop)
	c.Conn.SetReadDeadline(socket.ExpiredDeadline)
	<-c.watchDone
	c.watchDone = nil
	c.Conn.SetReadDeadline(time.Time{})
	if len(c.readAhead) > 0 {
		c.lastReadAt = c.readAheadAt
	}
}

// isDisconnected reports whether the client has disconnected. It neither waits nor consumes bytes, and detects an end of
// the connection after unread bytes and one that the background read has not noticed yet. If the system call fails, it
// returns false.
func (c *clientConn) isDisconnected() (disconnected bool) {
	raw := socket.Raw(c.Conn)
	if raw == nil {
		return false
	}
	raw.Control(func(fd uintptr) { disconnected = peerClosed(int(fd)) })
	return disconnected
}

// peerClosed reports whether the other side of a socket has shut down writing or reset the connection.
func peerClosed(fd int) bool {
	var b [1]byte
	n, err := recv(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err != nil:
		return isConnectionError(err)
	case n == 0:
		return true
	}
	poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}} // the end of the connection may come after the unread bytes
	if n, err := retryInterrupted(func() (int, error) { return unix.Poll(poll, 0) }); err != nil || n <= 0 {
		return false
	}
	return poll[0].Revents&unix.POLLNVAL == 0 && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// recv reads or peeks at bytes that have arrived at a socket.
func recv(fd int, p []byte, flags int) (int, error) {
	return retryInterrupted(func() (int, error) {
		n, _, err := syscall.Recvfrom(fd, p, flags)
		return n, err
	})
}

// retryInterrupted repeats a system call while it fails with EINTR.
func retryInterrupted(call func() (int, error)) (n int, err error) {
	for {
		if n, err = call(); err != syscall.EINTR {
			return n, err
		}
	}
}

// isConnectionError reports whether a socket error means that the connection has ended, as opposed to an error on this
// machine, such as a lack of memory.
func isConnectionError(err error) bool {
	switch err {
	case syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.EHOSTDOWN, syscall.ENETUNREACH,
		syscall.ENETDOWN, syscall.ENETRESET, syscall.ECONNABORTED, syscall.ECONNREFUSED, syscall.ENOTCONN, syscall.ESHUTDOWN, syscall.EPROTO:
		return true
	}
	return false
}
