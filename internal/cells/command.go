package cells

// CommandKind is the kind of a directory command. Its numbers are stored in the directory's log.
type CommandKind uint8

// Kinds of directory commands.
const (
	Open      CommandKind = 1  // opens a cell for new members
	Assign    CommandKind = 2  // assigns a new member to a cell
	Remove    CommandKind = 3  // asks a member's cell to remove the member permanently
	Removed   CommandKind = 4  // reports that the cell has removed the member
	Move      CommandKind = 5  // moves a member to another cell
	Split     CommandKind = 6  // splits a cell into two; Names are the members of the first
	Merge     CommandKind = 7  // merges two cells into one
	Ready     CommandKind = 8  // reports that a cell's log has the directory's state up to At
	Arrived   CommandKind = 9  // reports that a member has arrived in its new cell
	Sealed    CommandKind = 10 // reports that a cell's log ended at Epoch
	SetTarget CommandKind = 11 // sets the number of the settings that members act on
	SetFence  CommandKind = 12 // sets the number of the settings below which no lease is granted
	Forget    CommandKind = 13 // drops a member's former cells, a removed member, or a sealed cell, once the longest deadline has passed
)

// Command is an entry of the directory's log. It is stored and sent as an array: its fields keep their order and types.
type Command struct {
	_      struct{} `cbor:",toarray"`
	Kind   CommandKind
	ID     uint64 // chosen by the sender, so that a command that is sent twice is applied once; 0 disables the check
	Region string
	Cell   ID
	Cells  []ID
	Slots  []MemberSlot // with Open and Assign: new members; only name, address and zone are used
	Names  []string
	At     Version
	Epoch  uint64
	Number uint64 // of the settings, or MoveIndex of a slot
}
