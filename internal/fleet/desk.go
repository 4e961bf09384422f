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
	deskMost    = 8 // operators at a time
	deskWait    = 5 * time.Second
	deskPart    = 1 << 20 // bytes of segments in a frame
	deskStall   = 10 * time.Second
	orderStarts = 64 << 10
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

// desk answers one operator.
func (f *Fleet) desk(conn net.Conn, payload []byte) {
	var a AdminRequest
	reply := AdminResponse{}
	switch err := f.coder.in.Unmarshal(payload, &a); {
	case err != nil:
		reply.Err = fmt.Sprintf("not readable: %v", err)
	case a.FleetID != f.wire.id:
		reply.Err = "this member is of another fleet: its members have other names"
	case f.ledger == nil:
		reply.Err = "this member keeps no account: audit.enabled is false in its options"
	default:
		reply = f.answer(conn, &a)
	}
	f.reply(conn, &reply)
}

func (f *Fleet) reply(conn net.Conn, r *AdminResponse) error {
	text, err := f.coder.out.Marshal(r)
	if err != nil {
		return err
	}
	out, err := frame.Append(nil, kindDesk, text)
	if err != nil {
		return err
	}
	conn.SetWriteDeadline(time.Now().Add(deskStall))
	_, err = conn.Write(out)
	return err
}

func (f *Fleet) answer(conn net.Conn, a *AdminRequest) AdminResponse {
	ctx, cancel := context.WithTimeout(f.ctx, deskWait)
	defer cancel()
	switch a.Command {
	case CommandStatus:
		return AdminResponse{Status: f.standing(ctx)}
	case CommandSegments:
		return f.segments(ctx, conn, a.Member)
	case CommandOrder:
		if a.Order == nil || a.Order.Kind > rollout.Readmit {
			return AdminResponse{Err: "no order of an operator's"}
		}
		if err := f.ordered(ctx, a.Order); errors.Is(err, errNoLead) {
			return AdminResponse{Err: err.Error(), NotLeader: true, Leader: f.leads()}
		} else if errors.Is(err, errNoLeader) || errors.Is(err, errLate) {
			return AdminResponse{Err: err.Error(), OutcomeUnknown: true}
		} else if err != nil {
			return AdminResponse{Err: err.Error()}
		}
		return AdminResponse{Status: f.standing(ctx)}
	}
	return AdminResponse{Err: fmt.Sprintf("%q is nothing that can be asked", a.Command)}
}

func (f *Fleet) leads() string {
	if l := f.leader.Load(); l != nil {
		return *l
	}
	return ""
}

// ordered has an order agreed. The member that it enters by checks a version before anybody else sees it.
func (f *Fleet) ordered(ctx context.Context, o *rollout.Command) error {
	if err := o.Check(); err != nil {
		return err
	}
	e := f.epochs.Load()
	if e == nil {
		return errNoLead
	}
	if o.Kind == rollout.RollOut {
		if err := f.tuner.ValidateSettings(o.Settings); err != nil {
			return err
		}
	}
	if o.Name != "" && !slices.Contains(f.names, o.Name) {
		return fmt.Errorf("%q is no member of this fleet", o.Name)
	}
	back := make(chan error, 1)
	select {
	case e.box <- func() { e.order(o, func(err error) { back <- err }) }:
	case <-ctx.Done():
		return errBusy
	}
	select {
	case err := <-back:
		return err
	case <-ctx.Done():
		return errLate
	}
}

// standing tells what this member knows, and what all reported if it leads.
func (f *Fleet) standing(ctx context.Context) *ClusterStatus {
	r := f.roster.Load()
	s := &ClusterStatus{Name: f.name, Self: *f.me.Load(), Leader: f.leads(), Epoch: r.Epoch, Plan: r.Plan, MemberNames: f.names}
	for _, one := range r.Seats {
		s.Members = append(s.Members, one.Member)
	}
	e := f.epochs.Load()
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
	case e.box <- func() {
		h, w, l := e.standing()
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

// segments sends what this member holds, its own up to now first.
func (f *Fleet) segments(ctx context.Context, conn net.Conn, name string) AdminResponse {
	back := make(chan []audit.SealedSegment, 1)
	select {
	case f.ledger.box <- func() {
		f.ledger.add(f.book.Cut(time.Now().UnixMilli()))
		back <- f.ledger.shelf.Segments(name)
	}:
	case <-ctx.Done():
		return AdminResponse{Err: errBusy.Error()}
	}
	var all []audit.SealedSegment
	select {
	case all = <-back:
	case <-ctx.Done():
		return AdminResponse{Err: errBusy.Error()}
	}
	part, bytes := []audit.SealedSegment(nil), 0
	for _, z := range all {
		if bytes += len(z.Encoded); bytes > deskPart && len(part) > 0 {
			if err := f.reply(conn, &AdminResponse{Segments: part, More: true}); err != nil {
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
	coder, err := newCoder()
	if err != nil {
		return nil, err
	}
	a.FleetID = fleetID(names)
	text, err := coder.out.Marshal(a)
	if err != nil {
		return nil, err
	}
	out, err := frame.Append(make([]byte, 0, orderStarts), kindDesk, text)
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
	conn.SetDeadline(time.Now().Add(deskWait + deskStall))
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
		if kind != kindDesk {
			return nil, errKind
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
func ID(names []string) uint64 { return fleetID(names) }
