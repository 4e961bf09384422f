// Package modelcheck searches for sequences of events that violate the invariants of the control state: takeover of requests, leases under a fence,
// and cells. It runs the state machines of the product in models without processes or a network. A state of a model is called its world.
//
//   - The model of takeover has a committed log, leases that expire by explicit events, a network that loses, duplicates and reorders messages,
//     and processes that crash, restart and pause between a check and the write that follows it. ExhaustiveSearch explores all sequences of events
//     up to a depth, RandomWalk one random sequence.
//   - The model of fences has leaders that grant leases depending on the version of the settings that a member acts on. ExhaustiveFenceSearch
//     explores all sequences of events.
//   - The model of cells has a directory, relays and cells that move, split and merge. RandomWalkCells explores one random sequence of events.
//
// The invariants are checked against the runs at servers and the responses to clients, not against the state of a node. The tests check that the
// search detects each injected fault of the state machines.
package modelcheck
