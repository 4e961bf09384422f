package handover

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	readBufferBytes = 16 << 10
	maxDescriptors  = 16 // in the control messages of one read

	// writeRetryInterval is the time after which a write that waits is repeated. The system reports the socket writable
	// only when three quarters of its buffer are free; a repeated write uses any free space.
	writeRetryInterval = 50 * time.Millisecond

	// descriptorName is the name of the temporary os.File of a received descriptor.
	descriptorName = "handed over"
)

// receiver reads lines and the descriptors that are attached to them. Descriptors are received in order, and those of a
// line together with its first bytes. One read may return the end of a long line and the beginning of the next.
type receiver struct {
	conn        *net.UnixConn
	buffered    []byte
	descriptors []int
}

// next returns the next line and its descriptors, which the caller must close, also on an error. count returns how many
// descriptors a line has; the other descriptors received belong to the next line. If count is nil, all belong to this line.
func (r *receiver) next(count func(line []byte) int) (line []byte, descriptors []int, err error) {
	buf, control := make([]byte, readBufferBytes), make([]byte, syscall.CmsgSpace(4*maxDescriptors))
	for {
		if i := bytes.IndexByte(r.buffered, '\n'); i >= 0 {
			line, r.buffered = r.buffered[:i:i], r.buffered[i+1:]
			n := len(r.descriptors)
			if count != nil {
				n = min(n, count(line))
			}
			descriptors, r.descriptors = r.descriptors[:n:n], r.descriptors[n:]
			return line, descriptors, nil
		}
		if err = r.read(buf, control); err != nil {
			descriptors, r.descriptors = r.descriptors, nil
			return nil, descriptors, fmt.Errorf("connection ended before the end of a message: %w", err)
		}
	}
}

// read reads once and appends the bytes and descriptors received to the buffered ones.
func (r *receiver) read(buf, control []byte) error {
	if len(r.buffered) > maxMessageBytes {
		return fmt.Errorf("message is longer than %d bytes", maxMessageBytes)
	}
	n, controlled, _, _, err := r.conn.ReadMsgUnix(buf, control)
	r.descriptors = append(r.descriptors, parseDescriptors(control[:controlled])...)
	r.buffered = append(r.buffered, buf[:max(n, 0)]...) // n may be -1 on an error
	if err == nil && n == 0 {
		err = io.ErrUnexpectedEOF
	}
	return err
}

// parseDescriptors returns the descriptors in control messages, which the caller must close.
func parseDescriptors(control []byte) (all []int) {
	messages, err := syscall.ParseSocketControlMessage(control)
	if err != nil {
		return nil
	}
	for _, m := range messages {
		if descriptors, err := syscall.ParseUnixRights(&m); err == nil {
			all = append(all, descriptors...)
		}
	}
	return all
}

func closeAll(descriptors []int) {
	for _, fd := range descriptors {
		syscall.Close(fd)
	}
}

// connFrom returns a connection for a duplicate of the descriptor, and closes the descriptor.
func connFrom(fd int) (net.Conn, error) {
	syscall.CloseOnExec(fd)
	f := os.NewFile(uintptr(fd), descriptorName)
	defer f.Close()
	return net.FileConn(f)
}

// listenerFrom returns a listener for a duplicate of the descriptor received, and closes all descriptors. It returns an
// error unless there is exactly one descriptor, and that is a TCP socket that listens at addr.
func listenerFrom(descriptors []int, addr string) (net.Listener, error) {
	if len(descriptors) != 1 {
		closeAll(descriptors)
		return nil, fmt.Errorf("got %d descriptors, expected one", len(descriptors))
	}
	fd := descriptors[0]
	syscall.CloseOnExec(fd)
	if listening, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil || listening == 0 {
		closeAll(descriptors)
		return nil, fmt.Errorf("expected a listening socket, got another descriptor")
	}
	f := os.NewFile(uintptr(fd), descriptorName)
	defer f.Close()
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	if ln.Addr().Network() != "tcp" || ln.Addr().String() != addr {
		ln.Close()
		return nil, fmt.Errorf("got a socket that listens at %s, expected %s", ln.Addr(), addr)
	}
	return ln, nil
}

// sendHello writes a hello, with sockets attached.
func sendHello(conn *net.UnixConn, h hello, sockets ...syscall.Conn) error {
	line, err := json.Marshal(h)
	if err != nil {
		return err
	}
	return sendLine(conn, line, helloTimeout, sockets...)
}

// sendLine writes line and a newline, with the descriptors of sockets attached. It fails if the other process reads nothing
// for stallTimeout; part of the line may have been written then. It doesn't use duplicates of the descriptors made by File,
// because File sets the shared socket to blocking mode.
func sendLine(conn *net.UnixConn, line []byte, stallTimeout time.Duration, sockets ...syscall.Conn) error {
	rest := append(line, '\n')
	return withDescriptors(nil, sockets, func(descriptors []int) error {
		var control []byte
		if len(descriptors) > 0 {
			control = syscall.UnixRights(descriptors...)
		}
		for progressAt := time.Now(); len(rest) > 0; {
			conn.SetWriteDeadline(time.Now().Add(writeRetryInterval))
			n, _, err := conn.WriteMsgUnix(rest, control, nil)
			if n > 0 {
				rest, control, progressAt = rest[n:], nil, time.Now()
			}
			if err != nil && (!errors.Is(err, os.ErrDeadlineExceeded) || time.Since(progressAt) >= stallTimeout) {
				return err
			}
		}
		return nil
	})
}

// withDescriptors calls use with the descriptors in open and those of sockets. No socket can be closed before use returns.
func withDescriptors(open []int, sockets []syscall.Conn, use func(descriptors []int) error) error {
	if len(sockets) == 0 {
		return use(open)
	}
	raw, err := sockets[0].SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) {
		failed = withDescriptors(append(open, int(fd)), sockets[1:], use)
	}); err != nil {
		return err
	}
	return failed
}

// checkSameUser returns an error unless the process at the other end of conn has the same user ID as this process.
func checkSameUser(conn *net.UnixConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var credentials *syscall.Ucred
	var failed error
	if err := raw.Control(func(fd uintptr) {
		credentials, failed = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	}); err != nil {
		return err
	}
	if failed != nil {
		return failed
	}
	if int(credentials.Uid) != os.Geteuid() {
		return fmt.Errorf("other process has user ID %d", credentials.Uid)
	}
	return nil
}
