// Package fleet makes a sidecar a member of a fleet: members agree on who of them is alive, act only under a lease, take over
// each other's requests in flight, and replicate their audit records. docs/takeover.md and docs/fleet.md describe it.
//
// Goroutines and what each of them owns:
//
//   - Fleet.runLeaseRenewal owns the renewal of the lease, the adoption of memberships and the settings that this member acts on
//     (settingsState). Others hand it work with Fleet.post.
//   - coordinator.run owns the takeover.Node and the requests in flight.
//   - auditReplicator.run owns the stored segments, their replication and the segment directory.
//   - At a voter, membership.Log.Run owns the replicated log; see package membership.
//   - transport's goroutines read frames and call Fleet.handleFrame, which decodes them and hands them to their owner.
//
// What several goroutines read is immutable and replaced atomically: the incarnation, the lease and the membership.
//
// Layers below: protocol (frame kinds, encoding), transport (frames between members), membership (replicated log, leases),
// segmentfile (audit segments on disk), and internal/takeover (the takeover protocol without I/O).
package fleet
