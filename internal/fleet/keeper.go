package fleet

import (
	"context"
	"log"
	"slices"
	"time"

	"damsonscale/internal/takeover"
)

const (
	keeperBox   = 4096
	batchMost   = 256       // messages in a frame
	batchBytes  = 1 << 20   // of them
	pausedAfter = 100_000   // µs without a turn, after which this process was stopped
	wakes       = 1_000_000 // µs after that within which it may read what had come meanwhile
)

// flight is a request under custody here.
type flight struct {
	work    takeover.Request
	run     func(takeover.SendPermit) takeover.Result
	waits   []chan takeover.Outcome
	running bool
	lease   takeover.Lease // that it runs under
}

// keeper is the actor of custody: one goroutine owns the node and all flights.
type keeper struct {
	f       *Fleet
	node    *takeover.Node
	box     chan func(now int64)
	flights map[string]*flight
	blind   int64 // until then no quorum is to be expected: strict work is refused at once
	turned  int64 // when it last had a turn
	woke    int64 // when it last found that it had been stopped
	counts  counts
}

// counts are for the log.
type counts struct{ taken, resumed, given, missing, lost, unasked, doubled int64 }

// post hands the actor something to do, unless it has too much to do.
func (k *keeper) post(fn func(now int64)) {
	select {
	case k.box <- fn:
	default:
	}
}

// run is the actor.
func (k *keeper) run(ctx context.Context) {
	every := max(time.Duration(k.f.again)*time.Microsecond/2, time.Millisecond)
	tick := time.NewTicker(every)
	defer tick.Stop()
	report := time.NewTicker(10 * time.Second)
	defer report.Stop()
	var last counts
	for k.turned = k.f.micros(); ; k.settle() {
		select {
		case <-ctx.Done():
			return
		case fn := <-k.box:
			k.turn()
			fn(k.f.micros())
			for more := true; more; { // what has come meanwhile goes out in the same frames
				select {
				case fn := <-k.box:
					fn(k.f.micros())
				default:
					more = false
				}
			}
		case <-tick.C:
			k.turn()
			k.node.Tick(k.f.micros())
		case <-report.C:
			if k.counts != last {
				last = k.counts
				records, bytes := k.node.Usage()
				log.Printf("event=custody taken=%d resumed=%d given=%d missing=%d lost=%d unasked=%d doubled=%d records=%d bytes=%d open=%d",
					last.taken, last.resumed, last.given, last.missing, last.lost, last.unasked, last.doubled, records, bytes, len(k.flights))
			}
		}
	}
}

// turn notes that this process runs, and whether it had been stopped.
func (k *keeper) turn() {
	now := k.f.micros()
	if now-k.turned > pausedAfter {
		k.woke = now
	}
	k.turned = now
}

// fresh tells whether requests come when they are sent. Just after a stop they may have waited for it, and their clients may
// have gone elsewhere: nothing is refused then. Guards against a refusal of what another member runs.
func (k *keeper) fresh(now int64) bool { return k.woke == 0 || now-k.woke > wakes }

// settle carries out what the node says and sends what it wants sent.
func (k *keeper) settle() {
	for events := k.node.TakeEvents(); len(events) > 0; events = k.node.TakeEvents() {
		for i := range events {
			k.does(&events[i])
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
		k.batch(name, all)
	}
}

// batch sends messages in as few frames as may be.
func (k *keeper) batch(name string, all []takeover.Message) {
	for len(all) > 0 {
		n, bytes := 0, 0
		for n < len(all) && n < batchMost && bytes < batchBytes {
			if r := all[n].Record; r != nil {
				bytes += len(r.Request) + len(r.Response.Body)
			}
			n++
		}
		text, err := k.f.coder.out.Marshal(all[:n])
		if err != nil {
			log.Printf("event=fleet_not_sent to=%s err=%q", name, err)
		} else {
			k.f.send(name, kindCustody, text)
		}
		all = all[n:]
	}
}

// open takes a request.
func (k *keeper) open(now int64, w takeover.Request, wait chan takeover.Outcome, run func(takeover.SendPermit) takeover.Result) {
	if fl := k.flights[w.ID]; fl != nil {
		switch {
		case fl.work.Digest != w.Digest:
			wait <- takeover.Outcome{Kind: takeover.OutcomeIDConflict}
		case !w.Resume:
			wait <- takeover.Outcome{Kind: takeover.OutcomeInFlight}
		default:
			fl.waits = append(fl.waits, wait)
		}
		return
	}
	fl := &flight{work: w, run: run, waits: []chan takeover.Outcome{wait}, lease: k.f.lease.Load()}
	k.flights[w.ID] = fl
	rec := takeover.Record{
		ID: w.ID, Class: w.Class, Idempotency: w.Idempotency, Digest: w.Digest, DeadlineAge: w.Timeout.Microseconds(),
	}
	if len(w.Stored.Head) > 0 {
		text, err := k.f.coder.out.Marshal(w.Stored)
		if err != nil {
			log.Printf("event=fleet_not_stored id=%s err=%q", w.ID, err) // it is sent again only when asked for
		}
		rec.Request = text
	}
	switch {
	case w.Resume:
		k.counts.resumed++
		k.node.Resume(now, rec)
	case w.Strict && now < k.blind && k.fresh(now):
		k.does(&takeover.Event{Decision: takeover.QuorumUnavailable, ID: w.ID, Record: rec, NeverSent: true, Immediate: true})
	default:
		k.counts.taken++
		k.node.Begin(now, rec)
	}
}

// left takes one who asked from the list. What was not begun is asked for no more; what was goes on.
func (k *keeper) left(id string, wait chan takeover.Outcome) {
	fl := k.flights[id]
	if fl == nil {
		return
	}
	for i, w := range fl.waits {
		if w == wait {
			fl.waits = append(fl.waits[:i], fl.waits[i+1:]...)
			break
		}
	}
	if len(fl.waits) == 0 && !fl.running && k.node.IsPreparing(id) {
		k.node.Drop(id)
		delete(k.flights, id)
	}
}

// runs tells whether a request runs here for one who asked.
func (k *keeper) runs(id string, wait chan takeover.Outcome) bool {
	back := make(chan bool, 1)
	k.box <- func(int64) {
		fl := k.flights[id]
		back <- fl != nil && fl.running && slices.Contains(fl.waits, wait)
	}
	return <-back
}

// does carries out one word of the node.
func (k *keeper) does(e *takeover.Event) {
	fl := k.flights[e.ID]
	if fl == nil && e.Decision != takeover.OwnerEvicted {
		return
	}
	switch e.Decision {
	case takeover.Execute:
		k.blind = 0
		var former time.Duration
		if e.TakenOver {
			former = since(e)
			log.Printf("event=taken_over id=%s class=%s effect=%d age_us=%d asked=%t", e.ID, e.Record.Class, e.Record.Idempotency, e.Record.Age, len(fl.waits) > 0)
		}
		k.start(fl, takeover.SendPermit{Lease: fl.lease, PriorSendAge: former})
	case takeover.ReturnStored:
		k.counts.given++
		k.tell(fl, takeover.Outcome{Response: e.Record.Response, Lease: k.f.lease.Load()})
	case takeover.QuorumUnavailable:
		k.missing(fl, e)
	case takeover.DuplicateID:
		k.counts.doubled++
		k.tell(fl, takeover.Outcome{Kind: takeover.OutcomeIDConflict})
	case takeover.OwnershipLost:
		k.counts.lost++
		k.tell(fl, takeover.Outcome{Kind: takeover.OutcomeCloseConnection}) // one that runs is called back by the end of its lease
	case takeover.OwnerEvicted:
		k.orphan(e)
	}
}

// missing goes on without a quorum, as the request's effect and class have it.
func (k *keeper) missing(fl *flight, e *takeover.Event) {
	k.counts.missing++
	now := k.f.micros()
	if !e.Immediate && k.fresh(now) {
		k.blind = now + k.f.wait
	}
	next := e.Fallback(fl.work.Strict)
	if w := &fl.work; next == takeover.SendWithoutRecord && w.Idempotency == takeover.IdempotentByKey && w.DedupWindow < w.Timeout {
		next = e.Fallback(true) // Guards against two members that send the same key, none knowing of the other, past its window
		if next == takeover.SendWithoutRecord {
			next = takeover.FailRequest
		}
	}
	switch next {
	case takeover.RejectRequest:
		if !k.fresh(now) {
			k.tell(fl, takeover.Outcome{Kind: takeover.OutcomeCloseConnection})
			return
		}
		k.tell(fl, takeover.Outcome{Response: takeover.Response{Status: takeover.Rejected, RetryAfter: k.f.wait, Reason: "no custody"}})
	case takeover.FailRequest:
		why := "may have run: nobody can say"
		if e.NeverSent {
			why = "no custody"
		}
		k.node.Drop(e.ID)
		k.tell(fl, takeover.Outcome{Response: takeover.Response{Status: takeover.Failed, Reason: why}, Lease: k.f.lease.Load()})
	default:
		k.node.Drop(e.ID)
		var former time.Duration
		if !e.NeverSent {
			former = since(e)
		}
		k.start(fl, takeover.SendPermit{PriorSendAge: former})
	}
}

// since is how long ago another member may have sent a request; never 0, which means that none has.
func since(e *takeover.Event) time.Duration {
	return max(1, time.Duration(e.Record.Age)*time.Microsecond)
}

// start runs a request that may be sent.
func (k *keeper) start(fl *flight, l takeover.SendPermit) {
	if fl.running {
		return
	}
	fl.running = true
	id := fl.work.ID
	go func() {
		r := fl.run(l)
		if l.Lease != nil {
			k.await(l.Lease)
		}
		k.box <- func(now int64) {
			if k.flights[id] != fl {
				k.unheard(r.LiveResponse)
				return
			}
			if l.Lease == nil || l.Lease.Valid() {
				k.node.Complete(now, id, r.Response)
			}
			k.tell(fl, takeover.Outcome{Response: r.Response, LiveResponse: r.LiveResponse, Lease: l.Lease})
		}
	}()
}

// await waits for a lease that is not valid until it is, or is over. Guards against an answer that is dropped by an owner which
// goes on living: nobody else may take its work over, so nobody would answer.
func (k *keeper) await(l takeover.Lease) {
	const step = 2 * time.Millisecond
	for end := time.Now().Add(2 * k.f.opts.Fleet.Lease); !l.Valid() && time.Now().Before(end); {
		select {
		case <-l.Done():
			return
		case <-time.After(step):
		}
	}
}

// tell answers all that wait for a request. What is live goes to the first.
func (k *keeper) tell(fl *flight, o takeover.Outcome) {
	delete(k.flights, fl.work.ID)
	for _, w := range fl.waits {
		w <- o
		o.LiveResponse = nil
	}
	k.unheard(o.LiveResponse)
}

func (k *keeper) unheard(live any) {
	if live != nil {
		k.f.hooks.DiscardAnswer(live)
	}
}

// orphan takes over unasked what a member that is out had leave to send.
func (k *keeper) orphan(e *takeover.Event) {
	rec := e.Record
	if k.flights[e.ID] != nil {
		return
	}
	var stored takeover.StoredRequest
	err := k.f.coder.in.Unmarshal(rec.Request, &stored)
	var run func(takeover.SendPermit) takeover.Result
	if err == nil {
		run, err = k.f.hooks.ResumeOrphan(&rec, &stored)
	}
	if err != nil {
		log.Printf("event=not_taken_over id=%s err=%q", rec.ID, err)
		return
	}
	k.counts.unasked++
	k.flights[e.ID] = &flight{
		work: takeover.Request{ID: rec.ID, Class: rec.Class, Idempotency: rec.Idempotency, Digest: rec.Digest, Resume: true}, run: run, lease: k.f.lease.Load(),
	}
	k.node.Resume(k.f.micros(), rec)
}
