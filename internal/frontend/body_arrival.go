package frontend

import (
	"bytes"
	"time"

	"damsonscale/internal/memory"
	"damsonscale/internal/socket"
	"damsonscale/internal/upstream"
)

const (
	// arrivalPollInterval is the time between looks for the end of a body among the bytes that have not been read.
	arrivalPollInterval = 10 * time.Millisecond

	// maxWaitingBytes is how much of a body the system may hold unread beyond the account of receive buffers.
	maxWaitingBytes = 2 << 20

	firstWaitingBytes = 8 << 20 // size of the receive buffer for a streamed body

	// receiveBufferBudget is the size of all receive buffers for streamed bodies. The memory is the system's, not the process's.
	receiveBufferBudget = 64 << 20

	// trailerTailBytes is how much of the end of a chunked body is looked at for its last chunk.
	trailerTailBytes = 1 << 10
)

// watchBodyArrival marks a body as arrived once its last byte is in the system's receive buffer. A client's time counts from then
// on. It returns when the body has arrived or its reading has ended.
func (c *clientConn) watchBodyArrival(body *upstream.BodyRemainder) {
	probe := arrivalProbe{conn: c, buffer: receiveBuffer{conn: c, reservation: c.frontend.receiveBuffers.NewReservation()}}
	defer probe.buffer.release()
	probe.buffer.grow(min(firstWaitingBytes, bytesToCome(c.bodyLeft.Load())))
	tick := time.NewTicker(arrivalPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-body.Done():
			return
		case <-tick.C:
		}
		if probe.bodyHasArrived() {
			body.MarkArrived(time.Now().Add(-arrivalPollInterval))
			return
		}
	}
}

// bytesToCome returns the most that may come of a body of which left bytes, or an unknown number, have not been read.
func bytesToCome(left int64) int64 {
	if left == lengthUnknown {
		return maxBodyBytes
	}
	return left
}

// arrivalProbe looks for the end of one body.
type arrivalProbe struct {
	conn   *clientConn
	buffer receiveBuffer
	came   int64 // bytes that had come at the last look, read or not
	peeked int64 // bytes that had come when their end was last looked at
}

// bodyHasArrived reports whether no byte of the body is still to come.
func (p *arrivalProbe) bodyHasArrived() bool {
	left := p.conn.bodyLeft.Load() // before the unread bytes are counted: bytes that are read in between then seem missing
	ahead := p.conn.aheadBytes.Load()
	queued := int64(socket.UnreadBytes(p.conn.Conn))
	if left >= 0 && queued+ahead >= left {
		return true
	}
	came := p.conn.bytesRead.Load() + queued
	paused := came == p.came
	p.came = came
	if queued >= p.buffer.size/2 { // the rest may wait at the client, which has written all of it
		p.buffer.grow(min(2*p.buffer.size, queued+bytesToCome(left)))
	}
	if left >= 0 || !paused || queued == 0 || came == p.peeked {
		return false
	}
	p.peeked = came
	return endsChunkedBody(socket.PeekTail(p.conn.Conn, int(queued), trailerTailBytes))
}

// receiveBuffer is the system's receive buffer of a connection.
type receiveBuffer struct {
	conn        *clientConn
	size        int64 // bytes that it has been given room for
	reservation *memory.Reservation
}

// grow gives the buffer room for size bytes, or for maxWaitingBytes if the budget has less left.
func (b *receiveBuffer) grow(size int64) {
	if more := size - max(b.size, maxWaitingBytes); more > 0 && !b.reservation.Grow(more) {
		size = maxWaitingBytes
	}
	if size <= b.size {
		return
	}
	b.size = size
	socket.GrowReceiveBuffer(b.conn.Conn, int(size))
	socket.UpdateWindow(b.conn.Conn)
}

// release returns the buffer's bytes to the budget: its connection's next body gets a buffer of its own.
func (b *receiveBuffer) release() { b.reservation.Release() }

var (
	chunkLineEnd = []byte("\r\n")
	lastChunk    = []byte("\r\n0\r\n")
	trailersEnd  = []byte("\r\n\r\n")
)

// endsChunkedBody reports whether the last unread bytes of a chunked body are its end: the last chunk and trailers. The last chunk
// may be all that is unread.
func endsChunkedBody(tail []byte) bool {
	if !bytes.HasSuffix(tail, trailersEnd) {
		return false
	}
	trailers := tail[len(lastChunk)-len(chunkLineEnd):]
	if !bytes.HasPrefix(tail, lastChunk[len(chunkLineEnd):]) {
		i := bytes.LastIndex(tail, lastChunk)
		if i < 0 {
			return false
		}
		trailers = tail[i+len(lastChunk):]
	}
	for line := range bytes.SplitSeq(bytes.TrimSuffix(trailers, chunkLineEnd), chunkLineEnd) {
		if len(line) > 0 && bytes.IndexByte(line, ':') < 1 {
			return false
		}
	}
	return true
}
