// Package lifecycle owns what stage a sidecar's process is at. Everybody else reads it.
package lifecycle

import "sync"

// Stage is what a process does for clients.
type Stage uint8

const (
	Starting Stage = iota // it can't serve yet
	Serving
	Drained // serves what still comes, wants nothing new; can be undone
	Ending  // the same, and ends; can't be undone
)

// String names the stage as log lines and answers do.
func (s Stage) String() string {
	names := [...]string{"starting", "serving", "drained", "ending"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// Owner holds the stage. The zero value is starting. Its methods never wait for anything but each other.
type Owner struct {
	mu       sync.Mutex
	canServe bool
	drained  bool
	ending   bool
	stage    Stage
	changed  chan struct{} // closed at the next change; nil: nobody has asked
}

// Stage is the present stage.
func (o *Owner) Stage() Stage {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stage
}

// Watch returns the present stage and a channel that is closed once it is another.
func (o *Owner) Watch() (Stage, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.changed == nil {
		o.changed = make(chan struct{})
	}
	return o.stage, o.changed
}

// CanServe tells whether the process has been able to serve since its start, drained or not, and is not ending.
func (o *Owner) CanServe() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.canServe && !o.ending
}

// Serve tells that the process can serve from now on. A drain begun before stays.
func (o *Owner) Serve() Stage { return o.set(func() { o.canServe = true }) }

// Drain empties the process until Undrain.
func (o *Owner) Drain() Stage { return o.set(func() { o.drained = true }) }

// Undrain ends the operators' drain. It does not undo End. Guards against an operator's word that brings back
// a process which SIGTERM is ending.
func (o *Owner) Undrain() Stage { return o.set(func() { o.drained = false }) }

// End ends the process once it is empty.
func (o *Owner) End() Stage { return o.set(func() { o.ending = true }) }

func (o *Owner) set(change func()) Stage {
	o.mu.Lock()
	defer o.mu.Unlock()
	change()
	was := o.stage
	switch {
	case o.ending:
		o.stage = Ending
	case o.drained:
		o.stage = Drained
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
