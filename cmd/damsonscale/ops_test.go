package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// withAdmin gives a configuration an operators' door.
func withAdmin(t *testing.T) func(map[string]any) {
	return func(c map[string]any) { c["admin"] = freeAddr(t) }
}

// operator makes one call at the door and returns its status.
func (p *program) operator(t *testing.T, method, path string) int {
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
type clientLine struct {
	net.Conn
	br *bufio.Reader
}

func (p *program) dial(t *testing.T) *clientLine {
	t.Helper()
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	return &clientLine{c, bufio.NewReader(c)}
}

// look makes a safe request on the connection.
func (c *clientLine) look(t *testing.T) (status int, last bool) {
	t.Helper()
	r := request(t, "h", "GET", "/look", "")
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
func TestDrainIsUndone(t *testing.T) {
	p, _ := oneWith(t, func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "yes") }, withAdmin(t))
	if s := p.operator(t, "GET", "/healthcheck"); s != 200 {
		t.Fatal(s)
	}
	used, idle, unused := p.dial(t), p.dial(t), p.dial(t)
	for _, c := range []*clientLine{used, idle} {
		if s, last := c.look(t); s != 200 || last {
			t.Fatal(s, last)
		}
	}
	if s := p.operator(t, "POST", "/healthcheck/fail"); s != 200 {
		t.Fatal(s)
	}
	if s := p.status("/health/ready"); s != 503 {
		t.Fatalf("ready while drained: %d", s)
	}
	if s, last := used.look(t); s != 200 || !last {
		t.Fatalf("a request in a drain: %d, last %t", s, last)
	}
	for name, c := range map[string]*clientLine{"idle": idle, "unused": unused} {
		if b, err := io.ReadAll(c.br); err != nil || len(b) > 0 {
			t.Fatalf("%s connection: %q %v", name, b, err)
		}
	}
	if s, last := p.dial(t).look(t); s != 200 || !last {
		t.Fatalf("a new connection in a drain: %d, last %t", s, last)
	}
	for _, call := range []string{"ok", "fail", "ok"} {
		if s := p.operator(t, "POST", "/healthcheck/"+call); s != 200 {
			t.Fatal(call, s)
		}
	}
	if s := p.status("/health/ready"); s != 200 {
		t.Fatalf("after the drain: %d", s)
	}
	if s, last := p.dial(t).look(t); s != 200 || last {
		t.Fatalf("after the drain: %d, last %t", s, last)
	}
}

// The door answers with every client socket taken. Guards against a sidecar that can't be drained when it matters.
func TestDoorOpensInACrowd(t *testing.T) {
	p, _ := oneWith(t, func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "yes") }, func(c map[string]any) {
		withAdmin(t)(c)
		c["limits"].(map[string]any)["sockets"], c["descriptors"] = 64, 64
	})
	for range 200 {
		p.dial(t)
	}
	if s := p.operator(t, "POST", "/healthcheck/fail"); s != 200 {
		t.Fatal(s)
	}
}

// An operators' address that can't be had is named.
func TestTakenAdminAddress(t *testing.T) {
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
