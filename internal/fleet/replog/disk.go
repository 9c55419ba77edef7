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
func openVoterStore(o *Options, sever func()) (d *voterStore, why string, err error) {
	path := filepath.Join(o.Dir, "votes.db")
	for range 2 {
		if err := o.InjectFault("open"); err != nil {
			return nil, "", err
		}
		st, err := store.Open(path, votesSchema, store.Options{NoSync: o.Mutations.SkipDiskSync})
		if err != nil {
			return nil, "", err
		}
		if st.QuarantinePath != "" {
			why = fmt.Sprintf("%v; it is now %s", st.QuarantineReason, st.QuarantinePath)
		}
		d = &voterStore{store: st, injectFault: o.InjectFault, cutConnections: sever, failed: make(chan struct{}), entries: map[uint64]*raft.Log{},
			stable: map[string][]byte{}, bootstrapStores: map[string]string{}}
		bad := d.load()
		if bad == nil {
			return d, why, nil
		}
		_ = st.Close()
		aside, err := setAside(path, "torn")
		if err != nil {
			return nil, "", errors.Join(bad, err)
		}
		why = fmt.Sprintf("store %s: %v; it is now %s", path, bad, aside)
	}
	return nil, why, fmt.Errorf("store %s: a fresh one is bad too", path)
}

// setAside moves a store out of the way whose content is bad though its pages are sound.
func setAside(path, word string) (string, error) {
	for n := 1; ; n++ {
		aside := fmt.Sprintf("%s.%s-%d", path, word, n)
		err := os.Link(path, aside)
		if errors.Is(err, os.ErrExist) {
			continue
		}
		if err != nil {
			return "", err
		}
		return aside, os.Remove(path)
	}
}

// read takes all into memory and checks it.
func (d *voterStore) load() error {
	return d.store.View(func(tx *store.Tx) error {
		err := tx.Bucket(logsBucket).ForEach(func(k, v []byte) error {
			l, err := decodeLog(v)
			if err != nil {
				return fmt.Errorf("log entry %x: %w", k, err)
			}
			if d.lastIndex != 0 && l.Index != d.lastIndex+1 || len(k) != 8 || binary.BigEndian.Uint64(k) != l.Index {
				return fmt.Errorf("log entry %x: calls itself %d, after %d", k, l.Index, d.lastIndex)
			}
			if d.firstIndex == 0 {
				d.firstIndex = l.Index
			}
			d.entries[l.Index], d.lastIndex = l, l.Index
			return nil
		})
		if err != nil {
			return err
		}
		if v := tx.Bucket(snapshotBucket).Get(snapshotKey); v != nil {
			if d.snapshot, err = decodeSnapshot(v); err != nil {
				return err
			}
		}
		if covered := d.snapshot.index(); d.firstIndex > covered+1 {
			return fmt.Errorf("the log begins at %d, and the snapshot ends at %d", d.firstIndex, covered)
		}
		if v := tx.Bucket(bootstrapBucket).Get(bootstrapStoresKey); v != nil {
			if err := json.Unmarshal(v, &d.bootstrapStores); err != nil {
				return fmt.Errorf("founders: %w", err)
			}
		}
		return tx.Bucket(stableBucket).ForEach(func(k, v []byte) error {
			d.stable[string(k)] = append([]byte{}, v...)
			return nil
		})
	})
}

// blank tells whether nothing was ever promised with this store.
func (d *voterStore) isBlank() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.lastIndex == 0 && d.snapshot == nil && len(d.stable) == 0
}

// update writes one transaction and then shows it in memory.
func (d *voterStore) update(op string, f func(*store.Tx) error, shown func()) error {
	d.writeMu.Lock()
	defer d.writeMu.Unlock()
	if d.writeErr != nil {
		return d.writeErr
	}
	err := d.injectFault(op)
	if err == nil {
		err = d.store.Update(f)
	}
	if err != nil {
		d.writeErr = fmt.Errorf("%s: %w", op, err)
		d.cutConnections()
		close(d.failed)
		return d.writeErr
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	shown()
	return nil
}

// found begins a log with its first configuration, in one transaction.
func (d *voterStore) bootstrap(c raft.Configuration, founders map[string]string) error {
	first := &raft.Log{Index: 1, Term: 1, Type: raft.LogConfiguration, Data: raft.EncodeConfiguration(c)}
	names, err := json.Marshal(founders)
	if err != nil {
		return err
	}
	term := binary.BigEndian.AppendUint64(nil, 1)
	return d.update("found", func(tx *store.Tx) error {
		return errors.Join(tx.Bucket(bootstrapBucket).Put(bootstrapStoresKey, names), tx.Bucket(stableBucket).Put(termKey, term),
			tx.Bucket(logsBucket).Put(binary.BigEndian.AppendUint64(nil, 1), encodeLog(first)))
	}, func() {
		d.bootstrapStores, d.stable[string(termKey)] = founders, term
		d.entries[1], d.firstIndex, d.lastIndex = first, 1, 1
	})
}

func (d *voterStore) close() error { return d.store.Close() }
