package membership

import (
	"encoding/binary"
	"time"

	"damsonscale/internal/fleet/protocol"
	"damsonscale/internal/rollout"
	"damsonscale/internal/takeover"
)

// maxWaitingRequests bounds the lease requests that wait for the next confirmation of leadership; members repeat dropped ones.
const maxWaitingRequests = 4 * mailboxSize

// HandleLeaseRequest accepts a member's request for a lease. Only the leader replies. The request of a process that has not joined
// yet makes it join; a later request then gets the lease.
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

// confirmLeadership starts one confirmation by a quorum that this member is still the leader, for all waiting requests: a lease is
// granted only if leadership is confirmed after the request arrived. It is called at each tick rather than for each request, so
// that the number of confirmation rounds does not grow with the number of members.
func (l *Log) confirmLeadership() {
	if len(l.confirmingRequests) > 0 || len(l.waitingRequests) == 0 {
		return
	}
	l.confirmingRequests, l.waitingRequests, l.readIndex = l.waitingRequests, nil, 0
	l.readID++
	l.raftNode.ReadIndex(binary.BigEndian.AppendUint64(nil, l.readID))
}

// answerLeaseRequests replies to the requests for which leadership is confirmed. It checks them against the membership again, since
// a member may have been evicted or excluded after its request arrived.
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

// mayLease reports whether the rollout plan lets a member act under the version that it has reported as active.
func (l *Log) mayLease(r *LeaseRequest) bool {
	return l.config.IgnoreFence || l.membership.Plan.MayLease(r.Member.Name, r.Report.ActiveVersion)
}

func (l *Log) sendGrant(r LeaseRequest, g LeaseGrant) {
	g.Member, g.RequestedAt, g.Epoch = r.Member, r.RequestedAt, l.membership.Epoch
	payload, err := l.codec.Marshal(g)
	if err == nil {
		l.config.Send(r.Member.Name, protocol.KindLeaseGrant, payload)
	}
}

// HandleLeave evicts a member that has announced its shutdown, before its lease expires.
func (l *Log) HandleLeave(m takeover.Member) {
	l.post(memberLeft{m})
}

func (l *Log) handleLeave(m takeover.Member) {
	if l.isLeader && l.membership.Contains(m) {
		l.leases.evicting[m] = time.Now()
		l.propose(&Change{Evict: true, Member: m})
	}
}
