package modelcheck

import (
	"fmt"
	"slices"

	"damsonscale/internal/cells"
	"damsonscale/internal/takeover"
)

// commit appends an entry to a cell's log, and reports whether the entry changed the state of the cell.
func (w *cellsWorld) commit(c *cellState, e cells.Entry) bool {
	before, next := c.state(), c.state().Clone()
	if !next.Apply(&e) {
		return false
	}
	c.log = append(c.log, next)
	c.applied[c.leader] = len(c.log) - 1
	if e.Kind == cells.Depart || e.Kind == cells.Seal {
		w.recordFormerFences(c, before, next)
	}
	if fence := next.LastUpdate.Global.Fence; fence > before.LastUpdate.Global.Fence {
		c.fences = append(c.fences, committedFence{fence, w.now})
		w.coverage.Fences++
	}
	for name := range next.Departures {
		if next.Departures[name] != before.Departures[name] {
			c.movedAt[name] = w.now
		}
	}
	w.countEntry(c, &e)
	w.log("cell %d commits %s", c.id, entryText(&e))
	return true
}

// recordFormerFences records the cell's latest fence for departing members: it still applies to them.
func (w *cellsWorld) recordFormerFences(c *cellState, before, next *cells.Log) {
	if len(c.fences) == 0 {
		return
	}
	last := c.fences[len(c.fences)-1]
	for name, d := range next.Departures {
		if d != before.Departures[name] && last.number >= w.formerFences[name].number {
			w.formerFences[name] = last
		}
	}
}

// countEntry adds an entry to the coverage.
func (w *cellsWorld) countEntry(c *cellState, e *cells.Entry) {
	switch e.Kind {
	case cells.Seal:
		w.coverage.Seals++
	case cells.ForgetDeparture:
		w.coverage.ForgottenDepartures++
	case cells.Join, cells.ExpectMember:
		if e.Certificate != nil {
			w.coverage.Moves++
			c.movedAt[e.Member.Name] = w.now
		}
	}
}

// entryText describes an entry for the trace.
func entryText(e *cells.Entry) string {
	switch e.Kind {
	case cells.UpdateDirectory:
		return fmt.Sprintf("directory update %v", e.Update.Version)
	case cells.Join:
		return fmt.Sprintf("join of %s#%d", e.Member.Name, e.Member.Incarnation)
	case cells.Evict:
		return fmt.Sprintf("eviction of %s#%d", e.Member.Name, e.Member.Incarnation)
	case cells.Depart:
		return "departure of " + e.Member.Name
	case cells.Seal:
		return "seal"
	case cells.ExpectMember:
		return "arrival, without its process, of " + e.Member.Name
	}
	return "deletion of the departures of " + e.Member.Name
}

// updateCell lets a cell request an update from a relay. If the update does not apply to its state, the cell requests a complete one.
func (w *cellsWorld) updateCell(c *cellState, relay int) {
	if c.partitioned {
		return
	}
	r := w.relays[relay]
	version := c.state().LastUpdate.Version
	u := r.UpdateFor(c.id, version, false)
	if u == nil && w.conf.Fault == cells.StaleUpdateAccepted || u != nil && !c.state().RecordMatches(u) {
		u = r.UpdateFor(c.id, version, true)
	}
	if u != nil {
		w.commit(c, cells.Entry{Kind: cells.UpdateDirectory, Update: u})
	}
}

// report sends the reports of a cell to the directory: its seal, and members that it has removed, that have arrived, or that it is ready for.
func (w *cellsWorld) report(c *cellState) {
	if c.partitioned {
		return
	}
	l, d := c.state(), w.directories[w.leader]
	p := d.Record(c.id)
	if p == nil {
		return
	}
	if l.Sealed && !p.Sealed && len(p.Successors) > 0 {
		w.propose(cells.Command{Kind: cells.Sealed, Cell: c.id, Epoch: l.Epoch})
		w.log("cell %d reports that it is sealed", c.id)
	}
	for _, s := range p.Slots {
		switch {
		case s.To == cells.RemovedID && !s.Removed && l.Departures[s.Name].MoveIndex == s.ToMoveIndex:
			w.propose(cells.Command{Kind: cells.Removed, Names: []string{s.Name}, Number: s.ToMoveIndex})
			w.removedAt[s.Name] = w.now
			w.log("cell %d reports that %s is removed", c.id, s.Name)
		case s.From == 0:
		case l.ArrivedMoves[s.Name] == s.MoveIndex:
			w.propose(cells.Command{Kind: cells.Arrived, Cell: c.id, Names: []string{s.Name}, Number: s.MoveIndex})
			w.log("cell %d reports that %s has arrived", c.id, s.Name)
		case l.LastUpdate.Version.Index >= s.MoveIndex && w.remainsIn(s.From, s.Name):
			w.propose(cells.Command{Kind: cells.Ready, Cell: c.id, At: l.LastUpdate.Version})
			w.log("cell %d reports that it is ready for %s", c.id, s.Name)
		}
	}
}

// remainsIn reports whether the directory has a slot for a member in a cell, without a destination of a move.
func (w *cellsWorld) remainsIn(id cells.ID, name string) bool {
	p := w.directories[w.leader].Record(id)
	return p != nil && p.Slot(name) != nil && p.Slot(name).To == 0
}

// join lets a process join its cell, or move to the cell that its certificate or the directory names.
func (w *cellsWorld) join(n int) {
	p := w.processes[n]
	c := w.cell(p.node.Cell)
	if c == nil { // the cell has been deleted
		w.reassign(p, 0)
		return
	}
	l := c.state()
	if l.IsMember(p.node.Self) {
		p.appliedIndex = len(c.log) - 1
		return
	}
	if slices.Contains(l.Evicted[p.name], p.node.Self.Incarnation) {
		if w.depart(p, c) {
			return
		}
		p.node.Rejoin(w.lastIncarnation)
	}
	if l.MayJoin(p.node.Self, p.node.Certificate) {
		if w.commit(c, cells.Entry{Kind: cells.Join, Member: p.node.Self, Certificate: p.node.Certificate}) {
			p.appliedIndex, p.node.Certificate = len(c.log)-1, nil
		}
		return
	}
	if l.Certificate(p.name) != nil { // the process has just started, or never joined this cell
		w.depart(p, c)
		return
	}
	s := l.LastUpdate.Record.Slot(p.name)
	switch {
	case s != nil && s.From != 0 && p.node.Certificate == nil:
		w.fetchCertificate(p, c, s)
	case s == nil && !c.partitioned:
		w.reassign(p, c.id)
	}
}

// depart moves a process, with a new incarnation, to the destination in the certificate of its cell. It returns false if there is no usable
// certificate.
func (w *cellsWorld) depart(p *cellProcess, c *cellState) bool {
	w.lastIncarnation++
	cert := c.state().Certificate(p.name)
	if cert == nil || !p.node.Depart(cert, w.lastIncarnation) {
		return false
	}
	p.appliedIndex = 0
	w.log("%s moves from cell %d to %d", p.name, c.id, p.node.Cell)
	return true
}

// fetchCertificate lets a process fetch its member's certificate from the former cell of the member.
func (w *cellsWorld) fetchCertificate(p *cellProcess, c *cellState, s *cells.MemberSlot) {
	former := w.cell(s.From)
	if former == nil || former.partitioned || c.partitioned {
		return
	}
	if cert := former.state().Certificate(p.name); cert != nil && cert.MoveIndex == s.MoveIndex {
		p.node.Certificate = cert
	}
}

// reassign lets a process request its cell from a relay, and move to that cell unless it is the excluded one.
func (w *cellsWorld) reassign(p *cellProcess, from cells.ID) {
	if id := w.relays[w.random.IntN(2)].AssignedCell(p.name); id != 0 && id != from && w.cell(id) != nil {
		w.lastIncarnation++
		p.node.Reassign(id, w.lastIncarnation)
		p.appliedIndex = 0
		w.log("%s is reassigned to cell %d", p.name, id)
	}
}

// expectMembers lets a cell's leader fetch the certificates of arriving members whose processes do not join.
func (w *cellsWorld) expectMembers(c *cellState) {
	for _, s := range c.state().LastUpdate.Record.Slots {
		if former := w.cell(s.From); s.From != 0 && former != nil && !former.partitioned && !c.partitioned {
			w.commit(c, cells.Entry{Kind: cells.ExpectMember, Member: takeover.Member{Name: s.Name}, Certificate: former.state().Certificate(s.Name)})
		}
	}
}

// forgetDepartures deletes the departures from a cell that no unexpired request can refer to.
func (w *cellsWorld) forgetDepartures(c *cellState) {
	for _, name := range cellMemberNames {
		at, ok := c.movedAt[name]
		if !ok || w.now-at < cellRetentionMicros {
			continue
		}
		forgotten := w.commit(c, cells.Entry{Kind: cells.ForgetDeparture, Member: takeover.Member{Name: name}})
		if forgotten && c.state().Departures[name].MoveIndex == 0 {
			delete(c.movedAt, name)
		}
	}
}

// applyLog lets a process apply its cell's log and adopt the settings in it.
func (w *cellsWorld) applyLog(n int) {
	p := w.processes[n]
	if c := w.cell(p.node.Cell); c != nil && c.state().IsMember(p.node.Self) {
		p.appliedIndex = len(c.log) - 1
		p.node.AdoptSettings(c.state().LastUpdate.Global.Settings)
	}
}
