package frontend

import (
	"errors"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxReadAhead bounds what a client may send ahead while its request is served; beyond it isDisconnected alone sees
	// a disconnect.
	maxReadAhead   = 16 << 10
	readAheadPiece = 512
)

// watchDisconnect starts the background read; the channel is closed when the client has disconnected. It reads what the
// client sends ahead, up to maxReadAhead, since an end of the connection can only be read after that.
func (c *clientConn) watchDisconnect() <-chan struct{} {
	disconnected, done := make(chan struct{}), make(chan struct{})
	c.watchDone = done
	if c.readErr != nil { // it has disconnected already
		close(disconnected)
		close(done)
		return disconnected
	}
	c.Conn.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		var first [1]byte
		for piece := first[:]; len(c.readAhead) < maxReadAhead; piece = make([]byte, readAheadPiece) {
			n, err := c.Conn.Read(piece)
			if n > 0 {
				c.readAhead, c.readAheadAt = append(c.readAhead, piece[:n]...), time.Now()
			}
			if err != nil {
				if !errors.Is(err, os.ErrDeadlineExceeded) {
					c.readErr = err
					close(disconnected)
				}
				return
			}
		}
	}()
	return disconnected
}

// stopWatch ends the background read, if there is one, and waits for that.
func (c *clientConn) stopWatch() {
	if c.watchDone == nil {
		return
	}
	c.Conn.SetReadDeadline(expiredDeadline)
	<-c.watchDone
	c.watchDone = nil
	c.Conn.SetReadDeadline(time.Time{})
	if len(c.readAhead) > 0 {
		c.readAt = c.readAheadAt
	}
}

// isDisconnected returns whether the client has disconnected by now, without waiting and without reading what it has
// sent: it sees an end behind unread bytes, and before the background read's goroutine runs. Where the system refuses
// the check it returns false.
func (c *clientConn) isDisconnected() (disconnected bool) {
	raw := c.rawConn()
	if raw == nil {
		return false
	}
	raw.Control(func(fd uintptr) { disconnected = peerClosed(int(fd)) })
	return disconnected
}

// peerClosed returns whether the other side of a socket has shut down its writing, or reset the connection.
func peerClosed(fd int) bool {
	var b [1]byte
	n, err := recv(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err != nil:
		return isConnectionError(err)
	case n == 0:
		return true
	}
	poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}} // an end may stand behind the unread bytes
	if n, err := retryInterrupted(func() (int, error) { return unix.Poll(poll, 0) }); err != nil || n <= 0 {
		return false
	}
	return poll[0].Revents&unix.POLLNVAL == 0 && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// recv reads, or peeks at, what has come in a socket.
func recv(fd int, p []byte, flags int) (int, error) {
	return retryInterrupted(func() (int, error) {
		n, _, err := syscall.Recvfrom(fd, p, flags)
		return n, err
	})
}

// retryInterrupted repeats a system call until no signal interrupts it.
func retryInterrupted(call func() (int, error)) (n int, err error) {
	for {
		if n, err = call(); err != syscall.EINTR {
			return n, err
		}
	}
}

// isConnectionError returns whether an error of a socket means that its connection is over, and not that this system
// lacks something.
func isConnectionError(err error) bool {
	switch err {
	case syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.EHOSTDOWN, syscall.ENETUNREACH,
		syscall.ENETDOWN, syscall.ENETRESET, syscall.ECONNABORTED, syscall.ECONNREFUSED, syscall.ENOTCONN, syscall.ESHUTDOWN, syscall.EPROTO:
		return true
	}
	return false
}
