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

func TestOverheadNamesWhatIsOutOfRange(t *testing.T) {
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
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Both ways get as many calls, in turn, and each is answered; the fleet's ways too.
func TestOverheadCallsBothWays(t *testing.T) {
	for class, members := range map[string]int{"look": 0, "make": 3} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			timelineSlots <- true
			defer func() { <-timelineSlots }()
			set := Setup{Binary: filepath.Join(binaryDir, "damsonscale"), Dir: t.TempDir()}
			o := &OverheadConfig{PerSecond: 20, Duration: time.Second, Servers: 40, Members: members, Class: class, ServerMs: 1}
			r, err := MeasureOverhead(context.Background(), set, o)
			if err != nil {
				t.Fatal(err)
			}
			for _, p := range []PathStats{r.Direct, r.Sidecar} {
				if p.Calls != 20 || p.Failed != 0 || p.P50 < 1 || p.Max < p.P99 {
					t.Errorf("%+v", p)
				}
			}
		})
	}
}

// What a server needed itself is no part of a call's overhead, and what is no such answer has failed.
func TestOverheadWithoutTheServersOwnTime(t *testing.T) {
	body := "3600000000" // an hour, in µs
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go fasthttp.Serve(ln, func(c *fasthttp.RequestCtx) { c.WriteString(body) })
	l := newMeasuredPath(ln.Addr().String())
	l.sendCall(classes[0], "1", false)
	l.sendCall(classes[0], "2", true)
	if p := l.summarize(); p.Calls != 1 || p.Failed != 0 || p.Max != 1 {
		t.Errorf("%+v", p)
	}
	body = "done"
	l.sendCall(classes[0], "3", true)
	if p := l.summarize(); p.Calls != 2 || p.Failed != 1 {
		t.Errorf("%+v", p)
	}
}
