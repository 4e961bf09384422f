package admin

import (
	"net"
	"slices"
	"sync"
	"time"

	"damsonscale/internal/accept"
)

const (
	// MaxConnections is the maximum number of open connections to the admin API. Each uses a descriptor.
	MaxConnections = 8

	callTimeout  = 4 * time.Second // for reading a request, from the start of its connection
	writeTimeout = time.Second
	maxHeadBytes = 4 << 10
	maxBodyBytes = 4 << 10
)

// connections is the set of open connections of a server.
type connections struct {
	mu   sync.Mutex
	open []*connection // oldest first
}

// listener limits the number of connections. A new connection over the limit closes the oldest one, so that clients that
// connect and send nothing do not block others. A call takes only moments, so the oldest connection is most likely one of
// these.
type listener struct {
	net.Listener
	connections *connections
}

// connection is a client's connection.
type connection struct {
	net.Conn
	connections *connections
}

// Accept returns the next connection. It fails only once the listener is closed.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := accept.Next(l.Listener, func(error) {}) // fasthttp's Serve would end on a transient error
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: nc, connections: l.connections}
	if oldest := l.connections.add(c); oldest != nil {
		oldest.Close()
	}
	return c, nil
}

// add registers a connection and returns the connection to close in exchange; nil: none.
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

// Close unregisters the connection and closes it.
func (c *connection) Close() error {
	c.connections.remove(c)
	return c.Conn.Close()
}
