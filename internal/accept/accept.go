// Package accept takes connections from a listener and retries after errors that pass: of those that Linux documents for
// accept only a closed listener is final.
package accept

import (
	"errors"
	"net"
	"time"
)

// retryDelay is the time between a failed accept and the next, within which descriptors may be freed or a route come back.
const retryDelay = 5 * time.Millisecond

// Next returns the next connection. Its only error is that of a closed listener; onError is called with each other.
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
