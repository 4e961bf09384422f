package shadow

import "damsonscale/decide"

// Action is one action of a balancer.
type Action struct {
	Kind    ActionKind
	Request string
	Server  string
	Timeout int64 // of an attempt, µs
}

// ActionKind is the kind of an action. Those up to Fail are decisions on a request.
type ActionKind uint8

// The actions that are compared.
const (
	SendAttempt ActionKind = iota
	Reject
	Fail
	CloseIdleConnections
	SendGossip
)

// Event is an event of the serving balancer, and the actions that it took on it.
type Event struct {
	Now          int64                  // µs
	Apply        func(*decide.Balancer) // gives the event to a balancer
	ApplyShadow  func(*decide.Balancer) // the same for the second balancer, where it differs; nil: Apply
	AttemptEnded string                 // the request of which an attempt ended; empty: none did
	RequestEnded string                 // the request that ended by this event; empty: none did
	Actions      []Action
}
