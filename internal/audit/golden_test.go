package audit

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"damsonscale/internal/auditevent"
	"damsonscale/internal/frame"
	"damsonscale/internal/lab/golden"
	"damsonscale/internal/takeover"
)

var (
	goldenVersion = auditevent.ConfigVersion{Settings: 3, Digest: 0x0102030405060708, ListSeq: 41, Build: "build-7", Protocol: 2}
	goldenCount   = VersionCounts{Version: goldenVersion, ByKind: [auditevent.KindCount]uint64{11, 12, 13, 14, 15, 16, 17, 18, 19, 20}, Merged: true}
)

// Stored and sent types encode to the bytes of the fixture, which commit 2029d41 wrote.
func TestEncodedFormIsUnchanged(t *testing.T) {
	number := uint64(5)
	golden.CheckCBOR(t, "testdata/messages.json", map[string]any{
		"count":   goldenCount,
		"stamped": numberedVersion{ID: 9, Version: goldenVersion},
		"segment": Segment{
			Format: 1, Fleet: 77, Member: takeover.Member{Name: "a", Incarnation: 31}, Index: 4, FirstEvent: 100, LastEvent: 109, StartMicros: 123456, CutUnixMillis: 1764756000000,
			Final: true, PreviousHash: Hash{1, 2, 3}, Counts: []VersionCounts{goldenCount}, Versions: []numberedVersion{{ID: 9, Version: goldenVersion}}, Body: []byte{7, 8, 9},
		},
		"sealed":       SealedSegment{Encoded: []byte("text"), Hash: Hash{4, 5, 6}},
		"sealed list":  []SealedSegment{{Encoded: []byte("text"), Hash: Hash{4, 5, 6}}},
		"query":        Query{ID: "id", Member: "a", Version: &number, SinceUnixMillis: 1764756000000},
		"query of all": Query{},
	})
}

// The segment files of the fixture, which commit 2029d41 wrote, are read event by event, with the gap of a lost segment.
func TestStoredSegmentFilesAreReadCompletely(t *testing.T) {
	var segments []SealedSegment
	for _, path := range []string{"a-1.segments", "a-2.segments", "b-1.segments"} {
		segments = append(segments, readSegmentFile(t, filepath.Join("testdata/directory", path))...)
	}
	text, err := os.ReadFile("testdata/accounts.json")
	if err != nil {
		t.Fatal(err)
	}
	type trailText struct { // layout of accounts.json
		Member string
		Last   uint64
		Ended  bool
		Gaps   string
		Faults []string
		Counts []string
		Acts   []string
	}
	var want, got []trailText
	if err := json.Unmarshal(text, &want); err != nil {
		t.Fatal(err)
	}
	c := newTestCodec(t)
	for _, trail := range c.AssembleTrails(directoryFleetID, segments, &Query{}) {
		text := trailText{
			Member: fmt.Sprintf("%s/%x", trail.Member.Name, trail.Member.Incarnation), Last: trail.LastEvent, Ended: trail.Ended, Gaps: fmt.Sprint(trail.Gaps()),
			Faults: trail.Faults,
		}
		for _, counts := range trail.Counts {
			text.Counts = append(text.Counts, fmt.Sprint(counts.Version, counts.ByKind, counts.Merged))
		}
		for _, event := range trail.Events {
			text.Acts = append(text.Acts, fmt.Sprint(event.Number, event.Kind, event.Version, event.AtMicros, event.ID, event.Note))
		}
		got = append(got, text)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read trails %+v, want %+v", got, want)
	}
}

// directoryFleetID is the id of the fleet of members a, b and c.
const directoryFleetID = 12677899732819060529

// readSegmentFile reads the segments of a file.
func readSegmentFile(t *testing.T, path string) (segments []SealedSegment) {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	for {
		_, payload, err := frame.Read(file)
		if err == io.EOF {
			return segments
		}
		var segment SealedSegment
		if err == nil {
			err = cbor.Unmarshal(payload, &segment)
		}
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		segments = append(segments, segment)
	}
}
