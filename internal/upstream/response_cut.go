package upstream

import (
	"errors"
	"io"
	"net"
	"syscall"

	"damsonscale/internal/eventlog"
	"damsonscale/internal/socket"
)

// eventResponseCut is the name of a log event.
const eventResponseCut = "response_cut"

// cutCause says why a streamed response ended before its last byte.
type cutCause string

const (
	cutByHostGone  cutCause = "host_gone" // the server's host gave no sign of life
	cutByEviction  cutCause = "evicted"   // the server was silent, and another response needed the place
	cutByEnd       cutCause = "ended"     // the server ended the connection
	cutByReset     cutCause = "reset"     // the connection broke
	cutAsMalformed cutCause = "malformed" // the server's bytes are not a valid body
	cutAsTooLong   cutCause = "too_long"  // the body exceeds MaxBodyBytes
)

// cutCauseOf returns the cause for an error that ended the reading of a stream.
func cutCauseOf(err error) cutCause {
	var op *net.OpError
	switch {
	case errors.Is(err, errTooLong):
		return cutAsTooLong
	case errors.Is(err, io.ErrUnexpectedEOF):
		return cutByEnd
	case errors.Is(err, errEvicted):
		return cutByEviction
	case errors.Is(err, errHostGone) || errors.Is(err, syscall.ETIMEDOUT):
		return cutByHostGone
	case errors.As(err, &op):
		return cutByReset
	}
	return cutAsMalformed
}

// logCut logs that the response was cut, unless it is complete or its attempt has ended for another reason.
func (s *Stream) logCut() {
	if s.err == nil || s.err == io.EOF || s.err == errRequestEnded || s.ctx.Err() != nil {
		return
	}
	sinceReceive, sinceAck := int64(-1), int64(-1)
	if info, ok := socket.TCPInfo(s.conn.Conn); ok {
		sinceReceive, sinceAck = int64(info.Last_data_recv), int64(info.Last_ack_recv)
	}
	eventlog.Warn(eventResponseCut, s.err, "server", s.server, "cause", string(cutCauseOf(s.err)), "forwarded_bytes", s.forwarded,
		"since_receive_ms", sinceReceive, "since_ack_ms", sinceAck)
}
