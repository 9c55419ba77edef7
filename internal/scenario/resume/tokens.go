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
	// badTokenInterval is the time from one attempt with a bad token to the next.
	badTokenInterval = 80 * time.Millisecond
	// replayAge is how old a token is before it is replayed: while its client may still be on
	// its way, a replay would only take the token from it.
	replayAge = 3 * time.Second
	// maxRecentTokens bounds the tokens that are kept to be presented again.
	maxRecentTokens = 300
)

// issuedToken is a token that a client was given when it was told to move.
type issuedToken struct {
	key, group, token string
	issuedAt          time.Time
}

// presentBadTokens replays tokens, and presents them as another client or corrupted, until ctx
// ends. Its own attempts have ended when it returns.
func (r *run) presentBadTokens(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.Options.Seed, 99))
	var wg sync.WaitGroup
	defer wg.Wait()
	for fake.Sleep(ctx, badTokenInterval) {
		token, ok := r.pickToken(rng)
		if !ok {
			continue
		}
		attempt := rand.New(rand.NewPCG(rng.Uint64(), 1))
		switch kind := rng.IntN(4); {
		case kind < 2:
			if time.Since(token.issuedAt) < replayAge {
				continue
			}
			r.AddMetric("presented again", 1)
		case kind == 2: // the latest, before its owner is back
			token = r.latestToken()
			token.key, token.group = "thief", fmt.Sprintf("g%d", rng.IntN(4))
			r.AddMetric("stolen", 1)
		default:
			token.token = corruptToken(attempt, token.token)
			r.AddMetric("spoiled", 1)
		}
		wg.Go(func() {
			fake.PresentToken(ctx, r.nodes, attempt, token.key, token.group, "feed", token.token, testbed.FinalAnswerTimeout)
		})
	}
}

// pickToken draws one of the recent tokens; ok is false, and nothing drawn, if there are none.
func (r *run) pickToken(rng *rand.Rand) (token issuedToken, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := len(r.recentTokens)
	if count == 0 {
		return issuedToken{}, false
	}
	return r.recentTokens[rng.IntN(count)], true
}

// latestToken returns the token that was issued last; there is one.
func (r *run) latestToken() issuedToken {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recentTokens[len(r.recentTokens)-1]
}

// keepToken keeps a token to be presented again. The lock is held.
func (r *run) keepToken(token issuedToken) {
	r.recentTokens = append(r.recentTokens, token)
	if len(r.recentTokens) > maxRecentTokens {
		r.recentTokens = r.recentTokens[1:]
	}
}

// corruptToken makes a token that no node issued.
func corruptToken(rng *rand.Rand, token string) string {
	const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"
	corrupted := []byte(token)
	switch rng.IntN(3) {
	case 0: // a bit flipped
		at := rng.IntN(len(corrupted))
		corrupted[at] = digits[(strings.IndexByte(digits, corrupted[at])+1+rng.IntN(62))%64]
	case 1: // cut short
		corrupted = corrupted[:rng.IntN(len(corrupted))]
	default: // of a future version
		corrupted[0], corrupted[1] = 'A', 'g'
	}
	return string(corrupted)
}
