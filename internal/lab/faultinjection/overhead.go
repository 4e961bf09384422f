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
	overheadWarm     = 2 * time.Second // that counts nothing: connections come up, and the limits are learned
	overheadPatience = 2 * time.Second // of a client
	listenersMost    = 16              // of the stand-in servers; longer lists name each of them several times
)

// Overhead is what is added to a call by the sidecar: the same calls are sent direct and through it, in turn.
type Overhead struct {
	PerSecond int           // calls through the sidecar, and as many direct ones; 1 to 20000
	For       time.Duration // that counts, after 2 s that don't; 1 s to 10 min
	Servers   int           // that the list names; 1 to 20000
	Balancers int           // that the settings tell of; 0 to 100000, 0: as many as there are members
	Members   int           // 0: no fleet; else 3 to 9, with takeover on, one of which is called
	Class     string        // look (safe), make (keyed), once (unsafe)
	ServerMs  int           // that a server needs for an answer; 0 to 1000
	Seed      uint64
}

// Validate names what is out of range.
func (o *Overhead) Validate() error {
	known := false
	for _, c := range classes {
		known = known || c.name == o.Class
	}
	switch {
	case o.PerSecond < 1 || o.PerSecond > 20_000:
		return fmt.Errorf("per-second is %d: 1 to 20000 are allowed", o.PerSecond)
	case o.For < time.Second || o.For > 10*time.Minute:
		return fmt.Errorf("for is %v: 1s to 10m are allowed", o.For)
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

// Path is how calls of one way went. Times are in µs and without what the server itself needed.
type Path struct {
	Calls  int64 `json:"calls"`
	Failed int64 `json:"failed"` // no answer, or another than 200
	P50    int64 `json:"p50_us"`
	P90    int64 `json:"p90_us"`
	P99    int64 `json:"p99_us"`
	P999   int64 `json:"p999_us"`
	Most   int64 `json:"most_us"`
}

// OverheadReport is what a run showed.
type OverheadReport struct {
	Direct   Path    `json:"direct"`
	Sidecar  Path    `json:"sidecar"`
	AddedP50 int64   `json:"added_p50_us"`
	AddedP99 int64   `json:"added_p99_us"`
	CPU      float64 `json:"cpu"` // cores of the sidecar that was called
	RSSMB    float64 `json:"rss_mb"`
	StallMs  int64   `json:"stall_ms"` // for which this program did not run at most
}

func (r *OverheadReport) String() string {
	row := func(name string, p Path) string {
		return fmt.Sprintf("%-8s calls=%d failed=%d p50=%d p90=%d p99=%d p99.9=%d most=%d us\n", name, p.Calls, p.Failed, p.P50, p.P90, p.P99, p.P999, p.Most)
	}
	return row("direct", r.Direct) + row("sidecar", r.Sidecar) + fmt.Sprintf(
		"added_p50_us=%d added_p99_us=%d cpu=%.3f rss_mb=%.1f stall_ms=%d", r.AddedP50, r.AddedP99, r.CPU, r.RSSMB, r.StallMs)
}

// MeasureOverhead plays the calls. It ends all that it started, also when ctx ends before.
func MeasureOverhead(ctx context.Context, set Setup, o *Overhead) (*OverheadReport, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	p := newPlay(set, &Timeline{
		Seed: o.Seed, Processes: max(1, o.Members), Fleet: o.Members > 0, DeadlineMs: overheadPatience.Milliseconds(),
	})
	defer p.close()
	p.balancers = o.Balancers
	p.servers = &servers{}
	if err := p.servers.plain(o); err != nil {
		return nil, err
	}
	if err := p.launch(ctx); err != nil {
		return nil, err
	}
	return p.compare(ctx, o)
}

// plain starts servers that need always the same time, and lists them.
func (s *servers) plain(o *Overhead) error {
	var addrs []string
	for range min(o.Servers, listenersMost) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		h := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) {
			began := time.Now()
			time.Sleep(time.Duration(o.ServerMs) * time.Millisecond)
			c.WriteString(strconv.FormatInt(time.Since(began).Microseconds(), 10)) // what it needed itself
		}}
		go h.Serve(ln)
		s.ends = append(s.ends, ln)
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

// lane sends calls one way and measures them.
type lane struct {
	client *fasthttp.HostClient
	mu     sync.Mutex
	times  *hdrhistogram.Histogram
	path   Path
}

func newLane(addr string) *lane {
	return &lane{
		client: &fasthttp.HostClient{
			Addr: addr, MaxConns: 4096, ReadTimeout: overheadPatience, WriteTimeout: overheadPatience,
			MaxIdleConnDuration: time.Second, MaxIdemponentCallAttempts: 1,
		},
		times: hdrhistogram.New(1, 60_000_000, 3),
	}
}

// call sends one call and counts it where it is to count.
func (l *lane) call(class class, id string, counts bool) {
	q, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(a)
	q.SetRequestURI("http://" + l.client.Addr + "/" + class.name + "/x?obj=" + id)
	q.Header.Set("Req-Id", id)
	q.Header.Set("Req-Deadline-Ms", strconv.FormatInt(overheadPatience.Milliseconds(), 10))
	q.Header.Set("Req-Owner", "acme")
	if class.post {
		q.Header.SetMethod(fasthttp.MethodPost)
		q.SetBodyString("clip " + id)
	}
	if class.key {
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
	l.path.Calls++
	if err != nil || a.StatusCode() != fasthttp.StatusOK || wrong != nil {
		l.path.Failed++
		return
	}
	l.times.RecordValue(max(1, took-worked))
}

func (l *lane) end() Path {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.times.ValueAtQuantile
	l.path.P50, l.path.P90, l.path.P99, l.path.P999, l.path.Most = q(50), q(90), q(99), q(99.9), l.times.Max()
	return l.path
}

// compare sends calls both ways, each half a step after one of the other way, so that what the machine does meets both.
func (p *play) compare(ctx context.Context, o *Overhead) (*OverheadReport, error) {
	var kind class
	for _, c := range classes {
		if c.name == o.Class {
			kind = c
		}
	}
	through := p.processes[0]
	lanes := []*lane{newLane(p.servers.list.Endpoints[0].Address), newLane(through.listen)}
	watching, unwatch := context.WithCancel(ctx)
	defer unwatch()
	stall := make(chan time.Duration, 1)
	go func() { stall <- longestStall(watching) }()
	var open sync.WaitGroup
	step := time.Second / time.Duration(2*o.PerSecond)
	start := time.Now()
	cpuBefore, from := time.Duration(0), start
	warm := true
	random := rand.New(rand.NewPCG(o.Seed, 5))
	for n := 0; ctx.Err() == nil; n++ {
		at := time.Duration(n) * step
		if at >= overheadWarm+o.For {
			break
		}
		if warm && at >= overheadWarm {
			warm, from = false, time.Now()
			cpuBefore, _ = through.used()
		}
		if d := time.Until(start.Add(at)); d > 0 {
			time.Sleep(d)
		}
		l, id, counts := lanes[n%2], fmt.Sprintf("%016x", random.Uint64()), !warm
		open.Go(func() { l.call(kind, id, counts) })
	}
	open.Wait()
	cpu, rss := through.used()
	unwatch()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if through.crashed() {
		return nil, errors.New("the sidecar ended, see " + through.log.Name())
	}
	r := &OverheadReport{Direct: lanes[0].end(), Sidecar: lanes[1].end(), RSSMB: float64(rss) / (1 << 20), StallMs: (<-stall).Milliseconds()}
	r.CPU = (cpu - cpuBefore).Seconds() / time.Since(from).Seconds()
	r.AddedP50, r.AddedP99 = r.Sidecar.P50-r.Direct.P50, r.Sidecar.P99-r.Direct.P99
	return r, nil
}
