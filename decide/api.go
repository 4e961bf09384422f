// Package decide holds every decision of one balancer and no input or output.
//
// A host makes a Balancer with New, reports each event by its method together with the time, and carries
// out the actions that the Balancer calls on its Actions before the method returns. Times are
// microseconds of one clock that only moves forward; durations are microseconds too.
package decide

import (
	"fmt"
	"math"
)

// Semantics tells what a second run of a request does.
type Semantics uint8

const (
	Idempotent   Semantics = iota // safe: may run any number of times
	Deduplicated                  // keyed: servers of one group drop repeats for a while
	AtMostOnce                    // unsafe: must never run twice
)

// Scope names the servers that drop each other's repeats of a keyed request.
type Scope uint8

const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class is one kind of request.
type Class struct {
	Name          string
	Aim, Deadline int64   // answers within Aim earn all; a client waits for Deadline over all its tries
	AimStretch    float64 // the aim grows by this many times the work hinted
	Worth         float64
	LateShare     float64
	Semantics     Semantics
	Group         Scope // for Deduplicated
	Window        int64 // for Deduplicated: how long a repeat is recognised
	Stream        bool
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name      string
	Allowance float64 // requests a second within its share, over all balancers
}

// Rules are the figures of the four rules.
type Rules struct {
	AnswerSlack    int64
	AskEvery       int64 // ask for the list at least this often where it is not pushed
	StopSending    int64
	ColdFrom       float64
	ColdFor        int64
	OverloadFactor float64
	FallFor        int64
	ExtraFloor     float64 // attempts beyond a request's first that any window may have
	ResendRatio    float64 // and so many more for each request taken in it
	ResendSpan     int64   // length of such a window; 0: no budget of attempts is stated
}

// Limits is what the deployment permits.
type Limits struct {
	Cancel, ParallelTries, Probes, RetryAfter, Peers bool
	MaxAttempts                                      int
	MaxRetryAfter                                    int64
	CPU                                              int64 // µs a second for decisions; 0: no such limit
	Tick                                             int64 // events come no closer together than this
	HeldReplies                                      int   // answers held while clients read them; 0: no such limit
}

// Goal tells how the service is judged: weights of its parts, and the share of late answers that the tail bears.
type Goal struct{ Whole, WorstWindow, WorstClass, WorstTenant, Tail, BorneMisses float64 }

// Settings is what a balancer knows at its start, or from a Retune on.
type Settings struct {
	Classes        []Class
	Tenants        []Tenant
	Rules          Rules
	Goal           Goal
	Limits         Limits
	Zone           string
	Me, Balancers  int
	ListPushed     bool    // the list of servers comes by itself
	SizesListed    bool    // Server.Size means something
	SizesLive      bool    // it is a size lowered by what the server held some time ago
	WarmKeys       bool    // a server that served a key lately needs less work for it
	OverShareWorth float64 // worth of what a tenant sends over its share
	ProbeLoad      bool    // servers tell of their load to probes alone
	ProbePrice     float64 // points for a probe, as a part of the first tries
	ConnPrice      float64 // points for a mean of 100 open connections a server
	ZonePrice      float64 // points for an attempt to another zone, as a part of the first tries
}

// Validate names the first setting that makes no sense.
func (s *Settings) Validate() error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("settings: no classes")
	}
	met := map[string]bool{}
	for _, c := range s.Classes {
		switch {
		case c.Name == "":
			return fmt.Errorf("settings: a class without a name")
		case met[c.Name]:
			return fmt.Errorf("settings: class %s: there twice", c.Name)
		case c.Aim < 0 || c.Deadline < 0:
			return fmt.Errorf("settings: class %s: negative aim or deadline", c.Name)
		case c.Window < 0:
			return fmt.Errorf("settings: class %s: negative window", c.Name)
		case !(c.Worth >= 0) || !(c.LateShare >= 0) || !(c.AimStretch >= 0):
			return fmt.Errorf("settings: class %s: negative worth, late share or aim stretch", c.Name)
		}
		met[c.Name] = true
	}
	for _, t := range s.Tenants {
		if !(t.Allowance >= 0) {
			return fmt.Errorf("settings: tenant %s: negative allowance", t.Name)
		}
	}
	r, l := s.Rules, s.Limits
	switch {
	case !(r.ColdFrom >= 0 && r.ColdFrom <= 1):
		return fmt.Errorf("settings: cold share %v is not within 0 to 1", r.ColdFrom)
	case r.ColdFor < 0 || r.FallFor < 0 || r.AskEvery < 0 || r.StopSending < 0 || r.AnswerSlack < 0:
		return fmt.Errorf("settings: negative time in the rules")
	case r.ResendSpan < 0:
		return fmt.Errorf("settings: Guarantees.ResendSpanUs is negative")
	case !(r.ExtraFloor >= 0) || math.IsInf(r.ExtraFloor, 1):
		return fmt.Errorf("settings: Guarantees.ExtraFloor %v is no number of attempts", r.ExtraFloor)
	case !(r.ResendRatio >= 0) || math.IsInf(r.ResendRatio, 1):
		return fmt.Errorf("settings: Guarantees.ResendRatio %v is no share", r.ResendRatio)
	case r.ResendSpan == 0 && (r.ResendRatio > 0 || r.ExtraFloor > 0):
		return fmt.Errorf("settings: Guarantees.ResendRatio and ExtraFloor need a ResendSpanUs")
	case l.HeldReplies < 0:
		return fmt.Errorf("settings: Limits.HeldReplies is negative")
	case !(r.OverloadFactor >= 0):
		return fmt.Errorf("settings: negative overload factor")
	case !(s.Goal.Tail >= 0) || math.IsInf(s.Goal.Tail, 1):
		return fmt.Errorf("settings: ScoringMix.Tail %v is no weight", s.Goal.Tail)
	case !(s.Goal.BorneMisses >= 0 && s.Goal.BorneMisses <= 1):
		return fmt.Errorf("settings: ScoringMix.BorneMisses %v is not within 0 to 1", s.Goal.BorneMisses)
	case l.CPU < 0:
		return fmt.Errorf("settings: Limits.CpuUsPerS is negative")
	case l.MaxAttempts < 0 || l.MaxRetryAfter < 0 || l.Tick < 0:
		return fmt.Errorf("settings: negative limit")
	case !(s.ZonePrice >= 0) || !(s.ConnPrice >= 0) || !(s.ProbePrice >= 0):
		return fmt.Errorf("settings: negative price for crossing zones, connections or probes")
	case s.Balancers < 0 || s.Me < 0:
		return fmt.Errorf("settings: negative number of balancers")
	}
	return nil
}

// Phase is a server's state as listed.
type Phase uint8

const (
	InService Phase = iota
	Draining
	Removed
)

// Server is one entry of the list of servers.
type Server struct {
	ID      string
	Size    float64 // relative, see Settings.SizesListed
	Zone    string
	Kind    string // of machine; empty: not told
	Cell    int64
	UpSince int64 // time of its latest start; 0: long ago
	Phase   Phase
}

// Request is one try of a client.
type Request struct {
	ID      string
	Class   int // index into Settings.Classes
	Tenant  int // index into Settings.Tenants; -1: none
	Left    int64
	Key     string
	IsRetry bool
	Work    int64 // work hinted; 0: none
	Former  int64 // µs since another balancer may have sent it, which is none of its tries here; 0: none has
	Once    bool  // its body is not held: once some of it has gone it can't be sent again; its time runs from its end
}

// Result is how an attempt ended.
type Result uint8

const (
	Served        Result = iota
	Errored              // may have run
	Full                 // never ran
	TimedOut             // may have run, may still run
	ConnectFailed        // never ran
	Reset                // may have run
	Cancelled            // may have run
	Moot                 // never sent
	Rejected             // may have run; the server finds the request itself at fault
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
func (r Result) NeverRan() bool { return r == Full || r == ConnectFailed || r == Moot }

// Load is what a server reports of itself; a negative figure is absent.
type Load struct{ InFlight, Queue, Busy, Latency, Rate, FailRate float64 }

// Outcome reports the end of one attempt; each attempt has exactly one.
type Outcome struct {
	Request string
	Attempt int // numbered from 0 in the order of the sends
	Server  string
	Result  Result
	Latency int64
	Closed  bool // the request has its final answer
	Spent   bool // the request's body has gone and can't be sent again
	Load    *Load
}

// Probe reports the end of one probe.
type Probe struct {
	Server  string
	Result  Result
	Latency int64
	Load    *Load
}

// Events of a Balancer, one method each, all with the time now:
//
//	Begin(now)                    the first event, once
//	Listed(now, servers, whole)   the list, whole or its changes
//	ListFailed(now, waited)       an ask failed, after so long without an answer, or the watch broke: 0
//	Request(now, request)         taken, and owed one final answer
//	Outcome(now, outcome)         an attempt ended
//	Started(now, id, attempt)     a streamed answer began
//	Gone(now, id)                 the client left
//	Probed(now, probe)            a probe ended
//	Told(now, from, word)         another balancer's message
//	Timer(now, token)             a timer of the Balancer's came due
//	Retune(now, settings)         other settings hold from now on; classes are the same by name
//	Beside(now, other)            another process of this sidecar serves too, or no longer

// Actions is what a Balancer can do. Its methods must not call back into the Balancer.
type Actions interface {
	Send(request, server string, timeout int64)
	Cancel(request string, attempt int)
	Refuse(request string, retryAfter int64) // final: no, and a new try is harmless
	Fail(request string)                     // final: failed, nothing promised
	Probe(server string)
	Tell(peer int, word []byte) // a message to another balancer, -1: to all; kept by the caller
	CloseIdle(server string)    // its idle connections: the next attempt opens one
	Watch(on bool)              // ask for the list's changes from now on
	Wake(in int64, token int64)
	Log(line string)
}
