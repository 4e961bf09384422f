package cells

import "slices"

// open opens a cell for new members.
func (d *Directory) open(c *Command) error {
	if len(c.Slots) == 0 || c.Region == "" {
		return ErrInvalidNames
	}
	seen := map[string]bool{}
	for _, s := range c.Slots {
		if d.cellOf[s.Name] != 0 || s.Name == "" || seen[s.Name] {
			return ErrAlreadyAssigned
		}
		seen[s.Name] = true
	}
	p := d.newRecord(c.Region)
	for _, s := range c.Slots {
		d.addMember(p, s)
	}
	d.publish(p)
	return nil
}

// assign assigns a new member to a cell.
func (d *Directory) assign(c *Command) error {
	if len(c.Slots) != 1 || c.Slots[0].Name == "" {
		return ErrInvalidNames
	}
	s := c.Slots[0]
	if d.cellOf[s.Name] != 0 {
		return ErrAlreadyAssigned
	}
	if p := d.records[c.Cell]; p == nil || p.Sealed || p.replaced() {
		return ErrCellNotFound
	}
	p := d.editableRecord(c.Cell)
	d.addMember(p, s)
	d.publish(p)
	return nil
}

// addMember adds the slot of a new member to a record.
func (d *Directory) addMember(p *CellRecord, s MemberSlot) {
	p.Slots = append(p.Slots, MemberSlot{Name: s.Name, Address: s.Address, Zone: s.Zone, MoveIndex: d.version.Index})
	d.cellOf[s.Name] = p.ID
}

// editMember returns the record of the cell that a command's one member is assigned to, to be changed, and its slot in it.
func (d *Directory) editMember(c *Command) (*CellRecord, *MemberSlot, error) {
	if len(c.Names) != 1 || d.cellOf[c.Names[0]] == 0 {
		return nil, nil, ErrMemberNotFound
	}
	p := d.editableRecord(d.cellOf[c.Names[0]])
	return p, p.Slot(c.Names[0]), nil
}

// remove has a member's cell let it go for good.
func (d *Directory) remove(c *Command) error {
	p, s, err := d.editMember(c)
	if err != nil {
		return err
	}
	if s.From != 0 || s.To != 0 || p.replaced() {
		return ErrChangeInProgress
	}
	if d.isLastStaying(p, s.Name) && d.hasOtherCell(p) {
		return ErrLastMember
	}
	s.To, s.ToMoveIndex = RemovedID, d.version.Index
	d.publish(p)
	return nil
}

// hasOtherCell reports whether the region of a cell has another one that is not sealed.
func (d *Directory) hasOtherCell(p *CellRecord) bool {
	for _, o := range d.records {
		if o.ID != p.ID && o.Region == p.Region && !o.Sealed {
			return true
		}
	}
	return false
}

// removed notes that a member's cell has let it go. Its slot stays until forgotten: in another cell it would be looked up as if its requests had
// begun there, and its former cell, cut off from the directory, might still grant it leases.
func (d *Directory) removed(c *Command) error {
	p, s, err := d.editMember(c)
	if err != nil {
		return err
	}
	if s.To != RemovedID || s.ToMoveIndex != c.Number || s.Removed {
		return ErrNoChange
	}
	s.Removed = true
	d.publish(p)
	return nil
}

// move has another cell expect a member. It leaves its present one once the other is ready.
func (d *Directory) move(c *Command) error {
	if len(c.Names) != 1 || d.cellOf[c.Names[0]] == 0 {
		return ErrMemberNotFound
	}
	from, to := d.records[d.cellOf[c.Names[0]]], d.records[c.Cell]
	if to == nil || to.Sealed || to.Region != from.Region {
		return ErrCellNotFound
	}
	s := from.Slot(c.Names[0])
	switch {
	case to == from:
		return ErrNoChange
	case s.From != 0 || s.To != 0 || from.replaced() || to.replaced():
		return ErrChangeInProgress
	case d.isLastStaying(from, s.Name):
		return ErrLastMember // nobody would be left to take over its requests
	case slices.Contains(s.FormerCells, to.ID) || len(s.FormerCells) >= maxFormerCells:
		return ErrRecentMember // in a circle, the cell of a request could not be told
	}
	p := d.editableRecord(to.ID)
	p.Slots = append(p.Slots, d.arrivingSlot(s, from.ID))
	d.cellOf[s.Name] = p.ID
	d.publish(p)
	return nil
}

// isLastStaying reports whether no other member stays in a cell.
func (d *Directory) isLastStaying(p *CellRecord, name string) bool {
	return !slices.ContainsFunc(p.Slots, func(o MemberSlot) bool { return o.Name != name && o.From == 0 && o.To == 0 && d.cellOf[o.Name] == p.ID })
}

// arrivingSlot returns the new slot of a member that comes from a cell.
func (d *Directory) arrivingSlot(s *MemberSlot, from ID) MemberSlot {
	return MemberSlot{
		Name: s.Name, Address: s.Address, Zone: s.Zone, MoveIndex: d.version.Index, From: from, FormerCells: append(slices.Clone(s.FormerCells), from),
	}
}

// arrived ends a move: the slot in the former cell is removed.
func (d *Directory) arrived(c *Command) error {
	if len(c.Names) != 1 || d.records[c.Cell] == nil {
		return ErrMemberNotFound
	}
	p := d.editableRecord(c.Cell)
	s := p.Slot(c.Names[0])
	if s == nil || s.From == 0 || s.MoveIndex != c.Number {
		return ErrNoChange
	}
	if d.records[s.From] != nil {
		former := d.editableRecord(s.From)
		former.removeSlot(s.Name)
		d.publish(former)
	}
	s.From = 0
	d.publish(p)
	return nil
}

// forgetMember drops a member's former cells, or a member that was removed.
func (d *Directory) forgetMember(name string) error {
	if d.cellOf[name] == 0 {
		return ErrMemberNotFound
	}
	p := d.editableRecord(d.cellOf[name])
	s := p.Slot(name)
	switch {
	case s.Removed:
		p.removeSlot(name)
		delete(d.cellOf, name)
	case s.From != 0 || s.To != 0 || len(s.FormerCells) == 0:
		return ErrNoChange
	default:
		s.FormerCells = nil
	}
	d.publish(p)
	return nil
}
