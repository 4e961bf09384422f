package shadow

import (
	"bytes"
	"context"
	"fmt"
	"log"
	"os"
	"strings"
	"testing"
	"time"

	"damsonscale/decide"
)

func settings() decide.Settings {
	return decide.Settings{
		Classes:         []decide.Class{{Name: "look", LatencyObjective: 200_000, Deadline: 2_000_000, PriorityWeight: 1}},
		Limits:          decide.Limits{Cancel: true, RetryAfter: true, MaxAttempts: 4},
		Rules:           decide.Rules{SlowStartMinShare: 0.3, SlowStartWindow: 8_000_000, OverloadFactor: 3, OverloadWindow: 2_000_000, PollInterval: 10_000_000},
		BalancerCount:   1,
		EndpointsPushed: true, CapacityListed: true,
	}
}

// serving plays the sidecar: a balancer whose events and actions are shown to a judge.
type serving struct {
	t    *testing.T
	b    *decide.Balancer
	j    *judge
	now  int64
	acts []Act
	out  []Act // sends without their end
	ends map[string]int
}

func (s *serving) SendAttempt(request, server string, timeout int64) {
	s.acts = append(s.acts, Act{Send, request, server, timeout})
	s.out = append(s.out, Act{Send, request, server, timeout})
}
func (s *serving) Reject(id string, _ int64) { s.acts = append(s.acts, Act{Do: Refused, Request: id}) }
func (s *serving) Fail(id string)            { s.acts = append(s.acts, Act{Do: Failed, Request: id}) }
func (s *serving) CloseIdleConnections(server string) {
	s.acts = append(s.acts, Act{Do: Closed, Server: server})
}
func (s *serving) SendGossip(int, []byte)    { s.acts = append(s.acts, Act{Do: Told}) }
func (s *serving) CancelAttempt(string, int) {}
func (s *serving) CheckHealth(string)        {}
func (s *serving) WatchEndpoints(bool)       {}
func (s *serving) SetTimer(int64, int64)     {}
func (s *serving) Log(string)                {}

func (s *serving) tell(e Event) {
	s.acts = nil
	e.Now = s.now
	e.Apply(s.b)
	e.Acts = s.acts
	s.j.see(e)
}

// play serves n requests 5 ms apart by two servers, one three times the other's size; slow answers take 100 ms, and
// every seventh attempt gets an error.
func play(t *testing.T, own, watched decide.Settings, n int) Counts {
	s := &serving{t: t, now: 1_000_000_000, ends: map[string]int{}}
	s.b = decide.New(own, 9, s)
	s.j = newJudge(watched, 9)
	s.b.Start(s.now)
	s.j.balancer.Start(s.now)
	list := []decide.Endpoint{{ID: "a", Capacity: 3}, {ID: "b", Capacity: 1}, {ID: "c", Capacity: 1}}
	s.tell(Event{Apply: func(b *decide.Balancer) { b.OnEndpoints(s.now, list, true) }})
	for i := range n {
		s.now += 5000
		id := fmt.Sprint("r", i)
		s.tell(Event{Apply: func(b *decide.Balancer) {
			b.OnRequest(s.now, decide.Request{ID: id, Tenant: -1, TimeLeft: 2_000_000})
		}})
		if i%200 == 0 {
			s.tell(Event{Apply: func(b *decide.Balancer) { b.OnTimer(s.now, 0) }})
		}
		for len(s.out) > 4 {
			a := s.out[0]
			s.out = s.out[1:]
			o := decide.Outcome{Request: a.Request, Server: a.Server, Result: decide.Succeeded, Latency: 20_000, RequestAnswered: true}
			if i%7 == 0 {
				o.Result, o.RequestAnswered = decide.Errored, false
			}
			for _, before := range s.out { // attempts of a request are numbered; only the first ends here
				if before.Request == a.Request {
					t.Fatal("two attempts out")
				}
			}
			o.Attempt = s.attempt(a)
			e := Event{Apply: func(b *decide.Balancer) { b.OnOutcome(s.now, o) }, Settles: a.Request}
			if o.RequestAnswered {
				e.Ends = a.Request
			}
			s.tell(e)
		}
	}
	return s.j.counts
}

// attempt numbers the ends of a request's attempts.
func (s *serving) attempt(a Act) int {
	s.ends[a.Request]++
	return s.ends[a.Request] - 1
}

// The same settings decide the same: nothing differs, through retries and failures. Guards against books that drift
// from what was really done.
func TestTheSameSettingsNeverDiffer(t *testing.T) {
	c := play(t, settings(), settings(), 2000)
	if c.Compared < 2000 || c.Differ != [kinds]int{} {
		t.Errorf("%s, want none to differ", c)
	}
}

// Other settings differ by their kind.
func TestDifferencesByKind(t *testing.T) {
	sizes := settings()
	sizes.CapacityListed = false
	if c := play(t, settings(), sizes, 1000); c.Differ[Server] < 50 || c.Differ[Refuse]+c.Differ[Fail] > 0 {
		t.Errorf("without sizes: %s, want other servers", c)
	}
	short := settings()
	short.Classes = []decide.Class{{Name: "look", LatencyObjective: 20_000, Deadline: 2_000_000, PriorityWeight: 1}}
	if c := play(t, settings(), short, 1000); c.Differ[Timeout] == 0 && c.Differ[Wait]+c.Differ[Refuse] == 0 {
		t.Errorf("with a short aim: %s, want other time-outs or refusals", c)
	}
	once := settings()
	once.Limits.MaxAttempts = 1
	if c := play(t, settings(), once, 1000); c.Differ[Refuse] < 20 {
		t.Errorf("with one attempt: %s, want refusals in place of retries", c)
	}
	talk := settings()
	talk.Limits.Gossip, talk.BalancerCount = true, 4
	if c := play(t, settings(), talk, 100); c.Differ[Message] == 0 {
		t.Errorf("with messages: %s, want messages", c)
	}
}

// decisions of each kind, compared by hand.
func TestDiffer(t *testing.T) {
	did := func(do Do, server string, time int64) decision {
		return decision{done: true, act: Act{Do: do, Server: server, Time: time}}
	}
	for _, c := range []struct {
		x, y decision
		want Kind
		same bool
	}{
		{did(Send, "a", 1), did(Send, "a", 1), 0, true},
		{did(Send, "a", 1), did(Send, "b", 2), Server, false},
		{did(Send, "a", 1), did(Send, "a", 2), Timeout, false},
		{did(Send, "a", 1), decision{}, Wait, false},
		{decision{}, did(Send, "a", 1), Wait, false},
		{did(Refused, "", 0), did(Send, "a", 1), Refuse, false},
		{decision{}, did(Refused, "", 0), Refuse, false},
		{did(Failed, "", 0), decision{}, Fail, false},
		{did(Failed, "", 0), did(Failed, "", 0), 0, true},
	} {
		if kind, differs := differ(c.x, c.y); differs == c.same || differs && kind != c.want {
			t.Errorf("%+v and %+v: %s %v", c.x, c.y, kind, differs)
		}
	}
}

// Copies and closes count apart from the decision itself.
func TestCopiesAndCloses(t *testing.T) {
	j := newJudge(settings(), 1)
	j.out["r"] = 1
	j.compare([]Act{{Send, "r", "a", 1}, {Do: Closed, Server: "b"}}, []Act{}, map[string]bool{"r": true})
	if j.counts.Differ[Copy] != 1 || j.counts.Differ[Close] != 1 || j.counts.Differ[Wait] != 1 {
		t.Errorf("%s, want a copy, a close and a wait", j.counts)
	}
}

// A failure of the second balancer ends the watch alone, and the log says so; events go on being taken.
func TestAFaultEndsTheWatchAlone(t *testing.T) {
	var out bytes.Buffer
	log.SetOutput(&out)
	defer log.SetOutput(os.Stderr)
	w := New()
	done := make(chan struct{})
	go func() { w.Run(1, settings(), 1, time.Hour, context.Background().Done()); close(done) }()
	w.See(Event{Now: 2, Apply: func(*decide.Balancer) { panic("broken on purpose") }})
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("the watch goes on")
	}
	for range 2 * mailbox { // nobody reads any more: the mailbox runs over, and See still returns
		w.See(Event{Now: 3, Apply: func(*decide.Balancer) {}})
	}
	for _, want := range []string{"event=watch_stopped", "broken on purpose", "compared=0", "cannot keep up"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the log lacks %q: %s", want, out.String())
		}
	}
	var off *Watch
	off.See(Event{})
}
