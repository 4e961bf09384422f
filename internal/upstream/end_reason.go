// Package upstream sends attempts to servers. Each peer is an actor that owns its idle connections; an
// attempt owns its connection while it runs, to the last byte and the closing.
package upstream

import "damsonscale/decide"

// EndReason is how an attempt ended. Every way in which a connection can end is one of these.
type EndReason uint8

const (
	Answered       EndReason = iota // 200 and its whole body
	ErrorResponse                   // an answer that is none of the others
	InvalidRequest                  // the server finds the request itself at fault
	Declined                        // the server says that it never ran
	ConnectFailed                   // no connection, or it broke before the last byte was written
	Malformed                       // what came after the last byte was written can't be read as an answer
	Reset                           // it broke after the last byte was written, before a whole answer
	TimedOut                        // the time was up after the last byte was written
	Cancelled                       // called back after the last byte was written
	NotSent                         // never written: called back, over, or the server wants nothing new
)

// String names the end as log lines do.
func (e EndReason) String() string {
	names := [...]string{"answered", "failed", "rejected", "declined", "unreachable", "spoilt", "broken", "expired",
		"withdrawn", "unwritten"}
	if int(e) < len(names) {
		return names[e]
	}
	return "unknown"
}

// DecisionResult is the module's word for an end.
func (e EndReason) DecisionResult() decide.Result {
	switch e {
	case Answered:
		return decide.Succeeded
	case ErrorResponse, Malformed: // a server that answers is up, whatever it says
		return decide.Errored
	case InvalidRequest:
		return decide.InvalidRequest
	case Declined:
		return decide.Saturated
	case ConnectFailed:
		return decide.ConnectFailed
	case TimedOut:
		return decide.TimedOut
	case Cancelled:
		return decide.Cancelled
	case NotSent:
		return decide.NotSent
	}
	return decide.Reset // whatever is not known to be better may have run
}
