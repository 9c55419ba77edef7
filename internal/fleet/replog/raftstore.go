package replog

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"time"

	"github.com/hashicorp/raft"

	"coralrelay/internal/store"
)

// The names under which raft keeps its term and its vote.
var (
	termKey     = []byte("CurrentTerm")
	voteTermKey = []byte("LastVoteTerm")
	voteKey     = []byte("LastVoteCand")
)

var (
	castagnoli    = crc32.MakeTable(crc32.Castagnoli)
	errCorruptLog = errors.New("its sum is not good")
)

// formatLog writes index, term, time, kind, length of the extensions, these, the data, and
// a sum over all: bbolt has none of its own over values.
func encodeLog(entry *raft.Log) []byte {
	encoded := make([]byte, 0, 33+len(entry.Extensions)+len(entry.Data))
	encoded = binary.BigEndian.AppendUint64(encoded, entry.Index)
	encoded = binary.BigEndian.AppendUint64(encoded, entry.Term)
	appendedAt := int64(0)
	if !entry.AppendedAt.IsZero() {
		appendedAt = entry.AppendedAt.UnixNano()
	}
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(appendedAt))
	encoded = append(encoded, byte(entry.Type))
	encoded = binary.BigEndian.AppendUint32(encoded, uint32(len(entry.Extensions)))
	encoded = append(append(encoded, entry.Extensions...), entry.Data...)
	return binary.BigEndian.AppendUint32(encoded, crc32.Checksum(encoded, castagnoli))
}

func decodeLog(encoded []byte) (*raft.Log, error) {
	if len(encoded) < 33 || crc32.Checksum(encoded[:len(encoded)-4], castagnoli) != binary.BigEndian.Uint32(encoded[len(encoded)-4:]) {
		return nil, errCorruptLog
	}
	entry := &raft.Log{Index: binary.BigEndian.Uint64(encoded), Term: binary.BigEndian.Uint64(encoded[8:]), Type: raft.LogType(encoded[24])}
	if appendedAt := int64(binary.BigEndian.Uint64(encoded[16:])); appendedAt != 0 {
		entry.AppendedAt = time.Unix(0, appendedAt)
	}
	rest := encoded[29 : len(encoded)-4]
	extensionsLength := binary.BigEndian.Uint32(encoded[25:])
	if uint64(extensionsLength) > uint64(len(rest)) {
		return nil, errCorruptLog
	}
	if extensionsLength > 0 {
		entry.Extensions = bytes.Clone(rest[:extensionsLength])
	}
	entry.Data = bytes.Clone(rest[extensionsLength:])
	return entry, nil
}

// FirstIndex returns the first entry's index, or 0.
func (s *voterStore) FirstIndex() (uint64, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.firstIndex, nil
}

// LastIndex returns the last entry's index, or 0.
func (s *voterStore) LastIndex() (uint64, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.lastIndex, nil
}

// GetLog reads one entry.
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

// StoreLogs writes entries; they are durable when it returns. Those after a gap, as behind a
// snapshot that came from the leader, take the place of all before them.
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
			if err := bucket.Put(binary.BigEndian.AppendUint64(nil, entry.Index), encodeLog(entry)); err != nil {
				return err
			}
		}
		return nil
	}, func() {
		for _, entry := range entries {
			copied := *entry
			s.entries[entry.Index] = &copied
			s.lastIndex = max(s.lastIndex, entry.Index)
			if s.firstIndex == 0 || entry.Index < s.firstIndex {
				s.firstIndex = entry.Index
			}
		}
	})
}

// DeleteRange drops entries, both ends too.
func (s *voterStore) DeleteRange(from, to uint64) error {
	return s.update("log", func(tx *store.Tx) error {
		bucket := tx.Bucket(logsBucket)
		for index := from; index <= to; index++ {
			if err := bucket.Delete(binary.BigEndian.AppendUint64(nil, index)); err != nil {
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
			s.lastIndex = max(s.lastIndex, index)
			if s.firstIndex == 0 || index < s.firstIndex {
				s.firstIndex = index
			}
		}
	})
}

// Set writes a value. A vote is its term and its candidate: the term comes first and waits
// for the other, as half a vote, met again after a crash, would be taken for one that was
// given to the candidate before.
func (s *voterStore) Set(key, value []byte) error {
	value = bytes.Clone(value)
	if bytes.Equal(key, voteTermKey) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.pendingVoteTerm = value
		return nil
	}
	s.mu.RLock()
	pairs, unchanged := map[string][]byte{string(key): value}, bytes.Equal(s.stable[string(key)], value)
	if bytes.Equal(key, voteKey) && s.pendingVoteTerm != nil {
		pairs[string(voteTermKey)], unchanged = s.pendingVoteTerm, false
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

// Get reads a value; none is empty.
func (s *voterStore) Get(key []byte) ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.stable[string(key)], nil
}

// SetUint64 writes a number. Raft panics where its term can't be written, so that is told
// as done: by then every connection of raft's is cut, and nobody hears of the new term.
func (s *voterStore) SetUint64(key []byte, n uint64) error {
	err := s.Set(key, binary.BigEndian.AppendUint64(nil, n))
	if bytes.Equal(key, termKey) {
		return nil
	}
	return err
}

// GetUint64 reads a number; none is 0.
func (s *voterStore) GetUint64(key []byte) (uint64, error) {
	value, _ := s.Get(key)
	if len(value) != 8 {
		return 0, nil
	}
	return binary.BigEndian.Uint64(value), nil
}
