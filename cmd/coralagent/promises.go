package main

import (
	"coralrelay/internal/fleet/agent"
	"coralrelay/internal/fleet/slo"
	"coralrelay/internal/mutation"
	"coralrelay/internal/operatorconfig"
)

// promises is this agent's part in keeping contracts; nil where they are not kept.
func promises(f operatorconfig.Fleet) *agent.SLOOptions {
	if !f.SLO.Enabled {
		return nil
	}
	p := &agent.SLOOptions{Config: f.SLO.Config(), TimeScale: f.SLO.Pace, ScaledTime: f.SLO.Time, Zones: f.Zones.Config(),
		Guards: slo.Guards{GradualMoves: mutation.Enabled("greedy"), Confidence: mutation.Enabled("confidence"), Hysteresis: mutation.Enabled("hysteresis"),
			ExploreLimit: mutation.Enabled("explore"), CapacityLimits: mutation.Enabled("limits"), EvidenceExpiry: mutation.Enabled("stale-evidence")}}
	for _, v := range f.ReplicatedLog.Voters {
		p.Voters = append(p.Voters, v.Name)
	}
	return p
}
