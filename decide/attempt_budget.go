// Rule 5: in any time window the attempts beyond the first of each request are at most a fixed number and a
// part of the requests that arrived in it (Rules.AttemptBudgetMin, Ratio and Window). Every send but a
// request's first asks for it, however the attempt before ended, and whether or not a retry token was needed.

package decide

import "math"

const (
	// attemptBudgetSlots is the number of slots that a window is cut into.
	attemptBudgetSlots = 64
	// defaultAttemptBudgetWindow is counted where no budget is set, so that one set later finds its past
	// known.
	defaultAttemptBudgetWindow = 10 * second
)

// attemptBudgetRemaining is how many attempts beyond a request's first may be sent now.
func (b *Balancer) attemptBudgetRemaining(now int64) float64 {
	rules := &b.settings.Rules
	if rules.AttemptBudgetWindow == 0 {
		return math.Inf(1)
	}
	requests, retries := b.attemptBudget.counts(now)
	return b.attemptBudgetFloor(now) + rules.AttemptBudgetRatio*float64(requests) - float64(retries)
}

// attemptBudgetFloor is the part of the budget that doesn't depend on requests. While two processes of one
// sidecar serve it belongs to the older one, until that one's attempts have left the window.
func (b *Balancer) attemptBudgetFloor(now int64) float64 {
	if b.peerProcessActive || now < b.peerAttemptsExpireAt {
		return 0
	}
	return b.settings.Rules.AttemptBudgetMin
}

// SetPeerProcessActive takes in whether another process of this sidecar serves too, as during an upgrade.
func (b *Balancer) SetPeerProcessActive(now int64, active bool) {
	if b.peerProcessActive && !active {
		b.peerAttemptsExpireAt = now + b.settings.Rules.AttemptBudgetWindow
	}
	b.peerProcessActive = active
}

// attemptBudget counts requests and retries in a sliding window, in slots of time. A slot that is only partly
// within the window counts with its retries and without its requests, so the budget is never exceeded, and
// falls short of the exact one by a slot's part. Its size doesn't depend on traffic or window. The zero value
// is ready after setWindow.
type attemptBudget struct {
	window, slotWidth int64
	slots             [attemptBudgetSlots + 1]attemptBudgetSlot
	firstSeenAt       int64
	latestAt          int64
	incompleteUntil   int64 // until then the window reaches back further than the slots that were counted
}

type attemptBudgetSlot struct{ number, requests, retries int64 }

// slot is the slot of the present. A clock that steps back counts as standing still.
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

// setWindow changes the window. Retries of the old window count as sent now, and its requests don't count.
// Where the new window reaches back further than what was counted, nothing is allowed until it no longer
// does. So a change of settings never adds attempts.
func (n *attemptBudget) setWindow(window int64) {
	if window <= 0 {
		window = defaultAttemptBudgetWindow
	}
	if window == n.window {
		return
	}
	old := *n
	*n = attemptBudget{
		window:          window,
		slotWidth:       max(1, (window+attemptBudgetSlots-1)/attemptBudgetSlots),
		firstSeenAt:     old.firstSeenAt,
		latestAt:        old.latestAt,
		incompleteUntil: old.incompleteUntil,
	}
	if old.window == 0 {
		return
	}
	if old.latestAt-old.firstSeenAt > old.window {
		n.incompleteUntil = max(n.incompleteUntil, old.latestAt+window-old.window)
	}
	old.incompleteUntil = 0
	_, n.slot(old.latestAt).retries = old.counts(old.latestAt)
}

// counts returns the requests and the retries in the window that ends now.
func (n *attemptBudget) counts(now int64) (requests, retries int64) {
	if now < n.incompleteUntil {
		return 0, math.MaxInt32
	}
	last := n.slot(now).number
	firstComplete := last + 1 - n.window/n.slotWidth
	for i := range n.slots {
		s := &n.slots[i]
		if s.number >= last-attemptBudgetSlots {
			retries += s.retries
		}
		if s.number >= firstComplete {
			requests += s.requests
		}
	}
	return requests, retries
}
