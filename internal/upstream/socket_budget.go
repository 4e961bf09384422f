package upstream

import (
	"context"
	"errors"
	"sync/atomic"
	"syscall"
	"time"
)

// socketRetryDelay is the time between two attempts to get a socket from the budget.
const socketRetryDelay = time.Millisecond

// SocketBudget limits the sockets of all peers together. It is safe for concurrent use.
type SocketBudget struct {
	limit   atomic.Int64
	inUse   atomic.Int64
	waiting atomic.Int64 // attempts that have found none
}

// NewSocketBudget returns a budget of that many sockets.
func NewSocketBudget(limit int) *SocketBudget {
	b := &SocketBudget{}
	b.SetLimit(limit)
	return b
}

// SetLimit changes the limit. No open socket is closed for it.
func (b *SocketBudget) SetLimit(limit int) { b.limit.Store(int64(limit)) }

func (b *SocketBudget) tryAcquire() bool {
	if b.inUse.Add(1) > b.limit.Load() {
		b.inUse.Add(-1)
		return false
	}
	return true
}

func (b *SocketBudget) release() { b.inUse.Add(-1) }

// acquire waits for a socket; false: ctx ended first. onShortage, called once where there is none, has idle ones closed.
// Waiting here keeps a request from using up its attempts within microseconds while none is free.
func (b *SocketBudget) acquire(ctx context.Context, onShortage func()) bool {
	for n := 0; !b.tryAcquire(); n++ {
		if n == 0 {
			b.waiting.Add(1)
			defer b.waiting.Add(-1)
			onShortage()
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(socketRetryDelay):
		}
	}
	if ctx.Err() != nil {
		b.release()
		return false
	}
	return true
}

// IsSocketShortage reports whether an error says that this machine lacks sockets, ports or memory for the moment. It says
// nothing about the server.
func IsSocketShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL) ||
		errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}
