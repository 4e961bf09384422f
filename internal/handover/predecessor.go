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
	helloTimeout = 500 * time.Millisecond // for connecting, and for an exchange of hellos

	busyTimeout = 10 * time.Second // maximum wait while another successor is connected
	busyBackoff = 50 * time.Millisecond
)

// Predecessor is the process of this sidecar that was running when the current process started. A nil Predecessor has
// exited.
type Predecessor struct {
	Listener net.Listener    // socket from which both processes accept
	State    json.RawMessage // state that the predecessor reported in its hello

	conn   *net.UnixConn
	exited chan struct{}
	claims *claimExchange
}

// Transfer is a message of the predecessor during its shutdown. It has either a stream to resume, with its two connections,
// which the receiver owns, or a notice without connections.
type Transfer struct {
	Payload        json.RawMessage
	Client, Server net.Conn // nil: the payload is a notice
}

// Acquire takes over the listening socket of the running process. While another successor is connected it retries for up to
// busyTimeout. onTransfer is called for each later transfer, one call at a time; if it is nil, transfers are not accepted.
// Acquire returns ErrNoPredecessor if no process is running.
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
		if err := p.receiveTransfers(onTransfer); err != nil {
			eventlog.Warn(eventReceiveFailed, err)
		}
		io.Copy(io.Discard, conn)
		conn.Close()
	}()
	return p, nil
}

// exchangeHellos sends this process's hello and validates the answer. On an error it closes the descriptors received.
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
		return nil, fmt.Errorf("hello is malformed: %w", err)
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
	p := &Predecessor{Listener: ln, State: answer.State, conn: conn, exited: make(chan struct{})}
	if answer.AnswersClaims && acceptsTransfers {
		p.claims = newClaimExchange(conn)
	}
	return p, nil
}

// receiveTransfers calls onTransfer for each transfer until the predecessor exits.
func (p *Predecessor) receiveTransfers(onTransfer func(Transfer)) error {
	if onTransfer == nil {
		return nil
	}
	r := receiver{conn: p.conn}
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
			return fmt.Errorf("transfer with %d connections is malformed: %v", len(descriptors), err)
		}
		if m.Claim != nil {
			p.claims.deliver(*m.Claim)
			continue
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

// streamTransfer returns the transfer of a stream with connections for its two descriptors. On an error it closes both.
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

// NotifyServing notifies the predecessor that this process accepts connections from the socket, and of its capabilities.
func (p *Predecessor) NotifyServing() {
	if p == nil {
		return
	}
	offer, err := json.Marshal(capabilities{AcceptsUnsent: true})
	if err != nil {
		offer = nil
	}
	p.conn.SetWriteDeadline(time.Now().Add(helloTimeout))
	io.WriteString(p.conn, servingLine+string(offer)+"\n")
	p.claims.open()
}

// Claim tells the predecessor that this process is about to execute a request, and returns what the predecessor knows of it. The
// predecessor counts the request as possibly executed from then on. ok is false if there is no predecessor or it gives no answer
// within claimTimeout.
func (p *Predecessor) Claim(requestID string) (claim Claim, ok bool) {
	if p == nil || p.claims == nil {
		return Claim{}, false
	}
	return p.claims.claim(requestID, p.exited)
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
