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

// Limits of a watch. The service writes a line at least every 2 s, a heartbeat if nothing changed.
const (
	quietTimeout   = 2400 * time.Millisecond // without a line: one heartbeat is missing and the watch is suspect
	silenceTimeout = 4200 * time.Millisecond // without a line: two heartbeats are missing and the watch is broken
	maxUpdateBytes = 4 << 20                 // size of one update
)

// readUpdates calls onUpdate for each update of a watch until the watch ends or is silent for silenceTimeout. It returns
// the reason. An update may span several lines.
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

// heartbeatReader reads the body of a watch and enforces silenceTimeout between complete messages. While an update is
// incomplete the read deadline does not move: neither single bytes nor empty lines within the update extend it.
type heartbeatReader struct {
	conn       net.Conn // connection whose read deadline is set
	body       io.Reader
	midUpdate  bool // an update is incomplete
	updateSize int  // bytes of the incomplete update read so far

	quietTimer  *time.Timer // nil: quiet periods are not reported
	onHeartbeat func()      // nil: heartbeats are not reported
}

// awaitNext restarts both timeouts after a complete message.
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
		return n, fmt.Errorf("%w: an update is larger than %d bytes", errMalformed, maxUpdateBytes)
	}
	return n, err
}
