package takeover

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// Clone copies a node; what is never changed is shared.
func (n *Node) Clone() *Node {
	c := *n
	c.slots = make(map[string]*slot, len(n.slots))
	for id, s := range n.slots {
		one := *s
		c.slots[id] = &one
	}
	c.left = maps.Clone(n.left)
	c.gone, c.goneBefore = maps.Clone(n.gone), maps.Clone(n.goneBefore)
	c.claims = make(map[string]*claim, len(n.claims))
	for id, k := range n.claims {
		one := *k
		one.replies = maps.Clone(k.replies)
		c.claims[id] = &one
	}
	c.out, c.events = slices.Clone(n.out), slices.Clone(n.events)
	return &c
}

// WriteState writes all that later behaviour depends on: equal nodes print alike.
func (n *Node) WriteState(w io.Writer) {
	fmt.Fprint(w, n.conf.Self, n.view.Epoch, n.joined, n.seat, n.sure, n.round)
	for _, id := range slices.Sorted(maps.Keys(n.slots)) {
		fmt.Fprint(w, id, *n.slots[id])
	}
	for _, id := range slices.Sorted(maps.Keys(n.claims)) {
		c := n.claims[id]
		fmt.Fprint(w, id, c.phase, c.ballot, c.rec, c.came, c.began, c.again, c.sent, c.taken, c.lived, c.late, c.marked, c.give, c.judged, c.from)
		for _, h := range slices.Sorted(maps.Keys(c.replies)) {
			r := *c.replies[h]
			var rec Record
			if r.Record != nil {
				rec = *r.Record
			}
			r.Record = nil
			fmt.Fprint(w, h, r, rec)
		}
	}
}
