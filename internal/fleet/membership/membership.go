package membership

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"damsonscale/internal/rollout"
	"damsonscale/internal/takeover"
)

// maxEvictedPerName bounds the evicted incarnations that are recorded for each name.
const maxEvictedPerName = 16

// ErrInvalid means that a membership is inconsistent, so that no log can have produced it.
var ErrInvalid = errors.New("invalid membership")

// Change is an entry of the log. With Command it changes the rollout plan; otherwise Member joins or is evicted.
type Change struct {
	_       struct{} `cbor:",toarray"`
	Evict   bool     // Member is evicted; false: Member joins
	Member  takeover.Member
	Address string // at which Member listens; empty: its configured address
	Command *rollout.Command
}

// JoinedMember is a current member of the fleet.
type JoinedMember struct {
	_                struct{} `cbor:",toarray"`
	Member           takeover.Member
	JoinedEpoch      uint64
	FirstIncarnation bool // no process of this name was a member before
	Address          string
}

// Membership is the state after the log's changes up to an epoch. It is immutable.
type Membership struct {
	_       struct{} `cbor:",toarray"`
	Epoch   uint64
	Members []JoinedMember      // in the order of joining
	Evicted map[string][]uint64 // latest evicted incarnations by name, oldest first
	Plan    rollout.Plan
}

func (m *Membership) indexOf(member takeover.Member) int {
	return slices.IndexFunc(m.Members, func(j JoinedMember) bool { return j.Member == member })
}

// Contains reports whether a process is a member.
func (m *Membership) Contains(member takeover.Member) bool { return m.indexOf(member) >= 0 }

// IsEvicted reports whether a process is known to have been evicted.
func (m *Membership) IsEvicted(member takeover.Member) bool {
	return slices.Contains(m.Evicted[member.Name], member.Incarnation)
}

// Names returns the names of the members in the order of joining.
func (m *Membership) Names() (names []string) {
	for _, j := range m.Members {
		names = append(names, j.Member.Name)
	}
	return names
}

// knowsName reports whether any process of a name was ever a member.
func (m *Membership) knowsName(name string) bool {
	return len(m.Evicted[name]) > 0 || slices.ContainsFunc(m.Members, func(j JoinedMember) bool { return j.Member.Name == name })
}

// Apply returns the membership after a change, or m itself if the change has no effect. configuredNames are the names of all
// configured members, joined or not; a plan's share is a share of them.
func (m *Membership) Apply(c *Change, configuredNames []string) *Membership {
	if c.Command != nil {
		plan, err := m.Plan.Apply(c.Command, configuredNames, m.Names())
		if err != nil {
			return m
		}
		return &Membership{Epoch: m.Epoch + 1, Members: m.Members, Evicted: m.Evicted, Plan: *plan}
	}
	index := m.indexOf(c.Member)
	if c.Evict != (index >= 0) || !c.Evict && m.IsEvicted(c.Member) {
		return m // a duplicate, or a late join of an evicted member
	}
	next := &Membership{Epoch: m.Epoch + 1, Members: slices.Clone(m.Members), Evicted: maps.Clone(m.Evicted), Plan: m.Plan}
	if !c.Evict {
		next.Members = append(next.Members, JoinedMember{
			Member: c.Member, JoinedEpoch: next.Epoch, FirstIncarnation: !m.knowsName(c.Member.Name), Address: c.Address,
		})
		return next
	}
	next.Members = slices.Delete(next.Members, index, index+1)
	if next.Evicted == nil {
		next.Evicted = map[string][]uint64{}
	}
	evicted := append(slices.Clone(next.Evicted[c.Member.Name]), c.Member.Incarnation)
	if len(evicted) > maxEvictedPerName {
		evicted = evicted[len(evicted)-maxEvictedPerName:]
	}
	next.Evicted[c.Member.Name] = evicted
	return next
}

// View returns the membership in the form that package takeover uses.
func (m *Membership) View() *takeover.View {
	v := &takeover.View{Epoch: m.Epoch, Members: make(map[takeover.Member]takeover.MemberInfo, len(m.Members))}
	for _, j := range m.Members {
		v.Members[j.Member] = takeover.MemberInfo{JoinedEpoch: j.JoinedEpoch, FirstIncarnation: j.FirstIncarnation}
	}
	return v
}

// AddressOf returns the address of the first joined process of a name, or configured if there is none or it announced no address.
func (m *Membership) AddressOf(name, configured string) string {
	for _, j := range m.Members {
		if j.Member.Name == name {
			if j.Address != "" {
				return j.Address
			}
			return configured
		}
	}
	return configured
}

// Validate returns ErrInvalid for a membership that has a member without a name, a duplicate member, a member that joined after
// Epoch, or an invalid plan.
func (m *Membership) Validate() error {
	seen := map[takeover.Member]bool{}
	for _, j := range m.Members {
		if j.Member.Name == "" || j.JoinedEpoch > m.Epoch || seen[j.Member] {
			return ErrInvalid
		}
		seen[j.Member] = true
	}
	if err := m.Plan.Validate(); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return nil
}
