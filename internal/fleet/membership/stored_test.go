package membership

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"damsonscale/internal/fleet/protocol"
	"damsonscale/internal/rollout"
)

// openStored opens a copy of a stored log in testdata.
func openStored(t *testing.T, file string) (*Log, error) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, storeFile), data, 0o600); err != nil {
		t.Fatal(err)
	}
	return OpenLog(testConfig(dir))
}

// expectStored checks the content of a log from testdata: its snapshot, after which first is the first entry, and the membership
// after its entries.
func expectStored(t *testing.T, l *Log, first uint64, snapshot *Membership, settings map[string][]byte) {
	t.Helper()
	from, _ := l.store.FirstIndex()
	last, _ := l.store.LastIndex()
	hard, _, err := l.store.InitialState()
	if err != nil || from != first || last != 11 || hard.GetTerm() != 2 || hard.GetVote() != 1 || hard.GetCommit() != 11 || l.recoveredIndex != 11 {
		t.Errorf("got entries %d to %d, hard state %v, recovered index %d, error %v; want entries %d to 11, term 2, vote 1, commit and recovered index 11", from, last, hard, l.recoveredIndex, err, first)
	}
	if l.appliedIndex != first-1 || !equalAsJSON(t, l.membership, snapshot) || !reflect.DeepEqual(l.settings, settings) {
		t.Errorf("snapshot at index %d: got membership %+v, settings %q; want index %d, %+v, %q", l.appliedIndex, l.membership, l.settings, first-1, snapshot, settings)
	}
	l.config.MemberNames = []string{"n00", "n01", "n02"}
	changes := 0
	l.config.OnChange = func(*Membership, map[string][]byte) { changes++ }
	if err := l.processReady(); err != nil {
		t.Fatal(err)
	}
	final := &Membership{
		Epoch:   9,
		Members: []JoinedMember{{Member: member("n00", 100), JoinedEpoch: 1, FirstIncarnation: true}, {Member: member("n01", 201), JoinedEpoch: 6, Address: "127.0.0.1:7201"}},
		Evicted: map[string][]uint64{"n01": {101}, "n02": {102}},
		Plan: rollout.Plan{
			LastNumber: 1, Target: 1, SharePermille: 400, Canaries: []string{"n02"}, SettleMs: 1000, GraceMs: 2000, PauseReason: "seen enough",
			Versions: []rollout.Version{storedVersion}, Excluded: []string{"n02"}, AppliedIDs: []uint64{7, 8, 9},
		},
	}
	if l.appliedIndex != 11 || changes == 0 || !equalAsJSON(t, l.membership, final) || !reflect.DeepEqual(l.settings, storedSettingsByDigest) {
		t.Errorf("entries applied up to %d, %d calls of OnChange: got membership %+v, settings %q; want index 11, %+v, %q", l.appliedIndex, changes, l.membership, l.settings, final, storedSettingsByDigest)
	}
}

// Settings and version that are rolled out in the logs of testdata.
var (
	storedSettings         = []byte(`{"settings": {}}`)
	storedDigest           = rollout.DigestOf(storedSettings)
	storedVersion          = rollout.Version{Number: 1, Digest: storedDigest, SizeBytes: len(storedSettings), Author: "operator", Reason: "first version"}
	storedSettingsByDigest = map[string][]byte{string(storedDigest[:]): storedSettings}
)

// storedSnapshot returns the membership in the snapshots of testdata, without the rolled out version.
func storedSnapshot() *Membership {
	return &Membership{
		Epoch:   4,
		Members: []JoinedMember{{Member: member("n00", 100), JoinedEpoch: 1, FirstIncarnation: true}, {Member: member("n02", 102), JoinedEpoch: 3, FirstIncarnation: true}},
		Evicted: map[string][]uint64{"n01": {101}},
	}
}

// A log written by commit 2029d41, with a snapshot and later entries, is read completely.
func TestStoredLogIsRead(t *testing.T) {
	l, err := openStored(t, "fleet-2029d41.db")
	if err != nil {
		t.Fatal(err)
	}
	defer l.store.close()
	expectStored(t, l, 7, storedSnapshot(), map[string][]byte{})
}

// A log written by commit 2029d41 whose snapshot has a rolled out version is read completely.
func TestStoredSnapshotWithRolledOutVersionIsRead(t *testing.T) {
	l, err := openStored(t, "fleet-2029d41-version.db")
	if err != nil {
		t.Fatal(err)
	}
	defer l.store.close()
	snapshot := storedSnapshot()
	snapshot.Epoch = 5
	snapshot.Plan = rollout.Plan{
		LastNumber: 1, Target: 1, SharePermille: 400, Canaries: []string{"n02"}, SettleMs: 1000, GraceMs: 2000, Versions: []rollout.Version{storedVersion}, AppliedIDs: []uint64{7},
	}
	expectStored(t, l, 8, snapshot, storedSettingsByDigest)
}

// equalAsJSON compares the JSON encodings of two values, in which an empty list may equal nil.
func equalAsJSON(t *testing.T, a, b any) bool {
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

// A snapshot is encoded to the same bytes as by commit 2029d41, and those bytes decode to the same value.
func TestSnapshotEncodingMatchesGoldenBytes(t *testing.T) {
	golden, err := os.ReadFile("testdata/snapshot-2029d41.hex")
	if err != nil {
		t.Fatal(err)
	}
	codec, err := protocol.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	old, err := hex.DecodeString(strings.TrimSpace(string(golden)))
	if err != nil {
		t.Fatal(err)
	}
	var s snapshot
	if err := codec.Unmarshal(old, &s); err != nil {
		t.Fatal(err)
	}
	want := JoinedMember{Member: member("m", 72), JoinedEpoch: 73, FirstIncarnation: true, Address: "x:1"}
	if s.Membership.Epoch != 71 || !reflect.DeepEqual(s.Membership.Members, []JoinedMember{want}) || s.Membership.Plan.Fence != 57 ||
		!reflect.DeepEqual(s.Membership.Evicted, map[string][]uint64{"gone": {74, 75}}) || string(s.Settings["digest"]) != "text" {
		t.Errorf("golden bytes decoded to %+v", s)
	}
	if encoded, err := codec.Marshal(s); err != nil || !bytes.Equal(encoded, old) {
		t.Errorf("snapshot encoded to %x, want %x; error %v", encoded, old, err)
	}
}
