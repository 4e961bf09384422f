package discovery

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http/httputil"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	dialTimeout = time.Second
	callTimeout = 2500 * time.Millisecond // a call that has not begun its answer by then has failed
	silence     = 4500 * time.Millisecond // a watch sends a line each 2 s at least: one that misses two is broken
	maxLine     = 4 << 20                 // bytes of one list
	mailbox     = 64
)

// Listener is told of the list. Its methods may block; the list's actor then waits.
type Listener interface {
	Listed(*List)
	ListFailed()
}

// Client is the list's actor: it owns the watch and the roster. The reader of a watch posts to its mailbox and
// waits for room; of asks it holds one, and a newer one takes the older one's place.
type Client struct {
	Roster *Roster

	addr   string
	to     Listener
	box    chan func()
	asks   chan bool
	seq    int64
	round  int // numbers the watches, so that a late word of an old one is known
	cancel context.CancelFunc
}

// New makes the actor with the list as last known, which may be nil.
func New(addr string, known *List, to Listener) *Client {
	c := &Client{Roster: &Roster{}, addr: addr, to: to, box: make(chan func(), mailbox), asks: make(chan bool, 1), seq: -1}
	if known != nil && len(known.Hosts) > 0 {
		c.seq = known.Seq
		c.Roster.Replace(known)
	}
	return c
}

// Run serves the mailbox until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			c.stop()
			return
		case f := <-c.box:
			f()
		case on := <-c.asks:
			c.stop()
			if on {
				c.start()
			}
		}
	}
}

// Watch asks for changes from now on, or stops asking. It never blocks; only one goroutine may call it.
func (c *Client) Watch(on bool) {
	select {
	case <-c.asks:
	default:
	}
	c.asks <- on
}

func (c *Client) stop() {
	if c.cancel != nil {
		c.cancel()
		c.cancel = nil
	}
	c.round++
}

func (c *Client) start() {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	round, from := c.round, c.seq
	go func() {
		err := watch(ctx, c.addr, from, func(l *List) { c.post(ctx, func() { c.take(round, l) }) })
		c.post(ctx, func() { c.failed(round, err) })
	}()
}

// post hands the actor a word of a watch, unless that watch has been stopped.
func (c *Client) post(ctx context.Context, f func()) {
	select {
	case c.box <- f:
	case <-ctx.Done():
	}
}

func (c *Client) take(round int, l *List) {
	if round != c.round {
		return
	}
	c.seq = l.Seq
	c.Roster.apply(l)
	c.to.Listed(l)
}

func (c *Client) failed(round int, err error) {
	if round != c.round {
		return
	}
	log.Printf("event=watch_ended err=%q", err)
	if errors.Is(err, errGarbage) {
		c.seq = -1 // what it meant to say is lost: ask for the whole list
	}
	c.stop()
	c.to.ListFailed()
}

var errGarbage = errors.New("discovery sent what is no list")

// watch holds one watch open, handing each list to take, and returns why it ended.
func watch(ctx context.Context, addr string, from int64, take func(*List)) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(time.Now().Add(callTimeout))
	target := "/registry/instances?watch=1"
	if from >= 0 {
		target += "&from=" + strconv.FormatInt(from, 10)
	}
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, addr); err != nil {
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
	return lines(conn, bufio.NewReaderSize(body, 16<<10), take)
}

// lines reads the lists of a watch, one a line, until it ends or falls silent.
func lines(conn net.Conn, r *bufio.Reader, take func(*List)) error {
	var long []byte
	for {
		conn.SetReadDeadline(time.Now().Add(silence))
		part, err := r.ReadSlice('\n')
		if err == bufio.ErrBufferFull || err == nil {
			long = append(long, part...)
		}
		switch {
		case len(long) > maxLine:
			return fmt.Errorf("%w: a line over %d bytes", errGarbage, maxLine)
		case err == bufio.ErrBufferFull:
			continue
		case err != nil:
			return err
		}
		if line := bytes.TrimSpace(long); len(line) > 0 {
			l, err := parseList(line)
			if err != nil {
				return fmt.Errorf("%w: %v", errGarbage, err)
			}
			take(l)
		}
		long = long[:0]
	}
}
