package fleet

import (
	"fmt"

	"damsonscale/internal/audit"
	"damsonscale/internal/fleet/membership"
	"damsonscale/internal/fleet/protocol"
	"damsonscale/internal/takeover"
)

// handleFrame decodes a frame from a member, possibly this one, and posts it to the mailbox of the goroutine that processes its
// kind. The transport calls it for one frame of a connection at a time.
func (f *Fleet) handleFrame(from takeover.Member, kind protocol.Kind, payload []byte) {
	var err error
	switch kind {
	case protocol.KindRaft, protocol.KindLeaseRequest, protocol.KindLeave:
		err = f.handleLogFrame(from, kind, payload)
	case protocol.KindLeaseGrant:
		var g membership.LeaseGrant
		if err = f.codec.Unmarshal(payload, &g); err == nil {
			f.post(grantReceived{from.Name, g})
		}
	case protocol.KindMembershipRequest:
		f.post(membershipRequested{from.Name})
	case protocol.KindMembership:
		m := new(membership.Membership)
		if err = f.codec.Unmarshal(payload, m); err == nil {
			if err = m.Validate(); err == nil {
				f.postMembership(m, nil)
			}
		}
	case protocol.KindSettingsRequest:
		f.post(settingsRequested{from, payload})
	case protocol.KindSettings:
		var reply settingsReply
		if err = f.codec.Unmarshal(payload, &reply); err == nil {
			f.post(settingsReceived{reply.Settings})
		}
	case protocol.KindSegments, protocol.KindSegmentAck:
		err = f.handleAuditFrame(from, kind, payload)
	case protocol.KindTakeover:
		var messages []takeover.Message
		if err = f.codec.Unmarshal(payload, &messages); err == nil {
			f.handleTakeover(from, messages)
		}
	default:
		err = fmt.Errorf("%w: %d", protocol.ErrUnknownKind, kind)
	}
	if err != nil {
		f.transport.LogRejected("", from.Name, err)
	}
}

// handleLogFrame passes on the frames for the replicated log. A member that does not currently vote ignores them.
func (f *Fleet) handleLogFrame(from takeover.Member, kind protocol.Kind, payload []byte) error {
	log := f.log.Load()
	switch kind {
	case protocol.KindLeaseRequest:
		var r membership.LeaseRequest
		if err := f.codec.Unmarshal(payload, &r); err != nil {
			return err
		}
		if r.Member.Name == from.Name && log != nil {
			log.HandleLeaseRequest(r)
		}
	case protocol.KindLeave:
		var m takeover.Member
		if err := f.codec.Unmarshal(payload, &m); err != nil {
			return err
		}
		if m.Name == from.Name && log != nil {
			log.HandleLeave(m)
		}
	default:
		if log != nil {
			log.HandleRaft(from.Name, payload)
		}
	}
	return nil
}

// handleAuditFrame handles the frames of audit segment replication.
func (f *Fleet) handleAuditFrame(from takeover.Member, kind protocol.Kind, payload []byte) error {
	if kind == protocol.KindSegments {
		var segments []audit.SealedSegment
		if err := f.codec.Unmarshal(payload, &segments); err != nil {
			return err
		}
		if f.replicator != nil {
			f.replicator.post(segmentsReceived{from, segments})
		}
		return nil
	}
	var acks []segmentAck
	if err := f.codec.Unmarshal(payload, &acks); err != nil {
		return err
	}
	if f.replicator != nil {
		f.replicator.post(acksReceived{from, acks})
	}
	return nil
}

// handleTakeover posts takeover messages to the coordinator and waits until they are handled, so that a sender that floods this
// member is slowed down by its own backlog. If the sender knows a later epoch, its membership is requested first.
func (f *Fleet) handleTakeover(from takeover.Member, messages []takeover.Message) {
	latest := uint64(0)
	for i := range messages {
		latest = max(latest, messages[i].Epoch)
	}
	if latest > f.membership.Load().Epoch {
		f.send(from.Name, protocol.KindMembershipRequest, nil)
	}
	done := make(chan struct{})
	select {
	case f.coordinator.mailbox <- messagesReceived{from, messages, done}:
	case <-f.ctx.Done():
		return
	}
	select {
	case <-done:
	case <-f.ctx.Done():
	}
}
