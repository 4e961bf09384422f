// Package simwire adapts decide.Balancer to the simulator's line protocol, so that a simulated day plays the decisions of
// the real sidecar. It decides nothing.
//
// Input comes in batches: a line with the time, events, and a line that asks for the reply. Each event is reported to its
// instance as it is read, and the actions that the balancer takes meanwhile are the reply. Fields are separated by tabs;
// "-" stands for an absent one. The words of the protocol stand in wire.go, each with the term of decide's interface.
//
// One goroutine does everything: Run reads, calls the balancers and writes. Its memory is bounded by the instances and
// the longest line.
package simwire
