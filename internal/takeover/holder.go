package takeover

import "github.com/cespare/xxhash/v2"

// forgetMost bounds each half of the ids that were known and are forgotten.
const forgetMost = 1 << 17

// slot is what a holder knows of one id.
type slot struct {
	promised Ballot
	known    bool   // a record was written
	at       Ballot // under which
	rec      Record
	came     int64 // when, for its age
	expires  int64
	orphan   int64 // when this holder takes it over unasked; 0: its owner lives
}

// holder keeps records for others.
type holder struct {
	slots map[string]*slot
	bytes int
	// Ids of expired records, in two halves: the older one is dropped when the newer has lasted for long enough.
	gone, goneBefore map[uint64]bool
	turn, swept      int64
	left             map[string]bool // ids whose owner is out, which this holder may take over unasked
}

func newHolder() holder {
	return holder{slots: map[string]*slot{}, gone: map[uint64]bool{}, goneBefore: map[uint64]bool{}, left: map[string]bool{}}
}

func (h *holder) forgot(id string) bool {
	x := xxhash.Sum64String(id)
	return h.gone[x] || h.goneBefore[x]
}

// hold answers a Write or an Ask.
func (n *Node) hold(now int64, from Member, m *Message) Message {
	r := Message{ReplyTo: m.Kind, ID: m.ID, Ballot: m.Ballot, Epoch: n.view.Epoch, Seq: m.Seq}
	switch {
	case n.view.Epoch < m.Epoch:
		r.Kind = StaleEpoch // Guards against a judgement by an old list of who is out
	case !n.view.Contains(from) || m.Ballot.Proposer != from:
		r.Kind = Evicted
	case n.seat == 0:
		r.Kind = NotYetMember
	case m.Kind == Write && m.Record != nil:
		n.write(now, m, &r)
	case m.Kind == Prepare:
		n.promise(now, m, &r)
	default:
		r.Kind = Evicted
	}
	return r
}

// write keeps a record, unless a higher ballot was promised.
func (n *Node) write(now int64, m *Message, r *Message) {
	s := n.slots[m.ID]
	first := s == nil
	switch {
	case m.Record.Owner != m.Ballot.Proposer || m.Record.ID != m.ID:
		r.Kind = Evicted
		return
	case first && m.Record.Epoch < n.seat:
		r.Kind = NotYetMember // Guards against a late first write that meets a holder which has forgotten who began the request
		return
	case first && n.forgot(m.ID):
		r.Kind = RecordExpired
		return
	case !first && s.known && s.rec.Digest != m.Record.Digest:
		r.Kind = IDInUse
		return
	case !first && m.Ballot.Round == 0 && s.known && s.at != m.Ballot:
		r.Kind = IDInUse // Guards against two first takers of one id
		return
	case !first && m.Ballot.Compare(s.promised) < 0:
		r.Kind, r.PromisedBallot = HigherBallot, s.promised
		return
	}
	if !first && s.known && m.Ballot == s.at && m.Seq <= s.rec.Seq {
		r.Kind, r.Seq = Accepted, s.rec.Seq // doubled, or overtaken by a later one
		return
	}
	had := 0
	if !first && s.known {
		had = s.rec.size()
	}
	if more := m.Record.size() - had; n.bytes+more > n.conf.MaxBytes || first && len(n.slots) >= n.conf.MaxRecords {
		r.Kind = OutOfCapacity
		return
	} else {
		n.bytes += more
	}
	if first {
		s = &slot{}
		n.slots[m.ID] = s
	}
	s.promised, s.known, s.at, s.rec, s.came, s.orphan = m.Ballot, true, m.Ballot, *m.Record, now, 0
	s.rec.Age = max(0, s.rec.Age)
	s.rec.DeadlineAge = min(s.rec.DeadlineAge, s.rec.Age+n.conf.MaxRequestAge) // whatever its owner says: nothing is held for good
	s.expires = now + n.conf.Retention
	if s.rec.Response.Status == NoResponse {
		s.expires += max(0, s.rec.DeadlineAge-s.rec.Age) + n.conf.Retention
	}
	r.Kind = Accepted
}

// promise takes no lower ballot any more, and tells what is known. A living owner that has not answered keeps its request.
func (n *Node) promise(now int64, m *Message, r *Message) {
	s := n.slots[m.ID]
	switch {
	case s == nil && n.forgot(m.ID):
		r.Kind = RecordExpired
		return
	case s == nil && now < n.sure:
		r.Kind = NotYetMember
		return
	case s == nil && len(n.slots) >= n.conf.MaxRecords:
		r.Kind = OutOfCapacity
		return
	case s != nil && s.known && s.rec.Digest != m.Digest:
		r.Kind = IDInUse
		return
	case s != nil && s.known && s.rec.Response.Status == NoResponse && s.rec.Owner != m.Ballot.Proposer && n.lives(s.rec.Owner):
		r.Kind = OwnerAlive
		return
	case s != nil && (m.Ballot.Compare(s.promised) < 0 || s.known && m.Ballot.Compare(s.at) <= 0):
		r.Kind, r.PromisedBallot = HigherBallot, s.promised
		return
	}
	if s == nil {
		s = &slot{expires: now + n.conf.MaxRequestAge + n.conf.Retention}
		n.slots[m.ID] = s
	}
	s.promised = m.Ballot
	r.Kind = Promised
	if s.known {
		rec := s.rec
		rec.Age += now - s.came
		r.HasRecord, r.RecordBallot, r.Record = true, s.at, &rec
	}
}

func (n *Node) lives(m Member) bool {
	if n.conf.Fault == InvertMembership {
		return !n.view.Contains(m)
	}
	return n.view.Contains(m)
}

// expire forgets what is too old, and remembers that it did.
func (n *Node) expire(now int64) {
	if now-n.swept < n.conf.Retention/20 {
		return
	}
	n.swept = now
	if now-n.turn >= n.conf.MaxRequestAge+n.conf.Retention || len(n.gone) >= forgetMost {
		n.goneBefore, n.gone, n.turn = n.gone, map[uint64]bool{}, now
	}
	for id, s := range n.slots {
		if s.expires > now {
			continue
		}
		if s.known {
			n.bytes -= s.rec.size()
		}
		delete(n.slots, id)
		n.gone[xxhash.Sum64String(id)] = true
	}
}

// orphans sets when this holder takes over what was left by members that are out: the first living holder at once, each
// other one later, in case it does not. Work that only its client can have sent waits for the client, and so does work
// that may have been refused for want of a quorum: guards against a run of what its client was told is harmless to repeat.
func (n *Node) orphans(now int64) {
	living := map[string]bool{}
	for m := range n.view.Members {
		living[m.Name] = true
	}
	for id, s := range n.slots {
		if !s.known || s.rec.Response.Status != NoResponse || s.orphan != 0 || n.view.Contains(s.rec.Owner) ||
			s.rec.Idempotency != IdempotentByKey || len(s.rec.Request) == 0 || !s.rec.Sent {
			continue
		}
		place := int64(0)
		for _, name := range Replicas(n.conf.MemberNames, id, n.conf.ReplicationFactor) {
			if name == n.conf.Self.Name {
				break
			}
			if living[name] {
				place++
			}
		}
		s.orphan = now + place*n.conf.TakeoverStagger
		n.left[id] = true
	}
}
