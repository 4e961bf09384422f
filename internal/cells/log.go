package cells

import (
	"maps"
	"slices"

	"damsonscale/internal/takeover"
)

// EntryKind is what an entry of a cell's log says.
type EntryKind uint8

const (
	UpdateDirectory EntryKind = 1 // the directory's word
	Join            EntryKind = 2 // a member
	Evict           EntryKind = 3 // a member: its lease is over
	Depart          EntryKind = 4 // a name, for another cell: its leases are over
	Seal            EntryKind = 5 // the last: no lease is valid any more
	ExpectMember    EntryKind = 6 // a name has arrived, by its certificate, without a process: it may be down for good
	ForgetDeparture EntryKind = 7 // a name's former cells, or that it left: the longest deadline has passed
)

// Entry is one of a cell's log.
type Entry struct {
	_           struct{} `cbor:",toarray"`
	Kind        EntryKind
	Update      *DirectoryUpdate
	Member      takeover.Member // with Leave and Drop its name counts
	Certificate *Certificate    // with Join and Expect, of a name that comes from another cell
	MoveIndex   uint64          // with Leave
}

// Log is the state of a cell after some entries of its log.
type Log struct {
	ID           ID
	Epoch        uint64
	LastUpdate   DirectoryUpdate
	Members      map[takeover.Member]uint64 // epoch of joining
	Evicted      map[string][]uint64        // incarnations that are out
	ArrivedMoves map[string]uint64          // Move of the seat that a name has arrived at
	Departures   map[string]Departure
	FormerCells  map[string][]Departure // cells that may hold records of a name's requests, oldest first
	Sealed       bool
	sum          uint64 // of the part
	plant        InjectedFault
}

// NewLog makes that of a cell whose first word from the directory is known.
func NewLog(id ID, p InjectedFault) *Log {
	return &Log{
		ID: id, LastUpdate: DirectoryUpdate{Record: &CellRecord{ID: id}}, Members: map[takeover.Member]uint64{}, Evicted: map[string][]uint64{}, ArrivedMoves: map[string]uint64{},
		Departures: map[string]Departure{}, FormerCells: map[string][]Departure{}, plant: p,
	}
}

// Clone copies it.
func (l *Log) Clone() *Log {
	c := *l
	c.Members, c.Evicted, c.ArrivedMoves = maps.Clone(l.Members), maps.Clone(l.Evicted), maps.Clone(l.ArrivedMoves)
	c.Departures, c.FormerCells = maps.Clone(l.Departures), maps.Clone(l.FormerCells)
	return &c
}

// IsMember tells whether a member has joined and is not out.
func (l *Log) IsMember(m takeover.Member) bool { _, ok := l.Members[m]; return ok }

// Apply takes an entry, and tells whether it changed anything. What an entry may do is decided here alone, by the log's order:
// leaders that follow one another can't disagree.
func (l *Log) Apply(e *Entry) bool {
	if l.Sealed && e.Kind != ForgetDeparture {
		return false
	}
	ok := false
	switch e.Kind {
	case UpdateDirectory:
		ok = l.hear(e.Update)
	case Join:
		ok = l.join(e)
	case ExpectMember:
		if ok = l.comes(e.Member.Name, e.Certificate); ok {
			l.arrive(e.Member.Name, e.Certificate)
		}
	case Evict:
		if ok = l.IsMember(e.Member); ok {
			l.out(e.Member)
		}
	case Depart:
		s := l.LastUpdate.Record.Slot(e.Member.Name)
		if ok = s != nil && l.LastUpdate.Record.leaving(s) && s.ToMoveIndex == e.MoveIndex && l.Departures[s.Name].MoveIndex != e.MoveIndex; ok {
			l.leave(s)
		}
	case Seal:
		if ok = len(l.LastUpdate.Record.Successors) > 0; ok {
			l.Sealed = true
			for i := range l.LastUpdate.Record.Slots {
				if s := &l.LastUpdate.Record.Slots[i]; l.Departures[s.Name].MoveIndex != s.ToMoveIndex {
					l.leave(s)
				}
			}
			for _, m := range l.living("") {
				l.out(m)
			}
		}
	case ForgetDeparture:
		_, ok = l.FormerCells[e.Member.Name]
		delete(l.FormerCells, e.Member.Name)
		if s := l.LastUpdate.Record.Slot(e.Member.Name); s == nil || s.To == 0 { // else it has not arrived yet, and wants its certificate
			_, left := l.Departures[e.Member.Name]
			ok = ok || left
			delete(l.Departures, e.Member.Name)
		}
	}
	if ok {
		l.Epoch++
	}
	return ok
}

// Matches tells whether a word without its part can be taken: what this cell has is what the directory has.
func (l *Log) Matches(t *DirectoryUpdate) bool { return t.Record != nil || l.sum == t.RecordSum }

func (l *Log) hear(t *DirectoryUpdate) bool {
	if t == nil || t.Record != nil && t.Record.ID != l.ID || !l.Matches(t) {
		return false
	}
	if !t.Version.Newer(l.LastUpdate.Version) && (l.plant != StaleUpdateAccepted || t.Version == l.LastUpdate.Version) {
		return false // Guards against the older side's word after a cut
	}
	part, global := l.LastUpdate.Record, l.LastUpdate.Global
	if l.LastUpdate = *t; t.Record == nil {
		l.LastUpdate.Record = part
	} else {
		l.sum = sum(t.Record)
	}
	if l.plant != StaleUpdateAccepted && global.ChangedAt.Newer(t.Global.ChangedAt) {
		l.LastUpdate.Global = global // it came with a member, ahead of the relay
	}
	for name := range l.ArrivedMoves {
		if l.LastUpdate.Record.Slot(name) == nil {
			delete(l.ArrivedMoves, name)
		}
	}
	return true
}

// MayJoin tells whether a member may join now.
func (l *Log) MayJoin(m takeover.Member, cert *Certificate) bool {
	s := l.LastUpdate.Record.Slot(m.Name)
	switch {
	case l.Sealed || s == nil || l.IsMember(m) || slices.Contains(l.Evicted[m.Name], m.Incarnation):
		return false
	case l.left(s):
		return false // it has left since it was given this place
	case slices.ContainsFunc(l.FormerCells[m.Name], func(d Departure) bool { return d.Member == m }):
		return false // of another cell
	case s.From == 0 || l.ArrivedMoves[m.Name] == s.MoveIndex:
		return true
	case l.plant == CertificateIgnored:
		return true
	}
	return l.comes(m.Name, cert) && cert.Member != m
}

// comes tells whether a certificate is that of a name that this cell expects, and does for the place that it has here.
func (l *Log) comes(name string, cert *Certificate) bool {
	s := l.LastUpdate.Record.Slot(name)
	return s != nil && cert != nil && s.From != 0 && l.ArrivedMoves[name] != s.MoveIndex && cert.Cell == s.From && cert.To == l.ID && cert.MoveIndex == s.MoveIndex &&
		cert.Member.Name == name && !slices.ContainsFunc(cert.Earlier, func(d Departure) bool { return d.Cell == l.ID })
}

// arrive gives a name its place. What its cell before had heard counts here too: guards against a member that acts below the fence
// of a cell which it has left.
func (l *Log) arrive(name string, cert *Certificate) {
	l.ArrivedMoves[name] = l.LastUpdate.Record.Slot(name).MoveIndex
	delete(l.Departures, name)
	if cert == nil {
		return
	}
	if l.plant != FormerCellsDropped {
		l.FormerCells[name] = append(slices.Clone(cert.Earlier), cert.Departure)
	}
	if cert.Global.ChangedAt.Newer(l.LastUpdate.Global.ChangedAt) {
		l.LastUpdate.Global = cert.Global
	}
}

func (l *Log) left(s *MemberSlot) bool {
	d, ok := l.Departures[s.Name]
	return ok && d.MoveIndex > s.MoveIndex
}

func (l *Log) join(e *Entry) bool {
	if !l.MayJoin(e.Member, e.Certificate) {
		return false
	}
	if s := l.LastUpdate.Record.Slot(e.Member.Name); s.From != 0 && l.ArrivedMoves[s.Name] != s.MoveIndex {
		l.arrive(s.Name, e.Certificate)
	}
	l.Members[e.Member] = l.Epoch + 1
	return true
}

func (l *Log) out(m takeover.Member) {
	delete(l.Members, m)
	old := append(slices.Clone(l.Evicted[m.Name]), m.Incarnation)
	l.Evicted[m.Name] = old[max(0, len(old)-mostGone):]
}

func (l *Log) leave(s *MemberSlot) {
	d := Departure{Cell: l.ID, Epoch: l.Epoch + 1, Member: takeover.Member{Name: s.Name}, To: s.To, MoveIndex: s.ToMoveIndex}
	if gone := l.Evicted[s.Name]; len(gone) > 0 {
		d.Member.Incarnation = gone[len(gone)-1]
	}
	for _, m := range l.living(s.Name) {
		d.Member = m
		l.out(m)
	}
	l.Departures[s.Name] = d
}

// living lists the members of a name, of all with an empty one, in a fixed order.
func (l *Log) living(name string) (out []takeover.Member) {
	for m := range l.Members {
		if name == "" || m.Name == name {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b takeover.Member) int {
		return takeover.Ballot{Proposer: a}.Compare(takeover.Ballot{Proposer: b})
	})
	return out
}

// Certificate is that of a name which has left; nil: it has not.
func (l *Log) Certificate(name string) *Certificate {
	d, ok := l.Departures[name]
	if !ok {
		return nil
	}
	return &Certificate{Departure: d, Earlier: l.FormerCells[name], Global: l.LastUpdate.Global}
}

// LookupStart is the cell where an inquiry for a request begins whose client asked a name first; false: this cell can't tell. Every
// inquiry goes the same way, from the oldest cell that may have it onwards.
func (l *Log) LookupStart(former string) (ID, bool) {
	s := l.LastUpdate.Record.Slot(former)
	_, left := l.Departures[former]
	switch {
	case len(l.FormerCells[former]) > 0:
		return l.FormerCells[former][0].Cell, true
	case left:
		return l.ID, true
	case s == nil:
		return 0, false
	case s.From != 0 && l.ArrivedMoves[former] != s.MoveIndex:
		return s.From, true
	}
	return l.ID, true
}

// Successor is the cell that what a name had in hand here goes to: where it went, this one where it went nowhere, the first successor of
// a sealed one then.
func (l *Log) Successor(name string) ID {
	to, ok := l.Departures[name]
	switch {
	case ok && to.To != RemovedID:
		return to.To
	case l.Sealed:
		return l.LastUpdate.Record.Successors[0]
	}
	return l.ID
}

// EncodedBytes is the length of all that a member holds of its cell, encoded.
func (l *Log) EncodedBytes() int {
	n := len(Encode(l.LastUpdate)) + 16
	for m := range l.Members {
		n += len(m.Name) + 16
	}
	for name, all := range l.Evicted {
		n += len(name) + 8*len(all)
	}
	for name, d := range l.Departures {
		n += len(name) + len(Encode(d))
	}
	for name, all := range l.FormerCells {
		n += len(name) + len(Encode(all))
	}
	for name := range l.ArrivedMoves {
		n += len(name) + 8
	}
	return n
}

// skewed is how long a lease may run by any clock, counted by the leader's.
func skewed(lease int64) int64 { return lease + lease/50 }

// LeaseTable is the book of a cell's leader. It is kept by one term and begun anew with the next.
type LeaseTable struct {
	LeaseMicros int64 // µs
	last        map[takeover.Member]int64
	yielded     map[takeover.Member]bool
	plant       InjectedFault
}

// NewLeaseTable begins a term.
func NewLeaseTable(lease int64, p InjectedFault) *LeaseTable {
	return &LeaseTable{LeaseMicros: lease, last: map[takeover.Member]int64{}, yielded: map[takeover.Member]bool{}, plant: p}
}

// Clone copies it.
func (g *LeaseTable) Clone() *LeaseTable {
	c := *g
	c.last, c.yielded = maps.Clone(g.last), maps.Clone(g.yielded)
	return &c
}

// Grant tells whether a member that acts on a version gets a lease, by a log that has all that was agreed before a quorum
// confirmed, after the ask came, that this one leads.
func (g *LeaseTable) Grant(now int64, l *Log, m takeover.Member, acts uint64) bool {
	s := l.LastUpdate.Record.Slot(m.Name)
	if !l.IsMember(m) || l.Sealed || s == nil || g.yielded[m] || acts < l.LastUpdate.Global.Fence {
		return false
	}
	if l.LastUpdate.Record.leaving(s) && (g.plant != LeaseWhileSealing || len(l.LastUpdate.Record.Successors) == 0) {
		return false
	}
	g.last[m] = now
	return true
}

// Relinquished takes a member's word that it acts no more as this incarnation.
func (g *LeaseTable) Relinquished(m takeover.Member) { g.yielded[m] = true }

// over tells whether no lease of a member can be valid by any clock.
func (g *LeaseTable) over(now int64, m takeover.Member) bool {
	if g.yielded[m] {
		return true
	}
	last, ok := g.last[m]
	if !ok {
		g.last[m] = now // it has joined just now, or this term has begun: an earlier leader may have granted until then
		return false
	}
	return now-last >= skewed(g.LeaseMicros)
}

// DueEntries lists what is to be agreed now: who is out, who has left, that the cell is sealed.
func (g *LeaseTable) DueEntries(now int64, l *Log) (out []Entry) {
	if l.Sealed {
		return nil
	}
	for m := range g.last {
		if !l.IsMember(m) {
			delete(g.last, m)
			delete(g.yielded, m)
		}
	}
	over, all := map[takeover.Member]bool{}, true
	for _, m := range l.living("") {
		over[m] = g.over(now, m)
		all = all && over[m]
	}
	p := l.LastUpdate.Record
	if len(p.Successors) > 0 {
		if all || g.plant == LeaseWhileSealing {
			return []Entry{{Kind: Seal}}
		}
		return nil
	}
	leaving := map[string]bool{}
	for i := range p.Slots {
		s := &p.Slots[i]
		if !p.leaving(s) || l.Departures[s.Name].MoveIndex == s.ToMoveIndex {
			continue
		}
		leaving[s.Name] = true
		if g.plant == EarlyDeparture || !slices.ContainsFunc(l.living(s.Name), func(m takeover.Member) bool { return !over[m] }) {
			out = append(out, Entry{Kind: Depart, Member: takeover.Member{Name: s.Name}, MoveIndex: s.ToMoveIndex})
		}
	}
	for _, m := range l.living("") {
		if over[m] && !leaving[m.Name] {
			out = append(out, Entry{Kind: Evict, Member: m})
		}
	}
	return out
}

// EncodedBytes is the length of the book.
func (g *LeaseTable) EncodedBytes() (n int) {
	for m := range g.last {
		n += len(m.Name) + 16
	}
	return n + 16
}
