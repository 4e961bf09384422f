// Package cells divides a large fleet into cells: groups of bounded size, each with a replicated log and leases of its own. Above them a small
// directory, itself a replicated log, says which member is in which cell and which version of the settings is in force. docs/cells.md
// explains the design.
//
// The package does no I/O and reads no clock; times are µs of the caller's monotonic clock. Nothing here is safe for concurrent use: each value
// belongs to one goroutine of its owner.
//
//   - Directory is the state machine of the directory's log. It belongs to each node of the directory.
//   - Relay caches the directory's records of one region and passes updates on to its cells. It belongs to the relay's process.
//   - Log is the state machine of a cell's log. It belongs to each voter of the cell.
//   - LeaseTable belongs to the leader of a cell, for one term.
//   - Node is a member: it belongs to one cell and acts by that cell's leases alone.
//   - Lookup finds the one cell that may decide about a request whose client asked another member first.
//
// NextAction, PlaceMember and Voters plan cells by size and zone.
package cells
