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
	replicaSinceEpoch uint64 // epoch from which this process is the replica of its name; 0: another process is, or none yet
	recordsCompleteAt int64  // from this time on, a request that it does not know was never claimed
	round             uint32 // of the latest ballot: no two claims of this process use the same
	replica
	claims map[string]*claim // by request id
	outbox []Envelope
	events []Event
}

// New makes a node that is no member yet.
func New(config Config) *Node {
	config.MemberNames = slices.Sorted(slices.Values(config.MemberNames))
	return &Node{config: config, view: &View{}, replica: newReplica(), claims: map[string]*claim{}}
}

// TakeMessages returns the messages that are to be sent since the last call.
func (n *Node) TakeMessages() []Envelope {
	out := n.outbox
	n.outbox = nil
	return out
}

// TakeEvents returns the decisions that are to be carried out since the last call.
func (n *Node) TakeEvents() []Event {
	events := n.events
	n.events = nil
	return events
}

func (n *Node) emit(e Event) { n.events = append(n.events, e) }

// Usage is what this process stores as a replica.
func (n *Node) Usage() (records, bytes int) { return len(n.entries), n.bytes }

// IsMember reports whether this process is a member of the fleet now.
func (n *Node) IsMember() bool { return n.joined }

// ApplyView adopts a newer membership; an older one is ignored.
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

// updateReplicaRole finds whether this process is the replica of its name: of several processes of that name, the one that
// joined first is. A successor lacks the records of its predecessor, so it can't testify about requests claimed before.
func (n *Node) updateReplicaRole(now int64) {
	var oldest Member
	var info MemberInfo
	for m, i := range n.view.Members {
		if m.Name == n.config.Self.Name && (oldest.Name == "" || i.JoinedEpoch < info.JoinedEpoch) {
			oldest, info = m, i
		}
	}
	switch {
	case oldest.Name == "": // no process of that name is a member: the role stays as it is
	case oldest != n.config.Self:
		n.replicaSinceEpoch = 0
	case n.replicaSinceEpoch == 0:
		n.replicaSinceEpoch, n.recordsCompleteAt = n.view.Epoch, now
		if !info.FirstIncarnation {
			n.recordsCompleteAt += n.config.MaxRequestAge + n.config.LateRequestSlack
		}
	}
}

// Rejoin gives this process a new incarnation after its eviction. It keeps what it stores as a replica.
func (n *Node) Rejoin(self Member) {
	n.dropClaims()
	n.config.Self, n.joined = self, false
}

// dropClaims gives up all requests that this process owns.
func (n *Node) dropClaims() {
	for _, id := range slices.Sorted(maps.Keys(n.claims)) {
		n.emit(Event{Decision: OwnershipLost, ID: id})
	}
	n.claims = map[string]*claim{}
}

// Begin claims a request that the client has sent to no other member. Execute follows once a quorum has the record.
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

// Resume claims a request that another member may own. rec is what is known of it here.
func (n *Node) Resume(now int64, rec Record) {
	c := n.openClaim(now, rec, preparing)
	if c == nil {
		return
	}
	n.round++
	c.ballot = Ballot{Round: n.round, Proposer: n.config.Self}
	n.prepare(now, c)
}

// Complete stores the final response of a request that was executed here. Replicated follows.
func (n *Node) Complete(now int64, id string, r Response) {
	if c := n.claims[id]; c != nil && (c.phase == executing || c.phase == writing) {
		c.phase, c.record.Response, c.record.Request = concluding, r, nil
		c.expiresAt = now + n.config.Retention
		n.writeRecord(now, c)
	}
}

// Drop forgets a claim: the request continues without a record, or not at all.
func (n *Node) Drop(id string) { delete(n.claims, id) }

// IsPreparing reports whether a claim still asks what replicas know: nothing was sent from here.
func (n *Node) IsPreparing(id string) bool {
	c := n.claims[id]
	return c != nil && c.phase == preparing
}

// Handle takes a message of another member.
func (n *Node) Handle(now int64, from Member, m *Message) {
	if m.Kind == Write || m.Kind == Prepare {
		n.outbox = append(n.outbox, Envelope{from.Name, n.handleRequest(now, from, m)})
		return
	}
	n.handleReply(now, from.Name, m)
}

// Tick does what is due by time. The caller calls it at least as often as ResendInterval.
func (n *Node) Tick(now int64) {
	n.expireEntries(now)
	n.startTakeovers(now)
	for _, id := range slices.Sorted(maps.Keys(n.claims)) {
		n.tickClaim(now, n.claims[id])
	}
}
