package modelcheck

import (
	"fmt"
	"slices"

	"damsonscale/internal/cells"
	"damsonscale/internal/takeover"
)

// agree appends an entry to a cell's log, and reports whether it changed anything.
func (w *cellsWorld) agree(c *cellState, e cells.Entry) bool {
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
		c.fences = append(c.fences, agreedFence{fence, w.now})
		w.coverage.Fences++
	}
	for name := range next.Departures {
		if next.Departures[name] != before.Departures[name] {
			c.movedAt[name] = w.now
		}
	}
	w.countEntry(c, &e)
	w.log("cell %d agrees on %s", c.id, entryText(&e))
	return true
}

// recordFormerFences notes the fence that still counts for members that depart.
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

// countEntry counts an entry for the run's coverage.
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
		return fmt.Sprintf("update %v of the directory", e.Update.Version)
	case cells.Join:
		return fmt.Sprintf("join of %s#%d", e.Member.Name, e.Member.Incarnation)
	case cells.Evict:
		return fmt.Sprintf("eviction of %s#%d", e.Member.Name, e.Member.Incarnation)
	case cells.Depart:
		return "departure of " + e.Member.Name
	case cells.Seal:
		return "seal"
	case cells.ExpectMember:
		return "arrival without a process of " + e.Member.Name
	}
	return "forgetting departures of " + e.Member.Name
}

// updateCell has a cell ask a relay for an update.
func (w *cellsWorld) updateCell(c *cellState, relay int) {
	if c.partitioned {
		return
	}
	r := w.relays[relay]
	has := c.state().LastUpdate.Version
	u := r.UpdateFor(c.id, has, false)
	if u == nil && w.conf.Fault == cells.StaleUpdateAccepted || u != nil && !c.state().Matches(u) {
		u = r.UpdateFor(c.id, has, true)
	}
	if u != nil {
		w.agree(c, cells.Entry{Kind: cells.UpdateDirectory, Update: u})
	}
}

// report has a cell report to the directory: its seal, and members that it has let go, that have arrived, or that it expects.
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
		w.log("cell %d reports its seal", c.id)
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
			w.log("cell %d is ready for %s", c.id, s.Name)
		}
	}
}

// remainsIn reports whether by the directory a member has a slot in a cell and is not to leave it yet.
func (w *cellsWorld) remainsIn(id cells.ID, name string) bool {
	p := w.directories[w.leader].Record(id)
	return p != nil && p.Slot(name) != nil && p.Slot(name).To == 0
}

// join has a process join its cell, or go where the cell or the directory sends it.
func (w *cellsWorld) join(n int) {
	p := w.processes[n]
	c := w.cell(p.node.Cell)
	if c == nil { // forgotten
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
		if w.agree(c, cells.Entry{Kind: cells.Join, Member: p.node.Self, Certificate: p.node.Certificate}) {
			p.appliedIndex, p.node.Certificate = len(c.log)-1, nil
		}
		return
	}
	if l.Certificate(p.name) != nil { // of a process that has just started, or never joined here
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

// depart has a process depart with the certificate of its cell as another incarnation, and reports whether there is one.
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

// fetchCertificate has a process ask the cell that its member comes from for its certificate.
func (w *cellsWorld) fetchCertificate(p *cellProcess, c *cellState, s *cells.MemberSlot) {
	former := w.cell(s.From)
	if former == nil || former.partitioned || c.partitioned {
		return
	}
	if cert := former.state().Certificate(p.name); cert != nil && cert.MoveIndex == s.MoveIndex {
		p.node.Certificate = cert
	}
}

// reassign has a process ask a relay for its cell, and go there unless it is the one that it came from.
func (w *cellsWorld) reassign(p *cellProcess, from cells.ID) {
	if id := w.relays[w.random.IntN(2)].AssignedCell(p.name); id != 0 && id != from && w.cell(id) != nil {
		w.lastIncarnation++
		p.node.Reassign(id, w.lastIncarnation)
		p.appliedIndex = 0
		w.log("%s asks at cell %d", p.name, id)
	}
}

// expectMembers has a cell's leader fetch certificates for members whose processes do not come.
func (w *cellsWorld) expectMembers(c *cellState) {
	for _, s := range c.state().LastUpdate.Record.Slots {
		if former := w.cell(s.From); s.From != 0 && former != nil && !former.partitioned && !c.partitioned {
			w.agree(c, cells.Entry{Kind: cells.ExpectMember, Member: takeover.Member{Name: s.Name}, Certificate: former.state().Certificate(s.Name)})
		}
	}
}

// forgetDepartures has a cell forget moves that are too old to be asked for.
func (w *cellsWorld) forgetDepartures(c *cellState) {
	for _, name := range cellMemberNames {
		at, ok := c.movedAt[name]
		if !ok || w.now-at < cellRetentionMicros {
			continue
		}
		forgotten := w.agree(c, cells.Entry{Kind: cells.ForgetDeparture, Member: takeover.Member{Name: name}})
		if forgotten && c.state().Departures[name].MoveIndex == 0 {
			delete(c.movedAt, name)
		}
	}
}

// applyLog has a process apply its cell's log, and adopt the settings that it names.
func (w *cellsWorld) applyLog(n int) {
	p := w.processes[n]
	if c := w.cell(p.node.Cell); c != nil && c.state().IsMember(p.node.Self) {
		p.appliedIndex = len(c.log) - 1
		p.node.Adopt(c.state().LastUpdate.Global.Settings)
	}
}
