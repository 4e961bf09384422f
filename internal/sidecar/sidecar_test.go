package sidecar

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"damsonscale/decide"
	"damsonscale/internal/auditevent"
	"damsonscale/internal/config"
	"damsonscale/internal/discovery"
	"damsonscale/internal/takeover"
	"damsonscale/internal/upstream"
)

func sidecar(t *testing.T, addr string) *Sidecar {
	t.Helper()
	return New(&config.Config{
		Discovery:     "127.0.0.1:1",
		LastEndpoints: &discovery.Update{Seq: 1, Endpoints: []discovery.Endpoint{{Host: "s1", Address: addr, Health: discovery.Ready}}},
		Transport:     config.Transport{ConnIdle: time.Minute, DialTimeout: time.Second},
		Settings:      testSettings(),
	}, 8)
}

func testSettings() decide.Settings {
	return decide.Settings{
		Classes: []decide.Class{
			{Name: "look", PriorityWeight: 1}, {Name: "make", PriorityWeight: 1, Semantics: decide.IdempotencyKeyed, DedupWindow: 1_000_000},
		},
		Limits: decide.Limits{Cancel: true},
	}
}

func run(t *testing.T, s *Sidecar) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.Run(ctx)
}

func call(id string, class int, left time.Duration) *Call {
	m := upstream.Message{Head: []byte("GET /look HTTP/1.1\r\nHost: h\r\nReq-Id: " + id + "\r\n")}
	set := testSettings()
	return NewCall(&set, decide.Request{ID: id, Class: class, Tenant: -1}, m, time.Now(), left)
}

// onActor is a message that runs a function on the actor.
type onActor func()

func (f onActor) handle(*Sidecar, int64) { f() }

// ask runs f on the actor.
func ask[T any](s *Sidecar, f func() T) T {
	back := make(chan T)
	s.mailbox <- onActor(func() { back <- f() })
	return <-back
}

func toy(t *testing.T, h http.HandlerFunc) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func TestServed(t *testing.T) {
	s := sidecar(t, toy(t, func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, r.Header.Get("Req-Id")) }))
	run(t, s)
	for _, id := range []string{"a", "b", "a"} { // an id may come again once it is answered
		a, left := s.Do(call(id, 0, time.Minute), nil)
		if left || a.Status != Served || string(a.Body) != id {
			t.Fatalf("%s: %+v", id, a)
		}
	}
	if n := ask(s, func() int { return len(s.calls) }); n != 0 {
		t.Fatalf("%d calls are still held", n)
	}
}

// Where the module's actor says nothing the client is answered all the same, and nothing is sent afterwards.
func TestAnsweredInTimeWhateverTheModuleDoes(t *testing.T) {
	came := make(chan bool, 1)
	s := sidecar(t, toy(t, func(_ http.ResponseWriter, _ *http.Request) { came <- true }))
	if a, left := s.Do(call("a", 0, 50*time.Millisecond), nil); left || a.Status != DeadlineExceeded {
		t.Fatalf("%+v", a)
	}
	run(t, s) // only now does it take the request
	eventually(t, func() bool { return ask(s, func() int { return len(s.calls) }) == 0 })
	select {
	case <-came:
		t.Fatal("sent after the final answer")
	case <-time.After(50 * time.Millisecond):
	}
}

// A client that leaves while its request is being written to a server that does not read is let go at once: the
// write is called back first, as closing the gate waits for it.
func TestClientLeavesDuringAWrite(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	s := sidecar(t, ln.Addr().String())
	run(t, s)
	c, gone, done := call("a", 0, time.Hour), make(chan struct{}), make(chan bool)
	c.Message.Body = make([]byte, 64<<20) // more than any socket takes
	go func() {
		_, left := s.Do(c, gone)
		done <- left
	}()
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	peer.Read(make([]byte, 1)) // the write is under way
	close(gone)
	select {
	case left := <-done:
		if !left {
			t.Fatal("not told that the client left")
		}
	case <-time.After(10 * time.Second):
		t.Fatal("held until the attempt's time ends")
	}
}

// A full mailbox of the module holds nobody up past the request's time.
func TestFullMailbox(t *testing.T) {
	s := sidecar(t, "127.0.0.1:1")
	for range mailboxSize {
		s.mailbox <- onActor(func() {})
	}
	if a, _ := s.Do(call("a", 0, 50*time.Millisecond), nil); a.Status != DeadlineExceeded {
		t.Fatalf("%+v", a)
	}
}

// A request that waits for room in the mailbox ends there when its client leaves, or the process does: it is never taken.
func TestLeavingAFullMailbox(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(s *Sidecar, gone chan struct{})
		left bool
	}{
		{"the client leaves", func(_ *Sidecar, gone chan struct{}) { close(gone) }, true},
		{"the process ends", func(s *Sidecar, _ chan struct{}) { s.AbortAll() }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, gone, done := sidecar(t, "127.0.0.1:1"), make(chan struct{}), make(chan bool)
			for range mailboxSize {
				s.mailbox <- onActor(func() {})
			}
			go func() {
				a, left := s.Do(call("a", 0, time.Hour), gone)
				done <- left == c.left && a.Status == DeadlineExceeded
			}()
			c.end(s, gone)
			select {
			case ok := <-done:
				if !ok {
					t.Fatal("another end")
				}
			case <-time.After(10 * time.Second):
				t.Fatal("held until its time ends")
			}
			run(t, s)
			if n := ask(s, func() int { return len(s.calls) }); n != 0 {
				t.Fatalf("%d calls taken", n)
			}
		})
	}
}

// A request that was answered while it waited in the mailbox is not told to the module.
func TestAnsweredInTheMailbox(t *testing.T) {
	s := sidecar(t, toy(t, func(http.ResponseWriter, *http.Request) {}))
	run(t, s)
	c := call("a", 0, time.Hour)
	c.gate.Close()
	if ask(s, func() bool { s.onRequest(s.now(), c); return s.balancer.IsOpen("a") }) {
		t.Fatal("taken")
	}
}

// Rule 2 holds at the moment of writing: a repeat of what may have run carries the end of the window with it.
func TestRepeatCarriesItsWindow(t *testing.T) {
	came := make(chan bool, 1)
	s := sidecar(t, toy(t, func(_ http.ResponseWriter, _ *http.Request) { came <- true }))
	c := call("k", 1, time.Minute)
	c.firstEffectAt = time.Now().Add(-2 * time.Second)
	s.calls["k"] = c
	actions{s}.SendAttempt("k", "s1", 0)
	(<-s.mailbox).handle(s, s.now()) // the attempt's end
	if c.inFlight != 0 || len(came) != 0 {
		t.Fatalf("%d out, %d written past the window", c.inFlight, len(came))
	}
}

// A probe the module asks for ends with its word, and holds nothing afterwards.
func TestHealthCheckEnds(t *testing.T) {
	asked := make(chan string, 1)
	s := sidecar(t, toy(t, func(_ http.ResponseWriter, r *http.Request) { asked <- r.URL.Path }))
	actions{s}.CheckHealth("s1")
	if path := <-asked; path != "/health/live" {
		t.Errorf("asked %s", path)
	}
	(<-s.mailbox).handle(s, s.now())
	if out := s.peers["s1"].inFlight; out != 0 {
		t.Errorf("%d out", out)
	}
}

// A server that is gone takes its actor with it, once nothing is out there.
func TestRemovedPeerIsRetired(t *testing.T) {
	came, finish := make(chan bool), make(chan bool)
	s := sidecar(t, toy(t, func(_ http.ResponseWriter, _ *http.Request) {
		came <- true
		<-finish
	}))
	run(t, s)
	done := make(chan Response)
	go func() {
		a, _ := s.Do(call("a", 0, time.Minute), nil)
		done <- a
	}()
	<-came
	gone := &discovery.Update{Seq: 2, Full: true}
	ask(s, func() bool { s.discovery.Endpoints.Replace(gone); return true })
	s.OnEndpoints(gone)
	if n := ask(s, func() int { return len(s.peers) }); n != 1 {
		t.Fatalf("%d peers while an attempt is out", n)
	}
	finish <- true
	if a := <-done; a.Status != Served {
		t.Fatalf("%+v", a)
	}
	eventually(t, func() bool { return ask(s, func() int { return len(s.peers) }) == 0 })
}

func TestToEndpoints(t *testing.T) {
	cell := int64(3)
	got := (&Sidecar{startTimes: newServerStartTimes()}).toEndpoints(time.Now().UnixMicro(), &discovery.Update{Endpoints: []discovery.Endpoint{
		{Host: "a", Zone: "z", Cell: &cell, Health: discovery.Ready, Capacity: 1.5, StartedAtMs: 7},
		{Host: "b", Health: discovery.Terminating}, {Host: "c", Health: discovery.Removed}, {Host: "d", Health: "Dozing"},
	}})
	want := []decide.Endpoint{
		{ID: "a", Capacity: 1.5, Zone: "z", Cell: 3, StartedAt: 7000},
		{ID: "b", Cell: -1, Phase: decide.Draining}, {ID: "c", Cell: -1, Phase: decide.Removed},
		{ID: "d", Cell: -1, Phase: decide.Draining},
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("%+v, want %+v", got[i], want[i])
		}
	}
}

func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never came")
		}
	}
}

// A call that was read just before the settings changed finds its class by name; where that is gone or has another
// effect it is refused, as it has gone nowhere. Guards against one that is served under the rules of another class.
func TestReadBeforeAConfigChange(t *testing.T) {
	s := sidecar(t, toy(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "yes") }))
	run(t, s)
	next := &config.Config{Settings: testSettings(), Transport: s.startConfig.Transport}
	next.Settings.Classes = []decide.Class{
		{Name: "make", PriorityWeight: 1, Semantics: decide.AtMostOnce}, {Name: "new", PriorityWeight: 1}, {Name: "look", PriorityWeight: 1},
	}
	var told *decide.Settings
	s.ApplyConfig(next, func(set *decide.Settings) { told = set })
	if told != &next.Settings {
		t.Fatal("those who read requests were not told")
	}
	look, dropped := call("a", 0, time.Minute), call("b", 1, time.Minute)
	if a, _ := s.Do(look, nil); a.Status != Served || look.Request.Class != 2 {
		t.Fatalf("%+v as class %d", a, look.Request.Class)
	}
	if a, _ := s.Do(dropped, nil); a.Status != Rejected {
		t.Fatalf("%+v", a)
	}
}

// Fifty retunes leave no goroutine and no class behind.
func TestManyConfigChanges(t *testing.T) {
	s := sidecar(t, toy(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "yes") }))
	run(t, s)
	if a, _ := s.Do(call("a", 0, time.Minute), nil); a.Status != Served {
		t.Fatalf("%+v", a)
	}
	before := runtime.NumGoroutine()
	for i := range 50 {
		next := &config.Config{Settings: testSettings(), Transport: s.startConfig.Transport}
		next.Settings.Classes[1].Name = fmt.Sprint("make", i)
		s.ApplyConfig(next, func(*decide.Settings) {})
	}
	eventually(t, func() bool { return runtime.NumGoroutine() <= before })
	if a, _ := s.Do(call("a", 0, time.Minute), nil); a.Status != Served {
		t.Fatalf("%+v", a)
	}
}

// End answers what is open at once, and what comes then. Guards against requests left with no answer by the process's end.
func TestAbortAllAnswersAll(t *testing.T) {
	came, finish := make(chan bool, 1), make(chan bool)
	s := sidecar(t, toy(t, func(_ http.ResponseWriter, _ *http.Request) { came <- true; <-finish }))
	defer close(finish)
	run(t, s)
	answer := make(chan Response)
	go func() {
		a, _ := s.Do(call("a", 0, time.Minute), nil)
		answer <- a
	}()
	<-came
	s.AbortAll()
	s.AbortAll()
	if a := <-answer; a.Status != DeadlineExceeded {
		t.Fatalf("%+v", a)
	}
	if a, left := s.Do(call("b", 0, time.Minute), nil); a.Status != DeadlineExceeded || left {
		t.Fatalf("%+v", a)
	}
}

// An id that another process of the sidecar has under way is not taken, until that one has gone.
func TestPeerInFlightIDs(t *testing.T) {
	s := sidecar(t, toy(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "yes") }))
	run(t, s)
	for _, step := range []struct {
		foreign []string
		want    Status
	}{{[]string{"a", "b"}, DuplicateID}, {[]string{"b"}, Served}, {[]string{"a"}, DuplicateID}, {nil, Served}} {
		s.SetPeerInFlight(step.foreign)
		if a, _ := s.Do(call("a", 0, time.Minute), nil); a.Status != step.want {
			t.Fatalf("beside %v: %+v", step.foreign, a)
		}
	}
}

// Open lists what is under way, and that alone.
func TestInFlightIDs(t *testing.T) {
	came, finish := make(chan bool, 1), make(chan bool)
	s := sidecar(t, toy(t, func(_ http.ResponseWriter, _ *http.Request) { came <- true; <-finish }))
	run(t, s)
	done := make(chan bool)
	go func() { s.Do(call("a", 0, time.Minute), nil); done <- true }()
	<-came
	if ids := s.InFlight(); len(ids) != 1 || ids[0] != "a" {
		t.Fatal(ids)
	}
	close(finish)
	<-done
	eventually(t, func() bool { return len(s.InFlight()) == 0 })
}

// A call that needs a leave is refused at once without it, when it is taken and when it was lost since.
func TestWithoutLease(t *testing.T) {
	var came atomic.Bool
	s := sidecar(t, toy(t, func(_ http.ResponseWriter, _ *http.Request) { came.Store(true) }))
	run(t, s)
	c := call("a", 0, time.Minute)
	c.RequireLease(func() bool { return false })
	if a, _ := s.Do(c, nil); a.Status != Rejected || came.Load() {
		t.Fatalf("%+v, sent %t", a, came.Load())
	}
	asked := 0
	c = call("b", 0, time.Minute)
	c.RequireLease(func() bool { asked++; return asked == 1 }) // lost before anything is written
	if a, _ := s.Do(c, nil); a.Status != Rejected || came.Load() {
		t.Fatalf("%+v, sent %t", a, came.Load())
	}
}

type notes struct{ all []string }

func (n *notes) Under(settings, _ uint64, list int64) auditevent.Stamp {
	return auditevent.Stamp(settings*100 + uint64(list))
}

func (n *notes) Add(k auditevent.Kind, under auditevent.Stamp, id, note string) auditevent.Ref {
	n.all = append(n.all, fmt.Sprint(k, " ", under, " ", id, " ", note))
	return auditevent.Ref{Member: takeover.Member{Name: "n"}, N: uint64(len(n.all))}
}

// A call whose attempt finds that the client has left ends as that of a client that left, with nobody else to say so: the
// module draws no other server for it. Guards against draws that come to nothing, and an answer made up for nobody.
func TestAnAttemptFindsTheClientGone(t *testing.T) {
	var asked atomic.Int64
	s := sidecar(t, toy(t, func(http.ResponseWriter, *http.Request) { asked.Add(1) }))
	var n notes
	s.SetRecorder(&n)
	run(t, s)
	c := call("a", 0, time.Minute)
	c.SetDisconnectCheck(func() bool { return true })
	if a, left := s.Do(c, nil); !left || a.Status != DeadlineExceeded {
		t.Errorf("left %v, %+v", left, a)
	}
	eventually(t, func() bool { return ask(s, func() int { return len(s.calls) }) == 0 })
	got := ask(s, func() []string { return slices.Clone(n.all) })
	if want := []string{"took 1 a look", "sent 1 a s1", "unsent 1 a s1"}; !slices.Equal(got, want) || asked.Load() > 0 {
		t.Errorf("%q, %d came", got, asked.Load())
	}
}

// Acts bear the version that they were decided by, servers are told whose act it was, and what was not written is said.
func TestAuditEventsAreRecorded(t *testing.T) {
	actor := make(chan string, 4)
	s := sidecar(t, toy(t, func(_ http.ResponseWriter, r *http.Request) {
		actor <- r.Header.Get(auditevent.Header)
		time.Sleep(50 * time.Millisecond)
	}))
	var n notes
	s.SetRecorder(&n)
	run(t, s)
	done := make(chan Response)
	go func() {
		a, _ := s.Do(call("a", 0, time.Minute), nil)
		done <- a
	}()
	told := <-actor
	next := *s.startConfig
	next.SettingsVersion = 3
	s.ApplyConfig(&next, func(*decide.Settings) {})
	if a := <-done; a.ConfigVersion != 301 {
		t.Errorf("answered under %d", a.ConfigVersion)
	}
	gone := call("b", 0, time.Minute)
	gone.UseLease(func() bool { return false }, 0)
	left := make(chan struct{})
	time.AfterFunc(20*time.Millisecond, func() { close(left) })
	s.Do(gone, left)
	eventually(t, func() bool { return ask(s, func() int { return len(s.calls) }) == 0 })
	got := ask(s, func() []string { return slices.Clone(n.all) })
	want := []string{"took 1 a look", "sent 1 a s1", "took 301 b look", "sent 301 b s1", "unsent 301 b s1"}
	if len(got) < len(want) || !slices.Equal(got[:len(want)], want) {
		t.Errorf("%q", got)
	}
	if !strings.HasPrefix(told, "n/0/2/") {
		t.Errorf("the server was told %q", told)
	}
}
