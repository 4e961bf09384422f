package fleet

import (
	"time"

	"damsonscale/internal/audit"
	"damsonscale/internal/fleet/protocol"
	"damsonscale/internal/rollout"
	"damsonscale/internal/takeover"
)

const (
	adminTimeout      = 5 * time.Second  // for a member to answer
	adminWriteTimeout = 10 * time.Second // for a frame of the answer
	adminSegmentBytes = 1 << 20          // of segments in a frame
)

// AdminRequestKind is what an operator requests.
type AdminRequestKind string

// What an operator may request. The words are part of the wire format.
const (
	RequestStatus         AdminRequestKind = "status"   // the ClusterStatus as this member knows it
	RequestRolloutCommand AdminRequestKind = "order"    // a change of the rollout plan
	RequestSegments       AdminRequestKind = "segments" // the audit segments that this member stores
)

// AdminRequest is an operator's request. A connection carries one.
type AdminRequest struct {
	_              struct{} `cbor:",toarray"`
	FleetID        uint64   // protocol.FleetID; Call sets it
	Kind           AdminRequestKind
	RolloutCommand *rollout.Command // with RequestRolloutCommand
	Member         string           // with RequestSegments: the name whose segments are requested; empty: all
}

// AdminResponse answers an AdminRequest. Segments may come in several responses, all but the last with More.
type AdminResponse struct {
	_              struct{} `cbor:",toarray"`
	Err            string
	NotLeader      bool // with Err: Leader has to be asked, if it is known
	OutcomeUnknown bool // with Err: the command may be agreed all the same
	Leader         string
	Status         *ClusterStatus
	Segments       []audit.SealedSegment
	More           bool
}

// MemberStatus is a member's latest report to the leader.
type MemberStatus struct {
	_      struct{}       `cbor:",toarray"`
	Report rollout.Report `json:"Report"`
	AgeMs  int64          `json:"AgeMs"`
}

// ClusterStatus is what one member knows of the fleet. `damsonscale fleet status --json` prints it: its keys are stable.
type ClusterStatus struct {
	_           struct{}                `cbor:",toarray"`
	Name        string                  `json:"Name"` // of the member that answers
	Self        takeover.Member         `json:"Me"`   // its incarnation
	IsLeader    bool                    `json:"Leads"`
	Leader      string                  `json:"Leader"` // empty: not known
	Epoch       uint64                  `json:"Epoch"`
	Plan        rollout.Plan            `json:"Plan"`
	MemberNames []string                `json:"Names"`   // all configured ones
	Members     []takeover.Member       `json:"Living"`  // in the order of joining
	Reports     map[string]MemberStatus `json:"Reports"` // by name, from the leader alone
	WaitReason  string                  `json:"Waits"`   // why the rollout does not progress, from the leader alone
}

// ID tells fleets apart by their members' names.
func ID(memberNames []string) uint64 { return protocol.FleetID(memberNames) }
