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

// membershipChanged brings a newer membership.
type membershipChanged struct{ membership *membership.Membership }

func (m membershipChanged) handle(r *auditReplicator) { r.onMembership(m.membership) }

// incarnationStarted tells that this process has a new incarnation. done is closed once the records of the previous one are
// closed; nil: nobody waits for that.
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

// segmentsReceived brings segments of another member.
type segmentsReceived struct {
	from     takeover.Member
	segments []audit.SealedSegment
}

func (m segmentsReceived) handle(r *auditReplicator) { r.storeSegments(m.from, m.segments) }

// acksReceived brings a replica's acknowledgements.
type acksReceived struct {
	from takeover.Member
	acks []segmentAck
}

func (m acksReceived) handle(r *auditReplicator) { r.acknowledge(m.from, m.acks) }

// segmentsQuery asks for the segments of a name that are stored here, this member's own up to now included.
type segmentsQuery struct {
	name   string
	answer chan []audit.SealedSegment
}

func (m segmentsQuery) handle(r *auditReplicator) {
	r.addSegments(r.fleet.recorder.Cut(time.Now().UnixMilli()))
	m.answer <- r.store.Segments(m.name)
}
