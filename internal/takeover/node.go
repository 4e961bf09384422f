package takeover

import (
	"maps"
	"slices"
)

// Node is one process's part in the protocol. It is not safe for concurrent use.
type Node struct {
	config            Config
	view              *View
	joined            bool
	replicaSinceEpoch uint64 // epoch since which this process is the replica of its name; 0 while it is not
	recordsCompleteAt int64  // from this time on, a request without an entry here was never claimed
	round             uint32 // of the latest ballot with a Prepare; no two of these ballots have the same round
	replica
	claims map[string]*claim // by request id
	outbox []Envelope
	events []Event
}

// New returns a node that is not a member yet.
func New(config Config) *Node {
	config.MemberNames = slices.Sorted(slices.Values(config.MemberNames))
	return &Node{config: config, view: &View{}, replica: newReplica(), claims: map[string]*claim{}}
}

// TakeMessages returns and removes the messages to send.
func (n *Node) TakeMessages() []Envelope {
	out := n.outbox
	n.outbox = nil
	return out
}

// TakeEvents returns and removes the decisions to carry out.
func (n *Node) TakeEvents() []Event {
	events := n.events
	n.events = nil
	return events
}

func (n *Node) emit(e Event) { n.events = append(n.events, e) }

// Usage returns how many entries this process stores as a replica, and their size in bytes.
func (n *Node) Usage() (records, bytes int) { return len(n.entries), n.bytes }

// IsMember reports whether this process is a member of the fleet in its current view.
func (n *Node) IsMember() bool { return n.joined }

// ApplyView adopts a view, unless the current view is at least as new.
func (n *Node) ApplyView(now int64, v *View) {
	if v.Epoch <= n.view.Epoch {
		return
	}
	n.view = v
	if n.joined && !v.Contains(n.config.Self) {
		n.dropClaims()
	}
	n.joined = v.Contains(n.config.Self)
	n.updateReplicaRole(now)
	n.scheduleTakeovers(now)
	for _, id := range slices.Sorted(maps.Keys(n.claims)) {
		if c := n.claims[id]; c.phase == preparing {
			n.prepare(now, c)
		}
	}
}

// updateReplicaRole determines whether this process is the replica of its name. Of several members with one name, the first to
// join is the replica. Its successor does not have the records of its predecessor, so it must not answer for requests that were
// claimed before.
func (n *Node) updateReplicaRole(now int64) {
	var oldest Member
	var info MemberInfo
	for m, i := range n.view.Members {
		if m.Name == n.config.Self.Name && (oldest.Name == "" || i.JoinedEpoch < info.JoinedEpoch) {
			oldest, info = m, i
		}
	}
	switch {
	case oldest.Name == "": // no process of the name is a member: the role does not change
	case oldest != n.config.Self:
		n.replicaSinceEpoch = 0
	case n.replicaSinceEpoch == 0:
		n.replicaSinceEpoch, n.recordsCompleteAt = n.view.Epoch, now
		if !info.FirstIncarnation {
			n.recordsCompleteAt += n.config.MaxRequestAge + n.config.LateRequestSlack
		}
	}
}

// Rejoin gives this process a new incarnation after its eviction. The entries that it stores as a replica are kept.
func (n *Node) Rejoin(self Member) {
	n.dropClaims()
	n.config.Self, n.joined = self, false
}

// dropClaims ends all claims of this process with OwnershipLost.
func (n *Node) dropClaims() {
	for _, id := range slices.Sorted(maps.Keys(n.claims)) {
		n.emit(Event{Decision: OwnershipLost, ID: id})
	}
	n.claims = map[string]*claim{}
}

// Begin claims a request that the client has sent to no other member. An Execute event follows once a quorum stores the record.
func (n *Node) Begin(now int64, rec Record) {
	c := n.openClaim(now, rec, writing)
	if c == nil {
		return
	}
	c.ballot = Ballot{Proposer: n.config.Self}
	if n.config.Fault == SendBeforeQuorum {
		c.phase = executing
		n.emit(Event{Decision: Execute, ID: c.id, Record: c.record})
	}
	n.writeRecord(now, c)
}

// Resume claims a request that another member may own. rec is used unless a replica has a record of the request.
func (n *Node) Resume(now int64, rec Record) {
	c := n.openClaim(now, rec, preparing)
	if c == nil {
		return
	}
	n.round++
	c.ballot = Ballot{Round: n.round, Proposer: n.config.Self}
	n.prepare(now, c)
}

// Complete has the replicas store the final response of a request that was executed here. A Replicated event follows.
func (n *Node) Complete(now int64, id string, r Response) {
	if c := n.claims[id]; c != nil && (c.phase == executing || c.phase == writing) {
		c.phase, c.record.Response, c.record.Request = concluding, r, nil
		c.expiresAt = now + n.config.Retention
		n.writeRecord(now, c)
	}
}

// Drop removes a claim without an event. The caller either sends the request without a record or gives the request up.
func (n *Node) Drop(id string) { delete(n.claims, id) }

// IsPreparing reports whether a claim is waiting for promises. This process has not sent the request yet in that phase.
func (n *Node) IsPreparing(id string) bool {
	c := n.claims[id]
	return c != nil && c.phase == preparing
}

// Handle processes a message of another member.
func (n *Node) Handle(now int64, from Member, m *Message) {
	if m.Kind == Write || m.Kind == Prepare {
		n.outbox = append(n.outbox, Envelope{from.Name, n.handleRequest(now, from, m)})
		return
	}
	n.handleReply(now, from.Name, m)
}

// Tick processes expirations, takeovers and resends that are due. It must be called at least once per ResendInterval.
func (n *Node) Tick(now int64) {
	n.expireEntries(now)
	n.startTakeovers(now)
	for _, id := range slices.Sorted(maps.Keys(n.claims)) {
		n.tickClaim(now, n.claims[id])
	}
}
