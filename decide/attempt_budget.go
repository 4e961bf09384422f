// Rule 5, the attempt budget: in any time window, the attempts beyond the first of each request number at
// most AttemptBudgetMin + AttemptBudgetRatio * the requests that arrived in the window (see Rules). Every
// send except a request's first counts against the budget, however the previous attempt ended and whether
// or not it needed a retry token.

package decide

import "math"

const (
	// attemptBudgetSlots is the number of slots that a window is divided into. The budget can fall short of
	// the exact one by the share of one slot.
	attemptBudgetSlots = 64
	// defaultAttemptBudgetWindow is the window that is counted while no budget is set, so that a budget set
	// later starts with the recent history.
	defaultAttemptBudgetWindow = 10 * second
)

// attemptBudgetRemaining returns how many attempts beyond a request's first may be sent now.
func (b *Balancer) attemptBudgetRemaining(now int64) float64 {
	rules := &b.settings.Rules
	if rules.AttemptBudgetWindow == 0 {
		return math.Inf(1)
	}
	requests, retries := b.attemptBudget.counts(now)
	return b.attemptBudgetFloor(now) + rules.AttemptBudgetRatio*float64(requests) - float64(retries)
}

// attemptBudgetFloor returns the part of the budget that doesn't depend on the number of requests. While
// two processes of one sidecar serve, the older process has this part. The newer one gets it after the
// older one has stopped and its attempts have left the window.
func (b *Balancer) attemptBudgetFloor(now int64) float64 {
	if b.peerProcessActive || now < b.peerAttemptsExpireAt {
		return 0
	}
	return b.settings.Rules.AttemptBudgetMin
}

// SetPeerProcessActive records whether another process of this sidecar is also serving, as during an
// upgrade.
func (b *Balancer) SetPeerProcessActive(now int64, active bool) {
	if b.peerProcessActive && !active {
		b.peerAttemptsExpireAt = now + b.settings.Rules.AttemptBudgetWindow
	}
	b.peerProcessActive = active
}

// attemptBudget counts requests and retries in a sliding window that is divided into slots of time. For a
// slot that is only partly inside the window, all retries count and no requests do, so the budget is never
// exceeded but can be smaller than the exact one. Memory use doesn't depend on traffic or on the window.
// The zero value is ready after setWindow.
type attemptBudget struct {
	// Times are in µs.
	window, slotWidth int64
	slots             [attemptBudgetSlots + 1]attemptBudgetSlot // ring, by slot number
	firstSeenAt       int64                                     // first event; 0: none yet
	latestAt          int64                                     // latest time seen
	// incompleteUntil is the time from which the counts cover the whole window.
	incompleteUntil int64 // until this time, the window begins before the counts do
}

type attemptBudgetSlot struct{ number, requests, retries int64 }

// slot returns the slot of the current time. If the clock steps back, time counts as standing still.
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

// setWindow changes the length of the window. Retries in the old window count as if sent now, and its
// requests don't count. If the new window begins before the counts do, no retry is allowed until the counts
// cover it. A change of settings therefore never allows extra attempts.
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

// counts returns the numbers of requests and of retries in the window that ends now.
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
