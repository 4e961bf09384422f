package audit

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"damsonscale/internal/auditevent"
	"damsonscale/internal/takeover"
)

const fleet = 77

type testWriter struct {
	t        testing.TB
	now      int64
	writer   *SegmentWriter
	segments []SealedSegment
}

func newTestWriter(t testing.TB, fault InjectedFault) *testWriter {
	w := &testWriter{t: t}
	writer, err := NewSegmentWriter(fleet, takeover.Member{Name: "a", Incarnation: 1}, "build", 1, func() int64 { return w.now }, fault)
	if err != nil {
		t.Fatal(err)
	}
	w.writer = writer
	return w
}

// record records n events under a version, and cuts the segment after them.
func (w *testWriter) record(n int, version auditevent.ConfigVersionID) {
	for i := range n {
		w.now += 10
		w.writer.Record(auditevent.Kind(1+i%int(auditevent.KindCount)), version, fmt.Sprintf("id-%d", i), "s-1")
	}
	w.add(w.writer.Cut(w.now))
}

func (w *testWriter) add(all []SealedSegment, err error) {
	if err != nil {
		w.t.Fatal(err)
	}
	w.segments = append(w.segments, all...)
}

func codec(t testing.TB) *Codec {
	c, err := NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Every event has the version that it was decided under, also when another has come in force since.
func TestEventsBearTheirVersion(t *testing.T) {
	w := newTestWriter(t, NoFault)
	one := w.writer.SetVersion(1, 11, 5)
	two := w.writer.SetVersion(2, 22, 5)
	again := w.writer.SetVersion(2, 22, 5)
	if two == one || again != two {
		t.Fatal(one, two, again)
	}
	w.record(10, two)
	w.record(10, one)
	w.record(0, one)
	w.add(w.writer.EndIncarnation(w.now, takeover.Member{Name: "a", Incarnation: 2}))
	a := codec(t).AssembleTrails(fleet, w.segments, &Query{})
	if len(a) != 1 || len(a[0].Faults) > 0 || !a[0].Ended || a[0].LastEvent != 20 || len(a[0].Gaps()) > 0 || len(a[0].Events) != 20 {
		t.Fatalf("%+v", a)
	}
	for i, event := range a[0].Events {
		want := uint64(2)
		if i >= 10 {
			want = 1
		}
		if event.Number != uint64(i+1) || event.Version.Settings != want || event.Version.Build != "build" || event.AtMicros != int64(10*(i+1)) || event.ID != fmt.Sprintf("id-%d", i%10) || event.Note != "s-1" {
			t.Fatalf("%+v", event)
		}
	}
	number := uint64(1)
	if a := codec(t).AssembleTrails(fleet, w.segments, &Query{ID: "id-3", Version: &number}); len(a[0].Events) != 1 || a[0].Events[0].Number != 14 {
		t.Fatalf("%+v", a)
	}
	if ended, served := w.writer.AnswerCounts(1); ended != 0 || served != 0 {
		t.Error("counts of another incarnation", ended, served)
	}
	if ref := w.writer.Record(auditevent.Accepted, two, "x", ""); ref.Number != 1 || ref.Member.Incarnation != 2 {
		t.Errorf("%+v", ref)
	}
	if back, err := auditevent.ParseRef(string((&auditevent.Ref{Member: takeover.Member{Name: "a/b", Incarnation: 9}, Number: 7, Version: auditevent.ConfigVersion{ListSeq: -1, Digest: 3}}).Append(nil))); err != nil ||
		back.Member.Name != "a/b" || back.Number != 7 || back.Version.ListSeq != -1 || back.Version.Digest != 3 {
		t.Error(back, err)
	}
}

// Whatever is lost, duplicated, swapped or corrupt, the trail has no event that was not recorded, and states exactly those that are missing.
func TestTrailStatesItsGaps(t *testing.T) {
	c := codec(t)
	rapid.Check(t, func(r *rapid.T) {
		w := newTestWriter(t, NoFault)
		version := w.writer.SetVersion(3, 33, 1)
		n := rapid.IntRange(2, 8).Draw(r, "segments")
		for range n {
			w.record(rapid.IntRange(1, 9).Draw(r, "events"), version)
		}
		ended := rapid.Bool().Draw(r, "ended")
		if ended {
			w.add(w.writer.EndIncarnation(w.now, takeover.Member{Name: "a", Incarnation: 2}))
		}
		var have []SealedSegment
		known, last, end, corrupt := map[uint64]bool{}, uint64(0), false, false
		for _, z := range w.segments {
			seg, err := c.Open(fleet, &z)
			if err != nil {
				t.Fatal(err)
			}
			switch rapid.IntRange(0, 4).Draw(r, "outcome") {
			case 0: // lost
				continue
			case 1: // one byte is edited
				bad := z
				bad.Encoded = slices.Clone(z.Encoded)
				bad.Encoded[rapid.IntRange(0, len(bad.Encoded)-1).Draw(r, "at")] ^= 1 << rapid.IntRange(0, 7).Draw(r, "bit")
				have, corrupt = append(have, bad), true
				continue
			case 2: // duplicated
				have = append(have, z)
			}
			have = append(have, z)
			for k := seg.FirstEvent; k <= seg.LastEvent; k++ {
				known[k] = true
			}
			last, end = seg.LastEvent, seg.Final
		}
		have = rapid.Permutation(have).Draw(r, "order")
		for _, a := range c.AssembleTrails(fleet, have, &Query{}) {
			if a.Member.Name == "" {
				if !corrupt {
					t.Fatalf("%v", a.Faults)
				}
				continue
			}
			if a.LastEvent != last || a.Ended != end || len(a.Faults) > 0 || len(a.Events) != len(known) {
				t.Fatalf("%+v, last %d, ended %t, %d known", a, last, end, len(known))
			}
			for _, event := range a.Events {
				if !known[event.Number] {
					t.Fatalf("event %d can't be known", event.Number)
				}
			}
			missing := uint64(0)
			for _, g := range a.Gaps() {
				for k := g.First; k <= g.Last; k++ {
					if missing++; known[k] {
						t.Fatalf("event %d is in a gap", k)
					}
				}
			}
			if missing+uint64(len(known)) != last {
				t.Fatalf("%d missing and %d known of %d", missing, len(known), last)
			}
		}
	})
}

// Segments that do not belong together are faults: of another fleet, of a newer build, a second chain of one incarnation, a broken chain.
func TestContradictionsAreFaults(t *testing.T) {
	c := codec(t)
	w := newTestWriter(t, NoFault)
	for range 3 {
		w.record(5, 0)
	}
	other := newTestWriter(t, NoFault)
	other.now = 1000
	for range 3 {
		other.record(5, 0)
	}
	newer, err := c.seal(&Segment{Format: format + 1, Fleet: fleet, Member: takeover.Member{Name: "a"}, Index: 1, FirstEvent: 1})
	if err != nil {
		t.Fatal(err)
	}
	wider, err := c.encoder.Marshal([]any{format + 1, 1, 2, 3})
	if err != nil {
		t.Fatal(err)
	}
	broken, dropped := newTestWriter(t, ChainBroken), newTestWriter(t, EventDropped)
	broken.record(5, 0)
	broken.record(5, 0)
	dropped.record(250, 0)
	for name, k := range map[string]struct {
		segments []SealedSegment
		of       uint64
		want     string
	}{
		"another fleet":    {w.segments[:1], fleet + 1, "of another fleet"},
		"newer":            {[]SealedSegment{newer}, fleet, "newer build"},
		"newer and longer": {[]SealedSegment{{Encoded: wider, Hash: hashOf(wider)}}, fleet, "newer build"},
		"two chains":       {append(slices.Clone(w.segments), other.segments[1]), fleet, "two segments 2"},
		"spliced":          {[]SealedSegment{w.segments[0], other.segments[1], w.segments[2]}, fleet, "names"},
		"chain broken":     {broken.segments, fleet, "names"},
		"event dropped":    {dropped.segments, fleet, "250 events counted, 248 numbered"},
	} {
		faults := ""
		for _, a := range c.AssembleTrails(k.of, k.segments, &Query{}) {
			faults += strings.Join(a.Faults, "\n")
		}
		if !strings.Contains(faults, k.want) {
			t.Errorf("%s: %q", name, faults)
		}
	}
}

func hashOf(text []byte) Hash { return sha256.Sum256(text) }

// Counts stay exact over more versions than are counted apart, and the store keeps the latest segment of each incarnation.
func TestBounds(t *testing.T) {
	c := codec(t)
	w := newTestWriter(t, NoFault)
	for list := range int64(1000) {
		w.record(3, w.writer.SetVersion(1+uint64(list)/500, 0, list))
	}
	store := NewSegmentStore(c, fleet, 40_000)
	for _, z := range w.segments {
		if _, err := store.Put(z); err != nil {
			t.Fatal(err)
		}
	}
	a := c.AssembleTrails(fleet, store.Segments("a"), &Query{})
	if store.Bytes() > 40_000 || len(a) != 1 || a[0].LastEvent != 3000 || len(a[0].Faults) > 0 || len(a[0].Counts) > maxCounts+1 {
		t.Fatalf("%d bytes, %d trails, %+v", store.Bytes(), len(a), a[0].Faults)
	}
	of := map[uint64]uint64{}
	for _, k := range a[0].Counts {
		for _, n := range k.ByKind {
			of[k.Version.Settings] += n
		}
	}
	if of[1] != 1500 || of[2] != 1500 {
		t.Errorf("%v", of)
	}
	if _, err := store.Put(SealedSegment{Encoded: []byte("x")}); err == nil {
		t.Error("a malformed segment is stored")
	}
	p, now := NewReplication(1<<20), int64(0)
	for _, z := range w.segments[:5] {
		seg, err := c.Open(fleet, &z)
		if err != nil {
			t.Fatal(err)
		}
		p.Add(z, seg, []string{"b", "c"})
	}
	if due := p.Due(now, "b", 100, 1<<20); len(due) != 5 || len(p.Due(now+50, "b", 100, 1<<20)) != 0 {
		t.Error("sent again too soon, or not at all")
	}
	for i := range uint64(4) {
		p.Acknowledge("b", takeover.Member{Name: "a", Incarnation: 1}, i+1)
	}
	if due := p.Due(now+200, "b", 100, 1<<20); len(due) != 1 || due[0].Hash != w.segments[4].Hash || len(p.Due(0, "c", 100, 1)) != 1 {
		t.Errorf("%d are due", len(due))
	}
}

func BenchmarkAdd(b *testing.B) {
	w := newTestWriter(b, NoFault)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		w.writer.Record(auditevent.Sent, 0, "0000232b0000014d", "s-17")
		if i%1000 == 0 {
			w.writer.Cut(0)
		}
	}
}

// Whatever bytes come as a segment, decoding them ends in an error or in the events that it states.
func FuzzSegment(f *testing.F) {
	w := newTestWriter(f, NoFault)
	w.record(5, 0)
	f.Add(w.segments[0].Encoded)
	c := codec(f)
	f.Fuzz(func(t *testing.T, text []byte) {
		seg, err := c.Open(fleet, &SealedSegment{Encoded: text, Hash: hashOf(text)})
		if err != nil {
			return
		}
		if all, err := seg.Events(); err == nil && uint64(len(all)) != seg.LastEvent+1-seg.FirstEvent {
			t.Fatalf("%d events of %d to %d", len(all), seg.FirstEvent, seg.LastEvent)
		}
		c.AssembleTrails(fleet, []SealedSegment{{Encoded: text, Hash: hashOf(text)}}, &Query{})
	})
}

// BenchmarkHour records the events of many requests (accepted, sent, served) and queries one of them.
func BenchmarkHour(b *testing.B) {
	w := newTestWriter(b, NoFault)
	const requests = 360_000                                                            // a tenth of an hour at 1,000 a second
	idOf := func(i uint64) string { return fmt.Sprintf("%016x", i*0x9e3779b97f4a7c15) } // as good as random
	for b.Loop() {
		w.segments = nil
		for i := range requests {
			id := idOf(uint64(i))
			w.now += 1000
			w.writer.Record(auditevent.Accepted, 0, id, "look")
			w.writer.Record(auditevent.Sent, 0, id, "s-1")
			w.writer.Record(auditevent.Served, 0, id, "200")
			if i%100 == 0 {
				w.add(w.writer.Cut(w.now))
			}
		}
	}
	bytes := 0
	for i := range w.segments {
		bytes += len(w.segments[i].Encoded)
	}
	b.ReportMetric(float64(bytes)/requests, "bytes/request")
	c := codec(b)
	at := time.Now()
	a := c.AssembleTrails(fleet, w.segments, &Query{ID: idOf(requests / 2)})
	b.ReportMetric(float64(time.Since(at).Milliseconds()), "ms/query")
	if len(a) == 0 || len(a[0].Events) != 3 {
		b.Fatal("not found")
	}
}
