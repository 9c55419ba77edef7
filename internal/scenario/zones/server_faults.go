package zones

import (
	"context"
	mrand "math/rand/v2"
	"slices"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/scenario/testbed"
)

// minHealthyShare is the share of the usual first lines that the healthy half of a zone receives.
const minHealthyShare = 0.3

// setFault has servers fail in a way, or work again.
func setFault(list []*testbed.Server, mode fake.FaultMode) {
	for _, v := range list {
		v.SetFault(mode)
	}
}

// unresponsiveZone has all servers of a zone hang: what is sent to them is lost, and observed.
func (s *scenario) unresponsiveZone(ctx context.Context, _ *mrand.Rand) error {
	zone := s.nextZone()
	begun := time.Now()
	setFault(s.ServersIn(zone), fake.Unresponsive)
	s.checkEvacuated(ctx, evacuation{"silent", zone, s.Names, begun, evacuationBound})
	setFault(s.ServersIn(zone), fake.Healthy)
	s.checkRecovers(ctx, "silent")
	return nil
}

// coldRestart kills all servers of a zone and restarts them at the same moment, cold.
func (s *scenario) coldRestart(ctx context.Context, _ *mrand.Rand) error {
	zone := s.nextZone()
	list, begun := s.ServersIn(zone), time.Now()
	if err := s.killServersOfZone(ctx, "cold", list, s.Names, begun, evacuationBound); err != nil {
		return err
	}
	restartedAt := time.Now()
	for _, v := range list {
		s.MarkCold(v)
	}
	s.checkRecovers(ctx, "cold")
	steps := map[int]bool{} // of the recovery ramp, which may begin while unresponsive servers stand in for the killed
	isRecovering := func(p agentapi.ZoneStatus) bool { return p.Zone == zone && p.Step > 0 }
	for _, p := range s.watcher.statusChangesSince(begun, isRecovering) {
		steps[p.Step] = true
	}
	s.SetMetric("cold_steps_seen", float64(len(steps)))
	s.RequireAtLeast("cold_steps_seen", 3)
	most := 0.0
	for _, v := range list {
		x, _ := s.BudgetUse(v.Name, restartedAt, time.Now())
		most = max(most, x)
	}
	s.SetMetric("cold_most_of_budget", most)
	if most > testbed.BudgetTolerance {
		s.violationf("cold", "a cold server was sent %.2f times its budget within %v", most, budgetWindow)
	}
	s.RequireAtLeast("cold_most_of_budget", 0.02) // else no traffic returned
	return nil
}

// killServersOfZone kills servers of one zone, and checks that it is evacuated. They refuse
// connections; from the deadline on, unresponsive servers run in their place, which observe what is
// sent there all the same.
func (s *scenario) killServersOfZone(
	ctx context.Context, phase string, list []*testbed.Server, nodes []string, begun time.Time, bound time.Duration,
) error {
	if err := s.KillServers(list); err != nil {
		return err
	}
	fake.Sleep(ctx, time.Until(begun.Add(bound+evacuationSlack)))
	if err := s.StartServers(list, fake.Unresponsive); err != nil {
		return err
	}
	s.checkEvacuated(ctx, evacuation{phase, list[0].Zone, nodes, begun, bound})
	return nil
}

// halfOfZone kills half of a zone's servers: the zone is sent less, and is not evacuated.
func (s *scenario) halfOfZone(ctx context.Context, _ *mrand.Rand) error {
	zone := s.nextZone()
	all, begun := s.ServersIn(zone), time.Now()
	dead, healthy := all[:(len(all)+1)/2], all[(len(all)+1)/2:]
	if err := s.KillServers(dead); err != nil {
		return err
	}
	fake.Sleep(ctx, evacuationBound+evacuationSlack)
	from := time.Now()
	fake.Sleep(ctx, 1500*time.Millisecond)
	s.checkSurvivorLoad("half", healthy, from, time.Now())
	received := 0
	for _, l := range s.FirstLinesInto(zone, from, time.Now()) {
		if slices.ContainsFunc(healthy, func(v *testbed.Server) bool { return v.Name == l.Server }) {
			received++
		}
	}
	usual := s.rate / float64(len(s.AllServers())) * float64(len(healthy)) * time.Since(from).Seconds()
	s.SetMetric("half_sound_share", float64(received)/usual)
	if float64(received) < minHealthyShare*usual {
		s.violationf("half", "the healthy servers of %s received %d first lines, about %.0f are usual",
			zone, received, usual)
	}
	isZone := func(p agentapi.ZoneStatus) bool { return p.Zone == zone }
	s.checkNotEvacuated("half", begun, isZone)
	lowest := 1.0
	for _, p := range s.watcher.statusChangesSince(begun, isZone) {
		lowest = min(lowest, p.Share)
	}
	s.SetMetric("half_least_share", lowest)
	if err := s.StartServers(dead, fake.Healthy); err != nil {
		return err
	}
	s.checkRecovers(ctx, "half")
	return nil
}

// twoZones kills two zones at the same moment, under more load than the remaining servers can take:
// the excess is rejected.
func (s *scenario) twoZones(ctx context.Context, _ *mrand.Rand) error {
	one, other := s.nextZone(), s.nextZone()
	remaining := slices.DeleteFunc(slices.Clone(s.Zones), func(zone string) bool {
		return zone == one || zone == other
	})
	survivors := s.ServersIn(remaining...)
	// Twice what fills the remaining servers.
	s.SetFirstVisitRate(2 * float64(len(survivors)) / float64(len(s.AllServers())) / testbed.UsualLoad)
	fake.Sleep(ctx, 3*time.Second) // the replicated log has it
	begun := time.Now()
	lost := s.ServersIn(one, other)
	if err := s.KillServers(lost); err != nil {
		return err
	}
	fake.Sleep(ctx, evacuationBound+evacuationSlack)
	if err := s.StartServers(lost, fake.Unresponsive); err != nil {
		return err
	}
	from := time.Now()
	s.checkEvacuated(ctx, evacuation{"two", one, s.Names, begun, evacuationBound})
	s.checkEvacuated(ctx, evacuation{"two", other, s.Names, begun, evacuationBound})
	fake.Sleep(ctx, time.Second)
	s.checkSurvivorLoad("two", survivors, from, time.Now())
	s.RequireAtLeast("two_survivors_most_of_budget", 0.5) // else they were sent nothing
	// The nodes protect the remaining servers by themselves as well; the share in the replicated log
	// is what the fleet rejects as one.
	s.SetMetric("two_over", s.watcher.maxRejectedShare(begun))
	s.RequireAtLeast("two_over", 0.05)
	s.SetFirstVisitRate(1)
	for _, v := range lost {
		s.MarkCold(v)
	}
	s.checkRecovers(ctx, "two")
	return nil
}

// flappingZone has a zone fail and work by turns, every 5 s: once it has failed a second time, it is
// held back and receives nothing.
func (s *scenario) flappingZone(ctx context.Context, _ *mrand.Rand) error {
	const (
		period    = 5 * time.Second
		maxRounds = 5
	)
	zone := s.nextZone()
	begun, hasFailedTwice := time.Now(), false
	for n := 0; n < maxRounds && !hasFailedTwice; n++ {
		if n > 0 {
			fake.Sleep(ctx, period)
		}
		setFault(s.ServersIn(zone), fake.Unresponsive)
		fake.Sleep(ctx, period)
		setFault(s.ServersIn(zone), fake.Healthy)
		for _, from := range s.Zones {
			hasFailedTwice = hasFailedTwice || len(s.evacuationTimes(from, zone, begun, period)) > 1
		}
	}
	fake.Sleep(ctx, holdTime-evacuationBound/2) // it works, and is held back all the same
	for _, from := range s.Zones {
		evacuated := s.evacuationTimes(from, zone, begun, period)
		s.SetMetric("flap_left", max(s.Metric("flap_left"), float64(len(evacuated))))
		if len(evacuated) < 2 {
			continue
		}
		second := evacuated[1]
		for _, l := range s.FirstLinesInto(zone, second.Add(spreadBound+inFlightSlack), second.Add(holdTime)) {
			if s.Zone(l.Node) == from {
				s.violationf("hold", "%s was sent a first line by %s %v after it had failed again",
					zone, l.Node, l.At.Sub(second))
			}
		}
	}
	s.RequireAtLeast("flap_left", 2) // else nothing was held back
	s.checkRecovers(ctx, "flap")
	return nil
}

// evacuationTimes returns when one observing zone evacuated a zone: times more than apart from one
// another.
func (s *scenario) evacuationTimes(from, zone string, since time.Time, apart time.Duration) (times []time.Time) {
	for _, p := range s.watcher.statusChangesSince(since, func(p agentapi.ZoneStatus) bool {
		return p.ObservingZone == from && p.Zone == zone && isEvacuated(p.Status)
	}) {
		if n := len(times); n == 0 || p.at.Sub(times[n-1]) > apart {
			times = append(times, p.at)
		}
	}
	return times
}
