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
	linkDialTimeout = time.Second
	linkBufferBytes = 4 << 10
)

// frameHello is the frame kind of the first frame of a connection, numbered as in package fleet.
const frameHello = 0

// frameKindNames are the names of the frame kinds in package fleet, by number.
var frameKindNames = []string{"hello", "raft", "custody", "ask", "grant", "view_ask", "view", "leave", "desk", "want", "have", "segments", "taken"}

// FrameCounts counts the complete frames of one member. Bytes include frame headers.
type FrameCounts struct {
	OutFrames, OutBytes int64            // read from the member
	InFrames, InBytes   int64            // written to it
	LostFrames          int64            // read from other members for it, but not written because its connection was closed
	Out                 map[string]int64 // frames read from the member, by kind
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

// since returns the difference to earlier counts.
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

// links are the relays between members. Each member has a relay, which the other members dial instead of it. A connection carries frames
// in one direction, and its first frame names the dialing member. A frame is counted for its sender when it has been read, and for its
// receiver when it has been written completely.
type links struct {
	mu     sync.Mutex
	counts map[string]*FrameCounts
	lns    []net.Listener
	conns  map[net.Conn]bool
	closed bool
}

func newLinks() *links { return &links{counts: map[string]*FrameCounts{}, conns: map[net.Conn]bool{}} }

// open listens at front and relays the connections to the member at target.
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

// track registers a connection for close. It returns false if close has been called.
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
	far, err := net.DialTimeout("tcp", target, linkDialTimeout)
	if err != nil {
		return
	}
	defer l.untrack(far)
	if !l.track(far) {
		return
	}
	go func() { // An operator gets its reply on the same connection. On a connection between members, only the close is relayed.
		io.Copy(near, far)
		near.Close()
	}()
	in := bufio.NewReaderSize(near, linkBufferBytes)
	var data []byte
	from := ""
	for first := true; ; first = false {
		if data, err = readFrame(in, data[:0]); err != nil {
			return
		}
		kind := data[3]
		if first && kind == frameHello {
			if from, err = decodeHelloSender(data[frame.HeaderSize:]); err != nil {
				return
			}
		}
		if from != "" {
			l.countSent(from, kind, len(data))
		}
		_, err := far.Write(data)
		if from != "" {
			l.countReceived(to, len(data), err == nil)
		}
		if err != nil {
			return
		}
	}
}

// readFrame reads a frame with its header into buf, which it grows as needed, and returns it.
func readFrame(in io.Reader, buf []byte) ([]byte, error) {
	buf = slices.Grow(buf, frame.HeaderSize)[:frame.HeaderSize]
	if _, err := io.ReadFull(in, buf); err != nil {
		return nil, err
	}
	n, err := frame.PayloadSize(buf)
	if err != nil {
		return nil, err
	}
	buf = slices.Grow(buf, n)[:frame.HeaderSize+n]
	_, err = io.ReadFull(in, buf[frame.HeaderSize:])
	return buf, err
}

// decodeHelloSender returns the name of the dialing member from the payload of a hello frame.
func decodeHelloSender(payload []byte) (string, error) {
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
		return "", fmt.Errorf("decode hello frame: %w", err)
	}
	return h.From.Name, nil
}

func (l *links) countsOf(name string) *FrameCounts {
	t := l.counts[name]
	if t == nil {
		t = &FrameCounts{Out: map[string]int64{}}
		l.counts[name] = t
	}
	return t
}

func (l *links) countSent(from string, kind byte, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.countsOf(from)
	t.OutFrames, t.OutBytes = t.OutFrames+1, t.OutBytes+int64(bytes)
	name := "other"
	if int(kind) < len(frameKindNames) {
		name = frameKindNames[kind]
	}
	t.Out[name]++
}

func (l *links) countReceived(to string, bytes int, complete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.countsOf(to)
	if !complete {
		t.LostFrames++
		return
	}
	t.InFrames, t.InBytes = t.InFrames+1, t.InBytes+int64(bytes)
}

// snapshot returns a copy of the counts, by member, and the number of open connections.
func (l *links) snapshot() (map[string]FrameCounts, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]FrameCounts, len(l.counts))
	for name, t := range l.counts {
		counts := *t
		counts.Out = maps.Clone(t.Out)
		out[name] = counts
	}
	return out, len(l.conns)
}
