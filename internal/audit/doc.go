// Package audit implements the audit trail of a fleet: what each member did with which request, and under which version of its
// configuration. The package does no I/O and reads no clock; docs/audit.md explains the design.
//
// A member records events in a SegmentWriter, which cuts them into segments that form a hash chain. internal/fleet stores the segments of
// this member and of other members in a SegmentStore, replicates this member's segments to other members with a Replication, and writes
// segments to disk. An operator's command collects the segments of all members and assembles them into trails, one for each incarnation.
// A trail lists its gaps and faults.
//
// SegmentWriter is safe for concurrent use. SegmentStore and Replication belong to one goroutine, the fleet's audit replicator. Codec is
// immutable.
package audit
