package upstream

import (
	"context"
	"errors"
	"sync/atomic"
	"syscall"
	"time"
)

// socketRetryDelay is the interval at which a waiting attempt tries to get a socket from the budget.
const socketRetryDelay = time.Millisecond

// SocketBudget limits the total number of sockets of all endpoints. It is safe for concurrent use.
type SocketBudget struct {
	limit   atomic.Int64
	inUse   atomic.Int64
	waiting atomic.Int64 // number of attempts that wait for a socket
}

// NewSocketBudget returns a budget with the given number of sockets.
func NewSocketBudget(limit int) *SocketBudget {
	b := &SocketBudget{}
	b.SetLimit(limit)
	return b
}

// SetLimit changes the limit. It does not close sockets that exceed a lower limit.
func (b *SocketBudget) SetLimit(limit int) { b.limit.Store(int64(limit)) }

func (b *SocketBudget) tryAcquire() bool {
	if b.inUse.Add(1) > b.limit.Load() {
		b.inUse.Add(-1)
		return false
	}
	return true
}

// Adopt counts a socket that is open already, even above the limit. The caller calls release once it has closed the socket.
func (b *SocketBudget) Adopt() (release func()) {
	b.inUse.Add(1)
	return b.release
}

func (b *SocketBudget) release() { b.inUse.Add(-1) }

// acquire waits for a socket and returns false if ctx ends first. If no socket is free, it calls onShortage once, which
// closes idle connections. Without the wait, a request would use up its attempts within microseconds while no socket is
// free.
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

// IsSocketShortage reports whether an error means that this machine is temporarily out of descriptors, ports or memory.
// Such an error says nothing about the server.
func IsSocketShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL) ||
		errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}
