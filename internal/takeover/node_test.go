package takeover

import (
	"fmt"
	"testing"
)

const (
	testQuorumTimeout, testResendInterval, testMaxRequestAge, testRetention = 300, 30, 2000, 10_000
)

// cluster is a set of nodes whose messages are delivered without loss, in the order of sending.
type cluster struct {
	now          int64
	names        []string
	nodes        map[string]*Node
	view         *View
	dead         map[string]bool
	messageCount int
	events       map[string][]Event // by member, since the last takeEvents
}

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

func (f *cluster) applyView() {
	for _, name := range f.names {
		if !f.dead[name] {
			f.nodes[name].ApplyView(f.now, f.view)
		}
	}
	f.settle()
}

// settle delivers messages until none is in flight.
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

// takeEvents returns the events of a member since the last call.
func (f *cluster) takeEvents(name string) (out []Event) {
	out, f.events[name] = f.events[name], nil
	return out
}

func (f *cluster) lastEvent(name string) Event {
	all := f.takeEvents(name)
	if len(all) == 0 {
		return Event{Decision: 99}
	}
	return all[len(all)-1]
}

func record(id string, e Idempotency) Record {
	r := Record{ID: id, Digest: 7, Idempotency: e, DeadlineAge: testMaxRequestAge, Class: "c"}
	if e == IdempotentByKey {
		r.Request = []byte("what goes on")
	}
	return r
}

// What a resume decides after the loss of the first owner: by progress, idempotency and the loss of a further replica.
func TestTakeoverDecisions(t *testing.T) {
	served := Response{Status: Served, Body: []byte("yes")}
	type test struct {
		name   string
		effect Idempotency
		do     func(f *cluster) // the first owner's part, before it dies
		lost   []string         // besides the first owner
		want   Decision
		answer ResponseStatus
	}
	take := func(e Idempotency) func(*cluster) {
		return func(f *cluster) { f.nodes["m000"].Begin(f.now, record("x", e)); f.settle() }
	}
	answered := func(e Idempotency) func(*cluster) {
		return func(f *cluster) { take(e)(f); f.nodes["m000"].Complete(f.now, "x", served); f.settle() }
	}
	for _, c := range []test{
		{"never begun", NotIdempotent, func(*cluster) {}, nil, Execute, NoResponse},
		{"begun, unsafe", NotIdempotent, take(NotIdempotent), nil, ReturnStored, Failed},
		{"begun, keyed", IdempotentByKey, take(IdempotentByKey), nil, Execute, NoResponse},
		{"begun, safe", Idempotent, take(Idempotent), nil, Execute, NoResponse},
		{"answered, unsafe", NotIdempotent, answered(NotIdempotent), nil, ReturnStored, Served},
		{"answered, keyed", IdempotentByKey, answered(IdempotentByKey), nil, ReturnStored, Served},
		{"answered, all replicas but one lost", NotIdempotent, answered(NotIdempotent), []string{"m001"}, ReturnStored, Served},
		{"begun, all replicas but one lost, unsafe", NotIdempotent, take(NotIdempotent), []string{"m001"}, QuorumUnavailable, NoResponse},
		{"never begun, no quorum can say so", NotIdempotent, func(*cluster) {}, []string{"m001"}, QuorumUnavailable, NoResponse},
	} {
		f := newCluster(3, 3)
		c.do(f)
		f.takeEvents("m000")
		for _, name := range append(c.lost, "m000") {
			f.dead[name] = true
		}
		f.evict(append(c.lost, "m000")...)
		f.nodes["m002"].Resume(f.now, record("x", c.effect))
		f.settle()
		f.advance(2 * testQuorumTimeout)
		e := f.lastEvent("m002")
		if e.Decision != c.want || e.Record.Response.Status != c.answer || c.want == QuorumUnavailable && c.effect == NotIdempotent && e.Fallback(true) != FailRequest {
			t.Errorf("%s: %v %+v", c.name, e.Decision, e)
		}
	}
}

// An owner that is a member keeps its request: a resume elsewhere waits for its response and returns the same.
func TestResumeWaitsForOwnerThatIsMember(t *testing.T) {
	f := newCluster(5, 3)
	f.nodes["m000"].Begin(f.now, record("x", NotIdempotent))
	f.settle()
	for _, name := range []string{"m003", "m004"} {
		f.nodes[name].Resume(f.now, record("x", NotIdempotent))
	}
	f.advance(5 * testQuorumTimeout)
	if a, b := f.takeEvents("m003"), f.takeEvents("m004"); len(a)+len(b) > 0 {
		t.Fatalf("did not wait: %v %v", a, b)
	}
	f.nodes["m000"].Complete(f.now, "x", Response{Status: Served, Body: []byte("yes")})
	f.advance(2 * testResendInterval)
	for _, name := range []string{"m003", "m004"} {
		if e := f.lastEvent(name); e.Decision != ReturnStored || string(e.Record.Response.Body) != "yes" {
			t.Errorf("%s: %+v", name, e)
		}
	}
}

// Of two members that resume a request at once one executes it, and the other returns the first one's response.
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
				t.Errorf("%s: %v", name, e.Decision)
			}
		}
	}
	for _, name := range f.names[1:] {
		if name != executor {
			other = name
		}
	}
	if executor == "" {
		t.Fatal("no member executes it")
	}
	f.nodes[executor].Complete(f.now, "x", Response{Status: Served, Body: []byte("one")})
	f.advance(4 * testResendInterval)
	if e := f.lastEvent(other); e.Decision != ReturnStored || string(e.Record.Response.Body) != "one" {
		t.Errorf("%+v", e)
	}
}

// A request that is idempotent by key and was sent is taken over by one replica without its client; one that may have been
// rejected is not.
func TestTakeoverWithoutTheClient(t *testing.T) {
	for _, announced := range []bool{false, true} {
		f := newCluster(4, 3)
		f.nodes["m000"].Begin(f.now, record("x", IdempotentByKey))
		f.settle()
		if announced {
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
		if want := map[bool]int{true: 1}[announced]; takeovers != want {
			t.Errorf("announced %t: taken over %d times, want %d", announced, takeovers, want)
		}
	}
}

// A replica that has restarted without its entries says so: it neither promises nor accepts for requests claimed before.
func TestRestartedReplicaDoesNotTestify(t *testing.T) {
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
	ask := func(now int64, k MessageKind, id string, epoch uint64) MessageKind {
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
		if got := ask(c.now, c.kind, c.id, c.epoch); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
}

// Memory is bounded, an expired record is known to have expired, and another request under the same id is detected.
func TestReplicaMemoryIsBounded(t *testing.T) {
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
			t.Errorf("%s stores %d records of %d bytes", name, n, b)
		}
	}
	missing := 0
	for _, e := range f.takeEvents("m000") {
		if e.Decision == QuorumUnavailable && e.NeverSent && e.Fallback(true) == FailRequest && e.Fallback(false) == SendWithoutRecord {
			missing++
			f.nodes["m000"].Drop(e.ID)
		}
	}
	if missing < 100 {
		t.Errorf("%d told that there is no room", missing)
	}
	other := first
	other.Digest++
	f.nodes["m002"].Resume(f.now, other)
	f.settle()
	if e := f.lastEvent("m002"); e.Decision != DuplicateID {
		t.Errorf("another request under an id: %+v", e)
	}
	f.advance(2*testRetention + testMaxRequestAge)
	if n, b := f.nodes["m001"].Usage(); n != 0 || b != 0 {
		t.Errorf("%d records of %d bytes are left", n, b)
	}
	f.nodes["m002"].Resume(f.now, first)
	f.settle()
	if e := f.lastEvent("m002"); e.Decision != ReturnStored || e.Record.Response.Status != Failed {
		t.Errorf("after it expired: %+v", e)
	}
}

// The messages per request do not grow with the fleet.
func TestMessagesPerRequestDoNotGrowWithTheFleet(t *testing.T) {
	each := func(n int) float64 {
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
		got := each(n)
		t.Logf("%d members: %.1f messages a request", n, got)
		if got > 12 {
			t.Errorf("%d members: %.1f messages a request, at most 3 replicas, two writes, each with a reply", n, got)
		}
	}
}

// BenchmarkRequest measures one request at all three replicas together, without encoding and sockets.
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
