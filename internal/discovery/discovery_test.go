package discovery

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"damsonscale/internal/lab/standin"
)

func endpoint(host, dial string, s HealthState) Endpoint {
	return Endpoint{Host: host, Address: dial, Health: s}
}

// The set holds what was listed last: incremental updates apply on top, a full one replaces it.
func TestEndpointSet(t *testing.T) {
	var r EndpointSet
	if _, ready := r.Address("a"); ready || r.HasEndpoints() {
		t.Fatal("an empty roster knows a server")
	}
	r.apply(&Update{Endpoints: []Endpoint{endpoint("a", "1", Ready), endpoint("b", "2", Ready)}})
	r.apply(&Update{Endpoints: []Endpoint{endpoint("a", "1", Terminating), endpoint("c", "3", Ready)}})
	r.apply(&Update{Endpoints: []Endpoint{{Host: "b", Health: Removed}}})
	for host, want := range map[string]bool{"a": false, "b": false, "c": true} {
		if _, ready := r.Address(host); ready != want {
			t.Errorf("%s ready: %v", host, ready)
		}
	}
	if _, listed := r.Lookup("a"); !listed {
		t.Error("a draining server is still listed")
	}
	r.apply(&Update{Full: true, Endpoints: []Endpoint{endpoint("d", "4", Ready), endpoint("e", "5", "Dozing")}})
	if _, listed := r.Lookup("c"); listed {
		t.Error("a server absent from a whole list is still there")
	}
	if _, ready := r.Address("e"); ready {
		t.Error("a server of unknown health got work")
	}
}

// serveOneWatch answers one poll with text and then closes the connection, or stays silent where keep is true.
func serveOneWatch(t *testing.T, text string, keep bool) (addr string, asked chan string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	asked = make(chan string, 1)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		br := bufio.NewReader(c)
		first, _ := br.ReadString('\n')
		for line := ""; line != "\r\n"; {
			if line, err = br.ReadString('\n'); err != nil {
				return
			}
		}
		asked <- strings.TrimSpace(first)
		io.WriteString(c, text)
		if keep {
			io.Copy(io.Discard, br)
		}
	}()
	return ln.Addr().String(), asked
}

const watchHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// chunk is text as one chunk of under 256 bytes.
func chunk(text string) string {
	const hex = "0123456789abcdef"
	return string(hex[len(text)/16]) + string(hex[len(text)%16]) + "\r\n" + text + "\r\n"
}

// However discovery ends a watch, it is an error that says whether the full list has to be requested; complete updates
// before it count.
func TestWatchEnds(t *testing.T) {
	list := `{"seq":7,"whole":false,"hosts":[{"host":"s","dial":"d","health":"Ready"}]}` + "\n"
	indented := "{\n  \"seq\": 7,\n  \"whole\": false,\n  \"hosts\": [\n    {\n      \"host\": \"s\",\n      \"dial\": \"d\"\n    }\n  ]\n}\n"
	for _, c := range []struct {
		name, text string
		lists      int
		garbage    bool
	}{
		{"hangs up at once", "", 0, false},
		{"busy", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", 0, false},
		{"no HTTP", "\x00\x01\r\n\r\n", 0, false},
		{"a list, then the end", watchHead + chunk(list) + "0\r\n\r\n", 1, false},
		{"a list, then a break", watchHead + chunk(list) + "5\r\n{\"s", 1, false},
		{"a list, then a break within noise", watchHead + chunk(list) + "5\r\nhal", 1, true},
		{"an indented list", watchHead + chunk(indented[:40]) + chunk(indented[40:]) + chunk(list) + "0\r\n\r\n", 2, false},
		{"an indented list with empty lines", watchHead + chunk("\n") + chunk(strings.ReplaceAll(indented, "\n", "\n\n")) + chunk("\n") + "0\r\n\r\n", 1, false},
		{"two lists on a line", watchHead + chunk(strings.TrimSpace(list)+list) + "0\r\n\r\n", 2, false},
		{"a list without its line's end", watchHead + chunk(strings.TrimSpace(list)) + "0\r\n\r\n", 1, false},
		{"a list cut by another", watchHead + chunk(list[:20]+"\n") + chunk(list) + "0\r\n\r\n", 0, true},
		{"a list in two chunks", watchHead + chunk(list[:20]) + chunk(list[20:]) + chunk("\n") + chunk(list) + "0\r\n\r\n", 2, false},
		{"half a list", watchHead + chunk(list[:20]) + "0\r\n\r\n", 0, false},
		{"no list", watchHead + chunk("[1]\n"), 0, true},
		{"a list of nobody", watchHead + chunk(`{"hosts":[{"dial":"x"}]}`+"\n"), 0, true},
		{"broken chunks", watchHead + "zz\r\n", 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr, _ := serveOneWatch(t, c.text, false)
			lists := 0
			err := newWatchCall(addr, 3, func(l *Update) {
				if l.Seq == 7 && len(l.Endpoints) == 1 {
					lists++
				}
			}).run(context.Background())
			if err == nil || lists != c.lists || errors.Is(err, errMalformed) != c.garbage {
				t.Fatalf("%d lists, then %v", lists, err)
			}
		})
	}
}

func TestWatchAsksFromTheVersionSeen(t *testing.T) {
	for from, want := range map[int64]string{
		-1: "GET /registry/instances?watch=1 HTTP/1.1", 0: "GET /registry/instances?watch=1&from=0 HTTP/1.1",
		41: "GET /registry/instances?watch=1&from=41 HTTP/1.1",
	} {
		addr, asked := serveOneWatch(t, "", false)
		newWatchCall(addr, from, nil).run(context.Background())
		if got := <-asked; got != want {
			t.Errorf("asked %q", got)
		}
	}
}

// A watch without heartbeats is broken: its machine may have failed while the connection stays open.
func TestSilentWatchIsBroken(t *testing.T) {
	client, server := net.Pipe()
	defer server.Close()
	defer client.Close()
	go func() {
		io.WriteString(server, "\n") // one heartbeat, then nothing
	}()
	err := readUpdates(&heartbeatReader{conn: fastDeadlines{client}, body: client}, nil)
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Fatal(err)
	}
}

// fastDeadlines is a connection whose read deadlines come a hundred times sooner.
type fastDeadlines struct{ net.Conn }

func (h fastDeadlines) SetReadDeadline(at time.Time) error {
	return h.Conn.SetReadDeadline(time.Now().Add(time.Until(at) / 100))
}

// newWatchCall returns a call that reports updates only.
func newWatchCall(addr string, from int64, take func(*Update)) *watchCall {
	nothing := func() {}
	return &watchCall{addr: addr, fromSeq: from, dialTimeout: dialTimeout, headTimeout: maxHeadWait, onHeartbeat: nothing, onQuiet: nothing, onUpdate: take}
}

// notifications records the calls of OnEndpoints.
type notifications chan string

func (c notifications) OnEndpoints(*Update) { c <- "listed" }

// The client polls by itself, from the version known, and again after a poll that failed. None of that may wait for the
// listener.
func TestAsksByItself(t *testing.T) {
	for _, c := range []struct {
		known *Update
		want  string
	}{{&Update{Seq: 5, Endpoints: []Endpoint{endpoint("a", "1", Ready)}}, "watch=1&from=5"}, {nil, "watch=1"}} {
		asked := make(chan string, 16)
		addr := standin.NewDiscovery(t, func(w *standin.Watch) {
			asked <- w.Query
			w.Begin()
		})
		runClient(t, New(addr, c.known, Source{BalancerCount: 1}, make(notifications)))
		for n := range 2 {
			if got := <-asked; got != c.want {
				t.Fatalf("call %d asked %q", n, got)
			}
		}
	}
}

// The watch at the old address counts until the new one has sent a message, and no longer; a poll that was due does not
// begin the new watch again.
func TestMoveKeepsTheOldListUntilTheNewOneSpeaks(t *testing.T) {
	c := New("old", nil, Source{BalancerCount: 1}, make(notifications, 16))
	old := withActiveWatch(c)
	addr, asked := serveOneWatch(t, watchHead, true)
	c.switchAddress(addr)
	if got := <-asked; strings.Contains(got, "from") {
		t.Fatalf("asked %q", got)
	}
	c.onUpdate(old, &Update{Seq: 90, Endpoints: []Endpoint{endpoint("a", "1", Ready)}})
	if !c.Endpoints.HasEndpoints() || c.resumeSeq != -1 {
		t.Fatalf("the old address is not heard, or its version %d kept", c.resumeSeq)
	}
	c.onUpdate(c.pendingPolls[0], &Update{Seq: 2, Full: true, Endpoints: []Endpoint{endpoint("b", "2", Ready)}})
	c.onUpdate(old, &Update{Seq: 91, Endpoints: []Endpoint{endpoint("c", "3", Ready)}})
	if _, stale := c.Endpoints.Lookup("c"); stale || old.ctx.Err() == nil || c.resumeSeq != 2 {
		t.Fatalf("the old address is still heard: %v %d", stale, c.resumeSeq)
	}
	held, begun := c.activeWatch, c.pollCount
	c.switchAddress(addr)
	if c.activeWatch != held || c.pollCount != begun {
		t.Fatal("a move to the same address began a watch anew")
	}
	c.startPoll(time.Now())
	if c.activeWatch != held || c.pollCount != begun {
		t.Fatal("a call that was due began the watch anew")
	}
	c.activeWatch.cancel()
}

// withActiveWatch gives a client that is not running an active watch at its address.
func withActiveWatch(c *Client) *subscription {
	s := &subscription{addr: c.addr, startedAt: time.Now()}
	s.ctx, s.cancelContext = context.WithCancel(context.Background())
	c.activeWatch = s
	return s
}

func FuzzList(f *testing.F) {
	f.Add([]byte(`{"seq":1,"whole":true,"hosts":[{"host":"a","dial":"b","block":null,"share":1e309}]}`))
	f.Add([]byte(`{"hosts":[{"host":"a","dial":"b","block":-1,"born_ms":99999999999}]}`))
	f.Fuzz(func(_ *testing.T, in []byte) {
		if l, err := parseUpdate(in); err == nil {
			var r EndpointSet
			r.apply(l)
		}
	})
}
