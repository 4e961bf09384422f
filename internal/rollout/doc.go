// Package rollout decides which version of the settings each member of a fleet is to act on, and which members may hold a lease. It does no
// I/O and reads no clock; docs/audit.md explains the design.
//
// Plan is a state machine: the fleet's log carries Commands, and each member applies them in order. Controller runs on the leader alone, in
// the goroutine that owns the log, and proposes commands from the members' reports: it promotes a version from the canaries to all members,
// raises the fence, or pauses the rollout.
package rollout
