package cells

import "damsonscale/internal/takeover"

// Departure says that a member has left a cell: no lease that the cell granted it is valid any more. It is sent: order and types of its fields
// stay.
type Departure struct {
	_         struct{} `cbor:",toarray"`
	Cell      ID
	Epoch     uint64          // of that cell's log
	Member    takeover.Member // its last incarnation there; incarnation 0: it had none when it left
	To        ID              // the cell that it goes to, or RemovedID
	MoveIndex uint64          // of its slot there
}

// Certificate is a departure with the earlier ones that still count, oldest first, and the global state that the former cell knew.
type Certificate struct {
	_ struct{} `cbor:",toarray"`
	Departure
	Earlier []Departure
	Global  GlobalState
}
