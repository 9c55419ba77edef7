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
const group = 512

// dying is how long a node that was killed may take to let its file go. Its next start
// would end otherwise, as one of two nodes with one folder.
const dying = time.Second

// waiting is how many presentations may wait for that; beyond it they are told
// that the ledger is full.
const waiting = 2048

var (
	spentBucket = []byte("spent")
	sweptKey    = []byte("swept")
	rulesBucket = []byte("rules")
)

// Schema is the ledger's layout: bucket spent has a bucket for each window, keyed
// by its number, with claimants by nonce; rules has the last window swept.
var Schema = store.Schema{Kind: "ledger", Migrations: []func(*store.Tx) error{func(tx *store.Tx) error {
	_, err := tx.CreateBucket(spentBucket)
	_, err2 := tx.CreateBucket(rulesBucket)
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
type keeper interface {
	// spend judges a presentation, keeps it if it is granted afresh, and tells.
	spend(t *resumetoken.Token, c resumetoken.RedemptionID, tell func(resumetoken.Verdict))
	sweep()
	run(ctx context.Context)
	close() error
}

// Ledger is one node's ledger.
type Guard struct {
	ID        resumetoken.GuardID
	IsDurable bool // its records survive a restart
	keeper    keeper
	kept      atomic.Int64
	limit     int64
	broken    atomic.Bool // the last write failed
	now       func() time.Time
}

// Open opens the ledger that o names. Run has to be called for it to answer.
func Open(o Options) (*Guard, error) {
	if o.MaxBatch == 0 {
		o.MaxBatch = group
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	l := &Guard{limit: int64(o.MaxRecords), now: o.Now}
	a := resumetoken.Arbiter{MaxRecords: o.MaxRecords, ClockSkew: o.ClockSkew}
	if o.Dir == "" {
		_, _ = rand.Read(a.ID[:])
		l.ID = a.ID
		l.keeper = &memory{ledger: l, arbiter: a, spent: map[resumetoken.Window]map[resumetoken.Nonce]resumetoken.RedemptionID{}}
		return l, nil
	}
	// A record takes about 100 bytes with bbolt's overhead for random keys. The rest
	// is for pages that wait to be used again, and because bbolt counts the mapped
	// size, which doubles.
	s, err := store.Open(filepath.Join(o.Dir, FileName), Schema,
		store.Options{MaxBytes: 64<<20 + 400*o.MaxRecords, NoSync: o.NoSync, LockTimeout: dying})
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	if s.QuarantinePath != "" {
		slog.Warn("ledger: a file that can't be trusted was set aside; tokens that name it won't be honoured",
			"aside", s.QuarantinePath, "err", s.QuarantineReason)
	}
	a.ID = resumetoken.GuardID(s.ID)
	d := &durable{ledger: l, arbiter: a, store: s, writer: store.NewWriter(s, o.MaxBatch, waiting)}
	if err := d.load(); err != nil {
		return nil, errors.Join(fmt.Errorf("ledger: %w", err), s.Close())
	}
	l.ID, l.IsDurable, l.keeper = a.ID, true, d
	return l, nil
}

// Broke returns the ledger of a node whose own could not be opened: it grants
// nothing, and its node names peers as arbiters.
func NewUnavailable() *Guard {
	l := &Guard{now: time.Now, keeper: nothing{}}
	_, _ = rand.Read(l.ID[:])
	return l
}

// nothing keeps no records.
type nothing struct{}

func (nothing) spend(_ *resumetoken.Token, _ resumetoken.RedemptionID, tell func(resumetoken.Verdict)) {
	tell(resumetoken.GuardUnavailable)
}
func (nothing) sweep()                  {}
func (nothing) run(ctx context.Context) { <-ctx.Done() }
func (nothing) close() error            { return nil }

// Run keeps the ledger until ctx ends, and closes it.
func (l *Guard) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { l.keeper.run(ctx) })
	tick := time.NewTicker(resumetoken.WindowLength / 2)
	defer tick.Stop()
	for ctx.Err() == nil {
		l.keeper.sweep()
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	wg.Wait()
	if err := l.keeper.close(); err != nil {
		slog.Error("ledger", "err", err)
	}
}

// Spend tells what becomes of one presentation. tell is called once, from another
// goroutine, and must not block.
func (l *Guard) Spend(t *resumetoken.Token, c resumetoken.RedemptionID, tell func(resumetoken.Verdict)) {
	l.keeper.spend(t, c, tell)
}

// Kept is how many records the ledger holds.
func (l *Guard) RecordCount() int { return int(l.kept.Load()) }

// Ready tells whether the ledger has room and could write when it last did.
func (l *Guard) IsReady() bool { return l.kept.Load() < l.limit && !l.broken.Load() }

// ---- in a file ----

// durable has its records in a store. The arbiter belongs to the writer's
// goroutine, in which Apply and Done run.
type durable struct {
	ledger  *Guard
	store   *store.Store
	writer  *store.Writer
	arbiter resumetoken.Arbiter
	failed  logging.Throttled
	cheat   map[resumetoken.Nonce]resumetoken.RedemptionID // mutation: records that are not written
}

func (d *durable) load() error {
	return d.store.View(func(tx *store.Tx) error {
		if b := tx.Bucket(rulesBucket).Get(sweptKey); len(b) == 8 {
			d.arbiter.SweptThrough = resumetoken.Window(binary.BigEndian.Uint64(b))
		}
		err := ForEachWindow(tx, func(_ resumetoken.Window, spent int) { d.arbiter.RecordCount += spent })
		d.ledger.kept.Store(int64(d.arbiter.RecordCount))
		return err
	})
}

// EachWindow tells, for each window of a ledger's store, how many of the tokens that
// expire in it are spent.
func ForEachWindow(tx *store.Tx, tell func(w resumetoken.Window, spent int)) error {
	all := tx.Bucket(spentBucket)
	return all.ForEachBucket(func(k []byte) error {
		tell(resumetoken.Window(binary.BigEndian.Uint64(k)), all.Bucket(k).Stats().KeyN)
		return nil
	})
}

func (d *durable) run(ctx context.Context) { d.writer.Run(ctx) }
func (d *durable) close() error            { return d.store.Close() }

func (d *durable) spend(t *resumetoken.Token, c resumetoken.RedemptionID, tell func(resumetoken.Verdict)) {
	d.writer.Submit(&presentation{d: d, token: t, claimant: c, tell: tell})
}

func (d *durable) sweep() {
	d.writer.Submit(&sweep{d: d})
}

// presentation is one token to be judged and, if it is granted, kept.
type presentation struct {
	d        *durable
	token    *resumetoken.Token
	claimant resumetoken.RedemptionID
	tell     func(resumetoken.Verdict)
	verdict  resumetoken.Verdict
	fresh    bool
}

func (p *presentation) Apply(tx *store.Tx) error {
	spent := tx.Bucket(spentBucket)
	p.verdict, p.fresh = p.d.arbiter.Decide(p.d.ledger.now(), p.token, p.claimant,
		func(w resumetoken.Window, n resumetoken.Nonce) (c resumetoken.RedemptionID, ok bool) {
			if had, ok := p.d.cheat[n]; ok {
				return had, true
			}
			if b := spent.Bucket(key(w)); b != nil {
				if had := b.Get(n[:]); len(had) == len(c) {
					return resumetoken.RedemptionID(had), true
				}
			}
			return c, false
		})
	if !p.fresh {
		return nil
	}
	p.d.arbiter.RecordCount++
	if mutation.Enabled("ledger-volatile") {
		if p.d.cheat == nil {
			p.d.cheat = map[resumetoken.Nonce]resumetoken.RedemptionID{}
		}
		p.d.cheat[p.token.Nonce] = p.claimant
		return nil
	}
	b, err := spent.CreateBucketIfNotExists(key(resumetoken.WindowOf(p.token.ExpiresAt)))
	if err != nil {
		return err
	}
	return b.Put(p.token.Nonce[:], p.claimant[:])
}

func (p *presentation) Done(err error) {
	if errors.Is(err, store.ErrQueueFull) { // told in Submit's goroutine: the arbiter is not ours to touch
		p.tell(resumetoken.GuardFull)
		return
	}
	if err != nil {
		p.d.broke(err)
		if p.fresh {
			p.d.arbiter.RecordCount--
		}
		p.verdict = resumetoken.GuardUnavailable
	} else if p.fresh {
		p.d.ledger.broken.Store(false)
	}
	p.d.ledger.kept.Store(int64(p.d.arbiter.RecordCount))
	p.tell(p.verdict)
}

func (d *durable) broke(err error) {
	d.ledger.broken.Store(true)
	d.failed.Warn("ledger can't write; tokens are not honoured", "err", err)
}

// sweep forgets whole windows.
type sweep struct {
	d     *durable
	count int
}

func (s *sweep) Apply(tx *store.Tx) error {
	s.count = 0
	w, ok := s.d.arbiter.SweepableThrough(s.d.ledger.now())
	if !ok {
		return nil
	}
	spent := tx.Bucket(spentBucket)
	var old [][]byte
	_ = spent.ForEachBucket(func(k []byte) error {
		if resumetoken.Window(binary.BigEndian.Uint64(k)) <= w {
			old = append(old, append([]byte(nil), k...))
		}
		return nil
	})
	for _, k := range old {
		n := spent.Bucket(k).Stats().KeyN
		if err := spent.DeleteBucket(k); err != nil {
			return err
		}
		s.count += n
	}
	// The mark goes with the records: a clock that is set back later finds it.
	if err := tx.Bucket(rulesBucket).Put(sweptKey, key(w)); err != nil {
		return err
	}
	s.d.arbiter.SweptThrough = w
	return nil
}

func (s *sweep) Done(err error) {
	if errors.Is(err, store.ErrQueueFull) {
		return // the next tick sweeps
	}
	if err != nil {
		s.d.broke(err)
		return
	}
	s.d.arbiter.RecordCount -= s.count
	s.d.ledger.kept.Store(int64(s.d.arbiter.RecordCount))
	if s.d.arbiter.RecordCount < s.d.arbiter.MaxRecords {
		s.d.ledger.broken.Store(false)
	}
}

func key(w resumetoken.Window) []byte { return binary.BigEndian.AppendUint64(nil, uint64(w)) }

// ---- in memory ----

type memory struct {
	ledger *Guard

	mu      sync.Mutex
	arbiter resumetoken.Arbiter
	spent   map[resumetoken.Window]map[resumetoken.Nonce]resumetoken.RedemptionID
}

func (m *memory) spend(t *resumetoken.Token, c resumetoken.RedemptionID, tell func(resumetoken.Verdict)) {
	m.mu.Lock()
	v, fresh := m.arbiter.Decide(m.ledger.now(), t, c, func(w resumetoken.Window, n resumetoken.Nonce) (resumetoken.RedemptionID, bool) {
		had, ok := m.spent[w][n]
		return had, ok
	})
	if fresh {
		w := resumetoken.WindowOf(t.ExpiresAt)
		if m.spent[w] == nil {
			m.spent[w] = map[resumetoken.Nonce]resumetoken.RedemptionID{}
		}
		m.spent[w][t.Nonce] = c
		m.arbiter.RecordCount++
		m.ledger.kept.Store(int64(m.arbiter.RecordCount))
	}
	m.mu.Unlock()
	tell(v)
}

func (m *memory) sweep() {
	m.mu.Lock()
	defer m.mu.Unlock()
	w, ok := m.arbiter.SweepableThrough(m.ledger.now())
	if !ok {
		return
	}
	for at, records := range m.spent {
		if at <= w {
			m.arbiter.RecordCount -= len(records)
			delete(m.spent, at)
		}
	}
	m.arbiter.SweptThrough = w
	m.ledger.kept.Store(int64(m.arbiter.RecordCount))
}

func (m *memory) run(ctx context.Context) { <-ctx.Done() }
func (m *memory) close() error            { return nil }
