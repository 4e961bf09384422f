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

// Kind is the kind of a decision in which the two balancers can differ.
type Kind uint8

const (
	Server  Kind = iota // an attempt at another server
	Wait                // one sends, the other lets the request wait
	Refuse              // one alone refuses
	Fail                // one alone fails the request
	Timeout             // an attempt at the same server may take another time
	Copy                // a second attempt while the first is out
	Close               // idle connections closed
	Message             // a message to another balancer
	kinds
)

var names = [kinds]string{"server", "wait", "refuse", "fail", "timeout", "copy", "close", "message"}

// String names the kind as log lines do.
func (k Kind) String() string { return names[k] }

// Act is one action of a balancer.
type Act struct {
	Do      Do
	Request string
	Server  string
	Time    int64 // of an attempt
}

// Do is what an action does.
type Do uint8

const (
	Send Do = iota
	Refused
	Failed
	Closed
	Told
)

// Event is what the serving balancer was told, and what it did then.
type Event struct {
	Now     int64
	Apply   func(*decide.Balancer)
	Second  func(*decide.Balancer) // for the second balancer, where that is told otherwise; nil: Apply
	Settles string                 // the request of which an attempt ended
	Ends    string                 // the request that this ended
	Acts    []Act
}

// Counts are the decisions compared and those that differed, by kind.
type Counts struct {
	Compared int
	Differ   [kinds]int
}

// String renders the counts as fields of a log line.
func (c Counts) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "compared=%d", c.Compared)
	for k, n := range c.Differ {
		fmt.Fprintf(&b, " %s=%d", Kind(k), n)
	}
	return b.String()
}

// judge is the second balancer with what it did on the event at hand. It is the balancer's Actions.
type judge struct {
	balancer  *decide.Balancer
	acts      []Act
	out       map[string]int // attempts of the serving balancer out, by request
	following bool           // what it does now repeats what was really done
	counts    Counts
}

func newJudge(set decide.Settings, seed uint64) *judge {
	j := &judge{out: map[string]int{}}
	j.balancer = decide.New(set, seed, j)
	return j
}

func (j *judge) note(a Act) {
	if !j.following {
		j.acts = append(j.acts, a)
	}
}

func (j *judge) SendAttempt(request, server string, timeout int64) {
	j.note(Act{Send, request, server, timeout})
}
func (j *judge) Reject(request string, _ int64)     { j.note(Act{Do: Refused, Request: request}) }
func (j *judge) Fail(request string)                { j.note(Act{Do: Failed, Request: request}) }
func (j *judge) CloseIdleConnections(server string) { j.note(Act{Do: Closed, Server: server}) }
func (j *judge) SendGossip(int, []byte)             { j.note(Act{Do: Told}) }
func (j *judge) SetTimer(int64, int64)              {} // it is shown the timers of the serving one
func (j *judge) CancelAttempt(string, int)          {}
func (j *judge) CheckHealth(string)                 {}
func (j *judge) WatchEndpoints(bool)                {}
func (j *judge) Log(string)                         {}

// see shows the second balancer an event, compares, and brings its books in line with what was really done.
func (j *judge) see(e Event) {
	j.acts = j.acts[:0]
	known := map[string]bool{} // requests that the second has not answered: of others it can say nothing
	for _, a := range e.Acts {
		known[a.Request] = a.Request != "" && j.balancer.IsOpen(a.Request)
	}
	if e.Second != nil {
		e.Second(j.balancer)
	} else {
		e.Apply(j.balancer)
	}
	if e.Settles != "" {
		if j.out[e.Settles]--; j.out[e.Settles] <= 0 {
			delete(j.out, e.Settles)
		}
	}
	j.compare(e.Acts, j.acts, known)
	j.following = true
	defer func() { j.following = false }()
	sent := map[string]bool{}
	for _, a := range e.Acts {
		sent[a.Request] = sent[a.Request] || a.Do == Send
	}
	for _, a := range j.acts {
		if a.Do == Send && !sent[a.Request] {
			j.balancer.FollowAttempt(e.Now, a.Request, "")
		}
	}
	for _, a := range e.Acts {
		switch a.Do {
		case Send:
			j.out[a.Request]++
			j.balancer.FollowAttempt(e.Now, a.Request, a.Server)
		case Refused, Failed:
			j.balancer.OnClientDisconnected(e.Now, a.Request)
		}
	}
	if e.Ends != "" {
		j.balancer.OnClientDisconnected(e.Now, e.Ends)
	}
}

// decision is what a balancer did with one request on one event.
type decision struct {
	done   bool
	act    Act
	copies int
}

// compare counts the decisions of an event and those that differ. A request counts where either did something with
// it; one that the second answered on an earlier event does not.
func (j *judge) compare(real, own []Act, known map[string]bool) {
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
			j.counts.Differ[kind]++
		}
		if x.copies != y.copies {
			j.counts.Differ[Copy]++
		}
	}
	for kind, do := range map[Kind]Do{Close: Closed, Message: Told} {
		if count(real, do) != count(own, do) {
			j.counts.Differ[kind]++
		}
	}
}

func (j *judge) decisions(acts []Act) map[string]decision {
	m := map[string]decision{}
	for _, a := range acts {
		if a.Do > Failed {
			continue
		}
		d := m[a.Request]
		if a.Do == Send && (j.out[a.Request] > 0 || d.done) {
			d.copies++
		}
		d.done, d.act = true, a
		m[a.Request] = d
	}
	return m
}

// differ tells in what two decisions on one request differ.
func differ(x, y decision) (Kind, bool) {
	either := func(do Do) bool { return x.done && x.act.Do == do || y.done && y.act.Do == do }
	switch {
	case x.done && y.done && x.act.Do == y.act.Do:
		if x.act.Do == Send && x.act.Server != y.act.Server {
			return Server, true
		}
		return Timeout, x.act.Time != y.act.Time
	case either(Refused):
		return Refuse, true
	case either(Failed):
		return Fail, true
	}
	return Wait, true
}

func count(acts []Act, do Do) (n int) {
	for _, a := range acts {
		if a.Do == do {
			n++
		}
	}
	return n
}

const mailbox = 4096

// Watch is the actor. A nil Watch sees nothing.
type Watch struct {
	box   chan Event
	stop  chan struct{} // closed by the serving actor: nothing more is shown
	ended bool          // of the serving actor
}

// New makes a watch that takes events from now on; Run judges them.
func New() *Watch { return &Watch{box: make(chan Event, mailbox), stop: make(chan struct{})} }

// See shows the watch an event. It never blocks; the serving actor alone calls it.
func (w *Watch) See(e Event) {
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
func (w *Watch) Run(now int64, set decide.Settings, seed uint64, every time.Duration, done <-chan struct{}) {
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
