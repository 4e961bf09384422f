package cells

import "cmp"

// ID identifies a cell. IDs are never reused; 0 means no cell.
type ID uint32

// RemovedID replaces the ID of the new cell if a member is removed permanently.
const RemovedID = ^ID(0)

// Version is a position in the directory's log. It is sent as an array: its fields keep their order and types.
type Version struct {
	_           struct{} `cbor:",toarray"`
	Term, Index uint64
}

// Compare orders by term, then by index.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Term, o.Term), cmp.Compare(v.Index, o.Index))
}

// Newer reports whether v comes after o.
func (v Version) Newer(o Version) bool { return v.Compare(o) > 0 }

// GlobalState is the state that all cells share. It is sent as an array: its fields keep their order and types.
type GlobalState struct {
	_         struct{} `cbor:",toarray"`
	Settings  uint64   // number of the settings that members must act on
	Fence     uint64   // members that act on settings with a lower number get no lease
	ChangedAt Version  // position of the last change of this state
}
