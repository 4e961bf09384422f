package modelcheck

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"damsonscale/internal/takeover"
)

// move is a possible next transition of the model.
type move struct {
	name string
	do   func(*takeoverWorld)
}

// moveList collects possible next moves in a fixed order.
type moveList struct{ moves []move }

// add adds a move.
func (l *moveList) add(name string, do func(*takeoverWorld)) {
	l.moves = append(l.moves, move{name, do})
}

// addWithBudget adds a move if its budget is not exhausted. The move itself decrements the budget of the state in which it is made.
func (l *moveList) addWithBudget(left int, name string, do func(*takeoverWorld)) {
	if left > 0 {
		l.add(name, do)
	}
}

// moves returns all possible next moves in a fixed order.
func (w *takeoverWorld) moves() []move {
	l := &moveList{}
	w.networkMoves(l)
	for n, p := range w.processes {
		if p.up {
			w.requestMoves(l, n)
			w.processMoves(l, n)
		} else {
			l.addWithBudget(w.budget.Restarts, "restart "+p.self.Name, func(w *takeoverWorld) { w.budget.Restarts--; w.restart(n) })
		}
		w.leaseMoves(l, n)
	}
	return l.moves
}

// networkMoves adds the delivery, duplication and loss of each message in flight. Messages with equal effect count once.
func (w *takeoverWorld) networkMoves(l *moveList) {
	for i, m := range w.net {
		if slices.ContainsFunc(w.net[:i], func(o message) bool { return sameMessage(o, m) }) {
			continue
		}
		label := fmt.Sprintf("%s%d to %s: %s of %s, ballot %d, seq %d", m.from.Name, m.from.Incarnation, m.to, messageKindNames[m.body.Kind], m.body.ID,
			m.body.Ballot.Round, m.body.Seq)
		l.add("deliver "+label, func(w *takeoverWorld) { w.deliver(i, true) })
		l.addWithBudget(w.budget.Duplicates, "deliver and duplicate "+label, func(w *takeoverWorld) { w.budget.Duplicates--; w.deliver(i, false) })
		l.addWithBudget(w.budget.Losses, "lose "+label, func(w *takeoverWorld) { w.budget.Losses--; w.net = slices.Delete(w.net, i, i+1) })
	}
}

// messageKindNames are the names of message kinds in traces.
var messageKindNames = [...]string{
	takeover.Write: "write", takeover.Prepare: "prepare", takeover.Accepted: "accepted", takeover.Promised: "promised", takeover.OwnerAlive: "owner alive",
	takeover.HigherBallot: "higher ballot", takeover.SenderNotMember: "evicted", takeover.StaleEpoch: "stale epoch", takeover.ReplicaTooNew: "not yet a member",
	takeover.OutOfCapacity: "out of capacity", takeover.IDInUse: "id in use", takeover.RecordExpired: "record expired",
}

// sameMessage reports whether two messages have the same effect.
func sameMessage(a, b message) bool {
	return a.from == b.from && a.to == b.to && a.body.Kind == b.body.Kind && a.body.ID == b.body.ID && a.body.Ballot == b.body.Ballot &&
		reflect.DeepEqual(a.body, b.body)
}

// requestMoves adds attempts of clients at a process, and the next step of each attempt that the process makes at a server.
func (w *takeoverWorld) requestMoves(l *moveList, n int) {
	p := w.processes[n]
	for i, r := range w.requests {
		if r.attempts == 0 {
			l.addWithBudget(w.budget.Attempts, "at "+p.self.Name+": first attempt of "+requestID(i), func(w *takeoverWorld) { w.sendAttempt(n, i, false) })
		} else if !p.waitingClients[i] && len(r.answers) == 0 {
			l.addWithBudget(w.budget.Attempts, "at "+p.self.Name+": retry of "+requestID(i), func(w *takeoverWorld) { w.sendAttempt(n, i, true) })
		}
		a := p.attempts[i]
		if a == nil {
			continue
		}
		name := p.self.Name + " " + requestID(i)
		switch {
		case !a.leaseChecked:
			l.add("check lease for "+name, func(w *takeoverWorld) { w.checkLease(n, i) })
		case !a.sent:
			l.add("send "+name, func(w *takeoverWorld) { w.writeAttempt(n, i) })
		default:
			l.add("finish "+name, func(w *takeoverWorld) { w.finishAttempt(n, i) })
		}
	}
}

// processMoves adds crashes and ticks, and the application of log entries that a process has not applied.
func (w *takeoverWorld) processMoves(l *moveList, n int) {
	p := w.processes[n]
	name := p.self.Name
	l.addWithBudget(w.budget.Crashes, "crash "+name, func(w *takeoverWorld) { w.budget.Crashes--; w.processes[n].up = false; w.processes[n].node = nil })
	l.addWithBudget(w.budget.Ticks, "tick of "+name, func(w *takeoverWorld) { w.budget.Ticks--; w.tick(n, resendInterval) })
	l.addWithBudget(w.budget.QuorumTimeouts, "quorum timeout of "+name, func(w *takeoverWorld) { w.budget.QuorumTimeouts--; w.tick(n, quorumTimeout) })
	if p.epoch < len(w.log) {
		l.add("apply log at "+name, func(w *takeoverWorld) { w.applyLog(w.processes[n]) })
	}
}

// leaseMoves adds the expiry of a process's lease, or the eviction of a process without a lease.
func (w *takeoverWorld) leaseMoves(l *moveList, n int) {
	p := w.processes[n]
	if p.lease {
		l.addWithBudget(w.budget.LeaseExpiries, "lease of "+p.self.Name+" expires", func(w *takeoverWorld) { w.budget.LeaseExpiries--; w.processes[n].lease = false })
	} else if w.membershipAt(len(w.log)).Contains(p.self) {
		l.add("evict "+p.self.Name, func(w *takeoverWorld) { w.log = append(w.log, logEntry{w.processes[n].self, true}) })
	}
}

// checkLease marks an attempt as ready to be sent if its process holds a lease, or if the attempt has no record and needs no lease. The process may
// pause between the check and the write.
func (w *takeoverWorld) checkLease(n, i int) {
	p := w.processes[n]
	a := p.attempts[i]
	if a.owned && !p.lease && w.conf.Fault != takeover.IgnoreLease {
		delete(p.attempts, i)
		delete(p.waitingClients, i)
		return
	}
	a.leaseChecked = true
	if a.owned && !p.lease {
		w.recordViolation("%s sends %s without a lease", p.self.Name, requestID(i))
	}
}

// writeAttempt lets a server run a request. A request with a known idempotency key has no second effect.
func (w *takeoverWorld) writeAttempt(n, i int) {
	a, r := w.processes[n].attempts[i], w.requests[i]
	a.sent = true
	if r.idempotency != takeover.IdempotentByKey || r.runs == 0 {
		r.runs++
	}
	a.run = r.runs
	if a.owned {
		r.ownedRuns++
	}
	if r.idempotency == takeover.NotIdempotent && r.runs > 1 {
		w.recordViolation("%s runs twice", requestID(i))
	}
	if a.owned && slices.ContainsFunc(r.answers, func(answer string) bool { return strings.HasPrefix(answer, fmt.Sprint(takeover.Rejected)) }) {
		w.recordViolation("%s runs although it was rejected", requestID(i))
	}
}

// finishAttempt returns a server's answer to the client. For an owned request, a process without a lease drops the answer.
func (w *takeoverWorld) finishAttempt(n, i int) {
	p := w.processes[n]
	a := p.attempts[i]
	delete(p.attempts, i)
	if a.owned && !p.lease {
		delete(p.waitingClients, i)
		return
	}
	response := takeover.Response{Status: takeover.Served, Body: []byte{byte(a.run)}}
	if a.owned {
		p.node.Complete(p.now, requestID(i), response)
	}
	w.answerClient(p, i, response)
	w.processOutput(p)
}
