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
	kindHello   byte = iota // the first of a connection
	kindRaft                // of those who vote
	kindCustody             // messages of custody
	kindAsk                 // for a lease
	kindGrant
	kindViewAsk
	kindView
	kindLeave
	kindDesk // an operator's ask, the first of its connection, and what answers it
	kindWant // a version's bytes, by digest
	kindHave
	kindSegments // of an account, to be held
	kindTaken
)

const (
	queueMost   = 1024 // frames that wait for one member; past it the newest is dropped
	dialTimeout = 300 * time.Millisecond
	writeStall  = time.Second
	helloWithin = 2 * time.Second
	redial      = 50 * time.Millisecond
	connsMost   = 4 // connections that a name may have open to this member
)

// hello says who dials.
type hello struct {
	_     struct{} `cbor:",toarray"`
	Fleet uint64   // of the members' names
	From  takeover.Member
}

// fleetID tells fleets apart: it is that of the members' names.
func fleetID(names []string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, n := range slices.Sorted(slices.Values(names)) {
		d.WriteString(n)
		d.WriteString("\x00")
	}
	return d.Sum64()
}

// wire carries frames between members. Each connection carries one way: answers come over the other member's own.
type wire struct {
	coder *coder
	id    uint64
	names map[string]bool
	me    func() takeover.Member
	where func(name string) string // a member's address now
	take  func(from takeover.Member, kind byte, payload []byte)
	desk  func(conn net.Conn, payload []byte)

	mu     sync.Mutex
	lines  map[string]*line
	conns  map[string]int
	atDesk int
	told   map[string]time.Time // refusals, told once in a while
}

// line is the way to one name: an actor with a bounded queue.
type line struct {
	w     *wire
	name  string
	queue chan queued
}

// queued is a frame with the member that it speaks for.
type queued struct {
	as    takeover.Member
	frame []byte
}

func newWire(c *coder, names []string) *wire {
	w := &wire{coder: c, id: fleetID(names), names: map[string]bool{}, lines: map[string]*line{}, conns: map[string]int{}, told: map[string]time.Time{}}
	for _, n := range names {
		w.names[n] = true
	}
	return w
}

// send puts a frame into a member's queue, or drops it: what counts is sent again by those who need it.
func (w *wire) send(ctx context.Context, name string, kind byte, payload []byte) {
	f, err := frame.Append(nil, kind, payload)
	if err != nil {
		log.Printf("event=fleet_not_sent to=%s err=%q", name, err)
		return
	}
	w.mu.Lock()
	l := w.lines[name]
	if l == nil {
		l = &line{w: w, name: name, queue: make(chan queued, queueMost)}
		w.lines[name] = l
		go l.run(ctx)
	}
	w.mu.Unlock()
	select {
	case l.queue <- queued{w.me(), f}:
	default:
	}
}

var errMoved = errors.New("moved")

// run sends what is queued, over a connection that is dialled anew when it breaks.
func (l *line) run(ctx context.Context) {
	var first *queued
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
		if first, err = l.connected(ctx, first); err == nil || errors.Is(err, errMoved) {
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
		case <-time.After(redial):
		case <-ctx.Done():
		}
	}
}

// connected sends next and what is queued, as one member to one address. It returns a frame that another connection has to
// send; one of a member that this process was before is dropped. Guards against frames that go out in another's name.
func (l *line) connected(ctx context.Context, next *queued) (*queued, error) {
	d := net.Dialer{Timeout: dialTimeout}
	addr := l.w.where(l.name)
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
	me := l.w.me()
	text, err := l.w.coder.out.Marshal(hello{Fleet: l.w.id, From: me})
	if err != nil {
		return nil, err
	}
	first, err := frame.Append(nil, kindHello, text)
	if err != nil {
		return nil, err
	}
	if _, err := out.Write(first); err != nil {
		return nil, err
	}
	for {
		if l.w.me() != me || l.w.where(l.name) != addr { // as another member, or to another process
			return next, errMoved
		}
		conn.SetWriteDeadline(time.Now().Add(writeStall))
		for next != nil {
			switch {
			case next.as == me:
				if _, err := out.Write(next.frame); err != nil {
					return nil, err
				}
			case next.as == l.w.me():
				return next, errMoved
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

// serve takes connections until ctx ends.
func (w *wire) serve(ctx context.Context, ln net.Listener) {
	defer context.AfterFunc(ctx, func() { ln.Close() })()
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(redial)
			continue
		}
		go w.read(ctx, conn)
	}
}

// read takes frames of one connection, one after the other: a flood of one member waits for itself.
func (w *wire) read(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetReadDeadline(time.Now().Add(helloWithin))
	in := bufio.NewReaderSize(conn, 64<<10)
	kind, payload, err := frame.Read(in)
	if err == nil && kind == kindDesk {
		w.operator(conn, payload)
		return
	}
	var from takeover.Member
	if err == nil {
		from, err = w.greet(kind, payload)
	}
	if err != nil {
		w.refuse(conn.RemoteAddr().String(), from.Name, err)
		return
	}
	defer w.leave(from.Name)
	conn.SetReadDeadline(time.Time{})
	for {
		kind, payload, err := frame.Read(in)
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, io.ErrUnexpectedEOF) {
				w.refuse(conn.RemoteAddr().String(), from.Name, err)
			}
			return
		}
		if kind != kindHello {
			w.take(from, kind, payload)
		}
	}
}

// operator answers an operator, some at a time.
func (w *wire) operator(conn net.Conn, payload []byte) {
	w.mu.Lock()
	room := w.atDesk < deskMost
	if room {
		w.atDesk++
	}
	w.mu.Unlock()
	if !room {
		w.refuse(conn.RemoteAddr().String(), "", errBusy)
		return
	}
	defer func() {
		w.mu.Lock()
		w.atDesk--
		w.mu.Unlock()
	}()
	w.desk(conn, payload)
}

// greet reads who dials, and refuses whom this member does not know.
func (w *wire) greet(kind byte, payload []byte) (from takeover.Member, err error) {
	var h hello
	switch err := w.coder.in.Unmarshal(payload, &h); {
	case kind != kindHello:
		return from, fmt.Errorf("frame of kind %d before a hello", kind)
	case err != nil:
		return from, fmt.Errorf("hello: %w", err)
	case h.Fleet != w.id:
		return h.From, errors.New("of another fleet: its members have other names")
	case !w.names[h.From.Name]:
		return h.From, errors.New("no member of this fleet")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conns[h.From.Name] >= connsMost {
		return h.From, errors.New("too many connections")
	}
	w.conns[h.From.Name]++
	return h.From, nil
}

func (w *wire) leave(name string) {
	w.mu.Lock()
	w.conns[name]--
	w.mu.Unlock()
}

// refuse logs why a connection was ended, for each reason once in a while.
func (w *wire) refuse(addr, name string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := name + err.Error()
	if len(w.told) > 1000 {
		clear(w.told)
	}
	if time.Since(w.told[key]) < 10*time.Second {
		return
	}
	w.told[key] = time.Now()
	log.Printf("event=fleet_refused peer=%s from=%q err=%q", addr, name, err)
}
