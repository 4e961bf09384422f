//go:build review

package rig

import (
	"io"
	"net"
	"sync"
	"time"
)

// NewWire starts a relay to a server that delivers bytes after a delay in both directions, as a network does. A close is passed on.
func (r *Rig) NewWire(to string, delay time.Duration) (addr string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer near.Close()
				far, err := net.Dial("tcp", to)
				if err != nil {
					return
				}
				defer far.Close()
				var both sync.WaitGroup
				both.Go(func() { deliver(far, near, delay) })
				both.Go(func() { deliver(near, far, delay) })
				both.Wait()
			}()
		}
	}()
	return ln.Addr().String(), nil
}

// piece is what one read has got, and when it is due at the other end.
type piece struct {
	bytes []byte
	due   time.Time
}

func deliver(to, from net.Conn, delay time.Duration) {
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		buf := make([]byte, 64<<10)
		for {
			n, err := from.Read(buf)
			if n > 0 {
				pieces <- piece{append([]byte(nil), buf[:n]...), time.Now().Add(delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		if _, err := to.Write(p.bytes); err != nil {
			io.Copy(io.Discard, from)
			return
		}
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
}
