package accounts

import (
	"context"
	"fmt"
	mrand "math/rand/v2"
	"slices"
	"time"

	"coralrelay/internal/scenario/faultproxy"
	"coralrelay/internal/scenario/testbed"
)

// linkCut is the fault of a link that transmits nothing.
var linkCut = faultproxy.Fault{Cut: true}

// beginFault records that an agent has a fault until endFault is called, which is done just before the
// fault is removed.
func (s *scenario) beginFault(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultPeriods[name] = append(s.faultPeriods[name], period{from: time.Now()})
}

// endFault records the end of an agent's latest fault.
func (s *scenario) endFault(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultPeriods[name][len(s.faultPeriods[name])-1].until = time.Now()
}

// loseLeader returns the current leader, for the caller to disrupt, and records that it is lost from now
// on. It returns an error if there is no leader within maxLeaderGap.
func (s *scenario) loseLeader(ctx context.Context) (string, error) {
	name := ""
	_, ok := testbed.Await(ctx, maxLeaderGap, func() bool {
		name = s.watcher.leader()
		return name != ""
	})
	if !ok && ctx.Err() == nil {
		return "", fmt.Errorf("no leader: %s", s.watcher.describe())
	}
	s.beginFault(name)
	s.mu.Lock()
	s.leaderLostAt = append(s.leaderLostAt, time.Now())
	s.mu.Unlock()
	s.AddMetric("leaders_lost", 1)
	return name, ctx.Err()
}

// randomAgent returns a random voter or, if isVoter is false, a random non-voter, but none of except.
func (s *scenario) randomAgent(rng *mrand.Rand, isVoter bool, except ...string) string {
	all := s.Names[s.Voters:]
	if isVoter {
		all = s.Names[:s.Voters]
	}
	for {
		if name := all[rng.IntN(len(all))]; !slices.Contains(except, name) {
			return name
		}
	}
}

// allExcept returns the names of all agents but one.
func (s *scenario) allExcept(except string) []string {
	return slices.DeleteFunc(slices.Clone(s.Names), func(name string) bool { return name == except })
}

// waitForRejoin waits until an agent is within its lease and has a role in the replicated log again,
// with its vote if it is a voter.
func (s *scenario) waitForRejoin(ctx context.Context, phase, name string) {
	timeout := rejoinTimeout
	if s.Metric("not_back") > 0 { // the scenario has already failed
		timeout = time.Second
	}
	took, hasRejoined := testbed.Await(ctx, timeout, func() bool {
		l, up := s.watcher.latest(name)
		return up && l.WithinLease && (l.Role == "follower" || l.Role == "voter" || l.Role == "leader")
	})
	s.SetMetric(phase+"_back_ms", max(s.Metric(phase+"_back_ms"), float64(took.Milliseconds())))
	if !hasRejoined && ctx.Err() == nil {
		s.AddMetric("not_back", 1)
		s.violationf("back", "%s: %s did not follow the log again within %v: %s",
			phase, name, timeout, s.watcher.describe())
	}
}

// waitForConvergence ends all network faults and waits until all members hold the same state.
func (s *scenario) waitForConvergence(ctx context.Context) {
	s.Proxy.Heal()
	took, hasConverged := testbed.Await(ctx, convergenceTimeout, func() bool {
		return s.watcher.hasConverged(s.Names)
	})
	s.SetMetric("as_one_again_ms", float64(took.Milliseconds()))
	if !hasConverged && ctx.Err() == nil {
		s.violationf("converge", "members still hold different states %v after all faults ended: %s",
			convergenceTimeout, s.watcher.describe())
	}
	// The watcher polls an agent's tree after its state, so the last trees may not have arrived yet.
	testbed.Await(ctx, time.Second, func() bool { return s.watcher.hasCurrentTrees(s.Names) })
}
