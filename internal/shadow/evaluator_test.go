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

// serving plays the sidecar: a balancer whose events and actions are shown to a comparer.
type serving struct {
	t           *testing.T
	b           *decide.Balancer
	comparer    *comparer
	now         int64
	actions     []Action
	inFlight    []Action // sends without their end
	attemptEnds map[string]int
}

func (s *serving) SendAttempt(request, server string, timeout int64) {
	s.actions = append(s.actions, Action{SendAttempt, request, server, timeout})
	s.inFlight = append(s.inFlight, Action{SendAttempt, request, server, timeout})
}
func (s *serving) Reject(id string, _ int64) {
	s.actions = append(s.actions, Action{Kind: Reject, Request: id})
}
func (s *serving) Fail(id string) { s.actions = append(s.actions, Action{Kind: Fail, Request: id}) }
func (s *serving) CloseIdleConnections(server string) {
	s.actions = append(s.actions, Action{Kind: CloseIdleConnections, Server: server})
}
func (s *serving) SendGossip(int, []byte)    { s.actions = append(s.actions, Action{Kind: SendGossip}) }
func (s *serving) CancelAttempt(string, int) {}
func (s *serving) CheckHealth(string)        {}
func (s *serving) WatchEndpoints(bool)       {}
func (s *serving) SetTimer(int64, int64)     {}
func (s *serving) Log(string)                {}

func (s *serving) dispatch(e Event) {
	s.actions = nil
	e.Now = s.now
	e.Apply(s.b)
	e.Actions = s.actions
	s.comparer.observe(e)
}

// play serves n requests 5 ms apart by two servers, one three times the other's size; slow answers take 100 ms, and
// every seventh attempt gets an error.
func play(t *testing.T, own, watched decide.Settings, n int) Counts {
	s := &serving{t: t, now: 1_000_000_000, attemptEnds: map[string]int{}}
	s.b = decide.New(own, 9, s)
	s.comparer = newComparer(watched, 9)
	s.b.Start(s.now)
	s.comparer.balancer.Start(s.now)
	list := []decide.Endpoint{{ID: "a", Capacity: 3}, {ID: "b", Capacity: 1}, {ID: "c", Capacity: 1}}
	s.dispatch(Event{Apply: func(b *decide.Balancer) { b.OnEndpoints(s.now, list, true) }})
	for i := range n {
		s.now += 5000
		id := fmt.Sprint("r", i)
		s.dispatch(Event{Apply: func(b *decide.Balancer) {
			b.OnRequest(s.now, decide.Request{ID: id, Tenant: -1, TimeLeft: 2_000_000})
		}})
		if i%200 == 0 {
			s.dispatch(Event{Apply: func(b *decide.Balancer) { b.OnTimer(s.now, 0) }})
		}
		for len(s.inFlight) > 4 {
			a := s.inFlight[0]
			s.inFlight = s.inFlight[1:]
			o := decide.Outcome{Request: a.Request, Server: a.Server, Result: decide.Succeeded, Latency: 20_000, RequestAnswered: true}
			if i%7 == 0 {
				o.Result, o.RequestAnswered = decide.Errored, false
			}
			for _, before := range s.inFlight { // attempts of a request are numbered; only the first ends here
				if before.Request == a.Request {
					t.Fatal("two attempts out")
				}
			}
			o.Attempt = s.attempt(a)
			e := Event{Apply: func(b *decide.Balancer) { b.OnOutcome(s.now, o) }, AttemptEnded: a.Request}
			if o.RequestAnswered {
				e.RequestEnded = a.Request
			}
			s.dispatch(e)
		}
	}
	return s.comparer.counts
}

// attempt numbers the ends of a request's attempts.
func (s *serving) attempt(a Action) int {
	s.attemptEnds[a.Request]++
	return s.attemptEnds[a.Request] - 1
}

// The same settings decide the same, through retries and failures: the second balancer's state follows what was really done.
func TestTheSameSettingsNeverDiffer(t *testing.T) {
	c := play(t, settings(), settings(), 2000)
	if c.Compared < 2000 || c.Differences != [differenceKinds]int{} {
		t.Errorf("%s, want none to differ", c)
	}
}

// Other settings differ by their kind.
func TestDifferencesByKind(t *testing.T) {
	sizes := settings()
	sizes.CapacityListed = false
	if c := play(t, settings(), sizes, 1000); c.Differences[DifferentServer] < 50 || c.Differences[OnlyOneRejects]+c.Differences[OnlyOneFails] > 0 {
		t.Errorf("without sizes: %s, want other servers", c)
	}
	short := settings()
	short.Classes = []decide.Class{{Name: "look", LatencyObjective: 20_000, Deadline: 2_000_000, PriorityWeight: 1}}
	if c := play(t, settings(), short, 1000); c.Differences[DifferentTimeout] == 0 && c.Differences[OnlyOneSends]+c.Differences[OnlyOneRejects] == 0 {
		t.Errorf("with a short aim: %s, want other time-outs or refusals", c)
	}
	once := settings()
	once.Limits.MaxAttempts = 1
	if c := play(t, settings(), once, 1000); c.Differences[OnlyOneRejects] < 20 {
		t.Errorf("with one attempt: %s, want refusals in place of retries", c)
	}
	talk := settings()
	talk.Limits.Gossip, talk.BalancerCount = true, 4
	if c := play(t, settings(), talk, 100); c.Differences[DifferentGossip] == 0 {
		t.Errorf("with messages: %s, want messages", c)
	}
}

// Decisions of each kind, compared one by one.
func TestDifference(t *testing.T) {
	did := func(do ActionKind, server string, timeout int64) decision {
		return decision{made: true, action: Action{Kind: do, Server: server, Timeout: timeout}}
	}
	for _, c := range []struct {
		x, y decision
		want DifferenceKind
		same bool
	}{
		{did(SendAttempt, "a", 1), did(SendAttempt, "a", 1), 0, true},
		{did(SendAttempt, "a", 1), did(SendAttempt, "b", 2), DifferentServer, false},
		{did(SendAttempt, "a", 1), did(SendAttempt, "a", 2), DifferentTimeout, false},
		{did(SendAttempt, "a", 1), decision{}, OnlyOneSends, false},
		{decision{}, did(SendAttempt, "a", 1), OnlyOneSends, false},
		{did(Reject, "", 0), did(SendAttempt, "a", 1), OnlyOneRejects, false},
		{decision{}, did(Reject, "", 0), OnlyOneRejects, false},
		{did(Fail, "", 0), decision{}, OnlyOneFails, false},
		{did(Fail, "", 0), did(Fail, "", 0), 0, true},
	} {
		if kind, differs := difference(c.x, c.y); differs == c.same || differs && kind != c.want {
			t.Errorf("%+v and %+v: %s %v", c.x, c.y, kind, differs)
		}
	}
}

// Hedged attempts and closes count apart from the decision itself.
func TestHedgesAndCloses(t *testing.T) {
	j := newComparer(settings(), 1)
	j.inFlight["r"] = 1
	j.compare([]Action{{SendAttempt, "r", "a", 1}, {Kind: CloseIdleConnections, Server: "b"}}, []Action{}, map[string]bool{"r": true})
	if j.counts.Differences[DifferentHedging] != 1 || j.counts.Differences[DifferentIdleClose] != 1 || j.counts.Differences[OnlyOneSends] != 1 {
		t.Errorf("%s, want a copy, a close and a wait", j.counts)
	}
}

// A failure of the second balancer ends the evaluation alone, and the log says so; events go on being taken.
func TestAFaultEndsTheEvaluationAlone(t *testing.T) {
	var out bytes.Buffer
	log.SetOutput(&out)
	defer log.SetOutput(os.Stderr)
	w := New()
	done := make(chan struct{})
	go func() { w.Run(1, settings(), 1, time.Hour, context.Background().Done()); close(done) }()
	w.Observe(Event{Now: 2, Apply: func(*decide.Balancer) { panic("broken on purpose") }})
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("the watch goes on")
	}
	for range 2 * mailboxSize { // nobody reads any more: the mailbox is full, and Observe still returns
		w.Observe(Event{Now: 3, Apply: func(*decide.Balancer) {}})
	}
	for _, want := range []string{"event=shadow_stopped", "broken on purpose", "compared=0", "cannot keep up"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the log lacks %q: %s", want, out.String())
		}
	}
	var off *Evaluator
	off.Observe(Event{})
}
