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

// linkCut is the fault of a link that is down.
var linkCut = faultproxy.Fault{Cut: true}

// beginFault records that an agent has a fault, until endFault, which is called just before the fault
// is removed.
func (s *scenario) beginFault(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultPeriods[name] = append(s.faultPeriods[name], period{from: time.Now()})
}

func (s *scenario) endFault(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultPeriods[name][len(s.faultPeriods[name])-1].until = time.Now()
}

// leaderToLose returns the leader and records that it is lost from now on. It is an error if there is
// none.
func (s *scenario) leaderToLose(ctx context.Context) (string, error) {
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

// randomAgent draws an agent, of the voters or of the others, except some.
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

func (s *scenario) allExcept(except string) []string {
	return slices.DeleteFunc(slices.Clone(s.Names), func(name string) bool { return name == except })
}

// waitForRejoin waits until an agent follows the log again, and has its vote if it had one.
func (s *scenario) waitForRejoin(ctx context.Context, phase, name string) {
	timeout := rejoinTimeout
	if s.Metric("not_back") > 0 { // the scenario has failed already
		timeout = time.Second
	}
	took, hasRejoined := testbed.Await(ctx, timeout, func() bool {
		l, up := s.watcher.latest(name)
		return up && l.WithinLease && (l.Role == "follower" || l.Role == "voter" || l.Role == "leader")
	})
	s.SetMetric(phase+"_back_ms", max(s.Metric(phase+"_back_ms"), float64(took.Milliseconds())))
	if !hasRejoined && ctx.Err() == nil {
		s.AddMetric("not_back", 1)
		s.violationf("back", "%s: %s does not follow again after %v: %s",
			phase, name, timeout, s.watcher.describe())
	}
}

// waitForConvergence ends all faults and waits until all members hold the same.
func (s *scenario) waitForConvergence(ctx context.Context) {
	s.Proxy.Heal()
	took, hasConverged := testbed.Await(ctx, convergenceTimeout, func() bool {
		return s.watcher.hasConverged(s.Names)
	})
	s.SetMetric("as_one_again_ms", float64(took.Milliseconds()))
	if !hasConverged && ctx.Err() == nil {
		s.violationf("converge", "members hold different states %v after all faults ended: %s",
			convergenceTimeout, s.watcher.describe())
	}
	// Trees are polled after states: the last ones have to arrive, too.
	testbed.Await(ctx, time.Second, func() bool { return s.watcher.hasCurrentTrees(s.Names) })
}
