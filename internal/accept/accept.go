// Package accept accepts connections from a listener and retries after transient errors. Of the errors that Linux documents
// for accept, all are transient for a valid socket; only a closed listener ends accepting.
package accept

import (
	"errors"
	"net"
	"time"
)

// retryDelay is the time between a failed accept and the next. It gives the process time to close descriptors and the
// network time to recover.
const retryDelay = 5 * time.Millisecond

// Next returns the next connection. It returns an error only if the listener is closed. For any other error it calls onError
// and retries.
func Next(ln net.Listener, onError func(error)) (net.Conn, error) {
	for {
		conn, err := ln.Accept()
		if err == nil {
			return conn, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		onError(err)
		time.Sleep(retryDelay)
	}
}
