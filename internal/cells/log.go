package cells

import (
	"maps"

	"damsonscale/internal/takeover"
)

// EntryKind says what an entry of a cell's log does. Kinds are part of the log by number.
type EntryKind uint8

// Kinds of entries.
const (
	UpdateDirectory EntryKind = 1 // applies an update of the directory
	Join            EntryKind = 2 // a process joins
	Evict           EntryKind = 3 // a process is evicted: its lease has expired
	Depart          EntryKind = 4 // a member leaves for another cell, or for good: its leases have expired
	Seal            EntryKind = 5 // the last entry: all leases have expired
	ExpectMember    EntryKind = 6 // a member arrives by its certificate, without a process: it may be down for good
	ForgetDeparture EntryKind = 7 // drops a member's former cells, or its departure: the longest deadline has passed
)

// Entry is an entry of a cell's log: order and types of its fields stay.
type Entry struct {
	_           struct{} `cbor:",toarray"`
	Kind        EntryKind
	Update      *DirectoryUpdate
	Member      takeover.Member // with Depart, ExpectMember and ForgetDeparture its name counts
	Certificate *Certificate    // with Join and ExpectMember, of a member that comes from another cell
	MoveIndex   uint64          // with Depart: of the slot that the member goes to
}

// Log is the state after some entries of a cell's log.
type Log struct {
	ID           ID
	Epoch        uint64 // number of entries that changed something
	LastUpdate   DirectoryUpdate
	Members      map[takeover.Member]uint64 // processes, by the epoch in which they joined
	Evicted      map[string][]uint64        // evicted incarnations by name, oldest first
	ArrivedMoves map[string]uint64          // MoveIndex of the slot that a member has arrived at
	Departures   map[string]Departure
	FormerCells  map[string][]Departure // from cells that may have records of a member's requests, oldest first
	Sealed       bool
	recordSum    uint64
	fault        InjectedFault
}

// NewLog returns the state of a cell that has no update of the directory yet.
func NewLog(id ID, f InjectedFault) *Log {
	return &Log{
		ID: id, LastUpdate: DirectoryUpdate{Record: &CellRecord{ID: id}}, Members: map[takeover.Member]uint64{}, Evicted: map[string][]uint64{},
		ArrivedMoves: map[string]uint64{}, Departures: map[string]Departure{}, FormerCells: map[string][]Departure{}, fault: f,
	}
}

// Clone returns a copy. Its lists are shared, since they are never changed in place.
func (l *Log) Clone() *Log {
	c := *l
	c.Members, c.Evicted, c.ArrivedMoves = maps.Clone(l.Members), maps.Clone(l.Evicted), maps.Clone(l.ArrivedMoves)
	c.Departures, c.FormerCells = maps.Clone(l.Departures), maps.Clone(l.FormerCells)
	return &c
}

// record returns the directory's record of this cell.
func (l *Log) record() *CellRecord { return l.LastUpdate.Record }

// Apply applies an entry, and reports whether it changed anything. Whether an entry is allowed is decided here alone, in the order of the log, so
// that successive leaders can't disagree.
func (l *Log) Apply(e *Entry) bool {
	if l.Sealed && e.Kind != ForgetDeparture {
		return false
	}
	changed := false
	switch e.Kind {
	case UpdateDirectory:
		changed = l.applyUpdate(e.Update)
	case Join:
		changed = l.join(e)
	case ExpectMember:
		if changed = l.accepts(e.Member.Name, e.Certificate); changed {
			l.arrive(e.Member.Name, e.Certificate)
		}
	case Evict:
		if changed = l.IsMember(e.Member); changed {
			l.evict(e.Member)
		}
	case Depart:
		changed = l.applyDepart(e)
	case Seal:
		changed = l.seal()
	case ForgetDeparture:
		changed = l.forgetDeparture(e.Member.Name)
	}
	if changed {
		l.Epoch++
	}
	return changed
}

// RecordMatches reports whether an update without a record can be applied: the cell's record is the directory's.
func (l *Log) RecordMatches(u *DirectoryUpdate) bool {
	return u.Record != nil || l.recordSum == u.RecordSum
}

// applyUpdate applies an update of the directory. One that is not newer is ignored: after a partition it may come from the side without a quorum.
func (l *Log) applyUpdate(u *DirectoryUpdate) bool {
	if u == nil || u.Record != nil && u.Record.ID != l.ID || !l.RecordMatches(u) {
		return false
	}
	if !u.Version.Newer(l.LastUpdate.Version) && (l.fault != StaleUpdateAccepted || u.Version == l.LastUpdate.Version) {
		return false
	}
	record, global := l.LastUpdate.Record, l.LastUpdate.Global
	if l.LastUpdate = *u; u.Record == nil {
		l.LastUpdate.Record = record
	} else {
		l.recordSum = checksumOf(u.Record)
	}
	if l.fault != StaleUpdateAccepted && global.ChangedAt.Newer(u.Global.ChangedAt) {
		l.LastUpdate.Global = global // it came with a member's certificate, ahead of the relay
	}
	for name := range l.ArrivedMoves {
		if l.record().Slot(name) == nil {
			delete(l.ArrivedMoves, name)
		}
	}
	return true
}

// seal ends the log: all members depart, and all processes are evicted.
func (l *Log) seal() bool {
	p := l.record()
	if len(p.Successors) == 0 {
		return false
	}
	l.Sealed = true
	for i := range p.Slots {
		if s := &p.Slots[i]; l.Departures[s.Name].MoveIndex != s.ToMoveIndex {
			l.depart(s)
		}
	}
	for _, m := range l.membersOf("") {
		l.evict(m)
	}
	return true
}

// EncodedBytes returns the length of the whole state, encoded.
func (l *Log) EncodedBytes() int {
	n := len(Encode(l.LastUpdate)) + 16
	for m := range l.Members {
		n += len(m.Name) + 16
	}
	for name, incarnations := range l.Evicted {
		n += len(name) + 8*len(incarnations)
	}
	for name, d := range l.Departures {
		n += len(name) + len(Encode(d))
	}
	for name, former := range l.FormerCells {
		n += len(name) + len(Encode(former))
	}
	for name := range l.ArrivedMoves {
		n += len(name) + 8
	}
	return n
}
