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

	addr string
	to   Listener
	box  chan func()
	asks chan bool
	seq  int64
	now  *subscription // the watch at addr; nil: none
	left *subscription // one at the address before, until the new one speaks; nil: none
}

// subscription is one watch; a word of one that has been stopped is not taken.
type subscription struct {
	ctx  context.Context
	stop context.CancelFunc
}

func newSubscription() *subscription {
	s := &subscription{}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// New makes the actor with the list as last known, which may be nil.
func New(addr string, known *List, to Listener) *Client {
	c := &Client{
		Roster: &Roster{}, addr: addr, to: to, seq: -1,
		box: make(chan func(), mailbox), asks: make(chan bool, 1),
	}
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
			c.ask(on)
		}
	}
}

// ask begins a watch where none is held, or stops. Guards against an ask that was due when the address changed.
func (c *Client) ask(on bool) {
	if !on {
		c.stop()
	} else if c.now == nil {
		c.start()
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

// Move goes on with the list at another address. The list stays as it is until that one speaks.
func (c *Client) Move(addr string) { c.box <- func() { c.move(addr) } }

// move asks at the new address at once and listens to the old one until it ends or the new one speaks. Version
// numbers of one service mean nothing to another, so the whole list is asked for.
func (c *Client) move(addr string) {
	if addr == c.addr {
		return
	}
	c.addr, c.seq = addr, -1
	if c.now != nil {
		c.left.end()
		c.left = c.now
	}
	c.start()
}

func (c *Client) stop() {
	c.now.end()
	c.left.end()
	c.now, c.left = nil, nil
}

func (s *subscription) end() {
	if s != nil {
		s.stop()
	}
}

func (c *Client) start() {
	s := newSubscription()
	c.now = s
	addr, from := c.addr, c.seq
	go func() {
		err := watch(s.ctx, addr, from, func(l *List) { c.post(s, func() { c.take(s, l) }) })
		c.post(s, func() { c.failed(s, err) })
	}()
}

// post hands the actor a word of a watch, unless that watch has been stopped.
func (c *Client) post(s *subscription, f func()) {
	select {
	case c.box <- f:
	case <-s.ctx.Done():
	}
}

func (c *Client) take(s *subscription, l *List) {
	switch s {
	case c.now:
		c.left.end()
		c.left, c.seq = nil, l.Seq
	case c.left:
	default:
		return
	}
	c.Roster.apply(l)
	c.to.Listed(l)
}

func (c *Client) failed(s *subscription, err error) {
	s.end()
	switch s {
	case c.left:
		c.left = nil
	case c.now:
		log.Printf("event=watch_ended discovery=%s err=%q", c.addr, err)
		c.now = nil
		if errors.Is(err, errGarbage) {
			c.seq = -1 // what it meant to say is lost: ask for the whole list
		}
		c.to.ListFailed()
	}
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
