package modelcheck

import (
	"fmt"
	"slices"

	"damsonscale/internal/cells"
)

// event is a possible next transition of the model.
type event struct {
	name string
	do   func()
}

// eventList collects possible next events.
type eventList struct{ events []event }

// add adds an event.
func (l *eventList) add(name string, do func()) { l.events = append(l.events, event{name, do}) }

// addWithBudget adds an event if its budget is not exhausted. The event decrements the budget.
func (l *eventList) addWithBudget(left *int, name string, do func()) {
	if *left > 0 {
		l.add(name, func() { *left--; do() })
	}
}

// events chooses a random kind of event and returns the possible events of this kind. The cases give the weights of the kinds, out of 20.
func (w *cellsWorld) events() []event {
	l := &eventList{}
	switch k := w.random.IntN(20); {
	case k < 4:
		w.clientEvents(l)
	case k < 9:
		w.processEvents(l)
	case k < 10:
		l.add("most processes renew their leases", w.renewLeases)
	case k < 11:
		w.leaseEvents(l)
	case k < 13:
		w.membershipEvents(l)
	case k < 15:
		w.cellEvents(l)
	case k < 17:
		w.directoryEvents(l)
	case k < 18:
		l.addWithBudget(&w.budget.Commands, "random command", w.randomCommand)
	case k < 19:
		w.timeEvents(l)
	default:
		w.faultEvents(l)
	}
	return l.events
}

// clientEvents adds first attempts and retries of clients.
func (w *cellsWorld) clientEvents(l *eventList) {
	for r, q := range w.requests {
		if q.answered || q.firstSentAt >= 0 && w.expired(q) || w.budget.Attempts == 0 {
			continue
		}
		for n, p := range w.processes {
			switch {
			case !p.up:
			case q.firstSentAt < 0 && w.random.IntN(4) > 0: // spreads the first attempts over the walk
			case q.firstSentAt < 0:
				l.add(fmt.Sprintf("client sends r%[2]d to %[1]s", p.name, r), func() {
					w.budget.Attempts--
					q.firstSentAt, q.firstMember = w.now, p.name
					p.unread = append(p.unread, r)
				})
			default:
				l.add(fmt.Sprintf("client retries r%[2]d at %[1]s", p.name, r), func() { w.budget.Attempts--; w.retryAttempt(n, r) })
			}
		}
	}
}

// processEvents adds the steps of processes that handle requests.
func (w *cellsWorld) processEvents(l *eventList) {
	for n, p := range w.processes {
		if !p.up {
			continue
		}
		if len(p.unread) > 0 && w.random.IntN(4) == 0 {
			l.add(p.name+" reads an attempt", func() { w.readAttempt(n) })
		}
		for k := range p.lookups {
			l.add(fmt.Sprintf("%s advances its lookup of r%d", p.name, p.lookups[k].request), func() { w.advanceLookup(n, k) })
		}
		for k := range p.attempts {
			l.add(fmt.Sprintf("%s advances its attempt of r%d", p.name, p.attempts[k].request), func() { w.advanceAttempt(n, k) })
		}
	}
}

// leaseEvents adds the individual steps of lease requests.
func (w *cellsWorld) leaseEvents(l *eventList) {
	for n, p := range w.processes {
		if p.up && len(w.leaseRequests) < 4 {
			for node := range 2 {
				l.add(fmt.Sprintf("%s requests a lease from node %d", p.name, node), func() { w.requestLease(n, node) })
			}
		}
	}
	for i := range w.leaseRequests {
		label := "lease request of " + w.processes[w.leaseRequests[i].process].name
		l.add(label+" is confirmed", func() { w.confirmLeader(i) })
		l.add(label+" is answered", func() { w.answerLease(i) })
		l.add(label+" completes", func() { w.deliverLease(i) })
	}
}

// membershipEvents adds processes that join their cell or apply its log.
func (w *cellsWorld) membershipEvents(l *eventList) {
	for n, p := range w.processes {
		if p.up {
			l.add(p.name+" joins", func() { w.join(n) })
			l.add(p.name+" applies the log", func() { w.applyLog(n) })
		}
	}
}

// cellEvents adds the steps of the leaders of cells.
func (w *cellsWorld) cellEvents(l *eventList) {
	for _, c := range w.cells {
		l.add(fmt.Sprintf("cell %d proposes due entries", c.id), func() { w.proposeDue(c); w.forgetDepartures(c) })
		if w.random.IntN(4) == 0 {
			l.add(fmt.Sprintf("cell %d requests certificates", c.id), func() { w.expectMembers(c) })
		}
		l.add(fmt.Sprintf("cell %d requests an update", c.id), func() { w.updateCell(c, w.random.IntN(2)) })
		l.add(fmt.Sprintf("cell %d reports to the directory", c.id), func() { w.report(c) })
	}
}

// directoryEvents adds the steps of relays and of nodes of the directory.
func (w *cellsWorld) directoryEvents(l *eventList) {
	l.add("directory, relays and cells synchronize", w.syncRound)
	for r := range w.relays {
		for d := range w.directories {
			l.add(fmt.Sprintf("relay %d pulls from node %d", r, d), func() { w.pullDelta(r, d, false) })
			l.addWithBudget(&w.budget.CorruptDeltas, fmt.Sprintf("relay %d pulls from node %d, a record is lost", r, d), func() { w.pullDelta(r, d, true) })
		}
	}
	l.add("the follower of the directory catches up", func() { w.applyCommands(1 - w.leader) })
	l.add("the directory deletes expired entries", w.forgetInDirectory)
}

// timeEvents adds a tick, and a period of four ticks in which all processes but at most one renew their leases.
func (w *cellsWorld) timeEvents(l *eventList) {
	l.addWithBudget(&w.budget.Ticks, "tick", func() { w.now += cellTickMicros })
	if w.random.IntN(3) > 0 {
		return
	}
	l.addWithBudget(&w.budget.Ticks, "four ticks with lease renewals only", func() {
		silent := w.random.IntN(2 * len(w.processes))
		for range 4 {
			for n, p := range w.processes {
				if p.up && n != silent {
					w.renewLease(n)
				}
			}
			w.now += cellTickMicros
			w.checkInvariants()
		}
	})
}

// faultEvents adds crashes, duplicate processes, partitions and leader changes, or only the end of a partition.
func (w *cellsWorld) faultEvents(l *eventList) {
	if w.random.IntN(2) == 0 {
		if i := slices.IndexFunc(w.cells, func(c *cellState) bool { return c.partitioned }); i >= 0 {
			c := w.cells[i]
			l.add(fmt.Sprintf("the partition of cell %d ends", c.id), func() { c.partitioned = false })
			return
		}
	}
	for n, p := range w.processes {
		if !p.up {
			l.add("start "+p.name, func() { w.restart(n) })
			continue
		}
		l.addWithBudget(&w.budget.Crashes, "kill "+p.name, func() { w.kill(n) })
		l.addWithBudget(&w.budget.Duplicates, "second process of "+p.name, func() { // the first process keeps running, as after a pause
			w.processes = append(w.processes, w.newIncarnation(p))
		})
	}
	for _, c := range w.cells {
		if !c.partitioned {
			l.addWithBudget(&w.budget.Partitions, fmt.Sprintf("cell %d is partitioned", c.id), func() { c.partitioned = true })
		}
		l.addWithBudget(&w.budget.LeaderChanges, fmt.Sprintf("leader of cell %d changes", c.id), func() { w.changeLeader(c) })
	}
	l.addWithBudget(&w.budget.LeaderChanges, "leader of the directory changes", func() {
		w.leader, w.term, w.leaderChanged = 1-w.leader, w.term+1, true
		w.applyCommands(w.leader)
	})
}

// changeLeader makes the other node of a cell its leader, with an empty lease table.
func (w *cellsWorld) changeLeader(c *cellState) {
	c.leader = 1 - c.leader
	c.leaseTables[c.leader] = cells.NewLeaseTable(cellLeaseMicros, w.conf.Fault)
}
