package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// otherBuild is the environment variable with the path of another build of the program. The tests upgrade from that build to this
// one and back.
const otherBuild = "OTHER_BUILD"

// Two builds of the program upgrade to each other, in both directions. After SIGTERM a keep-alive connection gets one more response,
// with Connection: close, and new connections are served by the new process. A streamed response continues in the new process, a
// second request with the id of a request in flight gets 409, and a drain continues. Without OTHER_BUILD the other build is a copy of
// this one.
func TestUpgradeBetweenBuilds(t *testing.T) {
	other := os.Getenv(otherBuild)
	if other == "" {
		other = copyOfThisBuild(t)
	}
	build := func(exe string) func(map[string]any) {
		return func(c map[string]any) {
			if exe != "" {
				c["executable"] = exe
			}
		}
	}
	for _, c := range []struct{ name, from, to string }{
		{"from the other build to this one", other, ""},
		{"from this build to the other one", "", other},
	} {
		t.Run(c.name+"/connections", func(t *testing.T) { upgradeWithConnections(t, build(c.from), build(c.to)) })
		t.Run(c.name+"/stream", func(t *testing.T) { upgradeWithStream(t, build(c.from), build(c.to)) })
		t.Run(c.name+"/request in flight", func(t *testing.T) { upgradeWithRequestInFlight(t, build(c.from), build(c.to)) })
		t.Run(c.name+"/drained", func(t *testing.T) { upgradeWhileDrained(t, build(c.from), build(c.to)) })
	}
}

// copyOfThisBuild returns the path of a copy of the test binary.
func copyOfThisBuild(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(os.Args[0])
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "other-build")
	if err := os.WriteFile(path, text, 0o755); err != nil {
		t.Fatal(err)
	}
	return path
}

// startBuild starts a build of the program with an admin API and one server that h handles.
func startBuild(t *testing.T, h http.HandlerFunc, build func(map[string]any)) *program {
	t.Helper()
	p, _ := startWithServerAndConfig(t, h, func(c map[string]any) {
		withAdmin(t)(c)
		build(c)
	})
	p.waitHealthy(t)
	return p
}

// executable returns the path of the executable that the process runs.
func (p *program) executable(t *testing.T) string {
	t.Helper()
	path, err := os.Readlink(fmt.Sprintf("/proc/%d/exe", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// handOver starts build to as the successor of p, and sends SIGTERM to p once the successor is healthy.
func handOver(t *testing.T, p *program, to func(map[string]any)) *program {
	t.Helper()
	next := p.startSuccessorWith(t, to)
	next.waitHealthy(t)
	p.cmd.Process.Signal(syscall.SIGTERM)
	return next
}

func upgradeWithConnections(t *testing.T, from, to func(map[string]any)) {
	p := startBuild(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "yes") }, from)
	keepAlive := p.dial(t)
	if s, closing := keepAlive.sendRequest(t); s != 200 || closing {
		t.Fatalf("old process, keep-alive connection: got status %d, close %t, want 200 without close", s, closing)
	}
	next := handOver(t, p, to)
	if p.executable(t) == next.executable(t) {
		t.Fatalf("old and new process both run %s, want two executables", p.executable(t))
	}
	eventually(t, "the old process to stop accepting", func() bool { return strings.Contains(p.log.String(), "event=term") })
	if s, closing := keepAlive.sendRequest(t); s != 200 || !closing {
		t.Fatalf("keep-alive connection after SIGTERM: got status %d, close %t, want 200 with close", s, closing)
	}
	if err := <-p.done; err != nil {
		t.Fatalf("old process exited with %v, want 0\n%s", err, p.log.String())
	}
	if s, closing := next.dial(t).sendRequest(t); s != 200 || closing {
		t.Fatalf("new process: got status %d, close %t, want 200 without close", s, closing)
	}
	if strings.Contains(p.log.String()+next.log.String(), "event=handover_failed") {
		t.Fatalf("event=handover_failed in a log; old process:\n%s\nnew process:\n%s", p.log.String(), next.log.String())
	}
}

func upgradeWithStream(t *testing.T, from, to func(map[string]any)) {
	body, resume := patternBytes(300_000), make(chan bool)
	p := startWithScriptedServer(t, func(_ *http.Request, conn net.Conn) {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n493e0\r\n")
		conn.Write(body[:100_000])
		<-resume
		conn.Write(body[100_000:])
		io.WriteString(conn, "\r\n0\r\nT: u\r\n\r\n")
	}, func(c map[string]any) {
		withAdmin(t)(c)
		from(c)
	})
	p.waitHealthy(t)
	conn := p.dial(t)
	fmt.Fprintf(conn, "GET /look HTTP/1.1\r\nHost: h\r\nReq-Id: a1\r\nReq-Deadline-Ms: 20000\r\n\r\n")
	resp, err := http.ReadResponse(conn.br, nil)
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("got response %v, error %v, want status 200", resp, err)
	}
	got := make([]byte, 50_000)
	if _, err := io.ReadFull(resp.Body, got); err != nil {
		t.Fatal(err)
	}
	next := handOver(t, p, to)
	if err := <-p.done; err != nil { // the old process does not wait for the server
		t.Fatalf("old process exited with %v, want 0", err)
	}
	close(resume)
	rest, err := io.ReadAll(resp.Body)
	if got = append(got, rest...); err != nil || !bytes.Equal(got, body) {
		t.Fatalf("client got %d bytes, error %v, want the server's %d bytes; new process:\n%s", len(got), err, len(body), next.log.String())
	}
}

func upgradeWithRequestInFlight(t *testing.T, from, to func(map[string]any)) {
	arrived, finish := make(chan bool, 4), make(chan bool)
	p := startBuild(t, func(w http.ResponseWriter, _ *http.Request) {
		arrived <- true
		<-finish
		io.WriteString(w, "yes")
	}, from)
	const text = "POST /once HTTP/1.1\r\nHost: h\r\nReq-Id: same\r\nReq-Deadline-Ms: 20000\r\nContent-Length: 0\r\n\r\n"
	first := p.dial(t)
	io.WriteString(first, text)
	<-arrived
	next := handOver(t, p, to)
	p.waitForLog(t, "event=term")
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

func upgradeWhileDrained(t *testing.T, from, to func(map[string]any)) {
	p := startBuild(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "yes") }, from)
	p.callAdmin(t, "POST", "/healthcheck/fail")
	next := handOver(t, p, to)
	if err := <-p.done; err != nil {
		t.Fatalf("old process exited with %v, want 0", err)
	}
	if s := next.status("/health/ready"); s != 503 {
		t.Fatalf("/health/ready of the new process returned %d, want 503 as the drain continues", s)
	}
	next.callAdmin(t, "POST", "/healthcheck/ok")
	next.waitReady(t)
}
