package decide

// Phase is a server's state as listed.
type Phase uint8

const (
	InService Phase = iota
	Draining
	Removed
)

// Endpoint is one entry of the list of servers.
type Endpoint struct {
	ID          string
	Capacity    float64 // relative, see Settings.CapacityListed
	Zone        string
	MachineKind string // of machine; empty: not told
	Cell        int64
	StartedAt   int64 // time of its latest start; 0: long ago
	Phase       Phase
}

// Request is one try of a client.
type Request struct {
	ID              string
	Class           int // index into Settings.Classes
	Tenant          int // index into Settings.Tenants; -1: none
	TimeLeft        int64
	Key             string
	IsRetry         bool
	WorkHint        int64 // work hinted; 0: none
	PriorAttemptAge int64 // µs since another balancer may have sent it, which is none of its tries here; 0: none has
	BodyUnbuffered  bool  // its body is not held: once some of it has gone it can't be sent again; its time runs from its end
}

// Result is how an attempt ended.
type Result uint8

const (
	Succeeded      Result = iota
	Errored               // may have run
	Saturated             // never ran
	TimedOut              // may have run, may still run
	ConnectFailed         // never ran
	Reset                 // may have run
	Cancelled             // may have run
	NotSent               // never sent
	InvalidRequest        // may have run; the server finds the request itself at fault
)

// String names the result as log lines do.
func (r Result) String() string {
	names := [...]string{"served", "error", "full", "timeout", "connect", "reset", "cancelled", "moot", "rejected"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// NeverRan tells whether the result proves that the attempt had no effect.
func (r Result) NeverRan() bool { return r == Saturated || r == ConnectFailed || r == NotSent }

// LoadReport is what a server reports of itself; a negative figure is absent.
type LoadReport struct{ InFlight, Queue, Busy, Latency, Rate, FailRate float64 }

// Outcome reports the end of one attempt; each attempt has exactly one.
type Outcome struct {
	Request         string
	Attempt         int // numbered from 0 in the order of the sends
	Server          string
	Result          Result
	Latency         int64
	RequestAnswered bool // the request has its final answer
	BodyConsumed    bool // the request's body has gone and can't be sent again
	Load            *LoadReport
}

// HealthCheck reports the end of one probe.
type HealthCheck struct {
	Server  string
	Result  Result
	Latency int64
	Load    *LoadReport
}

// Actions is what a Balancer can do. Its methods must not call back into the Balancer.
type Actions interface {
	SendAttempt(request, server string, timeout int64)
	CancelAttempt(request string, attempt int)
	Reject(request string, retryAfter int64) // final: no, and a new try is harmless
	Fail(request string)                     // final: failed, nothing promised
	CheckHealth(server string)
	SendGossip(peer int, word []byte)   // a message to another balancer, -1: to all; kept by the caller
	CloseIdleConnections(server string) // its idle connections: the next attempt opens one
	WatchEndpoints(on bool)             // ask for the list's changes from now on
	SetTimer(in int64, token int64)
	Log(line string)
}
