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

// An incremental update changes the set, a full update replaces it.
func TestEndpointSet(t *testing.T) {
	var r EndpointSet
	if _, ready := r.Address("a"); ready || r.HasEndpoints() {
		t.Fatal("an empty set lists a server")
	}
	r.apply(&Update{Endpoints: []Endpoint{endpoint("a", "1", Ready), endpoint("b", "2", Ready)}})
	r.apply(&Update{Endpoints: []Endpoint{endpoint("a", "1", Terminating), endpoint("c", "3", Ready)}})
	r.apply(&Update{Endpoints: []Endpoint{{Host: "b", Health: Removed}}})
	for host, want := range map[string]bool{"a": false, "b": false, "c": true} {
		if _, ready := r.Address(host); ready != want {
			t.Errorf("%s ready: %v, want %v", host, ready, want)
		}
	}
	if _, listed := r.Lookup("a"); !listed {
		t.Error("a draining server is not listed")
	}
	r.apply(&Update{Full: true, Endpoints: []Endpoint{endpoint("d", "4", Ready), endpoint("e", "5", "Dozing")}})
	if _, listed := r.Lookup("c"); listed {
		t.Error("a server missing from a full update is still listed")
	}
	if _, ready := r.Address("e"); ready {
		t.Error("a server in an unknown state is ready")
	}
}

// serveOneWatch responds to one poll with text and then closes the connection or, if keepOpen is true, stays silent.
func serveOneWatch(t *testing.T, text string, keepOpen bool) (addr string, requests chan string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	requests = make(chan string, 1)
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
		requests <- strings.TrimSpace(first)
		io.WriteString(c, text)
		if keepOpen {
			io.Copy(io.Discard, br)
		}
	}()
	return ln.Addr().String(), requests
}

const watchHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// chunk encodes text, of less than 256 bytes, as one chunk.
func chunk(text string) string {
	const hex = "0123456789abcdef"
	return string(hex[len(text)/16]) + string(hex[len(text)%16]) + "\r\n" + text + "\r\n"
}

// Whatever ends a watch, run returns an error that shows whether the full list must be requested. Complete updates before
// the end are delivered.
func TestWatchEndReturnsError(t *testing.T) {
	update := `{"seq":7,"whole":false,"hosts":[{"host":"s","dial":"d","health":"Ready"}]}` + "\n"
	indented := "{\n  \"seq\": 7,\n  \"whole\": false,\n  \"hosts\": [\n    {\n      \"host\": \"s\",\n      \"dial\": \"d\"\n    }\n  ]\n}\n"
	for _, c := range []struct {
		name, text string
		updates    int
		malformed  bool
	}{
		{"closed at once", "", 0, false},
		{"busy", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", 0, false},
		{"not HTTP", "\x00\x01\r\n\r\n", 0, false},
		{"update, then end of body", watchHead + chunk(update) + "0\r\n\r\n", 1, false},
		{"update, then incomplete update", watchHead + chunk(update) + "5\r\n{\"s", 1, false},
		{"update, then incomplete garbage", watchHead + chunk(update) + "5\r\nhal", 1, true},
		{"indented update", watchHead + chunk(indented[:40]) + chunk(indented[40:]) + chunk(update) + "0\r\n\r\n", 2, false},
		{"indented update with empty lines", watchHead + chunk("\n") + chunk(strings.ReplaceAll(indented, "\n", "\n\n")) + chunk("\n") + "0\r\n\r\n", 1, false},
		{"two updates on a line", watchHead + chunk(strings.TrimSpace(update)+update) + "0\r\n\r\n", 2, false},
		{"update without line end", watchHead + chunk(strings.TrimSpace(update)) + "0\r\n\r\n", 1, false},
		{"incomplete update, then complete update", watchHead + chunk(update[:20]+"\n") + chunk(update) + "0\r\n\r\n", 0, true},
		{"update in two chunks", watchHead + chunk(update[:20]) + chunk(update[20:]) + chunk("\n") + chunk(update) + "0\r\n\r\n", 2, false},
		{"half an update", watchHead + chunk(update[:20]) + "0\r\n\r\n", 0, false},
		{"not an update", watchHead + chunk("[1]\n"), 0, true},
		{"endpoint without a name", watchHead + chunk(`{"hosts":[{"dial":"x"}]}`+"\n"), 0, true},
		{"invalid chunk", watchHead + "zz\r\n", 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr, _ := serveOneWatch(t, c.text, false)
			updates := 0
			err := newWatchCall(addr, 3, func(l *Update) {
				if l.Seq == 7 && len(l.Endpoints) == 1 {
					updates++
				}
			}).run(context.Background())
			if err == nil || updates != c.updates || errors.Is(err, errMalformed) != c.malformed {
				t.Fatalf("got %d updates, then error %v; want %d updates, then an error, malformed %v", updates, err, c.updates, c.malformed)
			}
		})
	}
}

// A poll resumes from the last sequence number received.
func TestPollRequestHasSequenceNumber(t *testing.T) {
	for from, want := range map[int64]string{
		-1: "GET /registry/instances?watch=1 HTTP/1.1", 0: "GET /registry/instances?watch=1&from=0 HTTP/1.1",
		41: "GET /registry/instances?watch=1&from=41 HTTP/1.1",
	} {
		addr, requests := serveOneWatch(t, "", false)
		newWatchCall(addr, from, nil).run(context.Background())
		if got := <-requests; got != want {
			t.Errorf("request line %q, want %q", got, want)
		}
	}
}

// A watch without heartbeats times out: the service's machine may have failed although the connection is open.
func TestSilentWatchTimesOut(t *testing.T) {
	client, server := net.Pipe()
	defer server.Close()
	defer client.Close()
	go func() {
		io.WriteString(server, "\n") // one heartbeat, then nothing
	}()
	err := readUpdates(&heartbeatReader{conn: fastDeadlines{client}, body: client}, nil)
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Fatalf("watch ended with %v, want a timeout", err)
	}
}

// fastDeadlines is a connection whose read deadlines expire in a hundredth of the time.
type fastDeadlines struct{ net.Conn }

func (h fastDeadlines) SetReadDeadline(at time.Time) error {
	return h.Conn.SetReadDeadline(time.Now().Add(time.Until(at) / 100))
}

// newWatchCall returns a call that reports only updates.
func newWatchCall(addr string, from int64, onUpdate func(*Update)) *watchCall {
	nothing := func() {}
	return &watchCall{addr: addr, fromSeq: from, dialTimeout: dialTimeout, headTimeout: maxHeadWait, onHeartbeat: nothing, onQuiet: nothing, onUpdate: onUpdate}
}

// notifications is a Listener that sends a word for each call of OnEndpoints.
type notifications chan string

func (c notifications) OnEndpoints(*Update) { c <- "listed" }

// The client polls after its start, from the known sequence number, and again after a failed poll, without waiting for the
// listener.
func TestPollsAtStartAndAfterFailure(t *testing.T) {
	for _, c := range []struct {
		known *Update
		want  string
	}{{&Update{Seq: 5, Endpoints: []Endpoint{endpoint("a", "1", Ready)}}, "watch=1&from=5"}, {nil, "watch=1"}} {
		requests := make(chan string, 16)
		addr := standin.ListenDiscovery(t, func(w *standin.Watch) {
			requests <- w.Query
			w.WriteHeaders()
		})
		runClient(t, New(addr, c.known, Source{BalancerCount: 1}, make(notifications)))
		for n := range 2 {
			if got := <-requests; got != c.want {
				t.Fatalf("poll %d has query %q, want %q", n, got, c.want)
			}
		}
	}
}

// After a change of the address, updates of the old watch are applied until the new service sends a message. After that a
// change to the same address or a due poll does not start another poll.
func TestOldWatchCountsUntilNewServiceResponds(t *testing.T) {
	c := New("old", nil, Source{BalancerCount: 1}, make(notifications, 16))
	old := withActiveWatch(c)
	addr, requests := serveOneWatch(t, watchHead, true)
	c.switchAddress(addr)
	if got := <-requests; strings.Contains(got, "from") {
		t.Fatalf("request line %q resumes from a sequence number of the old service", got)
	}
	c.onUpdate(old, &Update{Seq: 90, Endpoints: []Endpoint{endpoint("a", "1", Ready)}})
	if !c.Endpoints.HasEndpoints() || c.resumeSeq != -1 {
		t.Fatalf("the update of the old watch was not applied, or resumeSeq is %d, want -1", c.resumeSeq)
	}
	c.onUpdate(c.pendingPolls[0], &Update{Seq: 2, Full: true, Endpoints: []Endpoint{endpoint("b", "2", Ready)}})
	c.onUpdate(old, &Update{Seq: 91, Endpoints: []Endpoint{endpoint("c", "3", Ready)}})
	if _, stale := c.Endpoints.Lookup("c"); stale || old.ctx.Err() == nil || c.resumeSeq != 2 {
		t.Fatalf("after the new service's update: update of the old watch applied %v, old watch ended with %v, resumeSeq %d; want false, cancelled, 2", stale, old.ctx.Err(), c.resumeSeq)
	}
	watch, polls := c.activeWatch, c.pollCount
	c.switchAddress(addr)
	if c.activeWatch != watch || c.pollCount != polls {
		t.Fatal("a change to the same address started a poll")
	}
	c.startPoll(time.Now())
	if c.activeWatch != watch || c.pollCount != polls {
		t.Fatal("a due poll started although a watch is active")
	}
	c.activeWatch.cancel()
}

// withActiveWatch adds an active watch of the current address to a client that is not running.
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
