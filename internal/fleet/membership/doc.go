// Package membership keeps a fleet's membership in a replicated log, and grants the leases by which members may act.
//
// The log is etcd's raft over the members that vote (Voters), stored with bbolt. An entry is a Change: a member joins, is
// evicted, or the rollout plan changes by an operator's or the leader's command. Applying the entries gives a Membership,
// whose Epoch counts the changes. Requests never go through the log.
//
// Leases: a member asks the leader for a lease by its own clock (LeaseRequest). The leader grants it only after it has
// confirmed with a quorum, later than the request came, that it still leads (raft's ReadIndex). It evicts a member no sooner
// than a lease and the clocks' difference after the last grant that any leader may have made, so that the lease is over by
// the member's own clock before another member acts in its place. See docs/takeover.md.
//
// Goroutines: Log.Run's goroutine owns a Log, its raft node, store, lease table and pending commands. All other exported
// methods of Log hand it work through a mailbox and may be called from any goroutine. A Membership is immutable.
package membership
