// Package ledger keeps which resume tokens are spent, answers other nodes that
// ask, and asks their ledgers. What is granted is decided by package resume; here
// it is made durable before anyone hears of it.
package replayguard

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"coralrelay/internal/logging"
	"coralrelay/internal/mutation"
	"coralrelay/internal/resumetoken"
	"coralrelay/internal/store"
)

// FileName is the ledger's file in its folder.
const FileName = "ledger.db"

// group is how many presentations are made durable at once, at most.
const defaultMaxBatch = 512

// dying is how long a node that was killed may take to let its file go. Its next start
// would end otherwise, as one of two nodes with one folder.
const lockTimeout = time.Second

// waiting is how many presentations may wait for that; beyond it they are told
// that the ledger is full.
const maxQueuedWrites = 2048

var (
	spentBucket     = []byte("spent")
	sweptThroughKey = []byte("swept")
	stateBucket     = []byte("rules")
)

// Schema is the ledger's layout: bucket spent has a bucket for each window, keyed
// by its number, with claimants by nonce; rules has the last window swept.
var Schema = store.Schema{Kind: "ledger", Migrations: []func(*store.Tx) error{func(tx *store.Tx) error {
	_, err := tx.CreateBucket(spentBucket)
	_, err2 := tx.CreateBucket(stateBucket)
	return errors.Join(err, err2)
}}}

// Options bound a ledger.
type Options struct {
	Dir        string           // where its file is; empty for one in memory, which a restart empties
	MaxRecords int              // tokens remembered at most
	ClockSkew  time.Duration    // by which an issuer's clock may be ahead
	MaxBatch   int              // presentations made durable at once at most; 0 for the default
	NoSync     bool             // spare the disk's sync: safe over a crash of the node, not of the machine
	Now        func() time.Time // nil for time.Now
}

// keeper holds the records.
type backend interface {
	// spend judges a presentation, keeps it if it is granted afresh, and tells.
	spend(t *resumetoken.Token, c resumetoken.RedemptionID, tell func(resumetoken.Verdict))
	sweep()
	run(ctx context.Context)
	close() error
}

// Ledger is one node's ledger.
type Guard struct {
	ID          resumetoken.GuardID
	IsDurable   bool // its records survive a restart
	backend     backend
	recordCount atomic.Int64
	maxRecords  int64
	writeFailed atomic.Bool // the last write failed
	now         func() time.Time
}

// Open opens the ledger that o names. Run has to be called for it to answer.
func Open(options Options) (*Guard, error) {
	if options.MaxBatch == 0 {
		options.MaxBatch = defaultMaxBatch
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	guard := &Guard{maxRecords: int64(options.MaxRecords), now: options.Now}
	arbiter := resumetoken.Arbiter{MaxRecords: options.MaxRecords, ClockSkew: options.ClockSkew}
	if options.Dir == "" {
		_, _ = rand.Read(arbiter.ID[:])
		guard.ID = arbiter.ID
		guard.backend = &memoryBackend{guard: guard, arbiter: arbiter, spent: map[resumetoken.Window]map[resumetoken.Nonce]resumetoken.RedemptionID{}}
		return guard, nil
	}
	// A record takes about 100 bytes with bbolt's overhead for random keys. The rest
	// is for pages that wait to be used again, and because bbolt counts the mapped
	// size, which doubles.
	s, err := store.Open(filepath.Join(options.Dir, FileName), Schema,
		store.Options{MaxBytes: 64<<20 + 400*options.MaxRecords, NoSync: options.NoSync, LockTimeout: lockTimeout})
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	if s.QuarantinePath != "" {
		slog.Warn("ledger: a file that can't be trusted was set aside; tokens that name it won't be honoured",
			"aside", s.QuarantinePath, "err", s.QuarantineReason)
	}
	arbiter.ID = resumetoken.GuardID(s.ID)
	backend := &durableBackend{guard: guard, arbiter: arbiter, store: s, writer: store.NewWriter(s, options.MaxBatch, maxQueuedWrites)}
	if err := backend.loadRecordCount(); err != nil {
		return nil, errors.Join(fmt.Errorf("ledger: %w", err), s.Close())
	}
	guard.ID, guard.IsDurable, guard.backend = arbiter.ID, true, backend
	return guard, nil
}

// Broke returns the ledger of a node whose own could not be opened: it grants
// nothing, and its node names peers as arbiters.
func NewUnavailable() *Guard {
	guard := &Guard{now: time.Now, backend: unavailableBackend{}}
	_, _ = rand.Read(guard.ID[:])
	return guard
}

// nothing keeps no records.
type unavailableBackend struct{}

func (unavailableBackend) spend(_ *resumetoken.Token, _ resumetoken.RedemptionID, reply func(resumetoken.Verdict)) {
	reply(resumetoken.GuardUnavailable)
}
func (unavailableBackend) sweep()                  {}
func (unavailableBackend) run(ctx context.Context) { <-ctx.Done() }
func (unavailableBackend) close() error            { return nil }

// Run keeps the ledger until ctx ends, and closes it.
func (l *Guard) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { l.backend.run(ctx) })
	ticker := time.NewTicker(resumetoken.WindowLength / 2)
	defer ticker.Stop()
	for ctx.Err() == nil {
		l.backend.sweep()
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	wg.Wait()
	if err := l.backend.close(); err != nil {
		slog.Error("ledger", "err", err)
	}
}

// Spend tells what becomes of one presentation. tell is called once, from another
// goroutine, and must not block.
func (l *Guard) Spend(token *resumetoken.Token, id resumetoken.RedemptionID, reply func(resumetoken.Verdict)) {
	l.backend.spend(token, id, reply)
}

// Kept is how many records the ledger holds.
func (l *Guard) RecordCount() int { return int(l.recordCount.Load()) }

// Ready tells whether the ledger has room and could write when it last did.
func (l *Guard) IsReady() bool { return l.recordCount.Load() < l.maxRecords && !l.writeFailed.Load() }

// ---- in a file ----

// durable has its records in a store. The arbiter belongs to the writer's
// goroutine, in which Apply and Done run.
type durableBackend struct {
	guard           *Guard
	store           *store.Store
	writer          *store.Writer
	arbiter         resumetoken.Arbiter
	failures        logging.Throttled
	volatileRecords map[resumetoken.Nonce]resumetoken.RedemptionID // mutation: records that are not written
}

func (d *durableBackend) loadRecordCount() error {
	return d.store.View(func(tx *store.Tx) error {
		if b := tx.Bucket(stateBucket).Get(sweptThroughKey); len(b) == 8 {
			d.arbiter.SweptThrough = resumetoken.Window(binary.BigEndian.Uint64(b))
		}
		err := ForEachWindow(tx, func(_ resumetoken.Window, spent int) { d.arbiter.RecordCount += spent })
		d.guard.recordCount.Store(int64(d.arbiter.RecordCount))
		return err
	})
}

// EachWindow tells, for each window of a ledger's store, how many of the tokens that
// expire in it are spent.
func ForEachWindow(tx *store.Tx, visit func(window resumetoken.Window, spent int)) error {
	windows := tx.Bucket(spentBucket)
	return windows.ForEachBucket(func(k []byte) error {
		visit(resumetoken.Window(binary.BigEndian.Uint64(k)), windows.Bucket(k).Stats().KeyN)
		return nil
	})
}

func (d *durableBackend) run(ctx context.Context) { d.writer.Run(ctx) }
func (d *durableBackend) close() error            { return d.store.Close() }

func (d *durableBackend) spend(token *resumetoken.Token, id resumetoken.RedemptionID, reply func(resumetoken.Verdict)) {
	d.writer.Submit(&spendWrite{backend: d, token: token, redemptionID: id, reply: reply})
}

func (d *durableBackend) sweep() {
	d.writer.Submit(&sweepWrite{backend: d})
}

// presentation is one token to be judged and, if it is granted, kept.
type spendWrite struct {
	backend      *durableBackend
	token        *resumetoken.Token
	redemptionID resumetoken.RedemptionID
	reply        func(resumetoken.Verdict)
	verdict      resumetoken.Verdict
	isNew        bool
}

func (p *spendWrite) Apply(tx *store.Tx) error {
	spent := tx.Bucket(spentBucket)
	p.verdict, p.isNew = p.backend.arbiter.Decide(p.backend.guard.now(), p.token, p.redemptionID,
		func(w resumetoken.Window, n resumetoken.Nonce) (c resumetoken.RedemptionID, ok bool) {
			if grantedTo, ok := p.backend.volatileRecords[n]; ok {
				return grantedTo, true
			}
			if b := spent.Bucket(windowKey(w)); b != nil {
				if grantedTo := b.Get(n[:]); len(grantedTo) == len(c) {
					return resumetoken.RedemptionID(grantedTo), true
				}
			}
			return c, false
		})
	if !p.isNew {
		return nil
	}
	p.backend.arbiter.RecordCount++
	if mutation.Enabled("ledger-volatile") {
		if p.backend.volatileRecords == nil {
			p.backend.volatileRecords = map[resumetoken.Nonce]resumetoken.RedemptionID{}
		}
		p.backend.volatileRecords[p.token.Nonce] = p.redemptionID
		return nil
	}
	b, err := spent.CreateBucketIfNotExists(windowKey(resumetoken.WindowOf(p.token.ExpiresAt)))
	if err != nil {
		return err
	}
	return b.Put(p.token.Nonce[:], p.redemptionID[:])
}

func (p *spendWrite) Done(err error) {
	if errors.Is(err, store.ErrQueueFull) { // told in Submit's goroutine: the arbiter is not ours to touch
		p.reply(resumetoken.GuardFull)
		return
	}
	if err != nil {
		p.backend.recordFailure(err)
		if p.isNew {
			p.backend.arbiter.RecordCount--
		}
		p.verdict = resumetoken.GuardUnavailable
	} else if p.isNew {
		p.backend.guard.writeFailed.Store(false)
	}
	p.backend.guard.recordCount.Store(int64(p.backend.arbiter.RecordCount))
	p.reply(p.verdict)
}

func (d *durableBackend) recordFailure(err error) {
	d.guard.writeFailed.Store(true)
	d.failures.Warn("ledger can't write; tokens are not honoured", "err", err)
}

// sweep forgets whole windows.
type sweepWrite struct {
	backend *durableBackend
	removed int
}

func (s *sweepWrite) Apply(tx *store.Tx) error {
	s.removed = 0
	through, ok := s.backend.arbiter.SweepableThrough(s.backend.guard.now())
	if !ok {
		return nil
	}
	spent := tx.Bucket(spentBucket)
	var expired [][]byte
	_ = spent.ForEachBucket(func(k []byte) error {
		if resumetoken.Window(binary.BigEndian.Uint64(k)) <= through {
			expired = append(expired, append([]byte(nil), k...))
		}
		return nil
	})
	for _, k := range expired {
		n := spent.Bucket(k).Stats().KeyN
		if err := spent.DeleteBucket(k); err != nil {
			return err
		}
		s.removed += n
	}
	// The mark goes with the records: a clock that is set back later finds it.
	if err := tx.Bucket(stateBucket).Put(sweptThroughKey, windowKey(through)); err != nil {
		return err
	}
	s.backend.arbiter.SweptThrough = through
	return nil
}

func (s *sweepWrite) Done(err error) {
	if errors.Is(err, store.ErrQueueFull) {
		return // the next tick sweeps
	}
	if err != nil {
		s.backend.recordFailure(err)
		return
	}
	s.backend.arbiter.RecordCount -= s.removed
	s.backend.guard.recordCount.Store(int64(s.backend.arbiter.RecordCount))
	if s.backend.arbiter.RecordCount < s.backend.arbiter.MaxRecords {
		s.backend.guard.writeFailed.Store(false)
	}
}

func windowKey(w resumetoken.Window) []byte { return binary.BigEndian.AppendUint64(nil, uint64(w)) }

// ---- in memory ----

type memoryBackend struct {
	guard *Guard

	mu      sync.Mutex
	arbiter resumetoken.Arbiter
	spent   map[resumetoken.Window]map[resumetoken.Nonce]resumetoken.RedemptionID
}

func (m *memoryBackend) spend(token *resumetoken.Token, id resumetoken.RedemptionID, reply func(resumetoken.Verdict)) {
	m.mu.Lock()
	decided, isNew := m.arbiter.Decide(m.guard.now(), token, id, func(w resumetoken.Window, n resumetoken.Nonce) (resumetoken.RedemptionID, bool) {
		grantedTo, ok := m.spent[w][n]
		return grantedTo, ok
	})
	if isNew {
		w := resumetoken.WindowOf(token.ExpiresAt)
		if m.spent[w] == nil {
			m.spent[w] = map[resumetoken.Nonce]resumetoken.RedemptionID{}
		}
		m.spent[w][token.Nonce] = id
		m.arbiter.RecordCount++
		m.guard.recordCount.Store(int64(m.arbiter.RecordCount))
	}
	m.mu.Unlock()
	reply(decided)
}

func (m *memoryBackend) sweep() {
	m.mu.Lock()
	defer m.mu.Unlock()
	through, ok := m.arbiter.SweepableThrough(m.guard.now())
	if !ok {
		return
	}
	for window, records := range m.spent {
		if window <= through {
			m.arbiter.RecordCount -= len(records)
			delete(m.spent, window)
		}
	}
	m.arbiter.SweptThrough = through
	m.guard.recordCount.Store(int64(m.arbiter.RecordCount))
}

func (m *memoryBackend) run(ctx context.Context) { <-ctx.Done() }
func (m *memoryBackend) close() error            { return nil }
