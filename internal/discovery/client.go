package discovery

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	mailboxSize          = 64
	maxPendingPolls      = 6 // bounds the polls that wait for a response at the same time
	maxPendingAgentPolls = 3 // bounds the pending polls of an agent, which has no request queue

	// MaxSockets bounds the sockets of a Client: one for the active watch and one for each pending poll.
	MaxSockets = 1 + maxPendingPolls

	// agentGrace is how long a starting process waits for the agent's list before it uses the list that it was started
	// with: a change that the agent knows at the start must be in force from the first request on.
	agentGrace = 300 * time.Millisecond
)

// Listener is notified of each update that is applied. OnEndpoints may block; the Client's goroutine then waits.
type Listener interface {
	OnEndpoints(*Update)
}

// Source describes how the endpoint list is served.
type Source struct {
	FromAgent     bool // an agent on this machine serves the list, to this process only
	BalancerCount int  // number of balancers that poll the discovery service
}

// Client keeps the endpoint list up to date. All fields except Endpoints belong to the goroutine of Run.
//
// A poll without a response stays open while later polls begin. The first poll that gets a response becomes the active
// watch, and the other polls are cancelled. If each poll cancelled the previous one, an overloaded service that handles
// requests in order would only ever reach cancelled requests.
type Client struct {
	Endpoints *EndpointSet

	addr      string
	listener  Listener
	mailbox   chan message
	pollTimer *time.Timer // fires when the next poll is due
	schedule  pollSchedule
	log       limitedLog

	activeWatch        *subscription   // delivers updates; may be of the previous address until the new service sends a message; nil: none
	activeWatchSuspect bool            // activeWatch has missed a heartbeat
	pendingPolls       []*subscription // polls without a message yet, oldest first
	pollCount          int             // polls started by this Client

	resumeSeq    int64 // sequence number that the next poll resumes from; -1: request the full list
	appliedSeq   int64 // sequence number of the list in force; -1: the list is not of this service
	staleUpdates int   // consecutive updates with a sequence number below appliedSeq

	initialList *Update // list that the process was started with, kept for an agent that does not respond; nil: none or already used
}

// message is an event in the mailbox. handle runs on the Client's goroutine.
type message interface{ handle(*Client) }

// sourceChanged reports a change of how the list is served.
type sourceChanged struct{ source Source }

func (m sourceChanged) handle(c *Client) {
	c.schedule.fromAgent, c.schedule.balancerCount = m.source.FromAgent, m.source.BalancerCount
}

// addressChanged reports a new address of the discovery service.
type addressChanged struct{ addr string }

func (m addressChanged) handle(c *Client) { c.switchAddress(m.addr) }

// New returns a Client. known is the list that the process was started with, or nil. It is in force at once, unless the
// source is an agent: then it is applied, and the listener notified, only if the agent does not respond in time.
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

// Run processes the mailbox and starts polls until ctx is done.
func (c *Client) Run(ctx context.Context) {
	delay := c.schedule.initialDelay(time.Now())
	if !c.Endpoints.HasEndpoints() { // no request can be served until a list arrives
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

// SetSource changes how the list is served. The active watch stays open.
func (c *Client) SetSource(source Source) { c.mailbox <- sourceChanged{source} }

// SetAddress switches to the discovery service at addr. The current list stays in force until that service sends a list.
func (c *Client) SetAddress(addr string) { c.mailbox <- addressChanged{addr} }

// switchAddress polls the new address at once and keeps the old watch until it ends or the new service sends a message.
// Sequence numbers of two services are not comparable, so the poll requests the full list.
func (c *Client) switchAddress(addr string) {
	if addr == c.addr {
		return
	}
	c.cancelPending()
	c.addr, c.resumeSeq, c.appliedSeq, c.staleUpdates = addr, -1, -1, 0
	c.activeWatchSuspect = c.activeWatch != nil && c.activeWatch.addr == addr // back at the address of the watch: poll for the full list
	now := time.Now()
	c.schedule.onSourceChanged(now)
	c.startPoll(now)
}

// applyInitialList puts the list that the process was started with in force, because the agent does not respond.
func (c *Client) applyInitialList() {
	if known := c.initialList; known != nil {
		c.initialList = nil
		c.Endpoints.Replace(known)
		c.listener.OnEndpoints(&Update{Seq: known.Seq, Full: true, Endpoints: known.Endpoints})
	}
}
