package handover

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
)

const (
	readBufferBytes   = 16 << 10
	maxDescriptorSets = 16 // of 4 bytes each, in the control messages of one read

	// descriptorName is the name of the os.File that a received descriptor passes through.
	descriptorName = "handed over"
)

// receiver reads lines and the descriptors that come with them. Descriptors come in order, those of a line with its
// first bytes; but one read may return the end of a long line and the beginning of the next together.
type receiver struct {
	conn        *net.UnixConn
	buffered    []byte
	descriptors []int
}

// next returns the next line and its descriptors. count returns how many of those that have come belong to the line,
// the others are the next line's; nil: all belong to it. On an error the caller closes the descriptors too.
func (r *receiver) next(count func(line []byte) int) (line []byte, descriptors []int, err error) {
	buf, control := make([]byte, readBufferBytes), make([]byte, syscall.CmsgSpace(4*maxDescriptorSets))
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
			return nil, descriptors, fmt.Errorf("cut off: %w", err)
		}
	}
}

// read appends what comes next to the buffered bytes and descriptors.
func (r *receiver) read(buf, control []byte) error {
	if len(r.buffered) > maxMessageBytes {
		return fmt.Errorf("over %d bytes", maxMessageBytes)
	}
	n, controlled, _, _, err := r.conn.ReadMsgUnix(buf, control)
	r.descriptors = append(r.descriptors, parseDescriptors(control[:controlled])...)
	r.buffered = append(r.buffered, buf[:max(n, 0)]...) // -1 with an error
	if err == nil && n == 0 {
		err = io.ErrUnexpectedEOF
	}
	return err
}

// parseDescriptors returns the descriptors in control messages; the caller closes them.
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

// connFrom makes a connection of a descriptor, and closes the descriptor.
func connFrom(fd int) (net.Conn, error) {
	syscall.CloseOnExec(fd)
	f := os.NewFile(uintptr(fd), descriptorName)
	defer f.Close()
	return net.FileConn(f)
}

// listenerFrom makes a listener of the one descriptor that came, and closes the descriptors. It fails for any other
// number of them, for one that isn't a listening socket, and for one of another address.
func listenerFrom(descriptors []int, addr string) (net.Listener, error) {
	if len(descriptors) != 1 {
		closeAll(descriptors)
		return nil, fmt.Errorf("%d sockets came, expected one", len(descriptors))
	}
	fd := descriptors[0]
	syscall.CloseOnExec(fd)
	if accepts, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil || accepts == 0 {
		closeAll(descriptors)
		return nil, fmt.Errorf("what came does not listen")
	}
	f := os.NewFile(uintptr(fd), descriptorName)
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

// sendHello writes a hello, with sockets attached.
func sendHello(conn *net.UnixConn, h hello, sockets ...syscall.Conn) error {
	line, err := json.Marshal(h)
	if err != nil {
		return err
	}
	return sendLine(conn, line, sockets...)
}

// sendLine writes a line, given without its end, with sockets attached. It sends the descriptors themselves: a copy
// made by File would set the shared socket to blocking.
func sendLine(conn *net.UnixConn, line []byte, sockets ...syscall.Conn) error {
	line = append(line, '\n')
	return withDescriptors(nil, sockets, func(descriptors []int) error {
		var control []byte
		if len(descriptors) > 0 {
			control = syscall.UnixRights(descriptors...)
		}
		n, _, err := conn.WriteMsgUnix(line, control, nil)
		if err == nil && n < len(line) {
			_, err = conn.Write(line[n:])
		}
		return err
	})
}

// withDescriptors calls use with known and the descriptors of sockets, none of which can be closed before it returns.
func withDescriptors(known []int, sockets []syscall.Conn, use func(descriptors []int) error) error {
	if len(sockets) == 0 {
		return use(known)
	}
	raw, err := sockets[0].SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) {
		failed = withDescriptors(append(known, int(fd)), sockets[1:], use)
	}); err != nil {
		return err
	}
	return failed
}

// checkSameUser returns an error unless the peer runs as this program's user.
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
		return fmt.Errorf("peer is of user %d", credentials.Uid)
	}
	return nil
}
