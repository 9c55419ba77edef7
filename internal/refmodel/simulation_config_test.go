package refmodel_test

import (
	"time"

	"coralrelay/balance"
	"coralrelay/internal/refmodel"
)

// faultKind is the kind of faults that a simulation injects.
type faultKind int

const (
	flapping             faultKind = iota // servers come and go, reject and reset requests
	hangingConnects                       // flapping, and some connects hang
	lateConnects                          // flapping, and many connects are slow; servers send more errors
	fullFleet                             // a full fleet, in which one server restarts cold and empty
	operatorDrains                        // flapping, and operators drain the node and let it rejoin
	settingsChanges                       // flapping, and the settings change
	hotRestarts                           // flapping, and hot restarts replace the node's process
	silentWatches                         // flapping; polled discovery: watches fall silent, calls fail
	overlappingProcesses                  // a full fleet, and two processes serve it most of the time
	starvedLists                          // flapping; polled discovery: no list or change for many seconds
)

// isPolled reports whether the node polls discovery.
func (kind faultKind) isPolled() bool { return kind == silentWatches || kind == starvedLists }

func (kind faultKind) isFullFleet() bool { return kind == fullFleet || kind == overlappingProcesses }

// simulationConfig holds the sizes and rates of a simulation.
type simulationConfig struct {
	duration      time.Duration
	servers       int
	capacity      float64       // of each server
	serverRate    float64       // the checker's: requests per second of a warm server; 0 disables rule 4
	longestStep   time.Duration // the longest time between two events
	clientShare   float64       // the share of events that are new clients
	failFastLimit time.Duration // the checker's Rules.FailFastLimit
}

func configOf(kind faultKind) simulationConfig {
	config := simulationConfig{
		duration:    30 * time.Second,
		servers:     4,
		capacity:    serverCapacity,
		longestStep: 60 * ms,
		clientShare: 0.9,
	}
	switch kind {
	case silentWatches: // changes last longer than their notifications may take
		config.duration, config.clientShare = 90*time.Second, 0.98
	case starvedLists: // servers leave and return while the node receives no lists
		config.duration, config.clientShare = 120*time.Second, 0.96
	case hangingConnects, lateConnects: // the checker doesn't see attempts that are connecting
		config.failFastLimit = connectTimeout
	case fullFleet:
		config.servers, config.longestStep = 6, 20*ms
		config.serverRate = serverCapacity / meanConnLifetime.Seconds()
	case overlappingProcesses: // small servers, which a few extra requests overload
		config.servers, config.capacity = 6, smallServerCapacity
		config.serverRate = smallServerCapacity / meanConnLifetime.Seconds()
	}
	return config
}

// simulationSettings returns the node's settings.
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

// checkerRules returns the rules that correspond to simulationSettings.
func checkerRules(config simulationConfig) refmodel.Rules {
	return refmodel.Rules{
		MaxAttempts: 4, DrainGrace: 300 * ms, NotifyDelay: 6 * time.Second,
		FailFastLimit: config.failFastLimit, Tick: 4 * ms,
		SlowStartDuration: 20 * time.Second, SlowStartShare: 0.2, ServerRate: config.serverRate,
		OverloadMultiple: 3, OverloadWindow: 1500 * ms, ChanceAllowance: 3,
	}
}
