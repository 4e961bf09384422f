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

const maxListSizes = 32 // sizes of one run

// ListsConfig is a run of one idle sidecar without a fleet, for each length of the list.
type ListsConfig struct {
	Sizes            []int
	Duration         time.Duration // measured, idle, and once more under changes
	ChangesPerSecond float64       // of the list, a second; 0: none
	Binary           string
	Dir              string // which exists
}

// Validate refuses what is out of range, by the name of its argument.
func (c *ListsConfig) Validate() error {
	var all []error
	if len(c.Sizes) == 0 || len(c.Sizes) > maxListSizes {
		all = append(all, fmt.Errorf("--sizes: %d of them, not 1 to %d", len(c.Sizes), maxListSizes))
	}
	for _, n := range c.Sizes {
		if n < 1 || n > MaxServers {
			all = append(all, fmt.Errorf("--sizes: %d is not within 1 to %d", n, MaxServers))
		}
	}
	if c.Duration < MinDuration || c.Duration > MaxDuration {
		all = append(all, fmt.Errorf("--for: %v is not within %v to %v", c.Duration, MinDuration, MaxDuration))
	}
	if !(c.ChangesPerSecond >= 0 && c.ChangesPerSecond <= MaxChangesPerSecond) {
		all = append(all, fmt.Errorf("--changes: %v is not within 0 to %v a second", c.ChangesPerSecond, MaxChangesPerSecond))
	}
	return errors.Join(all...)
}

// ListFigure is one length's.
type ListResult struct {
	Servers          int
	Idle             ProcessUsage
	Changing         ProcessUsage // where there were changes
	ChangesPerSecond float64      `json:"Told"` // changes sent to the sidecar
	Changes          int64        // made in all
	ChangesNotSent   int64        `json:"Untold"`       // changes not sent to the sidecar before the settle timeout
	CPUMsPerChange   float64      `json:"CPUMsAChange"` // CPU time above idle, ms per change sent
}

// Over is a process's use over a time.
type ProcessUsage struct {
	CPU           float64 // % of a core
	MemoryMB      float64 // at its end
	Descriptors   int
	OpenWatches   int64   `json:"Watches"` // open watches at the end of the measurement
	KBInPerSecond float64 `json:"KBIn"`    // received from the list service
}

// Lists measures. It ends all that it started, also when ctx ends before.
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
		one, err := c.one(ctx, n, server.Addr().String())
		if ctx.Err() != nil {
			return nil, fmt.Errorf("%w: %w", ErrInterrupted, context.Cause(ctx))
		}
		if err != nil {
			return nil, fmt.Errorf("a list of %d: %w", n, err)
		}
		out = append(out, *one)
	}
	return out, nil
}

func (c *ListsConfig) one(ctx context.Context, n int, dial string) (*ListResult, error) {
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
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "settings": settings(1, 0),
	})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(c.Dir, fmt.Sprintf("list-%d.json", n))
	if err := os.WriteFile(path, conf, 0o644); err != nil {
		return nil, err
	}
	all := newChildren(c.Dir, func(*child, Event) {})
	defer all.close()
	one, err := all.startReal(fmt.Sprintf("list-%d", n), 0, c.Binary, []string{"PROXY_CONFIG=" + path, "DAMSONSCALE_OPTIONS="})
	if err != nil {
		return nil, err
	}
	if err := ready(ctx, all, addrs[0]); err != nil {
		return nil, err
	}
	sleep(ctx, 3*time.Second) // the start's garbage
	f := &ListResult{Servers: n}
	if f.Idle, _, err = c.over(ctx, one, list); err != nil || c.ChangesPerSecond == 0 {
		return f, err
	}
	changing, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() { defer close(done); atRate(changing, c.ChangesPerSecond, func(int) { list.changeOne() }) }()
	f.Changing, f.ChangesPerSecond, err = c.over(ctx, one, list)
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

// over reads a process's use over the time of a run.
func (c *ListsConfig) over(ctx context.Context, one *child, list *listService) (u ProcessUsage, told float64, err error) {
	before, err := usageOf(one.cmd.Process.Pid)
	if err != nil {
		return u, 0, err
	}
	at, bytes, changes := time.Now(), list.bytesOut.Load(), list.deltasSent.Load()
	sleep(ctx, c.Duration)
	after, err := usageOf(one.cmd.Process.Pid)
	seconds := time.Since(at).Seconds()
	u = ProcessUsage{
		CPU: 100 * (after.CPU - before.CPU).Seconds() / seconds, MemoryMB: float64(after.RSS) / (1 << 20), Descriptors: after.Descriptors,
		OpenWatches: list.open.Load(), KBInPerSecond: float64(list.bytesOut.Load()-bytes) / 1000 / seconds,
	}
	return u, float64(list.deltasSent.Load()-changes) / seconds, errors.Join(err, ctx.Err())
}

// ready waits until a sidecar serves.
func ready(ctx context.Context, all *children, addr string) error {
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
		if err := errors.Join(all.alive(), ctx.Err()); err != nil {
			return err
		}
		sleep(ctx, 10*time.Millisecond)
	}
}

// PrintLists tells figures by the length of the list, with the slopes of an idle sidecar.
func PrintLists(out io.Writer, all []ListResult) {
	t := newTable(out, "servers", "idle, % of a core", "idle MB", "watches", "changing, % of a core", "MB", "KB/s in", "changes told/s", "CPU ms a change")
	var cpu, mb, change []Point
	for _, f := range all {
		row := []any{f.Servers, figure(f.Idle.CPU), figure(f.Idle.MemoryMB), f.Idle.OpenWatches, "-", "-", "-", "-", "-"}
		x := float64(f.Servers)
		cpu, mb = append(cpu, Point{x, f.Idle.CPU}), append(mb, Point{x, f.Idle.MemoryMB})
		if f.ChangesPerSecond > 0 {
			row = append(row[:4], figure(f.Changing.CPU), figure(f.Changing.MemoryMB), figure(f.Changing.KBInPerSecond), figure(f.ChangesPerSecond), figure(f.CPUMsPerChange))
			change = append(change, Point{x, f.CPUMsPerChange})
		}
		t.AppendRow(row)
	}
	t.Render()
	for _, q := range []struct {
		name   string
		points []Point
	}{{"% of a core, idle", cpu}, {"MB, idle", mb}, {"CPU ms a change", change}} {
		if l, err := Fit(q.points); err == nil {
			fmt.Fprintf(out, "%s: slope %s a server (error %s), intercept %s, residual %s, at %d %s\n", q.name, figure(l.Slope), figure(l.Error), figure(l.Intercept), figure(l.Residual),
				TargetSize, strings.TrimSpace(figure(l.At(TargetSize))))
		}
	}
}
