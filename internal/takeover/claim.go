package takeover

import (
	"cmp"
	"maps"
	"slices"
)

// phase is the progress of a claim.
type phase uint8

const (
	preparing  phase = iota // waits for promises
	writing                 // waits for a quorum to store the record, before the request is sent
	executing               // the request may be sent
	concluding              // waits for a quorum to store the final response
)

// claim is a request that this process owns or wants to own.
type claim struct {
	id               string
	phase            phase
	ballot           Ballot
	submitted        Record // the caller's record
	record           Record // the record to write
	ageAt            int64  // time at which record.Age was computed
	startedAt        int64
	resendAt         int64
	sentAt           int64 // time of the latest messages to the replicas
	replicas         []string
	replies          map[string]*Message // the latest reply of each replica to this ballot and phase
	takenOver        bool                // another member owned the request
	previousOwner    Member              // with takenOver
	failedOnTakeover bool                // failed by this claim, since the previous owner may have had it executed
	ownerAliveAt     int64               // time of the latest OwnerAlive reply
	unavailable      bool                // QuorumUnavailable was emitted, and the claim stays open until the caller ends it
	markedSent       bool                // a record with Sent set was written
	returnStored     bool                // the claim ends with ReturnStored instead of Replicated
	expiresAt        int64
}

// openClaim opens a claim. It emits an event and returns nil if the id has a claim already or this process is not a member.
func (n *Node) openClaim(now int64, rec Record, p phase) *claim {
	if !n.IsMember() {
		n.emit(Event{Decision: QuorumUnavailable, ID: rec.ID, Record: rec, NeverSent: p == writing, NoReplicaAsked: p == writing})
		return nil
	}
	if n.claims[rec.ID] != nil {
		n.emit(Event{Decision: DuplicateID, ID: rec.ID})
		return nil
	}
	rec.Owner, rec.Epoch, rec.Seq, rec.Response = n.config.Self, n.view.Epoch, 0, Response{}
	c := &claim{
		id: rec.ID, phase: p, submitted: rec, record: rec, ageAt: now, startedAt: now,
		replicas:  Replicas(n.config.MemberNames, rec.ID, n.config.ReplicationFactor),
		expiresAt: now + max(0, rec.DeadlineAge-rec.Age) + 2*n.config.Retention,
	}
	n.claims[c.id] = c
	return c
}

// endClaim removes a claim and emits its last event.
func (n *Node) endClaim(c *claim, e Event) {
	delete(n.claims, c.id)
	e.ID = c.id
	if e.Decision == QuorumUnavailable {
		e.Record = c.record
	}
	n.emit(e)
}

// tickClaim processes the timeouts and resends of one claim that are due.
func (n *Node) tickClaim(now int64, c *claim) {
	timedOut := now-max(c.startedAt, c.ownerAliveAt) >= n.config.QuorumTimeout
	switch {
	case c.expiresAt <= now:
		n.endClaim(c, Event{Decision: QuorumUnavailable})
	case c.phase == executing && (c.markedSent || c.resendAt > now || len(c.record.Request) == 0):
	case c.phase == executing: // Sent is written only after ResendInterval, which saves the messages for short requests
		c.markedSent, c.record.Sent = true, true
		n.writeRecord(now, c)
	case c.phase == concluding && c.returnStored && timedOut:
		n.finishClaim(c)
	case c.phase != concluding && timedOut:
		n.reportUnavailable(c)
		if n.claims[c.id] == c && c.resendAt <= now {
			n.resend(now, c)
		}
	case c.resendAt <= now && c.phase == preparing:
		n.prepare(now, c)
	case c.resendAt <= now:
		n.resend(now, c)
	}
}

// prepare requests a promise from all replicas.
func (n *Node) prepare(now int64, c *claim) {
	c.replies = map[string]*Message{}
	n.resend(now, c)
}

// writeRecord sends the record to all replicas.
func (n *Node) writeRecord(now int64, c *claim) {
	c.record.Age += now - c.ageAt
	c.ageAt, c.replies = now, map[string]*Message{}
	if c.phase != writing {
		c.record.Seq++
	}
	n.resend(now, c)
}

// resend sends the claim's message to every replica that has not agreed to it. If this process is a replica of the claim, its
// own reply is handled at once.
func (n *Node) resend(now int64, c *claim) {
	c.resendAt, c.sentAt = now+n.config.ResendInterval, now
	m := Message{Kind: Prepare, ID: c.id, Ballot: c.ballot, Epoch: n.view.Epoch, Digest: c.record.Digest}
	if c.phase != preparing {
		rec := c.record
		rec.Age += now - c.ageAt
		m.Kind, m.Seq, m.Record = Write, rec.Seq, &rec
	}
	for _, name := range c.replicas {
		if r := c.replies[name]; r != nil && (r.Kind == Accepted || r.Kind == Promised) {
			continue
		}
		if name != n.config.Self.Name {
			n.outbox = append(n.outbox, Envelope{name, m})
		} else if own := n.handleRequest(now, n.config.Self, &m); n.claims[c.id] == c {
			n.handleReply(now, name, &own)
		}
	}
}

// handleReply processes a replica's reply.
func (n *Node) handleReply(now int64, from string, m *Message) {
	c := n.claims[m.ID]
	if c == nil || m.Ballot != c.ballot || c.phase == executing || (m.ReplyTo == Prepare) != (c.phase == preparing) ||
		!slices.Contains(c.replicas, from) {
		return
	}
	if m.Kind == Accepted && m.Seq != c.record.Seq {
		if m.Seq > c.record.Seq { // an earlier claim of this process has written a later record
			n.endClaim(c, Event{Decision: DuplicateID})
		}
		return
	}
	c.replies[from] = m
	if n.handleRefusal(now, c, m) {
		return
	}
	if c.countReplies(Promised) >= n.config.Quorum() {
		n.adoptPromised(now, c)
	} else if c.countReplies(Accepted) >= n.config.Quorum() {
		n.onQuorumAccepted(now, c)
	} else if c.phase != concluding && n.isQuorumImpossible(c) {
		n.reportUnavailable(c)
	}
}

// handleRefusal processes refusals. It reports whether the reply has ended or restarted the claim, for which one replica's
// refusal is enough.
func (n *Node) handleRefusal(now int64, c *claim, m *Message) bool {
	switch m.Kind {
	case OwnerAlive:
		c.ownerAliveAt = now
		return false
	case SenderNotMember:
		n.endClaim(c, Event{Decision: OwnershipLost})
	case IDInUse:
		n.endClaim(c, Event{Decision: DuplicateID})
	case RecordExpired:
		if c.phase == preparing {
			n.endClaim(c, Event{Decision: ReturnStored, Record: Record{Response: Response{Status: Failed, Reason: "record expired"}}})
		} else {
			n.endClaim(c, Event{Decision: DuplicateID})
		}
	case HigherBallot:
		n.raiseBallot(c, m.PromisedBallot)
	default:
		return false
	}
	return true
}

// raiseBallot restarts the claim with a higher ballot after another member has claimed the request, to learn the result of that
// claim. The Prepare messages are left to the next resend, so that competing members leave each other time to finish.
func (n *Node) raiseBallot(c *claim, promised Ballot) {
	if c.phase == concluding && !c.returnStored || c.unavailable {
		n.endClaim(c, Event{Decision: OwnershipLost})
		return
	}
	n.round = max(n.round, promised.Round) + 1
	c.ballot.Round, c.phase, c.record = n.round, preparing, c.submitted
	c.takenOver, c.failedOnTakeover, c.returnStored = false, false, false
	c.replies = map[string]*Message{}
}

func (c *claim) countReplies(k MessageKind) (n int) {
	for _, r := range c.replies {
		if r.Kind == k {
			n++
		}
	}
	return n
}

// isQuorumImpossible reports whether all replicas that are members have replied with a final answer. Since the caller has found no
// quorum among the replies, there will be none.
func (n *Node) isQuorumImpossible(c *claim) bool {
	for m := range n.view.Members {
		if !slices.Contains(c.replicas, m.Name) {
			continue
		}
		if r := c.replies[m.Name]; r == nil || r.Kind == StaleEpoch || r.Kind == OwnerAlive {
			return false
		}
	}
	return true
}

// reportUnavailable emits QuorumUnavailable. A claim that waits for promises returns a final response instead, if a replica has
// one.
func (n *Node) reportUnavailable(c *claim) {
	if c.unavailable {
		return
	}
	e := Event{Decision: QuorumUnavailable, TakenOver: c.takenOver, NeverSent: c.phase == writing && !c.takenOver}
	if m := c.latestPromise(); m != nil && c.phase == preparing {
		e.TakenOver = true
		if m.Record.Response.Status != NoResponse {
			n.endClaim(c, Event{Decision: ReturnStored, Record: *m.Record, TakenOver: true})
			return
		}
	}
	if c.phase != writing {
		n.endClaim(c, e)
		return
	}
	c.unavailable = true // the caller ends the claim with Complete or Drop
	e.ID, e.Record = c.id, c.record
	n.emit(e)
}

// latestPromise returns the promise whose record has the highest ballot and, within that ballot, the highest Seq. It returns nil
// if no promise has a record.
func (c *claim) latestPromise() *Message {
	var best *Message
	for _, name := range slices.Sorted(maps.Keys(c.replies)) {
		r := c.replies[name]
		if r.Kind != Promised || !r.HasRecord || r.Record == nil {
			continue
		}
		if best == nil || cmp.Or(r.RecordBallot.Compare(best.RecordBallot), cmp.Compare(r.Record.Seq, best.Record.Seq)) > 0 {
			best = r
		}
	}
	return best
}

// adoptPromised continues a claim that a quorum has promised from the latest record in the promises. A request that is not
// idempotent and that another member may have sent fails, because it may have been executed.
func (n *Node) adoptPromised(now int64, c *claim) {
	c.record, c.ageAt = c.submitted, now
	c.record.Age += now - c.startedAt
	if m := c.latestPromise(); m != nil {
		n.adoptRecord(now, c, m.Record)
	}
	switch {
	case c.record.Response.Status != NoResponse:
		c.phase = concluding
	case c.takenOver && c.record.Idempotency == NotIdempotent:
		c.phase, c.failedOnTakeover = concluding, true
		c.record.Response, c.record.Request = Response{Status: Failed, Reason: "may have run"}, nil
	default:
		c.phase = writing
	}
	c.replies = map[string]*Message{}
	if c.phase == concluding {
		c.expiresAt, c.returnStored = now+n.config.Retention, true
	}
	n.resend(now, c)
}

// adoptRecord continues the claim with another owner's record. It adds the full round trip to the record's age, since the delay
// of the reply alone is unknown.
func (n *Node) adoptRecord(now int64, c *claim, known *Record) {
	age := c.record.Age
	c.record, c.takenOver, c.previousOwner = *known, true, known.Owner
	c.record.Owner, c.record.Epoch, c.record.Seq = n.config.Self, c.submitted.Epoch, 0
	c.record.Age = max(c.record.Age+now-c.sentAt, age)
	if len(c.record.Request) == 0 && c.record.Response.Status == NoResponse {
		c.record.Request = c.submitted.Request
	}
	if n.config.Fault == ForgetResponse {
		c.record.Response = Response{}
	}
}

// onQuorumAccepted continues a claim whose record or final response a quorum has stored.
func (n *Node) onQuorumAccepted(now int64, c *claim) {
	switch {
	case c.phase == concluding:
		n.finishClaim(c)
	case !c.unavailable:
		c.phase, c.resendAt = executing, now+n.config.ResendInterval
		n.emit(Event{Decision: Execute, ID: c.id, Record: c.record, TakenOver: c.takenOver, PreviousOwner: c.previousOwner})
	}
}

// finishClaim ends a claim whose final response is stored.
func (n *Node) finishClaim(c *claim) {
	if !c.returnStored {
		n.endClaim(c, Event{Decision: Replicated})
		return
	}
	n.endClaim(c, Event{
		Decision: ReturnStored, Record: c.record, TakenOver: c.takenOver, PreviousOwner: c.previousOwner, FailedOnTakeover: c.failedOnTakeover,
	})
}
