package zones

import (
	"context"
	"fmt"
	mrand "math/rand/v2"
	"slices"
	"time"

	"coralrelay/internal/fleet/zonestatus"
	"coralrelay/internal/scenario/testbed"
)

// phases returns the phases in order. Each is checked for the share of the transactions that were
// served.
func (s *scenario) phases() []testbed.Phase {
	phases := []testbed.Phase{
		{Name: "meet", Run: s.waitUntilReady},
		{Name: "cold", Run: s.coldRestart},
		{Name: "silent", Run: s.unresponsiveZone},
		{Name: "link", Run: s.oneWayPartition},
		{Name: "half", Run: s.halfOfZone},
		{Name: "one", Run: s.partitionedNode},
		{Name: "self", Run: s.isolatedZone},
		{Name: "disk", Run: s.fullDisk},
		{Name: "leader", Run: s.lostLeaderZone},
		{Name: "lone", Run: s.isolatedMember},
		{Name: "two", Run: s.twoZones},
		{Name: "flap", Run: s.flappingZone},
	}
	for i, phase := range phases {
		phases[i].Run = func(ctx context.Context, rng *mrand.Rand) error {
			from := time.Now()
			err := phase.Run(ctx, rng)
			s.checkServedShare(phase.Name, from, time.Now())
			return err
		}
	}
	return phases
}

// The shares of the transactions that must be served at least: in most phases, and in those where
// capacity is lost.
const defaultMinServedShare = 0.85

var minServedShares = map[string]float64{"meet": 0, "two": 0.25, "leader": 0.6}

// minServedShare returns the share that must be served in a phase.
func minServedShare(phase string) float64 {
	if share, ok := minServedShares[phase]; ok {
		return share
	}
	return defaultMinServedShare
}

func (s *scenario) checkServedShare(phase string, from, until time.Time) {
	share, all := s.ServedShare(from, until)
	s.SetMetric(phase+"_served", share)
	s.SetMetric(phase+"_s", until.Sub(from).Seconds())
	if least := minServedShare(phase); share < least {
		s.violationf("served", "%s: %.3f of %d transactions were served, want %.2f at least", phase, share, all, least)
	}
}

// waitUntilReady lets members find each other and agree on a leader, and nodes learn the usual rate:
// a node that has just started accepts more from second to second.
func (s *scenario) waitUntilReady(ctx context.Context, _ *mrand.Rand) error {
	_, isReady := testbed.Await(ctx, 20*time.Second, func() bool {
		now := time.Now()
		share, _ := s.ServedShare(now.Add(-time.Second), now)
		return share > 0.97 && s.watcher.hasRecovered(s.Names)
	})
	if !isReady && ctx.Err() == nil {
		return fmt.Errorf("members did not meet: %s", s.watcher.describe())
	}
	return nil
}

// nextZone returns the next zone in turn, except some: a zone that failed lately would be held back.
func (s *scenario) nextZone(except ...string) string {
	for {
		zone := s.Zones[s.nextVictim%len(s.Zones)]
		if s.nextVictim++; !slices.Contains(except, zone) {
			return zone
		}
	}
}

// isEvacuated reports whether a zone of a status is sent nothing.
func isEvacuated(status string) bool {
	return slices.Contains([]string{
		zonestatus.Evacuating.String(), zonestatus.Evacuated.String(), zonestatus.HeldBack.String(),
	}, status)
}
