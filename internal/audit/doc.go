// Package audit keeps the audit trail of a fleet: what each member did with which request, and under which version of its
// configuration. It does no I/O and reads no clock; docs/audit.md explains the design.
//
// A member records events in a SegmentWriter, which cuts them into segments that form a hash chain. internal/fleet stores the segments of
// this member and of others in a SegmentStore, sends the member's own to other members with a Replication, and writes them to disk. An
// operator's command collects segments from all members and assembles them into trails, one for each incarnation, which list their
// gaps and faults.
//
// SegmentWriter may be used from any goroutine. SegmentStore and Replication belong to one goroutine, the fleet's audit replicator. Codec
// has no state that changes.
package audit
