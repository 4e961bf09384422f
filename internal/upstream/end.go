// Package upstream sends attempts to servers. Each peer is an actor that owns its idle connections; an
// attempt owns its connection while it runs, to the last byte and the closing.
package upstream

import "damsonscale/decide"

// End is how an attempt ended. Every way in which a connection can end is one of these.
type End uint8

const (
	Answered    End = iota // 200 and its whole body
	Failed                 // an answer that is none of the others
	Rejected               // the server finds the request itself at fault
	Declined               // the server says that it never ran
	Unreachable            // no connection, or it broke before the last byte was written
	Spoilt                 // what came after the last byte was written can't be read as an answer
	Broken                 // it broke after the last byte was written, before a whole answer
	Expired                // the time was up after the last byte was written
	Withdrawn              // called back after the last byte was written
	Unwritten              // never written: called back, over, or the server wants nothing new
)

// String names the end as log lines do.
func (e End) String() string {
	names := [...]string{"answered", "failed", "rejected", "declined", "unreachable", "spoilt", "broken", "expired",
		"withdrawn", "unwritten"}
	if int(e) < len(names) {
		return names[e]
	}
	return "unknown"
}

// Result is the module's word for an end.
func (e End) Result() decide.Result {
	switch e {
	case Answered:
		return decide.Succeeded
	case Failed, Spoilt: // a server that answers is up, whatever it says
		return decide.Errored
	case Rejected:
		return decide.InvalidRequest
	case Declined:
		return decide.Saturated
	case Unreachable:
		return decide.ConnectFailed
	case Expired:
		return decide.TimedOut
	case Withdrawn:
		return decide.Cancelled
	case Unwritten:
		return decide.NotSent
	}
	return decide.Reset // whatever is not known to be better may have run
}
