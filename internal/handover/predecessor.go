package handover

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"syscall"
	"time"

	"damsonscale/internal/eventlog"
)

const (
	helloTimeout = 500 * time.Millisecond

	busyTimeout = 10 * time.Second // for another successor to serve or to exit
	busyBackoff = 50 * time.Millisecond
)

// Predecessor is the process that was running when this one started. A nil Predecessor has exited.
type Predecessor struct {
	Listener net.Listener    // the socket that both processes accept from
	State    json.RawMessage // what the predecessor's Server reported of itself

	conn   *net.UnixConn
	exited chan struct{}
}

// Transfer is what the predecessor hands over while it shuts down: a stream to resume with its two connections, which
// the receiver owns, or a notice, which has none.
type Transfer struct {
	Payload        json.RawMessage
	Client, Server net.Conn // nil: the payload is a notice
}

// Acquire takes the listening socket over from the running process; it waits up to 10 s while another successor is
// starting. onTransfer is called with what the predecessor transfers later, one call after another; nil: no transfers
// are accepted. The error is ErrNoPredecessor where no process is running.
func Acquire(ctx context.Context, path string, id ID, onTransfer func(Transfer)) (*Predecessor, error) {
	for end := time.Now().Add(busyTimeout); ; {
		p, err := acquireOnce(path, id, onTransfer)
		if !errors.Is(err, errHandoverInProgress) || time.Now().After(end) {
			return p, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(busyBackoff):
		}
	}
}

// acquireOnce connects to the running process and exchanges hellos.
func acquireOnce(path string, id ID, onTransfer func(Transfer)) (*Predecessor, error) {
	nc, err := net.DialTimeout("unix", path, helloTimeout)
	if err != nil {
		if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
			return nil, ErrNoPredecessor
		}
		return nil, fmt.Errorf("handover: %w", err)
	}
	conn := nc.(*net.UnixConn)
	p, err := exchangeHellos(conn, id, onTransfer != nil)
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	conn.SetDeadline(time.Time{})
	go func() {
		defer close(p.exited)
		if err := receiveTransfers(conn, onTransfer); err != nil {
			eventlog.Warn(eventReceiveFailed, err)
		}
		io.Copy(io.Discard, conn)
		conn.Close()
	}()
	return p, nil
}

// exchangeHellos sends this process's hello and checks the answer. On an error no descriptor stays open.
func exchangeHellos(conn *net.UnixConn, id ID, acceptsTransfers bool) (*Predecessor, error) {
	conn.SetDeadline(time.Now().Add(helloTimeout))
	if err := checkSameUser(conn); err != nil {
		return nil, err
	}
	if err := sendHello(conn, hello{Version: protocolVersion, ID: id, AcceptsTransfers: acceptsTransfers}); err != nil {
		return nil, err
	}
	line, descriptors, err := (&receiver{conn: conn}).next(nil)
	if err != nil {
		closeAll(descriptors)
		return nil, err
	}
	var answer hello
	if err := json.Unmarshal(line, &answer); err != nil {
		closeAll(descriptors)
		return nil, fmt.Errorf("unreadable: %w", err)
	}
	if err := answer.check(id); err != nil {
		closeAll(descriptors)
		return nil, err
	}
	if answer.Busy {
		closeAll(descriptors)
		return nil, errHandoverInProgress
	}
	ln, err := listenerFrom(descriptors, id.Listen)
	if err != nil {
		return nil, err
	}
	return &Predecessor{Listener: ln, State: answer.State, conn: conn, exited: make(chan struct{})}, nil
}

// receiveTransfers calls onTransfer with what the predecessor sends, until that exits.
func receiveTransfers(conn *net.UnixConn, onTransfer func(Transfer)) error {
	if onTransfer == nil {
		return nil
	}
	r := receiver{conn: conn}
	for {
		line, descriptors, err := r.next(descriptorsOf)
		if err != nil {
			closeAll(descriptors)
			if len(r.buffered) == 0 && (errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF)) {
				return nil
			}
			return err
		}
		var m transferMessage
		if err := json.Unmarshal(line, &m); err != nil || len(descriptors) != descriptorsOf(line) {
			closeAll(descriptors)
			closeAll(r.descriptors)
			return fmt.Errorf("unreadable, with %d connections: %v", len(descriptors), err)
		}
		if m.Stream == nil {
			onTransfer(Transfer{Payload: m.Notice})
			continue
		}
		t, err := streamTransfer(m.Stream, descriptors)
		if err != nil {
			return err
		}
		onTransfer(t)
	}
}

// streamTransfer makes connections of a stream's two descriptors. On an error neither stays open.
func streamTransfer(payload json.RawMessage, descriptors []int) (Transfer, error) {
	client, err := connFrom(descriptors[0])
	if err != nil {
		syscall.Close(descriptors[1])
		return Transfer{}, err
	}
	server, err := connFrom(descriptors[1])
	if err != nil {
		client.Close()
		return Transfer{}, err
	}
	return Transfer{Payload: payload, Client: client, Server: server}, nil
}

// NotifyServing tells the predecessor that this process accepts connections from the socket.
func (p *Predecessor) NotifyServing() {
	if p != nil {
		p.conn.SetWriteDeadline(time.Now().Add(helloTimeout))
		io.WriteString(p.conn, servingLine)
	}
}

// Done returns a channel that is closed once the predecessor has exited.
func (p *Predecessor) Done() <-chan struct{} {
	if p == nil {
		exited := make(chan struct{})
		close(exited)
		return exited
	}
	return p.exited
}
