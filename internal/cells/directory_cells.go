package cells

import (
	"maps"
	"slices"
)

// stableRecord returns the record of a cell, or an error if the cell is sealed or being replaced, or if a member is arriving or leaving.
func (d *Directory) stableRecord(id ID) (*CellRecord, error) {
	p := d.records[id]
	if p == nil || p.Sealed {
		return nil, ErrCellNotFound
	}
	moving := func(s MemberSlot) bool { return s.From != 0 || s.To != 0 || d.cellOf[s.Name] != id }
	if p.replaced() || slices.ContainsFunc(p.Slots, moving) {
		return nil, ErrChangeInProgress
	}
	return p, nil
}

// split replaces a cell by two: the first gets the named members, the second the others.
func (d *Directory) split(c *Command) error {
	p, err := d.stableRecord(c.Cell)
	if err != nil {
		return err
	}
	first, second := d.newRecord(p.Region), d.newRecord(p.Region)
	successorOf, n := map[string]*CellRecord{}, 0
	for _, s := range p.Slots {
		if successorOf[s.Name] = second; slices.Contains(c.Names, s.Name) {
			successorOf[s.Name] = first
			n++
		}
	}
	if n == 0 || n == len(p.Slots) || n != len(c.Names) {
		return ErrInvalidNames
	}
	return d.replace([]*CellRecord{p}, successorOf, []*CellRecord{first, second})
}

// merge replaces two cells of a region by one.
func (d *Directory) merge(c *Command) error {
	if len(c.Cells) != 2 || c.Cells[0] == c.Cells[1] {
		return ErrCellNotFound
	}
	var old []*CellRecord
	for _, id := range c.Cells {
		p, err := d.stableRecord(id)
		if err != nil {
			return err
		}
		old = append(old, p)
	}
	if old[0].Region != old[1].Region {
		return ErrCellNotFound
	}
	successor, successorOf := d.newRecord(old[0].Region), map[string]*CellRecord{}
	for _, o := range old {
		for _, s := range o.Slots {
			successorOf[s.Name] = successor
		}
	}
	return d.replace(old, successorOf, []*CellRecord{successor})
}

// replace replaces cells by successors and assigns the members to the successors.
func (d *Directory) replace(old []*CellRecord, successorOf map[string]*CellRecord, successors []*CellRecord) error {
	for _, o := range old {
		for i := range o.Slots {
			if len(o.Slots[i].FormerCells) >= maxFormerCells {
				return ErrRecentMember
			}
		}
	}
	var ids []ID
	for _, p := range successors {
		ids = append(ids, p.ID)
	}
	for _, o := range old {
		for i := range o.Slots {
			s := &o.Slots[i]
			p := successorOf[s.Name]
			p.Slots = append(p.Slots, d.arrivingSlot(s, o.ID))
			d.cellOf[s.Name] = p.ID
		}
		next := d.editableRecord(o.ID)
		if next.PendingSuccessors = ids; len(o.Slots) == 0 { // an empty cell can be sealed at once: no successor has to expect members
			next.Successors, next.PendingSuccessors = ids, nil
		}
		d.publish(next)
	}
	for _, p := range successors {
		d.publish(p)
	}
	return nil
}

// ready lets members leave their former cells for a cell whose log now expects them. A member that left earlier could join no cell if the
// directory failed before the new cell learned of the move.
func (d *Directory) ready(c *Command) error {
	p := d.records[c.Cell]
	if p == nil || p.Sealed {
		return ErrCellNotFound
	}
	former := map[ID]*CellRecord{}
	for i := range p.Slots {
		s := &p.Slots[i]
		if s.From == 0 || s.MoveIndex > c.At.Index {
			continue
		}
		o := former[s.From]
		if o == nil {
			if d.records[s.From] == nil {
				continue
			}
			o = d.editableRecord(s.From)
		}
		if old := o.Slot(s.Name); old != nil && old.To == 0 {
			old.To, old.ToMoveIndex = p.ID, s.MoveIndex
			former[s.From] = o
		}
	}
	if len(former) == 0 {
		return ErrNoChange
	}
	for _, id := range slices.Sorted(maps.Keys(former)) {
		o := former[id]
		if len(o.PendingSuccessors) > 0 && !slices.ContainsFunc(o.Slots, func(s MemberSlot) bool { return s.To == 0 }) {
			o.Successors, o.PendingSuccessors = o.PendingSuccessors, nil
		}
		d.publish(o)
	}
	return nil
}

// sealed records that a cell's log has ended.
func (d *Directory) sealed(c *Command) error {
	if p := d.records[c.Cell]; p == nil || p.Sealed || len(p.Successors) == 0 {
		return ErrNoChange
	}
	p := d.editableRecord(c.Cell)
	p.Sealed, p.FinalEpoch = true, c.Epoch
	d.publish(p)
	return nil
}

// forgetCell deletes a sealed cell whose members have all arrived in other cells, and adds a tombstone.
func (d *Directory) forgetCell(id ID) error {
	p := d.records[id]
	if p == nil || !p.Sealed || len(p.Slots) > 0 {
		return ErrNoChange
	}
	delete(d.records, p.ID)
	delete(d.recordSums, p.ID)
	if d.tombstones = append(d.tombstones, tombstone{p.ID, p.Region, d.version}); len(d.tombstones) > maxTombstones {
		d.tombstonesSince = d.tombstones[0].at
		d.tombstones = slices.Clone(d.tombstones[1:])
	}
	return nil
}
