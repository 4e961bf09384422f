// Package callchain simulates a deep chain of calls: services one below the other, each called through real balancers (decide.Balancer, by its
// interface), in simulated time and without sockets. It counts from outside what the balancers do: how many attempts reach the deepest service for
// each client's request. It also adds up the latency of the hops of a chain. docs/chain.md explains both.
//
// A run is a function of its configuration: it has one goroutine and one generator of random numbers.
package callchain
