package upstream

import (
	"io"
	"net"
	"strconv"
	"sync"
	"time"
)

// copyBuffer is the size of the pieces in which a body that is not buffered is forwarded, in bytes.
const copyBuffer = 16 << 10

var (
	copyBuffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}
	crlf        = []byte("\r\n")
)

// write sends the attempt's head and the buffered part of its body. Answered means that all of that was written.
//
// All checks happen under the gate, right before the first byte: a dial may have taken long, and since the decision the
// client may have got its response or left, the lease may have ended, or the server may have been taken off the list.
func (c *conn) write(a *Attempt, mayWrite func() bool) (reason EndReason) {
	reason = NotSent
	a.Gate.ifOpen(func() {
		now := time.Now()
		if a.ctx.Err() != nil || !mayWrite() || !a.LatestStart.IsZero() && !now.Before(a.LatestStart) {
			return
		}
		timeLeft := a.TimeoutAfterBody
		if !a.Deadline.IsZero() {
			timeLeft = a.Deadline.Sub(now)
		}
		parts, size := a.Message.render(timeLeft, a.AuditRef)
		if a.Gate.closeIfDisconnected() {
			return
		}
		switch n, err := parts.WriteTo(c.Conn); {
		case n == size:
			reason = Succeeded
		case err != nil && a.isCancelled():
			reason = NotSent
		default:
			reason = ConnectFailed // the last byte was not written: it never ran
		}
	})
	return reason
}

// writeRemainder sends the part of the body that is not buffered, as it comes, and starts the attempt's timeout at its last
// byte. The gate is passed for each piece, so that closing it waits for one piece at most.
func (c *conn) writeRemainder(a *Attempt) (reason EndReason) {
	buf := copyBuffers.Get().(*[copyBuffer]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := a.Message.Remainder.Read(buf[:])
		if err != nil && err != io.EOF {
			return NotSent // the client broke off
		}
		last := err == io.EOF
		reason = NotSent
		a.Gate.ifOpen(func() {
			reason = c.writePiece(a, buf[:n], last)
		})
		if reason != Succeeded {
			return reason
		}
		if last {
			c.SetWriteDeadline(time.Time{})
			a.expireIn(a.TimeoutAfterBody)
			return Succeeded
		}
	}
}

// writePiece sends one piece of a body.
func (c *conn) writePiece(a *Attempt, piece []byte, last bool) EndReason {
	c.SetWriteDeadline(time.Now().Add(stallTimeout))
	if a.ctx.Err() != nil { // its own deadline may have come before that one
		return NotSent
	}
	parts := EncodeBodyPiece(piece, a.Message.isChunked(), last)
	if _, err := parts.WriteTo(c.Conn); err != nil {
		if a.isCancelled() {
			return NotSent
		}
		return ConnectFailed // the last byte was not written: it never ran
	}
	return Succeeded
}

// EncodeBodyPiece returns the bytes of one piece of a body: as they are, or as a chunk, with the end of the chunked body
// after the last one.
func EncodeBodyPiece(piece []byte, chunked, last bool) (parts net.Buffers) {
	if !chunked {
		return net.Buffers{piece}
	}
	if len(piece) > 0 {
		parts = net.Buffers{strconv.AppendInt(nil, int64(len(piece)), 16), crlf, piece, crlf}
	}
	if last {
		parts = append(parts, []byte("0\r\n\r\n"))
	}
	return parts
}
