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

// minHealthyShare is the minimum share of the usual first lines that the healthy half of a zone must
// receive.
const minHealthyShare = 0.3

// setFault sets the fault mode of servers; fake.Healthy ends a fault.
func setFault(list []*testbed.Server, mode fake.FaultMode) {
	for _, server := range list {
		server.SetFault(mode)
	}
}

// unresponsiveZone makes all servers of a zone hang. They still record what is sent to them.
func (s *scenario) unresponsiveZone(ctx context.Context, _ *mrand.Rand) error {
	zone := s.nextZone()
	startedAt := time.Now()
	setFault(s.ServersIn(zone), fake.Unresponsive)
	s.checkEvacuated(ctx, evacuation{"silent", zone, s.Names, startedAt, evacuationBound})
	setFault(s.ServersIn(zone), fake.Healthy)
	s.checkRecovers(ctx, "silent")
	return nil
}

// coldRestart kills all servers of a zone and later restarts all of them cold at the same moment.
func (s *scenario) coldRestart(ctx context.Context, _ *mrand.Rand) error {
	zone := s.nextZone()
	list, startedAt := s.ServersIn(zone), time.Now()
	if err := s.killServersOfZone(ctx, "cold", list, s.Names, startedAt, evacuationBound); err != nil {
		return err
	}
	restartedAt := time.Now()
	for _, server := range list {
		s.MarkCold(server)
	}
	s.checkRecovers(ctx, "cold")
	// The recovery ramp may begin while unresponsive servers run in place of the killed ones.
	steps := map[int]bool{}
	isRecovering := func(status agentapi.ZoneStatus) bool { return status.Zone == zone && status.Step > 0 }
	for _, status := range s.watcher.statusChangesSince(startedAt, isRecovering) {
		steps[status.Step] = true
	}
	s.SetMetric("cold_steps_seen", float64(len(steps)))
	s.RequireAtLeast("cold_steps_seen", 3)
	peak := 0.0
	for _, server := range list {
		budgetUse, _ := s.BudgetUse(server.Name, restartedAt, time.Now())
		peak = max(peak, budgetUse)
	}
	s.SetMetric("cold_most_of_budget", peak)
	if peak > testbed.BudgetTolerance {
		s.violationf("cold", "a cold server received %.2f times its budget within %v", peak, budgetWindow)
	}
	s.RequireAtLeast("cold_most_of_budget", 0.02) // otherwise no traffic returned
	return nil
}

// killServersOfZone kills servers of one zone, and checks that the zone is evacuated. The killed
// servers refuse connections. From the deadline on, unresponsive servers run in their place to
// record what is still sent there.
func (s *scenario) killServersOfZone(
	ctx context.Context, phase string, list []*testbed.Server, nodes []string, startedAt time.Time,
	bound time.Duration,
) error {
	if err := s.KillServers(list); err != nil {
		return err
	}
	fake.Sleep(ctx, time.Until(startedAt.Add(bound+evacuationSlack)))
	if err := s.StartServers(list, fake.Unresponsive); err != nil {
		return err
	}
	s.checkEvacuated(ctx, evacuation{phase, list[0].Zone, nodes, startedAt, bound})
	return nil
}

// halfOfZone kills half of a zone's servers: the zone receives less traffic and is not evacuated.
func (s *scenario) halfOfZone(ctx context.Context, _ *mrand.Rand) error {
	zone := s.nextZone()
	all, startedAt := s.ServersIn(zone), time.Now()
	killed, healthy := all[:(len(all)+1)/2], all[(len(all)+1)/2:]
	if err := s.KillServers(killed); err != nil {
		return err
	}
	fake.Sleep(ctx, evacuationBound+evacuationSlack)
	from := time.Now()
	fake.Sleep(ctx, 1500*time.Millisecond)
	s.checkSurvivorLoad("half", healthy, from, time.Now())
	received := 0
	for _, line := range s.FirstLinesInto(zone, from, time.Now()) {
		if slices.ContainsFunc(healthy, func(server *testbed.Server) bool {
			return server.Name == line.Server
		}) {
			received++
		}
	}
	usual := s.rate / float64(len(s.AllServers())) * float64(len(healthy)) * time.Since(from).Seconds()
	s.SetMetric("half_sound_share", float64(received)/usual)
	if float64(received) < minHealthyShare*usual {
		s.violationf("half", "the healthy servers of zone %s received %d first lines, about %.0f are usual",
			zone, received, usual)
	}
	isZone := func(status agentapi.ZoneStatus) bool { return status.Zone == zone }
	s.checkNotEvacuated("half", startedAt, isZone)
	lowest := 1.0
	for _, status := range s.watcher.statusChangesSince(startedAt, isZone) {
		lowest = min(lowest, status.Share)
	}
	s.SetMetric("half_least_share", lowest)
	if err := s.StartServers(killed, fake.Healthy); err != nil {
		return err
	}
	s.checkRecovers(ctx, "half")
	return nil
}

// twoZones kills two zones at the same moment, under more load than the remaining servers can serve:
// the excess must be rejected.
func (s *scenario) twoZones(ctx context.Context, _ *mrand.Rand) error {
	first, second := s.nextZone(), s.nextZone()
	remaining := slices.DeleteFunc(slices.Clone(s.Zones), func(zone string) bool {
		return zone == first || zone == second
	})
	survivors := s.ServersIn(remaining...)
	// Twice the capacity of the remaining servers.
	s.SetFirstVisitRate(2 * float64(len(survivors)) / float64(len(s.AllServers())) / testbed.UsualLoad)
	fake.Sleep(ctx, 3*time.Second) // until the replicated log reflects the rate
	startedAt := time.Now()
	lost := s.ServersIn(first, second)
	if err := s.KillServers(lost); err != nil {
		return err
	}
	fake.Sleep(ctx, evacuationBound+evacuationSlack)
	if err := s.StartServers(lost, fake.Unresponsive); err != nil {
		return err
	}
	from := time.Now()
	s.checkEvacuated(ctx, evacuation{"two", first, s.Names, startedAt, evacuationBound})
	s.checkEvacuated(ctx, evacuation{"two", second, s.Names, startedAt, evacuationBound})
	fake.Sleep(ctx, time.Second)
	s.checkSurvivorLoad("two", survivors, from, time.Now())
	s.RequireAtLeast("two_survivors_most_of_budget", 0.5) // otherwise they received nothing
	// Each node also protects the remaining servers by itself; the share in the replicated log is
	// what all nodes reject by the fleet's decision.
	s.SetMetric("two_over", s.watcher.maxRejectedShare(startedAt))
	s.RequireAtLeast("two_over", 0.05)
	s.SetFirstVisitRate(1)
	for _, server := range lost {
		s.MarkCold(server)
	}
	s.checkRecovers(ctx, "two")
	return nil
}

// flappingZone makes a zone fail and recover alternately, every 5 s. After its second failure the
// zone is held back and receives nothing.
func (s *scenario) flappingZone(ctx context.Context, _ *mrand.Rand) error {
	const (
		period    = 5 * time.Second
		maxRounds = 5
	)
	zone := s.nextZone()
	startedAt, hasFailedTwice := time.Now(), false
	for n := 0; n < maxRounds && !hasFailedTwice; n++ {
		if n > 0 {
			fake.Sleep(ctx, period)
		}
		setFault(s.ServersIn(zone), fake.Unresponsive)
		fake.Sleep(ctx, period)
		setFault(s.ServersIn(zone), fake.Healthy)
		for _, from := range s.Zones {
			hasFailedTwice = hasFailedTwice || len(s.evacuationTimes(from, zone, startedAt, period)) > 1
		}
	}
	fake.Sleep(ctx, holdTime-evacuationBound/2) // the zone is healthy, but still held back
	for _, from := range s.Zones {
		evacuated := s.evacuationTimes(from, zone, startedAt, period)
		s.SetMetric("flap_left", max(s.Metric("flap_left"), float64(len(evacuated))))
		if len(evacuated) < 2 {
			continue
		}
		secondEvacuation := evacuated[1]
		for _, line := range s.FirstLinesInto(
			zone, secondEvacuation.Add(spreadBound+inFlightSlack), secondEvacuation.Add(holdTime),
		) {
			if s.Zone(line.Node) == from {
				s.violationf("hold", "zone %s received a first line from %s %v after its second evacuation",
					zone, line.Node, line.At.Sub(secondEvacuation))
			}
		}
	}
	s.RequireAtLeast("flap_left", 2) // otherwise nothing was held back
	s.checkRecovers(ctx, "flap")
	return nil
}

// evacuationTimes returns the times at which an observing zone evacuated a zone, without those that
// follow the previous one by apart or less.
func (s *scenario) evacuationTimes(
	from, zone string, since time.Time, apart time.Duration,
) (times []time.Time) {
	for _, status := range s.watcher.statusChangesSince(since, func(status agentapi.ZoneStatus) bool {
		return status.ObservingZone == from && status.Zone == zone && isEvacuated(status.Status)
	}) {
		if n := len(times); n == 0 || status.at.Sub(times[n-1]) > apart {
			times = append(times, status.at)
		}
	}
	return times
}
