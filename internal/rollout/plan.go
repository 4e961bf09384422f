package rollout

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	maxVersions   = 8  // versions that are available for a rollback
	maxAppliedIDs = 64 // ids of commands that are recognized as duplicates; an older command that is sent again is applied again
)

// ErrInvalidPlan means that no sequence of commands leads to the plan.
var ErrInvalidPlan = errors.New("rollout plan is inconsistent")

// Plan is the state of rollouts after the commands of the fleet's log. A published plan is immutable: Apply returns a new plan. Snapshots and
// messages contain it as a CBOR array: the order and types of its fields must not change.
type Plan struct {
	_             struct{}  `cbor:",toarray"`
	LastNumber    uint64    `json:"Last"`     // highest version number assigned so far
	Target        uint64    `json:"Target"`   // version being rolled out, or rolled out to all members; 0: members use their own files
	Base          uint64    `json:"Base"`     // version for the members that are not canaries, until the target is promoted
	SharePermille int       `json:"Share"`    // share of the members that the target is for, in thousandths
	Canaries      []string  `json:"First"`    // members that adopt the target first; empty once the target is for all members
	SettleMs      int64     `json:"SettleMs"` // time for which all canaries must have used the target before it is promoted
	GraceMs       int64     `json:"GraceMs"`  // time from the promotion to the fence while members have not adopted the target
	Fence         uint64    `json:"Fence"`    // members that use a lower version get no lease
	PauseReason   string    `json:"Held"`     // reason of the pause; empty if the rollout is not paused
	Versions      []Version `json:"Versions"` // available for a rollback, or in use; oldest first
	Excluded      []string  `json:"Barred"`   // members that get no lease, sorted by name
	AppliedIDs    []uint64  `json:"Done"`     // ids of the last applied commands
}

// Find returns the version with a number, if the plan still has it.
func (p *Plan) Find(number uint64) (Version, bool) {
	for _, v := range p.Versions {
		if v.Number == number {
			return v, true
		}
	}
	return Version{}, false
}

// TargetFor returns the number of the version that a member is to use, or 0 for the member's own file. The version is never below the fence.
func (p *Plan) TargetFor(name string) uint64 {
	if p.Target == 0 || p.SharePermille == FullSharePermille || slices.Contains(p.Canaries, name) {
		return p.Target
	}
	return max(p.Base, p.Fence)
}

// MayLease reports whether the named member may hold a lease while version active is in use there.
func (p *Plan) MayLease(name string, active uint64) bool {
	return active >= p.Fence && !slices.Contains(p.Excluded, name)
}

// Validate returns ErrInvalidPlan if no sequence of commands leads to the plan.
func (p *Plan) Validate() error {
	seen := map[uint64]bool{}
	for _, v := range p.Versions {
		if v.Number == 0 || v.Number > p.LastNumber || seen[v.Number] || v.SizeBytes > MaxSettingsBytes {
			return ErrInvalidPlan
		}
		seen[v.Number] = true
	}
	if p.Target > p.LastNumber || p.Fence > p.Target || p.Base > p.LastNumber || p.SharePermille < 0 || p.SharePermille > FullSharePermille || p.Target > 0 && !seen[p.Target] {
		return ErrInvalidPlan
	}
	return nil
}

// canaries chooses the n members that adopt a version first, by rendezvous hashing of version number and member name. A name may be listed
// twice, because a member has two processes during an upgrade.
func canaries(number uint64, names []string, n int) []string {
	sorted := slices.Clone(names)
	rank := func(name string) uint64 { return xxhash.Sum64String(fmt.Sprintf("%d/%s", number, name)) }
	slices.SortFunc(sorted, func(a, b string) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b)) })
	sorted = slices.Compact(sorted)
	return sorted[:min(len(sorted), n)]
}
