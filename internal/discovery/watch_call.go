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
	dialTimeout = time.Second      // time limit for connecting to the discovery service
	maxHeadWait = 12 * time.Second // time limit from the established connection to the end of the response's header
)

var (
	errMalformed = errors.New("malformed endpoint list")
	errSilent    = errors.New("no complete update and no heartbeat on the watch in time")
	errStale     = errors.New("endpoint list is older than the list in force")
)

// watchCall is an HTTP request that opens a watch. onHeartbeat and onUpdate run on the goroutine of run, onQuiet on a
// goroutine of its own; none of them may be nil.
type watchCall struct {
	addr        string
	fromSeq     int64         // last sequence number received; -1: request the full list
	dialTimeout time.Duration // time limit for connecting
	headTimeout time.Duration // time limit from the established connection to the end of the response's header
	onQuiet     func()        // called after quietTimeout without a heartbeat or update
	onHeartbeat func()        // called for each empty line outside an update
	onUpdate    func(*Update)
}

// run opens the watch, reads it until it ends, and returns the cause of its end.
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
		return fmt.Errorf("discovery service responded with status %d, want 200", head.StatusCode())
	}
	body := io.Reader(br)
	if head.ContentLength() == -1 {
		body = httputil.NewChunkedReader(br)
	}
	reader := &heartbeatReader{conn: conn, body: body, onHeartbeat: c.onHeartbeat, quietTimer: time.AfterFunc(quietTimeout, c.onQuiet)}
	defer reader.quietTimer.Stop()
	return readUpdates(reader, c.onUpdate)
}

// sendRequest writes the HTTP request to the connection.
func (c *watchCall) sendRequest(conn net.Conn) error {
	target := "/registry/instances?watch=1"
	if c.fromSeq >= 0 {
		target += "&from=" + strconv.FormatInt(c.fromSeq, 10)
	}
	_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, c.addr)
	return err
}
