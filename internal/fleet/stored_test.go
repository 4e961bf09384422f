package fleet

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"damsonscale/internal/rollout"
)

// openStored opens a copy of a log in testdata.
func openStored(t *testing.T, file string) (*epochs, error) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, storeFile), text, 0o600); err != nil {
		t.Fatal(err)
	}
	return newEpochs(dir, "n00", []string{"n00"}, time.Second)
}

// expectStored checks what a log of testdata says: by its snapshot, which has entries up to the seventh, and by the entries behind it.
func expectStored(t *testing.T, e *epochs, first uint64, snapshot *roster, texts map[string][]byte) {
	t.Helper()
	from, _ := e.store.FirstIndex()
	last, _ := e.store.LastIndex()
	hard, _, err := e.store.InitialState()
	if err != nil || from != first || last != 11 || hard.GetTerm() != 2 || hard.GetVote() != 1 || hard.GetCommit() != 11 || e.old != 11 {
		t.Errorf("entries %d to %d, state %v, agreed before up to %d: %v", from, last, hard, e.old, err)
	}
	if e.applied != first-1 || !sameJSON(t, e.roster, snapshot) || !reflect.DeepEqual(e.texts, texts) {
		t.Errorf("snapshot at %d: %+v %q", e.applied, e.roster, e.texts)
	}
	e.names = []string{"n00", "n01", "n02"}
	told := 0
	e.send = func(string, byte, []byte) {}
	e.told = func(*roster, map[string][]byte) { told++ }
	if err := e.ready(); err != nil {
		t.Fatal(err)
	}
	final := &roster{
		Epoch: 9,
		Seats: []seat{{Member: member("n00", 100), Joined: 1, First: true}, {Member: member("n01", 201), Joined: 6, Address: "127.0.0.1:7201"}},
		Gone:  map[string][]uint64{"n01": {101}, "n02": {102}},
		Plan: rollout.Plan{
			LastNumber: 1, Target: 1, Share: 400, Canaries: []string{"n02"}, SettleMs: 1000, GraceMs: 2000, PauseReason: "seen enough",
			Versions: []rollout.Version{storedVersion}, Excluded: []string{"n02"}, AppliedIDs: []uint64{7, 8, 9},
		},
	}
	if e.applied != 11 || told == 0 || !sameJSON(t, e.roster, final) || !reflect.DeepEqual(e.texts, storedTexts) {
		t.Errorf("entries up to %d, told %d times: %+v %q", e.applied, told, e.roster, e.texts)
	}
}

// What the logs of testdata have of the version that was rolled out in them.
var (
	storedSettings = []byte(`{"settings": {}}`)
	storedDigest   = rollout.DigestOf(storedSettings)
	storedVersion  = rollout.Version{Number: 1, Digest: storedDigest, SizeBytes: len(storedSettings), Author: "operator", Reason: "first version"}
	storedTexts    = map[string][]byte{string(storedDigest[:]): storedSettings}
)

// storedSnapshot is the membership in the snapshots of testdata, but for the version.
func storedSnapshot() *roster {
	return &roster{
		Epoch: 4,
		Seats: []seat{{Member: member("n00", 100), Joined: 1, First: true}, {Member: member("n02", 102), Joined: 3, First: true}},
		Gone:  map[string][]uint64{"n01": {101}},
	}
}

// A log that commit 2029d41 wrote, with a snapshot and entries behind it, is read with all that it says.
func TestALogOf2029d41IsRead(t *testing.T) {
	e, err := openStored(t, "fleet-2029d41.db")
	if err != nil {
		t.Fatal(err)
	}
	defer e.store.close()
	expectStored(t, e, 7, storedSnapshot(), map[string][]byte{})
}

// So is one whose snapshot was written after a version was rolled out.
func TestALogWithAVersionInItsSnapshotIsRead(t *testing.T) {
	e, err := openStored(t, "fleet-2029d41-version.db")
	if err != nil {
		t.Fatal(err)
	}
	defer e.store.close()
	snapshot := storedSnapshot()
	snapshot.Epoch = 5
	snapshot.Plan = rollout.Plan{
		LastNumber: 1, Target: 1, Share: 400, Canaries: []string{"n02"}, SettleMs: 1000, GraceMs: 2000, Versions: []rollout.Version{storedVersion}, AppliedIDs: []uint64{7},
	}
	expectStored(t, e, 8, snapshot, storedTexts)
}

// sameJSON compares by exported fields: an empty list equals none.
func sameJSON(t *testing.T, a, b any) bool {
	t.Helper()
	x, err := json.Marshal(a)
	if err != nil {
		t.Fatal(err)
	}
	y, err := json.Marshal(b)
	if err != nil {
		t.Fatal(err)
	}
	return bytes.Equal(x, y)
}

// What `fleet status --json` prints keeps its keys, their order and its form: operators' scripts read it.
func TestStatusKeepsItsKeysAsJSON(t *testing.T) {
	want, err := os.ReadFile("testdata/status-2029d41.json")
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	out := json.NewEncoder(&got)
	out.SetIndent("", " ")
	if err := out.Encode(sampleStanding()); err != nil {
		t.Fatal(err)
	}
	if got.String() != string(want) {
		t.Errorf("prints\n%s, not\n%s", got.String(), want)
	}
}
