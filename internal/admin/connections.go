package admin

import (
	"net"
	"slices"
	"sync"
	"time"

	"damsonscale/internal/accept"
)

const (
	// MaxConnections is how many callers are connected at once; each takes a descriptor.
	MaxConnections = 8

	callTimeout  = 4 * time.Second // for a whole call, from its connection's start
	writeTimeout = time.Second
	maxHeadBytes = 4 << 10
	maxBodyBytes = 4 << 10
)

// connections are the open connections of a server.
type connections struct {
	mu   sync.Mutex
	open []*connection // oldest first
}

// listener bounds the connections: one more closes the oldest, since a call is over within moments and callers that
// send nothing must not keep others out.
type listener struct {
	net.Listener
	connections *connections
}

// connection is a caller's connection.
type connection struct {
	net.Conn
	connections *connections
}

// Accept returns the next connection. It fails only once the listener is closed.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := accept.Next(l.Listener, func(error) {}) // fasthttp's Serve would end on a passing error
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: nc, connections: l.connections}
	if oldest := l.connections.add(c); oldest != nil {
		oldest.Close()
	}
	return c, nil
}

// add registers a connection, and returns the one to close for it; nil: none.
func (s *connections) add(c *connection) (oldest *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = append(s.open, c)
	if len(s.open) > MaxConnections {
		oldest = s.open[0]
	}
	return oldest
}

func (s *connections) remove(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = slices.DeleteFunc(s.open, func(o *connection) bool { return o == c })
}

// Close closes the connection and unregisters it.
func (c *connection) Close() error {
	c.connections.remove(c)
	return c.Conn.Close()
}
