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
	logsBucket   = []byte("log")
	stableBucket = []byte("stable")
	snapBucket   = []byte("snapshot")
	ownBucket    = []byte("own")
	snapKey      = []byte("last")
	foundersKey  = []byte("founders")
)

var votesSchema = store.Schema{Kind: "fleet-votes", Migrations: []func(*store.Tx) error{func(tx *store.Tx) error {
	for _, name := range [][]byte{logsBucket, stableBucket, snapBucket, ownBucket} {
		if _, err := tx.CreateBucket(name); err != nil {
			return err
		}
	}
	return nil
}}}

// disk is what a voter must not forget: its log, its term and vote, a snapshot, and who
// founded the fleet. All of it is in memory too: raft ends the process where it can't read.
// After a write that failed nothing is written any more, until it is opened anew.
type disk struct {
	st     *store.Store
	fault  func(op string) error
	sever  func()        // called before a write that failed is answered: nothing may go out that rests on it
	broken chan struct{} // closed at the first failure
	write  sync.Mutex    // one write at a time; bad is its
	bad    error

	mu          sync.RWMutex
	logs        map[uint64]*raft.Log
	first, last uint64
	stable      map[string][]byte
	vote        []byte // of the term of a vote, until the candidate comes: they are written as one
	snap        *snapshot
	founders    map[string]string
}

// openDisk opens a voter's store. One that can't be trusted is set aside, and why is told.
func openDisk(o *Options, sever func()) (d *disk, why string, err error) {
	path := filepath.Join(o.Dir, "votes.db")
	for range 2 {
		if err := o.InjectFault("open"); err != nil {
			return nil, "", err
		}
		st, err := store.Open(path, votesSchema, store.Options{NoSync: o.Mutations.SkipDiskSync})
		if err != nil {
			return nil, "", err
		}
		if st.Aside != "" {
			why = fmt.Sprintf("%v; it is now %s", st.Why, st.Aside)
		}
		d = &disk{st: st, fault: o.InjectFault, sever: sever, broken: make(chan struct{}), logs: map[uint64]*raft.Log{},
			stable: map[string][]byte{}, founders: map[string]string{}}
		bad := d.read()
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
func (d *disk) read() error {
	return d.st.View(func(tx *store.Tx) error {
		err := tx.Bucket(logsBucket).ForEach(func(k, v []byte) error {
			l, err := parseLog(v)
			if err != nil {
				return fmt.Errorf("log entry %x: %w", k, err)
			}
			if d.last != 0 && l.Index != d.last+1 || len(k) != 8 || binary.BigEndian.Uint64(k) != l.Index {
				return fmt.Errorf("log entry %x: calls itself %d, after %d", k, l.Index, d.last)
			}
			if d.first == 0 {
				d.first = l.Index
			}
			d.logs[l.Index], d.last = l, l.Index
			return nil
		})
		if err != nil {
			return err
		}
		if v := tx.Bucket(snapBucket).Get(snapKey); v != nil {
			if d.snap, err = parseSnapshot(v); err != nil {
				return err
			}
		}
		if covered := d.snap.index(); d.first > covered+1 {
			return fmt.Errorf("the log begins at %d, and the snapshot ends at %d", d.first, covered)
		}
		if v := tx.Bucket(ownBucket).Get(foundersKey); v != nil {
			if err := json.Unmarshal(v, &d.founders); err != nil {
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
func (d *disk) blank() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.last == 0 && d.snap == nil && len(d.stable) == 0
}

// update writes one transaction and then shows it in memory.
func (d *disk) update(op string, f func(*store.Tx) error, shown func()) error {
	d.write.Lock()
	defer d.write.Unlock()
	if d.bad != nil {
		return d.bad
	}
	err := d.fault(op)
	if err == nil {
		err = d.st.Update(f)
	}
	if err != nil {
		d.bad = fmt.Errorf("%s: %w", op, err)
		d.sever()
		close(d.broken)
		return d.bad
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	shown()
	return nil
}

// found begins a log with its first configuration, in one transaction.
func (d *disk) found(c raft.Configuration, founders map[string]string) error {
	first := &raft.Log{Index: 1, Term: 1, Type: raft.LogConfiguration, Data: raft.EncodeConfiguration(c)}
	names, err := json.Marshal(founders)
	if err != nil {
		return err
	}
	term := binary.BigEndian.AppendUint64(nil, 1)
	return d.update("found", func(tx *store.Tx) error {
		return errors.Join(tx.Bucket(ownBucket).Put(foundersKey, names), tx.Bucket(stableBucket).Put(termKey, term),
			tx.Bucket(logsBucket).Put(binary.BigEndian.AppendUint64(nil, 1), formatLog(first)))
	}, func() {
		d.founders, d.stable[string(termKey)] = founders, term
		d.logs[1], d.first, d.last = first, 1, 1
	})
}

func (d *disk) close() error { return d.st.Close() }
