package main

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// withAdmin gives a configuration an operators' door.
func withAdmin(t *testing.T) func(map[string]any) {
	return func(c map[string]any) { c["admin"] = freeAddr(t) }
}

// callAdmin makes one call at the door and returns its status.
func (p *program) callAdmin(t *testing.T, method, path string) int {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+p.conf["admin"].(string)+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode
}

// clientLine is a client's connection that tells of its end.
type clientConn struct {
	net.Conn
	br *bufio.Reader
}

func (p *program) dial(t *testing.T) *clientConn {
	t.Helper()
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return &clientConn{c, bufio.NewReader(c)}
}

// look makes a safe request on the connection.
func (c *clientConn) sendRequest(t *testing.T) (status int, closing bool) {
	t.Helper()
	r := newRequest(t, "h", "GET", "/look", "")
	if err := r.Write(c); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(c.br, r)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Close
}

// A drained sidecar says no, serves what still comes, ends its connections and is back after the drain.
func TestAdminDrainAndUndrain(t *testing.T) {
	p, _ := startWithServerAndConfig(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "yes") }, withAdmin(t))
	if s := p.callAdmin(t, "GET", "/healthcheck"); s != 200 {
		t.Fatal(s)
	}
	used, idle, unused := p.dial(t), p.dial(t), p.dial(t)
	for _, c := range []*clientConn{used, idle} {
		if s, closing := c.sendRequest(t); s != 200 || closing {
			t.Fatal(s, closing)
		}
	}
	if s := p.callAdmin(t, "POST", "/healthcheck/fail"); s != 200 {
		t.Fatal(s)
	}
	if s := p.status("/health/ready"); s != 503 {
		t.Fatalf("ready while drained: %d", s)
	}
	if s, closing := used.sendRequest(t); s != 200 || !closing {
		t.Fatalf("a request in a drain: %d, last %t", s, closing)
	}
	for name, c := range map[string]*clientConn{"idle": idle, "unused": unused} {
		if b, err := io.ReadAll(c.br); err != nil || len(b) > 0 {
			t.Fatalf("%s connection: %q %v", name, b, err)
		}
	}
	if s, closing := p.dial(t).sendRequest(t); s != 200 || !closing {
		t.Fatalf("a new connection in a drain: %d, last %t", s, closing)
	}
	for _, call := range []string{"ok", "fail", "ok"} {
		if s := p.callAdmin(t, "POST", "/healthcheck/"+call); s != 200 {
			t.Fatal(call, s)
		}
	}
	if s := p.status("/health/ready"); s != 200 {
		t.Fatalf("after the drain: %d", s)
	}
	if s, closing := p.dial(t).sendRequest(t); s != 200 || closing {
		t.Fatalf("after the drain: %d, last %t", s, closing)
	}
}

// The admin API answers while clients take every socket.
func TestAdminAnswersWhileClientsTakeAllSockets(t *testing.T) {
	p, _ := startWithServerAndConfig(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "yes") }, func(c map[string]any) {
		withAdmin(t)(c)
		c["limits"].(map[string]any)["sockets"], c["descriptors"] = 64, 64
	})
	for range 200 {
		p.dial(t)
	}
	if s := p.callAdmin(t, "POST", "/healthcheck/fail"); s != 200 {
		t.Fatal(s)
	}
}

// An operators' address that can't be had is named.
func TestAdminAddressInUse(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	p := start(t, "127.0.0.1:1", nil, func(c map[string]any) { c["admin"] = taken.Addr().String() })
	if err := <-p.done; err == nil || !strings.Contains(p.log.String(), "admin "+taken.Addr().String()) {
		t.Fatalf("%v %s", err, p.log.String())
	}
}

// startSuccessor starts the program a second time beside p: the same addresses, another door, the same folder.
func (p *program) startSuccessor(t *testing.T) *program {
	t.Helper()
	return p.startSuccessorWith(t, nil)
}

// startSuccessorWith does so after a change to the configuration.
func (p *program) startSuccessorWith(t *testing.T, change func(map[string]any)) *program {
	t.Helper()
	conf := map[string]any{}
	for k, v := range p.conf {
		conf[k] = v
	}
	next := start(t, "", nil, func(c map[string]any) {
		clear(c)
		for k, v := range conf {
			c[k] = v
		}
		withAdmin(t)(c)
		if change != nil {
			change(c)
		}
	})
	next.addr = p.addr
	return next
}

// waitHealthy waits until the program's door says that it can serve.
func (p *program) waitHealthy(t *testing.T) {
	t.Helper()
	eventually(t, "yes at the door", func() bool {
		resp, err := http.Get("http://" + p.conf["admin"].(string) + "/healthcheck")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == 200
	})
}

// In an upgrade no request meets a closed door: clients that open a connection for each request, and clients that keep
// theirs, are served all the while, and the old process ends. Twice in a row.
func TestUpgradeLosesNoRequest(t *testing.T) {
	p, _ := startWithServerAndConfig(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "yes") }, withAdmin(t))
	p.waitHealthy(t)
	stop, failed := make(chan bool), make(chan string, 64)
	var clients sync.WaitGroup
	for range 4 {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testTimeout}
			for {
				select {
				case <-stop:
					return
				default:
				}
				resp, err := client.Do(newRequest(t, p.addr, "GET", "/look", ""))
				if err != nil {
					failed <- err.Error()
					return
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode != 200 {
					failed <- resp.Status
					return
				}
			}
		})
	}
	keepAlive := p.dial(t)
	if s, closing := keepAlive.sendRequest(t); s != 200 || closing {
		t.Fatal(s, closing)
	}
	old := p
	for range 2 {
		next := old.startSuccessor(t)
		next.waitHealthy(t)
		old.cmd.Process.Signal(syscall.SIGTERM)
		eventually(t, "the end of the old one's accepting", func() bool { return strings.Contains(old.log.String(), "event=terminating") })
		if s, closing := keepAlive.sendRequest(t); s != 200 || !closing {
			t.Fatalf("a kept connection: %d, last %t", s, closing)
		}
		if err := <-old.done; err != nil {
			t.Fatal(err, old.log.String())
		}
		keepAlive = next.dial(t)
		if s, closing := keepAlive.sendRequest(t); s != 200 || closing {
			t.Fatal(s, closing)
		}
		old = next
	}
	close(stop)
	clients.Wait()
	close(failed)
	for f := range failed {
		t.Error(f)
	}
}

// One that starts beside and dies before it serves, or starts again, changes nothing for the one that is there.
func TestUpgradeWhenOneProcessDies(t *testing.T) {
	p, d := startWithServerAndConfig(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "yes") }, withAdmin(t))
	p.waitHealthy(t)
	p.conf["known"] = nil // the new one must ask before it can serve
	for range 2 {
		next := p.startSuccessor(t)
		p.waitForLog(t, "event=handover_successor state=starting")
		next.waitForLog(t, "event=start")
		next.cmd.Process.Kill()
		<-next.done
		if s, _ := p.sendRequest(t); s != 200 {
			t.Fatal(s)
		}
	}
	next := p.startSuccessor(t)
	next.waitForLog(t, "event=start")
	p.cmd.Process.Kill() // the old one dies in the middle: the new one takes what comes
	<-p.done
	eventually(t, "an answer", func() bool { return p.status("/health/ready") == 503 })
	addr := serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "new") })
	d.sendList(t, list{Seq: 50, Whole: true, Hosts: []host{hostAt("s2", addr, "Ready")}})
	next.waitHealthy(t)
	if s, body := next.sendRequest(t); s != 200 || body != "new" {
		t.Fatal(s, body)
	}
}

// A file where the processes meet that is no hand-over's changes nothing: the address is shared, and the log says so.
func TestUpgradeWithoutHandover(t *testing.T) {
	dir := t.TempDir()
	p, _ := startWithServerAndConfig(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "yes") }, func(c map[string]any) {
		withAdmin(t)(c)
		c["environment"] = "TMPDIR=" + dir
	})
	p.waitHealthy(t)
	left, err := filepath.Glob(filepath.Join(dir, "damsonscale-*.sock"))
	if err != nil || len(left) != 1 {
		t.Fatal(left, err)
	}
	if err := os.Remove(left[0]); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(left[0], []byte("stale"), 0o600); err != nil {
		t.Fatal(err)
	}
	p.conf["environment"] = "TMPDIR=" + dir
	next := p.startSuccessor(t)
	next.waitHealthy(t)
	next.waitForLog(t, "address_shared=true")
	p.cmd.Process.Signal(syscall.SIGTERM)
	if err := <-p.done; err != nil {
		t.Fatal(err)
	}
	if s, _ := next.sendRequest(t); s != 200 {
		t.Fatal(s)
	}
}

// A drain goes on in the process that follows, and is ended there.
func TestUpgradeWhileDrained(t *testing.T) {
	p, _ := startWithServerAndConfig(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "yes") }, withAdmin(t))
	p.waitHealthy(t)
	p.callAdmin(t, "POST", "/healthcheck/fail")
	next := p.startSuccessor(t)
	next.waitHealthy(t)
	p.cmd.Process.Signal(syscall.SIGTERM)
	if err := <-p.done; err != nil {
		t.Fatal(err)
	}
	if s := next.status("/health/ready"); s != 503 {
		t.Fatal(s)
	}
	next.callAdmin(t, "POST", "/healthcheck/ok")
	next.waitReady(t)
}

// A reload takes other classes: a new one is served, a dropped one is not, and a request that is open keeps its rules.
// A broken file then changes nothing.
func TestReloadChangesSettings(t *testing.T) {
	var attempts atomic.Int64
	arrived, finish := make(chan bool, 8), make(chan bool)
	p, d := startWithServer(t, func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/look") {
			io.WriteString(w, "yes")
			return
		}
		if attempts.Add(1) == 1 {
			arrived <- true
			<-finish
			w.WriteHeader(500) // safe under the settings it came with: it is tried again
			return
		}
		io.WriteString(w, "again")
	})
	<-d.watches
	answer := make(chan string, 1)
	go func() {
		resp, err := http.DefaultClient.Do(newRequest(t, p.addr, "GET", "/look", ""))
		if err != nil {
			answer <- err.Error()
			return
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		answer <- resp.Status + " " + string(b)
	}()
	<-arrived
	turn := strings.NewReplacer(`"look","Semantics":"idempotent"`, `"look","Semantics":"at_most_once"`, `"make"`, `"put"`)
	p.conf["settings"] = json.RawMessage(turn.Replace(settings))
	p.reload(t, d.addr)
	p.waitForLog(t, "event=config_reloaded version=2 settings_changed=true")
	finish <- true
	if a := <-answer; a != "200 OK again" {
		t.Fatalf("the open request: %q", a)
	}
	check := func() {
		t.Helper()
		for _, c := range []struct {
			method, path string
			want         int
		}{{"POST", "/put", 200}, {"POST", "/make", 404}, {"GET", "/look", 405}, {"POST", "/look", 200}} {
			if s, body := doRequest(t, newRequest(t, p.addr, c.method, c.path, "x")); s != c.want {
				t.Errorf("%s %s: %d %s", c.method, c.path, s, body)
			}
		}
	}
	check()
	p.conf["settings"] = json.RawMessage(strings.Replace(settings, `"MaxAttempts":4`, `"MaxAttempts":0`, 1))
	p.reload(t, "127.0.0.1:1")
	p.waitForLog(t, "event=reload_failed err=\"config: settings.Limits.MaxAttempts")
	check()
}

// A request that the old process still has under way is not run again by the new one under the same id.
func TestDuplicateRequestIDAcrossUpgradeGets409(t *testing.T) {
	arrived, finish := make(chan bool, 4), make(chan bool)
	p, _ := startWithServerAndConfig(t, func(w http.ResponseWriter, _ *http.Request) {
		arrived <- true
		<-finish
		io.WriteString(w, "yes")
	}, withAdmin(t))
	p.waitHealthy(t)
	const text = "POST /once HTTP/1.1\r\nHost: h\r\nReq-Id: same\r\nReq-Deadline-Ms: 20000\r\nContent-Length: 0\r\n\r\n"
	first := p.dial(t)
	io.WriteString(first, text)
	<-arrived
	next := p.startSuccessor(t)
	next.waitHealthy(t)
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.waitForLog(t, "event=terminating")
	eventually(t, "409 for the same id", func() bool {
		second := next.dial(t)
		io.WriteString(second, text)
		second.SetReadDeadline(time.Now().Add(200 * time.Millisecond)) // before the word has come it is taken, and waits
		resp, err := http.ReadResponse(second.br, nil)
		second.Close()
		return err == nil && resp.StatusCode == 409
	})
	close(finish)
	if resp, err := http.ReadResponse(first.br, nil); err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	if err := <-p.done; err != nil {
		t.Fatal(err)
	}
}
