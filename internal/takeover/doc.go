// Package takeover decides which process of a fleet owns a client request, so that the request survives the loss of its
// process and has its effect at most once.
//
// The protocol is single-decree Paxos for each request id, with the member that first reads the request as the owner of
// ballot 0. Every id has a fixed number of replicas among the members, chosen by rendezvous hashing (Replicas). The owner
// writes a Record to them and may send the request once a quorum has accepted it. After the eviction of the owner another
// member asks the replicas with a higher ballot what they know, and continues from that.
//
// A Node is one process's part: the replica of other members' records, and the owner of its own requests. It is a pure state
// machine in the manner of etcd's raft: it does no input or output, starts no goroutine and reads no clock. Its caller
// hands it messages, membership views and the time, then collects messages (TakeMessages) and decisions (TakeEvents).
// A Node is not safe for concurrent use; in package fleet the takeover coordinator's goroutine owns it.
//
// All times are in µs of the caller's monotonic clock. Ages are in µs since the first owner read the request: they are what
// travels between members, whose clocks are not compared.
//
// The protocol, its failure model and the alternatives are described in docs/takeover.md.
package takeover
