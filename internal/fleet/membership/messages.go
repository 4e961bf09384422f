package membership

import (
	"damsonscale/internal/rollout"
	"damsonscale/internal/takeover"
)

// LeaseRequest is a member's request for a lease.
type LeaseRequest struct {
	_           struct{} `cbor:",toarray"`
	Member      takeover.Member
	RequestedAt int64  // by the member's own clock, in ns; comes back with the grant
	Address     string // where the member listens; empty: where the options say
	Report      rollout.Report
}

// LeaseGrant is a leader's reply. The lease lasts from RequestedAt on, unless Evicted or Excluded refuse it.
type LeaseGrant struct {
	_           struct{} `cbor:",toarray"`
	Member      takeover.Member
	RequestedAt int64
	Epoch       uint64
	Evicted     bool // the member was evicted: its process has to rejoin with a new incarnation
	Excluded    bool // by the rollout plan as of Epoch the member may not act
}

// snapshot replaces the entries of the log up to an index.
type snapshot struct {
	_          struct{} `cbor:",toarray"`
	Membership *Membership
	Settings   map[string][]byte // of the plan's versions, by digest
}
