package fleet

import (
	"context"
	"log"
	"slices"
	"time"

	"damsonscale/internal/takeover"
)

const (
	coordinatorMailboxSize = 4096
	maxBatchMessages       = 256       // messages in a frame
	maxBatchBytes          = 1 << 20   // of them
	stallThreshold         = 100_000   // µs without a turn, after which this process was stopped
	staleReadWindow        = 1_000_000 // µs after that within which it may read what had come meanwhile
)

// inFlightRequest is a request under custody here.
type inFlightRequest struct {
	request   takeover.Request
	execute   func(takeover.SendPermit) takeover.Result
	waiters   []chan takeover.Outcome
	executing bool
	lease     takeover.Lease // that it runs under
}

// coordinator is the actor of custody: one goroutine owns the node and all flights.
type coordinator struct {
	fleet         *Fleet
	node          *takeover.Node
	mailbox       chan func(now int64)
	inFlight      map[string]*inFlightRequest
	noQuorumUntil int64 // until then no quorum is to be expected: strict work is refused at once
	lastTurnAt    int64 // when it last had a turn
	resumedAt     int64 // when it last found that it had been stopped
	counts        takeoverCounts
}

// takeoverCounts are for the log.
type takeoverCounts struct{ begun, resumed, returned, unavailable, ownershipLost, takenOver, duplicates int64 }

// post hands the actor something to do, unless it has too much to do.
func (k *coordinator) post(fn func(now int64)) {
	select {
	case k.mailbox <- fn:
	default:
	}
}

// run is the actor.
func (k *coordinator) run(ctx context.Context) {
	every := max(time.Duration(k.fleet.resendInterval)*time.Microsecond/2, time.Millisecond)
	tick := time.NewTicker(every)
	defer tick.Stop()
	report := time.NewTicker(10 * time.Second)
	defer report.Stop()
	var last takeoverCounts
	for k.lastTurnAt = k.fleet.micros(); ; k.flush() {
		select {
		case <-ctx.Done():
			return
		case fn := <-k.mailbox:
			k.noteTurn()
			fn(k.fleet.micros())
			for more := true; more; { // what has come meanwhile goes out in the same frames
				select {
				case fn := <-k.mailbox:
					fn(k.fleet.micros())
				default:
					more = false
				}
			}
		case <-tick.C:
			k.noteTurn()
			k.node.Tick(k.fleet.micros())
		case <-report.C:
			if k.counts != last {
				last = k.counts
				records, bytes := k.node.Usage()
				log.Printf("event=custody taken=%d resumed=%d given=%d missing=%d lost=%d unasked=%d doubled=%d records=%d bytes=%d open=%d",
					last.begun, last.resumed, last.returned, last.unavailable, last.ownershipLost, last.takenOver, last.duplicates, records, bytes, len(k.inFlight))
			}
		}
	}
}

// noteTurn notes that this process runs, and whether it had been stopped.
func (k *coordinator) noteTurn() {
	now := k.fleet.micros()
	if now-k.lastTurnAt > stallThreshold {
		k.resumedAt = now
	}
	k.lastTurnAt = now
}

// readsAreFresh tells whether requests come when they are sent. Just after a stop they may have waited for it, and their clients may
// have gone elsewhere: nothing is refused then. Guards against a refusal of what another member runs.
func (k *coordinator) readsAreFresh(now int64) bool {
	return k.resumedAt == 0 || now-k.resumedAt > staleReadWindow
}

// flush carries out what the node says and sends what it wants sent.
func (k *coordinator) flush() {
	for events := k.node.TakeEvents(); len(events) > 0; events = k.node.TakeEvents() {
		for i := range events {
			k.carryOut(&events[i])
		}
	}
	out := k.node.TakeMessages()
	if len(out) == 0 {
		return
	}
	batches := map[string][]takeover.Message{}
	for i := range out {
		batches[out[i].To] = append(batches[out[i].To], out[i].Message)
	}
	for name, all := range batches {
		k.sendBatches(name, all)
	}
}

// sendBatches sends messages in as few frames as may be.
func (k *coordinator) sendBatches(name string, all []takeover.Message) {
	for len(all) > 0 {
		n, bytes := 0, 0
		for n < len(all) && n < maxBatchMessages && bytes < maxBatchBytes {
			if r := all[n].Record; r != nil {
				bytes += len(r.Request) + len(r.Response.Body)
			}
			n++
		}
		text, err := k.fleet.codec.out.Marshal(all[:n])
		if err != nil {
			log.Printf("event=fleet_not_sent to=%s err=%q", name, err)
		} else {
			k.fleet.send(name, KindTakeover, text)
		}
		all = all[n:]
	}
}

// begin takes a request.
func (k *coordinator) begin(now int64, w takeover.Request, wait chan takeover.Outcome, run func(takeover.SendPermit) takeover.Result) {
	if fl := k.inFlight[w.ID]; fl != nil {
		switch {
		case fl.request.Digest != w.Digest:
			wait <- takeover.Outcome{Kind: takeover.OutcomeIDConflict}
		case !w.Resume:
			wait <- takeover.Outcome{Kind: takeover.OutcomeInFlight}
		default:
			fl.waiters = append(fl.waiters, wait)
		}
		return
	}
	fl := &inFlightRequest{request: w, execute: run, waiters: []chan takeover.Outcome{wait}, lease: k.fleet.lease.Load()}
	k.inFlight[w.ID] = fl
	rec := takeover.Record{
		ID: w.ID, Class: w.Class, Idempotency: w.Idempotency, Digest: w.Digest, DeadlineAge: w.Timeout.Microseconds(),
	}
	if len(w.Stored.Head) > 0 {
		text, err := k.fleet.codec.out.Marshal(w.Stored)
		if err != nil {
			log.Printf("event=fleet_not_stored id=%s err=%q", w.ID, err) // it is sent again only when asked for
		}
		rec.Request = text
	}
	switch {
	case w.Resume:
		k.counts.resumed++
		k.node.Resume(now, rec)
	case w.Strict && now < k.noQuorumUntil && k.readsAreFresh(now):
		k.carryOut(&takeover.Event{Decision: takeover.QuorumUnavailable, ID: w.ID, Record: rec, NeverSent: true, Immediate: true})
	default:
		k.counts.begun++
		k.node.Begin(now, rec)
	}
}

// removeWaiter takes one who asked from the list. What was not begun is asked for no more; what was goes on.
func (k *coordinator) removeWaiter(id string, wait chan takeover.Outcome) {
	fl := k.inFlight[id]
	if fl == nil {
		return
	}
	for i, w := range fl.waiters {
		if w == wait {
			fl.waiters = append(fl.waiters[:i], fl.waiters[i+1:]...)
			break
		}
	}
	if len(fl.waiters) == 0 && !fl.executing && k.node.IsPreparing(id) {
		k.node.Drop(id)
		delete(k.inFlight, id)
	}
}

// isExecuting tells whether a request runs here for one who asked.
func (k *coordinator) isExecuting(id string, wait chan takeover.Outcome) bool {
	back := make(chan bool, 1)
	k.mailbox <- func(int64) {
		fl := k.inFlight[id]
		back <- fl != nil && fl.executing && slices.Contains(fl.waiters, wait)
	}
	return <-back
}

// carryOut carries out one word of the node.
func (k *coordinator) carryOut(e *takeover.Event) {
	fl := k.inFlight[e.ID]
	if fl == nil && e.Decision != takeover.OwnerEvicted {
		return
	}
	switch e.Decision {
	case takeover.Execute:
		k.noQuorumUntil = 0
		var former time.Duration
		if e.TakenOver {
			former = priorSendAge(e)
			log.Printf("event=taken_over id=%s class=%s effect=%d age_us=%d asked=%t", e.ID, e.Record.Class, e.Record.Idempotency, e.Record.Age, len(fl.waiters) > 0)
		}
		k.execute(fl, takeover.SendPermit{Lease: fl.lease, PriorSendAge: former})
	case takeover.ReturnStored:
		k.counts.returned++
		k.finish(fl, takeover.Outcome{Response: e.Record.Response, Lease: k.fleet.lease.Load()})
	case takeover.QuorumUnavailable:
		k.onQuorumUnavailable(fl, e)
	case takeover.DuplicateID:
		k.counts.duplicates++
		k.finish(fl, takeover.Outcome{Kind: takeover.OutcomeIDConflict})
	case takeover.OwnershipLost:
		k.counts.ownershipLost++
		k.finish(fl, takeover.Outcome{Kind: takeover.OutcomeCloseConnection}) // one that runs is called back by the end of its lease
	case takeover.OwnerEvicted:
		k.takeOver(e)
	}
}

// onQuorumUnavailable goes on without a quorum, as the request's effect and class have it.
func (k *coordinator) onQuorumUnavailable(fl *inFlightRequest, e *takeover.Event) {
	k.counts.unavailable++
	now := k.fleet.micros()
	if !e.Immediate && k.readsAreFresh(now) {
		k.noQuorumUntil = now + k.fleet.quorumTimeout
	}
	next := e.Fallback(fl.request.Strict)
	if w := &fl.request; next == takeover.SendWithoutRecord && w.Idempotency == takeover.IdempotentByKey && w.DedupWindow < w.Timeout {
		next = e.Fallback(true) // Guards against two members that send the same key, none knowing of the other, past its window
		if next == takeover.SendWithoutRecord {
			next = takeover.FailRequest
		}
	}
	switch next {
	case takeover.RejectRequest:
		if !k.readsAreFresh(now) {
			k.finish(fl, takeover.Outcome{Kind: takeover.OutcomeCloseConnection})
			return
		}
		k.finish(fl, takeover.Outcome{Response: takeover.Response{Status: takeover.Rejected, RetryAfter: k.fleet.quorumTimeout, Reason: "no custody"}})
	case takeover.FailRequest:
		why := "may have run: nobody can say"
		if e.NeverSent {
			why = "no custody"
		}
		k.node.Drop(e.ID)
		k.finish(fl, takeover.Outcome{Response: takeover.Response{Status: takeover.Failed, Reason: why}, Lease: k.fleet.lease.Load()})
	default:
		k.node.Drop(e.ID)
		var former time.Duration
		if !e.NeverSent {
			former = priorSendAge(e)
		}
		k.execute(fl, takeover.SendPermit{PriorSendAge: former})
	}
}

// priorSendAge is how long ago another member may have sent a request; never 0, which means that none has.
func priorSendAge(e *takeover.Event) time.Duration {
	return max(1, time.Duration(e.Record.Age)*time.Microsecond)
}

// execute runs a request that may be sent.
func (k *coordinator) execute(fl *inFlightRequest, l takeover.SendPermit) {
	if fl.executing {
		return
	}
	fl.executing = true
	id := fl.request.ID
	go func() {
		r := fl.execute(l)
		if l.Lease != nil {
			k.awaitLease(l.Lease)
		}
		k.mailbox <- func(now int64) {
			if k.inFlight[id] != fl {
				k.discard(r.LiveResponse)
				return
			}
			if l.Lease == nil || l.Lease.Valid() {
				k.node.Complete(now, id, r.Response)
			}
			k.finish(fl, takeover.Outcome{Response: r.Response, LiveResponse: r.LiveResponse, Lease: l.Lease})
		}
	}()
}

// awaitLease waits for a lease that is not valid until it is, or is over. Guards against an answer that is dropped by an owner which
// goes on living: nobody else may take its work over, so nobody would answer.
func (k *coordinator) awaitLease(l takeover.Lease) {
	const step = 2 * time.Millisecond
	for end := time.Now().Add(2 * k.fleet.options.Fleet.LeaseDuration); !l.Valid() && time.Now().Before(end); {
		select {
		case <-l.Done():
			return
		case <-time.After(step):
		}
	}
}

// finish answers all that wait for a request. What is live goes to the first.
func (k *coordinator) finish(fl *inFlightRequest, o takeover.Outcome) {
	delete(k.inFlight, fl.request.ID)
	for _, w := range fl.waiters {
		w <- o
		o.LiveResponse = nil
	}
	k.discard(o.LiveResponse)
}

func (k *coordinator) discard(live any) {
	if live != nil {
		k.fleet.hooks.DiscardAnswer(live)
	}
}

// takeOver takes over unasked what a member that is out had leave to send.
func (k *coordinator) takeOver(e *takeover.Event) {
	rec := e.Record
	if k.inFlight[e.ID] != nil {
		return
	}
	var stored takeover.StoredRequest
	err := k.fleet.codec.in.Unmarshal(rec.Request, &stored)
	var run func(takeover.SendPermit) takeover.Result
	if err == nil {
		run, err = k.fleet.hooks.ResumeOrphan(&rec, &stored)
	}
	if err != nil {
		log.Printf("event=not_taken_over id=%s err=%q", rec.ID, err)
		return
	}
	k.counts.takenOver++
	k.inFlight[e.ID] = &inFlightRequest{
		request: takeover.Request{ID: rec.ID, Class: rec.Class, Idempotency: rec.Idempotency, Digest: rec.Digest, Resume: true}, execute: run, lease: k.fleet.lease.Load(),
	}
	k.node.Resume(k.fleet.micros(), rec)
}
