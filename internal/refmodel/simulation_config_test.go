package refmodel_test

import (
	"time"

	"coralrelay/balance"
	"coralrelay/internal/refmodel"
)

// faultKind is what a simulation has to stand.
type faultKind int

const (
	flapping             faultKind = iota // servers come and go, reject and reset
	hangingConnects                       // flapping, and some connects hang
	lateConnects                          // flapping, and many connects are slow; servers answer errors more often
	fullFleet                             // a full fleet, one of whose servers restarts, cold and empty
	operatorDrains                        // flapping, and operators drain the node and have it rejoin
	settingsChanges                       // flapping, and the settings change
	hotRestarts                           // flapping, and successors take over from the node
	silentWatches                         // flapping, and discovery is polled: watches fall silent and calls fail
	overlappingProcesses                  // a full fleet, and two processes serve most of the time
	starvedLists                          // flapping, and discovery is polled: for many seconds no list or change comes
)

// isPolled reports whether the node polls discovery.
func (k faultKind) isPolled() bool { return k == silentWatches || k == starvedLists }

func (k faultKind) isFullFleet() bool { return k == fullFleet || k == overlappingProcesses }

// simulationConfig sizes a simulation.
type simulationConfig struct {
	duration    time.Duration
	servers     int
	capacity    float64       // of each server
	serverRate  float64       // requests a second of a warm server, for the checker; 0 for no rule
	longestStep time.Duration // between two events
	calmShare   float64       // of the events that are a new client
	promptLimit time.Duration // the checker's
}

func configOf(k faultKind) simulationConfig {
	config := simulationConfig{
		duration:    30 * time.Second,
		servers:     4,
		capacity:    serverCapacity,
		longestStep: 60 * ms,
		calmShare:   0.9,
	}
	switch k {
	case silentWatches: // a change lasts longer than its notification may take
		config.duration, config.calmShare = 90*time.Second, 0.98
	case starvedLists: // servers leave and return while nothing is heard of them
		config.duration, config.calmShare = 120*time.Second, 0.96
	case hangingConnects, lateConnects: // nobody outside sees an attempt before it is connected
		config.promptLimit = connectTimeout
	case fullFleet:
		config.servers, config.longestStep = 6, 20*ms
		config.serverRate = serverCapacity / meanConnLifetime.Seconds()
	case overlappingProcesses: // small servers, for which a few requests more are many
		config.servers, config.capacity = 6, smallServerCapacity
		config.serverRate = smallServerCapacity / meanConnLifetime.Seconds()
	}
	return config
}

// simulationSettings are the node's settings.
func simulationSettings() balance.Settings {
	settings := balance.Settings{
		Instances: 1, Tick: 4 * ms, SubscribeRequired: true, SubscribeTimeout: 10 * time.Second,
		Rules: balance.Rules{
			DrainGrace: 300 * ms, SlowStartWindow: 20 * time.Second, InitialCapacity: 0.2,
			OverloadMultiple: 3, OverloadDuration: 1500 * ms,
		},
		Limits: balance.Limits{
			ProbesAllowed: true, MaxAttempts: 4, SendRetryAfter: true, MaxRetryAfter: time.Second,
		},
		LoadReporting: balance.LoadReporting{InProbeResults: true},
	}
	for _, class := range classes {
		class.LatencyObjective, class.Deadline = 300*ms, time.Second
		settings.Classes = append(settings.Classes, class)
	}
	return settings
}

// checkerRules are the rules that follow from simulationSettings.
func checkerRules(config simulationConfig) refmodel.Rules {
	return refmodel.Rules{
		MaxAttempts: 4, DrainGrace: 300 * ms, NotifyDelay: 6 * time.Second,
		FailFastLimit: config.promptLimit, Tick: 4 * ms,
		SlowStartDuration: 20 * time.Second, SlowStartShare: 0.2, ServerRate: config.serverRate,
		OverloadMultiple: 3, OverloadWindow: 1500 * ms, ChanceAllowance: 3,
	}
}
