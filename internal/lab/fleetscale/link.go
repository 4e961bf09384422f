package fleetscale

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"damsonscale/internal/frame"
)

const (
	linkDial   = time.Second
	linkBuffer = 4 << 10
)

// Kinds of frames, as fleet numbers them on the wire.
const frameHello = 0

var frameKindNames = []string{"hello", "raft", "custody", "ask", "grant", "view_ask", "view", "leave", "desk", "want", "have", "segments", "taken"}

// Tally counts whole frames with their heads.
type FrameCounts struct {
	OutFrames, OutBytes int64 // read from the member
	InFrames, InBytes   int64 // written to it
	LostFrames          int64 // read from others for it, and not written: it had gone
	Out                 map[string]int64
}

func (t *FrameCounts) add(o FrameCounts) {
	t.OutFrames, t.OutBytes = t.OutFrames+o.OutFrames, t.OutBytes+o.OutBytes
	t.InFrames, t.InBytes, t.LostFrames = t.InFrames+o.InFrames, t.InBytes+o.InBytes, t.LostFrames+o.LostFrames
	if t.Out == nil {
		t.Out = map[string]int64{}
	}
	for k, n := range o.Out {
		t.Out[k] += n
	}
}

// since is what came after an earlier tally.
func (t FrameCounts) since(o FrameCounts) FrameCounts {
	out := FrameCounts{
		OutFrames: t.OutFrames - o.OutFrames, OutBytes: t.OutBytes - o.OutBytes, InFrames: t.InFrames - o.InFrames, InBytes: t.InBytes - o.InBytes,
		LostFrames: t.LostFrames - o.LostFrames, Out: maps.Clone(t.Out),
	}
	for k, n := range o.Out {
		out.Out[k] -= n
	}
	return out
}

// links stand between members: one listener in front of each, which the others dial in its place. A connection carries one way,
// and its first frame says who dials, so that each frame counts at its sender when it was read and at its receiver when it was
// written whole.
type links struct {
	mu     sync.Mutex
	counts map[string]*FrameCounts
	lns    []net.Listener
	conns  map[net.Conn]bool
	closed bool
}

func newLinks() *links { return &links{counts: map[string]*FrameCounts{}, conns: map[net.Conn]bool{}} }

// open relays from front to a member at target.
func (l *links) open(name, front, target string) error {
	ln, err := net.Listen("tcp", front)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.lns = append(l.lns, ln)
	l.mu.Unlock()
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			go l.relay(name, target, near)
		}
	}()
	return nil
}

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, ln := range l.lns {
		ln.Close()
	}
	for c := range l.conns {
		c.Close()
	}
}

// track notes a connection, unless all are to be closed.
func (l *links) track(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.conns[c] = true
	}
	return !l.closed
}

func (l *links) untrack(c net.Conn) {
	c.Close()
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

func (l *links) relay(to, target string, near net.Conn) {
	defer l.untrack(near)
	if !l.track(near) {
		return
	}
	far, err := net.DialTimeout("tcp", target, linkDial)
	if err != nil {
		return
	}
	defer l.untrack(far)
	if !l.track(far) {
		return
	}
	go func() { // an operator is answered on its own connection; a member's only ends
		io.Copy(near, far)
		near.Close()
	}()
	in := bufio.NewReaderSize(near, linkBuffer)
	var one []byte
	from := ""
	for first := true; ; first = false {
		if one, err = nextFrame(in, one[:0]); err != nil {
			return
		}
		kind := one[3]
		if first && kind == frameHello {
			if from, err = helloSender(one[frame.HeaderSize:]); err != nil {
				return
			}
		}
		if from != "" {
			l.sent(from, kind, len(one))
		}
		_, err := far.Write(one)
		if from != "" {
			l.received(to, len(one), err == nil)
		}
		if err != nil {
			return
		}
	}
}

// nextFrame appends a frame as it is.
func nextFrame(in io.Reader, to []byte) ([]byte, error) {
	to = slices.Grow(to, frame.HeaderSize)[:frame.HeaderSize]
	if _, err := io.ReadFull(in, to); err != nil {
		return nil, err
	}
	n, err := frame.PayloadSize(to)
	if err != nil {
		return nil, err
	}
	to = slices.Grow(to, n)[:frame.HeaderSize+n]
	_, err = io.ReadFull(in, to[frame.HeaderSize:])
	return to, err
}

// helloSender reads the name out of a hello.
func helloSender(payload []byte) (string, error) {
	var h struct {
		_     struct{} `cbor:",toarray"`
		Fleet uint64
		From  struct {
			_           struct{} `cbor:",toarray"`
			Name        string
			Incarnation uint64
		}
	}
	if err := cbor.Unmarshal(payload, &h); err != nil {
		return "", fmt.Errorf("hello: %w", err)
	}
	return h.From.Name, nil
}

func (l *links) tallyOf(name string) *FrameCounts {
	t := l.counts[name]
	if t == nil {
		t = &FrameCounts{Out: map[string]int64{}}
		l.counts[name] = t
	}
	return t
}

func (l *links) sent(from string, kind byte, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.tallyOf(from)
	t.OutFrames, t.OutBytes = t.OutFrames+1, t.OutBytes+int64(bytes)
	name := "other"
	if int(kind) < len(frameKindNames) {
		name = frameKindNames[kind]
	}
	t.Out[name]++
}

func (l *links) received(to string, bytes int, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.tallyOf(to)
	if !whole {
		t.LostFrames++
		return
	}
	t.InFrames, t.InBytes = t.InFrames+1, t.InBytes+int64(bytes)
}

// tallies copies the counts so far, by name, and tells how many connections are open.
func (l *links) tallies() (map[string]FrameCounts, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]FrameCounts, len(l.counts))
	for name, t := range l.counts {
		one := *t
		one.Out = maps.Clone(t.Out)
		out[name] = one
	}
	return out, len(l.conns)
}
