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

// sweepInterval is the interval between sweeps of expired windows.
const sweepInterval = resumetoken.WindowLength / 2

// Options configure a guard.
type Options struct {
	Dir        string           // directory of the file; empty to keep records in memory until a restart
	MaxRecords int              // maximum number of records of spent tokens
	ClockSkew  time.Duration    // by which the clock of an issuer may be ahead
	MaxBatch   int              // maximum number of writes in a batch; 0 for the default
	NoSync     bool             // no file sync: records survive a crash of the node, not of the machine
	Now        func() time.Time // the clock; nil for time.Now
}

// Guard records which of the tokens that it arbitrates are spent. Its methods may be called
// concurrently.
type Guard struct {
	ID              resumetoken.GuardID
	IsDurable       bool // the records survive a restart
	backend         backend
	recordCount     atomic.Int64
	maxRecords      int64
	lastWriteFailed atomic.Bool
	now             func() time.Time
}

// backend keeps the records of a guard.
type backend interface {
	// spend decides on a token and records a new grant. It calls reply exactly once.
	spend(token *resumetoken.Token, id resumetoken.RedemptionID, reply func(resumetoken.Verdict))
	// sweep removes the records of windows whose tokens have all expired.
	sweep()
	// run runs the backend until ctx ends.
	run(ctx context.Context)
	close() error
}

// Open opens a guard. The guard decides on tokens only while Run runs. The error wraps
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

// NewUnavailable returns a guard that grants nothing, for a node whose guard could not be opened.
// As it is never ready, the node chooses peers as the arbiters of its tokens.
func NewUnavailable() *Guard {
	guard := &Guard{now: time.Now, backend: unavailableBackend{}}
	_, _ = rand.Read(guard.ID[:])
	return guard
}

// Run runs the guard until ctx ends, and then closes it.
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
// reply exactly once, possibly from another goroutine. reply must not block.
func (g *Guard) Spend(
	token *resumetoken.Token, id resumetoken.RedemptionID, reply func(resumetoken.Verdict),
) {
	g.backend.spend(token, id, reply)
}

// RecordCount returns the number of records of spent tokens.
func (g *Guard) RecordCount() int { return int(g.recordCount.Load()) }

// IsReady reports whether the guard has capacity for another record and its last write succeeded.
func (g *Guard) IsReady() bool {
	return g.recordCount.Load() < g.maxRecords && !g.lastWriteFailed.Load()
}

// candidate returns the guard as a candidate for the arbiter of new tokens.
func (g *Guard) candidate(node string) resumetoken.Candidate {
	return resumetoken.Candidate{Name: node, GuardID: g.ID, IsReady: g.IsReady(), IsDurable: g.IsDurable}
}

// unavailableBackend keeps no records and grants nothing.
type unavailableBackend struct{}

func (unavailableBackend) spend(
	_ *resumetoken.Token, _ resumetoken.RedemptionID, reply func(resumetoken.Verdict),
) {
	reply(resumetoken.GuardUnavailable)
}

func (unavailableBackend) sweep()                  {}
func (unavailableBackend) run(ctx context.Context) { <-ctx.Done() }
func (unavailableBackend) close() error            { return nil }
