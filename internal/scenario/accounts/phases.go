package accounts

import (
	"context"
	"fmt"
	mrand "math/rand/v2"
	"slices"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/fleet/account"
	"coralrelay/internal/scenario/faultproxy"
	"coralrelay/internal/scenario/testbed"
)

// cut is what befalls a link that is broken.
var linkCut = faultproxy.Fault{Cut: true}

// spoiled notes that something befalls an agent, until mended, which comes just before it
// is undone.
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

// head names the leader, which must be known, and notes that it is lost from now on.
func (s *scenario) leaderToLose(ctx context.Context) (string, error) {
	name := ""
	if _, ok := testbed.Await(ctx, maxLeaderGap, func() bool { name = s.watcher.leader(); return name != "" }); !ok && ctx.Err() == nil {
		return "", fmt.Errorf("no leader: %s", s.watcher.describe())
	}
	s.beginFault(name)
	s.mu.Lock()
	s.leaderLostAt = append(s.leaderLostAt, time.Now())
	s.mu.Unlock()
	s.AddMetric("leaders_lost", 1)
	return name, ctx.Err()
}

// other draws an agent that is none of some, of the voters or of the others.
func (s *scenario) randomAgent(rng *mrand.Rand, votes bool, but ...string) string {
	all := s.Names[s.Voters:]
	if votes {
		all = s.Names[:s.Voters]
	}
	for {
		if name := all[rng.IntN(len(all))]; !slices.Contains(but, name) {
			return name
		}
	}
}

func (s *scenario) allExcept(but string) []string {
	return slices.DeleteFunc(slices.Clone(s.Names), func(name string) bool { return name == but })
}

// back waits until an agent follows again, and has its vote if it had one.
func (s *scenario) waitForRejoin(ctx context.Context, step, name string) {
	most := rejoinTimeout
	if s.Metric("not_back") > 0 { // it is broken already, and the verdict can come
		most = time.Second
	}
	took, came := testbed.Await(ctx, most, func() bool {
		l, up := s.watcher.latest(name)
		return up && l.WithinLease && (l.Role == "follower" || l.Role == "voter" || l.Role == "leader")
	})
	s.SetMetric(step+"_back_ms", max(s.Metric(step+"_back_ms"), float64(took.Milliseconds())))
	if !came && ctx.Err() == nil {
		s.AddMetric("not_back", 1)
		s.AddViolation("back", fmt.Sprintf("%s: %s does not follow again after %v: %s", step, name, most, s.watcher.describe()))
	}
}

// leader kills the leader's agent, twice, and starts it again.
func (s *scenario) killedLeader(ctx context.Context, _ *mrand.Rand) error {
	for range 2 {
		name, err := s.leaderToLose(ctx)
		if err != nil {
			return err
		}
		s.Agents[name].Kill()
		fake.Sleep(ctx, 1800*time.Millisecond)
		s.endFault(name)
		if err := s.Agents[name].Start(); err != nil {
			return err
		}
		s.waitForRejoin(ctx, "leader", name)
	}
	return nil
}

// oneWay cuts one direction: what the leader says to another voter, then all that is said
// to the leader, which must not go on leading.
func (s *scenario) oneWayPartition(ctx context.Context, rng *mrand.Rand) error {
	name := s.watcher.leader()
	deaf := s.randomAgent(rng, true, name)
	s.beginFault(deaf)
	s.Proxy.Set(name, deaf, linkCut)
	fake.Sleep(ctx, 1500*time.Millisecond)
	s.endFault(deaf)
	s.Proxy.Heal()
	s.waitForRejoin(ctx, "oneway", deaf)
	name, err := s.leaderToLose(ctx)
	if err != nil {
		return err
	}
	s.Proxy.SetOneWay(s.allExcept(name), []string{name}, linkCut)
	fake.Sleep(ctx, 2*time.Second)
	s.endFault(name)
	s.Proxy.Heal()
	s.waitForRejoin(ctx, "oneway", name)
	return nil
}

// apart cuts off a follower for longer than the lease, and the leader, while changes are
// brought to it that it can't have committed.
func (s *scenario) isolatedMembers(ctx context.Context, rng *mrand.Rand) error {
	lone := s.randomAgent(rng, false)
	s.beginFault(lone)
	s.Proxy.SetBetween([]string{lone}, s.allExcept(lone), linkCut)
	fake.Sleep(ctx, leaseTimeout+1200*time.Millisecond)
	if l, up := s.watcher.latest(lone); up && l.WithinLease && l.State.Index < s.committedBefore(time.Now().Add(-leaseTimeout-200*time.Millisecond)) {
		s.AddViolation("fresh", fmt.Sprintf("%s says that its word is fresh, %v after it was cut off", lone, leaseTimeout+1200*time.Millisecond))
	}
	s.endFault(lone)
	s.Proxy.Heal()
	s.waitForRejoin(ctx, "apart", lone)
	name, err := s.leaderToLose(ctx)
	if err != nil {
		return err
	}
	s.Proxy.SetBetween([]string{name}, s.allExcept(name), linkCut)
	for i, t := range s.tree.admins {
		base, _ := s.watcher.tree(name)
		w := &writer{team: t, rng: rng}
		s.writers.Go(func() {
			s.propose(t.key, name, account.Change{BaseVersion: base.Version, Ops: []account.Op{w.putRouteOp(t.path, fmt.Sprintf("lone%d", i))}}, "cut-off", "")
		})
	}
	fake.Sleep(ctx, 2*time.Second)
	s.endFault(name)
	s.Proxy.Heal()
	s.waitForRejoin(ctx, "apart", name)
	return nil
}

// disk has the leader's disk fill up, and be freed.
func (s *scenario) fullDisk(ctx context.Context, _ *mrand.Rand) error {
	name, err := s.leaderToLose(ctx)
	if err != nil {
		return err
	}
	if err := s.Agents[name].SetDiskFull(true); err != nil {
		return err
	}
	fake.Sleep(ctx, 2500*time.Millisecond)
	if l, up := s.watcher.latest(name); !up || l.DiskError == "" || l.Role == "leader" {
		s.AddViolation("disk", fmt.Sprintf("%s with a full disk: up %v, role %s, disk %q", name, up, l.Role, l.DiskError))
	}
	s.endFault(name)
	if err := s.Agents[name].SetDiskFull(false); err != nil {
		return err
	}
	s.waitForRejoin(ctx, "disk", name)
	return nil
}

// stall stops a follower, then the leader, and has them go on as if nothing had been.
func (s *scenario) pausedAgents(ctx context.Context, rng *mrand.Rand) error {
	for _, follows := range [2]bool{true, false} {
		name := s.randomAgent(rng, false)
		if follows {
			s.beginFault(name)
		} else if lead, err := s.leaderToLose(ctx); err != nil {
			return err
		} else {
			name = lead
		}
		s.Agents[name].Pause()
		fake.Sleep(ctx, 2200*time.Millisecond)
		s.endFault(name)
		s.Agents[name].Resume()
		s.waitForRejoin(ctx, "stall", name)
	}
	return nil
}

// many has several things go wrong at once: the leader is killed, a follower is cut off one
// way, and another stalls.
func (s *scenario) manyFaults(ctx context.Context, rng *mrand.Rand) error {
	deaf := s.randomAgent(rng, false)
	slow := s.randomAgent(rng, false, deaf)
	name, err := s.leaderToLose(ctx)
	if err != nil {
		return err
	}
	s.beginFault(deaf)
	s.beginFault(slow)
	s.Agents[name].Kill()
	s.Proxy.SetOneWay(s.allExcept(deaf), []string{deaf}, linkCut)
	s.Agents[slow].Pause()
	fake.Sleep(ctx, 2*time.Second)
	all := []string{name, deaf, slow}
	for _, one := range all {
		s.endFault(one)
	}
	if err := s.Agents[name].Start(); err != nil {
		return err
	}
	s.Agents[slow].Resume()
	s.Proxy.Heal()
	for _, one := range all {
		s.waitForRejoin(ctx, "many", one)
	}
	return nil
}
