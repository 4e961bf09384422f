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
	r := Message{To: m.Kind, ID: m.ID, Ballot: m.Ballot, Epoch: n.view.Epoch, Seq: m.Seq}
	switch {
	case n.view.Epoch < m.Epoch:
		r.Kind = Behind // Guards against a judgement by an old list of who is out
	case !n.view.Lives(from) || m.Ballot.By != from:
		r.Kind = Out
	case n.seat == 0:
		r.Kind = Young
	case m.Kind == Write && m.Record != nil:
		n.write(now, m, &r)
	case m.Kind == Ask:
		n.promise(now, m, &r)
	default:
		r.Kind = Out
	}
	return r
}

// write keeps a record, unless a higher ballot was promised.
func (n *Node) write(now int64, m *Message, r *Message) {
	s := n.slots[m.ID]
	first := s == nil
	switch {
	case m.Record.Owner != m.Ballot.By || m.Record.ID != m.ID:
		r.Kind = Out
		return
	case first && m.Record.Epoch < n.seat:
		r.Kind = Young // Guards against a late first write that meets a holder which has forgotten who began the request
		return
	case first && n.forgot(m.ID):
		r.Kind = Expired
		return
	case !first && s.known && s.rec.Digest != m.Record.Digest:
		r.Kind = Other
		return
	case !first && m.Ballot.Round == 0 && s.known && s.at != m.Ballot:
		r.Kind = Other // Guards against two first takers of one id
		return
	case !first && m.Ballot.Compare(s.promised) < 0:
		r.Kind, r.Promise = Outbid, s.promised
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
	if more := m.Record.size() - had; n.bytes+more > n.conf.Bytes || first && len(n.slots) >= n.conf.Records {
		r.Kind = Full
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
	s.rec.Life = min(s.rec.Life, s.rec.Age+n.conf.Longest) // whatever its owner says: nothing is held for good
	s.expires = now + n.conf.Keep
	if s.rec.Answer.Verdict == None {
		s.expires += max(0, s.rec.Life-s.rec.Age) + n.conf.Keep
	}
	r.Kind = Accepted
}

// promise takes no lower ballot any more, and tells what is known. A living owner that has not answered keeps its request.
func (n *Node) promise(now int64, m *Message, r *Message) {
	s := n.slots[m.ID]
	switch {
	case s == nil && n.forgot(m.ID):
		r.Kind = Expired
		return
	case s == nil && now < n.sure:
		r.Kind = Young
		return
	case s == nil && len(n.slots) >= n.conf.Records:
		r.Kind = Full
		return
	case s != nil && s.known && s.rec.Digest != m.Digest:
		r.Kind = Other
		return
	case s != nil && s.known && s.rec.Answer.Verdict == None && s.rec.Owner != m.Ballot.By && n.lives(s.rec.Owner):
		r.Kind = Lives
		return
	case s != nil && (m.Ballot.Compare(s.promised) < 0 || s.known && m.Ballot.Compare(s.at) <= 0):
		r.Kind, r.Promise = Outbid, s.promised
		return
	}
	if s == nil {
		s = &slot{expires: now + n.conf.Longest + n.conf.Keep}
		n.slots[m.ID] = s
	}
	s.promised = m.Ballot
	r.Kind = Promised
	if s.known {
		rec := s.rec
		rec.Age += now - s.came
		r.Known, r.At, r.Record = true, s.at, &rec
	}
}

func (n *Node) lives(m Member) bool {
	if n.conf.Plant == EpochWrong {
		return !n.view.Lives(m)
	}
	return n.view.Lives(m)
}

// expire forgets what is too old, and remembers that it did.
func (n *Node) expire(now int64) {
	if now-n.swept < n.conf.Keep/20 {
		return
	}
	n.swept = now
	if now-n.turn >= n.conf.Longest+n.conf.Keep || len(n.gone) >= forgetMost {
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
	for m := range n.view.Live {
		living[m.Name] = true
	}
	for id, s := range n.slots {
		if !s.known || s.rec.Answer.Verdict != None || s.orphan != 0 || n.view.Lives(s.rec.Owner) ||
			s.rec.Effect != Keyed || len(s.rec.Request) == 0 || !s.rec.Sent {
			continue
		}
		place := int64(0)
		for _, name := range Holders(n.conf.Names, id, n.conf.Holders) {
			if name == n.conf.Me.Name {
				break
			}
			if living[name] {
				place++
			}
		}
		s.orphan = now + place*n.conf.Stagger
		n.left[id] = true
	}
}
