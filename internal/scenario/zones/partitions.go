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

// linkDown is the fault of a link that delivers nothing.
var linkDown = faultproxy.Fault{Cut: true}

func serverNames(list []*testbed.Server) (names []string) {
	for _, server := range list {
		names = append(names, server.Name)
	}
	return names
}

// oneWayPartition drops what the nodes and agents of one zone send to another zone: only they
// evacuate it, and all others continue to send to it.
func (s *scenario) oneWayPartition(ctx context.Context, _ *mrand.Rand) error {
	from, to := s.nextZone(), s.nextZone()
	startedAt := time.Now()
	s.Proxy.SetOneWay(s.NodesIn(from, true), append(serverNames(s.ServersIn(to)), s.NodesIn(to, true)...),
		linkDown)
	s.checkEvacuated(ctx, evacuation{"link", to, s.NodesIn(from, true), startedAt, evacuationBound})
	s.checkStillSends("link", to, s.NodesIn(from, false), startedAt.Add(evacuationBound), time.Now())
	s.checkNotEvacuated("link", startedAt, func(status agentapi.ZoneStatus) bool {
		return status.ObservingZone != from || status.Zone != to
	})
	s.Proxy.Heal()
	s.checkRecovers(ctx, "link")
	return nil
}

// partitionedNode cuts a single node off from the servers of a zone. One node's evidence is not
// enough for its zone to evacuate, and the node does not evacuate by itself, because it is in
// contact with the leader.
func (s *scenario) partitionedNode(ctx context.Context, _ *mrand.Rand) error {
	from, to := s.Zone(s.Names[0]), s.nextZone() // the first zone has the most nodes
	if to == from {
		to = s.nextZone()
	}
	startedAt := time.Now()
	s.Proxy.SetOneWay(s.Names[:1], serverNames(s.ServersIn(to)), linkDown)
	fake.Sleep(ctx, isolatedBound)
	s.checkStillSends("one", to, s.Names[1:], startedAt.Add(evacuationBound/2), time.Now())
	s.checkNotEvacuated("one", startedAt, func(status agentapi.ZoneStatus) bool { return true })
	for name := range s.watcher.evacuatedAt(to, startedAt) {
		s.violationf("together", "one: node %s, which is within its lease, evacuated zone %s by itself",
			name, to)
	}
	s.Proxy.Heal()
	s.checkRecovers(ctx, "one")
	return nil
}

// isolatedZone cuts the nodes of a zone off from the servers of all other zones. The isolated zone
// must not report the others as failed, so no zone may be evacuated.
func (s *scenario) isolatedZone(ctx context.Context, _ *mrand.Rand) error {
	from := s.nextZone()
	others := slices.DeleteFunc(s.AllServers(), func(server *testbed.Server) bool {
		return server.Zone == from
	})
	startedAt := time.Now()
	s.Proxy.SetOneWay(s.NodesIn(from, true), serverNames(others), linkDown)
	fake.Sleep(ctx, evacuationBound+evacuationSlack)
	for _, zone := range s.Zones {
		if zone != from {
			s.checkStillSends("self", zone, s.NodesIn(from, false),
				startedAt.Add(evacuationBound/2), time.Now())
		}
	}
	s.checkNotEvacuated("self", startedAt, func(status agentapi.ZoneStatus) bool { return true })
	s.Proxy.Heal()
	s.checkRecovers(ctx, "self")
	return nil
}

// fullDisk fills the leader's disk just before the fleet evacuates a zone: another member becomes
// leader, and the zone is evacuated.
func (s *scenario) fullDisk(ctx context.Context, rng *mrand.Rand) error {
	leader := s.watcher.leader()
	agent := s.Agents[leader]
	if agent == nil {
		return fmt.Errorf("disk: no leader: %s", s.watcher.describe())
	}
	zone := s.nextZone()
	startedAt := time.Now()
	setFault(s.ServersIn(zone), fake.Unresponsive)
	fake.Sleep(ctx, time.Duration(200+rng.IntN(600))*time.Millisecond)
	if err := agent.SetDiskFull(true); err != nil {
		return err
	}
	s.checkEvacuated(ctx, evacuation{"disk", zone, s.Names, startedAt, evacuationBound + electionBound})
	state, _ := s.watcher.state(leader)
	if next := s.watcher.leader(); next == "" || next == leader || state.DiskError == "" {
		s.violationf("disk", "agent %s, whose disk is full, reports disk error %q as %s; the leader is %q",
			leader, state.DiskError, state.Role, next)
	}
	if err := agent.SetDiskFull(false); err != nil {
		return err
	}
	setFault(s.ServersIn(zone), fake.Healthy)
	s.checkRecovers(ctx, "disk")
	took, isWritable := testbed.Await(ctx, 5*time.Second, func() bool {
		state, _ = s.watcher.state(leader)
		return state.DiskError == ""
	})
	s.recordMaxMs("disk_writes_again_ms", took)
	if !isWritable && ctx.Err() == nil {
		s.violationf("disk", "agent %s reports disk error %q though its disk is writable again",
			leader, state.DiskError)
	}
	return nil
}

// lostLeaderZone kills all servers, nodes and agents of the leader's zone.
func (s *scenario) lostLeaderZone(ctx context.Context, _ *mrand.Rand) error {
	zone := s.Zone(s.watcher.leader())
	if zone == "" {
		return fmt.Errorf("leader: no leader: %s", s.watcher.describe())
	}
	startedAt := time.Now()
	lost := s.NodesIn(zone, true)
	for _, name := range lost {
		s.KillMachine(name)
	}
	list := s.ServersIn(zone)
	bound := evacuationBound + electionBound
	if err := s.killServersOfZone(ctx, "leader", list, s.NodesIn(zone, false), startedAt, bound); err != nil {
		return err
	}
	for _, name := range lost {
		if err := s.RestartMachine(ctx, name); err != nil {
			return err
		}
	}
	for _, server := range list {
		s.MarkCold(server)
	}
	s.checkRecovers(ctx, "leader")
	return nil
}

// isolatedMember cuts one member off from all others, and then fails a zone. The isolated member
// evacuates the zone by its own node's evidence, the others by the replicated log. Once the
// partition has healed, the member follows the log again.
func (s *scenario) isolatedMember(ctx context.Context, _ *mrand.Rand) error {
	name := s.Names[len(s.Names)-1]
	others := s.Names[:len(s.Names)-1]
	zone := s.nextZone(s.Zone(name)) // an isolated member never evacuates its own zone
	s.Proxy.SetBetween([]string{name}, others, linkDown)
	fake.Sleep(ctx, leaseTimeout+evacuationSlack)
	if state, _ := s.watcher.state(name); state.WithinLease {
		s.violationf("lone", "agent %s is within its lease though it is isolated", name)
	}
	startedAt := time.Now()
	setFault(s.ServersIn(zone), fake.Unresponsive)
	s.checkEvacuated(ctx, evacuation{"lone_others", zone, others, startedAt, evacuationBound})
	s.checkEvacuated(ctx, evacuation{"lone", zone, []string{name}, startedAt, isolatedBound})
	s.Proxy.Heal()
	healed := time.Now()
	_, hasRejoined := testbed.Await(ctx, 8*time.Second, func() bool {
		state, _ := s.watcher.state(name)
		other, _ := s.watcher.state(others[0])
		return state.WithinLease && state.Index == other.Index && state.Hash == other.Hash
	})
	s.recordMaxMs("lone_rejoins_ms", time.Since(healed))
	if !hasRejoined && ctx.Err() == nil {
		s.violationf("lone", "agent %s does not follow the log after the partition healed: %s",
			name, s.watcher.describe())
	}
	setFault(s.ServersIn(zone), fake.Healthy)
	s.checkRecovers(ctx, "lone")
	return nil
}
