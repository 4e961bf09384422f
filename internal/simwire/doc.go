// Package simwire adapts decide.Balancer to the simulator's line protocol, so that a simulation runs the decisions of the
// real sidecar. The package makes no decisions itself.
//
// The input consists of batches. A batch is a line with the time, lines with events, and a line that requests the reply.
// Each event is passed to the balancer of its instance as it is read. The reply lists the actions that the balancers take
// in the batch. The fields of a line are separated by tabs; "-" is an absent field. wire.go has the keywords of the
// protocol, each with the corresponding term of package decide.
//
// Run reads, calls the balancers and writes on a single goroutine. Its memory depends on the state of the instances, the
// endpoint lists, the number of different server addresses and the longest line, but not on the length of a batch.
package simwire
