package main

import (
	"coralrelay/internal/fleet/agent"
	"coralrelay/internal/fleet/slo"
	"coralrelay/internal/mutation"
	"coralrelay/internal/operatorconfig"
)

// promises is this agent's part in keeping contracts; nil where they are not kept.
func sloOptions(fleet operatorconfig.Fleet) *agent.SLOOptions {
	if !fleet.SLO.Enabled {
		return nil
	}
	options := &agent.SLOOptions{Config: fleet.SLO.Config(), TimeScale: fleet.SLO.Pace, ScaledTime: fleet.SLO.Time, Zones: fleet.Zones.Config(),
		Guards: slo.Guards{GradualMoves: mutation.Enabled("greedy"), Confidence: mutation.Enabled("confidence"), Hysteresis: mutation.Enabled("hysteresis"),
			ExploreLimit: mutation.Enabled("explore"), CapacityLimits: mutation.Enabled("limits"), EvidenceExpiry: mutation.Enabled("stale-evidence")}}
	for _, v := range fleet.ReplicatedLog.Voters {
		options.Voters = append(options.Voters, v.Name)
	}
	return options
}
