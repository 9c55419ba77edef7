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
func (s *run) presentBadTokens(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.Options.Seed, 99))
	var wg sync.WaitGroup
	defer wg.Wait()
	for fake.Sleep(ctx, 80*time.Millisecond) {
		s.mu.Lock()
		n := len(s.recentTokens)
		var t issuedToken
		if n > 0 {
			t = s.recentTokens[rng.IntN(n)]
		}
		s.mu.Unlock()
		if n == 0 {
			continue
		}
		own := rand.New(rand.NewPCG(rng.Uint64(), 1))
		switch kind := rng.IntN(4); {
		case kind < 2:
			// A retry that comes late; while the client may still be on its way it
			// would only take the token from it.
			if time.Since(t.issuedAt) < 3*time.Second {
				continue
			}
			s.AddMetric("presented again", 1)
		case kind == 2: // the latest, before its owner is back
			s.mu.Lock()
			t = s.recentTokens[len(s.recentTokens)-1]
			s.mu.Unlock()
			t.key, t.group = "thief", fmt.Sprintf("g%d", rng.IntN(4))
			s.AddMetric("stolen", 1)
		default:
			t.token = corruptToken(own, t.token)
			s.AddMetric("spoiled", 1)
		}
		wg.Go(func() { fake.PresentToken(ctx, s.nodes, own, t.key, t.group, "feed", t.token, testbed.Patience) })
	}
}

// spoil makes a token that nobody minted.
func corruptToken(rng *rand.Rand, token string) string {
	const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"
	b := []byte(token)
	switch rng.IntN(3) {
	case 0: // a bit flipped
		at := rng.IntN(len(b))
		b[at] = digits[(strings.IndexByte(digits, b[at])+1+rng.IntN(62))%64]
	case 1: // cut short
		b = b[:rng.IntN(len(b))]
	default: // of a future version
		b[0], b[1] = 'A', 'g'
	}
	return string(b)
}

// watch compares what clients have with the truth of two seconds ago.
func (s *run) watchFreshness(ctx context.Context) {
	for fake.Sleep(ctx, 200*time.Millisecond) {
		for _, c := range s.clients {
			before := time.Now().Add(-freshnessBound)
			versions, since := c.Versions()
			if c.WithoutResumption || since.IsZero() || since.After(before) {
				continue
			}
			s.checkVersions(c, versions, before)
		}
	}
}

func (s *run) checkVersions(c *fake.Client, versions map[int]uint64, at time.Time) {
	s.AddMetric("comparisons", 1)
	for l, v := range s.feed.State(c.Group, s.feed.Head(c.Group, at)) {
		if versions[l] < v {
			s.AddViolation("fresh", fmt.Sprintf("%s has version %d of %s's listing %d, %v after version %d", c.Key, versions[l], c.Group, l, freshnessBound, v))
		}
	}
}

// settled holds every client to the latest of everything.
func (s *run) checkFinalVersions() {
	for _, c := range s.clients {
		if c.WithoutResumption {
			continue
		}
		versions, since := c.Versions()
		if since.IsZero() {
			s.AddViolation("fresh", c.Key+" has no stream at the end")
			continue
		}
		s.checkVersions(c, versions, time.Now())
	}
}

func (s *run) reportProgress(ctx context.Context) {
	for n := 1; fake.Sleep(ctx, time.Second); n++ {
		if s.Progress != nil {
			fmt.Fprintf(s.Progress, "\r%3d s  %5.0f moves  %5.0f resumed  %5.0f snapshots  %3.0f drains  %2.0f restarts  %2.0f nodes killed ",
				n, s.Metric("moves"), s.Metric("resumed"), s.Metric("snapshots"), s.Metric("drains"), s.Metric("planned restarts"), s.Metric("nodes killed"))
		}
	}
}
