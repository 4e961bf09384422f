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
	leaseRequestsPerLease = 5 // asks for a lease while one lasts
	reopenInterval        = time.Second
	leaveGrace            = 100 * time.Millisecond
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
	CloseIdleConnections()                          // closes what is idle
}

// protocol is the version of what members tell each other.
const protocol = frame.Version

// injectedFaults are faults on purpose.
type injectedFaults struct {
	takeover    takeover.InjectedFault
	audit       audit.InjectedFault
	ignoreFence bool // leases are given below the fence
	looseGuard  bool // the guard lets one more be without a lease
}

// Fleet is this process's part in its fleet.
type Fleet struct {
	name                string
	maxRequestAge       time.Duration
	options             *options.Options
	configuredAddresses map[string]string // addresses by the options
	memberNames         []string
	sortedNames         []string // the same, by name: those that vote first
	hooks               Hooks
	codec               *Codec
	transport           *Transport
	coordinator         *coordinator
	voters              []string
	start               time.Time
	faults              injectedFaults
	build               string
	applier             SettingsApplier
	recorder            *audit.SegmentWriter // nil, with ledger: no account is kept
	replicator          *auditReplicator
	settings            settingsState // of the member's own actor
	excluded            atomic.Bool   // this member may not act by what it knows of the plan
	listenAddress       string        // told to the others where it is not the listed one
	resendInterval      int64         // µs
	quorumTimeout       int64

	ctx        context.Context
	self       atomic.Pointer[takeover.Member]
	lease      atomic.Pointer[Lease]
	membership atomic.Pointer[Membership]
	log        atomic.Pointer[Log]
	leader     atomic.Pointer[string]
	mailbox    chan func() // of the member's own actor: leases and the roster
	leaving    atomic.Bool
}

// New makes a member. longest is the longest deadline of a class, which counts unless the options say another. Nothing is
// listened to or sent before Run.
func New(o *options.Options, name string, longest time.Duration, hooks Hooks, tuner SettingsApplier) (*Fleet, error) {
	c, err := newCodec()
	if err != nil {
		return nil, err
	}
	if o.Takeover.MaxRequestDuration > 0 {
		longest = o.Takeover.MaxRequestDuration
	}
	f := &Fleet{
		maxRequestAge: longest, name: name, options: o, configuredAddresses: map[string]string{}, hooks: hooks, applier: tuner, codec: c, build: build(), start: time.Now(), mailbox: make(chan func(), 1024),
		resendInterval: max(o.Fleet.LeaseDuration.Microseconds()/20, 5000), faults: faultsOfBuild(),
	}
	f.quorumTimeout = o.Fleet.LeaseDuration.Microseconds() / 2
	for _, m := range o.Fleet.Members {
		f.memberNames = append(f.memberNames, m.Name)
		f.configuredAddresses[m.Name] = m.Address
	}
	f.voters, f.sortedNames = Voters(f.memberNames), slices.Sorted(slices.Values(f.memberNames))
	f.membership.Store(&Membership{})
	if err := f.newIncarnation(); err != nil {
		return nil, err
	}
	f.transport = newTransport(c, f.memberNames)
	f.transport.self, f.transport.handle, f.transport.handleAdmin = func() takeover.Member { return *f.self.Load() }, f.handleFrame, f.handleAdmin
	if o.Audit.Enabled {
		if f.recorder, err = audit.NewSegmentWriter(f.transport.fleetID, *f.self.Load(), f.build, protocol, f.micros, f.faults.audit); err != nil {
			return nil, err
		}
		if f.replicator, err = newAuditReplicator(f); err != nil {
			return nil, err
		}
	}
	f.transport.addressOf = func(name string) string { return f.membership.Load().AddressOf(name, f.configuredAddresses[name]) }
	f.coordinator = &coordinator{fleet: f, mailbox: make(chan func(int64), coordinatorMailboxSize), inFlight: map[string]*inFlightRequest{}}
	f.coordinator.node = takeover.New(takeover.Config{
		Self: *f.self.Load(), MemberNames: f.memberNames, ReplicationFactor: o.Takeover.Replicas, MaxRecords: o.Takeover.MaxRecords, MaxBytes: o.Takeover.MaxBytes,
		Retention: o.Takeover.AnswerRetention.Microseconds(), MaxRequestAge: longest.Microseconds(), QuorumTimeout: f.quorumTimeout, ResendInterval: f.resendInterval, LateRequestSlack: o.Fleet.LeaseDuration.Microseconds(),
		TakeoverStagger: o.Fleet.LeaseDuration.Microseconds() / 2, Fault: f.faults.takeover,
	})
	return f, nil
}

// newIncarnation draws a number by which this process is told from all others of its name, and a lease that is not valid yet.
func (f *Fleet) newIncarnation() error {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return err
	}
	if old := f.lease.Load(); old != nil {
		old.end()
	}
	f.self.Store(&takeover.Member{Name: f.name, Incarnation: binary.BigEndian.Uint64(b[:])})
	f.lease.Store(&Lease{start: f.start, fault: f.faults.takeover, excluded: &f.excluded, done: make(chan struct{})})
	return nil
}

// micros is the time by this process's own clock, in µs.
func (f *Fleet) micros() int64 { return time.Since(f.start).Microseconds() }

// Run serves the fleet until ctx ends. It returns once it listens, or with an error that names the address.
func (f *Fleet) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", f.options.Fleet.Address)
	if err != nil { // another process of this sidecar may have it: the others are told of another address
		host, _, bad := net.SplitHostPort(f.options.Fleet.Address)
		if bad != nil {
			return fmt.Errorf("fleet.address: %w", bad)
		}
		second, again := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if again != nil {
			return fmt.Errorf("fleet.address: %w", err)
		}
		ln, f.listenAddress = second, second.Addr().String()
		go f.listenAtConfiguredAddress(ctx)
	}
	f.ctx = ctx
	go f.transport.Serve(ctx, ln)
	go f.coordinator.run(ctx)
	go f.tendLease(ctx)
	if f.replicator != nil {
		go f.replicator.run(ctx)
	}
	if slices.Contains(f.voters, f.name) {
		go f.runVoter(ctx)
	}
	log.Printf("event=fleet_start name=%s incarnation=%x address=%s members=%d voters=%d lease=%s", f.name, f.self.Load().Incarnation, ln.Addr(),
		len(f.memberNames), len(f.voters), f.options.Fleet.LeaseDuration)
	return nil
}

// listenAtConfiguredAddress listens at the listed address too, as soon as the process that has it ends. Guards against a voter that nobody
// finds: the others learn another address by its joining alone, which may need its vote.
func (f *Fleet) listenAtConfiguredAddress(ctx context.Context) {
	for ctx.Err() == nil {
		if ln, err := net.Listen("tcp", f.options.Fleet.Address); err == nil {
			log.Printf("event=fleet_listens address=%s", ln.Addr())
			f.transport.Serve(ctx, ln)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

// runVoter keeps the epoch log, as soon as no other process of this sidecar does. A member that can't keep it votes for
// nothing, and says why.
func (f *Fleet) runVoter(ctx context.Context) {
	said := ""
	for ctx.Err() == nil {
		e, err := OpenLog(f.options.Fleet.StateDir, f.name, f.voters, f.options.Fleet.LeaseDuration)
		if err == nil {
			e.send, e.memberNames, e.ignoreFence = f.send, f.memberNames, f.faults.ignoreFence
			e.controller.Guard = rollout.Guard{MaxUnleasedPermille: f.options.Audit.MaxUnleasedPermille, OffByOne: f.faults.looseGuard}
			e.onChange = func(r *Membership, texts map[string][]byte) { f.learnMembership(r, texts) }
			f.log.Store(e)
			err = e.Run(ctx)
			f.log.Store(nil)
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
		case <-time.After(reopenInterval):
		}
	}
}

// send carries a frame to a name; to this one without the wire.
func (f *Fleet) send(name string, kind byte, payload []byte) {
	if name == f.name {
		go f.handleFrame(*f.self.Load(), kind, payload)
		return
	}
	f.transport.Send(f.ctx, name, kind, payload)
}

// tendLease is the actor of leases: it asks for them, and takes grants and rosters in.
func (f *Fleet) tendLease(ctx context.Context) {
	every := f.options.Fleet.LeaseDuration / leaseRequestsPerLease
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case fn := <-f.mailbox:
			fn()
		case <-next.C:
			f.requestLease()
			f.followPlan()
			if f.lease.Load().Valid() {
				next.Reset(every)
			} else {
				next.Reset(every / 4)
			}
		}
	}
}

// requestLease asks who leads for a lease, or all who may lead while that is not known.
func (f *Fleet) requestLease() {
	if f.leaving.Load() {
		return
	}
	me, sent := *f.self.Load(), time.Since(f.start)
	text, err := f.codec.out.Marshal(LeaseRequest{Member: me, RequestedAt: int64(sent), Address: f.listenAddress, Report: f.rolloutReport()})
	if err != nil {
		return
	}
	leader := f.leader.Load()
	if leader != nil && f.lease.Load().validUntil.Load()-int64(sent) > int64(f.options.Fleet.LeaseDuration)/2 {
		f.send(*leader, KindLeaseRequest, text)
		return
	}
	for _, v := range f.voters {
		f.send(v, KindLeaseRequest, text)
	}
}

// handleGrant takes a grant in.
func (f *Fleet) handleGrant(from string, g *LeaseGrant) {
	me := *f.self.Load()
	if g.Member != me {
		return
	}
	if g.Evicted {
		f.onEvicted()
		return
	}
	f.leader.Store(&from)
	if g.Epoch > f.membership.Load().Epoch {
		f.send(from, KindMembershipRequest, nil)
	}
	if g.Excluded {
		return
	}
	lease := f.lease.Load()
	was := lease.validUntil.Load() > 0
	lease.extend(g.RequestedAt, f.options.Fleet.LeaseDuration)
	if !was {
		log.Printf("event=fleet_lease name=%s incarnation=%x leader=%s epoch=%d", me.Name, me.Incarnation, from, g.Epoch)
	}
}

// onEvicted makes another member of this process: the one it was is out.
func (f *Fleet) onEvicted() {
	old := *f.self.Load()
	if err := f.newIncarnation(); err != nil {
		log.Printf("event=fleet_error err=%q", err)
		return
	}
	me := *f.self.Load()
	log.Printf("event=fleet_out name=%s incarnation=%x now=%x", old.Name, old.Incarnation, me.Incarnation)
	f.coordinator.mailbox <- func(int64) { f.coordinator.node.Rejoin(me) }
	if f.replicator != nil {
		f.replicator.post(func() { f.replicator.startIncarnation(me) })
	}
	f.requestLease()
}

// learnMembership takes a newer roster in, with the bytes of versions as far as they came with it. Only what is agreed comes here.
func (f *Fleet) learnMembership(r *Membership, texts map[string][]byte) {
	f.post(func() { f.applyMembership(r, texts) })
}

func (f *Fleet) applyMembership(r *Membership, texts map[string][]byte) {
	if r.Epoch <= f.membership.Load().Epoch {
		return
	}
	f.membership.Store(r)
	f.keepSettings(texts)
	f.followPlan()
	if f.replicator != nil {
		f.replicator.post(func() { f.replicator.onMembership(r) })
	}
	v := r.View()
	f.coordinator.mailbox <- func(now int64) { f.coordinator.node.ApplyView(now, v) }
	if me := *f.self.Load(); r.IsEvicted(me) && !f.leaving.Load() {
		f.onEvicted()
	}
	for _, name := range treeChildren(f.sortedNames, f.name, len(f.voters)) {
		f.sendMembership(name)
	}
}

// treeFanout is how many others each member tells of a new epoch.
const treeFanout = 4

// treeChildren lists whom a member tells: its children in a tree over all names, less those that vote, who have it from the log. Where a
// member is down, those below it see by their leases that there is more to know, and ask who gave them.
func treeChildren(sorted []string, name string, voters int) []string {
	at := slices.Index(sorted, name)
	if at < 0 {
		return nil
	}
	from := max(treeFanout*at+1, voters)
	to := min(treeFanout*at+treeFanout+1, len(sorted))
	if from >= to {
		return nil
	}
	return sorted[from:to]
}

func (f *Fleet) sendMembership(name string) {
	text, err := f.codec.out.Marshal(f.membership.Load())
	if err == nil {
		f.send(name, KindMembership, text)
	}
}

var ErrUnknownKind = errors.New("a frame of a kind that this build does not know")

// handleFrame takes a frame of another member, or of this one.
func (f *Fleet) handleFrame(from takeover.Member, kind byte, payload []byte) {
	err := error(nil)
	switch kind {
	case KindRaft:
		if e := f.log.Load(); e != nil {
			e.post(func() { e.stepRaft(from.Name, payload) })
		}
	case KindLeaseRequest:
		var a LeaseRequest
		if err = f.codec.in.Unmarshal(payload, &a); err == nil && a.Member.Name == from.Name {
			if e := f.log.Load(); e != nil {
				e.post(func() { e.handleLeaseRequest(a) })
			}
		}
	case KindLeave:
		var m takeover.Member
		if err = f.codec.in.Unmarshal(payload, &m); err == nil && m.Name == from.Name {
			if e := f.log.Load(); e != nil {
				e.post(func() { e.handleLeave(m) })
			}
		}
	case KindLeaseGrant:
		var g LeaseGrant
		if err = f.codec.in.Unmarshal(payload, &g); err == nil {
			f.post(func() { f.handleGrant(from.Name, &g) })
		}
	case KindMembershipRequest:
		f.post(func() { f.sendMembership(from.Name) })
	case KindMembership:
		r := new(Membership)
		if err = f.codec.in.Unmarshal(payload, r); err == nil {
			if err = r.Validate(); err == nil {
				f.learnMembership(r, nil)
			}
		}
	case KindSettingsRequest:
		f.post(func() { f.handleSettingsRequest(from, payload) })
	case KindSettings:
		var h settingsReply
		if err = f.codec.in.Unmarshal(payload, &h); err == nil {
			f.post(func() { f.handleSettings(h.Settings) })
		}
	case KindSegments:
		var all []audit.SealedSegment
		if err = f.codec.in.Unmarshal(payload, &all); err == nil && f.replicator != nil {
			f.replicator.post(func() { f.replicator.storeSegments(from, all) })
		}
	case KindSegmentAck:
		var all []segmentAck
		if err = f.codec.in.Unmarshal(payload, &all); err == nil && f.replicator != nil {
			f.replicator.post(func() {
				for _, one := range all {
					f.replicator.replication.Acknowledge(from.Name, one.Member, one.Index)
				}
			})
		}
	case KindTakeover:
		var all []takeover.Message
		if err = f.codec.in.Unmarshal(payload, &all); err == nil {
			f.handleTakeover(from, all)
		}
	default:
		err = fmt.Errorf("%w: %d", ErrUnknownKind, kind)
	}
	if err != nil {
		f.transport.LogRejected("", from.Name, err)
	}
}

func (f *Fleet) post(fn func()) {
	select {
	case f.mailbox <- fn:
	case <-f.ctx.Done():
	}
}

// handleTakeover hands messages to the keeper. Whoever speaks of a later epoch is asked for it first.
func (f *Fleet) handleTakeover(from takeover.Member, all []takeover.Message) {
	latest := uint64(0)
	for i := range all {
		latest = max(latest, all[i].Epoch)
	}
	if latest > f.membership.Load().Epoch {
		f.send(from.Name, KindMembershipRequest, nil)
	}
	done := make(chan struct{})
	fn := func(now int64) {
		defer close(done)
		for i := range all {
			f.coordinator.node.Handle(now, from, &all[i])
		}
	}
	select {
	case f.coordinator.mailbox <- fn:
	case <-f.ctx.Done():
		return
	}
	select { // one frame of a connection at a time: a flood waits for itself
	case <-done:
	case <-f.ctx.Done():
	}
}

// Execute brings a request under custody, has it run if that is this member's to do, and tells its outcome. gone is closed
// when its client leaves.
func (f *Fleet) Execute(w takeover.Request, gone <-chan struct{}, run func(takeover.SendPermit) takeover.Result) takeover.Outcome {
	wait := make(chan takeover.Outcome, 1)
	end := time.NewTimer(w.Timeout)
	defer end.Stop()
	select {
	case f.coordinator.mailbox <- func(now int64) { f.coordinator.begin(now, w, wait, run) }:
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
			if more = w.MaxDuration > w.Timeout && f.coordinator.isExecuting(w.ID, wait); more {
				end.Reset(w.MaxDuration - w.Timeout)
				w.MaxDuration = 0
			}
		case <-f.ctx.Done():
			more = false
		}
	}
	f.coordinator.post(func(int64) { f.coordinator.removeWaiter(w.ID, wait) })
	select { // it came at the same time
	case o := <-wait:
		return o
	default:
		return takeover.Outcome{Kind: takeover.OutcomeCallerGone}
	}
}

// ReplicationPolicy tells what becomes of a class's work.
func (f *Fleet) ReplicationPolicy(class string, e takeover.Idempotency) options.ReplicationPolicy {
	if c, ok := f.options.Takeover.PolicyByClass[class]; ok {
		return c
	}
	switch e {
	case takeover.NotIdempotent:
		return options.StrictReplication
	case takeover.IdempotentByKey:
		return options.BestEffortReplication
	}
	return options.NoReplication
}

// RequiredLease is the lease without which nothing at all is taken or sent; nil: none is.
func (f *Fleet) RequiredLease() takeover.Lease {
	if f.replicator == nil {
		return nil
	}
	return f.lease.Load()
}

// MayReject tells whether a request that was read just now had not waited.
func (f *Fleet) MayReject() bool {
	back := make(chan bool, 1)
	select {
	case f.coordinator.mailbox <- func(now int64) { back <- f.coordinator.readsAreFresh(now) }:
		return <-back
	case <-f.ctx.Done():
		return false
	}
}

// Ledger is the account that this member keeps of itself; nil: none.
func (f *Fleet) Ledger() auditevent.Recorder {
	if f.recorder == nil {
		return nil
	}
	return f.recorder
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

// MaxDuration is how long a request may be in custody.
func (f *Fleet) MaxDuration() time.Duration { return f.maxRequestAge }

// Leave ends the membership of a process that has ended its work: others take over what is left at once.
func (f *Fleet) Leave() {
	f.leaving.Store(true)
	text, err := f.codec.out.Marshal(*f.self.Load())
	if err == nil {
		err = f.newIncarnation() // what comes after belongs to nobody: guards against an account that goes on after its end
	}
	if err != nil {
		return
	}
	if f.replicator != nil {
		done := make(chan struct{})
		me := *f.self.Load()
		f.replicator.post(func() { f.replicator.startIncarnation(me); close(done) })
		select {
		case <-done:
		case <-time.After(leaveGrace):
		}
	}
	for _, v := range f.voters {
		f.send(v, KindLeave, text)
	}
	time.Sleep(leaveGrace) // it is no more than a hint: where it is lost the lease's end does
}
