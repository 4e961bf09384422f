package membership

import (
	"encoding/binary"
	"time"

	"damsonscale/internal/fleet/protocol"
	"damsonscale/internal/rollout"
	"damsonscale/internal/takeover"
)

// maxWaitingRequests bounds the lease requests that wait for the next confirmation; members repeat theirs.
const maxWaitingRequests = 4 * mailboxSize

// HandleLeaseRequest takes a member's request for a lease. Only the leader replies. A member whose process has not joined yet
// joins first, and gets its lease by a later request.
func (l *Log) HandleLeaseRequest(r LeaseRequest) {
	l.post(leaseRequested{r})
}

func (l *Log) handleLeaseRequest(r LeaseRequest) {
	if !l.isLeader {
		return
	}
	l.reports[r.Member.Name] = rollout.ReceivedReport{Report: r.Report, ReceivedAt: time.Now()}
	switch {
	case l.membership.IsEvicted(r.Member):
		l.sendGrant(r, LeaseGrant{Evicted: true})
	case !l.mayLease(&r):
		l.sendGrant(r, LeaseGrant{Excluded: true})
	case !l.membership.Contains(r.Member):
		if now := time.Now(); now.Sub(l.joining[r.Member]) >= l.config.LeaseDuration {
			l.joining[r.Member] = now
			l.propose(&Change{Member: r.Member, Address: r.Address})
		}
	case len(l.waitingRequests) < maxWaitingRequests:
		l.waitingRequests = append(l.waitingRequests, r)
	}
}

// confirmLeadership asks a quorum whether this member still leads, once for all requests that wait: a lease is granted only
// if it did after the request came. It is called at each tick, not at each request, so that the rounds of confirmation do not
// grow with the members.
func (l *Log) confirmLeadership() {
	if len(l.confirmingRequests) > 0 || len(l.waitingRequests) == 0 {
		return
	}
	l.confirmingRequests, l.waitingRequests, l.readIndex = l.waitingRequests, nil, 0
	l.readID++
	l.raftNode.ReadIndex(binary.BigEndian.AppendUint64(nil, l.readID))
}

// answerLeaseRequests replies to the requests for which leadership is confirmed, by the membership at that moment or later: the
// plan may exclude a member since its request came.
func (l *Log) answerLeaseRequests() {
	if l.readIndex == 0 || l.appliedIndex < l.readIndex {
		return
	}
	requests := l.confirmingRequests
	l.confirmingRequests, l.readIndex = nil, 0
	now := time.Now()
	for _, r := range requests {
		switch {
		case l.membership.IsEvicted(r.Member):
			l.sendGrant(r, LeaseGrant{Evicted: true})
		case !l.mayLease(&r):
			l.sendGrant(r, LeaseGrant{Excluded: true})
		case l.membership.Contains(r.Member) && l.leases.grant(now, r.Member):
			l.sendGrant(r, LeaseGrant{})
		}
	}
}

// mayLease reports whether the rollout plan lets a member act on what it has reported.
func (l *Log) mayLease(r *LeaseRequest) bool {
	return l.config.IgnoreFence || l.membership.Plan.MayLease(r.Member.Name, r.Report.Active)
}

func (l *Log) sendGrant(r LeaseRequest, g LeaseGrant) {
	g.Member, g.RequestedAt, g.Epoch = r.Member, r.RequestedAt, l.membership.Epoch
	payload, err := l.codec.Marshal(g)
	if err == nil {
		l.config.Send(r.Member.Name, protocol.KindLeaseGrant, payload)
	}
}

// HandleLeave evicts a member at its own word that it has ended its work.
func (l *Log) HandleLeave(m takeover.Member) {
	l.post(memberLeft{m})
}

func (l *Log) handleLeave(m takeover.Member) {
	if l.isLeader && l.membership.Contains(m) {
		l.leases.evicting[m] = time.Now()
		l.propose(&Change{Evict: true, Member: m})
	}
}
