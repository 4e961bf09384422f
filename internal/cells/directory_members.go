package cells

import "slices"

// open creates a cell for new members.
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

// editMember returns an editable record of the cell of the single member that a command names, and the member's slot in that record.
func (d *Directory) editMember(c *Command) (*CellRecord, *MemberSlot, error) {
	if len(c.Names) != 1 || d.cellOf[c.Names[0]] == 0 {
		return nil, nil, ErrMemberNotFound
	}
	p := d.editableRecord(d.cellOf[c.Names[0]])
	return p, p.Slot(c.Names[0]), nil
}

// remove asks a member's cell to remove the member permanently. The last member of a cell stays if the region has another cell to merge with.
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

// hasOtherCell reports whether the region of a cell has another cell that is not sealed.
func (d *Directory) hasOtherCell(p *CellRecord) bool {
	for _, o := range d.records {
		if o.ID != p.ID && o.Region == p.Region && !o.Sealed {
			return true
		}
	}
	return false
}

// removed records that a member's cell has removed the member. The slot stays until it is forgotten: if the name were assigned to another cell
// earlier, that cell would treat the member's earlier requests as its own, and the former cell, if it is partitioned from the directory, might
// still grant leases to the member.
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

// move assigns a member to another cell. The member leaves its present cell once the new cell's log expects it.
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
		return ErrLastMember // no member would be left to take over its requests
	case slices.Contains(s.FormerCells, to.ID) || len(s.FormerCells) >= maxFormerCells:
		return ErrRecentMember // if a member returned to a former cell, the cell of a request would be ambiguous
	}
	p := d.editableRecord(to.ID)
	p.Slots = append(p.Slots, d.arrivingSlot(s, from.ID))
	d.cellOf[s.Name] = p.ID
	d.publish(p)
	return nil
}

// isLastStaying reports whether all other members of a cell are arriving or leaving.
func (d *Directory) isLastStaying(p *CellRecord, name string) bool {
	return !slices.ContainsFunc(p.Slots, func(o MemberSlot) bool { return o.Name != name && o.From == 0 && o.To == 0 && d.cellOf[o.Name] == p.ID })
}

// arrivingSlot returns the slot in the new cell for a member that moves from another cell.
func (d *Directory) arrivingSlot(s *MemberSlot, from ID) MemberSlot {
	return MemberSlot{
		Name: s.Name, Address: s.Address, Zone: s.Zone, MoveIndex: d.version.Index, From: from, FormerCells: append(slices.Clone(s.FormerCells), from),
	}
}

// arrived completes a move and removes the member's slot in the former cell.
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

// forgetMember deletes a removed member, or drops the former cells of a member.
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
