package fleetscale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"damsonscale/internal/lab/faultinjection"
)

// maxListSizes is the maximum number of list sizes in a run.
const maxListSizes = 32

// ListsConfig configures the measurement of an idle sidecar without a fleet, for several list sizes.
type ListsConfig struct {
	Sizes            []int
	Duration         time.Duration // of the idle measurement, and of the measurement under changes
	ChangesPerSecond float64       // changes of the list; 0: no measurement under changes
	Binary           string
	Dir              string // existing directory for configuration and logs
}

// Validate returns an error that names the flag of each value out of range.
func (c *ListsConfig) Validate() error {
	var all []error
	if len(c.Sizes) == 0 || len(c.Sizes) > maxListSizes {
		all = append(all, fmt.Errorf("--sizes: got %d sizes, want 1 to %d", len(c.Sizes), maxListSizes))
	}
	for _, n := range c.Sizes {
		if n < 1 || n > MaxServers {
			all = append(all, fmt.Errorf("--sizes: %d is out of range: want 1 to %d", n, MaxServers))
		}
	}
	if c.Duration < MinDuration || c.Duration > MaxDuration {
		all = append(all, fmt.Errorf("--for: %v is out of range: want %v to %v", c.Duration, MinDuration, MaxDuration))
	}
	if !(c.ChangesPerSecond >= 0 && c.ChangesPerSecond <= MaxChangesPerSecond) {
		all = append(all, fmt.Errorf("--changes: %v is out of range: want 0 to %v per second", c.ChangesPerSecond, MaxChangesPerSecond))
	}
	return errors.Join(all...)
}

// ListResult is the result for one list size.
type ListResult struct {
	Servers          int
	Idle             ProcessUsage
	Changing         ProcessUsage // zero if there were no changes
	ChangesPerSecond float64      `json:"Told"` // changes sent to the sidecar
	Changes          int64        // number of changes made
	ChangesNotSent   int64        `json:"Untold"`       // changes not sent to the sidecar before the settle timeout
	CPUMsPerChange   float64      `json:"CPUMsAChange"` // CPU time above idle, ms per change sent
}

// ProcessUsage is the resource use of a process during a measurement.
type ProcessUsage struct {
	CPU           float64 // percent of a core
	MemoryMB      float64 // resident, at the end of the measurement
	Descriptors   int
	OpenWatches   int64   `json:"Watches"` // open watches at the end of the measurement
	KBInPerSecond float64 `json:"KBIn"`    // received from the list service
}

// MeasureLists measures each list size with a new sidecar. It stops all processes that it has started, also if ctx ends before.
func MeasureLists(ctx context.Context, c ListsConfig) (out []ListResult, err error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go h.Serve(server)
	defer h.Close()
	for _, n := range c.Sizes {
		result, err := c.measure(ctx, n, server.Addr().String())
		if ctx.Err() != nil {
			return nil, fmt.Errorf("%w: %w", ErrInterrupted, context.Cause(ctx))
		}
		if err != nil {
			return nil, fmt.Errorf("list of %d endpoints: %w", n, err)
		}
		out = append(out, *result)
	}
	return out, nil
}

func (c *ListsConfig) measure(ctx context.Context, n int, dial string) (*ListResult, error) {
	list, err := startList(n, dial)
	if err != nil {
		return nil, err
	}
	defer list.close()
	addrs, err := faultinjection.FreeAddrs(1)
	if err != nil {
		return nil, err
	}
	conf, err := json.Marshal(map[string]any{
		"name": "alone", "listen": addrs[0], "discovery": list.addr, "seed": "0000000000000001",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "settings": memberSettings(1, 0),
	})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(c.Dir, fmt.Sprintf("list-%d.json", n))
	if err := os.WriteFile(path, conf, 0o644); err != nil {
		return nil, err
	}
	processes := newChildren(c.Dir, func(*child, Event) {})
	defer processes.close()
	sidecar, err := processes.startReal(fmt.Sprintf("list-%d", n), 0, c.Binary, []string{"PROXY_CONFIG=" + path, "DAMSONSCALE_OPTIONS="})
	if err != nil {
		return nil, err
	}
	if err := waitUntilReady(ctx, processes, addrs[0]); err != nil {
		return nil, err
	}
	sleep(ctx, 3*time.Second) // until memory that was used only for the start has been collected
	f := &ListResult{Servers: n}
	if f.Idle, _, err = c.measureUsage(ctx, sidecar, list); err != nil || c.ChangesPerSecond == 0 {
		return f, err
	}
	changing, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		callAtRate(changing, c.ChangesPerSecond, func(int) { list.changeOneServer() })
	}()
	f.Changing, f.ChangesPerSecond, err = c.measureUsage(ctx, sidecar, list)
	stop()
	<-done
	f.Changes = int64(len(list.changes()))
	for end := time.Now().Add(settleTimeout); ; sleep(ctx, 10*time.Millisecond) {
		if f.ChangesNotSent = f.Changes - list.deltasSent.Load(); f.ChangesNotSent == 0 || time.Now().After(end) || ctx.Err() != nil {
			break
		}
	}
	if f.ChangesPerSecond > 0 {
		f.CPUMsPerChange = 10 * (f.Changing.CPU - f.Idle.CPU) / f.ChangesPerSecond
	}
	return f, err
}

// measureUsage measures a process for the configured duration. It also returns the rate of changes sent to it.
func (c *ListsConfig) measureUsage(ctx context.Context, p *child, list *listService) (u ProcessUsage, changesPerSecond float64, err error) {
	before, err := usageOf(p.cmd.Process.Pid)
	if err != nil {
		return u, 0, err
	}
	at, bytes, changes := time.Now(), list.bytesOut.Load(), list.deltasSent.Load()
	sleep(ctx, c.Duration)
	after, err := usageOf(p.cmd.Process.Pid)
	seconds := time.Since(at).Seconds()
	u = ProcessUsage{
		CPU: 100 * (after.CPU - before.CPU).Seconds() / seconds, MemoryMB: float64(after.RSS) / (1 << 20), Descriptors: after.Descriptors,
		OpenWatches: list.openWatches.Load(), KBInPerSecond: float64(list.bytesOut.Load()-bytes) / 1000 / seconds,
	}
	return u, float64(list.deltasSent.Load()-changes) / seconds, errors.Join(err, ctx.Err())
}

// waitUntilReady waits until the sidecar at addr passes its readiness check.
func waitUntilReady(ctx context.Context, processes *children, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		ask, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/health/ready", nil)
		if err != nil {
			return err
		}
		if resp, err := http.DefaultClient.Do(ask); err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		if err := errors.Join(processes.checkAlive(), ctx.Err()); err != nil {
			return err
		}
		sleep(ctx, 10*time.Millisecond)
	}
}

// PrintLists writes the results by list size, and the slopes of CPU and memory over the list size.
func PrintLists(out io.Writer, all []ListResult) {
	t := newTable(out, "servers", "idle, % of a core", "idle MB", "watches", "changing, % of a core", "MB", "KB/s in", "changes sent/s", "CPU ms per change")
	var cpu, mb, change []Point
	for _, f := range all {
		row := []any{f.Servers, formatFigure(f.Idle.CPU), formatFigure(f.Idle.MemoryMB), f.Idle.OpenWatches, "-", "-", "-", "-", "-"}
		x := float64(f.Servers)
		cpu, mb = append(cpu, Point{x, f.Idle.CPU}), append(mb, Point{x, f.Idle.MemoryMB})
		if f.ChangesPerSecond > 0 {
			row = append(row[:4], formatFigure(f.Changing.CPU), formatFigure(f.Changing.MemoryMB), formatFigure(f.Changing.KBInPerSecond), formatFigure(f.ChangesPerSecond), formatFigure(f.CPUMsPerChange))
			change = append(change, Point{x, f.CPUMsPerChange})
		}
		t.AppendRow(row)
	}
	t.Render()
	for _, q := range []struct {
		name   string
		points []Point
	}{{"% of a core, idle", cpu}, {"MB, idle", mb}, {"CPU ms per change", change}} {
		if l, err := Fit(q.points); err == nil {
			fmt.Fprintf(out, "%s: slope %s per endpoint (standard error %s), intercept %s, residual %s, extrapolated to %d endpoints: %s\n", q.name, formatFigure(l.Slope), formatFigure(l.Error), formatFigure(l.Intercept), formatFigure(l.Residual),
				TargetSize, strings.TrimSpace(formatFigure(l.At(TargetSize))))
		}
	}
}
