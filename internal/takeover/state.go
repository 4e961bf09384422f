package takeover

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// Clone copies a node for the model checker. Immutable values are shared.
func (n *Node) Clone() *Node {
	c := *n
	c.entries = make(map[string]*entry, len(n.entries))
	for id, e := range n.entries {
		entryCopy := *e
		c.entries[id] = &entryCopy
	}
	c.scheduledTakeovers = maps.Clone(n.scheduledTakeovers)
	c.expiredIDs, c.olderExpiredIDs = maps.Clone(n.expiredIDs), maps.Clone(n.olderExpiredIDs)
	c.claims = make(map[string]*claim, len(n.claims))
	for id, k := range n.claims {
		claimCopy := *k
		claimCopy.replies = maps.Clone(k.replies)
		c.claims[id] = &claimCopy
	}
	c.outbox, c.events = slices.Clone(n.outbox), slices.Clone(n.events)
	return &c
}

// WriteState writes the state that later behaviour depends on: nodes in equivalent states write equal bytes.
func (n *Node) WriteState(w io.Writer) {
	fmt.Fprint(w, n.config.Self, n.view.Epoch, n.joined, n.replicaSinceEpoch, n.recordsCompleteAt, n.round)
	for _, id := range slices.Sorted(maps.Keys(n.entries)) {
		fmt.Fprint(w, id, *n.entries[id])
	}
	for _, id := range slices.Sorted(maps.Keys(n.claims)) {
		n.claims[id].writeState(w)
	}
}

func (c *claim) writeState(w io.Writer) {
	fmt.Fprint(w, c.id, c.phase, c.ballot, c.record, c.ageAt, c.startedAt, c.resendAt, c.sentAt, c.takenOver, c.ownerAliveAt, c.unavailable,
		c.markedSent, c.returnStored, c.failedOnTakeover, c.previousOwner)
	for _, name := range slices.Sorted(maps.Keys(c.replies)) {
		reply := *c.replies[name]
		var rec Record
		if reply.Record != nil {
			rec = *reply.Record
		}
		reply.Record = nil
		fmt.Fprint(w, name, reply, rec)
	}
}
