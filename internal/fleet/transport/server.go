package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"damsonscale/internal/fleet/protocol"
	"damsonscale/internal/frame"
	"damsonscale/internal/takeover"
)

const (
	helloTimeout          = 2 * time.Second // bound on the wait for the first frame of a connection
	maxConnectionsPerName = 4               // accepted connections open at a time from members with one name
	maxAdminConnections   = 8               // administrative requests answered at a time
)

// Errors for which a connection is rejected after its hello.
var (
	ErrOtherFleet         = errors.New("sender belongs to a fleet with other configured member names")
	ErrNotMember          = errors.New("sender is not a configured member of this fleet")
	ErrTooManyConnections = errors.New("too many connections from this member")
)

var errTooManyAdminConnections = errors.New("too many concurrent administrative requests")

// Serve accepts connections until ctx ends or the listener is closed. It closes the listener.
func (t *Transport) Serve(ctx context.Context, listener net.Listener) {
	defer context.AfterFunc(ctx, func() { listener.Close() })()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(redialDelay)
			continue
		}
		go t.serveConnection(ctx, conn)
	}
}

// serveConnection reads the frames of one connection and calls the handler for each before it reads the next.
func (t *Transport) serveConnection(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetReadDeadline(time.Now().Add(helloTimeout))
	in := bufio.NewReaderSize(conn, bufferBytes)
	kind, payload, err := frame.Read(in)
	if err == nil && protocol.Kind(kind) == protocol.KindAdmin {
		t.serveAdmin(conn, payload)
		return
	}
	var from takeover.Member
	if err == nil {
		from, err = t.acceptHello(protocol.Kind(kind), payload)
	}
	if err != nil {
		t.LogRejected(conn.RemoteAddr().String(), from.Name, err)
		return
	}
	defer t.releaseConnection(from.Name)
	conn.SetReadDeadline(time.Time{})
	for {
		kind, payload, err := frame.Read(in)
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, io.ErrUnexpectedEOF) {
				t.LogRejected(conn.RemoteAddr().String(), from.Name, err)
			}
			return
		}
		if protocol.Kind(kind) != protocol.KindHello {
			t.handlers.HandleFrame(from, protocol.Kind(kind), payload)
		}
	}
}

// serveAdmin answers an administrative request, unless maxAdminConnections are being answered.
func (t *Transport) serveAdmin(conn net.Conn, payload []byte) {
	t.mu.Lock()
	accepted := t.adminConnections < maxAdminConnections
	if accepted {
		t.adminConnections++
	}
	t.mu.Unlock()
	if !accepted {
		t.LogRejected(conn.RemoteAddr().String(), "", errTooManyAdminConnections)
		return
	}
	defer func() {
		t.mu.Lock()
		t.adminConnections--
		t.mu.Unlock()
	}()
	t.handlers.HandleAdmin(conn, payload)
}

// acceptHello decodes and checks a hello, and counts the connection. Unless it fails, the caller must call releaseConnection.
func (t *Transport) acceptHello(kind protocol.Kind, payload []byte) (from takeover.Member, err error) {
	var h hello
	switch err := t.codec.Unmarshal(payload, &h); {
	case kind != protocol.KindHello:
		return from, fmt.Errorf("first frame has kind %d, want a hello", kind)
	case err != nil:
		return from, fmt.Errorf("decode hello: %w", err)
	case h.FleetID != t.fleetID:
		return h.From, ErrOtherFleet
	case !t.names[h.From.Name]:
		return h.From, ErrNotMember
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.connections[h.From.Name] >= maxConnectionsPerName {
		return h.From, ErrTooManyConnections
	}
	t.connections[h.From.Name]++
	return h.From, nil
}

func (t *Transport) releaseConnection(name string) {
	t.mu.Lock()
	t.connections[name]--
	t.mu.Unlock()
}
