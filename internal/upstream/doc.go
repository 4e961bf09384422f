// Package upstream sends attempts to servers.
//
// # State and goroutines
//
//   - An [Endpoint] is an actor, one for each server. Its goroutine owns the idle connections to the server and assigns
//     them to attempts. Its bounded mailbox receives messages: [Endpoint.Offer] and the Close methods never block and
//     drop their message if the mailbox is full; the goroutine of a finished attempt waits for space in the mailbox.
//   - An [Attempt] runs on its own goroutine. That goroutine has exclusive use of one connection, dialed or idle, until
//     the attempt ends.
//   - [SocketBudget] limits the number of connections of all endpoints together; it is safe for concurrent use.
//   - A [Stream] is read by the goroutine that serves the client, while the attempt's goroutine waits for the end
//     of the stream.
//   - A [BodyRemainder] is read by the attempt that sends it; any goroutine may close it.
//
// # Life cycle of an attempt
//
// [Endpoint.Offer] starts the attempt's timer. The endpoint's goroutine picks a usable idle connection, if there is one,
// and starts runAttempt, which otherwise dials. conn.exchange writes the request under the [Gate] (write.go) and reads
// the response (response.go): a body of up to MaxBufferedBytes is buffered; a longer body, or a body of unknown length
// that is incomplete after maxBufferTime, is streamed through OnStream if the response has status 200. The endpoint's
// goroutine then receives the [AttemptResult], takes back a reusable connection, and calls OnDone. Each way in which an
// attempt can end is an [EndReason]; only EndReason.DecisionResult maps end reasons to results of package decide.
package upstream
