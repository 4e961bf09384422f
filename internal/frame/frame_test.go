package frame

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"testing"
)

// newFrame encodes a frame.
func newFrame(t testing.TB, kind byte, payload string) []byte {
	b, err := Append(nil, kind, []byte(payload))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestReadRejectsInvalidFrames(t *testing.T) {
	valid := newFrame(t, 7, "some words")
	replaceByte := func(at int, to byte) []byte {
		b := bytes.Clone(valid)
		b[at] = to
		return b
	}
	for name, c := range map[string]struct {
		in   []byte
		want error
	}{
		"valid frame":         {valid, nil},
		"empty input":         {nil, io.EOF},
		"truncated header":    {valid[:9], io.ErrUnexpectedEOF},
		"truncated payload":   {valid[:HeaderSize+3], io.ErrUnexpectedEOF},
		"missing payload":     {valid[:HeaderSize], io.ErrUnexpectedEOF},
		"other magic bytes":   {replaceByte(0, 'G'), ErrNotFrame},
		"other version":       {replaceByte(2, 9), VersionError{9}},
		"changed kind":        {replaceByte(3, 8), ErrChecksum},
		"length too small":    {replaceByte(7, 3), ErrChecksum},
		"length over maximum": {replaceByte(4, 0xff), ErrTooLong},
		"changed payload":     {replaceByte(HeaderSize+2, 'x'), ErrChecksum},
		"changed checksum":    {replaceByte(9, valid[9]+1), ErrChecksum},
	} {
		kind, payload, err := Read(bytes.NewReader(c.in))
		if !errors.Is(err, c.want) || c.want == nil && (kind != 7 || string(payload) != "some words") {
			t.Errorf("%s: got kind %d, payload %q, error %v; want error %v", name, kind, payload, err, c.want)
		}
	}
	if _, err := Append(nil, 1, make([]byte, MaxPayload+1)); !errors.Is(err, ErrTooLong) {
		t.Errorf("Append of a payload over MaxPayload: got error %v, want %v", err, ErrTooLong)
	}
}

// Read returns a frame or an error for arbitrary input, and a frame that it returns encodes to the input bytes again.
func FuzzRead(f *testing.F) {
	f.Add(newFrame(f, 1, "a"))
	f.Add(newFrame(f, 0, ""))
	f.Fuzz(func(t *testing.T, in []byte) {
		kind, payload, err := Read(bytes.NewReader(in))
		if err != nil {
			return
		}
		if again := newFrame(t, kind, string(payload)); !bytes.HasPrefix(in, again) {
			t.Fatalf("frame of kind %d with payload %q encodes differently from the input %x", kind, payload, in)
		}
	})
}

// The encoding of a frame equals that of commit 2029d41, so that builds from before and after it can exchange frames.
func TestFrameEncodingIsStable(t *testing.T) {
	const golden = "444602070000000ac8af35fd1e22d44f736f6d6520776f726473"
	if got := hex.EncodeToString(newFrame(t, 7, "some words")); got != golden {
		t.Errorf("got frame %s, want %s", got, golden)
	}
}
