package takeover

import (
	"fmt"
	"testing"
)

const (
	testWait, testAgain, testLongest, testKeep = 300, 30, 2000, 10_000
)

// fleet is members that talk without loss, in the order of sending.
type fleet struct {
	now   int64
	names []string
	nodes map[string]*Node
	view  *View
	dead  map[string]bool
	sent  int
	said  map[string][]Event // by member
}

func newFleet(n, holders int) *fleet {
	f := &fleet{nodes: map[string]*Node{}, view: &View{Members: map[Member]MemberInfo{}}, dead: map[string]bool{}, said: map[string][]Event{}}
	for i := range n {
		name := fmt.Sprintf("m%03d", i)
		f.names = append(f.names, name)
		f.view.Epoch++
		f.view.Members[f.member(name)] = MemberInfo{JoinedEpoch: f.view.Epoch, FirstIncarnation: true}
	}
	for _, name := range f.names {
		f.nodes[name] = New(Config{
			Self: f.member(name), MemberNames: f.names, ReplicationFactor: holders, MaxRecords: 100, MaxBytes: 100_000, Retention: testKeep, MaxRequestAge: testLongest, QuorumTimeout: testWait, ResendInterval: testAgain,
			TakeoverStagger: 300,
		})
	}
	f.see()
	return f
}

func (f *fleet) member(name string) Member { return Member{Name: name, Incarnation: 1} }

func (f *fleet) see() {
	for _, name := range f.names {
		if !f.dead[name] {
			f.nodes[name].ApplyView(f.now, f.view)
		}
	}
	f.settle()
}

// settle delivers until nothing is on its way.
func (f *fleet) settle() {
	for busy := true; busy; {
		busy = false
		for _, name := range f.names {
			if f.dead[name] {
				continue
			}
			f.said[name] = append(f.said[name], f.nodes[name].TakeEvents()...)
			for _, t := range f.nodes[name].TakeMessages() {
				f.sent++
				busy = true
				if !f.dead[t.To] {
					f.nodes[t.To].Handle(f.now, f.member(name), &t.Message)
				}
			}
		}
	}
}

func (f *fleet) pass(by int64) {
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

// out puts members out, dead or not.
func (f *fleet) out(names ...string) {
	v := &View{Epoch: f.view.Epoch, Members: map[Member]MemberInfo{}}
	for m, s := range f.view.Members {
		v.Members[m] = s
	}
	for _, name := range names {
		v.Epoch++
		delete(v.Members, f.member(name))
	}
	f.view = v
	f.see()
}

// heard returns what a member was told since the last call.
func (f *fleet) heard(name string) (out []Event) {
	out, f.said[name] = f.said[name], nil
	return out
}

func (f *fleet) last(name string) Event {
	all := f.heard(name)
	if len(all) == 0 {
		return Event{Decision: 99}
	}
	return all[len(all)-1]
}

func record(id string, e Idempotency) Record {
	r := Record{ID: id, Digest: 7, Idempotency: e, DeadlineAge: testLongest, Class: "c"}
	if e == IdempotentByKey {
		r.Request = []byte("what goes on")
	}
	return r
}

// What becomes of a request whose first taker is lost, by how far it had come, by effect and by who else is lost.
func TestWhatATakerDoes(t *testing.T) {
	served := Response{Status: Served, Body: []byte("yes")}
	type test struct {
		name   string
		effect Idempotency
		do     func(f *fleet) // the first taker's part, before it dies
		lost   []string       // besides it
		want   Decision
		answer ResponseStatus
	}
	take := func(e Idempotency) func(*fleet) {
		return func(f *fleet) { f.nodes["m000"].Begin(f.now, record("x", e)); f.settle() }
	}
	answered := func(e Idempotency) func(*fleet) {
		return func(f *fleet) { take(e)(f); f.nodes["m000"].Complete(f.now, "x", served); f.settle() }
	}
	for _, c := range []test{
		{"never begun", NotIdempotent, func(*fleet) {}, nil, Execute, NoResponse},
		{"begun, unsafe", NotIdempotent, take(NotIdempotent), nil, ReturnStored, Failed},
		{"begun, keyed", IdempotentByKey, take(IdempotentByKey), nil, Execute, NoResponse},
		{"begun, safe", Idempotent, take(Idempotent), nil, Execute, NoResponse},
		{"answered, unsafe", NotIdempotent, answered(NotIdempotent), nil, ReturnStored, Served},
		{"answered, keyed", IdempotentByKey, answered(IdempotentByKey), nil, ReturnStored, Served},
		{"answered, all holders but one lost", NotIdempotent, answered(NotIdempotent), []string{"m001"}, ReturnStored, Served},
		{"begun, all holders but one lost, unsafe", NotIdempotent, take(NotIdempotent), []string{"m001"}, QuorumUnavailable, NoResponse},
		{"never begun, no quorum can say so", NotIdempotent, func(*fleet) {}, []string{"m001"}, QuorumUnavailable, NoResponse},
	} {
		f := newFleet(3, 3)
		c.do(f)
		f.heard("m000")
		for _, name := range append(c.lost, "m000") {
			f.dead[name] = true
		}
		f.out(append(c.lost, "m000")...)
		f.nodes["m002"].Resume(f.now, record("x", c.effect))
		f.settle()
		f.pass(2 * testWait)
		e := f.last("m002")
		if e.Decision != c.want || e.Record.Response.Status != c.answer || c.want == QuorumUnavailable && c.effect == NotIdempotent && e.Fallback(true) != FailRequest {
			t.Errorf("%s: %v %+v", c.name, e.Decision, e)
		}
	}
}

// A living owner keeps its request: who asks for it waits for the owner's answer, and gets the same.
func TestALivingOwnerIsWaitedFor(t *testing.T) {
	f := newFleet(5, 3)
	f.nodes["m000"].Begin(f.now, record("x", NotIdempotent))
	f.settle()
	for _, name := range []string{"m003", "m004"} {
		f.nodes[name].Resume(f.now, record("x", NotIdempotent))
	}
	f.pass(5 * testWait)
	if a, b := f.heard("m003"), f.heard("m004"); len(a)+len(b) > 0 {
		t.Fatalf("did not wait: %v %v", a, b)
	}
	f.nodes["m000"].Complete(f.now, "x", Response{Status: Served, Body: []byte("yes")})
	f.pass(2 * testAgain)
	for _, name := range []string{"m003", "m004"} {
		if e := f.last(name); e.Decision != ReturnStored || string(e.Record.Response.Body) != "yes" {
			t.Errorf("%s: %+v", name, e)
		}
	}
}

// Of two that ask at once one runs it, and the other gets that one's answer.
func TestTwoAskAtOnce(t *testing.T) {
	f := newFleet(3, 3)
	for _, name := range f.names[1:] {
		f.nodes[name].Resume(f.now, record("x", NotIdempotent))
	}
	f.pass(10 * testAgain)
	runs, other := "", ""
	for _, name := range f.names[1:] {
		for _, e := range f.heard(name) {
			if e.Decision == Execute && runs == "" {
				runs = name
			} else {
				t.Errorf("%s: %v", name, e.Decision)
			}
		}
	}
	for _, name := range f.names[1:] {
		if name != runs {
			other = name
		}
	}
	if runs == "" {
		t.Fatal("nobody runs it")
	}
	f.nodes[runs].Complete(f.now, "x", Response{Status: Served, Body: []byte("one")})
	f.pass(4 * testAgain)
	if e := f.last(other); e.Decision != ReturnStored || string(e.Record.Response.Body) != "one" {
		t.Errorf("%+v", e)
	}
}

// Keyed work that was under way is taken over unasked by one holder, work that may have been refused is not.
func TestTakenOverUnasked(t *testing.T) {
	for _, marked := range []bool{false, true} {
		f := newFleet(4, 3)
		f.nodes["m000"].Begin(f.now, record("x", IdempotentByKey))
		f.settle()
		if marked {
			f.pass(2 * testAgain)
		}
		f.dead["m000"] = true
		f.out("m000")
		f.pass(20)
		orphans := 0
		for _, name := range f.names[1:] {
			for _, e := range f.heard(name) {
				if e.Decision == OwnerEvicted {
					orphans++
				}
			}
		}
		if want := map[bool]int{true: 1}[marked]; orphans != want {
			t.Errorf("marked %t: taken over %d times, want %d", marked, orphans, want)
		}
	}
}

// A holder that has forgotten says so: it neither testifies nor takes what was begun before it came.
func TestAHolderThatRestarted(t *testing.T) {
	f := newFleet(3, 3)
	f.nodes["m000"].Begin(f.now, record("x", NotIdempotent))
	f.settle()
	f.heard("m000")
	conf := f.nodes["m001"].conf
	conf.Self.Incarnation = 2
	n := New(conf)
	v := &View{Epoch: f.view.Epoch + 2, Members: map[Member]MemberInfo{
		f.member("m000"): {JoinedEpoch: 1, FirstIncarnation: true}, f.member("m002"): {JoinedEpoch: 3, FirstIncarnation: true}, conf.Self: {JoinedEpoch: f.view.Epoch + 2},
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
		{f.now, Prepare, "y", 0, NotYetMember}, {f.now, Write, "y", v.Epoch - 1, NotYetMember}, {f.now, Write, "z", v.Epoch, Accepted}, {f.now, Prepare, "z", 0, HigherBallot},
		{f.now + testLongest, Prepare, "y", 0, Promised},
	} {
		if got := ask(c.now, c.kind, c.id, c.epoch); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
}

// Memory is bounded, what is forgotten is known to be forgotten, and another request under an id is told apart.
func TestHoldersAreBounded(t *testing.T) {
	f := newFleet(3, 3)
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
			t.Errorf("%s holds %d records of %d bytes", name, n, b)
		}
	}
	missing := 0
	for _, e := range f.heard("m000") {
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
	if e := f.last("m002"); e.Decision != DuplicateID {
		t.Errorf("another request under an id: %+v", e)
	}
	f.pass(2*testKeep + testLongest)
	if n, b := f.nodes["m001"].Usage(); n != 0 || b != 0 {
		t.Errorf("%d records of %d bytes are left", n, b)
	}
	f.nodes["m002"].Resume(f.now, first)
	f.settle()
	if e := f.last("m002"); e.Decision != ReturnStored || e.Record.Response.Status != Failed {
		t.Errorf("after it expired: %+v", e)
	}
}

// Messages a request do not grow with the fleet.
func TestMessagesAreFlat(t *testing.T) {
	each := func(n int) float64 {
		f := newFleet(n, 3)
		const requests = 60
		for i := range requests {
			id := fmt.Sprint("r", i)
			owner := f.nodes[f.names[i%n]]
			owner.Begin(f.now, record(id, NotIdempotent))
			f.settle()
			owner.Complete(f.now, id, Response{Status: Served})
			f.settle()
		}
		return float64(f.sent) / requests
	}
	for _, n := range []int{3, 9, 300} {
		got := each(n)
		t.Logf("%d members: %.1f messages a request", n, got)
		if got > 12 {
			t.Errorf("%d members: %.1f messages a request, at most 3 holders, two writes, each answered", n, got)
		}
	}
}

// BenchmarkRequest is the price of one request at all three holders together, without encoding and sockets.
func BenchmarkRequest(b *testing.B) {
	f := newFleet(3, 3)
	for _, n := range f.nodes {
		n.conf.MaxRecords, n.conf.MaxBytes = 1<<20, 1<<30
	}
	b.ReportAllocs()
	for i := range b.N {
		id := fmt.Sprint(i)
		f.nodes["m000"].Begin(f.now, record(id, IdempotentByKey))
		f.settle()
		f.nodes["m000"].Complete(f.now, id, Response{Status: Served, Body: []byte("yes")})
		f.settle()
		if f.heard("m000"); i%10_000 == 9_999 {
			f.pass(2*testKeep + testLongest)
		}
	}
}
