package discovery

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"
)

// subscription is a poll, and the watch that the poll becomes with its first message. Messages of a cancelled
// subscription are ignored.
type subscription struct {
	ctx           context.Context
	cancelContext context.CancelFunc
	addr          string
	number        int // number of the poll, from 1 in each Client
	startedAt     time.Time
}

// cancel ends the subscription. It may be called on nil.
func (s *subscription) cancel() {
	if s != nil {
		s.cancelContext()
	}
}

// heartbeatReceived reports an empty line of a watch.
type heartbeatReceived struct{ from *subscription }

func (m heartbeatReceived) handle(c *Client) { c.onMessage(m.from) }

// watchQuiet reports that a watch has missed a heartbeat.
type watchQuiet struct{ from *subscription }

func (m watchQuiet) handle(c *Client) { c.onQuiet(m.from) }

// updateReceived delivers an update of a watch.
type updateReceived struct {
	from   *subscription
	update *Update
}

func (m updateReceived) handle(c *Client) { c.onUpdate(m.from, m.update) }

// watchEnded reports the end of a poll or of a watch, with its cause.
type watchEnded struct {
	from *subscription
	err  error
}

func (m watchEnded) handle(c *Client) { c.onSubscriptionEnded(m.from, m.err) }

// hasHealthyWatch reports whether a watch of the current address is active and not suspect, so that no poll is needed.
func (c *Client) hasHealthyWatch() bool {
	return c.activeWatch != nil && c.activeWatch.addr == c.addr && !c.activeWatchSuspect
}

// startPoll starts a poll unless the watch is healthy, and sets the timer for the next poll.
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

// makeRoomForPoll cancels the oldest pending poll if the limit of pending polls is reached. If that poll is too young to be
// cancelled, it returns the time until it may be: a service that handles requests in order answers the oldest poll first.
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

// runSubscription sends the request, reads the watch until it ends, and posts its messages to the mailbox.
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

// post puts a subscription's message into the mailbox. It gives up when the subscription is cancelled.
func (c *Client) post(s *subscription, m message) {
	select {
	case c.mailbox <- m:
	case <-s.ctx.Done():
	}
}

// onMessage handles a complete heartbeat or update. With its first message a pending poll replaces the active watch. If
// the subscription is of the current address, the list is in sync and all pending polls are cancelled.
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

// onQuiet schedules a poll after the active watch has missed a heartbeat. The suspect watch stays open until a poll gets a
// message.
func (c *Client) onQuiet(s *subscription) {
	if s != c.activeWatch || s.addr != c.addr || c.activeWatchSuspect {
		return
	}
	now := time.Now()
	c.activeWatchSuspect = true
	c.log.warn(now, eventWatchSuspect, nil, "poll", s.number, "endpoints_age_ms", c.Endpoints.Staleness().Milliseconds())
	c.pollTimer.Reset(c.schedule.onWatchLost(now))
}

// onUpdate applies an update, unless the list in force is newer and of the service that sent the update.
func (c *Client) onUpdate(s *subscription, u *Update) {
	if s != c.activeWatch && !slices.Contains(c.pendingPolls, s) {
		return
	}
	if s.addr == c.addr && u.Seq < c.appliedSeq && !c.sequenceRestarted(u) {
		c.log.warn(time.Now(), eventStaleIgnored, nil, "poll", s.number, "seq", u.Seq, "applied_seq", c.appliedSeq)
		c.onSubscriptionEnded(s, errStale)
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

// sequenceRestarted reports whether a service that sends a lower sequence number has restarted its numbering: it has if it
// sends two lower numbers in a row, the second with a full list. A single one may come from a lagging replica, whose list
// would bring back servers that were removed.
func (c *Client) sequenceRestarted(u *Update) bool {
	c.staleUpdates++
	return c.staleUpdates > 1 && u.Full
}

// onSubscriptionEnded handles the end of a poll or of a watch, and decides when the next poll begins.
func (c *Client) onSubscriptionEnded(s *subscription, err error) {
	s.cancel()
	now := time.Now()
	at := slices.Index(c.pendingPolls, s)
	answered := at < 0
	if answered && s != c.activeWatch {
		return
	}
	if !c.schedule.fromAgent || !c.schedule.failedSinceMessage { // do not log each failure: an agent that is down is polled several times a second
		c.log.warn(now, eventWatchEnded, err, "discovery", s.addr, "poll", s.number, "after_ms", now.Sub(s.startedAt).Milliseconds(),
			"answered", answered, "endpoints_age_ms", c.Endpoints.Staleness().Milliseconds())
	}
	if s.addr == c.addr && (errors.Is(err, errMalformed) || errors.Is(err, errStale)) {
		c.resumeSeq = -1 // the changes in the rejected update are missing here: request the full list
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

// onWatchLost schedules a poll to replace the active watch, unless onQuiet has already scheduled it.
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
