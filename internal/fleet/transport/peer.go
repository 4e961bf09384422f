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
	peerQueueSize = 1024 // frames
	dialTimeout   = 300 * time.Millisecond
	writeTimeout  = time.Second
	redialDelay   = 50 * time.Millisecond
	bufferBytes   = 64 << 10 // of a connection's reader or writer
)

// errReconnect ends a connection whose sender or address is no longer valid; what is queued goes over a new one.
var errReconnect = errors.New("the sender or the peer's address has changed")

// peer sends the frames for one name. A single goroutine, run, takes them from the queue.
type peer struct {
	transport *Transport
	name      string
	queue     chan outgoing
}

// outgoing is a frame with the incarnation on whose behalf it is sent.
type outgoing struct {
	sender takeover.Member
	frame  []byte
}

// run sends what is queued until ctx ends, over a connection that is dialled again when it breaks.
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

// dropQueued empties the queue: what was queued while the peer could not be reached is out of date.
func (p *peer) dropQueued() {
	for {
		select {
		case <-p.queue:
		default:
			return
		}
	}
}

// sendOver dials the peer and sends next and what is queued, all on behalf of one incarnation to one address. With
// errReconnect it returns a frame that is to be sent over another connection.
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
	go func() { // the peer sends nothing on this connection: a read ends when the connection does
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

// writeHello writes the first frame of a connection.
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

// writeQueued writes next and all that is queued behind it. A frame of an earlier incarnation of this process is dropped, so
// that it is not taken for one of the present incarnation; with a frame of a later one it returns errReconnect.
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
