package accounts

import (
	"context"
	"fmt"
	mrand "math/rand/v2"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/scenario/testbed"
)

// phases returns the scenario's phases in the order in which they run.
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

// waitUntilReady waits until members have discovered each other and elected a leader, creates the tree,
// and starts the writers.
func (s *scenario) waitUntilReady(ctx context.Context, _ *mrand.Rand) error {
	_, hasConverged := testbed.Await(ctx, 15*time.Second, func() bool {
		return s.watcher.hasConverged(s.Names)
	})
	if !hasConverged && ctx.Err() == nil {
		return fmt.Errorf("members did not elect a leader and converge: %s", s.watcher.describe())
	}
	if err := s.createTree(ctx); err != nil {
		return err
	}
	writerCtx, stop := context.WithCancel(ctx)
	s.stopWriters = stop
	const firstStream = 100 // the first writer's stream of random numbers
	for i, w := range s.tree.writers() {
		w.scenario, w.rng = s, mrand.New(mrand.NewPCG(s.Options.Seed, uint64(firstStream+i)))
		s.writers.Go(func() { w.run(writerCtx) })
	}
	return nil
}

// noFault lets the writers propose changes while there is no fault.
func (s *scenario) noFault(ctx context.Context, _ *mrand.Rand) error {
	fake.Sleep(ctx, 2*time.Second)
	return nil
}

// killedLeader kills the agent of the leader and starts it again, twice.
func (s *scenario) killedLeader(ctx context.Context, _ *mrand.Rand) error {
	for range 2 {
		name, err := s.loseLeader(ctx)
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

// oneWayPartition cuts links in one direction only: first from the leader to another voter, then from
// all members to the leader, which must then step down.
func (s *scenario) oneWayPartition(ctx context.Context, rng *mrand.Rand) error {
	name := s.watcher.leader()
	unreachable := s.randomAgent(rng, true, name)
	s.beginFault(unreachable)
	s.Proxy.Set(name, unreachable, linkCut)
	fake.Sleep(ctx, 1500*time.Millisecond)
	s.endFault(unreachable)
	s.Proxy.Heal()
	s.waitForRejoin(ctx, "oneway", unreachable)
	name, err := s.loseLeader(ctx)
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

// isolatedMembers isolates a non-voter for longer than the lease, and then the leader, which is sent
// proposals meanwhile that it can't commit.
func (s *scenario) isolatedMembers(ctx context.Context, rng *mrand.Rand) error {
	const beyondLease = leaseTimeout + 1200*time.Millisecond
	isolated := s.randomAgent(rng, false)
	s.beginFault(isolated)
	s.Proxy.SetBetween([]string{isolated}, s.allExcept(isolated), linkCut)
	fake.Sleep(ctx, beyondLease)
	last, isUp := s.watcher.latest(isolated)
	committed := s.committedBefore(time.Now().Add(-leaseTimeout - 200*time.Millisecond))
	if isUp && last.WithinLease && last.State.Index < committed {
		s.violationf("fresh", "%s reports that it is within its lease %v after it was isolated",
			isolated, beyondLease)
	}
	s.endFault(isolated)
	s.Proxy.Heal()
	s.waitForRejoin(ctx, "apart", isolated)
	name, err := s.loseLeader(ctx)
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

// fullDisk fills the leader's disk, checks that the leader steps down and reports the error, and frees
// the disk.
func (s *scenario) fullDisk(ctx context.Context, _ *mrand.Rand) error {
	name, err := s.loseLeader(ctx)
	if err != nil {
		return err
	}
	if err := s.Agents[name].SetDiskFull(true); err != nil {
		return err
	}
	fake.Sleep(ctx, 2500*time.Millisecond)
	if l, up := s.watcher.latest(name); !up || l.DiskError == "" || l.Role == "leader" {
		s.violationf("disk", "%s with a full disk: up %v, role %s, disk error %q",
			name, up, l.Role, l.DiskError)
	}
	s.endFault(name)
	if err := s.Agents[name].SetDiskFull(false); err != nil {
		return err
	}
	s.waitForRejoin(ctx, "disk", name)
	return nil
}

// pausedAgents pauses and resumes a non-voter, then the leader.
func (s *scenario) pausedAgents(ctx context.Context, rng *mrand.Rand) error {
	for _, isFollower := range [...]bool{true, false} {
		name := s.randomAgent(rng, false)
		if isFollower {
			s.beginFault(name)
		} else if lead, err := s.loseLeader(ctx); err != nil {
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

// manyFaults combines several faults: the leader is killed, a non-voter receives no messages, and another
// non-voter is paused.
func (s *scenario) manyFaults(ctx context.Context, rng *mrand.Rand) error {
	unreachable := s.randomAgent(rng, false)
	paused := s.randomAgent(rng, false, unreachable)
	name, err := s.loseLeader(ctx)
	if err != nil {
		return err
	}
	s.beginFault(unreachable)
	s.beginFault(paused)
	s.Agents[name].Kill()
	s.Proxy.SetOneWay(s.allExcept(unreachable), []string{unreachable}, linkCut)
	s.Agents[paused].Pause()
	fake.Sleep(ctx, 2*time.Second)
	all := []string{name, unreachable, paused}
	for _, one := range all {
		s.endFault(one)
	}
	if err := s.Agents[name].Start(); err != nil {
		return err
	}
	s.Agents[paused].Resume()
	s.Proxy.Heal()
	for _, one := range all {
		s.waitForRejoin(ctx, "many", one)
	}
	return nil
}
