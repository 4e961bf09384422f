package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"damsonscale/internal/lab/standin"
)

// refusingAddr returns an address that refuses connections. Its port stays bound without listening, so that no other stand-in gets
// it: an attempt at the address of a server that is supposed to be gone would otherwise hang at the unresponsive discovery.
func refusingAddr(t *testing.T) string {
	t.Helper()
	fd, addr := standin.BindLoopback(t, 0)
	t.Cleanup(func() { syscall.Close(fd) })
	return addr
}

// neverRespond keeps the connection open without a response until the peer closes it.
func neverRespond(c *net.TCPConn, _ int) { io.Copy(io.Discard, c) }

// response503 is the response of an overloaded discovery service.
const response503 = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"

func respondYes(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "yes") }

// The known list is outdated and discovery hangs. The one server that still exists serves every request, whichever is tried first.
func TestStaleEndpointsAndHangingDiscovery(t *testing.T) {
	hosts := []host{hostAt("s1", serveHTTP(t, respondYes), "Ready")}
	for i := range 3 {
		hosts = append(hosts, hostAt(fmt.Sprint("gone", i), refusingAddr(t), "Ready"))
	}
	p := start(t, standin.Listen(t, neverRespond), &list{Seq: 3, Whole: true, Hosts: hosts}, nil)
	p.waitReady(t)
	for range 30 {
		if s, body := p.sendRequest(t); s != 200 || body != "yes" {
			t.Fatalf("got status %d and body %q, want 200 and \"yes\"", s, body)
		}
	}
	p.waitForLog(t, "event=endpoint_ejected")
	p.waitForLog(t, "event=endpoint_watch_ended")
}

// An empty known list counts as no list: the sidecar is not ready, opens a watch at once, and applies the list that arrives.
func TestEmptyKnownListIsNotReady(t *testing.T) {
	d := startDiscovery(t)
	p := start(t, d.addr, &list{Seq: 9, Whole: true, Hosts: []host{}}, nil)
	<-d.watches
	if s := p.status("/health/ready"); s != 503 {
		t.Fatalf("/health/ready returned %d with an empty list, want 503", s)
	}
	d.sendList(t, list{Seq: 10, Whole: true, Hosts: []host{hostAt("s1", serveHTTP(t, respondYes), "Ready")}})
	p.waitReady(t)
}

// Discovery responds 503, resets the connection, breaks off in a list, and then works. Until then the known list serves requests and
// each failure is logged. The list that arrives twice is applied once.
func TestKnownListServesDuringDiscoveryErrors(t *testing.T) {
	first := serveHTTP(t, respondYes)
	second := serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "new") })
	line := fmt.Sprintf(`{"seq":44,"whole":true,"hosts":[{"host":"s2","dial":%q,"site":"z","health":"Ready","share":1}]}`+"\n", second)
	addr := standin.Listen(t, func(c *net.TCPConn, n int) {
		b := make([]byte, 4096)
		c.Read(b)
		head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		chunk := fmt.Sprintf("%x\r\n%s\r\n", len(line), line)
		switch n {
		case 0:
			io.WriteString(c, response503)
		case 1:
			c.SetLinger(0)
		case 2:
			io.WriteString(c, head+chunk[:len(chunk)/2])
		default:
			io.WriteString(c, head+chunk+chunk)
			io.Copy(io.Discard, c)
		}
	})
	p := start(t, addr, &list{Seq: 41, Whole: true, Hosts: []host{hostAt("s1", first, "Ready")}}, nil)
	p.waitReady(t)
	eventually(t, "a response from the server of the new list", func() bool {
		s, body := p.sendRequest(t)
		if s != 200 {
			t.Fatalf("got status %d and body %q, want 200", s, body)
		}
		return body == "new"
	})
	if n := strings.Count(p.log.String(), "event=endpoint_watch_ended"); n != 3 {
		t.Errorf("event=endpoint_watch_ended is logged %d times, want 3", n)
	}
	if s, body := p.sendRequest(t); s != 200 || body != "new" {
		t.Errorf("after the duplicate list: got status %d and body %q, want 200 and \"new\"", s, body)
	}
}

// A new server takes over the address of a removed one. Requests to that address count for the new server, even if one update of the
// list reports the removal and the new server together.
func TestReusedServerAddress(t *testing.T) {
	var mu sync.Mutex
	name := "one"
	addr := serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		io.WriteString(w, name)
	})
	d := startDiscovery(t)
	p := start(t, d.addr, &list{Seq: 1, Whole: true, Hosts: []host{hostAt("s1", addr, "Ready")}}, nil)
	p.waitReady(t)
	if s, body := p.sendRequest(t); s != 200 || body != "one" {
		t.Fatalf("got status %d and body %q, want 200 and \"one\"", s, body)
	}
	mu.Lock()
	name = "two"
	mu.Unlock()
	<-d.watches
	next := hostAt("s2", addr, "Ready")
	next.Born = time.Now().UnixMilli()
	d.sendList(t, list{Seq: 2, Hosts: []host{{Host: "s1", Health: "Gone"}, next}})
	eventually(t, "a response from the new server at the address", func() bool {
		s, body := p.sendRequest(t) // may be rejected during the new server's slow start
		return s == 200 && body == "two"
	})
}

// If some servers close connections right after the handshake and others decline every request, the healthy server still serves every
// idempotent request, and an at_most_once request runs at most once.
func TestServersThatCloseOrDeclineRequests(t *testing.T) {
	var mu sync.Mutex
	runs := map[string]int{}
	healthy := serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		runs[r.Header.Get("Req-Id")]++
		mu.Unlock()
		io.WriteString(w, "yes")
	})
	closing := standin.Listen(t, func(*net.TCPConn, int) {})
	declining := serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Srv-Declined", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	d := startDiscovery(t)
	p := start(t, d.addr, &list{Seq: 1, Whole: true, Hosts: []host{
		hostAt("well", healthy, "Ready"), hostAt("closes", closing, "Ready"), hostAt("away", declining, "Ready"),
	}}, nil)
	p.waitReady(t)
	for i := range 40 {
		if s, _ := doRequest(t, newRequest(t, p.addr, "GET", "/look", "")); s != 200 {
			t.Fatalf("idempotent request %d: got status %d, want 200", i, s)
		}
		if s, _ := doRequest(t, newRequest(t, p.addr, "POST", "/once", "x")); s != 200 && s != 502 && s != 503 {
			t.Fatalf("at_most_once request %d: got status %d, want 200, 502 or 503", i, s)
		}
	}
	for id, n := range runs {
		if n != 1 {
			t.Errorf("request %s ran %d times at the healthy server, want 1", id, n)
		}
	}
}

// A sidecar that is killed with requests in flight restarts with the known list, while discovery responds 503, and serves.
func TestRestartWhileDiscoveryIsOverloaded(t *testing.T) {
	overloaded := standin.Listen(t, func(c *net.TCPConn, _ int) {
		c.Read(make([]byte, 4096))
		io.WriteString(c, response503)
	})
	known := &list{Seq: 1, Whole: true, Hosts: []host{
		hostAt("s1", serveHTTP(t, respondYes), "Ready"), hostAt("hangs", standin.Listen(t, neverRespond), "Ready"),
	}}
	p := start(t, overloaded, known, nil)
	p.waitReady(t)
	for range 8 { // some of them go to the server that hangs
		r := newRequest(t, p.addr, "GET", "/look", "")
		go func() {
			if resp, err := http.DefaultClient.Do(r); err == nil {
				resp.Body.Close()
			}
		}()
	}
	p.waitForLog(t, "event=endpoint_watch_ended")
	p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
	restarted := start(t, overloaded, known, func(conf map[string]any) { conf["listen"] = p.addr })
	restarted.addr = p.addr
	restarted.waitReady(t)
	eventually(t, "a request to be served after the restart", func() bool {
		s, _ := restarted.sendRequest(t)
		return s == 200
	})
}
