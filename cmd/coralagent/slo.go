package main

import (
	"coralrelay/internal/fleet/agent"
	"coralrelay/internal/operatorconfig"
)

// sloOptions returns the agent's options for service level objectives, or nil if these are disabled.
func sloOptions(fleet operatorconfig.Fleet) *agent.SLOOptions {
	if !fleet.SLO.Enabled {
		return nil
	}
	options := &agent.SLOOptions{
		Config:     fleet.SLO.Config(),
		TimeScale:  fleet.SLO.TimeScale,
		ScaledTime: fleet.SLO.ScaledTime,
		Zones:      fleet.Zones.Config(),
		Guards:     disabledSLOGuards(),
	}
	for _, voter := range fleet.ReplicatedLog.Voters {
		options.Voters = append(options.Voters, voter.Name)
	}
	return options
}
