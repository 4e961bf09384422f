package fleetscale

import (
	"context"
	"fmt"
	"time"
)

// sample is all that is read at a moment.
type sample struct {
	at     time.Time
	usage  map[*child]Usage
	counts map[string]Tally
	list   ListUse
}

// ListUse counts what the list service has done.
type ListUse struct{ Calls, Words, BytesIn, BytesOut, Open int64 }

func (r *run) sample(ctx context.Context) (*sample, error) {
	s := &sample{at: time.Now(), usage: map[*child]Usage{}}
	for _, one := range r.children.all {
		u, err := usageOf(one.cmd.Process.Pid)
		if err == nil {
			s.usage[one] = u
		} else if !one.killed {
			return nil, fmt.Errorf("%s: %w", one.name, err)
		}
	}
	var err error
	if s.counts, _, err = r.children.counts(ctx); err != nil {
		return nil, err
	}
	l := r.list
	s.list = ListUse{l.calls.Load(), l.words.Load(), l.in.Load(), l.out.Load(), l.open.Load()}
	return s, nil
}
