package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"damsonscale/internal/audit"
	"damsonscale/internal/frame"
	"damsonscale/internal/rollout"
	"damsonscale/internal/takeover"
)

const (
	maxAdminConnections = 8 // operators at a time
	adminTimeout        = 5 * time.Second
	adminSegmentBytes   = 1 << 20 // bytes of segments in a frame
	adminWriteTimeout   = 10 * time.Second
	adminRequestBuffer  = 64 << 10
)

// What an operator may ask for.
const (
	CommandStatus   = "status"
	CommandOrder    = "order"
	CommandSegments = "segments"
)

// AdminRequest is one of an operator's. A connection carries one.
type AdminRequest struct {
	_       struct{} `cbor:",toarray"`
	FleetID uint64
	Command string
	Order   *rollout.Command
	Member  string // with CommandSegments: of that name alone
}

// AdminResponse answers it, with segments in several frames.
type AdminResponse struct {
	_              struct{} `cbor:",toarray"`
	Err            string
	NotLeader      bool // with an Err: Leader can do it, if it is known
	OutcomeUnknown bool // with an Err: it may be agreed all the same
	Leader         string
	Status         *ClusterStatus
	Segments       []audit.SealedSegment
	More           bool
}

// MemberStatus is a member's last report, as the leader has it.
type MemberStatus struct {
	_      struct{}       `cbor:",toarray"`
	Report rollout.Report `json:"Report"`
	AgeMs  int64          `json:"AgeMs"`
}

// ClusterStatus is what a member knows of the fleet.
type ClusterStatus struct {
	_           struct{}                `cbor:",toarray"`
	Name        string                  `json:"Name"` // whose word it is
	Self        takeover.Member         `json:"Me"`
	IsLeader    bool                    `json:"Leads"`
	Leader      string                  `json:"Leader"`
	Epoch       uint64                  `json:"Epoch"`
	Plan        rollout.Plan            `json:"Plan"`
	MemberNames []string                `json:"Names"`
	Members     []takeover.Member       `json:"Living"`
	Reports     map[string]MemberStatus `json:"Reports"` // of a leader alone
	WaitingFor  string                  `json:"Waits"`
}

// handleAdmin answers one operator.
func (f *Fleet) handleAdmin(conn net.Conn, payload []byte) {
	var a AdminRequest
	reply := AdminResponse{}
	switch err := f.codec.in.Unmarshal(payload, &a); {
	case err != nil:
		reply.Err = fmt.Sprintf("not readable: %v", err)
	case a.FleetID != f.transport.fleetID:
		reply.Err = "this member is of another fleet: its members have other names"
	case f.replicator == nil:
		reply.Err = "this member keeps no account: audit.enabled is false in its options"
	default:
		reply = f.adminResponse(conn, &a)
	}
	f.sendAdminResponse(conn, &reply)
}

func (f *Fleet) sendAdminResponse(conn net.Conn, r *AdminResponse) error {
	text, err := f.codec.out.Marshal(r)
	if err != nil {
		return err
	}
	out, err := frame.Append(nil, KindAdmin, text)
	if err != nil {
		return err
	}
	conn.SetWriteDeadline(time.Now().Add(adminWriteTimeout))
	_, err = conn.Write(out)
	return err
}

func (f *Fleet) adminResponse(conn net.Conn, a *AdminRequest) AdminResponse {
	ctx, cancel := context.WithTimeout(f.ctx, adminTimeout)
	defer cancel()
	switch a.Command {
	case CommandStatus:
		return AdminResponse{Status: f.clusterStatus(ctx)}
	case CommandSegments:
		return f.sendSegments(ctx, conn, a.Member)
	case CommandOrder:
		if a.Order == nil || a.Order.Kind > rollout.Readmit {
			return AdminResponse{Err: "no order of an operator's"}
		}
		if err := f.submitCommand(ctx, a.Order); errors.Is(err, ErrNotLeader) {
			return AdminResponse{Err: err.Error(), NotLeader: true, Leader: f.leaderName()}
		} else if errors.Is(err, ErrLeaderChanged) || errors.Is(err, ErrTimeout) {
			return AdminResponse{Err: err.Error(), OutcomeUnknown: true}
		} else if err != nil {
			return AdminResponse{Err: err.Error()}
		}
		return AdminResponse{Status: f.clusterStatus(ctx)}
	}
	return AdminResponse{Err: fmt.Sprintf("%q is nothing that can be asked", a.Command)}
}

func (f *Fleet) leaderName() string {
	if l := f.leader.Load(); l != nil {
		return *l
	}
	return ""
}

// submitCommand has an order agreed. The member that it enters by checks a version before anybody else sees it.
func (f *Fleet) submitCommand(ctx context.Context, o *rollout.Command) error {
	if err := o.Check(); err != nil {
		return err
	}
	e := f.log.Load()
	if e == nil {
		return ErrNotLeader
	}
	if o.Kind == rollout.RollOut {
		if err := f.applier.ValidateSettings(o.Settings); err != nil {
			return err
		}
	}
	if o.Name != "" && !slices.Contains(f.memberNames, o.Name) {
		return fmt.Errorf("%q is no member of this fleet", o.Name)
	}
	back := make(chan error, 1)
	select {
	case e.mailbox <- func() { e.submit(o, func(err error) { back <- err }) }:
	case <-ctx.Done():
		return ErrBusy
	}
	select {
	case err := <-back:
		return err
	case <-ctx.Done():
		return ErrTimeout
	}
}

// clusterStatus tells what this member knows, and what all reported if it leads.
func (f *Fleet) clusterStatus(ctx context.Context) *ClusterStatus {
	r := f.membership.Load()
	s := &ClusterStatus{Name: f.name, Self: *f.self.Load(), Leader: f.leaderName(), Epoch: r.Epoch, Plan: r.Plan, MemberNames: f.memberNames}
	for _, one := range r.Members {
		s.Members = append(s.Members, one.Member)
	}
	e := f.log.Load()
	if e == nil {
		return s
	}
	type told struct {
		heard map[string]rollout.ReceivedReport
		waits string
		leads bool
	}
	back := make(chan told, 1)
	select {
	case e.mailbox <- func() {
		h, w, l := e.status()
		back <- told{h, w, l}
	}:
	case <-ctx.Done():
		return s
	}
	select {
	case t := <-back:
		s.IsLeader, s.WaitingFor = t.leads, t.waits
		if t.leads {
			s.Leader, s.Reports = f.name, map[string]MemberStatus{}
			for name, h := range t.heard {
				s.Reports[name] = MemberStatus{Report: h.Report, AgeMs: time.Since(h.ReceivedAt).Milliseconds()}
			}
		}
	case <-ctx.Done():
	}
	return s
}

// sendSegments sends what this member holds, its own up to now first.
func (f *Fleet) sendSegments(ctx context.Context, conn net.Conn, name string) AdminResponse {
	back := make(chan []audit.SealedSegment, 1)
	select {
	case f.replicator.mailbox <- func() {
		f.replicator.addSegments(f.recorder.Cut(time.Now().UnixMilli()))
		back <- f.replicator.store.Segments(name)
	}:
	case <-ctx.Done():
		return AdminResponse{Err: ErrBusy.Error()}
	}
	var all []audit.SealedSegment
	select {
	case all = <-back:
	case <-ctx.Done():
		return AdminResponse{Err: ErrBusy.Error()}
	}
	part, bytes := []audit.SealedSegment(nil), 0
	for _, z := range all {
		if bytes += len(z.Encoded); bytes > adminSegmentBytes && len(part) > 0 {
			if err := f.sendAdminResponse(conn, &AdminResponse{Segments: part, More: true}); err != nil {
				return AdminResponse{Err: err.Error()}
			}
			part, bytes = nil, len(z.Encoded)
		}
		part = append(part, z)
	}
	return AdminResponse{Segments: part}
}

// Call asks a member as an operator does.
func Call(ctx context.Context, addr string, names []string, a AdminRequest) (*AdminResponse, error) {
	coder, err := newCodec()
	if err != nil {
		return nil, err
	}
	a.FleetID = FleetID(names)
	text, err := coder.out.Marshal(a)
	if err != nil {
		return nil, err
	}
	out, err := frame.Append(make([]byte, 0, adminRequestBuffer), KindAdmin, text)
	if err != nil {
		return nil, err
	}
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(time.Now().Add(adminTimeout + adminWriteTimeout))
	if _, err := conn.Write(out); err != nil {
		return nil, err
	}
	var whole AdminResponse
	for {
		kind, payload, err := frame.Read(conn)
		if err != nil {
			return nil, err
		}
		var r AdminResponse
		if kind != KindAdmin {
			return nil, ErrUnknownKind
		}
		if err := coder.in.Unmarshal(payload, &r); err != nil {
			return nil, err
		}
		r.Segments = append(whole.Segments, r.Segments...)
		if whole = r; !r.More {
			return &whole, nil
		}
	}
}

// ID tells fleets apart by their members' names.
func ID(names []string) uint64 { return FleetID(names) }
