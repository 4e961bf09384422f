// Package fleet makes a sidecar a member of a fleet. The members agree on which of them are alive, act only under a lease, take
// over requests in flight of evicted members, and replicate their audit records. See docs/takeover.md and docs/fleet.md.
//
// Each goroutine owns its state and receives work through a mailbox:
//
//   - Fleet.runLeaseRenewal owns the renewal of the lease, the adoption of new memberships and the settings of the rollout plan
//     (settingsState). Other goroutines send it work with Fleet.post.
//   - coordinator.run owns the takeover.Node and the requests in flight.
//   - auditReplicator.run owns the stored segments, their replication and the segment directory.
//   - At a voter, membership.Log.Run owns the replicated log; see package membership.
//   - The transport's goroutines read frames and call Fleet.handleFrame, which decodes each frame and posts it to the mailbox of
//     the goroutine that processes it.
//
// The incarnation, the lease and the membership are read by several goroutines. They are replaced atomically; a membership is
// immutable.
//
// Packages below this one: protocol (frame kinds, encoding), transport (frames between members), membership (replicated log,
// leases), segmentfile (audit segments on disk), and internal/takeover (the takeover protocol without I/O).
package fleet
