package modelcheck

import (
	"slices"

	"damsonscale/internal/cells"
)

// propose commits a command in the directory. With the fault TermIgnored, the deposed leader may apply the command to its own state instead.
func (w *cellsWorld) propose(c cells.Command) {
	if w.conf.Fault == cells.TermIgnored && !w.settling && w.leaderChanged && w.random.IntN(2) == 0 {
		deposed := w.directories[1-w.leader]
		next := cells.Version{Term: deposed.Version().Term, Index: deposed.Version().Index + 1}
		w.log("the deposed leader of the directory applies command %d alone: %v", c.Kind, deposed.Apply(next, &c))
		return
	}
	version := cells.Version{Term: w.term, Index: uint64(len(w.commands) + 1)}
	w.commands = append(w.commands, committedCommand{version, c})
	w.applyCommands(w.leader)
}

// applyCommands applies all committed commands at a node of the directory. A cell that a command opens starts with an empty log.
func (w *cellsWorld) applyCommands(node int) {
	d := w.directories[node]
	for ; w.applied[node] < len(w.commands); w.applied[node]++ {
		c := w.commands[w.applied[node]]
		d.Apply(c.version, &c.command) // the error is ignored: all nodes return the same one
		for _, id := range d.CellIDs() {
			if id > w.lastOpened { // cell IDs increase in the order in which cells are opened
				w.lastOpened = id
				w.cells = append(w.cells, w.newCell(id))
			}
		}
	}
}

// newCell returns a cell with an empty log.
func (w *cellsWorld) newCell(id cells.ID) *cellState {
	return &cellState{
		id: id, log: []*cells.Log{cells.NewLog(id, w.conf.Fault)}, records: map[int]*requestRecord{}, movedAt: map[string]int64{},
		leaseTables: [2]*cells.LeaseTable{cells.NewLeaseTable(cellLeaseMicros, w.conf.Fault), cells.NewLeaseTable(cellLeaseMicros, w.conf.Fault)},
	}
}

// pullDelta lets a relay request a delta from a node of the directory, and reports whether the relay must request the next page. A corrupt delta
// is missing one record.
func (w *cellsWorld) pullDelta(relay, node int, corrupt bool) (again bool) {
	r := w.relays[relay]
	request := r.NextRequest()
	delta := w.directories[node].Delta(request.Region, request.Since, request.From, request.Complete, cellPageBytes)
	if corrupt && len(delta.Records) > 0 {
		i := w.random.IntN(len(delta.Records))
		delta.Records = slices.Delete(slices.Clone(delta.Records), i, i+1)
	}
	if delta.Complete && r.Version() != (cells.Version{}) {
		w.coverage.CompleteDeltas++
	}
	return r.ApplyDelta(delta)
}

// syncRound updates all relays and cells from the directory, and sends the reports of the cells to the directory.
func (w *cellsWorld) syncRound() {
	w.applyCommands(w.leader)
	for r := range w.relays {
		for range cellMaxPages {
			if !w.pullDelta(r, w.leader, false) {
				break
			}
		}
	}
	for _, c := range w.cells {
		w.updateCell(c, 0)
		w.report(c)
	}
}

// openCells returns the cells that are neither sealed nor being split or merged.
func (w *cellsWorld) openCells() (open []cells.ID) {
	d := w.directories[w.leader]
	for _, id := range d.CellIDs() {
		if p := d.Record(id); !p.Sealed && len(p.PendingSuccessors)+len(p.Successors) == 0 {
			open = append(open, id)
		}
	}
	return open
}

// randomCommand proposes a random command of an operator or of a rollout plan.
func (w *cellsWorld) randomCommand() {
	d := w.directories[w.leader]
	open := w.openCells()
	if len(open) == 0 {
		return
	}
	pickCell := func() cells.ID { return open[w.random.IntN(len(open))] }
	id := pickCell()
	slots := d.Record(id).Slots
	pickName := func() []string { return []string{slots[w.random.IntN(len(slots))].Name} }
	c := cells.Command{}
	switch w.random.IntN(10) {
	case 0, 1, 2, 3:
		if len(slots) == 0 {
			return
		}
		c = cells.Command{Kind: cells.Move, Names: pickName(), Cell: pickCell()}
	case 4:
		if len(slots) < 2 {
			return
		}
		c = cells.Command{Kind: cells.Split, Cell: id, Names: pickName()}
	case 5:
		c = cells.Command{Kind: cells.Merge, Cells: []cells.ID{id, pickCell()}}
	case 6:
		c = cells.Command{Kind: cells.SetTarget, Number: d.Global().Settings + 1}
	case 7:
		c = cells.Command{Kind: cells.SetFence, Number: d.Global().Settings}
	case 8:
		if len(slots) < 2 { // the last member of a cell is not removed, because other processes learn their cell from it
			return
		}
		c = cells.Command{Kind: cells.Remove, Names: pickName()}
	default:
		w.assignRemoved(id)
		return
	}
	w.log("command %d: cell %d, cells %v, members %v, number %d", c.Kind, c.Cell, c.Cells, c.Names, c.Number)
	w.propose(c)
}

// assignRemoved assigns the first member that is in no cell to the given cell.
func (w *cellsWorld) assignRemoved(id cells.ID) {
	for _, name := range cellMemberNames {
		if w.directories[w.leader].CellOf(name) == 0 {
			w.log("%s is assigned to cell %d", name, id)
			w.reassignedAt[name] = w.now
			w.propose(cells.Command{Kind: cells.Assign, Cell: id, Slots: []cells.MemberSlot{{Name: name, Zone: name}}})
			return
		}
	}
}

// forgetInDirectory deletes the members, cells and former cells from the directory that no unexpired request can refer to.
func (w *cellsWorld) forgetInDirectory() {
	for _, name := range cellMemberNames {
		if at, ok := w.removedAt[name]; ok && w.now-at >= cellRetentionMicros {
			w.propose(cells.Command{Kind: cells.Forget, Names: []string{name}})
			delete(w.removedAt, name)
		}
	}
	d := w.directories[w.leader]
	for _, id := range d.CellIDs() {
		p, c := d.Record(id), w.cell(id)
		if c == nil {
			continue
		}
		if p.Sealed && len(p.Slots) == 0 && w.now-c.lastMove() >= cellRetentionMicros {
			w.forgetCell(id)
			continue
		}
		for _, s := range p.Slots {
			settled := s.From == 0 && s.To == 0 && w.now-c.movedAt[s.Name] >= cellRetentionMicros
			if len(s.FormerCells) > 0 && settled && len(c.state().FormerCells[s.Name]) == 0 {
				w.propose(cells.Command{Kind: cells.Forget, Names: []string{s.Name}})
			}
		}
	}
}

// forgetCell deletes a sealed cell from the directory and the model.
func (w *cellsWorld) forgetCell(id cells.ID) {
	w.coverage.ForgottenCells++
	w.propose(cells.Command{Kind: cells.Forget, Cell: id})
	w.cells = slices.DeleteFunc(w.cells, func(c *cellState) bool { return c.id == id })
	w.log("cell %d is deleted", id)
}
