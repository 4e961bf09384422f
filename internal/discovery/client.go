package discovery

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	mailboxSize          = 64
	maxPendingPolls      = 6 // without a response at the same time
	maxPendingAgentPolls = 3 // the same for an agent, which has no queue

	// MaxSockets is how many sockets a Client uses at most: the active watch and the pending polls.
	MaxSockets = 1 + maxPendingPolls

	// agentGrace is how long a starting process with an agent waits for the agent's list before it serves the list that
	// it was started with: the agent's list counts as known from the process's first moment.
	agentGrace = 300 * time.Millisecond
)

// Listener is notified of each update. OnEndpoints may block; the Client's goroutine then waits.
type Listener interface {
	OnEndpoints(*Update)
}

// Source describes how the list is served.
type Source struct {
	FromAgent     bool // by an agent beside this process, which serves it alone
	BalancerCount int  // how many balancers poll the same service
}

// Client follows the list of servers. All fields but Endpoints belong to the goroutine of Run.
//
// A poll without a response stays open beside the next ones; the first to be answered becomes the active watch, and the
// others are cancelled. A service that works through its requests in turn would otherwise never reach one that is
// still wanted.
type Client struct {
	Endpoints *EndpointSet

	addr      string
	listener  Listener
	mailbox   chan message
	pollTimer *time.Timer // runs out when the next poll begins
	schedule  pollSchedule
	log       limitedLog

	activeWatch        *subscription   // the watch in force, or the one of a previous address until the next speaks; nil: none
	activeWatchSuspect bool            // it has missed a heartbeat
	pendingPolls       []*subscription // polls without a response, oldest first
	pollCount          int             // begun so far

	resumeSeq    int64 // the next poll resumes from here; -1: requests the full list
	appliedSeq   int64 // of the list in force, for comparison; -1: none of this service
	staleUpdates int   // received in a row

	initialList *Update // the list known at the start, used while an agent is silent; nil: none, or used
}

// message is what the mailbox takes. handle runs on the Client's goroutine.
type message interface{ handle(*Client) }

// sourceChanged says that the list is served in another way.
type sourceChanged struct{ source Source }

func (m sourceChanged) handle(c *Client) {
	c.schedule.fromAgent, c.schedule.balancerCount = m.source.FromAgent, m.source.BalancerCount
}

// addressChanged says that the list is served at another address.
type addressChanged struct{ addr string }

func (m addressChanged) handle(c *Client) { c.switchAddress(m.addr) }

// New returns a Client whose list is the one last known, which may be nil. With an agent that list is held back: it is
// used, and the listener notified of it, once the agent has not answered in time.
func New(addr string, known *Update, source Source, listener Listener) *Client {
	c := &Client{
		Endpoints: &EndpointSet{}, addr: addr, listener: listener, resumeSeq: -1, appliedSeq: -1,
		mailbox: make(chan message, mailboxSize), pollTimer: time.NewTimer(time.Hour),
		schedule: pollSchedule{balancerCount: source.BalancerCount, fromAgent: source.FromAgent, random: rand.Float64},
	}
	c.pollTimer.Stop()
	switch {
	case known == nil || len(known.Endpoints) == 0:
	case source.FromAgent:
		c.initialList = known
	default:
		c.resumeSeq = known.Seq
		c.Endpoints.Replace(known)
	}
	return c
}

// Run serves the mailbox and begins the polls until ctx ends.
func (c *Client) Run(ctx context.Context) {
	delay := c.schedule.initialDelay(time.Now())
	if !c.Endpoints.HasEndpoints() { // nothing can be served before
		delay = 0
	}
	c.pollTimer.Reset(delay)
	agentTimer := time.NewTimer(agentGrace)
	defer agentTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			c.pollTimer.Stop()
			c.activeWatch.cancel()
			c.cancelPending()
			return
		case m := <-c.mailbox:
			m.handle(c)
		case <-c.pollTimer.C:
			c.startPoll(time.Now())
		case <-agentTimer.C:
			c.applyInitialList()
		}
	}
}

// SetSource changes how the list is served. The active watch stays.
func (c *Client) SetSource(source Source) { c.mailbox <- sourceChanged{source} }

// SetAddress follows the list at another address. The list stays as it is until that service sends one.
func (c *Client) SetAddress(addr string) { c.mailbox <- addressChanged{addr} }

// switchAddress polls the new address at once and keeps the old watch until it ends or the new service speaks. Sequence
// numbers of one service mean nothing to another, so the full list is requested.
func (c *Client) switchAddress(addr string) {
	if addr == c.addr {
		return
	}
	c.cancelPending()
	c.addr, c.resumeSeq, c.appliedSeq, c.staleUpdates = addr, -1, -1, 0
	c.activeWatchSuspect = c.activeWatch != nil && c.activeWatch.addr == addr // back at a service left before: its numbers were dropped
	now := time.Now()
	c.schedule.onSourceChanged(now)
	c.startPoll(now)
}

// applyInitialList puts the list known at the start in force: the agent has not answered.
func (c *Client) applyInitialList() {
	if known := c.initialList; known != nil {
		c.initialList = nil
		c.Endpoints.Replace(known)
		c.listener.OnEndpoints(&Update{Seq: known.Seq, Full: true, Endpoints: known.Endpoints})
	}
}
