package fleet

import (
	"context"
	"fmt"
	"slices"
	"time"

	"damsonscale/internal/audit"
	"damsonscale/internal/eventlog"
	"damsonscale/internal/fleet/membership"
	"damsonscale/internal/fleet/protocol"
	"damsonscale/internal/fleet/segmentfile"
	"damsonscale/internal/takeover"
)

const (
	segmentsPerLease       = 6         // segments cut within the duration of a lease
	segmentBatchBytes      = 512 << 10 // bytes of segments in one frame to a replica
	maxUnacknowledgedBytes = 8 << 20   // bytes of segments that no replica has acknowledged yet
)

// segmentAck acknowledges that a replica has stored a segment.
type segmentAck struct {
	_      struct{}        `cbor:",toarray"`
	Member takeover.Member // that recorded the segment
	Index  uint64
}

// auditReplicator cuts this member's audit events into segments, replicates them to other members, and stores the segments of
// other members. The goroutine of run owns all its state.
type auditReplicator struct {
	fleet            *Fleet
	codec            *audit.Codec
	mailbox          chan replicatorMessage
	store            *audit.SegmentStore
	directory        *segmentfile.Directory // nil: segments are kept in memory only
	replication      *audit.Replication
	replicas         []string          // names of the members that store this incarnation's segments
	seenIncarnations map[string]uint64 // latest known incarnation of each replica, by name
	loggedDropped    int               // value of replication.Dropped when it was last logged
}

// newAuditReplicator returns a replicator that stores the segments found in the segment directory.
func newAuditReplicator(f *Fleet) (*auditReplicator, error) {
	codec, err := audit.NewCodec()
	if err != nil {
		return nil, err
	}
	r := &auditReplicator{
		fleet: f, codec: codec, mailbox: make(chan replicatorMessage, mailboxSize),
		store:       audit.NewSegmentStore(codec, f.transport.FleetID(), f.options.Audit.MaxMemoryBytes),
		replication: audit.NewReplication(maxUnacknowledgedBytes),
	}
	self := *f.self.Load()
	r.chooseReplicas(self)
	if dir := f.options.Audit.SegmentDir; dir != "" {
		r.directory = segmentfile.New(dir, f.options.Audit.MaxDiskBytes, f.codec)
		for _, segment := range r.directory.Open(self) {
			r.store.Put(segment) // segments of another fleet are rejected, and stay in their file
		}
	}
	return r, nil
}

// chooseReplicas selects by rendezvous hashing the members that store the segments of an incarnation.
func (r *auditReplicator) chooseReplicas(self takeover.Member) {
	others := slices.DeleteFunc(slices.Clone(r.fleet.memberNames), func(name string) bool { return name == self.Name })
	id := fmt.Sprintf("%s/%x", self.Name, self.Incarnation)
	r.replicas = takeover.Replicas(others, id, r.fleet.options.Audit.SegmentReplicas)
	r.seenIncarnations = map[string]uint64{}
}

// run cuts and replicates segments until ctx ends.
func (r *auditReplicator) run(ctx context.Context) {
	ticker := time.NewTicker(r.fleet.options.Fleet.LeaseDuration / segmentsPerLease)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-r.mailbox:
			m.handle(r)
		case <-ticker.C:
			r.addSegments(r.fleet.recorder.Cut(time.Now().UnixMilli()))
			r.sendDue()
		}
	}
}

// post sends a message to run's goroutine, or drops it if the mailbox is full: segments that are not acknowledged are sent again.
func (r *auditReplicator) post(m replicatorMessage) {
	select {
	case r.mailbox <- m:
	default:
	}
}

// onMembership queues all segments of this incarnation for a replica whose process has restarted, since it has lost them.
func (r *auditReplicator) onMembership(m *membership.Membership) {
	self := *r.fleet.self.Load()
	latest := map[string]uint64{}
	for _, j := range m.Members { // in the order of joining
		latest[j.Member.Name] = j.Member.Incarnation
	}
	for _, name := range r.replicas {
		incarnation, isMember := latest[name]
		seen, seenBefore := r.seenIncarnations[name]
		if !isMember || incarnation == seen {
			continue
		}
		r.seenIncarnations[name] = incarnation
		if seenBefore {
			r.replicateAll(self, name)
		}
	}
}

// replicateAll queues all stored segments of this member's incarnation for a replica.
func (r *auditReplicator) replicateAll(self takeover.Member, replica string) {
	for _, sealed := range r.store.Segments(self.Name) {
		if segment, err := r.codec.Open(r.fleet.transport.FleetID(), &sealed); err == nil && segment.Member == self {
			r.replication.Add(sealed, segment, []string{replica})
		}
	}
}

// addSegments stores segments of this member and queues them for the replicas. err is the error of cutting them; events may be
// missing then.
func (r *auditReplicator) addSegments(segments []audit.SealedSegment, err error) {
	if err != nil {
		eventlog.Error(eventSegmentLost, err)
	}
	for _, sealed := range segments {
		segment, err := r.store.Put(sealed)
		if err != nil {
			eventlog.Error(eventSegmentLost, err)
			continue
		}
		if r.directory != nil {
			r.directory.Append(&sealed)
		}
		r.replication.Add(sealed, segment, r.replicas)
	}
	if r.directory != nil {
		r.directory.Flush()
	}
	if r.replication.Dropped > r.loggedDropped {
		eventlog.Warn(eventSegmentsUnreplicated, nil, "segments", r.replication.Dropped-r.loggedDropped)
		r.loggedDropped = r.replication.Dropped
	}
}

// sendDue sends each replica the segments that are new or due for a resend.
func (r *auditReplicator) sendDue() {
	now, resend := r.fleet.micros(), r.fleet.options.Fleet.LeaseDuration.Microseconds()
	for _, name := range r.fleet.memberNames {
		if due := r.replication.Due(now, name, resend, segmentBatchBytes); len(due) > 0 {
			r.fleet.sendMessage(name, protocol.KindSegments, due)
		}
	}
}

// storeSegments stores segments of other members, and acknowledges those that the sender recorded itself.
func (r *auditReplicator) storeSegments(from takeover.Member, segments []audit.SealedSegment) {
	var acks []segmentAck
	for _, sealed := range segments {
		segment, err := r.store.Put(sealed)
		switch {
		case err == nil && segment.Member.Name == from.Name:
			acks = append(acks, segmentAck{Member: segment.Member, Index: segment.Index})
		case err != nil:
			r.fleet.transport.LogRejected("", from.Name, fmt.Errorf("audit segment: %w", err))
		}
	}
	if len(acks) > 0 {
		r.fleet.sendMessage(from.Name, protocol.KindSegmentAck, acks)
	}
}

// acknowledge records which segments a replica has stored.
func (r *auditReplicator) acknowledge(from takeover.Member, acks []segmentAck) {
	for _, ack := range acks {
		r.replication.Acknowledge(from.Name, ack.Member, ack.Index)
	}
}

// startIncarnation ends the audit records of the previous incarnation, and starts those of the new one.
func (r *auditReplicator) startIncarnation(self takeover.Member) {
	r.addSegments(r.fleet.recorder.EndIncarnation(time.Now().UnixMilli(), self))
	r.sendDue()
	r.chooseReplicas(self)
	if r.directory != nil {
		r.directory.StartFile(self)
	}
}
