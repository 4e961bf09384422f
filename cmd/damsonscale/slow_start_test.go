package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// Slow start settings of the fleet, and the load that a warm server gets.
const (
	slowStartMinShare = 0.9  // share of its capacity that a server gets at its start
	slowStartSeconds  = 20.0 // duration of slow start in s
	overloadFactor    = 3.0  // multiple of its reached capacity that a server may get within a window
	windowSeconds     = 0.5  // duration of the window in which requests are counted, in s
	warmRate          = 6.0  // requests per second for each warm server; counts as its capacity
)

// coldServer is a server that records when requests arrive.
type coldServer struct {
	addr, name string
	born       time.Time
	mu         sync.Mutex
	arrived    []float64 // seconds since born
}

func startColdServer(t *testing.T, name string) *coldServer {
	s := &coldServer{name: name, born: time.Now()}
	s.addr = serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		s.arrived = append(s.arrived, time.Since(s.born).Seconds())
		s.mu.Unlock()
		io.WriteString(w, "yes")
	})
	return s
}

func (s *coldServer) listEntry() host {
	h := hostAt(s.name, s.addr, "Ready")
	h.Born = s.born.UnixMilli()
	return h
}

// checkSlowStart checks the number of requests in every window that begins with a request, by the server's own clock, and returns the
// number of all requests. A busy machine can delay requests, which then arrive together: a delay adds at most as many requests to a
// window as arrive on average in a time as long as the delay, and the bound leaves room for a delay of about one window.
func (s *coldServer) checkSlowStart(t *testing.T) (arrived int) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	most, share := 0, 0.0
	for i, at := range s.arrived {
		n := 0
		for n < len(s.arrived)-i && s.arrived[i+n]-at < windowSeconds {
			n++
		}
		budget := overloadFactor * min(1, slowStartMinShare+(1-slowStartMinShare)*at/slowStartSeconds) * warmRate * windowSeconds
		bound := budget + 2*math.Sqrt(budget) + 2
		if most = max(most, n); float64(n) > bound {
			t.Errorf("%s got %d requests within %.1f s from %.2f s after its start, want at most %.1f", s.name, n, windowSeconds, at, bound)
		}
		share = max(share, float64(n)/bound)
	}
	t.Logf("%s: %d requests, at most %d in a window, at most %.2f of the bound", s.name, len(s.arrived), most, share)
	return len(s.arrived)
}

// testFleet is a number of sidecars with the same servers, each with its own discovery service.
type testFleet struct {
	t           *testing.T
	sidecars    []*program
	discoveries []*discovery
	warm        []host
	client      *http.Client
	calls       sync.WaitGroup
	next        int
}

// startFleet starts n sidecars that know two warm servers and the given others.
func startFleet(t *testing.T, n int, others ...host) *testFleet {
	f := &testFleet{t: t, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
	for i := range 2 {
		f.warm = append(f.warm, hostAt(fmt.Sprint("warm", i), serveHTTP(t, respondYes), "Ready"))
	}
	edit := strings.NewReplacer(`"Balancers":1`, fmt.Sprintf(`"Balancers":%d`, n), `"ColdFrom":0.5,"ColdUs":5000000`,
		fmt.Sprintf(`"ColdFrom":%v,"ColdUs":%.0f`, slowStartMinShare, slowStartSeconds*1e6), `"FallUs":3000000`,
		fmt.Sprintf(`"FallUs":%.0f`, windowSeconds*1e6))
	for i := range n {
		d := startDiscovery(t)
		f.discoveries = append(f.discoveries, d)
		f.sidecars = append(f.sidecars, start(t, d.addr, &list{Seq: 41, Whole: true, Hosts: append(others, f.warm...)}, func(c map[string]any) {
			c["name"], c["seed"] = fmt.Sprint("n", i), fmt.Sprintf("%016x", i+1)
			c["settings"] = json.RawMessage(strings.Replace(edit.Replace(settings), `"Me":0`, fmt.Sprintf(`"Me":%d`, i), 1))
		}))
	}
	for _, p := range f.sidecars {
		p.waitReady(t)
	}
	t.Cleanup(f.calls.Wait)
	return f
}

// sendAsync sends a request to p and does not wait for the response.
func (f *testFleet) sendAsync(p *program) {
	r := newRequest(f.t, p.addr, "GET", "/look", "")
	f.calls.Add(1)
	go func() {
		defer f.calls.Done()
		ctx, stop := context.WithTimeout(context.Background(), testTimeout)
		defer stop()
		if resp, err := f.client.Do(r.WithContext(ctx)); err == nil { // failures do not matter: the servers count what they get
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	}()
}

// sendSteadily sends requests to the targets in turn for the given time, at warmRate per warm server.
func (f *testFleet) sendSteadily(seconds float64, targets ...*program) {
	gap := time.Duration(float64(time.Second) / (warmRate * float64(len(f.warm))))
	for end := time.Now().Add(time.Duration(seconds * 1e9)); time.Now().Before(end); time.Sleep(gap) {
		f.sendAsync(targets[f.next%len(targets)])
		f.next++
	}
}

// burst sends each sidecar the given number of requests at once.
func (f *testFleet) burst(each int) {
	for _, p := range f.sidecars {
		for range each {
			f.sendAsync(p)
		}
	}
}

// sendList sends one sidecar a complete list.
func (f *testFleet) sendList(i, seq int, hosts ...host) {
	f.discoveries[i].sendList(f.t, list{Seq: seq, Whole: true, Hosts: hosts})
}

// Many sidecars together do not exceed a cold server's slow start limit. Each cold server records when its requests arrive.
func TestSlowStartAcrossManySidecars(t *testing.T) {
	for _, n := range []int{20, 30} {
		arrived := 0
		t.Run(fmt.Sprint(n, " processes, the warm servers are removed"), func(t *testing.T) {
			f := startFleet(t, n)
			f.sendSteadily(0.5, f.sidecars...)
			cold := startColdServer(t, "cold")
			for i := range f.sidecars {
				f.sendList(i, 42, append([]host{cold.listEntry()}, f.warm...)...)
			}
			f.sendSteadily(5, f.sidecars...)
			for i := range f.sidecars {
				f.sendList(i, 43, cold.listEntry())
			}
			f.burst(4)
			f.sendSteadily(0.5, f.sidecars...)
			arrived += cold.checkSlowStart(t)
		})
		t.Run(fmt.Sprint(n, " processes that start with the server"), func(t *testing.T) {
			cold := startColdServer(t, "cold")
			f := startFleet(t, n, cold.listEntry())
			f.burst(2)
			f.sendSteadily(3, f.sidecars...)
			arrived += cold.checkSlowStart(t)
		})
		t.Run(fmt.Sprint(n, " processes, uneven traffic, lists at different times, three cold servers, a pause"), func(t *testing.T) {
			f := startFleet(t, n)
			f.sendSteadily(1, f.sidecars...)
			var colds []*coldServer
			hosts := f.warm
			for i := range 3 {
				colds = append(colds, startColdServer(t, fmt.Sprint("cold", i)))
				hosts = append(hosts[:len(hosts):len(hosts)], colds[i].listEntry())
			}
			for i := range f.sidecars {
				f.sendList(i, 42, hosts...)
				f.sendSteadily(1/float64(n), f.sidecars[0], f.sidecars[0], f.sidecars[0], f.sidecars[i])
			}
			f.sendSteadily(2, append(f.sidecars[:n:n], f.sidecars[0], f.sidecars[0], f.sidecars[0])...)
			time.Sleep(time.Second)
			f.burst(3)
			f.sendSteadily(1, f.sidecars...)
			for _, c := range colds {
				arrived += c.checkSlowStart(t)
			}
		})
		if arrived == 0 {
			t.Errorf("%d processes sent no request to any cold server", n)
		}
	}
}
