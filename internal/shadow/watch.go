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
	kinds
)

var names = [kinds]string{"server", "wait", "refuse", "fail", "timeout", "copy", "close", "message"}

// String names the kind as log lines do.
func (k DifferenceKind) String() string { return names[k] }

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
	Differences [kinds]int
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

// judge is the second balancer with what it did on the event at hand. It is the balancer's Actions.
type judge struct {
	balancer  *decide.Balancer
	acts      []Action
	out       map[string]int // attempts of the serving balancer out, by request
	following bool           // what it does now repeats what was really done
	counts    Counts
}

func newJudge(set decide.Settings, seed uint64) *judge {
	j := &judge{out: map[string]int{}}
	j.balancer = decide.New(set, seed, j)
	return j
}

func (j *judge) note(a Action) {
	if !j.following {
		j.acts = append(j.acts, a)
	}
}

func (j *judge) SendAttempt(request, server string, timeout int64) {
	j.note(Action{SendAttempt, request, server, timeout})
}
func (j *judge) Reject(request string, _ int64) { j.note(Action{Kind: Reject, Request: request}) }
func (j *judge) Fail(request string)            { j.note(Action{Kind: Fail, Request: request}) }
func (j *judge) CloseIdleConnections(server string) {
	j.note(Action{Kind: CloseIdleConnections, Server: server})
}
func (j *judge) SendGossip(int, []byte)    { j.note(Action{Kind: SendGossip}) }
func (j *judge) SetTimer(int64, int64)     {} // it is shown the timers of the serving one
func (j *judge) CancelAttempt(string, int) {}
func (j *judge) CheckHealth(string)        {}
func (j *judge) WatchEndpoints(bool)       {}
func (j *judge) Log(string)                {}

// see shows the second balancer an event, compares, and brings its books in line with what was really done.
func (j *judge) see(e Event) {
	j.acts = j.acts[:0]
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
		if j.out[e.AttemptEnded]--; j.out[e.AttemptEnded] <= 0 {
			delete(j.out, e.AttemptEnded)
		}
	}
	j.compare(e.Actions, j.acts, known)
	j.following = true
	defer func() { j.following = false }()
	sent := map[string]bool{}
	for _, a := range e.Actions {
		sent[a.Request] = sent[a.Request] || a.Kind == SendAttempt
	}
	for _, a := range j.acts {
		if a.Kind == SendAttempt && !sent[a.Request] {
			j.balancer.FollowAttempt(e.Now, a.Request, "")
		}
	}
	for _, a := range e.Actions {
		switch a.Kind {
		case SendAttempt:
			j.out[a.Request]++
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
	done   bool
	act    Action
	copies int
}

// compare counts the decisions of an event and those that differ. A request counts where either did something with
// it; one that the second answered on an earlier event does not.
func (j *judge) compare(real, own []Action, known map[string]bool) {
	a, b := j.decisions(real), j.decisions(own)
	for id := range b {
		if _, met := a[id]; !met {
			a[id] = decision{}
		}
	}
	for id, x := range a {
		y := b[id]
		if !y.done && !known[id] && !j.balancer.IsOpen(id) {
			continue
		}
		j.counts.Compared++
		if kind, differs := differ(x, y); differs {
			j.counts.Differences[kind]++
		}
		if x.copies != y.copies {
			j.counts.Differences[DifferentHedging]++
		}
	}
	for kind, do := range map[DifferenceKind]ActionKind{DifferentIdleClose: CloseIdleConnections, DifferentGossip: SendGossip} {
		if count(real, do) != count(own, do) {
			j.counts.Differences[kind]++
		}
	}
}

func (j *judge) decisions(acts []Action) map[string]decision {
	m := map[string]decision{}
	for _, a := range acts {
		if a.Kind > Fail {
			continue
		}
		d := m[a.Request]
		if a.Kind == SendAttempt && (j.out[a.Request] > 0 || d.done) {
			d.copies++
		}
		d.done, d.act = true, a
		m[a.Request] = d
	}
	return m
}

// differ tells in what two decisions on one request differ.
func differ(x, y decision) (DifferenceKind, bool) {
	either := func(do ActionKind) bool { return x.done && x.act.Kind == do || y.done && y.act.Kind == do }
	switch {
	case x.done && y.done && x.act.Kind == y.act.Kind:
		if x.act.Kind == SendAttempt && x.act.Server != y.act.Server {
			return DifferentServer, true
		}
		return DifferentTimeout, x.act.Timeout != y.act.Timeout
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

const mailbox = 4096

// Evaluator is the actor. A nil Watch sees nothing.
type Evaluator struct {
	box   chan Event
	stop  chan struct{} // closed by the serving actor: nothing more is shown
	ended bool          // of the serving actor
}

// New makes a watch that takes events from now on; Run judges them.
func New() *Evaluator { return &Evaluator{box: make(chan Event, mailbox), stop: make(chan struct{})} }

// Observe shows the watch an event. It never blocks; the serving actor alone calls it.
func (w *Evaluator) Observe(e Event) {
	if w == nil || w.ended {
		return
	}
	select {
	case w.box <- e:
	default: // a gap would leave its books wrong for good
		w.ended = true
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
	j := newJudge(set, seed)
	j.balancer.Start(now)
	tick := time.NewTicker(every)
	defer tick.Stop()
	defer func() { log.Printf("event=watch %s", j.counts) }()
	for {
		select {
		case e := <-w.box:
			j.see(e)
		case <-tick.C:
			log.Printf("event=watch %s", j.counts)
		case <-w.stop:
			return
		case <-done:
			return
		}
	}
}
