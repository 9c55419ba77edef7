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
	s.HoldDrain(s.roster, o.Node, o.Server, o.Key, o.At)
}

// Started holds streams to the rule of one use.
func (s *scene) Started(v fake.Started) {
	if v.Resumed {
		s.Add("resumed", 1)
		s.Add("bytes of resumptions", float64(v.Bytes))
		s.Add("bytes of snapshots in their place", float64(v.Snapshot))
	} else {
		s.Add("snapshots", 1)
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
		s.Broken("token-once", fmt.Sprintf("%s honoured at %s and at %s by %s", v.Nonce, where, v.Server, v.Node))
	}
	if owner != v.Key {
		s.Broken("token-owner", fmt.Sprintf("%s given to %q, honoured for %s at %s", v.Nonce, owner, v.Key, v.Node))
	}
}

// Answered counts final answers.
func (s *scene) Answered(_, answer string, presented bool, took time.Duration) {
	s.Add("answers "+answer, 1)
	if presented && answer == "UP" {
		s.Add("presentations served", 1)
	}
	if answer == "UP" {
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = s.setups[presented].RecordValue(took.Microseconds())
	}
}

// Moved keeps the token for those who present it again.
func (s *scene) Moved(key, group, token string) {
	s.Add("moves", 1)
	if token == "" {
		s.Add("moves without a token", 1)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t, err := resumetoken.Open(s.ring, token)
	if err != nil {
		s.Broken("token", fmt.Sprintf("%s was given %q: %v", key, token, err))
		return
	}
	if t.Issuer != t.Arbiter {
		s.Add("tokens with a peer as arbiter", 1)
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
		s.Add("snapshots after a break", 1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.gaps.RecordValue(gap.Microseconds())
}

func (s *scene) figures() {
	s.Set("gap ms p50", float64(s.gaps.ValueAtQuantile(50))/1000)
	s.Set("gap ms p99", float64(s.gaps.ValueAtQuantile(99))/1000)
	for presented, name := range map[bool]string{true: "with a token", false: "without"} {
		for _, q := range []float64{50, 99} {
			s.Set(fmt.Sprintf("set-up ms p%g %s", q, name), float64(s.setups[presented].ValueAtQuantile(q))/1000)
			s.Set(fmt.Sprintf("stream begins ms p%g %s", q, name), float64(s.begins[presented].ValueAtQuantile(q))/1000)
		}
	}
	s.Set("bytes of resumptions against snapshots", s.Get("bytes of resumptions")/max(1, s.Get("bytes of snapshots in their place")))
	s.Set("refused tokens", s.Get("presented again")+s.Get("stolen")+s.Get("spoiled")+s.Get("presentations served")-s.Get("resumed"))
	for _, f := range []string{"drains", "presented again", "stolen", "spoiled", "snapshots", "resumed"} {
		s.Least(f, 1)
	}
	if s.Moves >= 500 { // a short run need not see each
		for _, f := range []string{"planned restarts", "nodes killed", "servers killed", "overloads", "key rotations", "tokens with a peer as arbiter"} {
			s.Least(f, 1)
		}
		s.Least("resumed", s.Get("moves")/4)
	}
}
