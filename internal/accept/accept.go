// Package accept accepts connections from a listener and retries after errors. Only a closed listener ends accepting; the
// other errors that Linux documents for accept are treated as transient.
package accept

import (
	"errors"
	"net"
	"time"
)

// retryDelay is the time between a failed accept and the next, in which descriptors may be freed or a network route
// restored.
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
