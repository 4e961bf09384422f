package fleet

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"damsonscale/internal/audit"
	"damsonscale/internal/auditevent"
	"damsonscale/internal/eventlog"
	"damsonscale/internal/fleet/membership"
	"damsonscale/internal/fleet/protocol"
	"damsonscale/internal/fleet/transport"
	"damsonscale/internal/options"
	"damsonscale/internal/takeover"
)

const (
	mailboxSize    = 1024                  // messages to runLeaseRenewal's or the replicator's goroutine
	rebindInterval = 50 * time.Millisecond // between attempts to listen at the configured address
)

// Intervals within one lease.
const (
	leaseRequestsPerLease    = 5
	quorumTimeoutsPerLease   = 2
	takeoverStaggersPerLease = 2
	resendsPerLease          = 20
	minResendMicros          = 5000 // however short the lease is
)

// Hooks are what a fleet needs of the client side. They may be called from any goroutine.
type Hooks interface {
	// ResumeOrphan prepares the execution of a recorded request that no client is waiting for.
	ResumeOrphan(rec *takeover.Record, stored *takeover.StoredRequest) (func(takeover.SendPermit) takeover.Result, error)
	// DiscardResponse ends a live response that no client is left to read.
	DiscardResponse(live any)
}

// SettingsApplier puts versions of the settings in force. Its methods may be called from any goroutine.
type SettingsApplier interface {
	ApplySettings(number uint64, text []byte) error // completely, or not at all
	ValidateSettings(text []byte) error             // returns what ApplySettings would
	CloseIdleConnections()
}

// injectedFaults are deliberate faults of a build for the laboratory.
type injectedFaults struct {
	takeover    takeover.InjectedFault
	audit       audit.InjectedFault
	ignoreFence bool // leases are granted below the rollout plan's fence
	looseGuard  bool // the rollout guard lets one more member be without a lease than it may
}

// Fleet is this process's part in its fleet.
type Fleet struct {
	name                string
	options             *options.Options
	memberNames         []string
	sortedNames         []string          // the same in order: the first ones vote
	configuredAddresses map[string]string // by member name
	voters              []string
	build               string
	start               time.Time
	maxRequestAge       time.Duration
	resendInterval      int64 // µs
	quorumTimeout       int64 // µs
	faults              injectedFaults

	hooks       Hooks
	applier     SettingsApplier
	codec       *protocol.Codec
	transport   *transport.Transport
	coordinator *coordinator
	recorder    *audit.SegmentWriter // nil, like replicator, without audit records
	replicator  *auditReplicator

	ctx           context.Context    // of Start
	mailbox       chan memberMessage // of runLeaseRenewal's goroutine
	settings      settingsState      // of runLeaseRenewal's goroutine
	listenAddress string             // told to the other members where it is not the configured one

	self       atomic.Pointer[takeover.Member]
	lease      atomic.Pointer[Lease]
	membership atomic.Pointer[membership.Membership]
	leader     atomic.Pointer[string]         // who granted the latest lease
	log        atomic.Pointer[membership.Log] // nil unless this member votes at present
	excluded   atomic.Bool                    // the rollout plan, as far as it is known here, does not let this member act
	leaving    atomic.Bool
}

// New makes a member. maxRequestAge is the longest deadline of a class, which counts unless the options set another. Nothing is
// listened to or sent before Start.
func New(opts *options.Options, name string, maxRequestAge time.Duration, hooks Hooks, applier SettingsApplier) (*Fleet, error) {
	codec, err := protocol.NewCodec()
	if err != nil {
		return nil, err
	}
	if opts.Takeover.MaxRequestDuration > 0 {
		maxRequestAge = opts.Takeover.MaxRequestDuration
	}
	lease := opts.Fleet.LeaseDuration.Microseconds()
	f := &Fleet{
		name: name, options: opts, configuredAddresses: map[string]string{}, build: buildRevision(), start: time.Now(),
		maxRequestAge: maxRequestAge, resendInterval: max(lease/resendsPerLease, minResendMicros), quorumTimeout: lease / quorumTimeoutsPerLease,
		faults: faultsOfBuild(), hooks: hooks, applier: applier, codec: codec, mailbox: make(chan memberMessage, mailboxSize),
	}
	for _, m := range opts.Fleet.Members {
		f.memberNames = append(f.memberNames, m.Name)
		f.configuredAddresses[m.Name] = m.Address
	}
	f.voters, f.sortedNames = membership.Voters(f.memberNames), slices.Sorted(slices.Values(f.memberNames))
	f.membership.Store(&membership.Membership{})
	if err := f.newIncarnation(); err != nil {
		return nil, err
	}
	f.transport = transport.New(codec, f.memberNames, transport.Handlers{
		Self:        func() takeover.Member { return *f.self.Load() },
		AddressOf:   func(name string) string { return f.membership.Load().AddressOf(name, f.configuredAddresses[name]) },
		HandleFrame: f.handleFrame, HandleAdmin: f.handleAdmin,
	})
	if opts.Audit.Enabled {
		f.recorder, err = audit.NewSegmentWriter(f.transport.FleetID(), *f.self.Load(), f.build, protocol.Version, f.micros, f.faults.audit)
		if err != nil {
			return nil, err
		}
		if f.replicator, err = newAuditReplicator(f); err != nil {
			return nil, err
		}
	}
	f.coordinator = newCoordinator(f)
	return f, nil
}

// takeoverConfig is the configuration of the takeover protocol.
func (f *Fleet) takeoverConfig() takeover.Config {
	opts, lease := &f.options.Takeover, f.options.Fleet.LeaseDuration.Microseconds()
	return takeover.Config{
		Self: *f.self.Load(), MemberNames: f.memberNames, ReplicationFactor: opts.Replicas, MaxRecords: opts.MaxRecords, MaxBytes: opts.MaxBytes,
		Retention: opts.AnswerRetention.Microseconds(), MaxRequestAge: f.maxRequestAge.Microseconds(), LateRequestSlack: lease,
		QuorumTimeout: f.quorumTimeout, ResendInterval: f.resendInterval, TakeoverStagger: lease / takeoverStaggersPerLease, Fault: f.faults.takeover,
	}
}

// micros is the time in µs since the start of this process.
func (f *Fleet) micros() int64 { return time.Since(f.start).Microseconds() }

// Start serves the fleet until ctx ends. It returns once it listens, or with an error that names the address.
func (f *Fleet) Start(ctx context.Context) error {
	listener, err := net.Listen("tcp", f.options.Fleet.Address)
	if err != nil { // another process of this sidecar may have the address: the members are told of a second one
		host, _, splitErr := net.SplitHostPort(f.options.Fleet.Address)
		if splitErr != nil {
			return fmt.Errorf("fleet.address: %w", splitErr)
		}
		second, secondErr := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if secondErr != nil {
			return fmt.Errorf("fleet.address: %w", err)
		}
		listener, f.listenAddress = second, second.Addr().String()
		go f.listenAtConfiguredAddress(ctx)
	}
	f.ctx = ctx
	go f.transport.Serve(ctx, listener)
	go f.coordinator.run(ctx)
	go f.runLeaseRenewal(ctx)
	if f.replicator != nil {
		go f.replicator.run(ctx)
	}
	if slices.Contains(f.voters, f.name) {
		go f.vote(ctx)
	}
	eventlog.Info(eventStarted, "member", f.name, "incarnation", f.self.Load().IncarnationHex(), "address", listener.Addr(),
		"members", len(f.memberNames), "voters", len(f.voters), "lease_ms", f.options.Fleet.LeaseDuration.Milliseconds())
	return nil
}

// listenAtConfiguredAddress listens at the configured address as well, as soon as the process that has it ends: the members
// learn a second address only from this process's join, and that may need its own vote.
func (f *Fleet) listenAtConfiguredAddress(ctx context.Context) {
	for ctx.Err() == nil {
		if listener, err := net.Listen("tcp", f.options.Fleet.Address); err == nil {
			eventlog.Info(eventAddressListening, "address", listener.Addr())
			f.transport.Serve(ctx, listener)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(rebindInterval):
		}
	}
}

// post hands a message to runLeaseRenewal's goroutine. It blocks while the mailbox is full.
func (f *Fleet) post(m memberMessage) {
	select {
	case f.mailbox <- m:
	case <-f.ctx.Done():
	}
}

// send sends a frame to a member, or drops it; to this one without the transport.
func (f *Fleet) send(name string, kind protocol.Kind, payload []byte) {
	if name == f.name {
		go f.handleFrame(*f.self.Load(), kind, payload)
		return
	}
	f.transport.Send(f.ctx, name, kind, payload)
}

// sendMessage encodes a message and sends it.
func (f *Fleet) sendMessage(name string, kind protocol.Kind, message any) {
	if payload, err := f.codec.Marshal(message); err == nil {
		f.send(name, kind, payload)
	}
}

// AuditRecorder records the audit events of this member; nil: they are not recorded.
func (f *Fleet) AuditRecorder() auditevent.Recorder {
	if f.recorder == nil {
		return nil
	}
	return f.recorder
}

// SettingsDigest identifies settings in audit events.
func (f *Fleet) SettingsDigest(text []byte) uint64 { return audit.Digest(text) }
