package scenario

import (
	"encoding/hex"
	"fmt"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/resumetoken"
)

// ---- what the stand-ins tell ----

// Opened holds first lines to the drain rule.
func (s *scene) Opened(o fake.Opened) {
	s.CheckDrain(s.roster, o.Node, o.Server, o.Key, o.At)
}

// Started holds streams to the rule of one use.
func (s *scene) Started(v fake.Started) {
	if v.Resumed {
		s.AddMetric("resumed", 1)
		s.AddMetric("bytes of resumptions", float64(v.Bytes))
		s.AddMetric("bytes of snapshots in their place", float64(v.Snapshot))
	} else {
		s.AddMetric("snapshots", 1)
	}
	if v.Nonce == "" {
		return
	}
	s.mu.Lock()
	where, twice := s.honored[v.Nonce]
	s.honored[v.Nonce] = v.Server + " by " + v.Node
	owner := s.owners[v.Nonce]
	s.mu.Unlock()
	if twice {
		s.AddViolation("token-once", fmt.Sprintf("%s honoured at %s and at %s by %s", v.Nonce, where, v.Server, v.Node))
	}
	if owner != v.Key {
		s.AddViolation("token-owner", fmt.Sprintf("%s given to %q, honoured for %s at %s", v.Nonce, owner, v.Key, v.Node))
	}
}

// Answered counts final answers.
func (s *scene) Answered(_, answer string, presented bool, took time.Duration) {
	s.AddMetric("answers "+answer, 1)
	if presented && answer == "UP" {
		s.AddMetric("presentations served", 1)
	}
	if answer == "UP" {
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = s.setups[presented].RecordValue(took.Microseconds())
	}
}

// Moved keeps the token for those who present it again.
func (s *scene) Moved(key, group, token string) {
	s.AddMetric("moves", 1)
	if token == "" {
		s.AddMetric("moves without a token", 1)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t, err := resumetoken.Open(s.ring, token)
	if err != nil {
		s.AddViolation("token", fmt.Sprintf("%s was given %q: %v", key, token, err))
		return
	}
	if t.Issuer != t.Arbiter {
		s.AddMetric("tokens with a peer as arbiter", 1)
	}
	s.owners[hex.EncodeToString(t.Nonce[:])] = key
	if s.tokens = append(s.tokens, shown{key, group, token, time.Now()}); len(s.tokens) > 300 {
		s.tokens = s.tokens[1:]
	}
}

// Streaming keeps the gap in delivery.
func (s *scene) Streaming(_ string, presented, resumed bool, wait, gap time.Duration) {
	s.mu.Lock()
	_ = s.begins[presented].RecordValue(wait.Microseconds())
	s.mu.Unlock()
	if gap == 0 {
		return
	}
	if !resumed {
		s.AddMetric("snapshots after a break", 1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.gaps.RecordValue(gap.Microseconds())
}

func (s *scene) figures() {
	s.SetMetric("gap ms p50", float64(s.gaps.ValueAtQuantile(50))/1000)
	s.SetMetric("gap ms p99", float64(s.gaps.ValueAtQuantile(99))/1000)
	for presented, name := range map[bool]string{true: "with a token", false: "without"} {
		for _, q := range []float64{50, 99} {
			s.SetMetric(fmt.Sprintf("set-up ms p%g %s", q, name), float64(s.setups[presented].ValueAtQuantile(q))/1000)
			s.SetMetric(fmt.Sprintf("stream begins ms p%g %s", q, name), float64(s.begins[presented].ValueAtQuantile(q))/1000)
		}
	}
	s.SetMetric("bytes of resumptions against snapshots", s.Metric("bytes of resumptions")/max(1, s.Metric("bytes of snapshots in their place")))
	s.SetMetric("refused tokens", s.Metric("presented again")+s.Metric("stolen")+s.Metric("spoiled")+s.Metric("presentations served")-s.Metric("resumed"))
	for _, f := range []string{"drains", "presented again", "stolen", "spoiled", "snapshots", "resumed"} {
		s.RequireAtLeast(f, 1)
	}
	if s.Moves >= 500 { // a short run need not see each
		for _, f := range []string{"planned restarts", "nodes killed", "servers killed", "overloads", "key rotations", "tokens with a peer as arbiter"} {
			s.RequireAtLeast(f, 1)
		}
		s.RequireAtLeast("resumed", s.Metric("moves")/4)
	}
}
