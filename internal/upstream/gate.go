package upstream

import "sync"

// Gate guards the writes of all attempts of a request. Once it is closed, nothing more is written to servers for the
// request, however late an attempt's goroutine runs. Its functions must be set before the first attempt.
type Gate struct {
	// LeaseValid is checked before each write. It is nil if no lease is needed.
	LeaseValid func() bool

	// IsDisconnected reports whether the client has disconnected. It is called right before an attempt's first byte and
	// must not block. If it is nil, the client is not checked.
	IsDisconnected func() bool

	mu           sync.Mutex
	closed       bool
	disconnected bool // whether IsDisconnected has returned true
}

// LeaseHeld reports whether this process holds the lease that it needs for sending. It is true if no lease is needed.
func (g *Gate) LeaseHeld() bool { return g.LeaseValid == nil || g.LeaseValid() }

// Close waits for a pending write and prevents any further write.
func (g *Gate) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
}

// Closed reports whether the gate is closed.
func (g *Gate) Closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// ClosedByDisconnect reports whether an attempt has closed the gate because the client had disconnected.
func (g *Gate) ClosedByDisconnect() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.disconnected
}

// closeIfDisconnected closes the gate if the client has disconnected. The goroutine that watches the client may not have
// noticed yet, because it lags or because the connection's end comes after unread bytes. Only the function that ifOpen
// runs may call closeIfDisconnected.
func (g *Gate) closeIfDisconnected() bool {
	if g.IsDisconnected != nil && g.IsDisconnected() {
		g.closed, g.disconnected = true, true
	}
	return g.disconnected
}

// ifOpen runs write unless the gate is closed or the lease has ended, and reports whether it ran write. Close waits for
// write to return.
func (g *Gate) ifOpen(write func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed || !g.LeaseHeld() {
		return false
	}
	write()
	return true
}
