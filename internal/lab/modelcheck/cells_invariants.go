package modelcheck

import (
	"fmt"
	"slices"
)

// checkInvariants checks for each process with a valid lease that it respects the fences, that it is a member of its cell, and that its member
// holds no valid lease in another cell.
func (w *cellsWorld) checkInvariants() {
	for i, p := range w.processes {
		if !p.up || !p.node.LeaseValid(w.now) {
			continue
		}
		w.checkFence(p)
		if c := w.cell(p.node.Cell); c == nil || !c.state().IsMember(p.node.Self) {
			w.recordViolation("%s#%d has a valid lease but is not a member of its cell %d", p.name, p.node.Self.Incarnation, p.node.Cell)
		}
		for _, o := range w.processes[:i] {
			if o.up && o.name == p.name && o.node.Cell != p.node.Cell && o.node.LeaseValid(w.now) {
				w.recordViolation("%s has valid leases in cells %d and %d", p.name, o.node.Cell, p.node.Cell)
			}
		}
	}
}

// checkFence checks that a process with a valid lease does not act on settings below a fence that its cell, or a former cell, committed at least
// one lease duration ago.
func (w *cellsWorld) checkFence(p *cellProcess) {
	active := p.node.ActiveSettings
	below := func(f committedFence) bool { return f.number > active && w.now >= f.at+cellLeaseMicros }
	if f := w.formerFences[p.name]; below(f) {
		w.recordViolation("%s has a valid lease on settings %d at %d, a former cell committed fence %d at %d", p.name, active, w.now, f.number, f.at)
	}
	c := w.cell(p.node.Cell)
	if c == nil {
		return
	}
	for _, f := range c.fences {
		if below(f) {
			w.recordViolation("%s has a valid lease on settings %d at %d, its cell committed fence %d at %d", p.name, active, w.now, f.number, f.at)
		}
	}
}

// answered reports whether all given requests are answered.
func (w *cellsWorld) answered(requests []int) bool {
	return !slices.ContainsFunc(requests, func(r int) bool { return !w.requests[r].answered })
}

// unsettled describes the first difference between the state of the directory and that of processes and cells; empty: none.
func (w *cellsWorld) unsettled() string {
	d := w.directories[w.leader]
	for _, p := range w.processes {
		switch {
		case !p.up || p.node.Cell != d.CellOf(p.name):
			return fmt.Sprintf("%s is in cell %d, want %d by the directory", p.name, p.node.Cell, d.CellOf(p.name))
		case !p.node.LeaseValid(w.now):
			return fmt.Sprintf("%s has no lease in cell %d", p.name, p.node.Cell)
		case p.node.ActiveSettings != d.Global().Settings:
			return fmt.Sprintf("%s acts on settings %d, want %d", p.name, p.node.ActiveSettings, d.Global().Settings)
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
			return fmt.Sprintf("cell %d has applied update %v, but its record changed at version %v", id, update.Version, p.ChangedAt)
		}
	}
	return ""
}
