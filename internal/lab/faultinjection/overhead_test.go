package faultinjection

import (
	"context"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

func TestOverheadConfigErrorsNameTheFlag(t *testing.T) {
	for name, change := range map[string]func(*OverheadConfig){
		"per-second": func(o *OverheadConfig) { o.PerSecond = 0 },
		"for":        func(o *OverheadConfig) { o.Duration = time.Hour },
		"servers":    func(o *OverheadConfig) { o.Servers = 20_001 },
		"balancers":  func(o *OverheadConfig) { o.Balancers = -1 },
		"members":    func(o *OverheadConfig) { o.Members = 2 },
		"class":      func(o *OverheadConfig) { o.Class = "none" },
		"server-ms":  func(o *OverheadConfig) { o.ServerMs = -1 },
	} {
		o := &OverheadConfig{PerSecond: 1, Duration: time.Second, Servers: 1, Class: "look"}
		if err := o.Validate(); err != nil {
			t.Fatal(err)
		}
		change(o)
		if _, err := MeasureOverhead(context.Background(), Setup{}, o); err == nil || !strings.HasPrefix(err.Error(), name) {
			t.Errorf("%s out of range: got error %v, want one that starts with the name of the flag", name, err)
		}
	}
}

// Both paths get the same number of calls, all of which succeed, with and without a fleet.
func TestOverheadMeasuresBothPathsEqually(t *testing.T) {
	for class, members := range map[string]int{"look": 0, "make": 3} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			timelineSlots <- true
			defer func() { <-timelineSlots }()
			setup := Setup{Binary: filepath.Join(binaryDir, "damsonscale"), Dir: t.TempDir()}
			o := &OverheadConfig{PerSecond: 20, Duration: time.Second, Servers: 40, Members: members, Class: class, ServerMs: 1}
			r, err := MeasureOverhead(context.Background(), setup, o)
			if err != nil {
				t.Fatal(err)
			}
			for path, p := range map[string]PathStats{"direct": r.Direct, "sidecar": r.Sidecar} {
				if p.Calls != 20 || p.Failed != 0 || p.P50 < 1 || p.Max < p.P99 {
					t.Errorf("%s path: got %+v, want 20 calls, none failed, a median of at least 1 us and a maximum no lower than the 99th percentile", path, p)
				}
			}
		})
	}
}

// The latency of a call excludes the service time that the response states. A response without a service time counts as failed.
func TestOverheadExcludesTheServiceTime(t *testing.T) {
	body := "3600000000" // service time of an hour in µs
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go fasthttp.Serve(ln, func(c *fasthttp.RequestCtx) { c.WriteString(body) })
	path := newMeasuredPath(ln.Addr().String())
	path.sendCall(classes[0], "1", false)
	path.sendCall(classes[0], "2", true)
	if p := path.summarize(); p.Calls != 1 || p.Failed != 0 || p.Max != 1 {
		t.Errorf("after an unmeasured and a measured call: got %+v, want 1 call, none failed, with a maximum of 1 us", p)
	}
	body = "done"
	path.sendCall(classes[0], "3", true)
	if p := path.summarize(); p.Calls != 2 || p.Failed != 1 {
		t.Errorf("after a response without a service time: got %+v, want 2 calls, 1 failed", p)
	}
}
