package takeover

import (
	"cmp"
	"maps"
	"slices"
)

// InjectedFault is a fault put in on purpose, to show that explorer and rig find it.
type InjectedFault uint8

const (
	NoFault          InjectedFault = iota
	IgnoreLease                    // what the caller does with its lease; nothing here
	SendBeforeQuorum               // work goes out before a quorum has its record
	InvertMembership               // the living count as out, and those out as living
	ForgetResponse                 // a taker takes an answer for none
)

// Config is what a Node is made with.
type Config struct {
	Self              Member
	MemberNames       []string // of all members
	ReplicationFactor int      // of each record
	MaxRecords        int      // held at most
	MaxBytes          int      // of them at most
	Retention         int64    // µs for which an answer is kept
	MaxRequestAge     int64    // µs: no request is asked for after so long
	LateRequestSlack  int64    // µs by which an ask may be late for all that
	QuorumTimeout     int64    // µs for which a quorum is waited for
	ResendInterval    int64    // µs after which what has no reply is sent again
	TakeoverStagger   int64    // µs between holders that take over unasked
	Fault             InjectedFault
}

// Quorum is how many holders have to agree.
func (c *Config) Quorum() int { return c.ReplicationFactor/2 + 1 }

// Decision is what a Node tells its caller to do with a request.
type Decision uint8

const (
	Execute           Decision = iota // it may be sent from now on; Record tells what is known
	ReturnStored                      // Record.Answer is the final answer
	QuorumUnavailable                 // too few holders have said anything in time; nothing is promised
	DuplicateID                       // the id is that of another request, or of one under way
	OwnershipLost                     // another owner has it, or this process is out: send nothing, answer nothing
	OwnerEvicted                      // its owner is out: take it over with Resume
	Replicated                        // a quorum has the answer
)

// String names it as log lines do.
func (d Decision) String() string {
	return [...]string{"run", "give", "missing", "doubled", "lost", "orphan", "kept"}[d]
}

// Event is one such word.
type Event struct {
	Decision      Decision
	ID            string
	Record        Record
	TakenOver     bool   // from another owner, with Run or Missing: it may have run there
	PreviousOwner Member // with Taken: its owner before
	ConcludedHere bool   // with Give: this process has found that it may have run, nobody had answered it
	NeverSent     bool   // with Missing: this process was the first to be asked, or a quorum said that it was never sent
	Immediate     bool   // with Missing: nobody was asked, and its client can't have gone elsewhere meanwhile
}

// Fallback is what to do where no quorum of holders can be had.
type Fallback uint8

const (
	SendWithoutRecord Fallback = iota // send it, without custody
	RejectRequest                     // nothing was sent: trying again is harmless
	FailRequest                       // it may have run
)

// Fallback tells it, with Missing. Strict: the class's work goes out under custody alone.
func (e *Event) Fallback(strict bool) Fallback {
	switch {
	case e.NeverSent && strict && e.Immediate:
		return RejectRequest
	case e.NeverSent && strict: // Guards against a refusal of what another member runs, asked while this one waited
		return FailRequest
	case e.NeverSent:
		return SendWithoutRecord
	case e.Record.Idempotency == NotIdempotent: // somebody may have sent it
		return FailRequest
	}
	return SendWithoutRecord
}

// Envelope is a message for the process of that name.
type Envelope struct {
	To string
	Message
}

type phase uint8

const (
	asking  phase = iota // for promises
	writing              // before anything is sent
	running
	closing // the answer is written
)

// claim is a request that this process owns or wants to own.
type claim struct {
	id      string
	phase   phase
	ballot  Ballot
	mine    Record // as the caller gave it
	rec     Record // as it is written next
	came    int64  // when rec.Age counted
	began   int64
	again   int64 // when to send once more
	sent    int64 // when it was last sent
	holders []string
	replies map[string]*Message // the latest of each holder, to this ballot and phase
	taken   bool                // from another owner
	from    Member              // which
	judged  bool                // found here that it may have run
	lived   int64               // when a holder last told that the owner lives
	late    bool                // the caller was told that it is missing
	marked  bool                // holders were told that it may be under way
	give    bool                // the caller waits for the answer
	expires int64
}

// Node is one process's part in custody.
type Node struct {
	conf   Config
	view   *View
	joined bool
	seat   uint64 // epoch from which on this process is the holder of its name; 0: another is, or nobody yet
	sure   int64  // from this time on what it does not know was never begun
	round  uint32 // of the latest ballot: none is used for two claims
	holder
	claims map[string]*claim
	out    []Envelope
	events []Event
}

// New makes a node.
func New(conf Config) *Node {
	conf.MemberNames = slices.Sorted(slices.Values(conf.MemberNames))
	return &Node{conf: conf, view: &View{}, holder: newHolder(), claims: map[string]*claim{}}
}

// TakeMessages returns what is to be sent since the last call, and Events what is to be done.
func (n *Node) TakeMessages() []Envelope    { out := n.out; n.out = nil; return out }
func (n *Node) TakeEvents() []Event         { e := n.events; n.events = nil; return e }
func (n *Node) tell(e Event)                { n.events = append(n.events, e) }
func (n *Node) Usage() (records, bytes int) { return len(n.slots), n.bytes }

// ApplyView takes a newer view.
func (n *Node) ApplyView(now int64, v *View) {
	if v.Epoch <= n.view.Epoch {
		return
	}
	n.view = v
	if n.joined && !v.Contains(n.conf.Self) {
		n.drop()
	}
	n.joined = v.Contains(n.conf.Self)
	n.sit(now)
	n.orphans(now)
	for _, id := range slices.Sorted(maps.Keys(n.claims)) {
		if c := n.claims[id]; c.phase == asking {
			n.ask(now, c)
		}
	}
}

// sit finds whether this process is the holder of its name: of several the one that joined first is. What another one of
// that name held it has never known, so that it can't speak of requests begun before.
func (n *Node) sit(now int64) {
	var oldest Member
	var at MemberInfo
	for m, s := range n.view.Members {
		if m.Name == n.conf.Self.Name && (oldest.Name == "" || s.JoinedEpoch < at.JoinedEpoch) {
			oldest, at = m, s
		}
	}
	switch {
	case oldest.Name == "": // none: it keeps what it has
	case oldest != n.conf.Self:
		n.seat = 0
	case n.seat == 0:
		n.seat, n.sure = n.view.Epoch, now
		if !at.FirstIncarnation {
			n.sure += n.conf.MaxRequestAge + n.conf.LateRequestSlack
		}
	}
}

// Rejoin makes another member of this process: the one it was is out. What it holds for others it has not forgotten.
func (n *Node) Rejoin(me Member) {
	n.drop()
	n.conf.Self, n.joined = me, false
}

// drop ends all that this process owns: it is out.
func (n *Node) drop() {
	for _, id := range slices.Sorted(maps.Keys(n.claims)) {
		n.tell(Event{Decision: OwnershipLost, ID: id})
	}
	n.claims = map[string]*claim{}
}

// IsMember tells whether this process is a member now.
func (n *Node) IsMember() bool { return n.joined }

// Begin begins the request as its first taker. Run follows once a quorum has the record.
func (n *Node) Begin(now int64, rec Record) {
	c := n.claim(now, rec, writing)
	if c == nil {
		return
	}
	c.ballot = Ballot{Proposer: n.conf.Self}
	if n.conf.Fault == SendBeforeQuorum {
		c.phase = running
		n.tell(Event{Decision: Execute, ID: c.id, Record: c.rec})
	}
	n.send(now, c)
}

// Resume asks for a request that another member may own. rec is what is known of it here.
func (n *Node) Resume(now int64, rec Record) {
	c := n.claim(now, rec, asking)
	if c == nil {
		return
	}
	n.round++
	c.ballot = Ballot{Round: n.round, Proposer: n.conf.Self}
	n.ask(now, c)
}

// claim opens one, unless the id has one or this process is no member.
func (n *Node) claim(now int64, rec Record, p phase) *claim {
	if !n.IsMember() {
		n.tell(Event{Decision: QuorumUnavailable, ID: rec.ID, Record: rec, NeverSent: p == writing, Immediate: p == writing})
		return nil
	}
	if n.claims[rec.ID] != nil {
		n.tell(Event{Decision: DuplicateID, ID: rec.ID})
		return nil
	}
	rec.Owner, rec.Epoch, rec.Seq, rec.Response = n.conf.Self, n.view.Epoch, 0, Response{}
	c := &claim{
		id: rec.ID, phase: p, mine: rec, rec: rec, came: now, began: now, holders: Replicas(n.conf.MemberNames, rec.ID, n.conf.ReplicationFactor),
		expires: now + max(0, rec.DeadlineAge-rec.Age) + 2*n.conf.Retention,
	}
	n.claims[c.id] = c
	return c
}

// Complete gives a request that runs here its final answer, for those who ask again.
func (n *Node) Complete(now int64, id string, a Response) {
	if c := n.claims[id]; c != nil && (c.phase == running || c.phase == writing) {
		c.phase, c.rec.Response, c.rec.Request = closing, a, nil
		c.expires = now + n.conf.Retention
		n.send(now, c)
	}
}

// Drop forgets a claim: the request goes on without custody, or not at all.
func (n *Node) Drop(id string) { delete(n.claims, id) }

// IsPreparing tells whether a request is still asked for: nothing was begun here.
func (n *Node) IsPreparing(id string) bool { c := n.claims[id]; return c != nil && c.phase == asking }

// send writes the record to all holders.
func (n *Node) send(now int64, c *claim) {
	c.rec.Age += now - c.came
	c.came, c.replies = now, map[string]*Message{}
	if c.phase != writing {
		c.rec.Seq++
	}
	n.resend(now, c)
}

// ask asks all holders for their promise.
func (n *Node) ask(now int64, c *claim) {
	c.replies = map[string]*Message{}
	n.resend(now, c)
}

// resend sends what has no reply that counts.
func (n *Node) resend(now int64, c *claim) {
	c.again, c.sent = now+n.conf.ResendInterval, now
	m := Message{Kind: Prepare, ID: c.id, Ballot: c.ballot, Epoch: n.view.Epoch, Digest: c.rec.Digest}
	if c.phase != asking {
		rec := c.rec
		rec.Age += now - c.came
		m.Kind, m.Seq, m.Record = Write, rec.Seq, &rec
	}
	for _, h := range c.holders {
		if r := c.replies[h]; r != nil && (r.Kind == Accepted || r.Kind == Promised) {
			continue
		}
		if h != n.conf.Self.Name {
			n.out = append(n.out, Envelope{h, m})
		} else if own := n.hold(now, n.conf.Self, &m); n.claims[c.id] == c {
			n.reply(now, h, &own)
		}
	}
}

// Handle takes a message of another member.
func (n *Node) Handle(now int64, from Member, m *Message) {
	if m.Kind == Write || m.Kind == Prepare {
		n.out = append(n.out, Envelope{from.Name, n.hold(now, from, m)})
		return
	}
	n.reply(now, from.Name, m)
}

// reply takes a holder's word.
func (n *Node) reply(now int64, from string, m *Message) {
	c := n.claims[m.ID]
	if c == nil || m.Ballot != c.ballot || c.phase == running || (m.ReplyTo == Prepare) != (c.phase == asking) || !slices.Contains(c.holders, from) {
		return
	}
	if m.Kind == Accepted && m.Seq != c.rec.Seq {
		if m.Seq > c.rec.Seq { // an earlier claim of this process ended it
			n.end(c, Event{Decision: DuplicateID})
		}
		return
	}
	c.replies[from] = m
	switch m.Kind {
	case OwnerAlive:
		c.lived = now
	case Evicted:
		n.end(c, Event{Decision: OwnershipLost})
		return
	case IDInUse:
		n.end(c, Event{Decision: DuplicateID})
		return
	case RecordExpired:
		if c.phase == asking {
			n.end(c, Event{Decision: ReturnStored, Record: Record{Response: Response{Status: Failed, Reason: "record expired"}}})
		} else {
			n.end(c, Event{Decision: DuplicateID})
		}
		return
	case HigherBallot:
		if c.phase == closing && !c.give || c.late {
			n.end(c, Event{Decision: OwnershipLost})
			return
		}
		// Another wants it: what it makes of it is asked for. The next turn does that; two that ask take their time.
		n.round = max(n.round, m.PromisedBallot.Round) + 1
		c.ballot.Round, c.phase, c.rec, c.taken, c.judged, c.give = n.round, asking, c.mine, false, false, false
		c.replies = map[string]*Message{}
		return
	}
	if c.count(Promised) >= n.conf.Quorum() {
		n.choose(now, c)
	} else if c.count(Accepted) >= n.conf.Quorum() {
		n.agreed(now, c)
	} else if c.phase != closing && n.hopeless(c) {
		n.missing(c)
	}
}

// hopeless tells that all holders that live have spoken, and that no quorum comes of it.
func (n *Node) hopeless(c *claim) bool {
	for m := range n.view.Members {
		if !slices.Contains(c.holders, m.Name) {
			continue
		}
		if r := c.replies[m.Name]; r == nil || r.Kind == StaleEpoch || r.Kind == OwnerAlive {
			return false
		}
	}
	return true
}

// missing tells that no quorum came. What some holder knows is told all the same.
func (n *Node) missing(c *claim) {
	if c.late {
		return
	}
	e := Event{Decision: QuorumUnavailable, TakenOver: c.taken, NeverSent: c.phase == writing && !c.taken}
	if m := c.latest(); m != nil && c.phase == asking {
		e.TakenOver = true
		if m.Record.Response.Status != NoResponse {
			n.end(c, Event{Decision: ReturnStored, Record: *m.Record, TakenOver: true})
			return
		}
	}
	if c.phase != writing {
		n.end(c, e)
		return
	}
	c.late = true // the caller ends it, by Answered or by Drop
	e.ID, e.Record = c.id, c.rec
	n.tell(e)
}

func (c *claim) count(k MessageKind) (n int) {
	for _, r := range c.replies {
		if r.Kind == k {
			n++
		}
	}
	return n
}

// end tells the last word of a claim.
func (n *Node) end(c *claim, e Event) {
	delete(n.claims, c.id)
	e.ID = c.id
	if e.Decision == QuorumUnavailable {
		e.Record = c.rec
	}
	n.tell(e)
}

// latest is the record of the highest ballot told, of that the last written.
func (c *claim) latest() *Message {
	var best *Message
	for _, h := range slices.Sorted(maps.Keys(c.replies)) {
		r := c.replies[h]
		if r.Kind != Promised || !r.HasRecord || r.Record == nil {
			continue
		}
		if best == nil || cmp.Or(r.RecordBallot.Compare(best.RecordBallot), cmp.Compare(r.Record.Seq, best.Record.Seq)) > 0 {
			best = r
		}
	}
	return best
}

// choose goes on with what a quorum knows of the request.
func (n *Node) choose(now int64, c *claim) {
	c.rec, c.came = c.mine, now
	c.rec.Age += now - c.began
	if m := c.latest(); m != nil {
		age := c.rec.Age
		c.rec, c.taken, c.from = *m.Record, true, m.Record.Owner
		c.rec.Owner, c.rec.Epoch, c.rec.Seq = n.conf.Self, c.mine.Epoch, 0
		c.rec.Age = max(c.rec.Age+now-c.sent, age) // all of the way there and back counts
		if len(c.rec.Request) == 0 && c.rec.Response.Status == NoResponse {
			c.rec.Request = c.mine.Request
		}
		if n.conf.Fault == ForgetResponse {
			c.rec.Response = Response{}
		}
	}
	switch {
	case c.rec.Response.Status != NoResponse:
		c.phase = closing
	case c.taken && c.rec.Idempotency == NotIdempotent:
		c.phase, c.judged, c.rec.Response, c.rec.Request = closing, true, Response{Status: Failed, Reason: "may have run"}, nil
	default:
		c.phase = writing
	}
	c.replies = map[string]*Message{}
	if c.phase == closing {
		c.expires, c.give = now+n.conf.Retention, true
	}
	n.resend(now, c)
}

// agreed goes on once a quorum has what was written.
func (n *Node) agreed(now int64, c *claim) {
	switch {
	case c.phase == closing:
		n.closed(c)
	case !c.late:
		c.phase, c.again = running, now+n.conf.ResendInterval
		n.tell(Event{Decision: Execute, ID: c.id, Record: c.rec, TakenOver: c.taken, PreviousOwner: c.from})
	}
}

// closed ends a claim whose answer is written.
func (n *Node) closed(c *claim) {
	if c.give {
		n.end(c, Event{Decision: ReturnStored, Record: c.rec, TakenOver: c.taken, PreviousOwner: c.from, ConcludedHere: c.judged})
		return
	}
	n.end(c, Event{Decision: Replicated})
}

// Tick moves on what waits for time.
func (n *Node) Tick(now int64) {
	n.expire(now)
	for _, id := range slices.Sorted(maps.Keys(n.left)) {
		s := n.slots[id]
		if s == nil || s.orphan == 0 {
			delete(n.left, id)
			continue
		}
		if s.orphan <= now && n.claims[id] == nil && n.IsMember() {
			s.orphan = now + int64(len(n.conf.MemberNames)+1)*n.conf.TakeoverStagger // once more, should this come to nothing
			rec := s.rec
			if rec.Age += now - s.came; rec.Age < rec.DeadlineAge && rec.Response.Status == NoResponse {
				n.tell(Event{Decision: OwnerEvicted, ID: id, Record: rec})
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(n.claims)) {
		c := n.claims[id]
		switch {
		case c.expires <= now:
			n.end(c, Event{Decision: QuorumUnavailable})
		case c.phase == running && (c.marked || c.again > now || len(c.rec.Request) == 0):
		case c.phase == running: // told once, to those that hear it: what takes no longer than this is answered by then
			c.marked, c.rec.Sent = true, true
			n.send(now, c)
		case c.phase == closing && c.give && now-max(c.began, c.lived) >= n.conf.QuorumTimeout:
			n.closed(c)
		case c.phase != closing && now-max(c.began, c.lived) >= n.conf.QuorumTimeout:
			n.missing(c)
			if n.claims[id] == c && c.again <= now {
				n.resend(now, c)
			}
		case c.again <= now && c.phase == asking:
			n.ask(now, c)
		case c.again <= now:
			n.resend(now, c)
		}
	}
}
