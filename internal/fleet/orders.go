package fleet

import (
	"errors"
	"log"
	"math/rand/v2"
	"time"

	"damsonscale/internal/rollout"
	"damsonscale/internal/takeover"
)

var (
	errNoLeader = errors.New("the fleet has changed its leader: whether this was agreed is not known here")
	errNoLead   = errors.New("this member does not lead")
	errLate     = errors.New("not agreed in time: too few members can be reached, or it may still be agreed; ask for the status")
	errBusy     = errors.New("this member has too much to do")
)

// order puts an order into the log; reply is told what came of it, once, and may not wait.
func (e *epochs) order(o *rollout.Command, reply func(error)) {
	if !e.leads {
		reply(errNoLead)
		return
	}
	_, err := e.roster.Plan.Apply(o, e.names, e.roster.living()) // it is told at once what is wrong with it
	if err == nil && o.Kind == rollout.Exclude {
		err = e.driver.CheckExclude(o.Name, &e.roster.Plan, e.names, e.heard, time.Now())
	}
	if err == nil && e.orders[o.ID] != nil {
		err = rollout.ErrAlreadyApplied
	}
	if err == nil {
		e.orders[o.ID] = reply
		if err = e.propose(&entry{Order: o}); err != nil {
			delete(e.orders, o.ID)
		}
	}
	if err != nil {
		reply(err)
	}
}

// ordered applies an order that was agreed.
func (e *epochs) ordered(o *rollout.Command, old bool) {
	next, err := e.roster.Plan.Apply(o, e.names, e.roster.living())
	if reply := e.orders[o.ID]; reply != nil {
		delete(e.orders, o.ID)
		reply(err)
	}
	if err != nil {
		return
	}
	e.roster = e.roster.apply(&entry{Order: o}, e.names)
	texts := map[string][]byte{}
	for _, v := range next.Versions {
		if text, ok := e.texts[string(v.Digest[:])]; ok {
			texts[string(v.Digest[:])] = text
		}
	}
	if o.Kind == rollout.RollOut {
		d := rollout.DigestOf(o.Settings)
		texts[string(d[:])] = o.Settings
	}
	e.texts = texts
	if !old {
		log.Printf("event=fleet_order epoch=%d order=%v target=%d fence=%d share=%d held=%q name=%q who=%q why=%q", e.roster.Epoch, o.Kind,
			next.Target, next.Fence, next.Share, next.PauseReason, o.Name, o.Author, o.Reason)
	}
}

// standing is what a member tells of the fleet, as the log's leader if it leads.
func (e *epochs) standing() (heard map[string]rollout.ReceivedReport, waits string, leads bool) {
	if !e.leads {
		return nil, "", false
	}
	heard = make(map[string]rollout.ReceivedReport, len(e.heard))
	for name, h := range e.heard {
		heard[name] = h
	}
	return heard, e.driver.WaitReason, true
}

// tuned is the state of what this member acts on. The member's own actor has it.
type tuned struct {
	acts    uint64 // number
	digest  uint64 // of the bytes
	before  uint64 // number that it acted on before
	refused uint64 // that it could not adopt
	why     string
	since   time.Time              // when it began to act on it
	base    *rollout.ServiceCounts // answers under it that do not count
	texts   map[string][]byte      // of versions, by digest, as far as they are known here
	under   bool                   // a version is being adopted
	asked   time.Time              // when a version's bytes were last asked for
	wanted  uint64                 // version that they are asked for
	asks    int                    // for them
}

// haveText answers who asks for a version's bytes.
type haveText struct {
	_    struct{} `cbor:",toarray"`
	Text []byte
}

// follow adopts what the plan wants of this member, and stops it where it may not act. On the member's own actor.
func (f *Fleet) follow() {
	if f.ledger == nil {
		return
	}
	plan := &f.roster.Load().Plan
	f.shutOut(!plan.MayLease(f.name, f.tuned.acts) && !f.plant.noFence)
	want := plan.TargetFor(f.name)
	if want <= f.tuned.acts || want == f.tuned.refused || f.tuned.under {
		return // a number only grows: the lease was asked for under it
	}
	v, ok := plan.Find(want)
	if !ok {
		return
	}
	text, ok := f.tuned.texts[string(v.Digest[:])]
	if !ok {
		f.fetch(v)
		return
	}
	f.tuned.under = true
	go func() {
		err := f.tuner.ApplySettings(v.Number, text)
		f.post(func() { f.adopted(v, err) })
	}()
}

func (f *Fleet) adopted(v rollout.Version, err error) {
	t := &f.tuned
	if t.under = false; err != nil {
		t.refused, t.why = v.Number, err.Error()
		log.Printf("event=fleet_version_refused number=%d err=%q", v.Number, err)
	} else {
		t.before, t.acts, t.digest = t.acts, v.Number, digest64(v.Digest)
		t.since, t.base = time.Now(), nil
	}
	f.follow()
	f.ask() // whoever leads should hear it soon
}

// fetch asks for the bytes of a version.
func (f *Fleet) fetch(v rollout.Version) {
	t := &f.tuned
	if t.wanted != v.Number {
		t.wanted, t.asks = v.Number, 0
	}
	if t.asks > 0 && time.Since(t.asked) < f.opts.Fleet.Lease/asksALease/2 {
		return
	}
	name, ok := whoHas(f.voters, f.names, f.name, t.asks, rand.IntN)
	if !ok {
		return
	}
	t.asked = time.Now()
	t.asks++
	f.send(name, kindWant, v.Digest[:])
}

// whoHas is whom a member asks for the bytes of a version, after so many asks in vain: by turns one of those who vote, who have
// them with the log, and one of all, who may be reached where those are not. Guards against members that ask all names in
// order, most of whom have nothing yet: a version then took a turn through the fleet.
func whoHas(voters, names []string, me string, asks int, draw func(int) int) (name string, ok bool) {
	for _, among := range [][]string{voters, names} {
		if asks%2 == 1 {
			among = names
		}
		from := draw(len(among))
		for i := range among {
			if name := among[(from+i)%len(among)]; name != me {
				return name, true
			}
		}
	}
	return "", false
}

// want answers who asks for bytes that are known here.
func (f *Fleet) want(from takeover.Member, digest []byte) {
	text, ok := f.tuned.texts[string(digest)]
	if !ok {
		return
	}
	if out, err := f.coder.out.Marshal(haveText{Text: text}); err == nil {
		f.send(from.Name, kindHave, out)
	}
}

// have takes bytes that the plan names; others are nothing to it.
func (f *Fleet) have(text []byte) {
	d := rollout.DigestOf(text)
	for _, v := range f.roster.Load().Plan.Versions {
		if v.Digest == d {
			f.keepTexts(map[string][]byte{string(d[:]): text})
			f.follow()
			return
		}
	}
}

// keepTexts takes bytes in, and drops those that the plan no longer names.
func (f *Fleet) keepTexts(more map[string][]byte) {
	all := map[string][]byte{}
	for _, v := range f.roster.Load().Plan.Versions {
		k := string(v.Digest[:])
		if text, ok := more[k]; ok {
			all[k] = text
		} else if text, ok := f.tuned.texts[k]; ok {
			all[k] = text
		}
	}
	f.tuned.texts = all
}

// shutOut stops this member, or lets it act again.
func (f *Fleet) shutOut(shut bool) {
	if f.shut.Swap(shut) == shut {
		return
	}
	plan := &f.roster.Load().Plan
	log.Printf("event=fleet_shut name=%s shut=%t acts=%d fence=%d refused=%d why=%q", f.name, shut, f.tuned.acts, plan.Fence, f.tuned.refused, f.tuned.why)
	if shut {
		f.tuner.CloseIdleConnections()
	}
}

// report is what this member tells who leads.
func (f *Fleet) report() (r rollout.Report) {
	t := &f.tuned
	if f.ledger == nil {
		return r
	}
	r = rollout.Report{Active: t.acts, Rejected: t.refused, RejectReason: t.why, Digest: t.digest, Build: f.build}
	if len(r.RejectReason) > mostWhy {
		r.RejectReason = r.RejectReason[:mostWhy]
	}
	r.Current.Answered, r.Current.Served = f.book.AnswerCounts(t.acts)
	if t.base != nil && r.Current.Served < t.base.Served || t.base != nil && r.Current.Answered < t.base.Answered {
		t.base = nil // the account of another incarnation
	}
	if t.base == nil && (t.acts == 0 || time.Since(t.since) >= afterAdopting) {
		now := r.Current
		t.base = &now
	}
	if t.base == nil {
		r.Current = rollout.ServiceCounts{}
	} else if t.acts > 0 {
		r.Current = rollout.ServiceCounts{Answered: r.Current.Answered - t.base.Answered, Served: r.Current.Served - t.base.Served}
	}
	r.Previous.Answered, r.Previous.Served = f.book.AnswerCounts(t.before)
	if t.before == t.acts {
		r.Previous = rollout.ServiceCounts{}
	}
	return r
}

// afterAdopting is for how long answers say nothing of a version that was just adopted: what a member does then had come
// before. Guards against a version that is held since a member that was stopped adopts it with all that had waited.
const afterAdopting = time.Second

const mostWhy = 300 // bytes of a reason that a member tells
