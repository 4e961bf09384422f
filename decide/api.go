package decide

// The events of a Balancer, a method each:
//
//	Start                 once, before any other
//	OnRequest             a request arrived; it is owed one final answer
//	OnOutcome             an attempt ended
//	OnStreamStarted       a streamed answer began
//	OnClientDisconnected  a client left
//	OnEndpoints           the endpoint list, or its changes
//	OnPollFailed          a poll of the list failed, or the watch ended
//	OnHealthCheck         a health check ended
//	OnGossip              another balancer's message
//	OnTimer               a timer ended
//	UpdateSettings        other settings are in force
//	SetPeerProcessActive  another process of this sidecar serves too, or no longer
//	FollowAttempt         in shadow evaluation: what the serving balancer sent

// Phase is an endpoint's state as listed.
type Phase uint8

// The phases of an endpoint.
const (
	InService Phase = iota
	Draining        // gets no new attempts
	Removed         // no longer listed
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID          string
	Capacity    float64 // relative, see Settings.CapacityListed
	Zone        string
	MachineKind string // empty: unknown
	Cell        int64
	StartedAt   int64 // latest start of its process; 0: long ago
	Phase       Phase
}

// Request is one that a client sent.
type Request struct {
	ID              string
	Class           int    // index into Settings.Classes
	Tenant          int    // index into Settings.Tenants; -1: none
	TimeLeft        int64  // until its deadline; negative: the class's Deadline
	Key             string // for affinity and outliers; empty: none
	IsRetry         bool   // the client says that it sends it again
	WorkHint        int64  // how much work it is, in units of the client's; 0: unknown
	PriorAttemptAge int64  // since another balancer may have sent it; 0: none has
	BodyUnbuffered  bool   // once part of its body has been sent it can't be sent again
}

// Result is how an attempt ended. The simulator adapter reads results by their number.
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
	InvalidRequest Result = 8 // may have run; the endpoint finds the request itself at fault
)

// String is the result's name in log lines.
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

// NeverRan reports whether the result proves that the attempt had no effect.
func (r Result) NeverRan() bool { return r == Saturated || r == ConnectFailed || r == NotSent }

// LoadReport is what an endpoint reports of itself. A negative figure is absent.
type LoadReport struct {
	InFlight, QueueLength float64 // requests
	Utilization           float64 // share of its capacity
	ServiceTimeMs         float64 // of work there without waiting, in ms
	RequestRate           float64 // requests per second
	ErrorRate             float64 // errors per second
}

// Outcome is the end of one attempt. Each attempt has exactly one.
type Outcome struct {
	Request         string
	Attempt         int // from 0 in the order of the sends
	Server          string
	Result          Result
	Latency         int64 // to the start of the answer
	RequestAnswered bool  // the client has its final answer
	BodyConsumed    bool  // part of the request's body was sent and it can't be sent again
	Load            *LoadReport
}

// HealthCheckOutcome is the end of one health check.
type HealthCheckOutcome struct {
	Server  string
	Result  Result
	Latency int64
	Load    *LoadReport
}

// Actions are what a Balancer asks its host to do. The Balancer calls them during an event; they must not
// block, and must not call back into it.
type Actions interface {
	// SendAttempt sends the request's next attempt and ends it after the timeout, in µs.
	SendAttempt(request, server string, timeout int64)
	// CancelAttempt cancels one in flight. Its Outcome still comes.
	CancelAttempt(request string, attempt int)
	// Reject is a final answer: the client may send the request again, after retryAfter µs if that isn't 0.
	Reject(request string, retryAfter int64)
	// Fail is a final answer that promises nothing.
	Fail(request string)
	// CheckHealth starts a health check.
	CheckHealth(server string)
	// SendGossip sends a message to another balancer, or with -1 to all. The message is valid during the call
	// only.
	SendGossip(peer int, message []byte)
	// CloseIdleConnections makes the server's next attempt open a connection.
	CloseIdleConnections(server string)
	// WatchEndpoints polls the endpoint list and watches its changes from then on.
	WatchEndpoints(on bool)
	// SetTimer calls OnTimer with the token after so many µs.
	SetTimer(in int64, token int64)
	// Log writes a line: the name of an event, then fields as key=value.
	Log(line string)
}
