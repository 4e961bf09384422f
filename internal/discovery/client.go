package discovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http/httputil"
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	dialTimeout = time.Second
	callTimeout = 2500 * time.Millisecond // a call that has not begun its answer by then is overdue: another is due
	callMost    = 12 * time.Second        // and is given up then
	lateMost    = 2                       // overdue calls that are waited for beside the next
	quiet       = 3 * time.Second         // a watch sends a line each 2 s at least: one that has missed one is suspect
	silence     = 4200 * time.Millisecond // and one that has missed two is broken
	anew        = 2 * time.Second         // within which a suspect one is opened anew: what it misses counts 6 s after its end
	maxList     = 4 << 20                 // bytes of one list
	mailbox     = 64

	// A list that is pushed comes from an agent beside this process: it answers at once or not at all, and what it has
	// counts as told from the first moment. It is asked anew soon, and what was known before serves only where it is silent.
	agentTimeout = 600 * time.Millisecond // of a call, twice that after one that failed
	agentEvery   = 200 * time.Millisecond // half to all of it between two, twice that after one that failed
	agentFirst   = 300 * time.Millisecond
)

// StalenessBound is the time after which a change counts as told, from when discovery had it and could be reached.
const StalenessBound = 6 * time.Second

// Listener is told of the list. Its methods may block; the list's actor then waits.
type Listener interface {
	Listed(*List)

	// ListFailed tells that a call failed, or is overdue, with no answer for so long, or that a watch broke: 0.
	ListFailed(waited time.Duration)
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
	now  *subscription   // the watch at addr; nil: none
	left *subscription   // one at the address before, or a suspect one, until the new one speaks; nil: none
	late []*subscription // overdue calls, oldest first, heard beside now

	pushed bool  // the watch is held open by this actor, not asked for
	known  *List // to go by while the agent says nothing; nil: none
	failed bool  // the latest watch

	silent *subscription // fell silent, and is to be opened anew

	calls int // begun so far
	lines journal
}

// subscription is one watch; a word of one that has been stopped is not taken.
type subscription struct {
	ctx    context.Context
	stop   context.CancelFunc
	addr   string
	number int // of the calls of this process
	begun  time.Time
	opened bool // its answer has begun
	due    bool // it is to be opened anew

	heard atomic.Int64 // times that something came
}

func newSubscription() *subscription {
	s := &subscription{begun: time.Now()}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// New makes the actor with the list as last known, which may be nil. Where lists are pushed that one is put off until the
// agent was asked, and told like any other then: what the agent has goes before it.
func New(addr string, known *List, pushed bool, to Listener) *Client {
	c := &Client{
		Roster: &Roster{}, addr: addr, to: to, seq: -1, pushed: pushed,
		box: make(chan func(), mailbox), asks: make(chan bool, 1),
	}
	switch {
	case known == nil || len(known.Hosts) == 0:
	case pushed:
		c.known = known
	default:
		c.seq = known.Seq
		c.Roster.Replace(known)
	}
	return c
}

// Run serves the mailbox until ctx ends.
func (c *Client) Run(ctx context.Context) {
	c.hold()
	first := time.NewTimer(agentFirst)
	defer first.Stop()
	for {
		select {
		case <-ctx.Done():
			c.stop()
			return
		case f := <-c.box:
			f()
		case on := <-c.asks:
			c.ask(on)
		case <-first.C:
			c.goBy()
		}
	}
}

// Push tells whether lists are pushed from now on.
func (c *Client) Push(on bool) {
	c.box <- func() {
		c.pushed = on
		c.hold()
	}
}

// hold opens the watch of a list that is pushed, where there is none.
func (c *Client) hold() {
	if c.pushed && c.now == nil {
		c.start()
	}
}

// suspect has a watch that has missed a line opened anew, soon and not with all the fleet, unless something comes. Guards
// against a watch whose silence is sure so late that what it missed can't be had in time.
func (c *Client) suspect(s *subscription) {
	if s.due || s != c.now && s != c.silent {
		return
	}
	s.due = true
	c.lines.printf(time.Now(), "event=watch_suspect call=%d list_age_ms=%d", s.number, c.Roster.Age().Milliseconds())
	heard := s.heard.Load()
	time.AfterFunc(rand.N(anew), func() { c.box <- func() { c.again(s, heard) } })
}

// again opens the watch anew beside a silent one, unless that has spoken since or another has begun, or nobody wants one any more.
func (c *Client) again(s *subscription, heard int64) {
	s.due = false
	switch {
	case s == c.now && s.heard.Load() == heard:
		c.leave()
		c.start()
	case s == c.silent && c.now == nil:
		c.start()
	}
}

// leave goes on hearing the watch that there is until the next one speaks, or the one at the address before.
func (c *Client) leave() {
	if c.left != nil && c.left.addr != c.addr {
		c.now.end()
	} else {
		c.left.end()
		c.left = c.now
	}
	c.now = nil
}

// goBy goes by what was known before: the agent says nothing.
func (c *Client) goBy() {
	if l := c.known; l != nil {
		c.known = nil
		c.Roster.Replace(l)
		c.to.Listed(&List{Seq: l.Seq, Whole: true, Hosts: l.Hosts})
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
	c.endLate()
	if c.now != nil {
		c.left.end()
		c.left = c.now
	}
	c.addr, c.seq = addr, -1
	c.start()
}

func (c *Client) stop() {
	c.now.end()
	c.left.end()
	c.endLate()
	c.now, c.left, c.silent = nil, nil, nil
}

func (c *Client) endLate() {
	for _, s := range c.late {
		s.end()
	}
	c.late = nil
}

func (s *subscription) end() {
	if s != nil {
		s.stop()
	}
}

func (c *Client) start() {
	s := newSubscription()
	s.addr = c.addr
	c.calls++
	s.number = c.calls
	c.now = s
	c.lines.printf(s.begun, "event=list_call call=%d discovery=%s from=%d list_age_ms=%d beside=%d",
		s.number, c.addr, c.seq, c.Roster.Age().Milliseconds(), len(c.late))
	call := call{addr: c.addr, from: c.seq, dial: dialTimeout, head: callMost, heard: &s.heard}
	due := callTimeout
	if c.pushed {
		due = c.patience(agentTimeout)
		call.dial = due
	}
	call.whole = c.Roster.heard
	call.opened = func() { c.post(s, func() { c.opened(s) }) }
	call.quiet = func() { c.post(s, func() { c.suspect(s) }) }
	call.take = func(l *List) { c.post(s, func() { c.take(s, l) }) }
	overdue := time.AfterFunc(due, func() { c.post(s, func() { c.overdue(s) }) })
	go func() {
		err := call.watch(s.ctx)
		overdue.Stop()
		c.post(s, func() { c.fail(s, err) })
	}()
}

// opened knows that the answer to a call has begun: no other is needed at its address.
func (c *Client) opened(s *subscription) {
	s.opened = true
	if i := slices.Index(c.late, s); i >= 0 {
		c.late = slices.Delete(c.late, i, i+1)
		c.now.end()
		c.now = s
	}
	if s != c.now {
		return
	}
	c.endLate()
	if c.left != nil && c.left.addr == c.addr { // suspect, and nothing is missed by going on
		c.left.end()
		c.left = nil
	}
}

// overdue has the list asked for again, and goes on waiting for the call beside the next. Guards against a fleet whose calls,
// given up and made anew, keep a service that works through them in turn from answering any: each gives its place there away.
func (c *Client) overdue(s *subscription) {
	if s != c.now || s.opened {
		return
	}
	if c.late = append(c.late, s); len(c.late) > lateMost {
		c.late[0].end()
		c.late = c.late[1:]
	}
	c.ended(s, errOverdue)
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
	s.opened, c.known, c.failed = true, nil, false
	c.lines.printf(time.Now(), "event=list_taken call=%d seq=%d whole=%v entries=%d", s.number, l.Seq, l.Whole, len(l.Hosts))
	c.Roster.apply(l)
	c.to.Listed(l)
}

func (c *Client) fail(s *subscription, err error) {
	s.end()
	if s != c.now {
		c.lines.printf(time.Now(), "event=list_call_ended call=%d after_ms=%d err=%q", s.number, time.Since(s.begun).Milliseconds(), err)
	}
	switch s {
	case c.left:
		c.left = nil
	case c.now:
		c.ended(s, err)
	default:
		c.late = slices.DeleteFunc(c.late, func(l *subscription) bool { return l == s })
	}
}

// ended has the list asked for again: its watch has ended, or its call is overdue.
func (c *Client) ended(s *subscription, err error) {
	if !c.pushed || !c.failed { // an agent that is away is asked several times a second
		c.lines.printf(time.Now(), "event=watch_ended discovery=%s call=%d after_ms=%d answered=%v list_age_ms=%d err=%q",
			c.addr, s.number, time.Since(s.begun).Milliseconds(), s.opened, c.Roster.Age().Milliseconds(), err)
	}
	c.now, c.silent = nil, s
	if errors.Is(err, errGarbage) {
		c.seq = -1 // what it meant to say is lost: ask for the whole list
	}
	switch {
	case c.pushed:
		c.goBy()
		every := c.patience(agentEvery)
		time.AfterFunc(every/2+rand.N(every/2), func() { c.box <- c.hold })
	case errors.Is(err, errSilent): // the module's slots, for a service that is down or overbooked, come too late
		c.suspect(s)
	case s.opened:
		c.to.ListFailed(0)
	default:
		c.to.ListFailed(time.Since(s.begun))
	}
	c.failed = true
}

// patience is a time for an agent, longer once a call has failed. Guards against a fleet whose calls, given up and made
// anew too soon, keep a service that works through them in turn from answering any.
func (c *Client) patience(t time.Duration) time.Duration {
	if c.failed {
		return 2 * t
	}
	return t
}

var (
	errGarbage = errors.New("discovery sent what is no list")
	errSilent  = errors.New("the watch fell silent")
	errOverdue = errors.New("no answer yet")
)

// call is one call for a watch, and what is done as it comes; none of it may be nil but heard.
type call struct {
	addr   string
	from   int64         // the version last seen, -1: the whole list is asked for
	dial   time.Duration // bounds the connect
	head   time.Duration // and, from there, the answer's head
	opened func()        // its answer has begun
	quiet  func()        // nothing has come for a while
	heard  *atomic.Int64 // times that something came; nil: nobody wants to know
	whole  func()        // a line has come whole; nil likewise
	take   func(*List)
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
	target := "/registry/instances?watch=1"
	if c.from >= 0 {
		target += "&from=" + strconv.FormatInt(c.from, 10)
	}
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, c.addr); err != nil {
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
	c.opened()
	b := &beats{conn: conn, from: body, heard: c.heard, whole: c.whole, idle: time.AfterFunc(quiet, c.quiet)}
	defer b.idle.Stop()
	return lists(b, c.take)
}

// lists hands on the lists of a watch until it ends or falls silent. A list may stand on one line or on several.
func lists(b *beats, take func(*List)) error {
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

	idle  *time.Timer   // runs out where nothing whole comes; nil: nobody wants to know
	heard *atomic.Int64 // counts what came; nil likewise
	whole func()        // is told of each whole line; nil likewise
}

// rest waits for the next line: the one before is whole.
func (b *beats) rest() {
	if b.idle != nil {
		b.idle.Reset(quiet)
	}
	if b.heard != nil {
		b.heard.Add(1)
	}
	if b.whole != nil {
		b.whole()
	}
}

func (b *beats) Read(p []byte) (n int, err error) {
	if !b.within {
		b.conn.SetReadDeadline(time.Now().Add(silence))
		b.rest()
	}
	n, err = b.from.Read(p)
	if len(bytes.TrimSpace(p[:n])) > 0 {
		b.within = true
	}
	if b.within {
		b.size += n
	}
	if b.size > maxList {
		return n, fmt.Errorf("%w: one over %d bytes", errGarbage, maxList)
	}
	return n, err
}
