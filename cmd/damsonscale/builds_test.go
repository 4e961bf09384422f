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

// otherBuild names the variable with the path of another build of the program, with which this one has to hand over both
// ways.
const otherBuild = "OTHER_BUILD"

// Two builds of the program hand over to each other, both ways: a kept connection is served in turn by both, a stream
// goes on in the new process, a request in flight is not run twice, and a drain goes on. Without OTHER_BUILD the other
// build is a copy of this one.
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

// copyOfThisBuild returns the path of a copy of this program.
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

// startBuild starts a build's program with an admin API before a server.
func startBuild(t *testing.T, h http.HandlerFunc, build func(map[string]any)) *program {
	t.Helper()
	p, _ := startWithServerAndConfig(t, h, func(c map[string]any) {
		withAdmin(t)(c)
		build(c)
	})
	p.waitHealthy(t)
	return p
}

// executable returns the path of the program that the process runs.
func (p *program) executable(t *testing.T) string {
	t.Helper()
	path, err := os.Readlink(fmt.Sprintf("/proc/%d/exe", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// handOver starts another build beside p, and ends p once the other serves.
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
		t.Fatal(s, closing)
	}
	next := handOver(t, p, to)
	if p.executable(t) == next.executable(t) {
		t.Fatalf("both processes are %s", p.executable(t))
	}
	eventually(t, "the end of the old one's accepting", func() bool { return strings.Contains(p.log.String(), "event=term") })
	if s, closing := keepAlive.sendRequest(t); s != 200 || !closing {
		t.Fatalf("a kept connection: %d, last %t", s, closing)
	}
	if err := <-p.done; err != nil {
		t.Fatal(err, p.log.String())
	}
	if s, closing := next.dial(t).sendRequest(t); s != 200 || closing {
		t.Fatal(s, closing)
	}
	if strings.Contains(p.log.String()+next.log.String(), "event=handover_failed") {
		t.Fatal(p.log.String(), next.log.String())
	}
}

func upgradeWithStream(t *testing.T, from, to func(map[string]any)) {
	body, resume := pattern(300_000), make(chan bool)
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
		t.Fatal(resp, err)
	}
	got := make([]byte, 50_000)
	if _, err := io.ReadFull(resp.Body, got); err != nil {
		t.Fatal(err)
	}
	next := handOver(t, p, to)
	if err := <-p.done; err != nil { // it does not wait for the server
		t.Fatal(err)
	}
	close(resume)
	rest, err := io.ReadAll(resp.Body)
	if got = append(got, rest...); err != nil || !bytes.Equal(got, body) {
		t.Fatalf("%d bytes, %v\n%s", len(got), err, next.log.String())
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
	eventually(t, "409 for the same id", func() bool {
		second := next.dial(t)
		io.WriteString(second, text)
		second.SetReadDeadline(time.Now().Add(200 * time.Millisecond)) // before the notice has come it is accepted, and waits
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

func upgradeWhileDrained(t *testing.T, from, to func(map[string]any)) {
	p := startBuild(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "yes") }, from)
	p.callAdmin(t, "POST", "/healthcheck/fail")
	next := handOver(t, p, to)
	if err := <-p.done; err != nil {
		t.Fatal(err)
	}
	if s := next.status("/health/ready"); s != 503 {
		t.Fatal(s)
	}
	next.callAdmin(t, "POST", "/healthcheck/ok")
	next.waitReady(t)
}
