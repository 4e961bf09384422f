package decide

import (
	"slices"
)

const (
	maxQueueShare       = 0.35 // of the aim that a request may wait unsent: the rest is for its answer
	expectedDispatchers = 2.0  // of those who hear that a server has room send what waits: words may be lost
	minQueueLength      = 4.0  // requests that may wait whatever the drain: a start knows none yet
)

// enqueue queues r by worth, and refuses the least worthy of those whose wait would not end in an answer.
func (b *Balancer) enqueue(now int64, r *request) {
	at := len(b.queue)
	for at > 0 && b.queue[at-1].priority <= r.priority {
		at--
	}
	b.queue = slices.Insert(b.queue, at, r)
	b.actions.SetTimer(r.queueDeadline-now, timerQueue)
	for float64(len(b.queue)) > max(minQueueLength, b.throughput*maxQueueShare*float64(r.latencyObjective)) {
		last := b.queue[len(b.queue)-1]
		b.queue = b.queue[:len(b.queue)-1]
		b.rejectOrFail(now, last)
	}
}

// dispatchQueued sends what waits, worthiest first, and answers what has waited too long.
func (b *Balancer) dispatchQueued(now int64) {
	waiting := b.queue
	b.queue = b.queue[:0]
	for _, r := range waiting {
		switch {
		case r.ended || now < r.queueDeadline && b.trySend(now, r):
		case now < r.queueDeadline && b.hasPermittedEndpoint(now, r):
			b.queue = append(b.queue, r)
		default:
			b.rejectOrFail(now, r)
		}
	}
}
