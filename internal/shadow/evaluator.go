package shadow

import (
	"fmt"
	"time"

	"damsonscale/decide"
	"damsonscale/internal/eventlog"
)

// mailboxSize is the maximum number of events that are queued.
const mailboxSize = 4096

// Names of log events.
const (
	eventCompared = "shadow_compared"
	eventStopped  = "shadow_stopped"
)

// Evaluator is the actor that evaluates the second set of settings. A nil Evaluator ignores all events.
type Evaluator struct {
	mailbox chan Event
	stop    chan struct{} // closed by the serving actor when it stops passing events
	stopped bool          // stop is closed; owned by the serving actor
}

// New returns an Evaluator that queues events until Run evaluates them.
func New() *Evaluator {
	return &Evaluator{mailbox: make(chan Event, mailboxSize), stop: make(chan struct{})}
}

// Observe passes the evaluator an event. It never blocks. Only the serving actor may call it.
func (e *Evaluator) Observe(event Event) {
	if e == nil || e.stopped {
		return
	}
	select {
	case e.mailbox <- event:
	default: // if it missed this event, the shadow balancer's state would stay wrong, so the evaluation ends
		e.stopped = true
		close(e.stop)
		eventlog.Warn(eventStopped, nil, "cause", "cannot keep up")
	}
}

// Run evaluates events until done is closed, the mailbox is full, or the shadow balancer panics. It logs the counts at each
// logInterval and at the end. now is the current time of the balancers, in µs.
func (e *Evaluator) Run(now int64, settings decide.Settings, seed uint64, logInterval time.Duration, done <-chan struct{}) {
	defer func() {
		if cause := recover(); cause != nil {
			eventlog.Warn(eventStopped, nil, "cause", fmt.Sprint(cause))
		}
	}()
	c := newComparer(settings, seed)
	c.balancer.Start(now)
	tick := time.NewTicker(logInterval)
	defer tick.Stop()
	defer func() { eventlog.Info(eventCompared, c.counts.fields()...) }()
	for {
		select {
		case event := <-e.mailbox:
			c.observe(event)
		case <-tick.C:
			eventlog.Info(eventCompared, c.counts.fields()...)
		case <-e.stop:
			return
		case <-done:
			return
		}
	}
}
