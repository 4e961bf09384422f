// Package takeover decides which member of a fleet owns a client request. A request thereby survives the loss of the process
// that received it, and has its effect at most once.
//
// The protocol is single-decree Paxos for each request id, with the member that first receives the request as the owner of
// ballot 0. Every id has a fixed number of replicas among the members, chosen by rendezvous hashing (Replicas). The owner
// writes a Record to them and may send the request once a quorum has accepted it. After the eviction of the owner another
// member sends a higher ballot to the replicas, reads the records that they store, and continues from these.
//
// A Node is one process's part in the protocol: a replica of other members' records, and the owner of its own requests. It is
// a deterministic state machine in the manner of etcd's raft: it does no input or output, starts no goroutine and reads no
// clock. Its caller passes in messages, membership views and the time, then collects messages (TakeMessages) and decisions
// (TakeEvents). A Node is not safe for concurrent use; in package fleet only the takeover coordinator's goroutine uses it.
//
// All times are in µs of the caller's monotonic clock. Members exchange ages instead of times, since their clocks are not
// synchronized. An age is in µs since the first owner received the request.
//
// The protocol, its failure model and the alternatives are described in docs/takeover.md.
package takeover
