package simwire

import (
	"bufio"
	"encoding/hex"
)

// replyWriter writes the actions of all instances into the reply to the current batch.
type replyWriter struct {
	w        *bufio.Writer
	buf      []byte // current line; reused
	instance int64  // last instance that the reply has named; noInstance: none yet
}

// endReply ends and flushes the reply.
func (w *replyWriter) endReply() error {
	w.w.WriteString(wordReplyEnd + "\n")
	return w.w.Flush()
}

// actions implements decide.Actions for an instance. Each action writes a line of the reply.
type actions struct {
	out *replyWriter
	id  int64 // number of the instance
}

// start begins a line with a keyword and a separator. If the previous action in the reply is of another instance, start
// first writes a line that names this instance.
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

// SendAttempt sends an attempt of a request to a server, with a timeout in µs.
func (a actions) SendAttempt(request, server string, timeout int64) {
	b := append(append(a.start(wordSendAttempt), request...), fieldSeparator)
	b = append(append(b, server...), fieldSeparator)
	a.end(appendInt(b, timeout))
}

// CancelAttempt cancels an attempt of a request.
func (a actions) CancelAttempt(request string, attempt int) {
	b := append(append(a.start(wordCancelAttempt), request...), fieldSeparator)
	a.end(appendInt(b, int64(attempt)))
}

// Reject rejects a request that the client can safely send again. retryAfter is the delay of the retry in µs; 0 means that
// the rejection has no delay.
func (a actions) Reject(request string, retryAfter int64) {
	b := append(append(a.start(wordReject), request...), fieldSeparator)
	a.end(appendInt(b, retryAfter))
}

// Fail fails a request.
func (a actions) Fail(request string) { a.end(append(a.start(wordFail), request...)) }

// CheckHealth sends a health check to a server.
func (a actions) CheckHealth(server string) { a.end(append(a.start(wordCheckHealth), server...)) }

// CloseIdleConnections closes idle connections to a server.
func (a actions) CloseIdleConnections(server string) {
	a.end(append(a.start(wordCloseIdleConnections), server...))
}

// SendGossip sends a message to another balancer, or to all others if peer is negative.
func (a actions) SendGossip(peer int, payload []byte) {
	b := a.start(wordSendGossip)
	if peer < 0 {
		b = append(b, wordAllPeers)
	} else {
		b = appendInt(b, int64(peer))
	}
	a.end(hex.AppendEncode(append(b, fieldSeparator), payload))
}

// WatchEndpoints starts or stops watching the endpoint list.
func (a actions) WatchEndpoints(on bool) {
	if on {
		a.end(append(a.start(wordWatchEndpoints), '1'))
	} else {
		a.end(append(a.start(wordWatchEndpoints), '0'))
	}
}

// SetTimer sets a timer that expires after a delay in µs. The event of the expiry has the token.
func (a actions) SetTimer(delay, token int64) {
	b := append(appendInt(a.start(wordSetTimer), delay), fieldSeparator)
	a.end(appendInt(b, token))
}

// Log writes a line to the simulator's log.
func (a actions) Log(line string) { a.end(append(a.start(wordLog), line...)) }
