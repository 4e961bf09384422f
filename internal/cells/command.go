package cells

// CommandKind says what a command of the directory does. Kinds are part of its log by number.
type CommandKind uint8

// Kinds of commands.
const (
	Open      CommandKind = 1  // opens a cell for new members
	Assign    CommandKind = 2  // assigns a new member to a cell
	Remove    CommandKind = 3  // removes a member for good: its cell is to let it go
	Removed   CommandKind = 4  // the cell has let it go
	Move      CommandKind = 5  // moves a member to another cell
	Split     CommandKind = 6  // splits a cell in two: Names go to the first
	Merge     CommandKind = 7  // merges two cells into one
	Ready     CommandKind = 8  // a cell's log has the directory's state up to At
	Arrived   CommandKind = 9  // a member has joined its new cell
	Sealed    CommandKind = 10 // a cell's log has ended with Epoch
	SetTarget CommandKind = 11 // sets the version of the settings to act on
	SetFence  CommandKind = 12 // sets the version below which no lease is granted
	Forget    CommandKind = 13 // drops a member's former cells, a removed member, or a sealed cell: the longest deadline has passed
)

// Command is an entry of the directory's log: order and types of its fields stay.
type Command struct {
	_      struct{} `cbor:",toarray"`
	Kind   CommandKind
	ID     uint64 // chosen by the sender, so that a command that is sent twice is applied once; 0: none
	Region string
	Cell   ID
	Cells  []ID
	Slots  []MemberSlot // with Open and Assign: name, address and zone
	Names  []string
	At     Version
	Epoch  uint64
	Number uint64 // of settings, or a slot's MoveIndex
}
