package lifecycle

import (
	"sync"
	"testing"
)

// Each row is a sequence of calls and the stage that it leads to.
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
		tracker := &Tracker{}
		for _, s := range c.steps {
			s(tracker)
		}
		if got := tracker.Stage(); got != c.want || tracker.CanServe() != c.can {
			t.Errorf("%s: %v, can serve %v", c.name, got, tracker.CanServe())
		}
	}
}

// A watcher is woken by a change of the stage, and by nothing else.
func TestWatch(t *testing.T) {
	tracker := &Tracker{}
	stage, changed := tracker.Watch()
	if stage != Starting {
		t.Fatal(stage)
	}
	tracker.StopDraining()
	select {
	case <-changed:
		t.Fatal("woken without a change")
	default:
	}
	tracker.MarkReady()
	<-changed
	stage, changed = tracker.Watch()
	if stage != Serving {
		t.Fatal(stage)
	}
	tracker.StartDraining()
	<-changed
}

// Concurrent calls end in a stage that one of their orders gives.
func TestConcurrentCalls(t *testing.T) {
	tracker := &Tracker{}
	tracker.MarkReady()
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() { tracker.StartDraining(); tracker.Watch() })
		wg.Go(func() { tracker.StopDraining(); tracker.Stage() })
	}
	wg.Wait()
	if s := tracker.Stage(); s != Serving && s != Draining {
		t.Fatal(s)
	}
}
