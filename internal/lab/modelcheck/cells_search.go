package modelcheck

// Coverage counts what happened in runs through cells: a search in which something never happened shows nothing about it.
type Coverage struct {
	Moves, Seals, Fences, ForgottenDepartures, ForgottenCells, Assigned, Transferred, Answers, Failed, Unknown, CompleteDeltas int
}

// Add returns the sum of two.
func (c Coverage) Add(o Coverage) Coverage {
	return Coverage{
		Moves: c.Moves + o.Moves, Seals: c.Seals + o.Seals, Fences: c.Fences + o.Fences,
		ForgottenDepartures: c.ForgottenDepartures + o.ForgottenDepartures, ForgottenCells: c.ForgottenCells + o.ForgottenCells,
		Assigned: c.Assigned + o.Assigned, Transferred: c.Transferred + o.Transferred, Answers: c.Answers + o.Answers, Failed: c.Failed + o.Failed,
		Unknown: c.Unknown + o.Unknown, CompleteDeltas: c.CompleteDeltas + o.CompleteDeltas,
	}
}

// RandomWalkCells runs random events from a seed, at most so many, then ends all faults and checks that the world settles.
func RandomWalkCells(c CellsConfig, seed uint64, steps int) Result {
	w := newCellsWorld(&c, seed)
	result := Result{}
	for n := 0; n < steps && w.violation == ""; n++ {
		events := w.events()
		if len(events) == 0 {
			continue
		}
		e := events[w.random.IntN(len(events))]
		w.trace = append(w.trace, e.name)
		e.do()
		w.checkInvariants()
		result.States++
	}
	if w.violation == "" {
		w.settle()
	}
	result.Coverage = w.coverage
	if result.Violation = w.violation; result.Violation != "" {
		result.Trace = w.trace
	}
	return result
}

// settle ends all faults and runs rounds without any, and checks that the world comes to rest: all members in their cells with a lease, on the newest
// settings, and no request of the last tick lost.
func (w *cellsWorld) settle() {
	w.settling, w.leaseRequests = true, nil
	w.log("all faults end")
	for _, c := range w.cells {
		c.partitioned = false
	}
	w.processes = w.processes[:len(cellMemberNames)]
	var open []int
	for r, q := range w.requests {
		if q.firstSentAt >= 0 && !q.answered && w.now-q.firstSentAt <= cellTickMicros {
			open = append(open, r)
		}
	}
	for range cellSettleRounds {
		w.settleDirectory()
		w.settleCells()
		w.settleRequests()
		w.now += cellTickMicros
		if w.checkInvariants(); w.violation != "" || w.unsettled() == "" && w.answered(open) {
			return
		}
	}
	if reason := w.unsettled(); reason != "" {
		w.recordViolation("%d rounds after all was mended %s", cellSettleRounds, reason)
	}
	for _, r := range open {
		if !w.requests[r].answered {
			w.recordViolation("r%d is lost", r)
		}
	}
}

// settleDirectory starts processes that are down, brings the directory up to date, and assigns members that were removed.
func (w *cellsWorld) settleDirectory() {
	for n, p := range w.processes {
		if !p.up {
			w.restart(n)
		}
	}
	w.applyCommands(1 - w.leader)
	w.syncRound()
	w.forgetInDirectory()
	if len(w.removedAt) == 0 {
		for _, id := range w.openCells() {
			w.assignRemoved(id)
		}
	}
}

// settleCells has cells carry out what is due, and processes join and renew their leases.
func (w *cellsWorld) settleCells() {
	for _, c := range w.cells {
		c.applied = [2]int{len(c.log) - 1, len(c.log) - 1}
		w.proposeDue(c)
		w.forgetDepartures(c)
	}
	for n, p := range w.processes {
		w.join(n)
		w.applyLog(n)
		w.renewLease(n)
		for len(p.unread) > 0 {
			w.readAttempt(n)
		}
	}
}

// settleRequests takes all requests some steps on, and has clients ask again.
func (w *cellsWorld) settleRequests() {
	for range 8 {
		for n, p := range w.processes {
			for k := len(p.lookups) - 1; k >= 0; k-- {
				w.advanceLookup(n, k)
			}
			for k := len(p.attempts) - 1; k >= 0; k-- {
				w.advanceAttempt(n, k)
			}
		}
	}
	for r, q := range w.requests {
		if q.firstSentAt >= 0 && !q.answered && !w.expired(q) {
			w.retryAttempt(w.random.IntN(len(w.processes)), r)
		}
	}
}
