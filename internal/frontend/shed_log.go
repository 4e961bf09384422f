package frontend

import (
	"context"
	"sync/atomic"
	"time"

	"damsonscale/internal/eventlog"
)

// shedLogInterval is the time between two log lines about what was shed.
const shedLogInterval = 5 * time.Second

// shedCounts counts, by reason, what was closed or refused for want of connections or memory.
type shedCounts struct {
	idle           atomic.Int64 // connections that waited for a request, or for the rest of the first head
	stalledUploads atomic.Int64 // requests whose body had stalled
	slowHeads      atomic.Int64 // connections whose first head kept coming slowly
	busy           atomic.Int64 // connections that are closed with their next response
	streams        atomic.Int64 // streamed responses over their limit
	silentStreams  atomic.Int64 // streamed responses whose server was silent
	stalledReaders atomic.Int64 // responses whose client took nothing
}

// RunShedLog logs what was shed in each interval in which something was, until ctx ends.
func (f *Frontend) RunShedLog(ctx context.Context) {
	tick := time.NewTicker(shedLogInterval)
	defer tick.Stop()
	var refusedBefore int64
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		used, limit, refused := f.memory.Usage()
		idle, uploads := f.shed.idle.Swap(0), f.shed.stalledUploads.Swap(0)
		busy, streams, slowHeads := f.shed.busy.Swap(0), f.shed.streams.Swap(0), f.shed.slowHeads.Swap(0)
		silentStreams, readers := f.shed.silentStreams.Swap(0), f.shed.stalledReaders.Swap(0)
		refusedNow := refused - refusedBefore
		refusedBefore = refused
		if idle+uploads+busy+streams+slowHeads+silentStreams+readers+refusedNow == 0 {
			continue
		}
		conns, _ := f.connCount()
		eventlog.Info(eventClientsShed, "connections", conns, "evicted_idle", idle, "evicted_uploads", uploads, "evicted_busy", busy,
			"evicted_slow_heads", slowHeads, "evicted_silent", silentStreams, "evicted_readers", readers, "refused_streams", streams, "refused_memory", refusedNow, "memory_used", used, "memory_limit", limit)
	}
}
