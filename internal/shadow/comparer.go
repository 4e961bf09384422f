package shadow

import "damsonscale/decide"

// comparer holds the second balancer, and is its decide.Actions: it records what that balancer does on the event at hand.
type comparer struct {
	balancer  *decide.Balancer
	actions   []Action       // on the event at hand
	inFlight  map[string]int // attempts of the serving balancer without their end, by request
	replaying bool           // the second balancer follows what was really done: its actions do not count
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

// SetTimer implements decide.Actions: the second balancer gets the timers of the serving one.
func (c *comparer) SetTimer(int64, int64) {}

// CancelAttempt implements decide.Actions; it is not compared.
func (c *comparer) CancelAttempt(string, int) {}

// CheckHealth implements decide.Actions; it is not compared.
func (c *comparer) CheckHealth(string) {}

// WatchEndpoints implements decide.Actions; it is not compared.
func (c *comparer) WatchEndpoints(bool) {}

// Log implements decide.Actions; the lines are dropped.
func (c *comparer) Log(string) {}

// observe gives the second balancer an event, compares, and has it follow what was really done.
func (c *comparer) observe(e Event) {
	c.actions = c.actions[:0]
	openBefore := map[string]bool{} // requests that the second balancer has not answered: of others it can say nothing
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

// follow replaces the second balancer's own actions by those of the serving balancer.
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

// decision is what a balancer did with one request on one event.
type decision struct {
	made   bool
	action Action // the last
	hedges int    // attempts beside one in flight
}

// compare counts the decisions of an event and those that differ. A request counts where either balancer did something with
// it, unless the second has answered it on an earlier event.
func (c *comparer) compare(serving, shadow []Action, openBefore map[string]bool) {
	ours, theirs := c.decisions(serving), c.decisions(shadow)
	for id := range theirs {
		if _, ok := ours[id]; !ok {
			ours[id] = decision{}
		}
	}
	for id, x := range ours {
		y := theirs[id]
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

// decisions returns the decision on each request that the actions name.
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

// difference returns how two decisions on one request differ, if they do.
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
