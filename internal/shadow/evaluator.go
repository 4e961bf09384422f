// Package shadow judges a second set of settings on the events of a serving balancer, without input or output, and
// counts where it would have decided otherwise.
//
// The watch is an actor of its own. What it is shown it takes from a mailbox that is never waited for: where that is
// full, or the second balancer fails, the watch ends and says so, and serving goes on untouched.
package shadow

import (
	"fmt"
	"log"
	"strings"
	"time"

	"damsonscale/decide"
)

// DifferenceKind is the kind of a decision in which the two balancers can differ.
type DifferenceKind uint8

const (
	DifferentServer    DifferenceKind = iota // an attempt at another server
	OnlyOneSends                             // one sends, the other lets the request wait
	OnlyOneRejects                           // one alone refuses
	OnlyOneFails                             // one alone fails the request
	DifferentTimeout                         // an attempt at the same server may take another time
	DifferentHedging                         // a second attempt while the first is out
	DifferentIdleClose                       // idle connections closed
	DifferentGossip                          // a message to another balancer
	differenceKinds
)

var differenceNames = [differenceKinds]string{"server", "wait", "refuse", "fail", "timeout", "copy", "close", "message"}

// String names the kind as log lines do.
func (k DifferenceKind) String() string { return differenceNames[k] }

// Action is one action of a balancer.
type Action struct {
	Kind    ActionKind
	Request string
	Server  string
	Timeout int64 // of an attempt
}

// ActionKind is what an action does.
type ActionKind uint8

const (
	SendAttempt ActionKind = iota
	Reject
	Fail
	CloseIdleConnections
	SendGossip
)

// Event is what the serving balancer was told, and what it did then.
type Event struct {
	Now          int64
	Apply        func(*decide.Balancer)
	ApplyShadow  func(*decide.Balancer) // for the second balancer, where that is told otherwise; nil: Apply
	AttemptEnded string                 // the request of which an attempt ended
	RequestEnded string                 // the request that this ended
	Actions      []Action
}

// Counts are the decisions compared and those that differed, by kind.
type Counts struct {
	Compared    int
	Differences [differenceKinds]int
}

// String renders the counts as fields of a log line.
func (c Counts) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "compared=%d", c.Compared)
	for k, n := range c.Differences {
		fmt.Fprintf(&b, " %s=%d", DifferenceKind(k), n)
	}
	return b.String()
}

// comparer is the second balancer with what it did on the event at hand. It is the balancer's Actions.
type comparer struct {
	balancer  *decide.Balancer
	actions   []Action
	inFlight  map[string]int // attempts of the serving balancer out, by request
	replaying bool           // what it does now repeats what was really done
	counts    Counts
}

func newComparer(set decide.Settings, seed uint64) *comparer {
	j := &comparer{inFlight: map[string]int{}}
	j.balancer = decide.New(set, seed, j)
	return j
}

func (j *comparer) record(a Action) {
	if !j.replaying {
		j.actions = append(j.actions, a)
	}
}

func (j *comparer) SendAttempt(request, server string, timeout int64) {
	j.record(Action{SendAttempt, request, server, timeout})
}
func (j *comparer) Reject(request string, _ int64) { j.record(Action{Kind: Reject, Request: request}) }
func (j *comparer) Fail(request string)            { j.record(Action{Kind: Fail, Request: request}) }
func (j *comparer) CloseIdleConnections(server string) {
	j.record(Action{Kind: CloseIdleConnections, Server: server})
}
func (j *comparer) SendGossip(int, []byte)    { j.record(Action{Kind: SendGossip}) }
func (j *comparer) SetTimer(int64, int64)     {} // it is shown the timers of the serving one
func (j *comparer) CancelAttempt(string, int) {}
func (j *comparer) CheckHealth(string)        {}
func (j *comparer) WatchEndpoints(bool)       {}
func (j *comparer) Log(string)                {}

// observe shows the second balancer an event, compares, and brings its books in line with what was really done.
func (j *comparer) observe(e Event) {
	j.actions = j.actions[:0]
	known := map[string]bool{} // requests that the second has not answered: of others it can say nothing
	for _, a := range e.Actions {
		known[a.Request] = a.Request != "" && j.balancer.IsOpen(a.Request)
	}
	if e.ApplyShadow != nil {
		e.ApplyShadow(j.balancer)
	} else {
		e.Apply(j.balancer)
	}
	if e.AttemptEnded != "" {
		if j.inFlight[e.AttemptEnded]--; j.inFlight[e.AttemptEnded] <= 0 {
			delete(j.inFlight, e.AttemptEnded)
		}
	}
	j.compare(e.Actions, j.actions, known)
	j.replaying = true
	defer func() { j.replaying = false }()
	sent := map[string]bool{}
	for _, a := range e.Actions {
		sent[a.Request] = sent[a.Request] || a.Kind == SendAttempt
	}
	for _, a := range j.actions {
		if a.Kind == SendAttempt && !sent[a.Request] {
			j.balancer.FollowAttempt(e.Now, a.Request, "")
		}
	}
	for _, a := range e.Actions {
		switch a.Kind {
		case SendAttempt:
			j.inFlight[a.Request]++
			j.balancer.FollowAttempt(e.Now, a.Request, a.Server)
		case Reject, Fail:
			j.balancer.OnClientDisconnected(e.Now, a.Request)
		}
	}
	if e.RequestEnded != "" {
		j.balancer.OnClientDisconnected(e.Now, e.RequestEnded)
	}
}

// decision is what a balancer did with one request on one event.
type decision struct {
	made   bool
	action Action
	hedges int
}

// compare counts the decisions of an event and those that differ. A request counts where either did something with
// it; one that the second answered on an earlier event does not.
func (j *comparer) compare(real, own []Action, known map[string]bool) {
	a, b := j.decisions(real), j.decisions(own)
	for id := range b {
		if _, met := a[id]; !met {
			a[id] = decision{}
		}
	}
	for id, x := range a {
		y := b[id]
		if !y.made && !known[id] && !j.balancer.IsOpen(id) {
			continue
		}
		j.counts.Compared++
		if kind, differs := difference(x, y); differs {
			j.counts.Differences[kind]++
		}
		if x.hedges != y.hedges {
			j.counts.Differences[DifferentHedging]++
		}
	}
	for kind, do := range map[DifferenceKind]ActionKind{DifferentIdleClose: CloseIdleConnections, DifferentGossip: SendGossip} {
		if count(real, do) != count(own, do) {
			j.counts.Differences[kind]++
		}
	}
}

func (j *comparer) decisions(acts []Action) map[string]decision {
	m := map[string]decision{}
	for _, a := range acts {
		if a.Kind > Fail {
			continue
		}
		d := m[a.Request]
		if a.Kind == SendAttempt && (j.inFlight[a.Request] > 0 || d.made) {
			d.hedges++
		}
		d.made, d.action = true, a
		m[a.Request] = d
	}
	return m
}

// difference tells in what two decisions on one request differ.
func difference(x, y decision) (DifferenceKind, bool) {
	either := func(do ActionKind) bool { return x.made && x.action.Kind == do || y.made && y.action.Kind == do }
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

func count(acts []Action, do ActionKind) (n int) {
	for _, a := range acts {
		if a.Kind == do {
			n++
		}
	}
	return n
}

const mailboxSize = 4096

// Evaluator is the actor. A nil Watch sees nothing.
type Evaluator struct {
	mailbox chan Event
	stop    chan struct{} // closed by the serving actor: nothing more is shown
	stopped bool          // of the serving actor
}

// New makes a watch that takes events from now on; Run judges them.
func New() *Evaluator {
	return &Evaluator{mailbox: make(chan Event, mailboxSize), stop: make(chan struct{})}
}

// Observe shows the watch an event. It never blocks; the serving actor alone calls it.
func (w *Evaluator) Observe(e Event) {
	if w == nil || w.stopped {
		return
	}
	select {
	case w.mailbox <- e:
	default: // a gap would leave its books wrong for good
		w.stopped = true
		close(w.stop)
		log.Print("event=watch_stopped cause=\"cannot keep up\"")
	}
}

// Run judges until done is closed, the mailbox ran over, or the second balancer fails.
func (w *Evaluator) Run(now int64, set decide.Settings, seed uint64, every time.Duration, done <-chan struct{}) {
	defer func() {
		if cause := recover(); cause != nil {
			log.Printf("event=watch_stopped cause=%q", fmt.Sprint(cause))
		}
	}()
	j := newComparer(set, seed)
	j.balancer.Start(now)
	tick := time.NewTicker(every)
	defer tick.Stop()
	defer func() { log.Printf("event=watch %s", j.counts) }()
	for {
		select {
		case e := <-w.mailbox:
			j.observe(e)
		case <-tick.C:
			log.Printf("event=watch %s", j.counts)
		case <-w.stop:
			return
		case <-done:
			return
		}
	}
}
