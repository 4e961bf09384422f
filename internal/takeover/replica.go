package takeover

import "github.com/cespare/xxhash/v2"

const (
	// maxExpiredIDs is the size at which the set of ids of expired entries is rotated even if the rotation is not due yet. A
	// set can exceed this size by the entries that one sweep deletes.
	maxExpiredIDs = 1 << 17
	// sweepsPerRetention is the number of searches for expired entries within Config.Retention.
	sweepsPerRetention = 20
)

// entry is a replica's state for one id as a Paxos acceptor.
type entry struct {
	promised   Ballot
	hasRecord  bool   // a record was accepted
	ballot     Ballot // under which the record was accepted
	record     Record
	receivedAt int64 // time at which the record arrived; the record's age counts from there
	expiresAt  int64
	takeoverAt int64 // time at which this process takes over the request without its client; 0 if none is scheduled
}

// replica is the state of this process as a replica of other members' records and its own.
type replica struct {
	entries map[string]*entry // by request id
	bytes   int               // counted size of all records
	// Hashes of the ids of expired entries, in two generations: each rotation drops the older one.
	expiredIDs, olderExpiredIDs map[uint64]bool
	rotatedAt, sweptAt          int64
	// Ids of all entries with a takeoverAt. startTakeovers removes the ids of deleted entries and of cancelled takeovers.
	scheduledTakeovers map[string]bool
}

func newReplica() replica {
	return replica{entries: map[string]*entry{}, expiredIDs: map[uint64]bool{}, olderExpiredIDs: map[uint64]bool{}, scheduledTakeovers: map[string]bool{}}
}

// hasExpired reports whether this replica had an entry of the id that has expired.
func (r *replica) hasExpired(id string) bool {
	hash := xxhash.Sum64String(id)
	return r.expiredIDs[hash] || r.olderExpiredIDs[hash]
}

// handleRequest answers a Write or a Prepare.
func (n *Node) handleRequest(now int64, from Member, m *Message) Message {
	r := Message{ReplyTo: m.Kind, ID: m.ID, Ballot: m.Ballot, Epoch: n.view.Epoch, Seq: m.Seq}
	switch {
	case n.view.Epoch < m.Epoch: // an older view may still contain an evicted owner
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

// handleWrite stores a record, unless there is a reason for refusal. It completes the reply r.
func (n *Node) handleWrite(now int64, m *Message, r *Message) {
	e := n.entries[m.ID]
	if r.Kind = n.refuseWrite(e, m); r.Kind != Accepted {
		if r.Kind == HigherBallot {
			r.PromisedBallot = e.promised
		}
		return
	}
	hasRecord := e != nil && e.hasRecord
	if hasRecord && m.Ballot == e.ballot && m.Seq <= e.record.Seq { // a duplicate, or older than the stored record
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

// refuseWrite returns the reason for refusing a Write, or Accepted if there is none. e is nil if the id has no entry.
func (n *Node) refuseWrite(e *entry, m *Message) MessageKind {
	if m.Record.Owner != m.Ballot.Proposer || m.Record.ID != m.ID {
		return SenderNotMember
	}
	if e == nil {
		switch {
		case m.Record.Epoch < n.replicaSinceEpoch: // the previous replica of this name may have promised a higher ballot
			return ReplicaTooNew
		case n.hasExpired(m.ID):
			return RecordExpired
		}
		return Accepted
	}
	switch {
	case e.hasRecord && e.record.Digest != m.Record.Digest:
		return IDInUse
	case m.Ballot.Round == 0 && e.hasRecord && e.ballot != m.Ballot: // another member has claimed the id as the first to receive it
		return IDInUse
	case m.Ballot.Compare(e.promised) < 0:
		return HigherBallot
	}
	return Accepted
}

// accept stores the record of a Write. It bounds the record's deadline, so that no owner can keep an entry stored forever.
func (n *Node) accept(now int64, e *entry, m *Message) {
	e.promised, e.hasRecord, e.ballot, e.record, e.receivedAt, e.takeoverAt = m.Ballot, true, m.Ballot, *m.Record, now, 0
	e.record.Age = max(0, e.record.Age)
	e.record.DeadlineAge = min(e.record.DeadlineAge, e.record.Age+n.config.MaxRequestAge)
	e.expiresAt = now + n.config.Retention
	if e.record.Response.Status == NoResponse {
		e.expiresAt += max(0, e.record.DeadlineAge-e.record.Age) + n.config.Retention
	}
}

// handlePrepare promises to accept no lower ballot and returns the stored record, unless there is a reason for refusal. It
// completes the reply r.
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

// refusePrepare returns the reason for refusing a Prepare, or Promised if there is none. e is nil if the id has no entry. A
// request stays with its owner while the owner is a member and the record has no response yet.
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

// expireEntries deletes expired entries and records their ids, so that a late resume fails instead of executing the request a
// second time.
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
