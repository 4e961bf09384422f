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

// withAdmin returns a configuration change that sets an admin address.
func withAdmin(t *testing.T) func(map[string]any) {
	return func(c map[string]any) { c["admin"] = freeAddr(t) }
}

// callAdmin sends one request to the admin API and returns the response status.
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

// clientConn is a client connection that reports whether a response closes it.
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

// sendRequest sends a GET of an idempotent class on the connection. closing is true if the response has Connection: close.
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

// A drained sidecar fails its readiness check, serves requests that still arrive, closes its connections, and returns to normal when
// the drain is undone.
func TestAdminDrainAndUndrain(t *testing.T) {
	p, _ := startWithServerAndConfig(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "yes") }, withAdmin(t))
	if s := p.callAdmin(t, "GET", "/healthcheck"); s != 200 {
		t.Fatalf("GET /healthcheck returned %d, want 200", s)
	}
	used, idle, unused := p.dial(t), p.dial(t), p.dial(t)
	for _, c := range []*clientConn{used, idle} {
		if s, closing := c.sendRequest(t); s != 200 || closing {
			t.Fatalf("before the drain: got status %d, close %t, want 200 without close", s, closing)
		}
	}
	if s := p.callAdmin(t, "POST", "/healthcheck/fail"); s != 200 {
		t.Fatalf("POST /healthcheck/fail returned %d, want 200", s)
	}
	if s := p.status("/health/ready"); s != 503 {
		t.Fatalf("/health/ready returned %d while drained, want 503", s)
	}
	if s, closing := used.sendRequest(t); s != 200 || !closing {
		t.Fatalf("keep-alive connection while drained: got status %d, close %t, want 200 with close", s, closing)
	}
	for name, c := range map[string]*clientConn{"idle": idle, "unused": unused} {
		if b, err := io.ReadAll(c.br); err != nil || len(b) > 0 {
			t.Fatalf("%s connection while drained: read %q, error %v, want it closed without data", name, b, err)
		}
	}
	if s, closing := p.dial(t).sendRequest(t); s != 200 || !closing {
		t.Fatalf("new connection while drained: got status %d, close %t, want 200 with close", s, closing)
	}
	for _, call := range []string{"ok", "fail", "ok"} {
		if s := p.callAdmin(t, "POST", "/healthcheck/"+call); s != 200 {
			t.Fatalf("POST /healthcheck/%s returned %d, want 200", call, s)
		}
	}
	if s := p.status("/health/ready"); s != 200 {
		t.Fatalf("/health/ready returned %d after the drain, want 200", s)
	}
	if s, closing := p.dial(t).sendRequest(t); s != 200 || closing {
		t.Fatalf("new connection after the drain: got status %d, close %t, want 200 without close", s, closing)
	}
}

// The admin API responds while client connections take up every socket.
func TestAdminAnswersWhileClientsTakeAllSockets(t *testing.T) {
	p, _ := startWithServerAndConfig(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "yes") }, func(c map[string]any) {
		withAdmin(t)(c)
		c["limits"].(map[string]any)["sockets"], c["descriptors"] = 64, 64
	})
	for range 200 {
		p.dial(t)
	}
	if s := p.callAdmin(t, "POST", "/healthcheck/fail"); s != 200 {
		t.Fatalf("POST /healthcheck/fail returned %d, want 200", s)
	}
}

// An admin address that is in use ends the start with an error that names it.
func TestAdminAddressInUse(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	p := start(t, "127.0.0.1:1", nil, func(c map[string]any) { c["admin"] = taken.Addr().String() })
	if err := <-p.done; err == nil || !strings.Contains(p.log.String(), "admin "+taken.Addr().String()) {
		t.Fatalf("exit %v, want an error that names admin %s; log:\n%s", err, taken.Addr(), p.log.String())
	}
}

// startSuccessor starts a second process as the successor of p, with the same listen address, another admin address and the same
// handover directory.
func (p *program) startSuccessor(t *testing.T) *program {
	t.Helper()
	return p.startSuccessorWith(t, nil)
}

// startSuccessorWith is startSuccessor with a change to the configuration.
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

// waitHealthy waits until the program's admin API reports that it can serve.
func (p *program) waitHealthy(t *testing.T) {
	t.Helper()
	eventually(t, "GET /healthcheck to return 200", func() bool {
		resp, err := http.Get("http://" + p.conf["admin"].(string) + "/healthcheck")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == 200
	})
}

// In two upgrades in a row no request fails, neither from clients that open a connection for each request nor on keep-alive
// connections, and each old process exits.
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
		t.Fatalf("first process, keep-alive connection: got status %d, close %t, want 200 without close", s, closing)
	}
	old := p
	for range 2 {
		next := old.startSuccessor(t)
		next.waitHealthy(t)
		old.cmd.Process.Signal(syscall.SIGTERM)
		eventually(t, "the old process to stop accepting", func() bool { return strings.Contains(old.log.String(), "event=terminating") })
		if s, closing := keepAlive.sendRequest(t); s != 200 || !closing {
			t.Fatalf("keep-alive connection after SIGTERM: got status %d, close %t, want 200 with close", s, closing)
		}
		if err := <-old.done; err != nil {
			t.Fatalf("old process exited with %v, want 0\n%s", err, old.log.String())
		}
		keepAlive = next.dial(t)
		if s, closing := keepAlive.sendRequest(t); s != 200 || closing {
			t.Fatalf("new process: got status %d, close %t, want 200 without close", s, closing)
		}
		old = next
	}
	close(stop)
	clients.Wait()
	close(failed)
	for f := range failed {
		t.Errorf("request during an upgrade failed: %s, want status 200", f)
	}
}

// Two successors that die, one after the other, before they can serve do not disturb the running process. If the running process
// dies first, the starting successor takes over the connections that arrive.
func TestUpgradeWhenOneProcessDies(t *testing.T) {
	p, d := startWithServerAndConfig(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "yes") }, withAdmin(t))
	p.waitHealthy(t)
	p.conf["known"] = nil // the successor needs a list from discovery before it can serve
	for range 2 {
		next := p.startSuccessor(t)
		p.waitForLog(t, "event=handover_successor state=starting")
		next.waitForLog(t, "event=start")
		next.cmd.Process.Kill()
		<-next.done
		if s, _ := p.sendRequest(t); s != 200 {
			t.Fatalf("request after the successor died: got status %d, want 200", s)
		}
	}
	next := p.startSuccessor(t)
	next.waitForLog(t, "event=start")
	p.cmd.Process.Kill() // the old process dies during the handover
	<-p.done
	eventually(t, "/health/ready of the successor to return 503", func() bool { return p.status("/health/ready") == 503 })
	addr := serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "new") })
	d.sendList(t, list{Seq: 50, Whole: true, Hosts: []host{hostAt("s2", addr, "Ready")}})
	next.waitHealthy(t)
	if s, body := next.sendRequest(t); s != 200 || body != "new" {
		t.Fatalf("successor: got status %d and body %q, want 200 and \"new\"", s, body)
	}
}

// A stale regular file in place of the handover socket does not prevent an upgrade: both processes share the listen address, and the
// new process logs address_shared=true.
func TestUpgradeWithoutHandover(t *testing.T) {
	dir := t.TempDir()
	p, _ := startWithServerAndConfig(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "yes") }, func(c map[string]any) {
		withAdmin(t)(c)
		c["environment"] = "TMPDIR=" + dir
	})
	p.waitHealthy(t)
	left, err := filepath.Glob(filepath.Join(dir, "damsonscale-*.sock"))
	if err != nil || len(left) != 1 {
		t.Fatalf("found handover sockets %v, error %v, want exactly 1", left, err)
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
		t.Fatalf("old process exited with %v, want 0", err)
	}
	if s, _ := next.sendRequest(t); s != 200 {
		t.Fatalf("request to the new process: got status %d, want 200", s)
	}
}

// A drain continues in the new process and can be undone there.
func TestUpgradeWhileDrained(t *testing.T) {
	p, _ := startWithServerAndConfig(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "yes") }, withAdmin(t))
	p.waitHealthy(t)
	p.callAdmin(t, "POST", "/healthcheck/fail")
	next := p.startSuccessor(t)
	next.waitHealthy(t)
	p.cmd.Process.Signal(syscall.SIGTERM)
	if err := <-p.done; err != nil {
		t.Fatalf("old process exited with %v, want 0", err)
	}
	if s := next.status("/health/ready"); s != 503 {
		t.Fatalf("/health/ready of the new process returned %d, want 503 as the drain continues", s)
	}
	next.callAdmin(t, "POST", "/healthcheck/ok")
	next.waitReady(t)
}

// After a reload an added class is served and a removed one is not, and a request in flight keeps the semantics it arrived with. A
// reload with invalid settings changes nothing.
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
			w.WriteHeader(500) // the request is idempotent under the settings it arrived with and is retried
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
		t.Fatalf("request in flight across the reload: got %q, want \"200 OK again\"", a)
	}
	check := func() {
		t.Helper()
		for _, c := range []struct {
			method, path string
			want         int
		}{{"POST", "/put", 200}, {"POST", "/make", 404}, {"GET", "/look", 405}, {"POST", "/look", 200}} {
			if s, body := doRequest(t, newRequest(t, p.addr, c.method, c.path, "x")); s != c.want {
				t.Errorf("%s %s: got status %d and body %q, want %d", c.method, c.path, s, body, c.want)
			}
		}
	}
	check()
	p.conf["settings"] = json.RawMessage(strings.Replace(settings, `"MaxAttempts":4`, `"MaxAttempts":0`, 1))
	p.reload(t, "127.0.0.1:1")
	p.waitForLog(t, "event=reload_failed err=\"config: settings.Limits.MaxAttempts")
	check()
}

// Once the new process has received the ids of the old process's requests in flight, it responds with 409 to requests with these ids,
// so that they are not run twice.
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
	eventually(t, "409 for a request with the id of the one in flight", func() bool {
		second := next.dial(t)
		io.WriteString(second, text)
		// Until the new process has received the ids in flight, it forwards the request, and the server does not respond.
		second.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		resp, err := http.ReadResponse(second.br, nil)
		second.Close()
		return err == nil && resp.StatusCode == 409
	})
	close(finish)
	if resp, err := http.ReadResponse(first.br, nil); err != nil || resp.StatusCode != 200 {
		t.Fatalf("request in flight: got response %v, error %v, want status 200", resp, err)
	}
	if err := <-p.done; err != nil {
		t.Fatalf("old process exited with %v, want 0", err)
	}
}
