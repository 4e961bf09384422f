package upstream

import (
	"errors"
	"io"
	"net"
	"runtime"
	"strconv"
	"sync"
	"time"

	"damsonscale/internal/eventlog"
	"damsonscale/internal/stallwriter"
)

// eventServerStalled is the name of a log event.
const eventServerStalled = "server_stalled"

// copyBufferBytes is the size of the pieces in which a streamed request body is forwarded.
const copyBufferBytes = 16 << 10

var (
	copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}
	crlf        = []byte("\r\n")
)

// write sends the request head and the buffered part of the body. It returns stepDone if all of that was written.
//
// All checks are made under the gate, right before the first byte. During a long dial the client may have received its
// response or have disconnected, the lease may have ended, or the server may have been removed from the endpoint list.
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
		switch n, err := c.writeHead(a, parts); {
		case n == size:
			reason = stepDone
		case err != nil && a.isCancelled():
			reason = NotSent
		default:
			reason = ConnectFailed // the last byte was not written: the server can't have executed the request
		}
	})
	return reason
}

// writeHead writes the head and the buffered part of the body. A request that is not buffered completely has no deadline yet,
// so it fails if the server takes nothing.
func (c *conn) writeHead(a *Attempt, parts net.Buffers) (int64, error) {
	if !a.Deadline.IsZero() {
		return parts.WriteTo(c.Conn)
	}
	n, err := newWriter(c.Conn, a).WriteBuffers(&parts)
	a.logStall(err)
	return n, err
}

// newWriter returns a writer that gives the server up after the shortest silence: a request that waits for a hung server gets
// its answer late, while one that is given up gets an answer.
func newWriter(server net.Conn, a *Attempt) *stallwriter.Writer {
	return stallwriter.New(server, stallwriter.StallTimeout, func() bool { return a.ctx.Err() != nil })
}

// logStall logs that the server has stalled if err says so.
func (a *Attempt) logStall(err error) {
	var stall *stallwriter.StallError
	if errors.As(err, &stall) {
		eventlog.Warn(eventServerStalled, nil, "server", a.Host, "silent_ms", stall.Silence.Milliseconds(), "queued_bytes", stall.Progress.QueuedBytes)
	}
}

// writeRemainder streams the part of the body that is not buffered, and starts the attempt's timeout after the last byte.
// It holds the gate for one piece at a time, so that closing the gate waits for at most one piece.
func (c *conn) writeRemainder(a *Attempt) (reason EndReason) {
	buf := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buf)
	writer := newWriter(c.Conn, a)
	for {
		n, err := a.Message.Remainder.Read(buf[:])
		if err != nil && err != io.EOF {
			return NotSent // the client did not send the complete body
		}
		last := err == io.EOF
		reason = NotSent
		a.Gate.ifOpen(func() {
			reason = writePiece(writer, a, buf[:n], last)
		})
		runtime.Gosched() // neither the read nor the write may have waited
		if reason != stepDone {
			return reason
		}
		if last {
			c.SetWriteDeadline(time.Time{})
			a.expireIn(a.TimeoutAfterBody)
			return stepDone
		}
	}
}

// writePiece sends one piece of the request body.
func writePiece(writer *stallwriter.Writer, a *Attempt, piece []byte, last bool) EndReason {
	parts := EncodeBodyPiece(piece, a.Message.isChunked(), last)
	_, err := writer.WriteBuffers(&parts)
	switch {
	case err == nil:
		return stepDone
	case a.isCancelled():
		return NotSent
	}
	a.logStall(err)
	return ConnectFailed // the last byte was not written: the server can't have executed the request
}

// EncodeBodyPiece returns the encoding of one piece of a body. If chunked, the piece becomes a chunk, and the last piece
// is followed by the end of the chunked body.
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
