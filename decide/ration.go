// Books of the budget of attempts: how many further ones were sent in the last of its span, and how many requests were
// taken. Decides nothing.

package decide

import "math"

const (
	rationSlots = 64          // that a span is cut into: what is allowed is less than the exact figure by one slot's part
	rationSpan  = 10 * second // counted where no budget is stated, so that one that comes later finds its past known
)

// ration counts in slots of time. Where a slot is partly within the span its further attempts count and its requests do
// not, so that it allows at most what an exact count would. Its size is the same for any traffic and any span.
type ration struct {
	span, width int64
	slots       [rationSlots + 1]rationSlot
	begun, now  int64 // first and latest time seen
	blind       int64 // until then part of the span is unknown
}

type rationSlot struct{ number, taken, further int64 }

// slot is the slot of now, a time not before any seen: a clock that steps back stands still instead.
func (n *ration) slot(now int64) *rationSlot {
	if n.begun == 0 {
		n.begun = now
	}
	n.now = max(n.now, now)
	number := n.now / n.width
	s := &n.slots[number%int64(len(n.slots))]
	if s.number != number {
		*s = rationSlot{number: number}
	}
	return s
}

// keep takes another span in force. What was sent before counts as sent now and nothing as taken; where a longer span
// looks back further than the books, nothing is allowed until it no longer does. Guards against a reload that mints.
func (n *ration) keep(span int64) {
	if span <= 0 {
		span = rationSpan
	}
	if span == n.span {
		return
	}
	old := *n
	*n = ration{span: span, width: max(1, (span+rationSlots-1)/rationSlots), begun: old.begun, now: old.now, blind: old.blind}
	if old.span == 0 {
		return
	}
	if old.now-old.begun > old.span {
		n.blind = max(n.blind, old.now+span-old.span)
	}
	old.blind = 0
	_, n.slot(old.now).further = old.count(old.now)
}

// count tells what was taken and sent further within the span that ends now.
func (n *ration) count(now int64) (taken, further int64) {
	if now < n.blind {
		return 0, math.MaxInt32
	}
	last := n.slot(now).number
	whole := last + 1 - n.span/n.width
	for i := range n.slots {
		s := &n.slots[i]
		if s.number >= last-rationSlots {
			further += s.further
		}
		if s.number >= whole {
			taken += s.taken
		}
	}
	return taken, further
}

// SetPeerProcessActive takes in whether another process of this sidecar serves too, as in an upgrade.
func (b *Balancer) SetPeerProcessActive(now int64, other bool) {
	if b.beside && !other {
		b.aloneFrom = now + b.set.Rules.AttemptBudgetWindow
	}
	b.beside = other
}

// floor is the part of the budget that no request pays for. It stays with the older of two processes until that one's
// attempts have left the span: guards against two floors.
func (b *Balancer) floor(now int64) float64 {
	if b.beside || now < b.aloneFrom {
		return 0
	}
	return b.set.Rules.AttemptBudgetMin
}
