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

const linkDial = time.Second

// link is the way from one member to another: a relay that the sender dials in the receiver's place. Members answer over
// a link of their own, so that one way can break alone. What runs back on the connection is relayed untouched.
type link struct {
	ln     net.Listener
	target string

	mu     sync.Mutex
	random *rand.Rand
	conns  map[*pair]bool
	faults []*Fault
	change chan struct{} // closed and replaced at each change of faults
	over   bool
}

// pair is a relayed connection.
type pair struct{ near, far net.Conn }

func startLink(target string, seed uint64) (*link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{
		ln: ln, target: target, random: rand.New(rand.NewPCG(seed, 2)), conns: map[*pair]bool{}, change: make(chan struct{}),
	}
	go l.accept()
	return l, nil
}

func (l *link) addr() string { return l.ln.Addr().String() }

func (l *link) close() {
	l.ln.Close()
	l.mu.Lock()
	l.over = true
	for p := range l.conns {
		p.near.Close()
		p.far.Close()
	}
	l.stir()
	l.mu.Unlock()
}

// stir wakes all that wait for a change. The caller holds mu.
func (l *link) stir() {
	close(l.change)
	l.change = make(chan struct{})
}

// set begins a fault or ends it.
func (l *link) set(f *Fault, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if on {
		l.faults = append(l.faults, f)
		for p := range l.conns {
			switch f.Kind {
			case Reset:
				if t, ok := p.near.(*net.TCPConn); ok {
					t.SetLinger(0)
				}
				p.near.Close()
				p.far.Close()
			case HalfOpen:
				p.far.Close() // what the sender writes is read and dropped
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
	l.stir()
}

// acting returns the fault of a kind that acts now, and what is closed when faults change.
func (l *link) acting(k Kind) (*Fault, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.faults) - 1; i >= 0; i-- {
		if l.faults[i].Kind == k {
			return l.faults[i], l.change, l.over
		}
	}
	return nil, l.change, l.over
}

func (l *link) draw() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64()
}

// uncut waits until the link is not cut; false: it is closed.
func (l *link) uncut() bool {
	for {
		f, change, over := l.acting(Cut)
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
	if !l.uncut() {
		return
	}
	far, err := net.DialTimeout("tcp", l.target, linkDial)
	if err != nil {
		return
	}
	defer far.Close()
	p := &pair{near, far}
	l.mu.Lock()
	if l.over {
		l.mu.Unlock()
		return
	}
	l.conns[p] = true
	l.mu.Unlock()
	defer func() { l.mu.Lock(); delete(l.conns, p); l.mu.Unlock() }()
	go func() {
		io.Copy(near, far)
		if f, _, _ := l.acting(HalfOpen); f == nil {
			near.Close()
		}
	}()
	l.carry(p)
}

// carry relays frames, as the faults that act have it.
func (l *link) carry(p *pair) {
	var kept []byte // a frame that changes places with the next
	for {
		one, err := nextFrame(p.near)
		if err != nil || !l.uncut() {
			return
		}
		if f, _, _ := l.acting(Delay); f != nil {
			time.Sleep(ms(f.ByMs))
		}
		if f, _, _ := l.acting(Throttle); f != nil {
			time.Sleep(time.Duration(float64(len(one)) / float64(f.Rate) * float64(time.Second)))
		}
		out := [][]byte{one}
		if f, _, _ := l.acting(Frames); f != nil {
			switch x := l.draw(); {
			case x < f.Lose:
				out = nil
			case x < f.Lose+f.Double:
				out = append(out, one)
			case x < f.Lose+f.Double+f.Swap && kept == nil:
				kept, out = one, nil
			}
		}
		if kept != nil && len(out) > 0 {
			out, kept = append(out, kept), nil
		}
		for _, b := range out {
			if _, err := p.far.Write(b); err != nil {
				if f, _, _ := l.acting(HalfOpen); f == nil {
					return
				}
			}
		}
	}
}

// nextFrame reads a frame as it is, without a look at its payload.
func nextFrame(in io.Reader) ([]byte, error) {
	head := make([]byte, frame.HeaderSize)
	if _, err := io.ReadFull(in, head); err != nil {
		return nil, err
	}
	n, err := frame.PayloadSize(head)
	var other frame.VersionError
	if errors.As(err, &other) { // of another build: the length stands at the same place
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
