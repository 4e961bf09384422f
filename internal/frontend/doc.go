// Package frontend serves the clients of a sidecar over HTTP/1.1, with fasthttp.
//
// # Life cycle of a request
//
// request.go shows all steps: after fasthttp has read the head, the head is parsed (parse.go), the body is buffered or
// prepared for streaming (body.go), and the request goes to sidecar.Do or, if its class is replicated, to the fleet
// (replication.go). response.go turns the result into status, headers and body; stream.go copies long responses. In an upgrade
// they go on in the successor: stream_handover.go hands them over, resumed_stream.go takes them on, any number of times.
//
// # State and goroutines
//
//   - fasthttp runs one goroutine for each connection, which serves the requests of the connection one after the other.
//     That goroutine owns the connection's clientConn (conn.go) except for its atomic fields.
//   - While a request is served, a second goroutine reads the connection in the background to detect that the client
//     disconnects (disconnect.go). It ends before the connection's goroutine reads again.
//   - The accept loop (listener.go) accepts connections, and evicts idle connections near the connection limit. It
//     locks Frontend.mu, which guards the set of connections; no goroutine blocks while it holds that lock.
//   - Other goroutines close a connection by marking it closing. The connection's own goroutine closes it after it has
//     served any request that had arrived by then.
//   - Each stream that was taken over from the predecessor has a goroutine of its own, which owns its clientConn.
//   - The program calls Shutdown and RunOperatorDrain (drain.go) on one goroutine each.
//
// The settings are an immutable snapshot that is replaced atomically. A request keeps the snapshot that it was parsed
// with.
package frontend
