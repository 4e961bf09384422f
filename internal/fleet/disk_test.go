package fleet

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"damsonscale/internal/audit"
	"damsonscale/internal/auditevent"
)

// tornFile is a file whose writes fail for a while, some after a part of their bytes.
type tornFile struct {
	*os.File
	random *rand.Rand
	faults *int // writes and truncations that are still to fail
}

func (f tornFile) Write(p []byte) (int, error) {
	if *f.faults > 0 {
		*f.faults--
		n, _ := f.File.Write(p[:f.random.IntN(len(p))])
		return n, syscall.ENOSPC
	}
	return f.File.Write(p)
}

func (f tornFile) Truncate(size int64) error {
	if *f.faults > 0 {
		*f.faults--
		return syscall.EIO
	}
	return f.File.Truncate(size)
}

// A directory that fails for a while, at each segment and for any number of calls, has all segments in order once it works again, and no torn
// one between them.
func TestADirectoryThatFailsForAWhile(t *testing.T) {
	coder, err := newCodec()
	if err != nil {
		t.Fatal(err)
	}
	const segments = 12
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 9))
		faults, dir := 0, t.TempDir()
		d := &Directory{path: dir, maxBytes: 1 << 20, codec: coder}
		d.openAppend = func(path string) (segmentFile, error) {
			if faults > 0 {
				faults--
				return nil, syscall.EIO
			}
			file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
			return tornFile{file, random, &faults}, err
		}
		d.Open(member("a", 1))
		book, err := audit.NewSegmentWriter(7, member("a", 1), "build", protocol, func() int64 { return 0 }, audit.NoFault)
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
			t.Fatalf("seed %d: nobody says that it works again", seed)
		}
	}
}
