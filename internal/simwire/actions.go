package simwire

import (
	"bufio"
	"encoding/hex"
)

// replyWriter writes the actions of all instances into the reply of the present batch.
type replyWriter struct {
	w        *bufio.Writer
	buf      []byte // of the present line; reused
	instance int64  // that the reply named last; noInstance: none yet
}

// endReply ends the reply and sends it.
func (w *replyWriter) endReply() error {
	w.w.WriteString(wordReplyEnd + "\n")
	return w.w.Flush()
}

// actions are decide.Actions of one instance: each writes a line of the reply.
type actions struct {
	out *replyWriter
	id  int64 // of the instance
}

// start begins a line with its word and a separator, after a line that names the instance if the last action was of another.
func (a actions) start(word string) []byte {
	b := a.out.buf[:0]
	if a.out.instance != a.id {
		a.out.instance = a.id
		b = append(append(b, wordOnBehalf...), fieldSeparator)
		b = append(appendInt(b, a.id), '\n')
	}
	return append(append(b, word...), fieldSeparator)
}

// end writes the line that start began.
func (a actions) end(b []byte) {
	b = append(b, '\n')
	a.out.buf = b
	a.out.w.Write(b)
}

// SendAttempt asks for an attempt of a request at a server, with a timeout in µs.
func (a actions) SendAttempt(request, server string, timeout int64) {
	b := append(append(a.start(wordSendAttempt), request...), fieldSeparator)
	b = append(append(b, server...), fieldSeparator)
	a.end(appendInt(b, timeout))
}

// CancelAttempt takes an attempt back.
func (a actions) CancelAttempt(request string, attempt int) {
	b := append(append(a.start(wordCancelAttempt), request...), fieldSeparator)
	a.end(appendInt(b, int64(attempt)))
}

// Reject answers a request that nothing was sent for; the client may retry after so many µs.
func (a actions) Reject(request string, retryAfter int64) {
	b := append(append(a.start(wordReject), request...), fieldSeparator)
	a.end(appendInt(b, retryAfter))
}

// Fail answers a request as failed.
func (a actions) Fail(request string) { a.end(append(a.start(wordFail), request...)) }

// CheckHealth asks for a health check of a server.
func (a actions) CheckHealth(server string) { a.end(append(a.start(wordCheckHealth), server...)) }

// CloseIdleConnections closes idle connections to a server.
func (a actions) CloseIdleConnections(server string) {
	a.end(append(a.start(wordCloseIdleConnections), server...))
}

// SendGossip sends a message to a peer; a negative peer: to all.
func (a actions) SendGossip(peer int, payload []byte) {
	b := a.start(wordSendGossip)
	if peer < 0 {
		b = append(b, wordAllPeers)
	} else {
		b = appendInt(b, int64(peer))
	}
	a.end(hex.AppendEncode(append(b, fieldSeparator), payload))
}

// WatchEndpoints starts or stops a watch of the endpoint list.
func (a actions) WatchEndpoints(on bool) {
	if on {
		a.end(append(a.start(wordWatchEndpoints), '1'))
	} else {
		a.end(append(a.start(wordWatchEndpoints), '0'))
	}
}

// SetTimer sets a timer, in µs from now.
func (a actions) SetTimer(in, token int64) {
	b := append(appendInt(a.start(wordSetTimer), in), fieldSeparator)
	a.end(appendInt(b, token))
}

// Log writes a line to the simulator's log.
func (a actions) Log(line string) { a.end(append(a.start(wordLog), line...)) }
