package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	dialTimeout = time.Second
	maxHeadWait = 12 * time.Second // from the connection to the end of the response's head
)

var (
	errMalformed = errors.New("malformed endpoint list")
	errSilent    = errors.New("no heartbeat on the watch")
	errStale     = errors.New("endpoint list older than the one applied")
)

// watchCall is one request for a watch. Its callbacks run on the goroutine of run; none may be nil.
type watchCall struct {
	addr        string
	fromSeq     int64         // the last sequence number seen; -1 requests the full list
	dialTimeout time.Duration // limit for the connection
	headTimeout time.Duration // limit from there to the end of the response's head
	onQuiet     func()        // no heartbeat or update for quietTimeout
	onHeartbeat func()        // an empty line
	onUpdate    func(*Update)
}

// run opens the watch, reads it until it ends, and returns why.
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
	reader := &heartbeatReader{conn: conn, body: body, onHeartbeat: c.onHeartbeat, quietTimer: time.AfterFunc(quietTimeout, c.onQuiet)}
	defer reader.quietTimer.Stop()
	return readUpdates(reader, c.onUpdate)
}

func (c *watchCall) sendRequest(conn net.Conn) error {
	target := "/registry/instances?watch=1"
	if c.fromSeq >= 0 {
		target += "&from=" + strconv.FormatInt(c.fromSeq, 10)
	}
	_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, c.addr)
	return err
}
