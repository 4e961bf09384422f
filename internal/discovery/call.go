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
	dialTimeout = time.Second
	headMost    = 12 * time.Second        // after which a call with no head is given up
	quiet       = 2400 * time.Millisecond // a watch sends a line each 2 s at least: one that has missed one is suspect
	silence     = 4200 * time.Millisecond // and one that has missed two is broken
	maxList     = 4 << 20                 // bytes of one list
)

var (
	errGarbage = errors.New("discovery sent what is no list")
	errSilent  = errors.New("the watch fell silent")
	errOlder   = errors.New("discovery sent a list older than the one in force")
)

// call is one call for a watch, and what is done as it comes. None of the functions may be nil.
type call struct {
	addr  string
	from  int64         // the version last seen, -1: the whole list is asked for
	dial  time.Duration // bounds the connect
	head  time.Duration // and, from there, the answer's head
	quiet func()        // nothing whole has come for a while
	line  func()        // an empty line has come
	take  func(*Update)
}

// watch holds the watch open, and returns why it ended.
func (c *call) watch(ctx context.Context) error {
	dialer := net.Dialer{Timeout: c.dial}
	conn, err := dialer.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(time.Now().Add(c.head))
	if err := c.ask(conn); err != nil {
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
	b := &beats{conn: conn, from: body, line: c.line, idle: time.AfterFunc(quiet, c.quiet)}
	defer b.idle.Stop()
	return lists(b, c.take)
}

// ask writes the request.
func (c *call) ask(conn net.Conn) error {
	target := "/registry/instances?watch=1"
	if c.from >= 0 {
		target += "&from=" + strconv.FormatInt(c.from, 10)
	}
	_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, c.addr)
	return err
}

// lists hands on the lists of a watch until it ends or falls silent. A list may stand on one line or on several.
func lists(b *beats, take func(*Update)) error {
	for dec := json.NewDecoder(b); ; {
		var text json.RawMessage
		var wrong *json.SyntaxError
		switch err := dec.Decode(&text); {
		case errors.As(err, &wrong):
			return fmt.Errorf("%w: %v", errGarbage, err)
		case errors.Is(err, os.ErrDeadlineExceeded):
			return fmt.Errorf("%w: %w", errSilent, err)
		case err != nil:
			return err
		}
		l, err := parseList(text)
		if err != nil {
			return fmt.Errorf("%w: %v", errGarbage, err)
		}
		take(l)
		b.within, b.size = false, 0
	}
}

// beats reads a watch, as long as something comes now and then. Guards against a list that stops in its middle while its
// connection, and perhaps the empty lines, go on: once begun it has to come whole within the time for silence.
type beats struct {
	conn   net.Conn
	from   io.Reader
	within bool // a list has begun
	size   int  // of what has come of it

	idle *time.Timer // runs out where nothing whole comes; nil: nobody wants to know
	line func()      // an empty line has come; nil likewise
}

// rest waits for the next line: the one before is whole.
func (b *beats) rest() {
	b.conn.SetReadDeadline(time.Now().Add(silence))
	if b.idle != nil {
		b.idle.Reset(quiet)
	}
}

func (b *beats) Read(p []byte) (n int, err error) {
	if !b.within {
		b.rest()
	}
	n, err = b.from.Read(p)
	switch {
	case len(bytes.TrimSpace(p[:n])) > 0:
		b.within = true
	case !b.within && b.line != nil && bytes.IndexByte(p[:n], '\n') >= 0:
		b.line()
	}
	if b.within {
		b.size += n
	}
	if b.size > maxList {
		return n, fmt.Errorf("%w: one over %d bytes", errGarbage, maxList)
	}
	return n, err
}
