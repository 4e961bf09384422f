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
	ErrLeaderChanged = errors.New("the fleet has changed its leader: whether this was agreed is not known here")
	ErrNotLeader     = errors.New("this member does not lead")
	ErrTimeout       = errors.New("not agreed in time: too few members can be reached, or it may still be agreed; ask for the status")
	ErrBusy          = errors.New("this member has too much to do")
)

// submit puts an order into the log; reply is told what came of it, once, and may not wait.
func (e *Log) submit(o *rollout.Command, reply func(error)) {
	if !e.isLeader {
		reply(ErrNotLeader)
		return
	}
	_, err := e.membership.Plan.Apply(o, e.memberNames, e.membership.MemberNames()) // it is told at once what is wrong with it
	if err == nil && o.Kind == rollout.Exclude {
		err = e.controller.CheckExclude(o.Name, &e.membership.Plan, e.memberNames, e.reports, time.Now())
	}
	if err == nil && e.pendingCommands[o.ID] != nil {
		err = rollout.ErrAlreadyApplied
	}
	if err == nil {
		e.pendingCommands[o.ID] = reply
		if err = e.propose(&Change{Command: o}); err != nil {
			delete(e.pendingCommands, o.ID)
		}
	}
	if err != nil {
		reply(err)
	}
}

// applyCommand applies an order that was agreed.
func (e *Log) applyCommand(o *rollout.Command, old bool) {
	next, err := e.membership.Plan.Apply(o, e.memberNames, e.membership.MemberNames())
	if reply := e.pendingCommands[o.ID]; reply != nil {
		delete(e.pendingCommands, o.ID)
		reply(err)
	}
	if err != nil {
		return
	}
	e.membership = e.membership.Apply(&Change{Command: o}, e.memberNames)
	texts := map[string][]byte{}
	for _, v := range next.Versions {
		if text, ok := e.settings[string(v.Digest[:])]; ok {
			texts[string(v.Digest[:])] = text
		}
	}
	if o.Kind == rollout.RollOut {
		d := rollout.DigestOf(o.Settings)
		texts[string(d[:])] = o.Settings
	}
	e.settings = texts
	if !old {
		log.Printf("event=fleet_order epoch=%d order=%v target=%d fence=%d share=%d held=%q name=%q who=%q why=%q", e.membership.Epoch, o.Kind,
			next.Target, next.Fence, next.Share, next.PauseReason, o.Name, o.Author, o.Reason)
	}
}

// status is what a member tells of the fleet, as the log's leader if it leads.
func (e *Log) status() (heard map[string]rollout.ReceivedReport, waits string, leads bool) {
	if !e.isLeader {
		return nil, "", false
	}
	heard = make(map[string]rollout.ReceivedReport, len(e.reports))
	for name, h := range e.reports {
		heard[name] = h
	}
	return heard, e.controller.WaitReason, true
}

// settingsState is the state of what this member acts on. The member's own actor has it.
type settingsState struct {
	active          uint64 // number
	digest          uint64 // of the bytes
	previous        uint64 // number that it acted on before
	rejected        uint64 // that it could not adopt
	rejectReason    string
	activeSince     time.Time              // when it began to act on it
	baseline        *rollout.ServiceCounts // answers under it that do not count
	known           map[string][]byte      // of versions, by digest, as far as they are known here
	applying        bool                   // a version is being adopted
	requestedAt     time.Time              // when a version's bytes were last asked for
	requestedNumber uint64                 // version that they are asked for
	requests        int                    // for them
}

// settingsReply answers who asks for a version's bytes.
type settingsReply struct {
	_        struct{} `cbor:",toarray"`
	Settings []byte
}

// followPlan adopts what the plan wants of this member, and stops it where it may not act. On the member's own actor.
func (f *Fleet) followPlan() {
	if f.replicator == nil {
		return
	}
	plan := &f.membership.Load().Plan
	f.setExcluded(!plan.MayLease(f.name, f.settings.active) && !f.faults.ignoreFence)
	want := plan.TargetFor(f.name)
	if want <= f.settings.active || want == f.settings.rejected || f.settings.applying {
		return // a number only grows: the lease was asked for under it
	}
	v, ok := plan.Find(want)
	if !ok {
		return
	}
	text, ok := f.settings.known[string(v.Digest[:])]
	if !ok {
		f.requestSettings(v)
		return
	}
	f.settings.applying = true
	go func() {
		err := f.applier.ApplySettings(v.Number, text)
		f.post(func() { f.onApplied(v, err) })
	}()
}

func (f *Fleet) onApplied(v rollout.Version, err error) {
	t := &f.settings
	if t.applying = false; err != nil {
		t.rejected, t.rejectReason = v.Number, err.Error()
		log.Printf("event=fleet_version_refused number=%d err=%q", v.Number, err)
	} else {
		t.previous, t.active, t.digest = t.active, v.Number, digest64(v.Digest)
		t.activeSince, t.baseline = time.Now(), nil
	}
	f.followPlan()
	f.requestLease() // whoever leads should hear it soon
}

// requestSettings asks for the bytes of a version.
func (f *Fleet) requestSettings(v rollout.Version) {
	t := &f.settings
	if t.requestedNumber != v.Number {
		t.requestedNumber, t.requests = v.Number, 0
	}
	if t.requests > 0 && time.Since(t.requestedAt) < f.options.Fleet.LeaseDuration/leaseRequestsPerLease/2 {
		return
	}
	name, ok := settingsSource(f.voters, f.memberNames, f.name, t.requests, rand.IntN)
	if !ok {
		return
	}
	t.requestedAt = time.Now()
	t.requests++
	f.send(name, KindSettingsRequest, v.Digest[:])
}

// settingsSource is whom a member asks for the bytes of a version, after so many asks in vain: by turns one of those who vote, who have
// them with the log, and one of all, who may be reached where those are not. Guards against members that ask all names in
// order, most of whom have nothing yet: a version then took a turn through the fleet.
func settingsSource(voters, names []string, me string, asks int, draw func(int) int) (name string, ok bool) {
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

// handleSettingsRequest answers who asks for bytes that are known here.
func (f *Fleet) handleSettingsRequest(from takeover.Member, digest []byte) {
	text, ok := f.settings.known[string(digest)]
	if !ok {
		return
	}
	if out, err := f.codec.out.Marshal(settingsReply{Settings: text}); err == nil {
		f.send(from.Name, KindSettings, out)
	}
}

// handleSettings takes bytes that the plan names; others are nothing to it.
func (f *Fleet) handleSettings(text []byte) {
	d := rollout.DigestOf(text)
	for _, v := range f.membership.Load().Plan.Versions {
		if v.Digest == d {
			f.keepSettings(map[string][]byte{string(d[:]): text})
			f.followPlan()
			return
		}
	}
}

// keepSettings takes bytes in, and drops those that the plan no longer names.
func (f *Fleet) keepSettings(more map[string][]byte) {
	all := map[string][]byte{}
	for _, v := range f.membership.Load().Plan.Versions {
		k := string(v.Digest[:])
		if text, ok := more[k]; ok {
			all[k] = text
		} else if text, ok := f.settings.known[k]; ok {
			all[k] = text
		}
	}
	f.settings.known = all
}

// setExcluded stops this member, or lets it act again.
func (f *Fleet) setExcluded(shut bool) {
	if f.excluded.Swap(shut) == shut {
		return
	}
	plan := &f.membership.Load().Plan
	log.Printf("event=fleet_shut name=%s shut=%t acts=%d fence=%d refused=%d why=%q", f.name, shut, f.settings.active, plan.Fence, f.settings.rejected, f.settings.rejectReason)
	if shut {
		f.applier.CloseIdleConnections()
	}
}

// rolloutReport is what this member tells who leads.
func (f *Fleet) rolloutReport() (r rollout.Report) {
	t := &f.settings
	if f.replicator == nil {
		return r
	}
	r = rollout.Report{Active: t.active, Rejected: t.rejected, RejectReason: t.rejectReason, Digest: t.digest, Build: f.build}
	if len(r.RejectReason) > maxReasonBytes {
		r.RejectReason = r.RejectReason[:maxReasonBytes]
	}
	r.Current.Answered, r.Current.Served = f.recorder.AnswerCounts(t.active)
	if t.baseline != nil && r.Current.Served < t.baseline.Served || t.baseline != nil && r.Current.Answered < t.baseline.Answered {
		t.baseline = nil // the account of another incarnation
	}
	if t.baseline == nil && (t.active == 0 || time.Since(t.activeSince) >= ignoreAfterApply) {
		now := r.Current
		t.baseline = &now
	}
	if t.baseline == nil {
		r.Current = rollout.ServiceCounts{}
	} else if t.active > 0 {
		r.Current = rollout.ServiceCounts{Answered: r.Current.Answered - t.baseline.Answered, Served: r.Current.Served - t.baseline.Served}
	}
	r.Previous.Answered, r.Previous.Served = f.recorder.AnswerCounts(t.previous)
	if t.previous == t.active {
		r.Previous = rollout.ServiceCounts{}
	}
	return r
}

// ignoreAfterApply is for how long answers say nothing of a version that was just adopted: what a member does then had come
// before. Guards against a version that is held since a member that was stopped adopts it with all that had waited.
const ignoreAfterApply = time.Second

const maxReasonBytes = 300 // bytes of a reason that a member tells
