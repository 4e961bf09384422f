// Package transport carries frames between the members of a fleet over TCP.
//
// Each connection carries frames in one direction, from the member that dialed it. Replies use a connection that the other
// member has dialed. The first frame is a hello with the fleet's identifier and the sender. Delivery is at most once and
// unordered across connections: a frame is dropped when its peer's queue is full or the connection breaks. Callers resend what
// they still need.
//
// A connection whose first frame is an administrative request comes from an operator's program. The answer is sent on the same
// connection.
//
// One goroutine per peer sends, and one per accepted connection reads frames and calls the handlers. The next frame of a
// connection is read after the handler returns, so a member that floods is slowed down without delaying others.
package transport
