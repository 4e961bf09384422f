package takeover

import "strconv"

// Member identifies one process of the fleet: by a configured name, and by a random number drawn when the process starts or
// rejoins.
type Member struct {
	_           struct{} `cbor:",toarray"`
	Name        string   `json:"Name"`
	Incarnation uint64   `json:"Incarnation"`
}

// IncarnationHex returns the incarnation in the format of log lines.
func (m Member) IncarnationHex() string { return strconv.FormatUint(m.Incarnation, 16) }

// MemberInfo is a view's information on a member.
type MemberInfo struct {
	JoinedEpoch      uint64
	FirstIncarnation bool // no other process of the name was a member before, so no records of the name are lost
}

// View is the membership of the fleet as of an epoch. It is immutable.
type View struct {
	Epoch   uint64
	Members map[Member]MemberInfo
}

// Contains reports whether a process has joined and has not been evicted.
func (v *View) Contains(m Member) bool {
	_, ok := v.Members[m]
	return ok
}
