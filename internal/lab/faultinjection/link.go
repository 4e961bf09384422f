package faultinjection

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"damsonscale/internal/frame"
)

const linkDialTimeout = time.Second // for the connection from a link to the receiving member

// link is the path from one member to another: a relay that the sender dials instead of the receiver. Each direction has a link of its
// own, so that one direction can fail alone. Bytes that the receiver sends back on a connection are relayed unchanged.
type link struct {
	ln     net.Listener
	target string // address of the receiving member

	mu     sync.Mutex
	random *rand.Rand
	conns  map[*relayedConn]bool
	faults []*Fault      // active ones, in order of their start
	change chan struct{} // closed and replaced when faults or closed change
	closed bool
}

// relayedConn is a relayed connection, with the side of the sending and of the receiving member.
type relayedConn struct{ sender, receiver net.Conn }

func startLink(target string, seed uint64) (*link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{
		ln: ln, target: target, random: rand.New(rand.NewPCG(seed, 2)), conns: map[*relayedConn]bool{}, change: make(chan struct{}),
	}
	go l.accept()
	return l, nil
}

func (l *link) addr() string { return l.ln.Addr().String() }

func (l *link) close() {
	l.ln.Close()
	l.mu.Lock()
	l.closed = true
	for c := range l.conns {
		c.sender.Close()
		c.receiver.Close()
	}
	l.notifyChange()
	l.mu.Unlock()
}

// notifyChange wakes the goroutines that wait for a change. The caller holds mu.
func (l *link) notifyChange() {
	close(l.change)
	l.change = make(chan struct{})
}

// setFault activates or deactivates a fault.
func (l *link) setFault(f *Fault, active bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if active {
		l.faults = append(l.faults, f)
		for c := range l.conns {
			switch f.Kind {
			case Reset:
				if t, ok := c.sender.(*net.TCPConn); ok {
					t.SetLinger(0)
				}
				c.sender.Close()
				c.receiver.Close()
			case HalfOpen:
				c.receiver.Close() // forward still reads bytes from the sender, and drops them
			}
		}
	} else {
		for i, g := range l.faults {
			if g == f {
				l.faults = append(l.faults[:i], l.faults[i+1:]...)
				break
			}
		}
	}
	l.notifyChange()
}

// active returns three things: the most recently started active fault of the kind, or nil; a channel that is closed at the next change;
// and whether the link is closed.
func (l *link) active(k FaultKind) (*Fault, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.faults) - 1; i >= 0; i-- {
		if l.faults[i].Kind == k {
			return l.faults[i], l.change, l.closed
		}
	}
	return nil, l.change, l.closed
}

func (l *link) randomFloat() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64()
}

// waitConnected blocks while the link is partitioned. It returns false if the link is closed.
func (l *link) waitConnected() bool {
	for {
		f, change, closed := l.active(Partition)
		if closed {
			return false
		}
		if f == nil {
			return true
		}
		<-change
	}
}

func (l *link) accept() {
	for {
		sender, err := l.ln.Accept()
		if err != nil {
			return
		}
		go l.relay(sender)
	}
}

// relay connects to the receiver and relays bytes in both directions until the sender's connection ends.
func (l *link) relay(sender net.Conn) {
	defer sender.Close()
	if !l.waitConnected() {
		return
	}
	receiver, err := net.DialTimeout("tcp", l.target, linkDialTimeout)
	if err != nil {
		return
	}
	defer receiver.Close()
	c := &relayedConn{sender, receiver}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.conns[c] = true
	l.mu.Unlock()
	defer func() { l.mu.Lock(); delete(l.conns, c); l.mu.Unlock() }()
	go func() {
		io.Copy(sender, receiver)
		if f, _, _ := l.active(HalfOpen); f == nil {
			sender.Close()
		}
	}()
	l.forward(c)
}

// forward relays frames from the sender to the receiver, subject to the active faults.
func (l *link) forward(c *relayedConn) {
	var reordered []byte // frame that is sent after the next one
	for {
		current, err := nextFrame(c.sender)
		if err != nil || !l.waitConnected() {
			return
		}
		if f, _, _ := l.active(Delay); f != nil {
			time.Sleep(ms(f.DelayMs))
		}
		if f, _, _ := l.active(Throttle); f != nil {
			time.Sleep(time.Duration(float64(len(current)) / float64(f.BytesPerSecond) * float64(time.Second)))
		}
		frames := [][]byte{current}
		if f, _, _ := l.active(FrameFaults); f != nil {
			switch x := l.randomFloat(); {
			case x < f.LossShare:
				frames = nil
			case x < f.LossShare+f.DuplicateShare:
				frames = append(frames, current)
			case x < f.LossShare+f.DuplicateShare+f.ReorderShare && reordered == nil:
				reordered, frames = current, nil
			}
		}
		if reordered != nil && len(frames) > 0 {
			frames, reordered = append(frames, reordered), nil
		}
		for _, b := range frames {
			if _, err := c.receiver.Write(b); err != nil {
				if f, _, _ := l.active(HalfOpen); f == nil {
					return
				}
			}
		}
	}
}

// nextFrame reads one frame with its header, without decoding the payload.
func nextFrame(in io.Reader) ([]byte, error) {
	header := make([]byte, frame.HeaderSize)
	if _, err := io.ReadFull(in, header); err != nil {
		return nil, err
	}
	n, err := frame.PayloadSize(header)
	var other frame.VersionError
	if errors.As(err, &other) { // a frame of another version has its length at the same offset
		header[2], other.Version = frame.Version, header[2]
		n, err = frame.PayloadSize(header)
		header[2] = other.Version
	}
	if err != nil {
		return nil, err
	}
	frameBytes := append(header, make([]byte, n)...)
	_, err = io.ReadFull(in, frameBytes[frame.HeaderSize:])
	return frameBytes, err
}
