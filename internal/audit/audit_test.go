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

const testFleetID = 77

// testWriter is a SegmentWriter with a fake clock and the segments collected from it.
type testWriter struct {
	t        testing.TB
	now      int64 // µs
	writer   *SegmentWriter
	segments []SealedSegment
}

func newTestWriter(t testing.TB, fault InjectedFault) *testWriter {
	w := &testWriter{t: t}
	writer, err := NewSegmentWriter(testFleetID, takeover.Member{Name: "a", Incarnation: 1}, "build", 1, func() int64 { return w.now }, fault)
	if err != nil {
		t.Fatal(err)
	}
	w.writer = writer
	return w
}

// record records n events under a version, 10 µs apart, and cuts the segment.
func (w *testWriter) record(n int, version auditevent.ConfigVersionID) {
	for i := range n {
		w.now += 10
		w.writer.Record(auditevent.Kind(1+i%int(auditevent.KindCount)), version, fmt.Sprintf("id-%d", i), "s-1")
	}
	w.collect(w.writer.Cut(w.now))
}

// collect appends segments that the writer returned.
func (w *testWriter) collect(all []SealedSegment, err error) {
	if err != nil {
		w.t.Fatalf("collecting segments: %v", err)
	}
	w.segments = append(w.segments, all...)
}

func newTestCodec(t testing.TB) *Codec {
	c, err := NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// An event keeps the version that it was decided under, even if another version was in force when it was recorded.
func TestEventsKeepTheVersionTheyWereDecidedUnder(t *testing.T) {
	w := newTestWriter(t, NoFault)
	first := w.writer.SetVersion(1, 11, 5)
	second := w.writer.SetVersion(2, 22, 5)
	again := w.writer.SetVersion(2, 22, 5)
	if second == first || again != second {
		t.Fatalf("version ids %d, %d and %d, want two different ids and the second one again", first, second, again)
	}
	w.record(10, second)
	w.record(10, first)
	w.record(0, first)
	w.collect(w.writer.EndIncarnation(w.now, takeover.Member{Name: "a", Incarnation: 2}))
	trails := newTestCodec(t).AssembleTrails(testFleetID, w.segments, &Query{})
	if len(trails) != 1 || len(trails[0].Faults) > 0 || !trails[0].Ended || trails[0].LastEvent != 20 || len(trails[0].Gaps()) > 0 || len(trails[0].Events) != 20 {
		t.Fatalf("trails %+v, want one ended trail of 20 events without faults or gaps", trails)
	}
	for i, event := range trails[0].Events {
		wantSettings := uint64(2)
		if i >= 10 {
			wantSettings = 1
		}
		if event.Number != uint64(i+1) || event.Version.Settings != wantSettings || event.Version.Build != "build" || event.AtMicros != int64(10*(i+1)) || event.ID != fmt.Sprintf("id-%d", i%10) || event.Note != "s-1" {
			t.Fatalf("event %+v, want number %d under settings %d", event, i+1, wantSettings)
		}
	}
	number := uint64(1)
	if trails := newTestCodec(t).AssembleTrails(testFleetID, w.segments, &Query{ID: "id-3", Version: &number}); len(trails[0].Events) != 1 || trails[0].Events[0].Number != 14 {
		t.Fatalf("query of id-3 under settings 1 returned %+v, want event 14 alone", trails)
	}
	if answered, served := w.writer.AnswerCounts(1); answered != 0 || served != 0 {
		t.Errorf("new incarnation counts %d answers, %d served, want 0 and 0", answered, served)
	}
	if ref := w.writer.Record(auditevent.Accepted, second, "x", ""); ref.Number != 1 || ref.Member.Incarnation != 2 {
		t.Errorf("first event of the new incarnation has reference %+v, want event 1 of incarnation 2", ref)
	}
	if ref, err := auditevent.ParseRef(string((&auditevent.Ref{Member: takeover.Member{Name: "a/b", Incarnation: 9}, Number: 7, Version: auditevent.ConfigVersion{ListSeq: -1, Digest: 3}}).Append(nil))); err != nil ||
		ref.Member.Name != "a/b" || ref.Number != 7 || ref.Version.ListSeq != -1 || ref.Version.Digest != 3 {
		t.Errorf("parsed reference %+v, error %v, want the reference that was written", ref, err)
	}
}

// If segments are lost, duplicated, reordered or corrupted at random, the trail has no event that was not recorded, and its gaps are exactly
// the missing events.
func TestTrailListsMissingEventsAsGaps(t *testing.T) {
	c := newTestCodec(t)
	rapid.Check(t, func(r *rapid.T) {
		w := newTestWriter(t, NoFault)
		version := w.writer.SetVersion(3, 33, 1)
		n := rapid.IntRange(2, 8).Draw(r, "segments")
		for range n {
			w.record(rapid.IntRange(1, 9).Draw(r, "events"), version)
		}
		ended := rapid.Bool().Draw(r, "ended")
		if ended {
			w.collect(w.writer.EndIncarnation(w.now, takeover.Member{Name: "a", Incarnation: 2}))
		}
		var input []SealedSegment
		known, wantLast, wantEnded, corrupt := map[uint64]bool{}, uint64(0), false, false
		for _, sealed := range w.segments {
			seg, err := c.Open(testFleetID, &sealed)
			if err != nil {
				t.Fatal(err)
			}
			switch rapid.IntRange(0, 4).Draw(r, "outcome") {
			case 0: // lost
				continue
			case 1: // one bit is flipped
				corrupted := sealed
				corrupted.Encoded = slices.Clone(sealed.Encoded)
				corrupted.Encoded[rapid.IntRange(0, len(corrupted.Encoded)-1).Draw(r, "at")] ^= 1 << rapid.IntRange(0, 7).Draw(r, "bit")
				input, corrupt = append(input, corrupted), true
				continue
			case 2: // duplicated
				input = append(input, sealed)
			}
			input = append(input, sealed)
			for n := seg.FirstEvent; n <= seg.LastEvent; n++ {
				known[n] = true
			}
			wantLast, wantEnded = seg.LastEvent, seg.Final
		}
		input = rapid.Permutation(input).Draw(r, "order")
		for _, trail := range c.AssembleTrails(testFleetID, input, &Query{}) {
			if trail.Member.Name == "" {
				if !corrupt {
					t.Fatalf("no segment was corrupted, but some could not be opened: %v", trail.Faults)
				}
				continue
			}
			if trail.LastEvent != wantLast || trail.Ended != wantEnded || len(trail.Faults) > 0 || len(trail.Events) != len(known) {
				t.Fatalf("trail %+v, want last event %d, ended %t, %d events and no faults", trail, wantLast, wantEnded, len(known))
			}
			for _, event := range trail.Events {
				if !known[event.Number] {
					t.Fatalf("trail has event %d, whose segment was not given", event.Number)
				}
			}
			missing := uint64(0)
			for _, gap := range trail.Gaps() {
				for n := gap.First; n <= gap.Last; n++ {
					if missing++; known[n] {
						t.Fatalf("event %d is in a gap, but its segment was given", n)
					}
				}
			}
			if missing+uint64(len(known)) != wantLast {
				t.Fatalf("%d events in gaps and %d known events, want a sum of %d", missing, len(known), wantLast)
			}
		}
	})
}

// Segments of another fleet or of a newer build, a second chain of one incarnation, a broken chain and a dropped event are reported as faults.
func TestInconsistentSegmentsAreReportedAsFaults(t *testing.T) {
	c := newTestCodec(t)
	w := newTestWriter(t, NoFault)
	for range 3 {
		w.record(5, 0)
	}
	secondChain := newTestWriter(t, NoFault)
	secondChain.now = 1000
	for range 3 {
		secondChain.record(5, 0)
	}
	newerFormat, err := c.seal(&Segment{Format: formatVersion + 1, Fleet: testFleetID, Member: takeover.Member{Name: "a"}, Index: 1, FirstEvent: 1})
	if err != nil {
		t.Fatal(err)
	}
	unknownFields, err := c.encoder.Marshal([]any{formatVersion + 1, 1, 2, 3})
	if err != nil {
		t.Fatal(err)
	}
	broken, dropped := newTestWriter(t, ChainBroken), newTestWriter(t, EventDropped)
	broken.record(5, 0)
	broken.record(5, 0)
	dropped.record(250, 0)
	for name, test := range map[string]struct {
		segments []SealedSegment
		fleet    uint64
		want     string
	}{
		"another fleet":  {w.segments[:1], testFleetID + 1, "segment belongs to another fleet"},
		"newer format":   {[]SealedSegment{newerFormat}, testFleetID, "newer build"},
		"unknown fields": {[]SealedSegment{{Encoded: unknownFields, Hash: hashOf(unknownFields)}}, testFleetID, "newer build"},
		"two chains":     {append(slices.Clone(w.segments), secondChain.segments[1]), testFleetID, "two segments with index 2"},
		"spliced":        {[]SealedSegment{w.segments[0], secondChain.segments[1], w.segments[2]}, testFleetID, "but the preceding segment has hash"},
		"chain broken":   {broken.segments, testFleetID, "but the preceding segment has hash"},
		"event dropped":  {dropped.segments, testFleetID, "counts add up to 250 events, but the last event has number 248"},
	} {
		faults := ""
		for _, trail := range c.AssembleTrails(test.fleet, test.segments, &Query{}) {
			faults += strings.Join(trail.Faults, "\n")
		}
		if !strings.Contains(faults, test.want) {
			t.Errorf("%s: faults %q, want one that contains %q", name, faults, test.want)
		}
	}
}

func hashOf(encoded []byte) Hash { return sha256.Sum256(encoded) }

// Counts per settings stay exact with more versions than are counted separately. The store stays within its bound and keeps the latest segment
// of an incarnation. Segments are sent again only after the interval, until they are acknowledged.
func TestCountsStoreAndReplicationStayWithinBounds(t *testing.T) {
	c := newTestCodec(t)
	w := newTestWriter(t, NoFault)
	for list := range int64(1000) {
		w.record(3, w.writer.SetVersion(1+uint64(list)/500, 0, list))
	}
	store := NewSegmentStore(c, testFleetID, 40_000)
	for _, sealed := range w.segments {
		if _, err := store.Put(sealed); err != nil {
			t.Fatal(err)
		}
	}
	trails := c.AssembleTrails(testFleetID, store.Segments("a"), &Query{})
	if store.Bytes() > 40_000 || len(trails) != 1 || trails[0].LastEvent != 3000 || len(trails[0].Faults) > 0 || len(trails[0].Counts) > maxCounts+1 {
		t.Fatalf("%d bytes stored, %d trails, faults %+v, want at most 40000 bytes and one trail up to event 3000 without faults", store.Bytes(), len(trails), trails[0].Faults)
	}
	bySettings := map[uint64]uint64{}
	for _, counts := range trails[0].Counts {
		for _, n := range counts.ByKind {
			bySettings[counts.Version.Settings] += n
		}
	}
	if bySettings[1] != 1500 || bySettings[2] != 1500 {
		t.Errorf("events by settings: %v, want 1500 under each of 1 and 2", bySettings)
	}
	if _, err := store.Put(SealedSegment{Encoded: []byte("x")}); err == nil {
		t.Error("store accepted a malformed segment")
	}
	replication, now := NewReplication(1<<20), int64(0)
	for _, sealed := range w.segments[:5] {
		seg, err := c.Open(testFleetID, &sealed)
		if err != nil {
			t.Fatal(err)
		}
		replication.Add(sealed, seg, []string{"b", "c"})
	}
	if due := replication.Due(now, "b", 100, 1<<20); len(due) != 5 || len(replication.Due(now+50, "b", 100, 1<<20)) != 0 {
		t.Error("want 5 segments due for b at first, and none before the resend interval has passed")
	}
	for i := range uint64(4) {
		replication.Acknowledge("b", takeover.Member{Name: "a", Incarnation: 1}, i+1)
	}
	if due := replication.Due(now+200, "b", 100, 1<<20); len(due) != 1 || due[0].Hash != w.segments[4].Hash || len(replication.Due(0, "c", 100, 1)) != 1 {
		t.Errorf("%d segments due for b after 4 of 5 acknowledgements, want the fifth alone, and one for c", len(due))
	}
}

func BenchmarkRecord(b *testing.B) {
	w := newTestWriter(b, NoFault)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		w.writer.Record(auditevent.Sent, 0, "0000232b0000014d", "s-17")
		if i%1000 == 0 {
			w.writer.Cut(0)
		}
	}
}

// FuzzSegment checks that decoding arbitrary bytes as a segment either fails or returns as many events as the segment states.
func FuzzSegment(f *testing.F) {
	w := newTestWriter(f, NoFault)
	w.record(5, 0)
	f.Add(w.segments[0].Encoded)
	c := newTestCodec(f)
	f.Fuzz(func(t *testing.T, encoded []byte) {
		seg, err := c.Open(testFleetID, &SealedSegment{Encoded: encoded, Hash: hashOf(encoded)})
		if err != nil {
			return
		}
		if events, err := seg.Events(); err == nil && uint64(len(events)) != seg.LastEvent+1-seg.FirstEvent {
			t.Fatalf("decoded %d events, want events %d to %d", len(events), seg.FirstEvent, seg.LastEvent)
		}
		c.AssembleTrails(testFleetID, []SealedSegment{{Encoded: encoded, Hash: hashOf(encoded)}}, &Query{})
	})
}

// BenchmarkRecordAndQuery records the events of many requests (accepted, sent, served), and queries one request.
func BenchmarkRecordAndQuery(b *testing.B) {
	w := newTestWriter(b, NoFault)
	const requests = 360_000                                                            // 6 minutes at 1,000 requests/s
	idOf := func(i uint64) string { return fmt.Sprintf("%016x", i*0x9e3779b97f4a7c15) } // incompressible like a random id
	for b.Loop() {
		w.segments = nil
		for i := range requests {
			id := idOf(uint64(i))
			w.now += 1000
			w.writer.Record(auditevent.Accepted, 0, id, "look")
			w.writer.Record(auditevent.Sent, 0, id, "s-1")
			w.writer.Record(auditevent.Served, 0, id, "200")
			if i%100 == 0 {
				w.collect(w.writer.Cut(w.now))
			}
		}
	}
	bytes := 0
	for i := range w.segments {
		bytes += len(w.segments[i].Encoded)
	}
	b.ReportMetric(float64(bytes)/requests, "bytes/request")
	c := newTestCodec(b)
	start := time.Now()
	trails := c.AssembleTrails(testFleetID, w.segments, &Query{ID: idOf(requests / 2)})
	b.ReportMetric(float64(time.Since(start).Milliseconds()), "ms/query")
	if len(trails) == 0 || len(trails[0].Events) != 3 {
		b.Fatal("query did not return the request's 3 events")
	}
}
