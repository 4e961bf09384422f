// Package shadow evaluates a second set of settings on the events of a serving balancer, without input or output, and counts
// the decisions that would have differed.
//
// # State and goroutines
//
// An [Evaluator] is an actor. The serving actor shows it each [Event] together with the actions that the serving balancer took
// on it; the goroutine of [Evaluator.Run] gives the event to a second balancer, compares, and then has the second balancer
// follow what really happened, so that later outcomes are its own to learn from. The serving actor never waits: where the
// mailbox is full, or the second balancer panics, the evaluation ends with a log line and serving goes on.
package shadow
