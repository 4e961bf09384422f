package rollout

import (
	"testing"

	"damsonscale/internal/lab/golden"
)

// Stored and sent types encode to the bytes of the fixture, which commit 2029d41 wrote, and kinds keep their names.
func TestEncodedFormIsUnchanged(t *testing.T) {
	version := Version{Number: 4, Digest: Digest{1, 2, 3}, SizeBytes: 99, Author: "who", Reason: "why", RollbackOf: 2}
	messages := map[string]any{
		"version": version,
		"order": Command{
			Kind: RollOut, ID: 5, Author: "who", Reason: "why", Settings: []byte("text"), Number: 6, Name: "n7", SharePermille: 340, SettleMs: 1500, GraceMs: 2500,
		},
		"plan": Plan{
			LastNumber: 4, Target: 3, Fence: 2, Base: 1, SharePermille: 340, Canaries: []string{"n1", "n2"}, SettleMs: 1500, GraceMs: 2500, PauseReason: "held",
			Versions: []Version{version}, Excluded: []string{"n3"}, AppliedIDs: []uint64{8, 9},
		},
		"plan zero": Plan{},
		"report": Report{
			ActiveVersion: 3, RejectedVersion: 4, RejectReason: "why", Digest: 5, Build: "build-7", Current: ServiceCounts{Answered: 10, Served: 9}, Previous: ServiceCounts{Answered: 20, Served: 18},
		},
		"service": ServiceCounts{Answered: 10, Served: 9},
	}
	for name, kind := range map[string]Kind{
		"rollout": RollOut, "hold": Pause, "back": Rollback, "out": Exclude, "readmit": Readmit, "widen": Promote, "fence": Fence, "choose": ReselectCanaries,
	} {
		messages["kind "+name] = kind
		if kind.String() != name {
			t.Errorf("kind %d has name %s, want %s", kind, kind, name)
		}
	}
	golden.CheckCBOR(t, "testdata/messages.json", messages)
}
