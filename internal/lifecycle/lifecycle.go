// Package lifecycle owns what stage a sidecar's process is at. Everybody else reads it.
package lifecycle

import "sync"

// Stage is what a process does for clients.
type Stage uint8

const (
	Starting Stage = iota // it can't serve yet
	Serving
	Draining    // serves what still comes, wants nothing new; can be undone
	Terminating // the same, and ends; can't be undone
)

// String names the stage as log lines and answers do.
func (s Stage) String() string {
	names := [...]string{"starting", "serving", "drained", "ending"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// Tracker holds the stage. The zero value is starting. Its methods never wait for anything but each other.
type Tracker struct {
	mu       sync.Mutex
	canServe bool
	drained  bool
	ending   bool
	stage    Stage
	changed  chan struct{} // closed at the next change; nil: nobody has asked
}

// Stage is the present stage.
func (o *Tracker) Stage() Stage {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stage
}

// Watch returns the present stage and a channel that is closed once it is another.
func (o *Tracker) Watch() (Stage, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.changed == nil {
		o.changed = make(chan struct{})
	}
	return o.stage, o.changed
}

// CanServe tells whether the process has been able to serve since its start, drained or not, and is not ending.
func (o *Tracker) CanServe() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.canServe && !o.ending
}

// MarkReady tells that the process can serve from now on. A drain begun before stays.
func (o *Tracker) MarkReady() Stage { return o.set(func() { o.canServe = true }) }

// StartDraining empties the process until Undrain.
func (o *Tracker) StartDraining() Stage { return o.set(func() { o.drained = true }) }

// StopDraining ends the operators' drain. It does not undo End. Guards against an operator's word that brings back
// a process which SIGTERM is ending.
func (o *Tracker) StopDraining() Stage { return o.set(func() { o.drained = false }) }

// Terminate ends the process once it is empty.
func (o *Tracker) Terminate() Stage { return o.set(func() { o.ending = true }) }

func (o *Tracker) set(change func()) Stage {
	o.mu.Lock()
	defer o.mu.Unlock()
	change()
	was := o.stage
	switch {
	case o.ending:
		o.stage = Terminating
	case o.drained:
		o.stage = Draining
	case o.canServe:
		o.stage = Serving
	default:
		o.stage = Starting
	}
	if o.stage != was && o.changed != nil {
		close(o.changed)
		o.changed = nil
	}
	return o.stage
}
