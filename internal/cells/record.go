package cells

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

const (
	maxFormerCells = 4 // that a member may have been in within the longest deadline
	maxContacts    = 3 // addresses of another cell
)

// MemberSlot is a member's place in a cell. It is sent: order and types of its fields stay.
type MemberSlot struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Address     string
	Zone        string
	MoveIndex   uint64 // log index of the command that assigned the member to this cell
	From        ID     // the cell that it comes from, until it has arrived; 0: none
	To          ID     // the cell that it goes to, once that one expects it, or RemovedID; 0: none
	ToMoveIndex uint64 // with To: MoveIndex of its slot there
	FormerCells []ID   // that may have records of its requests
	Removed     bool   // it has left for RemovedID; the slot stays until none of its requests can be looked up
}

// Contact is where another cell can be asked.
type Contact struct {
	_         struct{} `cbor:",toarray"`
	Cell      ID
	Addresses []string
}

// CellRecord is the directory's record of one cell. One that was published is never changed. It is sent: order and types of its fields stay.
type CellRecord struct {
	_                 struct{} `cbor:",toarray"`
	ID                ID
	Region            string
	ChangedAt         Version
	PendingSuccessors []ID // cells that it is to be replaced by, not all of which expect its members yet
	Successors        []ID // cells that it is to be replaced by: it is to be sealed
	Sealed            bool
	FinalEpoch        uint64       // with Sealed: the last of its log
	Slots             []MemberSlot // by name
	Contacts          []Contact    // of the cells that members go to or come from
}

// Slot returns a member's slot; nil: it has none.
func (p *CellRecord) Slot(name string) *MemberSlot {
	if i, ok := slices.BinarySearchFunc(p.Slots, name, func(s MemberSlot, n string) int { return cmp.Compare(s.Name, n) }); ok {
		return &p.Slots[i]
	}
	return nil
}

// leaving reports whether a slot's member is to leave now. Members of a cell that is to be replaced stay until all successors expect them.
func (p *CellRecord) leaving(s *MemberSlot) bool { return s.To != 0 && len(p.PendingSuccessors) == 0 }

// replaced reports whether the cell is to be replaced by others.
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

// DirectoryUpdate is what a cell is sent of the directory. Order and types of its fields stay.
type DirectoryUpdate struct {
	_         struct{} `cbor:",toarray"`
	Version   Version
	Global    GlobalState
	Record    *CellRecord // nil: the cell has it already
	RecordSum uint64      // of the record
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
		panic(err) // all types here can be encoded
	}
	return encoded
}

// checksumOf returns the checksum of a record's encoding.
func checksumOf(p *CellRecord) uint64 { return xxhash.Sum64(Encode(p)) }
