package cells

import (
	"maps"
	"slices"

	"damsonscale/internal/takeover"
)

// EntryKind is what an entry of a cell's log says.
type EntryKind uint8

const (
	Hear   EntryKind = 1 // the directory's word
	Join   EntryKind = 2 // a member
	Out    EntryKind = 3 // a member: its lease is over
	Leave  EntryKind = 4 // a name, for another cell: its leases are over
	Seal   EntryKind = 5 // the last: no lease is valid any more
	Expect EntryKind = 6 // a name has arrived, by its certificate, without a process: it may be down for good
	Drop   EntryKind = 7 // a name's former cells, or that it left: the longest deadline has passed
)

// Entry is one of a cell's log.
type Entry struct {
	_      struct{} `cbor:",toarray"`
	Kind   EntryKind
	Told   *Told
	Member takeover.Member // with Leave and Drop its name counts
	Came   *Certificate    // with Join and Expect, of a name that comes from another cell
	Move   uint64          // with Leave
}

// Log is the state of a cell after some entries of its log.
type Log struct {
	ID      ID
	Epoch   uint64
	Heard   Told
	Living  map[takeover.Member]uint64 // epoch of joining
	Gone    map[string][]uint64        // incarnations that are out
	Arrived map[string]uint64          // Move of the seat that a name has arrived at
	Left    map[string]Departure
	Came    map[string][]Departure // cells that may hold records of a name's requests, oldest first
	Sealed  bool
	sum     uint64 // of the part
	plant   Plant
}

// NewLog makes that of a cell whose first word from the directory is known.
func NewLog(id ID, p Plant) *Log {
	return &Log{
		ID: id, Heard: Told{Part: &Part{ID: id}}, Living: map[takeover.Member]uint64{}, Gone: map[string][]uint64{}, Arrived: map[string]uint64{},
		Left: map[string]Departure{}, Came: map[string][]Departure{}, plant: p,
	}
}

// Clone copies it.
func (l *Log) Clone() *Log {
	c := *l
	c.Living, c.Gone, c.Arrived = maps.Clone(l.Living), maps.Clone(l.Gone), maps.Clone(l.Arrived)
	c.Left, c.Came = maps.Clone(l.Left), maps.Clone(l.Came)
	return &c
}

// Lives tells whether a member has joined and is not out.
func (l *Log) Lives(m takeover.Member) bool { _, ok := l.Living[m]; return ok }

// Apply takes an entry, and tells whether it changed anything. What an entry may do is decided here alone, by the log's order:
// leaders that follow one another can't disagree.
func (l *Log) Apply(e *Entry) bool {
	if l.Sealed && e.Kind != Drop {
		return false
	}
	ok := false
	switch e.Kind {
	case Hear:
		ok = l.hear(e.Told)
	case Join:
		ok = l.join(e)
	case Expect:
		if ok = l.comes(e.Member.Name, e.Came); ok {
			l.arrive(e.Member.Name, e.Came)
		}
	case Out:
		if ok = l.Lives(e.Member); ok {
			l.out(e.Member)
		}
	case Leave:
		s := l.Heard.Part.Seat(e.Member.Name)
		if ok = s != nil && l.Heard.Part.leaving(s) && s.ToMove == e.Move && l.Left[s.Name].Move != e.Move; ok {
			l.leave(s)
		}
	case Seal:
		if ok = len(l.Heard.Part.Into) > 0; ok {
			l.Sealed = true
			for i := range l.Heard.Part.Seats {
				if s := &l.Heard.Part.Seats[i]; l.Left[s.Name].Move != s.ToMove {
					l.leave(s)
				}
			}
			for _, m := range l.living("") {
				l.out(m)
			}
		}
	case Drop:
		_, ok = l.Came[e.Member.Name]
		delete(l.Came, e.Member.Name)
		if s := l.Heard.Part.Seat(e.Member.Name); s == nil || s.To == 0 { // else it has not arrived yet, and wants its certificate
			_, left := l.Left[e.Member.Name]
			ok = ok || left
			delete(l.Left, e.Member.Name)
		}
	}
	if ok {
		l.Epoch++
	}
	return ok
}

// Fits tells whether a word without its part can be taken: what this cell has is what the directory has.
func (l *Log) Fits(t *Told) bool { return t.Part != nil || l.sum == t.Sum }

func (l *Log) hear(t *Told) bool {
	if t == nil || t.Part != nil && t.Part.ID != l.ID || !l.Fits(t) {
		return false
	}
	if !t.Version.Newer(l.Heard.Version) && (l.plant != OlderTaken || t.Version == l.Heard.Version) {
		return false // Guards against the older side's word after a cut
	}
	part, global := l.Heard.Part, l.Heard.Global
	if l.Heard = *t; t.Part == nil {
		l.Heard.Part = part
	} else {
		l.sum = sum(t.Part)
	}
	if l.plant != OlderTaken && global.Changed.Newer(t.Global.Changed) {
		l.Heard.Global = global // it came with a member, ahead of the relay
	}
	for name := range l.Arrived {
		if l.Heard.Part.Seat(name) == nil {
			delete(l.Arrived, name)
		}
	}
	return true
}

// May tells whether a member may join now.
func (l *Log) May(m takeover.Member, cert *Certificate) bool {
	s := l.Heard.Part.Seat(m.Name)
	switch {
	case l.Sealed || s == nil || l.Lives(m) || slices.Contains(l.Gone[m.Name], m.Incarnation):
		return false
	case l.left(s):
		return false // it has left since it was given this place
	case slices.ContainsFunc(l.Came[m.Name], func(d Departure) bool { return d.Member == m }):
		return false // of another cell
	case s.From == 0 || l.Arrived[m.Name] == s.Move:
		return true
	case l.plant == CertUnread:
		return true
	}
	return l.comes(m.Name, cert) && cert.Member != m
}

// comes tells whether a certificate is that of a name that this cell expects, and does for the place that it has here.
func (l *Log) comes(name string, cert *Certificate) bool {
	s := l.Heard.Part.Seat(name)
	return s != nil && cert != nil && s.From != 0 && l.Arrived[name] != s.Move && cert.Cell == s.From && cert.To == l.ID && cert.Move == s.Move &&
		cert.Member.Name == name && !slices.ContainsFunc(cert.Before, func(d Departure) bool { return d.Cell == l.ID })
}

// arrive gives a name its place. What its cell before had heard counts here too: guards against a member that acts below the fence
// of a cell which it has left.
func (l *Log) arrive(name string, cert *Certificate) {
	l.Arrived[name] = l.Heard.Part.Seat(name).Move
	delete(l.Left, name)
	if cert == nil {
		return
	}
	if l.plant != ForwardDropped {
		l.Came[name] = append(slices.Clone(cert.Before), cert.Departure)
	}
	if cert.Global.Changed.Newer(l.Heard.Global.Changed) {
		l.Heard.Global = cert.Global
	}
}

func (l *Log) left(s *Seat) bool {
	d, ok := l.Left[s.Name]
	return ok && d.Move > s.Move
}

func (l *Log) join(e *Entry) bool {
	if !l.May(e.Member, e.Came) {
		return false
	}
	if s := l.Heard.Part.Seat(e.Member.Name); s.From != 0 && l.Arrived[s.Name] != s.Move {
		l.arrive(s.Name, e.Came)
	}
	l.Living[e.Member] = l.Epoch + 1
	return true
}

func (l *Log) out(m takeover.Member) {
	delete(l.Living, m)
	old := append(slices.Clone(l.Gone[m.Name]), m.Incarnation)
	l.Gone[m.Name] = old[max(0, len(old)-mostGone):]
}

func (l *Log) leave(s *Seat) {
	d := Departure{Cell: l.ID, Epoch: l.Epoch + 1, Member: takeover.Member{Name: s.Name}, To: s.To, Move: s.ToMove}
	if gone := l.Gone[s.Name]; len(gone) > 0 {
		d.Member.Incarnation = gone[len(gone)-1]
	}
	for _, m := range l.living(s.Name) {
		d.Member = m
		l.out(m)
	}
	l.Left[s.Name] = d
}

// living lists the members of a name, of all with an empty one, in a fixed order.
func (l *Log) living(name string) (out []takeover.Member) {
	for m := range l.Living {
		if name == "" || m.Name == name {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b takeover.Member) int { return takeover.Ballot{By: a}.Compare(takeover.Ballot{By: b}) })
	return out
}

// Certificate is that of a name which has left; nil: it has not.
func (l *Log) Certificate(name string) *Certificate {
	d, ok := l.Left[name]
	if !ok {
		return nil
	}
	return &Certificate{Departure: d, Before: l.Came[name], Global: l.Heard.Global}
}

// Start is the cell where an inquiry for a request begins whose client asked a name first; false: this cell can't tell. Every
// inquiry goes the same way, from the oldest cell that may have it onwards.
func (l *Log) Start(former string) (ID, bool) {
	s := l.Heard.Part.Seat(former)
	_, left := l.Left[former]
	switch {
	case len(l.Came[former]) > 0:
		return l.Came[former][0].Cell, true
	case left:
		return l.ID, true
	case s == nil:
		return 0, false
	case s.From != 0 && l.Arrived[former] != s.Move:
		return s.From, true
	}
	return l.ID, true
}

// Heir is the cell that what a name had in hand here goes to: where it went, this one where it went nowhere, the first successor of
// a sealed one then.
func (l *Log) Heir(name string) ID {
	to, ok := l.Left[name]
	switch {
	case ok && to.To != Nowhere:
		return to.To
	case l.Sealed:
		return l.Heard.Part.Into[0]
	}
	return l.ID
}

// Bytes is the length of all that a member holds of its cell, encoded.
func (l *Log) Bytes() int {
	n := len(Encode(l.Heard)) + 16
	for m := range l.Living {
		n += len(m.Name) + 16
	}
	for name, all := range l.Gone {
		n += len(name) + 8*len(all)
	}
	for name, d := range l.Left {
		n += len(name) + len(Encode(d))
	}
	for name, all := range l.Came {
		n += len(name) + len(Encode(all))
	}
	for name := range l.Arrived {
		n += len(name) + 8
	}
	return n
}

// skewed is how long a lease may run by any clock, counted by the leader's.
func skewed(lease int64) int64 { return lease + lease/50 }

// Grants is the book of a cell's leader. It is kept by one term and begun anew with the next.
type Grants struct {
	Lease   int64 // µs
	last    map[takeover.Member]int64
	yielded map[takeover.Member]bool
	plant   Plant
}

// NewGrants begins a term.
func NewGrants(lease int64, p Plant) *Grants {
	return &Grants{Lease: lease, last: map[takeover.Member]int64{}, yielded: map[takeover.Member]bool{}, plant: p}
}

// Clone copies it.
func (g *Grants) Clone() *Grants {
	c := *g
	c.last, c.yielded = maps.Clone(g.last), maps.Clone(g.yielded)
	return &c
}

// Grant tells whether a member that acts on a version gets a lease, by a log that has all that was agreed before a quorum
// confirmed, after the ask came, that this one leads.
func (g *Grants) Grant(now int64, l *Log, m takeover.Member, acts uint64) bool {
	s := l.Heard.Part.Seat(m.Name)
	if !l.Lives(m) || l.Sealed || s == nil || g.yielded[m] || acts < l.Heard.Global.Fence {
		return false
	}
	if l.Heard.Part.leaving(s) && (g.plant != SealGrants || len(l.Heard.Part.Into) == 0) {
		return false
	}
	g.last[m] = now
	return true
}

// Yield takes a member's word that it acts no more as this incarnation.
func (g *Grants) Yield(m takeover.Member) { g.yielded[m] = true }

// over tells whether no lease of a member can be valid by any clock.
func (g *Grants) over(now int64, m takeover.Member) bool {
	if g.yielded[m] {
		return true
	}
	last, ok := g.last[m]
	if !ok {
		g.last[m] = now // it has joined just now, or this term has begun: an earlier leader may have granted until then
		return false
	}
	return now-last >= skewed(g.Lease)
}

// Due lists what is to be agreed now: who is out, who has left, that the cell is sealed.
func (g *Grants) Due(now int64, l *Log) (out []Entry) {
	if l.Sealed {
		return nil
	}
	for m := range g.last {
		if !l.Lives(m) {
			delete(g.last, m)
			delete(g.yielded, m)
		}
	}
	over, all := map[takeover.Member]bool{}, true
	for _, m := range l.living("") {
		over[m] = g.over(now, m)
		all = all && over[m]
	}
	p := l.Heard.Part
	if len(p.Into) > 0 {
		if all || g.plant == SealGrants {
			return []Entry{{Kind: Seal}}
		}
		return nil
	}
	leaving := map[string]bool{}
	for i := range p.Seats {
		s := &p.Seats[i]
		if !p.leaving(s) || l.Left[s.Name].Move == s.ToMove {
			continue
		}
		leaving[s.Name] = true
		if g.plant == EarlyLeave || !slices.ContainsFunc(l.living(s.Name), func(m takeover.Member) bool { return !over[m] }) {
			out = append(out, Entry{Kind: Leave, Member: takeover.Member{Name: s.Name}, Move: s.ToMove})
		}
	}
	for _, m := range l.living("") {
		if over[m] && !leaving[m.Name] {
			out = append(out, Entry{Kind: Out, Member: m})
		}
	}
	return out
}

// Bytes is the length of the book.
func (g *Grants) Bytes() (n int) {
	for m := range g.last {
		n += len(m.Name) + 16
	}
	return n + 16
}
