package fleet

import (
	"time"

	"damsonscale/internal/audit"
	"damsonscale/internal/fleet/protocol"
	"damsonscale/internal/rollout"
	"damsonscale/internal/takeover"
)

const (
	adminTimeout      = 5 * time.Second  // for a member to process a request
	adminWriteTimeout = 10 * time.Second // for writing one frame of the response
	adminSegmentBytes = 1 << 20          // bytes of segments in one frame
)

// AdminRequestKind is the kind of an operator's request.
type AdminRequestKind string

// Kinds of requests. The values are part of the wire format.
const (
	RequestStatus         AdminRequestKind = "status"   // for the ClusterStatus as this member knows it
	RequestRolloutCommand AdminRequestKind = "order"    // for a change of the rollout plan
	RequestSegments       AdminRequestKind = "segments" // for the audit segments that this member stores
)

// AdminRequest is an operator's request. Each connection carries one request.
type AdminRequest struct {
	_              struct{} `cbor:",toarray"`
	FleetID        uint64   // protocol.FleetID; set by SendAdminRequest
	Kind           AdminRequestKind
	RolloutCommand *rollout.Command // for RequestRolloutCommand
	Member         string           // for RequestSegments: name of the member whose segments are requested; empty: all members
}

// AdminResponse answers an AdminRequest. Segments may be spread over several responses; all but the last have More set.
type AdminResponse struct {
	_              struct{} `cbor:",toarray"`
	Err            string
	NotLeader      bool // with Err: the request has to go to Leader, if that is known
	OutcomeUnknown bool // with Err: the command may still be committed
	Leader         string
	Status         *ClusterStatus
	Segments       []audit.SealedSegment
	More           bool
}

// MemberStatus is a member's latest report to the leader, and its age.
type MemberStatus struct {
	_      struct{}       `cbor:",toarray"`
	Report rollout.Report `json:"Report"`
	AgeMs  int64          `json:"AgeMs"`
}

// ClusterStatus is the state of the fleet as one member knows it. `damsonscale fleet status --json` prints it, so its JSON keys
// are stable.
type ClusterStatus struct {
	_           struct{}                `cbor:",toarray"`
	Name        string                  `json:"Name"` // of the responding member
	Self        takeover.Member         `json:"Me"`   // the responding member with its incarnation
	IsLeader    bool                    `json:"Leads"`
	Leader      string                  `json:"Leader"` // empty: unknown
	Epoch       uint64                  `json:"Epoch"`
	Plan        rollout.Plan            `json:"Plan"`
	MemberNames []string                `json:"Names"`   // of all configured members
	Members     []takeover.Member       `json:"Living"`  // current members in the order of joining
	Reports     map[string]MemberStatus `json:"Reports"` // by member name; only the leader has them
	WaitReason  string                  `json:"Waits"`   // why the rollout does not progress; only the leader knows it
}

// ID returns the identifier of the fleet with these configured member names.
func ID(memberNames []string) uint64 { return protocol.FleetID(memberNames) }
