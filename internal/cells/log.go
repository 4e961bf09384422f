package cells

import (
	"maps"

	"damsonscale/internal/takeover"
)

// EntryKind is the kind of an entry of a cell's log. Its numbers are stored in the log.
type EntryKind uint8

// Kinds of log entries.
const (
	UpdateDirectory EntryKind = 1 // applies an update from the directory
	Join            EntryKind = 2 // adds a process
	Evict           EntryKind = 3 // removes a process whose lease has expired
	Depart          EntryKind = 4 // lets a member leave for another cell, or removes it permanently, after its leases have expired
	Seal            EntryKind = 5 // ends the log after all leases have expired
	ExpectMember    EntryKind = 6 // completes the move of a member by its certificate, without a process, since the process may never restart
	ForgetDeparture EntryKind = 7 // drops a member's former cells and its departure, once the longest deadline has passed
)

// Entry is an entry of a cell's log. It is stored and sent as an array: its fields keep their order and types.
type Entry struct {
	_           struct{} `cbor:",toarray"`
	Kind        EntryKind
	Update      *DirectoryUpdate
	Member      takeover.Member // with Depart, ExpectMember and ForgetDeparture only the name is used
	Certificate *Certificate    // with Join and ExpectMember, if the member moves from another cell
	MoveIndex   uint64          // with Depart: MoveIndex of the slot that the member moves to
}

// Log is the state of a cell after the applied entries of its log.
type Log struct {
	ID           ID
	Epoch        uint64 // number of entries that changed the state
	LastUpdate   DirectoryUpdate
	Members      map[takeover.Member]uint64 // epoch in which each process joined
	Evicted      map[string][]uint64        // evicted incarnations of each member, oldest first
	ArrivedMoves map[string]uint64          // MoveIndex of the slot in which each member has arrived
	Departures   map[string]Departure       // of members that have left this cell
	FormerCells  map[string][]Departure     // departures from cells that may have records of a member's requests, oldest first
	Sealed       bool
	recordSum    uint64
	fault        InjectedFault
}

// NewLog returns the state of a cell that has not applied an update from the directory.
func NewLog(id ID, f InjectedFault) *Log {
	return &Log{
		ID: id, LastUpdate: DirectoryUpdate{Record: &CellRecord{ID: id}}, Members: map[takeover.Member]uint64{}, Evicted: map[string][]uint64{},
		ArrivedMoves: map[string]uint64{}, Departures: map[string]Departure{}, FormerCells: map[string][]Departure{}, fault: f,
	}
}

// Clone returns a copy. Slices are shared, since they are never changed in place.
func (l *Log) Clone() *Log {
	c := *l
	c.Members, c.Evicted, c.ArrivedMoves = maps.Clone(l.Members), maps.Clone(l.Evicted), maps.Clone(l.ArrivedMoves)
	c.Departures, c.FormerCells = maps.Clone(l.Departures), maps.Clone(l.FormerCells)
	return &c
}

// record returns the directory's record of this cell.
func (l *Log) record() *CellRecord { return l.LastUpdate.Record }

// Apply applies an entry and reports whether it changed the state. Only Apply decides whether an entry is allowed, in the order of the log, so
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

// RecordMatches reports whether an update has a record, or the cell's record has the update's checksum.
func (l *Log) RecordMatches(u *DirectoryUpdate) bool {
	return u.Record != nil || l.recordSum == u.RecordSum
}

// applyUpdate applies an update from the directory. It ignores an update that is not newer, which may come from the side of a partition that had
// no quorum.
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
		l.LastUpdate.Global = global // a member's certificate has brought a newer state than the relay
	}
	for name := range l.ArrivedMoves {
		if l.record().Slot(name) == nil {
			delete(l.ArrivedMoves, name)
		}
	}
	return true
}

// seal ends the log: all members depart and all processes are evicted.
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

// EncodedBytes returns the approximate size of the encoded state in bytes.
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
