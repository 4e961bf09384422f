package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"time"

	"damsonscale/internal/fleet/protocol"
	"damsonscale/internal/frame"
	"damsonscale/internal/takeover"
)

const (
	peerQueueSize = 1024 // frames that wait for one peer; when the queue is full, new frames are dropped
	dialTimeout   = 300 * time.Millisecond
	writeTimeout  = time.Second
	redialDelay   = 50 * time.Millisecond // pause after a failed connection or a failed accept
	bufferBytes   = 64 << 10              // size of a connection's read or write buffer
)

// errReconnect ends a connection after a change of the sender's incarnation or the peer's address. Queued frames are sent over a
// new connection.
var errReconnect = errors.New("the sender or the peer's address has changed")

// peer sends frames to the member with one name. Only the goroutine of run receives from the queue.
type peer struct {
	transport *Transport
	name      string
	queue     chan outgoing
}

// outgoing is an encoded frame with the incarnation of this process that queued it.
type outgoing struct {
	sender takeover.Member
	frame  []byte
}

// run sends queued frames until ctx ends. When the connection breaks, the next frame is sent over a new connection.
func (p *peer) run(ctx context.Context) {
	var first *outgoing
	for ctx.Err() == nil {
		if first == nil {
			select {
			case next := <-p.queue:
				first = &next
			case <-ctx.Done():
				return
			}
		}
		var err error
		if first, err = p.sendOver(ctx, first); err == nil || errors.Is(err, errReconnect) {
			continue
		}
		first = nil
		p.dropQueued()
		select {
		case <-time.After(redialDelay):
		case <-ctx.Done():
		}
	}
}

// dropQueued empties the queue, since frames that were queued while the peer was unreachable are out of date.
func (p *peer) dropQueued() {
	for {
		select {
		case <-p.queue:
		default:
			return
		}
	}
}

// sendOver dials the peer and sends next and the queued frames until the connection ends. All frames on a connection are from one
// incarnation to one address. With errReconnect it returns a frame to send over the next connection, if there is one.
func (p *peer) sendOver(ctx context.Context, next *outgoing) (*outgoing, error) {
	address := p.transport.handlers.AddressOf(p.name)
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	closed := make(chan struct{})
	go func() { // the peer sends nothing on this connection, so a read returns only when the connection ends
		io.Copy(io.Discard, conn)
		close(closed)
	}()
	out := bufio.NewWriterSize(conn, bufferBytes)
	self := p.transport.handlers.Self()
	if err := p.writeHello(out, self); err != nil {
		return nil, err
	}
	for {
		if p.transport.handlers.Self() != self || p.transport.handlers.AddressOf(p.name) != address {
			return next, errReconnect
		}
		conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if rest, err := p.writeQueued(out, self, next); err != nil {
			return rest, err
		}
		if err := out.Flush(); err != nil {
			return nil, err
		}
		select {
		case queued := <-p.queue:
			next = &queued
		case <-closed:
			return nil, io.EOF
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// writeHello writes the hello, the first frame of a connection.
func (p *peer) writeHello(out *bufio.Writer, self takeover.Member) error {
	payload, err := p.transport.codec.Marshal(hello{FleetID: p.transport.fleetID, From: self})
	if err != nil {
		return err
	}
	encoded, err := frame.Append(nil, byte(protocol.KindHello), payload)
	if err != nil {
		return err
	}
	_, err = out.Write(encoded)
	return err
}

// writeQueued writes next and the queued frames. It drops frames from earlier incarnations of this process, since the peer would
// attribute them to the connection's incarnation. At a frame from a later incarnation it returns that frame and errReconnect.
func (p *peer) writeQueued(out *bufio.Writer, self takeover.Member, next *outgoing) (*outgoing, error) {
	for next != nil {
		switch {
		case next.sender == self:
			if _, err := out.Write(next.frame); err != nil {
				return nil, err
			}
		case next.sender == p.transport.handlers.Self():
			return next, errReconnect
		}
		select {
		case queued := <-p.queue:
			next = &queued
		default:
			next = nil
		}
	}
	return nil, nil
}
