package fleet

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"damsonscale/internal/frame"
	"damsonscale/internal/takeover"
)

// Kinds of frames.
const (
	KindHello        byte = iota // the first of a connection
	KindRaft                     // of those who vote
	KindTakeover                 // messages of custody
	KindLeaseRequest             // for a lease
	KindLeaseGrant
	KindMembershipRequest
	KindMembership
	KindLeave
	KindAdmin           // an operator's ask, the first of its connection, and what answers it
	KindSettingsRequest // a version's bytes, by digest
	KindSettings
	KindSegments // of an account, to be held
	KindSegmentAck
)

const (
	peerQueueSize         = 1024 // frames that wait for one member; past it the newest is dropped
	dialTimeout           = 300 * time.Millisecond
	writeTimeout          = time.Second
	helloTimeout          = 2 * time.Second
	redialDelay           = 50 * time.Millisecond
	maxConnectionsPerName = 4 // connections that a name may have open to this member
)

// hello says who dials.
type hello struct {
	_       struct{} `cbor:",toarray"`
	FleetID uint64   // of the members' names
	From    takeover.Member
}

// FleetID tells fleets apart: it is that of the members' names.
func FleetID(names []string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, n := range slices.Sorted(slices.Values(names)) {
		d.WriteString(n)
		d.WriteString("\x00")
	}
	return d.Sum64()
}

// Transport carries frames between members. Each connection carries one way: answers come over the other member's own.
type Transport struct {
	codec       *Codec
	fleetID     uint64
	names       map[string]bool
	self        func() takeover.Member
	addressOf   func(name string) string // a member's address now
	handle      func(from takeover.Member, kind byte, payload []byte)
	handleAdmin func(conn net.Conn, payload []byte)

	mu               sync.Mutex
	peers            map[string]*peer
	connections      map[string]int
	adminConnections int
	loggedAt         map[string]time.Time // refusals, told once in a while
}

// peer is the way to one name: an actor with a bounded queue.
type peer struct {
	w     *Transport
	name  string
	queue chan outgoing
}

// outgoing is a frame with the member that it speaks for.
type outgoing struct {
	sender takeover.Member
	frame  []byte
}

func newTransport(c *Codec, names []string) *Transport {
	w := &Transport{codec: c, fleetID: FleetID(names), names: map[string]bool{}, peers: map[string]*peer{}, connections: map[string]int{}, loggedAt: map[string]time.Time{}}
	for _, n := range names {
		w.names[n] = true
	}
	return w
}

// Send puts a frame into a member's queue, or drops it: what counts is sent again by those who need it.
func (w *Transport) Send(ctx context.Context, name string, kind byte, payload []byte) {
	f, err := frame.Append(nil, kind, payload)
	if err != nil {
		log.Printf("event=fleet_not_sent to=%s err=%q", name, err)
		return
	}
	w.mu.Lock()
	l := w.peers[name]
	if l == nil {
		l = &peer{w: w, name: name, queue: make(chan outgoing, peerQueueSize)}
		w.peers[name] = l
		go l.run(ctx)
	}
	w.mu.Unlock()
	select {
	case l.queue <- outgoing{w.self(), f}:
	default:
	}
}

var errReconnect = errors.New("moved")

// run sends what is queued, over a connection that is dialled anew when it breaks.
func (l *peer) run(ctx context.Context) {
	var first *outgoing
	for ctx.Err() == nil {
		if first == nil {
			select {
			case q := <-l.queue:
				first = &q
			case <-ctx.Done():
				return
			}
		}
		var err error
		if first, err = l.sendOver(ctx, first); err == nil || errors.Is(err, errReconnect) {
			continue
		}
		first = nil
		for drained := false; !drained; { // it is old by the time it could be sent
			select {
			case <-l.queue:
			default:
				drained = true
			}
		}
		select {
		case <-time.After(redialDelay):
		case <-ctx.Done():
		}
	}
}

// sendOver sends next and what is queued, as one member to one address. It returns a frame that another connection has to
// send; one of a member that this process was before is dropped. Guards against frames that go out in another's name.
func (l *peer) sendOver(ctx context.Context, next *outgoing) (*outgoing, error) {
	d := net.Dialer{Timeout: dialTimeout}
	addr := l.w.addressOf(l.name)
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	gone := make(chan struct{})
	go func() { // nothing comes this way but the end
		io.Copy(io.Discard, conn)
		close(gone)
	}()
	out := bufio.NewWriterSize(conn, 64<<10)
	me := l.w.self()
	text, err := l.w.codec.out.Marshal(hello{FleetID: l.w.fleetID, From: me})
	if err != nil {
		return nil, err
	}
	first, err := frame.Append(nil, KindHello, text)
	if err != nil {
		return nil, err
	}
	if _, err := out.Write(first); err != nil {
		return nil, err
	}
	for {
		if l.w.self() != me || l.w.addressOf(l.name) != addr { // as another member, or to another process
			return next, errReconnect
		}
		conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		for next != nil {
			switch {
			case next.sender == me:
				if _, err := out.Write(next.frame); err != nil {
					return nil, err
				}
			case next.sender == l.w.self():
				return next, errReconnect
			}
			select {
			case q := <-l.queue:
				next = &q
			default:
				next = nil
			}
		}
		if err := out.Flush(); err != nil {
			return nil, err
		}
		select {
		case q := <-l.queue:
			next = &q
		case <-gone:
			return nil, io.EOF
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Serve takes connections until ctx ends.
func (w *Transport) Serve(ctx context.Context, ln net.Listener) {
	defer context.AfterFunc(ctx, func() { ln.Close() })()
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(redialDelay)
			continue
		}
		go w.serveConnection(ctx, conn)
	}
}

// serveConnection takes frames of one connection, one after the other: a flood of one member waits for itself.
func (w *Transport) serveConnection(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetReadDeadline(time.Now().Add(helloTimeout))
	in := bufio.NewReaderSize(conn, 64<<10)
	kind, payload, err := frame.Read(in)
	if err == nil && kind == KindAdmin {
		w.serveAdmin(conn, payload)
		return
	}
	var from takeover.Member
	if err == nil {
		from, err = w.acceptHello(kind, payload)
	}
	if err != nil {
		w.LogRejected(conn.RemoteAddr().String(), from.Name, err)
		return
	}
	defer w.releaseConnection(from.Name)
	conn.SetReadDeadline(time.Time{})
	for {
		kind, payload, err := frame.Read(in)
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, io.ErrUnexpectedEOF) {
				w.LogRejected(conn.RemoteAddr().String(), from.Name, err)
			}
			return
		}
		if kind != KindHello {
			w.handle(from, kind, payload)
		}
	}
}

// serveAdmin answers an operator, some at a time.
func (w *Transport) serveAdmin(conn net.Conn, payload []byte) {
	w.mu.Lock()
	room := w.adminConnections < maxAdminConnections
	if room {
		w.adminConnections++
	}
	w.mu.Unlock()
	if !room {
		w.LogRejected(conn.RemoteAddr().String(), "", ErrBusy)
		return
	}
	defer func() {
		w.mu.Lock()
		w.adminConnections--
		w.mu.Unlock()
	}()
	w.handleAdmin(conn, payload)
}

// acceptHello reads who dials, and refuses whom this member does not know.
func (w *Transport) acceptHello(kind byte, payload []byte) (from takeover.Member, err error) {
	var h hello
	switch err := w.codec.in.Unmarshal(payload, &h); {
	case kind != KindHello:
		return from, fmt.Errorf("frame of kind %d before a hello", kind)
	case err != nil:
		return from, fmt.Errorf("hello: %w", err)
	case h.FleetID != w.fleetID:
		return h.From, errors.New("of another fleet: its members have other names")
	case !w.names[h.From.Name]:
		return h.From, errors.New("no member of this fleet")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.connections[h.From.Name] >= maxConnectionsPerName {
		return h.From, errors.New("too many connections")
	}
	w.connections[h.From.Name]++
	return h.From, nil
}

func (w *Transport) releaseConnection(name string) {
	w.mu.Lock()
	w.connections[name]--
	w.mu.Unlock()
}

// LogRejected logs why a connection was ended, for each reason once in a while.
func (w *Transport) LogRejected(addr, name string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := name + err.Error()
	if len(w.loggedAt) > 1000 {
		clear(w.loggedAt)
	}
	if time.Since(w.loggedAt[key]) < 10*time.Second {
		return
	}
	w.loggedAt[key] = time.Now()
	log.Printf("event=fleet_refused peer=%s from=%q err=%q", addr, name, err)
}
