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

// Messages have the bytes that commit 2029d41 gave them.
func TestStoredBytes(t *testing.T) {
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

// A directory that commit 2029d41 wrote is read act by act, with the gap of a segment that was lost.
func TestStoredDirectory(t *testing.T) {
	var all []SealedSegment
	for _, path := range []string{"a-1.segments", "a-2.segments", "b-1.segments"} {
		all = append(all, storedSegments(t, filepath.Join("testdata/directory", path))...)
	}
	text, err := os.ReadFile("testdata/accounts.json")
	if err != nil {
		t.Fatal(err)
	}
	type accountText struct {
		Member string
		Last   uint64
		Ended  bool
		Gaps   string
		Faults []string
		Counts []string
		Acts   []string
	}
	var want, got []accountText
	if err := json.Unmarshal(text, &want); err != nil {
		t.Fatal(err)
	}
	c := codec(t)
	for _, a := range c.AssembleTrails(fleetOfDirectory, all, &Query{}) {
		one := accountText{Member: fmt.Sprintf("%s/%x", a.Member.Name, a.Member.Incarnation), Last: a.LastEvent, Ended: a.Ended, Gaps: fmt.Sprint(a.Gaps()), Faults: a.Faults}
		for _, n := range a.Counts {
			one.Counts = append(one.Counts, fmt.Sprint(n.Version, n.ByKind, n.Merged))
		}
		for _, act := range a.Events {
			one.Acts = append(one.Acts, fmt.Sprint(act.Number, act.Kind, act.Version, act.AtMicros, act.ID, act.Note))
		}
		got = append(got, one)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, want %+v", got, want)
	}
}

// fleetOfDirectory is the number of the fleet of a, b and c.
const fleetOfDirectory = 12677899732819060529

// storedSegments reads the frames of a file of segments.
func storedSegments(t *testing.T, path string) (out []SealedSegment) {
	t.Helper()
	in, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	for {
		_, payload, err := frame.Read(in)
		if err == io.EOF {
			return out
		}
		var segment SealedSegment
		if err == nil {
			err = cbor.Unmarshal(payload, &segment)
		}
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		out = append(out, segment)
	}
}
