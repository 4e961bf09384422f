// Package membership keeps a fleet's membership in a replicated log, and grants the leases under which members act.
//
// The log is replicated by etcd's raft among the voters (Voters) and stored with bbolt. An entry is a Change: a member joins, a
// member is evicted, or a command of an operator or of the leader changes the rollout plan. Applying the entries gives a
// Membership, whose Epoch counts the changes. Client requests never go through the log.
//
// Leases: a member requests a lease from the leader, with the time of the request by the member's own clock (LeaseRequest). The
// leader grants the lease only after a quorum has confirmed, later than the request arrived, that it is still the leader (raft's
// ReadIndex). It evicts a member no sooner than a lease's duration plus the clock skew after the last grant that any leader may
// have made, so the lease has expired by the member's own clock before another member acts in its place. See docs/takeover.md.
//
// Goroutines: Log.Run's goroutine owns a Log, its raft node, store, lease table and pending commands. All other exported
// methods of Log post to its mailbox and may be called from any goroutine. A Membership is immutable.
package membership
