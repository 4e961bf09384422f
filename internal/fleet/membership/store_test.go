package membership

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// failUpdates makes the next updates of a store fail so many times.
func failUpdates(s *store, times int, err error) (attempts *int) {
	attempts = new(int)
	s.update = func(change func(*bbolt.Tx) error) error {
		if *attempts++; *attempts <= times {
			return err
		}
		return s.db.Update(change)
	}
	return attempts
}

// A directory that refuses writes for a while costs time and no entry; save returns only once all is stored. It gives up where the
// member stops, and at once where the fault is not the operating system's.
func TestStoreRetriesFailedWrites(t *testing.T) {
	dir := t.TempDir()
	s, err := openStore(dir, []uint64{1})
	if err != nil {
		t.Fatal(err)
	}
	entryAt := func(index uint64) *raft.Ready {
		return &raft.Ready{Entries: []*raftpb.Entry{{Index: new(index), Term: new(uint64(1)), Data: []byte("entry")}}}
	}
	for i, errno := range []syscall.Errno{syscall.ENOSPC, syscall.EIO, syscall.EDQUOT} {
		attempts := failUpdates(s, 3, &os.PathError{Op: "write", Path: dir, Err: errno})
		if err := s.save(entryAt(uint64(2 + i))); err != nil || *attempts != 4 {
			t.Fatalf("%v: %v after %d attempts", errno, err, *attempts)
		}
	}
	attempts := failUpdates(s, 1, errors.New("no bucket"))
	if err := s.save(entryAt(9)); err == nil || *attempts != 1 {
		t.Fatalf("a fault of the program: %v after %d attempts", err, *attempts)
	}
	stop := make(chan struct{})
	s.stop = stop
	close(stop)
	failUpdates(s, 1<<30, syscall.EIO)
	if err := s.save(entryAt(9)); !errors.Is(err, syscall.EIO) {
		t.Fatalf("it does not give up: %v", err)
	}
	s.close()
	if s, err = openStore(dir, []uint64{1}); err != nil {
		t.Fatal(err)
	}
	defer s.close()
	if last, err := s.LastIndex(); err != nil || last != 4 {
		t.Fatalf("stored up to %d, %v", last, err)
	}
}

// What was saved is there after a restart, and a disk that can't be written is an error.
func TestStoreKeepsStateAcrossRestart(t *testing.T) {
	dir := t.TempDir()
	s, err := openStore(dir, []uint64{1, 2, 3})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := openStore(dir, nil); !errors.Is(err, ErrLogLocked) {
		t.Fatalf("opened twice: %v", err)
	}
	newEntry := func(index, term uint64, data string) *raftpb.Entry {
		return &raftpb.Entry{Index: new(index), Term: new(term), Data: []byte(data)}
	}
	hard := &raftpb.HardState{Term: new(uint64(5)), Vote: new(uint64(2)), Commit: new(uint64(3))}
	for _, rd := range []raft.Ready{
		{HardState: hard, Entries: []*raftpb.Entry{newEntry(2, 4, "a"), newEntry(3, 4, "b"), newEntry(4, 4, "lost")}},
		{Entries: []*raftpb.Entry{newEntry(4, 5, "c"), newEntry(5, 5, "d")}}, // in place of what another leader had sent
	} {
		if err := s.save(&rd); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.compact(3, &raftpb.ConfState{Voters: []uint64{1, 2, 3}}, []byte("roster")); err != nil {
		t.Fatal(err)
	}
	s.close()
	if s, err = openStore(dir, []uint64{9}); err != nil {
		t.Fatal(err)
	}
	defer s.close()
	got, conf, err := s.InitialState()
	last, _ := s.LastIndex()
	entries, err2 := s.Entries(4, 6, 1<<20)
	snapshot, _ := s.Snapshot()
	if err != nil || err2 != nil || got.GetVote() != 2 || got.GetTerm() != 5 || len(conf.GetVoters()) != 3 || last != 5 || len(entries) != 2 ||
		string(entries[0].GetData()) != "c" || string(snapshot.GetData()) != "roster" {
		t.Fatalf("%v %v %v %v: %v %v last %d", err, err2, got, conf, entries, snapshot, last)
	}
	full := t.TempDir()
	if err := os.Symlink("/dev/full", filepath.Join(full, storeFile)); err != nil {
		t.Fatal(err)
	}
	if _, err := openStore(full, nil); err == nil {
		t.Error("a full disk is no error")
	}
	file := filepath.Join(full, "file")
	os.WriteFile(file, nil, 0o600)
	if _, err := openStore(filepath.Join(file, "state"), nil); err == nil {
		t.Error("a directory that can't be is no error")
	}
}
