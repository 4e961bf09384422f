package lifecycle

import (
	"sync"
	"testing"
)

// Each row is a history and the stage it leads to. Guards against a drain that survives its end, and against an end
// that an operator's word undoes.
func TestStages(t *testing.T) {
	type step = func(*Owner) Stage
	serve, drain, undrain, end := (*Owner).Serve, (*Owner).Drain, (*Owner).Undrain, (*Owner).End
	for _, c := range []struct {
		name  string
		steps []step
		want  Stage
		can   bool
	}{
		{"new", nil, Starting, false},
		{"served", []step{serve}, Serving, true},
		{"drained", []step{serve, drain, drain}, Drained, true},
		{"drained before it serves", []step{drain, serve}, Drained, true},
		{"undrained before it serves", []step{drain, undrain}, Starting, false},
		{"quick turns", []step{serve, drain, undrain, drain, undrain}, Serving, true},
		{"ok without fail", []step{serve, undrain}, Serving, true},
		{"ending", []step{serve, end}, Ending, false},
		{"ok does not undo the end", []step{serve, drain, end, undrain}, Ending, false},
		{"serve does not undo the end", []step{end, serve}, Ending, false},
	} {
		o := &Owner{}
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
	o := &Owner{}
	stage, changed := o.Watch()
	if stage != Starting {
		t.Fatal(stage)
	}
	o.Undrain()
	select {
	case <-changed:
		t.Fatal("told of no change")
	default:
	}
	o.Serve()
	<-changed
	stage, changed = o.Watch()
	if stage != Serving {
		t.Fatal(stage)
	}
	o.Drain()
	<-changed
}

// Callers at once end in a stage that one of their orders gives.
func TestAtOnce(t *testing.T) {
	o := &Owner{}
	o.Serve()
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() { o.Drain(); o.Watch() })
		wg.Go(func() { o.Undrain(); o.Stage() })
	}
	wg.Wait()
	if s := o.Stage(); s != Serving && s != Drained {
		t.Fatal(s)
	}
}
