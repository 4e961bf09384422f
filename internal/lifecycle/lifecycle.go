// Package lifecycle owns the stage of a sidecar's process. Operators and signals change it; the frontend and the admin
// API read it.
package lifecycle

import "sync"

// Stage is what a process does for clients.
type Stage uint8

// Stages of a process.
const (
	Starting    Stage = iota // it can't serve yet
	Serving                  // it accepts requests and reports that it is ready
	Draining                 // it serves what still comes and reports that it isn't ready; operators can undo it
	Terminating              // the same, and the process exits once it is idle; nothing undoes it
)

// String names the stage as log lines and the admin API's answers do.
func (s Stage) String() string {
	names := [...]string{"starting", "serving", "drained", "ending"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// Tracker holds the stage of one process. Its zero value is starting. Its methods may be called from any goroutine and
// don't block.
type Tracker struct {
	mu          sync.Mutex
	ready       bool
	draining    bool
	terminating bool
	stage       Stage
	changed     chan struct{} // closed at the next change; nil: nobody watches
}

// Stage returns the present stage.
func (t *Tracker) Stage() Stage {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stage
}

// Watch returns the present stage, and a channel that is closed once it is another.
func (t *Tracker) Watch() (Stage, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return t.stage, t.changed
}

// CanServe returns whether the process has become ready and isn't terminating, draining or not.
func (t *Tracker) CanServe() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ready && !t.terminating
}

// MarkReady records that the process can serve from now on, and returns the stage. It doesn't end a drain.
func (t *Tracker) MarkReady() Stage { return t.update(func() { t.ready = true }) }

// StartDraining drains the process until StopDraining, and returns the stage.
func (t *Tracker) StartDraining() Stage { return t.update(func() { t.draining = true }) }

// StopDraining undoes StartDraining, but not Terminate, and returns the stage.
func (t *Tracker) StopDraining() Stage { return t.update(func() { t.draining = false }) }

// Terminate drains the process for good, and returns the stage.
func (t *Tracker) Terminate() Stage { return t.update(func() { t.terminating = true }) }

// update applies a change and wakes watchers if the stage is another.
func (t *Tracker) update(change func()) Stage {
	t.mu.Lock()
	defer t.mu.Unlock()
	change()
	previous := t.stage
	switch {
	case t.terminating:
		t.stage = Terminating
	case t.draining:
		t.stage = Draining
	case t.ready:
		t.stage = Serving
	default:
		t.stage = Starting
	}
	if t.stage != previous && t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
	return t.stage
}
