package app

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"
)

// The JSON that a process sends its successor is that of commit 2029d41, byte for byte.
func TestRecordedHandoverMessages(t *testing.T) {
	for name, c := range map[string]struct{ got, want any }{
		"state.json":         {&predecessorState{}, &predecessorState{Draining: true}},
		"open_requests.json": {&inFlightNotice{}, &inFlightNotice{RequestIDs: []string{"r1", "r2"}}},
	} {
		text, err := os.ReadFile("../handover/testdata/2029d41/" + name)
		if err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(text, c.got); err != nil || !reflect.DeepEqual(c.got, c.want) {
			t.Errorf("%s: read %+v, expected %+v: %v", name, c.got, c.want, err)
		}
		if wrote, err := json.Marshal(c.want); err != nil || !bytes.Equal(wrote, bytes.TrimSpace(text)) {
			t.Errorf("%s: wrote %s, the build of 2029d41 wrote %s: %v", name, wrote, text, err)
		}
	}
}
