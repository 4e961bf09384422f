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
	MostText     = 256 << 10 // bytes of a version
	mostWhy      = 300       // bytes of a reason
	keptVersions = 8         // that one may go back to
	keptOrders   = 64        // ids of orders that are known to have been carried out
	Whole        = 1000      // share of all members, in thousandths
)

// Digest is that of the bytes of a version.
type Digest [sha256.Size]byte

// DigestOf is SHA-256 of a version's bytes.
func DigestOf(text []byte) Digest { return sha256.Sum256(text) }

// Version is one that was given a number.
type Version struct {
	_      struct{} `cbor:",toarray"`
	Number uint64   `json:"Number"` // from 1, each once
	Digest Digest   `json:"Digest"`
	Size   int      `json:"Size"`
	Who    string   `json:"Who"`
	Why    string   `json:"Why"`
	Back   uint64   `json:"Back"` // whose bytes it has; 0: its own
}

// Kind is what an order wants.
type Kind uint8

const (
	RollOut Kind = 1 // Text becomes the target, for a share of the members first
	Hold    Kind = 2 // the target goes no further
	Back    Kind = 3 // the bytes of an earlier version become the target, for all
	BarName Kind = 4 // a name gets no lease
	Readmit Kind = 5 // it may again
	Widen   Kind = 6 // a leader's: the target is for all
	Fence   Kind = 7 // a leader's: no lease below the target
	Choose  Kind = 8 // a leader's: others adopt it first, since none of the first ones lives
)

var kindNames = map[Kind]string{
	RollOut: "rollout", Hold: "hold", Back: "back", BarName: "out", Readmit: "readmit", Widen: "widen", Fence: "fence", Choose: "choose",
}

// String names the kind as the operators' program does.
func (k Kind) String() string { return cmp.Or(kindNames[k], "unknown") }

// Order is one entry of the log that changes the plan.
type Order struct {
	_        struct{} `cbor:",toarray"`
	Kind     Kind
	ID       uint64 // drawn by who asks; one that was carried out is not again
	Who, Why string
	Text     []byte // with RollOut
	Number   uint64 // with Back, Widen, Fence, Choose; with Hold the target meant, 0: any
	Name     string // with BarName, Readmit
	Share    int    // with RollOut, thousandths that adopt first
	SettleMs int64  // with RollOut: for so long all of the share act on it before it is widened
	GraceMs  int64  // with RollOut and Back: from the widening to the fence
}

// Plan is what the orders so far come to. One that was handed on is never changed.
type Plan struct {
	_        struct{}  `cbor:",toarray"`
	Last     uint64    `json:"Last"`   // highest number given
	Target   uint64    `json:"Target"` // 0: members go by their own files
	Base     uint64    `json:"Base"`   // what those outside the share go by
	Share    int       `json:"Share"`  // thousandths
	First    []string  `json:"First"`  // the names that adopt it first, while Share is not Whole
	SettleMs int64     `json:"SettleMs"`
	GraceMs  int64     `json:"GraceMs"`
	Fence    uint64    `json:"Fence"` // below it no lease is given
	Held     string    `json:"Held"`  // why the target goes no further; empty: it goes on
	Versions []Version `json:"Versions"`
	Barred   []string  `json:"Barred"`
	Done     []uint64  `json:"Done"`
}

// Errors of an order.
var (
	ErrDone    = errors.New("this order was carried out before")
	ErrVersion = errors.New("no such version is kept")
	ErrOld     = errors.New("another target has been set meanwhile")
	ErrNothing = errors.New("nothing to do")
)

// Check refuses an order that makes no sense by itself.
func (o *Order) Check() error {
	switch {
	case kindNames[o.Kind] == "":
		return fmt.Errorf("an order of an unknown kind, %d", o.Kind)
	case len(o.Who) == 0 || len(o.Who) > mostWhy:
		return errors.New("who: expected 1 to 300 bytes")
	case len(o.Why) > mostWhy:
		return errors.New("why: expected at most 300 bytes")
	case o.ID == 0:
		return errors.New("an order without an id")
	case o.Kind == RollOut && (len(o.Text) == 0 || len(o.Text) > MostText):
		return fmt.Errorf("a version of %d bytes, expected 1 to %d", len(o.Text), MostText)
	case o.Kind == RollOut && (o.Share < 1 || o.Share > Whole):
		return fmt.Errorf("share: %d is not within 1 to %d thousandths", o.Share, Whole)
	case o.SettleMs < 0 || o.GraceMs < 0 || o.SettleMs > 86_400_000 || o.GraceMs > 86_400_000:
		return errors.New("settle and grace: expected 0 to a day")
	case (o.Kind == BarName || o.Kind == Readmit) && o.Name == "":
		return errors.New("an order without a name")
	case o.Kind != RollOut && len(o.Text) > 0:
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
func (p *Plan) Apply(o *Order, names, living []string) (*Plan, error) {
	if err := o.Check(); err != nil {
		return p, err
	}
	if slices.Contains(p.Done, o.ID) {
		return p, ErrDone
	}
	n := *p
	n.Versions, n.Barred, n.Done = slices.Clone(p.Versions), slices.Clone(p.Barred), append(slices.Clone(p.Done), o.ID)
	if len(n.Done) > keptOrders {
		n.Done = n.Done[len(n.Done)-keptOrders:]
	}
	err := error(nil)
	switch o.Kind {
	case RollOut:
		n.First = first(p.Last+1, living, max(1, len(names)*o.Share/Whole))
		n.target(Version{Digest: DigestOf(o.Text), Size: len(o.Text), Who: o.Who, Why: o.Why}, o)
	case Back:
		old, ok := p.Find(o.Number)
		if !ok {
			return p, fmt.Errorf("%d: %w", o.Number, ErrVersion)
		}
		from := o.Number
		if old.Back > 0 {
			from = old.Back
		}
		all := *o
		all.Share = Whole
		n.target(Version{Digest: old.Digest, Size: old.Size, Who: o.Who, Why: o.Why, Back: from}, &all)
	case Hold:
		switch {
		case o.Number > 0 && o.Number != p.Target:
			err = ErrOld
		case p.Target == 0 || p.Held != "" || p.Fence == p.Target:
			err = ErrNothing
		}
		n.Held = cmp.Or(o.Why, "held by "+o.Who)
	case BarName:
		if slices.Contains(p.Barred, o.Name) {
			err = ErrNothing
		}
		n.Barred = append(n.Barred, o.Name)
		slices.Sort(n.Barred)
	case Readmit:
		if !slices.Contains(p.Barred, o.Name) {
			err = ErrNothing
		}
		n.Barred = slices.DeleteFunc(n.Barred, func(s string) bool { return s == o.Name })
	case Choose:
		n.First = first(p.Target, living, max(1, len(names)*p.Share/Whole))
		if o.Number != p.Target || p.Held != "" {
			err = ErrOld
		} else if p.Share == Whole || slices.Equal(n.First, p.First) {
			err = ErrNothing
		}
	case Widen, Fence:
		if o.Number != p.Target || p.Held != "" {
			err = ErrOld // another target, or a hold, came first
		} else if o.Kind == Widen && p.Share == Whole || o.Kind == Fence && (p.Fence >= o.Number || p.Share < Whole) {
			err = ErrNothing
		}
		if o.Kind == Fence {
			n.Fence = o.Number
		}
		n.Share, n.First = Whole, nil
	}
	if err != nil {
		return p, err
	}
	return &n, nil
}

// target gives a version the next number and makes it the target.
func (n *Plan) target(v Version, o *Order) {
	if n.Share == Whole { // who is outside the new share stays with what all had
		n.Base = n.Target
	}
	n.Last++
	v.Number = n.Last
	n.Target, n.Share, n.SettleMs, n.GraceMs, n.Held = v.Number, o.Share, o.SettleMs, o.GraceMs, ""
	if o.Share == Whole {
		n.Base, n.First = v.Number, nil
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

// Wanted is the version that a name is to act on; 0: its own file. No member goes below the fence.
func (p *Plan) Wanted(name string) uint64 {
	if p.Target == 0 || p.Share == Whole || slices.Contains(p.First, name) {
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

// May tells whether a name that acts on a version may have a lease.
func (p *Plan) May(name string, acts uint64) bool {
	return acts >= p.Fence && !slices.Contains(p.Barred, name)
}

// Valid refuses a plan that nobody can have written.
func (p *Plan) Valid() error {
	met := map[uint64]bool{}
	for _, v := range p.Versions {
		if v.Number == 0 || v.Number > p.Last || met[v.Number] || v.Size > MostText {
			return errors.New("a plan that makes no sense")
		}
		met[v.Number] = true
	}
	if p.Target > p.Last || p.Fence > p.Target || p.Base > p.Last || p.Share < 0 || p.Share > Whole || p.Target > 0 && !met[p.Target] {
		return errors.New("a plan that makes no sense")
	}
	return nil
}
