package modelcheck

import (
	"fmt"
	"slices"

	"damsonscale/internal/cells"
)

// event is one thing that may happen next.
type event struct {
	name string
	do   func()
}

// eventList collects the events that may happen next.
type eventList struct{ events []event }

// add adds an event.
func (l *eventList) add(name string, do func()) { l.events = append(l.events, event{name, do}) }

// addWithBudget adds an event that takes one from a budget, if there is any left.
func (l *eventList) addWithBudget(left *int, name string, do func()) {
	if *left > 0 {
		l.add(name, func() { *left--; do() })
	}
}

// events draws a kind of event and returns those of it that may happen. Of twenty draws each kind has the share that its case names.
func (w *cellsWorld) events() []event {
	l := &eventList{}
	switch k := w.random.IntN(20); {
	case k < 4:
		w.clientEvents(l)
	case k < 9:
		w.processEvents(l)
	case k < 10:
		l.add("a round of leases", w.renewLeases)
	case k < 11:
		w.leaseEvents(l)
	case k < 13:
		w.membershipEvents(l)
	case k < 15:
		w.cellEvents(l)
	case k < 17:
		w.directoryEvents(l)
	case k < 18:
		l.addWithBudget(&w.budget.Commands, "a command", w.randomCommand)
	case k < 19:
		w.timeEvents(l)
	default:
		w.faultEvents(l)
	}
	return l.events
}

// clientEvents adds the attempts of clients.
func (w *cellsWorld) clientEvents(l *eventList) {
	for r, q := range w.requests {
		if q.answered || q.firstSentAt >= 0 && w.expired(q) || w.budget.Attempts == 0 {
			continue
		}
		for n, p := range w.processes {
			switch {
			case !p.up:
			case q.firstSentAt < 0 && w.random.IntN(4) > 0: // not all at once
			case q.firstSentAt < 0:
				l.add(fmt.Sprintf("client asks %s for r%d", p.name, r), func() {
					w.budget.Attempts--
					q.firstSentAt, q.firstMember = w.now, p.name
					p.unread = append(p.unread, r)
				})
			default:
				l.add(fmt.Sprintf("client asks %s again for r%d", p.name, r), func() { w.budget.Attempts--; w.retryAttempt(n, r) })
			}
		}
	}
}

// processEvents adds what processes may do with requests.
func (w *cellsWorld) processEvents(l *eventList) {
	for n, p := range w.processes {
		if !p.up {
			continue
		}
		if len(p.unread) > 0 && w.random.IntN(4) == 0 {
			l.add(p.name+" reads an attempt", func() { w.readAttempt(n) })
		}
		for k := range p.lookups {
			l.add(fmt.Sprintf("%s looks up r%d", p.name, p.lookups[k].request), func() { w.advanceLookup(n, k) })
		}
		for k := range p.attempts {
			l.add(fmt.Sprintf("%s works on r%d", p.name, p.attempts[k].request), func() { w.advanceAttempt(n, k) })
		}
	}
}

// leaseEvents adds the steps of lease requests, one by one.
func (w *cellsWorld) leaseEvents(l *eventList) {
	for n, p := range w.processes {
		if p.up && len(w.leaseRequests) < 4 {
			for leader := range 2 {
				l.add(fmt.Sprintf("%s requests a lease of leader %d", p.name, leader), func() { w.requestLease(n, leader) })
			}
		}
	}
	for i := range w.leaseRequests {
		what := "lease request of " + w.processes[w.leaseRequests[i].process].name
		l.add(what+" is confirmed", func() { w.confirmLeader(i) })
		l.add(what+" is answered", func() { w.answerLease(i) })
		l.add(what+" comes back", func() { w.deliverLease(i) })
	}
}

// membershipEvents adds processes that join, and that learn their cell's log.
func (w *cellsWorld) membershipEvents(l *eventList) {
	for n, p := range w.processes {
		if p.up {
			l.add(p.name+" joins", func() { w.join(n) })
			l.add(p.name+" learns", func() { w.applyLog(n) })
		}
	}
}

// cellEvents adds what the leaders of cells may do.
func (w *cellsWorld) cellEvents(l *eventList) {
	for _, c := range w.cells {
		l.add(fmt.Sprintf("cell %d proposes what is due", c.id), func() { w.proposeDue(c); w.forgetDepartures(c) })
		if w.random.IntN(4) == 0 {
			l.add(fmt.Sprintf("cell %d asks for certificates", c.id), func() { w.expectMembers(c) })
		}
		l.add(fmt.Sprintf("cell %d asks for an update", c.id), func() { w.updateCell(c, w.random.IntN(2)) })
		l.add(fmt.Sprintf("cell %d reports", c.id), func() { w.report(c) })
	}
}

// directoryEvents adds what relays and nodes of the directory may do.
func (w *cellsWorld) directoryEvents(l *eventList) {
	l.add("a round of the directory", w.syncRound)
	for r := range w.relays {
		for d := range w.directories {
			l.add(fmt.Sprintf("relay %d pulls from %d", r, d), func() { w.pullDelta(r, d, false) })
			l.addWithBudget(&w.budget.CorruptDeltas, fmt.Sprintf("relay %d pulls from %d, a record lost", r, d), func() { w.pullDelta(r, d, true) })
		}
	}
	l.add("the other directory catches up", func() { w.applyCommands(1 - w.leader) })
	l.add("the directory forgets", w.forgetInDirectory)
}

// timeEvents adds a tick, and a few ticks in which all but at most one process renew their leases.
func (w *cellsWorld) timeEvents(l *eventList) {
	l.addWithBudget(&w.budget.Ticks, "tick", func() { w.now += cellTickMicros })
	if w.random.IntN(3) > 0 {
		return
	}
	l.addWithBudget(&w.budget.Ticks, "some quiet time", func() {
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

// faultEvents adds crashes, partitions and changes of leaders, or the end of a partition.
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
		l.addWithBudget(&w.budget.Duplicates, "another process of "+p.name, func() { // the one before is stopped, and goes on later
			w.processes = append(w.processes, w.newIncarnation(p))
		})
	}
	for _, c := range w.cells {
		if !c.partitioned {
			l.addWithBudget(&w.budget.Partitions, fmt.Sprintf("cell %d is partitioned", c.id), func() { c.partitioned = true })
		}
		l.addWithBudget(&w.budget.LeaderChanges, fmt.Sprintf("cell %d has another leader", c.id), func() { w.changeLeader(c) })
	}
	l.addWithBudget(&w.budget.LeaderChanges, "the directory has another leader", func() {
		w.leader, w.term, w.leaderChanged = 1-w.leader, w.term+1, true
		w.applyCommands(w.leader)
	})
}

// changeLeader gives a cell another leader, with a new lease table.
func (w *cellsWorld) changeLeader(c *cellState) {
	c.leader = 1 - c.leader
	c.leaseTables[c.leader] = cells.NewLeaseTable(cellLeaseMicros, w.conf.Fault)
}
