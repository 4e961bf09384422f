// The queue of requests that wait for capacity: their order, how long they wait, and which are rejected
// when too many wait.

package decide

import "slices"

const (
	// maxQueueShare is the share of the remaining latency objective that a request may wait for its first
	// attempt. The rest is for the response.
	maxQueueShare = 0.35
	// minQueueLength is the number of requests that may wait regardless of the throughput, which is unknown
	// after a start.
	minQueueLength = 4.0
)

// queueDeadline returns the time until which r, which arrives now, may wait.
func queueDeadline(r *request) int64 {
	remaining := max(0, r.latencyObjective-r.elapsedBeforeArrival)
	return min(r.arrivedAt+int64(maxQueueShare*float64(remaining)), r.deadline)
}

// enqueue queues r by priority, newest first among requests of equal priority. It rejects requests of the
// lowest priority that would not be sent in time at the current throughput.
func (b *Balancer) enqueue(now int64, r *request) {
	at := len(b.queue)
	for at > 0 && b.queue[at-1].priority <= r.priority {
		at--
	}
	b.queue = slices.Insert(b.queue, at, r)
	b.actions.SetTimer(r.queueDeadline-now, timerQueue)
	maxLength := max(minQueueLength, b.rates.successes*maxQueueShare*float64(r.latencyObjective))
	for float64(len(b.queue)) > maxLength {
		last := b.queue[len(b.queue)-1]
		b.queue = b.queue[:len(b.queue)-1]
		b.rejectOrFail(now, last)
	}
}

// dispatchQueued sends queued requests while there is capacity, highest priority first. It rejects or
// fails requests that have reached their queue deadline or have no permitted endpoint left.
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
