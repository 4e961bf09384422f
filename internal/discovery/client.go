package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

const (
	mailbox        = 64
	callsMost      = 6 // that wait for an answer beside one another
	agentCallsMost = 3 // the same where an agent is asked, which has no queue

	// What was known before a start serves, where lists are pushed, only once the agent has said nothing for so long: what the
	// agent has counts as told from a process's first moment.
	agentFirst = 300 * time.Millisecond
)

// MaxSockets is how many the list holds at most: the watch, and calls with no answer.
const MaxSockets = 1 + callsMost

// Listener is told of the list. Its method may block; the list's actor then waits.
type Listener interface {
	OnEndpoints(*Update)
}

// Source tells how the list comes.
type Source struct {
	Pushed        bool // from an agent beside this process
	BalancerCount int  // how many ask for it
}

// Client is the list's actor: it owns the watch, the calls for one and the roster. Calls begin when its schedule says so. A call
// that has no answer yet goes on waiting beside the next; the first that is answered counts, and the others end. Guards against a
// fleet whose calls, given up and made anew, keep a service that works through them in turn from answering any.
type Client struct {
	Endpoints *EndpointSet

	addr  string
	to    Listener
	box   chan func()
	due   *time.Timer // runs out when the next call begins
	plan  schedule
	lines journal

	held    *subscription   // the watch in force, or, while nothing else speaks, the one before; nil: none
	suspect bool            // that one has missed a line
	waiting []*subscription // calls with no answer yet, oldest first
	begun   int             // calls so far

	seq     int64 // the version in force, to ask from; -1: the whole list is asked for
	version int64 // the version in force, to compare with; -1: none of this service yet
	older   int   // answers in a row that were older than that

	known *Update // to go by while an agent says nothing; nil: none
}

// subscription is one call, and the watch that it becomes; a word of one that has been ended is not taken.
type subscription struct {
	ctx    context.Context
	stop   context.CancelFunc
	addr   string
	number int // of the calls of this process
	begun  time.Time
}

func (s *subscription) end() {
	if s != nil {
		s.stop()
	}
}

// New makes the actor with the list as last known, which may be nil. Where lists are pushed that one is put off until the
// agent was asked, and told like any other then: what the agent has goes before it.
func New(addr string, known *Update, source Source, to Listener) *Client {
	c := &Client{
		Endpoints: &EndpointSet{}, addr: addr, to: to, seq: -1, version: -1,
		box: make(chan func(), mailbox), due: time.NewTimer(time.Hour),
		plan: schedule{balancers: source.BalancerCount, pushed: source.Pushed, random: rand.Float64},
	}
	c.due.Stop()
	switch {
	case known == nil || len(known.Endpoints) == 0:
	case source.Pushed:
		c.known = known
	default:
		c.seq = known.Seq
		c.Endpoints.Replace(known)
	}
	return c
}

// Run serves the mailbox until ctx ends.
func (c *Client) Run(ctx context.Context) {
	wait := c.plan.started(time.Now())
	if !c.Endpoints.HasEndpoints() { // nothing can be served before
		wait = 0
	}
	c.due.Reset(wait)
	first := time.NewTimer(agentFirst)
	defer first.Stop()
	for {
		select {
		case <-ctx.Done():
			c.due.Stop()
			c.held.end()
			c.endWaiting()
			return
		case f := <-c.box:
			f()
		case <-c.due.C:
			c.call(time.Now())
		case <-first.C:
			c.goBy()
		}
	}
}

// SetSource tells how the list comes from now on.
func (c *Client) SetSource(source Source) {
	c.box <- func() { c.plan.pushed, c.plan.balancers = source.Pushed, source.BalancerCount }
}

// SetAddress goes on with the list at another address. The list stays as it is until that one speaks.
func (c *Client) SetAddress(addr string) { c.box <- func() { c.move(addr) } }

// move asks at the new address at once and listens to the old one until it ends or the new one speaks. Version
// numbers of one service mean nothing to another, so the whole list is asked for.
func (c *Client) move(addr string) {
	if addr == c.addr {
		return
	}
	c.endWaiting()
	c.addr, c.seq, c.version, c.older = addr, -1, -1, 0
	c.suspect = c.held != nil && c.held.addr == addr // it was left before: its versions are not known any more
	now := time.Now()
	c.plan.moved(now)
	c.call(now)
}

// goBy goes by what was known before: the agent says nothing.
func (c *Client) goBy() {
	if l := c.known; l != nil {
		c.known = nil
		c.Endpoints.Replace(l)
		c.to.OnEndpoints(&Update{Seq: l.Seq, Full: true, Endpoints: l.Endpoints})
	}
}

// inForce tells whether the watch that there is will do.
func (c *Client) inForce() bool { return c.held != nil && c.held.addr == c.addr && !c.suspect }

// call begins a call, and plans the next should none be answered.
func (c *Client) call(now time.Time) {
	if c.inForce() {
		return
	}
	if wait := c.makeRoom(now); wait > 0 {
		c.due.Reset(wait)
		return
	}
	c.begun++
	s := &subscription{addr: c.addr, number: c.begun, begun: now}
	s.ctx, s.stop = context.WithCancel(context.Background())
	c.waiting = append(c.waiting, s)
	c.lines.printf(now, "event=list_call call=%d discovery=%s from=%d list_age_ms=%d waiting=%d",
		s.number, c.addr, c.seq, c.Endpoints.Staleness().Milliseconds(), len(c.waiting)-1)
	c.due.Reset(c.plan.begin(now))
	go c.follow(s, c.seq, c.plan.pushed)
}

// makeRoom gives the oldest call up where too many wait, or tells how long until it may be: in a service that works through calls in
// turn it is the next to be answered.
func (c *Client) makeRoom(now time.Time) (wait time.Duration) {
	most, patience := callsMost, headMost
	if c.plan.pushed {
		most, patience = agentCallsMost, 0
	}
	if len(c.waiting) < most {
		return 0
	}
	oldest := c.waiting[0]
	if wait = patience - now.Sub(oldest.begun); wait > 0 {
		return wait
	}
	oldest.end()
	c.waiting = c.waiting[1:]
	return 0
}

// follow makes the call and posts what comes of it.
func (c *Client) follow(s *subscription, from int64, pushed bool) {
	call := call{addr: s.addr, from: from, dial: dialTimeout, head: headMost}
	if pushed {
		call.dial = 2 * agentPatience
	}
	call.line = func() { c.post(s, func() { c.heard(s) }) }
	call.quiet = func() { c.post(s, func() { c.doubt(s) }) }
	call.take = func(l *Update) { c.post(s, func() { c.take(s, l) }) }
	err := call.watch(s.ctx)
	c.post(s, func() { c.ended(s, err) })
}

// post hands the actor a word of a watch, unless that watch has been ended.
func (c *Client) post(s *subscription, f func()) {
	select {
	case c.box <- f:
	case <-s.ctx.Done():
	}
}

// heard takes a whole line of a watch: the list is as that service has it. Where the watch is a call's that was waited for it
// takes the place of the one before. False: the watch counts no longer.
func (c *Client) heard(s *subscription) bool {
	if i := slices.Index(c.waiting, s); i >= 0 {
		c.waiting = slices.Delete(c.waiting, i, i+1)
		c.held.end()
		c.held = s
	}
	if s != c.held {
		return false
	}
	if s.addr == c.addr {
		now := time.Now()
		c.suspect = false
		c.plan.heard(now)
		c.Endpoints.heard(now)
		c.due.Stop()
		c.endWaiting()
	}
	return true
}

// doubt has another call made beside a watch that has missed a line. That one is heard until another is answered.
func (c *Client) doubt(s *subscription) {
	if s != c.held || s.addr != c.addr || c.suspect {
		return
	}
	now := time.Now()
	c.suspect = true
	c.lines.printf(now, "event=watch_suspect call=%d list_age_ms=%d", s.number, c.Endpoints.Staleness().Milliseconds())
	c.due.Reset(c.plan.lost(now))
}

// take takes a list in, unless a newer one of the same service is in force.
func (c *Client) take(s *subscription, l *Update) {
	if s != c.held && !slices.Contains(c.waiting, s) {
		return
	}
	if s.addr == c.addr && l.Seq < c.version && !c.beganAnew(l) {
		c.lines.printf(time.Now(), "event=list_ignored call=%d seq=%d in_force=%d", s.number, l.Seq, c.version)
		c.ended(s, errOlder)
		return
	}
	c.heard(s)
	if s.addr == c.addr {
		c.seq, c.version, c.older = l.Seq, l.Seq, 0
	}
	c.known = nil
	c.lines.printf(time.Now(), "event=list_taken call=%d seq=%d whole=%v entries=%d", s.number, l.Seq, l.Full, len(l.Endpoints))
	c.Endpoints.apply(l)
	c.to.OnEndpoints(l)
}

// beganAnew tells whether a service that sends a lower version counts anew: its next answer, a whole list, says the same.
// Guards against a replica that lags behind, whose list would bring servers back that have left.
func (c *Client) beganAnew(l *Update) bool {
	c.older++
	return c.older > 1 && l.Full
}

// ended takes the end of a call or of a watch.
func (c *Client) ended(s *subscription, err error) {
	s.end()
	now := time.Now()
	at := slices.Index(c.waiting, s)
	if at < 0 && s != c.held {
		return
	}
	if !c.plan.pushed || !c.plan.failing { // an agent that is away is asked several times a second
		c.lines.printf(now, "event=watch_ended discovery=%s call=%d after_ms=%d answered=%v list_age_ms=%d err=%q",
			s.addr, s.number, now.Sub(s.begun).Milliseconds(), at < 0, c.Endpoints.Staleness().Milliseconds(), err)
	}
	if s.addr == c.addr && (errors.Is(err, errGarbage) || errors.Is(err, errOlder)) {
		c.seq = -1 // what it meant to say is lost: ask for the whole list
	}
	if at < 0 {
		c.lost(now, s)
		return
	}
	latest := at == len(c.waiting)-1
	c.waiting = slices.Delete(c.waiting, at, at+1)
	if c.plan.pushed {
		c.goBy()
	}
	if latest {
		if wait, changed := c.plan.failed(now, errors.Is(err, syscall.ECONNREFUSED)); changed {
			c.due.Reset(wait)
		}
	}
}

// lost plans a call in place of the watch that was held, unless one is planned already.
func (c *Client) lost(now time.Time, s *subscription) {
	c.held = nil
	if !c.suspect && s.addr == c.addr {
		c.due.Reset(c.plan.lost(now))
	}
	c.suspect = false
}

func (c *Client) endWaiting() {
	for _, s := range c.waiting {
		s.end()
	}
	c.waiting = nil
}
