package membership

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"damsonscale/internal/rollout"
	"damsonscale/internal/takeover"
)

// maxEvictedPerName bounds the evicted incarnations that are known of each name.
const maxEvictedPerName = 16

// ErrInvalid is a membership that no log can have led to.
var ErrInvalid = errors.New("invalid membership")

// Change is an entry of the log. With Command it changes the rollout plan, else who is a member.
type Change struct {
	_       struct{} `cbor:",toarray"`
	Evict   bool     // else Member joins
	Member  takeover.Member
	Address string // where it listens; empty: where the options say
	Command *rollout.Command
}

// JoinedMember is a member of the fleet.
type JoinedMember struct {
	_                struct{} `cbor:",toarray"`
	Member           takeover.Member
	JoinedEpoch      uint64
	FirstIncarnation bool // no process of its name was a member before
	Address          string
}

// Membership is what the log says up to an epoch. It is immutable.
type Membership struct {
	_       struct{} `cbor:",toarray"`
	Epoch   uint64
	Members []JoinedMember      // in the order of joining
	Evicted map[string][]uint64 // by name the latest evicted incarnations
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

// Names are the names of the members, in the order of joining.
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

// Apply returns the membership after a change: m itself where the change has no effect. configuredNames are the names of all
// members, joined or not, of which a plan's shares are counted.
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

// View is the membership in the terms of package takeover.
func (m *Membership) View() *takeover.View {
	v := &takeover.View{Epoch: m.Epoch, Members: make(map[takeover.Member]takeover.MemberInfo, len(m.Members))}
	for _, j := range m.Members {
		v.Members[j.Member] = takeover.MemberInfo{JoinedEpoch: j.JoinedEpoch, FirstIncarnation: j.FirstIncarnation}
	}
	return v
}

// AddressOf returns where the process of a name listens that joined first, else the configured address.
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

// Validate returns ErrInvalid for a membership that no log can have led to.
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
