package cells

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"damsonscale/internal/takeover"
)

const leaseMicros = 600_000 // µs

func makeSlots(region string, from, n, zones int) (out []MemberSlot) {
	for i := from; i < from+n; i++ {
		name := fmt.Sprintf("%s-n%05d", region, i)
		out = append(out, MemberSlot{Name: name, Address: fmt.Sprintf("10.%d.%d.%d:7101", i>>16, i>>8&255, i&255), Zone: fmt.Sprintf("%s-z%d", region, i%zones)})
	}
	return out
}

// commandLog numbers commands as the directory's log does.
type commandLog struct {
	t     testing.TB
	d     *Directory
	term  uint64
	index uint64
}

func newCommandLog(t testing.TB) *commandLog {
	return &commandLog{t: t, d: NewDirectory(NoFault), term: 1}
}

func (j *commandLog) tryApply(c Command) error {
	j.index++
	return j.d.Apply(Version{Term: j.term, Index: j.index}, &c)
}

func (j *commandLog) mustApply(c Command) {
	j.t.Helper()
	if err := j.tryApply(c); err != nil {
		j.t.Fatalf("%+v: %v", c, err)
	}
}

func namesOf(slots []MemberSlot) (out []string) {
	for _, s := range slots {
		out = append(out, s.Name)
	}
	return out
}

// updateEntry returns the directory's updateEntry for a cell; nil: nothing has changed for it.
func (j *commandLog) updateEntry(l *Log) *Entry {
	return &Entry{Kind: UpdateDirectory, Update: &DirectoryUpdate{Version: j.d.Version(), Global: j.d.Global(), Record: j.d.Record(l.ID)}}
}

func member(name string, inc uint64) takeover.Member {
	return takeover.Member{Name: name, Incarnation: inc}
}

func mustApplyEntries(t testing.TB, l *Log, all ...*Entry) {
	t.Helper()
	for _, e := range all {
		if !l.Apply(e) {
			t.Fatalf("cell %d at %d: %+v changes nothing", l.ID, l.Epoch, e)
		}
	}
}

// A member's move: the new cell expects it, the old one lets it depart once its lease has expired, the new one accepts another incarnation
// with the old one's certificate, once.
func TestMove(t *testing.T) {
	j := newCommandLog(t)
	j.mustApply(Command{Kind: Open, Region: "r", Slots: makeSlots("r", 0, 3, 3)})
	j.mustApply(Command{Kind: Open, Region: "r", Slots: makeSlots("r", 3, 3, 3)})
	a, b := NewLog(1, NoFault), NewLog(2, NoFault)
	one, two := member("r-n00000", 1), member("r-n00000", 2)
	mustApplyEntries(t, a, j.updateEntry(a), &Entry{Kind: Join, Member: one})
	mustApplyEntries(t, b, j.updateEntry(b))
	g := NewLeaseTable(leaseMicros, NoFault)
	if !g.Grant(0, a, one, 0) || b.Apply(&Entry{Kind: Join, Member: two}) {
		t.Fatal("no lease, or a name that joins a cell which is not its own")
	}

	for _, c := range []Command{{Kind: Ready, Cell: 2, At: b.LastUpdate.Version}, {Kind: Ready, Cell: 9}} {
		if j.tryApply(c) == nil {
			t.Errorf("%+v is taken", c)
		}
	}
	j.mustApply(Command{Kind: Move, Names: []string{one.Name}, Cell: 2})
	if err := j.tryApply(Command{Kind: Ready, Cell: 2, At: b.LastUpdate.Version}); !errors.Is(err, ErrNoChange) {
		t.Errorf("ready by an update from before the move: %v", err)
	}
	if s := j.d.Record(1).Slot(one.Name); s.To != 0 {
		t.Fatal("it is to leave before the new cell expects it")
	}
	mustApplyEntries(t, b, j.updateEntry(b))
	j.mustApply(Command{Kind: Ready, Cell: 2, At: b.LastUpdate.Version})
	mustApplyEntries(t, a, j.updateEntry(a))
	if g.Grant(1, a, one, 0) || len(g.DueEntries(leaseMicros, a)) > 0 {
		t.Error("a lease to one that is to leave, or it leaves while its lease may run")
	}
	if at, ok := b.LookupStart(one.Name); !ok || at != 1 {
		t.Errorf("before it has arrived its requests are looked up at %d", at)
	}
	due := g.DueEntries(maxLeaseSpan(leaseMicros), a)
	if len(due) != 1 || due[0].Kind != Depart {
		t.Fatalf("%+v", due)
	}
	if a.Apply(&Entry{Kind: Depart, Member: one, MoveIndex: due[0].MoveIndex - 1}) {
		t.Error("it leaves by another move")
	}
	mustApplyEntries(t, a, &due[0])
	if a.Apply(&due[0]) {
		t.Error("it leaves twice")
	}
	if a.Apply(&Entry{Kind: ForgetDeparture, Member: one}) {
		t.Error("its certificate is forgotten before it has arrived")
	}
	cert := a.Certificate(one.Name)
	if cert == nil || cert.Member != one || cert.To != 2 || a.Apply(&Entry{Kind: Join, Member: member(one.Name, 9)}) {
		t.Fatalf("%+v, or the old cell takes it again", cert)
	}
	forged := []*Certificate{nil}
	for _, change := range []func(c *Certificate){
		func(c *Certificate) { c.MoveIndex-- }, func(c *Certificate) { c.Cell = 3 }, func(c *Certificate) { c.To = 3 },
		func(c *Certificate) { c.Member.Name = "r-n00001" }, func(c *Certificate) { c.Earlier = []Departure{{Cell: 2}} },
	} {
		c := *cert
		change(&c)
		forged = append(forged, &c)
	}
	for _, c := range forged {
		if b.Apply(&Entry{Kind: Join, Member: two, Certificate: c}) {
			t.Errorf("joined with %+v", c)
		}
	}
	if b.Apply(&Entry{Kind: Join, Member: one, Certificate: cert}) {
		t.Error("one incarnation is of two cells")
	}
	mustApplyEntries(t, b, &Entry{Kind: Join, Member: two, Certificate: cert})
	if b.Apply(&Entry{Kind: Join, Member: two, Certificate: cert}) {
		t.Error("it joined twice")
	}
	for _, l := range []*Log{a, b} {
		if at, ok := l.LookupStart(one.Name); !ok || at != 1 {
			t.Errorf("a lookup at %d begins at %d", l.ID, at)
		}
		q := NewLookup(one.Name, l.ID)
		for n := 0; q.Next(l) == Forward && n < 3; n++ {
			l = a
		}
		if s, assign := q.NotFound(a); s != Forward || !assign || q.Cell != 2 {
			t.Errorf("a request unknown to the first cell is not assigned to the second: %v %v %+v", s, assign, q)
		}
		if s, _ := q.NotFound(b); q.Next(b) != SearchHere || s != SearchHere {
			t.Error("nor begun there")
		}
	}
	if s := NewLookup("r-n00099", 2).Next(b); s != Unknown {
		t.Errorf("of an unknown member: %v", s)
	}
	j.mustApply(Command{Kind: Arrived, Cell: 2, Names: []string{one.Name}, Number: cert.MoveIndex})
	if err := j.tryApply(Command{Kind: Move, Names: []string{one.Name}, Cell: 1}); !errors.Is(err, ErrRecentMember) {
		t.Errorf("back at once: %v", err)
	}
	mustApplyEntries(t, a, j.updateEntry(a), &Entry{Kind: ForgetDeparture, Member: one})
	mustApplyEntries(t, b, j.updateEntry(b), &Entry{Kind: ForgetDeparture, Member: one}, &Entry{Kind: Evict, Member: two}, &Entry{Kind: Join, Member: member(one.Name, 3)})
	j.mustApply(Command{Kind: Forget, Names: []string{one.Name}})
	if _, ok := a.LookupStart(one.Name); ok || len(a.Departures)+len(b.FormerCells) > 0 {
		t.Error("what is over is not forgotten")
	}
	j.mustApply(Command{Kind: Move, Names: []string{one.Name}, Cell: 1})
	mustApplyEntries(t, a, j.updateEntry(a))
	if a.Apply(&Entry{Kind: Join, Member: member(one.Name, 4), Certificate: cert}) {
		t.Error("the certificate of the first move does for the second")
	}
}

// A split ends a log once no lease of it can be valid; all its members join the successors; a merge makes one cell of two.
func TestSplitAndMerge(t *testing.T) {
	j := newCommandLog(t)
	all := makeSlots("r", 0, 6, 3)
	j.mustApply(Command{Kind: Open, Region: "r", Slots: all})
	a := NewLog(1, NoFault)
	mustApplyEntries(t, a, j.updateEntry(a))
	g := NewLeaseTable(leaseMicros, NoFault)
	for _, s := range all[:5] {
		mustApplyEntries(t, a, &Entry{Kind: Join, Member: member(s.Name, 1)})
		g.Grant(10, a, member(s.Name, 1), 0)
	}
	split := Command{Kind: Split, ID: 7, Cell: 1, Names: namesOf(all[:3])}
	j.mustApply(split)
	if err := j.tryApply(split); !errors.Is(err, ErrAlreadyApplied) {
		t.Errorf("twice: %v", err)
	}
	if err := j.tryApply(Command{Kind: Merge, Cells: []ID{1, 2}}); !errors.Is(err, ErrChangeInProgress) {
		t.Errorf("merge of what is split: %v", err)
	}
	b, c := NewLog(2, NoFault), NewLog(3, NoFault)
	mustApplyEntries(t, b, j.updateEntry(b))
	mustApplyEntries(t, c, j.updateEntry(c))
	j.mustApply(Command{Kind: Ready, Cell: 2, At: b.LastUpdate.Version})
	if len(j.d.Record(1).Successors) > 0 {
		t.Fatal("to be sealed before both successors expect its members")
	}
	mustApplyEntries(t, a, j.updateEntry(a))
	if !g.Grant(10, a, member(all[0].Name, 1), 0) {
		t.Error("no lease, while one of the successors does not expect its members")
	}
	if due := g.DueEntries(10+2*leaseMicros, a); len(due) != 5 || slices.ContainsFunc(due, func(e Entry) bool { return e.Kind != Evict }) {
		t.Fatalf("without lease requests: evicted as ever, and no departure one by one: %+v", due)
	}
	g = NewLeaseTable(leaseMicros, NoFault)
	for _, m := range a.membersOf("") {
		g.lastGrant[m] = 10
	}
	j.mustApply(Command{Kind: Ready, Cell: 3, At: c.LastUpdate.Version})
	mustApplyEntries(t, a, j.updateEntry(a))
	if len(j.d.Record(1).Successors) != 2 || g.Grant(11, a, member(all[0].Name, 1), 0) || len(g.DueEntries(10+leaseMicros, a)) > 0 {
		t.Fatal("not to be sealed, or leases go on, or sealed while one may run")
	}
	due := g.DueEntries(10+maxLeaseSpan(leaseMicros), a)
	if len(due) != 1 || due[0].Kind != Seal {
		t.Fatalf("%+v", due)
	}
	mustApplyEntries(t, a, &due[0])
	if a.Apply(j.updateEntry(a)) || a.Apply(&due[0]) || len(a.Members) > 0 || g.Grant(2*leaseMicros, a, member(all[0].Name, 1), 0) {
		t.Error("a sealed log goes on")
	}
	for i, s := range all { // the last one never joined: it arrives as any other
		l := b
		if i >= 3 {
			l = c
		}
		mustApplyEntries(t, l, &Entry{Kind: Join, Member: member(s.Name, 2), Certificate: a.Certificate(s.Name)})
		j.mustApply(Command{Kind: Arrived, Cell: l.ID, Names: []string{s.Name}, Number: l.ArrivedMoves[s.Name]})
	}
	if err := j.tryApply(Command{Kind: Forget, Cell: 1}); !errors.Is(err, ErrNoChange) {
		t.Errorf("forgotten before it is sealed: %v", err)
	}
	j.mustApply(Command{Kind: Sealed, Cell: 1, Epoch: a.Epoch})
	j.mustApply(Command{Kind: Forget, Cell: 1})
	mustApplyEntries(t, b, j.updateEntry(b))
	mustApplyEntries(t, c, j.updateEntry(c))

	j.mustApply(Command{Kind: Merge, Cells: []ID{2, 3}})
	m := NewLog(4, NoFault)
	mustApplyEntries(t, m, j.updateEntry(m))
	j.mustApply(Command{Kind: Ready, Cell: 4, At: m.LastUpdate.Version})
	for _, l := range []*Log{b, c} {
		mustApplyEntries(t, l, j.updateEntry(l), &Entry{Kind: Seal})
	}
	for i, s := range all {
		l := b
		if i >= 3 {
			l = c
		}
		cert := l.Certificate(s.Name)
		mustApplyEntries(t, m, &Entry{Kind: Join, Member: member(s.Name, 3), Certificate: cert})
		if at, _ := m.LookupStart(s.Name); len(cert.Earlier) != 1 || at != 1 {
			t.Errorf("%s: a lookup begins at %d, %+v", s.Name, at, cert)
		}
	}
}

// A member that is removed for good is not assigned elsewhere before its cell has let it go.
func TestRemove(t *testing.T) {
	j := newCommandLog(t)
	all := makeSlots("r", 0, 4, 3)
	j.mustApply(Command{Kind: Open, Region: "r", Slots: all})
	j.mustApply(Command{Kind: Remove, Names: []string{all[0].Name}})
	if err := j.tryApply(Command{Kind: Open, Region: "r", Slots: all[:1]}); !errors.Is(err, ErrAlreadyAssigned) {
		t.Errorf("a second place: %v", err)
	}
	a, m := NewLog(1, NoFault), member(all[0].Name, 1)
	mustApplyEntries(t, a, j.updateEntry(a))
	mustApplyEntries(t, a, &Entry{Kind: Join, Member: m})
	g := NewLeaseTable(leaseMicros, NoFault)
	if g.Grant(0, a, m, 0) {
		t.Error("a lease to one that is to go")
	}
	g.MarkRelinquished(m)
	due := g.DueEntries(1, a)
	if len(due) != 1 || due[0].Kind != Depart {
		t.Fatalf("%+v", due)
	}
	mustApplyEntries(t, a, &due[0])
	if err := j.tryApply(Command{Kind: Removed, Names: []string{m.Name}, Number: a.Departures[m.Name].MoveIndex - 1}); !errors.Is(err, ErrNoChange) {
		t.Errorf("removed by an earlier move: %v", err)
	}
	j.mustApply(Command{Kind: Removed, Names: []string{m.Name}, Number: a.Departures[m.Name].MoveIndex})
	for _, c := range []Command{{Kind: Open, Region: "r", Slots: all[:1]}, {Kind: Assign, Cell: 1, Slots: all[:1]}} {
		if err := j.tryApply(c); !errors.Is(err, ErrAlreadyAssigned) {
			t.Errorf("assigned while its requests may be looked up: %v", err)
		}
	}
	mustApplyEntries(t, a, j.updateEntry(a))
	if q := NewLookup(m.Name, 1); q.Next(a) != SearchHere {
		t.Error("its requests can't be looked up")
	} else if s, _ := q.NotFound(a); s != SearchHere {
		t.Errorf("%v: what it never began is begun by nobody", s)
	}
	j.mustApply(Command{Kind: Forget, Names: []string{m.Name}})
	j.mustApply(Command{Kind: Open, Region: "r", Slots: all[:1]})
}

// Fence and target only grow, and a cell applies no older update: the newer side of a partition wins.
func TestNewerVersionWins(t *testing.T) {
	j := newCommandLog(t)
	j.mustApply(Command{Kind: Open, Region: "r", Slots: makeSlots("r", 0, 3, 3)})
	j.mustApply(Command{Kind: SetTarget, Number: 3})
	a, m := NewLog(1, NoFault), member("r-n00000", 1)
	before := j.updateEntry(a)
	j.mustApply(Command{Kind: SetFence, Number: 3})
	if err := j.tryApply(Command{Kind: Open, Region: "r", Slots: append(makeSlots("r", 5, 1, 3), makeSlots("r", 5, 1, 3)...)}); !errors.Is(err, ErrAlreadyAssigned) {
		t.Errorf("a name twice in one cell: %v", err)
	}
	for _, c := range []Command{{Kind: SetTarget, Number: 2}, {Kind: SetFence, Number: 2}, {Kind: SetFence, Number: 4}, {Kind: SetFence, Number: 3}} {
		if err := j.tryApply(c); !errors.Is(err, ErrNoChange) {
			t.Errorf("%+v: %v", c, err)
		}
	}
	mustApplyEntries(t, a, j.updateEntry(a), &Entry{Kind: Join, Member: m})
	if a.Apply(before) {
		t.Error("an older update is applied")
	}
	g := NewLeaseTable(leaseMicros, NoFault)
	if g.Grant(0, a, m, 2) || !g.Grant(0, a, m, 3) {
		t.Error("a lease below the fence, or none at it")
	}
	old := j.d.Clone()
	if err := j.d.Apply(Version{Term: 2, Index: j.index + 1}, &Command{Kind: SetTarget, Number: 9}); err != nil {
		t.Fatal(err)
	}
	if err := j.d.Apply(Version{Term: 1, Index: j.index + 2}, &Command{Kind: SetTarget, Number: 10}); !errors.Is(err, ErrStale) || j.d.Global().Settings != 9 {
		t.Errorf("a command of an earlier term: %v", err)
	}
	// A relay that has the newer directory applies nothing of one that is behind.
	r := NewRelay("r", NoFault)
	r.ApplyDelta(j.d.Delta("r", Version{}, Version{}, true, 1<<20))
	if d := old.Delta("r", r.NextRequest().Since, Version{}, false, 1<<20); len(d.Records) > 0 || r.ApplyDelta(d) {
		t.Errorf("one that is behind answers with %d records, or is asked again at once", len(d.Records))
	}
	r.ApplyDelta(old.Delta("r", Version{}, Version{}, true, 1<<20))
	if r.version != j.d.Version() || r.global.Settings != 9 {
		t.Errorf("%+v %+v", r.version, r.global)
	}
}

// The last member of a cell can't leave it: nobody would be left for the requests in flight there.
func TestLastMemberStays(t *testing.T) {
	j := newCommandLog(t)
	all := makeSlots("r", 0, 4, 3)
	j.mustApply(Command{Kind: Open, Region: "r", Slots: all[:2]})
	j.mustApply(Command{Kind: Open, Region: "r", Slots: all[2:]})
	j.mustApply(Command{Kind: Move, Names: []string{all[0].Name}, Cell: 2})
	if err := j.tryApply(Command{Kind: Move, Names: []string{all[1].Name}, Cell: 2}); !errors.Is(err, ErrLastMember) {
		t.Errorf("both leave: %v", err)
	}
}

// A member that has relinquished its leases gets no other, and need not be waited for.
func TestRelinquish(t *testing.T) {
	j := newCommandLog(t)
	j.mustApply(Command{Kind: Open, Region: "r", Slots: makeSlots("r", 0, 3, 3)})
	a, m := NewLog(1, NoFault), member("r-n00000", 1)
	mustApplyEntries(t, a, j.updateEntry(a), &Entry{Kind: Join, Member: m})
	g := NewLeaseTable(leaseMicros, NoFault)
	g.Grant(5, a, m, 0)
	g.MarkRelinquished(m)
	if due := g.DueEntries(6, a); g.Grant(6, a, m, 0) || len(due) != 1 || due[0].Kind != Evict {
		t.Errorf("a lease after its yield, or %+v", due)
	}
}

// Where the first cell has forgotten that a member left it, a lookup passes it by: its records are older than the longest deadline.
func TestLookupPassesForgottenCells(t *testing.T) {
	j := newCommandLog(t)
	all := makeSlots("r", 0, 5, 3)
	j.mustApply(Command{Kind: Open, Region: "r", Slots: all[:3]})
	j.mustApply(Command{Kind: Open, Region: "r", Slots: all[3:]})
	a, b, name := NewLog(1, NoFault), NewLog(2, NoFault), all[0].Name
	j.mustApply(Command{Kind: Move, Names: []string{name}, Cell: 2})
	mustApplyEntries(t, b, j.updateEntry(b))
	j.mustApply(Command{Kind: Ready, Cell: 2, At: b.LastUpdate.Version})
	mustApplyEntries(t, a, j.updateEntry(a), &Entry{Kind: Depart, Member: member(name, 0), MoveIndex: j.d.Record(1).Slot(name).ToMoveIndex})
	mustApplyEntries(t, b, &Entry{Kind: Join, Member: member(name, 1), Certificate: a.Certificate(name)})
	j.mustApply(Command{Kind: Arrived, Cell: 2, Names: []string{name}, Number: b.ArrivedMoves[name]})
	mustApplyEntries(t, a, j.updateEntry(a), &Entry{Kind: ForgetDeparture, Member: member(name, 0)})
	q := NewLookup(name, 2)
	if s := q.Next(b); s != Forward || q.Cell != 1 || q.Next(a) != SearchHere {
		t.Fatalf("it does not look at the first cell: %v %+v", s, q)
	}
	if p := *q; p.CellForgotten() != Forward || p.Cell != 2 || p.CellForgotten() != Unknown {
		t.Errorf("a forgotten cell is not passed: %+v", p)
	}
	if s, assign := q.NotFound(a); s != Forward || assign || q.Cell != 2 || q.Next(b) != SearchHere {
		t.Errorf("%v %v %+v", s, assign, q)
	}
}

// A member whose process is down for good still arrives, by its certificate: the move ends, and it can be removed. The global state of its old
// cell counts in the new one, against an older update of a relay too; its old incarnation can't join there.
func TestArrivalWithoutAProcess(t *testing.T) {
	j := newCommandLog(t)
	all := makeSlots("r", 0, 5, 3)
	j.mustApply(Command{Kind: Open, Region: "r", Slots: all[:3]})
	j.mustApply(Command{Kind: Open, Region: "r", Slots: all[3:]})
	a, b, name := NewLog(1, NoFault), NewLog(2, NoFault), all[0].Name
	j.mustApply(Command{Kind: Move, Names: []string{name}, Cell: 2})
	mustApplyEntries(t, b, j.updateEntry(b))
	j.mustApply(Command{Kind: Ready, Cell: 2, At: b.LastUpdate.Version})
	late := j.updateEntry(b)
	j.mustApply(Command{Kind: SetTarget, Number: 4})
	j.mustApply(Command{Kind: SetFence, Number: 4})
	mustApplyEntries(t, a, j.updateEntry(a), &Entry{Kind: Join, Member: member(name, 1)}, &Entry{Kind: Depart, Member: member(name, 0), MoveIndex: j.d.Record(1).Slot(name).ToMoveIndex})
	if b.Apply(&Entry{Kind: ExpectMember, Member: member(name, 0)}) || b.Apply(&Entry{Kind: ExpectMember, Member: member(all[1].Name, 0), Certificate: a.Certificate(name)}) {
		t.Error("a place without its certificate")
	}
	expect := &Entry{Kind: ExpectMember, Member: member(name, 0), Certificate: a.Certificate(name)}
	mustApplyEntries(t, b, expect)
	if b.Apply(expect) || len(b.Members) > 0 {
		t.Error("twice, or with a process")
	}
	mustApplyEntries(t, b, late)
	if b.LastUpdate.Global.Fence != 4 {
		t.Errorf("%+v: the fence of the cell that it has left is lost", b.LastUpdate.Global)
	}
	if at, ok := b.LookupStart(name); !ok || at != 1 {
		t.Errorf("a lookup begins at %d", at)
	}
	if b.MayJoin(member(name, 1), nil) || !b.MayJoin(member(name, 2), nil) {
		t.Error("the old incarnation may join, or a new one may not")
	}
	if err := j.tryApply(Command{Kind: Remove, Names: []string{name}}); !errors.Is(err, ErrChangeInProgress) {
		t.Errorf("removed while it moves: %v", err)
	}
	j.mustApply(Command{Kind: Arrived, Cell: 2, Names: []string{name}, Number: b.ArrivedMoves[name]})
	j.mustApply(Command{Kind: Remove, Names: []string{name}})
}

// A request that a cell before has assigned is decided here, whatever this cell knows of the member; a cell without members is merged
// without waiting for anybody.
func TestAssignedRequestAndEmptyCell(t *testing.T) {
	j := newCommandLog(t)
	all := makeSlots("r", 0, 3, 3)
	j.mustApply(Command{Kind: Open, Region: "r", Slots: all[:1]})
	a := NewLog(1, NoFault)
	mustApplyEntries(t, a, j.updateEntry(a))
	if s, _ := NewLocalLookup("elsewhere", 1).NotFound(a); s != SearchHere {
		t.Errorf("of a request assigned to this cell: %v", s)
	}
	if q := NewLookup("elsewhere", 1); q.Next(a) != Unknown {
		t.Error("it takes itself for the home of an unknown member's requests")
	}
	j.mustApply(Command{Kind: Remove, Names: namesOf(all[:1])})
	j.mustApply(Command{Kind: Removed, Names: namesOf(all[:1]), Number: j.d.Record(1).Slots[0].ToMoveIndex})
	j.mustApply(Command{Kind: Forget, Names: namesOf(all[:1])})
	j.mustApply(Command{Kind: Open, Region: "r", Slots: all[1:]})
	j.mustApply(Command{Kind: Merge, Cells: []ID{1, 2}})
	if p := j.d.Record(1); len(p.Successors) != 1 || len(p.PendingSuccessors) > 0 {
		t.Errorf("an empty cell waits: %+v", p)
	}
	mustApplyEntries(t, a, j.updateEntry(a))
	if due := NewLeaseTable(leaseMicros, NoFault).DueEntries(0, a); len(due) != 1 || due[0].Kind != Seal {
		t.Errorf("%+v", due)
	}
}

// A forgotten cell is deleted by a tombstone in a delta, without a complete transfer.
func TestTombstonesInADelta(t *testing.T) {
	j := newCommandLog(t)
	all := makeSlots("r", 0, 4, 3)
	j.mustApply(Command{Kind: Open, Region: "r", Slots: all})
	j.mustApply(Command{Kind: Split, Cell: 1, Names: namesOf(all[:2])})
	r := NewRelay("r", NoFault)
	r.ApplyDelta(j.d.Delta("r", Version{}, Version{}, true, 1<<20))
	for _, id := range []ID{2, 3} {
		j.mustApply(Command{Kind: Ready, Cell: id, At: j.d.Version()})
	}
	j.mustApply(Command{Kind: Sealed, Cell: 1, Epoch: 9})
	for _, s := range j.d.Record(1).Slots {
		j.mustApply(Command{Kind: Arrived, Cell: s.To, Names: []string{s.Name}, Number: s.ToMoveIndex})
	}
	j.mustApply(Command{Kind: Forget, Cell: 1})
	d := j.d.Delta("r", r.NextRequest().Since, Version{}, false, 1<<20)
	if again := r.ApplyDelta(d); d.Complete || again || len(r.records) != 2 || r.Version() != j.d.Version() {
		t.Errorf("complete %t, again %t, %d records", d.Complete, again, len(r.records))
	}
}

// Only its own cell grants a member leases, for its own incarnation, and they end before it departs.
func TestMemberActsForOneCell(t *testing.T) {
	n := NewNode(member("x", 1), 1)
	ask := n.LeaseRequest(100, 0)
	n.HandleGrant(LeaseGrant{Cell: 2, Member: ask.Member, RequestSentMicros: ask.SentMicros}, leaseMicros)
	n.HandleGrant(LeaseGrant{Cell: 1, Member: member("x", 2), RequestSentMicros: ask.SentMicros}, leaseMicros)
	if n.LeaseValid(101) {
		t.Fatal("a lease of another cell or incarnation")
	}
	n.HandleGrant(LeaseGrant{Cell: 1, Member: ask.Member, RequestSentMicros: ask.SentMicros}, leaseMicros)
	if !n.LeaseValid(100+leaseMicros-1) || n.LeaseValid(100+leaseMicros) {
		t.Fatal("a lease counts from when it was requested")
	}
	cert := &Certificate{Departure: Departure{Cell: 1, To: 2, Member: n.Self, MoveIndex: 5}}
	if n.Depart(cert, 1) || n.Depart(&Certificate{Departure: Departure{Cell: 3, To: 2, Member: n.Self}}, 2) || !n.Depart(cert, 2) {
		t.Fatal("it departs as the same incarnation, or by the certificate of another cell")
	}
	n.HandleGrant(LeaseGrant{Cell: 1, Member: member("x", 1), RequestSentMicros: 200}, leaseMicros)
	if n.LeaseValid(201) || n.Cell != 2 {
		t.Error("a late grant of the cell that it left")
	}
	n.Relinquish()
	n.HandleGrant(LeaseGrant{Cell: 2, Member: n.Self, RequestSentMicros: 300}, leaseMicros)
	if n.LeaseValid(301) {
		t.Error("it acts after it has said that it does not")
	}
}

// An update without its record is applied where the cell's record is the directory's; else the record is requested.
func TestUpdateWithoutItsRecord(t *testing.T) {
	j := newCommandLog(t)
	j.mustApply(Command{Kind: Open, Region: "r", Slots: makeSlots("r", 0, 3, 3)})
	r := NewRelay("r", NoFault)
	pull := func() { r.ApplyDelta(j.d.Delta("r", r.NextRequest().Since, Version{}, false, 1<<20)) }
	a := NewLog(1, NoFault)
	pull()
	first := r.UpdateFor(1, a.LastUpdate.Version, false)
	mustApplyEntries(t, a, &Entry{Kind: UpdateDirectory, Update: first})
	if r.UpdateFor(1, a.LastUpdate.Version, false) != nil {
		t.Error("sent what it has")
	}
	j.mustApply(Command{Kind: Open, Region: "r", Slots: makeSlots("r", 3, 3, 3)})
	if pull(); r.UpdateFor(1, a.LastUpdate.Version, false) != nil {
		t.Error("sent a change of another cell")
	}
	j.mustApply(Command{Kind: SetTarget, Number: 1})
	pull()
	second := r.UpdateFor(1, a.LastUpdate.Version, false)
	if second.Record != nil || len(Encode(second)) > 60 {
		t.Errorf("the record is sent with a change of the settings: %d bytes", len(Encode(second)))
	}
	if NewLog(1, NoFault).Apply(&Entry{Kind: UpdateDirectory, Update: second}) {
		t.Error("applied by one that has another record")
	}
	mustApplyEntries(t, a, &Entry{Kind: UpdateDirectory, Update: second})
	if a.LastUpdate.Record != first.Record || a.LastUpdate.Global.Settings != 1 {
		t.Errorf("%+v", a.LastUpdate)
	}
	b := NewLog(1, NoFault)
	mustApplyEntries(t, b, &Entry{Kind: UpdateDirectory, Update: r.UpdateFor(1, Version{}, true)})
}

// Relays end with the directory's records, whatever is lost, corrupt or duplicated, and a digest that differs costs one complete transfer
// in pages of a bounded size.
func TestRelaysFollowTheDirectory(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		j := newCommandLog(t)
		for i := range 8 {
			j.mustApply(Command{Kind: Open, Region: []string{"r", "q"}[i%2], Slots: makeSlots([]string{"r", "q"}[i%2], 6*i, 6, 3)})
		}
		relay, next := NewRelay("r", NoFault), 100
		pull := func(spoil int) bool {
			p := relay.NextRequest()
			d := j.d.Delta(p.Region, p.Since, p.From, p.Complete, 700)
			if size := len(Encode(d)); size > 2500 {
				r.Fatalf("a page of %d bytes", size)
			}
			if spoil == 1 && len(d.Records) > 0 {
				d.Records = d.Records[1:]
			}
			if spoil == 2 {
				d.Tombstones = nil
			}
			if spoil == 3 {
				relay.ApplyDelta(d)
			}
			return relay.ApplyDelta(d)
		}
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			switch rapid.IntRange(0, 5).Draw(r, "what") {
			case 0:
				j.tryApply(Command{Kind: Assign, Cell: ID(rapid.IntRange(1, 9).Draw(r, "cell")), Slots: makeSlots("x", next, 1, 3)})
				next++
			case 1:
				j.tryApply(Command{Kind: SetTarget, Number: uint64(next)})
				next++
			case 2:
				if p := j.d.Record(ID(rapid.IntRange(1, 8).Draw(r, "cell"))); p != nil && len(p.Slots) > 1 {
					j.tryApply(Command{Kind: Split, Cell: p.ID, Names: namesOf(p.Slots[:len(p.Slots)/2])})
				}
			case 3: // a split is carried out: the old cell is forgotten
				for _, id := range j.d.CellIDs() {
					j.tryApply(Command{Kind: Ready, Cell: id, At: j.d.Version()})
				}
				for _, id := range j.d.CellIDs() {
					if p := j.d.Record(id); len(p.Successors) > 0 {
						j.mustApply(Command{Kind: Sealed, Cell: id, Epoch: 1})
						for _, s := range p.Slots {
							j.mustApply(Command{Kind: Arrived, Cell: s.To, Names: []string{s.Name}, Number: s.ToMoveIndex})
						}
						j.mustApply(Command{Kind: Forget, Cell: id})
					}
				}
			default:
				pull(rapid.IntRange(0, 3).Draw(r, "spoil"))
			}
		}
		j.mustApply(Command{Kind: SetTarget, Number: uint64(next)})
		calls := 0
		for ; calls < 100 && (relay.Version() != j.d.Version() || pull(0)); calls++ {
			pull(0)
		}
		if relay.Version() != j.d.Version() || relay.global != j.d.Global() || calls > 40 {
			r.Fatalf("%v after %d calls, the directory is at %v", relay.Version(), calls, j.d.Version())
		}
		for _, id := range j.d.CellIDs() {
			if p := j.d.Record(id); p.Region == "r" && relay.records[id].CellRecord != p {
				r.Fatalf("cell %d differs", id)
			}
		}
		for id := range relay.records {
			if j.d.Record(id) == nil {
				r.Fatalf("cell %d is no more", id)
			}
		}
	})
}

// Random commands never assign a member two slots, but the old and the new one of a single move, and the same commands assign the same state.
func TestDirectoryCommands(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		j, twin := newCommandLog(t), NewDirectory(NoFault)
		j.mustApply(Command{Kind: Open, Region: "r", Slots: makeSlots("r", 0, 4, 3)})
		j.mustApply(Command{Kind: Open, Region: "r", Slots: makeSlots("r", 4, 4, 3)})
		twin.Apply(Version{Term: 1, Index: 1}, &Command{Kind: Open, Region: "r", Slots: makeSlots("r", 0, 4, 3)})
		twin.Apply(Version{Term: 1, Index: 2}, &Command{Kind: Open, Region: "r", Slots: makeSlots("r", 4, 4, 3)})
		for range rapid.IntRange(1, 60).Draw(r, "n") {
			name := namesOf(makeSlots("r", rapid.IntRange(0, 8).Draw(r, "name"), 1, 3))
			cell := ID(rapid.IntRange(0, int(j.d.lastID)+1).Draw(r, "cell"))
			c := Command{Kind: CommandKind(rapid.IntRange(int(Open), int(Forget)).Draw(r, "kind")), Region: "r", Cell: cell, Names: name, At: j.d.Version()}
			switch c.Kind {
			case Open, Assign:
				c.Slots = makeSlots("r", rapid.IntRange(0, 8).Draw(r, "name"), 1, 3)
			case Merge:
				c.Cells = []ID{cell, ID(rapid.IntRange(0, int(j.d.lastID)+1).Draw(r, "other"))}
			case Arrived:
				if p := j.d.Record(cell); p != nil && p.Slot(name[0]) != nil {
					c.Number = p.Slot(name[0]).MoveIndex
				}
			case Removed:
				if p := j.d.Record(j.d.CellOf(name[0])); p != nil {
					c.Number = p.Slot(name[0]).ToMoveIndex
				}
			case Forget:
				if rapid.Bool().Draw(r, "cell") {
					c.Names = nil
				}
			}
			state := func() string {
				return string(Encode([]any{j.d.records, j.d.cellOf, j.d.lastID, j.d.global, j.d.recordSums, len(j.d.tombstones)}))
			}
			before := state()
			err := j.tryApply(c)
			if err != nil && state() != before {
				r.Fatalf("%+v is refused, %v, and changes something", c, err)
			}
			if twice := twin.Apply(j.d.Version(), &c); (err == nil) != (twice == nil) || string(Encode(twin.records)) != string(Encode(j.d.records)) {
				r.Fatalf("%+v gives two states: %v, %v", c, err, twice)
			}
			met := map[string][]MemberSlot{}
			for _, id := range j.d.CellIDs() {
				for _, s := range j.d.Record(id).Slots {
					met[s.Name] = append(met[s.Name], s)
					if j.d.Record(j.d.CellOf(s.Name)).Slot(s.Name) == nil {
						r.Fatalf("%s is not where it is said to be", s.Name)
					}
				}
			}
			for n, all := range met {
				slices.SortFunc(all, func(a, b MemberSlot) int { return int(a.MoveIndex) - int(b.MoveIndex) })
				if len(all) > 2 || len(all) == 2 && (all[1].From == 0 || all[0].From != 0) {
					r.Fatalf("%s has %d places: %+v after %+v", n, len(all), all, c)
				}
			}
		}
	})
}
