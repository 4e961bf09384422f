package lifecycle

import (
	"sync"
	"testing"
)

func TestStageAfterASequenceOfCalls(t *testing.T) {
	type step = func(*Tracker) Stage
	ready, drain, undrain, terminate := (*Tracker).MarkReady, (*Tracker).StartDraining, (*Tracker).StopDraining, (*Tracker).Terminate
	for _, c := range []struct {
		name     string
		steps    []step
		want     Stage
		canServe bool
	}{
		{"new", nil, Starting, false},
		{"ready", []step{ready}, Serving, true},
		{"draining", []step{ready, drain, drain}, Draining, true},
		{"drained before it is ready", []step{drain, ready}, Draining, true},
		{"drain undone before it is ready", []step{drain, undrain}, Starting, false},
		{"repeated drains", []step{ready, drain, undrain, drain, undrain}, Serving, true},
		{"StopDraining without StartDraining", []step{ready, undrain}, Serving, true},
		{"terminating", []step{ready, terminate}, Terminating, false},
		{"StopDraining does not undo Terminate", []step{ready, drain, terminate, undrain}, Terminating, false},
		{"MarkReady does not undo Terminate", []step{terminate, ready}, Terminating, false},
	} {
		tracker := &Tracker{}
		for _, s := range c.steps {
			s(tracker)
		}
		if got := tracker.Stage(); got != c.want || tracker.CanServe() != c.canServe {
			t.Errorf("%s: got stage %v and CanServe %v, want %v and %v", c.name, got, tracker.CanServe(), c.want, c.canServe)
		}
	}
}

func TestWatchersAreNotifiedOnlyOfChanges(t *testing.T) {
	tracker := &Tracker{}
	stage, changed := tracker.Watch()
	if stage != Starting {
		t.Fatalf("new tracker: got stage %v, want %v", stage, Starting)
	}
	tracker.StopDraining()
	select {
	case <-changed:
		t.Fatal("the watcher was notified although the stage has not changed")
	default:
	}
	tracker.MarkReady()
	<-changed
	stage, changed = tracker.Watch()
	if stage != Serving {
		t.Fatalf("got stage %v after MarkReady, want %v", stage, Serving)
	}
	tracker.StartDraining()
	<-changed
}

// After concurrent calls the stage is one that some order of the calls leads to.
func TestConcurrentCallsLeaveAConsistentStage(t *testing.T) {
	tracker := &Tracker{}
	tracker.MarkReady()
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() { tracker.StartDraining(); tracker.Watch() })
		wg.Go(func() { tracker.StopDraining(); tracker.Stage() })
	}
	wg.Wait()
	if s := tracker.Stage(); s != Serving && s != Draining {
		t.Fatalf("got stage %v, want %v or %v", s, Serving, Draining)
	}
}
