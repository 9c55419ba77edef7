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

func setFault(list []*testbed.Server, way fake.FaultMode) {
	for _, v := range list {
		v.SetFault(way)
	}
}

// silent has all servers of a zone stop, as processes that hang: what is sent to them is
// lost, and seen.
func (s *scenario) unresponsiveZone(ctx context.Context, _ *mrand.Rand) error {
	zone := s.nextZone()
	begun := time.Now()
	setFault(s.ServersIn(zone), fake.Unresponsive)
	s.checkEvacuated(ctx, "silent", zone, s.Names, begun, evacuationBound)
	setFault(s.ServersIn(zone), fake.Healthy)
	s.checkRecovers(ctx, "silent")
	return nil
}

// cold kills all servers of a zone, and has them all back at once, cold.
func (s *scenario) coldRestart(ctx context.Context, _ *mrand.Rand) error {
	zone := s.nextZone()
	list, begun := s.ServersIn(zone), time.Now()
	if err := s.killServersOfZone(ctx, "cold", list, s.Names, begun, evacuationBound); err != nil {
		return err
	}
	back := time.Now()
	for _, v := range list {
		s.MarkCold(v)
	}
	s.checkRecovers(ctx, "cold")
	steps := map[int]bool{}
	for _, p := range s.watcher.statusChangesSince(back, func(p agentapi.ZoneStatus) bool { return p.Zone == zone && p.Step > 0 }) {
		steps[p.Step] = true
	}
	s.SetMetric("cold_steps_seen", float64(len(steps)))
	s.RequireAtLeast("cold_steps_seen", 3)
	most := 0.0
	for _, v := range list {
		x, _ := s.BudgetUse(v.Name, back, time.Now())
		most = max(most, x)
	}
	s.SetMetric("cold_most_of_budget", most)
	if most > testbed.ChanceAllowance {
		s.AddViolation("cold", fmt.Sprintf("a server that came back cold was sent %.2f times what it may be within %v", most, budgetWindow))
	}
	s.RequireAtLeast("cold_most_of_budget", 0.02) // else nobody came back
	return nil
}

// dies kills servers of one zone. They refuse at once; from when nobody may send there any
// more, something listens in their place that answers nobody and tells who does.
func (s *scenario) killServersOfZone(ctx context.Context, step string, list []*testbed.Server, nodes []string, begun time.Time, bound time.Duration) error {
	if err := s.KillServers(list); err != nil {
		return err
	}
	fake.Sleep(ctx, time.Until(begun.Add(bound+evacuationSlack)))
	if err := s.StartServers(list, fake.Unresponsive); err != nil {
		return err
	}
	s.checkEvacuated(ctx, step, list[0].Zone, nodes, begun, bound)
	return nil
}

// half kills half of a zone's servers: it is sent less, and is not left.
func (s *scenario) halfOfZone(ctx context.Context, _ *mrand.Rand) error {
	zone := s.nextZone()
	all, begun := s.ServersIn(zone), time.Now()
	dead, sound := all[:(len(all)+1)/2], all[(len(all)+1)/2:]
	if err := s.KillServers(dead); err != nil {
		return err
	}
	fake.Sleep(ctx, evacuationBound+evacuationSlack)
	from := time.Now()
	fake.Sleep(ctx, 1500*time.Millisecond)
	s.checkSurvivorLoad("half", sound, from, time.Now())
	got := 0
	for _, l := range s.FirstLinesInto(zone, from, time.Now()) {
		if slices.ContainsFunc(sound, func(v *testbed.Server) bool { return v.Name == l.Server }) {
			got++
		}
	}
	usual := s.rate / float64(len(s.AllServers())) * float64(len(sound)) * time.Since(from).Seconds()
	s.SetMetric("half_sound_share", float64(got)/usual)
	if float64(got) < 0.3*usual {
		s.AddViolation("half", fmt.Sprintf("the sound servers of %s got %d first lines, about %.0f are usual", zone, got, usual))
	}
	s.checkNotEvacuated("half", begun, func(p agentapi.ZoneStatus) bool { return p.Zone == zone })
	least := 1.0
	for _, p := range s.watcher.statusChangesSince(begun, func(p agentapi.ZoneStatus) bool { return p.Zone == zone }) {
		least = min(least, p.Share)
	}
	s.SetMetric("half_least_share", least)
	if err := s.StartServers(dead, fake.Healthy); err != nil {
		return err
	}
	s.checkRecovers(ctx, "half")
	return nil
}

// notLeft holds the record to having left none of some pairs.
func (s *scenario) checkNotEvacuated(step string, since time.Time, pairs func(p agentapi.ZoneStatus) bool) {
	for _, p := range s.watcher.statusChangesSince(since, func(p agentapi.ZoneStatus) bool { return pairs(p) && isEvacuated(p.Status) }) {
		s.AddViolation("accuse", fmt.Sprintf("%s: %s left %s, which serves", step, p.ObservingZone, p.Zone))
		return
	}
}

// two kills two zones at once, while more is asked than what is left can carry: that much is
// refused.
func (s *scenario) twoZones(ctx context.Context, _ *mrand.Rand) error {
	one, other := s.nextZone(), s.nextZone()
	stay := s.ServersIn(slices.DeleteFunc(slices.Clone(s.Zones), func(z string) bool { return z == one || z == other })...)
	// So much that it would make those that stay twice as full as they may be.
	s.SetFirstVisitRate(2 * float64(len(stay)) / float64(len(s.AllServers())) / testbed.UsualLoad)
	fake.Sleep(ctx, 3*time.Second) // seen by the record
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
	s.checkEvacuated(ctx, "two", one, s.Names, begun, evacuationBound)
	s.checkEvacuated(ctx, "two", other, s.Names, begun, evacuationBound)
	fake.Sleep(ctx, time.Second)
	s.checkSurvivorLoad("two", stay, from, time.Now())
	s.RequireAtLeast("two_survivors_most_of_budget", 0.5) // else nothing was asked of them
	// The nodes' own rules keep those that stay from harm as well; what the record says is over
	// is what the fleet refuses as one.
	s.SetMetric("two_over", s.watcher.maxRejectedShare(begun))
	s.RequireAtLeast("two_over", 0.05)
	s.SetFirstVisitRate(1)
	for _, v := range lost {
		s.MarkCold(v)
	}
	s.checkRecovers(ctx, "two")
	return nil
}

// flap has a zone fail and serve by turns, every 5 s: once it has failed a second time, it is
// not tried while it is held.
func (s *scenario) flappingZone(ctx context.Context, _ *mrand.Rand) error {
	const every, most = 5 * time.Second, 5
	zone := s.nextZone()
	begun, twice := time.Now(), false
	for n := 0; n < most && !twice; n++ {
		if n > 0 {
			fake.Sleep(ctx, every)
		}
		setFault(s.ServersIn(zone), fake.Unresponsive)
		fake.Sleep(ctx, every)
		setFault(s.ServersIn(zone), fake.Healthy)
		for _, from := range s.Zones {
			twice = twice || len(s.evacuationTimes(from, zone, begun, every)) > 1
		}
	}
	fake.Sleep(ctx, holdTime-evacuationBound/2) // it serves, and is held all the same
	for _, from := range s.Zones {
		left := s.evacuationTimes(from, zone, begun, every)
		s.SetMetric("flap_left", max(s.Metric("flap_left"), float64(len(left))))
		if len(left) < 2 {
			continue
		}
		for _, l := range s.FirstLinesInto(zone, left[1].Add(spreadBound+inFlightSlack), left[1].Add(holdTime)) {
			if s.Zone(l.Node) == from {
				s.AddViolation("hold", fmt.Sprintf("%s was sent a first line by %s %v after it had failed again", zone, l.Node, l.At.Sub(left[1])))
			}
		}
	}
	s.RequireAtLeast("flap_left", 2) // else nothing was held
	s.checkRecovers(ctx, "flap")
	return nil
}

// leftAt is when one viewpoint left a zone: times more than apart from one another.
func (s *scenario) evacuationTimes(from, zone string, since time.Time, apart time.Duration) (left []time.Time) {
	for _, p := range s.watcher.statusChangesSince(since, func(p agentapi.ZoneStatus) bool {
		return p.ObservingZone == from && p.Zone == zone && isEvacuated(p.Status)
	}) {
		if n := len(left); n == 0 || p.at.Sub(left[n-1]) > apart {
			left = append(left, p.at)
		}
	}
	return left
}

// cut is what befalls a link that is broken.
var linkCut = faultproxy.Fault{Cut: true}
