// Package golden compares what the program writes and reads with files that an earlier build wrote. Tests use it.
package golden

import (
	"encoding/hex"
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// CheckCBOR compares messages, by name, with the hex of their canonical CBOR in a JSON file, and reads them back. It reports every
// difference, and a message that stands only in the file or only in the test. The file is never written: a new form gets a new one.
func CheckCBOR(t *testing.T, path string, messages map[string]any) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]string{}
	if err := json.Unmarshal(text, &want); err != nil {
		t.Fatal(err)
	}
	if len(want) != len(messages) {
		t.Errorf("%d messages in the file, %d in the test", len(want), len(messages))
	}
	encoder, err := cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode()
	if err != nil {
		t.Fatal(err)
	}
	for name, message := range messages {
		got, err := encoder.Marshal(message)
		if err != nil || hex.EncodeToString(got) != want[name] {
			t.Errorf("%s: encoded as %x, %v, want %s", name, got, err, want[name])
		}
		raw, err := hex.DecodeString(want[name])
		if err != nil {
			t.Fatal(err)
		}
		back := reflect.New(reflect.TypeOf(message))
		if err := cbor.Unmarshal(raw, back.Interface()); err != nil || !reflect.DeepEqual(back.Elem().Interface(), message) {
			t.Errorf("%s: decoded as %+v, %v, want %+v", name, back.Elem(), err, message)
		}
	}
}
