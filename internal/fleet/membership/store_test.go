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

// failUpdates makes the next updates of a store fail with an error, the given number of times. attempts counts the updates.
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

// save retries writes that fail with an error of the operating system, and loses no entry. It returns an error when the log is
// stopped, and at once if the error is not the operating system's.
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
			t.Fatalf("%v: save returned %v after %d attempts, want success at attempt 4", errno, err, *attempts)
		}
	}
	attempts := failUpdates(s, 1, errors.New("no bucket"))
	if err := s.save(entryAt(9)); err == nil || *attempts != 1 {
		t.Fatalf("error of the program itself: save returned %v after %d attempts, want an error at attempt 1", err, *attempts)
	}
	stop := make(chan struct{})
	s.stop = stop
	close(stop)
	failUpdates(s, 1<<30, syscall.EIO)
	if err := s.save(entryAt(9)); !errors.Is(err, syscall.EIO) {
		t.Fatalf("save on a stopped log returned %v, want EIO", err)
	}
	s.close()
	if s, err = openStore(dir, []uint64{1}); err != nil {
		t.Fatal(err)
	}
	defer s.close()
	if last, err := s.LastIndex(); err != nil || last != 4 {
		t.Fatalf("last stored index is %d, error %v; want 4", last, err)
	}
}

// The stored state survives a restart. Opening a store on a full disk or below a file is an error.
func TestStoreKeepsStateAcrossRestart(t *testing.T) {
	dir := t.TempDir()
	s, err := openStore(dir, []uint64{1, 2, 3})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := openStore(dir, nil); !errors.Is(err, ErrLogLocked) {
		t.Fatalf("opening an open store returned %v, want ErrLogLocked", err)
	}
	newEntry := func(index, term uint64, data string) *raftpb.Entry {
		return &raftpb.Entry{Index: new(index), Term: new(term), Data: []byte(data)}
	}
	hard := &raftpb.HardState{Term: new(uint64(5)), Vote: new(uint64(2)), Commit: new(uint64(3))}
	for _, rd := range []raft.Ready{
		{HardState: hard, Entries: []*raftpb.Entry{newEntry(2, 4, "a"), newEntry(3, 4, "b"), newEntry(4, 4, "lost")}},
		{Entries: []*raftpb.Entry{newEntry(4, 5, "c"), newEntry(5, 5, "d")}}, // replaces the entry of an earlier leader
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
		t.Fatalf("after a restart: errors %v and %v, state %v, configuration %v, entries %v, snapshot %v, last index %d", err, err2, got, conf, entries, snapshot, last)
	}
	full := t.TempDir()
	if err := os.Symlink("/dev/full", filepath.Join(full, storeFile)); err != nil {
		t.Fatal(err)
	}
	if _, err := openStore(full, nil); err == nil {
		t.Error("opening a store on a full disk returned no error")
	}
	file := filepath.Join(full, "file")
	os.WriteFile(file, nil, 0o600)
	if _, err := openStore(filepath.Join(file, "state"), nil); err == nil {
		t.Error("opening a store below a file returned no error")
	}
}
