// Package modelcheck searches for orders of events that violate the invariants of the control state: takeover of requests, leases under a fence, and
// cells. It runs the product's state machines in abstract worlds, without processes or a network.
//
//   - The world of takeover has an agreed log, leases that expire only when the world says so, a network that loses, duplicates and reorders
//     messages, and processes that crash, restart and pause between a check and the write that follows it. Exhaust explores all orders up to a
//     depth, Walk one random order.
//   - The world of fences has leaders that grant leases by the version that a member acts on. ExhaustFence explores all orders.
//   - The world of cells has a directory, relays and cells that move, split and merge. WalkCells explores one random order.
//
// What servers ran and what clients were told is checked, never a node's own view. Each injected fault of the state machines must be found.
package modelcheck
