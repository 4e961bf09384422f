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

// Fault selects how a registry handles new calls.
type Fault int

// Faults of a registry.
const (
	NoFault            Fault = iota
	RefuseConnections        // the registry does not listen
	NeverRespond             // calls are accepted and never answered; with ServeSequentially they are answered after the fault
	TrickleHeaders           // the response headers arrive byte by byte and never end
	RespondUnavailable       // calls are answered with status 503
	ResetConnections         // the connection is reset after the request headers have been read
	SendInvalidList          // the response is valid HTTP, but its body is no endpoint list
	EndAfterHeaders          // the connection ends after the response headers
	MixedFaults              // calls get the faults from NeverRespond to EndAfterHeaders in turn
	StallAfterHeaders        // nothing follows the response headers
	StallWithinList          // nothing follows the first part of a list
	SendPreviousList         // calls get the previous list, as from a replica that lags, and then only heartbeats
)

// WatchBreak selects how the open watches of a registry fail.
type WatchBreak int

// Ways in which an open watch fails.
const (
	WatchSilent           WatchBreak = iota // the connection stays open, but carries nothing more
	WatchStallsWithinList                   // the first part of a list arrives; from then on only heartbeats do
	WatchReset                              // the connection is reset
	WatchEnded                              // the response ends regularly
)

// Registry is a discovery service with injectable faults. The fault at the arrival of a call applies to this call to its
// end, even after the registry has recovered.
type Registry struct {
	Addr string

	socketFD int         // stays bound throughout, so that no other process gets the port while the registry refuses connections
	closed   chan bool   // closed when the test ends
	pending  chan *Watch // calls that ServeSequentially has still to serve, in order of arrival; nil: all calls are served at once

	mu           sync.Mutex
	fault        Fault
	seq          int64
	list         string        // full list, encoded
	previousList string        // list before the latest change
	staleList    string        // list that SendPreviousList serves
	changed      chan struct{} // closed and replaced when the list or the fault changes
	firstIntact  int           // watches with a smaller index are broken
	watchBreak   WatchBreak    // how these watches fail
	faultyCalls  int           // number of further calls that get the fault, which then ends by itself; 0: the fault lasts until Recover
	calls        int
	served       int                 // number of calls served sequentially
	firstSent    map[int64]time.Time // when a list version was first written to a watch, by sequence number
}

// NewRegistry returns a registry with the given fault. The registry listens unless the fault is RefuseConnections.
func NewRegistry(t testing.TB, fault Fault) *Registry {
	t.Helper()
	r := &Registry{fault: fault, changed: make(chan struct{}), closed: make(chan bool), firstSent: map[int64]time.Time{}}
	chosen, addr := BindLoopback(t, 0, syscall.SO_REUSEADDR)
	port := netip.MustParseAddrPort(addr).Port()
	// The shutdown of a listener releases a port that the system has chosen, but keeps a port that was requested by number. The port is
	// therefore bound a second time by number. The first socket is closed after that, so that no other process can take the port.
	fd, addr := BindLoopback(t, int(port), syscall.SO_REUSEADDR)
	syscall.Close(chosen)
	r.socketFD, r.Addr = fd, addr
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

// ServeSequentially makes the registry serve its calls one after another, in order of arrival and each for serviceTime, including calls
// that the client has abandoned. The registry serves them only while there is no fault. ServeSequentially must be called
// before the first call arrives.
func (r *Registry) ServeSequentially(serviceTime time.Duration) {
	r.pending = make(chan *Watch, 1<<16)
	go func() {
		for {
			select {
			case <-r.closed:
				return
			case w := <-r.pending:
				if !r.waitUntil(func() bool { return r.fault == NoFault }) {
					return
				}
				time.Sleep(serviceTime)
				r.mu.Lock()
				r.served++
				r.mu.Unlock()
				go r.serveWatch(w)
			}
		}
	}()
}

func (r *Registry) listen(t testing.TB) {
	t.Helper()
	if err := syscall.Listen(r.socketFD, 1024); err != nil {
		t.Fatalf("listen at %s: %v", r.Addr, err)
	}
	f := os.NewFile(uintptr(must(t, func() (int, error) { return syscall.Dup(r.socketFD) })), "registry")
	defer f.Close()
	ln, err := net.FileListener(f)
	if err != nil {
		t.Fatalf("listener at %s: %v", r.Addr, err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go r.handleConn(c.(*net.TCPConn))
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

// SetList sets the full list, encoded on one line, and its sequence number. Intact watches get the list at once.
func (r *Registry) SetList(seq int64, list string) {
	r.update(func() { r.seq, r.list, r.previousList = seq, list, r.list })
}

// Recover ends the fault and returns the time from which calls are accepted and served.
func (r *Registry) Recover(t testing.TB) time.Time {
	t.Helper()
	r.mu.Lock()
	refused := r.fault == RefuseConnections
	r.mu.Unlock()
	r.update(func() { r.fault, r.faultyCalls = NoFault, 0 })
	if refused {
		r.listen(t)
	}
	return time.Now()
}

// InjectFault applies a fault to all calls until Recover. Open watches end; with NeverRespond they stay open and become silent.
// RefuseConnections closes the listener.
func (r *Registry) InjectFault(fault Fault) {
	r.update(func() {
		r.fault, r.faultyCalls, r.watchBreak, r.firstIntact = fault, 0, WatchEnded, r.calls
		if fault == NeverRespond {
			r.watchBreak = WatchSilent
		}
	})
	if fault == RefuseConnections {
		syscall.Shutdown(r.socketFD, syscall.SHUT_RDWR)
	}
}

// SilenceWatches breaks the open watches, which become silent unless BreakWatches or InjectFault has set another break, and applies a
// fault to the calls that follow. The fault may be NoFault. SilenceWatches returns the time at which the watches were broken.
func (r *Registry) SilenceWatches(fault Fault) time.Time {
	r.update(func() { r.fault, r.firstIntact = fault, r.calls })
	return time.Now()
}

// BreakWatches breaks the open watches in the given way and applies a fault to the given number of next calls. Later calls are served. It
// returns the time at which the watches were broken.
func (r *Registry) BreakWatches(how WatchBreak, fault Fault, calls int) time.Time {
	r.update(func() {
		r.watchBreak, r.firstIntact, r.staleList = how, r.calls, r.previousList
		if calls > 0 {
			r.fault, r.faultyCalls = fault, calls
		}
	})
	return time.Now()
}

// FirstSent returns when the list with the given sequence number was first written to a watch, and whether it was written at all.
func (r *Registry) FirstSent(seq int64) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.firstSent[seq]
	return at, ok
}

// Calls returns how many calls have arrived, whether or not they were served.
func (r *Registry) Calls() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}

// Served returns how many calls have been served sequentially.
func (r *Registry) Served() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.served
}

// update calls f under the lock and wakes all goroutines that wait for a change.
func (r *Registry) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	close(r.changed)
	r.changed = make(chan struct{})
}

// waitUntil waits until ok returns true. It calls ok under the lock, and returns false if the test ends first.
func (r *Registry) waitUntil(ok func() bool) bool {
	for {
		r.mu.Lock()
		changed, done := r.changed, ok()
		r.mu.Unlock()
		if done {
			return true
		}
		select {
		case <-changed:
		case <-r.closed:
			return false
		}
	}
}

func (r *Registry) handleConn(c *net.TCPConn) {
	r.mu.Lock()
	index, fault := r.calls, r.fault
	r.calls++
	if r.faultyCalls > 0 {
		if r.faultyCalls--; r.faultyCalls == 0 {
			r.fault = NoFault
		}
	}
	r.mu.Unlock()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		c.Close()
		return
	}
	w := &Watch{c, req.URL.RawQuery, index}
	if r.pending != nil && (fault == NoFault || fault == NeverRespond) {
		r.pending <- w
		return
	}
	defer c.Close()
	if fault == MixedFaults {
		fault = NeverRespond + Fault(index)%(MixedFaults-NeverRespond)
	}
	switch fault {
	case NoFault:
		r.serveWatch(w)
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
		w.WriteChunk(partialList)
		w.WaitForClose()
	case SendPreviousList:
		r.serveStaleList(w)
	}
}

// serveStaleList serves a watch like a replica of the discovery service that has not received the latest change: it sends the previous list
// and then only heartbeats.
func (r *Registry) serveStaleList(w *Watch) {
	w.WriteHeaders()
	r.mu.Lock()
	text := r.staleList
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

// partialList is the first part of a list whose rest is never sent.
const partialList = `{"seq":50,"whole":true,"hosts":[{"host":"s1",`

// serveWatch sends the list and each later list, with heartbeats in between, until the watch is broken, the client closes it or the test
// ends. A watch that WatchSilent or WatchStallsWithinList breaks stays open.
func (r *Registry) serveWatch(w *Watch) {
	defer w.Close()
	gone := make(chan bool)
	go func() {
		w.WaitForClose()
		close(gone)
	}()
	heartbeat := time.NewTicker(2 * time.Second)
	defer heartbeat.Stop()
	w.WriteHeaders()
	for last, stalled := int64(-1), false; ; {
		r.mu.Lock()
		changed, seq, list, broken, how := r.changed, r.seq, r.list, w.Index < r.firstIntact, r.watchBreak
		r.mu.Unlock()
		switch {
		case !broken || how == WatchSilent:
		case how == WatchReset:
			w.SetLinger(0)
			return
		case how == WatchEnded:
			io.WriteString(w, "0\r\n\r\n")
			return
		case !stalled:
			stalled = true
			w.WriteChunk(partialList)
		}
		if seq != last && !broken {
			if w.WriteChunk(list+"\n") != nil {
				return
			}
			r.mu.Lock()
			if _, ok := r.firstSent[seq]; !ok {
				r.firstSent[seq] = time.Now()
			}
			r.mu.Unlock()
			last = seq
		}
		select {
		case <-changed:
		case <-gone:
			return
		case <-r.closed:
			return
		case <-heartbeat.C:
			if !broken || stalled {
				w.WriteChunk("\n")
			}
		}
	}
}
