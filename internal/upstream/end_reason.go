package upstream

import (
	"github.com/valyala/fasthttp"

	"damsonscale/decide"
)

// declinedHeader has the value 1 in a response with which a server says that it did not execute the request.
const declinedHeader = "Srv-Declined"

// EndReason says how an attempt ended.
type EndReason uint8

// End reasons. After ConnectFailed and NotSent the last byte of the request was not written, and the server did not
// execute it.
const (
	Succeeded      EndReason = iota // complete response with status 200
	ErrorResponse                   // complete response that no other reason covers
	InvalidRequest                  // 4xx response other than 408 and 429: the server finds the request invalid
	Declined                        // response that says that the server did not execute the request
	ConnectFailed                   // dial failed, or the connection broke before the last byte of the request was written
	Malformed                       // bytes received after the request was written are not a valid response
	Reset                           // connection broke after the request was written and before the response was complete
	TimedOut                        // attempt timed out after the request was written
	Cancelled                       // attempt was cancelled after the request was written
	NotSent                         // request not written completely: cancelled, timed out, or the server takes no new requests
)

// stepDone is returned by the dialing and writing steps of an attempt that have succeeded, so that the attempt continues.
const stepDone = Succeeded

// String returns the name of the reason.
func (r EndReason) String() string {
	names := [...]string{"answered", "error_response", "invalid_request", "declined", "connect_failed", "malformed", "reset",
		"timed_out", "cancelled", "not_sent"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// DecisionResult maps the reason to a result of package decide.
func (r EndReason) DecisionResult() decide.Result {
	switch r {
	case Succeeded:
		return decide.Succeeded
	case ErrorResponse, Malformed: // a server that responds is up, whatever the response
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
	return decide.Reset // the request may have been executed; unknown reasons count as this, too
}

// classify returns the end reason of a complete response with the given head.
func classify(resp *fasthttp.Response) EndReason {
	switch status := resp.StatusCode(); {
	case status == fasthttp.StatusOK:
		return Succeeded
	case (status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusGatewayTimeout) &&
		string(resp.Header.Peek(declinedHeader)) == "1":
		return Declined
	case status == fasthttp.StatusRequestTimeout || status == fasthttp.StatusTooManyRequests:
		return ErrorResponse // these statuses concern the server's state, not the request
	case status >= 400 && status < 500:
		return InvalidRequest
	}
	return ErrorResponse
}
