package replog

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"sync"

	"github.com/hashicorp/raft"

	"coralrelay/internal/store"
)

// votesFileName is the name of the voter store's file in Options.Dir.
const votesFileName = "votes.db"

// The buckets and keys of the voter store.
var (
	logsBucket         = []byte("log")
	stableBucket       = []byte("stable")
	snapshotBucket     = []byte("snapshot")
	bootstrapBucket    = []byte("own")
	snapshotKey        = []byte("last")
	bootstrapStoresKey = []byte("founders")
)

var votesSchema = store.Schema{Kind: "fleet-votes", Migrations: []func(*store.Tx) error{createVotesBuckets}}

func createVotesBuckets(tx *store.Tx) error {
	for _, name := range [][]byte{logsBucket, stableBucket, snapshotBucket, bootstrapBucket} {
		if _, err := tx.CreateBucket(name); err != nil {
			return err
		}
	}
	return nil
}

// storeIDs maps voters to the IDs of their stores.
type storeIDs map[string]string

// voterStore persists what a voter must not lose: its log, its term and vote, a snapshot, and
// the IDs of the stores that the fleet was bootstrapped with. It implements raft's LogStore,
// StableStore and SnapshotStore. It also holds all of this in memory, since raft panics after
// a failed read. After a failed write it accepts no further writes; it must be reopened.
type voterStore struct {
	store       *store.Store
	injectFault func(op string) error
	closeConns  func()        // called before a failed write returns, so that nothing relying on it is sent
	failed      chan struct{} // closed at the first failure
	writeMu     sync.Mutex    // held during a write; guards writeErr
	writeErr    error

	mu              sync.RWMutex // guards the copy in memory
	entries         map[uint64]*raft.Log
	firstIndex      uint64 // 0 for none
	lastIndex       uint64 // 0 for none
	stable          map[string][]byte
	pendingVoteTerm []byte // a vote's term, until its candidate is set; see Set
	snapshot        *snapshot
	bootstrapStores storeIDs
}

// openVoterStore opens a voter's store. It quarantines a damaged store and opens a new one;
// quarantineReason is then not empty. closeConns is called before a failed write returns.
func openVoterStore(options *Options, closeConns func()) (s *voterStore, quarantineReason string, err error) {
	path := filepath.Join(options.Dir, votesFileName)
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
		s = &voterStore{
			store:           file,
			injectFault:     options.InjectFault,
			closeConns:      closeConns,
			failed:          make(chan struct{}),
			entries:         map[uint64]*raft.Log{},
			stable:          map[string][]byte{},
			bootstrapStores: storeIDs{},
		}
		loadErr := s.load()
		if loadErr == nil {
			return s, quarantineReason, nil
		}
		_ = file.Close()
		quarantinePath, err := store.Quarantine(path, "torn")
		if err != nil {
			return nil, "", errors.Join(loadErr, err)
		}
		quarantineReason = fmt.Sprintf("store %s: %v; it is now %s", path, loadErr, quarantinePath)
	}
	return nil, quarantineReason, fmt.Errorf("store %s: a fresh one is bad too", path)
}

// load reads the store's contents into memory and checks them.
func (s *voterStore) load() error {
	return s.store.View(func(tx *store.Tx) error {
		if err := tx.Bucket(logsBucket).ForEach(s.loadEntry); err != nil {
			return err
		}
		if value := tx.Bucket(snapshotBucket).Get(snapshotKey); value != nil {
			var err error
			if s.snapshot, err = decodeSnapshot(value); err != nil {
				return err
			}
		}
		if snapshotEnd := s.snapshot.index(); s.firstIndex > snapshotEnd+1 {
			return fmt.Errorf("the log begins at %d, and the snapshot ends at %d", s.firstIndex, snapshotEnd)
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

// loadEntry reads one entry of the log into memory. Its index must follow the last one's.
func (s *voterStore) loadEntry(key, value []byte) error {
	entry, err := decodeLog(value)
	if err != nil {
		return fmt.Errorf("log entry %x: %w", key, err)
	}
	followsLast := s.lastIndex == 0 || entry.Index == s.lastIndex+1
	if !followsLast || !bytes.Equal(key, logKey(entry.Index)) {
		return fmt.Errorf("log entry %x: calls itself %d, after %d", key, entry.Index, s.lastIndex)
	}
	if s.firstIndex == 0 {
		s.firstIndex = entry.Index
	}
	s.entries[entry.Index] = entry
	s.lastIndex = entry.Index
	return nil
}

// isBlank reports whether this store holds no term, vote, entry or snapshot.
func (s *voterStore) isBlank() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.lastIndex == 0 && s.snapshot == nil && len(s.stable) == 0
}

// update commits one transaction, and then calls applyInMemory with mu held to update the copy
// in memory. op names the transaction in errors and for InjectFault. After the first failure
// every further call returns that failure.
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
		s.closeConns()
		close(s.failed)
		return s.writeErr
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	applyInMemory()
	return nil
}

// failure returns the error of the first failed write, or nil.
func (s *voterStore) failure() error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	return s.writeErr
}

// bootstrap writes the log's first configuration, its term, and the IDs of the stores that the
// fleet is bootstrapped with, in one transaction.
func (s *voterStore) bootstrap(configuration raft.Configuration, stores storeIDs) error {
	first := &raft.Log{Index: 1, Term: 1, Type: raft.LogConfiguration, Data: raft.EncodeConfiguration(configuration)}
	encodedStores, err := json.Marshal(stores)
	if err != nil {
		return err
	}
	term := binary.BigEndian.AppendUint64(nil, 1)
	return s.update("found", func(tx *store.Tx) error {
		return errors.Join(
			tx.Bucket(bootstrapBucket).Put(bootstrapStoresKey, encodedStores),
			tx.Bucket(stableBucket).Put(termKey, term),
			tx.Bucket(logsBucket).Put(logKey(1), encodeLog(first)),
		)
	}, func() {
		s.bootstrapStores = stores
		s.stable[string(termKey)] = term
		s.entries[1] = first
		s.firstIndex, s.lastIndex = 1, 1
	})
}

// close closes the file. The store must not be used afterwards.
func (s *voterStore) close() error { return s.store.Close() }
