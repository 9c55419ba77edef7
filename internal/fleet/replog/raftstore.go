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
func encodeLog(l *raft.Log) []byte {
	b := make([]byte, 0, 33+len(l.Extensions)+len(l.Data))
	b = binary.BigEndian.AppendUint64(b, l.Index)
	b = binary.BigEndian.AppendUint64(b, l.Term)
	at := int64(0)
	if !l.AppendedAt.IsZero() {
		at = l.AppendedAt.UnixNano()
	}
	b = binary.BigEndian.AppendUint64(b, uint64(at))
	b = append(b, byte(l.Type))
	b = binary.BigEndian.AppendUint32(b, uint32(len(l.Extensions)))
	b = append(append(b, l.Extensions...), l.Data...)
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

func decodeLog(b []byte) (*raft.Log, error) {
	if len(b) < 33 || crc32.Checksum(b[:len(b)-4], castagnoli) != binary.BigEndian.Uint32(b[len(b)-4:]) {
		return nil, errCorruptLog
	}
	l := &raft.Log{Index: binary.BigEndian.Uint64(b), Term: binary.BigEndian.Uint64(b[8:]), Type: raft.LogType(b[24])}
	if at := int64(binary.BigEndian.Uint64(b[16:])); at != 0 {
		l.AppendedAt = time.Unix(0, at)
	}
	rest := b[29 : len(b)-4]
	n := binary.BigEndian.Uint32(b[25:])
	if uint64(n) > uint64(len(rest)) {
		return nil, errCorruptLog
	}
	if n > 0 {
		l.Extensions = bytes.Clone(rest[:n])
	}
	l.Data = bytes.Clone(rest[n:])
	return l, nil
}

// FirstIndex returns the first entry's index, or 0.
func (d *voterStore) FirstIndex() (uint64, error) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.firstIndex, nil
}

// LastIndex returns the last entry's index, or 0.
func (d *voterStore) LastIndex() (uint64, error) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.lastIndex, nil
}

// GetLog reads one entry.
func (d *voterStore) GetLog(index uint64, l *raft.Log) error {
	d.mu.RLock()
	defer d.mu.RUnlock()
	got, ok := d.entries[index]
	if !ok {
		return raft.ErrLogNotFound
	}
	*l = *got
	return nil
}

// StoreLog writes one entry.
func (d *voterStore) StoreLog(l *raft.Log) error { return d.StoreLogs([]*raft.Log{l}) }

// StoreLogs writes entries; they are durable when it returns. Those after a gap, as behind a
// snapshot that came from the leader, take the place of all before them.
func (d *voterStore) StoreLogs(logs []*raft.Log) error {
	if len(logs) == 0 {
		return nil
	}
	if last, _ := d.LastIndex(); last != 0 && logs[0].Index > last+1 {
		first, _ := d.FirstIndex()
		if err := d.DeleteRange(first, last); err != nil {
			return err
		}
	}
	return d.update("log", func(tx *store.Tx) error {
		b := tx.Bucket(logsBucket)
		for _, l := range logs {
			if err := b.Put(binary.BigEndian.AppendUint64(nil, l.Index), encodeLog(l)); err != nil {
				return err
			}
		}
		return nil
	}, func() {
		for _, l := range logs {
			c := *l
			d.entries[l.Index] = &c
			d.lastIndex = max(d.lastIndex, l.Index)
			if d.firstIndex == 0 || l.Index < d.firstIndex {
				d.firstIndex = l.Index
			}
		}
	})
}

// DeleteRange drops entries, both ends too.
func (d *voterStore) DeleteRange(from, to uint64) error {
	return d.update("log", func(tx *store.Tx) error {
		b := tx.Bucket(logsBucket)
		for i := from; i <= to; i++ {
			if err := b.Delete(binary.BigEndian.AppendUint64(nil, i)); err != nil {
				return err
			}
		}
		return nil
	}, func() {
		for i := from; i <= to; i++ {
			delete(d.entries, i)
		}
		d.firstIndex, d.lastIndex = 0, 0
		for i := range d.entries {
			d.lastIndex = max(d.lastIndex, i)
			if d.firstIndex == 0 || i < d.firstIndex {
				d.firstIndex = i
			}
		}
	})
}

// Set writes a value. A vote is its term and its candidate: the term comes first and waits
// for the other, as half a vote, met again after a crash, would be taken for one that was
// given to the candidate before.
func (d *voterStore) Set(key, value []byte) error {
	value = bytes.Clone(value)
	if bytes.Equal(key, voteTermKey) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.pendingVoteTerm = value
		return nil
	}
	d.mu.RLock()
	pairs, same := map[string][]byte{string(key): value}, bytes.Equal(d.stable[string(key)], value)
	if bytes.Equal(key, voteKey) && d.pendingVoteTerm != nil {
		pairs[string(voteTermKey)], same = d.pendingVoteTerm, false
	}
	d.mu.RUnlock()
	if same {
		return nil
	}
	return d.update("vote", func(tx *store.Tx) error {
		for k, v := range pairs {
			if err := tx.Bucket(stableBucket).Put([]byte(k), v); err != nil {
				return err
			}
		}
		return nil
	}, func() {
		d.pendingVoteTerm = nil
		for k, v := range pairs {
			d.stable[k] = v
		}
	})
}

// Get reads a value; none is empty.
func (d *voterStore) Get(key []byte) ([]byte, error) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.stable[string(key)], nil
}

// SetUint64 writes a number. Raft panics where its term can't be written, so that is told
// as done: by then every connection of raft's is cut, and nobody hears of the new term.
func (d *voterStore) SetUint64(key []byte, n uint64) error {
	err := d.Set(key, binary.BigEndian.AppendUint64(nil, n))
	if bytes.Equal(key, termKey) {
		return nil
	}
	return err
}

// GetUint64 reads a number; none is 0.
func (d *voterStore) GetUint64(key []byte) (uint64, error) {
	b, _ := d.Get(key)
	if len(b) != 8 {
		return 0, nil
	}
	return binary.BigEndian.Uint64(b), nil
}
