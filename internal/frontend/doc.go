// Package frontend serves the clients of a sidecar over HTTP/1.1, with fasthttp.
//
// # The way of a request
//
// request.go has it from top to bottom: fasthttp has read the head, the head is parsed (parse.go), the body is buffered
// or prepared for streaming (body.go), and the request goes to sidecar.Do, or, where its class is replicated, to the
// fleet (replication.go). response.go turns the result into status, headers and body; stream.go copies long responses.
//
// # State and goroutines
//
//   - fasthttp runs one goroutine for each connection; it reads, serves and answers one request after the other.
//     clientConn (conn.go) belongs to that goroutine but for its atomic fields.
//   - While a request is served, a second goroutine reads the connection in the background, to notice that the client
//     disconnects (disconnect.go). It has ended before the connection's goroutine reads again.
//   - The accept loop (listener.go) admits connections, and closes idle ones where they are short. It takes
//     Frontend.mu for the set of connections; nobody blocks while holding it.
//   - Other goroutines choose a connection to close by marking it; the connection's own goroutine closes it, after it
//     has served what had arrived by then.
//   - Shutdown and RunOperatorDrain (drain.go) are called by the program, one goroutine each.
//
// Settings are a snapshot that is swapped as a whole: a request keeps the one that it was parsed with.
package frontend
