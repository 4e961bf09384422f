package segmentfile

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"

	"damsonscale/internal/audit"
	"damsonscale/internal/auditevent"
	"damsonscale/internal/fleet/protocol"
	"damsonscale/internal/takeover"
)

// failingFile is a file whose next writes and truncations fail. A failing write may write a part of its bytes.
type failingFile struct {
	*os.File
	random *rand.Rand
	faults *int // number of calls that are still to fail
}

func (f failingFile) Write(p []byte) (int, error) {
	if *f.faults > 0 {
		*f.faults--
		n, _ := f.File.Write(p[:f.random.IntN(len(p))])
		return n, syscall.ENOSPC
	}
	return f.File.Write(p)
}

func (f failingFile) Truncate(size int64) error {
	if *f.faults > 0 {
		*f.faults--
		return syscall.EIO
	}
	return f.File.Truncate(size)
}

// After temporary faults, at any segment and for any number of calls, the file contains all segments and no partial one.
func TestSegmentsSurviveTemporaryDirectoryFaults(t *testing.T) {
	codec, err := protocol.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	const segments = 12
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 9))
		faults, dir := 0, t.TempDir()
		d := New(dir, 1<<20, codec)
		d.openForAppend = func(path string) (segmentFile, error) {
			if faults > 0 {
				faults--
				return nil, syscall.EIO
			}
			file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
			return failingFile{file, random, &faults}, err
		}
		d.Open(member("a", 1))
		writer, err := audit.NewSegmentWriter(7, member("a", 1), "build", protocol.Version, func() int64 { return 0 }, audit.NoFault)
		if err != nil {
			t.Fatal(err)
		}
		for n := range segments {
			if n < segments-2 && random.IntN(3) == 0 {
				faults += random.IntN(6)
			}
			writer.Record(auditevent.Accepted, 0, "id", "look")
			all, err := writer.Cut(0)
			if err != nil {
				t.Fatal(err)
			}
			d.Append(&all[0])
		}
		for range faults + 1 {
			d.Flush()
		}
		if all, _, err := ReadFile(filepath.Join(dir, "a-1"+Suffix)); err != nil || len(all) != segments {
			t.Fatalf("seed %d: got %d segments, error %v; want %d segments", seed, len(all), err, segments)
		}
		if d.faultLogged {
			t.Fatalf("seed %d: the recovery of the directory is not logged", seed)
		}
	}
}

// Open keeps the segments of a file up to the first partial or modified one, and truncates the file there, unless a process is
// writing it. Old files are removed when the directory is too large, and a directory that cannot be created is logged.
func TestOpenRepairsAndRemovesOldFiles(t *testing.T) {
	codec, err := protocol.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	d := New(dir, 1<<20, codec)
	if old := d.Open(member("a", 1)); len(old) != 0 {
		t.Fatalf("got segments %v in an empty directory, want none", old)
	}
	writer, err := audit.NewSegmentWriter(7, member("a", 1), "build", protocol.Version, func() int64 { return 0 }, audit.NoFault)
	if err != nil {
		t.Fatal(err)
	}
	for range 5 {
		writer.Record(auditevent.Accepted, 0, "id", "look")
		all, err := writer.Cut(0)
		if err != nil {
			t.Fatal(err)
		}
		d.Append(&all[0])
	}
	path := filepath.Join(dir, "a-1"+Suffix)
	if !isBeingWritten(path) {
		t.Error("isBeingWritten reports false for an open segment file, want true")
	}
	d.Close()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		change func([]byte) []byte
		kept   int // segments
	}{
		"complete":       {func(b []byte) []byte { return b }, 5},
		"cut off":        {func(b []byte) []byte { return b[:len(b)-3] }, 4},
		"edited":         {func(b []byte) []byte { b[len(b)/2] ^= 1; return b }, 2},
		"partial header": {func(b []byte) []byte { return b[:10] }, 0},
		"trailing bytes": {func(b []byte) []byte { return append(b, "nonsense"...) }, 5},
	} {
		if err := os.WriteFile(path, c.change(slices.Clone(content)), 0o600); err != nil {
			t.Fatal(err)
		}
		again := New(dir, 1<<20, codec)
		if got := again.Open(member("a", 2)); len(got) != c.kept {
			t.Errorf("%s: Open returned %d segments, want %d", name, len(got), c.kept)
		}
		if all, _, err := ReadFile(path); err != nil || len(all) != c.kept {
			t.Errorf("%s: file has %d segments, error %v after Open; want %d valid segments", name, len(all), err, c.kept)
		}
	}
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
	small := New(dir, 100, codec)
	if small.Open(member("a", 3)); small.file == nil {
		t.Fatal("Open has not started a file in a directory over its bound")
	}
	if _, err := os.Stat(path); !os.IsNotExist(err) {
		t.Errorf("%s is not removed from a directory over its bound", path)
	}
	unusable := New(filepath.Join(dir, "a-3"+Suffix, "x"), 100, codec)
	unusable.Open(member("a", 4))
	all, _ := writer.Cut(0)
	for i := range all {
		unusable.Append(&all[i])
	}
	if !unusable.faultLogged {
		t.Error("a directory that cannot be created is not logged")
	}
}

// member returns a member with a name and an incarnation.
func member(name string, n uint64) takeover.Member {
	return takeover.Member{Name: name, Incarnation: n}
}
