package upstream

import (
	"github.com/valyala/fasthttp"

	"damsonscale/decide"
)

// declinedHeader is 1 in a response by which a server says that it did not run the request.
const declinedHeader = "Srv-Declined"

// EndReason is how an attempt ended. Every way in which one can end is one of these.
type EndReason uint8

// The ways in which an attempt ends.
const (
	Succeeded      EndReason = iota // 200 and its complete body
	ErrorResponse                   // a complete response that is none of the others
	InvalidRequest                  // the server finds the request itself at fault
	Declined                        // the server says that it did not run the request
	ConnectFailed                   // no connection, or it broke before the last byte was written
	Malformed                       // what came after the last byte was written can't be read as a response
	Reset                           // the connection broke after the last byte was written, before a complete response
	TimedOut                        // after the last byte was written
	Cancelled                       // after the last byte was written
	NotSent                         // never completely written: cancelled or timed out before, or the server takes no new work
)

// String returns the name of the reason.
func (r EndReason) String() string {
	names := [...]string{"answered", "error_response", "invalid_request", "declined", "connect_failed", "malformed", "reset",
		"timed_out", "cancelled", "not_sent"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// DecisionResult maps a reason to the decision module's results.
func (r EndReason) DecisionResult() decide.Result {
	switch r {
	case Succeeded:
		return decide.Succeeded
	case ErrorResponse, Malformed: // a server that responds is up, whatever it says
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
	return decide.Reset // may have run, as anything unknown
}

// classify returns the reason for a complete response, by its head.
func classify(resp *fasthttp.Response) EndReason {
	switch status := resp.StatusCode(); {
	case status == fasthttp.StatusOK:
		return Succeeded
	case (status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusGatewayTimeout) &&
		string(resp.Header.Peek(declinedHeader)) == "1":
		return Declined
	case status == fasthttp.StatusRequestTimeout || status == fasthttp.StatusTooManyRequests:
		return ErrorResponse // about the server's state, not about the request
	case status >= 400 && status < 500:
		return InvalidRequest
	}
	return ErrorResponse
}
