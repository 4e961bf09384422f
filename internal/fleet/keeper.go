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
	work    takeover.Work
	run     func(takeover.Leave) takeover.Result
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
				records, bytes := k.node.Held()
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
	for events := k.node.Events(); len(events) > 0; events = k.node.Events() {
		for i := range events {
			k.does(&events[i])
		}
	}
	out := k.node.Sent()
	if len(out) == 0 {
		return
	}
	batches := map[string][]takeover.Message{}
	for i := range out {
		batches[out[i].Name] = append(batches[out[i].Name], out[i].Message)
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
				bytes += len(r.Request) + len(r.Answer.Body)
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
func (k *keeper) open(now int64, w takeover.Work, wait chan takeover.Outcome, run func(takeover.Leave) takeover.Result) {
	if fl := k.flights[w.ID]; fl != nil {
		switch {
		case fl.work.Digest != w.Digest:
			wait <- takeover.Outcome{Word: takeover.Foreign}
		case !w.Resume:
			wait <- takeover.Outcome{Word: takeover.Taken}
		default:
			fl.waits = append(fl.waits, wait)
		}
		return
	}
	fl := &flight{work: w, run: run, waits: []chan takeover.Outcome{wait}, lease: k.f.lease.Load()}
	k.flights[w.ID] = fl
	rec := takeover.Record{
		ID: w.ID, Class: w.Class, Effect: w.Effect, Digest: w.Digest, Life: w.Left.Microseconds(),
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
		k.does(&takeover.Event{Does: takeover.Missing, ID: w.ID, Record: rec, Fresh: true, AtOnce: true})
	default:
		k.counts.taken++
		k.node.Take(now, rec)
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
	if len(fl.waits) == 0 && !fl.running && k.node.Asks(id) {
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
	if fl == nil && e.Does != takeover.Orphan {
		return
	}
	switch e.Does {
	case takeover.Run:
		k.blind = 0
		var former time.Duration
		if e.Taken {
			former = since(e)
			log.Printf("event=taken_over id=%s class=%s effect=%d age_us=%d asked=%t", e.ID, e.Record.Class, e.Record.Effect, e.Record.Age, len(fl.waits) > 0)
		}
		k.start(fl, takeover.Leave{Lease: fl.lease, Former: former})
	case takeover.Give:
		k.counts.given++
		k.tell(fl, takeover.Outcome{Answer: e.Record.Answer, Lease: k.f.lease.Load()})
	case takeover.Missing:
		k.missing(fl, e)
	case takeover.Doubled:
		k.counts.doubled++
		k.tell(fl, takeover.Outcome{Word: takeover.Foreign})
	case takeover.Lost:
		k.counts.lost++
		k.tell(fl, takeover.Outcome{Word: takeover.Nothing}) // one that runs is called back by the end of its lease
	case takeover.Orphan:
		k.orphan(e)
	}
}

// missing goes on without a quorum, as the request's effect and class have it.
func (k *keeper) missing(fl *flight, e *takeover.Event) {
	k.counts.missing++
	now := k.f.micros()
	if !e.AtOnce && k.fresh(now) {
		k.blind = now + k.f.wait
	}
	next := e.Next(fl.work.Strict)
	if w := &fl.work; next == takeover.GoOn && w.Effect == takeover.Keyed && w.Window < w.Left {
		next = e.Next(true) // Guards against two members that send the same key, none knowing of the other, past its window
		if next == takeover.GoOn {
			next = takeover.Fail
		}
	}
	switch next {
	case takeover.Refuse:
		if !k.fresh(now) {
			k.tell(fl, takeover.Outcome{Word: takeover.Nothing})
			return
		}
		k.tell(fl, takeover.Outcome{Answer: takeover.Answer{Verdict: takeover.Refused, RetryAfter: k.f.wait, Why: "no custody"}})
	case takeover.Fail:
		why := "may have run: nobody can say"
		if e.Fresh {
			why = "no custody"
		}
		k.node.Drop(e.ID)
		k.tell(fl, takeover.Outcome{Answer: takeover.Answer{Verdict: takeover.Failed, Why: why}, Lease: k.f.lease.Load()})
	default:
		k.node.Drop(e.ID)
		var former time.Duration
		if !e.Fresh {
			former = since(e)
		}
		k.start(fl, takeover.Leave{Former: former})
	}
}

// since is how long ago another member may have sent a request; never 0, which means that none has.
func since(e *takeover.Event) time.Duration {
	return max(1, time.Duration(e.Record.Age)*time.Microsecond)
}

// start runs a request that may be sent.
func (k *keeper) start(fl *flight, l takeover.Leave) {
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
				k.unheard(r.Live)
				return
			}
			if l.Lease == nil || l.Lease.Valid() {
				k.node.Answered(now, id, r.Answer)
			}
			k.tell(fl, takeover.Outcome{Answer: r.Answer, Live: r.Live, Lease: l.Lease})
		}
	}()
}

// await waits for a lease that is not valid until it is, or is over. Guards against an answer that is dropped by an owner which
// goes on living: nobody else may take its work over, so nobody would answer.
func (k *keeper) await(l takeover.Lease) {
	const step = 2 * time.Millisecond
	for end := time.Now().Add(2 * k.f.opts.Fleet.LeaseDuration); !l.Valid() && time.Now().Before(end); {
		select {
		case <-l.Over():
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
		o.Live = nil
	}
	k.unheard(o.Live)
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
	var stored takeover.Stored
	err := k.f.coder.in.Unmarshal(rec.Request, &stored)
	var run func(takeover.Leave) takeover.Result
	if err == nil {
		run, err = k.f.hooks.ResumeOrphan(&rec, &stored)
	}
	if err != nil {
		log.Printf("event=not_taken_over id=%s err=%q", rec.ID, err)
		return
	}
	k.counts.unasked++
	k.flights[e.ID] = &flight{
		work: takeover.Work{ID: rec.ID, Class: rec.Class, Effect: rec.Effect, Digest: rec.Digest, Resume: true}, run: run, lease: k.f.lease.Load(),
	}
	k.node.Resume(k.f.micros(), rec)
}
