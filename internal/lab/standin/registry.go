package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Fault is what a registry does with the calls that come.
type Fault int

// Faults of a registry.
const (
	NoFault            Fault = iota // none
	RefuseConnections               // nobody listens at its address
	NeverRespond                    // calls are accepted and never answered; one that works in turn answers them later
	TrickleHeaders                  // heads come byte by byte, and never whole
	RespondUnavailable              // 503
	ResetConnections                // once the call was read
	SendInvalidList                 // what comes is no list
	EndAfterHeaders                 // watches end after their head
	MixedFaults                     // each of these but Refuses, one call after another
	StallAfterHeaders               // calls get their head and nothing more
	StallWithinList                 // calls get half a list and nothing more
	SendPreviousList                // calls get the list that was there before the present one, and empty lines from then on
)

// Break is how the watches that are open come to their end.
type WatchBreak int

// Ways in which an open watch ends.
const (
	WatchSilent           WatchBreak = iota // nothing more comes
	WatchStallsWithinList                   // half a list comes, and empty lines go on
	WatchReset                              // the connection is reset
	WatchEnded                              // the answer ends as it should
)

// Registry is a list service. A call goes on as it began, also where the registry's fault has ended since.
type Registry struct {
	Addr string

	socket int // bound all the time: nobody else has the port while it refuses
	closed chan bool
	turns  chan *Watch // calls in the order in which they came; nil: all are served at once

	mu      sync.Mutex
	fault   Fault
	seq     int64
	text    string        // of the whole list
	before  string        // of the one before it
	lagging string        // what a replica that lags has
	change  chan struct{} // closed when the list or the fault changes
	muted   int           // watches below that number say nothing more
	broken  WatchBreak    // how they came to their end
	left    int           // calls that meet the fault before all is good; 0: all do
	calls   int
	worked  int                 // of them, in turn
	told    map[int64]time.Time // when a version was first written whole to anybody
}

// NewRegistry makes one in that state; it listens unless it refuses.
func NewRegistry(t testing.TB, fault Fault) *Registry {
	t.Helper()
	r := &Registry{fault: fault, change: make(chan struct{}), closed: make(chan bool), told: map[int64]time.Time{}}
	free, addr := BindLoopback(t, 0, syscall.SO_REUSEADDR)
	port := netip.MustParseAddrPort(addr).Port()
	// By name: a listener that is shut down gives a port back that the system chose. The first goes only then, so nobody gets it between.
	fd, addr := BindLoopback(t, int(port), syscall.SO_REUSEADDR)
	syscall.Close(free)
	r.socket, r.Addr = fd, addr
	t.Cleanup(func() {
		close(r.closed)
		syscall.Shutdown(fd, syscall.SHUT_RDWR)
		syscall.Close(fd)
	})
	if fault != RefuseConnections {
		r.listen(t)
	}
	return r
}

// InTurn has the registry work through its calls one after the other, so long each, also through those that were given up.
// It must be called before the first call; the registry works while it is good.
func (r *Registry) ServeSequentially(each time.Duration) {
	r.turns = make(chan *Watch, 1<<16)
	go func() {
		for {
			select {
			case <-r.closed:
				return
			case w := <-r.turns:
				if !r.wait(func() bool { return r.fault == NoFault }) {
					return
				}
				time.Sleep(each)
				r.mu.Lock()
				r.worked++
				r.mu.Unlock()
				go r.serve(w)
			}
		}
	}()
}

func (r *Registry) listen(t testing.TB) {
	t.Helper()
	if err := syscall.Listen(r.socket, 1024); err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(must(t, func() (int, error) { return syscall.Dup(r.socket) })), "registry")
	defer f.Close()
	ln, err := net.FileListener(f)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go r.accepted(c.(*net.TCPConn))
		}
	}()
}

func must[T any](t testing.TB, f func() (T, error)) T {
	t.Helper()
	v, err := f()
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// List sets the whole list, as text on one line; watches are told at once, while the registry is good.
func (r *Registry) SetList(seq int64, text string) {
	r.set(func() { r.seq, r.text, r.before = seq, text, r.text })
}

// Return ends the fault, and says when the registry could be reached and was able to answer.
func (r *Registry) Recover(t testing.TB) time.Time {
	t.Helper()
	r.mu.Lock()
	refused := r.fault == RefuseConnections
	r.mu.Unlock()
	r.set(func() { r.fault, r.left = NoFault, 0 })
	if refused {
		r.listen(t)
	}
	return time.Now()
}

// Fail has all calls meet a fault until the return, and the watches that are open end, or say nothing more where it is one of
// silence. One that refuses closes its listener.
func (r *Registry) InjectFault(fault Fault) {
	r.set(func() {
		r.fault, r.left, r.broken, r.muted = fault, 0, WatchEnded, r.calls
		if fault == NeverRespond {
			r.broken = WatchSilent
		}
	})
	if fault == RefuseConnections {
		syscall.Shutdown(r.socket, syscall.SHUT_RDWR)
	}
}

// Fall has the watches that are open say nothing more, and calls meet that fault, which may be none.
func (r *Registry) SilenceWatches(fault Fault) time.Time {
	r.set(func() { r.fault, r.muted = fault, r.calls })
	return time.Now()
}

// BreakWatches ends the watches that are open, and the next calls, so many, meet that fault; those after them are served.
func (r *Registry) BreakWatches(how WatchBreak, fault Fault, calls int) time.Time {
	r.set(func() {
		r.broken, r.muted, r.lagging = how, r.calls, r.before
		if calls > 0 {
			r.fault, r.left = fault, calls
		}
	})
	return time.Now()
}

// Told is when that version was first written to anybody.
func (r *Registry) FirstSent(seq int64) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.told[seq]
	return at, ok
}

// Calls is how many have come, in whatever state.
func (r *Registry) Calls() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}

// Worked is how many calls it has worked through in turn.
func (r *Registry) Served() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.worked
}

func (r *Registry) set(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	close(r.change)
	r.change = make(chan struct{})
}

// wait returns once ok, under the lock; false: the test is over.
func (r *Registry) wait(ok func() bool) bool {
	for {
		r.mu.Lock()
		change, is := r.change, ok()
		r.mu.Unlock()
		if is {
			return true
		}
		select {
		case <-change:
		case <-r.closed:
			return false
		}
	}
}

func (r *Registry) accepted(c *net.TCPConn) {
	r.mu.Lock()
	n, fault := r.calls, r.fault
	r.calls++
	if r.left > 0 {
		if r.left--; r.left == 0 {
			r.fault = NoFault
		}
	}
	r.mu.Unlock()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		c.Close()
		return
	}
	w := &Watch{c, req.URL.RawQuery, n}
	if r.turns != nil && (fault == NoFault || fault == NeverRespond) {
		r.turns <- w
		return
	}
	defer c.Close()
	if fault == MixedFaults {
		fault = NeverRespond + Fault(n)%(MixedFaults-NeverRespond)
	}
	switch fault {
	case NoFault:
		r.serve(w)
	case NeverRespond:
		w.WaitForClose()
	case TrickleHeaders:
		for text := "HTTP/1.1 200 OK\r\nX: "; ; text = "x" {
			if _, err := io.WriteString(w, text); err != nil {
				return
			}
			select {
			case <-time.After(100 * time.Millisecond):
			case <-r.closed:
				return
			}
		}
	case RespondUnavailable:
		WriteResponse(w, 503, "", "")
	case ResetConnections:
		w.SetLinger(0)
	case SendInvalidList:
		w.WriteHeaders()
		w.WriteChunk("[1]\n")
	case EndAfterHeaders:
		w.WriteHeaders()
	case StallAfterHeaders:
		w.WriteHeaders()
		w.WaitForClose()
	case StallWithinList:
		w.WriteHeaders()
		w.WriteChunk(half)
		w.WaitForClose()
	case SendPreviousList:
		r.lag(w)
	}
}

// lag serves a watch as a replica does that has not seen the latest change.
func (r *Registry) lag(w *Watch) {
	w.WriteHeaders()
	r.mu.Lock()
	text := r.lagging
	r.mu.Unlock()
	for w.WriteChunk(text+"\n") == nil {
		text = ""
		select {
		case <-time.After(time.Second):
		case <-r.closed:
			return
		}
	}
}

// half is the first part of a list whose rest never comes.
const half = `{"seq":50,"whole":true,"hosts":[{"host":"s1",`

// serve tells one watch of the list as it is and of each change.
func (r *Registry) serve(w *Watch) {
	defer w.Close()
	gone := make(chan bool)
	go func() {
		w.WaitForClose()
		close(gone)
	}()
	beat := time.NewTicker(2 * time.Second)
	defer beat.Stop()
	w.WriteHeaders()
	for last, begunHalf := int64(-1), false; ; {
		r.mu.Lock()
		change, seq, text, muted, broken := r.change, r.seq, r.text, w.Index < r.muted, r.broken
		r.mu.Unlock()
		switch {
		case !muted || broken == WatchSilent:
		case broken == WatchReset:
			w.SetLinger(0)
			return
		case broken == WatchEnded:
			io.WriteString(w, "0\r\n\r\n")
			return
		case !begunHalf:
			begunHalf = true
			w.WriteChunk(half)
		}
		if seq != last && !muted {
			if w.WriteChunk(text+"\n") != nil {
				return
			}
			r.mu.Lock()
			if _, ok := r.told[seq]; !ok {
				r.told[seq] = time.Now()
			}
			r.mu.Unlock()
			last = seq
		}
		select {
		case <-change:
		case <-gone:
			return
		case <-r.closed:
			return
		case <-beat.C:
			if !muted || begunHalf {
				w.WriteChunk("\n")
			}
		}
	}
}
