package cells

import (
	"slices"

	"damsonscale/internal/takeover"
)

// maxEvicted bounds the evicted incarnations that a cell remembers for each member.
const maxEvicted = 16

// IsMember reports whether a process has joined and has not been evicted.
func (l *Log) IsMember(m takeover.Member) bool { _, ok := l.Members[m]; return ok }

// membersOf returns the processes of a member, or of all members if name is empty, in a fixed order.
func (l *Log) membersOf(name string) (members []takeover.Member) {
	for m := range l.Members {
		if name == "" || m.Name == name {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(a, b takeover.Member) int {
		return takeover.Ballot{Proposer: a}.Compare(takeover.Ballot{Proposer: b})
	})
	return members
}

// MayJoin reports whether a process may join now. cert is required if the member moves from another cell and has not arrived.
func (l *Log) MayJoin(m takeover.Member, cert *Certificate) bool {
	s := l.record().Slot(m.Name)
	switch {
	case l.Sealed || s == nil || l.IsMember(m) || slices.Contains(l.Evicted[m.Name], m.Incarnation):
		return false
	case l.hasLeft(s):
		return false
	case slices.ContainsFunc(l.FormerCells[m.Name], func(d Departure) bool { return d.Member == m }):
		return false // the incarnation belonged to another cell
	case s.From == 0 || l.ArrivedMoves[m.Name] == s.MoveIndex:
		return true
	case l.fault == CertificateIgnored:
		return true
	}
	return l.accepts(m.Name, cert) && cert.Member != m
}

// accepts reports whether a certificate is valid for the slot of a member that this cell expects.
func (l *Log) accepts(name string, cert *Certificate) bool {
	s := l.record().Slot(name)
	return s != nil && cert != nil && s.From != 0 && l.ArrivedMoves[name] != s.MoveIndex && cert.Cell == s.From && cert.To == l.ID &&
		cert.MoveIndex == s.MoveIndex && cert.Member.Name == name && !slices.ContainsFunc(cert.Earlier, func(d Departure) bool { return d.Cell == l.ID })
}

// hasLeft reports whether a member has left since it was assigned its present slot.
func (l *Log) hasLeft(s *MemberSlot) bool {
	d, ok := l.Departures[s.Name]
	return ok && d.MoveIndex > s.MoveIndex
}

// join adds a process, and completes the move of its member if that has not arrived.
func (l *Log) join(e *Entry) bool {
	if !l.MayJoin(e.Member, e.Certificate) {
		return false
	}
	if s := l.record().Slot(e.Member.Name); s.From != 0 && l.ArrivedMoves[s.Name] != s.MoveIndex {
		l.arrive(s.Name, e.Certificate)
	}
	l.Members[e.Member] = l.Epoch + 1
	return true
}

// arrive completes the move of a member. This cell adopts the global state of the certificate if that is newer: otherwise the member might act
// below a fence that only its former cell has applied.
func (l *Log) arrive(name string, cert *Certificate) {
	l.ArrivedMoves[name] = l.record().Slot(name).MoveIndex
	delete(l.Departures, name)
	if cert == nil {
		return
	}
	if l.fault != FormerCellsDropped {
		l.FormerCells[name] = append(slices.Clone(cert.Earlier), cert.Departure)
	}
	if cert.Global.ChangedAt.Newer(l.LastUpdate.Global.ChangedAt) {
		l.LastUpdate.Global = cert.Global
	}
}

// evict removes a process. Its incarnation can't join again.
func (l *Log) evict(m takeover.Member) {
	delete(l.Members, m)
	evicted := append(slices.Clone(l.Evicted[m.Name]), m.Incarnation)
	l.Evicted[m.Name] = evicted[max(0, len(evicted)-maxEvicted):]
}

// applyDepart lets a member leave if the directory requires it and the member has not left.
func (l *Log) applyDepart(e *Entry) bool {
	s := l.record().Slot(e.Member.Name)
	if s == nil || !l.record().leaving(s) || s.ToMoveIndex != e.MoveIndex || l.Departures[s.Name].MoveIndex == e.MoveIndex {
		return false
	}
	l.depart(s)
	return true
}

// depart evicts a member's processes and records its departure with its last evicted incarnation.
func (l *Log) depart(s *MemberSlot) {
	d := Departure{Cell: l.ID, Epoch: l.Epoch + 1, Member: takeover.Member{Name: s.Name}, To: s.To, MoveIndex: s.ToMoveIndex}
	if evicted := l.Evicted[s.Name]; len(evicted) > 0 {
		d.Member.Incarnation = evicted[len(evicted)-1]
	}
	for _, m := range l.membersOf(s.Name) {
		d.Member = m
		l.evict(m)
	}
	l.Departures[s.Name] = d
}

// forgetDeparture drops a member's former cells. It drops the member's departure too, unless the move is in progress and needs the certificate.
func (l *Log) forgetDeparture(name string) bool {
	_, changed := l.FormerCells[name]
	delete(l.FormerCells, name)
	if s := l.record().Slot(name); s == nil || s.To == 0 {
		_, departed := l.Departures[name]
		changed = changed || departed
		delete(l.Departures, name)
	}
	return changed
}

// Certificate returns the certificate of a member that has left, or nil if the member has not left.
func (l *Log) Certificate(name string) *Certificate {
	d, ok := l.Departures[name]
	if !ok {
		return nil
	}
	return &Certificate{Departure: d, Earlier: l.FormerCells[name], Global: l.LastUpdate.Global}
}

// LookupStart returns the cell where the lookup of a request starts if its client asked the given member first: the oldest cell that may have
// the request's record. It returns false if this cell does not know the member.
func (l *Log) LookupStart(firstAsked string) (ID, bool) {
	s := l.record().Slot(firstAsked)
	_, departed := l.Departures[firstAsked]
	switch {
	case len(l.FormerCells[firstAsked]) > 0:
		return l.FormerCells[firstAsked][0].Cell, true
	case departed:
		return l.ID, true
	case s == nil:
		return 0, false
	case s.From != 0 && l.ArrivedMoves[firstAsked] != s.MoveIndex:
		return s.From, true
	}
	return l.ID, true
}

// Successor returns the cell that takes over the requests that a member had in flight in this cell: the cell that the member moved to, else the
// first successor if this cell is sealed, else this cell.
func (l *Log) Successor(name string) ID {
	d, departed := l.Departures[name]
	switch {
	case departed && d.To != RemovedID:
		return d.To
	case l.Sealed:
		return l.record().Successors[0]
	}
	return l.ID
}
