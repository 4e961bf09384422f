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

// openStored opens a copy of a log in testdata.
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

// expectStored checks what a log of testdata has: in its snapshot, whose entries end before first, and in the entries behind it.
func expectStored(t *testing.T, l *Log, first uint64, snapshot *Membership, settings map[string][]byte) {
	t.Helper()
	from, _ := l.store.FirstIndex()
	last, _ := l.store.LastIndex()
	hard, _, err := l.store.InitialState()
	if err != nil || from != first || last != 11 || hard.GetTerm() != 2 || hard.GetVote() != 1 || hard.GetCommit() != 11 || l.recoveredIndex != 11 {
		t.Errorf("entries %d to %d, state %v, committed before up to %d: %v", from, last, hard, l.recoveredIndex, err)
	}
	if l.appliedIndex != first-1 || !equalAsJSON(t, l.membership, snapshot) || !reflect.DeepEqual(l.settings, settings) {
		t.Errorf("snapshot at %d: %+v %q", l.appliedIndex, l.membership, l.settings)
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
			LastNumber: 1, Target: 1, Share: 400, Canaries: []string{"n02"}, SettleMs: 1000, GraceMs: 2000, PauseReason: "seen enough",
			Versions: []rollout.Version{storedVersion}, Excluded: []string{"n02"}, AppliedIDs: []uint64{7, 8, 9},
		},
	}
	if l.appliedIndex != 11 || changes == 0 || !equalAsJSON(t, l.membership, final) || !reflect.DeepEqual(l.settings, storedSettingsByDigest) {
		t.Errorf("entries up to %d, %d changes: %+v %q", l.appliedIndex, changes, l.membership, l.settings)
	}
}

// The version that was rolled out in the logs of testdata.
var (
	storedSettings         = []byte(`{"settings": {}}`)
	storedDigest           = rollout.DigestOf(storedSettings)
	storedVersion          = rollout.Version{Number: 1, Digest: storedDigest, SizeBytes: len(storedSettings), Author: "operator", Reason: "first version"}
	storedSettingsByDigest = map[string][]byte{string(storedDigest[:]): storedSettings}
)

// storedSnapshot is the membership in the snapshots of testdata, but for the version.
func storedSnapshot() *Membership {
	return &Membership{
		Epoch:   4,
		Members: []JoinedMember{{Member: member("n00", 100), JoinedEpoch: 1, FirstIncarnation: true}, {Member: member("n02", 102), JoinedEpoch: 3, FirstIncarnation: true}},
		Evicted: map[string][]uint64{"n01": {101}},
	}
}

// A log that commit 2029d41 wrote, with a snapshot and entries behind it, is read completely.
func TestStoredLogIsRead(t *testing.T) {
	l, err := openStored(t, "fleet-2029d41.db")
	if err != nil {
		t.Fatal(err)
	}
	defer l.store.close()
	expectStored(t, l, 7, storedSnapshot(), map[string][]byte{})
}

// So is one whose snapshot was written after a version was rolled out.
func TestStoredSnapshotWithRolledOutVersionIsRead(t *testing.T) {
	l, err := openStored(t, "fleet-2029d41-version.db")
	if err != nil {
		t.Fatal(err)
	}
	defer l.store.close()
	snapshot := storedSnapshot()
	snapshot.Epoch = 5
	snapshot.Plan = rollout.Plan{
		LastNumber: 1, Target: 1, Share: 400, Canaries: []string{"n02"}, SettleMs: 1000, GraceMs: 2000, Versions: []rollout.Version{storedVersion}, AppliedIDs: []uint64{7},
	}
	expectStored(t, l, 8, snapshot, storedSettingsByDigest)
}

// equalAsJSON compares by exported fields: an empty list equals none.
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

// A snapshot has the bytes that commit 2029d41 gave it, and they are read as the same value.
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
		t.Errorf("%+v", s)
	}
	if encoded, err := codec.Marshal(s); err != nil || !bytes.Equal(encoded, old) {
		t.Errorf("%x, not %x: %v", encoded, old, err)
	}
}
