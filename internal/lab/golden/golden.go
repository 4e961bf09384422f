// Package golden compares encoded messages with golden files, so that tests detect incompatible changes of the encoding.
package golden

import (
	"encoding/hex"
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// CheckCBOR checks that messages encode to the canonical CBOR in a golden file, and that the CBOR in the file decodes to the messages. The file is a JSON
// object that maps the name of each message to its CBOR in hex, and must contain exactly the given messages. CheckCBOR never writes the file:
// a new encoding needs a new file.
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
		t.Errorf("golden file holds %d messages, want the %d messages of the test", len(want), len(messages))
	}
	encoder, err := cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode()
	if err != nil {
		t.Fatal(err)
	}
	for name, message := range messages {
		got, err := encoder.Marshal(message)
		if err != nil || hex.EncodeToString(got) != want[name] {
			t.Errorf("%s: encoded as %x, error %v, want %s", name, got, err, want[name])
		}
		raw, err := hex.DecodeString(want[name])
		if err != nil {
			t.Fatal(err)
		}
		back := reflect.New(reflect.TypeOf(message))
		if err := cbor.Unmarshal(raw, back.Interface()); err != nil || !reflect.DeepEqual(back.Elem().Interface(), message) {
			t.Errorf("%s: decoded as %+v, error %v, want %+v", name, back.Elem(), err, message)
		}
	}
}
