// Package upstream sends attempts to servers.
//
// # State and goroutines
//
//   - A [Endpoint] is an actor, one for each server. Its goroutine owns the idle connections to the server, and hands one to an
//     attempt. Messages reach it through a mailbox of limited size: [Endpoint.Offer] and the Close methods never block, and drop
//     their message where the mailbox is full; attempts post their end and wait for room.
//   - An [Attempt] has a goroutine of its own, which owns one connection from the dial or from the idle list to the last
//     byte. It never shares it.
//   - [SocketBudget] counts the connections of all peers; it is safe for concurrent use.
//   - A [Stream] is read by the client's goroutine while its attempt's goroutine waits for its end.
//   - A [BodyRemainder] is read by the attempt that sends it; any goroutine may close it.
//
// # The way of an attempt
//
// [Endpoint.Offer] starts the attempt's timer. The peer's goroutine takes an idle connection, if one is fit, and starts
// runAttempt, which dials otherwise. conn.exchange writes the request under the [Gate] (write.go) and reads the response
// (response.go): a short body is buffered, a long one, or one without an end in sight, goes to OnStream as it comes.
// The [AttemptResult] then goes through the peer's goroutine, which takes the connection back where it can be reused, to
// OnDone. Every way in which an attempt can end is one [EndReason]; EndReason.DecisionResult is the one place that maps
// them to the decision module's terms.
package upstream
