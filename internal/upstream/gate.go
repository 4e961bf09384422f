package upstream

import "sync"

// Gate stands between the attempts of a request and its final response: once it is closed nothing more is written for the
// request, however late an attempt's goroutine runs. Its functions must be set before the first attempt.
type Gate struct {
	LeaseValid     func() bool // asked before each write; nil: no lease is needed
	IsDisconnected func() bool // asked right before an attempt's first byte whether the client has left; must not block; nil: not asked

	mu           sync.Mutex
	closed       bool
	disconnected bool // IsDisconnected has said so
}

// LeaseHeld reports whether this process holds the lease that sending needs.
func (g *Gate) LeaseHeld() bool { return g.LeaseValid == nil || g.LeaseValid() }

// Close waits for a write under way and lets no other begin.
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

// ClosedByDisconnect reports whether an attempt has found that the client left, which closes the gate.
func (g *Gate) ClosedByDisconnect() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.disconnected
}

// closeIfDisconnected closes the gate where the client has left. The goroutine that watches the client may lag, or the end
// of the connection may be behind bytes that nobody reads yet. Only the write function of ifOpen may call it.
func (g *Gate) closeIfDisconnected() bool {
	if g.IsDisconnected != nil && g.IsDisconnected() {
		g.closed, g.disconnected = true, true
	}
	return g.disconnected
}

// ifOpen runs write unless the gate is closed or the lease has ended; false: it was not run. Close waits for it.
func (g *Gate) ifOpen(write func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed || !g.LeaseHeld() {
		return false
	}
	write()
	return true
}
