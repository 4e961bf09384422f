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
	overheadWarmup  = 2 * time.Second // not measured: connections open and limits adapt
	overheadTimeout = 2 * time.Second // a client's deadline
	maxListeners    = 16              // of the test servers; a longer list names each of them several times
)

// OverheadConfig configures a measurement of the latency that the sidecar adds: calls are sent directly and through it in turn.
type OverheadConfig struct {
	PerSecond int           // calls a second through the sidecar, and as many direct ones; 1 to 20000
	Duration  time.Duration // measured time, after 2 s of warm-up; 1 s to 10 min
	Servers   int           // on the endpoint list; 1 to 20000
	Balancers int           // in the settings; 0 to 100000, 0: as many as there are members
	Members   int           // 0: no fleet; else 3 to 9, with takeover on, one of which is called
	Class     string        // look (safe), make (keyed), once (unsafe)
	ServerMs  int           // service time in ms; 0 to 1000
	Seed      uint64
}

// Validate returns an error that names the first argument out of range.
func (o *OverheadConfig) Validate() error {
	known := false
	for _, c := range classes {
		known = known || c.name == o.Class
	}
	switch {
	case o.PerSecond < 1 || o.PerSecond > 20_000:
		return fmt.Errorf("per-second is %d: 1 to 20000 are allowed", o.PerSecond)
	case o.Duration < time.Second || o.Duration > 10*time.Minute:
		return fmt.Errorf("for is %v: 1s to 10m are allowed", o.Duration)
	case o.Servers < 1 || o.Servers > 20_000:
		return fmt.Errorf("servers is %d: 1 to 20000 are allowed", o.Servers)
	case o.Balancers < 0 || o.Balancers > 100_000:
		return fmt.Errorf("balancers is %d: 0 to 100000 are allowed", o.Balancers)
	case o.Members != 0 && (o.Members < 3 || o.Members > 9):
		return fmt.Errorf("members is %d: 0, or 3 to 9, are allowed", o.Members)
	case !known:
		return fmt.Errorf("class is %q: look, make and once are known", o.Class)
	case o.ServerMs < 0 || o.ServerMs > 1000:
		return fmt.Errorf("server-ms is %d: 0 to 1000 are allowed", o.ServerMs)
	}
	return nil
}

// PathStats describes the calls of one path. Latencies are in µs and exclude the server's own time.
type PathStats struct {
	Calls  int64 `json:"calls"`
	Failed int64 `json:"failed"` // no response, or a status other than 200
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
	AddedP50 int64     `json:"added_p50_us"`
	AddedP99 int64     `json:"added_p99_us"`
	CPU      float64   `json:"cpu"` // cores used by the sidecar that was called
	RSSMB    float64   `json:"rss_mb"`
	StallMs  int64     `json:"stall_ms"` // longest stall of this process
}

func (r *OverheadReport) String() string {
	row := func(name string, p PathStats) string {
		return fmt.Sprintf("%-8s calls=%d failed=%d p50=%d p90=%d p99=%d p99.9=%d most=%d us\n", name, p.Calls, p.Failed, p.P50, p.P90, p.P99, p.P999, p.Max)
	}
	return row("direct", r.Direct) + row("sidecar", r.Sidecar) + fmt.Sprintf(
		"added_p50_us=%d added_p99_us=%d cpu=%.3f rss_mb=%.1f stall_ms=%d", r.AddedP50, r.AddedP99, r.CPU, r.RSSMB, r.StallMs)
}

// MeasureOverhead runs the measurement. It ends all processes that it started, also when ctx ends first.
func MeasureOverhead(ctx context.Context, set Setup, o *OverheadConfig) (*OverheadReport, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	p := newExperiment(set, &Timeline{
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

// startFixedDelay starts servers with a constant service time, and lists them.
func (s *servers) startFixedDelay(o *OverheadConfig) error {
	var addrs []string
	for range min(o.Servers, maxListeners) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		h := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) {
			began := time.Now()
			time.Sleep(time.Duration(o.ServerMs) * time.Millisecond)
			c.WriteString(strconv.FormatInt(time.Since(began).Microseconds(), 10)) // its own service time
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

// measuredPath sends calls over one path and records their latency.
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

// sendCall sends one sendCall, and records it unless this is the warm-up.
func (l *measuredPath) sendCall(class class, id string, counts bool) {
	q, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(a)
	q.SetRequestURI("http://" + l.client.Addr + "/" + class.name + "/x?obj=" + id)
	q.Header.Set("Req-Id", id)
	q.Header.Set("Req-Deadline-Ms", strconv.FormatInt(overheadTimeout.Milliseconds(), 10))
	q.Header.Set("Req-Owner", "acme")
	if class.isPost {
		q.Header.SetMethod(fasthttp.MethodPost)
		q.SetBodyString("clip " + id)
	}
	if class.hasKey {
		q.Header.Set("Idempotency-Key", "k"+id)
	}
	began := time.Now()
	err := l.client.Do(q, a)
	took := time.Since(began).Microseconds()
	if !counts {
		return
	}
	worked, wrong := strconv.ParseInt(string(a.Body()), 10, 64)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.Calls++
	if err != nil || a.StatusCode() != fasthttp.StatusOK || wrong != nil {
		l.stats.Failed++
		return
	}
	l.times.RecordValue(max(1, took-worked))
}

func (l *measuredPath) summarize() PathStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.times.ValueAtQuantile
	l.stats.P50, l.stats.P90, l.stats.P99, l.stats.P999, l.stats.Max = q(50), q(90), q(99), q(99.9), l.times.Max()
	return l.stats
}

// measureOverhead alternates between the two paths at even intervals, so that disturbances of the machine affect both.
func (p *experiment) measureOverhead(ctx context.Context, o *OverheadConfig) (*OverheadReport, error) {
	var kind class
	for _, c := range classes {
		if c.name == o.Class {
			kind = c
		}
	}
	through := p.processes[0]
	lanes := []*measuredPath{newMeasuredPath(p.servers.list.Endpoints[0].Address), newMeasuredPath(through.listen)}
	watching, unwatch := context.WithCancel(ctx)
	defer unwatch()
	stall := make(chan time.Duration, 1)
	go func() { stall <- measureStall(watching) }()
	var open sync.WaitGroup
	step := time.Second / time.Duration(2*o.PerSecond)
	start := time.Now()
	cpuBefore, from := time.Duration(0), start
	warm := true
	random := rand.New(rand.NewPCG(o.Seed, 5))
	for n := 0; ctx.Err() == nil; n++ {
		at := time.Duration(n) * step
		if at >= overheadWarmup+o.Duration {
			break
		}
		if warm && at >= overheadWarmup {
			warm, from = false, time.Now()
			cpuBefore, _ = through.usage()
		}
		if d := time.Until(start.Add(at)); d > 0 {
			time.Sleep(d)
		}
		l, id, counts := lanes[n%2], fmt.Sprintf("%016x", random.Uint64()), !warm
		open.Go(func() { l.sendCall(kind, id, counts) })
	}
	open.Wait()
	cpu, rss := through.usage()
	unwatch()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if through.crashed() {
		return nil, errors.New("the sidecar ended, see " + through.log.Name())
	}
	r := &OverheadReport{Direct: lanes[0].summarize(), Sidecar: lanes[1].summarize(), RSSMB: float64(rss) / (1 << 20), StallMs: (<-stall).Milliseconds()}
	r.CPU = (cpu - cpuBefore).Seconds() / time.Since(from).Seconds()
	r.AddedP50, r.AddedP99 = r.Sidecar.P50-r.Direct.P50, r.Sidecar.P99-r.Direct.P99
	return r, nil
}
