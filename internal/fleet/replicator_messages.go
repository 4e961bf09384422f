package fleet

import (
	"time"

	"damsonscale/internal/audit"
	"damsonscale/internal/fleet/membership"
	"damsonscale/internal/takeover"
)

// replicatorMessage is work for the audit replicator's goroutine.
type replicatorMessage interface {
	handle(r *auditReplicator)
}

// membershipChanged carries a newer membership.
type membershipChanged struct{ membership *membership.Membership }

func (m membershipChanged) handle(r *auditReplicator) { r.onMembership(m.membership) }

// incarnationStarted reports that this process has a new incarnation. done, if not nil, is closed once the audit replicator has
// ended the audit records of the previous incarnation.
type incarnationStarted struct {
	self takeover.Member
	done chan struct{}
}

func (m incarnationStarted) handle(r *auditReplicator) {
	r.startIncarnation(m.self)
	if m.done != nil {
		close(m.done)
	}
}

// segmentsReceived carries segments from another member.
type segmentsReceived struct {
	from     takeover.Member
	segments []audit.SealedSegment
}

func (m segmentsReceived) handle(r *auditReplicator) { r.storeSegments(m.from, m.segments) }

// acksReceived carries a replica's acknowledgements.
type acksReceived struct {
	from takeover.Member
	acks []segmentAck
}

func (m acksReceived) handle(r *auditReplicator) { r.acknowledge(m.from, m.acks) }

// segmentsQuery asks for the segments of the named member that are stored here, including this member's own up to the present.
// An empty name means all members.
type segmentsQuery struct {
	name   string
	answer chan []audit.SealedSegment
}

func (m segmentsQuery) handle(r *auditReplicator) {
	r.addSegments(r.fleet.recorder.Cut(time.Now().UnixMilli()))
	m.answer <- r.store.Segments(m.name)
}
