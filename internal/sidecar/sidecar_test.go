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

func newTestSidecar(t *testing.T, addr string) *Sidecar {
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

func runSidecar(t *testing.T, s *Sidecar) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.Run(ctx)
}

func newTestCall(id string, class int, left time.Duration) *Call {
	m := upstream.Message{Head: []byte("GET /look HTTP/1.1\r\nHost: h\r\nReq-Id: " + id + "\r\n")}
	set := testSettings()
	return NewCall(&set, decide.Request{ID: id, Class: class, Tenant: -1}, m, time.Now(), left)
}

// onActor is a message that runs a function on the actor.
type onActor func()

func (f onActor) handle(*Sidecar, int64) { f() }

// askActor runs f on the actor.
func askActor[T any](s *Sidecar, f func() T) T {
	back := make(chan T)
	s.mailbox <- onActor(func() { back <- f() })
	return <-back
}

func startServer(t *testing.T, h http.HandlerFunc) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func TestServed(t *testing.T) {
	s := newTestSidecar(t, startServer(t, func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, r.Header.Get("Req-Id")) }))
	runSidecar(t, s)
	for _, id := range []string{"a", "b", "a"} { // an id may come again once it is answered
		a, left := s.Do(newTestCall(id, 0, time.Minute), nil)
		if left || a.Status != Served || string(a.Body) != id {
			t.Fatalf("%s: %+v", id, a)
		}
	}
	if n := askActor(s, func() int { return len(s.calls) }); n != 0 {
		t.Fatalf("%d calls are still held", n)
	}
}

// A client gets its response in time although the actor does not run, and nothing is sent afterwards.
func TestAnsweredInTimeWhateverTheModuleDoes(t *testing.T) {
	came := make(chan bool, 1)
	s := newTestSidecar(t, startServer(t, func(_ http.ResponseWriter, _ *http.Request) { came <- true }))
	if a, left := s.Do(newTestCall("a", 0, 50*time.Millisecond), nil); left || a.Status != DeadlineExceeded {
		t.Fatalf("%+v", a)
	}
	runSidecar(t, s) // only now does it take the request
	eventually(t, func() bool { return askActor(s, func() int { return len(s.calls) }) == 0 })
	select {
	case <-came:
		t.Fatal("sent after the final answer")
	case <-time.After(50 * time.Millisecond):
	}
}

// A client that disconnects while its request is being written to a server that does not read is released at once: the write
// is cancelled first, as closing the gate waits for it.
func TestClientLeavesDuringAWrite(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	s := newTestSidecar(t, ln.Addr().String())
	runSidecar(t, s)
	c, gone, done := newTestCall("a", 0, time.Hour), make(chan struct{}), make(chan bool)
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

// A full mailbox of the actor delays nobody past the request's deadline.
func TestFullMailbox(t *testing.T) {
	s := newTestSidecar(t, "127.0.0.1:1")
	for range mailboxSize {
		s.mailbox <- onActor(func() {})
	}
	if a, _ := s.Do(newTestCall("a", 0, 50*time.Millisecond), nil); a.Status != DeadlineExceeded {
		t.Fatalf("%+v", a)
	}
}

// A request that waits for room in the mailbox ends when its client disconnects or the process ends: it is never admitted.
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
			s, gone, done := newTestSidecar(t, "127.0.0.1:1"), make(chan struct{}), make(chan bool)
			for range mailboxSize {
				s.mailbox <- onActor(func() {})
			}
			go func() {
				a, left := s.Do(newTestCall("a", 0, time.Hour), gone)
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
			runSidecar(t, s)
			if n := askActor(s, func() int { return len(s.calls) }); n != 0 {
				t.Fatalf("%d calls taken", n)
			}
		})
	}
}

// A request that has ended while it waited in the mailbox never reaches the balancer.
func TestAnsweredInTheMailbox(t *testing.T) {
	s := newTestSidecar(t, startServer(t, func(http.ResponseWriter, *http.Request) {}))
	runSidecar(t, s)
	c := newTestCall("a", 0, time.Hour)
	c.gate.Close()
	if askActor(s, func() bool { s.onRequest(s.now(), c); return s.balancer.IsOpen("a") }) {
		t.Fatal("taken")
	}
}

// The dedup window is checked at the moment of writing: a retry of what may have run carries the end of the window with it.
func TestRepeatCarriesItsWindow(t *testing.T) {
	came := make(chan bool, 1)
	s := newTestSidecar(t, startServer(t, func(_ http.ResponseWriter, _ *http.Request) { came <- true }))
	c := newTestCall("k", 1, time.Minute)
	c.firstEffectAt = time.Now().Add(-2 * time.Second)
	s.calls["k"] = c
	actions{s}.SendAttempt("k", "s1", 0)
	(<-s.mailbox).handle(s, s.now()) // the attempt's end
	if c.inFlight != 0 || len(came) != 0 {
		t.Fatalf("%d out, %d written past the window", c.inFlight, len(came))
	}
}

// A health check reports its result to the balancer, and is not in flight afterwards.
func TestHealthCheckEnds(t *testing.T) {
	asked := make(chan string, 1)
	s := newTestSidecar(t, startServer(t, func(_ http.ResponseWriter, r *http.Request) { asked <- r.URL.Path }))
	actions{s}.CheckHealth("s1")
	if path := <-asked; path != "/health/live" {
		t.Errorf("asked %s", path)
	}
	(<-s.mailbox).handle(s, s.now())
	if out := s.serverEndpoints["s1"].inFlight; out != 0 {
		t.Errorf("%d out", out)
	}
}

// The peer of a removed server stops once nothing is in flight there.
func TestRemovedPeerIsRetired(t *testing.T) {
	came, finish := make(chan bool), make(chan bool)
	s := newTestSidecar(t, startServer(t, func(_ http.ResponseWriter, _ *http.Request) {
		came <- true
		<-finish
	}))
	runSidecar(t, s)
	done := make(chan Response)
	go func() {
		a, _ := s.Do(newTestCall("a", 0, time.Minute), nil)
		done <- a
	}()
	<-came
	gone := &discovery.Update{Seq: 2, Full: true}
	askActor(s, func() bool { s.discovery.Endpoints.Replace(gone); return true })
	s.OnEndpoints(gone)
	if n := askActor(s, func() int { return len(s.serverEndpoints) }); n != 1 {
		t.Fatalf("%d peers while an attempt is out", n)
	}
	finish <- true
	if a := <-done; a.Status != Served {
		t.Fatalf("%+v", a)
	}
	eventually(t, func() bool { return askActor(s, func() int { return len(s.serverEndpoints) }) == 0 })
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

// A call that was read just before the settings changed finds its class by name. Where there is none, or it has other semantics,
// the call is rejected: nothing was sent.
func TestReadBeforeAConfigChange(t *testing.T) {
	s := newTestSidecar(t, startServer(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "yes") }))
	runSidecar(t, s)
	next := &config.Config{Settings: testSettings(), Transport: s.startConfig.Transport}
	next.Settings.Classes = []decide.Class{
		{Name: "make", PriorityWeight: 1, Semantics: decide.AtMostOnce}, {Name: "new", PriorityWeight: 1}, {Name: "look", PriorityWeight: 1},
	}
	var told *decide.Settings
	s.ApplyConfig(next, func(set *decide.Settings) { told = set })
	if told != &next.Settings {
		t.Fatal("those who read requests were not told")
	}
	look, dropped := newTestCall("a", 0, time.Minute), newTestCall("b", 1, time.Minute)
	if a, _ := s.Do(look, nil); a.Status != Served || look.Request.Class != 2 {
		t.Fatalf("%+v as class %d", a, look.Request.Class)
	}
	if a, _ := s.Do(dropped, nil); a.Status != Rejected {
		t.Fatalf("%+v", a)
	}
}

// Fifty changes of the configuration leave no goroutine and no class behind.
func TestManyConfigChanges(t *testing.T) {
	s := newTestSidecar(t, startServer(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "yes") }))
	runSidecar(t, s)
	if a, _ := s.Do(newTestCall("a", 0, time.Minute), nil); a.Status != Served {
		t.Fatalf("%+v", a)
	}
	before := runtime.NumGoroutine()
	for i := range 50 {
		next := &config.Config{Settings: testSettings(), Transport: s.startConfig.Transport}
		next.Settings.Classes[1].Name = fmt.Sprint("make", i)
		s.ApplyConfig(next, func(*decide.Settings) {})
	}
	eventually(t, func() bool { return runtime.NumGoroutine() <= before })
	if a, _ := s.Do(newTestCall("a", 0, time.Minute), nil); a.Status != Served {
		t.Fatalf("%+v", a)
	}
}

// AbortAll ends the requests in flight at once, and those that come later.
func TestAbortAllAnswersAll(t *testing.T) {
	came, finish := make(chan bool, 1), make(chan bool)
	s := newTestSidecar(t, startServer(t, func(_ http.ResponseWriter, _ *http.Request) { came <- true; <-finish }))
	defer close(finish)
	runSidecar(t, s)
	answer := make(chan Response)
	go func() {
		a, _ := s.Do(newTestCall("a", 0, time.Minute), nil)
		answer <- a
	}()
	<-came
	s.AbortAll()
	s.AbortAll()
	if a := <-answer; a.Status != DeadlineExceeded {
		t.Fatalf("%+v", a)
	}
	if a, left := s.Do(newTestCall("b", 0, time.Minute), nil); a.Status != DeadlineExceeded || left {
		t.Fatalf("%+v", a)
	}
}

// An id that another process of the sidecar has in flight is a duplicate until it has ended there.
func TestPeerInFlightIDs(t *testing.T) {
	s := newTestSidecar(t, startServer(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "yes") }))
	runSidecar(t, s)
	for _, step := range []struct {
		foreign []string
		want    Status
	}{{[]string{"a", "b"}, DuplicateID}, {[]string{"b"}, Served}, {[]string{"a"}, DuplicateID}, {nil, Served}} {
		s.SetPeerProcessInFlightIDs(step.foreign)
		if a, _ := s.Do(newTestCall("a", 0, time.Minute), nil); a.Status != step.want {
			t.Fatalf("beside %v: %+v", step.foreign, a)
		}
	}
}

// InFlight lists the requests in flight, and no others.
func TestInFlightIDs(t *testing.T) {
	came, finish := make(chan bool, 1), make(chan bool)
	s := newTestSidecar(t, startServer(t, func(_ http.ResponseWriter, _ *http.Request) { came <- true; <-finish }))
	runSidecar(t, s)
	done := make(chan bool)
	go func() { s.Do(newTestCall("a", 0, time.Minute), nil); done <- true }()
	<-came
	if ids := s.InFlightIDs(); len(ids) != 1 || ids[0] != "a" {
		t.Fatal(ids)
	}
	close(finish)
	<-done
	eventually(t, func() bool { return len(s.InFlightIDs()) == 0 })
}

// A call that requires a lease is rejected at once without it, when it is admitted and when the lease is lost afterwards.
func TestWithoutLease(t *testing.T) {
	var came atomic.Bool
	s := newTestSidecar(t, startServer(t, func(_ http.ResponseWriter, _ *http.Request) { came.Store(true) }))
	runSidecar(t, s)
	c := newTestCall("a", 0, time.Minute)
	c.RequireLease(func() bool { return false })
	if a, _ := s.Do(c, nil); a.Status != Rejected || came.Load() {
		t.Fatalf("%+v, sent %t", a, came.Load())
	}
	asked := 0
	c = newTestCall("b", 0, time.Minute)
	c.RequireLease(func() bool { asked++; return asked == 1 }) // lost before anything is written
	if a, _ := s.Do(c, nil); a.Status != Rejected || came.Load() {
		t.Fatalf("%+v, sent %t", a, came.Load())
	}
}

type fakeRecorder struct{ events []string }

func (n *fakeRecorder) SetVersion(settings, _ uint64, list int64) auditevent.ConfigVersionID {
	return auditevent.ConfigVersionID(settings*100 + uint64(list))
}

func (n *fakeRecorder) Record(k auditevent.Kind, under auditevent.ConfigVersionID, id, note string) auditevent.Ref {
	n.events = append(n.events, fmt.Sprint(k, " ", under, " ", id, " ", note))
	return auditevent.Ref{Member: takeover.Member{Name: "n"}, Number: uint64(len(n.events))}
}

// A call whose attempt finds that the client has left ends as disconnected, although nobody else has noticed it: the balancer
// sends no further attempt.
func TestAnAttemptFindsTheClientGone(t *testing.T) {
	var asked atomic.Int64
	s := newTestSidecar(t, startServer(t, func(http.ResponseWriter, *http.Request) { asked.Add(1) }))
	var n fakeRecorder
	s.SetRecorder(&n)
	runSidecar(t, s)
	c := newTestCall("a", 0, time.Minute)
	c.SetDisconnectCheck(func() bool { return true })
	if a, left := s.Do(c, nil); !left || a.Status != DeadlineExceeded {
		t.Errorf("left %v, %+v", left, a)
	}
	eventually(t, func() bool { return askActor(s, func() int { return len(s.calls) }) == 0 })
	got := askActor(s, func() []string { return slices.Clone(n.events) })
	if want := []string{"took 1 a look", "sent 1 a s1", "unsent 1 a s1"}; !slices.Equal(got, want) || asked.Load() > 0 {
		t.Errorf("%q, %d came", got, asked.Load())
	}
}

// Audit events carry the config version that they were decided under, servers get the reference of the event, and an attempt
// that was not written is recorded.
func TestAuditEventsAreRecorded(t *testing.T) {
	actor := make(chan string, 4)
	s := newTestSidecar(t, startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		actor <- r.Header.Get(auditevent.RefHeader)
		time.Sleep(50 * time.Millisecond)
	}))
	var n fakeRecorder
	s.SetRecorder(&n)
	runSidecar(t, s)
	done := make(chan Response)
	go func() {
		a, _ := s.Do(newTestCall("a", 0, time.Minute), nil)
		done <- a
	}()
	told := <-actor
	next := *s.startConfig
	next.SettingsVersion = 3
	s.ApplyConfig(&next, func(*decide.Settings) {})
	if a := <-done; a.ConfigVersion != 301 {
		t.Errorf("answered under %d", a.ConfigVersion)
	}
	gone := newTestCall("b", 0, time.Minute)
	gone.UseLease(func() bool { return false }, 0)
	left := make(chan struct{})
	time.AfterFunc(20*time.Millisecond, func() { close(left) })
	s.Do(gone, left)
	eventually(t, func() bool { return askActor(s, func() int { return len(s.calls) }) == 0 })
	got := askActor(s, func() []string { return slices.Clone(n.events) })
	want := []string{"took 1 a look", "sent 1 a s1", "took 301 b look", "sent 301 b s1", "unsent 301 b s1"}
	if len(got) < len(want) || !slices.Equal(got[:len(want)], want) {
		t.Errorf("%q", got)
	}
	if !strings.HasPrefix(told, "n/0/2/") {
		t.Errorf("the server was told %q", told)
	}
}
