package shadow

import "damsonscale/decide"

// Action is an action of a balancer.
type Action struct {
	Kind    ActionKind
	Request string
	Server  string
	Timeout int64 // timeout of an attempt, µs
}

// ActionKind is the kind of an action. The kinds up to Fail are decisions on a request.
type ActionKind uint8

// Kinds of the actions that are compared.
const (
	SendAttempt ActionKind = iota
	Reject
	Fail
	CloseIdleConnections
	SendGossip
)

// Event is an event of the serving balancer, with the actions that the balancer took on it.
type Event struct {
	Now          int64                  // time of the event, µs
	Apply        func(*decide.Balancer) // passes the event to a balancer
	ApplyShadow  func(*decide.Balancer) // passes the event to the shadow balancer; nil: Apply does
	AttemptEnded string                 // ID of the request of which an attempt ended; empty: none
	RequestEnded string                 // ID of the request that ended; empty: none
	Actions      []Action
}
