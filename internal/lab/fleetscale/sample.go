package fleetscale

import (
	"context"
	"fmt"
	"time"
)

// sample is all that can be read at a moment.
type sample struct {
	at     time.Time
	usage  map[*child]Usage
	counts map[string]FrameCounts
	list   ListServiceCounts
}

// ListUse is what the list service has seen.
type ListServiceCounts struct{ Calls, Messages, BytesIn, BytesOut, Open int64 }

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
	s.list = ListServiceCounts{l.calls.Load(), l.messages.Load(), l.bytesIn.Load(), l.bytesOut.Load(), l.open.Load()}
	return s, nil
}
