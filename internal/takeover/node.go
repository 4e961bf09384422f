package takeover

import (
	"cmp"
	"maps"
	"slices"
)

// Plant is a fault put in on purpose, to show that explorer and rig find it.
type Plant uint8

const (
	Sound          Plant = iota
	LeaseUnchecked       // what the caller does with its lease; nothing here
	SendEarly            // work goes out before a quorum has its record
	EpochWrong           // the living count as out, and those out as living
	AnswerForgot         // a taker takes an answer for none
)

// Config is what a Node is made with.
type Config struct {
	Me      Member
	Names   []string // of all members
	Holders int      // of each record
	Records int      // held at most
	Bytes   int      // of them at most
	Keep    int64    // µs for which an answer is kept
	Longest int64    // µs: no request is asked for after so long
	Slack   int64    // µs by which an ask may be late for all that
	Wait    int64    // µs for which a quorum is waited for
	Again   int64    // µs after which what has no reply is sent again
	Stagger int64    // µs between holders that take over unasked
	Plant   Plant
}

// Quorum is how many holders have to agree.
func (c *Config) Quorum() int { return c.Holders/2 + 1 }

// Does is what a Node tells its caller to do with a request.
type Does uint8

const (
	Run     Does = iota // it may be sent from now on; Record tells what is known
	Give                // Record.Answer is the final answer
	Missing             // too few holders have said anything in time; nothing is promised
	Doubled             // the id is that of another request, or of one under way
	Lost                // another owner has it, or this process is out: send nothing, answer nothing
	Orphan              // its owner is out: take it over with Resume
	Kept                // a quorum has the answer
)

// String names it as log lines do.
func (d Does) String() string {
	return [...]string{"run", "give", "missing", "doubled", "lost", "orphan", "kept"}[d]
}

// Event is one such word.
type Event struct {
	Does   Does
	ID     string
	Record Record
	Taken  bool   // from another owner, with Run or Missing: it may have run there
	From   Member // with Taken: its owner before
	Judged bool   // with Give: this process has found that it may have run, nobody had answered it
	Fresh  bool   // with Missing: this process was the first to be asked, or a quorum said that it was never sent
	AtOnce bool   // with Missing: nobody was asked, and its client can't have gone elsewhere meanwhile
}

// Next is what to do where no quorum of holders can be had.
type Next uint8

const (
	GoOn   Next = iota // send it, without custody
	Refuse             // nothing was sent: trying again is harmless
	Fail               // it may have run
)

// Next tells it, with Missing. Strict: the class's work goes out under custody alone.
func (e *Event) Next(strict bool) Next {
	switch {
	case e.Fresh && strict && e.AtOnce:
		return Refuse
	case e.Fresh && strict: // Guards against a refusal of what another member runs, asked while this one waited
		return Fail
	case e.Fresh:
		return GoOn
	case e.Record.Effect == Unsafe: // somebody may have sent it
		return Fail
	}
	return GoOn
}

// To is a message for the process of that name.
type To struct {
	Name string
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
	out    []To
	events []Event
}

// New makes a node.
func New(conf Config) *Node {
	conf.Names = slices.Sorted(slices.Values(conf.Names))
	return &Node{conf: conf, view: &View{}, holder: newHolder(), claims: map[string]*claim{}}
}

// Sent returns what is to be sent since the last call, and Events what is to be done.
func (n *Node) Sent() []To                 { out := n.out; n.out = nil; return out }
func (n *Node) Events() []Event            { e := n.events; n.events = nil; return e }
func (n *Node) tell(e Event)               { n.events = append(n.events, e) }
func (n *Node) Held() (records, bytes int) { return len(n.slots), n.bytes }

// See takes a newer view.
func (n *Node) See(now int64, v *View) {
	if v.Epoch <= n.view.Epoch {
		return
	}
	n.view = v
	if n.joined && !v.Lives(n.conf.Me) {
		n.drop()
	}
	n.joined = v.Lives(n.conf.Me)
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
	var at Standing
	for m, s := range n.view.Live {
		if m.Name == n.conf.Me.Name && (oldest.Name == "" || s.Joined < at.Joined) {
			oldest, at = m, s
		}
	}
	switch {
	case oldest.Name == "": // none: it keeps what it has
	case oldest != n.conf.Me:
		n.seat = 0
	case n.seat == 0:
		n.seat, n.sure = n.view.Epoch, now
		if !at.First {
			n.sure += n.conf.Longest + n.conf.Slack
		}
	}
}

// Rejoin makes another member of this process: the one it was is out. What it holds for others it has not forgotten.
func (n *Node) Rejoin(me Member) {
	n.drop()
	n.conf.Me, n.joined = me, false
}

// drop ends all that this process owns: it is out.
func (n *Node) drop() {
	for _, id := range slices.Sorted(maps.Keys(n.claims)) {
		n.tell(Event{Does: Lost, ID: id})
	}
	n.claims = map[string]*claim{}
}

// In tells whether this process is a member now.
func (n *Node) In() bool { return n.joined }

// Take begins the request as its first taker. Run follows once a quorum has the record.
func (n *Node) Take(now int64, rec Record) {
	c := n.claim(now, rec, writing)
	if c == nil {
		return
	}
	c.ballot = Ballot{By: n.conf.Me}
	if n.conf.Plant == SendEarly {
		c.phase = running
		n.tell(Event{Does: Run, ID: c.id, Record: c.rec})
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
	c.ballot = Ballot{Round: n.round, By: n.conf.Me}
	n.ask(now, c)
}

// claim opens one, unless the id has one or this process is no member.
func (n *Node) claim(now int64, rec Record, p phase) *claim {
	if !n.In() {
		n.tell(Event{Does: Missing, ID: rec.ID, Record: rec, Fresh: p == writing, AtOnce: p == writing})
		return nil
	}
	if n.claims[rec.ID] != nil {
		n.tell(Event{Does: Doubled, ID: rec.ID})
		return nil
	}
	rec.Owner, rec.Epoch, rec.Seq, rec.Answer = n.conf.Me, n.view.Epoch, 0, Answer{}
	c := &claim{
		id: rec.ID, phase: p, mine: rec, rec: rec, came: now, began: now, holders: Holders(n.conf.Names, rec.ID, n.conf.Holders),
		expires: now + max(0, rec.Life-rec.Age) + 2*n.conf.Keep,
	}
	n.claims[c.id] = c
	return c
}

// Answered gives a request that runs here its final answer, for those who ask again.
func (n *Node) Answered(now int64, id string, a Answer) {
	if c := n.claims[id]; c != nil && (c.phase == running || c.phase == writing) {
		c.phase, c.rec.Answer, c.rec.Request = closing, a, nil
		c.expires = now + n.conf.Keep
		n.send(now, c)
	}
}

// Drop forgets a claim: the request goes on without custody, or not at all.
func (n *Node) Drop(id string) { delete(n.claims, id) }

// Asks tells whether a request is still asked for: nothing was begun here.
func (n *Node) Asks(id string) bool { c := n.claims[id]; return c != nil && c.phase == asking }

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
	c.again, c.sent = now+n.conf.Again, now
	m := Message{Kind: Ask, ID: c.id, Ballot: c.ballot, Epoch: n.view.Epoch, Digest: c.rec.Digest}
	if c.phase != asking {
		rec := c.rec
		rec.Age += now - c.came
		m.Kind, m.Seq, m.Record = Write, rec.Seq, &rec
	}
	for _, h := range c.holders {
		if r := c.replies[h]; r != nil && (r.Kind == Accepted || r.Kind == Promised) {
			continue
		}
		if h != n.conf.Me.Name {
			n.out = append(n.out, To{h, m})
		} else if own := n.hold(now, n.conf.Me, &m); n.claims[c.id] == c {
			n.reply(now, h, &own)
		}
	}
}

// Handle takes a message of another member.
func (n *Node) Handle(now int64, from Member, m *Message) {
	if m.Kind == Write || m.Kind == Ask {
		n.out = append(n.out, To{from.Name, n.hold(now, from, m)})
		return
	}
	n.reply(now, from.Name, m)
}

// reply takes a holder's word.
func (n *Node) reply(now int64, from string, m *Message) {
	c := n.claims[m.ID]
	if c == nil || m.Ballot != c.ballot || c.phase == running || (m.To == Ask) != (c.phase == asking) || !slices.Contains(c.holders, from) {
		return
	}
	if m.Kind == Accepted && m.Seq != c.rec.Seq {
		if m.Seq > c.rec.Seq { // an earlier claim of this process ended it
			n.end(c, Event{Does: Doubled})
		}
		return
	}
	c.replies[from] = m
	switch m.Kind {
	case Lives:
		c.lived = now
	case Out:
		n.end(c, Event{Does: Lost})
		return
	case Other:
		n.end(c, Event{Does: Doubled})
		return
	case Expired:
		if c.phase == asking {
			n.end(c, Event{Does: Give, Record: Record{Answer: Answer{Verdict: Failed, Why: "record expired"}}})
		} else {
			n.end(c, Event{Does: Doubled})
		}
		return
	case Outbid:
		if c.phase == closing && !c.give || c.late {
			n.end(c, Event{Does: Lost})
			return
		}
		// Another wants it: what it makes of it is asked for. The next turn does that; two that ask take their time.
		n.round = max(n.round, m.Promise.Round) + 1
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
	for m := range n.view.Live {
		if !slices.Contains(c.holders, m.Name) {
			continue
		}
		if r := c.replies[m.Name]; r == nil || r.Kind == Behind || r.Kind == Lives {
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
	e := Event{Does: Missing, Taken: c.taken, Fresh: c.phase == writing && !c.taken}
	if m := c.latest(); m != nil && c.phase == asking {
		e.Taken = true
		if m.Record.Answer.Verdict != None {
			n.end(c, Event{Does: Give, Record: *m.Record, Taken: true})
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

func (c *claim) count(k Kind) (n int) {
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
	if e.Does == Missing {
		e.Record = c.rec
	}
	n.tell(e)
}

// latest is the record of the highest ballot told, of that the last written.
func (c *claim) latest() *Message {
	var best *Message
	for _, h := range slices.Sorted(maps.Keys(c.replies)) {
		r := c.replies[h]
		if r.Kind != Promised || !r.Known || r.Record == nil {
			continue
		}
		if best == nil || cmp.Or(r.At.Compare(best.At), cmp.Compare(r.Record.Seq, best.Record.Seq)) > 0 {
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
		c.rec.Owner, c.rec.Epoch, c.rec.Seq = n.conf.Me, c.mine.Epoch, 0
		c.rec.Age = max(c.rec.Age+now-c.sent, age) // all of the way there and back counts
		if len(c.rec.Request) == 0 && c.rec.Answer.Verdict == None {
			c.rec.Request = c.mine.Request
		}
		if n.conf.Plant == AnswerForgot {
			c.rec.Answer = Answer{}
		}
	}
	switch {
	case c.rec.Answer.Verdict != None:
		c.phase = closing
	case c.taken && c.rec.Effect == Unsafe:
		c.phase, c.judged, c.rec.Answer, c.rec.Request = closing, true, Answer{Verdict: Failed, Why: "may have run"}, nil
	default:
		c.phase = writing
	}
	c.replies = map[string]*Message{}
	if c.phase == closing {
		c.expires, c.give = now+n.conf.Keep, true
	}
	n.resend(now, c)
}

// agreed goes on once a quorum has what was written.
func (n *Node) agreed(now int64, c *claim) {
	switch {
	case c.phase == closing:
		n.closed(c)
	case !c.late:
		c.phase, c.again = running, now+n.conf.Again
		n.tell(Event{Does: Run, ID: c.id, Record: c.rec, Taken: c.taken, From: c.from})
	}
}

// closed ends a claim whose answer is written.
func (n *Node) closed(c *claim) {
	if c.give {
		n.end(c, Event{Does: Give, Record: c.rec, Taken: c.taken, From: c.from, Judged: c.judged})
		return
	}
	n.end(c, Event{Does: Kept})
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
		if s.orphan <= now && n.claims[id] == nil && n.In() {
			s.orphan = now + int64(len(n.conf.Names)+1)*n.conf.Stagger // once more, should this come to nothing
			rec := s.rec
			if rec.Age += now - s.came; rec.Age < rec.Life && rec.Answer.Verdict == None {
				n.tell(Event{Does: Orphan, ID: id, Record: rec})
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(n.claims)) {
		c := n.claims[id]
		switch {
		case c.expires <= now:
			n.end(c, Event{Does: Missing})
		case c.phase == running && (c.marked || c.again > now || len(c.rec.Request) == 0):
		case c.phase == running: // told once, to those that hear it: what takes no longer than this is answered by then
			c.marked, c.rec.Sent = true, true
			n.send(now, c)
		case c.phase == closing && c.give && now-max(c.began, c.lived) >= n.conf.Wait:
			n.closed(c)
		case c.phase != closing && now-max(c.began, c.lived) >= n.conf.Wait:
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
