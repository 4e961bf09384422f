package membership

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"damsonscale/internal/eventlog"
)

const (
	storeFile         = "fleet.db"
	lockTimeout       = 20 * time.Millisecond // for another process of this sidecar to release the file lock
	persistRetryDelay = 50 * time.Millisecond // after a write that failed with an error of the operating system
	maxIndex          = 1 << 63               // above the index of any entry
)

// ErrLogLocked means that another process of this sidecar has the stored log open.
var ErrLogLocked = errors.New("another process of this sidecar has the membership log open")

var (
	entriesBucket = []byte("entries") // raft entries by index, big endian
	stateBucket   = []byte("state")
	hardKey       = []byte("hard")
	snapshotKey   = []byte("snapshot")
)

// store keeps raft's state in memory and in a bbolt file. Once save has returned, its data is synced to disk.
type store struct {
	*raft.MemoryStorage
	db *bbolt.DB

	stop   <-chan struct{}                   // once closed, failed writes are no longer retried; nil: never closed
	update func(func(*bbolt.Tx) error) error // replaces db.Update in tests; nil: db.Update
}

// openStore opens the stored log of a voter, or creates it. All voters start from the same empty log.
func openStore(dir string, voters []uint64) (s *store, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	db, err := bbolt.Open(filepath.Join(dir, storeFile), 0o600, &bbolt.Options{Timeout: lockTimeout})
	if errors.Is(err, berrors.ErrTimeout) {
		return nil, ErrLogLocked
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", storeFile, err)
	}
	s = &store{MemoryStorage: raft.NewMemoryStorage(), db: db}
	if err := s.load(voters); err != nil {
		db.Close()
		return nil, fmt.Errorf("%s: %w", storeFile, err)
	}
	return s, nil
}

// load reads the stored state into memory.
func (s *store) load(voters []uint64) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		entries, err := tx.CreateBucketIfNotExists(entriesBucket)
		if err != nil {
			return err
		}
		state, err := tx.CreateBucketIfNotExists(stateBucket)
		if err != nil {
			return err
		}
		snapshot, err := loadSnapshot(state, voters)
		if err != nil {
			return err
		}
		if err := s.ApplySnapshot(snapshot); err != nil {
			return err
		}
		hardState, err := loadHardState(state)
		if err != nil {
			return err
		}
		s.SetHardState(hardState)
		after, err := loadEntries(entries, snapshot.GetMetadata().GetIndex())
		if err != nil {
			return err
		}
		return s.Append(after)
	})
}

// loadSnapshot reads the snapshot, or returns the initial one that all voters start from.
func loadSnapshot(state *bbolt.Bucket, voters []uint64) (*raftpb.Snapshot, error) {
	encoded := state.Get(snapshotKey)
	if encoded == nil {
		return &raftpb.Snapshot{Metadata: &raftpb.SnapshotMetadata{
			ConfState: &raftpb.ConfState{Voters: voters}, Index: new(uint64(1)), Term: new(uint64(1)),
		}}, nil
	}
	snapshot := new(raftpb.Snapshot)
	if err := proto.Unmarshal(encoded, snapshot); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return snapshot, nil
}

// loadHardState reads the term, vote and commit index, or returns the initial ones that all voters start from.
func loadHardState(state *bbolt.Bucket) (*raftpb.HardState, error) {
	encoded := state.Get(hardKey)
	if encoded == nil {
		return &raftpb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(uint64(1))}, nil
	}
	hardState := new(raftpb.HardState)
	if err := proto.Unmarshal(encoded, hardState); err != nil {
		return nil, fmt.Errorf("hard state: %w", err)
	}
	return hardState, nil
}

// loadEntries reads the entries after an index.
func loadEntries(bucket *bbolt.Bucket, index uint64) (entries []*raftpb.Entry, err error) {
	err = bucket.ForEach(func(_, encoded []byte) error {
		e := new(raftpb.Entry)
		if err := proto.Unmarshal(encoded, e); err != nil {
			return fmt.Errorf("entry: %w", err)
		}
		if e.GetIndex() > index {
			entries = append(entries, e)
		}
		return nil
	})
	return entries, err
}

// persist makes an update, and retries it while writes fail with an error of the operating system, since such a failure may be
// temporary. Raft must not send messages before their state is stored, so persist blocks the log's goroutine; another voter then
// becomes the leader and this member's lease expires. It returns an error once stop is closed, and at once for any other error.
func (s *store) persist(change func(*bbolt.Tx) error) error {
	update := s.db.Update
	if s.update != nil {
		update = s.update
	}
	for logged := false; ; {
		err := update(change)
		var refused syscall.Errno
		switch {
		case err == nil && logged:
			eventlog.Info(eventWriteRecovered)
			return nil
		case !errors.As(err, &refused):
			return err
		case !logged:
			logged = true
			eventlog.Warn(eventWriteFailed, err)
		}
		select {
		case <-s.stop:
			return err
		case <-time.After(persistRetryDelay):
		}
	}
}

// save stores the state that raft needs on disk before its messages are sent.
func (s *store) save(ready *raft.Ready) error {
	hasHardState, hasSnapshot := !raft.IsEmptyHardState(ready.HardState), !raft.IsEmptySnap(ready.Snapshot)
	if !hasHardState && !hasSnapshot && len(ready.Entries) == 0 {
		return nil
	}
	if err := s.persist(func(tx *bbolt.Tx) error { return writeReady(tx, ready) }); err != nil {
		return err
	}
	if hasSnapshot {
		if err := s.ApplySnapshot(ready.Snapshot); err != nil {
			return err
		}
	}
	if hasHardState {
		s.SetHardState(ready.HardState)
	}
	return s.Append(ready.Entries)
}

// writeReady writes the hard state, snapshot and entries of a Ready in a transaction.
func writeReady(tx *bbolt.Tx, ready *raft.Ready) error {
	entries, state := tx.Bucket(entriesBucket), tx.Bucket(stateBucket)
	if !raft.IsEmptyHardState(ready.HardState) {
		if err := putMessage(state, hardKey, ready.HardState); err != nil {
			return err
		}
	}
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := putMessage(state, snapshotKey, ready.Snapshot); err != nil {
			return err
		}
		if err := deleteEntries(entries, 0, ready.Snapshot.GetMetadata().GetIndex()); err != nil {
			return err
		}
	}
	if len(ready.Entries) > 0 { // the new entries replace all stored ones from their first index on
		if err := deleteEntries(entries, ready.Entries[0].GetIndex(), maxIndex); err != nil {
			return err
		}
	}
	for _, e := range ready.Entries {
		if err := putMessage(entries, indexKey(e.GetIndex()), e); err != nil {
			return err
		}
	}
	return nil
}

// compact replaces the entries up to an index by a snapshot with the given data.
func (s *store) compact(index uint64, conf *raftpb.ConfState, data []byte) error {
	snapshot, err := s.CreateSnapshot(index, conf, data)
	if err != nil {
		return err
	}
	err = s.persist(func(tx *bbolt.Tx) error {
		if err := putMessage(tx.Bucket(stateBucket), snapshotKey, snapshot); err != nil {
			return err
		}
		return deleteEntries(tx.Bucket(entriesBucket), 0, index)
	})
	if err != nil {
		return err
	}
	return s.Compact(index)
}

func (s *store) close() error { return s.db.Close() }

func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

func putMessage(b *bbolt.Bucket, k []byte, m proto.Message) error {
	text, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put(k, text)
}

// deleteEntries deletes the entries from one index to another, both inclusive.
func deleteEntries(b *bbolt.Bucket, from, to uint64) error {
	var old [][]byte
	c := b.Cursor()
	for k, _ := c.Seek(indexKey(from)); k != nil && binary.BigEndian.Uint64(k) <= to; k, _ = c.Next() {
		old = append(old, append([]byte(nil), k...))
	}
	for _, k := range old {
		if err := b.Delete(k); err != nil {
			return err
		}
	}
	return nil
}
