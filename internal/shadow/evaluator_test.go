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
		Classes:         []decide.Class{{Name: "read", LatencyObjective: 200_000, Deadline: 2_000_000, PriorityWeight: 1}},
		Limits:          decide.Limits{Cancel: true, RetryAfter: true, MaxAttempts: 4},
		Rules:           decide.Rules{SlowStartMinShare: 0.3, SlowStartWindow: 8_000_000, OverloadFactor: 3, OverloadWindow: 2_000_000, PollInterval: 10_000_000},
		BalancerCount:   1,
		EndpointsPushed: true, CapacityListed: true,
	}
}

// servingBalancer stands in for the sidecar. It is a balancer whose events and actions are passed to a comparer.
type servingBalancer struct {
	t           *testing.T
	b           *decide.Balancer
	comparer    *comparer
	now         int64
	actions     []Action
	inFlight    []Action       // SendAttempt actions whose attempts have not ended
	attemptEnds map[string]int // number of ended attempts, by request ID
}

func (s *servingBalancer) SendAttempt(request, server string, timeout int64) {
	s.actions = append(s.actions, Action{SendAttempt, request, server, timeout})
	s.inFlight = append(s.inFlight, Action{SendAttempt, request, server, timeout})
}
func (s *servingBalancer) Reject(id string, _ int64) {
	s.actions = append(s.actions, Action{Kind: Reject, Request: id})
}
func (s *servingBalancer) Fail(id string) {
	s.actions = append(s.actions, Action{Kind: Fail, Request: id})
}
func (s *servingBalancer) CloseIdleConnections(server string) {
	s.actions = append(s.actions, Action{Kind: CloseIdleConnections, Server: server})
}
func (s *servingBalancer) SendGossip(int, []byte) {
	s.actions = append(s.actions, Action{Kind: SendGossip})
}
func (s *servingBalancer) CancelAttempt(string, int) {}
func (s *servingBalancer) CheckHealth(string)        {}
func (s *servingBalancer) WatchEndpoints(bool)       {}
func (s *servingBalancer) SetTimer(int64, int64)     {}
func (s *servingBalancer) Log(string)                {}

func (s *servingBalancer) dispatch(e Event) {
	s.actions = nil
	e.Now = s.now
	e.Apply(s.b)
	e.Actions = s.actions
	s.comparer.observe(e)
}

// compareSettings serves n requests at intervals of 5 ms with the settings own, and compares the decisions with those of the
// settings shadow. There are three servers, of which a has three times the capacity of the others. Up to 4 attempts are in
// flight. An attempt that ends while the number of the newest request is a multiple of 7 gets an error.
func compareSettings(t *testing.T, own, shadow decide.Settings, n int) Counts {
	s := &servingBalancer{t: t, now: 1_000_000_000, attemptEnds: map[string]int{}}
	s.b = decide.New(own, 9, s)
	s.comparer = newComparer(shadow, 9)
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
			for _, other := range s.inFlight { // the numbering of attempts below requires one attempt at a time
				if other.Request == a.Request {
					t.Fatalf("request %s has two attempts in flight, want one", a.Request)
				}
			}
			o.Attempt = s.attemptNumber(a)
			e := Event{Apply: func(b *decide.Balancer) { b.OnOutcome(s.now, o) }, AttemptEnded: a.Request}
			if o.RequestAnswered {
				e.RequestEnded = a.Request
			}
			s.dispatch(e)
		}
	}
	return s.comparer.counts
}

// attemptNumber returns the number of an attempt that ends, from 0 for each request.
func (s *servingBalancer) attemptNumber(a Action) int {
	s.attemptEnds[a.Request]++
	return s.attemptEnds[a.Request] - 1
}

// With equal settings, retries and failures must not make the shadow balancer's state diverge from the serving balancer's.
func TestEqualSettingsNeverDiffer(t *testing.T) {
	c := compareSettings(t, settings(), settings(), 2000)
	if c.Compared < 2000 || c.Differences != [differenceKinds]int{} {
		t.Errorf("got %s, want at least 2000 compared and no differences", c)
	}
}

// Each change of a setting is counted under the kinds of differences that it causes.
func TestDifferencesAreCountedByKind(t *testing.T) {
	unlisted := settings()
	unlisted.CapacityListed = false
	if c := compareSettings(t, settings(), unlisted, 1000); c.Differences[DifferentServer] < 50 || c.Differences[OnlyOneRejects]+c.Differences[OnlyOneFails] > 0 {
		t.Errorf("without listed capacities: got %s, want at least 50 different servers and no rejected or failed requests", c)
	}
	short := settings()
	short.Classes = []decide.Class{{Name: "read", LatencyObjective: 20_000, Deadline: 2_000_000, PriorityWeight: 1}}
	if c := compareSettings(t, settings(), short, 1000); c.Differences[DifferentTimeout] == 0 && c.Differences[OnlyOneSends]+c.Differences[OnlyOneRejects] == 0 {
		t.Errorf("with a short latency objective: got %s, want different timeouts, or requests that only one sends or rejects", c)
	}
	once := settings()
	once.Limits.MaxAttempts = 1
	if c := compareSettings(t, settings(), once, 1000); c.Differences[OnlyOneRejects] < 20 {
		t.Errorf("with one attempt per request: got %s, want at least 20 rejections instead of retries", c)
	}
	gossiping := settings()
	gossiping.Limits.Gossip, gossiping.BalancerCount = true, 4
	if c := compareSettings(t, settings(), gossiping, 100); c.Differences[DifferentGossip] == 0 {
		t.Errorf("with gossip: got %s, want different gossip", c)
	}
}

func TestDifferenceOfTwoDecisions(t *testing.T) {
	decided := func(kind ActionKind, server string, timeout int64) decision {
		return decision{made: true, action: Action{Kind: kind, Server: server, Timeout: timeout}}
	}
	for _, c := range []struct {
		x, y decision
		want DifferenceKind
		same bool
	}{
		{decided(SendAttempt, "a", 1), decided(SendAttempt, "a", 1), 0, true},
		{decided(SendAttempt, "a", 1), decided(SendAttempt, "b", 2), DifferentServer, false},
		{decided(SendAttempt, "a", 1), decided(SendAttempt, "a", 2), DifferentTimeout, false},
		{decided(SendAttempt, "a", 1), decision{}, OnlyOneSends, false},
		{decision{}, decided(SendAttempt, "a", 1), OnlyOneSends, false},
		{decided(Reject, "", 0), decided(SendAttempt, "a", 1), OnlyOneRejects, false},
		{decision{}, decided(Reject, "", 0), OnlyOneRejects, false},
		{decided(Fail, "", 0), decision{}, OnlyOneFails, false},
		{decided(Fail, "", 0), decided(Fail, "", 0), 0, true},
	} {
		if kind, differs := difference(c.x, c.y); differs == c.same || differs && kind != c.want {
			t.Errorf("%+v and %+v: got kind %s and differs %v, want kind %s and differs %v", c.x, c.y, kind, differs, c.want, !c.same)
		}
	}
}

// Hedged attempts and closed idle connections are counted separately from the decision on the request.
func TestHedgesAndIdleClosesAreCounted(t *testing.T) {
	c := newComparer(settings(), 1)
	c.inFlight["r"] = 1
	c.compare([]Action{{SendAttempt, "r", "a", 1}, {Kind: CloseIdleConnections, Server: "b"}}, []Action{}, map[string]bool{"r": true})
	if c.counts.Differences[DifferentHedging] != 1 || c.counts.Differences[DifferentIdleClose] != 1 || c.counts.Differences[OnlyOneSends] != 1 {
		t.Errorf("got %s, want one difference each of hedge, close and send", c.counts)
	}
}

// A panic of the shadow balancer ends the evaluation with a log line. Observe still returns afterwards, so that serving
// continues.
func TestPanicOfTheShadowBalancerEndsOnlyTheEvaluation(t *testing.T) {
	var out bytes.Buffer
	log.SetOutput(&out)
	defer log.SetOutput(os.Stderr)
	evaluator := New()
	done := make(chan struct{})
	go func() { evaluator.Run(1, settings(), 1, time.Hour, context.Background().Done()); close(done) }()
	evaluator.Observe(Event{Now: 2, Apply: func(*decide.Balancer) { panic("broken on purpose") }})
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("Run did not return within 20 s of the panic")
	}
	for range 2 * mailboxSize { // the mailbox is not read any more and becomes full
		evaluator.Observe(Event{Now: 3, Apply: func(*decide.Balancer) {}})
	}
	for _, want := range []string{"event=shadow_stopped", "broken on purpose", "compared=0", "cannot keep up"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("log does not contain %q: %s", want, out.String())
		}
	}
	var disabled *Evaluator
	disabled.Observe(Event{})
}
