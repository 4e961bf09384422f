package modelcheck

import (
	"slices"

	"damsonscale/internal/cells"
)

// renewLeases renews the lease of each running process with a probability of 7/8.
func (w *cellsWorld) renewLeases() {
	for n, p := range w.processes {
		if p.up && w.random.IntN(8) > 0 {
			w.renewLease(n)
		}
	}
}

// renewLease runs all steps of a lease request of a process.
func (w *cellsWorld) renewLease(n int) {
	c := w.cell(w.processes[n].node.Cell)
	if c == nil {
		return
	}
	w.requestLease(n, c.leader)
	i := len(w.leaseRequests) - 1
	w.confirmLeader(i)
	w.answerLease(i)
	w.deliverLease(i)
}

// requestLease lets a process request a lease from one of its cell's two nodes. The node gets no confirmation from a
// quorum while it is not the leader.
func (w *cellsWorld) requestLease(n, leader int) {
	p := w.processes[n]
	if w.cell(p.node.Cell) == nil {
		return
	}
	request := p.node.LeaseRequest(w.now, uint64(p.appliedIndex))
	w.leaseRequests = append(w.leaseRequests, cellLeaseRequest{process: n, request: request, leader: leader, confirmedIndex: -1})
}

// confirmLeader lets a quorum confirm that the leader that received a request is still the current leader.
func (w *cellsWorld) confirmLeader(i int) {
	r := &w.leaseRequests[i]
	if c := w.cell(r.request.Cell); c != nil && r.confirmedIndex < 0 && c.leader == r.leader {
		r.confirmedIndex = len(c.log) - 1
	}
}

// answerLease lets a confirmed leader apply the log up to the confirmed index, and grant or reject a request.
func (w *cellsWorld) answerLease(i int) {
	r := &w.leaseRequests[i]
	c := w.cell(r.request.Cell)
	if c == nil || r.confirmedIndex < 0 || r.granted {
		return
	}
	c.applied[r.leader] = max(c.applied[r.leader], r.confirmedIndex)
	r.granted = c.leaseTables[r.leader].Grant(w.now, c.log[c.applied[r.leader]], r.request.Member, r.request.ActiveSettings)
}

// deliverLease removes a request and delivers its grant, if any, to the process.
func (w *cellsWorld) deliverLease(i int) {
	r := w.leaseRequests[i]
	w.leaseRequests = slices.Delete(w.leaseRequests, i, i+1)
	if p := w.processes[r.process]; r.granted && p.up {
		grant := cells.LeaseGrant{Cell: r.request.Cell, Member: r.request.Member, RequestSentMicros: r.request.SentMicros}
		p.node.HandleGrant(grant, cellLeaseMicros)
	}
}

// proposeDue commits the entries that are due according to the lease table of a cell's leader: evictions and
// departures, or the seal.
func (w *cellsWorld) proposeDue(c *cellState) {
	for _, e := range c.leaseTables[c.leader].DueEntries(w.now, c.log[c.applied[c.leader]]) {
		w.commit(c, e)
	}
}
