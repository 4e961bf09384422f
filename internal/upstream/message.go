package upstream

import (
	"net"
	"strconv"
	"time"

	"damsonscale/internal/auditevent"
)

// DeadlineHeader tells a server how long the sidecar will wait, in ms.
const DeadlineHeader = "Req-Deadline-Ms"

// Message is a request as it is forwarded: its bytes as they came, but for the fields that the sidecar sets.
type Message struct {
	Head      []byte         // request line and headers, without the empty line and without DeadlineHeader
	Body      []byte         // the buffered part of the body
	Remainder *BodyRemainder // the part that is not buffered; nil: Body is all of it
}

// isChunked reports whether the body is forwarded in chunks.
func (m *Message) isChunked() bool { return m.Remainder != nil && m.Remainder.BodyLength < 0 }

// render returns the bytes of one attempt up to the end of the buffered body, and their number. The body is not copied.
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
