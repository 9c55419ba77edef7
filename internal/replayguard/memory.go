package replayguard

import (
	"context"
	"sync"

	"coralrelay/internal/resumetoken"
)

// memoryBackend keeps records in memory.
type memoryBackend struct {
	guard *Guard

	mu      sync.Mutex
	arbiter resumetoken.Arbiter
	spent   map[resumetoken.Window]map[resumetoken.Nonce]resumetoken.RedemptionID
}

func newMemoryBackend(guard *Guard, arbiter resumetoken.Arbiter) *memoryBackend {
	return &memoryBackend{
		guard:   guard,
		arbiter: arbiter,
		spent:   map[resumetoken.Window]map[resumetoken.Nonce]resumetoken.RedemptionID{},
	}
}

func (m *memoryBackend) spend(
	token *resumetoken.Token, id resumetoken.RedemptionID, reply func(resumetoken.Verdict),
) {
	reply(m.decide(token, id))
}

// decide returns the verdict on a token and records a new grant.
func (m *memoryBackend) decide(token *resumetoken.Token, id resumetoken.RedemptionID) resumetoken.Verdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	verdict, isNew := m.arbiter.Decide(m.guard.now(), token, id, m.lookup)
	if isNew {
		window := resumetoken.WindowOf(token.ExpiresAt)
		if m.spent[window] == nil {
			m.spent[window] = map[resumetoken.Nonce]resumetoken.RedemptionID{}
		}
		m.spent[window][token.Nonce] = id
		m.arbiter.RecordCount++
		m.guard.recordCount.Store(int64(m.arbiter.RecordCount))
	}
	return verdict
}

// lookup returns the redemption that a token was granted to, and false if the token is unspent.
func (m *memoryBackend) lookup(
	window resumetoken.Window, nonce resumetoken.Nonce,
) (resumetoken.RedemptionID, bool) {
	id, ok := m.spent[window][nonce]
	return id, ok
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
