package fleet

import (
	"context"
	"time"

	"damsonscale/internal/eventlog"
	"damsonscale/internal/fleet/membership"
	"damsonscale/internal/fleet/protocol"
	"damsonscale/internal/rollout"
)

// reopenInterval is the interval of attempts to open the log.
const reopenInterval = time.Second

// runVoter runs the replicated log until ctx ends, and reopens it after a failure or while another process of this sidecar has it
// open. Without the log this process is still a member, but does not vote; the reason is logged whenever it changes.
func (f *Fleet) runVoter(ctx context.Context) {
	logged := ""
	for ctx.Err() == nil {
		err := f.runLog(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil && err.Error() != logged {
			logged = err.Error()
			eventlog.Warn(eventVotingUnavailable, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(reopenInterval):
		}
	}
}

// runLog opens the log and runs it until ctx ends or the log fails.
func (f *Fleet) runLog(ctx context.Context) error {
	log, err := membership.OpenLog(membership.Config{
		Directory: f.options.Fleet.StateDir, Name: f.name, Voters: f.voters, MemberNames: f.memberNames,
		LeaseDuration: f.options.Fleet.LeaseDuration,
		Guard:         rollout.Guard{MaxUnleasedPermille: f.options.Audit.MaxUnleasedPermille, OffByOne: f.faults.guardOffByOne},
		IgnoreFence:   f.faults.ignoreFence,
		Send:          f.send,
		OnChange:      f.postMembership,
	})
	if err != nil {
		return err
	}
	f.log.Store(log)
	err = log.Run(ctx)
	f.log.Store(nil)
	return err
}

// postMembership posts a membership to runLeaseRenewal's goroutine, which adopts it if it is newer. settings are those settings
// of its plan that are available, by digest.
func (f *Fleet) postMembership(m *membership.Membership, settings map[string][]byte) {
	f.post(membershipReceived{m, settings})
}

// adoptMembership replaces the membership by a newer one, passes it to the coordinator and the audit replicator, and forwards it
// to this member's children in the tree of members. It runs on runLeaseRenewal's goroutine.
func (f *Fleet) adoptMembership(m *membership.Membership, settings map[string][]byte) {
	if m.Epoch <= f.membership.Load().Epoch {
		return
	}
	f.membership.Store(m)
	f.storeSettings(settings)
	f.followPlan()
	if f.replicator != nil {
		f.replicator.post(membershipChanged{m})
	}
	f.coordinator.mailbox <- viewChanged{m.View()}
	if m.IsEvicted(*f.self.Load()) && !f.leaving.Load() {
		f.onEvicted()
	}
	for _, name := range membership.TreeChildren(f.sortedNames, f.name, len(f.voters)) {
		f.sendMembership(name)
	}
}

func (f *Fleet) sendMembership(name string) {
	f.sendMessage(name, protocol.KindMembership, f.membership.Load())
}
