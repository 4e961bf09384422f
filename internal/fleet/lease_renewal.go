package fleet

import (
	"context"
	"time"

	"damsonscale/internal/eventlog"
	"damsonscale/internal/fleet/membership"
	"damsonscale/internal/fleet/protocol"
)

// unleasedRequestFactor is the factor by which a member without a valid lease requests one more often.
const unleasedRequestFactor = 4

// runLeaseRenewal requests leases and handles posted messages until ctx ends.
func (f *Fleet) runLeaseRenewal(ctx context.Context) {
	interval := f.options.Fleet.LeaseDuration / leaseRequestsPerLease
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-f.mailbox:
			m.handle(f)
		case <-next.C:
			f.requestLease()
			f.followPlan()
			if f.lease.Load().Valid() {
				next.Reset(interval)
			} else {
				next.Reset(interval / unleasedRequestFactor)
			}
		}
	}
}

// requestLease requests a lease from the leader, or from all voters if the leader is unknown or less than half of the lease is
// left.
func (f *Fleet) requestLease() {
	if f.leaving.Load() {
		return
	}
	now := time.Since(f.start)
	request := membership.LeaseRequest{Member: *f.self.Load(), RequestedAt: int64(now), Address: f.listenAddress, Report: f.rolloutReport()}
	payload, err := f.codec.Marshal(request)
	if err != nil {
		return
	}
	leader := f.leader.Load()
	if leader != nil && f.lease.Load().validUntil.Load()-int64(now) > int64(f.options.Fleet.LeaseDuration)/2 {
		f.send(*leader, protocol.KindLeaseRequest, payload)
		return
	}
	for _, voter := range f.voters {
		f.send(voter, protocol.KindLeaseRequest, payload)
	}
}

// handleGrant handles a leader's reply to a lease request. It runs on runLeaseRenewal's goroutine.
func (f *Fleet) handleGrant(from string, g *membership.LeaseGrant) {
	self := *f.self.Load()
	if g.Member != self {
		return
	}
	if g.Evicted {
		f.onEvicted()
		return
	}
	f.leader.Store(&from)
	if g.Epoch > f.membership.Load().Epoch {
		f.send(from, protocol.KindMembershipRequest, nil)
	}
	if g.Excluded {
		return
	}
	lease := f.lease.Load()
	first := lease.validUntil.Load() == 0
	lease.extend(g.RequestedAt, f.options.Fleet.LeaseDuration)
	if first {
		eventlog.Info(eventLeaseGranted, "member", self.Name, "incarnation", self.IncarnationHex(), "leader", from, "epoch", g.Epoch)
	}
}
