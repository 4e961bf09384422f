package discovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"os"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	dialTimeout    = time.Second
	maxHeadWait    = 12 * time.Second        // after which a call with no head is given up
	quietTimeout   = 2400 * time.Millisecond // a watch sends a line each 2 s at least: one that has missed one is suspect
	silenceTimeout = 4200 * time.Millisecond // and one that has missed two is broken
	maxUpdateBytes = 4 << 20                 // bytes of one list
)

var (
	errMalformed = errors.New("discovery sent what is no list")
	errSilent    = errors.New("the watch fell silent")
	errStale     = errors.New("discovery sent a list older than the one in force")
)

// watchCall is one call for a watch, and what is done as it comes. None of the functions may be nil.
type watchCall struct {
	addr        string
	fromSeq     int64         // the version last seen, -1: the whole list is asked for
	dialTimeout time.Duration // bounds the connect
	headTimeout time.Duration // and, from there, the answer's head
	onQuiet     func()        // nothing whole has come for a while
	onHeartbeat func()        // an empty line has come
	onUpdate    func(*Update)
}

// run holds the watch open, and returns why it ended.
func (c *watchCall) run(ctx context.Context) error {
	dialer := net.Dialer{Timeout: c.dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(time.Now().Add(c.headTimeout))
	if err := c.sendRequest(conn); err != nil {
		return err
	}
	br := bufio.NewReaderSize(conn, 16<<10)
	var head fasthttp.ResponseHeader
	if err := head.Read(br); err != nil {
		return err
	}
	if head.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("discovery answered %d", head.StatusCode())
	}
	body := io.Reader(br)
	if head.ContentLength() == -1 {
		body = httputil.NewChunkedReader(br)
	}
	b := &heartbeatReader{conn: conn, body: body, onHeartbeat: c.onHeartbeat, quietTimer: time.AfterFunc(quietTimeout, c.onQuiet)}
	defer b.quietTimer.Stop()
	return readUpdates(b, c.onUpdate)
}

// sendRequest writes the request.
func (c *watchCall) sendRequest(conn net.Conn) error {
	target := "/registry/instances?watch=1"
	if c.fromSeq >= 0 {
		target += "&from=" + strconv.FormatInt(c.fromSeq, 10)
	}
	_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, c.addr)
	return err
}

// readUpdates hands on the lists of a watch until it ends or falls silent. A list may stand on one line or on several.
func readUpdates(b *heartbeatReader, take func(*Update)) error {
	for dec := json.NewDecoder(b); ; {
		var text json.RawMessage
		var wrong *json.SyntaxError
		switch err := dec.Decode(&text); {
		case errors.As(err, &wrong):
			return fmt.Errorf("%w: %v", errMalformed, err)
		case errors.Is(err, os.ErrDeadlineExceeded):
			return fmt.Errorf("%w: %w", errSilent, err)
		case err != nil:
			return err
		}
		l, err := parseUpdate(text)
		if err != nil {
			return fmt.Errorf("%w: %v", errMalformed, err)
		}
		take(l)
		b.midUpdate, b.updateSize = false, 0
	}
}

// heartbeatReader reads a watch, as long as something comes now and then. Guards against a list that stops in its middle while its
// connection, and perhaps the empty lines, go on: once begun it has to come whole within the time for silence.
type heartbeatReader struct {
	conn       net.Conn
	body       io.Reader
	midUpdate  bool // a list has begun
	updateSize int  // of what has come of it

	quietTimer  *time.Timer // runs out where nothing whole comes; nil: nobody wants to know
	onHeartbeat func()      // an empty line has come; nil likewise
}

// awaitNext waits for the next line: the one before is whole.
func (b *heartbeatReader) awaitNext() {
	b.conn.SetReadDeadline(time.Now().Add(silenceTimeout))
	if b.quietTimer != nil {
		b.quietTimer.Reset(quietTimeout)
	}
}

func (b *heartbeatReader) Read(p []byte) (n int, err error) {
	if !b.midUpdate {
		b.awaitNext()
	}
	n, err = b.body.Read(p)
	switch {
	case len(bytes.TrimSpace(p[:n])) > 0:
		b.midUpdate = true
	case !b.midUpdate && b.onHeartbeat != nil && bytes.IndexByte(p[:n], '\n') >= 0:
		b.onHeartbeat()
	}
	if b.midUpdate {
		b.updateSize += n
	}
	if b.updateSize > maxUpdateBytes {
		return n, fmt.Errorf("%w: one over %d bytes", errMalformed, maxUpdateBytes)
	}
	return n, err
}
