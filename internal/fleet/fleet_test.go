package fleet

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"damsonscale/internal/audit"
	"damsonscale/internal/auditevent"
	"damsonscale/internal/frame"
	"damsonscale/internal/options"
	"damsonscale/internal/takeover"
)

func member(name string, n uint64) takeover.Member {
	return takeover.Member{Name: name, Incarnation: n}
}

// The epoch counts what changed, and no late or doubled word changes anything.
func TestRoster(t *testing.T) {
	r, a1, a2 := &roster{}, member("a", 1), member("a", 2)
	for i, c := range []struct {
		e     entry
		epoch uint64
		lives bool // its member, after it
	}{
		{entry{Member: a1}, 1, true},
		{entry{Member: a1}, 1, true},
		{entry{Member: a2, Address: "x:1"}, 2, true},
		{entry{Out: true, Member: a1}, 3, false},
		{entry{Out: true, Member: a1}, 3, false},
		{entry{Member: a1}, 3, false}, // a late word of one that is out
		{entry{Out: true, Member: member("b", 1)}, 3, false},
	} {
		old := *r
		next := r.apply(&c.e, nil)
		if next.Epoch != c.epoch || next.lives(c.e.Member) != c.lives || r.Epoch != old.Epoch || len(r.Seats) != len(old.Seats) {
			t.Fatalf("entry %d: %+v of %+v", i, next, old)
		}
		r = next
	}
	v := r.view()
	if s := v.Members[a2]; len(v.Members) != 1 || s.JoinedEpoch != 2 || s.FirstIncarnation || r.addressOf("a", "listed") != "x:1" || r.addressOf("b", "listed") != "listed" {
		t.Fatalf("%+v", v)
	}
	for _, bad := range []*roster{
		{Epoch: 1, Seats: []seat{{Member: a1, Joined: 2}}}, {Epoch: 1, Seats: []seat{{}}}, {Epoch: 1, Seats: []seat{{Member: a1}, {Member: a1}}},
	} {
		if bad.check() == nil {
			t.Errorf("taken: %+v", bad)
		}
	}
}

// Nobody is out whose lease may still be valid by its own clock, whoever granted it and whatever stopped meanwhile.
func TestNobodyIsOutBeforeItsLease(t *testing.T) {
	const lease, every = time.Second, 50 * time.Millisecond
	a := member("a", 1)
	r := (&roster{}).apply(&entry{Member: a}, nil)
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for name, c := range map[string]struct {
		granted []int // ms after this member began to lead
		stopped [2]int
		until   int // last ms at which it must live
		from    int // first ms at which it must be out
	}{
		"never asked": {nil, [2]int{}, 1015, 1100},
		"asked":       {[]int{300, 700}, [2]int{}, 1715, 1800},
		"the leader was stopped: asks may wait for it": {[]int{300}, [2]int{400, 5000}, 6015, 6100},
	} {
		g := &grants{lease: lease}
		g.reset(start)
		out := 0
		for ms, next := 0, 0; ms <= 8000 && out == 0; ms += 5 {
			if ms > c.stopped[0] && ms < c.stopped[1] {
				continue
			}
			if ms%50 == 0 {
				g.tick(at(ms), every)
			}
			if next < len(c.granted) && ms >= c.granted[next] {
				g.grant(at(ms), a)
				next++
			}
			if ms%50 == 0 && len(g.due(at(ms), r)) > 0 {
				out = ms
			}
		}
		if out <= c.until || out > c.from {
			t.Errorf("%s: out after %d ms, not within %d to %d", name, out, c.until, c.from)
		}
		if g.grant(at(9000), a) {
			t.Errorf("%s: a lease for one that is being put out", name)
		}
	}
}

func TestLeaseEnds(t *testing.T) {
	l := &Lease{shut: new(atomic.Bool), start: time.Now().Add(-time.Hour), over: make(chan struct{})}
	now := int64(time.Hour)
	if l.Valid() {
		t.Error("valid before it was granted")
	}
	l.extend(now, time.Hour)
	l.extend(now-int64(time.Minute), time.Hour) // an older grant that came late
	if !l.Valid() || l.until.Load() != now+int64(time.Hour) {
		t.Error("not valid, or shortened")
	}
	l.end()
	l.end()
	l.extend(now, 2*time.Hour)
	select {
	case <-l.Done():
	default:
		t.Error("not over")
	}
	if l.Valid() {
		t.Error("valid though it is over")
	}
}

// What was saved is there after a restart, and a disk that can't be written is told.
func TestStore(t *testing.T) {
	dir := t.TempDir()
	s, err := openStore(dir, []uint64{1, 2, 3})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := openStore(dir, nil); !errors.Is(err, ErrLogLocked) {
		t.Fatalf("opened twice: %v", err)
	}
	one := func(index, term uint64, data string) *raftpb.Entry {
		return &raftpb.Entry{Index: new(index), Term: new(term), Data: []byte(data)}
	}
	hard := &raftpb.HardState{Term: new(uint64(5)), Vote: new(uint64(2)), Commit: new(uint64(3))}
	for _, rd := range []raft.Ready{
		{HardState: hard, Entries: []*raftpb.Entry{one(2, 4, "a"), one(3, 4, "b"), one(4, 4, "lost")}},
		{Entries: []*raftpb.Entry{one(4, 5, "c"), one(5, 5, "d")}}, // in place of what another leader had sent
	} {
		if err := s.save(&rd); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.compact(3, &raftpb.ConfState{Voters: []uint64{1, 2, 3}}, []byte("roster")); err != nil {
		t.Fatal(err)
	}
	s.close()
	if s, err = openStore(dir, []uint64{9}); err != nil {
		t.Fatal(err)
	}
	defer s.close()
	got, conf, err := s.InitialState()
	last, _ := s.LastIndex()
	entries, err2 := s.Entries(4, 6, 1<<20)
	snapshot, _ := s.Snapshot()
	if err != nil || err2 != nil || got.GetVote() != 2 || got.GetTerm() != 5 || len(conf.GetVoters()) != 3 || last != 5 || len(entries) != 2 ||
		string(entries[0].GetData()) != "c" || string(snapshot.GetData()) != "roster" {
		t.Fatalf("%v %v %v %v: %v %v last %d", err, err2, got, conf, entries, snapshot, last)
	}
	full := t.TempDir()
	if err := os.Symlink("/dev/full", filepath.Join(full, storeFile)); err != nil {
		t.Fatal(err)
	}
	if _, err := openStore(full, nil); err == nil {
		t.Error("a full disk is not told")
	}
	file := filepath.Join(full, "file")
	os.WriteFile(file, nil, 0o600)
	if _, err := openStore(filepath.Join(file, "state"), nil); err == nil {
		t.Error("a place that can't be is not told")
	}
}

func TestVoters(t *testing.T) {
	for n, want := range map[int]int{1: 1, 2: 1, 3: 3, 4: 3, 5: 5, 9: 5, 300: 5} {
		var names []string
		for i := range n {
			names = append(names, string(rune('a'+i%26))+string(rune('a'+i/26)))
		}
		if got := votersOf(names); len(got) != want {
			t.Errorf("%d members: %d vote, not %d", n, len(got), want)
		}
	}
}

// Whom this member does not know is refused by name before anything of it counts.
func TestGreeting(t *testing.T) {
	c, err := newCoder()
	if err != nil {
		t.Fatal(err)
	}
	w := newWire(c, []string{"a", "b", "c"})
	greet := func(kind byte, v any) error {
		text, _ := c.out.Marshal(v)
		f, _ := frame.Append(nil, kind, text)
		near, far := net.Pipe()
		go func() { near.Write(f); near.Close() }()
		kind, payload, err := frame.Read(far)
		if err == nil {
			_, err = w.greet(kind, payload)
		}
		return err
	}
	good := hello{Fleet: fleetID([]string{"c", "b", "a"}), From: member("b", 1)}
	other, stranger := good, good
	other.Fleet++
	stranger.From.Name = "d"
	for name, c := range map[string]struct {
		kind byte
		v    any
		ok   bool
	}{
		"good": {kindHello, good, true}, "another fleet": {kindHello, other, false}, "a stranger": {kindHello, stranger, false},
		"no hello": {kindAsk, good, false}, "nonsense": {kindHello, "x", false}, "too deep": {kindHello, [][][]int{{{1}}}, false},
	} {
		if err := greet(c.kind, c.v); (err == nil) != c.ok {
			t.Errorf("%s: %v", name, err)
		}
	}
	for range connsMost {
		greet(kindHello, good)
	}
	if greet(kindHello, good) == nil {
		t.Error("a flood of connections is taken")
	}
}

// What a process says after it came back as another member goes out in that one's name, and nothing more in the old one's.
func TestFramesGoOutInTheirOwnName(t *testing.T) {
	c, err := newCoder()
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx := t.Context()
	type heard struct {
		from takeover.Member
		text string
	}
	got := make(chan heard, 64)
	to, from := newWire(c, []string{"a", "b"}), newWire(c, []string{"a", "b"})
	to.take = func(from takeover.Member, _ byte, payload []byte) { got <- heard{from, string(payload)} }
	go to.serve(ctx, ln)
	var me atomic.Pointer[takeover.Member]
	from.me, from.where = func() takeover.Member { return *me.Load() }, func(string) string { return ln.Addr().String() }
	for n := range uint64(5) {
		now := member("b", n+1)
		me.Store(&now)
		from.send(ctx, "a", kindAsk, []byte(now.Name+string(rune('1'+n))))
		select {
		case h := <-got:
			if h.from != now || h.text != "b"+string(rune('1'+n)) {
				t.Fatalf("%+v after %+v", h, now)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("what %+v said has not come", now)
		}
	}
}

// A new epoch comes to all in a number of rounds that grows with the logarithm of the members, and each tells a few.
func TestTellingGrowsWithTheLogarithm(t *testing.T) {
	for _, n := range []int{1, 2, 3, 9, 300, 1000} {
		var names []string
		for i := range n {
			names = append(names, fmt.Sprintf("n%04d", i))
		}
		voters := votersOf(names)
		know, round := map[string]bool{}, 0
		for _, v := range voters {
			know[v] = true
		}
		for next := slices.Clone(voters); len(know) < n; round++ {
			var after []string
			for _, name := range next {
				to := told(names, name, len(voters))
				if len(to) > tells {
					t.Fatalf("%d members: %s tells %d", n, name, len(to))
				}
				for _, o := range to {
					if know[o] {
						t.Fatalf("%d members: %s is told twice", n, o)
					}
					know[o] = true
					after = append(after, o)
				}
			}
			if next = after; len(next) == 0 {
				t.Fatalf("%d members: %d know after %d rounds", n, len(know), round)
			}
		}
		t.Logf("%d members: %d rounds", n, round)
		if most := 1 + int(math.Log(float64(n))/math.Log(tells)); round > most {
			t.Errorf("%d members: %d rounds, at most %d", n, round, most)
		}
	}
	if told([]string{"a"}, "b", 1) != nil {
		t.Error("a stranger tells")
	}
}

// A file whose end was cut off is mended and said; an edited byte ends it; what was good before is kept; another process's file is left alone.
func TestSegmentFiles(t *testing.T) {
	coder, err := newCoder()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	d := &disk{dir: dir, most: 1 << 20, coder: coder}
	if old := d.open(member("a", 1)); len(old) != 0 {
		t.Fatal(old)
	}
	book, err := audit.NewSegmentWriter(7, member("a", 1), "build", protocol, func() int64 { return 0 }, audit.NoFault)
	if err != nil {
		t.Fatal(err)
	}
	for range 5 {
		book.Record(auditevent.Accepted, 0, "id", "look")
		all, err := book.Cut(0)
		if err != nil {
			t.Fatal(err)
		}
		d.append(&all[0])
	}
	path := filepath.Join(dir, "a-1"+segmentsEnd)
	if !written(path) {
		t.Error("a file under way is not told from one that was left")
	}
	d.close()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		change func([]byte) []byte
		kept   int
	}{
		"whole":       {func(b []byte) []byte { return b }, 5},
		"cut off":     {func(b []byte) []byte { return b[:len(b)-3] }, 4},
		"edited":      {func(b []byte) []byte { b[len(b)/2] ^= 1; return b }, 2},
		"only a head": {func(b []byte) []byte { return b[:10] }, 0},
		"a tail":      {func(b []byte) []byte { return append(b, "nonsense"...) }, 5},
	} {
		if err := os.WriteFile(path, c.change(slices.Clone(text)), 0o600); err != nil {
			t.Fatal(err)
		}
		again := &disk{dir: dir, most: 1 << 20, coder: coder}
		if got := again.open(member("a", 2)); len(got) != c.kept {
			t.Errorf("%s: %d segments, not %d", name, len(got), c.kept)
		}
		if all, _, err := ReadSegments(path); err != nil || len(all) != c.kept {
			t.Errorf("%s: not mended: %d, %v", name, len(all), err)
		}
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	small := &disk{dir: dir, most: 100, coder: coder}
	if small.open(member("a", 3)); small.file == nil {
		t.Fatal("no file")
	}
	if _, err := os.Stat(path); !os.IsNotExist(err) {
		t.Error("old files stay past what is granted")
	}
	nowhere := &disk{dir: filepath.Join(dir, "a-3"+segmentsEnd, "x"), most: 100, coder: coder}
	nowhere.open(member("a", 4))
	all, _ := book.Cut(0)
	for i := range all {
		nowhere.append(&all[i])
	}
	if !nowhere.said {
		t.Error("a place that can't be is not told")
	}
}

// What came of a request waits while its owner's lease is just not valid, and no longer than that may last. Guards against an answer
// that is dropped by an owner which goes on living.
func TestAnAnswerWaitsForTheLease(t *testing.T) {
	k := &keeper{f: &Fleet{opts: &options.Options{Fleet: options.Fleet{Lease: time.Hour}}}}
	late := &Lease{shut: new(atomic.Bool), start: time.Now(), over: make(chan struct{})}
	time.AfterFunc(20*time.Millisecond, func() { late.extend(0, time.Hour) })
	if k.await(late); !late.Valid() {
		t.Error("it did not wait")
	}
	over := &Lease{shut: new(atomic.Bool), start: time.Now(), over: make(chan struct{})}
	time.AfterFunc(20*time.Millisecond, over.end)
	k.await(over)
	k.f.opts.Fleet.Lease = time.Millisecond
	k.await(&Lease{shut: new(atomic.Bool), start: time.Now(), over: make(chan struct{})})
}

// A version's bytes are asked of those who vote first, and of one of them at every second ask, never of the member itself; the
// others come in as well. Guards against a version that is in force only after a turn through all names.
func TestBytesOfAVersionAreAskedOfThoseWhoVote(t *testing.T) {
	var names []string
	for i := range 100 {
		names = append(names, fmt.Sprintf("n%03d", i))
	}
	voters := votersOf(names)
	for _, me := range []string{"n000", "n004", "n099"} {
		asked := map[string]int{}
		for asks := range 20_000 {
			name, ok := whoHas(voters, names, me, asks, rand.IntN)
			if !ok || name == me {
				t.Fatalf("%s asks %q", me, name)
			}
			if asks%2 == 0 && !slices.Contains(voters, name) {
				t.Fatalf("%s: ask %d goes to %s", me, asks, name)
			}
			asked[name]++
		}
		for _, name := range names {
			if want := name != me; (asked[name] > 0) != want {
				t.Errorf("%s asks %s %d times", me, name, asked[name])
			}
		}
	}
	if name, ok := whoHas([]string{"a"}, []string{"a", "b"}, "a", 0, rand.IntN); !ok || name != "b" {
		t.Errorf("the only one that votes asks %q", name)
	}
	if name, ok := whoHas([]string{"a"}, []string{"a"}, "a", 0, rand.IntN); ok {
		t.Errorf("one alone asks %q", name)
	}
}

// The asks of a tick share one round of the log, and all of them are granted by it. Guards against a round for each ask, which was
// most of what a leader did.
func TestAsksOfATickShareARound(t *testing.T) {
	e, err := newEpochs(t.TempDir(), "n00", []string{"n00"}, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer e.store.close()
	granted := map[string]int{}
	e.send = func(name string, kind byte, _ []byte) {
		if kind == kindGrant {
			granted[name]++
		}
	}
	e.told = func(*roster, map[string][]byte) {}
	do := func(f func()) {
		t.Helper()
		f()
		if err := e.ready(); err != nil {
			t.Fatal(err)
		}
	}
	do(func() { e.node.Campaign() })
	const members = 30
	for i := range members {
		e.names = append(e.names, fmt.Sprintf("n%02d", i))
	}
	for range 3 {
		asks := func() {
			for i, name := range e.names {
				do(func() { e.ask(askLease{Member: member(name, uint64(i+1)), Sent: 1}) })
			}
		}
		asks()
		if len(e.roster.living()) < members {
			asks() // the first was to join
		}
		before := e.read
		clear(granted)
		asks()
		do(func() { e.turn(time.Now()) })
		if rounds := e.read - before; rounds != 1 || len(granted) != members {
			t.Errorf("%d rounds for the asks of %d members, of whom %d have a grant", rounds, members, len(granted))
		}
	}
}
