package zones

import (
	"context"
	"fmt"
	mrand "math/rand/v2"
	"slices"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/scenario/testbed"
)

func serverNames(list []*testbed.Server) (names []string) {
	for _, v := range list {
		names = append(names, v.Name)
	}
	return names
}

// link cuts what one zone says to another, of nodes and of agents: it alone leaves, and all
// others go on.
func (s *scenario) oneWayPartition(ctx context.Context, _ *mrand.Rand) error {
	from, to := s.nextZone(), s.nextZone()
	begun := time.Now()
	s.Proxy.SetOneWay(s.NodesIn(from, true), append(serverNames(s.ServersIn(to)), s.NodesIn(to, true)...), linkCut)
	s.checkEvacuated(ctx, "link", to, s.NodesIn(from, true), begun, evacuationBound)
	s.checkStillSends("link", to, s.NodesIn(from, false), begun.Add(evacuationBound), time.Now())
	s.checkNotEvacuated("link", begun, func(p agentapi.ZoneStatus) bool { return p.ObservingZone != from || p.Zone != to })
	s.Proxy.Heal()
	s.checkRecovers(ctx, "link")
	return nil
}

// one cuts a single node off from a zone's servers: its zone does not leave for its sake, and
// it does not leave by itself, as it hears the record.
func (s *scenario) partitionedNode(ctx context.Context, _ *mrand.Rand) error {
	from, to := s.Zone(s.Names[0]), s.nextZone() // the first zone has the most nodes
	if to == from {
		to = s.nextZone()
	}
	begun := time.Now()
	s.Proxy.SetOneWay(s.Names[:1], serverNames(s.ServersIn(to)), linkCut)
	fake.Sleep(ctx, isolatedBound)
	s.checkStillSends("one", to, s.Names[1:], begun.Add(evacuationBound/2), time.Now())
	s.checkNotEvacuated("one", begun, func(p agentapi.ZoneStatus) bool { return true })
	for name := range s.watcher.evacuatedAt(to, begun) {
		s.AddViolation("together", fmt.Sprintf("one: %s, which hears the record, left %s by itself", name, to))
	}
	s.Proxy.Heal()
	s.checkRecovers(ctx, "one")
	return nil
}

// self cuts a zone's nodes off from the servers of all others: it accuses nobody.
func (s *scenario) isolatedZone(ctx context.Context, _ *mrand.Rand) error {
	from := s.nextZone()
	others := slices.DeleteFunc(s.AllServers(), func(v *testbed.Server) bool { return v.Zone == from })
	begun := time.Now()
	s.Proxy.SetOneWay(s.NodesIn(from, true), serverNames(others), linkCut)
	fake.Sleep(ctx, evacuationBound+evacuationSlack)
	for _, zone := range s.Zones {
		if zone != from {
			s.checkStillSends("self", zone, s.NodesIn(from, false), begun.Add(evacuationBound/2), time.Now())
		}
	}
	s.checkNotEvacuated("self", begun, func(p agentapi.ZoneStatus) bool { return true })
	s.Proxy.Heal()
	s.checkRecovers(ctx, "self")
	return nil
}

// disk fills the leader's disk as the fleet is about to leave a zone: another leads, and the
// zone is left.
func (s *scenario) fullDisk(ctx context.Context, rng *mrand.Rand) error {
	leader := s.watcher.leader()
	a := s.Agents[leader]
	if a == nil {
		return fmt.Errorf("disk: nobody leads: %s", s.watcher.describe())
	}
	zone := s.nextZone()
	begun := time.Now()
	setFault(s.ServersIn(zone), fake.Unresponsive)
	fake.Sleep(ctx, time.Duration(200+rng.IntN(600))*time.Millisecond)
	if err := a.SetDiskFull(true); err != nil {
		return err
	}
	s.checkEvacuated(ctx, "disk", zone, s.Names, begun, evacuationBound+electionBound)
	state, _ := s.watcher.state(leader)
	if next := s.watcher.leader(); next == "" || next == leader || state.DiskError == "" {
		s.AddViolation("disk", fmt.Sprintf("%s, whose disk is full, says %q of it as %s; %q leads", leader, state.DiskError, state.Role, next))
	}
	if err := a.SetDiskFull(false); err != nil {
		return err
	}
	setFault(s.ServersIn(zone), fake.Healthy)
	s.checkRecovers(ctx, "disk")
	took, came := testbed.Await(ctx, 5*time.Second, func() bool { state, _ = s.watcher.state(leader); return state.DiskError == "" })
	s.recordMax("disk_writes_again_ms", took)
	if !came && ctx.Err() == nil {
		s.AddViolation("disk", fmt.Sprintf("%s says %q of a disk that takes writes again", leader, state.DiskError))
	}
	return nil
}

// leader loses the zone in which the record is led, with its servers, nodes and agents.
func (s *scenario) lostLeaderZone(ctx context.Context, _ *mrand.Rand) error {
	zone := s.Zone(s.watcher.leader())
	if zone == "" {
		return fmt.Errorf("leader: nobody leads: %s", s.watcher.describe())
	}
	begun := time.Now()
	lost := s.NodesIn(zone, true)
	for _, name := range lost {
		s.KillMachine(name)
	}
	list := s.ServersIn(zone)
	if err := s.killServersOfZone(ctx, "leader", list, s.NodesIn(zone, false), begun, evacuationBound+electionBound); err != nil {
		return err
	}
	for _, name := range lost {
		if err := s.RestartMachine(ctx, name); err != nil {
			return err
		}
	}
	for _, v := range list {
		s.MarkCold(v)
	}
	s.checkRecovers(ctx, "leader")
	return nil
}

// lone cuts one member off from all others, and then has a zone fail: it leaves by what its
// node sees, the others by the record; healed, it goes by the record again.
func (s *scenario) isolatedMember(ctx context.Context, _ *mrand.Rand) error {
	name := s.Names[len(s.Names)-1]
	others := s.Names[:len(s.Names)-1]
	zone := s.nextZone(s.Zone(name)) // nobody alone leaves his own
	s.Proxy.SetBetween([]string{name}, others, linkCut)
	fake.Sleep(ctx, leaseTimeout+evacuationSlack)
	if state, _ := s.watcher.state(name); state.WithinLease {
		s.AddViolation("lone", fmt.Sprintf("%s hears the record through a cut", name))
	}
	begun := time.Now()
	setFault(s.ServersIn(zone), fake.Unresponsive)
	s.checkEvacuated(ctx, "lone_others", zone, others, begun, evacuationBound)
	s.checkEvacuated(ctx, "lone", zone, []string{name}, begun, isolatedBound)
	s.Proxy.Heal()
	healed := time.Now()
	_, came := testbed.Await(ctx, 8*time.Second, func() bool {
		state, _ := s.watcher.state(name)
		other, _ := s.watcher.state(others[0])
		return state.WithinLease && state.Index == other.Index && state.Hash == other.Hash
	})
	s.recordMax("lone_rejoins_ms", time.Since(healed))
	if !came && ctx.Err() == nil {
		s.AddViolation("lone", fmt.Sprintf("%s does not hear the record again: %s", name, s.watcher.describe()))
	}
	setFault(s.ServersIn(zone), fake.Healthy)
	s.checkRecovers(ctx, "lone")
	return nil
}
