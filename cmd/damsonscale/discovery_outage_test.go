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

// deadAddr is an address that refuses connections: bound, so that no other stand-in gets it, and never listened on. Guards
// against a server taken for gone whose port the silent discovery got: an attempt there hung for all of its time.
func refusingAddr(t *testing.T) string {
	t.Helper()
	fd, addr := standin.Bound(t, 0)
	t.Cleanup(func() { syscall.Close(fd) })
	return addr
}

// silent never says a word until its peer leaves.
func neverRespond(c *net.TCPConn, _ int) { io.Copy(io.Discard, c) }

// busy is what an overbooked discovery answers.
const response503 = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"

func respondYes(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "yes") }

// A list known that is old names servers long gone; discovery hangs. What is still there serves, whatever is drawn first.
func TestStaleEndpointsAndHangingDiscovery(t *testing.T) {
	hosts := []host{hostAt("s1", serveHTTP(t, respondYes), "Ready")}
	for i := range 3 {
		hosts = append(hosts, hostAt(fmt.Sprint("gone", i), refusingAddr(t), "Ready"))
	}
	p := start(t, standin.Listen(t, neverRespond), &list{Seq: 3, Whole: true, Hosts: hosts}, nil)
	p.waitReady(t)
	for range 30 {
		if s, body := p.sendRequest(t); s != 200 || body != "yes" {
			t.Fatal(s, body)
		}
	}
	p.waitForLog(t, "event=endpoint_ejected")
	p.waitForLog(t, "event=endpoint_watch_ended")
}

// An empty list known is as none: the sidecar is not ready and asks at once; what comes later counts.
func TestEmptyKnownListIsNotReady(t *testing.T) {
	d := startDiscovery(t)
	p := start(t, d.addr, &list{Seq: 9, Whole: true, Hosts: []host{}}, nil)
	<-d.watches
	if s := p.status("/health/ready"); s != 503 {
		t.Fatalf("ready with no server: %d", s)
	}
	d.sendList(t, list{Seq: 10, Whole: true, Hosts: []host{hostAt("s1", serveHTTP(t, respondYes), "Ready")}})
	p.waitReady(t)
}

// Discovery answers 503, resets, breaks off in a list, and only then serves: the list known is used meanwhile, each
// failure is logged, and the list that comes late, and twice, counts once.
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
	eventually(t, "the new list", func() bool {
		s, body := p.sendRequest(t)
		if s != 200 {
			t.Fatal(s, body)
		}
		return body == "new"
	})
	if n := strings.Count(p.log.String(), "event=endpoint_watch_ended"); n != 3 {
		t.Errorf("%d ends of a watch logged, want 3", n)
	}
	if s, body := p.sendRequest(t); s != 200 || body != "new" {
		t.Error("after the list came twice:", s, body)
	}
}

// Another server takes over the address of one that has gone: what is sent goes to it under its own name, also over
// a list that tells both at once.
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
		t.Fatal(s, body)
	}
	mu.Lock()
	name = "two"
	mu.Unlock()
	<-d.watches
	next := hostAt("s2", addr, "Ready")
	next.Born = time.Now().UnixMilli()
	d.sendList(t, list{Seq: 2, Hosts: []host{{Host: "s1", Health: "Gone"}, next}})
	eventually(t, "an answer of the new one", func() bool {
		s, body := p.sendRequest(t) // refused at most while the new one is cold
		return s == 200 && body == "two"
	})
}

// Servers that close right after the handshake, or turn each connection away, cost no request: what may run once runs
// at most once, and all else is served by the one that is well.
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
			t.Fatalf("safe request %d: %d", i, s)
		}
		if s, _ := doRequest(t, newRequest(t, p.addr, "POST", "/once", "x")); s != 200 && s != 502 && s != 503 {
			t.Fatalf("unsafe request %d: %d", i, s)
		}
	}
	for id, n := range runs {
		if n != 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
}

// A sidecar killed in the middle of it all starts again on the list known, while discovery turns it away, and serves.
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
	for range 8 { // some of them hang
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
	eventually(t, "an answer", func() bool {
		s, _ := restarted.sendRequest(t)
		return s == 200
	})
}
