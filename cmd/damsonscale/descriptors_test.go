package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"damsonscale/internal/lab/standin"
)

// discoveryOutage is a fake discovery service that is down in a given mode, and can be restored at the same address.
type discoveryOutage struct {
	addr              string
	fd                int
	mode              string
	restored          atomic.Bool
	list              string        // sent to each call after the outage
	listSent          chan struct{} // closed once the first call after the outage has been sent the list
	once              sync.Once
	callsDuringOutage atomic.Int64 // calls accepted during the outage
	callsAfterOutage  atomic.Int64 // calls accepted after the outage
}

// Modes of an outage.
const (
	refuses  = "refuses"
	hangs    = "hangs"    // accepts calls and never responds
	trickles = "trickles" // sends the head of its response one byte every 200 ms
	fails    = "fails"    // responds with status 503
)

func newDiscoveryOutage(t *testing.T, mode string) *discoveryOutage {
	t.Helper()
	fd, addr := standin.BindLoopback(t, 0) // the port stays bound and refuses connections until listen
	o := &discoveryOutage{addr: addr, fd: fd, mode: mode, listSent: make(chan struct{})}
	if mode == refuses {
		t.Cleanup(func() {
			if !o.restored.Load() {
				syscall.Close(fd)
			}
		})
	} else {
		o.listen(t)
	}
	return o
}

func (o *discoveryOutage) listen(t *testing.T) {
	t.Helper()
	if err := syscall.Listen(o.fd, 128); err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(o.fd), "discovery")
	ln, err := net.FileListener(f)
	f.Close()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				o.serve(c, o.restored.Load())
			}()
		}
	}()
}

// serve handles one call; restored is true if the call arrived after the outage.
func (o *discoveryOutage) serve(c net.Conn, restored bool) {
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	if restored {
		o.callsAfterOutage.Add(1)
		fmt.Fprintf(c, "%s%x\r\n%s\r\n", head, len(o.list), o.list)
		o.once.Do(func() { close(o.listSent) })
		for { // the empty lines that keep an unchanged watch alive
			time.Sleep(time.Second)
			if _, err := io.WriteString(c, "1\r\n\n\r\n"); err != nil {
				return
			}
		}
	}
	o.callsDuringOutage.Add(1)
	switch o.mode {
	case fails:
		standin.WriteResponse(c, 503, "", "")
	case trickles:
		for _, b := range []byte(head) {
			if _, err := c.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(200 * time.Millisecond)
		}
	default:
		io.Copy(io.Discard, c)
	}
}

// restore ends the outage: later calls get the list l.
func (o *discoveryOutage) restore(t *testing.T, l list) {
	t.Helper()
	text, _ := json.Marshal(l)
	o.list = string(text) + "\n"
	o.restored.Store(true)
	if o.mode == refuses {
		o.listen(t)
	}
}

// idleClients are clients of three kinds: they send nothing, half a request, or one request whose response they read and then stay
// idle. Each reconnects as soon as its connection is closed.
type idleClients struct {
	arrived atomic.Int64 // connections opened
	closed  atomic.Int64 // connections closed
}

func startIdleClients(t *testing.T, addr string, size int) *idleClients {
	k, stop := &idleClients{}, make(chan struct{})
	var wg sync.WaitGroup
	t.Cleanup(func() {
		close(stop)
		wg.Wait()
	})
	for i := range size {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				k.holdConnection(addr, i%3, stop)
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
			}
		}()
	}
	return k
}

// holdConnection keeps one connection open until the sidecar closes it or stop is closed.
func (k *idleClients) holdConnection(addr string, kind int, stop <-chan struct{}) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer c.Close()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-stop:
			c.Close()
		case <-ended:
		}
	}()
	k.arrived.Add(1)
	switch kind {
	case 1:
		io.WriteString(c, "GET /look HTTP/1.1\r\nHost: h\r\nReq-")
	case 2:
		io.WriteString(c, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	io.Copy(io.Discard, c)
	k.closed.Add(1)
}

// doOnNewConnection sends r on a connection of its own.
func doOnNewConnection(_ *program, r *http.Request) (status int, body string, took time.Duration) {
	began := time.Now()
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testTimeout}
	resp, err := c.Do(r)
	if err != nil {
		return 0, err.Error(), time.Since(began)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), time.Since(began)
}

// A process whose descriptor limit is lowered while it runs keeps running, and serves once descriptors are free again.
func TestSurvivesLoweredDescriptorLimit(t *testing.T) {
	p, _ := startWithServer(t, func(_ http.ResponseWriter, _ *http.Request) {})
	lowered := syscall.Rlimit{Cur: 16, Max: 256}
	if _, _, e := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(p.cmd.Process.Pid), syscall.RLIMIT_NOFILE,
		uintptr(unsafe.Pointer(&lowered)), 0, 0, 0); e != 0 {
		t.Fatalf("prlimit: %v", e)
	}
	p.checkSurvivesIdleConnections(t, 40)
}

const listDeadline = 6 * time.Second // from the end of the outage until discovery must have sent the sidecar its list

// Idle clients may take all descriptors while discovery is down. Once discovery is back, the sidecar must get its list in time, answer
// health checks, reach servers and serve a new client. The test guards against a call to discovery, or a dial to a server, for which
// no descriptor is left.
func TestDiscoveryRecoveryWithIdleClients(t *testing.T) {
	const asConfigured = 0 // the descriptor limit equals the configured limit on sockets
	for _, c := range []struct {
		mode        string
		pushed      bool
		known       bool // the sidecar starts with a known list and has idle connections to its servers
		admin       bool
		sockets     int
		descriptors int
	}{
		{refuses, false, false, false, 64, asConfigured},
		{refuses, false, true, true, 64, asConfigured},
		{refuses, true, true, false, 64, asConfigured},
		{hangs, false, true, false, 64, asConfigured},
		{hangs, true, false, true, 64, asConfigured},
		{trickles, false, true, false, 64, asConfigured},
		{trickles, true, true, false, 64, asConfigured},
		{fails, false, false, false, 64, asConfigured},
		{refuses, false, true, false, 64, 40},
		{refuses, true, false, true, 64, 40},
		{hangs, false, true, true, 64, 40},
		{hangs, true, true, false, 64, 32},
		{trickles, false, false, false, 64, 32},
	} {
		name := fmt.Sprintf("%s,pushed=%t,known=%t,admin=%t,%d of %d descriptors", c.mode, c.pushed, c.known, c.admin, c.descriptors, c.sockets)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDiscoveryOutage(t, c.mode)
			var before *list
			var hosts []host
			for i := range 3 {
				s := standin.NewServer(t, func(c *net.TCPConn, _ *http.Request) bool {
					time.Sleep(100 * time.Millisecond)
					return standin.WriteResponse(c, 200, "", "before")
				})
				hosts = append(hosts, hostAt(fmt.Sprint("s", i), s.Addr, "Ready"))
			}
			if c.known {
				before = &list{Seq: 7, Whole: true, Hosts: hosts}
			}
			admin := ""
			p := start(t, d.addr, before, func(conf map[string]any) {
				conf["limits"] = map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": c.sockets}
				conf["descriptors"] = c.sockets
				if c.descriptors != asConfigured {
					conf["descriptors"] = c.descriptors
				}
				if c.pushed {
					conf["settings"] = json.RawMessage(strings.Replace(settings, `"on_request"`, `"pushed"`, 1))
				}
				if c.admin {
					admin = freeAddr(t)
					conf["admin"] = admin
				}
			})
			p.waitForLog(t, "event=start")
			if c.known {
				p.waitReady(t)
				var wg sync.WaitGroup
				for range 24 { // concurrent requests leave idle connections to the servers
					r := newRequest(t, p.addr, "GET", "/look", "")
					wg.Add(1)
					go func() {
						defer wg.Done()
						if s, body, _ := doOnNewConnection(p, r); s != 200 || body != "before" {
							t.Errorf("before the idle clients: got status %d and body %q, want 200 and \"before\"", s, body)
						}
					}()
				}
				wg.Wait()
			}
			k := startIdleClients(t, p.addr, 5*c.sockets/4)
			eventually(t, "more idle connections than the limit on sockets", func() bool { return k.arrived.Load() > int64(5*c.sockets/4) })
			time.Sleep(3 * time.Second) // long enough for some calls to discovery to fail
			if c.known {
				if s, body, took := doOnNewConnection(p, newRequest(t, p.addr, "GET", "/look", "")); s != 200 || body != "before" {
					t.Errorf("new client during the outage: got status %d and body %q after %v, want 200 and \"before\"", s, body, took)
				}
			}
			next := standin.NewServer(t, func(c *net.TCPConn, _ *http.Request) bool { return standin.WriteResponse(c, 200, "", "next") })
			restored := time.Now()
			d.restore(t, list{Seq: 9, Whole: true, Hosts: []host{hostAt("next", next.Addr, "Ready")}})
			select {
			case <-d.listSent:
			case <-time.After(testTimeout):
				t.Fatalf("discovery was not called within %v of its return\n%s", testTimeout, p.log.String())
			}
			called := time.Since(restored)
			if called > listDeadline {
				t.Errorf("discovery sent its list %v after its return, want at most %v", called, listDeadline)
			}
			var ready, served int
			var body string
			var health, took time.Duration
			eventually(t, "/health/ready to return 200", func() bool {
				ready, _, health = doOnNewConnection(p, newRequest(t, p.addr, "GET", "/health/ready", ""))
				return ready == 200
			})
			eventually(t, "a response from the server of the new list", func() bool {
				served, body, took = doOnNewConnection(p, newRequest(t, p.addr, "GET", "/look", ""))
				return body == "next"
			})
			if served != 200 {
				t.Errorf("new client after the outage: got status %d and body %q, want 200 and \"next\"", served, body)
			}
			if c.admin {
				if s, text, _ := doOnNewConnection(p, newRequest(t, admin, "GET", "/healthcheck", "")); s != 200 {
					t.Errorf("GET /healthcheck of the admin API: got status %d and body %q, want 200", s, text)
				}
			}
			if log := p.log.String(); strings.Contains(log, "too many open files") {
				t.Errorf("the process ran out of descriptors:\n%s", log)
			}
			if n := d.callsAfterOutage.Load(); n != 1 {
				t.Errorf("discovery got %d calls after its return, want 1\n%s", n, p.log.String())
			}
			t.Logf("discovery called %v after its return (%d calls before); health check took %v, request %v; %d idle connections opened, %d closed",
				called.Round(time.Millisecond), d.callsDuringOutage.Load(), health.Round(time.Millisecond), took.Round(time.Millisecond),
				k.arrived.Load(), k.closed.Load())
		})
	}
}
