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
	f := &fleet{nodes: map[string]*Node{}, view: &View{Live: map[Member]Standing{}}, dead: map[string]bool{}, said: map[string][]Event{}}
	for i := range n {
		name := fmt.Sprintf("m%03d", i)
		f.names = append(f.names, name)
		f.view.Epoch++
		f.view.Live[f.member(name)] = Standing{Joined: f.view.Epoch, First: true}
	}
	for _, name := range f.names {
		f.nodes[name] = New(Config{
			Me: f.member(name), Names: f.names, Holders: holders, Records: 100, Bytes: 100_000, Keep: testKeep, Longest: testLongest, Wait: testWait, Again: testAgain,
			Stagger: 300,
		})
	}
	f.see()
	return f
}

func (f *fleet) member(name string) Member { return Member{Name: name, Incarnation: 1} }

func (f *fleet) see() {
	for _, name := range f.names {
		if !f.dead[name] {
			f.nodes[name].See(f.now, f.view)
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
			f.said[name] = append(f.said[name], f.nodes[name].Events()...)
			for _, t := range f.nodes[name].Sent() {
				f.sent++
				busy = true
				if !f.dead[t.Name] {
					f.nodes[t.Name].Handle(f.now, f.member(name), &t.Message)
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
	v := &View{Epoch: f.view.Epoch, Live: map[Member]Standing{}}
	for m, s := range f.view.Live {
		v.Live[m] = s
	}
	for _, name := range names {
		v.Epoch++
		delete(v.Live, f.member(name))
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
		return Event{Does: 99}
	}
	return all[len(all)-1]
}

func record(id string, e Effect) Record {
	r := Record{ID: id, Digest: 7, Effect: e, Life: testLongest, Class: "c"}
	if e == Keyed {
		r.Request = []byte("what goes on")
	}
	return r
}

// What becomes of a request whose first taker is lost, by how far it had come, by effect and by who else is lost.
func TestWhatATakerDoes(t *testing.T) {
	served := Answer{Verdict: Served, Body: []byte("yes")}
	type test struct {
		name   string
		effect Effect
		do     func(f *fleet) // the first taker's part, before it dies
		lost   []string       // besides it
		want   Does
		answer Verdict
	}
	take := func(e Effect) func(*fleet) {
		return func(f *fleet) { f.nodes["m000"].Take(f.now, record("x", e)); f.settle() }
	}
	answered := func(e Effect) func(*fleet) {
		return func(f *fleet) { take(e)(f); f.nodes["m000"].Answered(f.now, "x", served); f.settle() }
	}
	for _, c := range []test{
		{"never begun", Unsafe, func(*fleet) {}, nil, Run, None},
		{"begun, unsafe", Unsafe, take(Unsafe), nil, Give, Failed},
		{"begun, keyed", Keyed, take(Keyed), nil, Run, None},
		{"begun, safe", Safe, take(Safe), nil, Run, None},
		{"answered, unsafe", Unsafe, answered(Unsafe), nil, Give, Served},
		{"answered, keyed", Keyed, answered(Keyed), nil, Give, Served},
		{"answered, all holders but one lost", Unsafe, answered(Unsafe), []string{"m001"}, Give, Served},
		{"begun, all holders but one lost, unsafe", Unsafe, take(Unsafe), []string{"m001"}, Missing, None},
		{"never begun, no quorum can say so", Unsafe, func(*fleet) {}, []string{"m001"}, Missing, None},
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
		if e.Does != c.want || e.Record.Answer.Verdict != c.answer || c.want == Missing && c.effect == Unsafe && e.Next(true) != Fail {
			t.Errorf("%s: %v %+v", c.name, e.Does, e)
		}
	}
}

// A living owner keeps its request: who asks for it waits for the owner's answer, and gets the same.
func TestALivingOwnerIsWaitedFor(t *testing.T) {
	f := newFleet(5, 3)
	f.nodes["m000"].Take(f.now, record("x", Unsafe))
	f.settle()
	for _, name := range []string{"m003", "m004"} {
		f.nodes[name].Resume(f.now, record("x", Unsafe))
	}
	f.pass(5 * testWait)
	if a, b := f.heard("m003"), f.heard("m004"); len(a)+len(b) > 0 {
		t.Fatalf("did not wait: %v %v", a, b)
	}
	f.nodes["m000"].Answered(f.now, "x", Answer{Verdict: Served, Body: []byte("yes")})
	f.pass(2 * testAgain)
	for _, name := range []string{"m003", "m004"} {
		if e := f.last(name); e.Does != Give || string(e.Record.Answer.Body) != "yes" {
			t.Errorf("%s: %+v", name, e)
		}
	}
}

// Of two that ask at once one runs it, and the other gets that one's answer.
func TestTwoAskAtOnce(t *testing.T) {
	f := newFleet(3, 3)
	for _, name := range f.names[1:] {
		f.nodes[name].Resume(f.now, record("x", Unsafe))
	}
	f.pass(10 * testAgain)
	runs, other := "", ""
	for _, name := range f.names[1:] {
		for _, e := range f.heard(name) {
			if e.Does == Run && runs == "" {
				runs = name
			} else {
				t.Errorf("%s: %v", name, e.Does)
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
	f.nodes[runs].Answered(f.now, "x", Answer{Verdict: Served, Body: []byte("one")})
	f.pass(4 * testAgain)
	if e := f.last(other); e.Does != Give || string(e.Record.Answer.Body) != "one" {
		t.Errorf("%+v", e)
	}
}

// Keyed work that was under way is taken over unasked by one holder, work that may have been refused is not.
func TestTakenOverUnasked(t *testing.T) {
	for _, marked := range []bool{false, true} {
		f := newFleet(4, 3)
		f.nodes["m000"].Take(f.now, record("x", Keyed))
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
				if e.Does == Orphan {
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
	f.nodes["m000"].Take(f.now, record("x", Unsafe))
	f.settle()
	f.heard("m000")
	conf := f.nodes["m001"].conf
	conf.Me.Incarnation = 2
	n := New(conf)
	v := &View{Epoch: f.view.Epoch + 2, Live: map[Member]Standing{
		f.member("m000"): {Joined: 1, First: true}, f.member("m002"): {Joined: 3, First: true}, conf.Me: {Joined: f.view.Epoch + 2},
	}}
	n.See(f.now, v)
	ask := func(now int64, k Kind, id string, epoch uint64) Kind {
		rec := record(id, Unsafe)
		rec.Owner, rec.Epoch = f.member("m000"), epoch
		m := &Message{Kind: k, ID: id, Ballot: Ballot{Round: 3, By: rec.Owner}, Epoch: v.Epoch, Digest: 7, Record: &rec}
		n.Handle(now, rec.Owner, m)
		return n.Sent()[0].Kind
	}
	for _, c := range []struct {
		now   int64
		kind  Kind
		id    string
		epoch uint64
		want  Kind
	}{
		{f.now, Ask, "y", 0, Young}, {f.now, Write, "y", v.Epoch - 1, Young}, {f.now, Write, "z", v.Epoch, Accepted}, {f.now, Ask, "z", 0, Outbid},
		{f.now + testLongest, Ask, "y", 0, Promised},
	} {
		if got := ask(c.now, c.kind, c.id, c.epoch); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
}

// Memory is bounded, what is forgotten is known to be forgotten, and another request under an id is told apart.
func TestHoldersAreBounded(t *testing.T) {
	f := newFleet(3, 3)
	first := record("first", Unsafe)
	f.nodes["m000"].Take(f.now, first)
	f.settle()
	f.nodes["m000"].Answered(f.now, "first", Answer{Verdict: Served})
	f.settle()
	for i := range 200 {
		f.nodes["m000"].Take(f.now, record(fmt.Sprint(i), Unsafe))
		f.settle()
	}
	for _, name := range f.names {
		if n, b := f.nodes[name].Held(); n > 100 || b > 100_000 {
			t.Errorf("%s holds %d records of %d bytes", name, n, b)
		}
	}
	missing := 0
	for _, e := range f.heard("m000") {
		if e.Does == Missing && e.Fresh && e.Next(true) == Fail && e.Next(false) == GoOn {
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
	if e := f.last("m002"); e.Does != Doubled {
		t.Errorf("another request under an id: %+v", e)
	}
	f.pass(2*testKeep + testLongest)
	if n, b := f.nodes["m001"].Held(); n != 0 || b != 0 {
		t.Errorf("%d records of %d bytes are left", n, b)
	}
	f.nodes["m002"].Resume(f.now, first)
	f.settle()
	if e := f.last("m002"); e.Does != Give || e.Record.Answer.Verdict != Failed {
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
			owner.Take(f.now, record(id, Unsafe))
			f.settle()
			owner.Answered(f.now, id, Answer{Verdict: Served})
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
		n.conf.Records, n.conf.Bytes = 1<<20, 1<<30
	}
	b.ReportAllocs()
	for i := range b.N {
		id := fmt.Sprint(i)
		f.nodes["m000"].Take(f.now, record(id, Keyed))
		f.settle()
		f.nodes["m000"].Answered(f.now, id, Answer{Verdict: Served, Body: []byte("yes")})
		f.settle()
		if f.heard("m000"); i%10_000 == 9_999 {
			f.pass(2*testKeep + testLongest)
		}
	}
}
