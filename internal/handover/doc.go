// Package handover passes a sidecar's listening socket and open streams from a running process to the process that replaces
// it.
//
// # Protocol
//
// The running process, the predecessor, listens at a Unix socket whose path is derived from the sidecar's name and address
// (ID.SocketPath). The new process, the successor, connects and sends a hello. The predecessor answers with its own hello
// and attaches the listening socket as a file descriptor (SCM_RIGHTS). All messages but the word serving are one line of
// JSON:
//
//	successor:    {"version":1,"name":"n1","listen":"127.0.0.1:80","takes":true}
//	predecessor:  {"version":1,"name":"n1","listen":"127.0.0.1:80","state":{...}}   + listening socket
//	successor:    serving
//	successor:    {"unsent":true}   what else it can do; builds before this message send none, and ignore it
//	predecessor:  {"work":{...}}   + client's and server's connection, any number of times
//	predecessor:  {"news":{...}}   any number of times
//	successor:    {"claim":"r1"}   it is about to execute request r1; only if the predecessor's hello has "claims":true
//	predecessor:  {"claimed":{"id":"r1","open":true,"age":1000}}   whether it has r1 in flight, and ns since r1 may have been executed
//
// While a successor is connected, any other successor gets a hello with "busy":true and retries later. Each side detects
// the other's exit by the end of the connection. No message asks a process to exit; the operator does that.
//
// # State and goroutines
//
// Server belongs to the running process. One goroutine accepts successors, and each successor has a goroutine of its own. A
// mutex guards the state of the successor. The goroutine of a successor calls the callback given to NewServer when the
// successor's state changes. Predecessor belongs to the new process. One goroutine reads transfers until the predecessor
// exits and calls the function given to Acquire, one call at a time. All methods may be called from any goroutine.
package handover
