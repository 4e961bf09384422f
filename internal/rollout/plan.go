package rollout

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	maxVersions   = 8  // that a rollback may go to
	maxAppliedIDs = 64 // of commands; an older one that is sent again is applied again
)

// ErrInvalidPlan says that no sequence of commands leads to a plan.
var ErrInvalidPlan = errors.New("the plan contradicts itself")

// Plan is the state after the commands of the fleet's log. A plan that was published is never changed: Apply returns a new one. It is part of
// snapshots and messages: order and types of its fields stay.
type Plan struct {
	_             struct{}  `cbor:",toarray"`
	LastNumber    uint64    `json:"Last"`     // highest number of a version
	Target        uint64    `json:"Target"`   // 0: members act on their own files
	Base          uint64    `json:"Base"`     // version of the members that the target is not for yet
	SharePermille int       `json:"Share"`    // of the members that the target is for, in thousandths
	Canaries      []string  `json:"First"`    // members that adopt the target first, while SharePermille is below FullSharePermille
	SettleMs      int64     `json:"SettleMs"` // how long all canaries must have acted on it before it is promoted
	GraceMs       int64     `json:"GraceMs"`  // from the promotion to the fence
	Fence         uint64    `json:"Fence"`    // no lease for members that act on a lower version
	PauseReason   string    `json:"Held"`     // why the target is paused; empty: it is not
	Versions      []Version `json:"Versions"`
	Excluded      []string  `json:"Barred"` // members that get no lease, sorted
	AppliedIDs    []uint64  `json:"Done"`
}

// Find returns the version of a number, if the plan still has it.
func (p *Plan) Find(number uint64) (Version, bool) {
	for _, v := range p.Versions {
		if v.Number == number {
			return v, true
		}
	}
	return Version{}, false
}

// TargetFor returns the version that a member is to act on; 0: its own file. No member is sent below the fence.
func (p *Plan) TargetFor(name string) uint64 {
	if p.Target == 0 || p.SharePermille == FullSharePermille || slices.Contains(p.Canaries, name) {
		return p.Target
	}
	return max(p.Base, p.Fence)
}

// MayLease reports whether a member that acts on a version may hold a lease.
func (p *Plan) MayLease(name string, active uint64) bool {
	return active >= p.Fence && !slices.Contains(p.Excluded, name)
}

// Validate returns ErrInvalidPlan for a plan that no sequence of commands leads to.
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

// canaries chooses the members that adopt a version first, by rendezvous hashing of version and name. One name may be listed twice: during an
// upgrade it has two processes.
func canaries(number uint64, names []string, n int) []string {
	sorted := slices.Clone(names)
	rank := func(name string) uint64 { return xxhash.Sum64String(fmt.Sprintf("%d/%s", number, name)) }
	slices.SortFunc(sorted, func(a, b string) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b)) })
	sorted = slices.Compact(sorted)
	return sorted[:min(len(sorted), n)]
}
