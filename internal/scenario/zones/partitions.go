package zones

import (
	"context"
	"fmt"
	mrand "math/rand/v2"
	"slices"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/scenario/faultproxy"
	"coralrelay/internal/scenario/testbed"
)

// linkCut is the fault of a link that is down.
var linkCut = faultproxy.Fault{Cut: true}

func serverNames(list []*testbed.Server) (names []string) {
	for _, v := range list {
		names = append(names, v.Name)
	}
	return names
}

// oneWayPartition cuts what the nodes and agents of one zone send to another: only they evacuate it,
// and all others go on.
func (s *scenario) oneWayPartition(ctx context.Context, _ *mrand.Rand) error {
	from, to := s.nextZone(), s.nextZone()
	begun := time.Now()
	s.Proxy.SetOneWay(s.NodesIn(from, true), append(serverNames(s.ServersIn(to)), s.NodesIn(to, true)...), linkCut)
	s.checkEvacuated(ctx, evacuation{"link", to, s.NodesIn(from, true), begun, evacuationBound})
	s.checkStillSends("link", to, s.NodesIn(from, false), begun.Add(evacuationBound), time.Now())
	s.checkNotEvacuated("link", begun, func(p agentapi.ZoneStatus) bool {
		return p.ObservingZone != from || p.Zone != to
	})
	s.Proxy.Heal()
	s.checkRecovers(ctx, "link")
	return nil
}

// partitionedNode cuts a single node off from a zone's servers: its zone does not evacuate for its
// sake, and it does not evacuate by itself, as it is in contact with the leader.
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
		s.violationf("together", "one: %s, which is within its lease, evacuated %s by itself", name, to)
	}
	s.Proxy.Heal()
	s.checkRecovers(ctx, "one")
	return nil
}

// isolatedZone cuts a zone's nodes off from the servers of all others: it reports no zone as failed.
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

// fullDisk fills the leader's disk as the fleet is about to evacuate a zone: another member leads,
// and the zone is evacuated.
func (s *scenario) fullDisk(ctx context.Context, rng *mrand.Rand) error {
	leader := s.watcher.leader()
	a := s.Agents[leader]
	if a == nil {
		return fmt.Errorf("disk: no leader: %s", s.watcher.describe())
	}
	zone := s.nextZone()
	begun := time.Now()
	setFault(s.ServersIn(zone), fake.Unresponsive)
	fake.Sleep(ctx, time.Duration(200+rng.IntN(600))*time.Millisecond)
	if err := a.SetDiskFull(true); err != nil {
		return err
	}
	s.checkEvacuated(ctx, evacuation{"disk", zone, s.Names, begun, evacuationBound + electionBound})
	state, _ := s.watcher.state(leader)
	if next := s.watcher.leader(); next == "" || next == leader || state.DiskError == "" {
		s.violationf("disk", "%s, whose disk is full, reports %q as %s; %q leads",
			leader, state.DiskError, state.Role, next)
	}
	if err := a.SetDiskFull(false); err != nil {
		return err
	}
	setFault(s.ServersIn(zone), fake.Healthy)
	s.checkRecovers(ctx, "disk")
	took, isWritable := testbed.Await(ctx, 5*time.Second, func() bool {
		state, _ = s.watcher.state(leader)
		return state.DiskError == ""
	})
	s.recordMax("disk_writes_again_ms", took)
	if !isWritable && ctx.Err() == nil {
		s.violationf("disk", "%s reports %q of a disk that is writable again", leader, state.DiskError)
	}
	return nil
}

// lostLeaderZone loses the zone of the leader, with its servers, nodes and agents.
func (s *scenario) lostLeaderZone(ctx context.Context, _ *mrand.Rand) error {
	zone := s.Zone(s.watcher.leader())
	if zone == "" {
		return fmt.Errorf("leader: no leader: %s", s.watcher.describe())
	}
	begun := time.Now()
	lost := s.NodesIn(zone, true)
	for _, name := range lost {
		s.KillMachine(name)
	}
	list := s.ServersIn(zone)
	bound := evacuationBound + electionBound
	if err := s.killServersOfZone(ctx, "leader", list, s.NodesIn(zone, false), begun, bound); err != nil {
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

// isolatedMember cuts one member off from all others, and then has a zone fail: it evacuates by what
// its own node sees, the others by the replicated log; healed, it follows the log again.
func (s *scenario) isolatedMember(ctx context.Context, _ *mrand.Rand) error {
	name := s.Names[len(s.Names)-1]
	others := s.Names[:len(s.Names)-1]
	zone := s.nextZone(s.Zone(name)) // an isolated member never evacuates its own zone
	s.Proxy.SetBetween([]string{name}, others, linkCut)
	fake.Sleep(ctx, leaseTimeout+evacuationSlack)
	if state, _ := s.watcher.state(name); state.WithinLease {
		s.violationf("lone", "%s is within its lease though it is cut off", name)
	}
	begun := time.Now()
	setFault(s.ServersIn(zone), fake.Unresponsive)
	s.checkEvacuated(ctx, evacuation{"lone_others", zone, others, begun, evacuationBound})
	s.checkEvacuated(ctx, evacuation{"lone", zone, []string{name}, begun, isolatedBound})
	s.Proxy.Heal()
	healed := time.Now()
	_, hasRejoined := testbed.Await(ctx, 8*time.Second, func() bool {
		state, _ := s.watcher.state(name)
		other, _ := s.watcher.state(others[0])
		return state.WithinLease && state.Index == other.Index && state.Hash == other.Hash
	})
	s.recordMax("lone_rejoins_ms", time.Since(healed))
	if !hasRejoined && ctx.Err() == nil {
		s.violationf("lone", "%s does not follow the log again: %s", name, s.watcher.describe())
	}
	setFault(s.ServersIn(zone), fake.Healthy)
	s.checkRecovers(ctx, "lone")
	return nil
}
