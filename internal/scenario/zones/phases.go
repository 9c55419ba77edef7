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

// phases returns the phases in order. After each phase, the share of served transactions is checked.
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

// defaultMinServedShare is the minimum share of transactions that must be served in a phase that
// minServedShares does not list.
const defaultMinServedShare = 0.85

// minServedShares holds the minimum shares of the phases that begin before the fleet is ready or
// that lose capacity.
var minServedShares = map[string]float64{"meet": 0, "two": 0.25, "leader": 0.6}

// minServedShare returns the minimum share of transactions that must be served in a phase.
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
	if minShare := minServedShare(phase); share < minShare {
		s.violationf("served", "%s: %.3f of %d transactions were served, want at least %.2f",
			phase, share, all, minShare)
	}
}

// waitUntilReady waits until the members agree on a leader and the nodes have learned the usual rate:
// a node that has just started raises its accepted rate every second.
func (s *scenario) waitUntilReady(ctx context.Context, _ *mrand.Rand) error {
	_, isReady := testbed.Await(ctx, 20*time.Second, func() bool {
		now := time.Now()
		share, _ := s.ServedShare(now.Add(-time.Second), now)
		return share > 0.97 && s.watcher.hasRecovered(s.Names)
	})
	if !isReady && ctx.Err() == nil {
		return fmt.Errorf("members not ready: %s", s.watcher.describe())
	}
	return nil
}

// nextZone returns the next zone in turn that is not excluded. The zones take turns because a zone
// that failed recently would be held back.
func (s *scenario) nextZone(except ...string) string {
	for {
		zone := s.Zones[s.nextZoneIndex%len(s.Zones)]
		if s.nextZoneIndex++; !slices.Contains(except, zone) {
			return zone
		}
	}
}

// isEvacuated reports whether a zone with the status receives no traffic.
func isEvacuated(status string) bool {
	return slices.Contains([]string{
		zonestatus.Evacuating.String(), zonestatus.Evacuated.String(), zonestatus.HeldBack.String(),
	}, status)
}
