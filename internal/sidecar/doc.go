// Package sidecar connects the decision module (package decide) with clients, servers and the endpoint list.
//
// # State and goroutines
//
// [Sidecar] is an actor. The goroutine of [Sidecar.Run] owns the balancer, all calls in flight, the set of peers and the
// settings in force; everything else reaches them through typed messages in one mailbox (messages.go). Senders wait for
// room in the mailbox. The actor itself never waits: a peer whose mailbox is full refuses an attempt, which then ends as
// NotSent. So no two actors can wait for each other.
//
//   - A client's goroutine runs [Sidecar.Do]: it posts the request and waits for the response, for the client to leave,
//     or for the deadline, whichever comes first.
//   - Each server has an upstream.Endpoint, an actor that owns the idle connections; each attempt has a goroutine of its own.
//   - discovery.Client is the actor that owns the endpoint list. Its endpoint set may be read from any goroutine.
//   - shadow.Evaluator, where it is configured, is shown every event but the ends of health checks, and never waited for.
//
// # The way of an attempt
//
//  1. A message reaches the balancer through dispatch. The balancer decides and calls [decide.Actions], here the type
//     actions, before the method returns: SendAttempt starts an attempt.
//  2. SendAttempt builds the upstream.Attempt with its deadline and offers it to the server's peer.
//  3. The peer gives it an idle connection, or the attempt dials one; it writes the request under the call's
//     upstream.Gate, and reads the response.
//  4. The peer's actor calls OnDone, which posts attemptEnded; a response that is streamed posts streamStarted before.
//  5. onAttemptEnded turns the upstream.AttemptResult into a [decide.Outcome], responds to the client where a server has
//     answered, and dispatches the outcome, by which the balancer may send another attempt, reject or fail the request.
//
// Times that the balancer sees are microseconds: Unix time at the start of the process, advanced by the monotonic clock.
package sidecar
