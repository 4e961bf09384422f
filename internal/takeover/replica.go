package takeover

import "github.com/cespare/xxhash/v2"

const (
	// maxExpiredIDs bounds each of the two sets of ids whose records have expired.
	maxExpiredIDs = 1 << 17
	// sweepsPerRetention is how often expired entries are looked for while a final response is stored.
	sweepsPerRetention = 20
)

// entry is what a replica knows of one id: its state as a Paxos acceptor.
type entry struct {
	promised   Ballot
	hasRecord  bool   // a record was accepted
	ballot     Ballot // under which it was
	record     Record
	receivedAt int64 // of record, to add to its age
	expiresAt  int64
	takeoverAt int64 // when this process takes the request over without being asked; 0: its owner is a member
}

// replica is what this process stores for owners of requests.
type replica struct {
	entries map[string]*entry // by request id
	bytes   int
	// Hashed ids of expired records, in two generations: the older one is dropped at each rotation.
	expiredIDs, olderExpiredIDs map[uint64]bool
	rotatedAt, sweptAt          int64
	scheduledTakeovers          map[string]bool // ids with a takeoverAt
}

func newReplica() replica {
	return replica{entries: map[string]*entry{}, expiredIDs: map[uint64]bool{}, olderExpiredIDs: map[uint64]bool{}, scheduledTakeovers: map[string]bool{}}
}

// hasExpired reports whether the id's record was here and has expired.
func (r *replica) hasExpired(id string) bool {
	hash := xxhash.Sum64String(id)
	return r.expiredIDs[hash] || r.olderExpiredIDs[hash]
}

// handleRequest answers a Write or a Prepare.
func (n *Node) handleRequest(now int64, from Member, m *Message) Message {
	r := Message{ReplyTo: m.Kind, ID: m.ID, Ballot: m.Ballot, Epoch: n.view.Epoch, Seq: m.Seq}
	switch {
	case n.view.Epoch < m.Epoch: // an older view can't tell who was evicted
		r.Kind = StaleEpoch
	case !n.view.Contains(from) || m.Ballot.Proposer != from:
		r.Kind = SenderNotMember
	case n.replicaSinceEpoch == 0:
		r.Kind = ReplicaTooNew
	case m.Kind == Write && m.Record != nil:
		n.handleWrite(now, m, &r)
	case m.Kind == Prepare:
		n.handlePrepare(now, m, &r)
	default:
		r.Kind = SenderNotMember
	}
	return r
}

// handleWrite stores a record, unless a higher ballot was promised. It completes the reply r.
func (n *Node) handleWrite(now int64, m *Message, r *Message) {
	e := n.entries[m.ID]
	if r.Kind = n.refuseWrite(e, m); r.Kind != Accepted {
		if r.Kind == HigherBallot {
			r.PromisedBallot = e.promised
		}
		return
	}
	hasRecord := e != nil && e.hasRecord
	if hasRecord && m.Ballot == e.ballot && m.Seq <= e.record.Seq { // a duplicate, or overtaken by a later write
		r.Seq = e.record.Seq
		return
	}
	growth := m.Record.size()
	if hasRecord {
		growth -= e.record.size()
	}
	if n.bytes+growth > n.config.MaxBytes || e == nil && len(n.entries) >= n.config.MaxRecords {
		r.Kind = OutOfCapacity
		return
	}
	n.bytes += growth
	if e == nil {
		e = &entry{}
		n.entries[m.ID] = e
	}
	n.accept(now, e, m)
}

// refuseWrite finds why a record may not be stored in an entry, which is nil for an unknown id; Accepted: it may.
func (n *Node) refuseWrite(e *entry, m *Message) MessageKind {
	if m.Record.Owner != m.Ballot.Proposer || m.Record.ID != m.ID {
		return SenderNotMember
	}
	if e == nil {
		switch {
		case m.Record.Epoch < n.replicaSinceEpoch: // a previous process of this name may have promised a higher ballot
			return ReplicaTooNew
		case n.hasExpired(m.ID):
			return RecordExpired
		}
		return Accepted
	}
	switch {
	case e.hasRecord && e.record.Digest != m.Record.Digest:
		return IDInUse
	case m.Ballot.Round == 0 && e.hasRecord && e.ballot != m.Ballot: // two members claim to be the first reader
		return IDInUse
	case m.Ballot.Compare(e.promised) < 0:
		return HigherBallot
	}
	return Accepted
}

// accept stores the record of a Write. Its deadline is bounded, so that no owner can have an entry stored forever.
func (n *Node) accept(now int64, e *entry, m *Message) {
	e.promised, e.hasRecord, e.ballot, e.record, e.receivedAt, e.takeoverAt = m.Ballot, true, m.Ballot, *m.Record, now, 0
	e.record.Age = max(0, e.record.Age)
	e.record.DeadlineAge = min(e.record.DeadlineAge, e.record.Age+n.config.MaxRequestAge)
	e.expiresAt = now + n.config.Retention
	if e.record.Response.Status == NoResponse {
		e.expiresAt += max(0, e.record.DeadlineAge-e.record.Age) + n.config.Retention
	}
}

// handlePrepare promises to accept no lower ballot, and returns what is known. An owner that is a member and has no response
// yet keeps its request. It completes the reply r.
func (n *Node) handlePrepare(now int64, m *Message, r *Message) {
	e := n.entries[m.ID]
	if r.Kind = n.refusePrepare(now, e, m); r.Kind != Promised {
		if r.Kind == HigherBallot {
			r.PromisedBallot = e.promised
		}
		return
	}
	if e == nil {
		e = &entry{expiresAt: now + n.config.MaxRequestAge + n.config.Retention}
		n.entries[m.ID] = e
	}
	e.promised = m.Ballot
	if e.hasRecord {
		rec := e.record
		rec.Age += now - e.receivedAt
		r.HasRecord, r.RecordBallot, r.Record = true, e.ballot, &rec
	}
}

// refusePrepare finds why a ballot may not be promised for an entry, which is nil for an unknown id; Promised: it may.
func (n *Node) refusePrepare(now int64, e *entry, m *Message) MessageKind {
	if e == nil {
		switch {
		case n.hasExpired(m.ID):
			return RecordExpired
		case now < n.recordsCompleteAt:
			return ReplicaTooNew
		case len(n.entries) >= n.config.MaxRecords:
			return OutOfCapacity
		}
		return Promised
	}
	switch {
	case e.hasRecord && e.record.Digest != m.Digest:
		return IDInUse
	case e.hasRecord && e.record.Response.Status == NoResponse && e.record.Owner != m.Ballot.Proposer && n.isMember(e.record.Owner):
		return OwnerAlive
	case m.Ballot.Compare(e.promised) < 0 || e.hasRecord && m.Ballot.Compare(e.ballot) <= 0:
		return HigherBallot
	}
	return Promised
}

func (n *Node) isMember(m Member) bool {
	if n.config.Fault == InvertMembership {
		return !n.view.Contains(m)
	}
	return n.view.Contains(m)
}

// expireEntries deletes entries that are too old, and remembers their ids: a late resume then fails instead of being executed
// again.
func (n *Node) expireEntries(now int64) {
	if now-n.sweptAt < n.config.Retention/sweepsPerRetention {
		return
	}
	n.sweptAt = now
	if now-n.rotatedAt >= n.config.MaxRequestAge+n.config.Retention || len(n.expiredIDs) >= maxExpiredIDs {
		n.olderExpiredIDs, n.expiredIDs, n.rotatedAt = n.expiredIDs, map[uint64]bool{}, now
	}
	for id, e := range n.entries {
		if e.expiresAt > now {
			continue
		}
		if e.hasRecord {
			n.bytes -= e.record.size()
		}
		delete(n.entries, id)
		n.expiredIDs[xxhash.Sum64String(id)] = true
	}
}
