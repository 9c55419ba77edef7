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

// abuse presents tokens a second time, as another client, and spoiled.
func (r *run) presentBadTokens(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.Options.Seed, 99))
	var wg sync.WaitGroup
	defer wg.Wait()
	for fake.Sleep(ctx, 80*time.Millisecond) {
		r.mu.Lock()
		count := len(r.recentTokens)
		var token issuedToken
		if count > 0 {
			token = r.recentTokens[rng.IntN(count)]
		}
		r.mu.Unlock()
		if count == 0 {
			continue
		}
		attempt := rand.New(rand.NewPCG(rng.Uint64(), 1))
		switch kind := rng.IntN(4); {
		case kind < 2:
			// A retry that comes late; while the client may still be on its way it
			// would only take the token from it.
			if time.Since(token.issuedAt) < 3*time.Second {
				continue
			}
			r.AddMetric("presented again", 1)
		case kind == 2: // the latest, before its owner is back
			r.mu.Lock()
			token = r.recentTokens[len(r.recentTokens)-1]
			r.mu.Unlock()
			token.key, token.group = "thief", fmt.Sprintf("g%d", rng.IntN(4))
			r.AddMetric("stolen", 1)
		default:
			token.token = corruptToken(attempt, token.token)
			r.AddMetric("spoiled", 1)
		}
		wg.Go(func() {
			fake.PresentToken(ctx, r.nodes, attempt, token.key, token.group, "feed", token.token, testbed.Patience)
		})
	}
}

// spoil makes a token that nobody minted.
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

// watch compares what clients have with the truth of two seconds ago.
func (r *run) watchFreshness(ctx context.Context) {
	for fake.Sleep(ctx, 200*time.Millisecond) {
		for _, client := range r.clients {
			before := time.Now().Add(-freshnessBound)
			versions, since := client.Versions()
			if client.WithoutResumption || since.IsZero() || since.After(before) {
				continue
			}
			r.checkVersions(client, versions, before)
		}
	}
}

func (r *run) checkVersions(client *fake.Client, versions map[int]uint64, at time.Time) {
	r.AddMetric("comparisons", 1)
	for listing, version := range r.feed.State(client.Group, r.feed.Head(client.Group, at)) {
		if versions[listing] < version {
			r.AddViolation("fresh", fmt.Sprintf("%s has version %d of %s's listing %d, %v after version %d", client.Key, versions[listing], client.Group, listing, freshnessBound, version))
		}
	}
}

// settled holds every client to the latest of everything.
func (r *run) checkFinalVersions() {
	for _, client := range r.clients {
		if client.WithoutResumption {
			continue
		}
		versions, since := client.Versions()
		if since.IsZero() {
			r.AddViolation("fresh", client.Key+" has no stream at the end")
			continue
		}
		r.checkVersions(client, versions, time.Now())
	}
}

func (r *run) reportProgress(ctx context.Context) {
	for n := 1; fake.Sleep(ctx, time.Second); n++ {
		if r.Progress != nil {
			fmt.Fprintf(r.Progress, "\r%3d s  %5.0f moves  %5.0f resumed  %5.0f snapshots  %3.0f drains  %2.0f restarts  %2.0f nodes killed ",
				n, r.Metric("moves"), r.Metric("resumed"), r.Metric("snapshots"), r.Metric("drains"), r.Metric("planned restarts"), r.Metric("nodes killed"))
		}
	}
}
