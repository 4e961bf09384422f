// Package rollout decides which version of the settings each member of a fleet is to use, and which members may hold a lease. It does no
// I/O and reads no clock; docs/audit.md explains the design.
//
// Plan is a replicated state machine: the fleet's log contains Commands, and every member applies them in order. Controller runs only on the
// leader, in the goroutine that owns the log. It proposes commands based on the members' reports: it promotes a version from the canaries to
// all members, raises the fence, or pauses the rollout.
package rollout
