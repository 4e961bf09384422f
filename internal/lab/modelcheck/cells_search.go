package modelcheck

// Coverage counts the events and outcomes of random walks through the model of cells. A search shows nothing about an event that never occurred.
type Coverage struct {
	Moves               int // members that arrived in a cell with a certificate
	Seals               int // sealed cells
	Fences              int // fences that a cell committed
	ForgottenDepartures int // deletions of a member's departures from a cell
	ForgottenCells      int // deleted cells
	Assigned            int // requests that a cell without a record of them assigned to another cell
	Transferred         int // records that a sealed cell transferred to its successor
	Answers             int // answers of servers that clients received
	Failed              int // failures that clients received
	Unknown             int // lookups that no cell could answer
	CompleteDeltas      int // complete deltas that a relay pulled although it already had a version
}

// Add returns the sum of two coverages.
func (c Coverage) Add(o Coverage) Coverage {
	return Coverage{
		Moves: c.Moves + o.Moves, Seals: c.Seals + o.Seals, Fences: c.Fences + o.Fences,
		ForgottenDepartures: c.ForgottenDepartures + o.ForgottenDepartures, ForgottenCells: c.ForgottenCells + o.ForgottenCells,
		Assigned: c.Assigned + o.Assigned, Transferred: c.Transferred + o.Transferred, Answers: c.Answers + o.Answers, Failed: c.Failed + o.Failed,
		Unknown: c.Unknown + o.Unknown, CompleteDeltas: c.CompleteDeltas + o.CompleteDeltas,
	}
}

// RandomWalkCells performs at most the given number of random steps from a seed, then ends all faults and checks that the model converges.
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

// settle ends all faults and all second processes of members, runs rounds without faults, and checks that the model converges: all members are in their cells with a lease and the newest
// settings, and each request that was first sent at most one tick before has an answer.
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
		w.recordViolation("%d rounds after the faults ended: %s", cellSettleRounds, reason)
	}
	for _, r := range open {
		if !w.requests[r].answered {
			w.recordViolation("r%d has no answer %d rounds after the faults ended", r, cellSettleRounds)
		}
	}
}

// settleDirectory restarts processes that are down, synchronizes the directory, and deletes its expired entries. When no removed member waits
// for deletion any more, it assigns members without a cell to open cells.
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

// settleCells lets cells commit due entries, and processes join, renew their leases and read first attempts.
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

// settleRequests advances all lookups and attempts by eight steps, and sends a retry for each unanswered request that
// a client has sent and whose deadline has not passed.
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
