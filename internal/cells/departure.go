package cells

import "damsonscale/internal/takeover"

// Departure records that a member has left a cell and that no lease that the cell granted to the member is valid any more. It is sent as an
// array: its fields keep their order and types.
type Departure struct {
	_         struct{} `cbor:",toarray"`
	Cell      ID
	Epoch     uint64          // of the departure's entry in the cell's log
	Member    takeover.Member // the last evicted incarnation of the member in the cell; incarnation 0 if the member never joined
	To        ID              // the cell that the member moves to, or RemovedID
	MoveIndex uint64          // of the member's slot in the cell To, or of the removal
}

// Certificate proves to the new cell of a member that the member has left its former cell. It is sent as an array: its fields keep their order
// and types.
type Certificate struct {
	_ struct{} `cbor:",toarray"`
	Departure
	Earlier []Departure // departures from cells that may still have records of the member's requests, oldest first
	Global  GlobalState // that the former cell had applied
}
