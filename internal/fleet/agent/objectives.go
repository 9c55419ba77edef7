package agent

import (
	"math"
	"slices"
	"sync"
	"time"

	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/fleet/slo"
	"coralrelay/internal/fleet/zonestatus"
)

// SLOOptions configure how an agent evaluates and enforces contracts on response times.
type SLOOptions struct {
	Config slo.Config
	// TimeScale is how many times faster than real time the time of Config passes; 1 except in rehearsals.
	TimeScale int
	// ScaledTime converts Unix time to the time of Config.
	ScaledTime func(unix time.Duration) time.Duration
	Zones      zonestatus.Config // defines the regions and the capacity of an endpoint
	Voters     []string          // names of the members that may lead
	Guards     slo.Guards        // guards that a mutation test disables
}

// noContractsVersion is the contracts version of an aggregator whose contracts have not been set.
const noContractsVersion = math.MaxUint64

// objectiveManager evaluates the objectives for one agent. Every member sends the latency samples of its
// node to all voters. Each voter aggregates them, and the leader proposes changes based on them.
type objectiveManager struct {
	SLOOptions
	name, zone string
	send       func(member string, message []byte) error
	queues     map[string]chan []byte // encoded samples to send, by voter; none for this member

	mu          sync.Mutex
	aggregator  *slo.Aggregator   // nil if this member is not a voter
	memberZones map[string]string // zone of each member that has not left, by member

	// Owned by the agent's Run.
	controller       *slo.Controller
	observations     []slo.Observation // observations not evaluated yet
	intervals        []intervalCounts  // latest intervals, oldest first
	contractsVersion uint64            // version of the contracts set at the aggregator
	regionNames      []string          // names of the regions set at the aggregator
	evaluatedAt      time.Duration     // last evaluation, in the time of Config
	zonesVersion     uint64            // version of the zone statuses at the last evaluation
	proposalSlot     chan struct{}     // holds a value during an evaluation and its proposal
	proposedIndex    uint64            // log index of the last proposal; guarded by proposalSlot
}

func newObjectiveManager(options Options) *objectiveManager {
	o := &objectiveManager{
		SLOOptions:       *options.SLO,
		name:             options.Name,
		zone:             options.Zone,
		send:             options.Gossip.Send,
		queues:           map[string]chan []byte{},
		proposalSlot:     make(chan struct{}, 1),
		contractsVersion: noContractsVersion,
	}
	for _, voter := range o.Voters {
		if voter == o.name {
			o.aggregator = slo.NewAggregator(o.Config)
			o.controller = slo.NewController(o.Config)
			o.controller.DisabledGuards = o.Guards
			continue
		}
		o.queues[voter] = make(chan []byte, maxQueuedSamples)
	}
	options.Gossip.OnMessage = func(raw []byte) { o.receiveSample(options.Clock(), raw) }
	return o
}

// closeIntervals collects the observations of the intervals that have ended. It first updates the
// aggregator's contracts and regions if they have changed.
func (o *objectiveManager) closeIntervals(now time.Duration, contracts slo.State, regions []slo.Region,
	members []zonestatus.Member) {
	var regionNames []string
	for _, r := range regions {
		regionNames = append(regionNames, r.Name)
	}
	o.mu.Lock()
	o.memberZones = map[string]string{o.name: o.zone}
	for _, m := range members {
		o.memberZones[m.Name] = m.Zone
	}
	if contracts.Version != o.contractsVersion || !slices.Equal(regionNames, o.regionNames) {
		o.aggregator.SetContracts(contracts, regions)
		o.contractsVersion, o.regionNames = contracts.Version, regionNames
	}
	observations := o.aggregator.CloseIntervals(o.ScaledTime(now))
	o.mu.Unlock()
	o.countSetups(now, observations)
	o.observations = append(o.observations, observations...)
}

// exchangeObjectives queues the node's samples for the voters. It adds the contracts to the response if
// the node has another version of them.
func (a *Agent) exchangeObjectives(report *agentapi.Report, response *agentapi.Response) {
	if a.objectives == nil || a.Log == nil {
		return
	}
	a.objectives.queueSamples(a.Clock(), report.Samples)
	view := a.Log.View()
	if view.State != nil && view.State.Contracts.Version != report.ContractsVersion {
		response.Contracts = contractList(view.State.Contracts)
	}
}

func contractList(state slo.State) *agentapi.ContractList {
	list := &agentapi.ContractList{Version: state.Version, Contracts: []agentapi.Contract{}}
	for _, contract := range state.Contracts {
		list.Contracts = append(list.Contracts, agentapi.Contract{
			Name:             contract.Name,
			Priority:         contract.Priority,
			MeasuresMessages: contract.ForMessages,
		})
	}
	return list
}
