package takeover

import (
	"maps"
	"slices"
)

// scheduleTakeovers schedules the takeover of requests whose owner was evicted, without waiting for a resume by their client. The
// first replica that is a member takes over at once; each further replica follows a TakeoverStagger later, in case the replicas
// before it fail.
//
// Only requests that are idempotent by key and whose record has Sent set are taken over in this way. Without Sent, the owner may
// have rejected the request and told the client that a retry is safe.
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

// liveReplicasBefore returns how many replicas of an id are members and rank before this process.
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

// startTakeovers emits OwnerEvicted for each takeover that is due, and schedules the takeover again in case it fails.
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
