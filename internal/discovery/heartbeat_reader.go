package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"
)

// The service writes a line every 2 s at least, a heartbeat where nothing changed.
const (
	quietTimeout   = 2400 * time.Millisecond // one heartbeat missed: the watch is suspect
	silenceTimeout = 4200 * time.Millisecond // two missed: the watch is broken
	maxUpdateBytes = 4 << 20
)

// readUpdates passes on the updates of a watch until it ends or falls silent. An update may span several lines.
func readUpdates(r *heartbeatReader, onUpdate func(*Update)) error {
	for decoder := json.NewDecoder(r); ; {
		var text json.RawMessage
		var syntax *json.SyntaxError
		switch err := decoder.Decode(&text); {
		case errors.As(err, &syntax):
			return fmt.Errorf("%w: %v", errMalformed, err)
		case errors.Is(err, os.ErrDeadlineExceeded):
			return fmt.Errorf("%w: %w", errSilent, err)
		case err != nil:
			return err
		}
		u, err := parseUpdate(text)
		if err != nil {
			return fmt.Errorf("%w: %v", errMalformed, err)
		}
		onUpdate(u)
		r.midUpdate, r.updateSize = false, 0
	}
}

// heartbeatReader reads a watch's body and enforces silenceTimeout between complete messages. Once an update has begun
// the deadline stays where it is until the update is complete: neither single bytes nor heartbeats in its middle move it.
type heartbeatReader struct {
	conn       net.Conn // for the read deadline
	body       io.Reader
	midUpdate  bool // an update has begun
	updateSize int  // bytes of it so far

	quietTimer  *time.Timer // nil: quiet periods are not reported
	onHeartbeat func()      // nil: heartbeats are not reported
}

// awaitNext moves the deadline: the message before is complete.
func (r *heartbeatReader) awaitNext() {
	r.conn.SetReadDeadline(time.Now().Add(silenceTimeout))
	if r.quietTimer != nil {
		r.quietTimer.Reset(quietTimeout)
	}
}

// Read implements io.Reader.
func (r *heartbeatReader) Read(p []byte) (n int, err error) {
	if !r.midUpdate {
		r.awaitNext()
	}
	n, err = r.body.Read(p)
	switch {
	case len(bytes.TrimSpace(p[:n])) > 0:
		r.midUpdate = true
	case !r.midUpdate && r.onHeartbeat != nil && bytes.IndexByte(p[:n], '\n') >= 0:
		r.onHeartbeat()
	}
	if r.midUpdate {
		r.updateSize += n
	}
	if r.updateSize > maxUpdateBytes {
		return n, fmt.Errorf("%w: over %d bytes", errMalformed, maxUpdateBytes)
	}
	return n, err
}
