package takeover

import "strconv"

// Member is one process of the fleet: a configured name, and a random number drawn when the process starts or rejoins.
type Member struct {
	_           struct{} `cbor:",toarray"`
	Name        string   `json:"Name"`
	Incarnation uint64   `json:"Incarnation"`
}

// IncarnationHex is the incarnation as log lines have it.
func (m Member) IncarnationHex() string { return strconv.FormatUint(m.Incarnation, 16) }

// MemberInfo is what a view tells of a member.
type MemberInfo struct {
	JoinedEpoch      uint64
	FirstIncarnation bool // no process of that name was a member before: it has lost no records
}

// View is the membership of the fleet as of an epoch. It is immutable.
type View struct {
	Epoch   uint64
	Members map[Member]MemberInfo
}

// Contains reports whether a process has joined and was not evicted.
func (v *View) Contains(m Member) bool {
	_, ok := v.Members[m]
	return ok
}
