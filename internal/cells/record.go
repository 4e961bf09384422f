package cells

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

const (
	maxFormerCells = 4 // cells that a member may have left within the longest deadline
	maxContacts    = 3 // addresses of each cell in a record's contacts
)

// MemberSlot is the entry of a member in a cell's record. It is sent as an array: its fields keep their order and types.
type MemberSlot struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Address     string
	Zone        string
	MoveIndex   uint64 // index in the directory's log of the command that assigned the member to this cell
	From        ID     // the former cell, until the member has arrived; 0 if there is none
	To          ID     // the new cell, once that cell expects the member, or RemovedID; 0 if the member stays
	ToMoveIndex uint64 // with To: MoveIndex of the member's slot in that cell, or of the removal
	FormerCells []ID   // cells that may have records of the member's requests
	Removed     bool   // the member has been removed; the slot stays until the longest deadline of its requests has passed
}

// Contact lists addresses of members of another cell. It is sent as an array: its fields keep their order and types.
type Contact struct {
	_         struct{} `cbor:",toarray"`
	Cell      ID
	Addresses []string
}

// CellRecord is the directory's record of one cell. A published record is immutable. It is sent as an array: its fields keep their order and types.
type CellRecord struct {
	_                 struct{} `cbor:",toarray"`
	ID                ID
	Region            string
	ChangedAt         Version
	PendingSuccessors []ID // cells that will replace this one, while some of them do not yet expect its members
	Successors        []ID // cells that will replace this one, once all expect its members: this cell is to be sealed
	Sealed            bool
	FinalEpoch        uint64       // with Sealed: the last epoch of the cell's log
	Slots             []MemberSlot // sorted by name
	Contacts          []Contact    // of the cells that members move to or come from
}

// Slot returns the slot of a member, or nil if the cell has none.
func (p *CellRecord) Slot(name string) *MemberSlot {
	if i, ok := slices.BinarySearchFunc(p.Slots, name, func(s MemberSlot, n string) int { return cmp.Compare(s.Name, n) }); ok {
		return &p.Slots[i]
	}
	return nil
}

// leaving reports whether the member of a slot must leave now. Members of a cell that is being replaced stay until all successors expect them.
func (p *CellRecord) leaving(s *MemberSlot) bool { return s.To != 0 && len(p.PendingSuccessors) == 0 }

// replaced reports whether the cell is being replaced by others.
func (p *CellRecord) replaced() bool { return len(p.PendingSuccessors)+len(p.Successors) > 0 }

// copyRecord returns a copy that may be changed until it is published.
func (p *CellRecord) copyRecord() *CellRecord {
	c := *p
	c.Slots, c.Contacts = slices.Clone(p.Slots), slices.Clone(p.Contacts)
	return &c
}

// removeSlot removes a member's slot.
func (p *CellRecord) removeSlot(name string) {
	p.Slots = slices.DeleteFunc(p.Slots, func(s MemberSlot) bool { return s.Name == name })
}

// DirectoryUpdate is an update of the directory's state for one cell. It is sent as an array: its fields keep their order and types.
type DirectoryUpdate struct {
	_         struct{} `cbor:",toarray"`
	Version   Version
	Global    GlobalState
	Record    *CellRecord // nil if the cell's record is current
	RecordSum uint64      // checksum of the cell's record in the directory
}

// encoder encodes all messages of this package.
var encoder = func() cbor.EncMode {
	m, err := cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}()

// Encode encodes a message of this package.
func Encode(v any) []byte {
	encoded, err := encoder.Marshal(v)
	if err != nil {
		panic(err) // all types of this package can be encoded
	}
	return encoded
}

// checksumOf returns the checksum of an encoded record.
func checksumOf(p *CellRecord) uint64 { return xxhash.Sum64(Encode(p)) }
