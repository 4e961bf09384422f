package cells

import (
	"cmp"
	"maps"
	"slices"
)

const (
	maxAppliedIDs = 64   // of commands; a duplicate of an older command is applied again
	maxTombstones = 1024 // beyond it the oldest is dropped, and requests since an earlier version get a complete delta
)

// tombstone marks a cell that the directory has deleted, so that relays delete the cell as well.
type tombstone struct {
	id     ID
	region string
	at     Version
}

// Directory is the state of the directory after the applied entries of its log.
type Directory struct {
	version         Version
	global          GlobalState
	lastID          ID
	records         map[ID]*CellRecord
	recordSums      map[ID]uint64
	cellOf          map[string]ID // cell of each member; the new cell during a move
	tombstones      []tombstone
	tombstonesSince Version // tombstones of changes up to this version may have been dropped
	appliedIDs      []uint64
	fault           InjectedFault
}

// NewDirectory returns an empty directory.
func NewDirectory(f InjectedFault) *Directory {
	return &Directory{records: map[ID]*CellRecord{}, recordSums: map[ID]uint64{}, cellOf: map[string]ID{}, fault: f}
}

// Clone returns a copy. Records are shared, since they are immutable.
func (d *Directory) Clone() *Directory {
	c := *d
	c.records, c.recordSums, c.cellOf = maps.Clone(d.records), maps.Clone(d.recordSums), maps.Clone(d.cellOf)
	c.tombstones, c.appliedIDs = slices.Clone(d.tombstones), slices.Clone(d.appliedIDs)
	return &c
}

// Version returns the position of the last applied entry in the log.
func (d *Directory) Version() Version { return d.version }

// Global returns the state that all cells share.
func (d *Directory) Global() GlobalState { return d.global }

// Record returns the record of a cell, or nil if the cell does not exist.
func (d *Directory) Record(id ID) *CellRecord { return d.records[id] }

// CellOf returns the cell that a member is assigned to, during a move the new one, or 0 if the member is unknown.
func (d *Directory) CellOf(name string) ID { return d.cellOf[name] }

// CellIDs returns the IDs of all cells, sorted.
func (d *Directory) CellIDs() []ID { return slices.Sorted(maps.Keys(d.records)) }

// Apply applies the entry of the log at a version. If it returns an error, it has changed at most the version.
func (d *Directory) Apply(at Version, c *Command) error {
	if at.Index <= d.version.Index || at.Term < d.version.Term {
		if d.fault != TermIgnored {
			return ErrStale // from a deposed leader: two directories must not both assign members
		}
	}
	if slices.Contains(d.appliedIDs, c.ID) && c.ID != 0 {
		return ErrAlreadyApplied
	}
	lastID := d.lastID
	d.version = at
	if err := d.apply(c); err != nil {
		d.lastID = lastID
		return err
	}
	if c.ID != 0 {
		if d.appliedIDs = append(d.appliedIDs, c.ID); len(d.appliedIDs) > maxAppliedIDs {
			d.appliedIDs = slices.Clone(d.appliedIDs[len(d.appliedIDs)-maxAppliedIDs:])
		}
	}
	return nil
}

// apply applies a command. Each kind of command is validated before it changes the state.
func (d *Directory) apply(c *Command) error {
	switch c.Kind {
	case Open:
		return d.open(c)
	case Assign:
		return d.assign(c)
	case Remove:
		return d.remove(c)
	case Removed:
		return d.removed(c)
	case Move:
		return d.move(c)
	case Split:
		return d.split(c)
	case Merge:
		return d.merge(c)
	case Ready:
		return d.ready(c)
	case Arrived:
		return d.arrived(c)
	case Sealed:
		return d.sealed(c)
	case SetTarget, SetFence:
		return d.setGlobal(c)
	case Forget:
		if len(c.Names) == 1 {
			return d.forgetMember(c.Names[0])
		}
		return d.forgetCell(c.Cell)
	}
	return ErrNoChange
}

// setGlobal sets the number of the settings or the fence. Neither may decrease, and the fence may not exceed the settings.
func (d *Directory) setGlobal(c *Command) error {
	next := d.global
	if c.Kind == SetTarget {
		next.Settings = c.Number
	} else {
		next.Fence = c.Number
	}
	if next.Settings < d.global.Settings || next.Fence < d.global.Fence || next.Fence > next.Settings || next == d.global {
		return ErrNoChange
	}
	next.ChangedAt = d.version
	d.global = next
	return nil
}

// editableRecord returns a copy of a record that may be changed until it is published.
func (d *Directory) editableRecord(id ID) *CellRecord { return d.records[id].copyRecord() }

// publish sorts the slots of a record, sets its contacts and version, and stores it. The record must not be changed afterwards.
func (d *Directory) publish(p *CellRecord) {
	slices.SortFunc(p.Slots, func(a, b MemberSlot) int { return cmp.Compare(a.Name, b.Name) })
	p.Contacts = d.contactsOf(p)
	p.ChangedAt = d.version
	d.records[p.ID], d.recordSums[p.ID] = p, checksumOf(p)
}

// contactsOf returns contacts of the cells that members of a cell come from or move to.
func (d *Directory) contactsOf(p *CellRecord) (contacts []Contact) {
	var ids []ID
	for _, s := range p.Slots {
		ids = append(append(ids, s.From, s.To), s.FormerCells...)
	}
	slices.Sort(ids)
	for _, id := range slices.Compact(ids) {
		other := d.records[id]
		if id == 0 || id == p.ID || other == nil {
			continue
		}
		c := Contact{Cell: id}
		for _, s := range other.Slots[:min(maxContacts, len(other.Slots))] {
			c.Addresses = append(c.Addresses, s.Address)
		}
		contacts = append(contacts, c)
	}
	return contacts
}

// newRecord returns the record of a new cell with the next ID.
func (d *Directory) newRecord(region string) *CellRecord {
	d.lastID++
	return &CellRecord{ID: d.lastID, Region: region}
}

// EncodedBytes returns the approximate size of the encoded state in bytes.
func (d *Directory) EncodedBytes() int {
	n := len(Encode(d.version)) + len(Encode(d.global)) + 8*len(d.appliedIDs) + 16*len(d.tombstones)
	for _, p := range d.records {
		n += len(Encode(p)) + 8
		for _, s := range p.Slots {
			n += len(s.Name) + 4 // entry in cellOf
		}
	}
	return n
}
