package takeover

import (
	"fmt"
	"testing"
)

const (
	testQuorumTimeout, testResendInterval, testMaxRequestAge, testRetention = 300, 30, 2000, 10_000
)

// cluster is a set of nodes. Their messages are delivered without loss, in the order of sending, but not to dead nodes.
type cluster struct {
	now          int64 // µs
	names        []string
	nodes        map[string]*Node
	view         *View
	dead         map[string]bool
	messageCount int                // messages taken from the nodes so far
	events       map[string][]Event // by member, since the last takeEvents
}

// newCluster returns a cluster of n members with a number of replicas per record.
func newCluster(n, replicas int) *cluster {
	f := &cluster{nodes: map[string]*Node{}, view: &View{Members: map[Member]MemberInfo{}}, dead: map[string]bool{}, events: map[string][]Event{}}
	for i := range n {
		name := fmt.Sprintf("m%03d", i)
		f.names = append(f.names, name)
		f.view.Epoch++
		f.view.Members[f.member(name)] = MemberInfo{JoinedEpoch: f.view.Epoch, FirstIncarnation: true}
	}
	for _, name := range f.names {
		f.nodes[name] = New(Config{
			Self: f.member(name), MemberNames: f.names, ReplicationFactor: replicas, MaxRecords: 100, MaxBytes: 100_000, Retention: testRetention, MaxRequestAge: testMaxRequestAge, QuorumTimeout: testQuorumTimeout, ResendInterval: testResendInterval,
			TakeoverStagger: 300,
		})
	}
	f.applyView()
	return f
}

func (f *cluster) member(name string) Member { return Member{Name: name, Incarnation: 1} }

// applyView gives the view to all nodes that are not dead, and delivers the messages.
func (f *cluster) applyView() {
	for _, name := range f.names {
		if !f.dead[name] {
			f.nodes[name].ApplyView(f.now, f.view)
		}
	}
	f.settle()
}

// settle collects events and delivers messages until no message is in flight.
func (f *cluster) settle() {
	for busy := true; busy; {
		busy = false
		for _, name := range f.names {
			if f.dead[name] {
				continue
			}
			f.events[name] = append(f.events[name], f.nodes[name].TakeEvents()...)
			for _, t := range f.nodes[name].TakeMessages() {
				f.messageCount++
				busy = true
				if !f.dead[t.To] {
					f.nodes[t.To].Handle(f.now, f.member(name), &t.Message)
				}
			}
		}
	}
}

// advance lets time pass, with a tick of all nodes every 10 µs.
func (f *cluster) advance(by int64) {
	for end := f.now + by; f.now < end; {
		f.now += 10
		for _, name := range f.names {
			if !f.dead[name] {
				f.nodes[name].Tick(f.now)
			}
		}
		f.settle()
	}
}

// evict removes members from the view, dead or not.
func (f *cluster) evict(names ...string) {
	v := &View{Epoch: f.view.Epoch, Members: map[Member]MemberInfo{}}
	for m, s := range f.view.Members {
		v.Members[m] = s
	}
	for _, name := range names {
		v.Epoch++
		delete(v.Members, f.member(name))
	}
	f.view = v
	f.applyView()
}

// takeEvents returns and removes the events of a member.
func (f *cluster) takeEvents(name string) (out []Event) {
	out, f.events[name] = f.events[name], nil
	return out
}

// lastEvent returns the last event of a member and removes all. Without an event it returns an unknown decision.
func (f *cluster) lastEvent(name string) Event {
	all := f.takeEvents(name)
	if len(all) == 0 {
		return Event{Decision: 99}
	}
	return all[len(all)-1]
}

// record returns a record to begin or resume a request with.
func record(id string, e Idempotency) Record {
	r := Record{ID: id, Digest: 7, Idempotency: e, DeadlineAge: testMaxRequestAge, Class: "c"}
	if e == IdempotentByKey {
		r.Request = []byte("stored request")
	}
	return r
}

// A resume after the loss of the first owner is decided by the request's progress, its idempotency and the loss of a further replica.
func TestResumeDecisionAfterLossOfOwner(t *testing.T) {
	served := Response{Status: Served, Body: []byte("yes")}
	type test struct {
		name        string
		idempotency Idempotency
		run         func(f *cluster) // what the first owner does before it dies
		lost        []string         // members lost together with the first owner
		want        Decision
		wantStatus  ResponseStatus
	}
	begin := func(e Idempotency) func(*cluster) {
		return func(f *cluster) { f.nodes["m000"].Begin(f.now, record("x", e)); f.settle() }
	}
	complete := func(e Idempotency) func(*cluster) {
		return func(f *cluster) { begin(e)(f); f.nodes["m000"].Complete(f.now, "x", served); f.settle() }
	}
	for _, c := range []test{
		{"never begun", NotIdempotent, func(*cluster) {}, nil, Execute, NoResponse},
		{"begun, not idempotent", NotIdempotent, begin(NotIdempotent), nil, ReturnStored, Failed},
		{"begun, idempotent by key", IdempotentByKey, begin(IdempotentByKey), nil, Execute, NoResponse},
		{"begun, idempotent", Idempotent, begin(Idempotent), nil, Execute, NoResponse},
		{"completed, not idempotent", NotIdempotent, complete(NotIdempotent), nil, ReturnStored, Served},
		{"completed, idempotent by key", IdempotentByKey, complete(IdempotentByKey), nil, ReturnStored, Served},
		{"completed, two of three replicas lost", NotIdempotent, complete(NotIdempotent), []string{"m001"}, ReturnStored, Served},
		{"begun, two of three replicas lost, not idempotent", NotIdempotent, begin(NotIdempotent), []string{"m001"}, QuorumUnavailable, NoResponse},
		{"never begun, two of three replicas lost", NotIdempotent, func(*cluster) {}, []string{"m001"}, QuorumUnavailable, NoResponse},
	} {
		f := newCluster(3, 3)
		c.run(f)
		f.takeEvents("m000")
		for _, name := range append(c.lost, "m000") {
			f.dead[name] = true
		}
		f.evict(append(c.lost, "m000")...)
		f.nodes["m002"].Resume(f.now, record("x", c.idempotency))
		f.settle()
		f.advance(2 * testQuorumTimeout)
		e := f.lastEvent("m002")
		if e.Decision != c.want || e.Record.Response.Status != c.wantStatus || c.want == QuorumUnavailable && c.idempotency == NotIdempotent && e.Fallback(true) != FailRequest {
			t.Errorf("%s: got decision %v in event %+v, want %v with response status %d", c.name, e.Decision, e, c.want, c.wantStatus)
		}
	}
}

// A resume of a request whose owner is still a member waits for the owner's response and returns that response.
func TestResumeWaitsForOwnerThatIsMember(t *testing.T) {
	f := newCluster(5, 3)
	f.nodes["m000"].Begin(f.now, record("x", NotIdempotent))
	f.settle()
	for _, name := range []string{"m003", "m004"} {
		f.nodes[name].Resume(f.now, record("x", NotIdempotent))
	}
	f.advance(5 * testQuorumTimeout)
	if a, b := f.takeEvents("m003"), f.takeEvents("m004"); len(a)+len(b) > 0 {
		t.Fatalf("got events %v and %v before the owner had a response, want none", a, b)
	}
	f.nodes["m000"].Complete(f.now, "x", Response{Status: Served, Body: []byte("yes")})
	f.advance(2 * testResendInterval)
	for _, name := range []string{"m003", "m004"} {
		if e := f.lastEvent(name); e.Decision != ReturnStored || string(e.Record.Response.Body) != "yes" {
			t.Errorf("%s: got event %+v, want the owner's response", name, e)
		}
	}
}

// If two members resume a request at once, one member executes the request and the other returns the response of that execution.
func TestConcurrentResumesExecuteOnce(t *testing.T) {
	f := newCluster(3, 3)
	for _, name := range f.names[1:] {
		f.nodes[name].Resume(f.now, record("x", NotIdempotent))
	}
	f.advance(10 * testResendInterval)
	executor, other := "", ""
	for _, name := range f.names[1:] {
		for _, e := range f.takeEvents(name) {
			if e.Decision == Execute && executor == "" {
				executor = name
			} else {
				t.Errorf("%s: got decision %v, want a single execute among all members", name, e.Decision)
			}
		}
	}
	for _, name := range f.names[1:] {
		if name != executor {
			other = name
		}
	}
	if executor == "" {
		t.Fatal("no member executes the request")
	}
	f.nodes[executor].Complete(f.now, "x", Response{Status: Served, Body: []byte("one")})
	f.advance(4 * testResendInterval)
	if e := f.lastEvent(other); e.Decision != ReturnStored || string(e.Record.Response.Body) != "one" {
		t.Errorf("%s: got event %+v, want the response of %s", other, e, executor)
	}
}

// A request that is idempotent by key and marked as sent is taken over by exactly one replica without its client. Without the mark
// its owner may have rejected it, so it is not taken over.
func TestOnlySentRequestIsTakenOverWithoutItsClient(t *testing.T) {
	for _, markedSent := range []bool{false, true} {
		f := newCluster(4, 3)
		f.nodes["m000"].Begin(f.now, record("x", IdempotentByKey))
		f.settle()
		if markedSent {
			f.advance(2 * testResendInterval)
		}
		f.dead["m000"] = true
		f.evict("m000")
		f.advance(20)
		takeovers := 0
		for _, name := range f.names[1:] {
			for _, e := range f.takeEvents(name) {
				if e.Decision == OwnerEvicted {
					takeovers++
				}
			}
		}
		if want := map[bool]int{true: 1}[markedSent]; takeovers != want {
			t.Errorf("request marked as sent: %t: got %d takeovers, want %d", markedSent, takeovers, want)
		}
	}
}

// A replica that has restarted without its entries refuses promises and writes for requests that may have been claimed before the
// restart, until those requests are too old to be resumed.
func TestRestartedReplicaRefusesOlderRequests(t *testing.T) {
	f := newCluster(3, 3)
	f.nodes["m000"].Begin(f.now, record("x", NotIdempotent))
	f.settle()
	f.takeEvents("m000")
	config := f.nodes["m001"].config
	config.Self.Incarnation = 2
	n := New(config)
	v := &View{Epoch: f.view.Epoch + 2, Members: map[Member]MemberInfo{
		f.member("m000"): {JoinedEpoch: 1, FirstIncarnation: true}, f.member("m002"): {JoinedEpoch: 3, FirstIncarnation: true}, config.Self: {JoinedEpoch: f.view.Epoch + 2},
	}}
	n.ApplyView(f.now, v)
	reply := func(now int64, k MessageKind, id string, epoch uint64) MessageKind {
		rec := record(id, NotIdempotent)
		rec.Owner, rec.Epoch = f.member("m000"), epoch
		m := &Message{Kind: k, ID: id, Ballot: Ballot{Round: 3, Proposer: rec.Owner}, Epoch: v.Epoch, Digest: 7, Record: &rec}
		n.Handle(now, rec.Owner, m)
		return n.TakeMessages()[0].Kind
	}
	for _, c := range []struct {
		now   int64
		kind  MessageKind
		id    string
		epoch uint64
		want  MessageKind
	}{
		{f.now, Prepare, "y", 0, ReplicaTooNew}, {f.now, Write, "y", v.Epoch - 1, ReplicaTooNew}, {f.now, Write, "z", v.Epoch, Accepted}, {f.now, Prepare, "z", 0, HigherBallot},
		{f.now + testMaxRequestAge, Prepare, "y", 0, Promised},
	} {
		if got := reply(c.now, c.kind, c.id, c.epoch); got != c.want {
			t.Errorf("%+v: got reply kind %d, want %d", c, got, c.want)
		}
	}
}

// A replica's memory is bounded, a resume after expiry of the record fails, and a second request with a used id is detected.
func TestReplicaBoundsMemoryAndDetectsUsedIDs(t *testing.T) {
	f := newCluster(3, 3)
	first := record("first", NotIdempotent)
	f.nodes["m000"].Begin(f.now, first)
	f.settle()
	f.nodes["m000"].Complete(f.now, "first", Response{Status: Served})
	f.settle()
	for i := range 200 {
		f.nodes["m000"].Begin(f.now, record(fmt.Sprint(i), NotIdempotent))
		f.settle()
	}
	for _, name := range f.names {
		if n, b := f.nodes[name].Usage(); n > 100 || b > 100_000 {
			t.Errorf("%s: got %d records with %d bytes, want at most 100 records with 100000 bytes", name, n, b)
		}
	}
	unavailable := 0
	for _, e := range f.takeEvents("m000") {
		if e.Decision == QuorumUnavailable && e.NeverSent && e.Fallback(true) == FailRequest && e.Fallback(false) == SendWithoutRecord {
			unavailable++
			f.nodes["m000"].Drop(e.ID)
		}
	}
	if unavailable < 100 {
		t.Errorf("got %d requests without a quorum because replicas are full, want at least 100", unavailable)
	}
	other := first
	other.Digest++
	f.nodes["m002"].Resume(f.now, other)
	f.settle()
	if e := f.lastEvent("m002"); e.Decision != DuplicateID {
		t.Errorf("resume of another request with a used id: got event %+v, want duplicate_id", e)
	}
	f.advance(2*testRetention + testMaxRequestAge)
	if n, b := f.nodes["m001"].Usage(); n != 0 || b != 0 {
		t.Errorf("got %d records with %d bytes after their expiry, want none", n, b)
	}
	f.nodes["m002"].Resume(f.now, first)
	f.settle()
	if e := f.lastEvent("m002"); e.Decision != ReturnStored || e.Record.Response.Status != Failed {
		t.Errorf("resume after expiry: got event %+v, want return_stored with a failed response", e)
	}
}

// The number of messages per request is bounded whatever the size of the fleet: at most 3 replicas, with two writes and two replies
// each.
func TestMessagesPerRequestDoNotGrowWithFleetSize(t *testing.T) {
	messagesPerRequest := func(n int) float64 {
		f := newCluster(n, 3)
		const requests = 60
		for i := range requests {
			id := fmt.Sprint("r", i)
			owner := f.nodes[f.names[i%n]]
			owner.Begin(f.now, record(id, NotIdempotent))
			f.settle()
			owner.Complete(f.now, id, Response{Status: Served})
			f.settle()
		}
		return float64(f.messageCount) / requests
	}
	for _, n := range []int{3, 9, 300} {
		got := messagesPerRequest(n)
		t.Logf("%d members: %.1f messages per request", n, got)
		if got > 12 {
			t.Errorf("%d members: got %.1f messages per request, want at most 12", n, got)
		}
	}
}

// BenchmarkRequest measures the processing of one request by an owner and its replicas, without encoding and sockets.
func BenchmarkRequest(b *testing.B) {
	f := newCluster(3, 3)
	for _, n := range f.nodes {
		n.config.MaxRecords, n.config.MaxBytes = 1<<20, 1<<30
	}
	b.ReportAllocs()
	for i := range b.N {
		id := fmt.Sprint(i)
		f.nodes["m000"].Begin(f.now, record(id, IdempotentByKey))
		f.settle()
		f.nodes["m000"].Complete(f.now, id, Response{Status: Served, Body: []byte("yes")})
		f.settle()
		if f.takeEvents("m000"); i%10_000 == 9_999 {
			f.advance(2*testRetention + testMaxRequestAge)
		}
	}
}
