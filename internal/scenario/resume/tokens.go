package resume

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/scenario/testbed"
)

const (
	// badTokenInterval is the time between two attempts with a bad token.
	badTokenInterval = 80 * time.Millisecond
	// replayAge is the minimum age of a token that is replayed. The client of a younger token may
	// not have reconnected yet, and a replay would only use up its token.
	replayAge = 3 * time.Second
	// maxRecentTokens bounds the number of stored tokens.
	maxRecentTokens = 300
)

// issuedToken is a token that a client received when it was told to move.
type issuedToken struct {
	key, group, token string
	issuedAt          time.Time
}

// presentBadTokens replays tokens, presents them as another client and presents corrupted ones,
// until ctx ends. Its attempts have ended when it returns.
func (r *run) presentBadTokens(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.Options.Seed, 99))
	var wg sync.WaitGroup
	defer wg.Wait()
	for fake.Sleep(ctx, badTokenInterval) {
		token, ok := r.pickToken(rng)
		if !ok {
			continue
		}
		attemptRNG := rand.New(rand.NewPCG(rng.Uint64(), 1))
		switch kind := rng.IntN(4); {
		case kind < 2:
			if time.Since(token.issuedAt) < replayAge {
				continue
			}
			r.AddMetric("presented again", 1)
		case kind == 2: // the latest token, before its owner has reconnected
			token = r.latestToken()
			token.key, token.group = "thief", fmt.Sprintf("g%d", rng.IntN(4))
			r.AddMetric("stolen", 1)
		default:
			token.token = corruptToken(attemptRNG, token.token)
			r.AddMetric("spoiled", 1)
		}
		wg.Go(func() {
			fake.PresentToken(ctx, r.nodes, attemptRNG, token.key, token.group, "feed", token.token,
				testbed.FinalAnswerTimeout)
		})
	}
}

// pickToken draws one of the recent tokens. It draws nothing and ok is false if there are none.
func (r *run) pickToken(rng *rand.Rand) (token issuedToken, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := len(r.recentTokens)
	if count == 0 {
		return issuedToken{}, false
	}
	return r.recentTokens[rng.IntN(count)], true
}

// latestToken returns the token that was issued last. It requires that a token was issued.
func (r *run) latestToken() issuedToken {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recentTokens[len(r.recentTokens)-1]
}

// storeToken stores a token for presentBadTokens. The caller holds the lock.
func (r *run) storeToken(token issuedToken) {
	r.recentTokens = append(r.recentTokens, token)
	if len(r.recentTokens) > maxRecentTokens {
		r.recentTokens = r.recentTokens[1:]
	}
}

// corruptToken returns an altered copy of a token, which no node issued.
func corruptToken(rng *rand.Rand, token string) string {
	const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"
	corrupted := []byte(token)
	switch rng.IntN(3) {
	case 0: // one character replaced
		at := rng.IntN(len(corrupted))
		corrupted[at] = digits[(strings.IndexByte(digits, corrupted[at])+1+rng.IntN(62))%64]
	case 1: // truncated
		corrupted = corrupted[:rng.IntN(len(corrupted))]
	default: // with a future, unsupported version
		corrupted[0], corrupted[1] = 'A', 'g'
	}
	return string(corrupted)
}
