package modelcheck

import (
	"fmt"

	"damsonscale/internal/takeover"
)

// requestID returns the ID of a request.
func requestID(i int) string { return fmt.Sprint("r", i) }

// requestIndex returns the index of the request with an ID.
func requestIndex(id string) (i int) {
	fmt.Sscanf(id, "r%d", &i)
	return i
}

// record returns the initial record of a request.
func (w *takeoverWorld) record(i int) takeover.Record {
	r := takeover.Record{ID: requestID(i), Digest: 1, Idempotency: w.requests[i].idempotency, DeadlineAge: maxAge}
	if r.Idempotency == takeover.IdempotentByKey {
		r.Request = []byte("x")
	}
	return r
}

// sendAttempt lets a client send the first attempt of a request or, with resume, a retry to a process.
func (w *takeoverWorld) sendAttempt(n, i int, resume bool) {
	p := w.processes[n]
	w.budget.Attempts--
	w.requests[i].attempts++
	p.waitingClients[i], p.sentAt[i] = true, w.step
	if p.attempts[i] != nil {
		return // the client waits for the attempt in flight
	}
	if resume {
		p.node.Resume(p.now, w.record(i))
	} else {
		p.node.Begin(p.now, w.record(i))
	}
	w.processOutput(p)
}

// handleEvent handles an event of a node as the sidecar does, and checks that no process takes over a request from a process that is still a
// member.
func (w *takeoverWorld) handleEvent(p *process, e takeover.Event) {
	i := requestIndex(e.ID)
	concluded := e.Decision == takeover.Execute || e.Decision == takeover.ReturnStored && e.FailedOnTakeover
	if e.TakenOver && concluded && e.PreviousOwner != p.self && w.membershipAt(len(w.log)).Contains(e.PreviousOwner) {
		w.recordViolation("%s takes over %s from %s, which is still a member", p.self.Name, e.ID, e.PreviousOwner.Name)
	}
	switch e.Decision {
	case takeover.Execute:
		p.attempts[i] = &attempt{owned: true}
	case takeover.ReturnStored:
		w.answerClient(p, i, e.Record.Response)
	case takeover.QuorumUnavailable:
		w.handleNoQuorum(p, i, e)
	case takeover.DuplicateID, takeover.OwnershipLost:
		delete(p.waitingClients, i)
		delete(p.attempts, i)
	case takeover.OwnerEvicted:
		if p.attempts[i] == nil {
			p.node.Resume(p.now, e.Record)
		}
	case takeover.Replicated:
		w.requests[i].replicated = w.requests[i].replicated || w.requests[i].servedRun != 0
	}
}

// handleNoQuorum rejects or fails a request whose record did not reach a quorum, or sends the request without a record.
func (w *takeoverWorld) handleNoQuorum(p *process, i int, e takeover.Event) {
	strict := w.conf.Strict || w.requests[i].idempotency == takeover.NotIdempotent // without a record the request may run twice
	switch e.Fallback(strict) {
	case takeover.RejectRequest:
		w.answerClient(p, i, takeover.Response{Status: takeover.Rejected})
	case takeover.FailRequest:
		p.node.Drop(e.ID)
		w.answerClient(p, i, takeover.Response{Status: takeover.Failed, Reason: outcomeUnknown})
	default:
		p.node.Drop(e.ID)
		p.attempts[i] = &attempt{}
	}
}

// answerClient answers a client that waits at a process, and checks the answer against earlier answers and runs.
func (w *takeoverWorld) answerClient(p *process, i int, a takeover.Response) {
	if !p.waitingClients[i] {
		return
	}
	delete(p.waitingClients, i)
	r := w.requests[i]
	w.responses = append(w.responses, Response{
		Request: i, StartStep: p.sentAt[i], EndStep: w.step, Answer: fmt.Sprint(a.Status, a.Body),
		Indeterminate: a.Status == takeover.Rejected || a.Reason == outcomeUnknown || r.idempotency == takeover.Idempotent,
	})
	r.answers = append(r.answers, fmt.Sprint(a.Status, string(a.Body)))
	switch a.Status {
	case takeover.Served:
		run := int(a.Body[0])
		if r.idempotency != takeover.Idempotent && r.servedRun != 0 && r.servedRun != run {
			w.recordViolation("two different answers to %s", requestID(i))
		}
		r.servedRun = run
	case takeover.Rejected:
		if r.ownedRuns > 0 {
			w.recordViolation("%s is rejected although it ran", requestID(i))
		}
		w.endOtherAttempts(i)
	case takeover.Failed:
		if r.replicated && a.Reason != outcomeUnknown {
			w.recordViolation("%s fails although a quorum has its answer", requestID(i))
		}
	}
}

// endOtherAttempts ends the wait of a client whose request was rejected at all processes. Processes that have not sent the request yet give
// it up.
func (w *takeoverWorld) endOtherAttempts(i int) {
	for _, p := range w.processes {
		if delete(p.waitingClients, i); p.up && p.node.IsPreparing(requestID(i)) {
			p.node.Drop(requestID(i))
		}
	}
}
