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

const linkDialTimeout = time.Second

// link is the path from one member to another: a relay that the sender dials instead of the receiver. Each direction has a
// link of its own, so that one can fail alone. Bytes that flow back on a connection are relayed unchanged.
type link struct {
	ln     net.Listener
	target string

	mu     sync.Mutex
	random *rand.Rand
	conns  map[*relayedConn]bool
	faults []*Fault
	change chan struct{} // closed and replaced at each change of faults
	closed bool
}

// relayedConn is a relayed connection.
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
	for p := range l.conns {
		p.sender.Close()
		p.receiver.Close()
	}
	l.notifyChange()
	l.mu.Unlock()
}

// notifyChange wakes all that wait for a change. The caller holds mu.
func (l *link) notifyChange() {
	close(l.change)
	l.change = make(chan struct{})
}

// setFault starts or ends a fault.
func (l *link) setFault(f *Fault, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if on {
		l.faults = append(l.faults, f)
		for p := range l.conns {
			switch f.Kind {
			case Reset:
				if t, ok := p.sender.(*net.TCPConn); ok {
					t.SetLinger(0)
				}
				p.sender.Close()
				p.receiver.Close()
			case HalfOpen:
				p.receiver.Close() // bytes from the sender are still read, and dropped
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

// active returns the active fault of a kind, and a channel that is closed when the faults change.
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

// waitConnected blocks while the link is partitioned; false: it is closed.
func (l *link) waitConnected() bool {
	for {
		f, change, over := l.active(Partition)
		if over {
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
		near, err := l.ln.Accept()
		if err != nil {
			return
		}
		go l.relay(near)
	}
}

func (l *link) relay(near net.Conn) {
	defer near.Close()
	if !l.waitConnected() {
		return
	}
	far, err := net.DialTimeout("tcp", l.target, linkDialTimeout)
	if err != nil {
		return
	}
	defer far.Close()
	p := &relayedConn{near, far}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.conns[p] = true
	l.mu.Unlock()
	defer func() { l.mu.Lock(); delete(l.conns, p); l.mu.Unlock() }()
	go func() {
		io.Copy(near, far)
		if f, _, _ := l.active(HalfOpen); f == nil {
			near.Close()
		}
	}()
	l.forward(p)
}

// forward relays frames, subject to the active faults.
func (l *link) forward(p *relayedConn) {
	var reordered []byte // reordered: goes out behind the next frame
	for {
		current, err := nextFrame(p.sender)
		if err != nil || !l.waitConnected() {
			return
		}
		if f, _, _ := l.active(Delay); f != nil {
			time.Sleep(ms(f.DelayMs))
		}
		if f, _, _ := l.active(Throttle); f != nil {
			time.Sleep(time.Duration(float64(len(current)) / float64(f.BytesPerSecond) * float64(time.Second)))
		}
		out := [][]byte{current}
		if f, _, _ := l.active(FrameFaults); f != nil {
			switch x := l.randomFloat(); {
			case x < f.LossShare:
				out = nil
			case x < f.LossShare+f.DuplicateShare:
				out = append(out, current)
			case x < f.LossShare+f.DuplicateShare+f.ReorderShare && reordered == nil:
				reordered, out = current, nil
			}
		}
		if reordered != nil && len(out) > 0 {
			out, reordered = append(out, reordered), nil
		}
		for _, b := range out {
			if _, err := p.receiver.Write(b); err != nil {
				if f, _, _ := l.active(HalfOpen); f == nil {
					return
				}
			}
		}
	}
}

// nextFrame reads one frame without decoding its payload.
func nextFrame(in io.Reader) ([]byte, error) {
	head := make([]byte, frame.HeaderSize)
	if _, err := io.ReadFull(in, head); err != nil {
		return nil, err
	}
	n, err := frame.PayloadSize(head)
	var other frame.VersionError
	if errors.As(err, &other) { // of another build: the length is at the same offset
		head[2], other.Version = frame.Version, head[2]
		n, err = frame.PayloadSize(head)
		head[2] = other.Version
	}
	if err != nil {
		return nil, err
	}
	one := append(head, make([]byte, n)...)
	_, err = io.ReadFull(in, one[frame.HeaderSize:])
	return one, err
}
