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
	// observationTime is how long first lines are observed after the bound, to detect nodes that have
	// not evacuated.
	observationTime = 1200 * time.Millisecond
	// decisionTimeout is how long after the bound the replicated log may take to evacuate a zone that
	// the nodes already avoid by themselves: once they only probe it, evidence arrives slowly.
	decisionTimeout = 3 * time.Second
	// maxSurvivorLoad is the maximum load of the remaining servers within one second, as a multiple
	// of their capacity: the full capacity, and an allowance for random variation.
	maxSurvivorLoad = 1.25
	// minContinuedShare is the minimum share of the usual first lines that nodes without a fault
	// must send.
	minContinuedShare = 0.4
)

// violationf records a violation of a rule.
func (s *scenario) violationf(rule, format string, args ...any) {
	s.AddViolation(rule, fmt.Sprintf(format, args...))
}

// recordMaxMs raises a metric, in milliseconds, to d if d is greater than its value.
func (s *scenario) recordMaxMs(metric string, d time.Duration) {
	s.SetMetric(metric, max(s.Metric(metric), float64(d.Milliseconds())))
}

// evacuation is the expectation that nodes evacuate a zone after a fault.
type evacuation struct {
	phase, zone string
	nodes       []string
	faultAt     time.Time
	bound       time.Duration // maximum time from the fault to the evacuation
}

// checkEvacuated waits until the nodes must have evacuated the zone, and checks the bounds. No node
// sends the zone a first line later than the bound after the fault. The nodes of one observing zone
// follow the same log entry, so the last of them evacuates no later than spreadBound after the
// first. An observing zone without enough evidence need not evacuate, as long as it sends nothing.
func (s *scenario) checkEvacuated(ctx context.Context, e evacuation) {
	before := s.FirstLinesInto(e.zone, e.faultAt.Add(-time.Second), e.faultAt)
	s.SetMetric(e.phase+"_asked_before", float64(len(before)))
	s.RequireAtLeast(e.phase+"_asked_before", 5) // otherwise there was nothing to evacuate
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
		s.violationf("evacuate", "%s: no node had evacuated zone %s %v after the fault",
			e.phase, e.zone, time.Since(e.faultAt).Round(time.Millisecond))
	}
	s.checkSpread(e, evacuatedAt, firstAt)
	s.checkLateFirstLines(e, firstAt)
}

// deadline returns the time from which no node may send the zone a first line.
func (e evacuation) deadline() time.Time { return e.faultAt.Add(e.bound + evacuationSlack) }

// firstByObservingZone returns, by observing zone, the time at which its first node evacuated.
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

// checkSpread checks that the nodes of each observing zone evacuate within spreadBound of the first.
func (s *scenario) checkSpread(e evacuation, evacuatedAt, firstAt map[string]time.Time) {
	notEvacuated := 0.0
	for _, name := range e.nodes {
		at, ok := evacuatedAt[name]
		if !ok {
			notEvacuated++
			continue
		}
		s.recordMaxMs(e.phase+"_left_ms", at.Sub(e.faultAt))
		spread := at.Sub(firstAt[s.Zone(name)])
		s.recordMaxMs(e.phase+"_spread_ms", spread)
		if spread > spreadBound+2*pollInterval {
			s.violationf("together", "%s: %s evacuated %s %v after the first of its zone, want at most %v",
				e.phase, name, e.zone, spread, spreadBound)
		}
	}
	s.SetMetric(e.phase+"_not_left", max(s.Metric(e.phase+"_not_left"), notEvacuated))
}

// checkLateFirstLines checks that no node sends the zone a first line after the deadline, or later
// than spreadBound after the first node of its own zone evacuated.
func (s *scenario) checkLateFirstLines(e evacuation, firstAt map[string]time.Time) {
	sinceFault := time.Duration(0)
	for _, line := range s.FirstLinesInto(e.zone, e.faultAt, time.Now()) {
		if !slices.Contains(e.nodes, line.Node) {
			continue
		}
		sinceFault = line.At.Sub(e.faultAt)
		firstEvacuation := firstAt[s.Zone(line.Node)]
		switch {
		case line.At.After(e.deadline()):
			s.violationf("leave", "%s: %s sent %s a first line %v after the fault",
				e.phase, line.Node, line.Server, sinceFault)
		case !firstEvacuation.IsZero() && line.At.Sub(firstEvacuation) > spreadBound+inFlightSlack:
			s.violationf("together", "%s: %s sent %s a first line %v after its zone began to evacuate",
				e.phase, line.Node, line.Server, line.At.Sub(firstEvacuation))
		}
	}
	s.recordMaxMs(e.phase+"_last_line_ms", sinceFault)
}

// checkNotEvacuated checks that the log evacuated none of the matching pairs of observing zone and
// zone.
func (s *scenario) checkNotEvacuated(
	phase string, since time.Time, isPair func(status agentapi.ZoneStatus) bool,
) {
	evacuated := s.watcher.statusChangesSince(since, func(status agentapi.ZoneStatus) bool {
		return isPair(status) && isEvacuated(status.Status)
	})
	if len(evacuated) > 0 {
		first := evacuated[0]
		s.violationf("accuse", "%s: zone %s evacuated zone %s, which is healthy",
			phase, first.ObservingZone, first.Zone)
	}
}

// checkStillSends checks that the given nodes still send a zone at least minContinuedShare of their
// usual traffic.
func (s *scenario) checkStillSends(phase, zone string, nodes []string, from, until time.Time) {
	sent := 0
	for _, line := range s.FirstLinesInto(zone, from, until) {
		if slices.Contains(nodes, line.Node) {
			sent++
		}
	}
	usual := s.rate / float64(len(s.Names)) * float64(len(nodes)) / float64(len(s.Zones)) *
		until.Sub(from).Seconds()
	s.SetMetric(phase+"_goes_on", float64(sent)/usual)
	if float64(sent) < minContinuedShare*usual {
		s.violationf("viewpoint", "%s: nodes that reach zone %s sent it %d first lines, about %.0f are usual",
			phase, zone, sent, usual)
	}
}

// checkSurvivorLoad checks that the remaining servers are not overloaded while they are full: the
// nodes must reject the excess instead of sending it.
func (s *scenario) checkSurvivorLoad(phase string, survivors []*testbed.Server, from, until time.Time) {
	const window = time.Second
	capacity := 0.0
	for _, server := range survivors {
		capacity += s.CapacityOf(server, until)
	}
	var at []time.Time
	for _, line := range s.FirstLines(from, until) {
		if slices.ContainsFunc(survivors, func(server *testbed.Server) bool {
			return server.Name == line.Server
		}) {
			at = append(at, line.At)
		}
	}
	peak, first := 0.0, 0
	for i, t := range at {
		for t.Sub(at[first]) > window {
			first++
		}
		peak = max(peak, float64(i-first+1)/capacity/window.Seconds())
	}
	s.SetMetric(phase+"_survivors_most_of_budget", peak)
	if peak > maxSurvivorLoad {
		s.violationf("panic", "%s: the remaining servers were sent %.2f times their capacity within %v",
			phase, peak, window)
	}
}

// checkRecovers waits until all members send to all zones again, and checks recoveryBound.
func (s *scenario) checkRecovers(ctx context.Context, phase string) {
	took, hasRecovered := testbed.Await(ctx, recoveryBound, func() bool {
		return s.watcher.hasRecovered(s.Names)
	})
	if ctx.Err() != nil {
		return
	}
	s.recordMaxMs(phase+"_return_ms", took)
	if !hasRecovered {
		s.violationf("return", "%s: not all nodes send to all zones %v after the fault ended: %s",
			phase, took, s.watcher.describe())
	}
}
