// Package lifecycle owns the stage of a sidecar's process. Operators and signals change the stage; the frontend and the
// admin API read it.
package lifecycle

import "sync"

// Stage is the stage of a process with respect to serving clients.
type Stage uint8

// Stages of a process.
const (
	Starting    Stage = iota // the process can't serve yet
	Serving                  // the process serves requests and reports that it is ready
	Draining                 // the process serves requests but reports that it isn't ready; operators can undo this
	Terminating              // as Draining, but the process exits once no request is in flight; this can't be undone
)

// String returns the name of the stage in log lines and in responses of the admin API.
func (s Stage) String() string {
	names := [...]string{"starting", "serving", "drained", "ending"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// Tracker holds the stage of a process. The zero value is in the stage Starting. Its methods may be called from any
// goroutine and don't block.
type Tracker struct {
	mu          sync.Mutex
	ready       bool
	draining    bool
	terminating bool
	stage       Stage
	changed     chan struct{} // closed at the next change; nil: there is no watcher
}

// Stage returns the current stage.
func (t *Tracker) Stage() Stage {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stage
}

// Watch returns the current stage and a channel that is closed when the stage changes.
func (t *Tracker) Watch() (Stage, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return t.stage, t.changed
}

// CanServe returns whether the process is ready and isn't terminating. A draining process can serve.
func (t *Tracker) CanServe() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ready && !t.terminating
}

// MarkReady records that the process can serve, and returns the new stage. It doesn't end a drain.
func (t *Tracker) MarkReady() Stage { return t.update(func() { t.ready = true }) }

// StartDraining drains the process until StopDraining is called, and returns the new stage.
func (t *Tracker) StartDraining() Stage { return t.update(func() { t.draining = true }) }

// StopDraining undoes StartDraining, but not Terminate, and returns the new stage.
func (t *Tracker) StopDraining() Stage { return t.update(func() { t.draining = false }) }

// Terminate drains the process permanently, and returns the new stage.
func (t *Tracker) Terminate() Stage { return t.update(func() { t.terminating = true }) }

// update applies a change and notifies the watchers if it changes the stage.
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
