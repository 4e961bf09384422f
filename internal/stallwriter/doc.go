// Package stallwriter writes to connections and tells a peer that reads slowly from one that has stopped reading.
//
// # Why a blocked write is no proof
//
// A write that waits says little about the peer. Linux reports a socket as writable only when about a third of its send
// buffer is free, and the buffer grows to several MB: a peer that reads 128 kB a second frees that much in ten seconds. So
// the package looks at the bytes that the peer's system has acknowledged. It learns of these late, too: a receiver that
// has announced a closed window announces freed space in steps of up to a sixteenth of its receive buffer.
//
// A Writer therefore calls a peer stalled only when no byte was acknowledged for StallTimeout and for the time in which a peer that
// reads at minPeerRate may have read without being heard.
//
// # Why a stalled peer is no proof either
//
// A process that hangs takes nothing, and may go on. So a Writer gives a stalled peer up only when its owner needs the place
// (Evict), or after the longest silence that the owner allows.
package stallwriter
