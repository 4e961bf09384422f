package takeover

import (
	"maps"
	"slices"
)

// scheduleTakeovers sets when this replica takes over requests whose owner was evicted without being asked by their client:
// the first replica that is a member at once, each further one a TakeoverStagger later, in case the ones before it fail.
//
// Only requests that are idempotent by key, and whose owner was permitted to send them, are taken over this way: any other
// may have been rejected by its owner, which told the client that a retry is safe.
func (n *Node) scheduleTakeovers(now int64) {
	liveNames := map[string]bool{}
	for m := range n.view.Members {
		liveNames[m.Name] = true
	}
	for id, e := range n.entries {
		if !e.hasRecord || e.record.Response.Status != NoResponse || e.takeoverAt != 0 || n.view.Contains(e.record.Owner) ||
			e.record.Idempotency != IdempotentByKey || len(e.record.Request) == 0 || !e.record.Sent {
			continue
		}
		e.takeoverAt = now + n.liveReplicasBefore(id, liveNames)*n.config.TakeoverStagger
		n.scheduledTakeovers[id] = true
	}
}

// liveReplicasBefore counts the replicas of an id that are members and come before this process in the id's order.
func (n *Node) liveReplicasBefore(id string, liveNames map[string]bool) (count int64) {
	for _, name := range Replicas(n.config.MemberNames, id, n.config.ReplicationFactor) {
		if name == n.config.Self.Name {
			break
		}
		if liveNames[name] {
			count++
		}
	}
	return count
}

// startTakeovers emits OwnerEvicted for the requests that are due, and schedules each again in case the takeover fails.
func (n *Node) startTakeovers(now int64) {
	for _, id := range slices.Sorted(maps.Keys(n.scheduledTakeovers)) {
		e := n.entries[id]
		if e == nil || e.takeoverAt == 0 {
			delete(n.scheduledTakeovers, id)
			continue
		}
		if e.takeoverAt > now || n.claims[id] != nil || !n.IsMember() {
			continue
		}
		e.takeoverAt = now + int64(len(n.config.MemberNames)+1)*n.config.TakeoverStagger
		rec := e.record
		if rec.Age += now - e.receivedAt; rec.Age < rec.DeadlineAge && rec.Response.Status == NoResponse {
			n.emit(Event{Decision: OwnerEvicted, ID: id, Record: rec})
		}
	}
}
