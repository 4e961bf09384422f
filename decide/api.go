package decide

// A Balancer has one method for each event:
//
//	Start                 once, before any other
//	OnRequest             a request arrived; it must get exactly one final response
//	OnOutcome             an attempt ended
//	OnStreamStarted       a streamed response began
//	OnClientDisconnected  a client closed its connection
//	OnEndpoints           the complete endpoint list or changes to it arrived
//	OnPollFailed          a poll of the endpoint list failed, or its watch ended
//	OnHealthCheck         a health check ended
//	OnGossip              a message of another balancer arrived
//	OnTimer               a timer fired
//	UpdateSettings        the settings changed
//	SetPeerProcessActive  another process of this sidecar started or stopped serving
//	FollowAttempt         shadow evaluation: the serving balancer sent an attempt

// Phase is the state of an endpoint in the endpoint list.
type Phase uint8

// The phases of an endpoint.
const (
	InService Phase = iota
	Draining        // gets no new attempts
	Removed         // no longer in the endpoint list
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID          string
	Capacity    float64 // relative to other endpoints; used only with Settings.CapacityListed
	Zone        string
	MachineKind string // empty: unknown
	Cell        int64  // cell that it belongs to, see ScopeCell
	StartedAt   int64  // when its process last started, µs; 0: long ago
	Phase       Phase
}

// Request is a client's request.
type Request struct {
	ID              string
	Class           int    // index into Settings.Classes
	Tenant          int    // index into Settings.Tenants; -1: none
	TimeLeft        int64  // µs until its deadline; negative: use the class's Deadline
	Key             string // for key affinity and outlier detection; empty: none
	IsRetry         bool   // the client marked it as a retry
	WorkHint        int64  // amount of work, in a unit of the client's choice; 0: unknown
	PriorAttemptAge int64  // µs since another balancer may have sent an attempt; 0: none was sent
	BodyUnbuffered  bool   // its body can't be sent again after part of it has been sent
}

// Result is how an attempt ended. The simulator adapter decodes results by number.
type Result uint8

// The results of an attempt.
const (
	Succeeded      Result = 0
	Errored        Result = 1 // may have run
	Saturated      Result = 2 // never ran: the endpoint had no capacity
	TimedOut       Result = 3 // may have run, or still be running
	ConnectFailed  Result = 4 // never ran
	Reset          Result = 5 // may have run
	Cancelled      Result = 6 // may have run
	NotSent        Result = 7 // never ran
	InvalidRequest Result = 8 // may have run; the endpoint rejected the request as invalid
)

// String returns the name of the result in log lines.
func (r Result) String() string {
	names := [...]string{
		"succeeded", "error", "saturated", "timeout", "connect", "reset",
		"cancelled", "not_sent", "invalid_request",
	}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// NeverRan reports whether the result proves that the endpoint never ran the attempt.
func (r Result) NeverRan() bool { return r == Saturated || r == ConnectFailed || r == NotSent }

// LoadReport is the load that an endpoint reports about itself. Negative values are absent.
type LoadReport struct {
	InFlight, QueueLength float64 // requests
	Utilization           float64 // share of its capacity
	ServiceTimeMs         float64 // time to process a request without queueing, ms
	RequestRate           float64 // requests per second
	ErrorRate             float64 // errors per second
}

// Outcome is the end of one attempt. Each attempt has exactly one.
type Outcome struct {
	Request         string // ID of the request
	Attempt         int    // index of the attempt in the request, from 0
	Server          string // ID of the endpoint
	Result          Result
	Latency         int64 // µs until the start of the response
	RequestAnswered bool  // the client has received its final response
	BodyConsumed    bool  // part of the request's body was sent, and the body can't be sent again
	Load            *LoadReport
}

// HealthCheckOutcome is the end of one health check.
type HealthCheckOutcome struct {
	Server  string // ID of the endpoint
	Result  Result
	Latency int64 // µs until the health check ended
	Load    *LoadReport
}

// Actions are the operations that a Balancer asks its host to carry out. The Balancer calls them while it
// handles an event. They must not block and must not call back into the Balancer.
type Actions interface {
	// SendAttempt sends the request's next attempt to the server and ends it after the timeout, in µs.
	SendAttempt(request, server string, timeout int64)
	// CancelAttempt cancels an attempt in flight. Its Outcome is still reported.
	CancelAttempt(request string, attempt int)
	// Reject gives the final response to a request that the client may send again. If retryAfter is not 0,
	// the client should wait for this time in µs.
	Reject(request string, retryAfter int64)
	// Fail gives the final response to a request without saying whether it ran.
	Fail(request string)
	// CheckHealth starts a health check.
	CheckHealth(server string)
	// SendGossip sends a message to the balancer with index peer, or to all balancers if peer is -1. The
	// message is valid only during the call.
	SendGossip(peer int, message []byte)
	// CloseIdleConnections closes the idle connections to the server, so that its next attempt opens a new
	// one.
	CloseIdleConnections(server string)
	// WatchEndpoints polls the endpoint list and then watches it for changes.
	WatchEndpoints(on bool)
	// SetTimer calls OnTimer with the token after a delay, in µs.
	SetTimer(delay int64, token int64)
	// Log writes a log line: the name of an event, then fields as key=value.
	Log(line string)
}
