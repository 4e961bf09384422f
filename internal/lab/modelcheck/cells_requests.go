package modelcheck

import (
	"slices"

	"damsonscale/internal/cells"
	"damsonscale/internal/takeover"
)

// readAttempt lets a process read a first attempt from a socket, after any delay.
func (w *cellsWorld) readAttempt(n int) {
	p := w.processes[n]
	r := p.unread[0]
	p.unread = p.unread[1:]
	c := w.cell(p.node.Cell)
	q := w.requests[r]
	if c == nil || !p.node.LeaseValid(w.now) || !c.state().IsMember(p.node.Self) || q.answered || w.expired(q) {
		return // a process without a lease does not answer: the client retries at another member
	}
	w.log("%s reads the first attempt of r%d", p.name, r)
	switch {
	case len(c.state().FormerCells[p.name]) > 0 && w.conf.Fault != cells.FirstAttemptUnchecked:
		p.lookups = append(p.lookups, &cellLookup{request: r}) // the client may have sent a retry to the former cell
	case c.records[r] != nil:
		p.lookups = append(p.lookups, &cellLookup{request: r, route: cells.NewLocalLookup(p.name, c.id)})
	default:
		w.startRequest(c, p, r)
	}
}

// retryAttempt lets a client send a retry to a process. The retry names the member that received the first attempt.
func (w *cellsWorld) retryAttempt(n, r int) {
	p := w.processes[n]
	c := w.cell(p.node.Cell)
	underway := slices.ContainsFunc(p.lookups, func(l *cellLookup) bool { return l.request == r })
	if c == nil || !c.state().IsMember(p.node.Self) || underway {
		return
	}
	p.lookups = append(p.lookups, &cellLookup{request: r})
}

// startRequest records a member of a cell as the owner of a request and starts an attempt.
func (w *cellsWorld) startRequest(c *cellState, p *cellProcess, r int) {
	c.records[r] = &requestRecord{owner: p.node.Self}
	w.requests[r].started = true
	p.attempts = append(p.attempts, &cellAttempt{request: r, cell: c.id, owner: p.node.Self})
	w.log("%s#%d starts r%d in cell %d", p.name, p.node.Self.Incarnation, r, c.id)
}

// expired reports whether a request's deadline has passed.
func (w *cellsWorld) expired(q *cellRequest) bool { return w.now-q.firstSentAt >= cellDeadlineMicros }

// actingMember returns a reachable process of a cell with a valid lease, preferably the asking process, or nil.
func (w *cellsWorld) actingMember(c *cellState, asking *cellProcess) *cellProcess {
	mayAct := func(p *cellProcess) bool {
		return p.up && p.node.Cell == c.id && c.state().IsMember(p.node.Self) && p.node.LeaseValid(w.now)
	}
	if mayAct(asking) {
		return asking
	}
	if own := w.cell(asking.node.Cell); c.partitioned || own != nil && own.partitioned {
		return nil
	}
	for _, p := range w.processes {
		if mayAct(p) {
			return p
		}
	}
	return nil
}

// advanceLookup performs the next step of a lookup.
func (w *cellsWorld) advanceLookup(n, k int) {
	p := w.processes[n]
	l := p.lookups[k]
	q := w.requests[l.request]
	own := w.cell(p.node.Cell)
	if q.answered || w.expired(q) || own == nil || !own.state().IsMember(p.node.Self) {
		p.endLookup(l)
		return
	}
	if l.route == nil {
		w.beginLookup(p, l, own)
	}
	c := w.cell(l.route.Cell)
	if c == nil && l.route.CellForgotten() == cells.Forward {
		return
	}
	if l.hops++; c == nil || l.hops > cellMaxHops || c != own && (c.partitioned || own.partitioned) {
		w.failLookup(p, l)
		return
	}
	switch l.route.Next(c.state()) {
	case cells.SearchHere:
		w.searchRecords(c, p, l)
	case cells.Unknown:
		w.failLookup(p, l)
	}
}

// endLookup removes a lookup from its process.
func (p *cellProcess) endLookup(l *cellLookup) {
	p.lookups = slices.DeleteFunc(p.lookups, func(o *cellLookup) bool { return o == l })
}

// beginLookup starts a lookup at the process's own cell or, if that cell does not know the member, at the cell that a relay returns.
func (w *cellsWorld) beginLookup(p *cellProcess, l *cellLookup, own *cellState) {
	firstMember := w.requests[l.request].firstMember
	l.route = cells.NewLookup(firstMember, own.id)
	if _, ok := own.log[p.appliedIndex].LookupStart(firstMember); ok {
		return
	}
	p.appliedIndex = len(own.log) - 1
	if _, ok := own.state().LookupStart(firstMember); !ok && !own.partitioned {
		l.route.Cell = w.relays[w.random.IntN(2)].CurrentCell(firstMember)
	}
}

// failLookup ends a lookup that no cell can answer. A request that is idempotent by key runs again, within the retention of its key; any other
// request fails.
func (w *cellsWorld) failLookup(p *cellProcess, l *cellLookup) {
	q := w.requests[l.request]
	w.coverage.Unknown++
	p.endLookup(l)
	if !w.mayBeUnreachable() && !w.firstMemberRemoved(q) {
		w.recordViolation("the outcome of r%d is unknown, although all cells are reachable", l.request)
	}
	if q.idempotency == takeover.IdempotentByKey {
		p.attempts = append(p.attempts, &cellAttempt{request: l.request, owner: p.node.Self})
		return
	}
	w.answerClient(l.request, 0)
}

// searchRecords continues a lookup according to a cell's record of the request.
func (w *cellsWorld) searchRecords(c *cellState, p *cellProcess, l *cellLookup) {
	record, state := c.records[l.request], c.state()
	switch {
	case record == nil:
		w.handleMissingRecord(c, p, l)
	case record.assignedTo != 0:
		l.route, l.transferred = cells.NewLocalLookup(w.requests[l.request].firstMember, record.assignedTo), record.transferred
	case record.answer != 0:
		p.endLookup(l)
		w.answerClient(l.request, record.answer)
	case record.failed:
		p.endLookup(l)
		w.answerClient(l.request, 0)
	case state.Sealed:
		w.coverage.Transferred++
		record.transferred = &requestRecord{owner: record.owner}
		record.assignedTo = state.Successor(record.owner.Name)
		w.log("r%d of %s is transferred from cell %d to %d", l.request, record.owner.Name, c.id, record.assignedTo)
	case state.IsMember(record.owner):
		l.hops-- // no hop is used while the lookup waits for the owner
	default:
		w.takeOver(c, p, l)
	}
}

// handleMissingRecord continues a lookup at a cell that has no record of the request.
func (w *cellsWorld) handleMissingRecord(c *cellState, p *cellProcess, l *cellLookup) {
	switch {
	case l.transferred == nil:
		w.handleUnknownRequest(c, p, l)
	case c.state().Sealed:
		c.records[l.request] = &requestRecord{assignedTo: c.state().Successor(l.transferred.owner.Name), transferred: l.transferred}
	default:
		w.takeOver(c, p, l)
	}
}

// handleUnknownRequest continues a lookup of a request that the cell has no record of and that no other cell has transferred.
func (w *cellsWorld) handleUnknownRequest(c *cellState, p *cellProcess, l *cellLookup) {
	switch step, assign := l.route.NotFound(c.state()); {
	case step == cells.Unknown:
		w.failLookup(p, l)
	case step == cells.Forward && assign:
		w.coverage.Assigned++
		c.records[l.request] = &requestRecord{assignedTo: l.route.Cell}
		w.log("r%d was never started in cell %d: it is assigned to cell %d", l.request, c.id, l.route.Cell)
	case step == cells.SearchHere:
		w.takeOver(c, p, l)
	}
}

// takeOver lets a member of a cell take over a request. The member starts the request unless a former owner may have sent it and it is not
// idempotent: then the request fails.
func (w *cellsWorld) takeOver(c *cellState, p *cellProcess, l *cellLookup) {
	member := w.actingMember(c, p)
	if member == nil {
		l.hops--
		return
	}
	mayHaveRun := c.records[l.request] != nil || l.transferred != nil
	if mayHaveRun && w.requests[l.request].idempotency == takeover.NotIdempotent {
		c.records[l.request] = &requestRecord{failed: true}
		w.log("%s decides that r%d may have run", member.name, l.request)
		return
	}
	w.startRequest(c, member, l.request)
}

// mayBeUnreachable reports whether a cell may be partitioned or a process down, so that a lookup may fail.
func (w *cellsWorld) mayBeUnreachable() bool {
	return !w.settling || slices.ContainsFunc(w.cells, func(c *cellState) bool { return c.partitioned })
}

// firstMemberRemoved reports whether the member that received the first attempt of a request has been removed since: its cell may then be unknown.
func (w *cellsWorld) firstMemberRemoved(q *cellRequest) bool {
	if at, ok := w.reassignedAt[q.firstMember]; ok && at >= q.firstSentAt {
		return true
	}
	d := w.directories[w.leader]
	p := d.Record(d.CellOf(q.firstMember))
	return p == nil || p.Slot(q.firstMember).Removed
}

// advanceAttempt performs the next step of an attempt: check the lease, send, or finish.
func (w *cellsWorld) advanceAttempt(n, k int) {
	p := w.processes[n]
	switch a := p.attempts[k]; {
	case !a.leaseChecked:
		w.checkLease(p, k)
	case !a.sent:
		w.send(p, a)
	default:
		w.finish(p, k)
	}
}

// removeAttempt removes an attempt.
func (p *cellProcess) removeAttempt(k int) { p.attempts = slices.Delete(p.attempts, k, k+1) }

// checkLease marks an attempt as ready to be sent if its process holds a lease, or if the attempt has no record and needs no lease.
func (w *cellsWorld) checkLease(p *cellProcess, k int) {
	a := p.attempts[k]
	owned := a.cell != 0
	switch {
	case owned && a.owner != p.node.Self || !owned && w.requests[a.request].answered:
		p.removeAttempt(k)
	case owned && !p.node.LeaseValid(w.now): // the process may still renew its lease
	default:
		a.leaseChecked = true
	}
}

// send lets a server run a request. A request with a known idempotency key has no second effect.
func (w *cellsWorld) send(p *cellProcess, a *cellAttempt) {
	q := w.requests[a.request]
	a.sent = true
	if q.idempotency != takeover.IdempotentByKey || q.runs == 0 {
		q.runs++
	}
	a.run = q.runs
	w.log("%s sends r%d to a server", p.name, a.request)
	if q.idempotency == takeover.NotIdempotent && q.runs > 1 {
		w.recordViolation("r%d runs twice", a.request)
	}
}

// finish returns a server's answer to the client. For an owned request, it first records the answer, and drops it if the process is no longer
// the owner.
func (w *cellsWorld) finish(p *cellProcess, k int) {
	a := p.attempts[k]
	if a.cell == 0 {
		p.removeAttempt(k)
		w.answerClient(a.request, a.run)
		return
	}
	c := w.cell(a.cell)
	owner := a.owner == p.node.Self && c != nil
	if owner && !p.node.LeaseValid(w.now) {
		return
	}
	p.removeAttempt(k)
	if !owner {
		return
	}
	record := c.records[a.request]
	if record == nil || record.owner != a.owner || record.assignedTo != 0 || record.failed || !c.state().IsMember(a.owner) {
		return
	}
	record.answer = a.run
	w.answerClient(a.request, a.run)
}

// answerClient gives a client the answer of a run; run 0 stands for a failure, after which the request may or may not have run.
func (w *cellsWorld) answerClient(r, run int) {
	q := w.requests[r]
	w.log("client of r%d receives the answer of run %d", r, run)
	if run == 0 && !q.started && w.settling && !w.firstMemberRemoved(q) {
		w.recordViolation("r%d fails although no member ever started it", r)
	}
	if run != 0 && q.servedRun != 0 && q.servedRun != run {
		w.recordViolation("two different answers to r%d", r)
	}
	if run != 0 {
		q.servedRun = run
		w.coverage.Answers++
	} else {
		w.coverage.Failed++
	}
	q.answered = true
}
