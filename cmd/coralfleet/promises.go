package main

import (
	"coralrelay/internal/fleet/agent"
	"coralrelay/internal/fleet/promise"
	"coralrelay/internal/operator"
	"coralrelay/internal/sabotage"
)

// promises is this agent's part in keeping contracts; nil where they are not kept.
func promises(f operator.Fleet) *agent.Promises {
	if !f.Promises.Enabled {
		return nil
	}
	p := &agent.Promises{Config: f.Promises.Config(), Pace: f.Promises.Pace, Time: f.Promises.Time, Zones: f.Zones.Config(),
		Guards: promise.Guards{Greedy: sabotage.On("greedy"), Confidence: sabotage.On("confidence"), Hysteresis: sabotage.On("hysteresis"),
			Explore: sabotage.On("explore"), Limits: sabotage.On("limits"), Stale: sabotage.On("stale-evidence")}}
	for _, v := range f.Record.Voters {
		p.Voters = append(p.Voters, v.Name)
	}
	return p
}
