// Package cells divides a large fleet into cells: groups of bounded size, each with its own replicated log and its own leases. A small directory,
// itself a replicated log, records which member belongs to which cell and which version of the settings is in force. docs/cells.md
// explains the design.
//
// The package does no I/O and reads no clock: callers pass times in µs of their monotonic clock. No type is safe for concurrent use: one
// goroutine owns each value.
//
//   - Directory is the state machine of the directory's log. Each node of the directory has one.
//   - Relay caches the directory's records of one region and passes updates on to the cells of that region.
//   - Log is the state machine of a cell's log. Each voter of the cell has one.
//   - LeaseTable is the leader's record of the leases of a cell, for one term.
//   - Node is a process of a member. It belongs to one cell and acts only under that cell's leases.
//   - Lookup finds the one cell that may decide about a retried request whose client asked another member first.
//
// NextAction, PlaceMember and Voters plan cells by size and zone.
package cells
