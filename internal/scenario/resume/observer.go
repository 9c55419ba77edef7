package resume

import (
	"encoding/hex"
	"fmt"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/resumetoken"
)

// ---- what the stand-ins tell ----

// Opened holds first lines to the drain rule.
func (r *run) Opened(line fake.Opened) {
	r.CheckDrain(r.discovery, line.Node, line.Server, line.Key, line.At)
}

// Started holds streams to the rule of one use.
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
		r.AddViolation("token-once", fmt.Sprintf("%s honoured at %s and at %s by %s", stream.Nonce, firstServer, stream.Server, stream.Node))
	}
	if owner != stream.Key {
		r.AddViolation("token-owner", fmt.Sprintf("%s given to %q, honoured for %s at %s", stream.Nonce, owner, stream.Key, stream.Node))
	}
}

// Answered counts final answers.
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

// Moved keeps the token for those who present it again.
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
		r.AddViolation("token", fmt.Sprintf("%s was given %q: %v", key, token, err))
		return
	}
	if opened.Issuer != opened.Arbiter {
		r.AddMetric("tokens with a peer as arbiter", 1)
	}
	r.ownerByNonce[hex.EncodeToString(opened.Nonce[:])] = key
	if r.recentTokens = append(r.recentTokens, issuedToken{key, group, token, time.Now()}); len(r.recentTokens) > 300 {
		r.recentTokens = r.recentTokens[1:]
	}
}

// Streaming keeps the gap in delivery.
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

func (r *run) recordMetrics() {
	r.SetMetric("gap ms p50", float64(r.deliveryGaps.ValueAtQuantile(50))/1000)
	r.SetMetric("gap ms p99", float64(r.deliveryGaps.ValueAtQuantile(99))/1000)
	for presented, name := range map[bool]string{true: "with a token", false: "without"} {
		for _, quantile := range []float64{50, 99} {
			r.SetMetric(fmt.Sprintf("set-up ms p%g %s", quantile, name), float64(r.setupTimes[presented].ValueAtQuantile(quantile))/1000)
			r.SetMetric(fmt.Sprintf("stream begins ms p%g %s", quantile, name), float64(r.streamStartTimes[presented].ValueAtQuantile(quantile))/1000)
		}
	}
	r.SetMetric("bytes of resumptions against snapshots", r.Metric("bytes of resumptions")/max(1, r.Metric("bytes of snapshots in their place")))
	r.SetMetric("refused tokens", r.Metric("presented again")+r.Metric("stolen")+r.Metric("spoiled")+r.Metric("presentations served")-r.Metric("resumed"))
	for _, metric := range []string{"drains", "presented again", "stolen", "spoiled", "snapshots", "resumed"} {
		r.RequireAtLeast(metric, 1)
	}
	if r.Moves >= 500 { // a short run need not see each
		for _, metric := range []string{"planned restarts", "nodes killed", "servers killed", "overloads", "key rotations", "tokens with a peer as arbiter"} {
			r.RequireAtLeast(metric, 1)
		}
		r.RequireAtLeast("resumed", r.Metric("moves")/4)
	}
}
