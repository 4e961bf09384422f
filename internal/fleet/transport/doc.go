// Package transport carries frames between the members of a fleet over TCP.
//
// Each connection carries frames one way, from the member that dialled it: replies come over a connection of the other
// member's own. Its first frame is a hello, which names the fleet and the sender. Delivery is at most once and unordered
// across connections: a frame is dropped when its peer's queue is full or the connection breaks, and whoever needs it
// sends it again.
//
// A connection whose first frame is an administrative request belongs to an operator's program and is answered on itself.
//
// Goroutines: one per peer sends, one per accepted connection reads and calls the handlers. The handler of a connection
// runs before its next frame is read, so that a member that floods waits for itself.
package transport
