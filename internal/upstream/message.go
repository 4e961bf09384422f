package upstream

import (
	"net"
	"strconv"
	"time"

	"damsonscale/internal/auditevent"
)

// DeadlineHeader is the request header with the time, in ms, for which the sender waits for the response.
const DeadlineHeader = "Req-Deadline-Ms"

// Message is a forwarded request. Its bytes are those of the client's request, except for headers that the sidecar sets.
type Message struct {
	Head      []byte         // request line and headers, without DeadlineHeader and the empty line at the end
	Body      []byte         // buffered part of the body
	Remainder *BodyRemainder // part of the body that is not buffered; nil if Body is complete
}

// isChunked reports whether the body is forwarded in chunks.
func (m *Message) isChunked() bool { return m.Remainder != nil && m.Remainder.BodyLength < 0 }

// render returns the bytes that an attempt sends, up to the end of the buffered body, and their number. It does not copy
// the body.
func (m *Message) render(timeLeft time.Duration, auditRef []byte) (parts net.Buffers, size int64) {
	head := make([]byte, 0, len(m.Head)+len(auditRef)+64)
	head = append(append(head, m.Head...), DeadlineHeader+": "...)
	head = strconv.AppendInt(head, max(1, timeLeft.Milliseconds()), 10)
	if len(auditRef) > 0 {
		head = append(append(head, "\r\n"+auditevent.RefHeader+": "...), auditRef...)
	}
	head = append(head, "\r\n\r\n"...)
	if m.isChunked() && len(m.Body) > 0 {
		head = append(strconv.AppendInt(head, int64(len(m.Body)), 16), "\r\n"...)
		return net.Buffers{head, m.Body, []byte("\r\n")}, int64(len(head) + len(m.Body) + 2)
	}
	return net.Buffers{head, m.Body}, int64(len(head) + len(m.Body))
}
