// Package callchain simulates a deep chain of service calls. Each service calls the next one through real balancers (decide.Balancer), in simulated
// time and without sockets. The simulation itself counts the attempts that reach the deepest service for each client request. The package also
// computes the latency that the hops of a chain add. docs/chain.md explains both.
//
// A run depends only on its configuration: it uses one goroutine and one random number generator.
package callchain
