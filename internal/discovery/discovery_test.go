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

func entry(host, dial string, s HealthState) Endpoint {
	return Endpoint{Host: host, Address: dial, Health: s}
}

// The roster holds what was listed last: changes apply on top, a whole list replaces it.
func TestEndpointSet(t *testing.T) {
	var r EndpointSet
	if _, ready := r.Address("a"); ready || r.HasEndpoints() {
		t.Fatal("an empty roster knows a server")
	}
	r.apply(&Update{Endpoints: []Endpoint{entry("a", "1", Ready), entry("b", "2", Ready)}})
	r.apply(&Update{Endpoints: []Endpoint{entry("a", "1", Terminating), entry("c", "3", Ready)}})
	r.apply(&Update{Endpoints: []Endpoint{{Host: "b", Health: Removed}}})
	for host, want := range map[string]bool{"a": false, "b": false, "c": true} {
		if _, ready := r.Address(host); ready != want {
			t.Errorf("%s ready: %v", host, ready)
		}
	}
	if _, listed := r.Lookup("a"); !listed {
		t.Error("a draining server is still listed")
	}
	r.apply(&Update{Full: true, Endpoints: []Endpoint{entry("d", "4", Ready), entry("e", "5", "Dozing")}})
	if _, listed := r.Lookup("c"); listed {
		t.Error("a server absent from a whole list is still there")
	}
	if _, ready := r.Address("e"); ready {
		t.Error("a server of unknown health got work")
	}
}

// talk answers one watch with text and then hangs up, or stays silent where keep is true.
func talk(t *testing.T, text string, keep bool) (addr string, asked chan string) {
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

const ok = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// chunk is text as one chunk of under 256 bytes.
func chunk(text string) string {
	const hex = "0123456789abcdef"
	return string(hex[len(text)/16]) + string(hex[len(text)%16]) + "\r\n" + text + "\r\n"
}

// However discovery ends a watch, it is an error that says whether the whole list is to be asked for; what came
// whole before counts.
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
		{"a list, then the end", ok + chunk(list) + "0\r\n\r\n", 1, false},
		{"a list, then a break", ok + chunk(list) + "5\r\n{\"s", 1, false},
		{"a list, then a break within noise", ok + chunk(list) + "5\r\nhal", 1, true},
		{"an indented list", ok + chunk(indented[:40]) + chunk(indented[40:]) + chunk(list) + "0\r\n\r\n", 2, false},
		{"an indented list with empty lines", ok + chunk("\n") + chunk(strings.ReplaceAll(indented, "\n", "\n\n")) + chunk("\n") + "0\r\n\r\n", 1, false},
		{"two lists on a line", ok + chunk(strings.TrimSpace(list)+list) + "0\r\n\r\n", 2, false},
		{"a list without its line's end", ok + chunk(strings.TrimSpace(list)) + "0\r\n\r\n", 1, false},
		{"a list cut by another", ok + chunk(list[:20]+"\n") + chunk(list) + "0\r\n\r\n", 0, true},
		{"a list in two chunks", ok + chunk(list[:20]) + chunk(list[20:]) + chunk("\n") + chunk(list) + "0\r\n\r\n", 2, false},
		{"half a list", ok + chunk(list[:20]) + "0\r\n\r\n", 0, false},
		{"no list", ok + chunk("[1]\n"), 0, true},
		{"a list of nobody", ok + chunk(`{"hosts":[{"dial":"x"}]}`+"\n"), 0, true},
		{"broken chunks", ok + "zz\r\n", 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr, _ := talk(t, c.text, false)
			lists := 0
			err := calling(addr, 3, func(l *Update) {
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
		addr, asked := talk(t, "", false)
		calling(addr, from, nil).run(context.Background())
		if got := <-asked; got != want {
			t.Errorf("asked %q", got)
		}
	}
}

// A watch that says nothing is broken: its machine may be gone while its connection stays.
func TestSilentWatchIsBroken(t *testing.T) {
	client, server := net.Pipe()
	defer server.Close()
	defer client.Close()
	go func() {
		io.WriteString(server, "\n") // one beat, then nothing
	}()
	err := readUpdates(&heartbeatReader{conn: hurried{client}, body: client}, nil)
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Fatal(err)
	}
}

// hurried is a connection whose seconds are milliseconds.
type hurried struct{ net.Conn }

func (h hurried) SetReadDeadline(at time.Time) error {
	return h.Conn.SetReadDeadline(time.Now().Add(time.Until(at) / 100))
}

// calling is a call of whose lists alone somebody wants to know.
func calling(addr string, from int64, take func(*Update)) *watchCall {
	nothing := func() {}
	return &watchCall{addr: addr, fromSeq: from, dialTimeout: dialTimeout, headTimeout: maxHeadWait, onHeartbeat: nothing, onQuiet: nothing, onUpdate: take}
}

// told records what the list's actor tells.
type told chan string

func (c told) OnEndpoints(*Update) { c <- "listed" }

// The list is asked for without being told to, from the version known, and again after a call that hung up. Nothing of it may wait
// for the one who is told.
func TestAsksByItself(t *testing.T) {
	for _, c := range []struct {
		known *Update
		want  string
	}{{&Update{Seq: 5, Endpoints: []Endpoint{entry("a", "1", Ready)}}, "watch=1&from=5"}, {nil, "watch=1"}} {
		asked := make(chan string, 16)
		addr := standin.NewDiscovery(t, func(w *standin.Watch) {
			asked <- w.Query
			w.Begin()
		})
		running(t, New(addr, c.known, Source{BalancerCount: 1}, make(told)))
		for n := range 2 {
			if got := <-asked; got != c.want {
				t.Fatalf("call %d asked %q", n, got)
			}
		}
	}
}

// The old address is listened to until the new one speaks, and no longer; an ask that was due does not begin
// the new watch again.
func TestMoveKeepsTheOldListUntilTheNewOneSpeaks(t *testing.T) {
	c := New("old", nil, Source{BalancerCount: 1}, make(told, 16))
	old := watching(c)
	addr, asked := talk(t, ok, true)
	c.switchAddress(addr)
	if got := <-asked; strings.Contains(got, "from") {
		t.Fatalf("asked %q", got)
	}
	c.onUpdate(old, &Update{Seq: 90, Endpoints: []Endpoint{entry("a", "1", Ready)}})
	if !c.Endpoints.HasEndpoints() || c.resumeSeq != -1 {
		t.Fatalf("the old address is not heard, or its version %d kept", c.resumeSeq)
	}
	c.onUpdate(c.pending[0], &Update{Seq: 2, Full: true, Endpoints: []Endpoint{entry("b", "2", Ready)}})
	c.onUpdate(old, &Update{Seq: 91, Endpoints: []Endpoint{entry("c", "3", Ready)}})
	if _, stale := c.Endpoints.Lookup("c"); stale || old.ctx.Err() == nil || c.resumeSeq != 2 {
		t.Fatalf("the old address is still heard: %v %d", stale, c.resumeSeq)
	}
	held, begun := c.active, c.polls
	c.switchAddress(addr)
	if c.active != held || c.polls != begun {
		t.Fatal("a move to the same address began a watch anew")
	}
	c.startPoll(time.Now())
	if c.active != held || c.polls != begun {
		t.Fatal("a call that was due began the watch anew")
	}
	c.active.cancel()
}

// watching gives a client that is not running a watch in force at its address.
func watching(c *Client) *subscription {
	s := &subscription{addr: c.addr, startedAt: time.Now()}
	s.ctx, s.cancelContext = context.WithCancel(context.Background())
	c.active = s
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
