package cells

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"damsonscale/internal/takeover"
)

const leaseMicros = 600_000

// makeSlots returns n slots of a region, numbered from an index and spread evenly over its zones.
func makeSlots(region string, from, n, zones int) (out []MemberSlot) {
	for i := from; i < from+n; i++ {
		name := fmt.Sprintf("%s-n%05d", region, i)
		out = append(out, MemberSlot{Name: name, Address: fmt.Sprintf("10.%d.%d.%d:7101", i>>16, i>>8&255, i&255), Zone: fmt.Sprintf("%s-z%d", region, i%zones)})
	}
	return out
}

// commandLog applies commands to a directory and numbers them like the directory's log.
type commandLog struct {
	t         testing.TB
	directory *Directory
	term      uint64
	index     uint64
}

func newCommandLog(t testing.TB) *commandLog {
	return &commandLog{t: t, directory: NewDirectory(NoFault), term: 1}
}

func (j *commandLog) tryApply(c Command) error {
	j.index++
	return j.directory.Apply(Version{Term: j.term, Index: j.index}, &c)
}

func (j *commandLog) mustApply(c Command) {
	j.t.Helper()
	if err := j.tryApply(c); err != nil {
		j.t.Fatalf("command %+v failed: %v", c, err)
	}
}

func namesOf(slots []MemberSlot) (out []string) {
	for _, s := range slots {
		out = append(out, s.Name)
	}
	return out
}

// updateEntry returns an entry that updates a cell to the present state of the directory.
func (j *commandLog) updateEntry(l *Log) *Entry {
	return &Entry{Kind: UpdateDirectory, Update: &DirectoryUpdate{Version: j.directory.Version(), Global: j.directory.Global(), Record: j.directory.Record(l.ID)}}
}

func member(name string, inc uint64) takeover.Member {
	return takeover.Member{Name: name, Incarnation: inc}
}

func mustApplyEntries(t testing.TB, l *Log, all ...*Entry) {
	t.Helper()
	for _, e := range all {
		if !l.Apply(e) {
			t.Fatalf("cell %d at epoch %d: entry %+v changed nothing, want a change", l.ID, l.Epoch, e)
		}
	}
}

// In a move the new cell first expects the member, then the old cell lets it depart once its lease has expired, and then the new cell accepts
// another incarnation, once, with the old cell's certificate.
func TestMovedMemberJoinsOnceWithCertificate(t *testing.T) {
	j := newCommandLog(t)
	j.mustApply(Command{Kind: Open, Region: "r", Slots: makeSlots("r", 0, 3, 3)})
	j.mustApply(Command{Kind: Open, Region: "r", Slots: makeSlots("r", 3, 3, 3)})
	a, b := NewLog(1, NoFault), NewLog(2, NoFault)
	one, two := member("r-n00000", 1), member("r-n00000", 2)
	mustApplyEntries(t, a, j.updateEntry(a), &Entry{Kind: Join, Member: one})
	mustApplyEntries(t, b, j.updateEntry(b))
	leases := NewLeaseTable(leaseMicros, NoFault)
	if !leases.Grant(0, a, one, 0) || b.Apply(&Entry{Kind: Join, Member: two}) {
		t.Fatal("member got no lease in its own cell, or joined a cell that it is not assigned to")
	}

	for _, c := range []Command{{Kind: Ready, Cell: 2, At: b.LastUpdate.Version}, {Kind: Ready, Cell: 9}} {
		if j.tryApply(c) == nil {
			t.Errorf("command %+v was accepted, want an error", c)
		}
	}
	j.mustApply(Command{Kind: Move, Names: []string{one.Name}, Cell: 2})
	if err := j.tryApply(Command{Kind: Ready, Cell: 2, At: b.LastUpdate.Version}); !errors.Is(err, ErrNoChange) {
		t.Errorf("Ready with a version from before the move: got error %v, want ErrNoChange", err)
	}
	if s := j.directory.Record(1).Slot(one.Name); s.To != 0 {
		t.Fatalf("member must leave for cell %d before the new cell expects it", s.To)
	}
	mustApplyEntries(t, b, j.updateEntry(b))
	j.mustApply(Command{Kind: Ready, Cell: 2, At: b.LastUpdate.Version})
	mustApplyEntries(t, a, j.updateEntry(a))
	if leases.Grant(1, a, one, 0) || len(leases.DueEntries(leaseMicros, a)) > 0 {
		t.Error("a leaving member got a lease, or its departure was due while its lease may be valid")
	}
	if at, ok := b.LookupStart(one.Name); !ok || at != 1 {
		t.Errorf("before the arrival, lookups start at cell %d (known %t), want cell 1", at, ok)
	}
	due := leases.DueEntries(maxLeaseSpan(leaseMicros), a)
	if len(due) != 1 || due[0].Kind != Depart {
		t.Fatalf("due entries: got %+v, want one entry of kind %d", due, Depart)
	}
	if a.Apply(&Entry{Kind: Depart, Member: one, MoveIndex: due[0].MoveIndex - 1}) {
		t.Error("member departed with the MoveIndex of another move")
	}
	mustApplyEntries(t, a, &due[0])
	if a.Apply(&due[0]) {
		t.Error("member departed twice")
	}
	if a.Apply(&Entry{Kind: ForgetDeparture, Member: one}) {
		t.Error("departure was forgotten before the member arrived in its new cell")
	}
	cert := a.Certificate(one.Name)
	if cert == nil || cert.Member != one || cert.To != 2 || a.Apply(&Entry{Kind: Join, Member: member(one.Name, 9)}) {
		t.Fatalf("certificate is %+v, want one of %+v for cell 2; or the old cell accepted the member again", cert, one)
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
			t.Errorf("member joined with the invalid certificate %+v", c)
		}
	}
	if b.Apply(&Entry{Kind: Join, Member: one, Certificate: cert}) {
		t.Error("the same incarnation joined a second cell")
	}
	mustApplyEntries(t, b, &Entry{Kind: Join, Member: two, Certificate: cert})
	if b.Apply(&Entry{Kind: Join, Member: two, Certificate: cert}) {
		t.Error("the same incarnation joined twice")
	}
	for _, l := range []*Log{a, b} {
		if at, ok := l.LookupStart(one.Name); !ok || at != 1 {
			t.Errorf("lookup at cell %d starts at cell %d (known %t), want cell 1", l.ID, at, ok)
		}
		q := NewLookup(one.Name, l.ID)
		for n := 0; q.Next(l) == Forward && n < 3; n++ {
			l = a
		}
		if s, assign := q.NotFound(a); s != Forward || !assign || q.Cell != 2 {
			t.Errorf("request without a record in cell 1: got step %v, assign %t, lookup %+v; want it assigned to cell 2", s, assign, q)
		}
		if s, _ := q.NotFound(b); q.Next(b) != SearchHere || s != SearchHere {
			t.Errorf("request assigned to cell 2: got step %v after no record was found, want SearchHere before and after", s)
		}
	}
	if s := NewLookup("r-n00099", 2).Next(b); s != Unknown {
		t.Errorf("lookup of an unknown member: got step %v, want Unknown", s)
	}
	j.mustApply(Command{Kind: Arrived, Cell: 2, Names: []string{one.Name}, Number: cert.MoveIndex})
	if err := j.tryApply(Command{Kind: Move, Names: []string{one.Name}, Cell: 1}); !errors.Is(err, ErrRecentMember) {
		t.Errorf("move back to the former cell: got error %v, want ErrRecentMember", err)
	}
	mustApplyEntries(t, a, j.updateEntry(a), &Entry{Kind: ForgetDeparture, Member: one})
	mustApplyEntries(t, b, j.updateEntry(b), &Entry{Kind: ForgetDeparture, Member: one}, &Entry{Kind: Evict, Member: two}, &Entry{Kind: Join, Member: member(one.Name, 3)})
	j.mustApply(Command{Kind: Forget, Names: []string{one.Name}})
	if _, ok := a.LookupStart(one.Name); ok || len(a.Departures)+len(b.FormerCells) > 0 {
		t.Errorf("after the move was forgotten: lookup start known %t, departures %+v, former cells %+v; want none", ok, a.Departures, b.FormerCells)
	}
	j.mustApply(Command{Kind: Move, Names: []string{one.Name}, Cell: 1})
	mustApplyEntries(t, a, j.updateEntry(a))
	if a.Apply(&Entry{Kind: Join, Member: member(one.Name, 4), Certificate: cert}) {
		t.Error("member joined with the certificate of an earlier move")
	}
}

// A split seals a cell once none of its leases can be valid, and its members join the successors. A merge replaces two cells by one.
func TestSplitAndMergeMoveAllMembers(t *testing.T) {
	j := newCommandLog(t)
	all := makeSlots("r", 0, 6, 3)
	j.mustApply(Command{Kind: Open, Region: "r", Slots: all})
	a := NewLog(1, NoFault)
	mustApplyEntries(t, a, j.updateEntry(a))
	leases := NewLeaseTable(leaseMicros, NoFault)
	for _, s := range all[:5] {
		mustApplyEntries(t, a, &Entry{Kind: Join, Member: member(s.Name, 1)})
		leases.Grant(10, a, member(s.Name, 1), 0)
	}
	split := Command{Kind: Split, ID: 7, Cell: 1, Names: namesOf(all[:3])}
	j.mustApply(split)
	if err := j.tryApply(split); !errors.Is(err, ErrAlreadyApplied) {
		t.Errorf("split applied twice: got error %v, want ErrAlreadyApplied", err)
	}
	if err := j.tryApply(Command{Kind: Merge, Cells: []ID{1, 2}}); !errors.Is(err, ErrChangeInProgress) {
		t.Errorf("merge of a cell that is being split: got error %v, want ErrChangeInProgress", err)
	}
	b, c := NewLog(2, NoFault), NewLog(3, NoFault)
	mustApplyEntries(t, b, j.updateEntry(b))
	mustApplyEntries(t, c, j.updateEntry(c))
	j.mustApply(Command{Kind: Ready, Cell: 2, At: b.LastUpdate.Version})
	if len(j.directory.Record(1).Successors) > 0 {
		t.Fatal("cell is to be sealed before both successors expect its members")
	}
	mustApplyEntries(t, a, j.updateEntry(a))
	if !leases.Grant(10, a, member(all[0].Name, 1), 0) {
		t.Error("member got no lease while one of the successors does not expect its members")
	}
	if due := leases.DueEntries(10+2*leaseMicros, a); len(due) != 5 || slices.ContainsFunc(due, func(e Entry) bool { return e.Kind != Evict }) {
		t.Fatalf("due entries without lease requests: got %+v, want 5 evictions", due)
	}
	leases = NewLeaseTable(leaseMicros, NoFault)
	for _, m := range a.membersOf("") {
		leases.lastGrant[m] = 10
	}
	j.mustApply(Command{Kind: Ready, Cell: 3, At: c.LastUpdate.Version})
	mustApplyEntries(t, a, j.updateEntry(a))
	if len(j.directory.Record(1).Successors) != 2 || leases.Grant(11, a, member(all[0].Name, 1), 0) || len(leases.DueEntries(10+leaseMicros, a)) > 0 {
		t.Fatal("cell is not to be sealed, still grants leases, or has due entries while a lease may be valid")
	}
	due := leases.DueEntries(10+maxLeaseSpan(leaseMicros), a)
	if len(due) != 1 || due[0].Kind != Seal {
		t.Fatalf("due entries: got %+v, want one entry of kind %d", due, Seal)
	}
	mustApplyEntries(t, a, &due[0])
	if a.Apply(j.updateEntry(a)) || a.Apply(&due[0]) || len(a.Members) > 0 || leases.Grant(2*leaseMicros, a, member(all[0].Name, 1), 0) {
		t.Errorf("sealed cell applied an entry, granted a lease or kept members: %+v", a.Members)
	}
	for i, s := range all { // the last member never joined, and arrives like the others
		l := b
		if i >= 3 {
			l = c
		}
		mustApplyEntries(t, l, &Entry{Kind: Join, Member: member(s.Name, 2), Certificate: a.Certificate(s.Name)})
		j.mustApply(Command{Kind: Arrived, Cell: l.ID, Names: []string{s.Name}, Number: l.ArrivedMoves[s.Name]})
	}
	if err := j.tryApply(Command{Kind: Forget, Cell: 1}); !errors.Is(err, ErrNoChange) {
		t.Errorf("Forget of a cell that is not sealed: got error %v, want ErrNoChange", err)
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
			t.Errorf("member %s: lookup starts at cell %d, want cell 1; certificate %+v, want one earlier departure", s.Name, at, cert)
		}
	}
}

// The name of a removed member can be assigned again only after its cell has removed it and the directory has forgotten it.
func TestRemovedNameIsAssignableOnceForgotten(t *testing.T) {
	j := newCommandLog(t)
	all := makeSlots("r", 0, 4, 3)
	j.mustApply(Command{Kind: Open, Region: "r", Slots: all})
	j.mustApply(Command{Kind: Remove, Names: []string{all[0].Name}})
	if err := j.tryApply(Command{Kind: Open, Region: "r", Slots: all[:1]}); !errors.Is(err, ErrAlreadyAssigned) {
		t.Errorf("Open with a member that is being removed: got error %v, want ErrAlreadyAssigned", err)
	}
	a, m := NewLog(1, NoFault), member(all[0].Name, 1)
	mustApplyEntries(t, a, j.updateEntry(a))
	mustApplyEntries(t, a, &Entry{Kind: Join, Member: m})
	leases := NewLeaseTable(leaseMicros, NoFault)
	if leases.Grant(0, a, m, 0) {
		t.Error("a member that is being removed got a lease")
	}
	leases.MarkRelinquished(m)
	due := leases.DueEntries(1, a)
	if len(due) != 1 || due[0].Kind != Depart {
		t.Fatalf("due entries: got %+v, want one entry of kind %d", due, Depart)
	}
	mustApplyEntries(t, a, &due[0])
	if err := j.tryApply(Command{Kind: Removed, Names: []string{m.Name}, Number: a.Departures[m.Name].MoveIndex - 1}); !errors.Is(err, ErrNoChange) {
		t.Errorf("Removed with an earlier MoveIndex: got error %v, want ErrNoChange", err)
	}
	j.mustApply(Command{Kind: Removed, Names: []string{m.Name}, Number: a.Departures[m.Name].MoveIndex})
	for _, c := range []Command{{Kind: Open, Region: "r", Slots: all[:1]}, {Kind: Assign, Cell: 1, Slots: all[:1]}} {
		if err := j.tryApply(c); !errors.Is(err, ErrAlreadyAssigned) {
			t.Errorf("assignment while requests of the member may be looked up: got error %v, want ErrAlreadyAssigned", err)
		}
	}
	mustApplyEntries(t, a, j.updateEntry(a))
	if q := NewLookup(m.Name, 1); q.Next(a) != SearchHere {
		t.Error("requests of the removed member can't be looked up")
	} else if s, _ := q.NotFound(a); s != SearchHere {
		t.Errorf("request without a record: got step %v, want SearchHere", s)
	}
	j.mustApply(Command{Kind: Forget, Names: []string{m.Name}})
	j.mustApply(Command{Kind: Open, Region: "r", Slots: all[:1]})
}

// The fence and the settings number never decrease, and cells and relays apply no older state, so that the newer side of a partition wins.
func TestStaleCommandsAndUpdatesAreRejected(t *testing.T) {
	j := newCommandLog(t)
	j.mustApply(Command{Kind: Open, Region: "r", Slots: makeSlots("r", 0, 3, 3)})
	j.mustApply(Command{Kind: SetTarget, Number: 3})
	a, m := NewLog(1, NoFault), member("r-n00000", 1)
	before := j.updateEntry(a)
	j.mustApply(Command{Kind: SetFence, Number: 3})
	if err := j.tryApply(Command{Kind: Open, Region: "r", Slots: append(makeSlots("r", 5, 1, 3), makeSlots("r", 5, 1, 3)...)}); !errors.Is(err, ErrAlreadyAssigned) {
		t.Errorf("Open with a repeated name: got error %v, want ErrAlreadyAssigned", err)
	}
	for _, c := range []Command{{Kind: SetTarget, Number: 2}, {Kind: SetFence, Number: 2}, {Kind: SetFence, Number: 4}, {Kind: SetFence, Number: 3}} {
		if err := j.tryApply(c); !errors.Is(err, ErrNoChange) {
			t.Errorf("command %+v: got error %v, want ErrNoChange", c, err)
		}
	}
	mustApplyEntries(t, a, j.updateEntry(a), &Entry{Kind: Join, Member: m})
	if a.Apply(before) {
		t.Error("cell applied an update older than its state")
	}
	leases := NewLeaseTable(leaseMicros, NoFault)
	if leases.Grant(0, a, m, 2) || !leases.Grant(0, a, m, 3) {
		t.Error("member with settings 2 got a lease below fence 3, or member with settings 3 got none")
	}
	old := j.directory.Clone()
	if err := j.directory.Apply(Version{Term: 2, Index: j.index + 1}, &Command{Kind: SetTarget, Number: 9}); err != nil {
		t.Fatal(err)
	}
	if err := j.directory.Apply(Version{Term: 1, Index: j.index + 2}, &Command{Kind: SetTarget, Number: 10}); !errors.Is(err, ErrStale) || j.directory.Global().Settings != 9 {
		t.Errorf("command of an earlier term: got error %v, settings %d; want ErrStale and settings 9", err, j.directory.Global().Settings)
	}
	// A relay applies no delta of a directory that is behind its own version.
	r := NewRelay("r", NoFault)
	r.ApplyDelta(j.directory.Delta("r", Version{}, Version{}, true, 1<<20))
	if d := old.Delta("r", r.NextRequest().Since, Version{}, false, 1<<20); len(d.Records) > 0 || r.ApplyDelta(d) {
		t.Errorf("directory that is behind sent %d records, want 0, or the relay wants to ask again at once", len(d.Records))
	}
	r.ApplyDelta(old.Delta("r", Version{}, Version{}, true, 1<<20))
	if r.version != j.directory.Version() || r.global.Settings != 9 {
		t.Errorf("relay has version %+v, global state %+v; want version %+v and settings 9", r.version, r.global, j.directory.Version())
	}
}

// The last member of a cell can't leave it: no member would be left to take over the requests in flight.
func TestLastMemberCannotLeaveItsCell(t *testing.T) {
	j := newCommandLog(t)
	all := makeSlots("r", 0, 4, 3)
	j.mustApply(Command{Kind: Open, Region: "r", Slots: all[:2]})
	j.mustApply(Command{Kind: Open, Region: "r", Slots: all[2:]})
	j.mustApply(Command{Kind: Move, Names: []string{all[0].Name}, Cell: 2})
	if err := j.tryApply(Command{Kind: Move, Names: []string{all[1].Name}, Cell: 2}); !errors.Is(err, ErrLastMember) {
		t.Errorf("move of the last member: got error %v, want ErrLastMember", err)
	}
}

// A member that has relinquished its leases gets no further lease and is evicted without waiting for the expiry.
func TestRelinquishingMemberIsEvictedAtOnce(t *testing.T) {
	j := newCommandLog(t)
	j.mustApply(Command{Kind: Open, Region: "r", Slots: makeSlots("r", 0, 3, 3)})
	a, m := NewLog(1, NoFault), member("r-n00000", 1)
	mustApplyEntries(t, a, j.updateEntry(a), &Entry{Kind: Join, Member: m})
	leases := NewLeaseTable(leaseMicros, NoFault)
	leases.Grant(5, a, m, 0)
	leases.MarkRelinquished(m)
	if due := leases.DueEntries(6, a); leases.Grant(6, a, m, 0) || len(due) != 1 || due[0].Kind != Evict {
		t.Errorf("member got a lease after it relinquished its leases, or due entries are %+v, want one eviction", due)
	}
}

// A lookup skips a cell that has forgotten the departure of a member: its records of the member's requests are older than the longest deadline.
func TestLookupSkipsCellThatForgotDeparture(t *testing.T) {
	j := newCommandLog(t)
	all := makeSlots("r", 0, 5, 3)
	j.mustApply(Command{Kind: Open, Region: "r", Slots: all[:3]})
	j.mustApply(Command{Kind: Open, Region: "r", Slots: all[3:]})
	a, b, name := NewLog(1, NoFault), NewLog(2, NoFault), all[0].Name
	j.mustApply(Command{Kind: Move, Names: []string{name}, Cell: 2})
	mustApplyEntries(t, b, j.updateEntry(b))
	j.mustApply(Command{Kind: Ready, Cell: 2, At: b.LastUpdate.Version})
	mustApplyEntries(t, a, j.updateEntry(a), &Entry{Kind: Depart, Member: member(name, 0), MoveIndex: j.directory.Record(1).Slot(name).ToMoveIndex})
	mustApplyEntries(t, b, &Entry{Kind: Join, Member: member(name, 1), Certificate: a.Certificate(name)})
	j.mustApply(Command{Kind: Arrived, Cell: 2, Names: []string{name}, Number: b.ArrivedMoves[name]})
	mustApplyEntries(t, a, j.updateEntry(a), &Entry{Kind: ForgetDeparture, Member: member(name, 0)})
	q := NewLookup(name, 2)
	if s := q.Next(b); s != Forward || q.Cell != 1 || q.Next(a) != SearchHere {
		t.Fatalf("lookup does not search cell 1 first: got step %v, lookup %+v", s, q)
	}
	if p := *q; p.CellForgotten() != Forward || p.Cell != 2 || p.CellForgotten() != Unknown {
		t.Errorf("lookup does not skip a forgotten cell: %+v", p)
	}
	if s, assign := q.NotFound(a); s != Forward || assign || q.Cell != 2 || q.Next(b) != SearchHere {
		t.Errorf("request without a record in cell 1: got step %v, assign %t, lookup %+v; want Forward to cell 2 without assignment", s, assign, q)
	}
}

// The move of a member whose process never restarts is completed by its certificate, so that the member can be removed. The new cell adopts the
// global state of the certificate and keeps it against an older update of a relay. The old incarnation can't join the new cell.
func TestMemberArrivesWithoutProcess(t *testing.T) {
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
	mustApplyEntries(t, a, j.updateEntry(a), &Entry{Kind: Join, Member: member(name, 1)}, &Entry{Kind: Depart, Member: member(name, 0), MoveIndex: j.directory.Record(1).Slot(name).ToMoveIndex})
	if b.Apply(&Entry{Kind: ExpectMember, Member: member(name, 0)}) || b.Apply(&Entry{Kind: ExpectMember, Member: member(all[1].Name, 0), Certificate: a.Certificate(name)}) {
		t.Error("member arrived without its own certificate")
	}
	expect := &Entry{Kind: ExpectMember, Member: member(name, 0), Certificate: a.Certificate(name)}
	mustApplyEntries(t, b, expect)
	if b.Apply(expect) || len(b.Members) > 0 {
		t.Errorf("member arrived twice, or the new cell has processes %+v, want none", b.Members)
	}
	mustApplyEntries(t, b, late)
	if b.LastUpdate.Global.Fence != 4 {
		t.Errorf("global state is %+v, want fence 4 of the former cell", b.LastUpdate.Global)
	}
	if at, ok := b.LookupStart(name); !ok || at != 1 {
		t.Errorf("lookup starts at cell %d (known %t), want cell 1", at, ok)
	}
	if b.MayJoin(member(name, 1), nil) || !b.MayJoin(member(name, 2), nil) {
		t.Error("the old incarnation may join the new cell, or a new incarnation may not")
	}
	if err := j.tryApply(Command{Kind: Remove, Names: []string{name}}); !errors.Is(err, ErrChangeInProgress) {
		t.Errorf("Remove of a moving member: got error %v, want ErrChangeInProgress", err)
	}
	j.mustApply(Command{Kind: Arrived, Cell: 2, Names: []string{name}, Number: b.ArrivedMoves[name]})
	j.mustApply(Command{Kind: Remove, Names: []string{name}})
}

// A cell decides about a request that an earlier cell has assigned to it, even if it does not know the member. A cell without members merges
// without waiting for its successor to expect any.
func TestCellDecidesAssignedRequestAndMergesWhenEmpty(t *testing.T) {
	j := newCommandLog(t)
	all := makeSlots("r", 0, 3, 3)
	j.mustApply(Command{Kind: Open, Region: "r", Slots: all[:1]})
	a := NewLog(1, NoFault)
	mustApplyEntries(t, a, j.updateEntry(a))
	if s, _ := NewLocalLookup("elsewhere", 1).NotFound(a); s != SearchHere {
		t.Errorf("request assigned to this cell: got step %v, want SearchHere", s)
	}
	if q := NewLookup("elsewhere", 1); q.Next(a) != Unknown {
		t.Error("cell does not return Unknown for a request of an unknown member")
	}
	j.mustApply(Command{Kind: Remove, Names: namesOf(all[:1])})
	j.mustApply(Command{Kind: Removed, Names: namesOf(all[:1]), Number: j.directory.Record(1).Slots[0].ToMoveIndex})
	j.mustApply(Command{Kind: Forget, Names: namesOf(all[:1])})
	j.mustApply(Command{Kind: Open, Region: "r", Slots: all[1:]})
	j.mustApply(Command{Kind: Merge, Cells: []ID{1, 2}})
	if p := j.directory.Record(1); len(p.Successors) != 1 || len(p.PendingSuccessors) > 0 {
		t.Errorf("empty cell waits for its successor: %+v", p)
	}
	mustApplyEntries(t, a, j.updateEntry(a))
	if due := NewLeaseTable(leaseMicros, NoFault).DueEntries(0, a); len(due) != 1 || due[0].Kind != Seal {
		t.Errorf("due entries of an empty cell: got %+v, want one seal", due)
	}
}

// A relay deletes a forgotten cell by a tombstone in a delta, without a complete transfer.
func TestTombstoneDeletesCellAtRelay(t *testing.T) {
	j := newCommandLog(t)
	all := makeSlots("r", 0, 4, 3)
	j.mustApply(Command{Kind: Open, Region: "r", Slots: all})
	j.mustApply(Command{Kind: Split, Cell: 1, Names: namesOf(all[:2])})
	r := NewRelay("r", NoFault)
	r.ApplyDelta(j.directory.Delta("r", Version{}, Version{}, true, 1<<20))
	for _, id := range []ID{2, 3} {
		j.mustApply(Command{Kind: Ready, Cell: id, At: j.directory.Version()})
	}
	j.mustApply(Command{Kind: Sealed, Cell: 1, Epoch: 9})
	for _, s := range j.directory.Record(1).Slots {
		j.mustApply(Command{Kind: Arrived, Cell: s.To, Names: []string{s.Name}, Number: s.ToMoveIndex})
	}
	j.mustApply(Command{Kind: Forget, Cell: 1})
	d := j.directory.Delta("r", r.NextRequest().Since, Version{}, false, 1<<20)
	if again := r.ApplyDelta(d); d.Complete || again || len(r.records) != 2 || r.Version() != j.directory.Version() {
		t.Errorf("got complete %t, again %t, %d records; want an incomplete delta, no further request, 2 records and the directory's version", d.Complete, again, len(r.records))
	}
}

// A node accepts grants only of its own cell for its own incarnation, and its leases end before it departs.
func TestNodeActsOnlyUnderLeasesOfItsCell(t *testing.T) {
	n := NewNode(member("x", 1), 1)
	ask := n.LeaseRequest(100, 0)
	n.HandleGrant(LeaseGrant{Cell: 2, Member: ask.Member, RequestSentMicros: ask.SentMicros}, leaseMicros)
	n.HandleGrant(LeaseGrant{Cell: 1, Member: member("x", 2), RequestSentMicros: ask.SentMicros}, leaseMicros)
	if n.LeaseValid(101) {
		t.Fatal("node accepted a lease of another cell or for another incarnation")
	}
	n.HandleGrant(LeaseGrant{Cell: 1, Member: ask.Member, RequestSentMicros: ask.SentMicros}, leaseMicros)
	if !n.LeaseValid(100+leaseMicros-1) || n.LeaseValid(100+leaseMicros) {
		t.Fatal("lease does not count from the time of its request")
	}
	cert := &Certificate{Departure: Departure{Cell: 1, To: 2, Member: n.Self, MoveIndex: 5}}
	if n.Depart(cert, 1) || n.Depart(&Certificate{Departure: Departure{Cell: 3, To: 2, Member: n.Self}}, 2) || !n.Depart(cert, 2) {
		t.Fatal("node departed as the same incarnation or with the certificate of another cell, or did not depart with its own")
	}
	n.HandleGrant(LeaseGrant{Cell: 1, Member: member("x", 1), RequestSentMicros: 200}, leaseMicros)
	if n.LeaseValid(201) || n.Cell != 2 {
		t.Errorf("node accepted a late grant of the cell that it left, or is in cell %d, want cell 2", n.Cell)
	}
	n.Relinquish()
	n.HandleGrant(LeaseGrant{Cell: 2, Member: n.Self, RequestSentMicros: 300}, leaseMicros)
	if n.LeaseValid(301) {
		t.Error("node has a valid lease after it relinquished its leases")
	}
}

// A cell applies an update without a record only if its own record has the update's checksum; otherwise it requests the record.
func TestUpdateWithoutRecordNeedsMatchingChecksum(t *testing.T) {
	j := newCommandLog(t)
	j.mustApply(Command{Kind: Open, Region: "r", Slots: makeSlots("r", 0, 3, 3)})
	r := NewRelay("r", NoFault)
	pull := func() { r.ApplyDelta(j.directory.Delta("r", r.NextRequest().Since, Version{}, false, 1<<20)) }
	a := NewLog(1, NoFault)
	pull()
	first := r.UpdateFor(1, a.LastUpdate.Version, false)
	mustApplyEntries(t, a, &Entry{Kind: UpdateDirectory, Update: first})
	if r.UpdateFor(1, a.LastUpdate.Version, false) != nil {
		t.Error("relay sent an update to a cell that is up to date")
	}
	j.mustApply(Command{Kind: Open, Region: "r", Slots: makeSlots("r", 3, 3, 3)})
	if pull(); r.UpdateFor(1, a.LastUpdate.Version, false) != nil {
		t.Error("relay sent a change of another cell")
	}
	j.mustApply(Command{Kind: SetTarget, Number: 1})
	pull()
	second := r.UpdateFor(1, a.LastUpdate.Version, false)
	if second.Record != nil || len(Encode(second)) > 60 {
		t.Errorf("update of the settings has a record or %d bytes, want no record and at most 60 bytes", len(Encode(second)))
	}
	if NewLog(1, NoFault).Apply(&Entry{Kind: UpdateDirectory, Update: second}) {
		t.Error("a cell with another record applied the update")
	}
	mustApplyEntries(t, a, &Entry{Kind: UpdateDirectory, Update: second})
	if a.LastUpdate.Record != first.Record || a.LastUpdate.Global.Settings != 1 {
		t.Errorf("last update is %+v, want the unchanged record and settings 1", a.LastUpdate)
	}
	b := NewLog(1, NoFault)
	mustApplyEntries(t, b, &Entry{Kind: UpdateDirectory, Update: r.UpdateFor(1, Version{}, true)})
}

// A relay converges to the directory's records after lost records, lost tombstones and duplicate deltas. A digest that differs costs one complete
// transfer in pages of bounded size.
func TestRelayConvergesAfterLossAndDuplicates(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		j := newCommandLog(t)
		for i := range 8 {
			j.mustApply(Command{Kind: Open, Region: []string{"r", "q"}[i%2], Slots: makeSlots([]string{"r", "q"}[i%2], 6*i, 6, 3)})
		}
		relay, next := NewRelay("r", NoFault), 100
		pull := func(spoil int) bool {
			p := relay.NextRequest()
			d := j.directory.Delta(p.Region, p.Since, p.From, p.Complete, 700)
			if size := len(Encode(d)); size > 2500 {
				r.Fatalf("page has %d bytes, want at most 2500", size)
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
				if p := j.directory.Record(ID(rapid.IntRange(1, 8).Draw(r, "cell"))); p != nil && len(p.Slots) > 1 {
					j.tryApply(Command{Kind: Split, Cell: p.ID, Names: namesOf(p.Slots[:len(p.Slots)/2])})
				}
			case 3: // carry out all splits and forget the old cells
				for _, id := range j.directory.CellIDs() {
					j.tryApply(Command{Kind: Ready, Cell: id, At: j.directory.Version()})
				}
				for _, id := range j.directory.CellIDs() {
					if p := j.directory.Record(id); len(p.Successors) > 0 {
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
		for ; calls < 100 && (relay.Version() != j.directory.Version() || pull(0)); calls++ {
			pull(0)
		}
		if relay.Version() != j.directory.Version() || relay.global != j.directory.Global() || calls > 40 {
			r.Fatalf("relay has version %v after %d calls, want version %v of the directory, its global state, and at most 40 calls", relay.Version(), calls, j.directory.Version())
		}
		for _, id := range j.directory.CellIDs() {
			if p := j.directory.Record(id); p.Region == "r" && relay.records[id].CellRecord != p {
				r.Fatalf("record of cell %d differs from the directory's", id)
			}
		}
		for id := range relay.records {
			if j.directory.Record(id) == nil {
				r.Fatalf("relay has a record of cell %d, which the directory has deleted", id)
			}
		}
	})
}

// Random commands never give a member more than one slot, except the old and the new slot of a single move. The same commands produce the same
// state.
func TestRandomCommandsKeepOneSlotPerMember(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		j, twin := newCommandLog(t), NewDirectory(NoFault)
		j.mustApply(Command{Kind: Open, Region: "r", Slots: makeSlots("r", 0, 4, 3)})
		j.mustApply(Command{Kind: Open, Region: "r", Slots: makeSlots("r", 4, 4, 3)})
		twin.Apply(Version{Term: 1, Index: 1}, &Command{Kind: Open, Region: "r", Slots: makeSlots("r", 0, 4, 3)})
		twin.Apply(Version{Term: 1, Index: 2}, &Command{Kind: Open, Region: "r", Slots: makeSlots("r", 4, 4, 3)})
		for range rapid.IntRange(1, 60).Draw(r, "n") {
			name := namesOf(makeSlots("r", rapid.IntRange(0, 8).Draw(r, "name"), 1, 3))
			cell := ID(rapid.IntRange(0, int(j.directory.lastID)+1).Draw(r, "cell"))
			c := Command{Kind: CommandKind(rapid.IntRange(int(Open), int(Forget)).Draw(r, "kind")), Region: "r", Cell: cell, Names: name, At: j.directory.Version()}
			switch c.Kind {
			case Open, Assign:
				c.Slots = makeSlots("r", rapid.IntRange(0, 8).Draw(r, "name"), 1, 3)
			case Merge:
				c.Cells = []ID{cell, ID(rapid.IntRange(0, int(j.directory.lastID)+1).Draw(r, "other"))}
			case Arrived:
				if p := j.directory.Record(cell); p != nil && p.Slot(name[0]) != nil {
					c.Number = p.Slot(name[0]).MoveIndex
				}
			case Removed:
				if p := j.directory.Record(j.directory.CellOf(name[0])); p != nil {
					c.Number = p.Slot(name[0]).ToMoveIndex
				}
			case Forget:
				if rapid.Bool().Draw(r, "cell") {
					c.Names = nil
				}
			}
			state := func() string {
				return string(Encode([]any{j.directory.records, j.directory.cellOf, j.directory.lastID, j.directory.global, j.directory.recordSums, len(j.directory.tombstones)}))
			}
			before := state()
			err := j.tryApply(c)
			if err != nil && state() != before {
				r.Fatalf("command %+v failed with %v but changed the state", c, err)
			}
			if twice := twin.Apply(j.directory.Version(), &c); (err == nil) != (twice == nil) || string(Encode(twin.records)) != string(Encode(j.directory.records)) {
				r.Fatalf("command %+v produced different states in two directories; errors: %v, %v", c, err, twice)
			}
			met := map[string][]MemberSlot{}
			for _, id := range j.directory.CellIDs() {
				for _, s := range j.directory.Record(id).Slots {
					met[s.Name] = append(met[s.Name], s)
					if j.directory.Record(j.directory.CellOf(s.Name)).Slot(s.Name) == nil {
						r.Fatalf("CellOf returns a cell without a slot of member %s", s.Name)
					}
				}
			}
			for n, all := range met {
				slices.SortFunc(all, func(a, b MemberSlot) int { return int(a.MoveIndex) - int(b.MoveIndex) })
				if len(all) > 2 || len(all) == 2 && (all[1].From == 0 || all[0].From != 0) {
					r.Fatalf("member %s has %d slots: %+v after command %+v", n, len(all), all, c)
				}
			}
		}
	})
}
