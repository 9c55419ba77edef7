package replog

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"github.com/hashicorp/raft"

	"coralrelay/internal/store"
)

var (
	logsBucket         = []byte("log")
	stableBucket       = []byte("stable")
	snapshotBucket     = []byte("snapshot")
	bootstrapBucket    = []byte("own")
	snapshotKey        = []byte("last")
	bootstrapStoresKey = []byte("founders")
)

var votesSchema = store.Schema{Kind: "fleet-votes", Migrations: []func(*store.Tx) error{func(tx *store.Tx) error {
	for _, name := range [][]byte{logsBucket, stableBucket, snapshotBucket, bootstrapBucket} {
		if _, err := tx.CreateBucket(name); err != nil {
			return err
		}
	}
	return nil
}}}

// disk is what a voter must not forget: its log, its term and vote, a snapshot, and who
// founded the fleet. All of it is in memory too: raft ends the process where it can't read.
// After a write that failed nothing is written any more, until it is opened anew.
type voterStore struct {
	store          *store.Store
	injectFault    func(op string) error
	cutConnections func()        // called before a write that failed is answered: nothing may go out that rests on it
	failed         chan struct{} // closed at the first failure
	writeMu        sync.Mutex    // one write at a time; bad is its
	writeErr       error

	mu                    sync.RWMutex
	entries               map[uint64]*raft.Log
	firstIndex, lastIndex uint64
	stable                map[string][]byte
	pendingVoteTerm       []byte // of the term of a vote, until the candidate comes: they are written as one
	snapshot              *snapshot
	bootstrapStores       map[string]string
}

// openDisk opens a voter's store. One that can't be trusted is set aside, and why is told.
func openVoterStore(options *Options, cutConnections func()) (opened *voterStore, quarantineReason string, err error) {
	path := filepath.Join(options.Dir, "votes.db")
	for range 2 {
		if err := options.InjectFault("open"); err != nil {
			return nil, "", err
		}
		file, err := store.Open(path, votesSchema, store.Options{NoSync: options.Mutations.SkipDiskSync})
		if err != nil {
			return nil, "", err
		}
		if file.QuarantinePath != "" {
			quarantineReason = fmt.Sprintf("%v; it is now %s", file.QuarantineReason, file.QuarantinePath)
		}
		opened = &voterStore{store: file, injectFault: options.InjectFault, cutConnections: cutConnections, failed: make(chan struct{}), entries: map[uint64]*raft.Log{},
			stable: map[string][]byte{}, bootstrapStores: map[string]string{}}
		loadErr := opened.load()
		if loadErr == nil {
			return opened, quarantineReason, nil
		}
		_ = file.Close()
		quarantinePath, err := quarantineFile(path, "torn")
		if err != nil {
			return nil, "", errors.Join(loadErr, err)
		}
		quarantineReason = fmt.Sprintf("store %s: %v; it is now %s", path, loadErr, quarantinePath)
	}
	return nil, quarantineReason, fmt.Errorf("store %s: a fresh one is bad too", path)
}

// setAside moves a store out of the way whose content is bad though its pages are sound.
func quarantineFile(path, label string) (string, error) {
	for n := 1; ; n++ {
		target := fmt.Sprintf("%s.%s-%d", path, label, n)
		err := os.Link(path, target)
		if errors.Is(err, os.ErrExist) {
			continue
		}
		if err != nil {
			return "", err
		}
		return target, os.Remove(path)
	}
}

// read takes all into memory and checks it.
func (s *voterStore) load() error {
	return s.store.View(func(tx *store.Tx) error {
		err := tx.Bucket(logsBucket).ForEach(func(key, value []byte) error {
			entry, err := decodeLog(value)
			if err != nil {
				return fmt.Errorf("log entry %x: %w", key, err)
			}
			if s.lastIndex != 0 && entry.Index != s.lastIndex+1 || len(key) != 8 || binary.BigEndian.Uint64(key) != entry.Index {
				return fmt.Errorf("log entry %x: calls itself %d, after %d", key, entry.Index, s.lastIndex)
			}
			if s.firstIndex == 0 {
				s.firstIndex = entry.Index
			}
			s.entries[entry.Index], s.lastIndex = entry, entry.Index
			return nil
		})
		if err != nil {
			return err
		}
		if value := tx.Bucket(snapshotBucket).Get(snapshotKey); value != nil {
			if s.snapshot, err = decodeSnapshot(value); err != nil {
				return err
			}
		}
		if covered := s.snapshot.index(); s.firstIndex > covered+1 {
			return fmt.Errorf("the log begins at %d, and the snapshot ends at %d", s.firstIndex, covered)
		}
		if value := tx.Bucket(bootstrapBucket).Get(bootstrapStoresKey); value != nil {
			if err := json.Unmarshal(value, &s.bootstrapStores); err != nil {
				return fmt.Errorf("founders: %w", err)
			}
		}
		return tx.Bucket(stableBucket).ForEach(func(key, value []byte) error {
			s.stable[string(key)] = append([]byte{}, value...)
			return nil
		})
	})
}

// blank tells whether nothing was ever promised with this store.
func (s *voterStore) isBlank() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.lastIndex == 0 && s.snapshot == nil && len(s.stable) == 0
}

// update writes one transaction and then shows it in memory.
func (s *voterStore) update(op string, write func(*store.Tx) error, applyInMemory func()) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if s.writeErr != nil {
		return s.writeErr
	}
	err := s.injectFault(op)
	if err == nil {
		err = s.store.Update(write)
	}
	if err != nil {
		s.writeErr = fmt.Errorf("%s: %w", op, err)
		s.cutConnections()
		close(s.failed)
		return s.writeErr
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	applyInMemory()
	return nil
}

// found begins a log with its first configuration, in one transaction.
func (s *voterStore) bootstrap(configuration raft.Configuration, stores map[string]string) error {
	first := &raft.Log{Index: 1, Term: 1, Type: raft.LogConfiguration, Data: raft.EncodeConfiguration(configuration)}
	encodedStores, err := json.Marshal(stores)
	if err != nil {
		return err
	}
	term := binary.BigEndian.AppendUint64(nil, 1)
	return s.update("found", func(tx *store.Tx) error {
		return errors.Join(tx.Bucket(bootstrapBucket).Put(bootstrapStoresKey, encodedStores), tx.Bucket(stableBucket).Put(termKey, term),
			tx.Bucket(logsBucket).Put(binary.BigEndian.AppendUint64(nil, 1), encodeLog(first)))
	}, func() {
		s.bootstrapStores, s.stable[string(termKey)] = stores, term
		s.entries[1], s.firstIndex, s.lastIndex = first, 1, 1
	})
}

func (s *voterStore) close() error { return s.store.Close() }
