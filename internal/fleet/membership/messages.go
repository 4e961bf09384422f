package membership

import (
	"damsonscale/internal/rollout"
	"damsonscale/internal/takeover"
)

// LeaseRequest is a member's request for a lease.
type LeaseRequest struct {
	_           struct{} `cbor:",toarray"`
	Member      takeover.Member
	RequestedAt int64  // by the member's own clock, in ns; the grant returns it
	Address     string // at which the member listens; empty: its configured address
	Report      rollout.Report
}

// LeaseGrant is a leader's reply to a LeaseRequest. The lease counts from RequestedAt; with Evicted or Excluded it is refused.
type LeaseGrant struct {
	_           struct{} `cbor:",toarray"`
	Member      takeover.Member
	RequestedAt int64
	Epoch       uint64
	Evicted     bool // the member was evicted and has to rejoin with a new incarnation
	Excluded    bool // the rollout plan as of Epoch does not let the member act
}

// snapshot is the state that replaces the log's entries up to an index.
type snapshot struct {
	_          struct{} `cbor:",toarray"`
	Membership *Membership
	Settings   map[string][]byte // of the plan's versions, by digest
}
