package flowtable

import "time"

// tokenBucket limits a rate. Whoever takes a token from it refills it first.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Duration
}

// refill adds the tokens since the last refill, up to burst. A clock that was set back adds none.
func (b *tokenBucket) refill(now time.Duration, rate, burst float64) {
	if now <= b.refilledAt {
		return
	}
	b.tokens = min(burst, b.tokens+rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}
