package shadow

import "damsonscale/decide"

// comparer compares the actions of the shadow balancer with those of the serving balancer. It implements decide.Actions for
// the shadow balancer and records its actions on the current event.
type comparer struct {
	balancer  *decide.Balancer // shadow balancer
	actions   []Action         // actions of the shadow balancer on the current event
	inFlight  map[string]int   // number of attempts that the serving balancer has in flight, by request ID
	replaying bool             // the shadow balancer follows the serving balancer's actions; its own are not recorded
	counts    Counts
}

func newComparer(settings decide.Settings, seed uint64) *comparer {
	c := &comparer{inFlight: map[string]int{}}
	c.balancer = decide.New(settings, seed, c)
	return c
}

func (c *comparer) record(a Action) {
	if !c.replaying {
		c.actions = append(c.actions, a)
	}
}

// SendAttempt implements decide.Actions.
func (c *comparer) SendAttempt(request, server string, timeout int64) {
	c.record(Action{SendAttempt, request, server, timeout})
}

// Reject implements decide.Actions.
func (c *comparer) Reject(request string, _ int64) { c.record(Action{Kind: Reject, Request: request}) }

// Fail implements decide.Actions.
func (c *comparer) Fail(request string) { c.record(Action{Kind: Fail, Request: request}) }

// CloseIdleConnections implements decide.Actions.
func (c *comparer) CloseIdleConnections(server string) {
	c.record(Action{Kind: CloseIdleConnections, Server: server})
}

// SendGossip implements decide.Actions.
func (c *comparer) SendGossip(int, []byte) { c.record(Action{Kind: SendGossip}) }

// SetTimer implements decide.Actions. It does nothing, because the shadow balancer gets the serving balancer's timer events.
func (c *comparer) SetTimer(int64, int64) {}

// CancelAttempt implements decide.Actions; it is not compared.
func (c *comparer) CancelAttempt(string, int) {}

// CheckHealth implements decide.Actions; it is not compared.
func (c *comparer) CheckHealth(string) {}

// WatchEndpoints implements decide.Actions; it is not compared.
func (c *comparer) WatchEndpoints(bool) {}

// Log implements decide.Actions and discards the line.
func (c *comparer) Log(string) {}

// observe passes an event to the shadow balancer, compares its actions with those of the serving balancer, and then has the
// shadow balancer follow the serving balancer.
func (c *comparer) observe(e Event) {
	c.actions = c.actions[:0]
	// openBefore has the requests that the shadow balancer had not answered before this event. A request that it answered
	// earlier cannot be compared.
	openBefore := map[string]bool{}
	for _, a := range e.Actions {
		openBefore[a.Request] = a.Request != "" && c.balancer.IsOpen(a.Request)
	}
	if e.ApplyShadow != nil {
		e.ApplyShadow(c.balancer)
	} else {
		e.Apply(c.balancer)
	}
	if e.AttemptEnded != "" {
		if c.inFlight[e.AttemptEnded]--; c.inFlight[e.AttemptEnded] <= 0 {
			delete(c.inFlight, e.AttemptEnded)
		}
	}
	c.compare(e.Actions, c.actions, openBefore)
	c.follow(e)
}

// follow replaces the shadow balancer's own actions by those of the serving balancer.
func (c *comparer) follow(e Event) {
	c.replaying = true
	defer func() { c.replaying = false }()
	sent := map[string]bool{}
	for _, a := range e.Actions {
		sent[a.Request] = sent[a.Request] || a.Kind == SendAttempt
	}
	for _, a := range c.actions {
		if a.Kind == SendAttempt && !sent[a.Request] {
			c.balancer.FollowAttempt(e.Now, a.Request, "")
		}
	}
	for _, a := range e.Actions {
		switch a.Kind {
		case SendAttempt:
			c.inFlight[a.Request]++
			c.balancer.FollowAttempt(e.Now, a.Request, a.Server)
		case Reject, Fail:
			c.balancer.OnClientDisconnected(e.Now, a.Request)
		}
	}
	if e.RequestEnded != "" {
		c.balancer.OnClientDisconnected(e.Now, e.RequestEnded)
	}
}

// decision is the actions of a balancer for a request on an event.
type decision struct {
	made   bool   // there is an action for the request
	action Action // last action for the request
	hedges int    // number of attempts sent while another is in flight
}

// compare counts the decisions of an event and the differences between them. A request counts if either balancer took an
// action for it, unless the shadow balancer answered it on an earlier event.
func (c *comparer) compare(serving, shadow []Action, openBefore map[string]bool) {
	servingDecisions, shadowDecisions := c.decisions(serving), c.decisions(shadow)
	for id := range shadowDecisions {
		if _, ok := servingDecisions[id]; !ok {
			servingDecisions[id] = decision{}
		}
	}
	for id, x := range servingDecisions {
		y := shadowDecisions[id]
		if !y.made && !openBefore[id] && !c.balancer.IsOpen(id) {
			continue
		}
		c.counts.Compared++
		if kind, differs := difference(x, y); differs {
			c.counts.Differences[kind]++
		}
		if x.hedges != y.hedges {
			c.counts.Differences[DifferentHedging]++
		}
	}
	for kind, action := range map[DifferenceKind]ActionKind{DifferentIdleClose: CloseIdleConnections, DifferentGossip: SendGossip} {
		if count(serving, action) != count(shadow, action) {
			c.counts.Differences[kind]++
		}
	}
}

// decisions returns the decision on each request of the actions, by request ID.
func (c *comparer) decisions(actions []Action) map[string]decision {
	byRequest := map[string]decision{}
	for _, a := range actions {
		if a.Kind > Fail {
			continue
		}
		d := byRequest[a.Request]
		if a.Kind == SendAttempt && (c.inFlight[a.Request] > 0 || d.made) {
			d.hedges++
		}
		d.made, d.action = true, a
		byRequest[a.Request] = d
	}
	return byRequest
}

// difference returns whether two decisions on a request differ, and how.
func difference(x, y decision) (kind DifferenceKind, differs bool) {
	either := func(kind ActionKind) bool {
		return x.made && x.action.Kind == kind || y.made && y.action.Kind == kind
	}
	switch {
	case x.made && y.made && x.action.Kind == y.action.Kind:
		if x.action.Kind == SendAttempt && x.action.Server != y.action.Server {
			return DifferentServer, true
		}
		return DifferentTimeout, x.action.Timeout != y.action.Timeout
	case either(Reject):
		return OnlyOneRejects, true
	case either(Fail):
		return OnlyOneFails, true
	}
	return OnlyOneSends, true
}

func count(actions []Action, kind ActionKind) (n int) {
	for _, a := range actions {
		if a.Kind == kind {
			n++
		}
	}
	return n
}
