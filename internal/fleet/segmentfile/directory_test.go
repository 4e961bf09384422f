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

// failingFile is a file whose writes fail for a while, some after a part of their bytes.
type failingFile struct {
	*os.File
	random *rand.Rand
	faults *int // writes and truncations that are still to fail
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

// A directory that fails for a while, at any segment and for any number of calls, has all segments in order once it works again, and
// no incomplete one between them.
func TestDirectoryThatFailsForAWhile(t *testing.T) {
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
		book, err := audit.NewSegmentWriter(7, member("a", 1), "build", protocol.Version, func() int64 { return 0 }, audit.NoFault)
		if err != nil {
			t.Fatal(err)
		}
		for n := range segments {
			if n < segments-2 && random.IntN(3) == 0 {
				faults += random.IntN(6)
			}
			book.Record(auditevent.Accepted, 0, "id", "look")
			all, err := book.Cut(0)
			if err != nil {
				t.Fatal(err)
			}
			d.Append(&all[0])
		}
		for range faults + 1 {
			d.Flush()
		}
		if all, _, err := ReadFile(filepath.Join(dir, "a-1"+Suffix)); err != nil || len(all) != segments {
			t.Fatalf("seed %d: %d of %d segments, %v", seed, len(all), segments, err)
		}
		if d.faultLogged {
			t.Fatalf("seed %d: its recovery is not logged", seed)
		}
	}
}

// A file that ends within a segment is truncated; an edited byte ends it; what is complete before is kept; another process's file is
// left alone.
func TestSegmentFiles(t *testing.T) {
	codec, err := protocol.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	d := New(dir, 1<<20, codec)
	if old := d.Open(member("a", 1)); len(old) != 0 {
		t.Fatal(old)
	}
	book, err := audit.NewSegmentWriter(7, member("a", 1), "build", protocol.Version, func() int64 { return 0 }, audit.NoFault)
	if err != nil {
		t.Fatal(err)
	}
	for range 5 {
		book.Record(auditevent.Accepted, 0, "id", "look")
		all, err := book.Cut(0)
		if err != nil {
			t.Fatal(err)
		}
		d.Append(&all[0])
	}
	path := filepath.Join(dir, "a-1"+Suffix)
	if !isBeingWritten(path) {
		t.Error("a file that is being written is not distinguished from one that was left")
	}
	d.Close()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		change func([]byte) []byte
		kept   int
	}{
		"complete":    {func(b []byte) []byte { return b }, 5},
		"cut off":     {func(b []byte) []byte { return b[:len(b)-3] }, 4},
		"edited":      {func(b []byte) []byte { b[len(b)/2] ^= 1; return b }, 2},
		"only a head": {func(b []byte) []byte { return b[:10] }, 0},
		"a tail":      {func(b []byte) []byte { return append(b, "nonsense"...) }, 5},
	} {
		if err := os.WriteFile(path, c.change(slices.Clone(content)), 0o600); err != nil {
			t.Fatal(err)
		}
		again := New(dir, 1<<20, codec)
		if got := again.Open(member("a", 2)); len(got) != c.kept {
			t.Errorf("%s: %d segments, not %d", name, len(got), c.kept)
		}
		if all, _, err := ReadFile(path); err != nil || len(all) != c.kept {
			t.Errorf("%s: not truncated: %d, %v", name, len(all), err)
		}
	}
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
	small := New(dir, 100, codec)
	if small.Open(member("a", 3)); small.file == nil {
		t.Fatal("no file")
	}
	if _, err := os.Stat(path); !os.IsNotExist(err) {
		t.Error("old files stay over the bound")
	}
	nowhere := New(filepath.Join(dir, "a-3"+Suffix, "x"), 100, codec)
	nowhere.Open(member("a", 4))
	all, _ := book.Cut(0)
	for i := range all {
		nowhere.Append(&all[i])
	}
	if !nowhere.faultLogged {
		t.Error("a directory that can't be is not logged")
	}
}

// member is a member of that name and incarnation.
func member(name string, n uint64) takeover.Member {
	return takeover.Member{Name: name, Incarnation: n}
}
