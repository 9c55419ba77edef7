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

func named(list []*testbed.Server) (names []string) {
	for _, v := range list {
		names = append(names, v.Name)
	}
	return names
}

// link cuts what one zone says to another, of nodes and of agents: it alone leaves, and all
// others go on.
func (s *scene) link(ctx context.Context, _ *mrand.Rand) error {
	from, to := s.victim(), s.victim()
	begun := time.Now()
	s.Proxy.SetOneWay(s.NodesIn(from, true), append(named(s.ServersIn(to)), s.NodesIn(to, true)...), cut)
	s.left(ctx, "link", to, s.NodesIn(from, true), begun, leaveBound)
	s.stays("link", to, s.NodesIn(from, false), begun.Add(leaveBound), time.Now())
	s.notLeft("link", begun, func(p agentapi.ZoneStatus) bool { return p.ObservingZone != from || p.Zone != to })
	s.Proxy.Heal()
	s.comesBack(ctx, "link")
	return nil
}

// one cuts a single node off from a zone's servers: its zone does not leave for its sake, and
// it does not leave by itself, as it hears the record.
func (s *scene) one(ctx context.Context, _ *mrand.Rand) error {
	from, to := s.Zone(s.Names[0]), s.victim() // the first zone has the most nodes
	if to == from {
		to = s.victim()
	}
	begun := time.Now()
	s.Proxy.SetOneWay(s.Names[:1], named(s.ServersIn(to)), cut)
	fake.Sleep(ctx, aloneBound)
	s.stays("one", to, s.Names[1:], begun.Add(leaveBound/2), time.Now())
	s.notLeft("one", begun, func(p agentapi.ZoneStatus) bool { return true })
	for name := range s.watch.leaves(to, begun) {
		s.AddViolation("together", fmt.Sprintf("one: %s, which hears the record, left %s by itself", name, to))
	}
	s.Proxy.Heal()
	s.comesBack(ctx, "one")
	return nil
}

// self cuts a zone's nodes off from the servers of all others: it accuses nobody.
func (s *scene) self(ctx context.Context, _ *mrand.Rand) error {
	from := s.victim()
	others := slices.DeleteFunc(s.AllServers(), func(v *testbed.Server) bool { return v.Zone == from })
	begun := time.Now()
	s.Proxy.SetOneWay(s.NodesIn(from, true), named(others), cut)
	fake.Sleep(ctx, leaveBound+slack)
	for _, zone := range s.Zones {
		if zone != from {
			s.stays("self", zone, s.NodesIn(from, false), begun.Add(leaveBound/2), time.Now())
		}
	}
	s.notLeft("self", begun, func(p agentapi.ZoneStatus) bool { return true })
	s.Proxy.Heal()
	s.comesBack(ctx, "self")
	return nil
}

// disk fills the leader's disk as the fleet is about to leave a zone: another leads, and the
// zone is left.
func (s *scene) disk(ctx context.Context, rng *mrand.Rand) error {
	leader := s.watch.leader()
	a := s.Agents[leader]
	if a == nil {
		return fmt.Errorf("disk: nobody leads: %s", s.watch.say())
	}
	zone := s.victim()
	begun := time.Now()
	spoil(s.ServersIn(zone), fake.Unresponsive)
	fake.Sleep(ctx, time.Duration(200+rng.IntN(600))*time.Millisecond)
	if err := a.SetDiskFull(true); err != nil {
		return err
	}
	s.left(ctx, "disk", zone, s.Names, begun, leaveBound+electionBound)
	state, _ := s.watch.state(leader)
	if next := s.watch.leader(); next == "" || next == leader || state.DiskError == "" {
		s.AddViolation("disk", fmt.Sprintf("%s, whose disk is full, says %q of it as %s; %q leads", leader, state.DiskError, state.Role, next))
	}
	if err := a.SetDiskFull(false); err != nil {
		return err
	}
	spoil(s.ServersIn(zone), fake.Healthy)
	s.comesBack(ctx, "disk")
	took, came := testbed.Await(ctx, 5*time.Second, func() bool { state, _ = s.watch.state(leader); return state.DiskError == "" })
	s.most("disk_writes_again_ms", took)
	if !came && ctx.Err() == nil {
		s.AddViolation("disk", fmt.Sprintf("%s says %q of a disk that takes writes again", leader, state.DiskError))
	}
	return nil
}

// leader loses the zone in which the record is led, with its servers, nodes and agents.
func (s *scene) leader(ctx context.Context, _ *mrand.Rand) error {
	zone := s.Zone(s.watch.leader())
	if zone == "" {
		return fmt.Errorf("leader: nobody leads: %s", s.watch.say())
	}
	begun := time.Now()
	lost := s.NodesIn(zone, true)
	for _, name := range lost {
		s.KillMachine(name)
	}
	list := s.ServersIn(zone)
	if err := s.dies(ctx, "leader", list, s.NodesIn(zone, false), begun, leaveBound+electionBound); err != nil {
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
	s.comesBack(ctx, "leader")
	return nil
}

// lone cuts one member off from all others, and then has a zone fail: it leaves by what its
// node sees, the others by the record; healed, it goes by the record again.
func (s *scene) lone(ctx context.Context, _ *mrand.Rand) error {
	name := s.Names[len(s.Names)-1]
	others := s.Names[:len(s.Names)-1]
	zone := s.victim(s.Zone(name)) // nobody alone leaves his own
	s.Proxy.SetBetween([]string{name}, others, cut)
	fake.Sleep(ctx, lease+slack)
	if state, _ := s.watch.state(name); state.WithinLease {
		s.AddViolation("lone", fmt.Sprintf("%s hears the record through a cut", name))
	}
	begun := time.Now()
	spoil(s.ServersIn(zone), fake.Unresponsive)
	s.left(ctx, "lone_others", zone, others, begun, leaveBound)
	s.left(ctx, "lone", zone, []string{name}, begun, aloneBound)
	s.Proxy.Heal()
	healed := time.Now()
	_, came := testbed.Await(ctx, 8*time.Second, func() bool {
		state, _ := s.watch.state(name)
		other, _ := s.watch.state(others[0])
		return state.WithinLease && state.Index == other.Index && state.Hash == other.Hash
	})
	s.most("lone_rejoins_ms", time.Since(healed))
	if !came && ctx.Err() == nil {
		s.AddViolation("lone", fmt.Sprintf("%s does not hear the record again: %s", name, s.watch.say()))
	}
	spoil(s.ServersIn(zone), fake.Healthy)
	s.comesBack(ctx, "lone")
	return nil
}
