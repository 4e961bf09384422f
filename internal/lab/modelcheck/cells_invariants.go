package modelcheck

import (
	"fmt"
	"slices"
)

// checkInvariants checks that nobody may act whom its cell has evicted, and no member in two cells.
func (w *cellsWorld) checkInvariants() {
	for i, p := range w.processes {
		if !p.up || !p.node.LeaseValid(w.now) {
			continue
		}
		w.checkFence(p)
		if c := w.cell(p.node.Cell); c == nil || !c.state().IsMember(p.node.Self) {
			w.recordViolation("%s#%d may act, and its cell %d says that it is out", p.name, p.node.Self.Incarnation, p.node.Cell)
		}
		for _, o := range w.processes[:i] {
			if o.up && o.name == p.name && o.node.Cell != p.node.Cell && o.node.LeaseValid(w.now) {
				w.recordViolation("%s may act in cells %d and %d", p.name, o.node.Cell, p.node.Cell)
			}
		}
	}
}

// checkFence checks that a process that may act does not act below a fence of its cell, or of a former one, that was agreed a lease ago.
func (w *cellsWorld) checkFence(p *cellProcess) {
	active := p.node.ActiveSettings
	below := func(f agreedFence) bool { return f.number > active && w.now >= f.at+cellLeaseMicros }
	if f := w.formerFences[p.name]; below(f) {
		w.recordViolation("%s may act on %d at %d, a cell that it has left agreed on fence %d at %d", p.name, active, w.now, f.number, f.at)
	}
	c := w.cell(p.node.Cell)
	if c == nil {
		return
	}
	for _, f := range c.fences {
		if below(f) {
			w.recordViolation("%s may act on %d at %d, its cell agreed on fence %d at %d", p.name, active, w.now, f.number, f.at)
		}
	}
}

// answered reports whether the clients of some requests were given an answer.
func (w *cellsWorld) answered(requests []int) bool {
	return !slices.ContainsFunc(requests, func(r int) bool { return !w.requests[r].answered })
}

// unsettled returns what is not as the directory says yet; empty: nothing.
func (w *cellsWorld) unsettled() string {
	d := w.directories[w.leader]
	for _, p := range w.processes {
		switch {
		case !p.up || p.node.Cell != d.CellOf(p.name):
			return fmt.Sprintf("%s is in cell %d, the directory has it in %d", p.name, p.node.Cell, d.CellOf(p.name))
		case !p.node.LeaseValid(w.now):
			return fmt.Sprintf("%s has no lease in cell %d", p.name, p.node.Cell)
		case p.node.ActiveSettings != d.Global().Settings:
			return fmt.Sprintf("%s acts on %d, the newest is %d", p.name, p.node.ActiveSettings, d.Global().Settings)
		}
	}
	for _, id := range d.CellIDs() {
		p, c := d.Record(id), w.cell(id)
		if p.Sealed || c == nil {
			continue
		}
		update := c.state().LastUpdate
		switch {
		case len(p.PendingSuccessors)+len(p.Successors) > 0:
			return fmt.Sprintf("cell %d is not sealed", id)
		case update.Record.ChangedAt != p.ChangedAt || update.Global != d.Global():
			return fmt.Sprintf("cell %d has applied update %v, its record changed at %v", id, update.Version, p.ChangedAt)
		}
	}
	return ""
}
