package cells

import "cmp"

// ID is a cell's number. It is never reused; 0 is no cell.
type ID uint32

// RemovedID stands in place of a cell where a member is removed for good.
const RemovedID = ^ID(0)

// Version is a position in the directory's log.
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

// GlobalState is the state that all cells share.
type GlobalState struct {
	_         struct{} `cbor:",toarray"`
	Settings  uint64   // number of the version that members are to act on
	Fence     uint64   // no lease for members that act on a lower version
	ChangedAt Version
}
