package audit

import "damsonscale/internal/takeover"

// neverSent is the value in pendingSegment.lastSent for a member to which the segment has not been sent.
const neverSent = -1

// Replication tracks the segments that this member sends to its replicas, until every replica has acknowledged them. It is not safe for
// concurrent use.
type Replication struct {
	Dropped int // number of unacknowledged segments that were dropped to stay within maxBytes

	maxBytes int
	bytes    int // of pending, encoded
	pending  []pendingSegment
}

// pendingSegment is a segment that at least one replica has not acknowledged.
type pendingSegment struct {
	sealed   SealedSegment
	key      segmentKey
	lastSent map[string]int64 // µs, or neverSent; by name of each replica that has not acknowledged
}

// NewReplication returns a tracker that keeps at most maxBytes of encoded segments, but always the latest segment.
func NewReplication(maxBytes int) *Replication { return &Replication{maxBytes: maxBytes} }

// Add adds a segment that is to be sent to the named members. seg is the decoded form of sealed.
func (r *Replication) Add(sealed SealedSegment, seg *Segment, to []string) {
	if len(to) == 0 {
		return
	}
	p := pendingSegment{sealed: sealed, key: segmentKey{seg.Member, seg.Index}, lastSent: map[string]int64{}}
	for _, name := range to {
		p.lastSent[name] = neverSent
	}
	r.pending = append(r.pending, p)
	for r.bytes += len(sealed.Encoded); r.bytes > r.maxBytes && len(r.pending) > 1; r.Dropped++ {
		r.bytes -= len(r.pending[0].sealed.Encoded)
		r.pending = r.pending[1:]
	}
}

// Due returns the segments to send to a member now, oldest first: segments that have not been sent to it, and unacknowledged segments that
// were sent at least resendMicros ago. It returns at most maxBytes of encoded segments, but at least one segment if any is due. Returned
// segments count as sent at nowMicros.
func (r *Replication) Due(nowMicros int64, name string, resendMicros int64, maxBytes int) (due []SealedSegment) {
	for i := range r.pending {
		p := &r.pending[i]
		sent, unacknowledged := p.lastSent[name]
		if !unacknowledged || sent >= 0 && nowMicros-sent < resendMicros {
			continue
		}
		if maxBytes -= len(p.sealed.Encoded); maxBytes < 0 && len(due) > 0 {
			break
		}
		p.lastSent[name] = nowMicros
		due = append(due, p.sealed)
	}
	return due
}

// Acknowledge records that the named replica has stored a segment.
func (r *Replication) Acknowledge(name string, member takeover.Member, index uint64) {
	for i := range r.pending {
		p := &r.pending[i]
		if p.key != (segmentKey{member, index}) {
			continue
		}
		if delete(p.lastSent, name); len(p.lastSent) == 0 {
			r.bytes -= len(p.sealed.Encoded)
			r.pending = append(r.pending[:i], r.pending[i+1:]...)
		}
		return
	}
}
