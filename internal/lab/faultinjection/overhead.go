package faultinjection

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"damsonscale/internal/discovery"
)

const (
	overheadWarmup  = 2 * time.Second // calls in this time are not measured, because connections are opened and concurrency limits adapt
	overheadTimeout = 2 * time.Second // deadline of each call
	maxListeners    = 16              // listeners of test servers; a longer endpoint list contains the address of each listener several times
)

// OverheadConfig configures a measurement of the latency that the sidecar adds. Calls are sent alternately to a server directly and
// through the sidecar.
type OverheadConfig struct {
	PerSecond int           // calls per second on each of the two paths; 1 to 20000
	Duration  time.Duration // length of the measurement, after 2 s of warm-up; 1 s to 10 min
	Servers   int           // length of the endpoint list; 1 to 20000
	Balancers int           // number of balancers in the settings, 0 to 100000; 0: the number of members
	Members   int           // members of a fleet with takeover, 3 to 9, one of which gets all calls; 0: no fleet
	Class     string        // look (safe), make (unsafe, with an idempotency key) or once (unsafe, executed at most once)
	ServerMs  int           // service time of the servers; 0 to 1000 ms
	Seed      uint64        // seed of the random request IDs
}

// Validate returns an error for the first value that is out of range. Its message starts with the name of the command-line flag.
func (o *OverheadConfig) Validate() error {
	known := false
	for _, c := range classes {
		known = known || c.name == o.Class
	}
	switch {
	case o.PerSecond < 1 || o.PerSecond > 20_000:
		return fmt.Errorf("per-second is %d, want 1 to 20000", o.PerSecond)
	case o.Duration < time.Second || o.Duration > 10*time.Minute:
		return fmt.Errorf("for is %v, want 1s to 10m", o.Duration)
	case o.Servers < 1 || o.Servers > 20_000:
		return fmt.Errorf("servers is %d, want 1 to 20000", o.Servers)
	case o.Balancers < 0 || o.Balancers > 100_000:
		return fmt.Errorf("balancers is %d, want 0 to 100000", o.Balancers)
	case o.Members != 0 && (o.Members < 3 || o.Members > 9):
		return fmt.Errorf("members is %d, want 0 or 3 to 9", o.Members)
	case !known:
		return fmt.Errorf("class is %q, want look, make or once", o.Class)
	case o.ServerMs < 0 || o.ServerMs > 1000:
		return fmt.Errorf("server-ms is %d, want 0 to 1000", o.ServerMs)
	}
	return nil
}

// PathStats describes the measured calls on one path. Latencies are in µs and exclude the service time of the server.
type PathStats struct {
	Calls  int64 `json:"calls"`
	Failed int64 `json:"failed"` // calls without a valid response of status 200
	P50    int64 `json:"p50_us"`
	P90    int64 `json:"p90_us"`
	P99    int64 `json:"p99_us"`
	P999   int64 `json:"p999_us"`
	Max    int64 `json:"most_us"`
}

// OverheadReport is the result of MeasureOverhead.
type OverheadReport struct {
	Direct   PathStats `json:"direct"`
	Sidecar  PathStats `json:"sidecar"`
	AddedP50 int64     `json:"added_p50_us"` // median latency through the sidecar minus the median of direct calls, µs
	AddedP99 int64     `json:"added_p99_us"` // the same difference of the 99th percentiles, µs
	CPU      float64   `json:"cpu"`          // cores used by the sidecar that gets the calls
	RSSMB    float64   `json:"rss_mb"`       // resident memory of that sidecar in MiB
	StallMs  int64     `json:"stall_ms"`     // longest time for which this process, which sends the calls, was not scheduled
}

func (r *OverheadReport) String() string {
	row := func(name string, p PathStats) string {
		return fmt.Sprintf("%-8s calls=%d failed=%d p50=%d p90=%d p99=%d p99.9=%d most=%d us\n", name, p.Calls, p.Failed, p.P50, p.P90, p.P99, p.P999, p.Max)
	}
	return row("direct", r.Direct) + row("sidecar", r.Sidecar) + fmt.Sprintf(
		"added_p50_us=%d added_p99_us=%d cpu=%.3f rss_mb=%.1f stall_ms=%d", r.AddedP50, r.AddedP99, r.CPU, r.RSSMB, r.StallMs)
}

// MeasureOverhead runs the measurement. It ends all processes that it has started, even if ctx ends first.
func MeasureOverhead(ctx context.Context, setup Setup, o *OverheadConfig) (*OverheadReport, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	p := newExperiment(setup, &Timeline{
		Seed: o.Seed, Processes: max(1, o.Members), Fleet: o.Members > 0, DeadlineMs: overheadTimeout.Milliseconds(),
	})
	defer p.close()
	p.configuredBalancers = o.Balancers
	p.servers = &servers{}
	if err := p.servers.startFixedDelay(o); err != nil {
		return nil, err
	}
	if err := p.launch(ctx); err != nil {
		return nil, err
	}
	return p.measureOverhead(ctx, o)
}

// startFixedDelay starts servers with a constant service time, and sets the endpoint list. A response body is the service time in µs.
func (s *servers) startFixedDelay(o *OverheadConfig) error {
	var addrs []string
	for range min(o.Servers, maxListeners) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		h := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) {
			start := time.Now()
			time.Sleep(time.Duration(o.ServerMs) * time.Millisecond)
			c.WriteString(strconv.FormatInt(time.Since(start).Microseconds(), 10))
		}}
		go h.Serve(ln)
		s.closers = append(s.closers, ln)
		addrs = append(addrs, ln.Addr().String())
	}
	s.list = discovery.Update{Seq: 1, Full: true}
	for i := range o.Servers {
		s.list.Endpoints = append(s.list.Endpoints, discovery.Endpoint{
			Host: fmt.Sprintf("s-%d", i+1), Address: addrs[i%len(addrs)], Zone: "a", Health: discovery.Ready, Capacity: 1,
		})
	}
	return nil
}

// measuredPath sends calls on one path, to a server or to the sidecar, and records their latency.
type measuredPath struct {
	client *fasthttp.HostClient
	mu     sync.Mutex
	times  *hdrhistogram.Histogram
	stats  PathStats
}

func newMeasuredPath(addr string) *measuredPath {
	return &measuredPath{
		client: &fasthttp.HostClient{
			Addr: addr, MaxConns: 4096, ReadTimeout: overheadTimeout, WriteTimeout: overheadTimeout,
			MaxIdleConnDuration: time.Second, MaxIdemponentCallAttempts: 1,
		},
		times: hdrhistogram.New(1, 60_000_000, 3),
	}
}

// sendCall sends one call, and records its latency and result if measured is set.
func (l *measuredPath) sendCall(class class, id string, measured bool) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + l.client.Addr + "/" + class.name + "/x?obj=" + id)
	request.Header.Set("Req-Id", id)
	request.Header.Set("Req-Deadline-Ms", strconv.FormatInt(overheadTimeout.Milliseconds(), 10))
	request.Header.Set("Req-Owner", "acme")
	if class.isPost {
		request.Header.SetMethod(fasthttp.MethodPost)
		request.SetBodyString("clip " + id)
	}
	if class.hasKey {
		request.Header.Set("Idempotency-Key", "k"+id)
	}
	start := time.Now()
	err := l.client.Do(request, response)
	latency := time.Since(start).Microseconds()
	if !measured {
		return
	}
	serviceTime, parseErr := strconv.ParseInt(string(response.Body()), 10, 64)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.Calls++
	if err != nil || response.StatusCode() != fasthttp.StatusOK || parseErr != nil {
		l.stats.Failed++
		return
	}
	l.times.RecordValue(max(1, latency-serviceTime))
}

func (l *measuredPath) summarize() PathStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.times.ValueAtQuantile
	l.stats.P50, l.stats.P90, l.stats.P99, l.stats.P999, l.stats.Max = q(50), q(90), q(99), q(99.9), l.times.Max()
	return l.stats
}

// measureOverhead sends calls at even intervals and alternates between the two paths, so that disturbances of the machine affect both.
func (p *experiment) measureOverhead(ctx context.Context, o *OverheadConfig) (*OverheadReport, error) {
	var kind class
	for _, c := range classes {
		if c.name == o.Class {
			kind = c
		}
	}
	sidecar := p.processes[0]
	paths := []*measuredPath{newMeasuredPath(p.servers.list.Endpoints[0].Address), newMeasuredPath(sidecar.listen)}
	stallContext, stopMeasuring := context.WithCancel(ctx)
	defer stopMeasuring()
	stall := make(chan time.Duration, 1)
	go func() { stall <- measureStall(stallContext) }()
	var inFlight sync.WaitGroup
	step := time.Second / time.Duration(2*o.PerSecond)
	start := time.Now()
	cpuBefore, measuredFrom := time.Duration(0), start
	warmingUp := true
	random := rand.New(rand.NewPCG(o.Seed, 5))
	for n := 0; ctx.Err() == nil; n++ {
		at := time.Duration(n) * step
		if at >= overheadWarmup+o.Duration {
			break
		}
		if warmingUp && at >= overheadWarmup {
			warmingUp, measuredFrom = false, time.Now()
			cpuBefore, _ = sidecar.usage()
		}
		if d := time.Until(start.Add(at)); d > 0 {
			time.Sleep(d)
		}
		path, id, measured := paths[n%2], fmt.Sprintf("%016x", random.Uint64()), !warmingUp
		inFlight.Go(func() { path.sendCall(kind, id, measured) })
	}
	inFlight.Wait()
	cpu, rss := sidecar.usage()
	stopMeasuring()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if sidecar.crashed() {
		return nil, errors.New("the sidecar exited during the measurement; its log is " + sidecar.log.Name())
	}
	r := &OverheadReport{Direct: paths[0].summarize(), Sidecar: paths[1].summarize(), RSSMB: float64(rss) / (1 << 20), StallMs: (<-stall).Milliseconds()}
	r.CPU = (cpu - cpuBefore).Seconds() / time.Since(measuredFrom).Seconds()
	r.AddedP50, r.AddedP99 = r.Sidecar.P50-r.Direct.P50, r.Sidecar.P99-r.Direct.P99
	return r, nil
}
