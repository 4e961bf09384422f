// Package handover passes a sidecar's listening socket, and the streams that are still open, from one process to the
// process that replaces it.
//
// # Protocol
//
// The running process serves a Unix socket whose path is derived from the sidecar's name and address (ID.SocketPath).
// The new process, its successor, connects and sends a hello; the running process answers with its own hello, to which
// the listening socket is attached as a file descriptor (SCM_RIGHTS). Each message is one line of JSON:
//
//	successor:    {"version":1,"name":"n1","listen":"127.0.0.1:80","takes":true}
//	predecessor:  {"version":1,"name":"n1","listen":"127.0.0.1:80","state":{...}}   + listening socket
//	successor:    serving
//	predecessor:  {"work":{...}}   + client's and server's connection, any number of times
//	predecessor:  {"news":{...}}   any number of times
//
// While one successor is connected another gets a hello with "busy":true and tries again later. Either side learns of
// the other's exit by the end of the connection. Nothing here tells a process to exit.
//
// # State and goroutines
//
// Server belongs to the running process. One goroutine accepts successors, one more serves each of them; the state of
// the successor is guarded by a mutex, and the callback given to NewServer is called by the goroutine of the successor
// whose state changed. Predecessor belongs to the new process: one goroutine reads transfers until the predecessor
// exits and calls the function given to Acquire, one call after another. All methods may be called from any goroutine.
package handover
