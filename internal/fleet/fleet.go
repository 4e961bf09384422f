// Package fleet joins sidecars into one: members that agree on who lives, leases by which each knows that it may act, and
// records by which one takes over what another had in hand. docs/takeover.md tells how and why.
package fleet

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log"
	"net"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"damsonscale/internal/audit"
	"damsonscale/internal/auditevent"
	"damsonscale/internal/frame"
	"damsonscale/internal/options"
	"damsonscale/internal/rollout"
	"damsonscale/internal/takeover"
)

const (
	asksALease  = 5 // asks for a lease while one lasts
	reopenEvery = time.Second
	leaveWait   = 100 * time.Millisecond
)

// Hooks are what a fleet needs of the program.
type Hooks interface {
	// Unasked makes what runs a recorded request that nobody has asked for again.
	ResumeOrphan(rec *takeover.Record, stored *takeover.StoredRequest) (func(takeover.SendPermit) takeover.Result, error)
	// Unheard ends a live answer that nobody is left to take.
	DiscardAnswer(live any)
}

// SettingsApplier puts versions of the settings in force.
type SettingsApplier interface {
	ApplySettings(number uint64, text []byte) error // whole, or not at all
	ValidateSettings(text []byte) error             // tells what Adopt would say
	CloseIdleConnections()                             // closes what is idle
}

// protocol is the version of what members tell each other.
const protocol = frame.Version

// plants are faults on purpose.
type plants struct {
	custody    takeover.InjectedFault
	audit      audit.InjectedFault
	noFence    bool // leases are given below the fence
	looseGuard bool // the guard lets one more be without a lease
}

// Fleet is this process's part in its fleet.
type Fleet struct {
	name    string
	longest time.Duration
	opts    *options.Options
	listed  map[string]string // addresses by the options
	names   []string
	sorted  []string // the same, by name: those that vote first
	hooks   Hooks
	coder   *coder
	wire    *wire
	keeper  *keeper
	voters  []string
	start   time.Time
	plant   plants
	build   string
	tuner   SettingsApplier
	book    *audit.SegmentWriter // nil, with ledger: no account is kept
	ledger  *ledger
	tuned   tuned       // of the member's own actor
	shut    atomic.Bool // this member may not act by what it knows of the plan
	address string      // told to the others where it is not the listed one
	again   int64       // µs
	wait    int64

	ctx    context.Context
	me     atomic.Pointer[takeover.Member]
	lease  atomic.Pointer[Lease]
	roster atomic.Pointer[roster]
	epochs atomic.Pointer[epochs]
	leader atomic.Pointer[string]
	box    chan func() // of the member's own actor: leases and the roster
	ended  atomic.Bool
}

// New makes a member. longest is the longest deadline of a class, which counts unless the options say another. Nothing is
// listened to or sent before Run.
func New(o *options.Options, name string, longest time.Duration, hooks Hooks, tuner SettingsApplier) (*Fleet, error) {
	c, err := newCoder()
	if err != nil {
		return nil, err
	}
	if o.Takeover.Longest > 0 {
		longest = o.Takeover.Longest
	}
	f := &Fleet{
		longest: longest, name: name, opts: o, listed: map[string]string{}, hooks: hooks, tuner: tuner, coder: c, build: build(), start: time.Now(), box: make(chan func(), 1024),
		again: max(o.Fleet.Lease.Microseconds()/20, 5000), plant: planted(),
	}
	f.wait = o.Fleet.Lease.Microseconds() / 2
	for _, m := range o.Fleet.Members {
		f.names = append(f.names, m.Name)
		f.listed[m.Name] = m.Address
	}
	f.voters, f.sorted = votersOf(f.names), slices.Sorted(slices.Values(f.names))
	f.roster.Store(&roster{})
	if err := f.incarnate(); err != nil {
		return nil, err
	}
	f.wire = newWire(c, f.names)
	f.wire.me, f.wire.take, f.wire.desk = func() takeover.Member { return *f.me.Load() }, f.take, f.desk
	if o.Audit.Enabled {
		if f.book, err = audit.NewSegmentWriter(f.wire.id, *f.me.Load(), f.build, protocol, f.micros, f.plant.audit); err != nil {
			return nil, err
		}
		if f.ledger, err = newLedger(f); err != nil {
			return nil, err
		}
	}
	f.wire.where = func(name string) string { return f.roster.Load().addressOf(name, f.listed[name]) }
	f.keeper = &keeper{f: f, box: make(chan func(int64), keeperBox), flights: map[string]*flight{}}
	f.keeper.node = takeover.New(takeover.Config{
		Self: *f.me.Load(), MemberNames: f.names, ReplicationFactor: o.Takeover.Holders, MaxRecords: o.Takeover.Records, MaxBytes: o.Takeover.Bytes,
		Retention: o.Takeover.KeepAnswers.Microseconds(), MaxRequestAge: longest.Microseconds(), QuorumTimeout: f.wait, ResendInterval: f.again, LateRequestSlack: o.Fleet.Lease.Microseconds(),
		TakeoverStagger: o.Fleet.Lease.Microseconds() / 2, Fault: f.plant.custody,
	})
	return f, nil
}

// incarnate draws a number by which this process is told from all others of its name, and a lease that is not valid yet.
func (f *Fleet) incarnate() error {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return err
	}
	if old := f.lease.Load(); old != nil {
		old.end()
	}
	f.me.Store(&takeover.Member{Name: f.name, Incarnation: binary.BigEndian.Uint64(b[:])})
	f.lease.Store(&Lease{start: f.start, plant: f.plant.custody, shut: &f.shut, over: make(chan struct{})})
	return nil
}

// micros is the time by this process's own clock, in µs.
func (f *Fleet) micros() int64 { return time.Since(f.start).Microseconds() }

// Run serves the fleet until ctx ends. It returns once it listens, or with an error that names the address.
func (f *Fleet) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", f.opts.Fleet.Address)
	if err != nil { // another process of this sidecar may have it: the others are told of another address
		host, _, bad := net.SplitHostPort(f.opts.Fleet.Address)
		if bad != nil {
			return fmt.Errorf("fleet.address: %w", bad)
		}
		second, again := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if again != nil {
			return fmt.Errorf("fleet.address: %w", err)
		}
		ln, f.address = second, second.Addr().String()
		go f.comeBack(ctx)
	}
	f.ctx = ctx
	go f.wire.serve(ctx, ln)
	go f.keeper.run(ctx)
	go f.tend(ctx)
	if f.ledger != nil {
		go f.ledger.run(ctx)
	}
	if slices.Contains(f.voters, f.name) {
		go f.vote(ctx)
	}
	log.Printf("event=fleet_start name=%s incarnation=%x address=%s members=%d voters=%d lease=%s", f.name, f.me.Load().Incarnation, ln.Addr(),
		len(f.names), len(f.voters), f.opts.Fleet.Lease)
	return nil
}

// comeBack listens at the listed address too, as soon as the process that has it ends. Guards against a voter that nobody
// finds: the others learn another address by its joining alone, which may need its vote.
func (f *Fleet) comeBack(ctx context.Context) {
	for ctx.Err() == nil {
		if ln, err := net.Listen("tcp", f.opts.Fleet.Address); err == nil {
			log.Printf("event=fleet_listens address=%s", ln.Addr())
			f.wire.serve(ctx, ln)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(redial):
		}
	}
}

// vote keeps the epoch log, as soon as no other process of this sidecar does. A member that can't keep it votes for
// nothing, and says why.
func (f *Fleet) vote(ctx context.Context) {
	said := ""
	for ctx.Err() == nil {
		e, err := newEpochs(f.opts.Fleet.StateDir, f.name, f.voters, f.opts.Fleet.Lease)
		if err == nil {
			e.send, e.names, e.noFence = f.send, f.names, f.plant.noFence
			e.driver.Guard = rollout.Guard{MaxUnleasedPermille: f.opts.Audit.MostOut, OffByOne: f.plant.looseGuard}
			e.told = func(r *roster, texts map[string][]byte) { f.learn(r, texts) }
			f.epochs.Store(e)
			err = e.run(ctx)
			f.epochs.Store(nil)
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil && err.Error() != said {
			said = err.Error()
			log.Printf("event=fleet_votes_not err=%q", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(reopenEvery):
		}
	}
}

// send carries a frame to a name; to this one without the wire.
func (f *Fleet) send(name string, kind byte, payload []byte) {
	if name == f.name {
		go f.take(*f.me.Load(), kind, payload)
		return
	}
	f.wire.send(f.ctx, name, kind, payload)
}

// tend is the actor of leases: it asks for them, and takes grants and rosters in.
func (f *Fleet) tend(ctx context.Context) {
	every := f.opts.Fleet.Lease / asksALease
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case fn := <-f.box:
			fn()
		case <-next.C:
			f.ask()
			f.follow()
			if f.lease.Load().Valid() {
				next.Reset(every)
			} else {
				next.Reset(every / 4)
			}
		}
	}
}

// ask asks who leads for a lease, or all who may lead while that is not known.
func (f *Fleet) ask() {
	if f.ended.Load() {
		return
	}
	me, sent := *f.me.Load(), time.Since(f.start)
	text, err := f.coder.out.Marshal(askLease{Member: me, Sent: int64(sent), Address: f.address, Report: f.report()})
	if err != nil {
		return
	}
	leader := f.leader.Load()
	if leader != nil && f.lease.Load().until.Load()-int64(sent) > int64(f.opts.Fleet.Lease)/2 {
		f.send(*leader, kindAsk, text)
		return
	}
	for _, v := range f.voters {
		f.send(v, kindAsk, text)
	}
}

// granted takes a grant in.
func (f *Fleet) granted(from string, g *granted) {
	me := *f.me.Load()
	if g.Member != me {
		return
	}
	if g.Out {
		f.putOut()
		return
	}
	f.leader.Store(&from)
	if g.Epoch > f.roster.Load().Epoch {
		f.send(from, kindViewAsk, nil)
	}
	if g.Shut {
		return
	}
	lease := f.lease.Load()
	was := lease.until.Load() > 0
	lease.extend(g.Sent, f.opts.Fleet.Lease)
	if !was {
		log.Printf("event=fleet_lease name=%s incarnation=%x leader=%s epoch=%d", me.Name, me.Incarnation, from, g.Epoch)
	}
}

// putOut makes another member of this process: the one it was is out.
func (f *Fleet) putOut() {
	old := *f.me.Load()
	if err := f.incarnate(); err != nil {
		log.Printf("event=fleet_error err=%q", err)
		return
	}
	me := *f.me.Load()
	log.Printf("event=fleet_out name=%s incarnation=%x now=%x", old.Name, old.Incarnation, me.Incarnation)
	f.keeper.box <- func(int64) { f.keeper.node.Rejoin(me) }
	if f.ledger != nil {
		f.ledger.post(func() { f.ledger.next(me) })
	}
	f.ask()
}

// learn takes a newer roster in, with the bytes of versions as far as they came with it. Only what is agreed comes here.
func (f *Fleet) learn(r *roster, texts map[string][]byte) {
	f.post(func() { f.learned(r, texts) })
}

func (f *Fleet) learned(r *roster, texts map[string][]byte) {
	if r.Epoch <= f.roster.Load().Epoch {
		return
	}
	f.roster.Store(r)
	f.keepTexts(texts)
	f.follow()
	if f.ledger != nil {
		f.ledger.post(func() { f.ledger.see(r) })
	}
	v := r.view()
	f.keeper.box <- func(now int64) { f.keeper.node.ApplyView(now, v) }
	if me := *f.me.Load(); r.gone(me) && !f.ended.Load() {
		f.putOut()
	}
	for _, name := range told(f.sorted, f.name, len(f.voters)) {
		f.tellRoster(name)
	}
}

// tells is how many others each member tells of a new epoch.
const tells = 4

// told lists whom a member tells: its children in a tree over all names, less those that vote, who have it from the log. Where a
// member is down, those below it see by their leases that there is more to know, and ask who gave them.
func told(sorted []string, name string, voters int) []string {
	at := slices.Index(sorted, name)
	if at < 0 {
		return nil
	}
	from := max(tells*at+1, voters)
	to := min(tells*at+tells+1, len(sorted))
	if from >= to {
		return nil
	}
	return sorted[from:to]
}

func (f *Fleet) tellRoster(name string) {
	text, err := f.coder.out.Marshal(f.roster.Load())
	if err == nil {
		f.send(name, kindView, text)
	}
}

var errKind = errors.New("a frame of a kind that this build does not know")

// take takes a frame of another member, or of this one.
func (f *Fleet) take(from takeover.Member, kind byte, payload []byte) {
	err := error(nil)
	switch kind {
	case kindRaft:
		if e := f.epochs.Load(); e != nil {
			e.post(func() { e.step(from.Name, payload) })
		}
	case kindAsk:
		var a askLease
		if err = f.coder.in.Unmarshal(payload, &a); err == nil && a.Member.Name == from.Name {
			if e := f.epochs.Load(); e != nil {
				e.post(func() { e.ask(a) })
			}
		}
	case kindLeave:
		var m takeover.Member
		if err = f.coder.in.Unmarshal(payload, &m); err == nil && m.Name == from.Name {
			if e := f.epochs.Load(); e != nil {
				e.post(func() { e.left(m) })
			}
		}
	case kindGrant:
		var g granted
		if err = f.coder.in.Unmarshal(payload, &g); err == nil {
			f.post(func() { f.granted(from.Name, &g) })
		}
	case kindViewAsk:
		f.post(func() { f.tellRoster(from.Name) })
	case kindView:
		r := new(roster)
		if err = f.coder.in.Unmarshal(payload, r); err == nil {
			if err = r.check(); err == nil {
				f.learn(r, nil)
			}
		}
	case kindWant:
		f.post(func() { f.want(from, payload) })
	case kindHave:
		var h haveText
		if err = f.coder.in.Unmarshal(payload, &h); err == nil {
			f.post(func() { f.have(h.Text) })
		}
	case kindSegments:
		var all []audit.SealedSegment
		if err = f.coder.in.Unmarshal(payload, &all); err == nil && f.ledger != nil {
			f.ledger.post(func() { f.ledger.hold(from, all) })
		}
	case kindTaken:
		var all []takenOf
		if err = f.coder.in.Unmarshal(payload, &all); err == nil && f.ledger != nil {
			f.ledger.post(func() {
				for _, one := range all {
					f.ledger.pushing.Acknowledge(from.Name, one.Of, one.Index)
				}
			})
		}
	case kindCustody:
		var all []takeover.Message
		if err = f.coder.in.Unmarshal(payload, &all); err == nil {
			f.custody(from, all)
		}
	default:
		err = fmt.Errorf("%w: %d", errKind, kind)
	}
	if err != nil {
		f.wire.refuse("", from.Name, err)
	}
}

func (f *Fleet) post(fn func()) {
	select {
	case f.box <- fn:
	case <-f.ctx.Done():
	}
}

// custody hands messages to the keeper. Whoever speaks of a later epoch is asked for it first.
func (f *Fleet) custody(from takeover.Member, all []takeover.Message) {
	latest := uint64(0)
	for i := range all {
		latest = max(latest, all[i].Epoch)
	}
	if latest > f.roster.Load().Epoch {
		f.send(from.Name, kindViewAsk, nil)
	}
	done := make(chan struct{})
	fn := func(now int64) {
		defer close(done)
		for i := range all {
			f.keeper.node.Handle(now, from, &all[i])
		}
	}
	select {
	case f.keeper.box <- fn:
	case <-f.ctx.Done():
		return
	}
	select { // one frame of a connection at a time: a flood waits for itself
	case <-done:
	case <-f.ctx.Done():
	}
}

// Do brings a request under custody, has it run if that is this member's to do, and tells its outcome. gone is closed
// when its client leaves.
func (f *Fleet) Do(w takeover.Request, gone <-chan struct{}, run func(takeover.SendPermit) takeover.Result) takeover.Outcome {
	wait := make(chan takeover.Outcome, 1)
	end := time.NewTimer(w.Timeout)
	defer end.Stop()
	select {
	case f.keeper.box <- func(now int64) { f.keeper.open(now, w, wait, run) }:
	case <-end.C:
		return takeover.Outcome{Kind: takeover.OutcomeCallerGone}
	}
	for more := true; more; {
		select {
		case o := <-wait:
			return o
		case <-gone:
			more = false
		case <-end.C: // one that runs has until its body has come and its time after that is up
			if more = w.MaxDuration > w.Timeout && f.keeper.runs(w.ID, wait); more {
				end.Reset(w.MaxDuration - w.Timeout)
				w.MaxDuration = 0
			}
		case <-f.ctx.Done():
			more = false
		}
	}
	f.keeper.post(func(int64) { f.keeper.left(w.ID, wait) })
	select { // it came at the same time
	case o := <-wait:
		return o
	default:
		return takeover.Outcome{Kind: takeover.OutcomeCallerGone}
	}
}

// Custody tells what becomes of a class's work.
func (f *Fleet) Custody(class string, e takeover.Idempotency) options.Custody {
	if c, ok := f.opts.Takeover.Classes[class]; ok {
		return c
	}
	switch e {
	case takeover.NotIdempotent:
		return options.Strict
	case takeover.IdempotentByKey:
		return options.BestEffort
	}
	return options.None
}

// Needed is the lease without which nothing at all is taken or sent; nil: none is.
func (f *Fleet) Needed() takeover.Lease {
	if f.ledger == nil {
		return nil
	}
	return f.lease.Load()
}

// MayRefuse tells whether a request that was read just now had not waited.
func (f *Fleet) MayRefuse() bool {
	back := make(chan bool, 1)
	select {
	case f.keeper.box <- func(now int64) { back <- f.keeper.fresh(now) }:
		return <-back
	case <-f.ctx.Done():
		return false
	}
}

// Ledger is the account that this member keeps of itself; nil: none.
func (f *Fleet) Ledger() auditevent.Recorder {
	if f.book == nil {
		return nil
	}
	return f.book
}

// Digest is that of settings, for the account.
func (f *Fleet) Digest(text []byte) uint64 { return audit.Digest(text) }

func digest64(d rollout.Digest) uint64 { return binary.BigEndian.Uint64(d[:8]) }

// build names the program's build.
func build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value[:min(12, len(s.Value))]
		}
	}
	return cmp.Or(info.Main.Version, "unknown")
}

// Longest is how long a request may be in custody.
func (f *Fleet) Longest() time.Duration { return f.longest }

// Leave ends the membership of a process that has ended its work: others take over what is left at once.
func (f *Fleet) Leave() {
	f.ended.Store(true)
	text, err := f.coder.out.Marshal(*f.me.Load())
	if err == nil {
		err = f.incarnate() // what comes after belongs to nobody: guards against an account that goes on after its end
	}
	if err != nil {
		return
	}
	if f.ledger != nil {
		done := make(chan struct{})
		me := *f.me.Load()
		f.ledger.post(func() { f.ledger.next(me); close(done) })
		select {
		case <-done:
		case <-time.After(leaveWait):
		}
	}
	for _, v := range f.voters {
		f.send(v, kindLeave, text)
	}
	time.Sleep(leaveWait) // it is no more than a hint: where it is lost the lease's end does
}
