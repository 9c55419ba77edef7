package replayguard

import (
	"context"
	"crypto/rand"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"coralrelay/internal/resumetoken"
)

// sweepInterval is how often expired windows are looked for.
const sweepInterval = resumetoken.WindowLength / 2

// Options bound a guard.
type Options struct {
	Dir        string           // directory of its file; empty to keep records in memory, which a restart empties
	MaxRecords int              // most tokens that are remembered
	ClockSkew  time.Duration    // by which an issuer's clock may be ahead
	MaxBatch   int              // most tokens that are made durable at once; 0 for the default
	NoSync     bool             // spare the disk's sync: safe over a crash of the node, not of the machine
	Now        func() time.Time // the clock; nil for time.Now
}

// Guard records which of the tokens that it arbitrates are spent. Its methods may be called
// from several goroutines.
type Guard struct {
	ID          resumetoken.GuardID
	IsDurable   bool // its records survive a restart
	backend     backend
	recordCount atomic.Int64
	maxRecords  int64
	writeFailed atomic.Bool // the last write failed
	now         func() time.Time
}

// backend holds a guard's records.
type backend interface {
	// spend decides on a token and records a new grant. It calls reply once.
	spend(token *resumetoken.Token, id resumetoken.RedemptionID, reply func(resumetoken.Verdict))
	// sweep forgets windows whose tokens have all expired.
	sweep()
	// run works until ctx ends.
	run(ctx context.Context)
	close() error
}

// Open opens the guard that the options name. It answers while Run runs. The error wraps
// store.ErrLocked if another process has the guard's file open.
func Open(options Options) (*Guard, error) {
	if options.Now == nil {
		options.Now = time.Now
	}
	guard := &Guard{maxRecords: int64(options.MaxRecords), now: options.Now}
	arbiter := resumetoken.Arbiter{MaxRecords: options.MaxRecords, ClockSkew: options.ClockSkew}
	if options.Dir == "" {
		_, _ = rand.Read(arbiter.ID[:])
		guard.ID, guard.backend = arbiter.ID, newMemoryBackend(guard, arbiter)
		return guard, nil
	}
	durable, err := openDurableBackend(guard, arbiter, options)
	if err != nil {
		return nil, fmt.Errorf("open replay guard: %w", err)
	}
	guard.ID, guard.IsDurable, guard.backend = durable.arbiter.ID, true, durable
	return guard, nil
}

// NewUnavailable returns the guard of a node whose own could not be opened: it grants nothing,
// and its node names peers as arbiters.
func NewUnavailable() *Guard {
	guard := &Guard{now: time.Now, backend: unavailableBackend{}}
	_, _ = rand.Read(guard.ID[:])
	return guard
}

// Run works until ctx ends, and then closes the guard.
func (g *Guard) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { g.backend.run(ctx) })
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		g.backend.sweep()
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	wg.Wait()
	if err := g.backend.close(); err != nil {
		slog.Error("replay guard close failed", "component", component, "error", err)
	}
}

// Spend decides whether a token is granted to a redemption, and records a new grant. It calls
// reply once, possibly from another goroutine; reply must not block.
func (g *Guard) Spend(token *resumetoken.Token, id resumetoken.RedemptionID, reply func(resumetoken.Verdict)) {
	g.backend.spend(token, id, reply)
}

// RecordCount returns how many spent tokens are remembered.
func (g *Guard) RecordCount() int { return int(g.recordCount.Load()) }

// IsReady reports whether the guard has capacity and could write when it last did.
func (g *Guard) IsReady() bool {
	return g.recordCount.Load() < g.maxRecords && !g.writeFailed.Load()
}

// candidate returns the guard as an arbiter of new tokens.
func (g *Guard) candidate(node string) resumetoken.Candidate {
	return resumetoken.Candidate{Name: node, GuardID: g.ID, IsReady: g.IsReady(), IsDurable: g.IsDurable}
}

// unavailableBackend has no records and grants nothing.
type unavailableBackend struct{}

func (unavailableBackend) spend(_ *resumetoken.Token, _ resumetoken.RedemptionID, reply func(resumetoken.Verdict)) {
	reply(resumetoken.GuardUnavailable)
}

func (unavailableBackend) sweep()                  {}
func (unavailableBackend) run(ctx context.Context) { <-ctx.Done() }
func (unavailableBackend) close() error            { return nil }
