package auditevent

import (
	"testing"

	"damsonscale/internal/lab/golden"
	"damsonscale/internal/takeover"
)

var goldenVersion = ConfigVersion{Settings: 3, Digest: 0x0102030405060708, ListSeq: -1, Build: "build-7", Protocol: 2}

// Versions and kinds encode to the bytes of the fixture, which commit 2029d41 wrote, and kinds keep their names.
func TestEncodedFormIsUnchanged(t *testing.T) {
	messages := map[string]any{"version": goldenVersion, "version zero": ConfigVersion{}}
	for name, kind := range map[string]Kind{
		"took": Accepted, "took_over": TakenOver, "sent": Sent, "unsent": NotSent, "served": Served, "refused": Rejected, "failed": Failed,
		"turned_away": RejectedNoLease, "doubled": DuplicateID, "left": ClientLeft, "kinds": KindCount,
	} {
		messages["kind "+name] = kind
		if name != "kinds" && kind.String() != name {
			t.Errorf("kind %d has name %s, want %s", kind, kind, name)
		}
	}
	golden.CheckCBOR(t, "testdata/messages.json", messages)
}

// A reference is written to and parsed from the text form of commit 2029d41.
func TestRefHeaderFormatIsUnchanged(t *testing.T) {
	const want = "a/b/1f/77/3/102030405060708/-1"
	ref := Ref{Member: takeover.Member{Name: "a/b", Incarnation: 0x1f}, Number: 77, Version: goldenVersion}
	if got := string(ref.Append(nil)); got != want {
		t.Errorf("wrote reference %s, want %s", got, want)
	}
	ref.Version.Build, ref.Version.Protocol = "", 0 // not part of the header
	if got, err := ParseRef(want); err != nil || got != ref {
		t.Errorf("parsed reference %+v, error %v, want %+v and no error", got, err, ref)
	}
}
