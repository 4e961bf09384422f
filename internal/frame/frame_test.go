package frame

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"testing"
)

func newFrame(t testing.TB, kind byte, payload string) []byte {
	b, err := Append(nil, kind, []byte(payload))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestReadRejectsInvalidFrames(t *testing.T) {
	good := newFrame(t, 7, "some words")
	change := func(at int, to byte) []byte {
		b := bytes.Clone(good)
		b[at] = to
		return b
	}
	for name, c := range map[string]struct {
		in   []byte
		want error
	}{
		"good":             {good, nil},
		"nothing":          {nil, io.EOF},
		"cut head":         {good[:9], io.ErrUnexpectedEOF},
		"cut payload":      {good[:HeaderSize+3], io.ErrUnexpectedEOF},
		"no payload":       {good[:HeaderSize], io.ErrUnexpectedEOF},
		"foreign":          {change(0, 'G'), ErrNotFrame},
		"version":          {change(2, 9), VersionError{9}},
		"kind":             {change(3, 8), ErrChecksum},
		"length too small": {change(7, 3), ErrChecksum},
		"length too large": {change(4, 0xff), ErrTooLong},
		"payload":          {change(HeaderSize+2, 'x'), ErrChecksum},
		"checksum":         {change(9, good[9]+1), ErrChecksum},
	} {
		kind, payload, err := Read(bytes.NewReader(c.in))
		if !errors.Is(err, c.want) || c.want == nil && (kind != 7 || string(payload) != "some words") {
			t.Errorf("%s: %d %q %v, want %v", name, kind, payload, err, c.want)
		}
	}
	if _, err := Append(nil, 1, make([]byte, MaxPayload+1)); !errors.Is(err, ErrTooLong) {
		t.Errorf("a payload too long: %v", err)
	}
}

// Any input is read or rejected, and what is read encodes to the same bytes.
func FuzzRead(f *testing.F) {
	f.Add(newFrame(f, 1, "a"))
	f.Add(newFrame(f, 0, ""))
	f.Fuzz(func(t *testing.T, in []byte) {
		kind, payload, err := Read(bytes.NewReader(in))
		if err != nil {
			return
		}
		if again := newFrame(t, kind, string(payload)); !bytes.HasPrefix(in, again) {
			t.Fatalf("read %d %q from %x", kind, payload, in)
		}
	})
}

// A frame has the bytes that commit 2029d41 gave it, so that builds of before and after understand each other.
func TestFrameBytesStayAsTheyWere(t *testing.T) {
	const golden = "444602070000000ac8af35fd1e22d44f736f6d6520776f726473"
	if got := hex.EncodeToString(newFrame(t, 7, "some words")); got != golden {
		t.Errorf("%s, not %s", got, golden)
	}
}
