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

const maxEvictedPerName = 16 // incarnations of a name that are known to be out

// Change is one of the epoch log.
type Change struct {
	_       struct{} `cbor:",toarray"`
	Evict   bool
	Member  takeover.Member
	Address string           // where it listens, if not where the options say
	Command *rollout.Command // instead of all that
}

// JoinedMember is a living member's.
type JoinedMember struct {
	_                struct{} `cbor:",toarray"`
	Member           takeover.Member
	JoinedEpoch      uint64
	FirstIncarnation bool
	Address          string
}

// Membership is what the log says up to an epoch. One that was handed on is never changed.
type Membership struct {
	_       struct{} `cbor:",toarray"`
	Epoch   uint64
	Members []JoinedMember      // of the living, in the order of their joining
	Evicted map[string][]uint64 // incarnations that are out, the latest of each name
	Plan    rollout.Plan        // of the versions that members are to act on
}

func (r *Membership) indexOf(m takeover.Member) int {
	return slices.IndexFunc(r.Members, func(s JoinedMember) bool { return s.Member == m })
}

func (r *Membership) Contains(m takeover.Member) bool { return r.indexOf(m) >= 0 }

func (r *Membership) IsEvicted(m takeover.Member) bool {
	return slices.Contains(r.Evicted[m.Name], m.Incarnation)
}

// MemberNames are the names that have a member.
func (r *Membership) MemberNames() (out []string) {
	for _, s := range r.Members {
		out = append(out, s.Member.Name)
	}
	return out
}

// knowsName tells whether any process of a name was ever a member.
func (r *Membership) knowsName(name string) bool {
	return len(r.Evicted[name]) > 0 || slices.ContainsFunc(r.Members, func(s JoinedMember) bool { return s.Member.Name == name })
}

// Apply returns the roster after an entry; the same one where that changes nothing.
func (r *Membership) Apply(e *Change, names []string) *Membership {
	if e.Command != nil {
		plan, err := r.Plan.Apply(e.Command, names, r.MemberNames())
		if err != nil {
			return r
		}
		return &Membership{Epoch: r.Epoch + 1, Members: r.Members, Evicted: r.Evicted, Plan: *plan}
	}
	at := r.indexOf(e.Member)
	if e.Evict != (at >= 0) || !e.Evict && r.IsEvicted(e.Member) {
		return r // doubled, or a late word of one that is out
	}
	next := &Membership{Epoch: r.Epoch + 1, Members: slices.Clone(r.Members), Evicted: maps.Clone(r.Evicted), Plan: r.Plan}
	if !e.Evict {
		next.Members = append(next.Members, JoinedMember{Member: e.Member, JoinedEpoch: next.Epoch, FirstIncarnation: !r.knowsName(e.Member.Name), Address: e.Address})
		return next
	}
	next.Members = slices.Delete(next.Members, at, at+1)
	if next.Evicted == nil {
		next.Evicted = map[string][]uint64{}
	}
	old := slices.Clone(next.Evicted[e.Member.Name])
	if old = append(old, e.Member.Incarnation); len(old) > maxEvictedPerName {
		old = old[len(old)-maxEvictedPerName:]
	}
	next.Evicted[e.Member.Name] = old
	return next
}

// View is the roster in custody's terms.
func (r *Membership) View() *takeover.View {
	v := &takeover.View{Epoch: r.Epoch, Members: make(map[takeover.Member]takeover.MemberInfo, len(r.Members))}
	for _, s := range r.Members {
		v.Members[s.Member] = takeover.MemberInfo{JoinedEpoch: s.JoinedEpoch, FirstIncarnation: s.FirstIncarnation}
	}
	return v
}

// AddressOf finds where a name listens: where its longest member does, else where the options say.
func (r *Membership) AddressOf(name, listed string) string {
	for _, s := range r.Members {
		if s.Member.Name == name {
			if s.Address != "" {
				return s.Address
			}
			return listed
		}
	}
	return listed
}

var ErrInvalid = errors.New("a roster that makes no sense")

// Validate refuses a roster that nobody can have written.
func (r *Membership) Validate() error {
	met := map[takeover.Member]bool{}
	for _, s := range r.Members {
		if s.Member.Name == "" || s.JoinedEpoch > r.Epoch || met[s.Member] {
			return ErrInvalid
		}
		met[s.Member] = true
	}
	if err := r.Plan.Validate(); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return nil
}

// Codec reads and writes what members tell each other; what is too long or too deep is an error.
type Codec struct {
	in  cbor.DecMode
	out cbor.EncMode
}

func newCodec() (*Codec, error) {
	in, err := cbor.DecOptions{
		MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 12, MaxNestedLevels: 12, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		return nil, err
	}
	out, err := cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode()
	return &Codec{in, out}, err
}
