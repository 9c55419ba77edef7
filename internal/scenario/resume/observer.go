package resume

import (
	"encoding/hex"
	"fmt"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/resumetoken"
)

// The fake servers and clients report their events to the run through these methods.

// Opened checks a first line against the drain rule.
func (r *run) Opened(line fake.Opened) {
	r.CheckDrain(r.discovery, line.Node, line.Server, line.Key, line.At)
}

// Started checks that a token starts at most one stream, and only for the client that it was
// issued to.
func (r *run) Started(stream fake.Started) {
	if stream.Resumed {
		r.AddMetric("resumed", 1)
		r.AddMetric("bytes of resumptions", float64(stream.Bytes))
		r.AddMetric("bytes of snapshots in their place", float64(stream.Snapshot))
	} else {
		r.AddMetric("snapshots", 1)
	}
	if stream.Nonce == "" {
		return
	}
	r.mu.Lock()
	firstServer, reused := r.honoredByNonce[stream.Nonce]
	r.honoredByNonce[stream.Nonce] = stream.Server + " by " + stream.Node
	owner := r.ownerByNonce[stream.Nonce]
	r.mu.Unlock()
	if reused {
		r.AddViolation("token-once", fmt.Sprintf("token %s honoured at %s and again at %s by %s",
			stream.Nonce, firstServer, stream.Server, stream.Node))
	}
	if owner != stream.Key {
		r.AddViolation("token-owner", fmt.Sprintf("token %s issued to %q, honoured for %s at %s",
			stream.Nonce, owner, stream.Key, stream.Node))
	}
}

// Answered counts final answers, and records the time that each UP took.
func (r *run) Answered(_, answer string, presented bool, took time.Duration) {
	r.AddMetric("answers "+answer, 1)
	if presented && answer == "UP" {
		r.AddMetric("presentations served", 1)
	}
	if answer == "UP" {
		r.mu.Lock()
		defer r.mu.Unlock()
		_ = r.setupTimes[presented].RecordValue(took.Microseconds())
	}
}

// Moved checks that the token can be opened, and stores it for presentBadTokens.
func (r *run) Moved(key, group, token string) {
	r.AddMetric("moves", 1)
	if token == "" {
		r.AddMetric("moves without a token", 1)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	opened, err := resumetoken.Open(r.keyRing, token)
	if err != nil {
		r.AddViolation("token", fmt.Sprintf("token issued to %s: cannot open %q: %v", key, token, err))
		return
	}
	if opened.Issuer != opened.Arbiter {
		r.AddMetric("tokens with a peer as arbiter", 1)
	}
	r.ownerByNonce[hex.EncodeToString(opened.Nonce[:])] = key
	r.storeToken(issuedToken{key, group, token, time.Now()})
}

// Streaming records the time until the stream began and the gap in delivery before it.
func (r *run) Streaming(_ string, presented, resumed bool, wait, gap time.Duration) {
	r.mu.Lock()
	_ = r.streamStartTimes[presented].RecordValue(wait.Microseconds())
	r.mu.Unlock()
	if gap == 0 {
		return
	}
	if !resumed {
		r.AddMetric("snapshots after a break", 1)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.deliveryGaps.RecordValue(gap.Microseconds())
}
