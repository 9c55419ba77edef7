package zones

import (
	"context"
	"fmt"
	"slices"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/scenario/testbed"
)

const (
	// observationTime is how long after the bound it is observed: it shows who has not evacuated.
	observationTime = 1200 * time.Millisecond
	// decisionTimeout is how long after the bound the replicated log may take to decide what the
	// nodes do by themselves: once they only probe a zone, evidence of it comes slowly.
	decisionTimeout = 3 * time.Second
	// maxSurvivorLoad is how full the remaining servers may be, counted in a second: full, and by
	// chance a little more.
	maxSurvivorLoad = 1.25
	// minGoesOn is the share of the usual first lines that nodes without a fault send at least.
	minGoesOn = 0.4
)

// violationf reports a broken rule.
func (s *scenario) violationf(rule, format string, args ...any) {
	s.AddViolation(rule, fmt.Sprintf(format, args...))
}

// recordMax sets a metric to the greatest of its values, in ms.
func (s *scenario) recordMax(metric string, d time.Duration) {
	s.SetMetric(metric, max(s.Metric(metric), float64(d.Milliseconds())))
}

// evacuation is that nodes must evacuate a zone after a fault.
type evacuation struct {
	phase, zone string
	nodes       []string
	faultAt     time.Time
	bound       time.Duration // after the fault
}

// checkEvacuated waits until the nodes must have evacuated the zone, and checks the bounds: none of
// them sends it a first line later than the bound after the fault, and of those of one observing
// zone, which follow the same log entry, the last evacuates no later than spreadBound after the
// first. An observing zone that can't tell need not evacuate, as long as it sends nothing.
func (s *scenario) checkEvacuated(ctx context.Context, e evacuation) {
	before := s.FirstLinesInto(e.zone, e.faultAt.Add(-time.Second), e.faultAt)
	s.SetMetric(e.phase+"_asked_before", float64(len(before)))
	s.RequireAtLeast(e.phase+"_asked_before", 5) // else there was nothing to evacuate
	fake.Sleep(ctx, time.Until(e.deadline())+observationTime)
	testbed.Await(ctx, time.Until(e.faultAt.Add(e.bound+decisionTimeout)), func() bool {
		evacuatedAt := s.watcher.evacuatedAt(e.zone, e.faultAt)
		return slices.ContainsFunc(e.nodes, func(name string) bool { return !evacuatedAt[name].IsZero() })
	})
	if ctx.Err() != nil {
		return
	}
	evacuatedAt := s.watcher.evacuatedAt(e.zone, e.faultAt)
	firstAt := s.firstByObservingZone(e, evacuatedAt)
	if len(firstAt) == 0 {
		s.violationf("leave", "%s: no node had evacuated %s %v after the fault",
			e.phase, e.zone, time.Since(e.faultAt).Round(time.Millisecond))
	}
	s.checkSpread(e, evacuatedAt, firstAt)
	s.checkLateFirstLines(e, firstAt)
}

// deadline is when no node may send the zone a first line any more.
func (e evacuation) deadline() time.Time { return e.faultAt.Add(e.bound + evacuationSlack) }

// firstByObservingZone returns when the first node of each observing zone evacuated.
func (s *scenario) firstByObservingZone(e evacuation, evacuatedAt map[string]time.Time) map[string]time.Time {
	firstAt := map[string]time.Time{}
	for name, at := range evacuatedAt {
		from := s.Zone(name)
		if slices.Contains(e.nodes, name) && (firstAt[from].IsZero() || at.Before(firstAt[from])) {
			firstAt[from] = at
		}
	}
	return firstAt
}

// checkSpread checks that the nodes of one observing zone evacuate together.
func (s *scenario) checkSpread(e evacuation, evacuatedAt, firstAt map[string]time.Time) {
	stayed := 0.0
	for _, name := range e.nodes {
		at, ok := evacuatedAt[name]
		if !ok {
			stayed++
			continue
		}
		s.recordMax(e.phase+"_left_ms", at.Sub(e.faultAt))
		spread := at.Sub(firstAt[s.Zone(name)])
		s.recordMax(e.phase+"_spread_ms", spread)
		if spread > spreadBound+2*pollInterval {
			s.violationf("together", "%s: %s evacuated %s %v after the first of its zone, at most %v is allowed",
				e.phase, name, e.zone, spread, spreadBound)
		}
	}
	s.SetMetric(e.phase+"_not_left", max(s.Metric(e.phase+"_not_left"), stayed))
}

// checkLateFirstLines checks that no node sends the zone a first line once it must not.
func (s *scenario) checkLateFirstLines(e evacuation, firstAt map[string]time.Time) {
	last := time.Duration(0)
	for _, l := range s.FirstLinesInto(e.zone, e.faultAt, time.Now()) {
		if !slices.Contains(e.nodes, l.Node) {
			continue
		}
		last = l.At.Sub(e.faultAt)
		begun := firstAt[s.Zone(l.Node)]
		switch {
		case l.At.After(e.deadline()):
			s.violationf("leave", "%s: %s sent %s a first line %v after the fault", e.phase, l.Node, l.Server, last)
		case !begun.IsZero() && l.At.Sub(begun) > spreadBound+inFlightSlack:
			s.violationf("together", "%s: %s sent %s a first line %v after the first of its zone had evacuated",
				e.phase, l.Node, l.Server, l.At.Sub(begun))
		}
	}
	s.recordMax(e.phase+"_last_line_ms", last)
}

// checkNotEvacuated checks that the log evacuated none of some pairs of observing zone and zone.
func (s *scenario) checkNotEvacuated(phase string, since time.Time, isPair func(p agentapi.ZoneStatus) bool) {
	evacuated := s.watcher.statusChangesSince(since, func(p agentapi.ZoneStatus) bool {
		return isPair(p) && isEvacuated(p.Status)
	})
	if len(evacuated) > 0 {
		first := evacuated[0]
		s.violationf("accuse", "%s: %s evacuated %s, which serves", phase, first.ObservingZone, first.Zone)
	}
}

// checkStillSends checks that some nodes send a zone as much as before, but for chance.
func (s *scenario) checkStillSends(phase, zone string, nodes []string, from, until time.Time) {
	sent := 0
	for _, l := range s.FirstLinesInto(zone, from, until) {
		if slices.Contains(nodes, l.Node) {
			sent++
		}
	}
	usual := s.rate / float64(len(s.Names)) * float64(len(nodes)) / float64(len(s.Zones)) * until.Sub(from).Seconds()
	s.SetMetric(phase+"_goes_on", float64(sent)/usual)
	if float64(sent) < minGoesOn*usual {
		s.violationf("viewpoint", "%s: the nodes that reach %s sent it %d first lines, about %.0f are usual",
			phase, zone, sent, usual)
	}
}

// checkSurvivorLoad checks that the remaining servers are not overloaded while they are full: the
// excess has to be rejected before it is sent.
func (s *scenario) checkSurvivorLoad(phase string, survivors []*testbed.Server, from, until time.Time) {
	const window = time.Second
	capacity := 0.0
	for _, v := range survivors {
		capacity += s.CapacityOf(v, until)
	}
	var at []time.Time
	for _, l := range s.FirstLines(from, until) {
		if slices.ContainsFunc(survivors, func(v *testbed.Server) bool { return v.Name == l.Server }) {
			at = append(at, l.At)
		}
	}
	most, first := 0.0, 0
	for i, t := range at {
		for t.Sub(at[first]) > window {
			first++
		}
		most = max(most, float64(i-first+1)/capacity/window.Seconds())
	}
	s.SetMetric(phase+"_survivors_most_of_budget", most)
	if most > maxSurvivorLoad {
		s.violationf("panic", "%s: the remaining servers were sent %.2f times their capacity within %v",
			phase, most, window)
	}
}

// checkRecovers waits until the fleet sends everywhere again, all members alike.
func (s *scenario) checkRecovers(ctx context.Context, phase string) {
	took, hasRecovered := testbed.Await(ctx, recoveryBound, func() bool { return s.watcher.hasRecovered(s.Names) })
	if ctx.Err() != nil {
		return
	}
	s.recordMax(phase+"_return_ms", took)
	if !hasRecovered {
		s.violationf("return", "%s: not all nodes send everywhere again %v after the fault ended: %s",
			phase, took, s.watcher.describe())
	}
}
