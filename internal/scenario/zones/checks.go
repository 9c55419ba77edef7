package zones

import (
	"context"
	"fmt"
	"slices"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/scenario/testbed"
)

// left waits until some nodes must have left a zone, and holds them to the bounds: none of
// them sends it a first line later than bound after the fault, and of those of one viewpoint,
// who leave by one change, the last leaves no later than togetherBound after the first. A
// viewpoint that can't tell need not leave, as long as it sends nothing.
func (s *scenario) checkEvacuated(ctx context.Context, step, zone string, nodes []string, fault time.Time, bound time.Duration) {
	late := fault.Add(bound + evacuationSlack)
	s.SetMetric(step+"_asked_before", float64(len(s.FirstLinesInto(zone, fault.Add(-time.Second), fault))))
	s.RequireAtLeast(step+"_asked_before", 5) // else nobody had anything to leave
	fake.Sleep(ctx, time.Until(late)+observationTime)
	testbed.Await(ctx, time.Until(fault.Add(bound+decisionTimeout)), func() bool {
		left := s.watcher.evacuatedAt(zone, fault)
		return slices.ContainsFunc(nodes, func(name string) bool { return !left[name].IsZero() })
	})
	if ctx.Err() != nil {
		return
	}
	at, first := s.watcher.evacuatedAt(zone, fault), map[string]time.Time{} // by viewpoint
	for name, t := range at {
		if from := s.Zone(name); slices.Contains(nodes, name) && (first[from].IsZero() || t.Before(first[from])) {
			first[from] = t
		}
	}
	if len(first) == 0 {
		s.AddViolation("leave", fmt.Sprintf("%s: nobody had left %s %v after the fault", step, zone, time.Since(fault).Round(time.Millisecond)))
	}
	lastLine, stayed := time.Duration(0), 0.0
	for _, name := range nodes {
		t, ok := at[name]
		if !ok {
			stayed++
			continue
		}
		s.recordMax(step+"_left_ms", t.Sub(fault))
		spread := t.Sub(first[s.Zone(name)])
		s.recordMax(step+"_spread_ms", spread)
		if spread > spreadBound+2*pollInterval {
			s.AddViolation("together", fmt.Sprintf("%s: %s left %s %v after the first of its zone, at most %v is allowed", step, name, zone, spread, spreadBound))
		}
	}
	s.SetMetric(step+"_not_left", max(s.Metric(step+"_not_left"), stayed))
	for _, l := range s.FirstLinesInto(zone, fault, time.Now()) {
		if !slices.Contains(nodes, l.Node) {
			continue
		}
		lastLine = l.At.Sub(fault)
		begun := first[s.Zone(l.Node)]
		switch {
		case l.At.After(late):
			s.AddViolation("leave", fmt.Sprintf("%s: %s sent %s a first line %v after the fault", step, l.Node, l.Server, lastLine))
		case !begun.IsZero() && l.At.Sub(begun) > spreadBound+inFlightSlack:
			s.AddViolation("together", fmt.Sprintf("%s: %s sent %s a first line %v after the first of its zone had left", step, l.Node, l.Server, l.At.Sub(begun)))
		}
	}
	s.recordMax(step+"_last_line_ms", lastLine)
}

const (
	// looksOn is for how long after the bound it is looked on: who has not left is seen by then.
	observationTime = 1200 * time.Millisecond
	// decided is how long after the bound the record may need to say what the nodes keep to by
	// themselves: once they ask a zone only by probes, evidence of it comes slowly.
	decisionTimeout = 3 * time.Second
)

// most keeps the greatest of a figure, in ms.
func (s *scenario) recordMax(figure string, d time.Duration) {
	s.SetMetric(figure, max(s.Metric(figure), float64(d.Milliseconds())))
}

// stays holds some nodes to going on with a zone: they send it as much as before, but for
// chance.
func (s *scenario) checkStillSends(step, zone string, nodes []string, from, until time.Time) {
	n := 0
	for _, l := range s.FirstLinesInto(zone, from, until) {
		if slices.Contains(nodes, l.Node) {
			n++
		}
	}
	usual := s.rate / float64(len(s.Names)) * float64(len(nodes)) / float64(len(s.Zones)) * until.Sub(from).Seconds()
	s.SetMetric(step+"_goes_on", float64(n)/usual)
	if float64(n) < 0.4*usual {
		s.AddViolation("viewpoint", fmt.Sprintf("%s: those who reach %s sent it %d first lines, about %.0f are usual", step, zone, n, usual))
	}
}

// within holds servers to what they can bear, as they are full: what is over has to be
// refused before it is sent.
func (s *scenario) checkSurvivorLoad(step string, list []*testbed.Server, from, until time.Time) {
	const window = time.Second
	bears := 0.0
	for _, v := range list {
		bears += s.CapacityOf(v, until)
	}
	var at []time.Time
	for _, l := range s.FirstLines(from, until) {
		if slices.ContainsFunc(list, func(v *testbed.Server) bool { return v.Name == l.Server }) {
			at = append(at, l.At)
		}
	}
	most, first := 0.0, 0
	for i, t := range at {
		for t.Sub(at[first]) > window {
			first++
		}
		most = max(most, float64(i-first+1)/bears/window.Seconds())
	}
	s.SetMetric(step+"_survivors_most_of_budget", most)
	if most > maxSurvivorLoad {
		s.AddViolation("panic", fmt.Sprintf("%s: those that stay were sent %.2f times what they bear within %v", step, most, window))
	}
}

// survivors is how full those that stay may be, counted in a second: full, and by chance.
const maxSurvivorLoad = 1.25

// comesBack waits until the fleet sends everywhere again, all members alike.
func (s *scenario) checkRecovers(ctx context.Context, step string) {
	took, came := testbed.Await(ctx, recoveryBound, func() bool { return s.watcher.hasRecovered(s.Names) })
	if ctx.Err() != nil {
		return
	}
	s.recordMax(step+"_return_ms", took)
	if !came {
		s.AddViolation("return", fmt.Sprintf("%s: not all send everywhere again %v after it was mended: %s", step, took, s.watcher.describe()))
	}
}
