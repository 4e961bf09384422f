package lifecycle

import (
	"sync"
	"testing"
)

// Each row is a history and the stage it leads to. Guards against a drain that survives its end, and against an end
// that an operator's word undoes.
func TestStages(t *testing.T) {
	type step = func(*Tracker) Stage
	serve, drain, undrain, end := (*Tracker).MarkReady, (*Tracker).StartDraining, (*Tracker).StopDraining, (*Tracker).Terminate
	for _, c := range []struct {
		name  string
		steps []step
		want  Stage
		can   bool
	}{
		{"new", nil, Starting, false},
		{"served", []step{serve}, Serving, true},
		{"drained", []step{serve, drain, drain}, Draining, true},
		{"drained before it serves", []step{drain, serve}, Draining, true},
		{"undrained before it serves", []step{drain, undrain}, Starting, false},
		{"quick turns", []step{serve, drain, undrain, drain, undrain}, Serving, true},
		{"ok without fail", []step{serve, undrain}, Serving, true},
		{"ending", []step{serve, end}, Terminating, false},
		{"ok does not undo the end", []step{serve, drain, end, undrain}, Terminating, false},
		{"serve does not undo the end", []step{end, serve}, Terminating, false},
	} {
		o := &Tracker{}
		for _, s := range c.steps {
			s(o)
		}
		if got := o.Stage(); got != c.want || o.CanServe() != c.can {
			t.Errorf("%s: %v, can serve %v", c.name, got, o.CanServe())
		}
	}
}

// A watcher hears of a change, and not of a word that changes nothing.
func TestWatch(t *testing.T) {
	o := &Tracker{}
	stage, changed := o.Watch()
	if stage != Starting {
		t.Fatal(stage)
	}
	o.StopDraining()
	select {
	case <-changed:
		t.Fatal("told of no change")
	default:
	}
	o.MarkReady()
	<-changed
	stage, changed = o.Watch()
	if stage != Serving {
		t.Fatal(stage)
	}
	o.StartDraining()
	<-changed
}

// Callers at once end in a stage that one of their orders gives.
func TestAtOnce(t *testing.T) {
	o := &Tracker{}
	o.MarkReady()
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() { o.StartDraining(); o.Watch() })
		wg.Go(func() { o.StopDraining(); o.Stage() })
	}
	wg.Wait()
	if s := o.Stage(); s != Serving && s != Draining {
		t.Fatal(s)
	}
}
