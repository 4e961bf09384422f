package sidecar

import (
	"strings"
	"time"

	"damsonscale/internal/discovery"
	"damsonscale/internal/eventlog"
)

// Log events.
const (
	eventEndpointMailboxFull = "peer_mailbox_full"
	eventStaleEndpointSend   = "stale_endpoint_send"
)

// staleSendLogInterval is the minimum time between two log lines with eventStaleEndpointSend.
const staleSendLogInterval = time.Second

// Log implements decide.Actions. The first word of the line is the event, the rest is fields (key=value) or plain text.
func (x actions) Log(line string) {
	event, rest, _ := strings.Cut(line, " ")
	eventlog.Info(event, append([]any{"source", "decide"}, logFields(rest)...)...)
}

// logFields splits "key=value key=value" into keys and values. Text of any other form becomes the value of the key detail.
func logFields(text string) (fields []any) {
	for word := range strings.FieldsSeq(text) {
		key, value, isField := strings.Cut(word, "=")
		if !isField {
			return []any{"detail", text}
		}
		fields = append(fields, key, value)
	}
	return fields
}

// logStaleSend logs that an attempt is sent with an endpoint list older than the staleness bound: other balancers may already
// have a newer list.
func (s *Sidecar) logStaleSend(now time.Time, request, server string) {
	staleness := s.discovery.Endpoints.Staleness()
	if staleness <= discovery.StalenessBound || now.Sub(s.staleSendLoggedAt) < staleSendLogInterval {
		return
	}
	s.staleSendLoggedAt = now
	eventlog.Warn(eventStaleEndpointSend, nil, "request", request, "server", server, "endpoints_age_ms", staleness.Milliseconds())
}
