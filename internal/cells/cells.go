// Package cells divides a fleet into cells: groups of bounded size, each with a log and leases of its own, and above them a
// small directory that says who is in which cell and which version of the settings is in force.
//
// It does no input or output and reads no clock; times are µs of the caller's monotonic clock. Directory and Log are state
// machines that a consensus library carries; Grants is the book of a cell's leader, Relay what stands between directory and
// cells, Node a member. docs/cells.md tells how and why.
package cells

import (
	"cmp"
	"errors"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"damsonscale/internal/takeover"
)

// InjectedFault is a fault put in on purpose, to show that the explorer finds it.
type InjectedFault uint8

const (
	NoFault               InjectedFault = iota
	EarlyDeparture                      // a member is certified as departed while its lease may run
	LeaseWhileSealing                   // a cell that is to be sealed goes on granting leases
	FormerCellsDropped                  // a join forgets from which cells the member came
	FirstAttemptUnchecked               // a first ask just after a move does not look at the cell before
	StaleUpdateAccepted                 // a cell takes an older word of the directory
	DigestIgnored                       // a relay does not compare digests
	TermIgnored                         // a directory that leads no more still has its commands applied
	CertificateIgnored                  // a cell takes a member that comes from another one without its certificate
)

// ID is a cell's number. Each is given once.
type ID uint32

// RemovedID is where a name goes that is removed for good.
const RemovedID = ^ID(0)

// Version orders what the directory said: by the term and index of its log.
type Version struct {
	_           struct{} `cbor:",toarray"`
	Term, Index uint64
}

// Compare orders by term, then by index.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Term, o.Term), cmp.Compare(v.Index, o.Index))
}

// Newer tells whether v comes after o.
func (v Version) Newer(o Version) bool { return v.Compare(o) > 0 }

// GlobalState is what all cells are told.
type GlobalState struct {
	_         struct{} `cbor:",toarray"`
	Settings  uint64   // number of the version that members are to act on
	Fence     uint64   // below it no lease is given
	ChangedAt Version
}

// MemberSlot is a name's place in a cell.
type MemberSlot struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Address     string
	Zone        string
	MoveIndex   uint64 // index of the command that gave it this place
	From        ID     // the cell that it comes from, until it has arrived; 0: none
	To          ID     // the cell that it goes to, once that one expects it; 0: none; or Nowhere
	ToMoveIndex uint64 // with To: Move of its seat there
	FormerCells []ID   // cells that may hold records of its requests
	Removed     bool   // it has left for Nowhere; the seat stays until none of its requests can be asked for
}

// Contact is where a cell is asked.
type Contact struct {
	_         struct{} `cbor:",toarray"`
	Cell      ID
	Addresses []string
}

// CellRecord is what the directory says of one cell. One that was handed on is never changed.
type CellRecord struct {
	_                 struct{} `cbor:",toarray"`
	ID                ID
	Region            string
	ChangedAt         Version
	PendingSuccessors []ID // cells that it is to become, not all of which expect its members yet
	Successors        []ID // cells that it is to become: it is to be sealed
	Sealed            bool
	FinalEpoch        uint64       // with Sealed: its last
	Slots             []MemberSlot // by name
	Contacts          []Contact    // of the cells that members go to or came from
}

// Slot finds a name's; nil: it has none.
func (p *CellRecord) Slot(name string) *MemberSlot {
	if i, ok := slices.BinarySearchFunc(p.Slots, name, func(s MemberSlot, n string) int { return cmp.Compare(s.Name, n) }); ok {
		return &p.Slots[i]
	}
	return nil
}

// leaving tells whether a seat's name is to go: a cell that is to become others goes on until all of these expect its members.
func (p *CellRecord) leaving(s *MemberSlot) bool { return s.To != 0 && len(p.PendingSuccessors) == 0 }

// DirectoryUpdate is the directory's word to one cell.
type DirectoryUpdate struct {
	_         struct{} `cbor:",toarray"`
	Version   Version
	Global    GlobalState
	Record    *CellRecord // nil: as the cell has it
	RecordSum uint64      // of the part
}

// Departure says that a name has left a cell: no lease that this cell gave it is valid any more.
type Departure struct {
	_         struct{} `cbor:",toarray"`
	Cell      ID
	Epoch     uint64          // of that cell's log
	Member    takeover.Member // its last incarnation there; no incarnation: it had none when it left
	To        ID
	MoveIndex uint64
}

// Certificate is a Departure and those before it that still count, oldest first, with what its cell had heard.
type Certificate struct {
	_ struct{} `cbor:",toarray"`
	Departure
	Earlier []Departure
	Global  GlobalState
}

// Bounds.
const (
	mostWas  = 4  // cells that a name may have been in within the longest deadline
	mostDone = 64 // ids of commands that are known to have been applied
	mostGone = 16 // incarnations of a name that are known to be out
	voters   = 5  // of a cell at most
	contacts = 3  // addresses of another cell
)

// Errors of commands.
var (
	ErrStale            = errors.New("an older term or index")
	ErrAlreadyApplied   = errors.New("this command was applied before")
	ErrNoChange         = errors.New("nothing to do")
	ErrCellNotFound     = errors.New("no such cell is open")
	ErrMemberNotFound   = errors.New("no such name")
	ErrAlreadyAssigned  = errors.New("this name has a place")
	ErrChangeInProgress = errors.New("the name or cell is being moved, split or merged")
	ErrRecentMember     = errors.New("the name was in this cell, or in too many, within the longest deadline")
	ErrLastMember       = errors.New("the last of its cell: merge that instead")
	ErrInvalidNames     = errors.New("names that make no sense")
)

var encoder = func() cbor.EncMode {
	m, err := cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}()

// Encode is how parts, deltas and entries travel; its length is what they are counted by.
func Encode(v any) []byte {
	text, err := encoder.Marshal(v)
	if err != nil {
		panic(err) // the types here can all be encoded
	}
	return text
}
