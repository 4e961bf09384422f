// Package accept takes connections from a listener whose errors pass: of those that Linux documents for accept only a closed
// listener is an end.
package accept

import (
	"errors"
	"net"
	"time"
)

// retryDelay is the time between a failed accept and the next: descriptors are given back, and routes come back, within some of them.
const retryDelay = 5 * time.Millisecond

// Next returns the next connection. It fails only once the listener is closed; failed is told of each other error.
func Next(ln net.Listener, failed func(error)) (net.Conn, error) {
	for {
		conn, err := ln.Accept()
		if err == nil {
			return conn, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		failed(err)
		time.Sleep(retryDelay)
	}
}
