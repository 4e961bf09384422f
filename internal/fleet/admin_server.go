package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"damsonscale/internal/audit"
	"damsonscale/internal/fleet/membership"
	"damsonscale/internal/fleet/protocol"
	"damsonscale/internal/frame"
	"damsonscale/internal/rollout"
)

// commandPollInterval is the interval at which an applied command is looked for in the membership.
const commandPollInterval = time.Millisecond

// handleAdmin answers an operator's request on its connection. The transport calls it.
func (f *Fleet) handleAdmin(conn net.Conn, payload []byte) {
	var request AdminRequest
	response := AdminResponse{}
	switch err := f.codec.Unmarshal(payload, &request); {
	case err != nil:
		response.Err = fmt.Sprintf("request cannot be decoded: %v", err)
	case request.FleetID != f.transport.FleetID():
		response.Err = "this member is of another fleet: the configured member names differ"
	case f.replicator == nil:
		response.Err = "this member keeps no audit log: audit.enabled is false in its options"
	default:
		response = f.answerAdmin(conn, &request)
	}
	f.sendAdminResponse(conn, &response)
}

func (f *Fleet) sendAdminResponse(conn net.Conn, r *AdminResponse) error {
	payload, err := f.codec.Marshal(r)
	if err != nil {
		return err
	}
	encoded, err := frame.Append(nil, byte(protocol.KindAdmin), payload)
	if err != nil {
		return err
	}
	conn.SetWriteDeadline(time.Now().Add(adminWriteTimeout))
	_, err = conn.Write(encoded)
	return err
}

// answerAdmin processes a request and returns the last response to it. sendSegments sends the earlier ones itself.
func (f *Fleet) answerAdmin(conn net.Conn, r *AdminRequest) AdminResponse {
	ctx, cancel := context.WithTimeout(f.ctx, adminTimeout)
	defer cancel()
	switch r.Kind {
	case RequestStatus:
		return AdminResponse{Status: f.clusterStatus(ctx)}
	case RequestSegments:
		return f.sendSegments(ctx, conn, r.Member)
	case RequestRolloutCommand:
		return f.answerRolloutCommand(ctx, r.RolloutCommand)
	}
	return AdminResponse{Err: fmt.Sprintf("unknown request kind %q", r.Kind)}
}

// answerRolloutCommand commits an operator's command through the replicated log. Commands that only the leader may issue are
// rejected.
func (f *Fleet) answerRolloutCommand(ctx context.Context, c *rollout.Command) AdminResponse {
	if c == nil || c.Kind > rollout.Readmit {
		return AdminResponse{Err: "the request has no rollout command that an operator may submit"}
	}
	err := f.submitCommand(ctx, c)
	switch {
	case err == nil:
		f.awaitCommand(ctx, c.ID)
		return AdminResponse{Status: f.clusterStatus(ctx)}
	case errors.Is(err, membership.ErrNotLeader):
		return AdminResponse{Err: err.Error(), NotLeader: true, Leader: f.leaderName()}
	case errors.Is(err, membership.ErrLeaderChanged), errors.Is(err, membership.ErrTimeout):
		return AdminResponse{Err: err.Error(), OutcomeUnknown: true}
	}
	return AdminResponse{Err: err.Error()}
}

// awaitCommand waits until this member has adopted the membership with a command that the log has applied, or until ctx ends. The
// log replies before that.
func (f *Fleet) awaitCommand(ctx context.Context, id uint64) {
	tick := time.NewTicker(commandPollInterval)
	defer tick.Stop()
	for !slices.Contains(f.membership.Load().Plan.AppliedIDs, id) {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// leaderName returns the name of the member that granted the latest lease; empty: no lease has been granted yet.
func (f *Fleet) leaderName() string {
	if leader := f.leader.Load(); leader != nil {
		return *leader
	}
	return ""
}

// submitCommand validates a command and commits it through the replicated log. Settings are validated here, before they reach
// any other member.
func (f *Fleet) submitCommand(ctx context.Context, c *rollout.Command) error {
	if err := c.Check(); err != nil {
		return err
	}
	log := f.log.Load()
	if log == nil {
		return membership.ErrNotLeader
	}
	if c.Kind == rollout.RollOut {
		if err := f.applier.ValidateSettings(c.Settings); err != nil {
			return err
		}
	}
	if c.Name != "" && !slices.Contains(f.memberNames, c.Name) {
		return fmt.Errorf("%q is no member of this fleet", c.Name)
	}
	return log.Submit(ctx, c)
}

// clusterStatus returns the status as this member knows it, with the reports of all members if it is the leader.
func (f *Fleet) clusterStatus(ctx context.Context) *ClusterStatus {
	m := f.membership.Load()
	s := &ClusterStatus{Name: f.name, Self: *f.self.Load(), Leader: f.leaderName(), Epoch: m.Epoch, Plan: m.Plan, MemberNames: f.memberNames}
	for _, j := range m.Members {
		s.Members = append(s.Members, j.Member)
	}
	log := f.log.Load()
	if log == nil {
		return s
	}
	status, ok := log.Status(ctx)
	if !ok || !status.IsLeader {
		return s
	}
	s.IsLeader, s.WaitReason, s.Leader, s.Reports = true, status.WaitReason, f.name, map[string]MemberStatus{}
	for name, received := range status.Reports {
		s.Reports[name] = MemberStatus{Report: received.Report, AgeMs: time.Since(received.ReceivedAt).Milliseconds()}
	}
	return s
}

// sendSegments sends the segments that this member stores, including its own up to the present, and returns the last response.
func (f *Fleet) sendSegments(ctx context.Context, conn net.Conn, name string) AdminResponse {
	stored := make(chan []audit.SealedSegment, 1)
	select {
	case f.replicator.mailbox <- segmentsQuery{name, stored}:
	case <-ctx.Done():
		return AdminResponse{Err: membership.ErrBusy.Error()}
	}
	var segments []audit.SealedSegment
	select {
	case segments = <-stored:
	case <-ctx.Done():
		return AdminResponse{Err: membership.ErrBusy.Error()}
	}
	part, bytes := []audit.SealedSegment(nil), 0
	for _, s := range segments {
		if bytes += len(s.Encoded); bytes > adminSegmentBytes && len(part) > 0 {
			if err := f.sendAdminResponse(conn, &AdminResponse{Segments: part, More: true}); err != nil {
				return AdminResponse{Err: err.Error()}
			}
			part, bytes = nil, len(s.Encoded)
		}
		part = append(part, s)
	}
	return AdminResponse{Segments: part}
}
