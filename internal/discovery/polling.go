package discovery

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"
)

// subscription is one poll, and the watch that it becomes once it is answered. Messages of a cancelled one are dropped.
type subscription struct {
	ctx           context.Context
	cancelContext context.CancelFunc
	addr          string
	number        int // of the polls of this process, from 1
	startedAt     time.Time
}

// cancel ends the subscription; nil is allowed.
func (s *subscription) cancel() {
	if s != nil {
		s.cancelContext()
	}
}

// heartbeatReceived is an empty line of a watch.
type heartbeatReceived struct{ from *subscription }

func (m heartbeatReceived) handle(c *Client) { c.onMessage(m.from) }

// watchQuiet says that a watch has missed a heartbeat.
type watchQuiet struct{ from *subscription }

func (m watchQuiet) handle(c *Client) { c.onQuiet(m.from) }

// updateReceived is an update of a watch.
type updateReceived struct {
	from   *subscription
	update *Update
}

func (m updateReceived) handle(c *Client) { c.onUpdate(m.from, m.update) }

// watchEnded is the end of a poll or of a watch.
type watchEnded struct {
	from *subscription
	err  error
}

func (m watchEnded) handle(c *Client) { c.onWatchEnded(m.from, m.err) }

// hasHealthyWatch reports whether the active watch makes polls unnecessary.
func (c *Client) hasHealthyWatch() bool {
	return c.activeWatch != nil && c.activeWatch.addr == c.addr && !c.activeWatchSuspect
}

// startPoll begins a poll, and sets the timer for the next in case that it is not answered.
func (c *Client) startPoll(now time.Time) {
	if c.hasHealthyWatch() {
		return
	}
	if wait := c.makeRoomForPoll(now); wait > 0 {
		c.pollTimer.Reset(wait)
		return
	}
	c.pollCount++
	s := &subscription{addr: c.addr, number: c.pollCount, startedAt: now}
	s.ctx, s.cancelContext = context.WithCancel(context.Background())
	c.pendingPolls = append(c.pendingPolls, s)
	c.log.info(now, eventPollStarted, "poll", s.number, "discovery", c.addr, "from_seq", c.resumeSeq,
		"endpoints_age_ms", c.Endpoints.Staleness().Milliseconds(), "pending", len(c.pendingPolls)-1)
	c.pollTimer.Reset(c.schedule.onPollStarted(now))
	go c.runSubscription(s, c.resumeSeq, c.schedule.fromAgent)
}

// makeRoomForPoll cancels the oldest pending poll where too many are open, or returns how long to wait until it may be: a
// service that works through its requests in turn answers the oldest first.
func (c *Client) makeRoomForPoll(now time.Time) (wait time.Duration) {
	limit, minAge := maxPendingPolls, maxHeadWait
	if c.schedule.fromAgent {
		limit, minAge = maxPendingAgentPolls, 0
	}
	if len(c.pendingPolls) < limit {
		return 0
	}
	oldest := c.pendingPolls[0]
	if wait = minAge - now.Sub(oldest.startedAt); wait > 0 {
		return wait
	}
	oldest.cancel()
	c.pendingPolls = c.pendingPolls[1:]
	return 0
}

// runSubscription makes the request, reads its watch to the end, and posts what comes of it.
func (c *Client) runSubscription(s *subscription, fromSeq int64, fromAgent bool) {
	call := watchCall{addr: s.addr, fromSeq: fromSeq, dialTimeout: dialTimeout, headTimeout: maxHeadWait}
	if fromAgent {
		call.dialTimeout = 2 * agentPollInterval
	}
	call.onHeartbeat = func() { c.post(s, heartbeatReceived{s}) }
	call.onQuiet = func() { c.post(s, watchQuiet{s}) }
	call.onUpdate = func(u *Update) { c.post(s, updateReceived{s, u}) }
	err := call.run(s.ctx)
	c.post(s, watchEnded{s, err})
}

// post puts a subscription's message into the mailbox, unless the subscription is cancelled.
func (c *Client) post(s *subscription, m message) {
	select {
	case c.mailbox <- m:
	case <-s.ctx.Done():
	}
}

// onMessage handles a complete heartbeat or update: the list is as that service has it. A pending poll becomes the
// active watch by it.
func (c *Client) onMessage(s *subscription) {
	if i := slices.Index(c.pendingPolls, s); i >= 0 {
		c.pendingPolls = slices.Delete(c.pendingPolls, i, i+1)
		c.activeWatch.cancel()
		c.activeWatch = s
	}
	if s != c.activeWatch || s.addr != c.addr {
		return
	}
	now := time.Now()
	c.activeWatchSuspect = false
	c.schedule.onMessage(now)
	c.Endpoints.markSynced(now)
	c.pollTimer.Stop()
	c.cancelPending()
}

// onQuiet plans a poll beside an active watch that has missed a heartbeat. The watch is read on until one is answered.
func (c *Client) onQuiet(s *subscription) {
	if s != c.activeWatch || s.addr != c.addr || c.activeWatchSuspect {
		return
	}
	now := time.Now()
	c.activeWatchSuspect = true
	c.log.warn(now, eventWatchSuspect, nil, "poll", s.number, "endpoints_age_ms", c.Endpoints.Staleness().Milliseconds())
	c.pollTimer.Reset(c.schedule.onWatchLost(now))
}

// onUpdate applies an update, unless a later one of the same service is in force.
func (c *Client) onUpdate(s *subscription, u *Update) {
	if s != c.activeWatch && !slices.Contains(c.pendingPolls, s) {
		return
	}
	if s.addr == c.addr && u.Seq < c.appliedSeq && !c.sequenceRestarted(u) {
		c.log.warn(time.Now(), eventStaleIgnored, nil, "poll", s.number, "seq", u.Seq, "applied_seq", c.appliedSeq)
		c.onWatchEnded(s, errStale)
		return
	}
	c.onMessage(s)
	if s.addr == c.addr {
		c.resumeSeq, c.appliedSeq, c.staleUpdates = u.Seq, u.Seq, 0
	}
	c.initialList = nil
	c.log.info(time.Now(), eventApplied, "poll", s.number, "seq", u.Seq, "full", u.Full, "entries", len(u.Endpoints))
	c.Endpoints.apply(u)
	c.listener.OnEndpoints(u)
}

// sequenceRestarted decides whether a service that sends a lower number counts from the start again: only where it does
// so twice in a row, the second time with a full list. One such update alone may come from a replica that lags, and
// would list servers that have left.
func (c *Client) sequenceRestarted(u *Update) bool {
	c.staleUpdates++
	return c.staleUpdates > 1 && u.Full
}

// onWatchEnded handles the end of a poll or of a watch.
func (c *Client) onWatchEnded(s *subscription, err error) {
	s.cancel()
	now := time.Now()
	at := slices.Index(c.pendingPolls, s)
	answered := at < 0
	if answered && s != c.activeWatch {
		return
	}
	if !c.schedule.fromAgent || !c.schedule.lastPollFailed { // an agent that is away is polled several times a second
		c.log.warn(now, eventWatchEnded, err, "discovery", s.addr, "poll", s.number, "after_ms", now.Sub(s.startedAt).Milliseconds(),
			"answered", answered, "endpoints_age_ms", c.Endpoints.Staleness().Milliseconds())
	}
	if s.addr == c.addr && (errors.Is(err, errMalformed) || errors.Is(err, errStale)) {
		c.resumeSeq = -1 // the changes that it carried are lost
	}
	if answered {
		c.onWatchLost(now, s)
		return
	}
	latest := at == len(c.pendingPolls)-1
	c.pendingPolls = slices.Delete(c.pendingPolls, at, at+1)
	if c.schedule.fromAgent {
		c.applyInitialList()
	}
	if latest {
		if wait, changed := c.schedule.onPollFailed(now, errors.Is(err, syscall.ECONNREFUSED)); changed {
			c.pollTimer.Reset(wait)
		}
	}
}

// onWatchLost plans a poll in place of the active watch, unless one is planned already.
func (c *Client) onWatchLost(now time.Time, s *subscription) {
	c.activeWatch = nil
	if !c.activeWatchSuspect && s.addr == c.addr {
		c.pollTimer.Reset(c.schedule.onWatchLost(now))
	}
	c.activeWatchSuspect = false
}

func (c *Client) cancelPending() {
	for _, s := range c.pendingPolls {
		s.cancel()
	}
	c.pendingPolls = nil
}
