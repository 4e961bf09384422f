package frontend

import (
	"errors"
	"os"
	"runtime"
	"sync"
	"time"

	"damsonscale/internal/socket"
	"damsonscale/internal/stallwriter"
)

const (
	lingerTimeout     = 3 * time.Second        // longest time for which a closed connection discards what its client still writes
	lingerIdleTimeout = 300 * time.Millisecond // time without a byte that ends it

	// crowdDiscardedBytes limits the bytes that are discarded from one client while connections are over the soft limit.
	crowdDiscardedBytes = 512 << 10

	// maxDiscardedBytes limits the bytes that are discarded when a connection is closed. It exceeds the largest receive buffer
	// that Linux grows by itself.
	maxDiscardedBytes = 64 << 20

	discardPieceBytes = 16 << 10 // size of one read of bytes to discard
)

var discardPieces = sync.Pool{New: func() any { return new([discardPieceBytes]byte) }}

// mayStillWrite reports whether the client may be writing a request that has been answered. A client that has stalled is not.
func (c *clientConn) mayStillWrite() bool {
	inRequest := c.framer.state != beforeHead || c.headErr != nil
	return inRequest && !c.stalled && !c.resetting && c.readErr == nil && !errors.Is(c.headErr, os.ErrDeadlineExceeded)
}

// linger ends the connection for the client, and discards what it still writes until it stops: the system would answer bytes
// after a close with a reset, and a client that writes all before it reads would lose its response. Evictions and the end of a
// shutdown cut it short.
func (c *clientConn) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	c.idleSince.Store(-monotonicMicros(time.Now())) // evictable as an incomplete request
	piece := discardPieces.Get().(*[discardPieceBytes]byte)
	defer discardPieces.Put(piece)
	discarded := 0
	for end := time.Now().Add(lingerTimeout); time.Now().Before(end); {
		c.Conn.SetReadDeadline(time.Now().Add(lingerIdleTimeout))
		if c.idleSince.Load() == connClosing || discarded > crowdDiscardedBytes && c.frontend.isOverSoftLimit() {
			return
		}
		n, err := c.Conn.Read(piece[:])
		if err != nil {
			return
		}
		discarded += n
		runtime.Gosched()
	}
}

// protectUnacknowledged discards unread bytes of a client that has not taken all of its response: the system resets a
// connection that is closed with unread bytes, and drops what it has still to send.
func (c *clientConn) protectUnacknowledged() {
	if socket.UnreadBytes(c.Conn) == 0 {
		return
	}
	if p, ok := stallwriter.ReadProgress(c.Conn); !ok || p.QueuedBytes == 0 {
		return
	}
	piece := discardPieces.Get().(*[discardPieceBytes]byte)
	defer discardPieces.Put(piece)
	limit := maxDiscardedBytes
	if c.frontend.isOverSoftLimit() {
		limit = crowdDiscardedBytes
	}
	for discarded := 0; discarded < limit; {
		n := c.readAvailable(piece[:])
		if n == 0 {
			return
		}
		discarded += n
		runtime.Gosched()
	}
}
