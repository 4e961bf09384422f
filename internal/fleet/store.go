package fleet

import (
	"encoding/binary"
	"errors"
	"fmt"
	"log"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	storeFile = "fleet.db"
	storeLock = 20 * time.Millisecond // waited for another process of this sidecar to let go of it

	persistAgain = 50 * time.Millisecond // after a write that the system refused
)

// ErrLogLocked tells that another process of this sidecar keeps the log.
var ErrLogLocked = errors.New("another process of this sidecar keeps the fleet's log")

var (
	entriesBucket = []byte("entries") // by index, big endian
	stateBucket   = []byte("state")
	hardKey       = []byte("hard")
	snapshotKey   = []byte("snapshot")
)

// store keeps the log on disk and in memory. What save has returned for is synced.
type store struct {
	*raft.MemoryStorage
	db *bbolt.DB

	stop   <-chan struct{}                   // closed when no write is to be made again; nil: never
	update func(func(*bbolt.Tx) error) error // nil: the database's
}

// openStore opens the log of one of those who vote. All of them start from the same empty log.
func openStore(dir string, voters []uint64) (s *store, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	db, err := bbolt.Open(filepath.Join(dir, storeFile), 0o600, &bbolt.Options{Timeout: storeLock})
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

func (s *store) load(voters []uint64) error {
	first := &raftpb.Snapshot{Metadata: &raftpb.SnapshotMetadata{
		ConfState: &raftpb.ConfState{Voters: voters}, Index: new(uint64(1)), Term: new(uint64(1)),
	}}
	return s.db.Update(func(tx *bbolt.Tx) error {
		entries, err := tx.CreateBucketIfNotExists(entriesBucket)
		if err != nil {
			return err
		}
		state, err := tx.CreateBucketIfNotExists(stateBucket)
		if err != nil {
			return err
		}
		if text := state.Get(snapshotKey); text != nil {
			first = new(raftpb.Snapshot)
			if err := proto.Unmarshal(text, first); err != nil {
				return fmt.Errorf("snapshot: %w", err)
			}
		}
		if err := s.ApplySnapshot(first); err != nil {
			return err
		}
		if text := state.Get(hardKey); text != nil {
			hard := new(raftpb.HardState)
			if err := proto.Unmarshal(text, hard); err != nil {
				return fmt.Errorf("hard state: %w", err)
			}
			s.SetHardState(hard)
		} else {
			s.SetHardState(&raftpb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(uint64(1))})
		}
		var all []*raftpb.Entry
		err = entries.ForEach(func(_, text []byte) error {
			e := new(raftpb.Entry)
			if err := proto.Unmarshal(text, e); err != nil {
				return fmt.Errorf("entry: %w", err)
			}
			if e.GetIndex() > first.GetMetadata().GetIndex() {
				all = append(all, e)
			}
			return nil
		})
		if err != nil {
			return err
		}
		return s.Append(all)
	})
}

// persist makes an update, again and again while the system refuses the write: a folder may fail for a while, and a member that could
// not keep what it is to say has not said it, nor anything after it. It is held up like a process that stands still: others lead, and
// its lease runs out. It fails once it is to stop, or where the fault is not the system's.
func (s *store) persist(change func(*bbolt.Tx) error) error {
	update := s.db.Update
	if s.update != nil {
		update = s.update
	}
	for said := false; ; {
		err := update(change)
		var refused syscall.Errno
		switch {
		case err == nil && said:
			log.Printf("event=fleet_log_disk_back")
			return nil
		case !errors.As(err, &refused):
			return err
		case !said:
			said = true
			log.Printf("event=fleet_log_disk_failed err=%q", err)
		}
		select {
		case <-s.stop:
			return err
		case <-time.After(persistAgain):
		}
	}
}

// save keeps what has to be on disk before messages go out.
func (s *store) save(rd *raft.Ready) error {
	hard, snapshot := rd.HardState, rd.Snapshot
	none := raft.IsEmptySnap(snapshot)
	if raft.IsEmptyHardState(hard) && none && len(rd.Entries) == 0 {
		return nil
	}
	err := s.persist(func(tx *bbolt.Tx) error {
		entries, state := tx.Bucket(entriesBucket), tx.Bucket(stateBucket)
		if !raft.IsEmptyHardState(hard) {
			if err := put(state, hardKey, hard); err != nil {
				return err
			}
		}
		if !none {
			if err := put(state, snapshotKey, snapshot); err != nil {
				return err
			}
			if err := drop(entries, 0, snapshot.GetMetadata().GetIndex()); err != nil {
				return err
			}
		}
		if len(rd.Entries) > 0 { // they replace whatever followed
			if err := drop(entries, rd.Entries[0].GetIndex(), 1<<63); err != nil {
				return err
			}
		}
		for _, e := range rd.Entries {
			if err := put(entries, key(e.GetIndex()), e); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	if !none {
		if err := s.ApplySnapshot(snapshot); err != nil {
			return err
		}
	}
	if !raft.IsEmptyHardState(hard) {
		s.SetHardState(hard)
	}
	return s.Append(rd.Entries)
}

// compact puts a snapshot in the place of the entries up to an index.
func (s *store) compact(index uint64, conf *raftpb.ConfState, data []byte) error {
	snapshot, err := s.CreateSnapshot(index, conf, data)
	if err != nil {
		return err
	}
	err = s.persist(func(tx *bbolt.Tx) error {
		if err := put(tx.Bucket(stateBucket), snapshotKey, snapshot); err != nil {
			return err
		}
		return drop(tx.Bucket(entriesBucket), 0, index)
	})
	if err != nil {
		return err
	}
	return s.Compact(index)
}

func (s *store) close() error { return s.db.Close() }

func key(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

func put(b *bbolt.Bucket, k []byte, m proto.Message) error {
	text, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put(k, text)
}

// drop deletes entries from one index to another, both included.
func drop(b *bbolt.Bucket, from, to uint64) error {
	var old [][]byte
	c := b.Cursor()
	for k, _ := c.Seek(key(from)); k != nil && binary.BigEndian.Uint64(k) <= to; k, _ = c.Next() {
		old = append(old, append([]byte(nil), k...))
	}
	for _, k := range old {
		if err := b.Delete(k); err != nil {
			return err
		}
	}
	return nil
}
