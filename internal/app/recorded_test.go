package app

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"
)

// The processes of an upgrade may be of different builds. The JSON that a process sends its successor must be byte for byte
// that of the build of commit 2029d41.
func TestHandoverPayloadsMatchRecordedBuild(t *testing.T) {
	for name, c := range map[string]struct{ got, want any }{
		"state.json":         {&predecessorState{}, &predecessorState{Draining: true}},
		"open_requests.json": {&inFlightNotice{}, &inFlightNotice{RequestIDs: []string{"r1", "r2"}}},
	} {
		text, err := os.ReadFile("../handover/testdata/2029d41/" + name)
		if err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(text, c.got); err != nil || !reflect.DeepEqual(c.got, c.want) {
			t.Errorf("%s: decoded %+v with error %v, want %+v", name, c.got, err, c.want)
		}
		if wrote, err := json.Marshal(c.want); err != nil || !bytes.Equal(wrote, bytes.TrimSpace(text)) {
			t.Errorf("%s: encoded %s with error %v, want %s as by the build of 2029d41", name, wrote, err, text)
		}
	}
}
