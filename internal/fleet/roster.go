package fleet

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"damsonscale/internal/rollout"
	"damsonscale/internal/takeover"
)

const goneKept = 16 // incarnations of a name that are known to be out

// entry is one of the epoch log.
type entry struct {
	_       struct{} `cbor:",toarray"`
	Out     bool
	Member  takeover.Member
	Address string           // where it listens, if not where the options say
	Order   *rollout.Command // instead of all that
}

// seat is a living member's.
type seat struct {
	_       struct{} `cbor:",toarray"`
	Member  takeover.Member
	Joined  uint64
	First   bool
	Address string
}

// roster is what the log says up to an epoch. One that was handed on is never changed.
type roster struct {
	_     struct{} `cbor:",toarray"`
	Epoch uint64
	Seats []seat              // of the living, in the order of their joining
	Gone  map[string][]uint64 // incarnations that are out, the latest of each name
	Plan  rollout.Plan        // of the versions that members are to act on
}

func (r *roster) find(m takeover.Member) int {
	return slices.IndexFunc(r.Seats, func(s seat) bool { return s.Member == m })
}

func (r *roster) lives(m takeover.Member) bool { return r.find(m) >= 0 }

func (r *roster) gone(m takeover.Member) bool { return slices.Contains(r.Gone[m.Name], m.Incarnation) }

// living are the names that have a member.
func (r *roster) living() (out []string) {
	for _, s := range r.Seats {
		out = append(out, s.Member.Name)
	}
	return out
}

// met tells whether any process of a name was ever a member.
func (r *roster) met(name string) bool {
	return len(r.Gone[name]) > 0 || slices.ContainsFunc(r.Seats, func(s seat) bool { return s.Member.Name == name })
}

// apply returns the roster after an entry; the same one where that changes nothing.
func (r *roster) apply(e *entry, names []string) *roster {
	if e.Order != nil {
		plan, err := r.Plan.Apply(e.Order, names, r.living())
		if err != nil {
			return r
		}
		return &roster{Epoch: r.Epoch + 1, Seats: r.Seats, Gone: r.Gone, Plan: *plan}
	}
	at := r.find(e.Member)
	if e.Out != (at >= 0) || !e.Out && r.gone(e.Member) {
		return r // doubled, or a late word of one that is out
	}
	next := &roster{Epoch: r.Epoch + 1, Seats: slices.Clone(r.Seats), Gone: maps.Clone(r.Gone), Plan: r.Plan}
	if !e.Out {
		next.Seats = append(next.Seats, seat{Member: e.Member, Joined: next.Epoch, First: !r.met(e.Member.Name), Address: e.Address})
		return next
	}
	next.Seats = slices.Delete(next.Seats, at, at+1)
	if next.Gone == nil {
		next.Gone = map[string][]uint64{}
	}
	old := slices.Clone(next.Gone[e.Member.Name])
	if old = append(old, e.Member.Incarnation); len(old) > goneKept {
		old = old[len(old)-goneKept:]
	}
	next.Gone[e.Member.Name] = old
	return next
}

// view is the roster in custody's terms.
func (r *roster) view() *takeover.View {
	v := &takeover.View{Epoch: r.Epoch, Members: make(map[takeover.Member]takeover.MemberInfo, len(r.Seats))}
	for _, s := range r.Seats {
		v.Members[s.Member] = takeover.MemberInfo{JoinedEpoch: s.Joined, FirstIncarnation: s.First}
	}
	return v
}

// addressOf finds where a name listens: where its longest member does, else where the options say.
func (r *roster) addressOf(name, listed string) string {
	for _, s := range r.Seats {
		if s.Member.Name == name {
			if s.Address != "" {
				return s.Address
			}
			return listed
		}
	}
	return listed
}

var errRoster = errors.New("a roster that makes no sense")

// check refuses a roster that nobody can have written.
func (r *roster) check() error {
	met := map[takeover.Member]bool{}
	for _, s := range r.Seats {
		if s.Member.Name == "" || s.Joined > r.Epoch || met[s.Member] {
			return errRoster
		}
		met[s.Member] = true
	}
	if err := r.Plan.Validate(); err != nil {
		return fmt.Errorf("%w: %w", errRoster, err)
	}
	return nil
}

// coder reads and writes what members tell each other; what is too long or too deep is an error.
type coder struct {
	in  cbor.DecMode
	out cbor.EncMode
}

func newCoder() (*coder, error) {
	in, err := cbor.DecOptions{
		MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 12, MaxNestedLevels: 12, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		return nil, err
	}
	out, err := cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode()
	return &coder{in, out}, err
}
