package cells

import (
	"cmp"
	"maps"
	"slices"
)

const (
	maxAppliedIDs = 64   // of commands; an older one that is sent again is applied again
	maxTombstones = 1024 // past it, deltas from before the oldest are complete
)

// tombstone marks a cell that the directory has forgotten, so that relays delete it too.
type tombstone struct {
	id     ID
	region string
	at     Version
}

// Directory is the state after some entries of the directory's log.
type Directory struct {
	version         Version
	global          GlobalState
	lastID          ID
	records         map[ID]*CellRecord
	recordSums      map[ID]uint64
	cellOf          map[string]ID // the cell that a member is in, or the new one while it moves
	tombstones      []tombstone
	tombstonesSince Version // of older changes tombstones may have been dropped
	appliedIDs      []uint64
	fault           InjectedFault
}

// NewDirectory returns an empty directory.
func NewDirectory(f InjectedFault) *Directory {
	return &Directory{records: map[ID]*CellRecord{}, recordSums: map[ID]uint64{}, cellOf: map[string]ID{}, fault: f}
}

// Clone returns a copy. Records are shared, since they are never changed.
func (d *Directory) Clone() *Directory {
	c := *d
	c.records, c.recordSums, c.cellOf = maps.Clone(d.records), maps.Clone(d.recordSums), maps.Clone(d.cellOf)
	c.tombstones, c.appliedIDs = slices.Clone(d.tombstones), slices.Clone(d.appliedIDs)
	return &c
}

// Version returns the position in the log up to which entries are applied.
func (d *Directory) Version() Version { return d.version }

// Global returns the state that all cells share.
func (d *Directory) Global() GlobalState { return d.global }

// Record returns a cell's record; nil: there is no such cell.
func (d *Directory) Record(id ID) *CellRecord { return d.records[id] }

// CellOf returns the cell that a member is assigned to, the new one while it moves; 0: none.
func (d *Directory) CellOf(name string) ID { return d.cellOf[name] }

// CellIDs returns the numbers of all cells, sorted.
func (d *Directory) CellIDs() []ID { return slices.Sorted(maps.Keys(d.records)) }

// Apply applies the entry of the log at a version. With an error nothing has changed but the version.
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

// apply applies a command. Each kind checks before it changes anything.
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

// setGlobal sets the target or the fence; both only grow.
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

// editableRecord returns a copy of a record that may be changed until it is put.
func (d *Directory) editableRecord(id ID) *CellRecord { return d.records[id].copyRecord() }

// publish publishes a record.
func (d *Directory) publish(p *CellRecord) {
	slices.SortFunc(p.Slots, func(a, b MemberSlot) int { return cmp.Compare(a.Name, b.Name) })
	p.Contacts = d.contactsOf(p)
	p.ChangedAt = d.version
	d.records[p.ID], d.recordSums[p.ID] = p, checksumOf(p)
}

// contactsOf returns contacts of the cells that a cell's members come from or go to.
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

// newRecord returns the record of a new cell.
func (d *Directory) newRecord(region string) *CellRecord {
	d.lastID++
	return &CellRecord{ID: d.lastID, Region: region}
}

// EncodedBytes returns the length of the whole state, encoded.
func (d *Directory) EncodedBytes() int {
	n := len(Encode(d.version)) + len(Encode(d.global)) + 8*len(d.appliedIDs) + 16*len(d.tombstones)
	for _, p := range d.records {
		n += len(Encode(p)) + 8
		for _, s := range p.Slots {
			n += len(s.Name) + 4 // in cellOf
		}
	}
	return n
}
