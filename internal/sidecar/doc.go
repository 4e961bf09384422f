// Package sidecar connects the decision module (package decide) with clients, servers and the endpoint list.
//
// # State and goroutines
//
// [Sidecar] is an actor. The goroutine of [Sidecar.Run] owns the balancer, the calls in flight, the server endpoints
// and the settings in force; all other code reaches them through typed messages in one mailbox (messages.go). A sender
// blocks while the mailbox is full. The actor itself never blocks: a server endpoint with a full mailbox refuses an
// attempt, which then ends as NotSent. So no two actors can wait for each other.
//
//   - A client's goroutine runs [Sidecar.Do]: it posts the request and waits for the response, the client's
//     disconnection or the deadline, whichever comes first.
//   - Each server has an upstream.Endpoint, an actor that owns the idle connections; each attempt runs on its own goroutine.
//   - discovery.Client is the actor that owns the endpoint list. Its endpoint set may be read from any goroutine.
//   - shadow.Evaluator, if configured, gets every event except the ends of health checks. The actor never waits for it.
//
// # Course of an attempt
//
//  1. A message reaches the balancer through dispatch. Before that returns, the balancer decides and calls methods of
//     [decide.Actions], implemented by the type actions. SendAttempt starts an attempt.
//  2. SendAttempt builds the upstream.Attempt with its deadline and offers it to the server's endpoint.
//  3. The endpoint gives the attempt an idle connection, or the attempt dials a new connection. The attempt writes the
//     request under the call's upstream.Gate, and reads the response.
//  4. The endpoint calls OnDone, which posts attemptEnded. A streamed response posts streamStarted before that.
//  5. onAttemptEnded converts the upstream.AttemptResult to a [decide.Outcome], responds to the client if the attempt
//     succeeded, and dispatches the outcome. The balancer may then send another attempt, or reject or fail the request.
//
// The balancer's clock counts microseconds: the Unix time at the start of the process, advanced by the monotonic clock.
package sidecar
