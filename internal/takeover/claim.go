package takeover

import (
	"cmp"
	"maps"
	"slices"
)

// phase is how far a claim has come.
type phase uint8

const (
	preparing  phase = iota // asks the replicas what they know
	writing                 // has the replicas store the record; nothing was sent yet
	executing               // the request may be sent
	concluding              // has the replicas store the final response
)

// claim is a request that this process owns or wants to own.
type claim struct {
	id               string
	phase            phase
	ballot           Ballot
	submitted        Record // as the caller gave it
	record           Record // as it is written next
	ageAt            int64  // when record.Age was computed
	startedAt        int64
	resendAt         int64
	sentAt           int64 // of the last messages to the replicas
	replicas         []string
	replies          map[string]*Message // the latest reply of each replica to this ballot and phase
	takenOver        bool                // another member owned it
	previousOwner    Member              // with takenOver
	failedOnTakeover bool                // concluded here that it may have been executed
	ownerAliveAt     int64               // when a replica last replied that the owner is a member
	unavailable      bool                // QuorumUnavailable was reported, and the claim goes on until the caller ends it
	markedSent       bool                // the replicas were told that the request was sent
	returnStored     bool                // the caller waits for the stored response
	expiresAt        int64
}

// openClaim opens a claim, unless the id has one or this process is no member.
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

// endClaim closes a claim with its last event.
func (n *Node) endClaim(c *claim, e Event) {
	delete(n.claims, c.id)
	e.ID = c.id
	if e.Decision == QuorumUnavailable {
		e.Record = c.record
	}
	n.emit(e)
}

// tickClaim does what is due by time for one claim.
func (n *Node) tickClaim(now int64, c *claim) {
	timedOut := now-max(c.startedAt, c.ownerAliveAt) >= n.config.QuorumTimeout
	switch {
	case c.expiresAt <= now:
		n.endClaim(c, Event{Decision: QuorumUnavailable})
	case c.phase == executing && (c.markedSent || c.resendAt > now || len(c.record.Request) == 0):
	case c.phase == executing: // markedSent once and only after a while, to spare the messages for requests that end soon
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

// prepare asks all replicas for their promise.
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

// resend sends the claim's message to every replica that has not agreed to it. This process answers itself at once.
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

// handleReply takes a replica's reply.
func (n *Node) handleReply(now int64, from string, m *Message) {
	c := n.claims[m.ID]
	if c == nil || m.Ballot != c.ballot || c.phase == executing || (m.ReplyTo == Prepare) != (c.phase == preparing) ||
		!slices.Contains(c.replicas, from) {
		return
	}
	if m.Kind == Accepted && m.Seq != c.record.Seq {
		if m.Seq > c.record.Seq { // an earlier claim of this process has concluded it
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

// handleRefusal handles a reply by which one replica alone ends or restarts the claim. It reports whether this was one.
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

// raiseBallot starts the claim again with a higher ballot after another member has claimed the request, to find what came of
// it. The next tick sends it, not this call, so that two members that compete leave each other time to finish.
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

// isQuorumImpossible reports whether all replicas that are members have replied, and no quorum has come of it.
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

// reportUnavailable reports that there is no quorum. A response that some replica has is returned all the same.
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
	c.unavailable = true // the caller ends it, with Complete or Drop
	e.ID, e.Record = c.id, c.record
	n.emit(e)
}

// latestPromise is the promise with the record of the highest ballot, among these the last written; nil: none has a record.
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

// adoptPromised continues, once a quorum has promised, from the latest record that it knows. A request that another member
// may have sent and that is not idempotent fails: nobody can tell whether it was executed.
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

// adoptRecord makes another owner's record this claim's. Its age grows by the whole round trip, since the way there can't be
// told from the way back.
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

// onQuorumAccepted continues once a quorum has stored what was written.
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
