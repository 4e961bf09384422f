// Package rollout says which version of the settings each member of a fleet is to act on, and who may not act at all. It
// does no input or output and reads no clock; docs/audit.md tells how and why.
package rollout

import (
	"cmp"
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Bounds of orders.
const (
	MaxTextBytes = 256 << 10 // bytes of a version
	mostWhy      = 300       // bytes of a reason
	keptVersions = 8         // that one may go back to
	keptOrders   = 64        // ids of orders that are known to have been carried out
	FullShare    = 1000      // share of all members, in thousandths
)

// Digest is that of the bytes of a version.
type Digest [sha256.Size]byte

// DigestOf is SHA-256 of a version's bytes.
func DigestOf(text []byte) Digest { return sha256.Sum256(text) }

// Version is one that was given a number.
type Version struct {
	_          struct{} `cbor:",toarray"`
	Number     uint64   `json:"Number"` // from 1, each once
	Digest     Digest   `json:"Digest"`
	SizeBytes  int      `json:"Size"`
	Author     string   `json:"Who"`
	Reason     string   `json:"Why"`
	RollbackOf uint64   `json:"Back"` // whose bytes it has; 0: its own
}

// Kind is what an order wants.
type Kind uint8

const (
	RollOut          Kind = 1 // Text becomes the target, for a share of the members first
	Pause            Kind = 2 // the target goes no further
	Rollback         Kind = 3 // the bytes of an earlier version become the target, for all
	Exclude          Kind = 4 // a name gets no lease
	Readmit          Kind = 5 // it may again
	Promote          Kind = 6 // a leader's: the target is for all
	Fence            Kind = 7 // a leader's: no lease below the target
	ReselectCanaries Kind = 8 // a leader's: others adopt it first, since none of the first ones lives
)

var kindNames = map[Kind]string{
	RollOut: "rollout", Pause: "hold", Rollback: "back", Exclude: "out", Readmit: "readmit", Promote: "widen", Fence: "fence", ReselectCanaries: "choose",
}

// String names the kind as the operators' program does.
func (k Kind) String() string { return cmp.Or(kindNames[k], "unknown") }

// Command is one entry of the log that changes the plan.
type Command struct {
	_              struct{} `cbor:",toarray"`
	Kind           Kind
	ID             uint64 // drawn by who asks; one that was carried out is not again
	Author, Reason string
	Settings       []byte // with RollOut
	Number         uint64 // with Back, Widen, Fence, Choose; with Hold the target meant, 0: any
	Name           string // with Exclude, Readmit
	Share          int    // with RollOut, thousandths that adopt first
	SettleMs       int64  // with RollOut: for so long all of the share act on it before it is widened
	GraceMs        int64  // with RollOut and Back: from the widening to the fence
}

// Plan is what the orders so far come to. One that was handed on is never changed.
type Plan struct {
	_           struct{}  `cbor:",toarray"`
	LastNumber  uint64    `json:"Last"`   // highest number given
	Target      uint64    `json:"Target"` // 0: members go by their own files
	Base        uint64    `json:"Base"`   // what those outside the share go by
	Share       int       `json:"Share"`  // thousandths
	Canaries    []string  `json:"First"`  // the names that adopt it first, while Share is not Whole
	SettleMs    int64     `json:"SettleMs"`
	GraceMs     int64     `json:"GraceMs"`
	Fence       uint64    `json:"Fence"` // below it no lease is given
	PauseReason string    `json:"Held"`  // why the target goes no further; empty: it goes on
	Versions    []Version `json:"Versions"`
	Excluded    []string  `json:"Barred"`
	AppliedIDs  []uint64  `json:"Done"`
}

// Errors of an order.
var (
	ErrAlreadyApplied = errors.New("this order was carried out before")
	ErrUnknownVersion = errors.New("no such version is kept")
	ErrStaleTarget    = errors.New("another target has been set meanwhile")
	ErrNoChange       = errors.New("nothing to do")
)

// Check refuses an order that makes no sense by itself.
func (o *Command) Check() error {
	switch {
	case kindNames[o.Kind] == "":
		return fmt.Errorf("an order of an unknown kind, %d", o.Kind)
	case len(o.Author) == 0 || len(o.Author) > mostWhy:
		return errors.New("who: expected 1 to 300 bytes")
	case len(o.Reason) > mostWhy:
		return errors.New("why: expected at most 300 bytes")
	case o.ID == 0:
		return errors.New("an order without an id")
	case o.Kind == RollOut && (len(o.Settings) == 0 || len(o.Settings) > MaxTextBytes):
		return fmt.Errorf("a version of %d bytes, expected 1 to %d", len(o.Settings), MaxTextBytes)
	case o.Kind == RollOut && (o.Share < 1 || o.Share > FullShare):
		return fmt.Errorf("share: %d is not within 1 to %d thousandths", o.Share, FullShare)
	case o.SettleMs < 0 || o.GraceMs < 0 || o.SettleMs > 86_400_000 || o.GraceMs > 86_400_000:
		return errors.New("settle and grace: expected 0 to a day")
	case (o.Kind == Exclude || o.Kind == Readmit) && o.Name == "":
		return errors.New("an order without a name")
	case o.Kind != RollOut && len(o.Settings) > 0:
		return errors.New("bytes with an order that has none")
	}
	return nil
}

// Find finds a kept version.
func (p *Plan) Find(number uint64) (Version, bool) {
	for _, v := range p.Versions {
		if v.Number == number {
			return v, true
		}
	}
	return Version{}, false
}

// Apply returns the plan after an order, the same one with an error where it changes nothing. Of all names those living may be
// the first to adopt a version: guards against a rollout that waits for a member which is down.
func (p *Plan) Apply(o *Command, names, living []string) (*Plan, error) {
	if err := o.Check(); err != nil {
		return p, err
	}
	if slices.Contains(p.AppliedIDs, o.ID) {
		return p, ErrAlreadyApplied
	}
	n := *p
	n.Versions, n.Excluded, n.AppliedIDs = slices.Clone(p.Versions), slices.Clone(p.Excluded), append(slices.Clone(p.AppliedIDs), o.ID)
	if len(n.AppliedIDs) > keptOrders {
		n.AppliedIDs = n.AppliedIDs[len(n.AppliedIDs)-keptOrders:]
	}
	err := error(nil)
	switch o.Kind {
	case RollOut:
		n.Canaries = first(p.LastNumber+1, living, max(1, len(names)*o.Share/FullShare))
		n.target(Version{Digest: DigestOf(o.Settings), SizeBytes: len(o.Settings), Author: o.Author, Reason: o.Reason}, o)
	case Rollback:
		old, ok := p.Find(o.Number)
		if !ok {
			return p, fmt.Errorf("%d: %w", o.Number, ErrUnknownVersion)
		}
		from := o.Number
		if old.RollbackOf > 0 {
			from = old.RollbackOf
		}
		all := *o
		all.Share = FullShare
		n.target(Version{Digest: old.Digest, SizeBytes: old.SizeBytes, Author: o.Author, Reason: o.Reason, RollbackOf: from}, &all)
	case Pause:
		switch {
		case o.Number > 0 && o.Number != p.Target:
			err = ErrStaleTarget
		case p.Target == 0 || p.PauseReason != "" || p.Fence == p.Target:
			err = ErrNoChange
		}
		n.PauseReason = cmp.Or(o.Reason, "held by "+o.Author)
	case Exclude:
		if slices.Contains(p.Excluded, o.Name) {
			err = ErrNoChange
		}
		n.Excluded = append(n.Excluded, o.Name)
		slices.Sort(n.Excluded)
	case Readmit:
		if !slices.Contains(p.Excluded, o.Name) {
			err = ErrNoChange
		}
		n.Excluded = slices.DeleteFunc(n.Excluded, func(s string) bool { return s == o.Name })
	case ReselectCanaries:
		n.Canaries = first(p.Target, living, max(1, len(names)*p.Share/FullShare))
		if o.Number != p.Target || p.PauseReason != "" {
			err = ErrStaleTarget
		} else if p.Share == FullShare || slices.Equal(n.Canaries, p.Canaries) {
			err = ErrNoChange
		}
	case Promote, Fence:
		if o.Number != p.Target || p.PauseReason != "" {
			err = ErrStaleTarget // another target, or a hold, came first
		} else if o.Kind == Promote && p.Share == FullShare || o.Kind == Fence && (p.Fence >= o.Number || p.Share < FullShare) {
			err = ErrNoChange
		}
		if o.Kind == Fence {
			n.Fence = o.Number
		}
		n.Share, n.Canaries = FullShare, nil
	}
	if err != nil {
		return p, err
	}
	return &n, nil
}

// target gives a version the next number and makes it the target.
func (n *Plan) target(v Version, o *Command) {
	if n.Share == FullShare { // who is outside the new share stays with what all had
		n.Base = n.Target
	}
	n.LastNumber++
	v.Number = n.LastNumber
	n.Target, n.Share, n.SettleMs, n.GraceMs, n.PauseReason = v.Number, o.Share, o.SettleMs, o.GraceMs, ""
	if o.Share == FullShare {
		n.Base, n.Canaries = v.Number, nil
	}
	n.Versions = append(n.Versions, v)
	for i := 0; len(n.Versions) > keptVersions && i < len(n.Versions); {
		if u := n.Versions[i].Number; u == n.Base || u == n.Target || u == n.Fence {
			i++
			continue
		}
		n.Versions = slices.Delete(n.Versions, i, i+1)
	}
}

// TargetFor is the version that a name is to act on; 0: its own file. No member goes below the fence.
func (p *Plan) TargetFor(name string) uint64 {
	if p.Target == 0 || p.Share == FullShare || slices.Contains(p.Canaries, name) {
		return p.Target
	}
	return max(p.Base, p.Fence)
}

// first chooses some names, others for each version.
func first(number uint64, names []string, n int) []string {
	all := slices.Clone(names)
	rank := func(name string) uint64 { return xxhash.Sum64String(fmt.Sprintf("%d/%s", number, name)) }
	slices.SortFunc(all, func(a, b string) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b)) })
	all = slices.Compact(all) // of an upgrade there are two
	return all[:min(len(all), n)]
}

// MayLease tells whether a name that acts on a version may have a lease.
func (p *Plan) MayLease(name string, acts uint64) bool {
	return acts >= p.Fence && !slices.Contains(p.Excluded, name)
}

// Validate refuses a plan that nobody can have written.
func (p *Plan) Validate() error {
	met := map[uint64]bool{}
	for _, v := range p.Versions {
		if v.Number == 0 || v.Number > p.LastNumber || met[v.Number] || v.SizeBytes > MaxTextBytes {
			return errors.New("a plan that makes no sense")
		}
		met[v.Number] = true
	}
	if p.Target > p.LastNumber || p.Fence > p.Target || p.Base > p.LastNumber || p.Share < 0 || p.Share > FullShare || p.Target > 0 && !met[p.Target] {
		return errors.New("a plan that makes no sense")
	}
	return nil
}
