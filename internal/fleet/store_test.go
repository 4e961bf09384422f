package fleet

import (
	"errors"
	"os"
	"syscall"
	"testing"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// failing makes a store's updates fail so often.
func failing(s *store, times int, err error) (tried *int) {
	tried = new(int)
	s.update = func(change func(*bbolt.Tx) error) error {
		if *tried++; *tried <= times {
			return err
		}
		return s.db.Update(change)
	}
	return tried
}

// A folder that refuses writes for a while costs time and no word of the log; save returns only once all is kept. It is given up where
// the member stops, and at once where the fault is not the system's.
func TestALogWhoseFolderFailsForAWhile(t *testing.T) {
	dir := t.TempDir()
	s, err := openStore(dir, []uint64{1})
	if err != nil {
		t.Fatal(err)
	}
	words := func(index uint64) *raft.Ready {
		return &raft.Ready{Entries: []*raftpb.Entry{{Index: new(index), Term: new(uint64(1)), Data: []byte("word")}}}
	}
	for i, errno := range []syscall.Errno{syscall.ENOSPC, syscall.EIO, syscall.EDQUOT} {
		tried := failing(s, 3, &os.PathError{Op: "write", Path: dir, Err: errno})
		if err := s.save(words(uint64(2 + i))); err != nil || *tried != 4 {
			t.Fatalf("%v: %v after %d tries", errno, err, *tried)
		}
	}
	tried := failing(s, 1, errors.New("no bucket"))
	if err := s.save(words(9)); err == nil || *tried != 1 {
		t.Fatalf("a fault of this side: %v after %d tries", err, *tried)
	}
	stop := make(chan struct{})
	s.stop = stop
	close(stop)
	failing(s, 1<<30, syscall.EIO)
	if err := s.save(words(9)); !errors.Is(err, syscall.EIO) {
		t.Fatalf("it does not stop: %v", err)
	}
	s.close()
	if s, err = openStore(dir, []uint64{1}); err != nil {
		t.Fatal(err)
	}
	defer s.close()
	if last, err := s.LastIndex(); err != nil || last != 4 {
		t.Fatalf("kept up to %d, %v", last, err)
	}
}
