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
	mailboxSize          = 64
	maxPendingPolls      = 6 // that wait for an answer beside one another
	maxPendingAgentPolls = 3 // the same where an agent is asked, which has no queue

	// What was known before a start serves, where lists are pushed, only once the agent has said nothing for so long: what the
	// agent has counts as told from a process's first moment.
	agentGrace = 300 * time.Millisecond
)

// MaxSockets is how many the list holds at most: the watch, and calls with no answer.
const MaxSockets = 1 + maxPendingPolls

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

	addr      string
	listener  Listener
	mailbox   chan func()
	pollTimer *time.Timer // runs out when the next call begins
	schedule  pollSchedule
	log       limitedLog

	active  *subscription   // the watch in force, or, while nothing else speaks, the one before; nil: none
	suspect bool            // that one has missed a line
	pending []*subscription // calls with no answer yet, oldest first
	polls   int             // calls so far

	resumeSeq    int64 // the version in force, to ask from; -1: the whole list is asked for
	appliedSeq   int64 // the version in force, to compare with; -1: none of this service yet
	staleUpdates int   // answers in a row that were older than that

	fallback *Update // to go by while an agent says nothing; nil: none
}

// subscription is one call, and the watch that it becomes; a word of one that has been ended is not taken.
type subscription struct {
	ctx           context.Context
	cancelContext context.CancelFunc
	addr          string
	number        int // of the calls of this process
	startedAt     time.Time
}

func (s *subscription) cancel() {
	if s != nil {
		s.cancelContext()
	}
}

// New makes the actor with the list as last known, which may be nil. Where lists are pushed that one is put off until the
// agent was asked, and told like any other then: what the agent has goes before it.
func New(addr string, known *Update, source Source, to Listener) *Client {
	c := &Client{
		Endpoints: &EndpointSet{}, addr: addr, listener: to, resumeSeq: -1, appliedSeq: -1,
		mailbox: make(chan func(), mailboxSize), pollTimer: time.NewTimer(time.Hour),
		schedule: pollSchedule{balancerCount: source.BalancerCount, fromAgent: source.Pushed, random: rand.Float64},
	}
	c.pollTimer.Stop()
	switch {
	case known == nil || len(known.Endpoints) == 0:
	case source.Pushed:
		c.fallback = known
	default:
		c.resumeSeq = known.Seq
		c.Endpoints.Replace(known)
	}
	return c
}

// Run serves the mailbox until ctx ends.
func (c *Client) Run(ctx context.Context) {
	wait := c.schedule.initialDelay(time.Now())
	if !c.Endpoints.HasEndpoints() { // nothing can be served before
		wait = 0
	}
	c.pollTimer.Reset(wait)
	first := time.NewTimer(agentGrace)
	defer first.Stop()
	for {
		select {
		case <-ctx.Done():
			c.pollTimer.Stop()
			c.active.cancel()
			c.cancelPending()
			return
		case f := <-c.mailbox:
			f()
		case <-c.pollTimer.C:
			c.startPoll(time.Now())
		case <-first.C:
			c.useFallback()
		}
	}
}

// SetSource tells how the list comes from now on.
func (c *Client) SetSource(source Source) {
	c.mailbox <- func() { c.schedule.fromAgent, c.schedule.balancerCount = source.Pushed, source.BalancerCount }
}

// SetAddress goes on with the list at another address. The list stays as it is until that one speaks.
func (c *Client) SetAddress(addr string) { c.mailbox <- func() { c.switchAddress(addr) } }

// switchAddress asks at the new address at once and listens to the old one until it ends or the new one speaks. Version
// numbers of one service mean nothing to another, so the whole list is asked for.
func (c *Client) switchAddress(addr string) {
	if addr == c.addr {
		return
	}
	c.cancelPending()
	c.addr, c.resumeSeq, c.appliedSeq, c.staleUpdates = addr, -1, -1, 0
	c.suspect = c.active != nil && c.active.addr == addr // it was left before: its versions are not known any more
	now := time.Now()
	c.schedule.onSourceChanged(now)
	c.startPoll(now)
}

// useFallback goes by what was known before: the agent says nothing.
func (c *Client) useFallback() {
	if l := c.fallback; l != nil {
		c.fallback = nil
		c.Endpoints.Replace(l)
		c.listener.OnEndpoints(&Update{Seq: l.Seq, Full: true, Endpoints: l.Endpoints})
	}
}

// isActiveHealthy tells whether the watch that there is will do.
func (c *Client) isActiveHealthy() bool {
	return c.active != nil && c.active.addr == c.addr && !c.suspect
}

// startPoll begins a call, and plans the next should none be answered.
func (c *Client) startPoll(now time.Time) {
	if c.isActiveHealthy() {
		return
	}
	if wait := c.reservePoll(now); wait > 0 {
		c.pollTimer.Reset(wait)
		return
	}
	c.polls++
	s := &subscription{addr: c.addr, number: c.polls, startedAt: now}
	s.ctx, s.cancelContext = context.WithCancel(context.Background())
	c.pending = append(c.pending, s)
	c.log.printf(now, "event=list_call call=%d discovery=%s from=%d list_age_ms=%d waiting=%d",
		s.number, c.addr, c.resumeSeq, c.Endpoints.Staleness().Milliseconds(), len(c.pending)-1)
	c.pollTimer.Reset(c.schedule.onPollStarted(now))
	go c.runSubscription(s, c.resumeSeq, c.schedule.fromAgent)
}

// reservePoll gives the oldest call up where too many wait, or tells how long until it may be: in a service that works through calls in
// turn it is the next to be answered.
func (c *Client) reservePoll(now time.Time) (wait time.Duration) {
	most, patience := maxPendingPolls, maxHeadWait
	if c.schedule.fromAgent {
		most, patience = maxPendingAgentPolls, 0
	}
	if len(c.pending) < most {
		return 0
	}
	oldest := c.pending[0]
	if wait = patience - now.Sub(oldest.startedAt); wait > 0 {
		return wait
	}
	oldest.cancel()
	c.pending = c.pending[1:]
	return 0
}

// runSubscription makes the call and posts what comes of it.
func (c *Client) runSubscription(s *subscription, from int64, pushed bool) {
	call := watchCall{addr: s.addr, fromSeq: from, dialTimeout: dialTimeout, headTimeout: maxHeadWait}
	if pushed {
		call.dialTimeout = 2 * agentPollInterval
	}
	call.onHeartbeat = func() { c.post(s, func() { c.onMessage(s) }) }
	call.onQuiet = func() { c.post(s, func() { c.onQuiet(s) }) }
	call.onUpdate = func(l *Update) { c.post(s, func() { c.onUpdate(s, l) }) }
	err := call.run(s.ctx)
	c.post(s, func() { c.onEnded(s, err) })
}

// post hands the actor a word of a watch, unless that watch has been ended.
func (c *Client) post(s *subscription, f func()) {
	select {
	case c.mailbox <- f:
	case <-s.ctx.Done():
	}
}

// onMessage takes a whole line of a watch: the list is as that service has it. Where the watch is a call's that was waited for it
// takes the place of the one before. False: the watch counts no longer.
func (c *Client) onMessage(s *subscription) bool {
	if i := slices.Index(c.pending, s); i >= 0 {
		c.pending = slices.Delete(c.pending, i, i+1)
		c.active.cancel()
		c.active = s
	}
	if s != c.active {
		return false
	}
	if s.addr == c.addr {
		now := time.Now()
		c.suspect = false
		c.schedule.onMessage(now)
		c.Endpoints.markSynced(now)
		c.pollTimer.Stop()
		c.cancelPending()
	}
	return true
}

// onQuiet has another call made beside a watch that has missed a line. That one is heard until another is answered.
func (c *Client) onQuiet(s *subscription) {
	if s != c.active || s.addr != c.addr || c.suspect {
		return
	}
	now := time.Now()
	c.suspect = true
	c.log.printf(now, "event=watch_suspect call=%d list_age_ms=%d", s.number, c.Endpoints.Staleness().Milliseconds())
	c.pollTimer.Reset(c.schedule.onWatchLost(now))
}

// onUpdate takes a list in, unless a newer one of the same service is in force.
func (c *Client) onUpdate(s *subscription, l *Update) {
	if s != c.active && !slices.Contains(c.pending, s) {
		return
	}
	if s.addr == c.addr && l.Seq < c.appliedSeq && !c.sequenceRestarted(l) {
		c.log.printf(time.Now(), "event=list_ignored call=%d seq=%d in_force=%d", s.number, l.Seq, c.appliedSeq)
		c.onEnded(s, errStale)
		return
	}
	c.onMessage(s)
	if s.addr == c.addr {
		c.resumeSeq, c.appliedSeq, c.staleUpdates = l.Seq, l.Seq, 0
	}
	c.fallback = nil
	c.log.printf(time.Now(), "event=list_taken call=%d seq=%d whole=%v entries=%d", s.number, l.Seq, l.Full, len(l.Endpoints))
	c.Endpoints.apply(l)
	c.listener.OnEndpoints(l)
}

// sequenceRestarted tells whether a service that sends a lower version counts anew: its next answer, a whole list, says the same.
// Guards against a replica that lags behind, whose list would bring servers back that have left.
func (c *Client) sequenceRestarted(l *Update) bool {
	c.staleUpdates++
	return c.staleUpdates > 1 && l.Full
}

// onEnded takes the end of a call or of a watch.
func (c *Client) onEnded(s *subscription, err error) {
	s.cancel()
	now := time.Now()
	at := slices.Index(c.pending, s)
	if at < 0 && s != c.active {
		return
	}
	if !c.schedule.fromAgent || !c.schedule.failing { // an agent that is away is asked several times a second
		c.log.printf(now, "event=watch_ended discovery=%s call=%d after_ms=%d answered=%v list_age_ms=%d err=%q",
			s.addr, s.number, now.Sub(s.startedAt).Milliseconds(), at < 0, c.Endpoints.Staleness().Milliseconds(), err)
	}
	if s.addr == c.addr && (errors.Is(err, errMalformed) || errors.Is(err, errStale)) {
		c.resumeSeq = -1 // what it meant to say is lost: ask for the whole list
	}
	if at < 0 {
		c.onWatchLost(now, s)
		return
	}
	latest := at == len(c.pending)-1
	c.pending = slices.Delete(c.pending, at, at+1)
	if c.schedule.fromAgent {
		c.useFallback()
	}
	if latest {
		if wait, changed := c.schedule.onPollFailed(now, errors.Is(err, syscall.ECONNREFUSED)); changed {
			c.pollTimer.Reset(wait)
		}
	}
}

// onWatchLost plans a call in place of the watch that was held, unless one is planned already.
func (c *Client) onWatchLost(now time.Time, s *subscription) {
	c.active = nil
	if !c.suspect && s.addr == c.addr {
		c.pollTimer.Reset(c.schedule.onWatchLost(now))
	}
	c.suspect = false
}

func (c *Client) cancelPending() {
	for _, s := range c.pending {
		s.cancel()
	}
	c.pending = nil
}
