package decide

import (
	"math"
)

const (
	attemptBudgetSlots         = 64          // that a span is cut into: what is allowed is less than the exact figure by one slot's part
	defaultAttemptBudgetWindow = 10 * second // counted where no budget is stated, so that one that comes later finds its past known
)

// attemptBudgetRemaining is how many attempts beyond a request's first the budget of attempts allows now, however the
// earlier ones ended. Every send asks for it. Guards against retries of what servers turn away, which cost
// the retry budget nothing: 27 in 10 s where 26.7 were allowed.
func (b *Balancer) attemptBudgetRemaining(now int64) float64 {
	if b.settings.Rules.AttemptBudgetWindow == 0 {
		return math.Inf(1)
	}
	taken, further := b.attemptBudget.counts(now)
	return b.attemptBudgetFloor(now) + b.settings.Rules.AttemptBudgetRatio*float64(taken) - float64(further)
}

// attemptBudget counts in slots of time. Where a slot is partly within the span its further attempts count and its requests do
// not, so that it allows at most what an exact count would. Its size is the same for any traffic and any span.
type attemptBudget struct {
	window, slotWidth     int64
	slots                 [attemptBudgetSlots + 1]attemptBudgetSlot
	firstSeenAt, latestAt int64 // first and latest time seen
	incompleteUntil       int64 // until then part of the span is unknown
}

type attemptBudgetSlot struct{ number, requests, retries int64 }

// slot is the slot of now, a time not before any seen: a clock that steps back stands still instead.
func (n *attemptBudget) slot(now int64) *attemptBudgetSlot {
	if n.firstSeenAt == 0 {
		n.firstSeenAt = now
	}
	n.latestAt = max(n.latestAt, now)
	number := n.latestAt / n.slotWidth
	s := &n.slots[number%int64(len(n.slots))]
	if s.number != number {
		*s = attemptBudgetSlot{number: number}
	}
	return s
}

// setWindow takes another span in force. What was sent before counts as sent now and nothing as taken; where a longer span
// looks back further than the books, nothing is allowed until it no longer does. Guards against a reload that mints.
func (n *attemptBudget) setWindow(span int64) {
	if span <= 0 {
		span = defaultAttemptBudgetWindow
	}
	if span == n.window {
		return
	}
	old := *n
	*n = attemptBudget{window: span, slotWidth: max(1, (span+attemptBudgetSlots-1)/attemptBudgetSlots), firstSeenAt: old.firstSeenAt, latestAt: old.latestAt, incompleteUntil: old.incompleteUntil}
	if old.window == 0 {
		return
	}
	if old.latestAt-old.firstSeenAt > old.window {
		n.incompleteUntil = max(n.incompleteUntil, old.latestAt+span-old.window)
	}
	old.incompleteUntil = 0
	_, n.slot(old.latestAt).retries = old.counts(old.latestAt)
}

// counts tells what was taken and sent further within the span that ends now.
func (n *attemptBudget) counts(now int64) (taken, further int64) {
	if now < n.incompleteUntil {
		return 0, math.MaxInt32
	}
	last := n.slot(now).number
	whole := last + 1 - n.window/n.slotWidth
	for i := range n.slots {
		s := &n.slots[i]
		if s.number >= last-attemptBudgetSlots {
			further += s.retries
		}
		if s.number >= whole {
			taken += s.requests
		}
	}
	return taken, further
}

// SetPeerProcessActive takes in whether another process of this sidecar serves too, as in an upgrade.
func (b *Balancer) SetPeerProcessActive(now int64, other bool) {
	if b.peerProcessActive && !other {
		b.peerAttemptsExpireAt = now + b.settings.Rules.AttemptBudgetWindow
	}
	b.peerProcessActive = other
}

// attemptBudgetFloor is the part of the budget that no request pays for. It stays with the older of two processes until that one's
// attempts have left the span: guards against two floors.
func (b *Balancer) attemptBudgetFloor(now int64) float64 {
	if b.peerProcessActive || now < b.peerAttemptsExpireAt {
		return 0
	}
	return b.settings.Rules.AttemptBudgetMin
}
