// Package shadow evaluates a second set of settings on the events of the serving balancer. It sends no requests, and counts
// the decisions that the second set would have made differently.
//
// # State and goroutines
//
// An [Evaluator] is an actor. The serving actor passes it each [Event] with the actions that the serving balancer took on
// the event. The goroutine of [Evaluator.Run] passes the event to a second balancer, the shadow balancer, and compares the
// actions. It then replaces the shadow balancer's actions by those of the serving balancer, so that the shadow balancer can
// learn from the outcomes that follow. The serving actor never waits. If the mailbox is full or the shadow balancer panics,
// the evaluation ends with a log line and serving continues.
package shadow
