package accounts

import (
	"context"
	"fmt"
	mrand "math/rand/v2"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/scenario/testbed"
)

// phases returns the phases in order.
func (s *scenario) phases() []testbed.Phase {
	return []testbed.Phase{
		{Name: "meet", Run: s.waitUntilReady},
		{Name: "calm", Run: s.noFault},
		{Name: "leader", Run: s.killedLeader},
		{Name: "oneway", Run: s.oneWayPartition},
		{Name: "apart", Run: s.isolatedMembers},
		{Name: "disk", Run: s.fullDisk},
		{Name: "stall", Run: s.pausedAgents},
		{Name: "many", Run: s.manyFaults},
	}
}

// waitUntilReady lets members find each other and agree on a leader, creates the tree, and starts the
// writers.
func (s *scenario) waitUntilReady(ctx context.Context, _ *mrand.Rand) error {
	_, hasConverged := testbed.Await(ctx, 15*time.Second, func() bool { return s.watcher.hasConverged(s.Names) })
	if !hasConverged && ctx.Err() == nil {
		return fmt.Errorf("members did not meet: %s", s.watcher.describe())
	}
	if err := s.createTree(ctx); err != nil {
		return err
	}
	writerCtx, stop := context.WithCancel(ctx)
	s.stopWriters = stop
	const firstStream = 100 // of random numbers, of the scenario's seed
	for i, w := range s.tree.writers() {
		w.scenario, w.rng = s, mrand.New(mrand.NewPCG(s.Options.Seed, uint64(firstStream+i)))
		s.writers.Go(func() { w.run(writerCtx) })
	}
	return nil
}

// noFault has the writers write without a fault.
func (s *scenario) noFault(ctx context.Context, _ *mrand.Rand) error {
	fake.Sleep(ctx, 2*time.Second)
	return nil
}

// killedLeader kills the leader's agent, twice, and starts it again.
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

// oneWayPartition cuts one direction: what the leader sends to another voter, then all that is sent
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

// isolatedMembers cuts off a follower for longer than the lease, and then the leader, while changes
// are proposed to it that it can't commit.
func (s *scenario) isolatedMembers(ctx context.Context, rng *mrand.Rand) error {
	const beyondLease = leaseTimeout + 1200*time.Millisecond
	lone := s.randomAgent(rng, false)
	s.beginFault(lone)
	s.Proxy.SetBetween([]string{lone}, s.allExcept(lone), linkCut)
	fake.Sleep(ctx, beyondLease)
	last, isUp := s.watcher.latest(lone)
	committed := s.committedBefore(time.Now().Add(-leaseTimeout - 200*time.Millisecond))
	if isUp && last.WithinLease && last.State.Index < committed {
		s.violationf("fresh", "%s reports that it is within its lease, %v after it was cut off", lone, beyondLease)
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
			put := w.putRouteOp(t.path, fmt.Sprintf("lone%d", i))
			s.propose(t.key, name, changeOn(base, put), "cut-off", "")
		})
	}
	fake.Sleep(ctx, 2*time.Second)
	s.endFault(name)
	s.Proxy.Heal()
	s.waitForRejoin(ctx, "apart", name)
	return nil
}

// fullDisk fills the leader's disk, and frees it.
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
		s.violationf("disk", "%s with a full disk: up %v, role %s, disk %q", name, up, l.Role, l.DiskError)
	}
	s.endFault(name)
	if err := s.Agents[name].SetDiskFull(false); err != nil {
		return err
	}
	s.waitForRejoin(ctx, "disk", name)
	return nil
}

// pausedAgents pauses a follower, then the leader, and resumes them.
func (s *scenario) pausedAgents(ctx context.Context, rng *mrand.Rand) error {
	for _, isFollower := range [...]bool{true, false} {
		name := s.randomAgent(rng, false)
		if isFollower {
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

// manyFaults has several faults at once: the leader is killed, a follower is cut off one way, and
// another is paused.
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
