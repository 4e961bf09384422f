package audit

import "damsonscale/internal/takeover"

// neverSent is the time of a segment that was not sent yet.
const neverSent = -1

// Replication tracks the segments that a member has to send to the members that replicate them, until each has acknowledged. It is not
// safe for concurrent use.
type Replication struct {
	Dropped int // segments that were dropped unacknowledged, for lack of space

	maxBytes int
	bytes    int
	pending  []pendingSegment
}

// pendingSegment is a segment that not all have acknowledged.
type pendingSegment struct {
	sealed   SealedSegment
	key      segmentKey
	lastSent map[string]int64 // µs, by the names that have not acknowledged
}

// NewReplication returns a tracker that keeps at most so many bytes of segments, or one segment.
func NewReplication(maxBytes int) *Replication { return &Replication{maxBytes: maxBytes} }

// Add adds a segment that is to be sent to some names. seg is the same one opened.
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

// Due returns the segments to send to a name now, oldest first: those never sent, and those sent resendMicros ago or longer. It returns at
// most maxBytes of them, but one if there is any.
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

// Acknowledge notes that a name has stored a segment.
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
