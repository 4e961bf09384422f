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
	mailboxSize    = 1024                  // messages queued for runLeaseRenewal or for the audit replicator
	rebindInterval = 50 * time.Millisecond // interval of attempts to listen at the configured address
)

// Numbers of intervals within the duration of a lease.
const (
	leaseRequestsPerLease    = 5
	quorumTimeoutsPerLease   = 2
	takeoverStaggersPerLease = 2
	resendsPerLease          = 20
	minResendMicros          = 5000 // lower bound, for short leases
)

// Hooks are the functions of the frontend that a fleet calls. They may be called from any goroutine.
type Hooks interface {
	// ResumeOrphan returns a function that executes a recorded request for which no client is waiting.
	ResumeOrphan(rec *takeover.Record, stored *takeover.StoredRequest) (func(takeover.SendPermit) takeover.Result, error)
	// DiscardResponse closes a live response that no client will read.
	DiscardResponse(live any)
}

// SettingsApplier applies versions of the settings. Its methods may be called from any goroutine.
type SettingsApplier interface {
	ApplySettings(number uint64, text []byte) error // atomically: after an error the previous version stays in force
	ValidateSettings(text []byte) error             // returns the error that ApplySettings would return
	CloseIdleConnections()
}

// injectedFaults are deliberate faults of a lab build.
type injectedFaults struct {
	takeover      takeover.InjectedFault
	audit         audit.InjectedFault
	ignoreFence   bool // leases are granted to members below the rollout plan's fence
	guardOffByOne bool // the rollout guard allows one member too many without a lease
}

// Fleet is this process's membership of its fleet.
type Fleet struct {
	name                string
	options             *options.Options
	memberNames         []string
	sortedNames         []string          // memberNames in sorted order; the voters are the first of them
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
	recorder    *audit.SegmentWriter // nil if audit records are disabled, like replicator
	replicator  *auditReplicator

	ctx           context.Context    // passed to Start
	mailbox       chan memberMessage // received by runLeaseRenewal's goroutine
	settings      settingsState      // owned by runLeaseRenewal's goroutine
	listenAddress string             // sent to the other members if it differs from the configured address; else empty

	self       atomic.Pointer[takeover.Member]
	lease      atomic.Pointer[Lease]
	membership atomic.Pointer[membership.Membership]
	leader     atomic.Pointer[string]         // name of the member that granted the latest lease
	log        atomic.Pointer[membership.Log] // nil unless this member currently votes
	excluded   atomic.Bool                    // the latest known rollout plan does not let this member act
	leaving    atomic.Bool
}

// New creates a member. maxRequestAge is the longest deadline of a class; the options may override it. The member neither listens
// nor sends before Start.
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

// takeoverConfig returns the configuration of the takeover protocol.
func (f *Fleet) takeoverConfig() takeover.Config {
	opts, lease := &f.options.Takeover, f.options.Fleet.LeaseDuration.Microseconds()
	return takeover.Config{
		Self: *f.self.Load(), MemberNames: f.memberNames, ReplicationFactor: opts.Replicas, MaxRecords: opts.MaxRecords, MaxBytes: opts.MaxBytes,
		Retention: opts.AnswerRetention.Microseconds(), MaxRequestAge: f.maxRequestAge.Microseconds(), LateRequestSlack: lease,
		QuorumTimeout: f.quorumTimeout, ResendInterval: f.resendInterval, TakeoverStagger: lease / takeoverStaggersPerLease, Fault: f.faults.takeover,
	}
}

// micros returns the time in µs since the start of this process.
func (f *Fleet) micros() int64 { return time.Since(f.start).Microseconds() }

// Start runs the member until ctx ends. It returns once the member listens, or an error that names the address option.
func (f *Fleet) Start(ctx context.Context) error {
	listener, err := net.Listen("tcp", f.options.Fleet.Address)
	if err != nil { // another process of this sidecar may hold the address: listen at another port, which the join announces
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
		go f.runVoter(ctx)
	}
	eventlog.Info(eventStarted, "member", f.name, "incarnation", f.self.Load().IncarnationHex(), "address", listener.Addr(),
		"members", len(f.memberNames), "voters", len(f.voters), "lease_ms", f.options.Fleet.LeaseDuration.Milliseconds())
	return nil
}

// listenAtConfiguredAddress listens at the configured address too, once the process that holds it exits. The other members learn
// the second address only from this process's join, and committing the join may need this member's vote.
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

// post sends a message to runLeaseRenewal's goroutine. It blocks while the mailbox is full.
func (f *Fleet) post(m memberMessage) {
	select {
	case f.mailbox <- m:
	case <-f.ctx.Done():
	}
}

// send sends a frame to a member, or drops it. A frame to this member itself bypasses the transport.
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

// AuditRecorder returns the recorder of this member's audit events; nil: events are not recorded.
func (f *Fleet) AuditRecorder() auditevent.Recorder {
	if f.recorder == nil {
		return nil
	}
	return f.recorder
}

// SettingsDigest returns the digest that identifies settings in audit events.
func (f *Fleet) SettingsDigest(text []byte) uint64 { return audit.Digest(text) }
