package fleetscale

import (
	"context"
	"fmt"
	"time"
)

// sample holds the cumulative counts at one time.
type sample struct {
	at     time.Time
	usage  map[*child]Usage
	counts map[string]FrameCounts
	list   ListServiceCounts
}

// ListServiceCounts are the cumulative counts of the list service and its open watches.
type ListServiceCounts struct{ Calls, Messages, BytesIn, BytesOut, Open int64 }

func (r *run) sample(ctx context.Context) (*sample, error) {
	s := &sample{at: time.Now(), usage: map[*child]Usage{}}
	for _, p := range r.children.all {
		u, err := usageOf(p.cmd.Process.Pid)
		if err == nil {
			s.usage[p] = u
		} else if !p.killed {
			return nil, fmt.Errorf("%s: %w", p.name, err)
		}
	}
	var err error
	if s.counts, _, err = r.children.linkCounts(ctx); err != nil {
		return nil, err
	}
	l := r.list
	s.list = ListServiceCounts{l.calls.Load(), l.messages.Load(), l.bytesIn.Load(), l.bytesOut.Load(), l.openWatches.Load()}
	return s, nil
}
