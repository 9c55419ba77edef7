package scenario

import (
	"context"
	"fmt"
	mrand "math/rand/v2"
	"time"

	"coralrelay/internal/fake"
)

// bad has a server answer every first line with an error, while its probes look well, and
// then another answer nothing at all.
func (s *fleetScene) bad(ctx context.Context, _ *mrand.Rand) error {
	// What was served before has to fade (2 s), half of those who ask to see it fail, and the
	// share is taken over a second.
	const within = 5 * time.Second
	servers := s.AllServers()
	servers[3].SetFault(fake.AnswersErrors)
	from := time.Now()
	shunned := time.Duration(-1)
	for time.Since(from) < 8*time.Second && shunned < 0 && fake.Sleep(ctx, 250*time.Millisecond) {
		if now := time.Now(); now.Sub(from) > time.Second && s.ServerShares(now.Add(-time.Second), now)["s3"] < 0.35 {
			shunned = now.Sub(from)
		}
	}
	servers[3].SetFault(fake.Healthy)
	if shunned < 0 {
		shunned = 8 * time.Second
	}
	s.SetMetric("bad_shunned_after_ms", float64(shunned.Milliseconds()))
	if !s.FleetOptions.WithoutAgents && shunned > within {
		s.AddViolation("verdict", fmt.Sprintf("a server that fails was not shunned within %v", within))
	}
	fake.Sleep(ctx, 7*time.Second) // accusations are forgotten
	from = time.Now()
	fake.Sleep(ctx, 3*time.Second)
	back := s.ServerShares(from, time.Now())["s3"]
	s.SetMetric("recovered_share", back)
	if back < 0.5 {
		s.AddViolation("verdict", fmt.Sprintf("a server that works again gets %.2f of its share", back))
	}
	before := servers[4].Probes()
	fake.Sleep(ctx, 2*time.Second)
	usual := float64(servers[4].Probes() - before)
	servers[4].SetFault(fake.Unresponsive)
	const look = 500 * time.Millisecond
	after := 7 * look // more than is looked for: not seen
	for i := range 6 {
		before = servers[4].Probes()
		fake.Sleep(ctx, look)
		if asked := float64(servers[4].Probes() - before); after > 6*look && asked <= usual/4/3 { // a third of what it was in this time
			after = time.Duration(i+1) * look
		}
	}
	s.SetMetric("silent_shunned_after_ms", float64(after.Milliseconds()))
	before = servers[4].Probes()
	fake.Sleep(ctx, 2*time.Second)
	s.SetMetric("silent_probes_of_usual", float64(servers[4].Probes()-before)/max(usual, 1))
	servers[4].SetFault(fake.Healthy)
	fake.Sleep(ctx, 3*time.Second)
	return nil
}
