package replog

import (
	"bytes"
	"encoding/binary"

	"github.com/hashicorp/raft"

	"coralrelay/internal/store"
)

// The keys under which raft stores its term and its vote.
var (
	termKey     = []byte("CurrentTerm")
	voteTermKey = []byte("LastVoteTerm")
	voteKey     = []byte("LastVoteCand")
)

// logKey returns the key under which the entry with that index is stored.
func logKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// FirstIndex returns the first entry's index, or 0 if there is none.
func (s *voterStore) FirstIndex() (uint64, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.firstIndex, nil
}

// LastIndex returns the last entry's index, or 0 if there is none.
func (s *voterStore) LastIndex() (uint64, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.lastIndex, nil
}

// GetLog copies the entry at index to entry, or returns raft.ErrLogNotFound.
func (s *voterStore) GetLog(index uint64, entry *raft.Log) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	stored, ok := s.entries[index]
	if !ok {
		return raft.ErrLogNotFound
	}
	*entry = *stored
	return nil
}

// StoreLog writes one entry.
func (s *voterStore) StoreLog(entry *raft.Log) error { return s.StoreLogs([]*raft.Log{entry}) }

// StoreLogs writes entries, which are durable when it returns. If there is a gap between the
// stored entries and the new ones, as after a snapshot received from the leader, the new ones
// replace all stored entries.
func (s *voterStore) StoreLogs(entries []*raft.Log) error {
	if len(entries) == 0 {
		return nil
	}
	if last, _ := s.LastIndex(); last != 0 && entries[0].Index > last+1 {
		first, _ := s.FirstIndex()
		if err := s.DeleteRange(first, last); err != nil {
			return err
		}
	}
	return s.update("log", func(tx *store.Tx) error {
		bucket := tx.Bucket(logsBucket)
		for _, entry := range entries {
			if err := bucket.Put(logKey(entry.Index), encodeLog(entry)); err != nil {
				return err
			}
		}
		return nil
	}, func() {
		for _, entry := range entries {
			copied := *entry
			s.entries[entry.Index] = &copied
			s.extendRange(entry.Index)
		}
	})
}

// DeleteRange deletes the entries from index from to index to, inclusive.
func (s *voterStore) DeleteRange(from, to uint64) error {
	return s.update("log", func(tx *store.Tx) error {
		bucket := tx.Bucket(logsBucket)
		for index := from; index <= to; index++ {
			if err := bucket.Delete(logKey(index)); err != nil {
				return err
			}
		}
		return nil
	}, func() {
		for index := from; index <= to; index++ {
			delete(s.entries, index)
		}
		s.firstIndex, s.lastIndex = 0, 0
		for index := range s.entries {
			s.extendRange(index)
		}
	})
}

// extendRange makes firstIndex and lastIndex include an entry's index. The caller holds mu.
func (s *voterStore) extendRange(index uint64) {
	s.lastIndex = max(s.lastIndex, index)
	if s.firstIndex == 0 || index < s.firstIndex {
		s.firstIndex = index
	}
}

// Set writes a value. Raft writes a vote in two calls: its term, then its candidate. Set keeps
// the term in memory until the candidate is set and writes both in one transaction: a term
// without its candidate, read after a crash, would count as a vote for the previous candidate.
func (s *voterStore) Set(key, value []byte) error {
	value = bytes.Clone(value)
	if bytes.Equal(key, voteTermKey) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.pendingVoteTerm = value
		return nil
	}
	s.mu.RLock()
	pairs := map[string][]byte{string(key): value}
	unchanged := bytes.Equal(s.stable[string(key)], value)
	if bytes.Equal(key, voteKey) && s.pendingVoteTerm != nil {
		pairs[string(voteTermKey)] = s.pendingVoteTerm
		unchanged = false
	}
	s.mu.RUnlock()
	if unchanged {
		return nil
	}
	return s.update("vote", func(tx *store.Tx) error {
		for k, v := range pairs {
			if err := tx.Bucket(stableBucket).Put([]byte(k), v); err != nil {
				return err
			}
		}
		return nil
	}, func() {
		s.pendingVoteTerm = nil
		for k, v := range pairs {
			s.stable[k] = v
		}
	})
}

// Get reads a value. A value that was never set is empty.
func (s *voterStore) Get(key []byte) ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.stable[string(key)], nil
}

// SetUint64 writes a number. It does not return a failure to write raft's term, since raft
// would panic: at that point all of raft's connections are closed, so no peer learns the term.
func (s *voterStore) SetUint64(key []byte, n uint64) error {
	err := s.Set(key, binary.BigEndian.AppendUint64(nil, n))
	if bytes.Equal(key, termKey) {
		return nil // superviseRaft stops raft
	}
	return err
}

// GetUint64 reads a number. A number that was never set is 0.
func (s *voterStore) GetUint64(key []byte) (uint64, error) {
	value, _ := s.Get(key)
	if len(value) != 8 {
		return 0, nil
	}
	return binary.BigEndian.Uint64(value), nil
}
